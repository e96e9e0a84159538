package relay

import (
	"maps"
	"slices"

	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/locality"
	"github.com/stackspindle/stackspindle/internal/ownership"
	"github.com/stackspindle/stackspindle/internal/placement"
)

// Placements keeps the carriers of all groups, as one instance sees them, while the fleet
// changes. It belongs to one goroutine; what it returns may be read by all.
type Placements struct {
	self       lead.Instance
	places     locality.Map
	table      *placement.Table
	groups     []placement.Group
	alive      []lead.Instance
	registered int
	placed     map[string]Carriers // nil: not known yet
}

// NewPlacements returns the placements of an instance, of which none is known.
func NewPlacements(self lead.Instance, places locality.Map) *Placements {
	return &Placements{self: self, places: places, table: placement.NewTable()}
}

// Placed returns the carriers by group, nil while none are known. It must not be changed.
func (p *Placements) Placed() map[string]Carriers { return p.placed }

// Alive returns the instances among which the carriers were chosen. It must not be changed.
func (p *Placements) Alive() []lead.Instance { return p.alive }

// Update takes in the groups, the instances whose lease holds, and how many may use
// connections; where all of them can, this instance does whether its lease holds or not. It
// reports whether the carriers have changed.
func (p *Placements) Update(groups []placement.Group, alive []lead.Instance, registered int) bool {
	moved := !slices.Equal(alive, p.alive) // addresses among others
	if p.placed != nil && !moved && registered == p.registered && slices.EqualFunc(groups, p.groups, placement.Group.Equal) {
		return false
	}
	byName := make(map[string]lead.Instance, len(alive))
	fleet := placement.Fleet{Alive: make([]ownership.Instance, 0, len(alive)), Registered: registered, Places: p.places}
	for _, i := range alive {
		byName[i.Name] = i
		fleet.Alive = append(fleet.Alive, candidate(i))
	}
	placed := make(map[string]Carriers, len(groups))
	maps.Copy(placed, p.placed)
	p.table.Update(groups, fleet, func(group string, c placement.Carriers) {
		placed[group] = seenBy(p.self, c, byName)
	}, func(group string) { delete(placed, group) })
	if moved {
		for group, c := range placed {
			placed[group] = seenBy(p.self, c.Carriers, byName)
		}
	}
	p.groups, p.alive, p.registered, p.placed = groups, alive, registered, placed
	return true
}

// seenBy returns the carriers of a group as an instance sees them.
func seenBy(self lead.Instance, carriers placement.Carriers, byName map[string]lead.Instance) Carriers {
	c := Carriers{Carriers: carriers, Here: carriers.Includes(self.Name)}
	for _, name := range c.Names {
		if name != self.Name {
			c.Others = append(c.Others, byName[name])
		}
	}
	return c
}
