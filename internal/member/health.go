package member

import "time"

// Bounds of how long a member that did not answer is passed over.
const (
	minPassOver = 200 * time.Millisecond // a pause of the member, or a lost answer
	maxPassOver = 2 * time.Second        // seldom enough that a dead member costs little
	maxShift    = 4
)

// Health is what one instance has seen of a member. It has no clock and is not
// safe for concurrent use.
type Health struct {
	lastAnswer time.Duration // when a complete answer last arrived
	answered   bool
	failures   int           // attempts in a row that got no answer
	missedAt   time.Duration // when the first of them did not
	passUntil  time.Duration
}

// Answered notes a complete answer, whatever it says.
func (h *Health) Answered(now time.Duration) {
	h.lastAnswer, h.answered = now, true
	h.failures, h.passUntil = 0, 0
}

// Missed notes an attempt that got no answer.
func (h *Health) Missed(now time.Duration) {
	if h.failures == 0 {
		h.missedAt = now
	}
	h.passUntil = now + min(minPassOver<<min(h.failures, maxShift), maxPassOver)
	h.failures++
}

// Usable reports whether the member should get work while others could.
func (h *Health) Usable(now time.Duration) bool { return now >= h.passUntil }

// SinceAnswer returns how long ago the member answered, and whether it ever did.
func (h *Health) SinceAnswer(now time.Duration) (time.Duration, bool) {
	return now - h.lastAnswer, h.answered
}

// SilentFor returns for how long attempts have got no answer, 0 where the last one did.
// Time in which nobody asked does not count.
func (h *Health) SilentFor(now time.Duration) time.Duration {
	if h.failures == 0 {
		return 0
	}
	return now - h.missedAt
}

// Doubtful reports whether an attempt since the last answer got none.
func (h *Health) Doubtful() bool { return h.failures > 0 }
