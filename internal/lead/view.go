package lead

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/stackspindle/stackspindle/internal/kv"
	"github.com/stackspindle/stackspindle/internal/ownership"
)

// Leader says who leads a group.
type Leader struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
}

// held is a decoded document with the revision of its key.
type held[T any] struct {
	value    T
	revision int64
}

// View is what the store holds of the fleet's own keys. Views are copied on
// change, so that one that was handed out stays as it is.
type View struct {
	instances  map[string]held[Instance] // by name
	alive      map[string]string         // incarnation by name
	living     []Instance                // those of them that are registered, by name
	missing    map[string]time.Duration  // since when a registered name is not alive
	records    map[string]held[Record]   // by group
	leaders    map[string]held[Leader]   // by group
	leaderless map[string]time.Duration  // since when a group with a record has no leader
	joined     map[string]time.Duration  // when a registered name was first seen
	began      time.Duration             // when the first picture came; meaningful once joined is not empty
}

// NewView returns the view of an empty store.
func NewView() *View {
	return &View{
		instances:  make(map[string]held[Instance]),
		alive:      make(map[string]string),
		missing:    make(map[string]time.Duration),
		records:    make(map[string]held[Record]),
		leaders:    make(map[string]held[Leader]),
		leaderless: make(map[string]time.Duration),
		joined:     make(map[string]time.Duration),
	}
}

func (v *View) clone() *View {
	return &View{
		instances:  maps.Clone(v.instances),
		alive:      maps.Clone(v.alive),
		missing:    maps.Clone(v.missing),
		records:    maps.Clone(v.records),
		leaders:    maps.Clone(v.leaders),
		leaderless: maps.Clone(v.leaderless),
		joined:     maps.Clone(v.joined),
		began:      v.began,
	}
}

// Apply returns the view after some changes, which must be in the order of their
// revisions. Keys of others are left out. A document that cannot be decoded is
// left out too, and named in the error.
func (v *View) Apply(now time.Duration, events []kv.Event) (*View, error) {
	next := v.clone()
	var failed error
	for _, e := range events {
		if err := next.apply(e); err != nil {
			failed = fmt.Errorf("key %s: %w", e.Key, err)
		}
	}
	next.note(now)
	return next, failed
}

// Replace returns the view of a store that holds just these items.
func (v *View) Replace(now time.Duration, items []kv.Item) (*View, error) {
	next := NewView()
	next.missing, next.leaderless = maps.Clone(v.missing), maps.Clone(v.leaderless)
	next.joined, next.began = maps.Clone(v.joined), v.began
	var failed error
	for _, item := range items {
		if err := next.apply(kv.Event{Item: item}); err != nil {
			failed = fmt.Errorf("key %s: %w", item.Key, err)
		}
	}
	next.note(now)
	return next, failed
}

func (v *View) apply(e kv.Event) error {
	if name, ok := keyOf(e.Key, prefixInstance); ok {
		return set(v.instances, name, e)
	}
	if group, ok := keyOf(e.Key, prefixGroup); ok {
		return set(v.records, group, e)
	}
	if group, ok := keyOf(e.Key, prefixLeader); ok {
		return set(v.leaders, group, e)
	}
	if name, ok := keyOf(e.Key, prefixAlive); ok {
		if e.Deleted {
			delete(v.alive, name)
		} else {
			v.alive[name] = string(e.Value)
		}
	}
	return nil
}

func set[T any](into map[string]held[T], name string, e kv.Event) error {
	if e.Deleted {
		delete(into, name)
		return nil
	}
	value, err := decode[T](e.Value)
	if err != nil {
		return err
	}
	into[name] = held[T]{value: value, revision: e.Revision}
	return nil
}

// note keeps account of since when something is missing.
func (v *View) note(now time.Duration) {
	v.living = v.listAlive()
	if len(v.joined) == 0 {
		v.began = now
	}
	noteSince(now, v.joined, v.instances, func(string) bool { return true })
	noteSince(now, v.missing, v.instances, func(name string) bool { _, ok := v.alive[name]; return !ok })
	noteSince(now, v.leaderless, v.records, func(group string) bool { _, ok := v.leaders[group]; return !ok })
}

// noteSince notes for each key of a map since when a condition holds.
func noteSince[T any](now time.Duration, since map[string]time.Duration, keys map[string]T, holds func(string) bool) {
	for key := range since {
		if _, ok := keys[key]; !ok || !holds(key) {
			delete(since, key)
		}
	}
	for key := range keys {
		if _, noted := since[key]; !noted && holds(key) {
			since[key] = now
		}
	}
}

// Record returns the record of a group with its revision, 0 when there is none.
func (v *View) Record(group string) (Record, int64) {
	h := v.records[group]
	return h.value, h.revision
}

// Leader returns who leads a group, with the revision of the key; 0: nobody.
func (v *View) Leader(group string) (Leader, int64) {
	h := v.leaders[group]
	return h.value, h.revision
}

