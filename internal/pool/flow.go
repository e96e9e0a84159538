package pool

import (
	"container/list"
	"math"
	"time"
)

// entry is a queued request.
type entry struct {
	Request
	subqueue       *subqueue
	arrivalNumber  uint64        // position in the order of arrival
	cost           float64       // expected work in seconds, divided by the weight of its flow
	arrivalVirtual float64       // virtual time of its arrival
	latestStart    time.Duration // latest time of a grant that still meets the objective
	arrivalElement *list.Element // its element in Queue.arrivals
	subqueueIndex  int           // heap index in its subqueue
	deadlineIndex  int           // heap index in Queue.byDeadline
}

// latestStart returns the latest time of a grant with which the request still meets its
// objective. Without an objective that is never too late.
func latestStart(r *Request) time.Duration {
	if r.Objective <= 0 {
		return math.MaxInt64
	}
	return r.Objective - r.Work
}

func startsBefore(a, b *entry) bool {
	if a.latestStart != b.latestStart {
		return a.latestStart < b.latestStart
	}
	return a.arrivalNumber < b.arrivalNumber
}

// subqueue queues the requests of one flow that are in one stage and one lane, ordered by
// their latest start.
type subqueue struct {
	flow       *flow
	stage      stage
	lane       lane
	requests   indexedHeap[*entry]
	classIndex int // heap index in its class
}

// virtualFinish returns the virtual finish time of the subqueue's first request: when it
// would complete if the flow got exactly its fair share.
func (sq *subqueue) virtualFinish() float64 {
	e := sq.requests.first()
	return max(sq.flow.grantedFinish, e.arrivalVirtual) + e.cost
}

// finishesBefore orders subqueues by the virtual finish time of their first requests, and
// subqueues with equal ones by the latest start.
func finishesBefore(a, b *subqueue) bool {
	if fa, fb := a.virtualFinish(), b.virtualFinish(); fa != fb {
		return fa < fb
	}
	return startsBefore(a.requests.first(), b.requests.first())
}

// flowKey identifies a flow, the unit of fair sharing within a priority.
type flowKey struct{ service, account string }

// flow is the fair queueing state of one service and account in one priority.
type flow struct {
	class         *class
	key           flowKey
	subqueues     [stages][lanes]*subqueue // nil: never used
	weight        float64
	grantedFinish float64 // virtual time at which everything granted to it would be complete under fair sharing
	demandFinish  float64 // virtual time at which everything it requested would be complete under fair sharing
	fluidIndex    int     // heap index in fluid.backlogged
	inUse         int     // connections granted
	waiting       int     // requests queued
	limit         int     // connections that it may use at once; 0: unlimited
}

// subqueue returns the flow's subqueue for a stage and a lane, which it creates on first use.
func (f *flow) subqueue(s stage, l lane) *subqueue {
	if f.subqueues[s][l] == nil {
		f.subqueues[s][l] = &subqueue{
			flow: f, stage: s, lane: l, classIndex: notInHeap,
			requests: indexedHeap[*entry]{less: startsBefore, indexOf: func(e *entry) *int { return &e.subqueueIndex }},
		}
	}
	return f.subqueues[s][l]
}

// updateHeaps updates the positions of the flow's subqueues in the class after its virtual
// time, its requests or its number of connections has changed. The subqueues of a flow at
// its connection limit are taken out of the class.
func (f *flow) updateHeaps() {
	belowLimit := f.limit <= 0 || f.inUse < f.limit
	for s := range f.subqueues {
		for l, sq := range f.subqueues[s] {
			if sq == nil {
				continue
			}
			heap := &f.class.subqueues[s][l]
			switch eligible := belowLimit && sq.requests.len() > 0; {
			case eligible && sq.classIndex == notInHeap:
				heap.push(sq)
			case eligible:
				heap.fix(sq)
			case sq.classIndex != notInHeap:
				heap.remove(sq)
			}
		}
	}
}

// unknownWork is the work charged for a request whose expected work is not known.
const unknownWork = time.Millisecond

// cost returns the weighted cost of a request in seconds, by which the flow's virtual
// time advances.
func (f *flow) cost(r *Request) float64 {
	work := r.Work
	if work <= 0 {
		work = unknownWork
	}
	return work.Seconds() / f.weight
}

// addDemand adds a request to the flow's demand. The weight of a flow changes only while
// it has no demand.
func (f *flow) addDemand(r *Request) {
	if f.fluidIndex == notInHeap {
		f.weight = float64(max(r.Weight, 1))
	}
	f.class.fluid.demand(f, f.cost(r))
}

// charge advances the flow's virtual time by the cost of a granted request that had
// arrived at a virtual time.
func (f *flow) charge(cost, arrived float64) {
	f.grantedFinish = max(f.grantedFinish, arrived) + cost
	f.class.fluid.serve(cost * f.weight)
}

// enqueue queues a request in a stage.
func (f *flow) enqueue(e *entry, s stage) {
	e.subqueue = f.subqueue(s, laneOf(&e.Request))
	detach(e.subqueue)
	e.subqueue.requests.push(e)
	f.waiting++
	f.class.updateTotals(e, 1)
	f.updateHeaps()
}

// dequeue takes a request out of its subqueue.
func (f *flow) dequeue(e *entry) {
	detach(e.subqueue)
	e.subqueue.requests.remove(e)
	f.waiting--
	f.class.updateTotals(e, -1)
	f.updateHeaps()
}

// detach takes a subqueue out of the class's heap before its first request may change, since
// that request is its sort key. updateHeaps puts it back.
func detach(sq *subqueue) {
	if sq.classIndex != notInHeap {
		sq.flow.class.subqueues[sq.stage][sq.lane].remove(sq)
	}
}
