// Package pool decides who gets the next connection of a member. Services share
// by weighted fair queueing, each within a bound of its own; some connections
// are kept for writes; and a request that cannot be served before its deadline
// is refused on arrival, so that goodput stays level under overload. The
// package has no I/O, clock or goroutine.
package pool

import (
	"container/list"
	"time"
)

// Config bounds the use of one member's connections.
type Config struct {
	Capacity     int // connections that may be used at once
	WriteReserve int // of them, those that reads may not take
	MaxQueue     int // requests that may wait, for each service

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
	Priority int           // 0 ranks highest
	Work     time.Duration // expected time at the member, 0: not known
	// Objective is until when an answer is in time, 0: none.
	Objective time.Duration
	Elsewhere bool          // another member could run it, now or a moment later
	Any       bool          // a connection of any account will do, as for what is nobody's work
	Level     int           // of importance; a pause holds requests of its level and above
	Weight    int           // share of the service under contention, at least 1
	Limit     int           // connections the service may use at once, 0: no bound
	Write     bool          // may use the reserve
	Deadline  time.Duration // after which the request must not be granted
}

// Outcome is what happens to a request.
type Outcome int

// The outcomes.
const (
	Granted Outcome = iota
	Queued
	QueueFull // refused: too many of the service wait already
	TooLate   // refused: it would not be served before its deadline
)

// service is the state of one service. It exists while it holds or waits.
type service struct {
	waiting *list.List // of Request
	inUse   int
	virtual float64 // virtual time at which its next request is due
}

// Queue is the state of one member's connections. It is not safe for
// concurrent use.
type Queue struct {
	cfg      Config
	services map[string]*service
	inUse    int
	parked   int // of these, connections whose holder has nothing running
	reads    int
	waiting  int
	pauses   map[int]time.Duration // until when requests of a level are held
	now      time.Duration         // at the last call that told
	clock    float64               // virtual time of the last grant
	average  time.Duration         // moving average of how long a connection is held
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{cfg: cfg, services: make(map[string]*service), pauses: make(map[int]time.Duration)}
}

// SetCapacity changes the number of connections. Those in use stay in use.
func (q *Queue) SetCapacity(n int) { q.cfg.Capacity = n }

// SetMaxActive changes the bound of the connections in use but for parked ones.
func (q *Queue) SetMaxActive(n int) { q.cfg.MaxActive = n }

// Pause holds requests of a level of importance and above until a time. Those that
// wait are granted by the first call of Next after it.
func (q *Queue) Pause(level int, until time.Duration) {
	q.pauses[level] = max(q.pauses[level], until)
}

// held reports whether a pause holds requests of a level.
func (q *Queue) held(level int) bool {
	for l, until := range q.pauses {
		if l <= level && q.now < until {
			return true
		}
	}
	return false
}

// Park notes that a granted connection runs nothing for a while, as one that is
// held by a transaction. It counts on within the capacity.
func (q *Queue) Park() { q.parked++ }

// Unpark ends what Park began.
func (q *Queue) Unpark() { q.parked-- }

// Capacity returns how many connections may be used at once.
func (q *Queue) Capacity() int { return q.cfg.Capacity }

// InUse returns how many connections are granted.
func (q *Queue) InUse() int { return q.inUse }

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return q.waiting }

// RetryAfter estimates when a refused request would find room.
func (q *Queue) RetryAfter() time.Duration {
	return max(q.expectedWait(q.waiting), 10*time.Millisecond)
}

func (q *Queue) service(name string) *service {
	s := q.services[name]
	if s == nil {
		s = &service{waiting: list.New(), virtual: q.clock}
		q.services[name] = s
	}
	return s
}

func (q *Queue) forget(name string, s *service) {
	if s.inUse == 0 && s.waiting.Len() == 0 && s.virtual <= q.clock {
		delete(q.services, name)
	}
}

