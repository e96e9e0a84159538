package instance

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/stackspindle/stackspindle/internal/etcd"
	"github.com/stackspindle/stackspindle/internal/rendezvous"
	"github.com/stackspindle/stackspindle/internal/rollout"
	"github.com/stackspindle/stackspindle/internal/timeline"
)

// Store is the interface to the platform's key-value service. etcd.Client implements it.
type Store interface {
	Load(ctx context.Context) (etcd.Content, error)
	Watch(ctx context.Context, after int64, changed func([]rollout.Entry)) error
	Put(ctx context.Context, key rollout.Key, document string, expected int64, isOwnWrite func(document string) bool) (int64, error)
	Calls() int64
}

// watchersPerDataCentre is the number of instances of a data centre watch the platform's
// key-value service. All others receive changes from their peers.
const watchersPerDataCentre = 2

// watcherCheckInterval is how often an instance checks whether it should watch the service.
const watcherCheckInterval = 250 * time.Millisecond

// isWatcher reports whether this instance is one of the watchers of its data centre.
func (i *Instance) isWatcher() bool {
	f := i.fleet.Load()
	var local []rendezvous.Instance
	for _, l := range f.live {
		if l.DataCentre == i.settings.DataCentre {
			local = append(local, l)
		}
	}
	ranking := rendezvous.Rank(rendezvous.Group{Name: "watch/" + i.settings.DataCentre}, local)
	return slices.Contains(ranking[:min(watchersPerDataCentre, len(ranking))], i.settings.Name)
}

// syncConfiguration keeps the configuration up to date from the platform's key-value service.
// A watcher loads and watches it, with exponential backoff between attempts. Any other
// instance loads it only until it has a first configuration.
func (i *Instance) syncConfiguration(ctx context.Context) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = 100 * time.Millisecond
	delay.MaxInterval = 5 * time.Second
	for ctx.Err() == nil {
		wait := watcherCheckInterval
		if i.isWatcher() || i.Revision() == 0 {
			started := i.now()
			i.setStoreReachable(i.loadAndWatch(ctx))
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

// loadAndWatch loads the whole configuration. On a watcher it then watches for changes until
// the watch fails or the instance is no longer a watcher.
func (i *Instance) loadAndWatch(ctx context.Context) error {
	content, err := i.store.Load(ctx)
	if err != nil {
		return err
	}
	if err := i.applyContent(content); err != nil {
		return err
	}
	i.setStoreReachable(nil)
	if !i.isWatcher() {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for i.isWatcher() && sleep(ctx, watcherCheckInterval) {
			continue
		}
		cancel()
	}()
	err = i.store.Watch(ctx, content.StoreRevision, func(entries []rollout.Entry) {
		i.runOnControl(func(c *control) {
			c.setSnapshot(i.catalogue.Load().snapshot.Merge(0, entries))
		})
	})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// applyContent activates the content of the service. It returns an error if the content is
// older than the active configuration.
func (i *Instance) applyContent(content etcd.Content) error {
	var applyErr error
	ran := i.runOnControl(func(c *control) {
		current := i.catalogue.Load().snapshot
		next, err := current.MergeContent(content.Revision, withRemovedInstances(current, content))
		if err != nil {
			applyErr = err
			c.recordStaleStore(err)
			return
		}
		c.staleStoreRecorded = false
		c.setSnapshot(next)
	})
	if !ran {
		return i.ctx.Err()
	}
	return applyErr
}

// withRemovedInstances returns the content's entries plus a tombstone for each instance that
// is no longer on the platform's list. The platform deletes the keys of such instances,
// whereas deleted resources leave a tombstone in the service.
func withRemovedInstances(current *rollout.Snapshot, content etcd.Content) []rollout.Entry {
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

// recordStaleStore records an event if the service holds older data than the active
// configuration. It does so once, until the service holds current data again.
func (c *control) recordStaleStore(err error) {
	if c.staleStoreRecorded {
		return
	}
	c.staleStoreRecorded = true
	var stale *rollout.StaleDataError
	if errors.As(err, &stale) {
		c.inst.record(timeline.Event{Kind: "store-behind", Text: "the platform's service holds older data, which is not applied: " + err.Error()})
	}
}

// setStoreReachable records whether the service is reachable, with an event on each change.
// err is the error of the last call to the service; nil means reachable.
func (i *Instance) setStoreReachable(err error) {
	reachable := err == nil
	if i.storeReachable.Swap(reachable) == reachable {
		return
	}
	if reachable {
		i.record(timeline.Event{Kind: "store-up", Text: "the platform's service answers"})
		return
	}
	i.record(timeline.Event{Kind: "store-down", Text: "the platform's service does not answer: " + err.Error()})
}
