package instance

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/stackspindle/stackspindle/internal/etcd"
	"github.com/stackspindle/stackspindle/internal/findings"
	"github.com/stackspindle/stackspindle/internal/operator"
	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
	"github.com/stackspindle/stackspindle/internal/resource"
	"github.com/stackspindle/stackspindle/internal/rollout"
	"github.com/stackspindle/stackspindle/internal/timeline"
)

// List implements operator.Backend.
func (i *Instance) List(kind resource.Kind) []*resource.Resource {
	list := []*resource.Resource{}
	for _, e := range i.catalogue.Load().snapshot.Entries() {
		if e.Key.Kind != string(kind) || e.Deleted {
			continue
		}
		if r, err := decodeEntry(e); err == nil {
			list = append(list, r)
		}
	}
	return list
}

// Get implements operator.Backend.
func (i *Instance) Get(kind resource.Kind, name string) (*resource.Resource, error) {
	e, ok := i.catalogue.Load().snapshot.Get(rollout.Key{Kind: string(kind), Name: name})
	if !ok {
		return nil, fmt.Errorf("%s %s: %w", kind, name, operator.ErrNotFound)
	}
	return decodeEntry(e)
}

func decodeEntry(e rollout.Entry) (*resource.Resource, error) {
	var r resource.Resource
	if err := json.Unmarshal([]byte(e.Document), &r); err != nil {
		return nil, fmt.Errorf("%s: %w", e.Key, err)
	}
	r.Metadata.ResourceVersion = strconv.FormatInt(e.Revision, 10)
	return &r, nil
}

// Apply implements operator.Backend. It is an optimistic update: the version in the
// document must be the stored one. Without a version the resource must not exist.
func (i *Instance) Apply(ctx context.Context, r *resource.Resource) (*resource.Resource, error) {
	if err := i.checkReferences(r); err != nil {
		return nil, err
	}
	expected, err := parseVersion(r.Metadata.ResourceVersion)
	if err != nil {
		return nil, err
	}
	key := rollout.Key{Kind: string(r.Kind), Name: r.Metadata.Name}
	stored := *r
	stored.Status = nil
	stored.Metadata.ResourceVersion = ""
	stored.Metadata.WriteID = uuid.NewString()
	stored.Metadata.Generation = 1
	current, exists := i.catalogue.Load().snapshot.Get(key)
	if exists {
		if old, err := decodeEntry(current); err == nil {
			stored.Metadata.Generation = old.Metadata.Generation + 1
		}
	}
	return i.put(ctx, key, &stored, i.expectedRevision(key, expected))
}

// expectedRevision returns the revision that the store must hold for the write to succeed.
// If the resource must not exist, that is the revision of its tombstone, or 0 without one.
func (i *Instance) expectedRevision(key rollout.Key, expected int64) int64 {
	if expected != 0 {
		return expected
	}
	for _, e := range i.catalogue.Load().snapshot.Entries() {
		if e.Key == key && e.Deleted {
			return e.Revision
		}
	}
	return 0
}

func parseVersion(version string) (int64, error) {
	if version == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(version, 10, 64)
	if err != nil || n < 1 {
		return 0, findings.List{{Location: "metadata.resourceVersion", Message: fmt.Sprintf("%q is not a version", version)}}
	}
	return n, nil
}

// checkReferences reports credential references that are not in this instance's settings.
func (i *Instance) checkReferences(r *resource.Resource) error {
	var list findings.List
	if s := r.Service; s != nil && s.Credential != "" && i.settings.Credentials[s.Credential] == "" {
		list.Add("service.credential", "%q is not among this instance's credentials", s.Credential)
	}
	if d := r.Database; d != nil && d.Credential != "" && i.settings.Credentials[d.Credential] == "" {
		list.Add("database.credential", "%q is not among this instance's credentials", d.Credential)
	}
	return list.Err()
}

func (i *Instance) put(ctx context.Context, key rollout.Key, r *resource.Resource, expected int64) (*resource.Resource, error) {
	document := ""
	if r != nil {
		raw, err := json.Marshal(r)
		if err != nil {
			return nil, err
		}
		document = string(raw)
	}
	revision, err := i.store.Put(ctx, key, document, expected, func(found string) bool { return found == document })
	if err != nil {
		return nil, i.operatorError(err)
	}
	entry := rollout.Entry{Key: key, Document: document, Revision: revision, Deleted: r == nil}
	i.runOnControl(func(c *control) {
		c.inst.record(timeline.Event{Kind: "config-accepted", Text: fmt.Sprintf("%s accepted as revision %d", key, revision)})
		c.acceptWrite(entry)
	})
	if r == nil {
		return nil, nil
	}
	return decodeEntry(entry)
}

