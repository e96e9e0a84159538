// Package pool decides who gets the next connection of a member.
//
// Higher priorities come first, and what can still be answered in time before what
// cannot. Within a priority services and accounts share by weighted fair queueing,
// by the work that their requests are expected to take; what one of them brings is
// ordered by the time at which it must start. A priority that has asked for as long as
// its callers want to wait for an answer, and was granted nothing, gets one grant.
//
// Some connections are kept for writes, and as many as are wanted for work that only
// this member can run. A queue that is not patient refuses a request on arrival that
// would not be served before its deadline. The package has no I/O, clock or goroutine.
package pool

import (
	"cmp"
	"container/list"
	"slices"
	"time"
)

// Config bounds the use of one member's connections.
type Config struct {
	Capacity     int // connections that may be used at once
	WriteReserve int // of them, those that reads may not take
	MaxQueue     int // requests that may wait, of each service and account in one priority

	// MaxActive bounds the connections in use but for the parked ones, 0: no
	// bound. It keeps a queue in front of a busy member here, where it is fair and
	// ends at deadlines, instead of at the member.
	MaxActive int
	// Patient keeps requests in the queue until their deadline even when they are
	// not expected to be served before it.
	Patient bool
}

// Request asks for one connection.
type Request struct {
	ID       uint64
	Service  string
	Account  string        // whose connection is wanted, where connections belong to accounts
	Priority int           // lower ranks higher; callers' begin at 0, negative ones are the instance's own questions
	Work     time.Duration // expected time at the member, 0: not known
	// Objective is until when an answer is in time, 0: none.
	Objective time.Duration
	Elsewhere bool          // another member could run it, now or a moment later
	Any       bool          // a connection of any account will do, as for what is nobody's work
	Weight    int           // share of the service or account within its priority, at least 1
	Limit     int           // connections the service may use at once, 0: no bound
	Write     bool          // may use the reserve
	Deadline  time.Duration // after which the request must not be granted
}

// fixed reports whether only this member can run the work of a request.
func (r *Request) fixed() bool { return !r.Elsewhere && !r.Any }

// Outcome is what happens to a request.
type Outcome int

// The outcomes.
const (
	Granted Outcome = iota
	Queued
	QueueFull // refused: too many of the service or account wait already
	TooLate   // refused: it would not be served before its deadline
)

// Queue is the state of one member's connections. It is not safe for
// concurrent use.
type Queue struct {
	cfg      Config
	classes  []*class // by priority, the highest first; a priority that was seen stays
	entries  map[uint64]*entry
	arrivals list.List       // of *entry, the oldest first
	ends     indexed[*entry] // by deadline
	order    uint64          // of arrivals

	inUse  int
	parked int // of these, connections whose holder has nothing running
	reads  int
	fixed  use // by what only this member can run
	demand demand

	pauses  map[int]time.Duration // until when requests of a priority and below are held
	now     time.Duration         // at the last call that told
	average time.Duration         // moving average of how long a connection is in use
}

// use counts connections.
type use struct{ inUse, parked, waiting int }

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{
		cfg: cfg, entries: make(map[uint64]*entry), pauses: make(map[int]time.Duration),
		ends: indexed[*entry]{
			less:  func(a, b *entry) bool { return a.Deadline < b.Deadline },
			place: func(e *entry) *int { return &e.inEnds },
		},
	}
}

// SetCapacity changes the number of connections. Those in use stay in use.
func (q *Queue) SetCapacity(n int) { q.cfg.Capacity = n }

// SetMaxActive changes the bound of the connections in use but for parked ones.
func (q *Queue) SetMaxActive(n int) { q.cfg.MaxActive = n }

// Pause holds flexible requests of a priority and of lower ones until a time. What only this
// member can run is not held: nobody else serves it meanwhile. Those that wait are granted
// by the first call of Next after it.
func (q *Queue) Pause(priority int, until time.Duration) {
	q.pauses[priority] = max(q.pauses[priority], until)
}

// held reports whether a pause holds requests of a lane and a priority.
func (q *Queue) held(l lane, priority int) bool {
	if l != flexible {
		return false
	}
	for p, until := range q.pauses {
		if p <= priority && q.now < until {
			return true
		}
	}
	return false
}

