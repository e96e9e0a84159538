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
	retryDelay = 6 * time.Millisecond
	// stayTimes is how many times its predicted wait a read stays in the queue of one
	// member before the members are compared again.
	maxWaitMultiple = 2
	// comeBack is the advice of a refusal when nothing better is known.
	defaultRetryAfter = 50 * time.Millisecond
)

// obstacle is why a member could not be asked, other than that it is full.
type unavailability struct {
	reason    admission.Reason
	remaining time.Duration // for which it is expected to last
}

// unreachable is the obstacle of a member to which no connection can be had.
func unreachableMember(upstream *upstreamState, now time.Duration) *unavailability {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return &unavailability{reason: admission.Unreachable, remaining: admission.Silence(upstream.unresponsiveFor(now))}
}

// silent returns for how long the member has not answered although it was asked. The
// caller holds mu.
func (u *upstreamState) unresponsiveFor(now time.Duration) time.Duration {
	return u.health.SilentFor(now)
}

// request returns what admission needs to know of the statement. One that arrives late,
// since others could not run it, is treated as its caller's next attempt would be.
func (a *attempt) admissionRequest() admission.Request {
	timeLeft := max(0, a.deadline-a.now())
	return admission.Request{
		ID: a.st.ID, Usual: a.group.typicalDuration(classOf(a.route)), Objective: min(a.route.LatencyObjective, timeLeft), Deadline: timeLeft,
	}
}

// level returns the priority of the statement among those that are told apart.
func (a *attempt) priorityLevel() int { return min(max(a.route.Priority, 0), lastPriorityLevel) }

// work returns what the statement needs.
func (a *attempt) queueTarget() admission.Work {
	if a.needsPrimary() {
		return admission.OnPrimary
	}
	return admission.OnReplica
}

// decide returns whether the wait for a member is worth it.
func (u *upstreamState) decideAdmission(now time.Duration, level int, r admission.Request, target admission.Work) admission.Verdict {
	backlog := u.backlog(level, target)
	u.mu.Lock()
	defer u.mu.Unlock()
	if unresponsive := u.unresponsiveFor(now); unresponsive > 0 && u.probing {
		return admission.DecideOutage(r, admission.Silence(unresponsive), admission.Unreachable)
	}
	return u.controllers[target][level].Decide(now, r, u.withSlowdown(now, backlog))
}

// slowed returns a backlog with how slow the member is. The caller holds mu.
func (u *upstreamState) withSlowdown(now time.Duration, b admission.Backlog) admission.Backlog {
	b.Slowdown = u.throttle.Slowdown()
	if b.Paused -= now; b.Paused > 0 {
		b.Slowdown = max(1, b.Slowdown) / u.throttle.Share() // it works for this instance for a share of the time
	}
	return b
}

func (u *upstreamState) backlog(level int, target admission.Work) admission.Backlog {
	b := u.pool.Backlog(level)
	if target == admission.OnReplica {
		b.Slots = b.Flexible
	} else {
		b.PausedUntil = 0 // a pause holds flexible requests only
	}
	return admission.Backlog{Ahead: b.Ahead, Work: b.Work, Active: b.Active, Slots: b.Slots, Held: b.Held, Paused: b.PausedUntil}
}

// waitForPrimary has the statement wait for the primary if that is worth it. A statement that
// was admitted once stays so.
func (a *attempt) waitForPrimary() (statement.Answer, outcome) {
	if authority, err := a.guard.Authority(); err == nil && !a.hasVerdict {
		if upstream := a.session.relay.upstreams.get(authority.Primary); upstream != nil {
			a.verdict, a.hasVerdict = upstream.decideAdmission(a.now(), a.priorityLevel(), a.admissionRequest(), a.queueTarget()), true
			a.lastMember = upstream.id
		}
	}
	if a.hasVerdict && !a.verdict.Admit {
		a.reason = "what waits for the primary already takes longer than the statement can wait"
		return statement.Answer{}, noConnection
	}
	return a.tryPrimary(a.queueDeadline())
}

// waitAtBest has a read wait for the member at which it is expected to run first.
func (a *attempt) waitAtFastest(order []routing.Candidate, required group.Position, positionAge time.Duration) (statement.Answer, outcome) {
	if len(order) == 0 {
		a.reason = "no member is known that could serve it"
		return statement.Answer{}, noConnection
	}
	fastest, verdict := a.fastest(order, required, positionAge)
	if !a.hasVerdict {
		a.verdict, a.hasVerdict = verdict, true
	}
	if !a.verdict.Admit {
		a.lastMember, a.reason = fastest.ID, "what waits at the members already takes longer than the statement can wait"
		return statement.Answer{}, noConnection
	}
	maxWait := max(retryDelay, maxWaitMultiple*verdict.Wait)
	return a.tryCandidate(fastest, required, min(a.now()+maxWait, a.queueDeadline()), len(order) > 1)
}

// best returns the member at which a read is expected to run first, of those that are
// fit to serve it where there are such. The first of equals is the one that routing prefers.
func (a *attempt) fastest(order []routing.Candidate, required group.Position, positionAge time.Duration) (routing.Candidate, admission.Verdict) {
	now, req := a.now(), a.admissionRequest()
	fastest, verdict, soonest := order[0], admission.Verdict{Admit: true}, time.Duration(0)
	for i, c := range order {
		upstream := a.session.relay.upstreams.get(c.ID)
		if upstream == nil || i > 0 && !c.Fit(required, positionAge) {
			continue
		}
		v := upstream.decideAdmission(now, a.priorityLevel(), req, a.queueTarget())
		if runsAt := v.Wait + c.Trip(); i == 0 || runsAt < soonest {
			fastest, verdict, soonest = c, v, runsAt
		}
	}
	return fastest, verdict
}

