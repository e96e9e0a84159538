package relay

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/admission"
	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/routing"
	"github.com/stackspindle/stackspindle/internal/statement"
)

// Settings of how long a first statement is held.
const (
	// answerMargin is kept of the time that a statement has, for the answer to leave.
	answerMargin = 8 * time.Millisecond
	// retryPause is the pause after all members have refused.
	retryPause = 6 * time.Millisecond
	// stayTimes is how many times its predicted wait a read stays in the queue of one
	// member before the members are compared again.
	stayTimes = 2
	// comeBack is the advice of a refusal when nothing better is known.
	comeBack = 50 * time.Millisecond
)

// obstacle is why a member could not be asked, other than that it is full.
type obstacle struct {
	reason admission.Reason
	left   time.Duration // for which it is expected to last
}

// unreachable is the obstacle of a member to which no connection can be had.
func unreachable(up *upstream, now time.Duration) *obstacle {
	up.mu.Lock()
	defer up.mu.Unlock()
	return &obstacle{reason: admission.Unreachable, left: admission.RemainingUnresponsive(up.silent(now))}
}

// silent returns for how long the member has not answered although it was asked. The
// caller holds mu.
func (up *upstream) silent(now time.Duration) time.Duration { return up.health.UnresponsiveFor(now) }

// request returns what admission needs to know of the statement. One that arrives late,
// since others could not run it, is treated as its caller's next attempt would be.
func (a *attempt) request() admission.Request {
	left := max(0, a.deadline-a.now())
	return admission.Request{
		ID: a.st.ID, TypicalDuration: a.group.usual(kindOf(a.route)), Objective: min(a.route.LatencyObjective, left), Deadline: left,
	}
}

// level returns the priority of the statement among those that are told apart.
func (a *attempt) level() int { return min(max(a.route.Priority, 0), lowestPriority) }

// work returns what the statement needs.
func (a *attempt) work() admission.Target {
	if a.needsPrimary() {
		return admission.PrimaryOnly
	}
	return admission.ReplicaAllowed
}

// decide returns whether the wait for a member is worth it.
func (up *upstream) decide(now time.Duration, level int, r admission.Request, work admission.Target) admission.Verdict {
	backlog := up.backlog(level, work)
	up.mu.Lock()
	defer up.mu.Unlock()
	if silent := up.silent(now); silent > 0 && up.probing {
		return admission.DecideOutage(r, admission.RemainingUnresponsive(silent), admission.Unreachable)
	}
	return up.levels[work][level].Decide(now, r, up.slowed(now, backlog))
}

// slowed returns a backlog with how slow the member is. The caller holds mu.
func (up *upstream) slowed(now time.Duration, b admission.Backlog) admission.Backlog {
	b.Slowdown = up.window.Slowdown()
	if b.Paused -= now; b.Paused > 0 {
		b.Slowdown = max(1, b.Slowdown) / up.window.Share() // it works for this instance for a share of the time
	}
	return b
}

func (up *upstream) backlog(level int, work admission.Target) admission.Backlog {
	b := up.pool.Backlog(level)
	if work == admission.ReplicaAllowed {
		b.Slots = b.FlexibleSlots
	} else {
		b.PausedUntil = 0 // a pause holds flexible requests only
	}
	return admission.Backlog{Ahead: b.Ahead, Work: b.Work, Active: b.Active, Slots: b.Slots, MeanDuration: b.MeanHoldTime, Paused: b.PausedUntil}
}

// waitForPrimary has the statement wait for the primary if that is worth it. A statement that
// was admitted once stays so.
func (a *attempt) waitForPrimary() (statement.Answer, outcome) {
	if authority, err := a.gate.Primary(); err == nil && !a.decided {
		if up := a.s.relay.upstreams.get(authority.Primary); up != nil {
			a.verdict, a.decided = up.decide(a.now(), a.level(), a.request(), a.work()), true
			a.lastMember = up.id
		}
	}
	if a.decided && !a.verdict.Admit {
		a.why = "what waits for the primary already takes longer than the statement can wait"
		return statement.Answer{}, noRoom
	}
	return a.tryPrimary(a.holdUntil())
}

// waitAtBest has a read wait for the member at which it is expected to run first.
func (a *attempt) waitAtBest(order []routing.Candidate, required group.Position, age time.Duration) (statement.Answer, outcome) {
	if len(order) == 0 {
		a.why = "no member is known that could serve it"
		return statement.Answer{}, noRoom
	}
	best, verdict := a.best(order, required, age)
	if !a.decided {
		a.verdict, a.decided = verdict, true
	}
	if !a.verdict.Admit {
		a.lastMember, a.why = best.ID, "what waits at the members already takes longer than the statement can wait"
		return statement.Answer{}, noRoom
	}
	stay := max(retryPause, stayTimes*verdict.Wait)
	return a.tryOne(best, required, min(a.now()+stay, a.holdUntil()), len(order) > 1)
}

// best returns the member at which a read is expected to run first, of those that are
// fit to serve it where there are such. The first of equals is the one that routing prefers.
func (a *attempt) best(order []routing.Candidate, required group.Position, age time.Duration) (routing.Candidate, admission.Verdict) {
	now, request := a.now(), a.request()
	best, verdict, soonest := order[0], admission.Verdict{Admit: true}, time.Duration(0)
	for i, c := range order {
		up := a.s.relay.upstreams.get(c.ID)
		if up == nil || i > 0 && !c.Eligible(required, age) {
			continue
		}
		v := up.decide(now, a.level(), request, a.work())
		if at := v.Wait + c.ExtraRoundTrip(); i == 0 || at < soonest {
			best, verdict, soonest = c, v, at
		}
	}
	return best, verdict
}

