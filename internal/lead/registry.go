package lead

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/stackspindle/stackspindle/internal/kv"
	"github.com/stackspindle/stackspindle/internal/ownership"
)

// registry is what a view holds of the instances. Views of which only groups differ share it.
type registry struct {
	instances map[string]held[Instance] // by name
	alive     map[string]string         // incarnation by name
	living    []Instance                // those of them that are registered, by name
	missing   map[string]time.Duration  // since when a registered name is not alive
	joined    map[string]time.Duration  // when a registered name was first seen
	began     time.Duration             // when the first picture came; meaningful once joined is not empty
}

func newRegistry() *registry {
	return &registry{
		instances: make(map[string]held[Instance]), alive: make(map[string]string),
		missing: make(map[string]time.Duration), joined: make(map[string]time.Duration),
	}
}

func (r *registry) clone() *registry {
	return &registry{
		instances: maps.Clone(r.instances), alive: maps.Clone(r.alive), living: r.living,
		missing: maps.Clone(r.missing), joined: maps.Clone(r.joined), began: r.began,
	}
}

// emptied returns a registry without instances that remembers since when they were missing.
func (r *registry) emptied() *registry {
	next := r.clone()
	clear(next.instances)
	clear(next.alive)
	return next
}

// SameInstances reports whether two views show the same instances, as those do between which
// only groups have changed.
func (v *View) SameInstances(other *View) bool { return v.registry == other.registry }

// note keeps account of since when the instances of some names are there, and are not alive.
func (r *registry) note(now time.Duration, names map[string]struct{}) {
	r.living = r.listAlive()
	if len(r.joined) == 0 {
		r.began = now
	}
	for name := range names {
		_, known := r.instances[name]
		_, isAlive := r.alive[name]
		noteSince(r.joined, name, now, known)
		noteSince(r.missing, name, now, known && !isAlive)
	}
}

// noteSince notes since when a condition holds.
func noteSince(since map[string]time.Duration, name string, now time.Duration, holds bool) {
	_, noted := since[name]
	switch {
	case !holds:
		delete(since, name)
	case !noted:
		since[name] = now
	}
}

// Instance returns the entry of an instance with its revision.
func (r *registry) Instance(name string) (Instance, int64) {
	h := r.instances[name]
	return h.value, h.revision
}

// IsAlive reports whether the entry of a process is in the store on its lease.
func (r *registry) IsAlive(name, incarnation string) bool { return r.alive[name] == incarnation }

// Alive returns the instances whose lease holds, by name. It must not be changed.
func (r *registry) Alive() []Instance { return r.living }

// listAlive returns the instances whose lease holds, by name.
func (r *registry) listAlive() []Instance {
	alive := make([]Instance, 0, len(r.alive))
	for name := range r.alive {
		if h, ok := r.instances[name]; ok {
			alive = append(alive, h.value)
		}
	}
	slices.SortFunc(alive, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	return alive
}

// Entry is an instance's entry with its revision in the store.
type Entry struct {
	Instance
	revision int64
}

// Entry returns the entry of an instance, and whether it may hold grants.
func (r *registry) Entry(now time.Duration, name string) (Entry, bool) {
	h, known := r.instances[name]
	return Entry{Instance: h.value, revision: h.revision}, known && !r.lapsed(now, name)
}

// Entries returns the entries of all instances that may hold grants.
func (r *registry) Entries(now time.Duration) []Entry {
	var entries []Entry
	for name := range r.instances {
		if e, registered := r.Entry(now, name); registered {
			entries = append(entries, e)
		}
	}
	return entries
}

// lapsed reports whether an instance has not been alive for so long that its grants
// have lapsed: no answer of the store has confirmed them since, and attestations
// stand in for the store only so long.
func (r *registry) lapsed(now time.Duration, name string) bool {
	since, gone := r.missing[name]
	return gone && now-since > storelessLapsed
}

// Registered returns all instances that may hold grants.
func (r *registry) Registered(now time.Duration) []Instance {
	var registered []Instance
	for _, e := range r.Entries(now) {
		registered = append(registered, e.Instance)
	}
	return registered
}

// CountRegistered returns how many instances may hold grants.
func (r *registry) CountRegistered(now time.Duration) int {
	count := len(r.instances)
	for name := range r.missing {
		if r.lapsed(now, name) {
			count--
		}
	}
	return count
}

// youngShare is which share of the instances counts as having joined lately for one
// that has not followed the store for long enough to know: one in five. All that are
// registered may just have started together, and know of one another then.
const youngShare = 5

// Joined returns how many of the registered instances another one, which has not heard
// of the store for as long as attestations can stand in for it, may not know of.
func (r *registry) Joined(now time.Duration) int {
	if now-r.began < storelessLapsed {
		return len(r.joined) / youngShare
	}
	lately := 0
	for _, at := range r.joined {
		if now-at < storelessLapsed {
			lately++
		}
	}
	return lately
}

// MissingSince returns since when the process of an entry has not been alive.
func (r *registry) MissingSince(e Entry) (time.Duration, bool) {
	since, missing := r.missing[e.Name]
	return since, missing && r.instances[e.Name].revision == e.revision
}

// Forgettable returns the instances that have been gone for so long that their
// grants have lapsed, with the revisions of their entries. These are removed, so
// that processes which start later know it as well.
func (r *registry) Forgettable(now time.Duration) map[string]int64 {
	gone := make(map[string]int64)
	for name, since := range r.missing {
		if now-since > storelessLapsed {
			gone[name] = r.instances[name].revision
		}
	}
	return gone
}

// Names returns the names of all instances that are registered, in order.
func (r *registry) Names() []string { return slices.Sorted(maps.Keys(r.instances)) }

// Rank returns the place of an instance among those whose lease holds, for a key, 0
// for the first. One whose lease is gone comes last.
func (r *registry) Rank(key, name string) int { return r.RankUpTo(key, name, len(r.living)) }

// RankUpTo is Rank for one that needs to know only whether the place is below a number.
func (r *registry) RankUpTo(key, name string, most int) int {
	if _, alive := r.alive[name]; !alive {
		return min(len(r.living), most)
	}
	own, before := ownership.Score(key, name), 0
	for _, i := range r.living {
		if before >= most {
			break
		}
		if score := ownership.Score(key, i.Name); score > own || score == own && i.Name < name {
			before++
		}
	}
	return before
}

// Registration returns the transaction that registers an instance, with the sign
// that it is alive on a lease. Its condition keeps a late one from undoing a
// later process's.
func (r *registry) Registration(self Instance, lease kv.LeaseID) kv.Txn {
	known, revision := r.Instance(self.Name)
	txn := kv.Txn{
		Conditions: []kv.Condition{{Key: PrefixInstances + self.Name, Revision: revision}},
		Puts:       []kv.Put{{Key: prefixAlive + self.Name, Value: []byte(self.Incarnation), Lease: lease}},
	}
	if known != self {
		txn.Puts = append(txn.Puts, kv.Put{Key: PrefixInstances + self.Name, Value: encode(self)})
	}
	return txn
}

// Forgetting returns the transaction that removes an instance's entry.
func Forgetting(name string, revision int64) kv.Txn {
	return kv.Txn{
		Conditions: []kv.Condition{{Key: PrefixInstances + name, Revision: revision}, {Key: prefixAlive + name}},
		Delete:     []string{PrefixInstances + name},
	}
}
