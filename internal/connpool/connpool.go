// Package connpool is a connection pool for one database member. Package pool schedules
// the requests; this package waits for grants, opens connections, keeps idle ones and
// closes them. It is independent of the protocol: the connection type is a type parameter.
//
// A connection belongs to the account for which it was opened and serves requests of that
// account only, except for requests that accept a connection of any account. When all
// connections within the capacity exist, the one that has been idle for longest is closed
// to make room for one of another account.
package connpool

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/stackspindle/stackspindle/internal/pool"
)

// Errors of Acquire. With each of them nothing was sent to the member.
var (
	ErrQueueFull = errors.New("too many requests of this service wait already")
	ErrDeadline  = errors.New("no connection came free before the deadline")
	ErrClosed    = errors.New("the pool is closed")
	ErrBackoff   = errors.New("the member could not be reached a moment ago")
)

// Conn is a pooled connection.
type Conn interface {
	// Alive reports whether an idle connection is still usable.
	Alive() bool
	// Clean resets the connection so that another session may use it, and reports
	// whether that succeeded.
	Clean() bool
	// Kill closes the connection at once. It may be called at any time.
	Kill()
}

// Config configures a pool.
type Config struct {
	Queue       pool.Config
	Dials       int           // maximum number of concurrent dials
	DialTimeout time.Duration // for one dial

	// ReuseWait is how long a request waits for one of the existing connections of its
	// account, all of which are in use, before another one is opened.
	ReuseWait time.Duration

	// After a failed dial none is attempted for MinBackoff, which doubles with each
	// further failure up to MaxBackoff. 0: the next request dials again.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// IsFull reports whether a dial failed because the member accepts no more connections.
	// The pool then closes an idle connection and dials again. nil: never.
	IsFull func(error) bool
}

// Pool is a connection pool for one member. It is safe for concurrent use. A connection
// that is not in the idle list belongs to the lease that holds it.
type Pool[C Conn] struct {
	cfg   Config
	open  func(ctx context.Context, account string) (C, error)
	now   func() time.Duration
	dials chan struct{} // semaphore: holds an item for each dial in progress

	mu             sync.Mutex // guards the rest
	queue          *pool.Queue
	idle           []idleConn[C]            // most recently used last
	conns          map[any]ownedConn[C]     // by connection
	connsByAccount map[string]int           // number of connections by account
	waiters        map[uint64]chan struct{} // by request ID; closed on a grant
	nextID         uint64
	freed          chan struct{} // closed and replaced when a connection becomes idle
	failures       int           // consecutive failed dials
	retryAt        time.Duration // end of the backoff
	polling        bool          // a timer to poll the queue is running
	closed         bool
	done           chan struct{} // closed by Close
}

// ownedConn is a connection and the account that it belongs to.
type ownedConn[C Conn] struct {
	conn    C
	account string
}

// New returns an empty pool. Connections are opened on demand with open, for an account.
// now is a monotonic clock, on which the deadlines of requests are measured.
func New[C Conn](cfg Config, open func(ctx context.Context, account string) (C, error), now func() time.Duration) *Pool[C] {
	return &Pool[C]{
		cfg:            cfg,
		open:           open,
		now:            now,
		dials:          make(chan struct{}, cfg.Dials),
		queue:          pool.New(cfg.Queue),
		conns:          make(map[any]ownedConn[C]),
		connsByAccount: make(map[string]int),
		waiters:        make(map[uint64]chan struct{}),
		freed:          make(chan struct{}),
		done:           make(chan struct{}),
	}
}

// Lease is the exclusive use of one connection, from Acquire to Release.
type Lease[C Conn] struct {
	Conn      C
	pool      *Pool[C]
	request   pool.Request
	grantedAt time.Duration // time of the grant

	// Guarded by the pool's mu.
	parked     bool
	activeTime time.Duration // time from the grant to the first call of Park; 0: not parked yet
	ended      bool
}

// Park records that the connection runs nothing for a while, as between the statements of
// a transaction, or waits for an answer that is long overdue. Another request may become
// active meanwhile. It may be called at any time and has no effect after Release.
func (l *Lease[C]) Park() {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !l.parked && !l.ended {
		now := p.now()
		l.parked = true
		if l.activeTime == 0 {
			l.activeTime = now - l.grantedAt
		}
		p.queue.Park(l.request)
		p.wakeGranted(now)
	}
}

// Resume reverts Park: the connection runs a statement again.
func (l *Lease[C]) Resume() {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.parked && !l.ended {
		l.parked = false
		p.queue.Resume(p.now(), l.request)
	}
}

// end returns the grant to the queue. The time in use counts up to the first call of Park,
// so that idle transactions do not raise the average. The caller holds the pool's mu.
func (l *Lease[C]) end() {
	l.ended = true
	used := l.activeTime
	if used == 0 {
		used = l.pool.now() - l.grantedAt
	}
	if l.parked {
		l.parked = false
		l.pool.queue.Unpark(l.request)
	}
	l.pool.returnGrant(l.request, used)
}

// SetCapacity changes how many connections may be used at once.
func (p *Pool[C]) SetCapacity(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.SetCapacity(n)
	p.wakeGranted(p.now())
}

// SetMaxActive changes how many connections may be in use at once, not counting parked
// ones. 0: unbounded.
func (p *Pool[C]) SetMaxActive(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.SetMaxActive(n)
	p.wakeGranted(p.now())
}

// Pause stops granting flexible requests of a priority and of lower ones for a time.
func (p *Pool[C]) Pause(priority int, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.Pause(priority, p.now()+d)
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.wakeGranted(p.now())
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

// Backlog returns the backlog that a new request of a priority would find.
func (p *Pool[C]) Backlog(priority int) pool.Backlog {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Backlog(priority)
}

// WaitStats returns the queue statistics of each priority, highest first.
func (p *Pool[C]) WaitStats() []pool.WaitStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.WaitStats()
}

