// Package quota enforces the rate limits of client accounts over the whole fleet, also
// while instances are partitioned, restart or join. Package limits adds the clock, the
// locking and the calls between instances.
//
// A limit is a rate and a burst. It applies to every sliding window of a configured length:
// in each of them an account may run rate x window + burst operations, plus a tolerance (a
// fraction of that number and some operations). The tolerance covers what distributed
// instances cannot know of one another; it is never exceeded.
//
// A limit is divided equally among a few of the registered instances, the limit holders of
// the account (Holders). Each has a token bucket for its share, which is empty when its
// process starts (Buckets). Instances that run statements fetch tokens from the holders, a
// few ahead of need; tokens expire after a short lifetime (TokenCache). So a statement
// usually waits for no round trip, a partitioned instance goes on with the holders it reaches,
// and an instance that fails takes only its share of the limit with it: under the usual
// load of 0.62 of the limit, two of six holders may be down before operations are rejected.
// Ingress instances reject operations of accounts at their limit without forwarding them
// (RejectionCache).
//
// Three invariants ensure that at most one limit's worth of shares is held at any time:
//   - The holders of an account are the highest ranked among the registered instances,
//     according to a snapshot of the store that is no older than MaxSnapshotAge.
//   - An instance holds no share until it has been registered for that long (SettleAfter).
//   - A registration is removed only after the instance has not been alive for longer than
//     MaxSnapshotAge.
//
// TestNoWindowExceedsTheLimit checks the result under partitions, restarts, delayed
// messages and clock drift.
//
// The package has no I/O, clock or goroutine; the time is passed in.
package quota

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/account"
)

const (
	// MaxSnapshotAge is the maximum age of the store snapshot by which an instance holds
	// shares. It is less than the time after which the registration of a failed instance
	// is removed (32 s).
	MaxSnapshotAge = 28 * time.Second
	// SettleAfter is how long an instance must have been registered, by its own clock,
	// before it holds shares. The 2% over MaxSnapshotAge cover clock drift.
	SettleAfter = MaxSnapshotAge + MaxSnapshotAge/50
	// removalMargin is how long a holder has granted no tokens when its registration is
	// removed, upon which another instance takes over its share: the 32 s less MaxSnapshotAge,
	// allowing for the drift of both clocks. Because of it a restarted process refills
	// its buckets from its start rather than from its first read of the store: these are
	// the seconds in which all clients reconnect.
	removalMargin = 3 * time.Second
	// drift is the maximum relative difference in speed between the clocks of two
	// instances.
	drift = 0.01
	// minLifetime and maxLifetime bound the lifetime of a token. It must be longer than the
	// network latency to the instance that uses it; on the other hand a cached token is
	// unavailable to all other instances.
	minLifetime = 200 * time.Millisecond
	maxLifetime = 3 * time.Second
	// lifetimeTolerance and lifetimeSlack are the fractions of the tolerance and of the slack
	// that are spent on a longer token lifetime, so that an account with few operations
	// finds a cached token at each of its carriers. The rest makes the buckets deep
	// enough for many instances that prefetch tokens.
	lifetimeTolerance = 0.4
	lifetimeSlack     = 0.5
)

// Rules define how operations are counted against a limit.
type Rules struct {
	Window    time.Duration // length of the sliding window
	Tolerance float64       // fraction of the limit by which a window may exceed it
	Slack     float64       // number of operations by which a window may exceed it in addition
}

// Budget holds the parameters of the token bucket that enforces a limit.
type Budget struct {
	Refill   float64       // tokens per second
	Depth    float64       // maximum number of tokens
	Lifetime time.Duration // lifetime of a token, from when the request for it was sent
}

// Budget returns the bucket parameters for a limit. In any window plus one token lifetime
// before it, no more tokens are granted than operations are allowed in the window. The
// refill rate is the highest rate that an account may sustain window after window, which
// exceeds the rate of its limit: with a burst of one second's rate and a window of 5 s, a
// bucket refilled at the limit's rate would yield 0.83 of the operations allowed.
func (r Rules) Budget(l account.Limit) Budget {
	if l.Rate <= 0 && l.Burst <= 0 {
		return Budget{}
	}
	inWindow := l.Rate*r.Window.Seconds() + l.Burst
	allowed := inWindow*(1+r.Tolerance) + r.Slack
	sustained := inWindow / r.Window.Seconds()
	lifetime := seconds(lifetimeTolerance*r.Tolerance*r.Window.Seconds()) + seconds(lifetimeSlack*r.Slack/sustained)
	lifetime = min(max(lifetime, minLifetime), maxLifetime)
	span := (r.Window + lifetime).Seconds()
	depth := max(allowed-sustained*span, min(allowed/2, holdersPerAccount))
	return Budget{Refill: (allowed - depth) / span * (1 - drift), Depth: depth, Lifetime: lifetime}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// share returns the bucket parameters of one of some holders, which divide a budget equally.
func (b Budget) share(holders int) Budget {
	n := float64(max(holders, 1))
	return Budget{Refill: b.Refill / n, Depth: b.Depth / n, Lifetime: b.Lifetime}
}
