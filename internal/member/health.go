package member

import "time"

// Bounds of the exponential backoff for which a member that did not answer is avoided.
const (
	minBackoff = 200 * time.Millisecond // covers a short pause of the member or a lost answer
	maxBackoff = 2 * time.Second        // long enough that attempts at a dead member cost little
	maxShift   = 4                      // keeps the shift of the backoff in range
)

// Health tracks whether a member answers this instance, as a circuit breaker does. The
// zero Health is of a member that was not contacted yet. It has no clock and is not safe
// for concurrent use.
type Health struct {
	lastAnswer   time.Duration // time of the last complete answer
	answered     bool          // an answer has arrived at some time
	failures     int           // consecutive attempts without an answer
	firstFailure time.Duration // time of the first of them
	avoidUntil   time.Duration // end of the backoff
}

// RecordAnswer records a complete answer, whether it reports success or an error.
func (h *Health) RecordAnswer(now time.Duration) {
	h.lastAnswer, h.answered = now, true
	h.failures, h.avoidUntil = 0, 0
}

// RecordNoAnswer records an attempt that got no answer.
func (h *Health) RecordNoAnswer(now time.Duration) {
	if h.failures == 0 {
		h.firstFailure = now
	}
	h.avoidUntil = now + min(minBackoff<<min(h.failures, maxShift), maxBackoff)
	h.failures++
}

// Usable reports whether the member may be chosen for a statement that other members could
// run as well.
func (h *Health) Usable(now time.Duration) bool { return now >= h.avoidUntil }

// SinceAnswer returns the time since the member's last answer, and whether there was one.
func (h *Health) SinceAnswer(now time.Duration) (time.Duration, bool) {
	return now - h.lastAnswer, h.answered
}

// UnresponsiveFor returns the time since the first of the consecutive attempts without an
// answer, 0 if the last attempt got one. Time without attempts after an answer does not
// count.
func (h *Health) UnresponsiveFor(now time.Duration) time.Duration {
	if h.failures == 0 {
		return 0
	}
	return now - h.firstFailure
}

// HasUnansweredAttempt reports whether an attempt since the last answer failed to get one.
func (h *Health) HasUnansweredAttempt() bool { return h.failures > 0 }
