package quota

import (
	"slices"
	"time"

	"github.com/stackspindle/stackspindle/internal/account"
)

// Ledger is the shares that one instance holds. It is not safe for concurrent use.
type Ledger struct {
	self    string
	rules   Rules
	holders *Holders
	changed time.Duration // when the list of registered instances last changed
	settled time.Duration // from when on this instance may hold shares; negative: not yet known
	buckets map[string]*bucket
}

// bucket is the share of one account.
type bucket struct {
	tokens float64
	at     time.Duration // when tokens were last reckoned
}

// NewLedger returns the ledger of an instance whose process has just started. Its
// buckets are empty: the process before it may have given out all that was in them.
func NewLedger(self string, rules Rules) *Ledger {
	return &Ledger{self: self, rules: rules, holders: NewHolders(nil), settled: -1, buckets: make(map[string]*bucket)}
}

// Settle notes from when on this instance may hold shares: from the start where its
// registration says that it has settled, else SettleAfter after it was registered. One
// whose registration had ended and that registers again begins anew; one that only
// renews it goes on, with what it has given out.
func (l *Ledger) Settle(at time.Duration) {
	if l.settled >= 0 && at <= l.settled {
		return
	}
	l.settled = at
	clear(l.buckets)
}

// Register takes in the list of registered instances. A share that has passed to
// another instance begins empty when it comes back.
func (l *Ledger) Register(now time.Duration, h *Holders) {
	l.holders, l.changed = h, now
	for name := range l.buckets {
		if !slices.Contains(h.Of(name), l.self) {
			delete(l.buckets, name)
		}
	}
}

// Grant is the answer to a question for tokens.
type Grant struct {
	Tokens int
	Life   time.Duration // of the tokens, from when they were asked for
	// ComeBack is after what time a token can be had, or the instance may hold a share; with
	// tokens it is 0, as where that is not known.
	ComeBack time.Duration
	Holder   bool // false: the instance holds no share of the account
}

// Reserve gives out up to some tokens of an account. confirmed is as of when the picture
// of the store that names the holders, and this instance as alive, is known to hold.
func (l *Ledger) Reserve(now, confirmed time.Duration, name string, limit account.Limit, wanted int) Grant {
	if limit.Unlimited {
		return Grant{Tokens: wanted, Life: maxLife, Holder: true}
	}
	holders := l.holders.Of(name)
	switch {
	case l.settled < 0 || now-confirmed > Validity:
		return Grant{ComeBack: firstPause} // it has not read the store yet
	case !slices.Contains(holders, l.self):
		return Grant{}
	case now < l.settled:
		return Grant{ComeBack: l.settled - now}
	}
	budget := l.rules.Budget(limit).share(len(holders))
	b := l.fill(now, name, budget)
	n := min(wanted, int(b.tokens))
	if n > 0 {
		b.tokens -= float64(n)
		return Grant{Tokens: n, Life: budget.Life, Holder: true}
	}
	return Grant{ComeBack: budget.after(1 - b.tokens), Holder: true}
}

// after returns how long it takes until some tokens have come, rounded up.
func (b Budget) after(tokens float64) time.Duration {
	if b.Refill <= 0 {
		return maxLife
	}
	return seconds(max(0, tokens)/b.Refill) + time.Millisecond
}

// fill returns the bucket of an account with the tokens that have come meanwhile. One
// that is new was empty when this instance last came to hold the share: when it settled,
// when its process started, or when the holder before it had given out its last.
func (l *Ledger) fill(now time.Duration, name string, budget Budget) *bucket {
	b := l.buckets[name]
	if b == nil {
		b = &bucket{at: max(0, l.settled, l.changed-silentBefore)}
		l.buckets[name] = b
	}
	b.tokens = min(budget.Depth, b.tokens+budget.Refill*(now-b.at).Seconds())
	b.at = now
	return b
}
