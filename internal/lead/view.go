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

// versioned is a decoded value and the revision of its key.
type versioned[T any] struct {
	value    T
	revision int64
}

// View is an immutable snapshot of the fleet's keys in the store: instances, records and
// leaders of groups. Views share unchanged data through persistent maps, so that a new view
// costs only as much as has changed.
type View struct {
	*registry
	records         *immutable.Map[string, versioned[Record]] // by group
	leaders         *immutable.Map[string, versioned[Leader]] // by group
	groupsByLeader  *immutable.Map[string, []string]          // sorted names of the groups that an instance leads, by its name
	leaderlessSince *immutable.Map[string, time.Duration]     // when a group that has a record was first seen without a leader
}

// NewView returns the view of an empty store.
func NewView() *View {
	return &View{
		registry:        newRegistry(),
		records:         immutable.NewMap[string, versioned[Record]](nil),
		leaders:         immutable.NewMap[string, versioned[Leader]](nil),
		groupsByLeader:  immutable.NewMap[string, []string](nil),
		leaderlessSince: immutable.NewMap[string, time.Duration](nil),
	}
}

// viewBuilder is a View under construction.
type viewBuilder struct {
	View
	now              time.Duration
	ownsRegistry     bool                // registry is a private copy and may be modified
	changedInstances map[string]struct{} // names of instances whose keys have changed
	changedGroups    map[string]struct{} // names of groups whose keys have changed
}

func (v *View) builder(now time.Duration) *viewBuilder {
	return &viewBuilder{View: *v, now: now, changedInstances: make(map[string]struct{}), changedGroups: make(map[string]struct{})}
}

// Apply returns the view after the events, which must be in the order of their revisions.
// Keys that do not belong to the fleet are ignored. A value that cannot be decoded is
// skipped, and the returned error names the last such key; the view is valid nevertheless.
func (v *View) Apply(now time.Duration, events []kv.Event) (*View, error) {
	next := v.builder(now)
	var failed error
	for _, e := range events {
		if err := next.apply(e); err != nil {
			failed = fmt.Errorf("key %s: %w", e.Key, err)
		}
	}
	return next.finish(), failed
}

// Replace returns the view of a store that contains exactly these items. It keeps the times
// since which instances have been missing and groups without a leader. Errors are as for
// Apply.
func (v *View) Replace(now time.Duration, items []kv.Item) (*View, error) {
	next := NewView().builder(now)
	next.registry, next.ownsRegistry = v.registry.withoutInstances(), true
	for name := range v.registry.instances {
		next.changedInstances[name] = struct{}{}
	}
	for all := v.leaderlessSince.Iterator(); !all.Done(); {
		group, since, _ := all.Next()
		next.leaderlessSince = next.leaderlessSince.Set(group, since)
		next.changedGroups[group] = struct{}{}
	}
	var failed error
	for _, item := range items {
		if err := next.apply(kv.Event{Item: item}); err != nil {
			failed = fmt.Errorf("key %s: %w", item.Key, err)
		}
	}
	return next.finish(), failed
}

func (b *viewBuilder) apply(event kv.Event) error {
	if name, ok := trimKeyPrefix(event.Key, PrefixInstances); ok {
		return b.setInstance(name, event)
	}
	if name, ok := trimKeyPrefix(event.Key, prefixAlive); ok {
		b.setAlive(name, event)
		return nil
	}
	if group, ok := trimKeyPrefix(event.Key, prefixGroup); ok {
		return b.setRecord(group, event)
	}
	if group, ok := trimKeyPrefix(event.Key, prefixLeader); ok {
		return b.setLeader(group, event)
	}
	return nil
}

// changeInstance marks an instance as changed and returns a registry that may be modified.
func (b *viewBuilder) changeInstance(name string) *registry {
	if !b.ownsRegistry {
		b.registry, b.ownsRegistry = b.registry.clone(), true
	}
	b.changedInstances[name] = struct{}{}
	return b.registry
}

func (b *viewBuilder) setInstance(name string, event kv.Event) error {
	if event.Deleted {
		delete(b.changeInstance(name).instances, name)
		return nil
	}
	entry, err := decode[Instance](event.Value)
	if err != nil {
		return err
	}
	b.changeInstance(name).instances[name] = versioned[Instance]{value: entry, revision: event.Revision}
	return nil
}

func (b *viewBuilder) setAlive(name string, event kv.Event) {
	r := b.changeInstance(name)
	if event.Deleted {
		delete(r.aliveIncarnations, name)
		return
	}
	r.aliveIncarnations[name] = string(event.Value)
}

