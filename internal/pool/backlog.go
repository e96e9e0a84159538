package pool

import "time"

// Backlog is what a new request of some priority would find.
type Backlog struct {
	Ahead  int           // requests that wait and would be granted before it
	Work   time.Duration // that these are expected to take
	Active int           // requests that hold a connection and are not parked
	Slots  int           // how many may be active at once, with the connections that parked ones leave
	// Flexible is how many of the slots are for requests that could run elsewhere.
	Flexible int
	Held     time.Duration // usual time for which a connection is in use, 0: not known
	// PausedUntil is until when requests of the priority are held, 0: they are not.
	PausedUntil time.Duration
}

// Backlog returns what a new request of a priority would find. Those whose work is
// not known count with the usual time.
func (q *Queue) Backlog(priority int) Backlog {
	b := Backlog{Active: q.inUse - q.parked, Slots: max(0, q.cfg.Capacity-q.parked), Held: q.average}
	if q.cfg.MaxActive > 0 {
		b.Slots = min(b.Slots, q.cfg.MaxActive)
	}
	b.Flexible = q.flexibleSlots(b.Slots)
	for level, until := range q.pauses {
		if level <= priority {
			b.PausedUntil = max(b.PausedUntil, until)
		}
	}
	for _, c := range q.classes {
		if c.priority > priority {
			break
		}
		b.Ahead += c.waiting[timely]
		b.Work += c.work[timely]
		b.Work += time.Duration(c.unknown[timely]) * q.average
	}
	return b
}

// Waiting tells how many requests of a priority wait, and what the order did for them.
type Waiting struct {
	Priority int
	Now      int
	Overtook int // granted before others that had come earlier, in all
	Overdue  int // granted since none had been for too long, in all
}

// Waits returns what is known of each priority, the highest first.
func (q *Queue) Waits() []Waiting {
	waits := make([]Waiting, 0, len(q.classes))
	for _, c := range q.classes {
		waits = append(waits, Waiting{
			Priority: c.priority, Now: c.waiting[timely] + c.waiting[late], Overtook: c.overtook, Overdue: c.overdueGrants,
		})
	}
	return waits
}
