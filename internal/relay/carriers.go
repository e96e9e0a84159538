package relay

import (
	"cmp"

	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/placement"
	"github.com/stackspindle/stackspindle/internal/rendezvous"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// Carriers are the instances that serve a group, as this instance computes them.
type Carriers struct {
	placement.Carriers
	IncludesSelf bool            // this instance is one of them
	Others       []lead.Instance // the other ones
}

// PlacementGroup returns a group's properties for placement. It reports false when no group of that
// name is declared.
func PlacementGroup(snap *topology.Snapshot, name string) (placement.Group, bool) {
	declared, ok := snap.Groups[name]
	g := placement.Group{Name: name, MaxConnections: declared.MaxConnections}
	for _, m := range snap.MembersOf(name) {
		g.MemberDataCentres = append(g.MemberDataCentres, m.DataCentre)
	}
	return g, ok
}

func ownershipCandidate(instance lead.Instance) rendezvous.Instance {
	return rendezvous.Instance{Name: instance.Name, DataCentre: instance.DataCentre, Weight: instance.Capacity.StatementsPerSecond()}
}

// SetPlacement sets the placement by which statements are routed from now on.
func (r *Relay) SetPlacement(snapshot *PlacementSnapshot) { r.placement.Store(snapshot) }

// ServedGroups returns the groups that this instance serves, sorted by name. The caller must not
// change the slice.
func (r *Relay) ServedGroups() []string { return r.placement.Load().ServedGroups() }

// AllServeAllGroups reports whether every instance serves every group.
func (r *Relay) AllServeAllGroups() bool { return r.placement.Load().AllServeAllGroups() }

// CarriersOf returns the carriers of a group. This instance is one while the group's carriers are
// not known.
func (r *Relay) CarriersOf(group string) Carriers {
	c, ok := r.placement.Load().CarriersOf(group)
	if !ok || len(c.Others) == 0 {
		c.IncludesSelf = true
	}
	return c
}

// Serves reports whether this instance serves a group, that is, holds connections to its members.
func (r *Relay) Serves(group string) bool { return r.CarriersOf(group).IncludesSelf }

// orderCarriers returns the carriers in the order in which they are asked to run a statement. A
// statement that needs the primary goes to the primary's data centre, or else its region: it then
// crosses data centres only once, and the statements that wait for a primary queue at few
// instances. Other statements stay in this instance's data centre, or else its region.
//
// Within one data centre each client account has its own preferred carrier. Connections belong to
// accounts, so the fewer accounts a carrier serves, the more often it has an open connection for
// one of them.
func (r *Relay) orderCarriers(c Carriers, group, account string, needsPrimary bool) []lead.Instance {
	preferred := r.dataCentre
	if ref, err := r.PrimaryGuard(group).Primary(); err == nil && needsPrimary {
		primary, _ := r.snapshot().Member(ref.Primary)
		preferred = primary.DataCentre
	}
	return placement.Order(c.Others, ownershipCandidate, placement.Origin{HashKey: cmp.Or(account, r.self), DataCentre: r.dataCentre}, preferred, r.localities)
}

// EnableCarrier allows this instance to run statements for other instances. Before the call it has
// not read the store, or holds no grants; instances that still know its address from an earlier
// process get a refusal and try other carriers.
func (r *Relay) EnableCarrier() { r.carrierEnabled.Store(true) }

// canRunForwarded reports whether this instance can run forwarded statements for a database. A
// database unknown here may still exist, since the ingress instance may have a newer configuration.
func (r *Relay) canRunForwarded(database string) bool {
	_, known := r.snapshot().Databases[database]
	return known && r.carrierEnabled.Load()
}
