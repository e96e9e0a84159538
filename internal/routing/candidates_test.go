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
		"near ones first": {
			[]Candidate{{ID: "a", Distance: locality.SameRegion, Usable: true, Position: at(5)}, {ID: "b", Usable: true, Position: at(5)}}, []string{"b", "a"}},
		"after the primary when the position should not have come yet": {
			[]Candidate{{ID: "a", Usable: true, Position: at(4), Behind: age + 1}, {ID: "p", Primary: true, Usable: true, Load: 3}}, []string{"p", "a"}},
		"before it when it should": {
			[]Candidate{{ID: "a", Usable: true, Position: at(4), Behind: age}, {ID: "p", Primary: true, Usable: true}}, []string{"a", "p"}},
		"before it when it has not been asked for long": {
			[]Candidate{{ID: "a", Usable: true, Position: at(4), Behind: time.Hour, Seen: trialAfter}, {ID: "p", Primary: true, Usable: true}}, []string{"a", "p"}},
		"after it when it was asked a moment ago": {
			[]Candidate{{ID: "a", Usable: true, Position: at(4), Behind: time.Hour, Seen: trialAfter - 1}, {ID: "p", Primary: true, Usable: true}}, []string{"p", "a"}},
		"before it when nothing is known": {
			[]Candidate{{ID: "a", Usable: true, Position: at(4), Behind: -1}, {ID: "p", Primary: true, Usable: true}}, []string{"a", "p"}},
		"not after a refusal": {
			[]Candidate{{ID: "a", Usable: true, Refused: true, Position: at(4)}, {ID: "b", Usable: true, Refused: true, Position: at(5)}}, []string{"b"}},
		"one that fails more than others in its turn only": {
			[]Candidate{{ID: "a", Usable: true, Deferred: true, Position: at(5)}, {ID: "p", Primary: true, Usable: true, Load: 9}, {ID: "u", Position: at(5)}},
			[]string{"p", "a", "u"}},
		"unusable last, draining never, but for a primary": {
			[]Candidate{{ID: "d", Draining: true, Usable: true}, {ID: "u", Position: at(9)}, {ID: "p", Primary: true, Draining: true, Usable: true},
				{ID: "a", Usable: true, Position: at(5), Load: 9}}, []string{"p", "a", "u"}},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, c.want, ids(Order(c.candidates, at(5), age))) })
	}
}

// A read stays in its region until the members there have so much to do that the way to
// another region takes less time, or one of them fails.
func TestOrderAmongRegions(t *testing.T) {
	const age = 100 * time.Millisecond
	here := func(load int) Candidate {
		return Candidate{ID: "here", Usable: true, Position: at(5), Load: load, Slots: 3}
	}
	there := Candidate{ID: "there", Distance: locality.OtherRegion, Usable: true, Position: at(5), Slots: 3, Work: regionTrip}
	primary := func(load int) Candidate {
		return Candidate{ID: "primary", Primary: true, Distance: locality.SameRegion, Usable: true, Load: load, Slots: 3}
	}
	for name, c := range map[string]struct {
		candidates []Candidate
		want       string
	}{
		"idle":                                    {[]Candidate{there, here(0)}, "here"},
		"as much as runs at once":                 {[]Candidate{there, here(3)}, "here"},
		"as long a wait as the way":               {[]Candidate{there, here(6)}, "here"},
		"a longer wait than the way":              {[]Candidate{there, here(7)}, "there"},
		"the primary of this region":              {[]Candidate{there, primary(4)}, "primary"},
		"a primary with more than it can run":     {[]Candidate{there, primary(9)}, "there"},
		"a replica of this region, and a primary": {[]Candidate{primary(0), there, here(0)}, "here"},
		"the one here does not answer":            {[]Candidate{{ID: "here", Position: at(5)}, there}, "there"},
		"the one here is behind":                  {[]Candidate{{ID: "here", Usable: true, Position: at(4), Behind: 2 * age}, there}, "there"},
		"the one here is about to hold it":        {[]Candidate{{ID: "here", Usable: true, Position: at(4), Behind: age}, there}, "here"},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, c.want, Order(c.candidates, at(5), age)[0].ID) })
	}
}

// The load: the replica of this region has no connection free at once. A read that has just
// come does not cross for that; once that replica has too much to do, is behind, does not
// answer or fails, the read crosses at once. So it does where this region has the primary
// only, whose slots are for writes first.
func TestAtOnceStaysInTheRegion(t *testing.T) {
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
		"serves":         {Candidate{ID: "here", Usable: true, Position: at(5), Load: 3}, []string{"here"}},
		"is the primary": {Candidate{ID: "here", Usable: true, Primary: true}, []string{"here", "there"}},
		"too much to do": {Candidate{ID: "here", Usable: true, Position: at(5), Load: 20}, []string{"there", "here"}},
		"behind":         {Candidate{ID: "here", Usable: true, Position: at(4), Behind: 2 * age}, []string{"there", "here"}},
		"silent":         {Candidate{ID: "here", Position: at(5)}, []string{"there", "here"}},
		"fails more":     {Candidate{ID: "here", Usable: true, Position: at(5), Deferred: true}, []string{"there", "here"}},
	} {
		t.Run(name, func(t *testing.T) {
			order := Order([]Candidate{there, c.here}, at(5), age)
			must.Eq(t, c.want, ids(AtOnce(order, at(5), age)))
			must.Len(t, 2, order, must.Sprint("the others are left for those that wait"))
		})
	}
	must.Len(t, 1, AtOnce([]Candidate{there}, at(5), age))
	must.SliceEmpty(t, AtOnce(nil, at(5), age))
}

// The shorter the work is against the way, the more of it waits here rather than cross.
func TestCrossingCostsWhatTheWayTakes(t *testing.T) {
	short := crossing(Candidate{Slots: 3, Work: regionTrip / 5})
	long := crossing(Candidate{Slots: 3, Work: 5 * regionTrip})
	must.Greater(t, long, short)
	must.Greater(t, 3*perRequest, long, must.Sprint("at least what runs at once"))
	must.Greater(t, 0, crossing(Candidate{}), must.Sprint("nothing is known"))
}

// The failure: a replica falls far behind for a while, and nobody who would ask it for
// anything else is left. Once it has caught up reads come back to it, and while it has not
// it is tried seldom.
func TestReplicaThatCaughtUpServesAgain(t *testing.T) {
	const (
		age      = 100 * time.Millisecond
		lagging  = 6 * time.Second
		interval = 10 * time.Millisecond // between two reads
	)
	replica := Candidate{ID: "r", Usable: true}
	primary := Candidate{ID: "p", Primary: true, Usable: true}
	told, tried, served := time.Duration(0), 0, 0
	replica.Behind = lagging
	for now := time.Duration(0); now < 2*lagging; now += interval {
		replica.Seen = now - told
		if Order([]Candidate{replica, primary}, at(5), age)[0].ID != "r" {
			continue
		}
		told = now
		if now < lagging {
			tried++
			continue
		}
		served++
		replica.Position, replica.Behind = at(5), 0
	}
	must.LessEq(t, int(lagging/trialAfter), tried)
	must.Greater(t, int(lagging/interval)/2, served)
}
