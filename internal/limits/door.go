package limits

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/quota"
)

// Admit reports whether an operation may be passed on to an instance that would run it, or
// after what time its caller is to come back.
func (l *Limiter) Admit(v quota.Visit) (time.Duration, bool) {
	if !l.isLimited(v.Account) {
		return 0, true
	}
	l.mu.Lock()
	comeBack, ok := l.door.Admit(l.now(), l.withLimit(v))
	l.mu.Unlock()
	if !ok {
		l.counters.note(v.Account, "refused_at_door")
	}
	return comeBack, ok
}

// Refused takes in that an operation which was passed on some time ago was refused, since
// the account has no tokens for a while. It returns after what time the caller is to come
// back, 0 when that is not known.
func (l *Limiter) Refused(v quota.Visit, ago, empty time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.door.Refused(l.now()-ago, l.now(), l.withLimit(v), empty)
}

// Ran takes in that an operation which was passed on some time ago has found a token.
func (l *Limiter) Ran(v quota.Visit, ago time.Duration) {
	if !l.isLimited(v.Account) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.door.Ran(l.now()-ago, l.withLimit(v))
}

func (l *Limiter) withLimit(v quota.Visit) quota.Visit {
	v.Limit, _ = l.accounts().Limit(v.Account)
	return v
}
