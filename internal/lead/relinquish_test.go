package lead

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/standin/memstore"
)

// The instance that starts first sees no other instance and takes over all groups. It must
// give up a group that it does not serve to an instance that does.
func TestRelinquishGroupNotServed(t *testing.T) {
	store := memstore.New()
	first, env := newController(t, "a", store.Client())
	first.takeOver(t.Context(), "g", &ledGroup{})
	env.refresh(t, store.Client())
	g := &ledGroup{}
	_, g.leaderRevision = env.view.Leader("g")

	must.False(t, first.shouldRelinquish("g", g), must.Sprint("it serves the group"))
	env.servesNone = true
	must.False(t, first.shouldRelinquish("g", g), must.Sprint("it has just taken over the group"))
	g.tookOverAt, g.relinquishTriedAt = -relinquishDelay, -relinquishDelay
	must.True(t, first.shouldRelinquish("g", g))
	first.relinquish(t.Context(), "g", g)
	must.False(t, first.shouldRelinquish("g", &ledGroup{tookOverAt: g.tookOverAt, relinquishTriedAt: first.now()}), must.Sprint("it has just tried to give up the leadership"))
	env.refresh(t, store.Client())
	leader, _ := env.view.Leader("g")
	must.Eq(t, "", leader.Instance)
	_, revision := env.view.Record("g")
	must.Positive(t, revision, must.Sprint("the record stays, with its generation"))
}

// A replaced leader must not delete its successor's leader key.
func TestReplacedLeaderKeepsSuccessorsKey(t *testing.T) {
	store := memstore.New()
	first, env := newController(t, "a", store.Client())
	second, secondEnv := newController(t, "b", store.Client())
	first.takeOver(t.Context(), "g", &ledGroup{})
	env.refresh(t, store.Client())
	g := &ledGroup{}
	_, g.leaderRevision = env.view.Leader("g")
	store.EndLease(env.lease)
	secondEnv.refresh(t, store.Client())
	second.takeOver(t.Context(), "g", &ledGroup{})
	first.relinquish(t.Context(), "g", g)
	secondEnv.refresh(t, store.Client())
	leader, _ := secondEnv.view.Leader("g")
	must.Eq(t, "b", leader.Instance)
}
