package placement

import (
	"maps"
	"slices"
	"strings"

	"github.com/stackspindle/stackspindle/internal/locality"
	"github.com/stackspindle/stackspindle/internal/rendezvous"
)

// Table maintains the carriers of many groups while the fleet changes. It is designed for the
// start of many instances with many groups: each registration changes the fleet, and ranking
// all instances for all groups each time would cost the product of registrations, instances
// and groups. A table keeps the highest-ranked instances of each group instead, so that an
// instance that joins or leaves costs one comparison per group, even where group limits make
// the carriers of all groups depend on each other.
//
// The carriers are the same as those from Place. A Table is not safe for concurrent use.
type Table struct {
	rows           []*row // sorted by group name
	alive          map[string]*instance
	byDataCentre   map[string][]*instance
	registered     int
	regions        locality.Map
	weights        rendezvous.Weights
	changed        bool                  // groups or instances have changed since the last Update
	weightClasses  []rendezvous.Instance // one instance of each weight
	scoresComputed int                   // number of scores computed so far; tests read it
}

// instance is an instance that is alive.
type instance struct {
	rendezvous.Instance
	limited  bool
	limit    int  // maximum number of groups; valid if limited
	load     int  // groups assigned to it so far during an Update
	departed bool // it has left the fleet, or its registration has changed
}

// belowLimit reports whether another group may be assigned to the instance.
func (i *instance) belowLimit() bool { return !i.limited || i.load < i.limit }

// row is the placement of one group.
type row struct {
	group        Group
	dataCentres  []memberDataCentre
	allInstances ranking // of all instances
	carriers     Carriers
	placed       bool
}

// memberDataCentre is a data centre that has members of the group.
type memberDataCentre struct {
	dataCentre string
	slots      int // number of carriers wanted there
	ranking    ranking
}

// maxWeightClasses limits the number of distinct weights with a score threshold. A fleet has few
// machine types.
const maxWeightClasses = 16

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{alive: make(map[string]*instance), byDataCentre: make(map[string][]*instance)}
}

// find returns the index of a group's row, or the index to insert it at, and whether it exists.
func (t *Table) find(group string) (int, bool) {
	return slices.BinarySearchFunc(t.rows, group, func(r *row, name string) int { return strings.Compare(r.group.Name, name) })
}

// Set adds a group, or updates it if it has changed.
func (t *Table) Set(g Group) {
	at, exists := t.find(g.Name)
	switch {
	case !exists:
		t.rows = slices.Insert(t.rows, at, newRow(g, &row{}))
	case t.rows[at].group.Equal(g):
		return
	default:
		t.rows[at] = newRow(g, t.rows[at])
	}
	t.changed = true
}

// Remove deletes a group.
func (t *Table) Remove(group string) {
	if at, exists := t.find(group); exists {
		t.rows = slices.Delete(t.rows, at, at+1)
		t.changed = true
	}
}

// newRow returns the row of a group. It takes over the rankings of the group's previous row.
func newRow(g Group, previous *row) *row {
	r := &row{group: g, allInstances: previous.allInstances}
	for _, dataCentre := range slices.Compact(slices.Sorted(slices.Values(g.MemberDataCentres))) {
		dc := memberDataCentre{dataCentre: dataCentre, ranking: ranking{dataCentre: dataCentre}}
		if known := previous.findDataCentre(dataCentre); known != nil {
			dc.ranking = known.ranking
		}
		r.dataCentres = append(r.dataCentres, dc)
	}
	for _, dataCentre := range g.MemberDataCentres {
		r.findDataCentre(dataCentre).slots += CarriersPerMember
	}
	return r
}

// findDataCentre returns the group's entry for a data centre, nil when no member is there.
func (r *row) findDataCentre(dataCentre string) *memberDataCentre {
	for n := range r.dataCentres {
		if r.dataCentres[n].dataCentre == dataCentre {
			return &r.dataCentres[n]
		}
	}
	return nil
}

func (r *row) hasMemberIn(dataCentre string) bool { return r.findDataCentre(dataCentre) != nil }

// hasCarriers reports whether the group already has exactly these carriers.
func (r *row) hasCarriers(chosen []candidate, usable, limit int) bool {
	return r.placed && !r.carriers.AllInstances && r.carriers.usableConnections == usable && r.carriers.count == limit &&
		slices.EqualFunc(r.carriers.Names, chosen, func(name string, c candidate) bool { return name == c.Name }) &&
		!slices.ContainsFunc(r.dataCentres, func(dc memberDataCentre) bool {
			return r.carriers.localCount[dc.dataCentre] != countIn(chosen, dc.dataCentre)
		})
}

// countIn returns how many instances are in a data centre.
func countIn(chosen []candidate, dataCentre string) int {
	count := 0
	for _, c := range chosen {
		if c.DataCentre == dataCentre {
			count++
		}
	}
	return count
}

