package pool

// fluid is the generalized processor sharing model (Parekh and Gallager) that weighted
// fair queueing approximates: all flows with demand are served simultaneously, in
// proportion to their weights. Its progress is a virtual time, which advances by the
// granted work divided by the total weight of the flows that have demand.
type fluid struct {
	virtualTime float64
	weight      float64            // total weight of the flows with demand
	backlogged  indexedHeap[*flow] // flows with demand, by the virtual time at which it is satisfied
}

func newFluid() fluid {
	return fluid{backlogged: indexedHeap[*flow]{
		less:    func(a, b *flow) bool { return a.demandFinish < b.demandFinish },
		indexOf: func(f *flow) *int { return &f.fluidIndex },
	}}
}

// demand adds the cost of a request to the flow's demand.
func (u *fluid) demand(f *flow, cost float64) {
	f.demandFinish = max(f.demandFinish, u.virtualTime) + cost
	if f.fluidIndex != notInHeap {
		u.backlogged.fix(f)
		return
	}
	u.backlogged.push(f)
	u.weight += f.weight
}

// withdraw subtracts the cost of a request that will not be granted.
func (u *fluid) withdraw(f *flow, cost float64) {
	if f.fluidIndex == notInHeap {
		return
	}
	if f.demandFinish -= cost; f.demandFinish <= u.virtualTime {
		u.removeSatisfied(f)
		return
	}
	u.backlogged.fix(f)
}

// serve advances the virtual time by granted work, in seconds.
func (u *fluid) serve(work float64) {
	for work > 0 && u.backlogged.len() > 0 {
		next := u.backlogged.first()
		needed := (next.demandFinish - u.virtualTime) * u.weight
		if needed > work {
			u.virtualTime += work / u.weight
			return
		}
		work -= needed
		u.virtualTime = next.demandFinish
		u.removeSatisfied(next)
	}
}

func (u *fluid) removeSatisfied(f *flow) {
	u.backlogged.remove(f)
	u.weight -= f.weight
}
