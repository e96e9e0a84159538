package pool

import "time"

// Backlog is what a new request of some priority would find.
type Backlog struct {
	Ahead  int           // requests that wait and would be granted before it
	Work   time.Duration // that these are expected to take
	Active int           // requests that hold a connection and are not parked
	Slots  int           // how many may be active at once, with the connections that parked ones leave
	Held   time.Duration // usual time for which a connection is held, 0: not known
}

// Backlog returns what a new request of a priority would find. Those whose work is
// not known count with the usual time.
func (q *Queue) Backlog(priority int) Backlog {
	b := Backlog{Active: q.inUse - q.parked, Slots: max(0, q.cfg.Capacity-q.parked), Held: q.average}
	if q.cfg.MaxActive > 0 {
		b.Slots = min(b.Slots, q.cfg.MaxActive)
	}
	for _, s := range q.services {
		for e := s.waiting.Front(); e != nil; e = e.Next() {
			r := e.Value.(Request)
			if r.Priority > priority {
				continue
			}
			b.Ahead++
			if r.Work > 0 {
				b.Work += r.Work
			} else {
				b.Work += q.average
			}
		}
	}
	return b
}
