package relay

import (
	"slices"

	"github.com/benbjohnson/immutable"

	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/locality"
	"github.com/stackspindle/stackspindle/internal/placement"
	"github.com/stackspindle/stackspindle/internal/rendezvous"
)

// PlacementSnapshot is an immutable snapshot of the carriers of all groups, as this instance
// computes them. A nil PlacementSnapshot means that none are known yet.
type PlacementSnapshot struct {
	self             string
	carriers         *immutable.Map[string, placement.Carriers] // by group
	instances        map[string]lead.Instance
	servedGroups     []string // groups that this instance serves, sorted by name
	servedByAllCount int      // number of groups that every instance serves
}

// CarriersOf returns the carriers of a group. It reports false when they are not known.
func (p *PlacementSnapshot) CarriersOf(group string) (Carriers, bool) {
	if p == nil {
		return Carriers{}, false
	}
	carriers, known := p.carriers.Get(group)
	c := Carriers{Carriers: carriers, IncludesSelf: carriers.Includes(p.self)}
	for _, name := range c.Names {
		if name != p.self {
			c.Others = append(c.Others, p.instances[name])
		}
	}
	return c, known
}

// memberShares returns how the carriers of a group share its members, whether this instance is one
// of them, and whether the carriers are known.
func (p *PlacementSnapshot) memberShares(group string) (shares placement.Carriers, servedHere, known bool) {
	if p == nil {
		return placement.Carriers{}, false, false
	}
	shares, known = p.carriers.Get(group)
	return shares, shares.Includes(p.self), known
}

// ServedGroups returns the groups that this instance serves, sorted by name. The caller must not
// change the slice.
func (p *PlacementSnapshot) ServedGroups() []string {
	if p == nil {
		return nil
	}
	return p.servedGroups
}

// AllServeAllGroups reports whether every instance serves every group.
func (p *PlacementSnapshot) AllServeAllGroups() bool {
	return p == nil || p.servedByAllCount == p.carriers.Len()
}

// set replaces the carriers of a group, and returns the previous ones.
func (p *PlacementSnapshot) set(group string, c placement.Carriers) placement.Carriers {
	previous := p.remove(group)
	p.carriers = p.carriers.Set(group, c)
	if c.Includes(p.self) {
		at, _ := slices.BinarySearch(p.servedGroups, group)
		p.servedGroups = slices.Insert(slices.Clone(p.servedGroups), at, group)
	}
	if c.AllInstances {
		p.servedByAllCount++
	}
	return previous
}

// remove removes a group, and returns its carriers.
func (p *PlacementSnapshot) remove(group string) placement.Carriers {
	previous, known := p.carriers.Get(group)
	if !known {
		return previous
	}
	p.carriers = p.carriers.Delete(group)
	if at, served := slices.BinarySearch(p.servedGroups, group); served {
		p.servedGroups = slices.Delete(slices.Clone(p.servedGroups), at, at+1)
	}
	if previous.AllInstances {
		p.servedByAllCount--
	}
	return previous
}

// PlacementTracker computes the carriers of all groups and updates them as the fleet changes. It is
// not safe for concurrent use; the snapshots that Snapshot returns are.
type PlacementTracker struct {
	localities locality.Map
	table      *placement.Table
	next       PlacementSnapshot // working copy of the next snapshot
	published  *PlacementSnapshot
}

// NewPlacementTracker returns the tracker of an instance, without any group.
func NewPlacementTracker(self lead.Instance, localities locality.Map) *PlacementTracker {
	return &PlacementTracker{
		localities: localities, table: placement.NewTable(),
		next: PlacementSnapshot{self: self.Name, carriers: immutable.NewMap[string, placement.Carriers](nil)},
	}
}

// Snapshot returns the carriers as of the last Update, nil before the first.
func (p *PlacementTracker) Snapshot() *PlacementSnapshot { return p.published }

// Set adds or changes a group.
func (p *PlacementTracker) Set(g placement.Group) { p.table.Set(g) }

// Remove removes a group.
func (p *PlacementTracker) Remove(group string) {
	p.table.Remove(group)
	p.next.remove(group)
}

// SetInstances sets the instances whose lease is valid.
func (p *PlacementTracker) SetInstances(alive []lead.Instance) {
	candidates := make([]rendezvous.Instance, 0, len(alive))
	p.next.instances = make(map[string]lead.Instance, len(alive))
	for _, i := range alive {
		p.next.instances[i.Name] = i
		candidates = append(candidates, ownershipCandidate(i))
	}
	p.table.SetInstances(candidates)
}

// Update recomputes the carriers and publishes a new snapshot. registered is the number of
// instances that may use connections; where all of them serve a group, this instance does so even
// without a valid lease. It calls changed for each group whose carriers changed.
func (p *PlacementTracker) Update(registered int, changed func(group string, before, now placement.Carriers)) {
	p.table.Update(registered, p.localities, func(group string, c placement.Carriers) {
		changed(group, p.next.set(group, c), c)
	})
	snapshot := p.next
	p.published = &snapshot
}
