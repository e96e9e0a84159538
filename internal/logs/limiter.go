package logs

import (
	"sync"
	"time"
)

// Settings of the limiter.
const (
	limitWindow = time.Second
	limitLines  = 4 // of one kind in a window, some 2 kB
	limitKinds  = 512
)

// Limiter bounds how many lines of one kind are written. The first of a kind is
// never left out, and the next that is written tells how many were. It is safe
// for concurrent use.
type Limiter struct {
	now func() time.Duration

	mu    sync.Mutex // guards kinds
	kinds map[string]*kind
}

// kind is what was written of one kind of line in the window that began at since.
type kind struct {
	since   time.Duration
	written int
	leftOut int
}

// NewLimiter returns a limiter on a clock.
func NewLimiter(now func() time.Duration) *Limiter {
	return &Limiter{now: now, kinds: make(map[string]*kind)}
}

// Allow reports whether a line of a kind may be written, and how many of the kind
// were left out since the last that was.
func (l *Limiter) Allow(name string) (leftOut int, ok bool) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[name]
	if k == nil {
		if len(l.kinds) >= limitKinds {
			clear(l.kinds) // kinds are few; more would come from a fault, and the memory is bounded
		}
		k = &kind{since: now}
		l.kinds[name] = k
	}
	if now-k.since >= limitWindow {
		k.since, k.written = now, 0
	}
	if k.written >= limitLines {
		k.leftOut++
		return 0, false
	}
	k.written++
	leftOut, k.leftOut = k.leftOut, 0
	return leftOut, true
}
