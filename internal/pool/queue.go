// Package pool schedules requests for the connections of one database member. It decides
// which request is granted the next free connection; package connpool uses it and holds
// the connections themselves.
//
// Order: requests that can still meet their latency objective come before those that
// cannot, and higher priorities before lower ones. Within a priority, services and
// accounts share by weighted fair queueing over the expected execution time of their
// requests; the requests of one service and account are ordered by the latest time at
// which they must start. To prevent starvation, a priority that has had requests for as
// long as its longest objective without a grant gets one grant.
//
// Reserves: a fixed number of connections is kept for writes. A further number, which
// follows demand, is kept for pinned requests, which only this member can run; flexible
// requests, which other members could run as well, may not take it.
//
// A request is rejected on arrival when too many of its service and account are queued
// already. Unless Config says to keep requests until their deadline, it is also rejected
// when it is not expected to be granted before then. The package has no I/O, clock or
// goroutine; the time is passed in.
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
	WriteReserve int // connections, of the capacity, that reads may not take
	MaxQueue     int // requests that may be queued, per service and account in one priority

	// MaxActive bounds the connections in use that are not parked; 0: unbounded. It
	// makes requests for a busy member queue here, where sharing is fair and
	// deadlines are enforced, instead of at the member.
	MaxActive int
	// KeepUntilDeadline keeps requests in the queue until their deadline even when they are
	// not expected to be granted before it.
	KeepUntilDeadline bool
}

// Request asks for one connection.
type Request struct {
	ID       uint64
	Service  string
	Account  string        // client account whose connection is needed
	Priority int           // lower values rank higher; those of clients start at 0, negative ones are for the instance's own queries
	Work     time.Duration // expected execution time at the member; 0: unknown
	// Objective is the time by which the answer meets the latency objective; 0: none.
	Objective  time.Duration
	Flexible   bool          // another member could run it, now or shortly
	AnyAccount bool          // a connection of any account will do: the work is done for no account
	Weight     int           // fair queueing weight of the service and account within the priority, at least 1
	Limit      int           // connections that the service and account may use at once in the priority; 0: unlimited
	Write      bool          // may use the write reserve
	Deadline   time.Duration // time from which the request must not be granted
}

// pinned reports whether the request is pinned to this member: no other member can run it.
func (r *Request) pinned() bool { return !r.Flexible && !r.AnyAccount }

// Outcome is the result of offering a request to the queue.
type Outcome int

// The outcomes.
const (
	Granted Outcome = iota
	Queued
	QueueFull // rejected: too many requests of the service and account are queued
	TooLate   // rejected: it would not be granted before its deadline
)

// Queue schedules the connections of one member. It is not safe for concurrent use.
type Queue struct {
	cfg          Config
	classes      []*class            // by priority, highest first; never removed
	entries      map[uint64]*entry   // queued requests by ID
	arrivals     list.List           // queued requests as *entry, oldest first
	byDeadline   indexedHeap[*entry] // queued requests by deadline
	arrivalCount uint64              // arrivals so far

	inUse  int           // connections granted
	parked int           // of those, connections whose holder runs nothing at present
	reads  int           // of those in use, connections granted for reads
	pinned requestCounts // counts of pinned requests
	demand demand

	pauses       map[int]time.Duration // by priority: end of the pause of flexible requests of it and lower ones
	now          time.Duration         // as passed in the last call
	meanHoldTime time.Duration         // moving average of the time a connection is in use
}

// requestCounts counts requests that hold a connection, those of them that are parked, and
// queued requests.
type requestCounts struct{ inUse, parked, waiting int }

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{
		cfg: cfg, entries: make(map[uint64]*entry), pauses: make(map[int]time.Duration),
		byDeadline: indexedHeap[*entry]{
			less:    func(a, b *entry) bool { return a.Deadline < b.Deadline },
			indexOf: func(e *entry) *int { return &e.deadlineIndex },
		},
	}
}

// SetCapacity changes the number of connections. Those in use stay in use.
func (q *Queue) SetCapacity(n int) { q.cfg.Capacity = n }

// SetMaxActive changes the bound of the connections in use that are not parked.
func (q *Queue) SetMaxActive(n int) { q.cfg.MaxActive = n }

// Pause stops granting flexible requests of a priority and of lower ones until a time.
// Pinned requests go on, since no other member could serve them meanwhile. Requests queued
// during the pause are granted by the first call of Next after its end.
func (q *Queue) Pause(priority int, until time.Duration) {
	q.pauses[priority] = max(q.pauses[priority], until)
}

