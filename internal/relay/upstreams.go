// Package relay serves the statements of callers: it keeps what belongs to a
// session, chooses a member for each statement or transaction, and has it run
// on a connection that all sessions of the instance share.
package relay

import (
	"context"
	"errors"
	"io"
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/connpool"
	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/locality"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/pacing"
	"github.com/stackspindle/stackspindle/internal/placement"
	"github.com/stackspindle/stackspindle/internal/pool"
	"github.com/stackspindle/stackspindle/internal/routing"
	"github.com/stackspindle/stackspindle/internal/statement"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// Settings of the pools.
const (
	concurrentDials = 2                      // a connection that opens takes a slot of the member
	dialTimeout     = 400 * time.Millisecond // the handshake may wait behind a full queue of the member
	minDialBackoff  = 50 * time.Millisecond  // refused connections are priced like served ones
	maxDialBackoff  = 400 * time.Millisecond
	maxQueue        = 64 // requests of one account and priority that wait for a connection of one member

	// unusedFor is after what time a connection that nobody has used is closed, but for the
	// part that an instance keeps of those that it may use, at least one. A connection serves its
	// account only: the longer it stays, the more often the account finds it. The rest is closed
	// so that a member has room for instances that have just started, while the
	// connections of dead ones take their time to go.
	idleTimeout     = 600 * time.Millisecond
	keepIdleDivisor = 2 // one in so many
	// ShrinkInterval is the pause between two looks for such.
	ShrinkInterval = idleTimeout / 3
	// forgetAfter is for how long a member of a group that other instances carry must not have
	// answered here before what was seen of it is dropped.
	forgetUnservedAfter = time.Minute
	// patience is how long a request waits for a connection in use before another
	// is opened, which itself takes a slot of the member for a while.
	reuseWait = 10 * time.Millisecond
)

// Upstreams holds the members of the groups that this instance carries, and of others that it
// uses, as the leader of a group does that others carry. It is safe for concurrent use.
type Upstreams struct {
	dialer     member.Dialer
	now        func() time.Duration
	localities locality.Map

	mu         sync.Mutex         // guards the rest
	snap       *topology.Snapshot // nil: none yet
	placement  *Placed
	dataCentre string
	members    map[string]*upstreamState
	groups     map[string]*groupState
}

// NewUpstreams returns an empty set.
func NewUpstreams(dialer member.Dialer, now func() time.Duration) *Upstreams {
	return &Upstreams{
		dialer:  dialer,
		now:     now,
		members: make(map[string]*upstreamState),
		groups:  make(map[string]*groupState),
	}
}

// Update takes in the members as they are now, how much of each an instance in a
// data centre may use, and how far they are from it.
func (u *Upstreams) Update(snap *topology.Snapshot, placed *Placed, dataCentre string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.snap, u.placement, u.dataCentre = snap, placed, dataCentre
	for id, upstream := range u.members {
		current, ok := snap.Member(id)
		if !ok || current.Address != upstream.address || current.Born != upstream.born {
			upstream.pool.Close()
			delete(u.members, id)
			continue
		}
		u.configure(upstream, current)
	}
	for _, name := range placed.Carried() {
		for _, m := range snap.MembersOf(name) {
			if u.members[m.ID] == nil {
				u.add(m)
			}
		}
	}
}

// add begins to use a member. The caller holds mu.
func (u *Upstreams) add(m topology.Member) *upstreamState {
	upstream := u.newUpstream(m)
	u.members[m.ID] = upstream
	u.configure(upstream, m)
	return upstream
}

// configure takes in a member's entry and how much of it this instance may use. The caller
// holds mu.
func (u *Upstreams) configure(upstream *upstreamState, m topology.Member) {
	shares, servedHere, known := u.placement.memberShares(m.Group)
	if known {
		upstream.pool.SetCapacity(shares.Connections(m.DataCentre, u.dataCentre))
		upstream.setActiveLimits(shares.Active(m.Slots, m.DataCentre, u.dataCentre), placement.MostActive(m.Slots))
	}
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.draining, upstream.served = m.Draining, servedHere || !known
	upstream.distance = u.localities.Distance(m.DataCentre, u.dataCentre)
}

func (u *Upstreams) newUpstream(m topology.Member) *upstreamState {
	upstream := &upstreamState{id: m.ID, group: m.Group, address: m.Address, born: m.Born, draining: m.Draining, lag: -1, createdAt: u.now()}
	cfg := connpool.Config{
		Queue:       pool.Config{Capacity: 1, MaxQueue: maxQueue, Patient: true},
		Dials:       concurrentDials,
		DialTimeout: dialTimeout,
		Patience:    reuseWait,
		MinBackoff:  minDialBackoff,
		MaxBackoff:  maxDialBackoff,
		Full:        isFull,
	}
	upstream.pool = connpool.New(cfg, func(ctx context.Context, account string) (*member.Shared, error) {
		conn, err := u.dialer.Dial(ctx, m, account)
		if err != nil {
			return nil, err
		}
		return member.NewShared(conn), nil
	}, u.now)
	return upstream
}

// isFull reports whether a member refused a connection since it has too many.
func isFull(err error) bool {
	var refusal *statement.Error
	return errors.As(err, &refusal) && refusal.Code == statement.TooMany
}

// get returns a member, which is used from now on; nil when there is none by that ID.
func (u *Upstreams) get(id string) *upstreamState {
	u.mu.Lock()
	defer u.mu.Unlock()
	if upstream := u.members[id]; upstream != nil || u.snap == nil {
		return upstream
	}
	m, known := u.snap.Member(id)
	if !known {
		return nil
	}
	return u.add(m)
}

// find returns a member that is used, nil for any other.
func (u *Upstreams) find(id string) *upstreamState {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.members[id]
}

func (u *Upstreams) group(name string) *groupState {
	u.mu.Lock()
	defer u.mu.Unlock()
	g := u.groups[name]
	if g == nil {
		g = &groupState{name: name, baselines: make(map[statementClass]*pacing.Work), samples: routing.NewSamples(sampleCount, sampleSpacing)}
		u.groups[name] = g
	}
	return g
}

// Locate tells how far data centres lie from one another. It is called before the first Update.
func (u *Upstreams) Locate(places locality.Map) { u.localities = places }

// Doubtful reports whether a member has left an attempt unanswered since its last
// answer.
func (u *Upstreams) Doubtful(id string) bool {
	upstream := u.find(id)
	if upstream == nil {
		return false
	}
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return upstream.health.Doubtful()
}

// Heard returns how long ago a member answered.
func (u *Upstreams) Heard(id string) (time.Duration, bool) {
	upstream := u.find(id)
	if upstream == nil {
		return 0, false
	}
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return upstream.health.SinceAnswer(u.now())
}

// stuckReplica is for how long a replica must not have been able to serve any read
// before it counts as stuck: longer than replicas usually lag, and than a burst lasts
// that one primary can take.
const stuckReplicaAfter = time.Second

// Alone reports whether a group's primary has more than it can run while every replica
// has fallen behind by more than its routes allow, and stays there.
func (u *Upstreams) Alone(group, primary string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, replicas, saturated := u.now(), 0, false
	for id, upstream := range u.members {
		if upstream.group != group {
			continue
		}
		upstream.mu.Lock()
		if id == primary {
			saturated = upstream.throttle.Full()
		} else {
			replicas++
		}
		stuck := upstream.lagRejections > 0 && now-upstream.lagSince >= stuckReplicaAfter
		upstream.mu.Unlock()
		if id != primary && !stuck {
			return false
		}
	}
	return saturated && replicas > 0
}

// Behind returns how long ago the primary's log ended at a position, negative when
// that is not known.
func (u *Upstreams) Behind(name string, p group.Position) time.Duration {
	return u.group(name).lagAt(u.now(), p)
}

// NoteAnswer records that a member answered.
func (u *Upstreams) NoteAnswer(id string) {
	if upstream := u.get(id); upstream != nil {
		upstream.recordAnswer(u.now(), u.now(), group.Position{})
	}
}

// Report logs what came of the attempts at each member since the last report.
func (u *Upstreams) Report(log *logrus.Entry) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, upstream := range u.members {
		upstream.mu.Lock()
		stats, behind, share, distance, failing, allowed := upstream.recentStats, upstream.lag, upstream.throttle.Share(), upstream.distance, upstream.failureRate.Part(), upstream.activeAllowed
		upstream.recentStats = attemptStats{}
		upstream.mu.Unlock()
		if stats == (attemptStats{}) {
			continue
		}
		queue := newQueueStats(upstream.pool.Waits())
		log.WithFields(logrus.Fields{
			"waiting_by_priority": queue.perPriority(waitingNow), "overtook": queue.perPriority(overtook), "overdue": queue.perPriority(overdue),
			"group": upstream.group, "member": id, "distance": distance.String(), "answered": stats.answered, "lagging": stats.lagging,
			"unheard": stats.unanswered, "mean_ms": (stats.totalTime / time.Duration(max(1, stats.answered))).Milliseconds(),
			"longest_ms": stats.longestTime.Milliseconds(), "behind_ms": behind.Milliseconds(),
			"share": math.Round(100*share) / 100, "may_run": allowed, "failing": math.Round(100*failing) / 100, "connections": upstream.pool.Open(), "in_use": upstream.pool.InUse(), "waiting": upstream.pool.Waiting(),
		}).Info("relay: a member since the last report")
	}
}

