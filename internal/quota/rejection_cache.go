package quota

import (
	"maps"
	"time"

	"github.com/stackspindle/stackspindle/internal/account"
)

const (
	// maxRejection bounds the time for which operations are rejected after one carrier
	// rejection. An account that has dropped below its limit meanwhile is rejected
	// for at most twice that.
	maxRejection = 500 * time.Millisecond
	// rejectionMemory is how long the interval of an account is kept after its last
	// carrier rejection.
	rejectionMemory = 10 * time.Second
	// maxCachedAccounts bounds the accounts in the cache. Operations of further accounts are
	// admitted.
	maxCachedAccounts = 1024
	// retryPrecedence is the fraction of the interval for which only clients that retry as
	// advised are admitted, ahead of new ones.
	retryPrecedence = 0.25
)

// RejectionCache is the rejection cache of an ingress instance, to which clients are
// connected. It rejects operations of accounts that are at their limit, based on recent
// rejections by the carriers that would have run them, which saves forwarding them. While
// an account is at its limit, one operation per interval is admitted. The interval doubles
// with each carrier rejection and halves with each operation that got a token, so that an
// instance gets part of the remaining limit without knowing how many other instances
// compete for it. It is not safe for concurrent use.
type RejectionCache struct {
	accounts map[string]*rejectedAccount
}

// rejectedAccount is the state of an account that was recently rejected by a carrier.
type rejectedAccount struct {
	admitAll      bool          // an operation got a token since the last rejection: admit all
	rejectedAt    time.Duration // time of the last carrier rejection
	nextAdmission time.Duration // time at which the next operation may be admitted
	interval      time.Duration // between two admitted operations
	lastAdmission time.Duration // last admission since nextAdmission was set; 0: none
	lastRetry     time.Duration // latest retry time advised to a client
}

// NewRejectionCache returns an empty cache, which admits all operations.
func NewRejectionCache() *RejectionCache {
	return &RejectionCache{accounts: make(map[string]*rejectedAccount)}
}

// Operation is one operation to be checked against the rejection cache.
type Operation struct {
	Account  string
	Limit    account.Limit // of the account; set by the limiter
	IsRetry  bool          // the client was rejected before and its advised delay has passed
	MaxDelay time.Duration // longest delay that the client can accept; 0: unbounded
}

// Admit reports whether an operation may be forwarded. If not, it returns the delay after
// which the client should retry. When the rejection time of an account ends, a single
// operation is admitted first; clients are advised distinct retry times in the order in
// which they were rejected.
func (c *RejectionCache) Admit(now time.Duration, op Operation) (time.Duration, bool) {
	a := c.accounts[op.Account]
	switch {
	case a == nil || a.admitAll || op.Limit.Unlimited || now >= a.rejectedAt+2*a.interval:
		return 0, true
	case now >= a.nextAdmission && a.admitsNext(now, op.IsRetry):
		a.lastAdmission = now
		return 0, true
	}
	return a.adviseRetry(now, op), false
}

// admitsNext reports whether an operation may be the next one admitted. Retries have
// precedence over new operations for the first part of the interval.
func (a *rejectedAccount) admitsNext(now time.Duration, isRetry bool) bool {
	if isRetry {
		return a.lastAdmission == 0 || now-a.lastAdmission >= a.interval
	}
	if a.lastAdmission > 0 {
		return false
	}
	return a.lastRetry < now || now >= a.nextAdmission+time.Duration(retryPrecedence*float64(a.interval))
}

// adviseRetry returns the retry delay for a rejected client. Successive clients are advised
// times that are one interval apart, as operations are admitted.
func (a *rejectedAccount) adviseRetry(now time.Duration, op Operation) time.Duration {
	retryAt := max(a.nextAdmission, a.lastRetry+a.interval, now+time.Millisecond)
	if op.MaxDelay > 0 && retryAt > now+op.MaxDelay {
		return op.MaxDelay
	}
	a.lastRetry = retryAt
	return retryAt - now
}

// RecordRejection records that a carrier rejected an operation that was forwarded at time
// sent, because the account has no tokens for the time empty. It returns the delay after
// which the client should retry. Implausible values of empty are ignored and yield 0. Apart
// from that the value is unused: the rejection time follows from the account's limit,
// because other instances wait for the same time and an account slightly above its limit
// gets tokens sooner.
func (c *RejectionCache) RecordRejection(sent, now time.Duration, op Operation, empty time.Duration) time.Duration {
	if empty <= 0 || empty > maxLifetime || op.Limit.Unlimited {
		return 0
	}
	a := c.accounts[op.Account]
	switch {
	case a == nil:
		if !c.makeSpace(now) {
			return 0
		}
		a = &rejectedAccount{interval: minInterval(op.Limit)}
		c.accounts[op.Account] = a
	case sent < a.rejectedAt:
		return a.adviseRetry(now, op) // forwarded before the last recorded rejection
	case now-a.rejectedAt > rejectionMemory:
		a.interval = minInterval(op.Limit)
	default:
		a.interval *= 2
	}
	a.interval = min(a.interval, maxRejection)
	a.admitAll, a.rejectedAt, a.nextAdmission, a.lastAdmission = false, now, now+a.interval, 0
	return a.adviseRetry(now, op)
}

// RecordSuccess records that an operation forwarded at time sent got a token.
func (c *RejectionCache) RecordSuccess(sent time.Duration, op Operation) {
	a := c.accounts[op.Account]
	if a == nil || sent < a.rejectedAt {
		return
	}
	a.admitAll, a.lastRetry = true, 0
	a.interval = max(a.interval/2, minInterval(op.Limit))
}

// makeSpace reports whether another account fits into the cache. A full cache first drops
// the accounts that were last rejected more than rejectionMemory ago.
func (c *RejectionCache) makeSpace(now time.Duration) bool {
	if len(c.accounts) < maxCachedAccounts {
		return true
	}
	maps.DeleteFunc(c.accounts, func(_ string, a *rejectedAccount) bool { return now-a.rejectedAt > rejectionMemory })
	return len(c.accounts) < maxCachedAccounts
}

// minInterval returns the shortest interval between admitted operations: that at which the
// account's limit yields tokens, at most maxRejection.
func minInterval(limit account.Limit) time.Duration {
	if limit.Rate <= 1/maxRejection.Seconds() {
		return maxRejection
	}
	return seconds(1 / limit.Rate)
}
