package relay

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/admission"
	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/routing"
	"github.com/stackspindle/stackspindle/internal/statement"
)

// Limits of how long the first statement of a transaction waits for a member.
const (
	// answerMargin is the part of the deadline that is reserved for returning the answer.
	answerMargin = 8 * time.Millisecond
	// retryDelay is the pause between two rounds in which no member could run the statement.
	retryDelay = 6 * time.Millisecond
	// maxWaitMultiple is how many times its predicted wait a read stays in one member's queue
	// before the members are compared again.
	maxWaitMultiple = 2
	// defaultRetryAfter is the delay that a refusal advises when no better estimate is known.
	defaultRetryAfter = 50 * time.Millisecond
)

// unavailability is a reason, other than a full queue, why no member could run the statement.
type unavailability struct {
	reason    admission.Reason
	remaining time.Duration // expected duration until it ends
}

// unreachableMember returns the unavailability of a member to which no connection can be obtained.
func unreachableMember(upstream *upstreamState, now time.Duration) *unavailability {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return &unavailability{reason: admission.Unreachable, remaining: admission.RemainingUnresponsive(upstream.unresponsiveFor(now))}
}

// unresponsiveFor returns for how long requests to the member have got no answer. The caller holds
// mu.
func (u *upstreamState) unresponsiveFor(now time.Duration) time.Duration {
	return u.health.UnresponsiveFor(now)
}

// admissionRequest describes the statement to admission control. The time left counts from now, so
// a statement that arrives late because other carriers could not run it is treated like a retry by
// its client.
func (a *attempt) admissionRequest() admission.Request {
	timeLeft := max(0, a.deadline-a.now())
	return admission.Request{
		ID: a.st.ID, TypicalDuration: a.group.typicalDuration(classOf(a.route)), Objective: min(a.route.LatencyObjective, timeLeft), Deadline: timeLeft,
	}
}

// priorityLevel returns the priority of the statement, bounded to the levels that are tracked
// separately.
func (a *attempt) priorityLevel() int { return min(max(a.route.Priority, 0), lastPriorityLevel) }

// queueTarget returns whether the statement waits for the primary only or for any member.
func (a *attempt) queueTarget() admission.Target {
	if a.needsPrimary() {
		return admission.PrimaryOnly
	}
	return admission.ReplicaAllowed
}

// decideAdmission decides whether the statement may wait for the member, or is refused because the
// wait would be too long.
func (u *upstreamState) decideAdmission(now time.Duration, level int, r admission.Request, target admission.Target) admission.Verdict {
	backlog := u.backlog(level, target)
	u.mu.Lock()
	defer u.mu.Unlock()
	if unresponsive := u.unresponsiveFor(now); unresponsive > 0 && u.probing {
		return admission.DecideOutage(r, admission.RemainingUnresponsive(unresponsive), admission.Unreachable)
	}
	return u.controllers[target][level].Decide(now, r, u.withSlowdown(now, backlog))
}

// withSlowdown adds the member's current slowdown to a backlog. The caller holds mu.
func (u *upstreamState) withSlowdown(now time.Duration, b admission.Backlog) admission.Backlog {
	b.Slowdown = u.throttle.Slowdown()
	if b.Paused -= now; b.Paused > 0 {
		b.Slowdown = max(1, b.Slowdown) / u.throttle.Share() // the throttle lets this instance send only for this share of the time
	}
	return b
}

func (u *upstreamState) backlog(level int, target admission.Target) admission.Backlog {
	b := u.pool.Backlog(level)
	if target == admission.ReplicaAllowed {
		b.Slots = b.FlexibleSlots
	} else {
		b.PausedUntil = 0 // a pause applies only to requests that another member could run
	}
	return admission.Backlog{Ahead: b.Ahead, Work: b.Work, Active: b.Active, Slots: b.Slots, MeanDuration: b.MeanHoldTime, Paused: b.PausedUntil}
}

