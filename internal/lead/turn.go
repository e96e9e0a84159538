package lead

import (
	"errors"
	"sync"
	"time"

	"github.com/stackspindle/stackspindle/internal/kv"
)

// Settings of the writes that begin to lead a group.
const (
	// writesAtOnce is how many of them an instance has under way.
	writesAtOnce = 8
	// minRefusedPause and maxRefusedPause bound the pause after the store has refused one. It
	// doubles while it refuses the next ones too.
	minRefusedPause = 100 * time.Millisecond
	maxRefusedPause = 1600 * time.Millisecond
)

// writeTurns spaces the writes that begin to lead groups. It answers the load of a start of
// many instances before many groups: the store takes fewer writes a second than there are groups, and
// groups that each try again on their own have it refuse thousands. Each refused call is
// charged, and those that count wait behind it. It has no clock and is safe for
// concurrent use.
type writeTurns struct {
	mu       sync.Mutex // guards the rest
	underWay int
	pause    time.Duration // after the last refusal, 0: the last write was not refused
	until    time.Duration // no write begins before
}

// paused reports whether no write may begin now, since the store refuses them or enough
// are under way.
func (w *writeTurns) paused(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now < w.until || w.underWay >= writesAtOnce
}

// begin reports whether a write may begin now. Then end must be called.
func (w *writeTurns) begin(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now < w.until || w.underWay >= writesAtOnce {
		return false
	}
	w.underWay++
	return true
}

// end notes what came of a write that began at a time. Refusals of writes that were under way
// together count once.
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
