// Package topology holds the configuration and the members of the database groups as an
// instance knows them from the store. State applies changes and returns immutable
// snapshots, which most other packages read. The package has no I/O, clock or goroutine.
package topology

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/stackspindle/stackspindle/internal/account"
)

// Consistency is the consistency level for the reads of a route.
type Consistency int

// The consistency levels, by what a read must see.
const (
	Strict           Consistency = iota // everything acknowledged before the read
	BoundedStaleness                    // everything acknowledged until MaxStaleness ago
	ReadYourWrites                      // the same, and the session's own writes
)

// Route maps a database name to a group, with the settings for its statements.
type Route struct {
	Name             string
	Database         string
	Group            string
	Consistency      Consistency
	MaxStaleness     time.Duration // for all levels but Strict
	Timeout          time.Duration // of one statement
	LatencyObjective time.Duration // for a whole operation of the client
	Priority         int           // 0 is the highest
	Public           bool          // clients need no API key
}

// Group is a database group as declared by the operators.
type Group struct {
	Name           string
	MaxConnections int // that each member accepts from all instances together
	SyncReplicas   int // number of replicas that must have received a commit before it is acknowledged
}

// Config is the complete configuration from the operators.
type Config struct {
	Version           int64
	Routes            []Route
	Groups            []Group
	IdleInTransaction time.Duration // time after which an idle transaction may be ended; 0: never

	Accounts *account.Directory // nil: no accounts are declared, and every client is served
}

// Member is an upstream as described by its entry in the store.
type Member struct {
	ID         string
	Group      string
	Address    string
	DataCentre string
	Draining   bool // it is about to leave and gets no new work
	Primary    bool // it considers itself the primary
	Slots      int  // how many statements it runs at once

	// Incarnation distinguishes the starts of a member with the same ID. A restarted member has lost
	// its earlier data and state. 0: the member does not report it.
	Incarnation int64

	Revision      int64         // store revision of the entry's last change
	Since         time.Duration // time from which the entry has been present without interruption
	DrainingSince time.Duration // time from which the entry is known to say that the member drains; valid while Draining
}

// Snapshot is an immutable view of the topology at one time. Snapshots share unchanged parts, so
// the cost of a new one depends on the size of the change.
type Snapshot struct {
	Version int64 // version of the configuration; 0: none received yet
	Config  Config
	catalogue

	members  *immutable.Map[string, Member]   // by ID; includes members whose entry is missing for less than the grace period
	byGroup  *immutable.Map[string, []Member] // by group, sorted by ID
	departed *immutable.Map[string, []Member] // by group, sorted by ID
}

// catalogue indexes the configuration.
type catalogue struct {
	Databases  map[string]Route
	Groups     map[string]Group
	Priorities map[string]Priorities // of the routes to a group, by group
}

// Member returns a member by its ID, and false when there is none. It also returns a member whose
// entry is missing for less than the grace period.
func (s *Snapshot) Member(id string) (Member, bool) { return s.members.Get(id) }

// MembersOf returns the members of a group, sorted by ID. The caller must not modify the slice.
func (s *Snapshot) MembersOf(group string) []Member {
	members, _ := s.byGroup.Get(group)
	return members
}

// RecentlyDeparted returns the members of a group whose entries vanished so recently that they may
// have been back in the store since this instance's last contact with it. The caller must not
// modify the slice.
func (s *Snapshot) RecentlyDeparted(group string) []Member {
	members, _ := s.departed.Get(group)
	return members
}

// Priorities is the range of the priorities of some routes.
type Priorities struct{ Top, Last int }

// State applies changes of the topology. It is not safe for concurrent use.
type State struct {
	grace        time.Duration
	retention    time.Duration
	current      Snapshot                  // state that the next snapshot shows
	missingSince map[string]time.Duration  // when the entry of a member that is still used vanished, by ID
	departedByID map[string]departedMember // members that are no longer used, by ID
	changed      map[string]struct{}       // names of groups that changed since the last TakeChangedGroups
}

// departedMember is a member that is no longer used because its entry has vanished.
type departedMember struct {
	Member
	vanishedAt time.Duration // when the entry vanished
}

// New returns an empty State. A member whose entry has vanished is still used for the grace
// period, because entries also vanish while the store is unavailable. Then it counts as departed
// until retention has passed since the entry vanished.
func New(grace, retention time.Duration) *State {
	return &State{
		grace: grace, retention: retention,
		current: Snapshot{
			catalogue: newCatalogue(Config{}),
			members:   immutable.NewMap[string, Member](nil),
			byGroup:   immutable.NewMap[string, []Member](nil),
			departed:  immutable.NewMap[string, []Member](nil),
		},
		missingSince: make(map[string]time.Duration), departedByID: make(map[string]departedMember), changed: make(map[string]struct{}),
	}
}

// SetConfig applies a configuration. It ignores one that is not newer than the current one, and
// returns false.
func (s *State) SetConfig(c Config) bool {
	if c.Version <= s.current.Version {
		return false
	}
	before := s.current.Groups
	s.current.Version, s.current.Config, s.current.catalogue = c.Version, c, newCatalogue(c)
	for name, g := range s.current.Groups {
		if known, ok := before[name]; !ok || known != g {
			s.changed[name] = struct{}{}
		}
	}
	for name := range before {
		if _, ok := s.current.Groups[name]; !ok {
			s.changed[name] = struct{}{}
		}
	}
	return true
}

