package relay

import (
	"context"
	"errors"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/statement"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// prepared is a statement that the session has named.
type preparedStatement struct {
	writes bool
	shape  string
}

// session is what belongs to one caller. It is used by one goroutine.
type session struct {
	relay       *Relay
	start       Start
	account     string // whose work it is, as the caller's own instance found
	variables   map[string]string
	prepared    map[string]preparedStatement
	floor       group.Position // of the session's last acknowledged commit
	state       statement.State
	tx          *transaction          // nil outside one, in one that was lost, and in one at a carrier
	forwardedTx *forwardedTransaction // at a carrier; nil: none
	forwarded   bool                  // the session is another instance's, which this one carries for
	lostReason  string                // why the open transaction is gone; empty: it is not

	retryAt         time.Duration // when the caller was told to come back last, for its account's limit
	accountEmptyFor time.Duration // for how long the account has no tokens, as the last refusal told
}

// transaction is an open transaction on a member's connection.
type transaction struct {
	upstream *upstreamState
	conn     *leasedConn
	permit   *lead.Pass // nil on a replica
	group    *groupState
	route    topology.Route
	wrote    bool
}

func newSession(r *Relay, start Start) *session {
	return &session{
		relay:     r,
		start:     start,
		variables: make(map[string]string),
		prepared:  make(map[string]preparedStatement),
		state:     statement.Idle,
	}
}

// handle returns the answer to a statement that arrived at a time. ctx ends when nobody
// waits for the answer any more.
func (s *session) handle(ctx context.Context, st statement.Statement, arrived time.Duration) statement.Answer {
	answer := s.dispatch(ctx, st, arrived)
	s.state = answer.State
	return answer
}

func (s *session) dispatch(ctx context.Context, st statement.Statement, arrived time.Duration) statement.Answer {
	endsTx := st.Kind == statement.Commit || st.Kind == statement.Rollback
	switch {
	case s.lostReason != "":
		return s.reportLostTx(endsTx)
	case s.state != statement.Idle && s.keyRevoked():
		s.endTx()
		return statement.Failure(statement.Idle, statement.Aborted, keyRevokedDetail)
	case s.state == statement.Failed && !endsTx:
		return statement.Failure(s.state, statement.Malformed, "the transaction has failed; only its end is accepted")
	case st.Kind == statement.Set:
		s.variables[st.Name] = st.Value
		return statement.Done(s.state)
	case st.Kind == statement.Prepare:
		s.prepared[st.Name] = preparedStatement{writes: st.Writes, shape: st.Shape}
		return statement.Done(s.state)
	case st.Kind == statement.Close:
		delete(s.prepared, st.Name)
		return statement.Done(s.state)
	case s.tx != nil:
		return s.continueTx(ctx, st, arrived)
	case s.forwardedTx != nil:
		return s.continueForwarded(ctx, st, arrived)
	case endsTx:
		return statement.Failure(statement.Idle, statement.Malformed, "no transaction is open")
	}
	return s.executeFirst(ctx, st, arrived)
}

// afterLoss tells the caller that its transaction is gone. Nothing of it is kept,
// since its end was never sent.
func (s *session) reportLostTx(endsTx bool) statement.Answer {
	reason := s.lostReason
	s.lostReason = ""
	if endsTx && s.state == statement.Failed {
		return statement.Done(statement.Idle)
	}
	return statement.Failure(statement.Idle, statement.Aborted, "%s", reason)
}

// needed returns what must be prepared at a member before the statement runs.
func (s *session) preparedFor(st statement.Statement) (*member.Prepared, bool) {
	if st.Kind != statement.Execute {
		return nil, true
	}
	p, ok := s.prepared[st.Name]
	if !ok {
		return nil, false
	}
	return &member.Prepared{Name: member.PreparedName(p.writes, p.shape), Writes: p.writes, Shape: p.shape}, true
}

// reads reports whether a first statement only reads.
func (s *session) readsOnly(st statement.Statement) bool {
	switch st.Kind {
	case statement.Read, statement.BeginRead:
		return true
	case statement.Execute:
		return !s.prepared[st.Name].writes
	}
	return false
}

// request returns the request that has a member run the statement.
func memberRequest(st statement.Statement, prepared *member.Prepared, after group.Position, deadline time.Time) member.Request {
	req := member.Request{Statement: st, After: after, Deadline: deadline}
	if prepared != nil {
		req.Name = prepared.Name
	}
	return req
}

// busyPause is the pause before a statement of an open transaction, which its
// member had no room for, is sent again.
const busyRetryDelay = 5 * time.Millisecond

// continueTx runs a further statement of the open transaction. One that its member has no
// room for is sent again until ctx ends.
func (s *session) continueTx(ctx context.Context, st statement.Statement, arrived time.Duration) statement.Answer {
	prepared, ok := s.preparedFor(st)
	if !ok {
		return statement.Failure(s.state, statement.Unprepared, "no statement %q was prepared in this session", st.Name)
	}
	tx, deadline := s.tx, s.relay.timeAt(arrived+s.tx.route.Timeout)
	tx.conn.lease.Resume()
	defer tx.conn.lease.Park() // without effect when the transaction has ended
	parkTimer := time.AfterFunc(tx.group.maxWorkTime(tx.route), tx.conn.lease.Park)
	defer parkTimer.Stop()
	for {
		if err := tx.conn.lease.Conn.Prepare(s.variables, prepared); err != nil {
			return s.handleLostConn(st, err, false)
		}
		sentAt := s.relay.now()
		answer, err := tx.conn.lease.Conn.Run(memberRequest(st, prepared, group.Position{}, deadline))
		if err != nil {
			return s.handleLostConn(st, err, true)
		}
		s.relay.recordAnswer(tx.upstream, tx.group, tx.permit, sentAt, answer)
		if retriableInTx(answer) && ctx.Err() == nil && time.Now().Add(busyRetryDelay).Before(deadline) {
			time.Sleep(busyRetryDelay)
			continue
		}
		return s.finishTxStatement(st, answer)
	}
}

// retriableInTx reports whether a statement of a transaction did not run and may
// be sent again, while the transaction goes on.
func retriableInTx(a statement.Answer) bool {
	if a.Err == nil || a.State != statement.InTransaction {
		return false
	}
	return a.Err.Code == statement.Busy || a.Err.Code == statement.Unprepared
}

// settleTx passes an answer on and lets go of the connection at the end.
func (s *session) finishTxStatement(st statement.Statement, answer statement.Answer) statement.Answer {
	tx := s.tx
	if answer.Err == nil && (st.Kind == statement.Write || st.Kind == statement.Execute && s.prepared[st.Name].writes) {
		tx.wrote = true
	}
	if answer.State != statement.Idle {
		return s.finishTxRead(st, answer)
	}
	valid := st.Kind != statement.Commit || !tx.wrote || s.relay.mayPassOn(tx.group, tx.permit, false)
	s.endTx()
	if st.Kind != statement.Commit || answer.Err != nil {
		return answer
	}
	if tx.wrote {
		if !valid {
			return statement.Failure(statement.Idle, statement.Unknown, "the primary was replaced before the commit could be acknowledged")
		}
		s.floor = group.Max(s.floor, answer.Position)
	}
	return answer
}

// settleRead passes the answer to a statement inside a transaction on. What was read
// from a primary whose grant is not confirmed is verified first.
func (s *session) finishTxRead(st statement.Statement, answer statement.Answer) statement.Answer {
	tx := s.tx
	if tx.permit == nil || answer.Err != nil || !s.readsOnly(st) || s.relay.mayPassOn(tx.group, tx.permit, true) {
		return answer
	}
	s.endTx()
	return statement.Failure(statement.Idle, statement.Aborted, "the primary may have been replaced before what was read could be passed on")
}

// loseTx ends a transaction whose connection cannot be used any more.
func (s *session) handleLostConn(st statement.Statement, cause error, sent bool) statement.Answer {
	tx := s.tx
	cause = tx.conn.canceller.cause(cause)
	s.relay.logLostAnswer(s, st, tx.upstream.id, cause)
	tx.upstream.handleBrokenConn(cause)
	if sent && errors.Is(cause, member.ErrBroken) {
		tx.upstream.recordFailedAttempt(s.relay.now())
	}
	s.endTx()
	if sent && st.Kind == statement.Commit && tx.wrote {
		return statement.Failure(statement.Idle, statement.Unknown, "the answer to the commit did not arrive: %v", cause)
	}
	return statement.Failure(statement.Idle, statement.Aborted, "the connection to the member was lost: %v", cause)
}

// endTx returns the transaction's connection. What is still open on it is rolled
// back, or the connection is closed.
func (s *session) endTx() {
	s.abortForwarded()
	if s.tx == nil {
		return
	}
	s.tx.conn.release()
	if s.tx.permit != nil {
		s.tx.permit.Done()
	}
	s.tx = nil
}

// abandonTx rolls the open transaction back although its caller has not asked
// for that. The caller hears of it with its next statement.
func (s *session) abandonTx(reason string) {
	if s.tx == nil && s.forwardedTx == nil {
		return
	}
	s.endTx()
	s.lostReason = reason
}
