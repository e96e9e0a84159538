package lead

import (
	"fmt"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/stackspindle/stackspindle/internal/kv"
)

// Leader is the stored leader key of a group.
type Leader struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
}

// held is a decoded value and the revision of its key.
type held[T any] struct {
	value    T
	revision int64
}

// View is an immutable snapshot of the fleet's keys in the store: instances, records and
// leaders of groups. Views share unchanged data through persistent maps, so that a new view
// costs only as much as has changed.
type View struct {
	*registry
	records    *immutable.Map[string, held[Record]]  // by group
	leaders    *immutable.Map[string, held[Leader]]  // by group
	led        *immutable.Map[string, []string]      // sorted names of the groups that an instance leads, by its name
	leaderless *immutable.Map[string, time.Duration] // when a group that has a record was first seen without a leader
}

// NewView returns the view of an empty store.
func NewView() *View {
	return &View{
		registry:   newRegistry(),
		records:    immutable.NewMap[string, held[Record]](nil),
		leaders:    immutable.NewMap[string, held[Leader]](nil),
		led:        immutable.NewMap[string, []string](nil),
		leaderless: immutable.NewMap[string, time.Duration](nil),
	}
}

// edit is a View under construction.
type edit struct {
	View
	now          time.Duration
	ownsRegistry bool                // registry is a private copy and may be modified
	instances    map[string]struct{} // names of instances whose keys have changed
	groups       map[string]struct{} // names of groups whose keys have changed
}

func (v *View) edit(now time.Duration) *edit {
	return &edit{View: *v, now: now, instances: make(map[string]struct{}), groups: make(map[string]struct{})}
}

// Apply returns the view after the events, which must be in the order of their revisions.
// Keys that do not belong to the fleet are ignored. A value that cannot be decoded is
// skipped, and the returned error names the last such key; the view is valid nevertheless.
func (v *View) Apply(now time.Duration, events []kv.Event) (*View, error) {
	next := v.edit(now)
	var failed error
	for _, e := range events {
		if err := next.apply(e); err != nil {
			failed = fmt.Errorf("key %s: %w", e.Key, err)
		}
	}
	return next.done(), failed
}

// Replace returns the view of a store that contains exactly these items. It keeps the times
// since which instances have been missing and groups without a leader. Errors are as for
// Apply.
func (v *View) Replace(now time.Duration, items []kv.Item) (*View, error) {
	next := NewView().edit(now)
	next.registry, next.ownsRegistry = v.registry.emptied(), true
	for name := range v.registry.instances {
		next.instances[name] = struct{}{}
	}
	for all := v.leaderless.Iterator(); !all.Done(); {
		group, since, _ := all.Next()
		next.leaderless = next.leaderless.Set(group, since)
		next.groups[group] = struct{}{}
	}
	var failed error
	for _, item := range items {
		if err := next.apply(kv.Event{Item: item}); err != nil {
			failed = fmt.Errorf("key %s: %w", item.Key, err)
		}
	}
	return next.done(), failed
}

func (e *edit) apply(event kv.Event) error {
	if name, ok := keyOf(event.Key, PrefixInstances); ok {
		return e.setInstance(name, event)
	}
	if name, ok := keyOf(event.Key, prefixAlive); ok {
		e.setAlive(name, event)
		return nil
	}
	if group, ok := keyOf(event.Key, prefixGroup); ok {
		return e.setRecord(group, event)
	}
	if group, ok := keyOf(event.Key, prefixLeader); ok {
		return e.setLeader(group, event)
	}
	return nil
}

// touch marks an instance as changed and returns a registry that may be modified.
func (e *edit) touch(name string) *registry {
	if !e.ownsRegistry {
		e.registry, e.ownsRegistry = e.registry.clone(), true
	}
	e.instances[name] = struct{}{}
	return e.registry
}

func (e *edit) setInstance(name string, event kv.Event) error {
	if event.Deleted {
		delete(e.touch(name).instances, name)
		return nil
	}
	entry, err := decode[Instance](event.Value)
	if err != nil {
		return err
	}
	e.touch(name).instances[name] = held[Instance]{value: entry, revision: event.Revision}
	return nil
}

func (e *edit) setAlive(name string, event kv.Event) {
	r := e.touch(name)
	if event.Deleted {
		delete(r.alive, name)
		return
	}
	r.alive[name] = string(event.Value)
}