// waitForPrimary queues the statement for the primary if admission control allows it. The decision
// is made once: an admitted statement stays admitted.
func (a *attempt) waitForPrimary() (statement.Answer, outcome) {
	if ref, err := a.guard.Primary(); err == nil && !a.hasVerdict {
		if upstream := a.session.relay.upstreams.get(ref.Primary); upstream != nil {
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

// waitAtFastest queues a read for the member where it is expected to run first.
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

// fastest returns the member where a read is expected to run first, among the eligible ones (the
// first candidate counts as eligible). Ties go to the one that routing prefers.
func (a *attempt) fastest(order []routing.Candidate, required group.Position, positionAge time.Duration) (routing.Candidate, admission.Verdict) {
	now, req := a.now(), a.admissionRequest()
	fastest, verdict, soonest := order[0], admission.Verdict{Admit: true}, time.Duration(0)
	for i, c := range order {
		upstream := a.session.relay.upstreams.get(c.ID)
		if upstream == nil || i > 0 && !c.Eligible(required, positionAge) {
			continue
		}
		v := upstream.decideAdmission(now, a.priorityLevel(), req, a.queueTarget())
		if runsAt := v.Wait + c.ExtraRoundTrip(); i == 0 || runsAt < soonest {
			fastest, verdict, soonest = c, v, runsAt
		}
	}
	return fastest, verdict
}

// queueEntry is a statement in a member's queue.
type queueEntry struct {
	attempt  *attempt
	upstream *upstreamState
	probe    bool // its outcome shows whether an unresponsive member answers again
}

// enterQueue records that the statement may wait for a member until the given time. It returns nil
// if that time has passed.
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
	upstream.controllerFor(a).Enqueued(now)
	if !upstream.probing && upstream.unresponsiveFor(now) > 0 {
		entry.probe, upstream.probing = true, true
	}
	return entry
}

// controllerFor returns the admission controller for statements of this priority and target. The
// caller holds mu.
func (u *upstreamState) controllerFor(a *attempt) *admission.Controller {
	return &u.controllers[a.queueTarget()][a.priorityLevel()]
}

// leaveQueue records that the statement no longer waits.
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
	e.upstream.controllerFor(e.attempt).Dequeued(now, granted)
	if granted {
		e.attempt.recordQueueWait(e.upstream, now)
	}
}

// finishProbe records that the outcome of a probe is known, so that another statement may probe the
// member.
func (e *queueEntry) finishProbe() {
	if e == nil || !e.probe {
		return
	}
	e.upstream.mu.Lock()
	defer e.upstream.mu.Unlock()
	e.upstream.probing = false
}

// recordQueueWait feeds the statement's queueing delay, and the delay predicted at admission, to
// the admission controller. The caller holds the upstream's mu.
func (a *attempt) recordQueueWait(upstream *upstreamState, now time.Duration) {
	if a.queuedAt == 0 {
		return
	}
	upstream.controllerFor(a).ObserveWait(now-a.queuedAt, a.verdict.Predicted)
	a.session.relay.recordWait(a, now-a.queuedAt)
	a.queuedAt = 0
}

// shouldRetry reports whether the statement waits for another round.
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

// queueDeadline returns until when the statement may wait: until its latency objective or, if it
// was admitted and its queue is not overloaded, until shortly before its deadline. In an overloaded
// queue, where others are refused, a late statement would take the place of one that can still meet
// its objective.
func (a *attempt) queueDeadline() time.Duration {
	objective := min(a.deadline, a.arrived+a.route.LatencyObjective)
	if !a.hasVerdict || a.offered || a.waitsForRecovery || a.now()+retryDelay < objective || a.overloaded() {
		return objective
	}
	return a.deadline - answerMargin - a.group.typicalDuration(classOf(a.route))
}

// overloaded reports whether the member that the statement waits for refuses statements of this
// priority and target.
func (a *attempt) overloaded() bool {
	upstream := a.session.relay.upstreams.get(a.lastMember)
	if upstream == nil {
		return false
	}
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return upstream.controllerFor(a).Overloaded(a.now())
}

// waitBeforeRetry waits for retryDelay, or until the group's primary changes or the client has
// disconnected.
func (a *attempt) waitBeforeRetry() {
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-a.guard.Changed():
	case <-a.ctx.Done():
	case <-timer.C:
	}
}

// refuse gives up the statement. It has not run, except for a read that failed or whose answer was
// lost.
func (a *attempt) refuse() statement.Answer {
	if !a.mayHaveRun {
		a.session.relay.limiter.ReturnToken(a.account, a.token)
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

// waitExceededPrediction reports whether the statement waited longer than predicted. A shorter
// wait, cut short because the client disconnected or its account is at its limit, says nothing
// about the queue.
func (a *attempt) waitExceededPrediction() bool { return a.now()-a.queuedAt > a.verdict.Predicted }

// retryAfter returns the delay after which the client should retry.
func (a *attempt) retryAfter() time.Duration {
	switch {
	case a.verdict.RetryAfter > 0:
		return a.verdict.RetryAfter
	case a.unavailable != nil:
		return admission.RetryAfterOutage(a.admissionRequest(), a.unavailable.remaining)
	}
	if upstream := a.session.relay.upstreams.get(a.lastMember); upstream != nil {
		if v := upstream.decideAdmission(a.now(), a.priorityLevel(), a.admissionRequest(), a.queueTarget()); v.Wait > 0 {
			return admission.RetryAfter(a.admissionRequest(), v.Wait, 0)
		}
	}
	return defaultRetryAfter
}

func (a *attempt) answerUnknown() statement.Answer {
	return statement.Failure(statement.Idle, statement.OutcomeUnknown, "it may have run: %s", a.reason)
}
