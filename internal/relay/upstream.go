package relay

import (
	"context"
	"errors"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/stackspindle/stackspindle/internal/admission"
	"github.com/stackspindle/stackspindle/internal/connpool"
	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/locality"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/outlier"
	"github.com/stackspindle/stackspindle/internal/pacing"
	"github.com/stackspindle/stackspindle/internal/routing"
)

// upstreamState is one member with its connection pool and what this instance has observed of it.
type upstreamState struct {
	id        string
	group     string
	address   string
	born      int64 // start of the member that this state belongs to; a restarted member gets a new state
	createdAt time.Duration
	pool      *connpool.Pool[*member.PooledConn]

	mu             sync.Mutex // guards the fields below
	draining       bool
	distance       locality.Distance // network distance from this instance
	answers        uint64            // total
	served         bool              // this instance serves the group, or the carriers are not known yet
	health         member.Health
	failureRate    outlier.FailureRate
	readSampler    outlier.Sampler // selects the reads for which a failing member is a candidate
	position       group.Position  // end of its log, by its last answer
	lag            time.Duration   // replication lag; negative: not known
	lagGrowing     bool            // the lag is larger than at the answer before
	lagAt          time.Duration   // when the lag was observed
	skipReadsUntil time.Duration   // end of the backoff after a read was rejected because of the lag
	lagRejections  int             // reads rejected in a row because of the lag
	lagSince       time.Duration   // time of the first of them
	recentStats    attemptStats
	throttle       pacing.Throttle
	spareCapacity  pacing.SpareCapacity // statements that may run beyond activeShare
	activeShare    int                  // this instance's share of the member's concurrent statements outside transactions
	activeLimit    int                  // limit of the concurrent statements of all instances together
	activeAllowed  int                  // activeShare plus the spare capacity in use
	controllers    [admission.NumTargets][lastPriorityLevel + 1]admission.Controller
	probing        bool // a statement is being sent that will show whether the member answers again
}

// attemptStats are the results of requests to a member since the last report.
type attemptStats struct {
	answered    int
	lagging     int
	unanswered  int           // requests without an answer
	totalTime   time.Duration // sum over all answers
	longestTime time.Duration
}

// setActiveLimits sets how many statements outside transactions this instance, and all instances
// together, may run concurrently at the member.
func (u *upstreamState) setActiveLimits(share, limit int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if share != u.activeShare || limit != u.activeLimit {
		u.activeShare, u.activeLimit, u.spareCapacity, u.activeAllowed = share, limit, pacing.SpareCapacity{}, share
		u.pool.SetMaxActive(share)
	}
}

// recordAnswer records an answer to a request sent at sentAt.
func (u *upstreamState) recordAnswer(sentAt, now time.Duration, p group.Position) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.health.RecordAnswer(now)
	u.failureRate.RecordSuccess()
	u.answers++
	u.recentStats.answered++
	u.recentStats.totalTime += now - sentAt
	u.recentStats.longestTime = max(u.recentStats.longestTime, now-sentAt)
	if !p.IsZero() {
		u.position = p
	}
}

func (u *upstreamState) recordFailedAttempt(now time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.health.RecordNoAnswer(now)
	u.failureRate.RecordFailure()
	u.recentStats.unanswered++
}

// inRotation reports whether the member is a candidate for the next read, which it is for the given
// share of them.
func (u *upstreamState) inRotation(share float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.readSampler.Next(share)
}

// isServed reports whether this instance should hold connections to the member.
func (u *upstreamState) isServed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.served
}

// sinceLastAnswer returns the time since the member's last answer, or since this state was created
// if there was none.
func (u *upstreamState) sinceLastAnswer(now time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if since, ok := u.health.SinceAnswer(now); ok {
		return since
	}
	return now - u.createdAt
}

// handleBrokenConn closes the idle connections after a timeout on a connection in use. The same
// fault, such as a network partition, may have affected them too, and each would cost a statement
// its timeout.
func (u *upstreamState) handleBrokenConn(cause error) {
	if errors.Is(cause, os.ErrDeadlineExceeded) || errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, syscall.ETIMEDOUT) {
		u.pool.DropIdle()
	}
}

// recordLag records the replication lag of a replica, and whether it rejected a read because of it.
func (u *upstreamState) recordLag(lag time.Duration, lagging bool, now time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lagGrowing = lag > u.lag
	u.lag, u.lagAt = lag, now
	if !lagging {
		u.lagRejections = 0
		return
	}
	u.recentStats.lagging++
	if u.lagRejections == 0 {
		u.lagSince = now
	}
	u.skipReadsUntil = now + min(minLagBackoff<<min(u.lagRejections, maxLagShift), maxLagBackoff)
	u.lagRejections++
}

// Backoff after a replica rejected a read because it lags. Each attempt costs a round trip, and
// occupies a connection meanwhile.
const (
	minLagBackoff = 15 * time.Millisecond
	maxLagBackoff = 120 * time.Millisecond
	maxLagShift   = 3
)

// candidate returns the member's state for routing.
func (u *upstreamState) candidate(now time.Duration) routing.Candidate {
	u.mu.Lock()
	defer u.mu.Unlock()
	return routing.Candidate{
		ID:          u.id,
		Distance:    u.distance,
		Draining:    u.draining,
		Usable:      u.health.Usable(now),
		LagRejected: now < u.skipReadsUntil,
		Position:    u.position,
		Lag:         u.lag,
		LagGrowing:  u.lagGrowing,
		LagAge:      now - u.lagAt,
		FailureRate: u.failureRate.Value(),
		Load:        u.pool.Load(),
	}
}
