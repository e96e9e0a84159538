package pool

import (
	"container/list"
	"math"
	"time"
)

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

// entry is a request that waits.
type entry struct {
	Request
	line    *line
	order   uint64        // of arrival
	cost    float64       // its work, divided by the weight of its flow
	arrived float64       // virtual time of its arrival
	start   time.Duration // when it must be granted at the latest to be in time
	arrival *list.Element // its place in the order of arrival
	inLine  int           // its place among the requests of its line
	inEnds  int           // its place among all deadlines
}

// latestStart returns until when a request must be granted to be answered in time.
func latestStart(r *Request) time.Duration {
	if r.Objective <= 0 {
		return math.MaxInt64
	}
	return r.Objective - r.Work
}

func earlier(a, b *entry) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return a.order < b.order
}

// line holds the requests of one flow that are in one stage and one lane.
type line struct {
	flow     *flow
	stage    stage
	lane     lane
	requests indexed[*entry]
	inClass  int // its place among the lines of its class
}

// finish returns the virtual time at which the first request of a line would be served
// if its flow got no more than its share.
func (l *line) finish() float64 {
	e := l.requests.first()
	return max(l.flow.virtual, e.arrived) + e.cost
}

// before reports whether the first request of a comes before that of b: the one that
// ends first in fair shares, and of equals the one that must start first.
func before(a, b *line) bool {
	if fa, fb := a.finish(), b.finish(); fa != fb {
		return fa < fb
	}
	return earlier(a.requests.first(), b.requests.first())
}

// flowKey names what shares fairly within a priority.
type flowKey struct{ service, account string }

// flow is the state of one account, or service, in one priority.
type flow struct {
	class   *class
	key     flowKey
	lines   [stages][lanes]*line // nil: never used
	weight  float64
	virtual float64 // time at which all that it was granted would be served in fair shares
	served  float64 // time at which all that it asked for is served in fair shares
	inFluid int     // its place among the flows that have demand there
	inUse   int
	waiting int
	limit   int // connections that it may use at once, 0: no bound
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

// line returns the line of a flow for a stage and a lane.
func (f *flow) line(s stage, l lane) *line {
	if f.lines[s][l] == nil {
		f.lines[s][l] = &line{
			flow: f, stage: s, lane: l, inClass: absent,
			requests: indexed[*entry]{less: earlier, place: func(e *entry) *int { return &e.inLine }},
		}
	}
	return f.lines[s][l]
}

// refresh brings the lines of a flow to their places in the class after its tag, its
// requests or its use has changed.
func (f *flow) refresh() {
	open := f.limit <= 0 || f.inUse < f.limit
	for s := range f.lines {
		for l, line := range f.lines[s] {
			if line == nil {
				continue
			}
			in := &f.class.lines[s][l]
			switch wanted := open && line.requests.len() > 0; {
			case wanted && line.inClass == absent:
				in.push(line)
			case wanted:
				in.fix(line)
			case line.inClass != absent:
				in.remove(line)
			}
		}
	}
}

// unknownWork is the cost of a request whose work is not known.
const unknownWork = time.Millisecond

// cost returns the share of the class that a request needs.
func (f *flow) cost(r *Request) float64 {
	work := r.Work
	if work <= 0 {
		work = unknownWork
	}
	return work.Seconds() / f.weight
}

// ask notes that the flow wants what a request costs.
func (f *flow) ask(r *Request) {
	if f.inFluid == absent {
		f.weight = float64(max(r.Weight, 1))
	}
	f.class.fluid.demand(f, f.cost(r))
}

// charge notes that the flow was granted a request that arrived at a virtual time.
func (f *flow) charge(cost, arrived float64) {
	f.virtual = max(f.virtual, arrived) + cost
	f.class.fluid.serve(cost * f.weight)
}

// add takes in a request that has to wait.
func (f *flow) add(e *entry, s stage) {
	e.line = f.line(s, laneOf(&e.Request))
	unlist(e.line)
	e.line.requests.push(e)
	f.waiting++
	f.class.count(e, 1)
	f.refresh()
}

// drop takes a request out that waits.
func (f *flow) drop(e *entry) {
	unlist(e.line)
	e.line.requests.remove(e)
	f.waiting--
	f.class.count(e, -1)
	f.refresh()
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

// unlist takes a line out of its class while its first request may change, since the
// order of the class depends on that.
func unlist(l *line) {
	if l.inClass != absent {
		l.flow.class.lines[l.stage][l.lane].remove(l)
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

// noteAsked records that a request came.
func (c *class) noteAsked(now time.Duration, r *Request) {
	if !c.asking {
		c.asking, c.unserved = true, now
	}
	if r.Objective > 0 {
		c.span = max(c.span, r.Objective-now)
	}
}
