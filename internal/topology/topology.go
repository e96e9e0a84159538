// Package topology is the fleet's picture of its surroundings: the routes in
// force, the members of each database group, and the instances. State takes in
// changes as the store reports them and yields immutable snapshots. The package
// has no I/O, clock or goroutine.
package topology

import (
	"slices"
	"strings"
	"time"

	"github.com/stackspindle/stackspindle/internal/account"
)

// Consistency is what the reads of a route must see.
type Consistency int

// The kinds of consistency.
const (
	Strict           Consistency = iota // everything acknowledged
	BoundedStaleness                    // everything acknowledged before a bounded time
	ReadYourWrites                      // the same, and the session's own work
)

// Route leads from a database's name to its group.
type Route struct {
	Name             string
	Database         string
	Group            string
	Consistency      Consistency
	MaxStaleness     time.Duration // for all but Strict
	Timeout          time.Duration // of one statement
	LatencyObjective time.Duration // of a whole operation
	Priority         int           // 0 ranks highest
	Public           bool          // callers need no key
}

// Group is a database group as the operators declare it.
type Group struct {
	Name           string
	MaxConnections int // a member takes from all instances together
	SyncReplicas   int // replicas that must have received a commit before it is acknowledged
}

// Config is the operators' configuration as a whole.
type Config struct {
	Version           int64
	Routes            []Route
	Groups            []Group
	IdleInTransaction time.Duration // after which a resting transaction may be ended; 0: never

	Accounts *account.Directory // nil: none are declared, and whoever calls is served
}

// Member is one upstream as it describes itself.
type Member struct {
	ID         string
	Group      string
	Address    string
	DataCentre string
	Draining   bool // it leaves: no new work
	Primary    bool // it believes that it leads
	Slots      int  // statements that it runs at once

	// Born tells one start of the member from the next under the same ID: it holds and
	// knows nothing of before. 0: the member does not tell.
	Born int64

	Revision int64         // of the entry's last change in the store
	Since    time.Duration // from when on the entry has been there without a gap
}

// Snapshot is the picture at one moment. It is not changed after it was made.
type Snapshot struct {
	Version   int64 // of the configuration, 0: none yet
	Config    Config
	Databases map[string]Route
	Groups    map[string]Group
	Members   map[string]Member   // by ID, those that lapsed a moment ago included
	ByGroup   map[string][]Member // by ID in order

	Priorities map[string]Priorities // of the routes, by group

	// Departed are members whose entries vanished so lately that they may have been
	// back in the store since this instance last heard of it, by group.
	Departed map[string][]Member
}

// Priorities is the span of some routes' priorities.
type Priorities struct{ Top, Last int }

// State collects changes. It is not safe for concurrent use.
type State struct {
	grace   time.Duration
	config  Config
	members map[string]Member
	lapsed  map[string]time.Duration // when the entry vanished, by ID
	memory  time.Duration
	gone    map[string]departed // forgotten members, by ID
}

// departed is a member that is not used any more.
type departed struct {
	Member
	at time.Duration // when its entry vanished
}

// New returns an empty picture. A member whose entry has vanished is still used
// for grace, since entries also vanish while the store is away, and counts as departed
// for the rest of memory.
func New(grace, memory time.Duration) *State {
	return &State{
		grace: grace, memory: memory,
		members: make(map[string]Member), lapsed: make(map[string]time.Duration), gone: make(map[string]departed),
	}
}

// SetConfig takes in a configuration. An older one than in force is left out,
// and false is returned.
func (s *State) SetConfig(c Config) bool {
	if c.Version <= s.config.Version {
		return false
	}
	s.config = c
	return true
}

// SetMember takes in a member's entry, and reports whether it says anything new. Where
// the store was listed anew, an entry that has changed may have been gone meanwhile. A
// member that was started again under its ID is another one.
func (s *State) SetMember(now time.Duration, m Member, listed bool) bool {
	_, lapsed := s.lapsed[m.ID]
	known, ok := s.members[m.ID]
	if m.Since = known.Since; !ok || lapsed || known.Born != m.Born || listed && known.Revision != m.Revision {
		m.Since = now
	}
	changed := lapsed || known != m
	s.members[m.ID] = m
	delete(s.lapsed, m.ID)
	delete(s.gone, m.ID)
	return changed
}

// DropMember notes that a member's entry has vanished.
func (s *State) DropMember(now time.Duration, id string) {
	if _, known := s.members[id]; !known {
		return
	}
	if _, noted := s.lapsed[id]; !noted {
		s.lapsed[id] = now
	}
}

// KeepMembers drops all members but those named, after the store was listed anew.
func (s *State) KeepMembers(now time.Duration, present map[string]bool) {
	for id := range s.members {
		if !present[id] {
			s.DropMember(now, id)
		}
	}
}

// Expire forgets members whose entries have been missing for long, and returns
// whether any was.
func (s *State) Expire(now time.Duration) bool {
	changed := false
	for id, since := range s.lapsed {
		if now-since >= s.grace {
			s.gone[id] = departed{Member: s.members[id], at: since}
			delete(s.members, id)
			delete(s.lapsed, id)
			changed = true
		}
	}
	for id, m := range s.gone {
		if now-m.at >= s.memory {
			delete(s.gone, id)
			changed = true
		}
	}
	return changed
}

// Snapshot returns the present picture.
func (s *State) Snapshot() *Snapshot {
	snap := &Snapshot{
		Version:   s.config.Version,
		Config:    s.config,
		Databases: make(map[string]Route, len(s.config.Routes)),
		Groups:    make(map[string]Group, len(s.config.Groups)),
		Members:   make(map[string]Member, len(s.members)),
		ByGroup:   make(map[string][]Member),
		Departed:  make(map[string][]Member),

		Priorities: make(map[string]Priorities),
	}
	for _, r := range s.config.Routes {
		snap.Databases[r.Database] = r
		p, ok := snap.Priorities[r.Group]
		if !ok {
			p = Priorities{Top: r.Priority, Last: r.Priority}
		}
		snap.Priorities[r.Group] = Priorities{Top: min(p.Top, r.Priority), Last: max(p.Last, r.Priority)}
	}
	for _, g := range s.config.Groups {
		snap.Groups[g.Name] = g
	}
	for id, m := range s.members {
		snap.Members[id] = m
		snap.ByGroup[m.Group] = append(snap.ByGroup[m.Group], m)
	}
	for _, m := range s.gone {
		snap.Departed[m.Group] = append(snap.Departed[m.Group], m.Member)
	}
	for _, members := range snap.ByGroup {
		slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	}
	return snap
}
