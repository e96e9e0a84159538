package placement

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/stackspindle/stackspindle/internal/ownership"
)

// follow updates a table and what it has told so far, and returns how many groups it placed.
func follow(t *Table, told map[string]Carriers, groups []Group, f Fleet) int {
	count := 0
	t.Update(groups, f, func(name string, c Carriers) {
		told[name] = c
		count++
	}, func(name string) { delete(told, name) })
	return count
}

// The load: instances come and go, many at once, and groups change, in any order. The table
// tells the same as if all groups were placed anew each time.
func TestTableIsWhatPlaceReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, told := NewTable(), make(map[string]Carriers)
		alive := make(map[string]ownership.Instance)
		groups := make(map[string]Group)
		unlike := rapid.IntRange(0, 3).Draw(t, "unlike") == 0
		weight := func() float64 {
			if !unlike {
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
					alive[name] = ownership.Instance{Name: name, DataCentre: dataCentre.Draw(t, "data centre"), Weight: weight()}
				}
			}
			for range rapid.IntRange(0, 3).Draw(t, "groups") {
				name := fmt.Sprint("g", rapid.IntRange(0, 5).Draw(t, "group"))
				if rapid.IntRange(0, 5).Draw(t, "dropped") == 0 {
					delete(groups, name)
				} else {
					groups[name] = Group{
						Name: name, MaxConnections: rapid.IntRange(3, 60).Draw(t, "connections"),
						Homes: rapid.SliceOfN(dataCentre, 0, 4).Draw(t, "homes"),
					}
				}
			}
			living, registered := slices.Collect(maps.Values(alive)), len(alive)+rapid.IntRange(0, 5).Draw(t, "dead")
			all := slices.Collect(maps.Values(groups))
			f := Fleet{Alive: living, Registered: registered, Places: twoRegions}
			follow(table, told, all, f)
			must.Eq(t, len(groups), len(told))
			wanted := Place(all, f)
			for name := range groups {
				want, got := wanted[name], told[name]
				must.Eq(t, want.Names, got.Names)
				must.Eq(t, want.atHome, got.atHome)
				must.Eq(t, []any{want.Everybody, want.usable, want.count}, []any{got.Everybody, got.usable, got.count})
			}
		}
	})
}

// The load: instances register one after another before groups of as many members. Each
// joins few groups, so that the placements of a start grow little faster than the groups, where
// placing all of them each time is ten times as much for each group.
func TestTableWorkAtAStart(t *testing.T) {
	work := make(map[int]float64) // placements of each group, by number of instances
	for _, instances := range []int{30, 100, 300} {
		var groups []Group
		for g := range 10 * instances / 3 {
			groups = append(groups, Group{Name: fmt.Sprint("g", g), MaxConnections: 23, Homes: []string{"a", "b", "c"}})
		}
		table, told, placed := NewTable(), make(map[string]Carriers), 0
		all := fleet(instances/3, "a", "b", "c")
		slices.SortFunc(all, func(a, b ownership.Instance) int { return strings.Compare(a.Name[1:], b.Name[1:]) })
		for n := range all {
			placed += follow(table, told, groups, Fleet{Alive: all[:n+1], Registered: n + 1})
		}
		work[instances] = float64(placed) / float64(len(groups))
		must.Zero(t, follow(table, told, groups, Fleet{Alive: all, Registered: instances}))
	}
	must.LessEq(t, 2*work[30], work[300])
}

// The failure: an instance goes. Only the groups that it carried are placed anew.
func TestTableWorkOfALoss(t *testing.T) {
	var groups []Group
	for g := range 300 {
		groups = append(groups, Group{Name: fmt.Sprint("g", g), MaxConnections: 23, Homes: []string{"a", "b", "c"}})
	}
	table, told := NewTable(), make(map[string]Carriers)
	all := fleet(30, "a", "b", "c")
	follow(table, told, groups, Fleet{Alive: all, Registered: len(all)})
	own := 0
	for _, c := range told {
		if c.Includes(all[7].Name) {
			own++
		}
	}
	must.Eq(t, own, follow(table, told, groups, Fleet{Alive: slices.Delete(slices.Clone(all), 7, 8), Registered: len(all)}))
}