func (e *edit) setRecord(group string, event kv.Event) error {
	var err error
	e.records, err = set(e.records, group, event)
	e.groups[group] = struct{}{}
	return err
}

func (e *edit) setLeader(group string, event kv.Event) error {
	previous, hadLeader := e.leaders.Get(group)
	leaders, err := set(e.leaders, group, event)
	if err != nil {
		return err
	}
	if hadLeader {
		e.unlead(previous.value.Instance, group)
	}
	e.leaders = leaders
	if current, hasLeader := leaders.Get(group); hasLeader {
		e.lead(current.value.Instance, group)
	}
	e.groups[group] = struct{}{}
	return nil
}

// lead adds a group to those that an instance leads.
func (e *edit) lead(name, group string) {
	groups, _ := e.led.Get(name)
	at, _ := slices.BinarySearch(groups, group)
	e.led = e.led.Set(name, slices.Insert(slices.Clone(groups), at, group))
}

// unlead removes a group from those that an instance leads.
func (e *edit) unlead(name, group string) {
	groups, _ := e.led.Get(name)
	rest := slices.DeleteFunc(slices.Clone(groups), func(other string) bool { return other == group })
	if len(rest) == 0 {
		e.led = e.led.Delete(name)
		return
	}
	e.led = e.led.Set(name, rest)
}

func set[T any](in *immutable.Map[string, held[T]], name string, e kv.Event) (*immutable.Map[string, held[T]], error) {
	if e.Deleted {
		return in.Delete(name), nil
	}
	value, err := decode[T](e.Value)
	if err != nil {
		return in, err
	}
	return in.Set(name, held[T]{value: value, revision: e.Revision}), nil
}

// done updates the times since which instances and leaders have been missing, and returns
// the finished view.
func (e *edit) done() *View {
	if e.ownsRegistry {
		e.registry.note(e.now, e.instances)
	}
	for group := range e.groups {
		_, hasRecord := e.records.Get(group)
		_, hasLeader := e.leaders.Get(group)
		_, noted := e.leaderless.Get(group)
		switch isLeaderless := hasRecord && !hasLeader; {
		case isLeaderless && !noted:
			e.leaderless = e.leaderless.Set(group, e.now)
		case !isLeaderless && noted:
			e.leaderless = e.leaderless.Delete(group)
		}
	}
	return &e.View
}

// Record returns the record of a group and its revision, 0 if there is none.
func (v *View) Record(group string) (Record, int64) {
	h, _ := v.records.Get(group)
	return h.value, h.revision
}

// Leader returns the leader of a group and the revision of its key, 0 if there is none.
func (v *View) Leader(group string) (Leader, int64) {
	h, _ := v.leaders.Get(group)
	return h.value, h.revision
}

// Led returns the groups that a process leads, sorted.
func (v *View) Led(name, incarnation string) []string {
	var led []string
	groups, _ := v.led.Get(name)
	for _, group := range groups {
		if leader, _ := v.Leader(group); leader.Incarnation == incarnation {
			led = append(led, group)
		}
	}
	return led
}

// AllLed reports whether all groups, whose number is given, have a leader whose process is
// not known to have ended.
func (v *View) AllLed(groups int) bool {
	return v.leaders.Len() >= groups && v.leaderless.Len() == 0 && !v.anyOrphaned()
}

// anyOrphaned reports whether the process of any leader is known to have ended.
func (v *View) anyOrphaned() bool {
	for all := v.led.Iterator(); !all.Done(); {
		_, groups, _ := all.Next()
		if slices.ContainsFunc(groups, v.Orphaned) {
			return true
		}
	}
	return false
}

// Orphaned reports whether the process of the group's leader is known to have ended,
// because another process has registered under the same instance name.
func (v *View) Orphaned(group string) bool {
	leader, revision := v.Leader(group)
	if revision == 0 {
		return false
	}
	current, registered := v.Instance(leader.Instance)
	return registered > 0 && current.Incarnation != leader.Incarnation
}

// Leaderless returns for how long a group that has a record has been without a leader, and
// whether it is.
func (v *View) Leaderless(now time.Duration, group string) (time.Duration, bool) {
	since, ok := v.leaderless.Get(group)
	return now - since, ok
}
