// Package connpool shares the connections to one member among requests. It is
// the same for every protocol: what a connection is, how it is opened and when
// it is clean enough to be shared again is told by a type parameter.
//
// A connection belongs to the account for which it was opened and serves requests of
// that account only. While as many exist as may be used, the one that has been idle
// for longest is closed to make room for another account's.
package connpool

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
	ErrBackoff   = errors.New("the member could not be reached a moment ago")
)

// Conn is a connection that can be shared.
type Conn interface {
	// Alive reports whether an idle connection may be used again.
	Alive() bool
	// Clean brings a connection into a state in which another caller may use it,
	// and reports whether that succeeded.
	Clean() bool
	// Kill closes the connection at once. It may be called at any time.
	Kill()
}

// Config bounds a pool.
type Config struct {
	Queue       pool.Config
	Dials       int           // connections opened at the same time
	DialTimeout time.Duration // for one connection

	// A request that finds all connections in use waits so long for one of them
	// before a further one is opened.
	Patience time.Duration

	// After a failed dial no further one is tried for MinBackoff, doubled with
	// each failure up to MaxBackoff. 0: the next request tries again.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// Full reports whether a dial was refused since the member has as many connections as
	// it takes. A connection that is idle here is closed then for the new one. nil: never.
	Full func(error) bool
}

// Pool shares the connections to one member. The queue, the idle list and the
// backoff are guarded by mu; a connection outside the idle list belongs to
// whoever acquired it.
type Pool[C Conn] struct {
	cfg   Config
	open  func(ctx context.Context, account string) (C, error)
	now   func() time.Duration
	dials chan struct{} // holds a token for each dial in progress

	mu       sync.Mutex
	queue    *pool.Queue
	idle     []idle[C]        // the one used last comes last
	all      map[any]owned[C] // by the connection
	owned    map[string]int   // how many of them each account has
	waiters  map[uint64]chan struct{}
	nextID   uint64
	freed    chan struct{} // closed, and replaced, when a connection comes free
	failures int           // dials that failed in a row
	retryAt  time.Duration // before which no dial is tried
	looking  bool          // a look at what waits is to come
	closed   bool
	done     chan struct{}
}

// owned is a connection with the account that it belongs to.
type owned[C Conn] struct {
	conn    C
	account string
}

// New returns an empty pool. Connections are opened when needed.
func New[C Conn](cfg Config, open func(ctx context.Context, account string) (C, error), now func() time.Duration) *Pool[C] {
	return &Pool[C]{
		cfg:     cfg,
		open:    open,
		now:     now,
		dials:   make(chan struct{}, cfg.Dials),
		queue:   pool.New(cfg.Queue),
		all:     make(map[any]owned[C]),
		owned:   make(map[string]int),
		waiters: make(map[uint64]chan struct{}),
		freed:   make(chan struct{}),
		done:    make(chan struct{}),
	}
}

// Lease is the right to one connection.
type Lease[C Conn] struct {
	Conn    C
	pool    *Pool[C]
	request pool.Request
	since   time.Duration

	// Guarded by the pool's mu.
	parked bool
	used   time.Duration // until it was parked first, 0: it was not
	ended  bool
}

// Park notes that the connection is held and runs nothing for a while, or waits
// for an answer that is not about to come. It may be called at any time.
func (l *Lease[C]) Park() {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !l.parked && !l.ended {
		now := p.now()
		l.parked = true
		if l.used == 0 {
			l.used = now - l.since
		}
		p.queue.Park(l.request)
		p.pass(now)
	}
}

// Resume ends what Park began: the connection runs something again.
func (l *Lease[C]) Resume() {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.parked && !l.ended {
		l.parked = false
		p.queue.Resume(p.now(), l.request)
	}
}

// end returns the grant. The caller holds the pool's mu.
func (l *Lease[C]) end() {
	l.ended = true
	used := l.used
	if used == 0 {
		used = l.pool.now() - l.since
	}
	if l.parked {
		l.parked = false
		l.pool.queue.Unpark(l.request)
	}
	l.pool.finish(l.request, used)
}

// SetCapacity changes how many connections may be used at once.
func (p *Pool[C]) SetCapacity(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.SetCapacity(n)
	p.pass(p.now())
}

// SetMaxActive changes how many connections may be used at once, those that are
// parked left out. 0 means no such bound.
func (p *Pool[C]) SetMaxActive(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.SetMaxActive(n)
	p.pass(p.now())
}

// Pause holds requests of a priority and of lower ones for a while.
func (p *Pool[C]) Pause(priority int, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.Pause(priority, p.now()+d)
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.pass(p.now())
	})
}

// Capacity returns how many connections may be used at once.
func (p *Pool[C]) Capacity() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Capacity()
}

// InUse returns how many connections are leased.
func (p *Pool[C]) InUse() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.InUse()
}

// Waiting returns how many requests wait for a connection.
func (p *Pool[C]) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Waiting()
}

// Backlog returns what a new request of a priority would find.
func (p *Pool[C]) Backlog(priority int) pool.Backlog {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Backlog(priority)
}

// Waits returns what is known of each priority, the highest first.
func (p *Pool[C]) Waits() []pool.Waiting {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Waits()
}

// Load returns how many requests hold a connection or wait for one.
func (p *Pool[C]) Load() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.InUse() + p.queue.Waiting()
}

// Open returns how many connections exist.
func (p *Pool[C]) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.all)
}

// RetryAfter estimates when a refused request would find room.
func (p *Pool[C]) RetryAfter() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.RetryAfter()
}

