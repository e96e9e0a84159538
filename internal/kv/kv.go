// Package kv is the port to the store in which the fleet keeps what must last:
// keys with revisions, watches, conditional transactions and leases. The
// platform's adapter implements it, and so does the stand-in for tests.
package kv

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of a store. Any other error of a writing call means that the call may
// have taken effect, or may still do so while its condition holds.
var (
	// ErrUnavailable says that the store refused the call and did nothing.
	ErrUnavailable = errors.New("the store refused the call")
	// ErrCompacted says that the history asked for is gone; list again.
	ErrCompacted = errors.New("the store's history does not reach back that far")
	// ErrNoLease says that the lease is over.
	ErrNoLease = errors.New("the lease is over")
)

// ConflictError says that the condition of a transaction did not hold, so that
// nothing was done.
type ConflictError struct {
	Items []Item // the keys of the condition as they are
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the condition does not hold (%d keys as they are)", len(e.Items))
}

// LeaseID names a lease; 0 is none.
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
	Deleted bool // Value is empty
}

// Expect is a condition: the key's last change has this revision, 0: it is absent.
type Expect struct {
	Key      string
	Revision int64
}

// Put sets a key.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID // the key goes with it; 0: it stays
}

// Txn does all of its writes, or nothing when a condition fails.
type Txn struct {
	Expect []Expect
	Puts   []Put
	Delete []string
}

// Lease is a lease as granted.
type Lease struct {
	ID  LeaseID
	TTL time.Duration
}

// Store is what the fleet needs of the platform's store. Implementations are
// safe for concurrent use. Every call ends with its context.
type Store interface {
	// List returns all items under a prefix with the revision from which a watch
	// goes on. A change made while the pages are read is seen by that watch.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	// Watch waits at most wait for changes after a revision and returns them with
	// the revision to go on from.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
	// Get returns one item; absent keys have revision 0.
	Get(ctx context.Context, key string) (Item, error)
	// Commit runs a transaction and returns its revision.
	Commit(ctx context.Context, txn Txn) (int64, error)
	// Grant opens a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends a lease by its full time from now.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease with its keys.
	Revoke(ctx context.Context, id LeaseID) error
}
