package quota

import (
	"slices"
	"time"

	"github.com/stackspindle/stackspindle/internal/account"
)

// Buckets holds the token buckets of the shares that one instance holds. It is not safe for
// concurrent use.
type Buckets struct {
	self             string
	rules            Rules
	holders          *Holders
	holdersChangedAt time.Duration // when the list of registered instances last changed
	settledAt        time.Duration // time from which this instance may hold shares; negative: not yet known
	buckets          map[string]*bucket
}

// bucket is the token bucket for this instance's share of one account's limit.
type bucket struct {
	tokens    float64
	updatedAt time.Duration // when tokens was last updated
}

// NewBuckets returns the buckets of an instance whose process has just started. They are
// empty: the previous process may have granted all of its tokens.
func NewBuckets(self string, rules Rules) *Buckets {
	return &Buckets{self: self, rules: rules, holders: NewHolders(nil), settledAt: -1, buckets: make(map[string]*bucket)}
}

// SetSettledAt sets the time from which this instance may hold shares: 0 if its
// registration is marked as settled, else SettleAfter after it was registered. A later time
// than before means that the registration had ended and the instance has registered again:
// all buckets are dropped. Renewing a registration keeps the time, and so the state of the
// buckets.
func (bs *Buckets) SetSettledAt(at time.Duration) {
	if bs.settledAt >= 0 && at <= bs.settledAt {
		return
	}
	bs.settledAt = at
	clear(bs.buckets)
}

// SetHolders sets the limit holders after the list of registered instances has changed. The
// bucket of an account that has moved to other holders is dropped, so that it starts empty
// if the account comes back.
func (bs *Buckets) SetHolders(now time.Duration, h *Holders) {
	bs.holders, bs.holdersChangedAt = h, now
	for name := range bs.buckets {
		if !slices.Contains(h.Of(name), bs.self) {
			delete(bs.buckets, name)
		}
	}
}

// Grant is the answer of a limit holder to a request for tokens.
type Grant struct {
	Tokens   int
	Lifetime time.Duration // lifetime of the tokens, from when the request was sent
	// RetryAfter is the delay after which a token is available or the instance may hold a
	// share; 0 with tokens, or if that is not known.
	RetryAfter time.Duration
	IsHolder   bool // the instance holds a share of the account
}

// Reserve grants up to wanted tokens of an account. confirmed is the time at which the
// store snapshot, which determines the limit holders and lists this instance as alive, was
// last known to be current.
func (bs *Buckets) Reserve(now, confirmed time.Duration, name string, limit account.Limit, wanted int) Grant {
	if limit.Unlimited {
		return Grant{Tokens: wanted, Lifetime: maxLifetime, IsHolder: true}
	}
	holders := bs.holders.Of(name)
	switch {
	case bs.settledAt < 0 || now-confirmed > MaxSnapshotAge:
		return Grant{RetryAfter: minBackoff} // no recent snapshot of the store
	case !slices.Contains(holders, bs.self):
		return Grant{}
	case now < bs.settledAt:
		return Grant{RetryAfter: bs.settledAt - now}
	}
	budget := bs.rules.Budget(limit).share(len(holders))
	b := bs.refill(now, name, budget)
	n := min(wanted, int(b.tokens))
	if n > 0 {
		b.tokens -= float64(n)
		return Grant{Tokens: n, Lifetime: budget.Lifetime, IsHolder: true}
	}
	return Grant{RetryAfter: budget.refillTime(1 - b.tokens), IsHolder: true}
}

// refillTime returns how long it takes to refill some tokens, rounded up.
func (b Budget) refillTime(tokens float64) time.Duration {
	if b.Refill <= 0 {
		return maxLifetime
	}
	return seconds(max(0, tokens)/b.Refill) + time.Millisecond
}

// refill returns the bucket of an account after adding the tokens refilled since the last
// call. A new bucket counts as empty at the time at which this instance came to hold the
// share: the latest of when it settled, when its process started, and when the previous
// holder granted its last token.
func (bs *Buckets) refill(now time.Duration, name string, budget Budget) *bucket {
	b := bs.buckets[name]
	if b == nil {
		b = &bucket{updatedAt: max(0, bs.settledAt, bs.holdersChangedAt-removalMargin)}
		bs.buckets[name] = b
	}
	b.tokens = min(budget.Depth, b.tokens+budget.Refill*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	return b
}
