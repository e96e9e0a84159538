package lead

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/stackspindle/stackspindle/internal/kv"
	"github.com/stackspindle/stackspindle/internal/rendezvous"
)

// registry is the part of a View about instances. Views that differ only in groups share
// it.
type registry struct {
	instances         map[string]versioned[Instance] // entries by name
	aliveIncarnations map[string]string              // incarnation by name, of instances whose lease is valid
	aliveInstances    []Instance                     // the alive instances that are registered, ordered by name
	missingSince      map[string]time.Duration       // when a registered name was first seen without a valid lease
	joinedAt          map[string]time.Duration       // when a registered name was first seen
	followedSince     time.Duration                  // when the first snapshot was applied; meaningful once joinedAt is not empty
}

func newRegistry() *registry {
	return &registry{
		instances: make(map[string]versioned[Instance]), aliveIncarnations: make(map[string]string),
		missingSince: make(map[string]time.Duration), joinedAt: make(map[string]time.Duration),
	}
}

func (r *registry) clone() *registry {
	return &registry{
		instances: maps.Clone(r.instances), aliveIncarnations: maps.Clone(r.aliveIncarnations), aliveInstances: r.aliveInstances,
		missingSince: maps.Clone(r.missingSince), joinedAt: maps.Clone(r.joinedAt), followedSince: r.followedSince,
	}
}

// withoutInstances returns a registry without instances that keeps missingSince and joinedAt.
func (r *registry) withoutInstances() *registry {
	next := r.clone()
	clear(next.instances)
	clear(next.aliveIncarnations)
	return next
}

// SameInstances reports whether two views share the same registry, so that only groups can
// differ between them.
func (v *View) SameInstances(other *View) bool { return v.registry == other.registry }

// updateTimes updates joinedAt and missingSince for the given names, and the list of alive
// instances.
func (r *registry) updateTimes(now time.Duration, names map[string]struct{}) {
	r.aliveInstances = r.listAlive()
	if len(r.joinedAt) == 0 {
		r.followedSince = now
	}
	for name := range names {
		_, known := r.instances[name]
		_, isAlive := r.aliveIncarnations[name]
		trackSince(r.joinedAt, name, now, known)
		trackSince(r.missingSince, name, now, known && !isAlive)
	}
}

// trackSince sets since[name] to now if the condition has just begun to hold, and deletes it
// if it does not hold.
func trackSince(since map[string]time.Duration, name string, now time.Duration, holds bool) {
	_, tracked := since[name]
	switch {
	case !holds:
		delete(since, name)
	case !tracked:
		since[name] = now
	}
}

// Instance returns the entry of an instance and its revision, 0 if there is none.
func (r *registry) Instance(name string) (Instance, int64) {
	stored := r.instances[name]
	return stored.value, stored.revision
}

// IsAlive reports whether the lease of this process is valid.
func (r *registry) IsAlive(name, incarnation string) bool {
	return r.aliveIncarnations[name] == incarnation
}

// Alive returns the registered instances whose lease is valid, ordered by name. The caller
// must not modify the slice.
func (r *registry) Alive() []Instance { return r.aliveInstances }

// listAlive returns the registered instances whose lease is valid, ordered by name.
func (r *registry) listAlive() []Instance {
	alive := make([]Instance, 0, len(r.aliveIncarnations))
	for name := range r.aliveIncarnations {
		if stored, ok := r.instances[name]; ok {
			alive = append(alive, stored.value)
		}
	}
	slices.SortFunc(alive, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	return alive
}

// Entry is the entry of an instance and its revision in the store.
type Entry struct {
	Instance
	revision int64
}

// Entry returns the entry of an instance, and whether it may hold grants.
func (r *registry) Entry(now time.Duration, name string) (Entry, bool) {
	stored, known := r.instances[name]
	return Entry{Instance: stored.value, revision: stored.revision}, known && !r.hasLapsed(now, name)
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

// hasLapsed reports whether an instance has been without a lease for so long that its grants
// have lapsed: since its lease ended no answer of the store has confirmed them, and
// attestations can replace the store only for AttestedUseLimit.
func (r *registry) hasLapsed(now time.Duration, name string) bool {
	since, missing := r.missingSince[name]
	return missing && now-since > attestedUseLapseTime
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
	for name := range r.missingSince {
		if r.hasLapsed(now, name) {
			count--
		}
	}
	return count
}

// assumedJoinedDivisor is the divisor for the share of the instances that is assumed to
// have joined recently, by an instance that has not followed the store for long enough to
// know: one in five. The share is not larger because all registered instances may have just
// started together, and then they know of one another.
const assumedJoinedDivisor = 5

// RecentlyJoined returns how many of the registered instances may be unknown to an instance whose
// last answer of the store is as old as attestations permit.
func (r *registry) RecentlyJoined(now time.Duration) int {
	if now-r.followedSince < attestedUseLapseTime {
		return len(r.joinedAt) / assumedJoinedDivisor
	}
	recent := 0
	for _, at := range r.joinedAt {
		if now-at < attestedUseLapseTime {
			recent++
		}
	}
	return recent
}

// MissingSince returns since when the process of an entry has been without a lease, and
// false if it has one or a newer entry has replaced this one under the same name.
func (r *registry) MissingSince(e Entry) (time.Duration, bool) {
	since, missing := r.missingSince[e.Name]
	return since, missing && r.instances[e.Name].revision == e.revision
}

// LapsedEntries returns the instances that have been without a lease for so long that their
// grants have lapsed, with the revisions of their entries. These entries are to be deleted,
// so that processes that start later need not wait for the same grants again.
func (r *registry) LapsedEntries(now time.Duration) map[string]int64 {
	lapsed := make(map[string]int64)
	for name, since := range r.missingSince {
		if now-since > attestedUseLapseTime {
			lapsed[name] = r.instances[name].revision
		}
	}
	return lapsed
}

// Names returns the names of all registered instances, sorted.
func (r *registry) Names() []string { return slices.Sorted(maps.Keys(r.instances)) }

// Rank returns the rank of an instance for a key among the alive instances, by rendezvous
// hashing. 0 is the first. An instance without a lease ranks last.
func (r *registry) Rank(key, name string) int { return r.RankUpTo(key, name, len(r.aliveInstances)) }

// RankUpTo returns the smaller of Rank and limit. It stops counting at limit, which makes
// it cheaper.
func (r *registry) RankUpTo(key, name string, limit int) int {
	if _, alive := r.aliveIncarnations[name]; !alive {
		return min(len(r.aliveInstances), limit)
	}
	own, before := rendezvous.Score(key, name), 0
	for _, i := range r.aliveInstances {
		if before >= limit {
			break
		}
		if score := rendezvous.Score(key, i.Name); score > own || score == own && i.Name < name {
			before++
		}
	}
	return before
}

// RegistrationTxn returns the transaction that registers an instance and marks it as alive
// under its lease. The transaction is conditional, so that a delayed one cannot overwrite
// the registration of a later process with the same name.
func (r *registry) RegistrationTxn(self Instance, lease kv.LeaseID) kv.Txn {
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

// RemovalTxn returns the transaction that deletes the entry of an instance, unless the
// entry has changed or the instance is alive again.
func RemovalTxn(name string, revision int64) kv.Txn {
	return kv.Txn{
		Conditions: []kv.Condition{{Key: PrefixInstances + name, Revision: revision}, {Key: prefixAlive + name}},
		Deletes:    []string{PrefixInstances + name},
	}
}