// WriteMetrics writes the state of the pools.
func (u *Upstreams) WriteMetrics(w io.Writer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, upstream := range u.members {
		upstream.mu.Lock()
		distance, answered := upstream.distance, upstream.answers
		upstream.mu.Unlock()
		labels := `{group="` + upstream.group + `",member="` + id + `"}`
		metrics.WriteCounterUint64(w, `stackspindle_member_answers_total{group="`+upstream.group+`",member="`+id+`",distance="`+distance.String()+`"}`, answered)
		metrics.WriteGaugeUint64(w, "stackspindle_member_connections"+labels, uint64(upstream.pool.Open()))
		metrics.WriteGaugeUint64(w, "stackspindle_member_in_use"+labels, uint64(upstream.pool.InUse()))
		metrics.WriteGaugeUint64(w, "stackspindle_member_waiting"+labels, uint64(upstream.pool.Waiting()))
		newQueueStats(upstream.pool.Waits()).write(w, upstream.group, id)
	}
}

// Shrink closes connections that have not been used for a while, and all that are idle
// to members of groups that other instances carry now. Members of those that have not been
// used for long are forgotten.
func (u *Upstreams) Shrink() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	for id, upstream := range u.members {
		if upstream.isServed() {
			upstream.pool.Shrink(idleTimeout, max(1, upstream.pool.Capacity()/keepIdleDivisor))
			continue
		}
		upstream.pool.DropIdle()
		if upstream.pool.Open() == 0 && upstream.sinceLastAnswer(now) >= forgetUnservedAfter {
			upstream.pool.Close()
			delete(u.members, id)
		}
	}
}

// Close breaks all connections.
func (u *Upstreams) Close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, upstream := range u.members {
		upstream.pool.Close()
	}
}
