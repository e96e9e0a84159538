package connpool

import (
	"context"
	"slices"
	"time"

	"github.com/stackspindle/stackspindle/internal/account"
	"github.com/stackspindle/stackspindle/internal/pool"
)

// idleConn is a connection that no lease holds.
type idleConn[C Conn] struct {
	conn    C
	account string        // account that it belongs to
	since   time.Duration // time at which it became idle
}

// takeIdle takes an idle connection that a request can use: the one that prefer ranks
// highest, of equal ones the most recently used. Connections that are no longer alive are
// closed. If there is none it returns a channel that is closed when a connection becomes
// idle, and the rest of the dial backoff.
func (p *Pool[C]) takeIdle(r pool.Request, prefer func(C) int) (C, bool, <-chan struct{}, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		best := p.bestIdle(r, prefer)
		if best < 0 {
			var none C
			return none, false, p.freed, max(0, p.retryAt-p.now())
		}
		conn := p.idle[best].conn
		p.idle = slices.Delete(p.idle, best, best+1)
		if conn.Alive() {
			return conn, true, nil, 0
		}
		p.closeConn(conn)
	}
}

// bestIdle returns the index of the idle connection that takeIdle takes next, -1 if there
// is none. The caller holds mu.
func (p *Pool[C]) bestIdle(r pool.Request, prefer func(C) int) int {
	best, bestScore := -1, 0
	for i := len(p.idle) - 1; i >= 0; i-- {
		if !r.AnyAccount && p.idle[i].account != r.Account {
			continue
		}
		if prefer == nil {
			return i
		}
		if score := prefer(p.idle[i].conn); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// closeSurplusIdle closes the connections that have been idle for longest until another one
// can be opened within the capacity. Each grant counts as a connection in use, also while
// that is being opened.
func (p *Pool[C]) closeSurplusIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	surplus := p.queue.InUse() + len(p.idle) - p.queue.Capacity()
	p.closeIdleWhere(func(idleConn[C]) bool {
		surplus--
		return surplus >= 0
	})
}

// DropIdle closes all idle connections.
func (p *Pool[C]) DropIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleWhere(func(idleConn[C]) bool { return true })
}

// Shrink closes connections that have been idle for at least minIdle, as long as more than
// keep connections exist.
func (p *Pool[C]) Shrink(minIdle time.Duration, keep int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, open := p.now(), len(p.conns)
	p.closeIdleWhere(func(i idleConn[C]) bool {
		if open <= keep || now-i.since < minIdle {
			return false
		}
		open--
		return true
	})
}

// closeIdleWhere closes the idle connections for which drop returns true. It visits them from
// the least to the most recently used. The caller holds mu.
func (p *Pool[C]) closeIdleWhere(drop func(idleConn[C]) bool) {
	p.idle = slices.DeleteFunc(p.idle, func(i idleConn[C]) bool {
		if !drop(i) {
			return false
		}
		p.closeConn(i.conn)
		return true
	})
}

// closeOldestIdle closes the connection that has been idle for longest. It reports whether
// there was an idle connection.
func (p *Pool[C]) closeOldestIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	dropped := false
	p.closeIdleWhere(func(idleConn[C]) bool {
		first := !dropped
		dropped = true
		return first
	})
	return dropped
}

// Warm opens connections one after another until n exist. It stops at the first failed
// dial. The connections belong to the anonymous account.
func (p *Pool[C]) Warm(ctx context.Context, n int) {
	for p.NumOpen() < n {
		select {
		case p.dials <- struct{}{}:
		case <-ctx.Done():
			return
		case <-p.done:
			return
		}
		conn, err := p.dial(ctx, account.Anonymous)
		<-p.dials
		if err != nil {
			return
		}
		p.mu.Lock()
		p.idle = append(p.idle, idleConn[C]{conn: conn, since: p.now()})
		p.mu.Unlock()
	}
}