// Leads reports whether a process leads any group.
func (v *View) Leads(name, incarnation string) bool {
	for _, h := range v.leaders {
		if h.value.Instance == name && h.value.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// Orphaned reports whether the leader's process is known to have ended: another
// has registered under its name.
func (v *View) Orphaned(group string) bool {
	leader, revision := v.Leader(group)
	if revision == 0 {
		return false
	}
	now, known := v.Instance(leader.Instance)
	return known > 0 && now.Incarnation != leader.Incarnation
}

// Leaderless returns for how long a group with a record has had no leader.
func (v *View) Leaderless(now time.Duration, group string) (time.Duration, bool) {
	since, ok := v.leaderless[group]
	return now - since, ok
}

// Instance returns the entry of an instance with its revision.
func (v *View) Instance(name string) (Instance, int64) {
	h := v.instances[name]
	return h.value, h.revision
}

// IsAlive reports whether the entry of a process is in the store on its lease.
func (v *View) IsAlive(name, incarnation string) bool { return v.alive[name] == incarnation }

// Alive returns the instances whose lease holds, by name. It must not be changed.
func (v *View) Alive() []Instance { return v.living }

// listAlive returns the instances whose lease holds, by name.
func (v *View) listAlive() []Instance {
	alive := make([]Instance, 0, len(v.alive))
	for name := range v.alive {
		if h, ok := v.instances[name]; ok {
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
func (v *View) Entry(now time.Duration, name string) (Entry, bool) {
	h, known := v.instances[name]
	return Entry{Instance: h.value, revision: h.revision}, known && !v.lapsed(now, name)
}

// Entries returns the entries of all instances that may hold grants.
func (v *View) Entries(now time.Duration) []Entry {
	var entries []Entry
	for name := range v.instances {
		if e, registered := v.Entry(now, name); registered {
			entries = append(entries, e)
		}
	}
	return entries
}

// lapsed reports whether an instance has not been alive for so long that its grants
// have lapsed: no answer of the store has confirmed them since, and attestations
// stand in for the store only so long.
func (v *View) lapsed(now time.Duration, name string) bool {
	since, gone := v.missing[name]
	return gone && now-since > storelessLapsed
}

// Registered returns all instances that may hold grants.
func (v *View) Registered(now time.Duration) []Instance {
	var registered []Instance
	for _, e := range v.Entries(now) {
		registered = append(registered, e.Instance)
	}
	return registered
}

// youngShare is which share of the instances counts as having joined lately for one
// that has not followed the store for long enough to know: one in five. All that are
// registered may just have started together, and know of one another then.
const youngShare = 5

// Joined returns how many of the registered instances another one, which has not heard
// of the store for as long as attestations can stand in for it, may not know of.
func (v *View) Joined(now time.Duration) int {
	if now-v.began < storelessLapsed {
		return len(v.joined) / youngShare
	}
	lately := 0
	for _, at := range v.joined {
		if now-at < storelessLapsed {
			lately++
		}
	}
	return lately
}

// MissingSince returns since when the process of an entry has not been alive.
func (v *View) MissingSince(e Entry) (time.Duration, bool) {
	since, missing := v.missing[e.Name]
	return since, missing && v.instances[e.Name].revision == e.revision
}

// Forgettable returns the instances that have been gone for so long that their
// grants have lapsed, with the revisions of their entries. These are removed, so
// that processes which start later know it as well.
func (v *View) Forgettable(now time.Duration) map[string]int64 {
	gone := make(map[string]int64)
	for name, since := range v.missing {
		if now-since > storelessLapsed {
			gone[name] = v.instances[name].revision
		}
	}
	return gone
}

// Names returns the names of all instances that are registered, in order.
func (v *View) Names() []string { return slices.Sorted(maps.Keys(v.instances)) }

// Rank returns the place of an instance among those whose lease holds, for a key, 0
// for the first. One whose lease is gone comes last.
func (v *View) Rank(key, name string) int { return v.RankUpTo(key, name, len(v.living)) }

// RankUpTo is Rank for one that needs to know only whether the place is below a number.
func (v *View) RankUpTo(key, name string, most int) int {
	if _, alive := v.alive[name]; !alive {
		return min(len(v.living), most)
	}
	own, before := ownership.Score(key, name), 0
	for _, i := range v.living {
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
func (v *View) Registration(self Instance, lease kv.LeaseID) kv.Txn {
	known, revision := v.Instance(self.Name)
	txn := kv.Txn{
		Expect: []kv.Expect{{Key: prefixInstance + self.Name, Revision: revision}},
		Puts:   []kv.Put{{Key: prefixAlive + self.Name, Value: []byte(self.Incarnation), Lease: lease}},
	}
	if known != self {
		txn.Puts = append(txn.Puts, kv.Put{Key: prefixInstance + self.Name, Value: encode(self)})
	}
	return txn
}

// Forgetting returns the transaction that removes an instance's entry.
func Forgetting(name string, revision int64) kv.Txn {
	return kv.Txn{
		Expect: []kv.Expect{{Key: prefixInstance + name, Revision: revision}, {Key: prefixAlive + name}},
		Delete: []string{prefixInstance + name},
	}
}
