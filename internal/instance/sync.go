package instance

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/stackspindle/stackspindle/internal/etcd"
	"github.com/stackspindle/stackspindle/internal/ownership"
	"github.com/stackspindle/stackspindle/internal/rollout"
	"github.com/stackspindle/stackspindle/internal/timeline"
)

// Store is the platform's key-value service, as far as instances use it.
type Store interface {
	Load(ctx context.Context) (etcd.Content, error)
	Watch(ctx context.Context, after int64, changed func([]rollout.Entry)) error
	Put(ctx context.Context, key rollout.Key, document string, expected int64, settled func(document string) bool) (int64, error)
	Calls() int64
}

// watchersPerDataCentre is how many instances of a data centre watch the
// platform's service. All others are told by their peers.
const watchersPerDataCentre = 2

// watcherCheck is how often an instance looks whether it should watch.
const watcherCheck = 250 * time.Millisecond

// watches reports whether this instance is one of the watchers.
func (i *Instance) watches() bool {
	f := i.fleet.Load()
	var near []ownership.Instance
	for _, l := range f.live {
		if l.DataCentre == i.settings.DataCentre {
			near = append(near, l)
		}
	}
	ranking := ownership.Rank(ownership.Group{Name: "watch/" + i.settings.DataCentre}, near)
	return slices.Contains(ranking[:min(watchersPerDataCentre, len(ranking))], i.settings.Name)
}

// follow keeps the configuration up to date: a watcher reads the service, any
// other instance asks it only until it has a first configuration.
func (i *Instance) follow(ctx context.Context) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = 100 * time.Millisecond
	delay.MaxInterval = 5 * time.Second
	for ctx.Err() == nil {
		wait := watcherCheck
		if i.watches() || i.Revision() == 0 {
			started := i.now()
			i.noteStore(i.readStore(ctx))
			if i.now()-started > delay.MaxInterval {
				delay.Reset()
			}
			wait = delay.NextBackOff()
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// readStore loads everything and, on a watcher, follows the changes until the
// watch breaks or the instance is no watcher any more.
func (i *Instance) readStore(ctx context.Context) error {
	content, err := i.store.Load(ctx)
	if err != nil {
		return err
	}
	if err := i.takeContent(content); err != nil {
		return err
	}
	i.noteStore(nil)
	if !i.watches() {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for i.watches() && pauseFor(ctx, watcherCheck) {
			continue
		}
		cancel()
	}()
	err = i.store.Watch(ctx, content.StoreRevision, func(entries []rollout.Entry) {
		i.do(func(c *control) {
			c.setSnapshot(i.catalogue.Load().snapshot.Merge(0, entries))
		})
	})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func pauseFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// takeContent puts what the service holds in force, unless it is older than what
// is in force already.
func (i *Instance) takeContent(content etcd.Content) error {
	var failed error
	ran := i.do(func(c *control) {
		current := i.catalogue.Load().snapshot
		next, err := current.Load(content.Revision, withVanished(current, content))
		if err != nil {
			failed = err
			c.noteOldData(err)
			return
		}
		c.oldNoted = false
		c.setSnapshot(next)
	})
	if !ran {
		return i.ctx.Err()
	}
	return failed
}

// withVanished adds the instances that the platform has taken off its list. It
// removes them outright, whereas resources leave tombstones.
func withVanished(current *rollout.Snapshot, content etcd.Content) []rollout.Entry {
	listed := make(map[rollout.Key]bool)
	entries := content.Entries
	for _, e := range entries {
		listed[e.Key] = true
	}
	for _, e := range current.Entries() {
		if e.Key.Kind != etcd.KindInstances || listed[e.Key] {
			continue
		}
		if !e.Deleted {
			e.Deleted, e.Document, e.Revision = true, "", content.StoreRevision
		}
		entries = append(entries, e)
	}
	return entries
}

// noteOldData reports once that the service holds less than what is in force.
func (c *control) noteOldData(err error) {
	if c.oldNoted {
		return
	}
	c.oldNoted = true
	var old *rollout.OldDataError
	if errors.As(err, &old) {
		c.inst.record(timeline.Event{Kind: "store-behind", Text: "the platform's service holds older data, which is not applied: " + err.Error()})
	}
}

// noteStore keeps whether the service answers and tells when that changes.
func (i *Instance) noteStore(err error) {
	reachable := err == nil
	if i.reachable.Swap(reachable) == reachable {
		return
	}
	if reachable {
		i.record(timeline.Event{Kind: "store-up", Text: "the platform's service answers"})
		return
	}
	i.record(timeline.Event{Kind: "store-down", Text: "the platform's service does not answer: " + err.Error()})
}
