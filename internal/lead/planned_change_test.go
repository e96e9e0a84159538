package lead

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/account"
	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/standin/membergroup"
	"github.com/stackspindle/stackspindle/internal/standin/memstore"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// A draining primary still serves, but once a change is announced its group has no primary.
// Whatever the change would have to wait for must therefore be awaited before the
// announcement.
func TestPostponePlannedChange(t *testing.T) {
	const maxPostponement = 4 * time.Second
	for name, c := range map[string]struct {
		s         surveyResult
		waited    time.Duration
		postponed bool
	}{
		"all instances answer":                                  {surveyResult{answered: 9, releasesNeeded: 6}, 0, false},
		"fewer than needed answer":                              {surveyResult{answered: 5, releasesNeeded: 6, unresponsive: 4}, time.Hour, true},
		"one has no lease and its grant has not lapsed":         {surveyResult{answered: 8, releasesNeeded: 6, lapsing: 1}, maxPostponement - 1, true},
		"one has no lease and the maximum postponement is over": {surveyResult{answered: 8, releasesNeeded: 6, lapsing: 1}, maxPostponement, false},
		"one is unresponsive and its lease is valid":            {surveyResult{answered: 8, releasesNeeded: 6, unresponsive: 1}, unresponsivePostponement - 1, true},
		"one is unresponsive for long enough to have restarted": {surveyResult{answered: 8, releasesNeeded: 6, unresponsive: 1}, unresponsivePostponement, false},
		"one is unresponsive for long enough, one has no lease": {surveyResult{answered: 7, releasesNeeded: 6, unresponsive: 1, lapsing: 1}, unresponsivePostponement, true},
	} {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, c.postponed, postponeReason(c.s, c.waited, maxPostponement) != "")
		})
	}
	must.Eq(t, "", postponeReason(surveyResult{answered: 8, releasesNeeded: 6, unresponsive: 1, lapsing: 1}, 0, -time.Second),
		must.Sprint("no postponement if work on the primary must end at once"))
}

// registerUnreachable registers an instance that cannot be reached and whose lease has ended.
func registerUnreachable(t *testing.T, store *memstore.Store, env *fakeEnvironment, instance Instance) {
	lease, err := store.Client().Grant(t.Context(), time.Second)
	must.NoError(t, err)
	_, err = store.Client().Commit(t.Context(), env.view.RegistrationTxn(instance, lease.ID))
	must.NoError(t, err)
	store.EndLease(lease.ID)
	env.refresh(t, store.Client())
}

// All instances were killed and one of them has not restarted when a primary is to be
// replaced as planned. The primary must serve until the missing instance's grant has lapsed
// and must be replaced then, although the leader has known the other members for less time
// than an instance may use an unconfirmed grant.
func TestPlannedChangeWaitsForLapsingGrant(t *testing.T) {
	store := memstore.New()
	leader, env := newController(t, "a", store.Client())
	clock := time.Minute
	leader.now = func() time.Duration { return clock }
	leader.server.now = leader.now
	g := newLeader(t, leader, env, store)
	registerUnreachable(t, store, env, Instance{Name: "b", Incarnation: "1", Address: "127.0.0.1:1", SeenRevision: 7})
	env.view.missingSince["b"] = clock
	env.membersSince(clock, 7)

	leader.startChange(t.Context(), "g", g, "the primary drains", true)
	record, _ := env.guard.Record()
	must.Nil(t, record.Change, must.Sprint("the grant of the instance without a lease has not lapsed"))
	must.Eq(t, "m1", record.Primary)

	clock += grantLapseTime
	leader.startChange(t.Context(), "g", g, "the primary drains", true)
	record, _ = env.guard.Record()
	must.Nil(t, record.Change)
	must.Eq(t, "m2", record.Primary)
}

// Guards against a group that loses a serving primary without a successor: the primary must
// be told to step down only if another member can be promoted.
func TestNoStepDownWithoutSuccessor(t *testing.T) {
	for name, c := range map[string]struct {
		seen int64
		want bool
	}{
		"the unreachable instance verifies with the primary":  {6, true},
		"its version does not ask the primary":                {0, false},
		"its version does not, but it knows the other member": {-1, true},
	} {
		t.Run(name, func(t *testing.T) {
			store := memstore.New()
			leader, env := newController(t, "a", store.Client())
			clock := time.Minute
			leader.now = func() time.Duration { return clock }
			newLeader(t, leader, env, store)
			since := clock
			if c.seen < 0 {
				since -= unconfirmedUseLapseTime + 1
			}
			env.membersSince(since, 7)
			grants := grantsOutcome{ended: true, unreachable: true, seenRevision: max(0, c.seen)}
			must.Eq(t, c.want, leader.hasSuccessor("g", "m1", grants))
			must.Eq(t, "m1", leader.dialer.(*membergroup.Group).Primary())
		})
	}
}

