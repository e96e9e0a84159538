package relay

import (
	"context"
	"fmt"
	"sync"

	"github.com/stackspindle/stackspindle/internal/connpool"
	"github.com/stackspindle/stackspindle/internal/member"
)

// breaker breaks work on a primary off: it ends the wait for a connection, or
// closes the one in use.
type workCanceller struct {
	cancelWait context.CancelFunc

	mu        sync.Mutex // guards the rest
	conn      *member.Shared
	cancelled bool
}

// trip breaks the work off. It may be called from any goroutine.
func (b *workCanceller) cancel() {
	b.cancelWait()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cancelled = true
	if b.conn != nil {
		b.conn.Kill()
	}
}

// guard puts a connection under the breaker. It reports false when the work was
// broken off before. Without a breaker there is nothing to break off.
func (b *workCanceller) attach(conn *member.Shared) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conn = conn
	return !b.cancelled
}

// cause returns why work that was broken off has failed, or the error itself.
func (b *workCanceller) cause(err error) error {
	if b == nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cancelled {
		return fmt.Errorf("broken off, since the primary is being changed: %w", err)
	}
	return err
}

// disarm takes the connection out of the breaker's reach.
func (b *workCanceller) detach() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conn = nil
}

// hold is a leased connection, under a breaker where it belongs to the primary.
type leasedConn struct {
	lease     *connpool.Lease[*member.Shared]
	canceller *workCanceller
}

// release returns the connection to its pool.
func (h *leasedConn) release() {
	h.canceller.detach()
	h.lease.Release()
}
