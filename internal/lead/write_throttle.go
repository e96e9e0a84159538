package lead

import (
	"errors"
	"sync"
	"time"

	"github.com/stackspindle/stackspindle/internal/kv"
)

// Limits of the store writes that begin the leadership of groups.
const (
	// maxConcurrentWrites is how many of these writes an instance has in flight.
	maxConcurrentWrites = 8
	// minWriteBackoff and maxWriteBackoff bound the exponential backoff after the store has
	// refused a write.
	minWriteBackoff = 100 * time.Millisecond
	maxWriteBackoff = 1600 * time.Millisecond
)

// writeThrottle limits and delays the store writes that begin the leadership of groups. When
// many instances start before many groups have leaders, the store accepts fewer writes per
// second than there are groups. If each group retried on its own, the store would refuse
// thousands of writes; each refused call is billed, and successful calls would queue behind
// them. writeThrottle has no clock of its own and is safe for concurrent use.
type writeThrottle struct {
	mu           sync.Mutex // guards the rest
	inFlight     int
	backoff      time.Duration // delay after the last refusal; 0: the last write was not refused
	blockedUntil time.Duration // no write may begin before this time
}

// isBlocked reports whether no write may begin now, because of a backoff or because enough
// writes are in flight.
func (w *writeThrottle) isBlocked(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now < w.blockedUntil || w.inFlight >= maxConcurrentWrites
}

// tryBegin reports whether a write may begin now. If it may, the caller must call end after
// it.
func (w *writeThrottle) tryBegin(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now < w.blockedUntil || w.inFlight >= maxConcurrentWrites {
		return false
	}
	w.inFlight++
	return true
}

// end records the result of a write that began at the given time. Concurrent writes that
// are refused together extend the backoff only once.
func (w *writeThrottle) end(began, now time.Duration, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	switch {
	case !errors.Is(err, kv.ErrUnavailable):
		w.backoff = 0
	case began >= w.blockedUntil:
		w.backoff = min(max(minWriteBackoff, 2*w.backoff), maxWriteBackoff)
		w.blockedUntil = now + w.backoff
	}
}
