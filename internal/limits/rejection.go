package limits

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/quota"
)

// Admit reports whether an operation may be forwarded to a carrier. If not, it returns the
// delay after which the client should retry.
func (l *Limiter) Admit(op quota.Operation) (time.Duration, bool) {
	if !l.isLimited(op.Account) {
		return 0, true
	}
	l.mu.Lock()
	delay, ok := l.rejections.Admit(l.now(), l.withLimit(op))
	l.mu.Unlock()
	if !ok {
		l.counters.count(op.Account, "refused_at_door")
	}
	return delay, ok
}

// RecordRejection records that a carrier rejected an operation, because its account has no
// tokens for the time empty. ago is the time since the operation was forwarded. It returns
// the delay after which the client should retry, 0 if unknown.
func (l *Limiter) RecordRejection(op quota.Operation, ago, empty time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rejections.RecordRejection(l.now()-ago, l.now(), l.withLimit(op), empty)
}

// RecordSuccess records that an operation got a token. ago is the time since it was forwarded.
func (l *Limiter) RecordSuccess(op quota.Operation, ago time.Duration) {
	if !l.isLimited(op.Account) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejections.RecordSuccess(l.now()-ago, l.withLimit(op))
}

func (l *Limiter) withLimit(op quota.Operation) quota.Operation {
	op.Limit, _ = l.accounts().Limit(op.Account)
	return op
}
