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

// In a window and the life of a token before it, as many tokens come as operations are
// allowed in the window; an account gets its rate, and buckets hold a token at least.
func TestBudget(t *testing.T) {
	for name, c := range map[string]struct {
		rules Rules
		limit account.Limit
		life  time.Duration
	}{
		"large":                {rules, account.Limit{Rate: 112, Burst: 112}, 274 * time.Millisecond},
		"small":                {rules, account.Limit{Rate: 3, Burst: 3}, 2978 * time.Millisecond},
		"no burst":             {rules, account.Limit{Rate: 50}, 400 * time.Millisecond},
		"no rate":              {rules, account.Limit{Burst: 10}, maxLife},
		"no tolerance":         {Rules{Window: 5 * time.Second}, account.Limit{Rate: 20, Burst: 5}, minLife},
		"neither, nor a burst": {Rules{Window: time.Second}, account.Limit{Rate: 20}, minLife},
	} {
		t.Run(name, func(t *testing.T) {
			b := c.rules.Budget(c.limit)
			must.Less(t, float64(time.Millisecond), math.Abs(float64(b.Life-c.life)))
			allowed := (c.limit.Rate*c.rules.Window.Seconds()+c.limit.Burst)*(1+c.rules.Tolerance) + c.rules.Slack
			must.LessEq(t, allowed, b.Depth+b.Refill*(c.rules.Window+b.Life).Seconds())
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

// Few instances hold shares of any account, and one more or less changes few.
func TestHoldersAreFewAndStay(t *testing.T) {
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

// fleetOf returns a meter before some holders that are all alive.
func fleetOf(n int) (*Meter, map[string]*Ledger) {
	m := NewMeter("front-000", "dc")
	holders := NewHolders(names(n))
	centres, ledgers := make(map[string]string), make(map[string]*Ledger)
	for _, name := range names(n) {
		centres[name] = "dc"
		ledgers[name] = NewLedger(name, rules)
		ledgers[name].Settle(0)
		ledgers[name].Register(0, holders)
	}
	m.Register(holders, centres)
	return m, ledgers
}

// operate plays operations of one account at a steady pace, each question answered in a
// millisecond, and returns how many ran at once, had to ask first, and were refused.
func operate(m *Meter, ledgers map[string]*Ledger, limit account.Limit, pause, length time.Duration) (atOnce, asked, refused int) {
	const way = time.Millisecond
	ask := func(now time.Duration, d Decision) {
		m.Granted(now, now+way, "a", d.Holder, ledgers[d.Holder].Reserve(now+way, now, "a", limit, d.Wanted))
	}
	for now := time.Minute; now < time.Minute+length; now += pause {
		waited := false
		for {
			d := m.Take(now, "a")
			if d.Verdict == Ask {
				waited = true
				ask(now, d)
				continue
			}
			switch {
			case d.Verdict == Refuse:
				refused++
			case waited:
				asked++
			default:
				atOnce++
			}
			for d.Verdict == Run && d.Holder != "" {
				ask(now, d)
				d.Holder, d.Wanted = m.Ahead(now, "a")
			}
			break
		}
	}
	return atOnce, asked, refused
}

// An account that stays within its limit, as accounts do but for bursts, waits for no
// question: 0.62 of the rate, steadily, at one instance.
func TestOperationsWithinTheLimitDoNotWait(t *testing.T) {
	for _, rate := range []float64{2, 20, 200} {
		m, ledgers := fleetOf(71)
		atOnce, asked, refused := operate(m, ledgers, account.Limit{Rate: rate, Burst: rate}, seconds(1/(0.62*rate)), time.Minute)
		must.Zero(t, refused)
		must.LessEq(t, 3, asked)
		must.Positive(t, atOnce)
	}
}

// An account that asks ten times its limit gets its limit, whichever holders are asked.
func TestOperationsBeyondTheLimitGetTheLimit(t *testing.T) {
	m, ledgers := fleetOf(71)
	limit := account.Limit{Rate: 50, Burst: 50}
	const length = time.Minute
	atOnce, asked, _ := operate(m, ledgers, limit, time.Millisecond*2, length)
	ran := float64(atOnce + asked)
	allowed := limit.Rate + limit.Burst/rules.Window.Seconds() // a second, window after window
	must.GreaterEq(t, 0.95*allowed*length.Seconds(), ran)
	must.LessEq(t, 1.05*allowed*length.Seconds()+rules.Budget(limit).Depth, ran)
}

// The limit is at hand while two of the six that share it are away.
func TestTwoHoldersMayBeAway(t *testing.T) {
	m, ledgers := fleetOf(71)
	for _, holder := range m.holders.Of("a")[:2] {
		delete(m.centres, holder)
	}
	const rate = 50
	_, _, refused := operate(m, ledgers, account.Limit{Rate: rate, Burst: rate}, seconds(1/(0.62*rate)), time.Minute)
	must.Zero(t, refused)
}

// A refusal says when to come back, and that is true where nobody else asks.
func TestRefusalSaysWhenToComeBack(t *testing.T) {
	m, ledgers := fleetOf(1)
	limit := account.Limit{Rate: 10, Burst: 0}
	now := time.Minute
	var refusal Decision
	for refusal.Verdict != Refuse {
		refusal = m.Take(now, "a")
		if refusal.Verdict == Ask {
			m.Granted(now, now, "a", refusal.Holder, ledgers[refusal.Holder].Reserve(now, now, "a", limit, refusal.Wanted))
		}
	}
	must.Positive(t, refusal.Shortage.ComeBack)
	d := m.Take(now+refusal.Shortage.ComeBack, "a")
	must.Eq(t, Ask, d.Verdict)
	must.Positive(t, ledgers[d.Holder].Reserve(now+refusal.Shortage.ComeBack, now, "a", limit, 1).Tokens)
}

// A registration that ended while its instance was cut off, and began anew, gives no
// shares back at once: their buckets may have been held by others meanwhile.
func TestShareBeginsEmptyAfterARegistrationThatEnded(t *testing.T) {
	l := NewLedger("front-000", rules)
	l.Settle(0)
	limit := account.Limit{Rate: 10, Burst: 10}
	l.Register(0, NewHolders(names(1)))
	must.Positive(t, l.Reserve(time.Minute, time.Minute, "a", limit, 1).Tokens)
	l.Register(time.Minute, NewHolders([]string{"front-001"}))
	must.False(t, l.Reserve(time.Minute, time.Minute, "a", limit, 1).Holder)
	l.Settle(2 * time.Minute)
	l.Register(time.Minute, NewHolders(names(1)))
	must.False(t, l.Reserve(2*time.Minute-1, 2*time.Minute-1, "a", limit, 1).Holder)
	must.Zero(t, l.Reserve(2*time.Minute, 2*time.Minute, "a", limit, 1).Tokens)
	must.Positive(t, l.Reserve(2*time.Minute+time.Second, 2*time.Minute+time.Second, "a", limit, 1).Tokens)
}

// A registration that is written again, as after its lease was lost, fills no bucket.
func TestSettlingAgainGivesNothing(t *testing.T) {
	l := NewLedger("front-000", rules)
	l.Settle(0)
	limit := account.Limit{Rate: 10, Burst: 10}
	l.Register(0, NewHolders(names(1)))
	must.Positive(t, l.Reserve(time.Minute, time.Minute, "a", limit, 1000).Tokens)
	l.Settle(0)
	must.Zero(t, l.Reserve(time.Minute, time.Minute, "a", limit, 1000).Tokens)
}

// A holder that does not answer is asked again soon after the first time, since it may
// have just started, and then more and more seldom. What it might have is not known.
func TestSilentHolderIsAskedAgain(t *testing.T) {
	m, _ := fleetOf(1)
	now, pause := time.Minute, firstPause
	for range 5 {
		m.Failed(now, "front-000")
		d := m.Take(now, "a")
		must.Eq(t, Refuse, d.Verdict)
		must.False(t, d.Shortage.Empty())
		must.Eq(t, pause, d.Shortage.ComeBack)
		now += pause
		must.Eq(t, Ask, m.Take(now, "a").Verdict)
		pause = min(2*pause, awayPause)
	}
	m.Granted(now, now, "a", "front-000", Grant{Holder: true, ComeBack: time.Second})
	m.Failed(now, "front-000")
	must.Eq(t, Ask, m.Take(now+time.Second, "a").Verdict)
}

// After a restart of all, holders say that they cannot tell yet: they are asked again soon,
// and nobody concludes that the account is at its limit.
func TestHolderThatHasJustStartedIsNotEmpty(t *testing.T) {
	m, ledgers := fleetOf(1)
	limit := account.Limit{Rate: 10, Burst: 10}
	m.Granted(0, 0, "a", "front-000", ledgers["front-000"].Reserve(time.Minute, time.Minute-Validity-1, "a", limit, 1))
	d := m.Take(firstPause-1, "a")
	must.Eq(t, Refuse, d.Verdict)
	must.False(t, d.Shortage.Empty())
	must.Eq(t, Ask, m.Take(firstPause, "a").Verdict)
	m.Granted(0, 0, "a", "front-000", Grant{Holder: true, ComeBack: time.Second})
	must.True(t, m.Take(0, "a").Shortage.Empty())
}
