// Package placement decides which instances are the carriers of a database group. A
// carrier holds connections to the group's members and runs the statements that ingress
// instances forward to it. The package also computes how many connections and concurrent
// statements a carrier may use at a member, and the order in which an ingress instance
// tries the carriers. Package relay uses it.
//
// The placement has two goals. First, statements should queue at instances rather than at
// a member: a member runs only a few statements at once and queues the excess in arrival
// order, whereas an instance can prioritise its queue and time statements out. The fewer
// instances send to a member, the more statements queue at an instance. Second, a statement
// should be forwarded between data centres at most once: carriers are placed near the
// members, and a statement that needs the primary goes to a carrier near the primary.
//
// The package has no I/O, clock or goroutine. All instances compute the same placement from
// the same list of instances. A temporary disagreement between instances is harmless.
package placement

import (
	"cmp"
	"slices"

	"github.com/stackspindle/stackspindle/internal/locality"
	"github.com/stackspindle/stackspindle/internal/rendezvous"
)

const (
	// Reserved is the number of connections per member that stay free for health checks
	// and for the connections of instances that have just died.
	Reserved = 2
	// minPoolSize is the smallest pool with which an instance can serve a member: one
	// connection for a transaction and one for everything else.
	minPoolSize = 2
	// minCarrierPoolSize is the smallest pool of a carrier where only some instances are carriers.
	minCarrierPoolSize = 4
	// minRemotePoolSize is the smallest pool to a member of a carrier in another data centre:
	// one connection for a transaction and one for everything else.
	minRemotePoolSize = minPoolSize
	// remoteShareDivisor divides the equal share of connections for a carrier in another data
	// centre, where the result exceeds minRemotePoolSize. While replicas lag, reads that arrive
	// at that carrier need the primary, wherever it is.
	remoteShareDivisor = 2
	// maxGroupsOnAllInstances is the largest number of groups for which every instance may
	// serve all of them. With more groups an instance would hold connections, and the
	// resources they need, for more groups than its clients use.
	maxGroupsOnAllInstances = 64
	// CarriersPerMember is the number of carriers in the data centre of each member: if one fails,
	// the other serves.
	CarriersPerMember = 2
	// statementsPerSlot is how many statements may be at a member for each of its slots: one
	// that runs, and one in transit or queued.
	statementsPerSlot = 2
)

// Group holds the properties of a database group that placement depends on.
type Group struct {
	Name              string
	MaxConnections    int      // that each member accepts from all instances together
	MemberDataCentres []string // data centre of each member
}

// Fleet holds the instances and regions that placement depends on.
type Fleet struct {
	Alive      []rendezvous.Instance
	Registered int          // number of instances that may hold connections, including any that may have died
	Regions    locality.Map // of the data centres
}

// Carriers are the instances that hold connections to a group's members.
type Carriers struct {
	AllInstances      bool           // every instance is a carrier, so no statement is forwarded
	Names             []string       // in order of preference for leading the group; empty with AllInstances
	localCount        map[string]int // number of carriers by data centre of a member
	usableConnections int            // connections to each member, for all carriers together
	count             int            // number of carriers that share the connections
}

// servedByAll reports whether each of the registered instances can have its own connections
// to the group, given the total number of groups.
func (g Group) servedByAll(registered, groups int) bool {
	return groups <= maxGroupsOnAllInstances && (g.MaxConnections-Reserved)/minPoolSize >= registered
}

// maxCarriers returns the number of carriers where not every instance is one.
func (g Group) maxCarriers() int {
	limit := max(1, (g.MaxConnections-Reserved)/minCarrierPoolSize)
	// Without a known member there is nothing to connect to, but an instance must lead the group.
	return min(limit, CarriersPerMember*max(1, len(g.MemberDataCentres)))
}

// Place returns the carriers of each group, by group name. It places groups in order of their
// names so that all instances agree on which instance has reached its group limit.
func Place(groups []Group, f Fleet) map[string]Carriers {
	table, placed := NewTable(), make(map[string]Carriers, len(groups))
	for _, g := range groups {
		table.Set(g)
	}
	table.SetInstances(f.Alive)
	table.Update(f.Registered, f.Regions, func(group string, carriers Carriers) { placed[group] = carriers })
	return placed
}

// Includes reports whether an instance is one of the carriers.
func (c Carriers) Includes(name string) bool { return c.AllInstances || slices.Contains(c.Names, name) }

// Rank returns the rank of an instance in the order of preference for leading the group, and
// false when it is not a carrier. A leader that is a carrier gets an answer from the primary
// with each statement, and observes directly when the primary is overloaded.
func (c Carriers) Rank(name string) (int, bool) {
	rank := slices.Index(c.Names, name)
	return rank, rank >= 0
}

// ConnectionLimit returns how many connections a carrier in data centre self may hold to a member
// in data centre member. Carriers near the member get most of them because most of its
// statements come through them. A remote carrier only sends what members near it have no
// capacity for, so it gets a few; this leaves the near carriers connections for more client
// accounts.
func (c Carriers) ConnectionLimit(member, self string) int {
	near := c.localCount[member]
	remote := c.count - near
	if c.AllInstances || near == 0 || c.usableConnections < minRemotePoolSize*remote+minCarrierPoolSize*near {
		return max(1, c.usableConnections/c.count)
	}
	remoteShare := max(minRemotePoolSize, c.usableConnections/c.count/remoteShareDivisor)
	if member != self {
		return remoteShare
	}
	return (c.usableConnections - remoteShare*remote) / near
}

// ActiveLimit returns how many statements outside transactions a carrier in data centre self may
// run concurrently at a member with some slots in data centre member. Carriers in the
// member's data centre divide the member among themselves. A remote carrier gets an equal
// share among all carriers, for use when the members near it are in a worse state.
func (c Carriers) ActiveLimit(slots int, member, self string) int {
	sharers := c.count
	if !c.AllInstances && member == self && c.localCount[member] > 0 {
		sharers = c.localCount[member]
	}
	return max(1, (statementsPerSlot*slots+sharers-1)/sharers)
}

// TotalActiveLimit returns how many statements outside transactions all carriers together may run
// or queue at a member with some slots.
func TotalActiveLimit(slots int) int { return statementsPerSlot * slots }

// Origin is the origin of a statement that an ingress instance forwards.
type Origin struct {
	HashKey    string // hash key that spreads origins over equally distant carriers
	DataCentre string
}

// Order sorts carriers into the order in which an ingress instance tries them: by distance to
// the preferred data centre, then by distance to the origin's data centre. Equally distant
// carriers are ordered by a hash, so that origins start with different carriers and the load
// spreads evenly. It spreads evenly even if one carrier has more capacity: a carrier's
// concurrent statements at a member are limited, so a carrier with most of the statements
// would reach that limit while the member has free slots.
func Order[C any](carriers []C, instanceOf func(C) rendezvous.Instance, origin Origin, preferred string, regions locality.Map) []C {
	sorted := slices.Clone(carriers)
	slices.SortStableFunc(sorted, func(a, b C) int {
		ia, ib := instanceOf(a), instanceOf(b)
		return cmp.Or(
			cmp.Compare(regions.Distance(ia.DataCentre, preferred), regions.Distance(ib.DataCentre, preferred)),
			cmp.Compare(regions.Distance(ia.DataCentre, origin.DataCentre), regions.Distance(ib.DataCentre, origin.DataCentre)),
			cmp.Compare(rendezvous.Score(origin.HashKey, ia.Name), rendezvous.Score(origin.HashKey, ib.Name)),
		)
	})
	return sorted
}
