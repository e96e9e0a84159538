package logs

import (
	"sync"
	"time"
)

// Settings of the limiter.
const (
	limitWindow = time.Second
	limitLines  = 4   // maximum of lines of one kind per window, about 2 kB
	limitKinds  = 512 // maximum of kinds that are tracked
)

// Limiter is a rate limiter for log lines, per kind of line. The first line of a kind
// is always allowed. The next allowed line gets the number of lines that were suppressed
// since the previous one. It is safe for concurrent use.
type Limiter struct {
	now func() time.Duration

	mu    sync.Mutex // guards kinds
	kinds map[string]*kindState
}

// kindState is the state of one kind of line in the window that began at windowStart.
type kindState struct {
	windowStart time.Duration
	written     int
	suppressed  int
}

// NewLimiter returns a limiter that reads the time from now, a monotonic clock.
func NewLimiter(now func() time.Duration) *Limiter {
	return &Limiter{now: now, kinds: make(map[string]*kindState)}
}

// Allow reports whether a line of the given kind may be written, and if so how many lines of
// the kind were suppressed since the last allowed one.
func (l *Limiter) Allow(kind string) (suppressed int, ok bool) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[kind]
	if k == nil {
		if len(l.kinds) >= limitKinds {
			clear(l.kinds) // bounds the memory; only a fault produces more kinds than this
		}
		k = &kindState{windowStart: now}
		l.kinds[kind] = k
	}
	if now-k.windowStart >= limitWindow {
		k.windowStart, k.written = now, 0
	}
	if k.written >= limitLines {
		k.suppressed++
		return 0, false
	}
	k.written++
	suppressed, k.suppressed = k.suppressed, 0
	return suppressed, true
}
