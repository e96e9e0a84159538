package pool

import "time"

// stage tells whether a queued request can still meet its latency objective.
type stage int

const (
	timely stage = iota
	late
	stages
)

// lane tells which connections a request may take.
type lane int

const (
	flexible   lane = iota // may take neither the write reserve nor the slots reserved for pinned requests
	pinnedRead             // any other read: may not take the write reserve
	write                  // may take any connection
	lanes
)

func laneOf(r *Request) lane {
	switch {
	case r.Write:
		return write
	case r.Flexible:
		return flexible
	}
	return pinnedRead
}

// class holds the queued and running requests of one priority.
type class struct {
	priority     int
	flows        map[flowKey]*flow
	subqueues    [stages][lanes]indexedHeap[*subqueue] // non-empty subqueues of flows below their connection limit
	fluid        fluid
	inUse        int
	waiting      [stages]int
	expectedWork [stages]time.Duration // total expected work of the queued requests for which it is known
	unknownCount [stages]int           // queued requests of unknown expected work

	overtook      int // grants made ahead of a request that had arrived earlier
	overdueGrants int // grants made because the class was starved

	unservedSince    time.Duration // time of the first request since the last grant
	hasDemand        bool          // a request has arrived, or was left queued, since the last grant
	lastArrival      time.Duration // time of the last request
	longestObjective time.Duration // the longest objective of its requests, from their arrival
}

func newClass(priority int) *class {
	c := &class{priority: priority, flows: make(map[flowKey]*flow), fluid: newFluid()}
	for s := range c.subqueues {
		for l := range c.subqueues[s] {
			c.subqueues[s][l] = indexedHeap[*subqueue]{less: finishesBefore, indexOf: func(sq *subqueue) *int { return &sq.classIndex }}
		}
	}
	return c
}

func (c *class) flow(key flowKey) *flow {
	f := c.flows[key]
	if f == nil {
		f = &flow{class: c, key: key, weight: 1, fluidIndex: notInHeap}
		c.flows[key] = f
	}
	return f
}

// dropUnused drops state that is no longer needed: a flow without requests that has received
// no more than its fair share, and all flows when the class is idle. A flow ahead of its
// share must stay, or it would start afresh with the share already used.
func (c *class) dropUnused(f *flow) {
	if c.inUse == 0 && c.waiting[timely]+c.waiting[late] == 0 {
		clear(c.flows)
		c.fluid = newFluid()
		return
	}
	if f.inUse == 0 && f.waiting == 0 && f.fluidIndex == notInHeap && f.grantedFinish <= c.fluid.virtualTime {
		delete(c.flows, f.key)
	}
}

// updateTotals adds a request to the totals of its stage (sign 1) or subtracts it (sign -1).
func (c *class) updateTotals(e *entry, sign int) {
	s := e.subqueue.stage
	c.waiting[s] += sign
	c.expectedWork[s] += time.Duration(sign) * max(e.Work, 0)
	if e.Work <= 0 {
		c.unknownCount[s] += sign
	}
}

// next returns the next request of a stage among the lanes with a free slot, nil if
// there is none.
func (c *class) next(s stage, free [lanes]bool, now time.Duration) *entry {
	var best *subqueue
	for l := range c.subqueues[s] {
		if !free[l] {
			continue
		}
		if sq := c.nextSubqueue(s, lane(l), now); sq != nil && (best == nil || finishesBefore(sq, best)) {
			best = sq
		}
	}
	if best == nil {
		return nil
	}
	return best.requests.first()
}

// nextSubqueue returns the next subqueue of a stage and a lane, nil if there is none.
// Requests at the front that can no longer meet their objective are moved to the late stage
// first.
func (c *class) nextSubqueue(s stage, l lane, now time.Duration) *subqueue {
	subqueues := &c.subqueues[s][l]
	for subqueues.len() > 0 {
		sq := subqueues.first()
		e := sq.requests.first()
		if s == late || e.latestStart >= now {
			return sq
		}
		sq.flow.dequeue(e)
		sq.flow.enqueue(e, late)
	}
	return nil
}

// starved reports whether the class is starved: it has had requests for longer than the
// longest of their objectives and was granted nothing.
func (c *class) starved(now time.Duration) bool {
	return c.hasDemand && c.longestObjective > 0 && c.waiting[timely]+c.waiting[late] > 0 && now-c.unservedSince >= c.longestObjective
}

// recordGrant records a grant and restarts the starvation timer, which runs on if
// requests are still queued.
func (c *class) recordGrant(now time.Duration) {
	c.hasDemand, c.unservedSince = c.waiting[timely]+c.waiting[late] > 0, now
}

// recordArrival records the arrival of a request. Clients may retry without waiting in this
// queue, so demand counts as continuous while arrivals are no further apart than the
// longest objective.
func (c *class) recordArrival(now time.Duration, r *Request) {
	if !c.hasDemand || now-c.lastArrival > c.longestObjective {
		c.hasDemand, c.unservedSince = true, now
	}
	c.lastArrival = now
	if r.Objective > 0 {
		c.longestObjective = max(c.longestObjective, r.Objective-now)
	}
}
