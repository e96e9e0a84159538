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
	conn      *member.PooledConn
	cancelled bool
}

// cancel cancels the work. It may be called from any goroutine.
func (c *workCanceller) cancel() {
	c.cancelWait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	if c.conn != nil {
		c.conn.Kill()
	}
}

// attach sets the connection that cancel closes. It reports false when the work was cancelled
// before. A nil workCanceller never cancels.
func (c *workCanceller) attach(conn *member.PooledConn) bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	return !c.cancelled
}

// cause adds to err that the work was cancelled, if it was.
func (c *workCanceller) cause(err error) error {
	if c == nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled {
		return fmt.Errorf("broken off, since the primary is being changed: %w", err)
	}
	return err
}

// detach removes the connection, so that cancel no longer closes it.
func (c *workCanceller) detach() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = nil
}

// leasedConn is a connection leased from a member's pool. It has a canceller if the member is the
// primary.
type leasedConn struct {
	lease     *connpool.Lease[*member.PooledConn]
	canceller *workCanceller
}

// release returns the connection to its pool.
func (l *leasedConn) release() {
	l.canceller.detach()
	l.lease.Release()
}