// Load returns how many requests hold a connection or wait for one.
func (p *Pool[C]) Load() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.InUse() + p.queue.Waiting()
}

// NumOpen returns how many connections exist.
func (p *Pool[C]) NumOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// RetryAfter estimates the delay after which a rejected request would find a free slot.
func (p *Pool[C]) RetryAfter() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.RetryAfter()
}

// Acquire returns a lease of a connection. It waits for a grant until r.Deadline or until
// ctx is done, and then for a connection. It sets the request's ID. Of the idle connections
// it takes the one that prefer ranks highest, or the most recently used one if prefer is nil.
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
		p.schedulePoll()
		p.wakeGranted(p.now()) // the reserve for pinned requests may have decayed since the last grant
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
			p.returnGrant(r, 0) // granted concurrently: return the grant
		default:
		}
	}
	return cause
}

// returnGrant returns a grant to the queue and wakes the requests that are granted next. The
// caller holds mu.
func (p *Pool[C]) returnGrant(r pool.Request, used time.Duration) {
	p.queue.Done(r, used)
	p.wakeGranted(p.now())
}

// pollInterval is the interval at which a non-empty queue is polled for grants. Polling is
// necessary because the reserve for pinned requests decays with time, without any event.
const pollInterval = 50 * time.Millisecond

// schedulePoll starts a timer that polls the queue, if requests are queued and no timer is
// running. The caller holds mu.
func (p *Pool[C]) schedulePoll() {
	if p.polling || p.closed || p.queue.Waiting() == 0 {
		return
	}
	p.polling = true
	time.AfterFunc(pollInterval, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.polling = false
		p.wakeGranted(p.now())
		p.schedulePoll()
	})
}

// wakeGranted wakes the waiters of the requests that the queue grants now. The caller holds mu.
func (p *Pool[C]) wakeGranted(now time.Duration) {
	granted, _ := p.queue.Next(now)
	for _, g := range granted {
		if waiter := p.waiters[g.ID]; waiter != nil {
			delete(p.waiters, g.ID)
			close(waiter)
		}
	}
}

// connect returns a lease with an idle connection or a new one. During the reuse wait and
// the backoff after a failed dial it waits for an existing connection of the account.
func (p *Pool[C]) connect(ctx context.Context, r pool.Request, prefer func(C) int) (*Lease[C], error) {
	lease := &Lease[C]{pool: p, request: r, grantedAt: p.now()}
	for {
		conn, ok, freed, wait := p.takeIdle(r, prefer)
		if ok {
			lease.Conn = conn
			return lease, nil
		}
		if p.usableConns(r) > 0 {
			wait = max(wait, lease.grantedAt+p.cfg.ReuseWait-p.now())
		}
		if wait <= 0 {
			break
		}
		if err := p.awaitFreed(ctx, r, freed, wait); err != nil {
			lease.ReleaseSlot()
			return nil, err
		}
	}
	select {
	case p.dials <- struct{}{}:
	case <-ctx.Done():
		lease.ReleaseSlot()
		return nil, ctx.Err()
	}
	defer func() { <-p.dials }()
	if conn, ok, _, _ := p.takeIdle(r, prefer); ok {
		lease.Conn = conn
		return lease, nil
	}
	p.closeSurplusIdle()
	conn, err := p.dial(ctx, r.Account)
	if err != nil && p.cfg.IsFull != nil && p.cfg.IsFull(err) && p.closeOldestIdle() {
		conn, err = p.dial(ctx, r.Account)
	}
	if err != nil {
		lease.ReleaseSlot()
		return nil, err
	}
	lease.Conn = conn
	return lease, nil
}

// awaitFreed waits until a connection has become idle, or until a dial may be attempted
// after wait. It fails at once if no connection exists that the request could use.
func (p *Pool[C]) awaitFreed(ctx context.Context, r pool.Request, freed <-chan struct{}, wait time.Duration) error {
	if p.usableConns(r) == 0 {
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
		return conn, fmt.Errorf("connect: %w", ctx.Err()) // canceled by the requester: no sign of a fault at the member
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
	p.conns[conn] = ownedConn[C]{conn: conn, account: account}
	p.connsByAccount[account]++
	return conn, nil
}

// closeConn closes a connection and removes it from the pool. The caller holds mu.
func (p *Pool[C]) closeConn(conn C) {
	conn.Kill()
	owned, ok := p.conns[conn]
	if !ok {
		return
	}
	delete(p.conns, conn)
	if p.connsByAccount[owned.account]--; p.connsByAccount[owned.account] == 0 {
		delete(p.connsByAccount, owned.account)
	}
}

// usableConns returns how many existing connections a request could use, idle or not.
func (p *Pool[C]) usableConns(r pool.Request) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.AnyAccount {
		return len(p.conns)
	}
	return p.connsByAccount[r.Account]
}

// ReleaseSlot ends a lease that has no connection.
func (l *Lease[C]) ReleaseSlot() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.end()
}

// Release ends the lease. The connection is cleaned and becomes idle, or is closed if
// cleaning fails.
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
		p.idle = append(p.idle, idleConn[C]{conn: l.Conn, account: p.conns[l.Conn].account, since: p.now()})
		close(p.freed)
		p.freed = make(chan struct{})
	default:
		p.closeConn(l.Conn)
	}
	l.end()
}

// Close closes all connections, including those in use. Acquire fails from then on.
func (p *Pool[C]) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	close(p.done)
	for _, o := range p.conns {
		o.conn.Kill()
	}
	p.idle = nil
}
