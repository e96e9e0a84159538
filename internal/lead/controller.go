package lead

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/kv"
	"github.com/stackspindle/stackspindle/internal/locality"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/peerconn"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// Timing of the controller.
const (
	// rankDelay is how long a candidate waits for each candidate that ranks before it,
	// until it takes over a group without a leader. It is as long as a store call takes,
	// also while the store is slow, so that candidates do not all write at once. Candidates
	// that do write together only waste a call.
	rankDelay = 300 * time.Millisecond
	// lookElsewhere is the interval between two checks of the groups that this instance
	// does not serve. The carriers of a group have the first ranks among those that take it
	// over, so that other instances act only after one rankDelay for each carrier.
	lookElsewhere = time.Second
	// storeTimeout bounds one store call. Slow calls take 0.3 s.
	storeTimeout = 1500 * time.Millisecond
	// probeAfter is how old the last answer of a primary may be before the primary is
	// probed, if no attempt of a client's statement has failed. Each probe is billed.
	probeAfter = 500 * time.Millisecond
	// probePause is the minimum interval between two probes of a primary.
	probePause = 120 * time.Millisecond
	// probeTimeout bounds one probe of a member. The probe may wait there behind a queue of
	// statements: 24 statements of about 20 ms on 3 slots.
	probeTimeout = 350 * time.Millisecond
	// silence is how long a primary may leave probes unanswered before it counts as dead.
	// It is longer than one probe with its timeout, because a false positive costs a change
	// of primary.
	silence = 800 * time.Millisecond
	// refusals is how many connections refused in a row show that the primary's process is
	// dead.
	refusals = 2
	// witnessTimeout bounds calls to other instances about the state of a member or of a
	// change.
	witnessTimeout = 250 * time.Millisecond
	// absence is how long the entry of a primary may be missing from the store before the
	// primary is replaced. Entries that expired while the store was unavailable are back
	// within two seconds of its return. Added to the time for which a member without an
	// entry is still used (4 s), absence stays below the 7 s after which work on such a
	// member must have ended.
	absence = 2500 * time.Millisecond
	// attemptTimeout bounds one attempt to change a primary, including the longest wait for
	// grants to lapse.
	attemptTimeout = storelessLapsed + 5*time.Second
)

// Promoter asks the platform to make a member the primary of its group. The platform
// rejects a fencing token that is lower than one that was sent for the group before.
type Promoter interface {
	Promote(ctx context.Context, group, member, instance string, fencingToken uint64) error
}

// Surroundings gives the controller access to the rest of its instance.
type Surroundings interface {
	Topology() *topology.Snapshot
	View() *View
	Lease() kv.LeaseID // 0: the instance is currently not registered
	Gate(group string) *Gate
	// Heard returns how long ago a member last answered this instance, and whether it ever
	// did.
	Heard(member string) (time.Duration, bool)
	// Doubtful reports whether an attempt of this instance at a member has gone unanswered
	// since the member's last answer.
	Doubtful(member string) bool
	// Carried returns the sorted names of the groups that this instance serves, which means
	// that it connects to their members itself. The caller must not modify the slice.
	Carried() []string
	// Carries reports whether this instance serves a group.
	Carries(group string) bool
	// Users returns the instances that serve a group, possibly including this one.
	Users(group string) []Instance
	// Rank returns the rank of this instance among the candidates for the leadership of a
	// group, 0 for the first, or limit if the rank is not below limit. A smaller limit
	// makes the call cheaper, because fewer candidates are counted.
	Rank(group string, limit int) int
	// Alone reports whether a group's primary is overloaded while none of its replicas can
	// serve reads.
	Alone(group, primary string) bool
	// Behind returns the replica lag of a log position: how long ago the primary's log
	// ended there. It is negative if unknown.
	Behind(group string, p group.Position) time.Duration
	// NoteAnswer records that a member has answered just now.
	NoteAnswer(member string)
	// Event adds an event to the instance's timeline.
	Event(kind, group, member string, term uint64, text string)
}

