package lead

import (
	"errors"
	"sync"
	"time"

	"github.com/stackspindle/stackspindle/internal/kv"
)

// Limits of the store writes that begin the leadership of groups.
const (
	// writesAtOnce is how many of these writes an instance has in flight.
	writesAtOnce = 8
	// minRefusedPause and maxRefusedPause bound the exponential backoff after the store has
	// refused a write.
	minRefusedPause = 100 * time.Millisecond
	maxRefusedPause = 1600 * time.Millisecond
)

// writeTurns limits and delays the store writes that begin the leadership of groups. When
// many instances start before many groups have leaders, the store accepts fewer writes per
// second than there are groups. If each group retried on its own, the store would refuse
// thousands of writes; each refused call is billed, and successful calls would queue behind
// them. writeTurns has no clock of its own and is safe for concurrent use.
type writeTurns struct {
	mu       sync.Mutex // guards the rest
	underWay int
	pause    time.Duration // delay after the last refusal; 0: the last write was not refused
	until    time.Duration // no write may begin before this time
}

// paused reports whether no write may begin now, because of a backoff or because enough
// writes are in flight.
func (w *writeTurns) paused(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now < w.until || w.underWay >= writesAtOnce
}

// begin reports whether a write may begin now. If it may, the caller must call end after
// it.
func (w *writeTurns) begin(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now < w.until || w.underWay >= writesAtOnce {
		return false
	}
	w.underWay++
	return true
}

// end records the result of a write that began at the given time. Concurrent writes that
// are refused together extend the backoff only once.
func (w *writeTurns) end(began, now time.Duration, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.underWay--
	switch {
	case !errors.Is(err, kv.ErrUnavailable):
		w.pause = 0
	case began >= w.until:
		w.pause = min(max(minRefusedPause, 2*w.pause), maxRefusedPause)
		w.until = now + w.pause
	}
}
