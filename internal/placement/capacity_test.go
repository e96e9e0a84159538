package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/stackspindle/stackspindle/internal/rendezvous"
)

// Two capacities that differ as much as any in a fleet. Each data centre has instances of both.
var (
	strong = Capacity{Cores: 0.8, LinkMbps: 200}
	weak   = Capacity{Cores: 0.2, LinkMbps: 10}
)

// mixedFleet returns a fleet with some strong and some weak instances in each data centre.
func mixedFleet(strongOnes, weakOnes int, dataCentres ...string) []rendezvous.Instance {
	all := fleet(strongOnes+weakOnes, dataCentres...)
	for n := range all {
		all[n].Weight = weak.StatementsPerSecond()
		if n%(strongOnes+weakOnes) < strongOnes {
			all[n].Weight = strong.StatementsPerSecond()
		}
	}
	return all
}

// loads returns how many groups each instance serves.
func loads(placed map[string]Carriers) map[string]int {
	load := make(map[string]int)
	for _, c := range placed {
		for _, name := range c.Names {
			load[name]++
		}
	}
	return load
}

func TestCapacityIsLimitedByScarcestResource(t *testing.T) {
	must.Greater(t, weak.StatementsPerSecond(), strong.StatementsPerSecond())
	must.Eq(t, 0, Capacity{Cores: 1}.StatementsPerSecond(), must.Sprint("the link is not announced"))
	must.Eq(t, Capacity{Cores: 1, LinkMbps: 1}.StatementsPerSecond(), Capacity{Cores: 9, LinkMbps: 1}.StatementsPerSecond())
}

// Each data centre has many weak instances and few strong ones. A strong instance serves most
// groups, and no instance exceeds its group limit.
func TestStrongInstancesServeMoreGroups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		alive := mixedFleet(rapid.IntRange(1, 4).Draw(t, "strong"), rapid.IntRange(6, 20).Draw(t, "weak"), "a", "b", "c", "d")
		groups := groupsOf(rapid.IntRange(1, 40).Draw(t, "groups"))
		f := Fleet{Alive: alive, Registered: 500}
		table := NewTable()
		placed := make(map[string]Carriers)
		applyFleet(table, placed, groups, f)
		load, bound := loads(placed), table.groupLimits()
		for _, i := range alive {
			must.LessEq(t, bound[i.Name], load[i.Name], must.Sprint(i.Name))
		}
	})
	load := loads(Place(groupsOf(40), Fleet{Alive: mixedFleet(2, 14, "a", "b", "c"), Registered: 500}))
	must.Greater(t, 3*load["a-5"], load["a-0"]+load["a-1"])
}

// An instance is lost. Its carrier slots move to others, and few other slots move because of the
// group limits.
func TestLossMovesFewOtherSlots(t *testing.T) {
	alive, groups := mixedFleet(2, 14, "a", "b", "c"), groupsOf(40)
	before := Place(groups, Fleet{Alive: alive, Registered: 500})
	own, moved := 0, 0
	for gone := range alive {
		rest := slices.Delete(slices.Clone(alive), gone, gone+1)
		after := Place(groups, Fleet{Alive: rest, Registered: 499})
		for name, c := range before {
			for _, carrier := range c.Names {
				switch {
				case carrier == alive[gone].Name:
					own++
				case !after[name].Includes(carrier):
					moved++
				}
			}
		}
	}
	t.Logf("%d slots moved with their instance, %d because of group limits", own, moved)
	must.Less(t, own/2, moved)
}

// Both strong instances of a data centre are lost at once. The next ones in its ranking replace
// them, and each group keeps its number of carriers.
func TestLossOfAllStrongInstances(t *testing.T) {
	alive := slices.DeleteFunc(mixedFleet(2, 14, "a", "b", "c"), func(i rendezvous.Instance) bool {
		return i.DataCentre == "a" && i.Weight == strong.StatementsPerSecond()
	})
	for _, c := range Place(groupsOf(40), Fleet{Alive: alive, Registered: 500}) {
		must.Len(t, 6, c.Names)
		must.Eq(t, CarriersPerMember, c.localCount["a"])
	}
}

// Instances that all announce the same capacity are placed like instances that announce none.
func TestEqualCapacitiesMatchNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain := drawFleet(t)
		alike := slices.Clone(plain)
		for n := range alike {
			alike[n].Weight = weak.StatementsPerSecond()
		}
		groups := groupsOf(8)
		want, got := Place(groups, Fleet{Alive: plain, Registered: 500}), Place(groups, Fleet{Alive: alike, Registered: 500})
		for name := range want {
			must.SliceEqOp(t, withoutRegions(Group{Name: name, MemberDataCentres: groups[0].MemberDataCentres}, plain, 6), want[name].Names)
			must.SliceEqOp(t, want[name].Names, got[name].Names)
		}
	})
}

// Statements come from any origin. The two carriers of a data centre get equal parts, although
// one has more capacity.
func TestOrderSpreadsEvenlyDespiteCapacity(t *testing.T) {
	carriers := mixedFleet(1, 1, "a")
	same := func(i rendezvous.Instance) rendezvous.Instance { return i }
	first := 0
	const origins = 2000
	for n := range origins {
		if Order(carriers, same, Origin{fmt.Sprint(n), "a"}, "a", twoRegions)[0].Name == "a-0" {
			first++
		}
	}
	must.InDelta(t, 0.5, float64(first)/origins, 0.05)
}

// BenchmarkPlace measures a full placement, the cost of one change of the fleet without a Table.
func BenchmarkPlace(b *testing.B) {
	for _, size := range []int{100, 550, 1000} {
		for kind, alive := range map[string][]rendezvous.Instance{
			"alike":  fleet(size/6, "a", "b", "c", "d", "e", "f"),
			"unlike": mixedFleet(size/60, size/6-size/60, "a", "b", "c", "d", "e", "f"),
		} {
			b.Run(fmt.Sprintf("%d instances/%s", size, kind), func(b *testing.B) {
				groups := groupsOf(610)
				f := Fleet{Alive: alive, Registered: 10 * size, Regions: twoRegions}
				for b.Loop() {
					Place(groups, f)
				}
			})
		}
	}
}
