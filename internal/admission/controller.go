package admission

import "time"

// Controller is the admission controller for the requests of one priority to one member. The zero
// value has observed nothing. It is not safe for concurrent use.
type Controller struct {
	correction   Correction
	overload     Overload
	queued       int           // number of admitted requests that are queued
	lastProgress time.Duration // when one of them was last granted a slot, or the first of them was queued
}

// PredictWait predicts how long a request waits for a slot: from the backlog alone, and corrected
// by the waits of earlier requests of its priority. While such requests are queued, the corrected
// wait is at least the time since one of them was last granted a slot. This covers a member that
// has stopped answering, and requests of higher priority that take all slots.
func (c *Controller) PredictWait(now time.Duration, b Backlog) (predicted, wait time.Duration) {
	predicted, known := b.PredictWait()
	if known && predicted == 0 {
		return 0, 0
	}
	wait = time.Duration(float64(predicted) * c.correction.Factor())
	if c.queued > 0 {
		wait = max(wait, bounded(now-c.lastProgress))
	}
	return predicted, min(wait, maxWait)
}

// Overloaded reports whether a request of the priority was rejected recently.
func (c *Controller) Overloaded(now time.Duration) bool { return c.overload.lasts(now) }

// Decide decides whether a request is queued behind a backlog.
func (c *Controller) Decide(now time.Duration, r Request, b Backlog) Verdict {
	predicted, wait := c.PredictWait(now, b)
	v := Verdict{Admit: true, Predicted: predicted, Wait: wait}
	if wait == 0 {
		return v // a rejection would gain nothing
	}
	duration := time.Duration(float64(bounded(r.TypicalDuration)) * max(1, min(b.Slowdown, maxSlowdown)))
	if wait+duration <= r.Objective {
		return v
	}
	v.Admit, v.Reason, v.RetryAfter = false, Late, RetryAfter(r, wait, c.overload.RecordRejection(now))
	return v
}

// Enqueued records that a request was queued.
func (c *Controller) Enqueued(now time.Duration) {
	if c.queued == 0 {
		c.lastProgress = now
	}
	c.queued++
}

// Dequeued records that a request left the queue, with or without a slot.
func (c *Controller) Dequeued(now time.Duration, granted bool) {
	c.queued = max(0, c.queued-1)
	if granted {
		c.lastProgress = now
	}
}

// ObserveWait records how long a request waited in total until it was granted a slot or given up.
// predicted is the value from its verdict.
func (c *Controller) ObserveWait(actual, predicted time.Duration) {
	c.correction.ObserveWait(actual, predicted)
}
