package connpool

import (
	"context"
	"slices"
	"time"

	"github.com/stackspindle/stackspindle/internal/account"
	"github.com/stackspindle/stackspindle/internal/pool"
)

// idle is a connection that nobody uses.
type idle[C Conn] struct {
	conn    C
	account string // that it belongs to
	since   time.Duration
}

// takeIdle takes the idle connection that a request can use and that prefer ranks
// highest, the one used last among equals. Without one it returns for how long no dial
// may be tried, and what tells of a connection that comes free.
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
		p.forget(conn)
	}
}

// bestIdle returns the place of the idle connection that a request can use and that
// prefer ranks highest, negative when there is none. The caller holds mu.
func (p *Pool[C]) bestIdle(r pool.Request, prefer func(C) int) int {
	best, rank := -1, 0
	for i := len(p.idle) - 1; i >= 0; i-- {
		if !r.Any && p.idle[i].account != r.Account {
			continue
		}
		if prefer == nil {
			return i
		}
		if rated := prefer(p.idle[i].conn); best < 0 || rated > rank {
			best, rank = i, rated
		}
	}
	return best
}

// makeRoom closes the connections that have been idle for longest until a further
// one can be opened within the capacity. What holds a grant is counted as using a
// connection, also while it opens one.
func (p *Pool[C]) makeRoom() {
	p.mu.Lock()
	defer p.mu.Unlock()
	surplus := p.queue.InUse() + len(p.idle) - p.queue.Capacity()
	p.dropIdle(func(idle[C]) bool {
		surplus--
		return surplus >= 0
	})
}

// DropIdle closes the connections that nobody uses.
func (p *Pool[C]) DropIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropIdle(func(idle[C]) bool { return true })
}

// Shrink closes connections that nobody has used for a while, as long as more
// than keep exist.
func (p *Pool[C]) Shrink(unused time.Duration, keep int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, open := p.now(), len(p.all)
	p.dropIdle(func(i idle[C]) bool {
		if open <= keep || now-i.since < unused {
			return false
		}
		open--
		return true
	})
}

// dropIdle closes the idle connections of which drop says so. The caller holds mu.
func (p *Pool[C]) dropIdle(drop func(idle[C]) bool) {
	p.idle = slices.DeleteFunc(p.idle, func(i idle[C]) bool {
		if !drop(i) {
			return false
		}
		p.forget(i.conn)
		return true
	})
}

// dropOldest closes the connection that has been idle for longest, and reports whether
// there was one.
func (p *Pool[C]) dropOldest() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	dropped := false
	p.dropIdle(func(idle[C]) bool {
		first := !dropped
		dropped = true
		return first
	})
	return dropped
}

// Warm opens connections ahead of need until n exist, one after another.
func (p *Pool[C]) Warm(ctx context.Context, n int) {
	for p.Open() < n {
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
		p.idle = append(p.idle, idle[C]{conn: conn, since: p.now()})
		p.mu.Unlock()
	}
}