// paused reports whether a pause is in effect for a lane and a priority.
func (q *Queue) paused(l lane, priority int) bool {
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

// Park records that the connection granted for a request runs nothing for a while, such
// as one held by a transaction between statements. It no longer counts as active but
// still counts towards the capacity.
func (q *Queue) Park(r Request) {
	q.parked++
	if r.pinned() {
		q.pinned.parked++
	}
}

// Unpark reverts Park. It may exceed MaxActive: the holder's transaction has begun, and
// other requests wait for its end.
func (q *Queue) Unpark(r Request) {
	q.parked--
	if r.pinned() {
		q.pinned.parked--
	}
}

// Resume reverts Park because the holder runs another statement, and counts that
// statement as demand.
func (q *Queue) Resume(now time.Duration, r Request) {
	q.now = now
	q.Unpark(r)
	if r.pinned() {
		q.recordDemand(0)
	}
}

// Capacity returns how many connections may be used at once.
func (q *Queue) Capacity() int { return q.cfg.Capacity }

// InUse returns how many connections are granted.
func (q *Queue) InUse() int { return q.inUse }

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return len(q.entries) }

// RetryAfter estimates the delay after which a rejected request would find a free slot.
func (q *Queue) RetryAfter() time.Duration {
	return max(q.expectedWait(len(q.entries)), 10*time.Millisecond)
}

// class returns the class of a priority, which it creates on first use.
func (q *Queue) class(priority int) *class {
	i, known := slices.BinarySearchFunc(q.classes, priority, func(c *class, p int) int { return cmp.Compare(c.priority, p) })
	if !known {
		q.classes = slices.Insert(q.classes, i, newClass(priority))
	}
	return q.classes[i]
}

// Offer grants, queues or rejects a request. A queued request is granted or expired by a
// later call of Next.
func (q *Queue) Offer(now time.Duration, r Request) Outcome {
	q.now = now
	c := q.class(r.Priority)
	f := c.flow(flowKey{r.Service, r.Account})
	defer c.dropUnused(f)
	f.limit = r.Limit
	c.recordArrival(now, &r)
	if r.pinned() {
		q.recordDemand(1)
	}
	if q.admissible(f, &r) {
		f.addDemand(&r)
		q.grant(f, &r, f.cost(&r), c.fluid.virtualTime)
		return Granted
	}
	if f.waiting >= q.cfg.MaxQueue {
		return QueueFull
	}
	if r.Deadline <= now || !q.cfg.KeepUntilDeadline && now+q.expectedWait(q.grantsAhead(f, &r)) > r.Deadline {
		return TooLate
	}
	q.enqueue(f, r)
	return Queued
}

func (q *Queue) enqueue(f *flow, r Request) {
	q.arrivalCount++
	f.addDemand(&r)
	e := &entry{
		Request: r, arrivalNumber: q.arrivalCount, cost: f.cost(&r), arrivalVirtual: f.class.fluid.virtualTime, latestStart: latestStart(&r),
		subqueueIndex: notInHeap, deadlineIndex: notInHeap,
	}
	e.arrivalElement = q.arrivals.PushBack(e)
	q.entries[r.ID] = e
	q.byDeadline.push(e)
	if r.pinned() {
		q.pinned.waiting++
	}
	f.enqueue(e, timely)
}

// discard removes a queued request that will not be granted, and its demand.
func (q *Queue) discard(e *entry) {
	f := e.subqueue.flow
	q.remove(e)
	f.class.fluid.withdraw(f, e.cost)
	f.class.dropUnused(f)
}

// remove takes a request out of the queue.
func (q *Queue) remove(e *entry) {
	e.subqueue.flow.dequeue(e)
	q.byDeadline.remove(e)
	q.arrivals.Remove(e.arrivalElement)
	delete(q.entries, e.ID)
	if e.pinned() {
		q.pinned.waiting--
	}
}

// grantsAhead estimates how many grants it takes until a new request of a flow is granted:
// those to the flow's own queue, and at most as many to each other flow of the same or a
// higher priority, since flows take turns. A connection limit of the flow scales it up.
func (q *Queue) grantsAhead(f *flow, r *Request) int {
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
	return q.meanHoldTime * time.Duration(ahead) / time.Duration(max(q.cfg.Capacity, 1))
}

// admissible reports whether a new request can be granted at once.
func (q *Queue) admissible(f *flow, r *Request) bool {
	l := laneOf(r)
	if r.Limit > 0 && f.inUse >= r.Limit || q.paused(l, r.Priority) {
		return false
	}
	return q.freeLanes()[l] && !q.hasQueuedAhead(l, r.Priority)
}

