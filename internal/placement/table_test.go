package placement

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/stackspindle/stackspindle/internal/rendezvous"
)

// applyFleet updates a table to some groups and instances, and the map of the carriers that it has
// reported. It returns how many groups it reported.
func applyFleet(t *Table, reported map[string]Carriers, groups []Group, f Fleet) int {
	present, count := make(map[string]bool, len(groups)), 0
	for _, g := range groups {
		present[g.Name] = true
		t.Set(g)
	}
	for name := range reported {
		if !present[name] {
			t.Remove(name)
			delete(reported, name)
		}
	}
	t.SetInstances(f.Alive)
	t.Update(f.Registered, f.Regions, func(name string, c Carriers) {
		reported[name] = c
		count++
	})
	return count
}

// Instances join and leave, many at once, and groups change, in any order. The table reports the
// same carriers as a full placement of all groups.
func TestTableMatchesPlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, reported := NewTable(), make(map[string]Carriers)
		alive := make(map[string]rendezvous.Instance)
		groups := make(map[string]Group)
		unequal := rapid.IntRange(0, 3).Draw(t, "unequal") == 0
		weight := func() float64 {
			if !unequal {
				return 1
			}
			return float64(rapid.IntRange(1, 3).Draw(t, "weight"))
		}
		dataCentre := rapid.SampledFrom([]string{"a", "b", "c"})
		for range rapid.IntRange(1, 12).Draw(t, "updates") {
			for range rapid.IntRange(0, 20).Draw(t, "instances") {
				name := fmt.Sprint("i", rapid.IntRange(0, 40).Draw(t, "instance"))
				if rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
					delete(alive, name)
				} else {
					alive[name] = rendezvous.Instance{Name: name, DataCentre: dataCentre.Draw(t, "data centre"), Weight: weight()}
				}
			}
			for range rapid.IntRange(0, 3).Draw(t, "groups") {
				name := fmt.Sprint("g", rapid.IntRange(0, 5).Draw(t, "group"))
				if rapid.IntRange(0, 5).Draw(t, "dropped") == 0 {
					delete(groups, name)
				} else {
					groups[name] = Group{
						Name: name, MaxConnections: rapid.IntRange(3, 60).Draw(t, "connections"),
						MemberDataCentres: rapid.SliceOfN(dataCentre, 0, 4).Draw(t, "member data centres"),
					}
				}
			}
			instances, registered := slices.Collect(maps.Values(alive)), len(alive)+rapid.IntRange(0, 5).Draw(t, "dead")
			all := slices.Collect(maps.Values(groups))
			f := Fleet{Alive: instances, Registered: registered, Regions: twoRegions}
			applyFleet(table, reported, all, f)
			must.Eq(t, len(groups), len(reported))
			wanted := Place(all, f)
			for name := range groups {
				want, got := wanted[name], reported[name]
				must.Eq(t, want.Names, got.Names)
				must.Eq(t, want.localCount, got.localCount)
				must.Eq(t, []any{want.AllInstances, want.usableConnections, want.count}, []any{got.AllInstances, got.usableConnections, got.count})
			}
		}
	})
}

// Instances register one after another while groups of as many members exist. Each instance joins
// few groups, so the number of placements per group hardly grows with the fleet. A full placement
// of all groups each time would cost ten times as much per group.
func TestTablePlacementsDuringStart(t *testing.T) {
	work := make(map[int]float64) // placements per group, by number of instances
	for _, instances := range []int{30, 100, 300} {
		var groups []Group
		for g := range 10 * instances / 3 {
			groups = append(groups, Group{Name: fmt.Sprint("g", g), MaxConnections: 23, MemberDataCentres: []string{"a", "b", "c"}})
		}
		table, reported, placed := NewTable(), make(map[string]Carriers), 0
		all := fleet(instances/3, "a", "b", "c")
		slices.SortFunc(all, func(a, b rendezvous.Instance) int { return strings.Compare(a.Name[1:], b.Name[1:]) })
		for n := range all {
			placed += applyFleet(table, reported, groups, Fleet{Alive: all[:n+1], Registered: n + 1})
		}
		work[instances] = float64(placed) / float64(len(groups))
		must.Zero(t, applyFleet(table, reported, groups, Fleet{Alive: all, Registered: instances}))
	}
	must.LessEq(t, 2*work[30], work[300])
}

