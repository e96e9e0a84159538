package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/account"
)

var rules = Rules{Window: 5 * time.Second, Tolerance: 0.1, Slack: 20}

// In a window plus one token lifetime no more tokens are granted than operations are
// allowed in the window. The limit's sustained rate is refilled, and the bucket is deep
// enough for one token per holder unless the limit is very small.
func TestBudget(t *testing.T) {
	for name, c := range map[string]struct {
		rules Rules
		limit account.Limit
		life  time.Duration
	}{
		"large":                {rules, account.Limit{Rate: 112, Burst: 112}, 274 * time.Millisecond},
		"small":                {rules, account.Limit{Rate: 3, Burst: 3}, 2978 * time.Millisecond},
		"no burst":             {rules, account.Limit{Rate: 50}, 400 * time.Millisecond},
		"no rate":              {rules, account.Limit{Burst: 10}, maxLifetime},
		"no tolerance":         {Rules{Window: 5 * time.Second}, account.Limit{Rate: 20, Burst: 5}, minLifetime},
		"neither, nor a burst": {Rules{Window: time.Second}, account.Limit{Rate: 20}, minLifetime},
	} {
		t.Run(name, func(t *testing.T) {
			b := c.rules.Budget(c.limit)
			must.Less(t, float64(time.Millisecond), math.Abs(float64(b.Lifetime-c.life)))
			allowed := (c.limit.Rate*c.rules.Window.Seconds()+c.limit.Burst)*(1+c.rules.Tolerance) + c.rules.Slack
			must.LessEq(t, allowed, b.Depth+b.Refill*(c.rules.Window+b.Lifetime).Seconds())
			must.GreaterEq(t, min(allowed/2, holdersPerAccount), b.Depth)
		})
	}
	must.Eq(t, Budget{}, rules.Budget(account.Limit{}))
	large := rules.Budget(account.Limit{Rate: 112, Burst: 112})
	must.GreaterEq(t, 6*112/5*(1-drift), large.Refill)
}

func names(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("front-%03d", i))
	}
	return names
}

// The holders of all accounts are a small part of the instances, and adding or removing an
// instance changes the holders of few accounts.
func TestHoldersAreFewAndStable(t *testing.T) {
	all, fewer := NewHolders(names(550)), NewHolders(names(549))
	holding := make(map[string]bool)
	changed := 0
	for n := range 1000 {
		account := fmt.Sprint("account-", n)
		must.Len(t, holdersPerAccount, all.Of(account))
		for _, holder := range all.Of(account) {
			holding[holder] = true
		}
		if fmt.Sprint(all.Of(account)) != fmt.Sprint(fewer.Of(account)) {
			changed++
		}
	}
	must.LessEq(t, partitions*holdersPerAccount, len(holding))
	must.LessEq(t, 200, changed)
	must.Len(t, 2, NewHolders(names(2)).Of("a"))
}

// fleetOf returns a token cache and the buckets of n holders, all of which are alive.
func fleetOf(n int) (*TokenCache, map[string]*Buckets) {
	m := NewTokenCache("front-000", "dc")
	holders := NewHolders(names(n))
	centres, ledgers := make(map[string]string), make(map[string]*Buckets)
	for _, name := range names(n) {
		centres[name] = "dc"
		ledgers[name] = NewBuckets(name, rules)
		ledgers[name].SetSettledAt(0)
		ledgers[name].SetHolders(0, holders)
	}
	m.SetHolders(holders, centres)
	return m, ledgers
}

// operate simulates operations of one account at regular intervals, with a latency of one
// millisecond to the holders. It returns how many ran at once, how many had to fetch a
// token first, and how many were rejected.
func operate(m *TokenCache, ledgers map[string]*Buckets, limit account.Limit, pause, length time.Duration) (immediate, fetched, refused int) {
	const latency = time.Millisecond
	ask := func(now time.Duration, d Decision) {
		m.ApplyGrant(now, now+latency, "a", d.Holder, ledgers[d.Holder].Reserve(now+latency, now, "a", limit, d.Wanted))
	}
	for now := time.Minute; now < time.Minute+length; now += pause {
		waited := false
		for {
			d := m.Take(now, "a")
			if d.Verdict == Fetch {
				waited = true
				ask(now, d)
				continue
			}
			switch {
			case d.Verdict == Refuse:
				refused++
			case waited:
				fetched++
			default:
				immediate++
			}
			for d.Verdict == Run && d.Holder != "" {
				ask(now, d)
				d.Holder, d.Wanted = m.Prefetch(now, "a")
			}
			break
		}
	}
	return immediate, fetched, refused
}

// The operations of an account at 0.62 of its limit's rate, the usual load, through one
// instance find prefetched tokens: almost none waits for a round trip.
func TestOperationsWithinTheLimitDoNotWait(t *testing.T) {
	for _, rate := range []float64{2, 20, 200} {
		m, ledgers := fleetOf(71)
		immediate, fetched, refused := operate(m, ledgers, account.Limit{Rate: rate, Burst: rate}, seconds(1/(0.62*rate)), time.Minute)
		must.Zero(t, refused)
		must.LessEq(t, 3, fetched)
		must.Positive(t, immediate)
	}
}

// An account that demands ten times its limit gets its limit.
func TestOperationsBeyondTheLimitGetTheLimit(t *testing.T) {
	m, ledgers := fleetOf(71)
	limit := account.Limit{Rate: 50, Burst: 50}
	const length = time.Minute
	immediate, fetched, _ := operate(m, ledgers, limit, time.Millisecond*2, length)
	ran := float64(immediate + fetched)
	allowed := limit.Rate + limit.Burst/rules.Window.Seconds() // operations per second, sustained
	must.GreaterEq(t, 0.95*allowed*length.Seconds(), ran)
	must.LessEq(t, 1.05*allowed*length.Seconds()+rules.Budget(limit).Depth, ran)
}