// Park notes that the connection granted for a request runs nothing for a while, as one
// that is held by a transaction. It counts on within the capacity.
func (q *Queue) Park(r Request) {
	q.parked++
	if r.fixed() {
		q.fixed.parked++
	}
}

// Unpark ends what Park began. It is not bounded, since what holds the connection has
// begun and others wait for its end.
func (q *Queue) Unpark(r Request) {
	q.parked--
	if r.fixed() {
		q.fixed.parked--
	}
}

// Resume ends what Park began for further work of the same request.
func (q *Queue) Resume(now time.Duration, r Request) {
	q.now = now
	q.Unpark(r)
	if r.fixed() {
		q.noteDemand(0)
	}
}

// Capacity returns how many connections may be used at once.
func (q *Queue) Capacity() int { return q.cfg.Capacity }

// InUse returns how many connections are granted.
func (q *Queue) InUse() int { return q.inUse }

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return len(q.entries) }

// RetryAfter estimates when a refused request would find room.
func (q *Queue) RetryAfter() time.Duration {
	return max(q.expectedWait(len(q.entries)), 10*time.Millisecond)
}

// class returns the state of a priority.
func (q *Queue) class(priority int) *class {
	i, known := slices.BinarySearchFunc(q.classes, priority, func(c *class, p int) int { return cmp.Compare(c.priority, p) })
	if !known {
		q.classes = slices.Insert(q.classes, i, newClass(priority))
	}
	return q.classes[i]
}

// Offer takes in a request. A queued one is granted or expired by Next.
func (q *Queue) Offer(now time.Duration, r Request) Outcome {
	q.now = now
	c := q.class(r.Priority)
	f := c.flow(flowKey{r.Service, r.Account})
	defer c.forget(f)
	f.limit = r.Limit
	c.noteAsked(now, &r)
	if r.fixed() {
		q.noteDemand(1)
	}
	if q.admissible(f, &r) {
		f.ask(&r)
		q.grant(f, &r, f.cost(&r), c.fluid.virtual)
		return Granted
	}
	if f.waiting >= q.cfg.MaxQueue {
		return QueueFull
	}
	if r.Deadline <= now || !q.cfg.Patient && now+q.expectedWait(q.aheadOf(f, &r)) > r.Deadline {
		return TooLate
	}
	q.enqueue(f, r)
	return Queued
}

func (q *Queue) enqueue(f *flow, r Request) {
	q.order++
	f.ask(&r)
	e := &entry{
		Request: r, order: q.order, cost: f.cost(&r), arrived: f.class.fluid.virtual, start: latestStart(&r),
		inLine: absent, inEnds: absent,
	}
	e.arrival = q.arrivals.PushBack(e)
	q.entries[r.ID] = e
	q.ends.push(e)
	if r.fixed() {
		q.fixed.waiting++
	}
	f.add(e, timely)
}

// giveUp takes a request out that is not granted.
func (q *Queue) giveUp(e *entry) {
	f := e.line.flow
	q.remove(e)
	f.class.fluid.withdraw(f, e.cost)
	f.class.forget(f)
}

// remove takes a request out that waits.
func (q *Queue) remove(e *entry) {
	e.line.flow.drop(e)
	q.ends.remove(e)
	q.arrivals.Remove(e.arrival)
	delete(q.entries, e.ID)
	if e.fixed() {
		q.fixed.waiting--
	}
}

// aheadOf estimates how many grants come before a new request of a flow: its own
// queue, and as many of every other one as its share allows meanwhile.
func (q *Queue) aheadOf(f *flow, r *Request) int {
	own := f.waiting + 1
	ahead := own
	for _, c := range q.classes {
		for _, other := range c.flows {
			if other != f && c.priority <= r.Priority {
				ahead += min(other.waiting, own)
			}
		}
	}
	if r.Limit > 0 && r.Limit < q.cfg.Capacity {
		ahead = max(ahead, own*q.cfg.Capacity/r.Limit)
	}
	return ahead
}

func (q *Queue) expectedWait(ahead int) time.Duration {
	return q.average * time.Duration(ahead) / time.Duration(max(q.cfg.Capacity, 1))
}

// admissible reports whether a new request need not wait.
func (q *Queue) admissible(f *flow, r *Request) bool {
	l := laneOf(r)
	if r.Limit > 0 && f.inUse >= r.Limit || q.held(l, r.Priority) {
		return false
	}
	return q.room()[l] && !q.waitsAhead(l, r.Priority)
}

