package relay

import (
	"cmp"

	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/ownership"
	"github.com/stackspindle/stackspindle/internal/placement"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// Carriers are the instances that hold connections to a group's members, as one
// instance sees them.
type Carriers struct {
	placement.Carriers
	Here   bool            // this instance is one of them
	Others []lead.Instance // the others
}

// GroupOf returns what placement needs to know of a group, false when none is declared by that
// name.
func GroupOf(snap *topology.Snapshot, name string) (placement.Group, bool) {
	declared, ok := snap.Groups[name]
	g := placement.Group{Name: name, MaxConnections: declared.MaxConnections}
	for _, m := range snap.MembersOf(name) {
		g.Homes = append(g.Homes, m.DataCentre)
	}
	return g, ok
}

func ownershipCandidate(instance lead.Instance) ownership.Instance {
	return ownership.Instance{Name: instance.Name, DataCentre: instance.DataCentre, Weight: instance.Strength.Carrying()}
}

// SetCarriers makes a placement known to the traffic.
func (r *Relay) SetCarriers(snapshot *Placed) { r.placement.Store(snapshot) }

// Carried returns the groups that this instance carries, in order. They must not be changed.
func (r *Relay) Carried() []string { return r.placement.Load().Carried() }

// AllShared reports whether every instance carries every group.
func (r *Relay) AllShared() bool { return r.placement.Load().AllShared() }

// CarriersOf returns the carriers of a group. While nothing is known of it this
// instance is one.
func (r *Relay) CarriersOf(group string) Carriers {
	c, ok := r.placement.Load().Of(group)
	if !ok || len(c.Others) == 0 {
		c.Here = true
	}
	return c
}

// Carries reports whether this instance holds connections to a group's members.
func (r *Relay) Carries(group string) bool { return r.CarriersOf(group).Here }

// carrierOrder returns the carriers in the order in which a statement is passed to
// them. One that needs the primary goes to the primary's data centre, or else its region, so
// that it crosses to another only once, and so that what waits for the primary waits at few
// instances. Others stay in the caller's data centre, or else its region.
//
// Of those in one data centre each client account has its own first, since the connections
// that they hold belong to accounts: a carrier finds one open the more often, the
// fewer accounts it serves.
func (r *Relay) orderCarriers(c Carriers, group, account string, needsPrimary bool) []lead.Instance {
	preferred := r.dataCentre
	if authority, err := r.Gate(group).Authority(); err == nil && needsPrimary {
		primary, _ := r.snapshot().Member(authority.Primary)
		preferred = primary.DataCentre
	}
	return placement.Order(c.Others, ownershipCandidate, placement.Caller{Name: cmp.Or(account, r.self), DataCentre: r.dataCentre}, preferred, r.localities)
}

// StartCarrying lets this instance run statements for others. Before that it has not
// read the store, or holds no grants, and those that still know its address from an
// earlier process turn to other carriers.
func (r *Relay) StartCarrying() { r.carrierEnabled.Store(true) }

// canCarry reports whether this instance can run statements for a database. That it knows of
// none by that name says nothing: the one that asks may have a newer configuration.
func (r *Relay) canRunForwarded(database string) bool {
	_, known := r.snapshot().Databases[database]
	return known && r.carrierEnabled.Load()
}
