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
	// takeOverRankDelay is how long a candidate waits for each candidate that ranks before
	// it, until it takes over a group without a leader. It is as long as a store call
	// takes, also while the store is slow, so that candidates do not all write at once.
	// Candidates that do write together only waste a call.
	takeOverRankDelay = 300 * time.Millisecond
	// otherGroupsInterval is the interval between two checks of the groups that this instance
	// does not serve. The carriers of a group have the first ranks among those that take it
	// over, so that other instances act only after one takeOverRankDelay for each carrier.
	otherGroupsInterval = time.Second
	// storeTimeout bounds one store call. Slow calls take 0.3 s.
	storeTimeout = 1500 * time.Millisecond
	// probeAfter is how old the last answer of a primary may be before the primary is
	// probed, if no attempt of a client's statement has failed. Each probe is billed.
	probeAfter = 500 * time.Millisecond
	// probeInterval is the minimum interval between two probes of a primary.
	probeInterval = 120 * time.Millisecond
	// probeTimeout bounds one probe of a member. The probe may wait there behind a queue of
	// statements: 24 statements of about 20 ms on 3 slots.
	probeTimeout = 350 * time.Millisecond
	// unresponsiveTimeout is how long a primary may leave probes unanswered before it
	// counts as dead. It is longer than one probe with its timeout, because a false
	// positive costs a change of primary.
	unresponsiveTimeout = 800 * time.Millisecond
	// deadAfterRefusals is how many connections refused in a row show that the
	// primary's process is dead.
	deadAfterRefusals = 2
	// peerQueryTimeout bounds calls to other instances about the state of a member or of a
	// change.
	peerQueryTimeout = 250 * time.Millisecond
	// missingEntryGrace is how long the entry of a primary may be missing from the store
	// before the primary is replaced. Entries that expired while the store was unavailable
	// are back within two seconds of its return. Added to the time for which a member
	// without an entry is still used (4 s), missingEntryGrace stays below the 7 s after
	// which work on such a member must have ended.
	missingEntryGrace = 2500 * time.Millisecond
	// changeTimeout bounds one attempt to change a primary, including the longest wait for
	// grants to lapse.
	changeTimeout = attestedUseLapseTime + 5*time.Second
)

// Promoter asks the platform to make a member the primary of its group. The platform
// rejects a fencing token that is lower than one that was sent for the group before.
type Promoter interface {
	Promote(ctx context.Context, group, member, instance string, fencingToken uint64) error
}

// Environment gives the controller access to the rest of its instance.
type Environment interface {
	Topology() *topology.Snapshot
	View() *View
	Lease() kv.LeaseID // 0: the instance is currently not registered
	PrimaryGuard(group string) *PrimaryGuard
	// SinceLastAnswer returns how long ago a member last answered this instance, and
	// whether it ever did.
	SinceLastAnswer(member string) (time.Duration, bool)
	// HasUnansweredAttempt reports whether an attempt of this instance at a member has gone
	// unanswered since the member's last answer.
	HasUnansweredAttempt(member string) bool
	// ServedGroups returns the sorted names of the groups that this instance serves, which
	// means that it connects to their members itself. The caller must not modify the slice.
	ServedGroups() []string
	// Serves reports whether this instance serves a group.
	Serves(group string) bool
	// InstancesServing returns the instances that serve a group, possibly including this one.
	InstancesServing(group string) []Instance
	// Rank returns the rank of this instance among the candidates for the leadership of a
	// group, 0 for the first, or limit if the rank is not below limit. A smaller limit
	// makes the call cheaper, because fewer candidates are counted.
	Rank(group string, limit int) int
	// OverloadedWithoutReplicas reports whether a group's primary is overloaded while none
	// of its replicas can serve reads.
	OverloadedWithoutReplicas(group, primary string) bool
	// ReplicaLag returns the replica lag of a log position: how long ago the primary's log
	// ended there. It is negative if unknown.
	ReplicaLag(group string, p group.Position) time.Duration
	// RecordAnswer records that a member has answered just now.
	RecordAnswer(member string)
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
	env      Environment
	now      func() time.Duration
	spawn    func(func())

	drainTimeout time.Duration // after which no work may reach a member that has announced that it leaves
	localities   locality.Map

	log    *logrus.Entry
	peers  *peerconn.Conns
	server *Server // also handles the calls that this instance would make to itself

	throttle writeThrottle // limits the writes that begin the leadership of groups

	othersCheckedAt time.Duration // when Tick last checked the groups that this instance does not serve; used by Tick only

	askAllInstances atomic.Bool // the last round of attestation found no quorum, so the next one asks all instances

	mu     sync.Mutex // guards groups
	groups map[string]*ledGroup
}

