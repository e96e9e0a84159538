package lead

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/standin/memstore"
)

// An overloaded primary that serves its group alone is replaced by a replica, but only by
// one that has received the log.
func TestReplaceOverloadedPrimary(t *testing.T) {
	for name, c := range map[string]struct {
		alone  bool
		behind time.Duration
		before func(*ledGroup)
		want   bool
	}{
		"alone, with a replica at the log's end": {true, 0, func(*ledGroup) {}, true},
		"replicas can serve reads":               {false, 0, func(*ledGroup) {}, false},
		"no replica has received the log":        {true, maxCandidateLag + 1, func(*ledGroup) {}, false},
		"the replica lag is unknown":             {true, -1, func(*ledGroup) {}, false},
		"replaced for this reason a moment ago":  {true, 0, func(g *ledGroup) { g.overloadChangeAt = 1 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			store := memstore.New()
			leader, env := newController(t, "a", store.Client())
			clock := time.Minute
			leader.now = func() time.Duration { return clock }
			g := newLeader(t, leader, env, store)
			env.overloaded, env.replicaLag = c.alone, c.behind
			c.before(g)
			if g.overloadChangeAt > 0 {
				g.overloadChangeAt = clock - overloadChangeInterval + 1
			}
			primary, _ := env.topology.Member("m1")
			leader.replaceOverloaded(t.Context(), "g", g, primary)
			env.refresh(t, store.Client())
			record, _ := env.view.Record("g")
			must.Eq(t, c.want, record.Primary == "m2")
		})
	}
}

// An overloaded primary is not replaced if the change would have to wait for an unreachable
// instance.
func TestOverloadedPrimaryStaysWhileInstanceIsUnreachable(t *testing.T) {
	store := memstore.New()
	leader, env := newController(t, "a", store.Client())
	clock := time.Minute
	leader.now = func() time.Duration { return clock }
	g := newLeader(t, leader, env, store)
	_, err := store.Client().Commit(t.Context(), env.view.RegistrationTxn(Instance{Name: "b", Incarnation: "1", Address: "127.0.0.1:1"}, env.lease))
	must.NoError(t, err)
	env.refresh(t, store.Client())
	env.overloaded = true
	primary, _ := env.topology.Member("m1")
	leader.replaceOverloaded(t.Context(), "g", g, primary)
	env.refresh(t, store.Client())
	record, _ := env.view.Record("g")
	must.Eq(t, "m1", record.Primary)
	must.Nil(t, record.Change)
}

// newLeader makes a controller the leader of group g and has it find the primary.
func newLeader(t *testing.T, c *Controller, env *fakeEnvironment, store *memstore.Store) *ledGroup {
	g := &ledGroup{}
	c.takeOver(t.Context(), "g", g)
	env.refresh(t, store.Client())
	c.watchPrimary(t.Context(), "g", g)
	env.refresh(t, store.Client())
	record, _ := env.view.Record("g")
	must.Eq(t, "m1", record.Primary)
	return g
}

// An old primary that has stepped down still answers the strict reads of an instance that
// does not know of the change. If the leader stopped waiting for that instance's grant
// after the step-down, such a read could miss a commit of the successor.
func TestStepDownDoesNotEndGrants(t *testing.T) {
	store := memstore.New()
	leader, env := newController(t, "a", store.Client())
	newLeader(t, leader, env, store)
	revision, err := store.Client().Commit(t.Context(), env.view.RegistrationTxn(Instance{Name: "b", Incarnation: "1", Address: "127.0.0.1:1"}, env.lease))
	must.NoError(t, err)
	env.refresh(t, store.Client())
	ctx, cancel := context.WithTimeout(t.Context(), plannedDrain+2*releaseTimeout)
	defer cancel()
	record, _ := env.guard.Record()
	grants := leader.endGrants(ctx, "g", revision, Change{ID: "x", Planned: true}, record, leader.now())
	must.False(t, grants.ended)
	must.False(t, grants.primaryStays)
}