// hasQueuedAhead reports whether requests of the same or a higher priority are queued for a
// lane and are held back neither by a pause nor by a connection limit.
func (q *Queue) hasQueuedAhead(l lane, priority int) bool {
	for _, c := range q.classes {
		if c.priority <= priority && !q.paused(l, c.priority) && c.subqueues[timely][l].len()+c.subqueues[late][l].len() > 0 {
			return true
		}
	}
	return false
}

// freeLanes returns the lanes in which a request may be granted now.
func (q *Queue) freeLanes() (free [lanes]bool) {
	active := q.inUse - q.parked
	if q.inUse >= q.cfg.Capacity || q.cfg.MaxActive > 0 && active >= q.cfg.MaxActive {
		return free
	}
	free[write] = true
	free[pinnedRead] = q.reads < q.cfg.Capacity-q.cfg.WriteReserve
	free[flexible] = free[pinnedRead] && q.keepsReserve(active)
	return free
}

// unpausedLanes returns those of the lanes that no pause of the priority blocks.
func (q *Queue) unpausedLanes(free [lanes]bool, priority int) [lanes]bool {
	for l := range free {
		free[l] = free[l] && !q.paused(lane(l), priority)
	}
	return free
}

func (q *Queue) grant(f *flow, r *Request, cost, arrived float64) {
	q.inUse++
	f.inUse++
	f.class.inUse++
	f.class.recordGrant(q.now)
	if !r.Write {
		q.reads++
	}
	if r.pinned() {
		q.pinned.inUse++
	}
	f.charge(cost, arrived)
	f.updateHeaps()
}

// Done returns the connection granted for a request. held is the time for which it was in
// use; 0 leaves the average unchanged.
func (q *Queue) Done(r Request, held time.Duration) {
	c := q.class(r.Priority)
	f := c.flow(flowKey{r.Service, r.Account})
	q.inUse--
	f.inUse--
	c.inUse--
	if !r.Write {
		q.reads--
	}
	if r.pinned() {
		q.pinned.inUse--
	}
	if held > 0 {
		q.recordHoldTime(held)
	}
	f.updateHeaps()
	c.dropUnused(f)
}

func (q *Queue) recordHoldTime(held time.Duration) {
	if q.meanHoldTime == 0 {
		q.meanHoldTime = held
	}
	q.meanHoldTime += (held - q.meanHoldTime) / averageSpan
}

// averageSpan is the number of grants over which the time in use is averaged.
const averageSpan = 16

// Next grants as many queued requests as possible, in order, and removes those whose
// deadline has passed.
func (q *Queue) Next(now time.Duration) (granted, expired []Request) {
	q.now = now
	expired = q.expire(now)
	for {
		e := q.pickNext()
		if e == nil {
			return granted, expired
		}
		f := e.subqueue.flow
		if e.arrivalElement != q.arrivals.Front() {
			f.class.overtook++
		}
		q.remove(e)
		q.grant(f, &e.Request, e.cost, e.arrivalVirtual)
		granted = append(granted, e.Request)
	}
}

func (q *Queue) expire(now time.Duration) []Request {
	var expired []Request
	for q.byDeadline.len() > 0 && q.byDeadline.first().Deadline <= now {
		e := q.byDeadline.first()
		q.discard(e)
		expired = append(expired, e.Request)
	}
	return expired
}

// pickNext returns the request to grant next, nil if none can be granted.
func (q *Queue) pickNext() *entry {
	free := q.freeLanes()
	if !free[write] || len(q.entries) == 0 {
		return nil
	}
	next := q.pickInOrder(free)
	if e := q.pickStarved(free); e != nil && e != next {
		e.subqueue.flow.class.overdueGrants++
		return e
	}
	return next
}

// pickInOrder returns the next request by stage and priority, starvation aside.
func (q *Queue) pickInOrder(free [lanes]bool) *entry {
	for s := range stages {
		for _, c := range q.classes {
			if e := c.next(s, q.unpausedLanes(free, c.priority), q.now); e != nil {
				return e
			}
		}
	}
	return nil
}

// pickStarved returns a request of the highest priority that is starved, nil if none is.
// Such a request may take the slots reserved for pinned requests.
func (q *Queue) pickStarved(free [lanes]bool) *entry {
	free[flexible] = free[pinnedRead]
	for _, c := range q.classes {
		if !c.starved(q.now) {
			continue
		}
		for s := range stages {
			if e := c.next(s, q.unpausedLanes(free, c.priority), q.now); e != nil {
				return e
			}
		}
	}
	return nil
}

// Cancel removes a queued request. It returns false if the request is not queued.
func (q *Queue) Cancel(r Request) bool {
	e := q.entries[r.ID]
	if e == nil {
		return false
	}
	q.discard(e)
	return true
}
