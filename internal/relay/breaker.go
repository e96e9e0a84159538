package relay

import (
	"context"
	"fmt"
	"sync"

	"github.com/stackspindle/stackspindle/internal/connpool"
	"github.com/stackspindle/stackspindle/internal/member"
)

// workCanceller cancels work on a primary: it ends the wait for a connection, or closes the
// connection in use.
type workCanceller struct {
	cancelWait context.CancelFunc

	mu        sync.Mutex // guards the fields below
	conn      *member.Shared
	cancelled bool
}

// cancel cancels the work. It may be called from any goroutine.
func (b *workCanceller) cancel() {
	b.cancelWait()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cancelled = true
	if b.conn != nil {
		b.conn.Kill()
	}
}

// attach sets the connection that cancel closes. It reports false when the work was cancelled
// before. A nil workCanceller never cancels.
func (b *workCanceller) attach(conn *member.Shared) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conn = conn
	return !b.cancelled
}

// cause adds to err that the work was cancelled, if it was.
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

// detach removes the connection, so that cancel no longer closes it.
func (b *workCanceller) detach() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conn = nil
}

// leasedConn is a connection leased from a member's pool. It has a canceller if the member is the
// primary.
type leasedConn struct {
	lease     *connpool.Lease[*member.Shared]
	canceller *workCanceller
}

// release returns the connection to its pool.
func (h *leasedConn) release() {
	h.canceller.detach()
	h.lease.Release()
}
