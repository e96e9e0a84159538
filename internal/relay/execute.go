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

// Limits of a statement's execution at a member.
const (
	// maxWorkMultiple is how many times its typical duration a statement may take before its
	// connection no longer counts towards the member's concurrent statements, so that a lost answer
	// doesn't block others. It is also the least time that a member gets for a read that another
	// member could serve. The factor is large because statements of one class differ in their work,
	// and wait for each other.
	maxWorkMultiple = 8
	// defaultMaxWork is the limit while the typical duration is not known.
	defaultMaxWork = 150 * time.Millisecond
	// maxReadFailures is how many members may fail a read before the client gets the failure: the
	// fault may be in the statement itself.
	maxReadFailures = 2
)

// maxWorkTime returns how long a member is expected to work on the statement at most.
func (a *attempt) maxWorkTime() time.Duration { return a.group.maxWorkTime(a.route) }

// maxWorkTime returns how long a member is expected to work on a statement of the route at most.
func (g *groupState) maxWorkTime(route topology.Route) time.Duration {
	if typical := g.typicalDuration(classOf(route)); typical > 0 {
		return maxWorkMultiple * typical
	}
	return defaultMaxWork
}

// target is the member that is to run a statement.
type target struct {
	upstream    *upstreamState
	permit      *lead.Permit   // of the primary; nil: a replica
	canceller   *workCanceller // set with a permit only
	minPosition group.Position // position that the member's log must have reached; zero: any
}

// runAt runs the statement at one member. It waits for a connection until waitUntil and for the
// answer until timeout.
func (a *attempt) runAt(ctx context.Context, t target, waitUntil, timeout time.Duration) (statement.Answer, outcome) {
	relay, upstream := a.session.relay, t.upstream
	if a.isCancelled() || !a.maySend() {
		return statement.Answer{}, noConnection
	}
	a.lastMember, a.lastMinPosition = upstream.id, t.minPosition
	entry := a.enterQueue(upstream, waitUntil)
	lease, err := upstream.pool.Acquire(ctx, pool.Request{
		Account:   a.account,
		Priority:  a.route.Priority,
		Work:      a.group.typicalDuration(classOf(a.route)),
		Objective: a.arrived + a.route.LatencyObjective,
		Flexible:  !a.needsPrimary(),
		Write:     !a.reads,
		Deadline:  max(waitUntil, a.now()),
	}, func(c *member.PooledConn) int { return c.Match(a.session.variables) })
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
	if err := lease.Conn.ApplySession(a.session.variables, a.prepared); err != nil {
		conn.release()
		upstream.handleBrokenConn(err)
		upstream.recordFailedAttempt(a.now())
		a.reason = err.Error()
		return statement.Answer{}, noConnection
	}
	if a.isCancelled() || a.token.Expired(a.now()) && !a.spendAnotherToken() {
		conn.release() // it was cancelled, or the token expired in the queue and there is no other
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
		// A busy member could run the statement; one that lags or is not the primary could not.
		a.offered = a.offered || answer.Err.Code == statement.Busy
		return a.handleRefusal(upstream, conn, answer)
	}
	a.offered = true
	if a.mayRetryElsewhere(answer) {
		return a.handleFailedRead(upstream, conn, answer)
	}
	return a.finish(t, conn, answer)
}

// maySend reports whether the statement may be sent to a member. If it may have run before, sending
// it again needs another token, since an operation that may have run counts against the account's
// limit.
func (a *attempt) maySend() bool {
	return !a.mayHaveRun || a.spendAnotherToken()
}

// spendAnotherToken spends a further token of the account for the statement.
func (a *attempt) spendAnotherToken() bool {
	var ok bool
	patience := min(a.deadline, a.arrived+a.route.LatencyObjective) - a.now()
	if a.token, _, ok = a.session.relay.limiter.AcquireToken(a.ctx, a.account, patience); !ok {
		a.reason, a.atLimit = "the account is at its limit", true
		return false
	}
	a.mayHaveRun = false
	return true
}

// recordNoConnection records why no connection could be obtained.
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

// handleLostAnswer handles a statement whose answer did not arrive. It may be retried if it cannot
// have changed anything: a read, or a BEGIN.
func (a *attempt) handleLostAnswer(upstream *upstreamState, err error) (statement.Answer, outcome) {
	a.session.relay.logLostAnswer(a.session, a.st, upstream.id, err)
	a.reason, a.mayHaveRun = err.Error(), true
	if a.reads || a.st.Kind == statement.Begin {
		return statement.Answer{}, notRun
	}
	return statement.Answer{}, unknownOutcome
}

// handleRefusal handles a member's answer that it did not run the statement.
func (a *attempt) handleRefusal(upstream *upstreamState, conn *leasedConn, answer statement.Answer) (statement.Answer, outcome) {
	conn.release()
	a.reason = "member " + upstream.id + ": " + answer.Err.Error()
	if code := answer.Err.Code; code == statement.ReadOnly || code == statement.Misrouted {
		upstream.recordFailedAttempt(a.now())
	}
	return statement.Answer{}, notRun
}

// mayRetryElsewhere reports whether a read that failed at a member is retried at another: a member
// may fail some statements and otherwise work normally.
func (a *attempt) mayRetryElsewhere(answer statement.Answer) bool {
	return a.reads && answer.State == statement.Idle && answer.Err != nil &&
		answer.Err.Code == statement.StatementFailed && a.readFailures < maxReadFailures
}

// handleFailedRead records that a member failed a read, which is then retried.
func (a *attempt) handleFailedRead(upstream *upstreamState, conn *leasedConn, answer statement.Answer) (statement.Answer, outcome) {
	conn.release()
	upstream.recordFailedAttempt(a.now())
	a.readFailures++
	a.lastFailure, a.mayHaveRun = answer, true
	a.reason = "member " + upstream.id + ": " + answer.Err.Error()
	return statement.Answer{}, notRun
}

// finish handles a member's final answer. An answer of the primary is passed on only while the
// permit allows it; see mayPassOn. An open transaction keeps its connection.
func (a *attempt) finish(t target, conn *leasedConn, answer statement.Answer) (statement.Answer, outcome) {
	permit := t.permit
	a.permit = permit
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
