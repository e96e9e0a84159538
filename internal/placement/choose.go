package placement

import (
	"cmp"
	"slices"
	"strings"

	"github.com/stackspindle/stackspindle/internal/locality"
	"github.com/stackspindle/stackspindle/internal/ownership"
)

// placer assigns carriers to the groups of a table, one group after another.
type choice struct {
	table  *Table
	chosen []candidate // carriers of the current group; the buffer is reused
}

// place returns the carriers of a group.
func (c *choice) place(r *row) Carriers {
	t, g := c.table, r.group
	usable := g.MaxConnections - Reserved
	if t.everybody(g) {
		count := max(1, t.registered) // no instance is registered yet during startup
		return Carriers{Everybody: true, usable: usable, count: count}
	}
	limit := g.most()
	c.chosen = c.chosen[:0]
	for n := range r.homes {
		c.atHome(r, &r.homes[n])
	}
	slices.SortFunc(c.chosen, byRank)
	c.chosen = c.chosen[:min(limit, len(c.chosen))]
	if len(c.chosen) < limit {
		c.chosen = append(c.chosen, c.elsewhere(r, limit-len(c.chosen))...)
	}
	for _, i := range c.chosen {
		i.load++
	}
	if r.isPlaced(c.chosen, usable, limit) {
		return r.carriers
	}
	names, localCount := make([]string, len(c.chosen)), make(map[string]int, len(r.homes))
	for n, i := range c.chosen {
		names[n] = i.Name
		if r.isHome(i.DataCentre) {
			localCount[i.DataCentre]++ // a replacement for a missing carrier may also be in a member's data centre
		}
	}
	return Carriers{Names: names, atHome: localCount, usable: usable, count: limit}
}

// addLocal adds the highest-ranked instances of a member's data centre that are below their
// group limit.
func (c *choice) atHome(r *row, h *home) {
	found := 0
	for n := 0; found < h.places; n++ {
		i, ok := h.ranking.at(c.table, r.group.Name, n)
		if !ok {
			return
		}
		if i.hasRoom() {
			c.chosen = append(c.chosen, i)
			found++
		}
	}
}

// replacements returns instances for the carrier slots that instances in the members' data
// centres do not fill. Instances below their group limit come first, in particular those in
// a region with unfilled slots; each class is in rank order.
func (c *choice) elsewhere(r *row, missing int) []candidate {
	open, openCount := c.placesLeft(r)
	chosen := make(map[string]bool, len(c.chosen))
	for _, i := range c.chosen {
		chosen[i.Name] = true
	}
	var fillers, others, full []candidate
	for n := 0; len(fillers) < missing && (openCount > 0 || len(fillers)+len(others) < missing); n++ {
		i, ok := r.anywhere.at(c.table, r.group.Name, n)
		if !ok {
			break
		}
		switch {
		case chosen[i.Name]:
		case !i.hasRoom():
			full = append(full, i)
		case c.takePlace(open, i):
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
			if c.takePlace(open, i) {
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
type placeLeft struct {
	home  string
	count int
}

// unfilled returns the unfilled carrier slots and their total. It leaves out data centres whose
// region has no instance.
func (c *choice) placesLeft(r *row) ([]placeLeft, int) {
	var open []placeLeft
	total := 0
	for _, h := range r.homes {
		count := h.places - countIn(c.chosen, h.dataCentre)
		if count > 0 && c.table.hasNear(h.dataCentre) {
			open = append(open, placeLeft{h.dataCentre, count})
			total += count
		}
	}
	return open, total
}

// fillSlot assigns an instance to an unfilled slot of its region, and reports whether there was
// one.
func (c *choice) takePlace(open []placeLeft, i candidate) bool {
	for n := range open {
		if open[n].count > 0 && c.table.places.Distance(i.DataCentre, open[n].home) != locality.OtherRegion {
			open[n].count--
			return true
		}
	}
	return false
}

// regionHasInstance reports whether the region of a data centre has an instance.
func (t *Table) hasNear(dataCentre string) bool {
	for other, instances := range t.byDataCentre {
		if len(instances) > 0 && t.places.Distance(other, dataCentre) != locality.OtherRegion {
			return true
		}
	}
	return false
}

// candidate is an instance with its weighted hash score for a group.
type candidate struct {
	*instance
	draw ownership.Draw
}

func byRank(a, b candidate) int {
	return cmp.Or(a.draw.Compare(b.draw), strings.Compare(a.Name, b.Name))
}