// Under the usual load no operation is rejected while two of the six holders are down.
func TestTwoHoldersMayBeDown(t *testing.T) {
	m, ledgers := fleetOf(71)
	for _, holder := range m.holders.Of("a")[:2] {
		delete(m.dataCentres, holder)
	}
	const rate = 50
	_, _, refused := operate(m, ledgers, account.Limit{Rate: rate, Burst: rate}, seconds(1/(0.62*rate)), time.Minute)
	must.Zero(t, refused)
}

// A rejection advises a retry delay, after which a token is available if no other instance
// has fetched it.
func TestRefusalAdvisesRetryDelay(t *testing.T) {
	m, ledgers := fleetOf(1)
	limit := account.Limit{Rate: 10, Burst: 0}
	now := time.Minute
	var refusal Decision
	for refusal.Verdict != Refuse {
		refusal = m.Take(now, "a")
		if refusal.Verdict == Fetch {
			m.ApplyGrant(now, now, "a", refusal.Holder, ledgers[refusal.Holder].Reserve(now, now, "a", limit, refusal.Wanted))
		}
	}
	must.Positive(t, refusal.Shortage.RetryAfter)
	d := m.Take(now+refusal.Shortage.RetryAfter, "a")
	must.Eq(t, Fetch, d.Verdict)
	must.Positive(t, ledgers[d.Holder].Reserve(now+refusal.Shortage.RetryAfter, now, "a", limit, 1).Tokens)
}

// An instance whose registration was removed while it was partitioned, and that registers
// again, holds no share until it has settled, and then starts with an empty bucket: other
// instances may have held its shares meanwhile.
func TestBucketStartsEmptyAfterNewRegistration(t *testing.T) {
	l := NewBuckets("front-000", rules)
	l.SetSettledAt(0)
	limit := account.Limit{Rate: 10, Burst: 10}
	l.SetHolders(0, NewHolders(names(1)))
	must.Positive(t, l.Reserve(time.Minute, time.Minute, "a", limit, 1).Tokens)
	l.SetHolders(time.Minute, NewHolders([]string{"front-001"}))
	must.False(t, l.Reserve(time.Minute, time.Minute, "a", limit, 1).IsHolder)
	l.SetSettledAt(2 * time.Minute)
	l.SetHolders(time.Minute, NewHolders(names(1)))
	must.False(t, l.Reserve(2*time.Minute-1, 2*time.Minute-1, "a", limit, 1).IsHolder)
	must.Zero(t, l.Reserve(2*time.Minute, 2*time.Minute, "a", limit, 1).Tokens)
	must.Positive(t, l.Reserve(2*time.Minute+time.Second, 2*time.Minute+time.Second, "a", limit, 1).Tokens)
}

// Renewing a registration, as after the loss of a lease, does not refill any bucket.
func TestRenewedRegistrationRefillsNothing(t *testing.T) {
	l := NewBuckets("front-000", rules)
	l.SetSettledAt(0)
	limit := account.Limit{Rate: 10, Burst: 10}
	l.SetHolders(0, NewHolders(names(1)))
	must.Positive(t, l.Reserve(time.Minute, time.Minute, "a", limit, 1000).Tokens)
	l.SetSettledAt(0)
	must.Zero(t, l.Reserve(time.Minute, time.Minute, "a", limit, 1000).Tokens)
}

// A holder that does not answer is asked again with exponential backoff, which starts short
// since the holder may have just started. It does not count as having no token.
func TestUnresponsiveHolderIsAskedAgainWithBackoff(t *testing.T) {
	m, _ := fleetOf(1)
	now, pause := time.Minute, minBackoff
	for range 5 {
		m.RecordFailure(now, "front-000")
		d := m.Take(now, "a")
		must.Eq(t, Refuse, d.Verdict)
		must.False(t, d.Shortage.AtLimit())
		must.Eq(t, pause, d.Shortage.RetryAfter)
		now += pause
		must.Eq(t, Fetch, m.Take(now, "a").Verdict)
		pause = min(2*pause, maxBackoff)
	}
	m.ApplyGrant(now, now, "a", "front-000", Grant{IsHolder: true, RetryAfter: time.Second})
	m.RecordFailure(now, "front-000")
	must.Eq(t, Fetch, m.Take(now+time.Second, "a").Verdict)
}

// After a restart of all instances, holders without a store snapshot cannot serve accounts
// yet. They are asked again soon, and the account does not count as being at its limit.
func TestRestartedHolderDoesNotCountAsOutOfTokens(t *testing.T) {
	m, ledgers := fleetOf(1)
	limit := account.Limit{Rate: 10, Burst: 10}
	m.ApplyGrant(0, 0, "a", "front-000", ledgers["front-000"].Reserve(time.Minute, time.Minute-MaxSnapshotAge-1, "a", limit, 1))
	d := m.Take(minBackoff-1, "a")
	must.Eq(t, Refuse, d.Verdict)
	must.False(t, d.Shortage.AtLimit())
	must.Eq(t, Fetch, m.Take(minBackoff, "a").Verdict)
	m.ApplyGrant(0, 0, "a", "front-000", Grant{IsHolder: true, RetryAfter: time.Second})
	must.True(t, m.Take(0, "a").Shortage.AtLimit())
}
