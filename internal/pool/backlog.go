package pool

import "time"

// Backlog is the queue as a new request of some priority would find it. It is the
// input for predicting how long that request would wait.
type Backlog struct {
	Ahead  int           // queued requests that would be granted before it
	Work   time.Duration // total expected execution time of those requests
	Active int           // requests that hold a connection and are not parked
	Slots  int           // requests that may be active at once: connections not taken by parked requests, at most MaxActive
	// FlexibleSlots is the number of slots open to requests that another member could run.
	FlexibleSlots int
	MeanHoldTime  time.Duration // moving average of the time a connection is in use; 0: unknown
	// PausedUntil is the end of the pause of flexible requests of the priority; 0: no pause.
	PausedUntil time.Duration
}

// Backlog returns the backlog for a new request of a priority. A queued request of
// unknown expected work counts with the average time a connection is in use.
func (q *Queue) Backlog(priority int) Backlog {
	b := Backlog{Active: q.inUse - q.parked, Slots: max(0, q.cfg.Capacity-q.parked), MeanHoldTime: q.meanHoldTime}
	if q.cfg.MaxActive > 0 {
		b.Slots = min(b.Slots, q.cfg.MaxActive)
	}
	b.FlexibleSlots = q.flexibleSlots(b.Slots)
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
		b.Work += c.expectedWork[timely]
		b.Work += time.Duration(c.unknownCount[timely]) * q.meanHoldTime
	}
	return b
}

// WaitStats holds queue statistics of one priority.
type WaitStats struct {
	Priority int
	Waiting  int // requests in the queue at present
	Overtook int // total grants made ahead of a request that had arrived earlier
	Overdue  int // total grants made because the priority had been starved for too long
}

// WaitStats returns the statistics of each priority seen so far, highest priority first.
func (q *Queue) WaitStats() []WaitStats {
	waits := make([]WaitStats, 0, len(q.classes))
	for _, c := range q.classes {
		waits = append(waits, WaitStats{
			Priority: c.priority, Waiting: c.waiting[timely] + c.waiting[late], Overtook: c.overtook, Overdue: c.overdueGrants,
		})
	}
	return waits
}
