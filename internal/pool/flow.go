package pool

import (
	"container/list"
	"math"
	"time"
)

// entry is a queued request.
type entry struct {
	Request
	line    *line
	order   uint64        // arrival number
	cost    float64       // expected work in seconds, divided by the weight of its flow
	arrived float64       // virtual time of its arrival
	start   time.Duration // latest time of a grant that still meets the objective
	arrival *list.Element // its element in Queue.arrivals
	inLine  int           // heap index in its line
	inEnds  int           // heap index in Queue.ends
}

// latestStart returns the latest time of a grant with which the request still meets its
// objective. Without an objective that is never too late.
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

// line queues the requests of one flow that are in one stage and one lane, ordered by
// their latest start.
type line struct {
	flow     *flow
	stage    stage
	lane     lane
	requests indexed[*entry]
	inClass  int // heap index in its class
}

// finish returns the virtual finish time of the line's first request: when it would
// complete if the flow got exactly its fair share.
func (l *line) finish() float64 {
	e := l.requests.first()
	return max(l.flow.virtual, e.arrived) + e.cost
}

// before orders lines by the virtual finish time of their first requests, and lines with
// equal ones by the latest start.
func before(a, b *line) bool {
	if fa, fb := a.finish(), b.finish(); fa != fb {
		return fa < fb
	}
	return earlier(a.requests.first(), b.requests.first())
}

// flowKey identifies a flow, the unit of fair sharing within a priority.
type flowKey struct{ service, account string }

// flow is the fair queueing state of one service and account in one priority.
type flow struct {
	class   *class
	key     flowKey
	lines   [stages][lanes]*line // nil: never used
	weight  float64
	virtual float64 // virtual time at which everything granted to it would be complete under fair sharing
	served  float64 // virtual time at which everything it requested would be complete under fair sharing
	inFluid int     // heap index in fluid.demanded
	inUse   int     // connections granted
	waiting int     // requests queued
	limit   int     // connections that it may use at once; 0: unlimited
}

// line returns the flow's line for a stage and a lane, which it creates on first use.
func (f *flow) line(s stage, l lane) *line {
	if f.lines[s][l] == nil {
		f.lines[s][l] = &line{
			flow: f, stage: s, lane: l, inClass: absent,
			requests: indexed[*entry]{less: earlier, place: func(e *entry) *int { return &e.inLine }},
		}
	}
	return f.lines[s][l]
}

// refresh updates the positions of the flow's lines in the class after its virtual time,
// its requests or its number of connections has changed. The lines of a flow at its
// connection limit are taken out of the class.
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

// ask adds a request to the flow's demand. The weight of a flow changes only while it has
// no demand.
func (f *flow) ask(r *Request) {
	if f.inFluid == absent {
		f.weight = float64(max(r.Weight, 1))
	}
	f.class.fluid.demand(f, f.cost(r))
}

// charge advances the flow's virtual time by the cost of a granted request that had
// arrived at a virtual time.
func (f *flow) charge(cost, arrived float64) {
	f.virtual = max(f.virtual, arrived) + cost
	f.class.fluid.serve(cost * f.weight)
}

// add queues a request in a stage.
func (f *flow) add(e *entry, s stage) {
	e.line = f.line(s, laneOf(&e.Request))
	unlist(e.line)
	e.line.requests.push(e)
	f.waiting++
	f.class.count(e, 1)
	f.refresh()
}

// drop takes a request out of its line.
func (f *flow) drop(e *entry) {
	unlist(e.line)
	e.line.requests.remove(e)
	f.waiting--
	f.class.count(e, -1)
	f.refresh()
}

// unlist takes a line out of the class's heap before its first request may change, since
// that request is the line's sort key. refresh puts it back.
func unlist(l *line) {
	if l.inClass != absent {
		l.flow.class.lines[l.stage][l.lane].remove(l)
	}
}