// Equal reports whether two groups have the same properties.
func (g Group) Equal(other Group) bool {
	return g.Name == other.Name && g.MaxConnections == other.MaxConnections && slices.Equal(g.MemberDataCentres, other.MemberDataCentres)
}

// Update recomputes the placement for a number of registered instances. It calls placed for
// each group whose carriers have changed.
func (t *Table) Update(registered int, regions locality.Map, placed func(string, Carriers)) {
	if !t.changed && registered == t.registered {
		return
	}
	t.registered, t.regions, t.changed = registered, regions, false
	t.resetLoads()
	p := placer{table: t}
	for _, r := range t.rows {
		before := r.carriers
		r.carriers = p.place(r)
		if !r.placed || !before.equal(r.carriers) {
			r.placed = true
			placed(r.group.Name, r.carriers)
		}
	}
}

// equal reports whether two placements are the same.
func (c Carriers) equal(other Carriers) bool {
	return c.AllInstances == other.AllInstances && c.usableConnections == other.usableConnections && c.count == other.count && slices.Equal(c.Names, other.Names) &&
		maps.Equal(c.localCount, other.localCount)
}

// SetInstances sets the instances that are alive.
func (t *Table) SetInstances(alive []rendezvous.Instance) {
	joined, left := t.updateAlive(alive)
	if len(joined) > 0 || left > 0 {
		t.changed = true
		t.updateRankings(joined, left > 0, rendezvous.NewWeights(alive))
	}
}

// updateAlive updates the table's instances, and returns those that joined and how many left. An
// instance whose registration has changed counts as one that left and one that joined.
func (t *Table) updateAlive(alive []rendezvous.Instance) (joined []*instance, left int) {
	present := make(map[string]bool, len(alive))
	for _, i := range alive {
		present[i.Name] = true
		before := t.alive[i.Name]
		if before != nil && before.Instance == i {
			continue
		}
		if before != nil {
			before.departed = true
			left++
		}
		t.alive[i.Name] = &instance{Instance: i}
		joined = append(joined, t.alive[i.Name])
	}
	for name, i := range t.alive {
		if !present[name] {
			i.departed = true
			delete(t.alive, name)
			left++
		}
	}
	if left > 0 {
		for dataCentre, instances := range t.byDataCentre {
			t.byDataCentre[dataCentre] = slices.DeleteFunc(instances, func(i *instance) bool { return i.departed })
		}
	}
	for _, i := range joined {
		t.byDataCentre[i.DataCentre] = append(t.byDataCentre[i.DataCentre], i)
	}
	return joined, left
}

// updateRankings updates the rankings of all groups after instances joined or left.
func (t *Table) updateRankings(joined []*instance, someLeft bool, weights rendezvous.Weights) {
	reweighted := weights != t.weights
	t.weights = weights
	for _, i := range joined {
		if len(t.weightClasses) < maxWeightClasses && !slices.ContainsFunc(t.weightClasses, func(k rendezvous.Instance) bool { return k.Weight == i.Weight }) {
			t.weightClasses = append(t.weightClasses, i.Instance)
		}
	}
	for _, r := range t.rows {
		for n := range r.dataCentres {
			t.updateRanking(r.group, &r.dataCentres[n].ranking, joined, someLeft, reweighted)
		}
		t.updateRanking(r.group, &r.allInstances, joined, someLeft, reweighted)
	}
}

// updateRanking updates one ranking.
func (t *Table) updateRanking(g Group, r *ranking, joined []*instance, someLeft, reweighted bool) {
	switch {
	case r.limit == 0:
		return // not computed yet
	case reweighted || t.servedByAll(g):
		r.clear()
		return
	case someLeft:
		r.removeDeparted()
	}
	for _, i := range joined {
		if r.covers(i) {
			r.join(t.newCandidate(t.score(g.Name, i), i))
		}
	}
}

// score returns the hash score of an instance for a group, and counts the computation.
func (t *Table) score(group string, i *instance) uint64 {
	t.scoresComputed++
	return rendezvous.Score(group, i.Name)
}

// newCandidate returns the candidate for an instance with a given hash score.
func (t *Table) newCandidate(score uint64, i *instance) candidate {
	return candidate{instance: i, score: t.weights.Apply(score, i.Instance)}
}

// resetLoads sets the group limit of each instance and its load to zero.
func (t *Table) resetLoads() {
	limits := t.groupLimits()
	for name, i := range t.alive {
		i.load, i.limited = 0, limits != nil
		i.limit = limits[name]
	}
}

// servedByAll reports whether every instance serves a group.
func (t *Table) servedByAll(g Group) bool { return g.servedByAll(t.registered, len(t.rows)) }