// waitsAhead reports whether something waits for room of a lane that comes before a new
// request of a priority, and is held by nothing else.
func (q *Queue) waitsAhead(l lane, priority int) bool {
	for _, c := range q.classes {
		if c.priority <= priority && !q.held(l, c.priority) && c.lines[timely][l].len()+c.lines[late][l].len() > 0 {
			return true
		}
	}
	return false
}

// room tells which lanes have room.
func (q *Queue) room() (room [lanes]bool) {
	active := q.inUse - q.parked
	if q.inUse >= q.cfg.Capacity || q.cfg.MaxActive > 0 && active >= q.cfg.MaxActive {
		return room
	}
	room[write] = true
	room[fixedRead] = q.reads < q.cfg.Capacity-q.cfg.WriteReserve
	room[flexible] = room[fixedRead] && q.leavesReserve(active)
	return room
}

// open returns of the lanes that have room those that no pause holds for a priority.
func (q *Queue) open(room [lanes]bool, priority int) [lanes]bool {
	for l := range room {
		room[l] = room[l] && !q.held(lane(l), priority)
	}
	return room
}

func (q *Queue) grant(f *flow, r *Request, cost, arrived float64) {
	q.inUse++
	f.inUse++
	f.class.inUse++
	f.class.noteGranted(q.now)
	if !r.Write {
		q.reads++
	}
	if r.fixed() {
		q.fixed.inUse++
	}
	f.charge(cost, arrived)
	f.refresh()
}

// Done returns a connection that was in use for a time.
func (q *Queue) Done(r Request, held time.Duration) {
	c := q.class(r.Priority)
	f := c.flow(flowKey{r.Service, r.Account})
	q.inUse--
	f.inUse--
	c.inUse--
	if !r.Write {
		q.reads--
	}
	if r.fixed() {
		q.fixed.inUse--
	}
	if held > 0 {
		q.noteHeld(held)
	}
	f.refresh()
	c.forget(f)
}

func (q *Queue) noteHeld(held time.Duration) {
	if q.average == 0 {
		q.average = held
	}
	q.average += (held - q.average) / averageSpan
}

// averageSpan is the number of grants over which the holding time is averaged.
const averageSpan = 16

// Next grants what there is room for, in order, and gives up on requests
// whose deadline has passed.
func (q *Queue) Next(now time.Duration) (granted, expired []Request) {
	q.now = now
	expired = q.expire(now)
	for {
		e := q.due()
		if e == nil {
			return granted, expired
		}
		f := e.line.flow
		if e.arrival != q.arrivals.Front() {
			f.class.overtook++
		}
		q.remove(e)
		q.grant(f, &e.Request, e.cost, e.arrived)
		granted = append(granted, e.Request)
	}
}

func (q *Queue) expire(now time.Duration) []Request {
	var expired []Request
	for q.ends.len() > 0 && q.ends.first().Deadline <= now {
		e := q.ends.first()
		q.giveUp(e)
		expired = append(expired, e.Request)
	}
	return expired
}

// due returns the request that is to be granted next, nil when none can be.
func (q *Queue) due() *entry {
	room := q.room()
	if !room[write] || len(q.entries) == 0 {
		return nil
	}
	next := q.inOrder(room)
	if e := q.overdue(room); e != nil && e != next {
		e.line.flow.class.overdueGrants++
		return e
	}
	return next
}

// inOrder returns the request that is due by stage and priority.
func (q *Queue) inOrder(room [lanes]bool) *entry {
	for s := range stages {
		for _, c := range q.classes {
			if e := c.first(s, q.open(room, c.priority), q.now); e != nil {
				return e
			}
		}
	}
	return nil
}

// overdue returns a request of a priority that has been granted nothing for too long. It
// may take what is reserved.
func (q *Queue) overdue(room [lanes]bool) *entry {
	room[flexible] = room[fixedRead]
	for _, c := range q.classes {
		if !c.overdue(q.now) {
			continue
		}
		for s := range stages {
			if e := c.first(s, q.open(room, c.priority), q.now); e != nil {
				return e
			}
		}
	}
	return nil
}

// Cancel takes a waiting request out. It reports false when it does not wait.
func (q *Queue) Cancel(r Request) bool {
	e := q.entries[r.ID]
	if e == nil {
		return false
	}
	q.giveUp(e)
	return true
}