// Controller leads groups: it takes over groups that have no leader, monitors the primaries
// of the groups that it leads, and replaces them. Tick is called by a single goroutine.
// Long-running tasks run on other goroutines, at most one at a time for each group.
type Controller struct {
	self     Instance
	store    kv.Store
	promoter Promoter
	dialer   member.Dialer
	around   Surroundings
	now      func() time.Duration
	spawn    func(func())

	drainTime time.Duration // after which no work may reach a member that has announced that it leaves
	places    locality.Map

	log   *logrus.Entry
	peers *peerconn.Conns
	own   *Server // also handles the calls that this instance would make to itself

	turns writeTurns // limits the writes that begin the leadership of groups

	lookedAt time.Duration // when Tick last checked the groups that this instance does not serve; used by Tick only

	attestAll atomic.Bool // the last round of attestation found no quorum, so the next one asks all instances

	mu     sync.Mutex // guards groups
	groups map[string]*ledGroup
}

// ledGroup is the controller's state of one group. Its fields belong to the task that runs
// for the group, or to Tick while none runs.
type ledGroup struct {
	busy           bool // a task runs for the group; guarded by the controller's mu
	refused        int  // consecutive connections that the primary refused
	silent         bool // a probe of the primary has timed out since its last answer
	probedAt       time.Duration
	doubtAt        time.Duration // when the first failed probe since its last answer was made; 0: none failed
	leading        int64         // revision of the leader key that this instance's leadership rests on
	generation     uint64        // of this instance's leadership
	provenAt       time.Duration // when the last successful conditional write was sent; 0: none yet
	announced      string        // ID of the change that this instance executes
	announcedAt    time.Duration // when that change was first known to be in the store
	inherited      string        // ID of the change that was in progress when this instance took over
	takenAt        time.Duration // when this instance took over
	tried          attempt       // the last attempt to take over the group
	absentAt       time.Duration // when the primary's entry was first found missing; 0: it exists
	steppedAt      time.Duration // when this instance last tried to give up the leadership
	plannedAt      time.Duration // when a planned change was last considered; 0: never
	postponedSince time.Duration // since when a planned change has been postponed; 0: none is
	relievedAt     time.Duration // when the primary was last replaced because it was overloaded; 0: never
	outcome        *outcome      // of the last change; perhaps not in the store yet
	conn           member.Conn   // probe connection to the primary; may be nil
	connTo         string
}

// outcome is the result of a change, as observed at the members.
type outcome struct {
	record   Record
	revision int64 // of the record that announced the change
}

// attempt is one attempt to take over a group.
type attempt struct {
	leader, record int64         // revisions of the keys that the attempt was based on
	again          time.Duration // no other attempt based on the same revisions may begin before this time
	pause          time.Duration // backoff after this attempt
}

// Bounds of the backoff between two attempts to take over a group that are based on the
// same revisions. As a rule, the view does not show the first attempt's result yet, or the
// store refuses calls. Each store call is billed.
const (
	minTakeOverPause = 200 * time.Millisecond
	maxTakeOverPause = 1600 * time.Millisecond
)

// next returns the attempt that follows this one, based on the given revisions, or false
// while it is too soon for it.
func (a attempt) next(now time.Duration, leader, record int64) (attempt, bool) {
	n := attempt{leader: leader, record: record, pause: minTakeOverPause}
	if a.pause > 0 && a.leader == leader && a.record == record {
		if now < a.again {
			return a, false
		}
		n.pause = min(2*a.pause, maxTakeOverPause)
	}
	n.again = now + n.pause
	return n, true
}

