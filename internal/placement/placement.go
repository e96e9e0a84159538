// Package placement decides which instances of a fleet hold connections to the
// members of a database group, how much of a member each of them uses, and in
// which order an instance passes statements to them.
//
// It answers two patterns of load. A member runs a few statements at once, and what
// is too much for it waits there in the order in which it came; the fewer
// instances send to it, the more of that waits at an instance instead, where it
// has an order and can be given up. And a statement should cross from one data
// centre to another only once: so the instances that hold connections are near the
// members, and a statement that needs the primary goes to one near that.
//
// The package has no I/O, clock or goroutine. All instances compute the same from
// the same list; that two disagree for a while is harmless.
package placement

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/stackspindle/stackspindle/internal/ownership"
)

const (
	// Reserved connections of each member stay free for questions about its state and
	// for the connections of instances that have just died.
	Reserved = 2
	// leastPool is the least number of connections to a member with which an
	// instance can serve: one that a transaction holds, and one for everything else.
	leastPool = 2
	// sharedPool is the least that a carrier has where not every instance can be one.
	sharedPool = 4
	// farPool is how many connections to a member a carrier in another data centre has: one
	// that a transaction holds, and one for everything else.
	farPool = leastPool
	// perMember is how many carriers stand in the data centre of each member: while
	// one is gone the other serves.
	perMember = 2
	// perSlot is how many statements may be at a member for each that it runs: one
	// that runs, and one on its way or waiting.
	perSlot = 2
)

// Group is what placement knows of a database group.
type Group struct {
	Name           string
	MaxConnections int      // a member takes from all instances together
	Homes          []string // data centre of each member
}

// Carriers are the instances that hold connections to a group's members.
type Carriers struct {
	Everybody bool     // each instance does, so that nobody passes statements on
	Names     []string // the first should lead the group; empty with Everybody
	atHome    map[string]int
	usable    int // connections to each member that all of them may use
	count     int
}

// Place returns the carriers of a group among the instances that are alive.
// registered is how many may use connections, those included that may have died.
func Place(g Group, alive []ownership.Instance, registered int) Carriers {
	usable := g.MaxConnections - Reserved
	if g.everybody(registered) {
		count := max(1, registered) // none is known while an instance starts
		return Carriers{Everybody: true, usable: usable, count: count}
	}
	most := max(1, usable/sharedPool)
	if len(g.Homes) > 0 {
		most = min(most, perMember*len(g.Homes))
	}
	names, atHome := choose(g, alive, most)
	return Carriers{Names: names, atHome: atHome, usable: usable, count: most}
}

// everybody reports whether each of so many registered instances can have connections to the
// group's members.
func (g Group) everybody(registered int) bool {
	return (g.MaxConnections-Reserved)/leastPool >= registered
}

// choose takes the first in rank of each member's data centre, and fills up with
// others where one has too few instances.
func choose(g Group, alive []ownership.Instance, most int) ([]string, map[string]int) {
	places := make(map[string]int, len(g.Homes))
	for _, home := range g.Homes {
		places[home] += perMember
	}
	dataCentres := make(map[string]string, len(alive))
	for _, i := range alive {
		dataCentres[i.Name] = i.DataCentre
	}
	var names, others []string
	atHome := make(map[string]int, len(g.Homes))
	for _, name := range ownership.Rank(ownership.Group{Name: g.Name}, contenders(g.Name, alive, places, most)) {
		home := dataCentres[name]
		if places[home] == 0 || len(names) == most {
			others = append(others, name)
			continue
		}
		places[home]--
		atHome[home]++
		names = append(names, name)
	}
	missing := min(most-len(names), len(others))
	return append(names, others[:missing]...), atHome
}

// contender is an instance with its rank for a group, the highest score first.
type contender struct {
	ownership.Instance
	score uint64
}

// contenders returns the instances that may be chosen: the first in rank of each data centre,
// as many as there are places, and the first of all. To sort all is most of what a placement
// costs where there are hundreds.
func contenders(group string, alive []ownership.Instance, places map[string]int, most int) []ownership.Instance {
	var first []contender
	near := make(map[string][]contender, len(places))
	for _, i := range alive {
		c := contender{Instance: i, score: ownership.Score(group, i.Name)}
		first = insert(first, c, most)
		if n := places[i.DataCentre]; n > 0 {
			near[i.DataCentre] = insert(near[i.DataCentre], c, n)
		}
	}
	chosen := make(map[ownership.Instance]bool, most)
	for _, c := range slices.Concat(append(slices.Collect(maps.Values(near)), first)...) {
		chosen[c.Instance] = true
	}
	return slices.Collect(maps.Keys(chosen))
}

// insert adds a contender to a list of the first n in rank.
func insert(list []contender, c contender, n int) []contender {
	if len(list) == n && c.score < list[n-1].score {
		return list
	}
	at, _ := slices.BinarySearchFunc(list, c, func(a, b contender) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.Name, b.Name))
	})
	list = slices.Insert(list, at, c)
	return list[:min(n, len(list))]
}

// Includes reports whether an instance is one of the carriers.
func (c Carriers) Includes(name string) bool { return c.Everybody || slices.Contains(c.Names, name) }

// Rank returns the place of an instance among those that should lead the group, and
// false when it is no carrier. A leader that carries hears from the primary with each
// statement, and sees itself when the primary has more than it can run.
func (c Carriers) Rank(name string) (int, bool) {
	rank := slices.Index(c.Names, name)
	return rank, rank >= 0
}

// Connections returns how many connections to a member a carrier in a data centre may
// use. Most of a member's work comes through the carriers near it; a far one, which sends what
// near members have no room for, does with a few, so that the near ones have connections
// for more client accounts.
func (c Carriers) Connections(member, self string) int {
	near := c.atHome[member]
	far := c.count - near
	if c.Everybody || near == 0 || c.usable < farPool*far+sharedPool*near {
		return max(1, c.usable/c.count)
	}
	if member != self {
		return farPool
	}
	return (c.usable - farPool*far) / near
}

// Active returns how many statements outside transactions a carrier may have running
// at a member with some slots. Carriers in the member's own data centre share the
// member; one elsewhere has one statement there at a time, which serves when the
// members near it are worse off. With 6 carriers before 3 slots that is 6 from near ones and 4
// from the others at the most, where 32 carriers had up to 32.
func (c Carriers) Active(slots int, member, self string) int {
	sharers := c.count
	if !c.Everybody && member == self && c.atHome[member] > 0 {
		sharers = c.atHome[member]
	}
	return max(1, (perSlot*slots+sharers-1)/sharers)
}

// Caller is the instance that passes a statement on.
type Caller struct {
	Name       string
	DataCentre string
}

// Order sorts carriers into the order in which an instance passes statements to them:
// those in the preferred data centre first, then those in its own, then the others.
// Among equals each instance begins with another one, so that the carriers share the work.
func Order[C any](carriers []C, of func(C) ownership.Instance, caller Caller, preferred string) []C {
	sorted := slices.Clone(carriers)
	distance := func(i ownership.Instance) int {
		switch i.DataCentre {
		case preferred:
			return 0
		case caller.DataCentre:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(sorted, func(a, b C) int {
		ia, ib := of(a), of(b)
		if d := cmp.Compare(distance(ia), distance(ib)); d != 0 {
			return d
		}
		return cmp.Compare(ownership.Score(caller.Name, ia.Name), ownership.Score(caller.Name, ib.Name))
	})
	return sorted
}
