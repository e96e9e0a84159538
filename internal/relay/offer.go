package relay

import (
	"context"
	"errors"
	"time"

	"github.com/stackspindle/stackspindle/internal/connpool"
	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/pool"
	"github.com/stackspindle/stackspindle/internal/statement"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// Settings of the work of a member on a statement.
const (
	// patienceTimes is how many times its usual time a statement may take before it
	// does not count as work of its member any more, so that a lost answer does not
	// keep others away, and the least that a member gets for a read that others could
	// serve. Statements of one kind differ in their work, and wait for others.
	maxWorkMultiple = 8
	// defaultPatience stands for that while nothing usual is known.
	defaultMaxWork = 150 * time.Millisecond
	// maxFailures is how many members may fail a read before its failure is the
	// caller's: the statement itself may be at fault.
	maxReadFailures = 2
)

// patience returns for how long a member is expected to work on the statement at most.
func (a *attempt) maxWorkTime() time.Duration { return a.group.maxWorkTime(a.route) }

// patience returns for how long a member is expected to work on a statement of a route at most.
func (g *groupState) maxWorkTime(route topology.Route) time.Duration {
	if typical := g.typicalDuration(classOf(route)); typical > 0 {
		return maxWorkMultiple * typical
	}
	return defaultMaxWork
}

// target is a member that is to run a statement.
type target struct {
	upstream    *upstreamState
	permit      *lead.Pass     // for the primary; nil: a replica
	canceller   *workCanceller // with a pass only
	minPosition group.Position // that its log must hold; zero: any
}

// tryAt has one member run the statement. A connection is waited for until
// waitUntil, the answer until timeout.
func (a *attempt) runAt(ctx context.Context, t target, waitUntil, timeout time.Duration) (statement.Answer, outcome) {
	relay, upstream := a.session.relay, t.upstream
	if a.clientGone() || !a.maySend() {
		return statement.Answer{}, noConnection
	}
	a.lastMember, a.lastMinPosition = upstream.id, t.minPosition
	entry := a.enterQueue(upstream, waitUntil)
	lease, err := upstream.pool.Acquire(ctx, pool.Request{
		Account:   a.account,
		Priority:  a.route.Priority,
		Work:      a.group.typicalDuration(classOf(a.route)),
		Objective: a.arrived + a.route.LatencyObjective,
		Elsewhere: !a.needsPrimary(),
		Write:     !a.reads,
		Deadline:  max(waitUntil, a.now()),
	}, func(c *member.Shared) int { return c.Match(a.session.variables) })
	entry.leaveQueue(err == nil)
	defer entry.finishProbe()
	if err != nil {
		a.recordNoConnection(upstream, err)
		return statement.Answer{}, noConnection
	}
	conn := &leasedConn{lease: lease, canceller: t.canceller}
	if !t.canceller.attach(lease.Conn) {
		conn.release()
		a.reason = "the primary is being changed"
		return statement.Answer{}, noConnection
	}
	if err := lease.Conn.Prepare(a.session.variables, a.prepared); err != nil {
		conn.release()
		upstream.handleBrokenConn(err)
		upstream.recordFailedAttempt(a.now())
		a.reason = err.Error()
		return statement.Answer{}, noConnection
	}
	if a.clientGone() || a.token.Expired(a.now()) && !a.spendAnotherToken() {
		conn.release() // nobody waits for it, or it has waited for longer than the right to it lasts
		return statement.Answer{}, noConnection
	}
	sentAt := a.now()
	parkTimer := time.AfterFunc(a.maxWorkTime(), lease.Park)
	defer parkTimer.Stop()
	answer, err := lease.Conn.Run(memberRequest(a.st, a.prepared, t.minPosition, relay.timeAt(timeout)))
	if err != nil {
		conn.release()
		upstream.handleBrokenConn(err)
		upstream.recordFailedAttempt(a.now())
		return a.handleLostAnswer(upstream, t.canceller.cause(err))
	}
	took := a.now() - sentAt
	relay.recordAnswer(upstream, a.group, t.permit, sentAt, answer)
	if answer.Err == nil && answer.State == statement.Idle {
		relay.paceMember(upstream, a.group, a.route, took)
	}
	if answer.Err != nil && answer.Err.Code.NotRun() && answer.Err.Code != statement.Malformed {
		// One that has no room could run it; one that lags or does not lead could not.
		a.offered = a.offered || answer.Err.Code == statement.Busy
		return a.handleRefusal(upstream, conn, answer)
	}
	a.offered = true
	if a.mayRetryElsewhere(answer) {
		return a.handleFailedRead(upstream, conn, answer)
	}
	return a.finish(t, conn, answer)
}

// mayRepeat reports whether the statement may be sent to a member: for the first time, or
// once more when the account has the right to another operation, since one that may
// have run counts.
func (a *attempt) maySend() bool {
	return !a.mayHaveRun || a.spendAnotherToken()
}

// spendAgain uses the account's right to another operation.
func (a *attempt) spendAnotherToken() bool {
	var ok bool
	patience := min(a.deadline, a.arrived+a.route.LatencyObjective) - a.now()
	if a.token, _, ok = a.session.relay.limiter.Spend(a.ctx, a.account, patience); !ok {
		a.reason, a.atLimit = "the account is at its limit", true
		return false
	}
	a.mayHaveRun = false
	return true
}

// noteNoRoom records why no connection could be had.
func (a *attempt) recordNoConnection(upstream *upstreamState, err error) {
	a.reason = "member " + upstream.id + ": " + err.Error()
	var refusal *statement.Error
	switch {
	case errors.Is(err, connpool.ErrBackoff):
		a.unavailable = unreachableMember(upstream, a.now())
		return
	case errors.Is(err, connpool.ErrDeadline), errors.Is(err, connpool.ErrQueueFull):
		a.saturated = true
		return
	case errors.Is(err, connpool.ErrClosed),
		errors.Is(err, context.Canceled), errors.As(err, &refusal):
		return
	}
	upstream.recordFailedAttempt(a.now())
	a.unavailable = unreachableMember(upstream, a.now())
}

// lostAnswer decides about a statement whose answer did not arrive. What cannot
// have changed anything may run again: a read, and a transaction's beginning.
func (a *attempt) handleLostAnswer(upstream *upstreamState, err error) (statement.Answer, outcome) {
	a.session.relay.logLostAnswer(a.session, a.st, upstream.id, err)
	a.reason, a.mayHaveRun = err.Error(), true
	if a.reads || a.st.Kind == statement.Begin {
		return statement.Answer{}, notRun
	}
	return statement.Answer{}, unknownOutcome
}

// refusedBy handles a member's word that it did not run the statement.
func (a *attempt) handleRefusal(upstream *upstreamState, conn *leasedConn, answer statement.Answer) (statement.Answer, outcome) {
	conn.release()
	a.reason = "member " + upstream.id + ": " + answer.Err.Error()
	if code := answer.Err.Code; code == statement.ReadOnly || code == statement.Misrouted {
		upstream.recordFailedAttempt(a.now())
	}
	return statement.Answer{}, notRun
}

// mayRunAgain reports whether a read that a member ran and failed is to be given to
// another: a member may fail part of what it runs while all else about it is well.
func (a *attempt) mayRetryElsewhere(answer statement.Answer) bool {
	return a.reads && answer.State == statement.Idle && answer.Err != nil &&
		answer.Err.Code == statement.StatementFailed && a.readFailures < maxReadFailures
}

// failedAt passes over a member that has failed a read.
func (a *attempt) handleFailedRead(upstream *upstreamState, conn *leasedConn, answer statement.Answer) (statement.Answer, outcome) {
	conn.release()
	upstream.recordFailedAttempt(a.now())
	a.readFailures++
	a.lastFailure, a.mayHaveRun = answer, true
	a.reason = "member " + upstream.id + ": " + answer.Err.Error()
	return statement.Answer{}, notRun
}

// settle passes an answer on. A transaction keeps its connection.
func (a *attempt) finish(t target, conn *leasedConn, answer statement.Answer) (statement.Answer, outcome) {
	permit := t.permit
	if answer.State != statement.Idle {
		conn.lease.Park()
		a.session.tx = &transaction{upstream: t.upstream, conn: conn, permit: permit, group: a.group, route: a.route}
		return answer, served
	}
	conn.release()
	if answer.Err != nil || permit == nil {
		return answer, served
	}
	if !a.session.relay.mayPassOn(a.group, permit, a.reads) {
		a.reason = "the primary may have been replaced before the answer could be passed on"
		if a.reads {
			a.mayHaveRun = true
			return statement.Answer{}, notRun
		}
		return statement.Answer{}, unknownOutcome
	}
	if a.reads {
		return answer, served
	}
	a.session.floor = group.Max(a.session.floor, answer.Position)
	return answer, served
}