// Offer takes in a request. A queued one is granted or expired by Next.
func (q *Queue) Offer(now time.Duration, r Request) Outcome {
	q.now = now
	s := q.service(r.Service)
	defer q.forget(r.Service, s)
	if s.waiting.Len() == 0 && q.admissible(s, r) {
		q.grant(s, r)
		return Granted
	}
	if s.waiting.Len() >= q.cfg.MaxQueue {
		return QueueFull
	}
	if r.Deadline <= now || !q.cfg.Patient && now+q.expectedWait(q.aheadOf(s, r)) > r.Deadline {
		return TooLate
	}
	s.waiting.PushBack(r)
	q.waiting++
	return Queued
}

// aheadOf estimates how many grants come before a new request of s: its own
// queue, and as many of every other service as its share allows meanwhile.
func (q *Queue) aheadOf(s *service, r Request) int {
	own := s.waiting.Len() + 1
	ahead := own
	for _, other := range q.services {
		if other != s {
			ahead += min(other.waiting.Len(), own)
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

// admissible reports whether the limits leave room for a request.
func (q *Queue) admissible(s *service, r Request) bool {
	if q.inUse >= q.cfg.Capacity || q.cfg.MaxActive > 0 && q.inUse-q.parked >= q.cfg.MaxActive {
		return false
	}
	if r.Limit > 0 && s.inUse >= r.Limit || q.held(r.Level) {
		return false
	}
	return r.Write || q.reads < q.cfg.Capacity-q.cfg.WriteReserve
}

func (q *Queue) grant(s *service, r Request) {
	q.inUse++
	s.inUse++
	if !r.Write {
		q.reads++
	}
	q.clock = max(q.clock, s.virtual)
	s.virtual = max(s.virtual, q.clock) + 1/float64(max(r.Weight, 1))
}

// Done returns a connection that was held for a time.
func (q *Queue) Done(r Request, held time.Duration) {
	s := q.service(r.Service)
	q.inUse--
	s.inUse--
	if !r.Write {
		q.reads--
	}
	if q.average == 0 {
		q.average = held
	}
	q.average += (held - q.average) / averageSpan
	q.forget(r.Service, s)
}

// averageSpan is the number of grants over which the holding time is averaged.
const averageSpan = 16

// Next grants what there is room for, in fair order, and gives up on requests
// whose deadline has passed.
func (q *Queue) Next(now time.Duration) (granted, expired []Request) {
	q.now = now
	expired = q.expire(now)
	for {
		name, s := q.dueService()
		if s == nil {
			return granted, expired
		}
		r := s.waiting.Remove(s.waiting.Front()).(Request)
		q.waiting--
		q.grant(s, r)
		q.forget(name, s)
		granted = append(granted, r)
	}
}

func (q *Queue) expire(now time.Duration) []Request {
	var expired []Request
	for name, s := range q.services {
		for e := s.waiting.Front(); e != nil; {
			next := e.Next()
			if r := e.Value.(Request); r.Deadline <= now {
				s.waiting.Remove(e)
				q.waiting--
				expired = append(expired, r)
			}
			e = next
		}
		q.forget(name, s)
	}
	return expired
}

// dueService returns the service with the least virtual time whose first
// request the limits admit.
func (q *Queue) dueService() (string, *service) {
	var name string
	var due *service
	for n, s := range q.services {
		if s.waiting.Len() == 0 || !q.admissible(s, s.waiting.Front().Value.(Request)) {
			continue
		}
		if due == nil || s.virtual < due.virtual || s.virtual == due.virtual && n < name {
			name, due = n, s
		}
	}
	return name, due
}

// Cancel takes a waiting request out. It reports false when it does not wait.
func (q *Queue) Cancel(r Request) bool {
	s := q.services[r.Service]
	if s == nil {
		return false
	}
	defer q.forget(r.Service, s)
	for e := s.waiting.Front(); e != nil; e = e.Next() {
		if e.Value.(Request).ID == r.ID {
			s.waiting.Remove(e)
			q.waiting--
			return true
		}
	}
	return false
}
