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
	first, around := newController(t, "a", store.Client())
	first.takeOver(t.Context(), "g", &ledGroup{})
	around.refresh(t, store.Client())
	led := &ledGroup{}
	_, led.leaderRevision = around.view.Leader("g")

	must.False(t, first.shouldRelinquish("g", led), must.Sprint("it serves the group"))
	around.servesNone = true
	must.False(t, first.shouldRelinquish("g", led), must.Sprint("it has just taken over the group"))
	led.tookOverAt, led.relinquishTriedAt = -relinquishDelay, -relinquishDelay
	must.True(t, first.shouldRelinquish("g", led))
	first.relinquish(t.Context(), "g", led)
	must.False(t, first.shouldRelinquish("g", &ledGroup{tookOverAt: led.tookOverAt, relinquishTriedAt: first.now()}), must.Sprint("it has just tried to give up the leadership"))
	around.refresh(t, store.Client())
	leader, _ := around.view.Leader("g")
	must.Eq(t, "", leader.Instance)
	_, revision := around.view.Record("g")
	must.Positive(t, revision, must.Sprint("the record stays, with its generation"))
}

// A replaced leader must not delete its successor's leader key.
func TestReplacedLeaderKeepsSuccessorsKey(t *testing.T) {
	store := memstore.New()
	first, around := newController(t, "a", store.Client())
	second, aroundSecond := newController(t, "b", store.Client())
	first.takeOver(t.Context(), "g", &ledGroup{})
	around.refresh(t, store.Client())
	led := &ledGroup{}
	_, led.leaderRevision = around.view.Leader("g")
	store.EndLease(around.lease)
	aroundSecond.refresh(t, store.Client())
	second.takeOver(t.Context(), "g", &ledGroup{})
	first.relinquish(t.Context(), "g", led)
	aroundSecond.refresh(t, store.Client())
	leader, _ := aroundSecond.view.Leader("g")
	must.Eq(t, "b", leader.Instance)
}
