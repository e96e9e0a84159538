package placement

import (
	"cmp"
	"slices"
	"strings"

	"github.com/stackspindle/stackspindle/internal/locality"
	"github.com/stackspindle/stackspindle/internal/ownership"
)

// placer places groups one after another.
type placer struct {
	fleet        Fleet
	weights      ownership.Weights
	byDataCentre map[string][]ownership.Instance
	bounds       map[string]int // by name of the instance, nil: none has one
	load         map[string]int // groups that it carries so far
}

func newPlacer(groups []Group, f Fleet) *placer {
	weights := ownership.Weigh(f.Alive)
	p := &placer{
		fleet: f, weights: weights, bounds: bounds(groups, f, weights),
		byDataCentre: make(map[string][]ownership.Instance), load: make(map[string]int),
	}
	for _, i := range f.Alive {
		p.byDataCentre[i.DataCentre] = append(p.byDataCentre[i.DataCentre], i)
	}
	return p
}

// place returns the carriers of the next group.
func (p *placer) place(g Group) Carriers {
	usable := g.MaxConnections - Reserved
	if g.everybody(p.fleet.Registered) {
		count := max(1, p.fleet.Registered) // none is known while an instance starts
		return Carriers{Everybody: true, usable: usable, count: count}
	}
	most := g.most()
	chosen := p.atHome(g, most)
	ranked := len(chosen)
	if ranked < most {
		chosen = append(chosen, p.elsewhere(g, chosen, most-ranked)...)
	}
	names, atHome := make([]string, len(chosen)), make(map[string]int, len(g.Homes))
	for n, c := range chosen {
		names[n] = c.Name
		p.load[c.Name]++
		if slices.Contains(g.Homes, c.DataCentre) {
			atHome[c.DataCentre]++ // whoever makes up for others may stand there too
		}
	}
	return Carriers{Names: names, atHome: atHome, ranked: ranked, usable: usable, count: most}
}

// ranked is an instance with what it has drawn for a group.
type ranked struct {
	ownership.Instance
	draw ownership.Draw
}

func byRank(a, b ranked) int {
	return cmp.Or(a.draw.Compare(b.draw), strings.Compare(a.Name, b.Name))
}

func (p *placer) rank(g Group, i ownership.Instance) ranked {
	return ranked{Instance: i, draw: p.weights.Draw(ownership.Score(g.Name, i.Name), i)}
}

// hasRoom reports whether an instance may carry another group.
func (p *placer) hasRoom(i ownership.Instance) bool {
	return p.bounds == nil || p.load[i.Name] < p.bounds[i.Name]
}

// atHome returns the first in rank of each member's data centre, as many as there are
// places, and no more than a number in all.
func (p *placer) atHome(g Group, most int) []ranked {
	var chosen []ranked
	for home, places := range placesOf(g) {
		chosen = append(chosen, p.first(g, p.byDataCentre[home], places)...)
	}
	slices.SortFunc(chosen, byRank)
	return chosen[:min(most, len(chosen))]
}

// placesOf returns how many carriers are to stand in each data centre.
func placesOf(g Group) map[string]int {
	places := make(map[string]int, len(g.Homes))
	for _, home := range g.Homes {
		places[home] += PerMember
	}
	return places
}

// first returns the first n in rank of some instances that have room, without ranking the
// others.
func (p *placer) first(g Group, instances []ownership.Instance, n int) []ranked {
	best := make([]ranked, 0, n+1)
	for _, i := range instances {
		if !p.hasRoom(i) {
			continue
		}
		r := p.rank(g, i)
		at, _ := slices.BinarySearchFunc(best, r, byRank)
		if at == n {
			continue
		}
		best = slices.Insert(best, at, r)
		best = best[:min(n, len(best))]
	}
	return best
}

// elsewhere returns instances that make up for those which the members' data centres do not
// have: those with room first, of these the ones of a region that lacks carriers, and then by
// rank.
func (p *placer) elsewhere(g Group, chosen []ranked, missing int) []ranked {
	left := placesOf(g)
	taken := make(map[string]bool, len(chosen))
	for _, c := range chosen {
		left[c.DataCentre]--
		taken[c.Name] = true
	}
	if p.bounds == nil && !anyLeft(left) {
		rest := slices.DeleteFunc(slices.Clone(p.fleet.Alive), func(i ownership.Instance) bool { return taken[i.Name] })
		return p.first(g, rest, missing) // no region lacks carriers, as while no member is known
	}
	var others []ranked
	for _, i := range p.fleet.Alive {
		if !taken[i.Name] {
			others = append(others, p.rank(g, i))
		}
	}
	slices.SortFunc(others, func(a, b ranked) int {
		return cmp.Or(yesFirst(p.hasRoom(a.Instance), p.hasRoom(b.Instance)), byRank(a, b))
	})
	needed := p.needed(others, left)
	slices.SortStableFunc(others, func(a, b ranked) int {
		return cmp.Or(yesFirst(p.hasRoom(a.Instance), p.hasRoom(b.Instance)), yesFirst(needed[a.Name], needed[b.Name]))
	})
	return others[:min(missing, len(others))]
}

// anyLeft reports whether a data centre has places that are not taken.
func anyLeft(places map[string]int) bool {
	for _, left := range places {
		if left > 0 {
			return true
		}
	}
	return false
}

// needed returns which instances make up for a place that is left in their region, one for
// each such place.
func (p *placer) needed(others []ranked, left map[string]int) map[string]bool {
	homes := make([]string, 0, len(left))
	for home := range left {
		homes = append(homes, home)
	}
	slices.Sort(homes)
	needed := make(map[string]bool)
	for _, other := range others {
		for _, home := range homes {
			if left[home] > 0 && p.fleet.Places.Distance(other.DataCentre, home) != locality.OtherRegion {
				left[home]--
				needed[other.Name] = true
				break
			}
		}
	}
	return needed
}

// yesFirst compares two answers.
func yesFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
