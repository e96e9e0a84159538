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
	unusedFor = 600 * time.Millisecond
	keepPart  = 2 // one in so many
	// ShrinkInterval is the pause between two looks for such.
	ShrinkInterval = unusedFor / 3
	// forgetAfter is for how long a member of a group that other instances carry must not have
	// answered here before what was seen of it is dropped.
	forgetAfter = time.Minute
	// patience is how long a request waits for a connection in use before another
	// is opened, which itself takes a slot of the member for a while.
	patience = 10 * time.Millisecond
)

// Upstreams holds the members of the groups that this instance carries, and of others that it
// uses, as the leader of a group does that others carry. It is safe for concurrent use.
type Upstreams struct {
	dialer member.Dialer
	now    func() time.Duration
	places locality.Map

	mu         sync.Mutex         // guards the rest
	snap       *topology.Snapshot // nil: none yet
	placed     *Placed
	dataCentre string
	members    map[string]*upstream
	groups     map[string]*groupState
}

// NewUpstreams returns an empty set.
func NewUpstreams(dialer member.Dialer, now func() time.Duration) *Upstreams {
	return &Upstreams{
		dialer:  dialer,
		now:     now,
		members: make(map[string]*upstream),
		groups:  make(map[string]*groupState),
	}
}

// Update takes in the members as they are now, how much of each an instance in a
// data centre may use, and how far they are from it.
func (u *Upstreams) Update(snap *topology.Snapshot, placed *Placed, dataCentre string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.snap, u.placed, u.dataCentre = snap, placed, dataCentre
	for id, up := range u.members {
		now, ok := snap.Member(id)
		if !ok || now.Address != up.address || now.Born != up.born {
			up.pool.Close()
			delete(u.members, id)
			continue
		}
		u.configure(up, now)
	}
	for _, group := range placed.Carried() {
		for _, m := range snap.MembersOf(group) {
			if u.members[m.ID] == nil {
				u.add(m)
			}
		}
	}
}

// add begins to use a member. The caller holds mu.
func (u *Upstreams) add(m topology.Member) *upstream {
	up := u.newUpstream(m)
	u.members[m.ID] = up
	u.configure(up, m)
	return up
}

// configure takes in a member's entry and how much of it this instance may use. The caller
// holds mu.
func (u *Upstreams) configure(up *upstream, m topology.Member) {
	shares, here, known := u.placed.shares(m.Group)
	if known {
		up.pool.SetCapacity(shares.ConnectionLimit(m.DataCentre, u.dataCentre))
		up.setShare(shares.ActiveLimit(m.Slots, m.DataCentre, u.dataCentre), placement.TotalActiveLimit(m.Slots))
	}
	up.mu.Lock()
	defer up.mu.Unlock()
	up.draining, up.carried = m.Draining, here || !known
	up.distance = u.places.Distance(m.DataCentre, u.dataCentre)
}

func (u *Upstreams) newUpstream(m topology.Member) *upstream {
	up := &upstream{id: m.ID, group: m.Group, address: m.Address, born: m.Born, draining: m.Draining, behind: -1, madeAt: u.now()}
	cfg := connpool.Config{
		Queue:       pool.Config{Capacity: 1, MaxQueue: maxQueue, KeepUntilDeadline: true},
		Dials:       concurrentDials,
		DialTimeout: dialTimeout,
		ReuseWait:   patience,
		MinBackoff:  minDialBackoff,
		MaxBackoff:  maxDialBackoff,
		IsFull:      isFull,
	}
	up.pool = connpool.New(cfg, func(ctx context.Context, account string) (*member.PooledConn, error) {
		conn, err := u.dialer.Dial(ctx, m, account)
		if err != nil {
			return nil, err
		}
		return member.NewPooledConn(conn), nil
	}, u.now)
	return up
}

// isFull reports whether a member refused a connection since it has too many.
func isFull(err error) bool {
	var refusal *statement.Error
	return errors.As(err, &refusal) && refusal.Code == statement.TooMany
}

// get returns a member, which is used from now on; nil when there is none by that ID.
func (u *Upstreams) get(id string) *upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	if up := u.members[id]; up != nil || u.snap == nil {
		return up
	}
	m, known := u.snap.Member(id)
	if !known {
		return nil
	}
	return u.add(m)
}

// find returns a member that is used, nil for any other.
func (u *Upstreams) find(id string) *upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.members[id]
}

func (u *Upstreams) group(name string) *groupState {
	u.mu.Lock()
	defer u.mu.Unlock()
	g := u.groups[name]
	if g == nil {
		g = &groupState{name: name, works: make(map[workKind]*pacing.Baseline), samples: routing.NewSamples(sampleCount, sampleSpacing)}
		u.groups[name] = g
	}
	return g
}

