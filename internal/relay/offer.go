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
	patienceTimes = 8
	// defaultPatience stands for that while nothing usual is known.
	defaultPatience = 150 * time.Millisecond
	// maxFailures is how many members may fail a read before its failure is the
	// caller's: the statement itself may be at fault.
	maxFailures = 2
)

// patience returns for how long a member is expected to work on the statement at most.
func (a *attempt) patience() time.Duration { return a.group.patience(a.route) }

// patience returns for how long a member is expected to work on a statement of a route at most.
func (g *groupState) patience(route topology.Route) time.Duration {
	if usual := g.usual(kindOf(route)); usual > 0 {
		return patienceTimes * usual
	}
	return defaultPatience
}

// target is a member that is to run a statement.
type target struct {
	up      *upstream
	pass    *lead.Permit   // for the primary; nil: a replica
	breaker *breaker       // with a pass only
	after   group.Position // that its log must hold; zero: any
}

// tryAt has one member run the statement. A connection is waited for until
// waitUntil, the answer until timeout.
func (a *attempt) tryAt(ctx context.Context, t target, waitUntil, timeout time.Duration) (statement.Answer, outcome) {
	relay, up := a.s.relay, t.up
	if a.callerGone() || !a.mayRepeat() {
		return statement.Answer{}, noRoom
	}
	a.lastMember, a.lastAfter = up.id, t.after
	queued := a.enterQueue(up, waitUntil)
	lease, err := up.pool.Acquire(ctx, pool.Request{
		Account:   a.account,
		Priority:  a.route.Priority,
		Work:      a.group.usual(kindOf(a.route)),
		Objective: a.arrived + a.route.LatencyObjective,
		Flexible:  !a.needsPrimary(),
		Write:     !a.reads,
		Deadline:  max(waitUntil, a.now()),
	}, func(c *member.PooledConn) int { return c.Match(a.s.values) })
	queued.leave(err == nil)
	defer queued.shown()
	if err != nil {
		a.noteNoRoom(up, err)
		return statement.Answer{}, noRoom
	}
	held := &hold{lease: lease, breaker: t.breaker}
	if !t.breaker.guard(lease.Conn) {
		held.release()
		a.why = "the primary is being changed"
		return statement.Answer{}, noRoom
	}
	if err := lease.Conn.ApplySession(a.s.values, a.needed); err != nil {
		held.release()
		up.noteBroken(err)
		up.noteMiss(a.now())
		a.why = err.Error()
		return statement.Answer{}, noRoom
	}
	if a.callerGone() || a.token.Expired(a.now()) && !a.spendAgain() {
		held.release() // nobody waits for it, or it has waited for longer than the right to it lasts
		return statement.Answer{}, noRoom
	}
	asked := a.now()
	stuck := time.AfterFunc(a.patience(), lease.Park)
	defer stuck.Stop()
	answer, err := lease.Conn.Run(request(a.st, a.needed, t.after, relay.wall(timeout)))
	if err != nil {
		held.release()
		up.noteBroken(err)
		up.noteMiss(a.now())
		return a.lostAnswer(up, t.breaker.cause(err))
	}
	took := a.now() - asked
	relay.noteAnswer(up, a.group, t.pass, asked, answer)
	if answer.Err == nil && answer.State == statement.Idle {
		relay.pace(up, a.group, a.route, took)
	}
	if answer.Err != nil && answer.Err.Code.NotRun() && answer.Err.Code != statement.Malformed {
		// One that has no room could run it; one that lags or does not lead could not.
		a.offered = a.offered || answer.Err.Code == statement.Busy
		return a.refusedBy(up, held, answer)
	}
	a.offered = true
	if a.mayRunAgain(answer) {
		return a.failedAt(up, held, answer)
	}
	return a.settle(t, held, answer)
}

// mayRepeat reports whether the statement may be sent to a member: for the first time, or
// once more when the account has the right to another operation, since one that may
// have run counts.
func (a *attempt) mayRepeat() bool {
	return !a.maybeRun || a.spendAgain()
}

// spendAgain uses the account's right to another operation.
func (a *attempt) spendAgain() bool {
	var ok bool
	patience := min(a.deadline, a.arrived+a.route.LatencyObjective) - a.now()
	if a.token, _, ok = a.s.relay.limiter.Spend(a.ctx, a.account, patience); !ok {
		a.why, a.atLimit = "the account is at its limit", true
		return false
	}
	a.maybeRun = false
	return true
}

// noteNoRoom records why no connection could be had.
func (a *attempt) noteNoRoom(up *upstream, err error) {
	a.why = "member " + up.id + ": " + err.Error()
	var refusal *statement.Error
	switch {
	case errors.Is(err, connpool.ErrBackoff):
		a.obstacle = unreachable(up, a.now())
		return
	case errors.Is(err, connpool.ErrDeadline), errors.Is(err, connpool.ErrQueueFull):
		a.full = true
		return
	case errors.Is(err, connpool.ErrClosed),
		errors.Is(err, context.Canceled), errors.As(err, &refusal):
		return
	}
	up.noteMiss(a.now())
	a.obstacle = unreachable(up, a.now())
}

// lostAnswer decides about a statement whose answer did not arrive. What cannot
// have changed anything may run again: a read, and a transaction's beginning.
func (a *attempt) lostAnswer(up *upstream, err error) (statement.Answer, outcome) {
	a.s.relay.logLost(a.s, a.st, up.id, err)
	a.why, a.maybeRun = err.Error(), true
	if a.reads || a.st.Kind == statement.Begin {
		return statement.Answer{}, notRun
	}
	return statement.Answer{}, unknown
}

// refusedBy handles a member's word that it did not run the statement.
func (a *attempt) refusedBy(up *upstream, held *hold, answer statement.Answer) (statement.Answer, outcome) {
	held.release()
	a.why = "member " + up.id + ": " + answer.Err.Error()
	if code := answer.Err.Code; code == statement.ReadOnly || code == statement.Misrouted {
		up.noteMiss(a.now())
	}
	return statement.Answer{}, notRun
}

// mayRunAgain reports whether a read that a member ran and failed is to be given to
// another: a member may fail part of what it runs while all else about it is well.
func (a *attempt) mayRunAgain(answer statement.Answer) bool {
	return a.reads && answer.State == statement.Idle && answer.Err != nil &&
		answer.Err.Code == statement.StatementFailed && a.failures < maxFailures
}

// failedAt passes over a member that has failed a read.
func (a *attempt) failedAt(up *upstream, held *hold, answer statement.Answer) (statement.Answer, outcome) {
	held.release()
	up.noteMiss(a.now())
	a.failures++
	a.failed, a.maybeRun = answer, true
	a.why = "member " + up.id + ": " + answer.Err.Error()
	return statement.Answer{}, notRun
}

// settle passes an answer on. A transaction keeps its connection.
func (a *attempt) settle(t target, held *hold, answer statement.Answer) (statement.Answer, outcome) {
	pass := t.pass
	if answer.State != statement.Idle {
		held.lease.Park()
		a.s.tx = &transaction{up: t.up, held: held, pass: pass, group: a.group, route: a.route}
		return answer, served
	}
	held.release()
	if answer.Err != nil || pass == nil {
		return answer, served
	}
	if !a.s.relay.stands(a.group, pass, a.reads) {
		a.why = "the primary may have been replaced before the answer could be passed on"
		if a.reads {
			a.maybeRun = true
			return statement.Answer{}, notRun
		}
		return statement.Answer{}, unknown
	}
	if a.reads {
		return answer, served
	}
	a.s.floor = group.Max(a.s.floor, answer.Position)
	return answer, served
}
