// Package session keeps, for one database group, what each session must see:
// the position of its last acknowledged write. A floor is kept only until every
// replica has passed it, so that memory follows the replication lag and not the
// number of sessions. The package has no I/O, clock or goroutine.
package session

import (
	"errors"
	"fmt"

	"github.com/stackspindle/stackspindle/internal/group"
)

// ErrLost says that work which a session was told is done is not in the log of
// the group any more.
var ErrLost = errors.New("acknowledged writes of this session were lost in a failover")

// Floors holds the floors of one group. It is not safe for concurrent use.
type Floors struct {
	limit   int
	floors  map[string]group.Position
	base    group.Position // floor of every session that has none of its own
	history group.History
	highest group.Position
}

// New returns floors that keep at most limit sessions. Beyond it the oldest
// knowledge is merged into the base, which is safe: it only asks for more.
func New(limit int) *Floors {
	return &Floors{limit: limit, floors: make(map[string]group.Position)}
}

// Acknowledge notes a write of a session that is about to be acknowledged. The
// session may be "", which counts for the group only.
func (f *Floors) Acknowledge(session string, p group.Position) {
	f.highest = group.Max(f.highest, p)
	if session == "" {
		return
	}
	if f.floors[session].Less(p) {
		f.floors[session] = p
	}
	if len(f.floors) > f.limit {
		f.collapse()
	}
}

// collapse forgets who wrote and asks everybody for the highest position.
func (f *Floors) collapse() {
	f.base = f.highest
	clear(f.floors)
}

// Highest returns the highest position acknowledged.
func (f *Floors) Highest() group.Position { return f.highest }

// Len returns how many sessions have a floor of their own.
func (f *Floors) Len() int { return len(f.floors) }

// Floor returns the position that the session must see, given the one its
// entry instance brought, or ErrLost when the group does not hold it any more.
func (f *Floors) Floor(session string, brought group.Position) (group.Position, error) {
	floor := group.Max(f.floors[session], brought)
	if !f.history.Holds(floor) {
		return group.Position{}, fmt.Errorf("%w: %s", ErrLost, floor)
	}
	return group.Max(floor, f.base), nil
}

// Accept lets a session that was told of its loss go on.
func (f *Floors) Accept(session string) {
	if !f.history.Holds(f.floors[session]) {
		delete(f.floors, session)
	}
}

// Passed drops the floors at or below p, which the replicas in service have
// reached, and makes p the floor of everybody, so that a replica that is
// further behind serves nobody. Lost floors stay until they are accepted.
func (f *Floors) Passed(p group.Position) {
	f.base = group.Max(f.base, p)
	for session, floor := range f.floors {
		if p.AtLeast(floor) && f.history.Holds(floor) {
			delete(f.floors, session)
		}
	}
}

// Learn takes in the terms of the log that a new primary holds, so that a new
// owner recognises what was lost under owners before it.
func (f *Floors) Learn(h group.History) {
	for _, start := range h {
		f.history = f.history.Append(start)
	}
}

// Promoted notes the start of a new term at base. A new owner, which knows no
// floors, passes takeover: base is then everybody's floor.
func (f *Floors) Promoted(term uint64, base group.Position, takeover bool) {
	f.history = f.history.Append(group.TermStart{Term: term, Index: base.Index})
	if takeover {
		f.base = group.Max(f.base, base)
	}
	if !f.history.Holds(f.highest) {
		f.highest = base
	}
	f.highest = group.Max(f.highest, base)
	if !f.history.Holds(f.base) {
		f.base = base
	}
}

// Export returns a copy of all floors, for a hand-over.
func (f *Floors) Export() map[string]group.Position {
	floors := make(map[string]group.Position, len(f.floors))
	for session, floor := range f.floors {
		floors[session] = floor
	}
	return floors
}