// Locate tells how far data centres lie from one another. It is called before the first Update.
func (u *Upstreams) Locate(places locality.Map) { u.places = places }

// Doubtful reports whether a member has left an attempt unanswered since its last
// answer.
func (u *Upstreams) Doubtful(id string) bool {
	up := u.find(id)
	if up == nil {
		return false
	}
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.health.HasUnansweredAttempt()
}

// Heard returns how long ago a member answered.
func (u *Upstreams) Heard(id string) (time.Duration, bool) {
	up := u.find(id)
	if up == nil {
		return 0, false
	}
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.health.SinceAnswer(u.now())
}

// stuckReplica is for how long a replica must not have been able to serve any read
// before it counts as stuck: longer than replicas usually lag, and than a burst lasts
// that one primary can take.
const stuckReplica = time.Second

// Alone reports whether a group's primary has more than it can run while every replica
// has fallen behind by more than its routes allow, and stays there.
func (u *Upstreams) Alone(group, primary string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, replicas, full := u.now(), 0, false
	for id, up := range u.members {
		if up.group != group {
			continue
		}
		up.mu.Lock()
		if id == primary {
			full = up.window.Saturated()
		} else {
			replicas++
		}
		stuck := up.lagged > 0 && now-up.lagSince >= stuckReplica
		up.mu.Unlock()
		if id != primary && !stuck {
			return false
		}
	}
	return full && replicas > 0
}

// Behind returns how long ago the primary's log ended at a position, negative when
// that is not known.
func (u *Upstreams) Behind(name string, p group.Position) time.Duration {
	return u.group(name).behind(u.now(), p)
}

// NoteAnswer records that a member answered.
func (u *Upstreams) NoteAnswer(id string) {
	if up := u.get(id); up != nil {
		up.noteAnswer(u.now(), u.now(), group.Position{})
	}
}

// Report logs what came of the attempts at each member since the last report.
func (u *Upstreams) Report(log *logrus.Entry) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, up := range u.members {
		up.mu.Lock()
		recent, behind, share, distance, failing, mayRun := up.recent, up.behind, up.window.Share(), up.distance, up.failing.Value(), up.mayRun
		up.recent = tally{}
		up.mu.Unlock()
		if recent == (tally{}) {
			continue
		}
		waits := newWaits(up.pool.WaitStats())
		log.WithFields(logrus.Fields{
			"waiting_by_priority": waits.numbers(waitingNow), "overtook": waits.numbers(overtook), "overdue": waits.numbers(overdue),
			"group": up.group, "member": id, "distance": distance.String(), "answered": recent.answered, "lagging": recent.lagging,
			"unheard": recent.unheard, "mean_ms": (recent.took / time.Duration(max(1, recent.answered))).Milliseconds(),
			"longest_ms": recent.longest.Milliseconds(), "behind_ms": behind.Milliseconds(),
			"share": math.Round(100*share) / 100, "may_run": mayRun, "failing": math.Round(100*failing) / 100, "connections": up.pool.NumOpen(), "in_use": up.pool.InUse(), "waiting": up.pool.Waiting(),
		}).Info("relay: a member since the last report")
	}
}

// WriteMetrics writes the state of the pools.
func (u *Upstreams) WriteMetrics(w io.Writer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, up := range u.members {
		up.mu.Lock()
		distance, answered := up.distance, up.answered
		up.mu.Unlock()
		labels := `{group="` + up.group + `",member="` + id + `"}`
		metrics.WriteCounterUint64(w, `stackspindle_member_answers_total{group="`+up.group+`",member="`+id+`",distance="`+distance.String()+`"}`, answered)
		metrics.WriteGaugeUint64(w, "stackspindle_member_connections"+labels, uint64(up.pool.NumOpen()))
		metrics.WriteGaugeUint64(w, "stackspindle_member_in_use"+labels, uint64(up.pool.InUse()))
		metrics.WriteGaugeUint64(w, "stackspindle_member_waiting"+labels, uint64(up.pool.Waiting()))
		newWaits(up.pool.WaitStats()).write(w, up.group, id)
	}
}

// Shrink closes connections that have not been used for a while, and all that are idle
// to members of groups that other instances carry now. Members of those that have not been
// used for long are forgotten.
func (u *Upstreams) Shrink() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	for id, up := range u.members {
		if up.isCarried() {
			up.pool.Shrink(unusedFor, max(1, up.pool.Capacity()/keepPart))
			continue
		}
		up.pool.DropIdle()
		if up.pool.NumOpen() == 0 && up.unheardFor(now) >= forgetAfter {
			up.pool.Close()
			delete(u.members, id)
		}
	}
}

// Close breaks all connections.
func (u *Upstreams) Close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, up := range u.members {
		up.pool.Close()
	}
}