func newCatalogue(config Config) catalogue {
	c := catalogue{
		Databases:  make(map[string]Route, len(config.Routes)),
		Groups:     make(map[string]Group, len(config.Groups)),
		Priorities: make(map[string]Priorities, len(config.Groups)),
	}
	for _, r := range config.Routes {
		c.Databases[r.Database] = r
		p, ok := c.Priorities[r.Group]
		if !ok {
			p = Priorities{Top: r.Priority, Last: r.Priority}
		}
		c.Priorities[r.Group] = Priorities{Top: min(p.Top, r.Priority), Last: max(p.Last, r.Priority)}
	}
	for _, g := range config.Groups {
		c.Groups[g.Name] = g
	}
	return c
}

// TakeChangedGroups returns the sorted names of the groups whose declaration or members have changed
// since the last call.
func (s *State) TakeChangedGroups() []string {
	if len(s.changed) == 0 {
		return nil
	}
	changed := slices.Sorted(maps.Keys(s.changed))
	s.changed = make(map[string]struct{})
	return changed
}

// SetMember applies the entry of a member, and reports whether that changes anything. listed
// says that the entry comes from a full listing of the store: an entry with another revision
// may have been absent between the listings. A member that was restarted under the same ID
// counts as a new member.
func (s *State) SetMember(now time.Duration, m Member, listed bool) bool {
	_, missing := s.missingSince[m.ID]
	known, ok := s.current.members.Get(m.ID)
	if m.Since = known.Since; !ok || missing || known.Incarnation != m.Incarnation || listed && known.Revision != m.Revision {
		m.Since = now
	}
	switch m.DrainingSince = 0; {
	case m.Draining && known.Draining && known.Incarnation == m.Incarnation:
		m.DrainingSince = known.DrainingSince
	case m.Draining:
		m.DrainingSince = now
	}
	if ok && known == m && !missing {
		return false
	}
	if ok {
		s.remove(known)
	}
	s.current.members = s.current.members.Set(m.ID, m)
	s.current.byGroup = with(s.current.byGroup, m)
	s.changed[m.Group] = struct{}{}
	delete(s.missingSince, m.ID)
	s.forget(m.ID)
	return true
}

// remove deletes a member.
func (s *State) remove(m Member) {
	s.current.members = s.current.members.Delete(m.ID)
	s.current.byGroup = without(s.current.byGroup, m)
	s.changed[m.Group] = struct{}{}
}

// forget deletes a departed member, and reports whether there was one.
func (s *State) forget(id string) bool {
	m, ok := s.departedByID[id]
	if ok {
		delete(s.departedByID, id)
		s.current.departed = without(s.current.departed, m.Member)
	}
	return ok
}

// with returns the members by group with one more member.
func with(groups *immutable.Map[string, []Member], m Member) *immutable.Map[string, []Member] {
	members, _ := groups.Get(m.Group)
	at, _ := slices.BinarySearchFunc(members, m, byID)
	return groups.Set(m.Group, slices.Insert(slices.Clone(members), at, m))
}

// without returns the members by group without one member.
func without(groups *immutable.Map[string, []Member], m Member) *immutable.Map[string, []Member] {
	members, _ := groups.Get(m.Group)
	rest := slices.DeleteFunc(slices.Clone(members), func(other Member) bool { return other.ID == m.ID })
	if len(rest) == 0 {
		return groups.Delete(m.Group)
	}
	return groups.Set(m.Group, rest)
}

func byID(a, b Member) int { return strings.Compare(a.ID, b.ID) }

// MarkMissing records that the entry of a member has vanished.
func (s *State) MarkMissing(now time.Duration, id string) {
	if _, known := s.current.members.Get(id); !known {
		return
	}
	if _, missing := s.missingSince[id]; !missing {
		s.missingSince[id] = now
	}
}

// MarkMissingExcept records after a full listing of the store that the entries of all members but
// those present have vanished.
func (s *State) MarkMissingExcept(now time.Duration, present map[string]bool) {
	for all := s.current.members.Iterator(); !all.Done(); {
		if id, _, _ := all.Next(); !present[id] {
			s.MarkMissing(now, id)
		}
	}
}

// Expire removes the members whose grace period or retention has ended, and reports whether
// there were any.
func (s *State) Expire(now time.Duration) bool {
	changed := false
	for id, since := range s.missingSince {
		if now-since >= s.grace {
			m, _ := s.current.members.Get(id)
			s.remove(m)
			s.departedByID[id] = departedMember{Member: m, vanishedAt: since}
			s.current.departed = with(s.current.departed, m)
			delete(s.missingSince, id)
			changed = true
		}
	}
	for id, m := range s.departedByID {
		if now-m.vanishedAt >= s.retention {
			changed = s.forget(id) || changed
		}
	}
	return changed
}

// Snapshot returns a snapshot of the current state.
func (s *State) Snapshot() *Snapshot {
	snap := s.current
	return &snap
}
