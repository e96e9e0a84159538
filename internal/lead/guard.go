package lead

import (
	"context"
	"sync"
	"time"
)

// PrimaryGuard controls the use of a group's primary on one instance. Each piece of work
// holds a Permit and is aborted when the grant ends. A PrimaryGuard is safe for concurrent
// use.
type PrimaryGuard struct {
	now func() time.Duration

	mu            sync.Mutex // guards all fields below
	grant         Grant
	permits       map[*Permit]struct{}
	changed       chan struct{} // closed on each change of the grant
	idle          chan struct{} // closed while no permit is held
	unusableSince time.Duration // when the grant became unusable; meaningful while unusable
	unusable      bool
}

// NewPrimaryGuard returns a guard without a grant. now is a monotonic clock.
func NewPrimaryGuard(now func() time.Duration) *PrimaryGuard {
	g := &PrimaryGuard{now: now, permits: make(map[*Permit]struct{}), changed: make(chan struct{}), idle: make(chan struct{})}
	close(g.idle)
	g.unusable, g.unusableSince = true, now()
	return g
}

// Permit is the permission for one piece of work to use the primary.
type Permit struct {
	PrimaryRef
	guard   *PrimaryGuard
	abort   func()
	aborted bool // guarded by guard.mu
}

// Acquire returns a permit, or an error that says why the primary cannot be used now. abort
// is called from another goroutine when the work must be aborted. Done must be called in
// any case.
func (g *PrimaryGuard) Acquire(abort func()) (*Permit, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ref, err := g.grant.Primary(g.now())
	if err != nil {
		return nil, err
	}
	p := &Permit{PrimaryRef: ref, guard: g, abort: abort}
	if len(g.permits) == 0 {
		g.idle = make(chan struct{})
	}
	g.permits[p] = struct{}{}
	return p, nil
}

// PermitState says whether an answer of the primary may be passed on to the client.
type PermitState int

// The states of a permit.
const (
	Revoked     PermitState = iota // no: the work was aborted, or the grant has expired
	Unconfirmed                    // only after each other member has confirmed that it is not primary
	Confirmed                      // yes
)

// State returns whether an answer that arrives now may be passed on. A release of the
// grant in progress does not change the result, because the release waits until the permit
// is returned.
func (p *Permit) State() PermitState {
	g := p.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.aborted {
		return Revoked
	}
	return g.grant.StateOf(p.PrimaryRef, g.now())
}

// Confirmed reports whether an answer that arrives now may be passed on without
// verification by the other members.
func (p *Permit) Confirmed() bool { return p.State() == Confirmed }

// NewestRecord returns the latest known record of the group and its revision. It differs from the
// permit's once a change was announced or another primary is known.
func (p *Permit) NewestRecord() (Record, int64) { return p.guard.Record() }

// Done returns the permit. Further calls have no effect.
func (p *Permit) Done() {
	g := p.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, held := g.permits[p]; !held {
		return
	}
	delete(g.permits, p)
	if len(g.permits) == 0 {
		close(g.idle)
	}
}

// Primary returns the primary that the instance may use now, or an error that says why
// there is none.
func (g *PrimaryGuard) Primary() (PrimaryRef, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.grant.Primary(g.now())
}

// Changed returns a channel that is closed on the next change of the grant.
func (g *PrimaryGuard) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// UnusableFor returns for how long the grant has been unusable, 0 if it is usable.
func (g *PrimaryGuard) UnusableFor() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.unusable {
		return 0
	}
	return g.now() - g.unusableSince
}

// Record returns the latest known record of the group and its revision, 0 if there is none.
func (g *PrimaryGuard) Record() (Record, int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.grant.Record()
}

// ApplyRecord applies a record read from the store. While the grant is usable, a record
// that is already known does not close the Changed channel: on each change in the store an
// instance applies the records of all groups again.
func (g *PrimaryGuard) ApplyRecord(record Record, revision int64) {
	if g.isCurrent(revision) {
		return
	}
	g.update(func(grant *Grant) { grant.ApplyRecord(record, revision) })
}

// isCurrent reports whether the grant is usable and rests on the record with this revision
// or a later one.
func (g *PrimaryGuard) isCurrent(revision int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateUsability()
	return !g.unusable && revision <= g.grant.revision
}

// ApplyOutcome applies the outcome of a change that the leader published.
func (g *PrimaryGuard) ApplyOutcome(record Record, revision int64) {
	g.update(func(grant *Grant) { grant.ApplyOutcome(record, revision) })
}

// Confirm records that a store call sent at that time returned no newer record.
func (g *PrimaryGuard) Confirm(sent time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grant.Confirm(sent)
	g.updateUsability()
}

// ConfirmByQuorum records that a quorum of instances, asked at that time, knew of no record
// newer than the one with this revision.
func (g *PrimaryGuard) ConfirmByQuorum(sent time.Duration, revision int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grant.ConfirmByQuorum(sent, revision)
	g.updateUsability()
}

// UpdateSince returns what this instance knows beyond the record with this revision, and
// whether it knows anything more.
func (g *PrimaryGuard) UpdateSince(revision int64) (GroupUpdate, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.grant.UpdateSince(revision)
}

// ApplyUpdate applies what another instance knows. If that makes the grant unusable, work in
// progress may continue for as long as AbortOverdue allows.
func (g *PrimaryGuard) ApplyUpdate(groupUpdate GroupUpdate) {
	g.update(func(grant *Grant) { grant.ApplyUpdate(groupUpdate) })
}

// updateUsability updates unusable and unusableSince. The caller holds mu.
func (g *PrimaryGuard) updateUsability() {
	now := g.now()
	if g.grant.Usable(now) {
		g.unusable = false
	} else if !g.unusable {
		g.unusable, g.unusableSince = true, now
	}
}

func (g *PrimaryGuard) update(change func(*Grant)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.grant)
	g.updateUsability()
	g.abortReplaced()
	close(g.changed)
	g.changed = make(chan struct{})
}

// abortReplaced aborts the work on a primary whose successor is known, since no answer of it can be
// passed on. The caller holds mu.
func (g *PrimaryGuard) abortReplaced() {
	for p := range g.permits {
		if p.Term < g.grant.record.Term {
			p.abortOnce()
		}
	}
}

// abortOnce aborts the work, unless it was aborted before. The caller holds the guard's mu.
func (p *Permit) abortOnce() {
	if !p.aborted {
		p.aborted = true
		go p.abort()
	}
}

// Release ends the grants of all records before the one that announces a change, which has
// this revision. It returns nil once no work on the primary is in progress; work that is
// still running after drain, or when ctx ends, is aborted. If ctx ends before all aborted
// work has returned its permit, its error is returned.
func (g *PrimaryGuard) Release(ctx context.Context, revision int64, drain time.Duration) error {
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

// abortOutdated aborts the work of permits that the current grant does not cover.
func (g *PrimaryGuard) abortOutdated() {
	g.mu.Lock()
	defer g.mu.Unlock()
	current, err := g.grant.Primary(g.now())
	for p := range g.permits {
		if err != nil || current.Primary != p.Primary || current.Term != p.Term {
			p.abortOnce()
		}
	}
}

// AbortOverdue aborts work that is still running although the grant has been unusable for
// longer than drain. It must be called regularly.
func (g *PrimaryGuard) AbortOverdue(drain time.Duration) {
	g.mu.Lock()
	g.updateUsability()
	overdue := g.unusable && len(g.permits) > 0 && g.now()-g.unusableSince > drain
	g.mu.Unlock()
	if overdue {
		g.abortOutdated()
	}
}
