package pool

// fluid is the generalized processor sharing model (Parekh and Gallager) that weighted
// fair queueing approximates: all flows with demand are served simultaneously, in
// proportion to their weights. Its progress is a virtual time, which advances by the
// granted work divided by the total weight of the flows that have demand.
type fluid struct {
	virtual  float64
	weight   float64        // total weight of the flows with demand
	demanded indexed[*flow] // flows with demand, by the virtual time at which it is satisfied
}

func newFluid() fluid {
	return fluid{demanded: indexed[*flow]{
		less:  func(a, b *flow) bool { return a.served < b.served },
		place: func(f *flow) *int { return &f.inFluid },
	}}
}

// demand adds the cost of a request to the flow's demand.
func (u *fluid) demand(f *flow, cost float64) {
	f.served = max(f.served, u.virtual) + cost
	if f.inFluid != absent {
		u.demanded.fix(f)
		return
	}
	u.demanded.push(f)
	u.weight += f.weight
}

// withdraw subtracts the cost of a request that will not be granted.
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

// serve advances the virtual time by granted work, in seconds.
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