// Config holds the dependencies of a Controller.
type Config struct {
	Self     Instance
	Own      *Server         // handles this instance's calls to itself like those of others
	Peers    *peerconn.Conns // to other instances
	Store    kv.Store
	Promoter Promoter
	Dialer   member.Dialer
	Around   Surroundings
	// DrainTime is the time after which no work may reach a member that has announced that
	// it leaves.
	DrainTime time.Duration
	Now       func() time.Duration
	Spawn     func(func()) // runs a function in the background
	Log       *logrus.Entry
}

// NewController returns the controller of an instance.
func NewController(cfg Config) *Controller {
	return &Controller{
		self: cfg.Self, own: cfg.Own, store: cfg.Store, promoter: cfg.Promoter, dialer: cfg.Dialer, around: cfg.Around, drainTime: cfg.DrainTime,
		now: cfg.Now, spawn: cfg.Spawn, log: cfg.Log, peers: cfg.Peers, groups: make(map[string]*ledGroup),
	}
}

// Tick checks the groups that this instance serves or leads, and starts the tasks that are
// due. Every lookElsewhere it checks all other groups too, if any group may have no leader.
func (c *Controller) Tick(ctx context.Context) {
	view, lease := c.around.View(), c.around.Lease()
	carried := c.around.Carried()
	for _, group := range carried {
		c.look(ctx, view, lease, group)
	}
	for _, group := range view.Led(c.self.Name, c.self.Incarnation) {
		if _, checked := slices.BinarySearch(carried, group); !checked {
			c.look(ctx, view, lease, group)
		}
	}
	if now := c.now(); now-c.lookedAt >= lookElsewhere {
		c.lookedAt = now
		c.lookAtOthers(ctx, view, lease, carried)
	}
}

// lookAtOthers checks the groups that this instance does not serve, unless all groups have
// leaders.
func (c *Controller) lookAtOthers(ctx context.Context, view *View, lease kv.LeaseID, carried []string) {
	groups := c.around.Topology().Groups
	if view.AllLed(len(groups)) {
		return
	}
	for group := range groups {
		if _, checked := slices.BinarySearch(carried, group); !checked {
			c.look(ctx, view, lease, group)
		}
	}
}

// look starts the task that is due for a group, if there is one and no other task runs for
// the group.
func (c *Controller) look(ctx context.Context, view *View, lease kv.LeaseID, group string) {
	task := c.due(view, lease, group)
	if task == nil {
		return
	}
	g := c.claimTask(group)
	if g == nil {
		return
	}
	c.spawn(func() {
		defer c.endTask(g)
		task(ctx, group, g)
	})
}

type task func(ctx context.Context, group string, g *ledGroup)

// due returns the task that is due for a group now, nil for none.
func (c *Controller) due(view *View, lease kv.LeaseID, group string) task {
	leader, _ := view.Leader(group)
	switch {
	case leader.Instance == c.self.Name && leader.Incarnation == c.self.Incarnation:
		return c.watchPrimary
	case lease == 0 || leader.Instance != "" && !view.Orphaned(group):
		return nil
	case leader.Instance != "":
		if c.around.Rank(group, 1) > 0 {
			return nil // the key expires with its lease; until then only the first-ranked candidate may take over
		}
		return c.takeOver
	}
	since, known := view.Leaderless(c.now(), group)
	maxRank := 0 // highest rank that may take over now; only the first-ranked creates a missing record
	if known {
		maxRank = int(since / rankDelay)
	}
	if c.around.Rank(group, maxRank+1) > maxRank {
		return nil
	}
	return c.takeOver
}

// claimTask reserves a group for one task and returns its state, nil while another task
// runs.
func (c *Controller) claimTask(group string) *ledGroup {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.groups[group]
	if g == nil {
		g = &ledGroup{}
		c.groups[group] = g
	}
	if g.busy {
		return nil
	}
	g.busy = true
	return g
}

func (c *Controller) endTask(g *ledGroup) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g.busy = false
}

