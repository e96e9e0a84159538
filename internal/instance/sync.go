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

// Store is the interface to the platform's key-value service. etcd.Client implements it.
type Store interface {
	Load(ctx context.Context) (etcd.Content, error)
	Watch(ctx context.Context, after int64, changed func([]rollout.Entry)) error
	Put(ctx context.Context, key rollout.Key, document string, expected int64, settled func(document string) bool) (int64, error)
	Calls() int64
}

// watchersPerDataCentre is how many instances of a data centre watch the platform's
// key-value service. All others receive changes from their peers.
const watchersPerDataCentre = 2

// watcherCheck is how often an instance checks whether it should watch the service.
const watcherCheck = 250 * time.Millisecond

// watches reports whether this instance is one of the watchers of its data centre.
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

// follow keeps the configuration up to date from the platform's key-value service. A
// watcher loads and watches it, with exponential backoff between attempts. Any other
// instance loads it only until it has a first configuration.
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

// readStore loads the whole configuration. On a watcher it then watches for changes until
// the watch fails or the instance is no longer a watcher.
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

// takeContent activates the content of the service. It returns an error if the content is
// older than the active configuration.
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

// withVanished returns the content's entries plus a tombstone for each instance that is no
// longer on the platform's list. The platform deletes the keys of such instances, whereas
// deleted resources leave a tombstone in the service.
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

// noteOldData records an event if the service holds older data than the active
// configuration. It does so once, until the service holds current data again.
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

// noteStore records whether the service is reachable, with an event on each change.
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