// An instance is lost. Only the groups that it served are placed again.
func TestTablePlacementsAfterLoss(t *testing.T) {
	groups := groupsOf(300)
	table, reported := NewTable(), make(map[string]Carriers)
	all := fleet(30, "a", "b", "c")
	applyFleet(table, reported, groups, Fleet{Alive: all, Registered: len(all)})
	own := 0
	for _, c := range reported {
		if c.Includes(all[7].Name) {
			own++
		}
	}
	must.Eq(t, own, applyFleet(table, reported, groups, Fleet{Alive: slices.Delete(slices.Clone(all), 7, 8), Registered: len(all)}))
}

// Instances of different capacity register one after another, with as many groups, and leave
// again. Group limits make the carriers of all groups depend on each other. The cost of one change
// grows with the number of groups, not with groups times instances.
func TestTableScoresWithUnequalInstances(t *testing.T) {
	scored := make(map[int]float64) // scores computed per group when one instance joins and leaves
	for _, size := range []int{100, 300, 1000} {
		table, reported, groups := NewTable(), make(map[string]Carriers), groupsOf(size)
		all := mixedFleet(1, size/5-1, "a", "b", "c", "d", "e")
		applyFleet(table, reported, groups, Fleet{Alive: all[1:], Registered: size - 1})
		before := table.scoresComputed
		applyFleet(table, reported, groups, Fleet{Alive: all, Registered: size})
		applyFleet(table, reported, groups, Fleet{Alive: all[1:], Registered: size - 1})
		scored[size] = float64(table.scoresComputed-before) / float64(len(groups))
	}
	must.LessEq(t, 2, scored[100], must.Sprint("one score when it joins, one when it leaves"))
	must.LessEq(t, 2, scored[1000])
}

// The instances are registered and the members of as many groups register one after another, as at
// the start of a fleet; then all instances in a member's data centre are lost. No group gets more
// carriers than its members require, and the instances are scored once per carrier slot.
func TestTableScoresWhileMembersRegister(t *testing.T) {
	const size, members = 300, 3
	table, reported, groups := NewTable(), make(map[string]Carriers), groupsOf(size)
	all := mixedFleet(3, size/5-3, "a", "b", "c", "d", "e")
	for known := range members + 1 {
		partly := slices.Clone(groups)
		for n := range partly {
			partly[n].MaxConnections, partly[n].MemberDataCentres = 428, partly[n].MemberDataCentres[:known]
		}
		applyFleet(table, reported, partly, Fleet{Alive: all, Registered: size})
		for _, c := range reported {
			must.LessEq(t, CarriersPerMember*max(1, known), len(c.Names))
		}
	}
	lost := slices.DeleteFunc(slices.Clone(all), func(i rendezvous.Instance) bool { return i.DataCentre == "a" })
	applyFleet(table, reported, groups, Fleet{Alive: lost, Registered: size})
	must.LessEq(t, 3*size, table.scoresComputed/len(groups), must.Sprint("all instances, those near members, and all that are left"))
}

// Hundreds of instances and more groups than an instance may have its own connections to, even if
// members accept many connections. No instance serves all groups.
func TestNoInstanceServesAThousandGroups(t *testing.T) {
	groups := groupsOf(1000)
	for n := range groups {
		groups[n].MaxConnections = 428
	}
	for _, registered := range []int{20, 200, 1000} {
		alive := mixedFleet(1, registered/5-1, "a", "b", "c", "d", "e")
		maxServed := 0
		for _, n := range loads(Place(groups, Fleet{Alive: alive, Registered: registered})) {
			maxServed = max(maxServed, n)
		}
		must.Between(t, 1, maxServed, len(groups)-1)
	}
	must.True(t, Place(groups[:maxGroupsOnAllInstances], Fleet{Alive: mixedFleet(1, 4, "a"), Registered: 5})[groups[0].Name].AllInstances)
}

// groupsOf returns groups with members in three data centres.
func groupsOf(n int) []Group {
	groups := make([]Group, n)
	for i := range groups {
		groups[i] = Group{Name: fmt.Sprintf("g%04d", i), MaxConnections: 58, MemberDataCentres: []string{"a", "b", "c"}}
	}
	return groups
}

// BenchmarkRegistration measures the cost to an instance when another one joins or leaves.
func BenchmarkRegistration(b *testing.B) {
	for _, size := range []int{100, 300, 1000, 2000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			table, reported, groups := NewTable(), make(map[string]Carriers), groupsOf(size)
			all := mixedFleet(size/100, size/5-size/100, "a", "b", "c", "d", "e")
			applyFleet(table, reported, groups, Fleet{Alive: all, Registered: size})
			for n := 0; b.Loop(); n++ {
				alive := all
				if n%2 == 0 {
					alive = all[1:]
				}
				table.SetInstances(alive)
				table.Update(len(alive), twoRegions, func(string, Carriers) {})
			}
		})
	}
}
