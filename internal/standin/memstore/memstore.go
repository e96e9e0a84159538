// Package memstore is an in-memory stand-in for the platform's store. It injects the
// faults that the platform documents: rejected calls, writes whose answer is lost,
// compacted history and ended leases.
package memstore

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/stackspindle/stackspindle/internal/kv"
)

// ErrAnswerLost is returned by a commit whose answer is lost. The commit may have taken
// effect.
var ErrAnswerLost = errors.New("memstore: the answer was lost")

// Store is the state that all clients share. Leases do not expire by themselves;
// EndLease ends one.
type Store struct {
	mu             sync.Mutex // guards all below
	revision       int64
	compacted      int64 // events up to this revision are gone
	items          map[string]kv.Item
	events         []kv.Event
	leases         map[kv.LeaseID]bool
	nextLease      kv.LeaseID
	pendingWatches int           // number of pending watch calls
	changed        chan struct{} // closed and replaced at each change
}

// New returns an empty store.
func New() *Store {
	return &Store{items: make(map[string]kv.Item), leases: make(map[kv.LeaseID]bool), changed: make(chan struct{})}
}

// Put writes a key directly, as operators and members do. No fault applies.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(kv.Put{Key: key, Value: value})
	s.notifyWatches()
}

// Delete removes a key directly. No fault applies.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notifyWatches()
}

// Watching returns the number of pending watch calls.
func (s *Store) Watching() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pendingWatches
}

func (s *Store) addPendingWatches(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingWatches += n
}

// Compact drops the event history. Watches from earlier revisions fail with
// kv.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.events = nil
	s.notifyWatches()
}

// EndLease ends a lease and removes its keys, as when it expires.
func (s *Store) EndLease(id kv.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
}

// endLease is EndLease for callers that hold mu.
func (s *Store) endLease(id kv.LeaseID) {
	if !s.leases[id] {
		return
	}
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
	s.notifyWatches()
}

// put writes an item at the current revision. Callers of put, remove and notifyWatches
// hold mu and have incremented the revision.
func (s *Store) put(p kv.Put) {
	item := kv.Item{Key: p.Key, Value: slices.Clone(p.Value), Revision: s.revision, Lease: p.Lease}
	s.items[p.Key] = item
	s.events = append(s.events, kv.Event{Item: item})
}

// remove deletes an item, if it exists, at the current revision.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, kv.Event{Item: kv.Item{Key: key, Revision: s.revision}, Deleted: true})
}

// notifyWatches notifies pending watches of a change.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Faults are the faults injected into the calls of one client.
type Faults struct {
	Refuse     bool // every call fails without effect
	LoseWrites int  // number of next commits that run but whose answer is lost
}

// Client is one instance's client of the store, with its own faults. It implements
// kv.Store.
type Client struct {
	store *Store

	mu     sync.Mutex // guards faults
	faults Faults
}

// Client returns a new client without faults.
func (s *Store) Client() *Client { return &Client{store: s} }

// Set replaces the injected faults.
func (c *Client) Set(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

func (c *Client) unavailable() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.Refuse {
		return kv.ErrUnavailable
	}
	return nil
}

// losesAnswer reports whether the answer to this commit is lost, and counts it.
func (c *Client) losesAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.LoseWrites == 0 {
		return false
	}
	c.faults.LoseWrites--
	return true
}

// List implements kv.Store.
func (c *Client) List(_ context.Context, prefix string) ([]kv.Item, int64, error) {
	if err := c.unavailable(); err != nil {
		return nil, 0, err
	}
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []kv.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	return items, s.revision, nil
}

// Watch implements kv.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]kv.Event, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	c.store.addPendingWatches(1)
	defer c.store.addPendingWatches(-1)
	for {
		if err := c.unavailable(); err != nil {
			return nil, 0, err
		}
		events, revision, changed, err := c.store.eventsSince(prefix, after)
		if err != nil || len(events) > 0 {
			return events, revision, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// eventsSince returns the events under a prefix after a revision, the current revision, and
// a channel that is closed at the next change.
func (s *Store) eventsSince(prefix string, after int64) ([]kv.Event, int64, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted {
		return nil, 0, nil, kv.ErrCompacted
	}
	var events []kv.Event
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed, nil
}

// Get implements kv.Store.
func (c *Client) Get(_ context.Context, key string) (kv.Item, error) {
	if err := c.unavailable(); err != nil {
		return kv.Item{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if item, ok := c.store.items[key]; ok {
		return item, nil
	}
	return kv.Item{Key: key}, nil
}

// Commit implements kv.Store.
func (c *Client) Commit(_ context.Context, txn kv.Txn) (int64, error) {
	if err := c.unavailable(); err != nil {
		return 0, err
	}
	revision, err := c.store.commit(txn)
	if c.losesAnswer() {
		return 0, ErrAnswerLost
	}
	return revision, err
}

// commit applies a transaction if all its preconditions hold and its leases exist.
func (s *Store) commit(txn kv.Txn) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := &kv.ConflictError{}
	for _, e := range txn.Conditions {
		if s.items[e.Key].Revision != e.Revision {
			conflict.Items = append(conflict.Items, s.items[e.Key])
		}
	}
	if len(conflict.Items) > 0 {
		return 0, conflict
	}
	for _, p := range txn.Puts {
		if p.Lease != 0 && !s.leases[p.Lease] {
			return 0, kv.ErrLeaseExpired
		}
	}
	s.revision++
	for _, p := range txn.Puts {
		s.put(p)
	}
	for _, key := range txn.Deletes {
		s.remove(key)
	}
	s.notifyWatches()
	return s.revision, nil
}

// Grant implements kv.Store.
func (c *Client) Grant(_ context.Context, ttl time.Duration) (kv.Lease, error) {
	if err := c.unavailable(); err != nil {
		return kv.Lease{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.nextLease++
	c.store.leases[c.store.nextLease] = true
	return kv.Lease{ID: c.store.nextLease, TTL: ttl}, nil
}

// Renew implements kv.Store.
func (c *Client) Renew(_ context.Context, id kv.LeaseID) error {
	if err := c.unavailable(); err != nil {
		return err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if !c.store.leases[id] {
		return kv.ErrLeaseExpired
	}
	return nil
}

// Revoke implements kv.Store.
func (c *Client) Revoke(_ context.Context, id kv.LeaseID) error {
	if err := c.unavailable(); err != nil {
		return err
	}
	c.store.EndLease(id)
	return nil
}
