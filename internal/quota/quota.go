// Package quota keeps what each client account asks of the whole fleet within the
// account's limit, whatever instances are cut off, restart or join.
//
// An account's limit is a rate and a burst. What counts is every sliding window of a
// given length, in which an account may have rate x window + burst operations, with a
// tolerance (a share of that, and some operations more). The package spends the
// tolerance on what a fleet cannot know at once, and gives away nothing beyond it.
//
// Some registered instances hold a share of each account's limit each (Holders), as a
// token bucket that is empty when its process starts (Ledger). Whoever runs statements
// takes tokens from them, a few ahead of need, which are worth nothing after a while
// (Meter). So a statement waits for nobody in the usual case, an instance that is cut
// off goes on with what it can reach, and one that is gone takes its share of the limit
// with it, and nothing else: with the usual load at 0.62 of the limit, two of six holders
// may be away at once before anybody is refused.
//
// That at most the shares of one limit are given out rests on three things, which
// TestNoWindowExceedsTheLimit drives through cuts, restarts, late messages and clocks that
// drift: holders are the first in rank among the registered, by a picture of the
// store that is not older than Validity; an instance holds nothing before it has been
// registered for as long (SettleAfter); and its registration ends only when it has not been
// alive for longer than Validity.
//
// The package has no I/O, clock or goroutine.
package quota

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/account"
)

const (
	// Validity is how old the picture of the store may be by which an instance holds
	// shares. It is less than the time after which an instance that is gone loses its
	// registration (32 s).
	Validity = 28 * time.Second
	// SettleAfter is for how long an instance must have been registered before it holds
	// shares, on its own clock.
	SettleAfter = Validity + Validity/50
	// silentBefore is for how long a holder has given out nothing when its registration is
	// removed, and with it the reason why another one holds its share: the 32 s less
	// Validity, each by a clock of its own. A process that starts again counts from its start
	// so, not from when it has read the store: those are the seconds in which
	// all callers return.
	silentBefore = 3 * time.Second
	// drift is the part by which the clocks of two instances may differ in speed.
	drift = 0.01
	// minLife and maxLife bound for how long a token is worth something. It must outlast
	// its way to whoever uses it; and a token that waits for long is one that nobody
	// else can use.
	minLife = 200 * time.Millisecond
	maxLife = 3 * time.Second
	// lifeOfTolerance and lifeOfSlack are the parts of the tolerance and of the slack that
	// are spent on a longer life of tokens, so that an account which asks little finds one
	// waiting at each of its carriers. The rest makes the buckets deep enough for what many
	// instances ask for ahead.
	lifeOfTolerance = 0.4
	lifeOfSlack     = 0.5
)

// Rules say how an account's use is judged.
type Rules struct {
	Window    time.Duration // every span of this length is counted
	Tolerance float64       // part of the limit by which a window may exceed it
	Slack     float64       // operations by which a window may exceed it beyond that
}

// Budget is what the rules allow an account: a bucket of tokens, of which each is worth
// an operation for a while.
type Budget struct {
	Refill float64       // tokens a second
	Depth  float64       // tokens at the most
	Life   time.Duration // of a token, from when it was asked for
}

// Budget returns the budget of an account. In any window and the life of a token before
// it, no more tokens are given out than operations are allowed in a window. Tokens come
// as fast as an account may go on asking, window after window, which is faster than its rate:
// with a burst of a second's rate and a window of 5 s, a bucket that is refilled at the rate
// gives 0.83 of what may be had, as reckoned.
func (r Rules) Budget(l account.Limit) Budget {
	if l.Rate <= 0 && l.Burst <= 0 {
		return Budget{}
	}
	inWindow := l.Rate*r.Window.Seconds() + l.Burst
	allowed := inWindow*(1+r.Tolerance) + r.Slack
	sustained := inWindow / r.Window.Seconds()
	life := seconds(lifeOfTolerance*r.Tolerance*r.Window.Seconds()) + seconds(lifeOfSlack*r.Slack/sustained)
	life = min(max(life, minLife), maxLife)
	span := (r.Window + life).Seconds()
	depth := max(allowed-sustained*span, min(allowed/2, holdersPerAccount))
	return Budget{Refill: (allowed - depth) / span * (1 - drift), Depth: depth, Life: life}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// share returns the part of a budget that one of some holders gives out.
func (b Budget) share(holders int) Budget {
	n := float64(max(holders, 1))
	return Budget{Refill: b.Refill / n, Depth: b.Depth / n, Life: b.Life}
}