func (i *Instance) operatorError(err error) error {
	var conflict *etcd.ConflictError
	if errors.As(err, &conflict) {
		current := ""
		if conflict.Current.Revision > 0 && !conflict.Current.Deleted {
			current = strconv.FormatInt(conflict.Current.Revision, 10)
		}
		return &operator.ConflictError{Current: current}
	}
	if errors.Is(err, etcd.ErrOutcomeUnknown) {
		return fmt.Errorf("%w: %w", operator.ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%w: %w", operator.ErrStoreUnavailable, err)
}

// acceptWrite activates and pushes a write at once, without waiting for a watcher. The
// write is merged into the local snapshot only if it directly follows the snapshot's
// revision, since this instance may otherwise lack earlier changes. If it does not, the
// whole content of the store is loaded.
func (c *control) acceptWrite(e rollout.Entry) {
	current := c.inst.catalogue.Load().snapshot
	if e.Revision == current.Revision()+1 {
		c.setSnapshot(current.Merge(e.Revision, []rollout.Entry{e}))
		return
	}
	c.inst.spawn(func() {
		content, err := c.inst.store.Load(context.Background())
		if err == nil {
			_ = c.inst.applyContent(content) // a rejection is recorded on the time line
		}
	})
}

// Delete implements operator.Backend.
func (i *Instance) Delete(ctx context.Context, kind resource.Kind, name, version string) error {
	current, err := i.Get(kind, name)
	if err != nil {
		return err
	}
	expected, err := parseVersion(cmp.Or(version, current.Metadata.ResourceVersion))
	if err != nil {
		return err
	}
	_, err = i.put(ctx, rollout.Key{Kind: string(kind), Name: name}, nil, expected)
	return err
}

// Progress implements operator.Backend.
func (i *Instance) Progress(kind resource.Kind, name string, seen map[string]int64) (*operator.Progress, error) {
	r, err := i.Get(kind, name)
	if err != nil {
		return nil, err
	}
	wanted, err := parseVersion(r.Metadata.ResourceVersion)
	if err != nil {
		return nil, err
	}
	p := &operator.Progress{Resource: r}
	revisions := i.activeRevisions(wanted, seen)
	for instance, revision := range revisions {
		if revision < wanted {
			p.Lagging = append(p.Lagging, instance)
		}
	}
	slices.Sort(p.Lagging)
	p.Instances = len(revisions)
	p.InForce = len(p.Lagging) == 0
	r.Status = statusOf(r, p)
	return p, nil
}

func statusOf(r *resource.Resource, p *operator.Progress) *resource.Status {
	condition := resource.Condition{Type: "InForce", Status: "True", Reason: "AppliedEverywhere", Time: time.Now().UTC()}
	status := &resource.Status{ObservedGeneration: r.Metadata.Generation}
	if !p.InForce {
		condition.Status, condition.Reason = "False", "InstancesLag"
		condition.Message = fmt.Sprintf("not in force on %v", p.Lagging)
		status.ObservedGeneration = r.Metadata.Generation - 1
	}
	status.Conditions = []resource.Condition{condition}
	return status
}

// activeRevisions returns the active revision of each live instance. It probes the instances
// that have not confirmed the wanted revision according to seen, and updates seen. An instance
// that does not answer keeps its last known revision, and so counts as lagging.
func (i *Instance) activeRevisions(wanted int64, seen map[string]int64) map[string]int64 {
	revisions := map[string]int64{i.settings.Name: i.Revision()}
	var mu sync.Mutex
	i.forEachLive(func(name string) {
		mu.Lock()
		known := seen[name]
		revisions[name] = known
		mu.Unlock()
		if known >= wanted {
			return
		}
		reply, _, err := i.callProbe(name, &peerpb.ProbeRequest{From: i.settings.Name, Clock: uint64(i.hlc.Now())})
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			revisions[name] = reply.Revision
			seen[name] = reply.Revision
		}
	})
	return revisions
}

// forEachLive runs call concurrently for every other live instance and waits for all.
func (i *Instance) forEachLive(call func(name string)) {
	var wg sync.WaitGroup
	for _, l := range i.fleet.Load().live {
		if l.Name == i.settings.Name {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			call(l.Name)
		}()
	}
	wg.Wait()
}

// FleetTimeline implements operator.Backend. It merges the events of all live instances
// in the order of their clocks.
func (i *Instance) FleetTimeline(ctx context.Context, since timeline.Stamp) *operator.Timeline {
	lists := [][]timeline.Event{i.ring.Since(since)}
	merged := &operator.Timeline{}
	var mu sync.Mutex
	i.forEachLive(func(name string) {
		events, err := i.remoteEvents(ctx, name, since)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			merged.Missing = append(merged.Missing, name)
			return
		}
		lists = append(lists, events)
	})
	merged.Events = timeline.Merge(lists...)
	slices.Sort(merged.Missing)
	return merged
}

func (i *Instance) remoteEvents(ctx context.Context, name string, since timeline.Stamp) ([]timeline.Event, error) {
	p, err := i.peers.Peer(name)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := p.Timeline(ctx, &peerpb.TimelineRequest{Since: uint64(since)})
	if err != nil {
		return nil, err
	}
	events := make([]timeline.Event, 0, len(reply.Events))
	for _, e := range reply.Events {
		events = append(events, timeline.Event{
			Clock:    timeline.Stamp(e.Clock),
			Instance: e.Instance,
			Kind:     e.Kind,
			Group:    e.Group,
			Member:   e.Member,
			Term:     e.Term,
			Text:     e.Text,
		})
	}
	return events, nil
}

// Explain implements operator.Backend.
func (i *Instance) Explain(service, database, session, sql string) (*operator.Explanation, error) {
	s, err := i.Service(service, cmp.Or(database, service))
	if err != nil {
		return nil, err
	}
	class := i.classifier.Classify(sql)
	e := &operator.Explanation{Service: s.Name, Group: s.Group, Class: "write", Staleness: s.Staleness.String()}
	if reason := class.Refusal(); reason != "" {
		e.Class, e.Reason = "refused", reason+" cannot be served over shared connections"
		return e, nil
	}
	if class.ReadOnly() {
		e.Class = "read"
	}
	e.Owner, e.Term = i.dispatcher.Owner(s.Group)
	if e.Owner != i.settings.Name {
		e.Reason = "the owner chooses the member: ask it"
		return e, nil
	}
	if g := i.Local(s.Group); g != nil {
		choice := g.Explain(s.Name+"/"+session, class.ReadOnly(), s.Staleness)
		e.Primary, e.Member, e.Reason = choice.Primary, choice.Member, choice.Reason
		e.Floor, e.Required = choice.Floor, choice.Required
	}
	return e, nil
}