// takeOver makes this instance the leader of a group that has none.
func (c *Controller) takeOver(ctx context.Context, group string, g *ledGroup) {
	view := c.around.View()
	record, revision := view.Record(group)
	_, leaderRevision := view.Leader(group)
	began := c.now()
	tried, due := g.tried.next(began, leaderRevision, revision)
	lease := c.around.Lease()
	if lease == 0 || !due || !c.turns.begin(began) { // a leader key without a lease would outlive this instance
		return
	}
	g.tried = tried
	record.Group = group
	record.Generation++
	record.Leader = c.self.Name
	if revision == 0 {
		record = c.findPrimary(ctx, record) // saves a second write; the condition ensures that no record exists yet
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := c.store.Commit(ctx, kv.Txn{
		Expect: []kv.Expect{{Key: prefixLeader + group, Revision: leaderRevision}, {Key: prefixGroup + group, Revision: revision}},
		Puts: []kv.Put{
			{Key: prefixLeader + group, Value: encode(Leader{c.self.Name, c.self.Incarnation}), Lease: lease},
			{Key: prefixGroup + group, Value: encode(record)},
		},
	})
	c.turns.end(began, c.now(), err)
	log := c.log.WithFields(logrus.Fields{"group": group, "generation": record.Generation, "revision": revision})
	if err != nil {
		// The watch will show whether the write took effect, and only that counts.
		log.WithError(err).Info("lead: taking over the group did not succeed, or its answer was lost")
		return
	}
	g.tried.again = began + maxTakeOverPause // by then the view shows this write, unless the leadership was lost again
	log.Info("lead: this instance took over the group")
}

// noteLead resets the state of the group if this is another leadership than at the last
// call.
func (c *Controller) noteLead(g *ledGroup, group string, leaderRevision int64, record Record) {
	if g.leading == leaderRevision {
		return
	}
	stored, _ := c.around.View().Record(group)
	g.leading, g.generation, g.takenAt, g.provenAt = leaderRevision, stored.Generation, c.now(), 0
	g.refused, g.silent, g.doubtAt, g.inherited, g.outcome = 0, false, 0, "", nil
	if record.Change != nil {
		g.inherited = record.Change.ID
	}
	c.around.Event("leader", group, record.Primary, record.Term, "this instance leads the group")
}

// watchPrimary does the next step for a group that this instance leads: it finishes a
// change in progress, finds an unknown primary, or checks the primary.
func (c *Controller) watchPrimary(ctx context.Context, group string, g *ledGroup) {
	record, revision := c.around.Gate(group).Record()
	if revision == 0 {
		return
	}
	leader, leaderRevision := c.around.View().Leader(group)
	if leader.Instance != c.self.Name || leader.Incarnation != c.self.Incarnation {
		return // another process has taken over since the task became due
	}
	c.noteLead(g, group, leaderRevision, record)
	if record.Generation != g.generation {
		return // the record shows another leader, which this instance's view of the store does not show yet
	}
	if g.outcome != nil && g.outcome.revision == revision {
		c.recordOutcome(ctx, group, g)
		return
	}
	if record.Change != nil {
		c.replace(ctx, group, g, *record.Change)
		return
	}
	if record.Primary == "" {
		c.discover(ctx, group, g)
		return
	}
	primary, known := c.around.Topology().Member(record.Primary)
	if known {
		g.absentAt = 0
	}
	switch {
	case !known:
		c.noteAbsence(ctx, group, g)
		return
	case primary.Draining:
		c.begin(ctx, group, g, "the primary drains", true)
	default:
		c.checkHealth(ctx, group, g, primary)
	}
}

// noteAbsence starts to replace a primary whose entry has been missing for too long.
func (c *Controller) noteAbsence(ctx context.Context, group string, g *ledGroup) {
	if g.absentAt == 0 {
		g.absentAt = c.now()
	}
	if c.now()-g.absentAt >= absence {
		c.begin(ctx, group, g, "the primary's entry is gone", false)
	}
}