// ledGroup is the controller's state of one group. Its fields belong to the task that runs
// for the group, or to Tick while none runs.
type ledGroup struct {
	busy                bool // a task runs for the group; guarded by the controller's mu
	refusedInRow        int  // consecutive connections that the primary refused
	unresponsive        bool // a probe of the primary has timed out since its last answer
	probedAt            time.Duration
	unansweredSince     time.Duration   // when the first failed probe since its last answer was made; 0: none failed
	leaderRevision      int64           // revision of the leader key that this instance's leadership rests on
	generation          uint64          // of this instance's leadership
	leadershipProvenAt  time.Duration   // when the last successful conditional write was sent; 0: none yet
	announcedChange     string          // ID of the change that this instance executes
	announcedAt         time.Duration   // when that change was first known to be in the store
	inheritedChange     string          // ID of the change that was in progress when this instance took over
	tookOverAt          time.Duration   // when this instance took over
	requestedChange     string          // ID of the change in which this instance last requested a promotion
	requestedAt         time.Duration   // when the call of that request ended
	lastTakeOver        takeOverAttempt // the last attempt to take over the group
	primaryMissingSince time.Duration   // when the primary's entry was first found missing; 0: it exists
	relinquishTriedAt   time.Duration   // when this instance last tried to give up the leadership
	plannedCheckedAt    time.Duration   // when a planned change was last considered; 0: never
	postponedSince      time.Duration   // since when a planned change has been postponed; 0: none is
	overloadChangeAt    time.Duration   // when the primary was last replaced because it was overloaded; 0: never
	outcome             *outcome        // of the last change; perhaps not in the store yet
	probeConn           member.Conn     // probe connection to the primary; may be nil
	probeConnMember     string
}

// outcome is the result of a change, as observed at the members.
type outcome struct {
	record   Record
	revision int64 // of the record that announced the change
}

// takeOverAttempt is one attempt to take over a group.
type takeOverAttempt struct {
	leaderRevision, recordRevision int64         // revisions of the keys that the attempt was based on
	retryAt                        time.Duration // no other attempt based on the same revisions may begin before this time
	backoff                        time.Duration // delay after this attempt
}

// Bounds of the backoff between two attempts to take over a group that are based on the
// same revisions. As a rule, the view does not show the first attempt's result yet, or the
// store refuses calls. Each store call is billed.
const (
	minTakeOverBackoff = 200 * time.Millisecond
	maxTakeOverBackoff = 1600 * time.Millisecond
)

// next returns the attempt that follows this one, based on the given revisions, or false
// while it is too soon for it.
func (a takeOverAttempt) next(now time.Duration, leader, record int64) (takeOverAttempt, bool) {
	n := takeOverAttempt{leaderRevision: leader, recordRevision: record, backoff: minTakeOverBackoff}
	if a.backoff > 0 && a.leaderRevision == leader && a.recordRevision == record {
		if now < a.retryAt {
			return a, false
		}
		n.backoff = min(2*a.backoff, maxTakeOverBackoff)
	}
	n.retryAt = now + n.backoff
	return n, true
}

// Config holds the dependencies of a Controller.
type Config struct {
	Self        Instance
	Own         *Server         // handles this instance's calls to itself like those of others
	Peers       *peerconn.Conns // to other instances
	Store       kv.Store
	Promoter    Promoter
	Dialer      member.Dialer
	Environment Environment
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
		self: cfg.Self, server: cfg.Own, store: cfg.Store, promoter: cfg.Promoter, dialer: cfg.Dialer, env: cfg.Environment, drainTimeout: cfg.DrainTime,
		now: cfg.Now, spawn: cfg.Spawn, log: cfg.Log, peers: cfg.Peers, groups: make(map[string]*ledGroup),
	}
}

// Tick checks the groups that this instance serves or leads, and starts the tasks that are
// due. Every otherGroupsInterval it checks all other groups too, if any group may have no
// leader.
func (c *Controller) Tick(ctx context.Context) {
	view, lease := c.env.View(), c.env.Lease()
	served := c.env.ServedGroups()
	for _, group := range served {
		c.checkGroup(ctx, view, lease, group)
	}
	for _, group := range view.GroupsLedBy(c.self.Name, c.self.Incarnation) {
		if _, checked := slices.BinarySearch(served, group); !checked {
			c.checkGroup(ctx, view, lease, group)
		}
	}
	if now := c.now(); now-c.othersCheckedAt >= otherGroupsInterval {
		c.othersCheckedAt = now
		c.checkOtherGroups(ctx, view, lease, served)
	}
}

// checkOtherGroups checks the groups that this instance does not serve, unless all groups
// have leaders.
func (c *Controller) checkOtherGroups(ctx context.Context, view *View, lease kv.LeaseID, served []string) {
	groups := c.env.Topology().Groups
	if view.AllLed(len(groups)) {
		return
	}
	for group := range groups {
		if _, checked := slices.BinarySearch(served, group); !checked {
			c.checkGroup(ctx, view, lease, group)
		}
	}
}

