package placement

import (
	"slices"

	"github.com/stackspindle/stackspindle/internal/ownership"
)

// Table keeps the carriers of many groups while the fleet changes. It answers the load of a
// start of many instances before many groups: each registration and each member that is
// announced changes the picture, and to rank all instances for all groups each time costs the
// product of the three. Only those groups are placed anew that a change concerns.
//
// Where instances are unlike, each group's carriers depend on those of the others, and all are
// placed anew.
//
// What it returns is always what Place returns. It is not safe for concurrent use.
type Table struct {
	rows       map[string]*row
	alive      map[string]ownership.Instance
	registered int
	unlike     bool // the instances were, at the last update
}

// row is the placement of one group.
type row struct {
	group    Group
	carriers Carriers
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[string]*row), alive: make(map[string]ownership.Instance)}
}

// Update takes in the groups and the instances as they are now. It calls placed with each
// group whose carriers were computed anew, and removed with each that is gone.
func (t *Table) Update(groups []Group, f Fleet, placed func(string, Carriers), removed func(string)) {
	change := t.changed(f)
	unlike := !ownership.Weigh(f.Alive).Alike()
	if unlike || t.unlike {
		t.placeAll(groups, f, placed)
	} else {
		t.placeChanged(groups, f, change, placed)
	}
	t.unlike = unlike
	present := make(map[string]bool, len(groups))
	for _, g := range groups {
		present[g.Name] = true
	}
	for name := range t.rows {
		if !present[name] {
			delete(t.rows, name)
			removed(name)
		}
	}
}

func (t *Table) placeAll(groups []Group, f Fleet, placed func(string, Carriers)) {
	all := Place(groups, f)
	for _, g := range groups {
		t.rows[g.Name] = &row{group: g, carriers: all[g.Name]}
		placed(g.Name, all[g.Name])
	}
}

func (t *Table) placeChanged(groups []Group, f Fleet, change fleetChange, placed func(string, Carriers)) {
	among := newPlacer(nil, f) // of alike instances, none of which has a bound
	for _, g := range groups {
		r := t.rows[g.Name]
		switch {
		case r == nil:
			r = &row{group: g, carriers: among.place(g)}
			t.rows[g.Name] = r
		case !r.group.Equal(g) || change.concerns(r):
			r.group, r.carriers = g, among.place(g)
		case change.enters(r):
			contest := f
			contest.Alive = change.contenders(r)
			r.carriers = newPlacer(nil, contest).place(g)
		default:
			continue
		}
		placed(g.Name, r.carriers)
	}
}

// Equal reports whether two groups are placed alike.
func (g Group) Equal(other Group) bool {
	return g.Name == other.Name && g.MaxConnections == other.MaxConnections && slices.Equal(g.Homes, other.Homes)
}

// fleetChange is how the instances differ from those of the update before.
type fleetChange struct {
	left             map[string]bool
	joined           []ownership.Instance
	alive            map[string]ownership.Instance
	registeredBefore int
	registeredNow    int
}

// changed notes the instances and returns how they differ from the last. One whose description
// has changed has left and joined.
func (t *Table) changed(f Fleet) fleetChange {
	change := fleetChange{left: make(map[string]bool), registeredBefore: t.registered, registeredNow: f.Registered}
	now := make(map[string]ownership.Instance, len(f.Alive))
	for _, i := range f.Alive {
		now[i.Name] = i
		if before, known := t.alive[i.Name]; !known || before != i {
			change.joined = append(change.joined, i)
		}
	}
	for name, before := range t.alive {
		if i, still := now[name]; !still || before != i {
			change.left[name] = true
		}
	}
	change.alive, t.alive, t.registered = now, now, f.Registered
	return change
}

// concerns reports whether the group has to be placed among all instances: it depends on
// how many are registered, has lost a carrier, or was short of instances near its members.
func (c fleetChange) concerns(r *row) bool {
	if r.carriers.Everybody || r.group.everybody(c.registeredNow) {
		return c.registeredBefore != c.registeredNow
	}
	if len(c.joined) > 0 && !r.full() {
		return true
	}
	return slices.ContainsFunc(r.carriers.Names, func(name string) bool { return c.left[name] })
}

// enters reports whether an instance that has joined ranks before a carrier. One that ranks
// last can take nobody's place where the group is full.
func (c fleetChange) enters(r *row) bool {
	if len(c.joined) == 0 || r.carriers.Everybody {
		return false
	}
	last := ^uint64(0)
	for _, name := range r.carriers.Names {
		last = min(last, ownership.Score(r.group.Name, name))
	}
	return slices.ContainsFunc(c.joined, func(i ownership.Instance) bool {
		return ownership.Score(r.group.Name, i.Name) >= last
	})
}

// contenders returns the instances among which the carriers are, once some have joined:
// those that were before them, and those that joined. Who was not chosen before is not now.
func (c fleetChange) contenders(r *row) []ownership.Instance {
	contenders := slices.Clone(c.joined)
	for _, name := range r.carriers.Names {
		contenders = append(contenders, c.alive[name])
	}
	return contenders
}

// full reports whether there are as many carriers as there may be, and all of them by rank:
// in the data centre of a member, or anywhere while no member is known.
func (r *row) full() bool {
	if len(r.group.Homes) == 0 {
		return len(r.carriers.Names) == r.carriers.count
	}
	return r.carriers.ranked == r.carriers.count
}
