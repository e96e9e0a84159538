package limits

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/quota"
)

// Admit reports whether an operation may be forwarded to a carrier. If not, it returns the
// delay after which the client should retry.
func (l *Limiter) Admit(v quota.Operation) (time.Duration, bool) {
	if !l.isLimited(v.Account) {
		return 0, true
	}
	l.mu.Lock()
	comeBack, ok := l.rejections.Admit(l.now(), l.withLimit(v))
	l.mu.Unlock()
	if !ok {
		l.counters.count(v.Account, "refused_at_door")
	}
	return comeBack, ok
}

// RecordRejection records that a carrier rejected an operation, which was forwarded a time ago,
// because the account has no tokens for the time empty. It returns the delay after which
// the client should retry, 0 if unknown.
func (l *Limiter) RecordRejection(v quota.Operation, ago, empty time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rejections.RecordRejection(l.now()-ago, l.now(), l.withLimit(v), empty)
}

// RecordSuccess records that an operation, which was forwarded a time ago, got a token.
func (l *Limiter) RecordSuccess(v quota.Operation, ago time.Duration) {
	if !l.isLimited(v.Account) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejections.RecordSuccess(l.now()-ago, l.withLimit(v))
}

func (l *Limiter) withLimit(v quota.Operation) quota.Operation {
	v.Limit, _ = l.accounts().Limit(v.Account)
	return v
}
