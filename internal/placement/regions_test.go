package placement

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/stackspindle/stackspindle/internal/locality"
	"github.com/stackspindle/stackspindle/internal/rendezvous"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.nofailfile": "true", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// twoRegions has two regions with three data centres each.
var twoRegions = locality.New(map[string]string{"a": "x", "b": "x", "c": "x", "d": "y", "e": "y", "f": "y"})

// drawFleet draws up to six instances in each of six data centres.
func drawFleet(t *rapid.T) []rendezvous.Instance {
	var all []rendezvous.Instance
	for _, dc := range []string{"a", "b", "c", "d", "e", "f"} {
		for n := range rapid.IntRange(0, 6).Draw(t, "instances of "+dc) {
			all = append(all, rendezvous.Instance{Name: fmt.Sprintf("%s-%d", dc, n), DataCentre: dc})
		}
	}
	return all
}

// withoutRegions chooses carriers without regard to regions: the highest-ranked instances near each
// member, then others in rank order for the missing ones.
func withoutRegions(g Group, alive []rendezvous.Instance, most int) []string {
	left := make(map[string]int)
	for _, dataCentre := range g.MemberDataCentres {
		left[dataCentre] += CarriersPerMember
	}
	var names, others []string
	for _, name := range rendezvous.Rank(rendezvous.Group{Name: g.Name}, alive) {
		if dataCentre := name[:1]; left[dataCentre] > 0 && len(names) < most {
			left[dataCentre]--
			names = append(names, name)
			continue
		}
		others = append(others, name)
	}
	return append(names, others[:min(most-len(names), len(others))]...)
}

// Without regions, or with a single one, the carriers and their order are the same as those
// computed without regard to regions.
func TestSingleRegionMatchesNoRegions(t *testing.T) {
	one := locality.New(map[string]string{"a": "x", "b": "x", "c": "x", "d": "x", "e": "x", "f": "x"})
	same := func(i rendezvous.Instance) rendezvous.Instance { return i }
	rapid.Check(t, func(t *rapid.T) {
		alive := drawFleet(t)
		dcs := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"})
		g := Group{Name: rapid.StringN(1, 8, -1).Draw(t, "group"), MaxConnections: 58, MemberDataCentres: rapid.SliceOfN(dcs, 1, 3).Draw(t, "memberDataCentres")}
		preferred, origin := dcs.Draw(t, "preferred"), Origin{rapid.StringN(1, 8, -1).Draw(t, "origin"), dcs.Draw(t, "its data centre")}
		near := func(i rendezvous.Instance) int {
			switch i.DataCentre {
			case preferred:
				return 0
			case origin.DataCentre:
				return 1
			}
			return 2
		}
		wanted := slices.Clone(alive)
		slices.SortStableFunc(wanted, func(a, b rendezvous.Instance) int {
			return cmp.Or(cmp.Compare(near(a), near(b)), cmp.Compare(rendezvous.Score(origin.HashKey, a.Name), rendezvous.Score(origin.HashKey, b.Name)))
		})
		for _, regions := range []locality.Map{{}, one} {
			c := Place([]Group{g}, Fleet{Alive: alive, Registered: 500, Regions: regions})[g.Name]
			must.SliceEqOp(t, withoutRegions(g, alive, CarriersPerMember*len(g.MemberDataCentres)), c.Names)
			must.SliceEqOp(t, wanted, Order(alive, same, origin, preferred, regions))
		}
	})
}

// Ingress instances are in any data centre, members in some. Carriers are tried by distance to
// the preferred data centre, then by distance to the ingress instance. A read thus stays in the
// region of its ingress instance if there is a carrier, and a statement that needs the primary goes
// to the primary's data centre, or else to its region; neither changes regions more than once.
func TestOrderSortsByRegionDistance(t *testing.T) {
	same := func(i rendezvous.Instance) rendezvous.Instance { return i }
	rapid.Check(t, func(t *rapid.T) {
		carriers := drawFleet(t)
		dcs := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"})
		preferred, origin := dcs.Draw(t, "preferred"), Origin{"x", dcs.Draw(t, "origin")}
		order := Order(carriers, same, origin, preferred, twoRegions)
		must.Len(t, len(carriers), order)
		for i := 1; i < len(order); i++ {
			before, after := order[i-1].DataCentre, order[i].DataCentre
			must.LessEq(t, twoRegions.Distance(after, preferred), twoRegions.Distance(before, preferred))
			if twoRegions.Distance(before, preferred) == twoRegions.Distance(after, preferred) {
				must.LessEq(t, twoRegions.Distance(after, origin.DataCentre), twoRegions.Distance(before, origin.DataCentre))
			}
		}
	})
}

// A data centre with a member loses all its instances. Its region keeps its number of carriers as
// long as it has enough instances.
func TestRegionReplacesLostCarriers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		alive := drawFleet(t)
		memberDataCentres := []string{"a", "b", "d"}
		g := Group{Name: rapid.StringN(1, 8, -1).Draw(t, "group"), MaxConnections: 58, MemberDataCentres: memberDataCentres}
		c := Place([]Group{g}, Fleet{Alive: alive, Registered: 500, Regions: twoRegions})[g.Name]
		for region, wanted := range map[string]int{"x": 2 * CarriersPerMember, "y": CarriersPerMember} {
			carriers, instances := 0, 0
			for _, i := range alive {
				if twoRegions.Region(i.DataCentre) == region {
					instances++
					if c.Includes(i.Name) {
						carriers++
					}
				}
			}
			must.GreaterEq(t, min(wanted, instances), carriers)
		}
		must.Len(t, min(len(alive), CarriersPerMember*len(memberDataCentres)), c.Names)
		must.Len(t, len(c.Names), slices.Compact(slices.Sorted(slices.Values(c.Names))))
	})
}
