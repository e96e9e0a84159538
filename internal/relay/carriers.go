package relay

import (
	"hash/fnv"

	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/ownership"
	"github.com/stackspindle/stackspindle/internal/topology"
)

const (
	// leastPool is the least number of connections to a member with which an
	// instance can serve: one that a transaction holds, and one for everything else.
	leastPool = 2
	// sharedPool is how many a carrier has where not every instance can be one. A few
	// larger pools need fewer connections in all than many small ones, so that there is
	// room for new ones while those of instances that have just died take up to 3 s
	// to go.
	sharedPool = 4
)

// CarrierCount returns how many instances may hold connections of their own to
// the members of a group. All others pass their callers' statements to these.
func CarrierCount(maxConnections, instances int) int {
	usable := maxConnections - reservedConnections
	if usable/leastPool >= instances {
		return max(1, instances) // none is known while an instance starts
	}
	return max(1, usable/sharedPool)
}

// Carriers are the instances that hold connections to a group's members.
type Carriers struct {
	Here   bool            // this instance is one of them
	Others []lead.Instance // the others, in the order in which this instance uses them
}

// Place returns the carriers of each group, as one instance sees them. All compute
// the same set from the same list, by rendezvous hashing. Each uses those of its
// data centre first, and begins with another one. registered is how many may use
// connections; where all of them can, this instance does whether its lease holds
// or not.
func Place(snap *topology.Snapshot, self lead.Instance, alive []lead.Instance, registered int) map[string]Carriers {
	placement := make(map[string]Carriers, len(snap.Groups))
	byName := make(map[string]lead.Instance, len(alive))
	candidates := make([]ownership.Instance, 0, len(alive))
	for _, i := range alive {
		byName[i.Name] = i
		candidates = append(candidates, ownership.Instance{Name: i.Name, DataCentre: i.DataCentre})
	}
	for name, group := range snap.Groups {
		var c Carriers
		count := CarrierCount(group.MaxConnections, registered)
		c.Here = count >= registered
		var near, far []lead.Instance
		for _, carrier := range ownership.Rank(ownership.Group{Name: name}, candidates)[:min(count, len(candidates))] {
			switch i := byName[carrier]; {
			case carrier == self.Name:
				c.Here = true
			case i.DataCentre == self.DataCentre:
				near = append(near, i)
			default:
				far = append(far, i)
			}
		}
		c.Others = append(rotate(near, self.Name), rotate(far, self.Name)...)
		placement[name] = c
	}
	return placement
}

// rotate begins a list at a place that depends on a name.
func rotate(list []lead.Instance, name string) []lead.Instance {
	if len(list) == 0 {
		return nil
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // a hash never fails
	start := int(h.Sum32() % uint32(len(list)))
	return append(append([]lead.Instance(nil), list[start:]...), list[:start]...)
}

// SetCarriers makes a placement known to the traffic.
func (r *Relay) SetCarriers(placement map[string]Carriers) { r.carriers.Store(&placement) }

// carriersOf returns the carriers of a group. While nothing is known of it this
// instance is one.
func (r *Relay) carriersOf(group string) Carriers {
	placement := r.carriers.Load()
	if placement == nil {
		return Carriers{Here: true}
	}
	c, ok := (*placement)[group]
	if !ok || len(c.Others) == 0 {
		return Carriers{Here: true}
	}
	return c
}

// Carries reports whether this instance holds connections to a group's members.
func (r *Relay) Carries(group string) bool { return r.carriersOf(group).Here }
