package lead

import (
	"context"
	"sync"
	"time"
)

// Gate guards the use of a group's primary on one instance. Work enters with a
// pass and is broken off when the grant ends. It is safe for concurrent use.
type Gate struct {
	now func() time.Duration

	mu      sync.Mutex // guards all below
	grant   Grant
	passes  map[*Pass]struct{}
	changed chan struct{} // closed with each change of the grant
	idle    chan struct{} // closed while no pass is out
	lostAt  time.Duration // since when there is no authority
	lost    bool
}

// NewGate returns the gate of a group of which nothing is known.
func NewGate(now func() time.Duration) *Gate {
	g := &Gate{now: now, passes: make(map[*Pass]struct{}), changed: make(chan struct{}), idle: make(chan struct{})}
	close(g.idle)
	g.lost, g.lostAt = true, now()
	return g
}

// Pass is the right to work on the primary.
type Pass struct {
	Authority
	gate    *Gate
	abort   func()
	aborted bool // guarded by the gate
}

// Enter returns a pass. abort is called, from another goroutine, when the work
// must be broken off; Done must still be called then.
func (g *Gate) Enter(abort func()) (*Pass, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a, err := g.grant.Authority(g.now())
	if err != nil {
		return nil, err
	}
	p := &Pass{Authority: a, gate: g, abort: abort}
	if len(g.passes) == 0 {
		g.idle = make(chan struct{})
	}
	g.passes[p] = struct{}{}
	return p, nil
}

// Standing says whether an answer of the primary may be passed on.
type Standing int

// The standings of a pass.
const (
	Ended       Standing = iota // it may not: the work was broken off, or the grant is over
	Unconfirmed                 // once the members have verified that nobody else leads
	Confirmed                   // it may
)

// Standing returns what an answer that arrives now is worth. While the grant is
// being released that does not change, since the release waits for the pass.
func (p *Pass) Standing() Standing {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	switch now := g.now(); {
	case p.aborted || g.grant.Over(now):
		return Ended
	case g.grant.Confirmed(now):
		return Confirmed
	}
	return Unconfirmed
}

// Valid reports whether an answer of the primary may be passed on without being
// verified.
func (p *Pass) Valid() bool { return p.Standing() == Confirmed }

// Done ends the work. It may be called more than once.
func (p *Pass) Done() {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, out := g.passes[p]; !out {
		return
	}
	delete(g.passes, p)
	if len(g.passes) == 0 {
		close(g.idle)
	}
}

// Authority returns whom the instance may use now.
func (g *Gate) Authority() (Authority, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.grant.Authority(g.now())
}

// Changed returns a channel that is closed with the next change of the grant.
func (g *Gate) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// LostFor returns for how long there has been no authority.
func (g *Gate) LostFor() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.lost {
		return 0
	}
	return g.now() - g.lostAt
}

// Record returns the group's record with its revision.
func (g *Gate) Record() (Record, int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.grant.Record()
}

// Learn takes in the record as the store holds it. One that is known already wakes nobody
// while there is authority: an instance learns the records of all groups again with each change.
func (g *Gate) Learn(record Record, revision int64) {
	if g.knows(revision) {
		return
	}
	g.update(func(grant *Grant) { grant.Learn(record, revision) })
}

// knows reports whether there is authority by the record with a revision, or a later one.
func (g *Gate) knows(revision int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteLoss()
	return !g.lost && revision <= g.grant.revision
}

// Settle takes in the outcome of a change from the leader.
func (g *Gate) Settle(record Record, revision int64) {
	g.update(func(grant *Grant) { grant.Settle(record, revision) })
}

// Confirm notes a store call that showed nothing newer, by when it was sent.
func (g *Gate) Confirm(sent time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grant.Confirm(sent)
	g.noteLoss()
}

// Attest notes that a quorum, asked at that time, knew of nothing newer than the
// record with a revision.
func (g *Gate) Attest(sent time.Duration, revision int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grant.Attest(sent, revision)
	g.noteLoss()
}

// NewsSince returns what is known of the group beyond the record with a revision.
func (g *Gate) NewsSince(revision int64) (News, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.grant.NewsSince(revision)
}

// Hear takes in what another instance knows. Open work that it leaves without a
// grant gets the time that Enforce allows.
func (g *Gate) Hear(n News) {
	g.update(func(grant *Grant) { grant.Hear(n) })
}

// noteLoss keeps account of since when there is no authority. The caller holds mu.
func (g *Gate) noteLoss() {
	now := g.now()
	if g.grant.Usable(now) {
		g.lost = false
	} else if !g.lost {
		g.lost, g.lostAt = true, now
	}
}

func (g *Gate) update(change func(*Grant)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.grant)
	g.noteLoss()
	close(g.changed)
	g.changed = make(chan struct{})
}

// Release gives up the grant of the record with a revision, and of those before.
// It returns once no work is under way on the primary: after drain what has not
// ended by itself is broken off.
func (g *Gate) Release(ctx context.Context, revision int64, drain time.Duration) error {
	g.update(func(grant *Grant) { grant.Release(revision) })
	g.mu.Lock()
	idle := g.idle
	g.mu.Unlock()
	timer := time.NewTimer(drain)
	defer timer.Stop()
	select {
	case <-idle:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	g.abortOutdated()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// abortOutdated breaks off the work of passes that the grant does not cover.
func (g *Gate) abortOutdated() {
	g.mu.Lock()
	defer g.mu.Unlock()
	a, err := g.grant.Authority(g.now())
	for p := range g.passes {
		if !p.aborted && (err != nil || a.Primary != p.Primary || a.Term != p.Term) {
			p.aborted = true
			go p.abort()
		}
	}
}

// Enforce breaks off work that goes on although the grant has been gone for
// longer than drain. It is called regularly.
func (g *Gate) Enforce(drain time.Duration) {
	g.mu.Lock()
	g.noteLoss()
	overdue := g.lost && len(g.passes) > 0 && g.now()-g.lostAt > drain
	g.mu.Unlock()
	if overdue {
		g.abortOutdated()
	}
}
