package upstream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/stackspindle/stackspindle/internal/pool"
)

// Errors of Acquire. None of them means that anything ran.
var (
	ErrQueueFull = errors.New("too many requests of this service wait already")
	ErrDeadline  = errors.New("no connection came free before the deadline")
	ErrClosed    = errors.New("the pool is closed")
)

// PoolConfig bounds a pool.
type PoolConfig struct {
	Queue       pool.Config
	Dials       int           // connections opened at the same time
	DialTimeout time.Duration // for one connection
}

// Pool shares the data connections of one member in one term. The queue and the
// idle list are guarded by mu; a connection outside the idle list belongs to
// whoever acquired it.
type Pool struct {
	cfg    PoolConfig
	target Target
	term   uint64
	now    func() time.Duration
	dials  chan struct{} // holds a token for each dial in progress

	mu      sync.Mutex
	queue   *pool.Queue
	idle    []*Conn
	all     map[*Conn]struct{}
	waiters map[uint64]chan struct{}
	nextID  uint64
	closed  bool
	done    chan struct{}
}

// NewPool returns an empty pool. Connections are opened when needed.
func NewPool(cfg PoolConfig, target Target, term uint64, now func() time.Duration) *Pool {
	return &Pool{
		cfg:     cfg,
		target:  target,
		term:    term,
		now:     now,
		dials:   make(chan struct{}, cfg.Dials),
		queue:   pool.New(cfg.Queue),
		all:     make(map[*Conn]struct{}),
		waiters: make(map[uint64]chan struct{}),
		done:    make(chan struct{}),
	}
}

// Lease is the right to one connection.
type Lease struct {
	Conn    *Conn
	pool    *Pool
	request pool.Request
	since   time.Duration
}

// InUse returns how many connections are leased.
func (p *Pool) InUse() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.InUse()
}

// Waiting returns how many requests wait for a connection.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Waiting()
}

// Open returns how many connections exist.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.all)
}

// RetryAfter estimates when a refused request would find room.
func (p *Pool) RetryAfter() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.RetryAfter()
}

// Acquire waits for a connection until r.Deadline. The request's ID is set here.
func (p *Pool) Acquire(ctx context.Context, r pool.Request) (*Lease, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	p.nextID++
	r.ID = p.nextID
	outcome := p.queue.Offer(p.now(), r)
	var granted chan struct{}
	if outcome == pool.Queued {
		granted = make(chan struct{})
		p.waiters[r.ID] = granted
	}
	p.mu.Unlock()
	switch outcome {
	case pool.QueueFull:
		return nil, ErrQueueFull
	case pool.TooLate:
		return nil, ErrDeadline
	case pool.Queued:
		if err := p.wait(ctx, r, granted); err != nil {
			return nil, err
		}
	}
	return p.connect(ctx, r)
}

func (p *Pool) wait(ctx context.Context, r pool.Request, granted chan struct{}) error {
	timer := time.NewTimer(r.Deadline - p.now())
	defer timer.Stop()
	var cause error
	select {
	case <-granted:
		return nil
	case <-timer.C:
		cause = ErrDeadline
	case <-ctx.Done():
		cause = ctx.Err()
	case <-p.done:
		cause = ErrClosed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, r.ID)
	if !p.queue.Cancel(r) {
		select {
		case <-granted:
			p.finish(r, p.now()) // granted at the same moment: give it back
		default:
		}
	}
	return cause
}

// finish returns a grant and passes it on. The caller holds mu.
func (p *Pool) finish(r pool.Request, since time.Duration) {
	now := p.now()
	p.queue.Done(r, now-since)
	granted, _ := p.queue.Next(now)
	for _, g := range granted {
		if waiter := p.waiters[g.ID]; waiter != nil {
			delete(p.waiters, g.ID)
			close(waiter)
		}
	}
}

// connect finds an idle connection for a grant or opens one.
func (p *Pool) connect(ctx context.Context, r pool.Request) (*Lease, error) {
	lease := &Lease{pool: p, request: r, since: p.now()}
	if lease.Conn = p.takeIdle(); lease.Conn != nil {
		return lease, nil
	}
	select {
	case p.dials <- struct{}{}:
	case <-ctx.Done():
		lease.giveBack()
		return nil, ctx.Err()
	}
	defer func() { <-p.dials }()
	if lease.Conn = p.takeIdle(); lease.Conn != nil {
		return lease, nil
	}
	conn, err := p.dial(ctx)
	if err != nil {
		lease.giveBack()
		return nil, err
	}
	lease.Conn = conn
	return lease, nil
}

func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	conn, err := Dial(ctx, p.target, p.term)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		conn.Kill()
		return nil, ErrClosed
	}
	p.all[conn] = struct{}{}
	return conn, nil
}

func (p *Pool) takeIdle() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		conn := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if conn.alive() {
			return conn
		}
		conn.Kill()
		delete(p.all, conn)
	}
	return nil
}

func (l *Lease) giveBack() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.pool.finish(l.request, l.since)
}

// Release ends the lease. The connection is cleaned and shared again, or closed
// when it cannot be shown to be clean.
func (l *Lease) Release() {
	clean := l.Conn.Clean()
	if !clean {
		l.Conn.Kill()
	}
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case clean && !p.closed:
		p.idle = append(p.idle, l.Conn)
	default:
		l.Conn.Kill()
		delete(p.all, l.Conn)
	}
	p.finish(l.request, l.since)
}

// DropIdle closes the connections that nobody uses.
func (p *Pool) DropIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle {
		conn.Kill()
		delete(p.all, conn)
	}
	p.idle = nil
}

// Warm opens connections ahead of need until n exist, one after another.
func (p *Pool) Warm(ctx context.Context, n int) {
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
		p.idle = append(p.idle, conn)
		p.mu.Unlock()
	}
}

// Close refuses new work and breaks all connections, those in use included.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	close(p.done)
	for conn := range p.all {
		conn.Kill()
	}
	p.idle = nil
}
