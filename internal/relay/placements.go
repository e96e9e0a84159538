package relay

import (
	"slices"

	"github.com/benbjohnson/immutable"

	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/locality"
	"github.com/stackspindle/stackspindle/internal/ownership"
	"github.com/stackspindle/stackspindle/internal/placement"
)

// Placed is the carriers of all groups at one moment, as one instance sees them. It is not changed
// after it was made; nil: none are known yet.
type Placed struct {
	self             string
	carriers         *immutable.Map[string, placement.Carriers] // by group
	instances        map[string]lead.Instance
	servedGroups     []string // groups that this instance carries, in order
	servedByAllCount int      // groups that every instance carries
}

// Of returns the carriers of a group, false when it is not known.
func (p *Placed) Of(group string) (Carriers, bool) {
	if p == nil {
		return Carriers{}, false
	}
	placed, known := p.carriers.Get(group)
	c := Carriers{Carriers: placed, Here: placed.Includes(p.self)}
	for _, name := range c.Names {
		if name != p.self {
			c.Others = append(c.Others, p.instances[name])
		}
	}
	return c, known
}

// shares returns how the carriers of a group share its members, and whether this instance is one of
// them; false last when the group is not known.
func (p *Placed) memberShares(group string) (shares placement.Carriers, servedHere, known bool) {
	if p == nil {
		return placement.Carriers{}, false, false
	}
	shares, known = p.carriers.Get(group)
	return shares, shares.Includes(p.self), known
}

// Carried returns the groups that this instance carries, in order. They must not be changed.
func (p *Placed) Carried() []string {
	if p == nil {
		return nil
	}
	return p.servedGroups
}

// AllShared reports whether every instance carries every group.
func (p *Placed) AllShared() bool { return p == nil || p.servedByAllCount == p.carriers.Len() }

// set takes in other carriers of a group, and returns those before.
func (p *Placed) set(group string, c placement.Carriers) placement.Carriers {
	previous := p.remove(group)
	p.carriers = p.carriers.Set(group, c)
	if c.Includes(p.self) {
		at, _ := slices.BinarySearch(p.servedGroups, group)
		p.servedGroups = slices.Insert(slices.Clone(p.servedGroups), at, group)
	}
	if c.Everybody {
		p.servedByAllCount++
	}
	return previous
}

// remove drops a group, and returns its carriers.
func (p *Placed) remove(group string) placement.Carriers {
	previous, known := p.carriers.Get(group)
	if !known {
		return previous
	}
	p.carriers = p.carriers.Delete(group)
	if at, served := slices.BinarySearch(p.servedGroups, group); served {
		p.servedGroups = slices.Delete(slices.Clone(p.servedGroups), at, at+1)
	}
	if previous.Everybody {
		p.servedByAllCount--
	}
	return previous
}

// Placements keeps the carriers of all groups, as one instance sees them, while the fleet
// changes. It belongs to one goroutine; what Placed returns may be read by all.
type Placements struct {
	localities locality.Map
	table      *placement.Table
	next       Placed // as the next update is to show it
	published  *Placed
}

// NewPlacements returns the placements of an instance, of which none is known.
func NewPlacements(self lead.Instance, places locality.Map) *Placements {
	return &Placements{
		localities: places, table: placement.NewTable(),
		next: Placed{self: self.Name, carriers: immutable.NewMap[string, placement.Carriers](nil)},
	}
}

// Placed returns the carriers as of the last update, nil before the first.
func (p *Placements) Placed() *Placed { return p.published }

// Set takes in a group that is new or has changed.
func (p *Placements) Set(g placement.Group) { p.table.Set(g) }

// Remove drops a group.
func (p *Placements) Remove(group string) {
	p.table.Remove(group)
	p.next.remove(group)
}

// SetInstances takes in the instances whose lease holds.
func (p *Placements) SetInstances(alive []lead.Instance) {
	candidates := make([]ownership.Instance, 0, len(alive))
	p.next.instances = make(map[string]lead.Instance, len(alive))
	for _, i := range alive {
		p.next.instances[i.Name] = i
		candidates = append(candidates, ownershipCandidate(i))
	}
	p.table.SetInstances(candidates)
}

// Update takes in how many instances may use connections; where all of them can, this instance
// does whether its lease holds or not. It calls changed with each group that has other carriers
// than before.
func (p *Placements) Update(registered int, changed func(group string, before, now placement.Carriers)) {
	p.table.Update(registered, p.localities, func(group string, c placement.Carriers) {
		changed(group, p.next.set(group, c), c)
	})
	snapshot := p.next
	p.published = &snapshot
}
