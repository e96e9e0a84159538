package routing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/locality"
)

func TestOrder(t *testing.T) {
	ids := func(cs []Candidate) (ids []string) {
		for _, c := range cs {
			ids = append(ids, c.ID)
		}
		return ids
	}
	const age = 100 * time.Millisecond
	for name, c := range map[string]struct {
		candidates []Candidate
		want       []string
	}{
		"replicas before an idle primary": {
			[]Candidate{{ID: "p", Primary: true, Usable: true}, {ID: "a", Usable: true, Position: at(5)}}, []string{"a", "p"}},
		"an idle primary before busy replicas": {
			[]Candidate{{ID: "a", Usable: true, Position: at(5), Load: 1}, {ID: "p", Primary: true, Usable: true}}, []string{"p", "a"}},
		"near replicas first": {
			[]Candidate{{ID: "a", Distance: locality.SameRegion, Usable: true, Position: at(5)}, {ID: "b", Usable: true, Position: at(5)}}, []string{"b", "a"}},
		"a lagging replica after the primary": {
			[]Candidate{{ID: "a", Usable: true, Position: at(4), Lag: age + 1}, {ID: "p", Primary: true, Usable: true, Load: 3}}, []string{"p", "a"}},
		"a replica that should have caught up before the primary": {
			[]Candidate{{ID: "a", Usable: true, Position: at(4), Lag: age}, {ID: "p", Primary: true, Usable: true}}, []string{"a", "p"}},
		"a replica with an old lag report before the primary": {
			[]Candidate{{ID: "a", Usable: true, Position: at(4), Lag: time.Hour, LagAge: retryLaggingAfter}, {ID: "p", Primary: true, Usable: true}}, []string{"a", "p"}},
		"a lagging replica with a recent report after the primary": {
			[]Candidate{{ID: "a", Usable: true, Position: at(4), Lag: time.Hour, LagAge: retryLaggingAfter - 1}, {ID: "p", Primary: true, Usable: true}}, []string{"p", "a"}},
		"a replica with unknown lag before the primary": {
			[]Candidate{{ID: "a", Usable: true, Position: at(4), Lag: -1}, {ID: "p", Primary: true, Usable: true}}, []string{"a", "p"}},
		"no replica that rejected a read for its lag": {
			[]Candidate{{ID: "a", Usable: true, LagRejected: true, Position: at(4)}, {ID: "b", Usable: true, LagRejected: true, Position: at(5)}}, []string{"b"}},
		"a deprioritized replica after a busy primary": {
			[]Candidate{{ID: "a", Usable: true, Deprioritized: true, Position: at(5)}, {ID: "p", Primary: true, Usable: true, Load: 9}, {ID: "u", Position: at(5)}},
			[]string{"p", "a", "u"}},
		"unreachable members last, no draining replicas": {
			[]Candidate{{ID: "d", Draining: true, Usable: true}, {ID: "u", Position: at(9)}, {ID: "p", Primary: true, Draining: true, Usable: true},
				{ID: "a", Usable: true, Position: at(5), Load: 9}}, []string{"p", "a", "u"}},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, c.want, ids(Order(c.candidates, at(5), age))) })
	}
}

// A read stays in its region until queueing there takes longer than the round trip to another
// region, or the member in its region fails.
func TestOrderAcrossRegions(t *testing.T) {
	const age = 100 * time.Millisecond
	here := func(load int) Candidate {
		return Candidate{ID: "here", Usable: true, Position: at(5), Load: load, Slots: 3}
	}
	there := Candidate{ID: "there", Distance: locality.OtherRegion, Usable: true, Position: at(5), Slots: 3, TypicalDuration: crossRegionRTT}
	primary := func(load int) Candidate {
		return Candidate{ID: "primary", Primary: true, Distance: locality.SameRegion, Usable: true, Load: load, Slots: 3}
	}
	for name, c := range map[string]struct {
		candidates []Candidate
		want       string
	}{
		"idle":                                    {[]Candidate{there, here(0)}, "here"},
		"all slots in use":                        {[]Candidate{there, here(3)}, "here"},
		"queueing as long as the round trip":      {[]Candidate{there, here(6)}, "here"},
		"queueing longer than the round trip":     {[]Candidate{there, here(7)}, "there"},
		"the primary of this region":              {[]Candidate{there, primary(4)}, "primary"},
		"an overloaded primary of this region":    {[]Candidate{there, primary(9)}, "there"},
		"a replica of this region, and a primary": {[]Candidate{primary(0), there, here(0)}, "here"},
		"the near replica does not answer":        {[]Candidate{{ID: "here", Position: at(5)}, there}, "there"},
		"the near replica lags":                   {[]Candidate{{ID: "here", Usable: true, Position: at(4), Lag: 2 * age}, there}, "there"},
		"the near replica should have caught up":  {[]Candidate{{ID: "here", Usable: true, Position: at(4), Lag: age}, there}, "here"},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, c.want, Order(c.candidates, at(5), age)[0].ID) })
	}
}

