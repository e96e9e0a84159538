package pool

// fluid is the ideal that flows are compared with: all that have demand are served at
// the same time, by their weights. What it has done is told by a virtual time, which moves
// on by the work that is granted, divided by the weights of those that share it
// (Parekh and Gallager, generalized processor sharing).
type fluid struct {
	virtual  float64
	weight   float64        // of the flows that have demand
	demanded indexed[*flow] // these, by the virtual time at which all of it is served
}

func newFluid() fluid {
	return fluid{demanded: indexed[*flow]{
		less:  func(a, b *flow) bool { return a.served < b.served },
		place: func(f *flow) *int { return &f.inFluid },
	}}
}

// demand adds the cost of a request to what a flow asks for.
func (u *fluid) demand(f *flow, cost float64) {
	f.served = max(f.served, u.virtual) + cost
	if f.inFluid != absent {
		u.demanded.fix(f)
		return
	}
	u.demanded.push(f)
	u.weight += f.weight
}

// withdraw takes the cost of a request away that is not granted.
func (u *fluid) withdraw(f *flow, cost float64) {
	if f.inFluid == absent {
		return
	}
	if f.served -= cost; f.served <= u.virtual {
		u.satisfied(f)
		return
	}
	u.demanded.fix(f)
}

// serve moves the virtual time on by work that was granted.
func (u *fluid) serve(work float64) {
	for work > 0 && u.demanded.len() > 0 {
		next := u.demanded.first()
		needed := (next.served - u.virtual) * u.weight
		if needed > work {
			u.virtual += work / u.weight
			return
		}
		work -= needed
		u.virtual = next.served
		u.satisfied(next)
	}
}

func (u *fluid) satisfied(f *flow) {
	u.demanded.remove(f)
	u.weight -= f.weight
}