// Acquire waits for a connection until r.Deadline. The request's ID is set here.
// Among idle connections the one that prefer ranks highest is taken; without
// prefer it is the one used last.
func (p *Pool[C]) Acquire(ctx context.Context, r pool.Request, prefer func(C) int) (*Lease[C], error) {
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
		p.lookLater()
		p.pass(p.now()) // what is reserved for others may have become less since the last grant
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
	return p.connect(ctx, r, prefer)
}

func (p *Pool[C]) wait(ctx context.Context, r pool.Request, granted chan struct{}) error {
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
			p.finish(r, 0) // granted at the same moment: give it back
		default:
		}
	}
	return cause
}

// finish returns a grant that was in use for a time, and passes it on. The caller holds mu.
func (p *Pool[C]) finish(r pool.Request, used time.Duration) {
	p.queue.Done(r, used)
	p.pass(p.now())
}

// lookPause is the pause between two looks at what waits: what is reserved for work that
// only the member can run comes free with time, without anything else happening.
const lookPause = 50 * time.Millisecond

// lookLater has the queue looked at while something waits. The caller holds mu.
func (p *Pool[C]) lookLater() {
	if p.looking || p.closed || p.queue.Waiting() == 0 {
		return
	}
	p.looking = true
	time.AfterFunc(lookPause, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.looking = false
		p.pass(p.now())
		p.lookLater()
	})
}

// pass wakes those that the queue grants a connection. The caller holds mu.
func (p *Pool[C]) pass(now time.Duration) {
	granted, _ := p.queue.Next(now)
	for _, g := range granted {
		if waiter := p.waiters[g.ID]; waiter != nil {
			delete(p.waiters, g.ID)
			close(waiter)
		}
	}
}

// connect finds an idle connection for a grant or opens one. While no further
// one can be opened it waits for those that exist.
func (p *Pool[C]) connect(ctx context.Context, r pool.Request, prefer func(C) int) (*Lease[C], error) {
	lease := &Lease[C]{pool: p, request: r, since: p.now()}
	for {
		conn, ok, freed, wait := p.takeIdle(r, prefer)
		if ok {
			lease.Conn = conn
			return lease, nil
		}
		if p.openFor(r) > 0 {
			wait = max(wait, lease.since+p.cfg.Patience-p.now())
		}
		if wait <= 0 {
			break
		}
		if err := p.awaitFreed(ctx, r, freed, wait); err != nil {
			lease.GiveBack()
			return nil, err
		}
	}
	select {
	case p.dials <- struct{}{}:
	case <-ctx.Done():
		lease.GiveBack()
		return nil, ctx.Err()
	}
	defer func() { <-p.dials }()
	if conn, ok, _, _ := p.takeIdle(r, prefer); ok {
		lease.Conn = conn
		return lease, nil
	}
	p.makeRoom()
	conn, err := p.dial(ctx, r.Account)
	if err != nil && p.cfg.Full != nil && p.cfg.Full(err) && p.dropOldest() {
		conn, err = p.dial(ctx, r.Account)
	}
	if err != nil {
		lease.GiveBack()
		return nil, err
	}
	lease.Conn = conn
	return lease, nil
}

// awaitFreed waits until a connection may have come free, or a dial may be tried
// again. Without a connection of the account there is nothing to wait for.
func (p *Pool[C]) awaitFreed(ctx context.Context, r pool.Request, freed <-chan struct{}, wait time.Duration) error {
	if p.openFor(r) == 0 {
		return ErrBackoff
	}
	left := r.Deadline - p.now()
	if left <= 0 {
		return ErrDeadline
	}
	timer := time.NewTimer(min(wait, left))
	defer timer.Stop()
	select {
	case <-freed:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	case <-p.done:
		return ErrClosed
	}
	return nil
}

// maxDoublings keeps the backoff's shift in range.
const maxDoublings = 10

func (p *Pool[C]) dial(ctx context.Context, account string) (C, error) {
	dialing, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	conn, err := p.open(dialing, account)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return conn, fmt.Errorf("connect: %w", ctx.Err()) // broken off here, which tells nothing of the member
	}
	if err != nil {
		p.retryAt = p.now() + min(p.cfg.MinBackoff<<min(p.failures, maxDoublings), p.cfg.MaxBackoff)
		p.failures++
		return conn, fmt.Errorf("connect: %w", err)
	}
	p.failures, p.retryAt = 0, 0
	if p.closed {
		conn.Kill()
		return conn, ErrClosed
	}
	p.all[conn] = owned[C]{conn: conn, account: account}
	p.owned[account]++
	return conn, nil
}

// forget ends a connection. The caller holds mu.
func (p *Pool[C]) forget(conn C) {
	conn.Kill()
	known, ok := p.all[conn]
	if !ok {
		return
	}
	delete(p.all, conn)
	if p.owned[known.account]--; p.owned[known.account] == 0 {
		delete(p.owned, known.account)
	}
}

// openFor returns how many connections exist that a request can use.
func (p *Pool[C]) openFor(r pool.Request) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Any {
		return len(p.all)
	}
	return p.owned[r.Account]
}

// GiveBack ends a lease that holds no connection.
func (l *Lease[C]) GiveBack() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.end()
}

// Release ends the lease. The connection is cleaned and shared again, or closed
// when it cannot be shown to be clean.
func (l *Lease[C]) Release() {
	clean := l.Conn.Clean()
	if !clean {
		l.Conn.Kill()
	}
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case clean && !p.closed:
		p.idle = append(p.idle, idle[C]{conn: l.Conn, account: p.all[l.Conn].account, since: p.now()})
		close(p.freed)
		p.freed = make(chan struct{})
	default:
		p.forget(l.Conn)
	}
	l.end()
}

// Close refuses new work and breaks all connections, those in use included.
func (p *Pool[C]) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	close(p.done)
	for _, o := range p.all {
		o.conn.Kill()
	}
	p.idle = nil
}
