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
type breaker struct {
	cancel context.CancelFunc

	mu      sync.Mutex // guards the rest
	conn    *member.PooledConn
	tripped bool
}

// trip breaks the work off. It may be called from any goroutine.
func (b *breaker) trip() {
	b.cancel()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tripped = true
	if b.conn != nil {
		b.conn.Kill()
	}
}

// guard puts a connection under the breaker. It reports false when the work was
// broken off before. Without a breaker there is nothing to break off.
func (b *breaker) guard(conn *member.PooledConn) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conn = conn
	return !b.tripped
}

// cause returns why work that was broken off has failed, or the error itself.
func (b *breaker) cause(err error) error {
	if b == nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tripped {
		return fmt.Errorf("broken off, since the primary is being changed: %w", err)
	}
	return err
}

// disarm takes the connection out of the breaker's reach.
func (b *breaker) disarm() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conn = nil
}

// hold is a leased connection, under a breaker where it belongs to the primary.
type hold struct {
	lease   *connpool.Lease[*member.PooledConn]
	breaker *breaker
}

// release returns the connection to its pool.
func (h *hold) release() {
	h.breaker.disarm()
	h.lease.Release()
}