// place is a statement's place in the queue before a member.
type place struct {
	a     *attempt
	up    *upstream
	probe bool // it shows whether a member is there that has not answered
}

// enterQueue notes that the statement may wait for a member until a time; nil: it does not.
func (a *attempt) enterQueue(up *upstream, until time.Duration) *place {
	now := a.now()
	if until <= now {
		return nil
	}
	if a.queuedAt == 0 {
		a.queuedAt = now
	}
	p := &place{a: a, up: up}
	up.mu.Lock()
	defer up.mu.Unlock()
	up.level(a).Enqueued(now)
	if !up.probing && up.silent(now) > 0 {
		p.probe, up.probing = true, true
	}
	return p
}

// level returns what is known of statements like this one. The caller holds mu.
func (up *upstream) level(a *attempt) *admission.Controller { return &up.levels[a.work()][a.level()] }

// leave notes that the statement waits no longer.
func (p *place) leave(granted bool) {
	if p == nil {
		return
	}
	now := p.a.now()
	p.up.mu.Lock()
	defer p.up.mu.Unlock()
	if p.probe && !granted {
		p.up.probing = false
	}
	p.up.level(p.a).Dequeued(now, granted)
	if granted {
		p.a.learnWait(p.up, now)
	}
}

// shown notes that what the statement was to show of the member is known.
func (p *place) shown() {
	if p == nil || !p.probe {
		return
	}
	p.up.mu.Lock()
	defer p.up.mu.Unlock()
	p.up.probing = false
}

// learnWait compares how long the statement has waited with what was predicted when it was
// admitted. The caller holds up.mu.
func (a *attempt) learnWait(up *upstream, now time.Duration) {
	if a.queuedAt == 0 {
		return
	}
	up.level(a).ObserveWait(now-a.queuedAt, a.verdict.Predicted)
	a.s.relay.observeWait(a, now-a.queuedAt)
	a.queuedAt = 0
}

// worthHolding reports whether the statement is held for another round.
func (a *attempt) worthHolding() bool {
	if a.decided && !a.verdict.Admit {
		return false
	}
	if a.obstacle != nil && !a.full && !a.waits {
		v := admission.DecideOutage(a.request(), a.obstacle.left, a.obstacle.reason)
		if !v.Admit {
			a.verdict, a.decided = v, true
			return false
		}
		a.waits = true
	}
	return a.now()+retryPause < a.holdUntil()
}

// holdUntil returns until when the statement may be held: for its objective, and beyond that
// until its deadline is near if it was admitted and its queue is not overloaded. Where
// others are refused, one that is late takes the room of one that would be in time.
func (a *attempt) holdUntil() time.Duration {
	objective := min(a.deadline, a.arrived+a.route.LatencyObjective)
	if !a.decided || a.offered || a.waits || a.now()+retryPause < objective || a.overloaded() {
		return objective
	}
	return a.deadline - answerMargin - a.group.usual(kindOf(a.route))
}

// overloaded reports whether statements like this one are refused at the member that it
// waits for.
func (a *attempt) overloaded() bool {
	up := a.s.relay.upstreams.get(a.lastMember)
	if up == nil {
		return false
	}
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.level(a).Overloaded(a.now())
}

// pause waits for a moment, or until the group's primary changes or nobody waits any more.
func (a *attempt) pause() {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-a.gate.Changed():
	case <-a.ctx.Done():
	case <-timer.C:
	}
}

// refuse gives the statement up. Nothing of it has run, but for a read that failed, or
// whose answer was lost.
func (a *attempt) refuse() statement.Answer {
	if !a.maybeRun {
		a.s.relay.limiter.Return(a.account, a.token)
	}
	if a.failures > 0 {
		return a.failed
	}
	if up := a.s.relay.upstreams.get(a.lastMember); up != nil && a.waitedInVain() {
		up.mu.Lock()
		a.learnWait(up, a.now())
		up.mu.Unlock()
	}
	answer := statement.Failure(statement.Idle, statement.Busy, "not run: %s", a.why)
	answer.Err.RetryAfter = a.comeBack()
	a.s.relay.noteRefusal(a, answer.Err.RetryAfter)
	return answer
}

// waitedInVain reports whether the statement has waited for longer than was predicted. One that
// ended before, since its caller left or its account is at its limit, tells nothing.
func (a *attempt) waitedInVain() bool { return a.now()-a.queuedAt > a.verdict.Predicted }

// comeBack returns after what time the caller is told to try again.
func (a *attempt) comeBack() time.Duration {
	switch {
	case a.verdict.RetryAfter > 0:
		return a.verdict.RetryAfter
	case a.obstacle != nil:
		return admission.RetryAfterOutage(a.request(), a.obstacle.left)
	}
	if up := a.s.relay.upstreams.get(a.lastMember); up != nil {
		if v := up.decide(a.now(), a.level(), a.request(), a.work()); v.Wait > 0 {
			return admission.RetryAfter(a.request(), v.Wait, 0)
		}
	}
	return comeBack
}

func (a *attempt) giveUpUnknown() statement.Answer {
	return statement.Failure(statement.Idle, statement.OutcomeUnknown, "it may have run: %s", a.why)
}