// The member with the longest log may be promoted only if each unreachable instance knows
// it and so asks it during verification. A member whose entry has been unchanged since all
// of them read it is known to them, no matter how short a time the leader has known it.
func TestSelectByRevisionSeenByUnreachableInstances(t *testing.T) {
	member := func(id string, revision int64, index uint64) memberStatus {
		f := replica(id, index)
		f.member = topology.Member{ID: id, Since: 9, Revision: revision}
		return f
	}
	s := Selection{OldPrimary: "old", Term: 1, Replicas: 2, Unreached: true, KnownBefore: 8, SeenRevision: 20, FinalPosition: group.Position{}}
	got, decided := Select([]memberStatus{member("a", 20, 3), member("b", 21, 5)}, s)
	must.True(t, decided)
	must.Eq(t, "a", got.member.ID)
	_, decided = Select([]memberStatus{member("b", 21, 5), member("c", 0, 6)}, s)
	must.False(t, decided, must.Sprint("one entry was written later, the other at an unknown revision"))
}

// Of several unreachable instances the lowest seen revision decides. An instance that has
// been without a lease for so long that it may use no primary any more does not count.
func TestLowestRevisionSeenByUnreachableInstances(t *testing.T) {
	const announced = time.Minute
	r := &grantRelease{announced: announced}
	_, hasUnreleased := r.unreleased()
	must.False(t, hasUnreleased)
	r.addUnreleased(announced+grantLapseTime, announced-unconfirmedUseLapseTime, 3)
	_, hasUnreleased = r.unreleased()
	must.False(t, hasUnreleased, must.Sprint("it has been without a lease for too long to use any primary"))
	for _, seen := range []int64{9, 5, 7} {
		r.addUnreleased(announced+grantLapseTime, 0, seen)
	}
	seen, hasUnreleased := r.unreleased()
	must.True(t, hasUnreleased)
	must.Eq(t, 5, seen)
	r.addUnreleased(announced+grantLapseTime, 0, 0)
	seen, _ = r.unreleased()
	must.Zero(t, seen, must.Sprint("one of them reports no seen revision"))
}

// The old primary must not be told to step down while there is no possible successor. Here
// an unreachable instance reports no seen revision and may not know the other member.
func TestChangeWithoutSuccessorKeepsPrimary(t *testing.T) {
	store := memstore.New()
	leader, env := newController(t, "a", store.Client())
	clock := time.Minute
	leader.now = func() time.Duration { return clock }
	g := newLeader(t, leader, env, store)
	registerUnreachable(t, store, env, Instance{Name: "b", Incarnation: "1", Address: "127.0.0.1:1"})
	env.view.missingSince["b"] = clock
	env.membersSince(time.Hour, 7)
	record, revision := env.guard.Record()
	change := Change{ID: "x", Planned: true}
	record.Change = &change
	_, err := leader.write(t.Context(), "g", g, record, revision)
	must.NoError(t, err)
	leader.server.now = func() time.Duration { return clock - time.Millisecond }
	var ticks atomic.Int64
	leader.now = func() time.Duration { return clock + time.Duration(ticks.Add(1))*100*time.Millisecond }
	_, err = leader.executeChange(t.Context(), "g", g, change)
	must.ErrorIs(t, err, errNoCandidate)
	must.SliceEmpty(t, leader.promoter.(*membergroup.Group).Promotions())
	primary, _ := env.topology.Member("m1")
	conn, err := leader.dialer.Dial(t.Context(), primary, account.Anonymous)
	must.NoError(t, err)
	defer conn.Close()
	status, err := conn.Status(time.Now().Add(time.Minute))
	must.NoError(t, err)
	must.True(t, status.Primary, must.Sprint("the primary was told to step down"))
}

// An unresponsive instance postpones a planned change for a limited time only. The limit
// starts again if the change has not been considered for a while.
func TestPostponementIsLimited(t *testing.T) {
	store := memstore.New()
	leader, env := newController(t, "a", store.Client())
	clock := time.Minute
	leader.now = func() time.Duration { return clock }
	g := newLeader(t, leader, env, store)
	_, err := store.Client().Commit(t.Context(), env.view.RegistrationTxn(Instance{Name: "b", Incarnation: "1", Address: "127.0.0.1:1"}, env.lease))
	must.NoError(t, err)
	env.refresh(t, store.Client())
	env.view.joinedAt["b"] = 0
	due := func() bool { return leader.mayAnnounce(t.Context(), g, leader.log) }
	must.False(t, due())
	clock += plannedCheckInterval
	must.False(t, due())
	clock += unresponsivePostponement - plannedCheckInterval
	must.True(t, due(), must.Sprint("unresponsive for longer than the limit"))
	must.False(t, due(), must.Sprint("considered again too soon"))
	clock += time.Minute
	must.False(t, due(), must.Sprint("an earlier postponement does not count"))
	clock += time.Minute
	must.False(t, due(), must.Sprint("and does not count later either"))
}
