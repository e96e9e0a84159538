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

// upstream is one member with its connections and what was seen of it.
type upstreamState struct {
	id        string
	group     string
	address   string
	born      int64 // the member's start that all this is of
	createdAt time.Duration
	pool      *connpool.Pool[*member.Shared]

	mu             sync.Mutex // guards the rest
	draining       bool
	distance       locality.Distance // from this instance
	answers        uint64            // in all
	served         bool              // this instance is a carrier of the group, or none is known
	health         member.Health
	failureRate    outlier.Failing
	readSampler    outlier.Turns  // of the choices in which the member takes part
	position       group.Position // end of its log, as its answers told
	lag            time.Duration  // how long ago the primary was there; negative: not known
	lagGrowing     bool           // that has become more since the answer before
	lagAt          time.Duration  // when that was told
	skipReadsUntil time.Duration  // before which a read that it could not serve is not tried again
	lagRejections  int            // reads in a row that it could not serve
	lagSince       time.Duration  // when the first of them was
	recentStats    attemptStats
	throttle       pacing.Window
	spareCapacity  pacing.Room // beyond share
	activeShare    int         // statements outside transactions that this instance may have running there
	activeLimit    int         // that all together may
	activeAllowed  int         // of which this instance makes use: its share and the room
	controllers    [admission.Works][lastPriorityLevel + 1]admission.Level
	probing        bool // a statement is on its way that will show whether the member is there
}

// tally is what came of the attempts at a member since the last report.
type attemptStats struct {
	answered    int
	lagging     int
	unanswered  int           // attempts that got no answer
	totalTime   time.Duration // all answers together
	longestTime time.Duration
}

// setShare takes in how many statements outside transactions this instance, and all
// together, may have running at the member.
func (u *upstreamState) setActiveLimits(share, limit int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if share != u.activeShare || limit != u.activeLimit {
		u.activeShare, u.activeLimit, u.spareCapacity, u.activeAllowed = share, limit, pacing.Room{}, share
		u.pool.SetMaxActive(share)
	}
}

// noteAnswer records an answer to a question of that time.
func (u *upstreamState) recordAnswer(sentAt, now time.Duration, p group.Position) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.health.Answered(now)
	u.failureRate.Answered()
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
	u.health.Missed(now)
	u.failureRate.Failed()
	u.recentStats.unanswered++
}

// takesPart reports whether the member takes part in the next choice, which it does in a share
// of them.
func (u *upstreamState) inRotation(share float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.readSampler.Next(share)
}

// isCarried reports whether this instance is to hold connections to the member.
func (u *upstreamState) isServed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.served
}

// unheardFor returns how long ago the member answered, or since when it is used here.
func (u *upstreamState) sinceLastAnswer(now time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if since, heard := u.health.SinceAnswer(now); heard {
		return since
	}
	return now - u.createdAt
}

// noteBroken closes the idle connections when one in use has gone silent: whatever
// silenced it may have silenced them, and each would cost a statement its timeout.
func (u *upstreamState) handleBrokenConn(cause error) {
	if errors.Is(cause, os.ErrDeadlineExceeded) || errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, syscall.ETIMEDOUT) {
		u.pool.DropIdle()
	}
}

// noteProgress records where a replica's log ends.
func (u *upstreamState) recordLag(behind time.Duration, lagging bool, now time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lagGrowing = behind > u.lag
	u.lag, u.lagAt = behind, now
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

// Bounds of how long a member that was found lagging is not tried again, for
// reads that need more than it had. Each try costs a round trip, and a connection
// meanwhile.
const (
	minLagBackoff = 15 * time.Millisecond
	maxLagBackoff = 120 * time.Millisecond
	maxLagShift   = 3
)

// view returns what routing needs to know of the member.
func (u *upstreamState) candidate(now time.Duration) routing.Candidate {
	u.mu.Lock()
	defer u.mu.Unlock()
	return routing.Candidate{
		ID:       u.id,
		Distance: u.distance,
		Draining: u.draining,
		Usable:   u.health.Usable(now),
		Refused:  now < u.skipReadsUntil,
		Position: u.position,
		Behind:   u.lag,
		Growing:  u.lagGrowing,
		Seen:     now - u.lagAt,
		Failing:  u.failureRate.Part(),
		Load:     u.pool.Load(),
	}
}