// checkGroup starts the task that is due for a group, if there is one and no other task
// runs for the group.
func (c *Controller) checkGroup(ctx context.Context, view *View, lease kv.LeaseID, group string) {
	task := c.dueTask(view, lease, group)
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

// dueTask returns the task that is due for a group now, nil for none.
func (c *Controller) dueTask(view *View, lease kv.LeaseID, group string) task {
	leader, _ := view.Leader(group)
	switch {
	case leader.Instance == c.self.Name && leader.Incarnation == c.self.Incarnation:
		return c.watchPrimary
	case lease == 0 || leader.Instance != "" && !view.LeaderEnded(group):
		return nil
	case leader.Instance != "":
		if c.env.Rank(group, 1) > 0 {
			return nil // the key expires with its lease; until then only the first-ranked candidate may take over
		}
		return c.takeOver
	}
	elapsed, leaderless := view.Leaderless(c.now(), group)
	maxRank := 0 // highest rank that may take over now; only the first-ranked creates a missing record
	if leaderless {
		maxRank = int(elapsed / takeOverRankDelay)
	}
	if c.env.Rank(group, maxRank+1) > maxRank {
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
	view := c.env.View()
	record, revision := view.Record(group)
	_, leaderRevision := view.Leader(group)
	began := c.now()
	tried, due := g.lastTakeOver.next(began, leaderRevision, revision)
	lease := c.env.Lease()
	if lease == 0 || !due || !c.throttle.tryBegin(began) { // a leader key without a lease would outlive this instance
		return
	}
	g.lastTakeOver = tried
	record.Group = group
	record.Generation++
	record.Leader = c.self.Name
	if revision == 0 {
		record = c.findPrimary(ctx, record) // saves a second write; the condition ensures that no record exists yet
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := c.store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: prefixLeader + group, Revision: leaderRevision}, {Key: prefixGroup + group, Revision: revision}},
		Puts: []kv.Put{
			{Key: prefixLeader + group, Value: encode(Leader{c.self.Name, c.self.Incarnation}), Lease: lease},
			{Key: prefixGroup + group, Value: encode(record)},
		},
	})
	c.throttle.end(began, c.now(), err)
	log := c.log.WithFields(logrus.Fields{"group": group, "generation": record.Generation, "revision": revision})
	if err != nil {
		// The watch will show whether the write took effect, and only that counts.
		log.WithError(err).Info("lead: taking over the group did not succeed, or its answer was lost")
		return
	}
	g.lastTakeOver.retryAt = began + maxTakeOverBackoff // by then the view shows this write, unless the leadership was lost again
	log.Info("lead: this instance took over the group")
}

// resetForNewLeadership resets the state of the group if this is another leadership than at
// the last call.
func (c *Controller) resetForNewLeadership(g *ledGroup, group string, leaderRevision int64, record Record) {
	if g.leaderRevision == leaderRevision {
		return
	}
	stored, _ := c.env.View().Record(group)
	g.leaderRevision, g.generation, g.tookOverAt, g.leadershipProvenAt = leaderRevision, stored.Generation, c.now(), 0
	g.refusedInRow, g.unresponsive, g.unansweredSince, g.inheritedChange, g.outcome = 0, false, 0, "", nil
	if record.Change != nil {
		g.inheritedChange = record.Change.ID
	}
	c.env.Event("leader", group, record.Primary, record.Term, "this instance leads the group")
}

// watchPrimary does the next step for a group that this instance leads: it finishes a
// change in progress, finds an unknown primary, or checks the primary.
func (c *Controller) watchPrimary(ctx context.Context, group string, g *ledGroup) {
	record, revision := c.env.PrimaryGuard(group).Record()
	if revision == 0 {
		return
	}
	leader, leaderRevision := c.env.View().Leader(group)
	if leader.Instance != c.self.Name || leader.Incarnation != c.self.Incarnation {
		return // another process has taken over since the task became due
	}
	c.resetForNewLeadership(g, group, leaderRevision, record)
	if record.Generation != g.generation {
		return // the record shows another leader, which this instance's view of the store does not show yet
	}
	if g.outcome != nil && g.outcome.revision == revision {
		c.writeOutcome(ctx, group, g)
		return
	}
	if record.Change != nil {
		c.replacePrimary(ctx, group, g, *record.Change)
		return
	}
	if record.Primary == "" {
		c.discoverPrimary(ctx, group, g)
		return
	}
	primary, known := c.env.Topology().Member(record.Primary)
	if known {
		g.primaryMissingSince = 0
	}
	switch {
	case !known:
		c.handleMissingEntry(ctx, group, g)
		return
	case primary.Draining:
		c.startChange(ctx, group, g, "the primary drains", true)
	default:
		c.checkHealth(ctx, group, g, primary)
	}
}

// handleMissingEntry starts to replace a primary whose entry has been missing for too long.
func (c *Controller) handleMissingEntry(ctx context.Context, group string, g *ledGroup) {
	if g.primaryMissingSince == 0 {
		g.primaryMissingSince = c.now()
	}
	if c.now()-g.primaryMissingSince >= missingEntryGrace {
		c.startChange(ctx, group, g, "the primary's entry is gone", false)
	}
}
