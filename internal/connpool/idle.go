package connpool

import (
	"context"
	"slices"
	"time"
)

// idle is a connection that nobody uses.
type idle[C Conn] struct {
	conn  C
	since time.Duration
}

// takeIdle takes the idle connection that prefer ranks highest, the one used
// last among equals. Without one it returns for how long no dial may be tried,
// and what tells of a connection that comes free.
func (p *Pool[C]) takeIdle(prefer func(C) int) (C, bool, <-chan struct{}, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		best := len(p.idle) - 1
		if prefer != nil {
			for i := best - 1; i >= 0; i-- {
				if prefer(p.idle[i].conn) > prefer(p.idle[best].conn) {
					best = i
				}
			}
		}
		conn := p.idle[best].conn
		p.idle = append(p.idle[:best], p.idle[best+1:]...)
		if conn.Alive() {
			return conn, true, nil, 0
		}
		conn.Kill()
		delete(p.all, conn)
	}
	var none C
	return none, false, p.freed, max(0, p.retryAt-p.now())
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
		i.conn.Kill()
		delete(p.all, i.conn)
		return true
	})
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
		conn, err := p.dial(ctx)
		<-p.dials
		if err != nil {
			return
		}
		p.mu.Lock()
		p.idle = append(p.idle, idle[C]{conn: conn, since: p.now()})
		p.mu.Unlock()
	}
}
