// Package session keeps the floors of the sessions of one database group. A
// session's floor is the log position of its last acknowledged write: a member
// must have reached it to run the session's reads. A floor is kept only until all
// healthy replicas have reached it, so memory use depends on the replication lag
// and not on the number of sessions. The package is used by the group's owner and
// has no I/O, clock or goroutines.
package session

import (
	"errors"
	"fmt"

	"github.com/stackspindle/stackspindle/internal/group"
)

// ErrLost is returned if acknowledged writes of a session are no longer in the
// group's log.
var ErrLost = errors.New("acknowledged writes of this session were lost in a failover")

// Floors holds the floors of one group. It is not safe for concurrent use.
type Floors struct {
	limit    int
	floors   map[string]group.Position
	minFloor group.Position // minimum floor of all sessions
	history  group.History
	highest  group.Position
}

// New returns an empty Floors for at most limit sessions. Beyond the limit, all
// floors are replaced by the highest acknowledged position, as the minimum for all
// sessions. This is safe, since reads may only have to wait longer.
func New(limit int) *Floors {
	return &Floors{limit: limit, floors: make(map[string]group.Position)}
}

// Acknowledge raises the session's floor to a write that is about to be
// acknowledged. If session is "", only the group's highest position is raised.
func (f *Floors) Acknowledge(session string, p group.Position) {
	f.highest = group.Max(f.highest, p)
	if session == "" {
		return
	}
	if f.floors[session].Less(p) {
		f.floors[session] = p
	}
	if len(f.floors) > f.limit {
		f.raiseMinFloor()
	}
}

// raiseMinFloor drops the floors of single sessions and makes the highest
// acknowledged position the minimum for all sessions.
func (f *Floors) raiseMinFloor() {
	f.minFloor = f.highest
	clear(f.floors)
}

// Highest returns the highest acknowledged position.
func (f *Floors) Highest() group.Position { return f.highest }

// Len returns the number of sessions that have their own floor.
func (f *Floors) Len() int { return len(f.floors) }

// Floor returns the position that a member must have reached to run the session's
// reads. ingress is the floor that the session's ingress instance sent, or zero.
// It returns ErrLost if the group's log no longer has the session's floor.
func (f *Floors) Floor(session string, ingress group.Position) (group.Position, error) {
	floor := group.Max(f.floors[session], ingress)
	if !f.history.Holds(floor) {
		return group.Position{}, fmt.Errorf("%w: %s", ErrLost, floor)
	}
	return group.Max(floor, f.minFloor), nil
}

// AcceptLoss removes the floor of a session whose client has accepted the loss of
// acknowledged writes. A floor that is not lost stays.
func (f *Floors) AcceptLoss(session string) {
	if !f.history.Holds(f.floors[session]) {
		delete(f.floors, session)
	}
}

// DropReached drops the floors at or below p, which all healthy replicas have
// reached, and makes p the minimum floor of all sessions, so that a replica that
// is further behind serves no reads. Lost floors are kept until the loss is
// accepted.
func (f *Floors) DropReached(p group.Position) {
	f.minFloor = group.Max(f.minFloor, p)
	for session, floor := range f.floors {
		if p.AtLeast(floor) && f.history.Holds(floor) {
			delete(f.floors, session)
		}
	}
}

// MergeHistory adds the terms in a new primary's log to the known history, so that
// a new owner detects writes that were lost under former owners.
func (f *Floors) MergeHistory(h group.History) {
	for _, start := range h {
		f.history = f.history.Append(start)
	}
}

// BeginTerm records the start of a new term at position base. takeover is true if
// the owner is new and so knows no floors of sessions; base then becomes the
// minimum floor of all sessions.
func (f *Floors) BeginTerm(term uint64, base group.Position, takeover bool) {
	f.history = f.history.Append(group.TermStart{Term: term, Index: base.Index})
	if takeover {
		f.minFloor = group.Max(f.minFloor, base)
	}
	if !f.history.Holds(f.highest) {
		f.highest = base
	}
	f.highest = group.Max(f.highest, base)
	if !f.history.Holds(f.minFloor) {
		f.minFloor = base
	}
}

// Export returns a copy of the sessions' floors, for a hand-over to another owner.
func (f *Floors) Export() map[string]group.Position {
	floors := make(map[string]group.Position, len(f.floors))
	for session, floor := range f.floors {
		floors[session] = floor
	}
	return floors
}