// The replica of this region has no free connection. A new read waits for it rather than go to
// another region. If that replica is overloaded, lags, does not answer or fails, the read goes to
// the other region at once. So it does where this region only has the primary, whose slots are
// for writes first.
func TestImmediateCandidatesStayInRegion(t *testing.T) {
	const age = 100 * time.Millisecond
	there := Candidate{ID: "there", Distance: locality.OtherRegion, Usable: true, Position: at(5), Slots: 3}
	ids := func(candidates []Candidate) (ids []string) {
		for _, c := range candidates {
			ids = append(ids, c.ID)
		}
		return ids
	}
	for name, c := range map[string]struct {
		here Candidate
		want []string
	}{
		"busy replica":        {Candidate{ID: "here", Usable: true, Position: at(5), Load: 3}, []string{"here"}},
		"primary":             {Candidate{ID: "here", Usable: true, Primary: true}, []string{"here", "there"}},
		"overloaded replica":  {Candidate{ID: "here", Usable: true, Position: at(5), Load: 20}, []string{"there", "here"}},
		"lagging replica":     {Candidate{ID: "here", Usable: true, Position: at(4), Lag: 2 * age}, []string{"there", "here"}},
		"unreachable replica": {Candidate{ID: "here", Position: at(5)}, []string{"there", "here"}},
		"failing replica":     {Candidate{ID: "here", Usable: true, Position: at(5), Deprioritized: true}, []string{"there", "here"}},
	} {
		t.Run(name, func(t *testing.T) {
			order := Order([]Candidate{there, c.here}, at(5), age)
			must.Eq(t, c.want, ids(ImmediateCandidates(order, at(5), age)))
			must.Len(t, 2, order, must.Sprint("order still has the other members, for reads that wait"))
		})
	}
	must.Len(t, 1, ImmediateCandidates([]Candidate{there}, at(5), age))
	must.SliceEmpty(t, ImmediateCandidates(nil, at(5), age))
}

// The shorter the reads are relative to the round trip, the more of them queue in the region.
func TestCrossRegionCostFollowsRoundTrip(t *testing.T) {
	short := crossRegionCost(Candidate{Slots: 3, TypicalDuration: crossRegionRTT / 5})
	long := crossRegionCost(Candidate{Slots: 3, TypicalDuration: 5 * crossRegionRTT})
	must.Greater(t, long, short)
	must.Greater(t, 3*requestCost, long, must.Sprint("at least the cost of all slots in use"))
	must.Greater(t, 0, crossRegionCost(Candidate{}), must.Sprint("with unknown slots and durations"))
}

// A replica lags far behind for a while, and no other traffic reports on its lag. Reads return
// to it after it has caught up, and try it only seldom before that.
func TestReplicaThatCaughtUpServesAgain(t *testing.T) {
	const (
		age      = 100 * time.Millisecond
		lagging  = 6 * time.Second
		interval = 10 * time.Millisecond // between two reads
	)
	replica := Candidate{ID: "r", Usable: true}
	primary := Candidate{ID: "p", Primary: true, Usable: true}
	lastReport, tried, served := time.Duration(0), 0, 0
	replica.Lag = lagging
	for now := time.Duration(0); now < 2*lagging; now += interval {
		replica.LagAge = now - lastReport
		if Order([]Candidate{replica, primary}, at(5), age)[0].ID != "r" {
			continue
		}
		lastReport = now
		if now < lagging {
			tried++
			continue
		}
		served++
		replica.Position, replica.Lag = at(5), 0
	}
	must.LessEq(t, int(lagging/retryLaggingAfter), tried)
	must.Greater(t, int(lagging/interval)/2, served)
}
