package relay

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/locality"
	"github.com/stackspindle/stackspindle/internal/routing"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// A client in one region reads from a group with a member in each of two regions. With equal
// queueing delays, the read must wait for the member in its own region.
func TestReadPrefersMemberOfOwnRegion(t *testing.T) {
	f := newFixture(t)
	state := topology.New(0, 0)
	state.SetConfig(f.snap.Config)
	for id, dataCentre := range map[string]string{"m1": "a", "m2": "b"} {
		m, _ := f.snap.Member(id)
		m.DataCentre, m.Slots = dataCentre, 6
		state.SetMember(0, m, false)
	}
	snap := state.Snapshot()
	f.snap = snap
	f.relay.dataCentre, f.relay.localities = "a", locality.New(map[string]string{"a": "x", "b": "y"})
	f.relay.upstreams.SetLocalities(f.relay.localities)
	f.relay.upstreams.Update(snap, placementFor(snap, 1), "a")
	a := &attempt{
		session: newSession(f.relay, StartupRequest{Database: "bounded"}), route: snap.Databases["bounded"],
		group: f.relay.upstreams.group("g"), guard: f.guard, arrived: f.relay.now(), deadline: f.relay.now() + generous, reads: true,
	}
	byID := make(map[string]routing.Candidate)
	for _, c := range a.candidates() {
		byID[c.ID] = c
	}
	must.Eq(t, locality.SameDataCentre, byID["m1"].Distance)
	must.Eq(t, locality.OtherRegion, byID["m2"].Distance)
	for _, order := range [][]routing.Candidate{{byID["m1"], byID["m2"]}, {byID["m2"], byID["m1"]}} {
		best, _ := a.fastest(order, group.Position{}, 0)
		must.Eq(t, "m1", best.ID)
	}
}

// A member fails every second request. It must be a candidate for fewer reads than the other
// member, but still for some.
func TestFailingMemberIsDeprioritized(t *testing.T) {
	f := newFixture(t)
	bad := f.relay.upstreams.get("m2")
	for range 50 {
		bad.recordFailedAttempt(0)
		bad.recordAnswer(0, 0, bad.position)
	}
	a := &attempt{
		session: newSession(f.relay, StartupRequest{Database: "bounded"}), route: f.snap.Databases["bounded"],
		group: f.relay.upstreams.group("g"), guard: f.guard,
	}
	const choices = 200
	deprioritized := make(map[string]int)
	for range choices {
		for _, c := range a.candidates() {
			if c.Deprioritized {
				deprioritized[c.ID]++
			}
		}
	}
	must.Eq(t, 0, deprioritized["m1"])
	must.Between(t, choices/2, deprioritized["m2"], choices-1)
}