// place is a statement's place in the queue before a member.
type queueEntry struct {
	attempt  *attempt
	upstream *upstreamState
	probe    bool // it shows whether a member is there that has not answered
}

// enterQueue notes that the statement may wait for a member until a time; nil: it does not.
func (a *attempt) enterQueue(upstream *upstreamState, until time.Duration) *queueEntry {
	now := a.now()
	if until <= now {
		return nil
	}
	if a.queuedAt == 0 {
		a.queuedAt = now
	}
	entry := &queueEntry{attempt: a, upstream: upstream}
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.controllerFor(a).Began(now)
	if !upstream.probing && upstream.unresponsiveFor(now) > 0 {
		entry.probe, upstream.probing = true, true
	}
	return entry
}

// level returns what is known of statements like this one. The caller holds mu.
func (u *upstreamState) controllerFor(a *attempt) *admission.Level {
	return &u.controllers[a.queueTarget()][a.priorityLevel()]
}

// leave notes that the statement waits no longer.
func (e *queueEntry) leaveQueue(granted bool) {
	if e == nil {
		return
	}
	now := e.attempt.now()
	e.upstream.mu.Lock()
	defer e.upstream.mu.Unlock()
	if e.probe && !granted {
		e.upstream.probing = false
	}
	e.upstream.controllerFor(e.attempt).Left(now, granted)
	if granted {
		e.attempt.recordQueueWait(e.upstream, now)
	}
}

// shown notes that what the statement was to show of the member is known.
func (e *queueEntry) finishProbe() {
	if e == nil || !e.probe {
		return
	}
	e.upstream.mu.Lock()
	defer e.upstream.mu.Unlock()
	e.upstream.probing = false
}

// learnWait compares how long the statement has waited with what was predicted when it was
// admitted. The caller holds up.mu.
func (a *attempt) recordQueueWait(upstream *upstreamState, now time.Duration) {
	if a.queuedAt == 0 {
		return
	}
	upstream.controllerFor(a).Waited(now-a.queuedAt, a.verdict.Predicted)
	a.session.relay.recordWait(a, now-a.queuedAt)
	a.queuedAt = 0
}

// worthHolding reports whether the statement is held for another round.
func (a *attempt) shouldRetry() bool {
	if a.hasVerdict && !a.verdict.Admit {
		return false
	}
	if a.unavailable != nil && !a.saturated && !a.waitsForRecovery {
		v := admission.DecideOutage(a.admissionRequest(), a.unavailable.remaining, a.unavailable.reason)
		if !v.Admit {
			a.verdict, a.hasVerdict = v, true
			return false
		}
		a.waitsForRecovery = true
	}
	return a.now()+retryDelay < a.queueDeadline()
}

// holdUntil returns until when the statement may be held: for its objective, and beyond that
// until its deadline is near if it was admitted and its queue is not overloaded. Where
// others are refused, one that is late takes the room of one that would be in time.
func (a *attempt) queueDeadline() time.Duration {
	objective := min(a.deadline, a.arrived+a.route.LatencyObjective)
	if !a.hasVerdict || a.offered || a.waitsForRecovery || a.now()+retryDelay < objective || a.overloaded() {
		return objective
	}
	return a.deadline - answerMargin - a.group.typicalDuration(classOf(a.route))
}

// overloaded reports whether statements like this one are refused at the member that it
// waits for.
func (a *attempt) overloaded() bool {
	upstream := a.session.relay.upstreams.get(a.lastMember)
	if upstream == nil {
		return false
	}
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return upstream.controllerFor(a).Overloaded(a.now())
}

// pause waits for a moment, or until the group's primary changes or nobody waits any more.
func (a *attempt) waitBeforeRetry() {
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-a.guard.Changed():
	case <-a.ctx.Done():
	case <-timer.C:
	}
}

// refuse gives the statement up. Nothing of it has run, but for a read that failed, or
// whose answer was lost.
func (a *attempt) refuse() statement.Answer {
	if !a.mayHaveRun {
		a.session.relay.limiter.Return(a.account, a.token)
	}
	if a.readFailures > 0 {
		return a.lastFailure
	}
	if upstream := a.session.relay.upstreams.get(a.lastMember); upstream != nil && a.waitExceededPrediction() {
		upstream.mu.Lock()
		a.recordQueueWait(upstream, a.now())
		upstream.mu.Unlock()
	}
	answer := statement.Failure(statement.Idle, statement.Busy, "not run: %s", a.reason)
	answer.Err.RetryAfter = a.retryAfter()
	a.session.relay.recordRefusal(a, answer.Err.RetryAfter)
	return answer
}

// waitedInVain reports whether the statement has waited for longer than was predicted. One that
// ended before, since its caller left or its account is at its limit, tells nothing.
func (a *attempt) waitExceededPrediction() bool { return a.now()-a.queuedAt > a.verdict.Predicted }

// comeBack returns after what time the caller is told to try again.
func (a *attempt) retryAfter() time.Duration {
	switch {
	case a.verdict.ComeBack > 0:
		return a.verdict.ComeBack
	case a.unavailable != nil:
		return admission.ComeBackAfter(a.admissionRequest(), a.unavailable.remaining)
	}
	if upstream := a.session.relay.upstreams.get(a.lastMember); upstream != nil {
		if v := upstream.decideAdmission(a.now(), a.priorityLevel(), a.admissionRequest(), a.queueTarget()); v.Wait > 0 {
			return admission.ComeBack(a.admissionRequest(), v.Wait, 0)
		}
	}
	return defaultRetryAfter
}

func (a *attempt) answerUnknown() statement.Answer {
	return statement.Failure(statement.Idle, statement.Unknown, "it may have run: %s", a.reason)
}
