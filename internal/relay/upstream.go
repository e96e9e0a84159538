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
type upstream struct {
	id      string
	group   string
	address string
	born    int64 // the member's start that all this is of
	madeAt  time.Duration
	pool    *connpool.Pool[*member.PooledConn]

	mu       sync.Mutex // guards the rest
	draining bool
	distance locality.Distance // from this instance
	answered uint64            // in all
	carried  bool              // this instance is a carrier of the group, or none is known
	health   member.Health
	failing  outlier.FailureRate
	turns    outlier.Sampler // of the choices in which the member takes part
	position group.Position  // end of its log, as its answers told
	behind   time.Duration   // how long ago the primary was there; negative: not known
	growing  bool            // that has become more since the answer before
	behindAt time.Duration   // when that was told
	lagUntil time.Duration   // before which a read that it could not serve is not tried again
	lagged   int             // reads in a row that it could not serve
	lagSince time.Duration   // when the first of them was
	recent   tally
	window   pacing.Throttle
	room     pacing.SpareCapacity // beyond share
	share    int                  // statements outside transactions that this instance may have running there
	most     int                  // that all together may
	mayRun   int                  // of which this instance makes use: its share and the room
	levels   [admission.NumTargets][lowestPriority + 1]admission.Controller
	probing  bool // a statement is on its way that will show whether the member is there
}

// tally is what came of the attempts at a member since the last report.
type tally struct {
	answered int
	lagging  int
	unheard  int           // attempts that got no answer
	took     time.Duration // all answers together
	longest  time.Duration
}

// setShare takes in how many statements outside transactions this instance, and all
// together, may have running at the member.
func (up *upstream) setShare(share, most int) {
	up.mu.Lock()
	defer up.mu.Unlock()
	if share != up.share || most != up.most {
		up.share, up.most, up.room, up.mayRun = share, most, pacing.SpareCapacity{}, share
		up.pool.SetMaxActive(share)
	}
}

// noteAnswer records an answer to a question of that time.
func (up *upstream) noteAnswer(asked, now time.Duration, p group.Position) {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.health.RecordAnswer(now)
	up.failing.RecordSuccess()
	up.answered++
	up.recent.answered++
	up.recent.took += now - asked
	up.recent.longest = max(up.recent.longest, now-asked)
	if !p.IsZero() {
		up.position = p
	}
}

func (up *upstream) noteMiss(now time.Duration) {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.health.RecordNoAnswer(now)
	up.failing.RecordFailure()
	up.recent.unheard++
}

// takesPart reports whether the member takes part in the next choice, which it does in a share
// of them.
func (up *upstream) takesPart(share float64) bool {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.turns.Next(share)
}

// isCarried reports whether this instance is to hold connections to the member.
func (up *upstream) isCarried() bool {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.carried
}

// unheardFor returns how long ago the member answered, or since when it is used here.
func (up *upstream) unheardFor(now time.Duration) time.Duration {
	up.mu.Lock()
	defer up.mu.Unlock()
	if since, heard := up.health.SinceAnswer(now); heard {
		return since
	}
	return now - up.madeAt
}

// noteBroken closes the idle connections when one in use has gone silent: whatever
// silenced it may have silenced them, and each would cost a statement its timeout.
func (up *upstream) noteBroken(cause error) {
	if errors.Is(cause, os.ErrDeadlineExceeded) || errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, syscall.ETIMEDOUT) {
		up.pool.DropIdle()
	}
}

// noteProgress records where a replica's log ends.
func (up *upstream) noteProgress(behind time.Duration, lagging bool, now time.Duration) {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.growing = behind > up.behind
	up.behind, up.behindAt = behind, now
	if !lagging {
		up.lagged = 0
		return
	}
	up.recent.lagging++
	if up.lagged == 0 {
		up.lagSince = now
	}
	up.lagUntil = now + min(minLagPause<<min(up.lagged, maxLagShift), maxLagPause)
	up.lagged++
}

// Bounds of how long a member that was found lagging is not tried again, for
// reads that need more than it had. Each try costs a round trip, and a connection
// meanwhile.
const (
	minLagPause = 15 * time.Millisecond
	maxLagPause = 120 * time.Millisecond
	maxLagShift = 3
)

// view returns what routing needs to know of the member.
func (up *upstream) view(now time.Duration) routing.Candidate {
	up.mu.Lock()
	defer up.mu.Unlock()
	return routing.Candidate{
		ID:          up.id,
		Distance:    up.distance,
		Draining:    up.draining,
		Usable:      up.health.Usable(now),
		LagRejected: now < up.lagUntil,
		Position:    up.position,
		Lag:         up.behind,
		LagGrowing:  up.growing,
		LagAge:      now - up.behindAt,
		FailureRate: up.failing.Value(),
		Load:        up.pool.Load(),
	}
}