func (b *viewBuilder) setRecord(group string, event kv.Event) error {
	var err error
	b.records, err = setOrDelete(b.records, group, event)
	b.changedGroups[group] = struct{}{}
	return err
}

func (b *viewBuilder) setLeader(group string, event kv.Event) error {
	previous, hadLeader := b.leaders.Get(group)
	leaders, err := setOrDelete(b.leaders, group, event)
	if err != nil {
		return err
	}
	if hadLeader {
		b.removeLedGroup(previous.value.Instance, group)
	}
	b.leaders = leaders
	if current, hasLeader := leaders.Get(group); hasLeader {
		b.addLedGroup(current.value.Instance, group)
	}
	b.changedGroups[group] = struct{}{}
	return nil
}

// addLedGroup adds a group to those that an instance leads.
func (b *viewBuilder) addLedGroup(name, group string) {
	groups, _ := b.groupsByLeader.Get(name)
	at, _ := slices.BinarySearch(groups, group)
	b.groupsByLeader = b.groupsByLeader.Set(name, slices.Insert(slices.Clone(groups), at, group))
}

// removeLedGroup removes a group from those that an instance leads.
func (b *viewBuilder) removeLedGroup(name, group string) {
	groups, _ := b.groupsByLeader.Get(name)
	rest := slices.DeleteFunc(slices.Clone(groups), func(other string) bool { return other == group })
	if len(rest) == 0 {
		b.groupsByLeader = b.groupsByLeader.Delete(name)
		return
	}
	b.groupsByLeader = b.groupsByLeader.Set(name, rest)
}

func setOrDelete[T any](in *immutable.Map[string, versioned[T]], name string, e kv.Event) (*immutable.Map[string, versioned[T]], error) {
	if e.Deleted {
		return in.Delete(name), nil
	}
	value, err := decode[T](e.Value)
	if err != nil {
		return in, err
	}
	return in.Set(name, versioned[T]{value: value, revision: e.Revision}), nil
}

// finish updates the times since which instances and leaders have been missing, and returns
// the finished view.
func (b *viewBuilder) finish() *View {
	if b.ownsRegistry {
		b.registry.updateTimes(b.now, b.changedInstances)
	}
	for group := range b.changedGroups {
		_, hasRecord := b.records.Get(group)
		_, hasLeader := b.leaders.Get(group)
		_, tracked := b.leaderlessSince.Get(group)
		switch isLeaderless := hasRecord && !hasLeader; {
		case isLeaderless && !tracked:
			b.leaderlessSince = b.leaderlessSince.Set(group, b.now)
		case !isLeaderless && tracked:
			b.leaderlessSince = b.leaderlessSince.Delete(group)
		}
	}
	return &b.View
}

// Record returns the record of a group and its revision, 0 if there is none.
func (v *View) Record(group string) (Record, int64) {
	stored, _ := v.records.Get(group)
	return stored.value, stored.revision
}

// Leader returns the leader of a group and the revision of its key, 0 if there is none.
func (v *View) Leader(group string) (Leader, int64) {
	stored, _ := v.leaders.Get(group)
	return stored.value, stored.revision
}

// GroupsLedBy returns the groups that a process leads, sorted.
func (v *View) GroupsLedBy(name, incarnation string) []string {
	var result []string
	groups, _ := v.groupsByLeader.Get(name)
	for _, group := range groups {
		if leader, _ := v.Leader(group); leader.Incarnation == incarnation {
			result = append(result, group)
		}
	}
	return result
}

// AllLed reports whether all groups, whose number is given, have a leader whose process is
// not known to have ended.
func (v *View) AllLed(groups int) bool {
	return v.leaders.Len() >= groups && v.leaderlessSince.Len() == 0 && !v.anyLeaderEnded()
}

// anyLeaderEnded reports whether the process of any leader is known to have ended.
func (v *View) anyLeaderEnded() bool {
	for all := v.groupsByLeader.Iterator(); !all.Done(); {
		_, groups, _ := all.Next()
		if slices.ContainsFunc(groups, v.LeaderEnded) {
			return true
		}
	}
	return false
}

// LeaderEnded reports whether the process of the group's leader is known to have ended,
// because another process has registered under the same instance name.
func (v *View) LeaderEnded(group string) bool {
	leader, revision := v.Leader(group)
	if revision == 0 {
		return false
	}
	current, registered := v.Instance(leader.Instance)
	return registered > 0 && current.Incarnation != leader.Incarnation
}

// Leaderless returns for how long a group that has a record has been without a leader, and
// false if it has one.
func (v *View) Leaderless(now time.Duration, group string) (time.Duration, bool) {
	since, ok := v.leaderlessSince.Get(group)
	return now - since, ok
}
