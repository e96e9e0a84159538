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

// Limits of the connection pools.
const (
	concurrentDials = 2                      // an opening connection takes one of the member's slots
	dialTimeout     = 400 * time.Millisecond // the handshake may wait behind a full queue of the member
	minDialBackoff  = 50 * time.Millisecond  // members charge refused connections like served ones
	maxDialBackoff  = 400 * time.Millisecond
	maxQueue        = 64 // requests of one account and priority that wait for a connection to one member

	// idleTimeout is the time after which an unused connection is closed. A fraction of the pool's
	// capacity, at least one connection, is kept: a connection serves one account only, and the
	// longer it stays the more often its account can reuse it. The others are closed so that the
	// member has capacity for instances that have just started, while the connections of crashed
	// instances take time to disappear.
	idleTimeout     = 600 * time.Millisecond
	keepIdleDivisor = 2 // the kept fraction is 1/keepIdleDivisor
	// ShrinkInterval is the interval at which idle connections are checked.
	ShrinkInterval = idleTimeout / 3
	// forgetUnservedAfter is the time without an answer after which the state of a member is
	// dropped if other instances serve its group.
	forgetUnservedAfter = time.Minute
	// reuseWait is how long a request waits for a connection in use before another is opened, since
	// opening takes one of the member's slots for a while.
	reuseWait = 10 * time.Millisecond
)

// Upstreams holds the members of the groups that this instance serves, and other members in use:
// the leader of a group uses the group's members also where other instances serve it. It is safe
// for concurrent use.
type Upstreams struct {
	dialer     member.Dialer
	now        func() time.Duration
	localities locality.Map

	mu         sync.Mutex         // guards the fields below
	snap       *topology.Snapshot // nil before the first Update
	placement  *PlacementSnapshot
	dataCentre string
	members    map[string]*upstreamState
	groups     map[string]*groupState
}

// NewUpstreams returns a set without members.
func NewUpstreams(dialer member.Dialer, now func() time.Duration) *Upstreams {
	return &Upstreams{
		dialer:  dialer,
		now:     now,
		members: make(map[string]*upstreamState),
		groups:  make(map[string]*groupState),
	}
}

// Update applies the current members, the share of each that an instance in the given data centre
// may use, and their network distance from there.
func (u *Upstreams) Update(snap *topology.Snapshot, placement *PlacementSnapshot, dataCentre string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.snap, u.placement, u.dataCentre = snap, placement, dataCentre
	for id, upstream := range u.members {
		current, ok := snap.Member(id)
		if !ok || current.Address != upstream.address || current.Incarnation != upstream.born {
			upstream.pool.Close()
			delete(u.members, id)
			continue
		}
		u.configure(upstream, current)
	}
	for _, name := range placement.ServedGroups() {
		for _, m := range snap.MembersOf(name) {
			if u.members[m.ID] == nil {
				u.add(m)
			}
		}
	}
}

// add creates the state of a member. The caller holds mu.
func (u *Upstreams) add(m topology.Member) *upstreamState {
	upstream := u.newUpstreamState(m)
	u.members[m.ID] = upstream
	u.configure(upstream, m)
	return upstream
}

// configure applies a member's entry and this instance's share of the member. The caller holds mu.
func (u *Upstreams) configure(upstream *upstreamState, m topology.Member) {
	shares, servedHere, known := u.placement.memberShares(m.Group)
	if known {
		upstream.pool.SetCapacity(shares.ConnectionLimit(m.DataCentre, u.dataCentre))
		upstream.setActiveLimits(shares.ActiveLimit(m.Slots, m.DataCentre, u.dataCentre), placement.TotalActiveLimit(m.Slots))
	}
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.draining, upstream.served = m.Draining, servedHere || !known
	upstream.distance = u.localities.Distance(m.DataCentre, u.dataCentre)
}

func (u *Upstreams) newUpstreamState(m topology.Member) *upstreamState {
	upstream := &upstreamState{id: m.ID, group: m.Group, address: m.Address, born: m.Incarnation, draining: m.Draining, lag: -1, createdAt: u.now()}
	cfg := connpool.Config{
		Queue:       pool.Config{Capacity: 1, MaxQueue: maxQueue, KeepUntilDeadline: true},
		Dials:       concurrentDials,
		DialTimeout: dialTimeout,
		ReuseWait:   reuseWait,
		MinBackoff:  minDialBackoff,
		MaxBackoff:  maxDialBackoff,
		IsFull:      isFull,
	}
	upstream.pool = connpool.New(cfg, func(ctx context.Context, account string) (*member.PooledConn, error) {
		conn, err := u.dialer.Dial(ctx, m, account)
		if err != nil {
			return nil, err
		}
		return member.NewPooledConn(conn), nil
	}, u.now)
	return upstream
}

// isFull reports whether a member refused a connection because it has too many.
func isFull(err error) bool {
	var refusal *statement.Error
	return errors.As(err, &refusal) && refusal.Code == statement.TooManyConnections
}

// get returns a member's state and creates it if needed. It returns nil if no member has that ID.
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

