// Package kv is the interface to the store that holds the durable state of all instances: keys with
// revisions, watches, conditional transactions and leases. The platform's client implements it, and
// so does the in-memory store of the tests.
package kv

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of a store. After any other error of a writing call the outcome is unknown: the call may
// have taken effect, or may still do so while its conditions hold.
var (
	// ErrUnavailable says that the store rejected the call and did nothing.
	ErrUnavailable = errors.New("the store refused the call")
	// ErrCompacted says that the requested history was compacted; list again.
	ErrCompacted = errors.New("the store's history does not reach back that far")
	// ErrLeaseExpired says that the lease has expired or was revoked.
	ErrLeaseExpired = errors.New("the lease is over")
)

// ConflictError says that a condition of a transaction did not hold and that nothing was written.
type ConflictError struct {
	Items []Item // current state of the conditions' keys
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the condition does not hold (%d keys as they are)", len(e.Items))
}

// LeaseID identifies a lease; 0 is none.
type LeaseID int64

// Item is a key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // of its last change
	Lease    LeaseID
}

// Event is a change of one key.
type Event struct {
	Item
	Deleted bool // Value is empty then
}

// Condition is a precondition of a transaction: the key was last changed at Revision, or is absent
// if that is 0.
type Condition struct {
	Key      string
	Revision int64
}

// Put sets a key.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID // the key is removed with this lease; 0: it stays
}

// Txn is a transaction: all of its writes take effect, or none if a condition fails.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Lease is a granted lease.
type Lease struct {
	ID  LeaseID
	TTL time.Duration
}

// Store is what an instance needs of the platform's store. Implementations are safe for concurrent
// use. Every call returns when its context ends.
type Store interface {
	// List returns all items under a prefix and the revision after which to watch. A change made
	// while the pages are read is seen by that watch.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	// Watch waits at most wait for changes after a revision. It returns them with the revision to
	// continue from.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
	// Get returns one item; absent keys have revision 0.
	Get(ctx context.Context, key string) (Item, error)
	// Commit runs a transaction and returns its revision.
	Commit(ctx context.Context, txn Txn) (int64, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends a lease by its full TTL from now.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}
