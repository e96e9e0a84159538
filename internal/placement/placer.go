package placement

import (
	"cmp"
	"slices"
	"strings"

	"github.com/stackspindle/stackspindle/internal/locality"
	"github.com/stackspindle/stackspindle/internal/rendezvous"
)

// placer assigns carriers to the groups of a table, one group after another.
type placer struct {
	table  *Table
	chosen []candidate // carriers of the current group; the buffer is reused
}

// place returns the carriers of a group.
func (p *placer) place(r *row) Carriers {
	t, g := p.table, r.group
	usable := g.MaxConnections - Reserved
	if t.servedByAll(g) {
		count := max(1, t.registered) // no instance is registered yet during startup
		return Carriers{AllInstances: true, usableConnections: usable, count: count}
	}
	limit := g.maxCarriers()
	p.chosen = p.chosen[:0]
	for n := range r.dataCentres {
		p.addLocal(r, &r.dataCentres[n])
	}
	slices.SortFunc(p.chosen, byRank)
	p.chosen = p.chosen[:min(limit, len(p.chosen))]
	if len(p.chosen) < limit {
		p.chosen = append(p.chosen, p.replacements(r, limit-len(p.chosen))...)
	}
	for _, i := range p.chosen {
		i.load++
	}
	if r.hasCarriers(p.chosen, usable, limit) {
		return r.carriers
	}
	names, localCount := make([]string, len(p.chosen)), make(map[string]int, len(r.dataCentres))
	for n, i := range p.chosen {
		names[n] = i.Name
		if r.hasMemberIn(i.DataCentre) {
			localCount[i.DataCentre]++ // a replacement for a missing carrier may also be in a member's data centre
		}
	}
	return Carriers{Names: names, localCount: localCount, usableConnections: usable, count: limit}
}

// addLocal adds the highest-ranked instances of a member's data centre that are below their
// group limit.
func (p *placer) addLocal(r *row, dc *memberDataCentre) {
	found := 0
	for n := 0; found < dc.slots; n++ {
		i, ok := dc.ranking.at(p.table, r.group.Name, n)
		if !ok {
			return
		}
		if i.belowLimit() {
			p.chosen = append(p.chosen, i)
			found++
		}
	}
}

// replacements returns instances for the carrier slots that instances in the members' data
// centres do not fill. Instances below their group limit come first, in particular those in
// a region with unfilled slots; each class is in rank order.
func (p *placer) replacements(r *row, missing int) []candidate {
	open, openCount := p.unfilled(r)
	used := make(map[string]bool, len(p.chosen))
	for _, i := range p.chosen {
		used[i.Name] = true
	}
	var fillers, others, full []candidate
	for n := 0; len(fillers) < missing && (openCount > 0 || len(fillers)+len(others) < missing); n++ {
		i, ok := r.allInstances.at(p.table, r.group.Name, n)
		if !ok {
			break
		}
		switch {
		case used[i.Name]:
		case !i.belowLimit():
			full = append(full, i)
		case p.fillSlot(open, i):
			fillers = append(fillers, i)
			openCount--
		default:
			others = append(others, i)
		}
	}
	found := append(fillers, others...)
	if len(found) < missing {
		var rest []candidate
		for _, i := range full {
			if p.fillSlot(open, i) {
				found = append(found, i)
			} else {
				rest = append(rest, i)
			}
		}
		found = append(found, rest...)
	}
	return found[:min(missing, len(found))]
}

// unfilledSlots counts the carrier slots of a data centre that no instance there fills.
type unfilledSlots struct {
	dataCentre string
	count      int
}

// unfilled returns the unfilled carrier slots and their total. It leaves out data centres whose
// region has no instance.
func (p *placer) unfilled(r *row) ([]unfilledSlots, int) {
	var open []unfilledSlots
	total := 0
	for _, dc := range r.dataCentres {
		count := dc.slots - countIn(p.chosen, dc.dataCentre)
		if count > 0 && p.table.regionHasInstance(dc.dataCentre) {
			open = append(open, unfilledSlots{dc.dataCentre, count})
			total += count
		}
	}
	return open, total
}

// fillSlot assigns an instance to an unfilled slot of its region, and reports whether there was
// one.
func (p *placer) fillSlot(open []unfilledSlots, i candidate) bool {
	for n := range open {
		if open[n].count > 0 && p.table.regions.Distance(i.DataCentre, open[n].dataCentre) != locality.OtherRegion {
			open[n].count--
			return true
		}
	}
	return false
}

// regionHasInstance reports whether the region of a data centre has an instance.
func (t *Table) regionHasInstance(dataCentre string) bool {
	for other, instances := range t.byDataCentre {
		if len(instances) > 0 && t.regions.Distance(other, dataCentre) != locality.OtherRegion {
			return true
		}
	}
	return false
}

// candidate is an instance with its weighted hash score for a group.
type candidate struct {
	*instance
	score rendezvous.WeightedScore
}

func byRank(a, b candidate) int {
	return cmp.Or(a.score.Compare(b.score), strings.Compare(a.Name, b.Name))
}