// find returns a member's state, or nil if the member is not in use.
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
		g = &groupState{name: name, baselines: make(map[statementClass]*pacing.Baseline), samples: routing.NewSamples(sampleCount, sampleSpacing)}
		u.groups[name] = g
	}
	return g
}

// SetLocalities sets the region of each data centre. It must be called before the first Update.
func (u *Upstreams) SetLocalities(localities locality.Map) { u.localities = localities }

// HasUnansweredAttempt reports whether a request to the member since its last answer got no answer.
func (u *Upstreams) HasUnansweredAttempt(id string) bool {
	upstream := u.find(id)
	if upstream == nil {
		return false
	}
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return upstream.health.HasUnansweredAttempt()
}

// SinceLastAnswer returns the time since a member's last answer. It reports false if there was none.
func (u *Upstreams) SinceLastAnswer(id string) (time.Duration, bool) {
	upstream := u.find(id)
	if upstream == nil {
		return 0, false
	}
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return upstream.health.SinceAnswer(u.now())
}

// stuckReplicaAfter is how long a replica must have been unable to serve any read before it counts
// as stuck. It is longer than replicas usually lag, and longer than a burst that a primary can
// absorb alone.
const stuckReplicaAfter = time.Second

// OverloadedWithoutReplicas reports whether a group's primary is saturated while every replica is
// stuck with more lag than the routes allow.
func (u *Upstreams) OverloadedWithoutReplicas(group, primary string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, replicas, saturated := u.now(), 0, false
	for id, upstream := range u.members {
		if upstream.group != group {
			continue
		}
		upstream.mu.Lock()
		if id == primary {
			saturated = upstream.throttle.Saturated()
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

// ReplicaLag returns the replication lag of a log that ends at the position: the time since the
// primary's log ended there. It is negative when not known.
func (u *Upstreams) ReplicaLag(name string, p group.Position) time.Duration {
	return u.group(name).lagAt(u.now(), p)
}

// RecordAnswer records that a member answered.
func (u *Upstreams) RecordAnswer(id string) {
	if upstream := u.get(id); upstream != nil {
		upstream.recordAnswer(u.now(), u.now(), group.Position{})
	}
}

// Report logs the results of the requests to each member since the last report.
func (u *Upstreams) Report(log *logrus.Entry) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, upstream := range u.members {
		upstream.mu.Lock()
		stats, lag, share, distance, failing, allowed := upstream.recentStats, upstream.lag, upstream.throttle.Share(), upstream.distance, upstream.failureRate.Value(), upstream.activeAllowed
		upstream.recentStats = attemptStats{}
		upstream.mu.Unlock()
		if stats == (attemptStats{}) {
			continue
		}
		queue := newQueueStats(upstream.pool.WaitStats())
		log.WithFields(logrus.Fields{
			"waiting_by_priority": queue.perPriority(waitingNow), "overtook": queue.perPriority(overtook), "overdue": queue.perPriority(overdue),
			"group": upstream.group, "member": id, "distance": distance.String(), "answered": stats.answered, "lagging": stats.lagging,
			"unheard": stats.unanswered, "mean_ms": (stats.totalTime / time.Duration(max(1, stats.answered))).Milliseconds(),
			"longest_ms": stats.longestTime.Milliseconds(), "behind_ms": lag.Milliseconds(),
			"share": math.Round(100*share) / 100, "may_run": allowed, "failing": math.Round(100*failing) / 100, "connections": upstream.pool.NumOpen(), "in_use": upstream.pool.InUse(), "waiting": upstream.pool.Waiting(),
		}).Info("relay: a member since the last report")
	}
}

// WriteMetrics writes the metrics of the members and their connection pools.
func (u *Upstreams) WriteMetrics(w io.Writer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, upstream := range u.members {
		upstream.mu.Lock()
		distance, answered := upstream.distance, upstream.answers
		upstream.mu.Unlock()
		labels := `{group="` + upstream.group + `",member="` + id + `"}`
		metrics.WriteCounterUint64(w, `stackspindle_member_answers_total{group="`+upstream.group+`",member="`+id+`",distance="`+distance.String()+`"}`, answered)
		metrics.WriteGaugeUint64(w, "stackspindle_member_connections"+labels, uint64(upstream.pool.NumOpen()))
		metrics.WriteGaugeUint64(w, "stackspindle_member_in_use"+labels, uint64(upstream.pool.InUse()))
		metrics.WriteGaugeUint64(w, "stackspindle_member_waiting"+labels, uint64(upstream.pool.Waiting()))
		newQueueStats(upstream.pool.WaitStats()).write(w, upstream.group, id)
	}
}

// Shrink closes connections that have been idle for idleTimeout, and all idle connections to
// members of groups that this instance no longer serves. The state of such a member is dropped once
// it has been unused for forgetUnservedAfter.
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
		if upstream.pool.NumOpen() == 0 && upstream.sinceLastAnswer(now) >= forgetUnservedAfter {
			upstream.pool.Close()
			delete(u.members, id)
		}
	}
}

// Close closes all connections.
func (u *Upstreams) Close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, upstream := range u.members {
		upstream.pool.Close()
	}
}
