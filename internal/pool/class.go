package pool

import "time"

// stage tells whether a request that waits can still be answered in time.
type stage int

const (
	timely stage = iota
	late
	stages
)

// lane tells what room a request may take.
type lane int

const (
	flexible  lane = iota // leaves what is reserved for work that only this member can run
	fixedRead             // leaves what is reserved for writes
	write
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

// class is what has the same priority.
type class struct {
	priority int
	flows    map[flowKey]*flow
	lines    [stages][lanes]indexed[*line] // those that have requests, of flows within their limits
	fluid    fluid
	inUse    int
	waiting  [stages]int
	work     [stages]time.Duration // expected, of what waits and tells
	unknown  [stages]int           // requests that wait and do not tell

	overtook      int // grants before others that had come earlier
	overdueGrants int // grants since there had been none for too long

	unserved time.Duration // when it first asked since it was last granted anything
	asking   bool          // it has asked since
	asked    time.Duration // when it asked last
	span     time.Duration // the longest objective of its requests
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

// forget drops what nothing needs any more: a flow without requests that has had no more
// than its share, and all of them when the class is idle.
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

// count adds a request to what waits, or takes it from there.
func (c *class) count(e *entry, sign int) {
	s := e.line.stage
	c.waiting[s] += sign
	c.work[s] += time.Duration(sign) * max(e.Work, 0)
	if e.Work <= 0 {
		c.unknown[s] += sign
	}
}

// first returns the request of a stage that is due among the lanes that have room.
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

// head returns the line of a stage and a lane that is due, after those requests that it
// finds too late to be in time have gone to the next stage.
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

// overdue reports whether the class has asked for longer than its callers want to wait
// for an answer, and was granted nothing.
func (c *class) overdue(now time.Duration) bool {
	return c.asking && c.span > 0 && c.waiting[timely]+c.waiting[late] > 0 && now-c.unserved >= c.span
}

// noteGranted records that a request was granted. What still waits goes on asking.
func (c *class) noteGranted(now time.Duration) {
	c.asking, c.unserved = c.waiting[timely]+c.waiting[late] > 0, now
}

// noteAsked records that a request came. Requests may ask over and over without waiting
// here; what was asked for longer ago than callers want to wait is over.
func (c *class) noteAsked(now time.Duration, r *Request) {
	if !c.asking || now-c.asked > c.span {
		c.asking, c.unserved = true, now
	}
	c.asked = now
	if r.Objective > 0 {
		c.span = max(c.span, r.Objective-now)
	}
}
