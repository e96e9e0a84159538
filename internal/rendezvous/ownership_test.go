package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

func fleetOf(n int) []Instance {
	instances := make([]Instance, n)
	for i := range instances {
		instances[i] = Instance{Name: fmt.Sprintf("i%03d", i), DataCentre: fmt.Sprintf("dc%d", i%6)}
	}
	return instances
}

func groupsOf(n int) []Group {
	groups := make([]Group, n)
	for i := range groups {
		groups[i] = Group{Name: fmt.Sprintf("g%03d", i), DataCentre: fmt.Sprintf("dc%d", i%6)}
	}
	return groups
}

// When an instance is lost, its own groups move, and few others move because of the limit.
func TestLossMovesOwnAndFewOtherGroups(t *testing.T) {
	instances, groups := fleetOf(550), groupsOf(610)
	limit := Limit(len(groups), len(instances))
	before := Assign(groups, instances, limit)
	moved, own := 0, 0
	for gone := range 20 {
		rest := slices.Delete(slices.Clone(instances), gone, gone+1)
		after := Assign(groups, rest, limit)
		for name, ranking := range before {
			if ranking[0] == instances[gone].Name {
				own++
				continue
			}
			if after[name][0] != ranking[0] {
				moved++
			}
		}
	}
	must.Positive(t, own)
	must.LessEq(t, own, moved, must.Sprintf("%d groups of other instances moved, %d of the lost instances", moved, own))
}

// Without a limit only the lost instance's groups move.
func TestLossMovesOnlyOwnGroupsWithoutLimit(t *testing.T) {
	instances, groups := fleetOf(9), groupsOf(300)
	before := Assign(groups, instances, 0)
	after := Assign(groups, instances[1:], 0)
	for name, ranking := range before {
		if ranking[0] != instances[0].Name {
			must.Eq(t, ranking[0], after[name][0])
		}
	}
}

func TestAssignRespectsLimitAndDataCentre(t *testing.T) {
	instances, groups := fleetOf(550), groupsOf(610)
	limit := Limit(len(groups), len(instances))
	load := map[string]int{}
	near := 0
	dataCentreOf := map[string]string{}
	for _, i := range instances {
		dataCentreOf[i.Name] = i.DataCentre
	}
	assigned := Assign(groups, instances, limit)
	for _, g := range groups {
		first := assigned[g.Name][0]
		load[first]++
		if dataCentreOf[first] == g.DataCentre {
			near++
		}
	}
	for name, n := range load {
		must.LessEq(t, limit, n, must.Sprint(name))
	}
	must.Eq(t, len(groups), near)
}
