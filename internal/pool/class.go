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
	flexible  lane = iota // may take neither the write reserve nor the slots reserved for pinned requests
	fixedRead             // any other read: may not take the write reserve
	write                 // may take any connection
	lanes
)

func laneOf(r *Request) lane {
	switch {
	case r.Write:
		return write
	case r.Elsewhere:
		return flexible
	}
	return fixedRead
}

// class holds the queued and running requests of one priority.
type class struct {
	priority int
	flows    map[flowKey]*flow
	lines    [stages][lanes]indexed[*line] // non-empty lines of flows below their connection limit
	fluid    fluid
	inUse    int
	waiting  [stages]int
	work     [stages]time.Duration // total expected work of the queued requests for which it is known
	unknown  [stages]int           // queued requests of unknown expected work

	overtook      int // grants made ahead of a request that had arrived earlier
	overdueGrants int // grants made because the class was starved

	unserved time.Duration // time of the first request since the last grant
	asking   bool          // a request has arrived, or was left queued, since the last grant
	asked    time.Duration // time of the last request
	span     time.Duration // the longest objective of its requests, from their arrival
}

func newClass(priority int) *class {
	c := &class{priority: priority, flows: make(map[flowKey]*flow), fluid: newFluid()}
	for s := range c.lines {
		for l := range c.lines[s] {
			c.lines[s][l] = indexed[*line]{less: before, place: func(l *line) *int { return &l.inClass }}
		}
	}
	return c
}

func (c *class) flow(key flowKey) *flow {
	f := c.flows[key]
	if f == nil {
		f = &flow{class: c, key: key, weight: 1, inFluid: absent}
		c.flows[key] = f
	}
	return f
}

// forget drops state that is no longer needed: a flow without requests that has received
// no more than its fair share, and all flows when the class is idle. A flow ahead of its
// share must stay, or it would start afresh with the share already used.
func (c *class) forget(f *flow) {
	if c.inUse == 0 && c.waiting[timely]+c.waiting[late] == 0 {
		clear(c.flows)
		c.fluid = newFluid()
		return
	}
	if f.inUse == 0 && f.waiting == 0 && f.inFluid == absent && f.virtual <= c.fluid.virtual {
		delete(c.flows, f.key)
	}
}

// count adds a request to the totals of its stage (sign 1) or subtracts it (sign -1).
func (c *class) count(e *entry, sign int) {
	s := e.line.stage
	c.waiting[s] += sign
	c.work[s] += time.Duration(sign) * max(e.Work, 0)
	if e.Work <= 0 {
		c.unknown[s] += sign
	}
}

// first returns the next request of a stage among the lanes with a free slot, nil if
// there is none.
func (c *class) first(s stage, room [lanes]bool, now time.Duration) *entry {
	var due *line
	for l := range c.lines[s] {
		if !room[l] {
			continue
		}
		if line := c.head(s, lane(l), now); line != nil && (due == nil || before(line, due)) {
			due = line
		}
	}
	if due == nil {
		return nil
	}
	return due.requests.first()
}

// head returns the next line of a stage and a lane. Requests at the front that can no
// longer meet their objective are moved to the late stage first.
func (c *class) head(s stage, l lane, now time.Duration) *line {
	lines := &c.lines[s][l]
	for lines.len() > 0 {
		line := lines.first()
		e := line.requests.first()
		if s == late || e.start >= now {
			return line
		}
		line.flow.drop(e)
		line.flow.add(e, late)
	}
	return nil
}

// overdue reports whether the class is starved: it has had requests for longer than the
// longest of their objectives and was granted nothing.
func (c *class) overdue(now time.Duration) bool {
	return c.asking && c.span > 0 && c.waiting[timely]+c.waiting[late] > 0 && now-c.unserved >= c.span
}

// noteGranted records a grant and restarts the starvation timer, which runs on if
// requests are still queued.
func (c *class) noteGranted(now time.Duration) {
	c.asking, c.unserved = c.waiting[timely]+c.waiting[late] > 0, now
}

// noteAsked records the arrival of a request. Clients may retry without waiting in this
// queue, so demand counts as continuous while arrivals are no further apart than the
// longest objective.
func (c *class) noteAsked(now time.Duration, r *Request) {
	if !c.asking || now-c.asked > c.span {
		c.asking, c.unserved = true, now
	}
	c.asked = now
	if r.Objective > 0 {
		c.span = max(c.span, r.Objective-now)
	}
}
