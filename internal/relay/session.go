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

// preparedStatement is a statement that the client has prepared in its session.
type preparedStatement struct {
	writes bool
	shape  string
}

// session is the state of one client's session. It is used by one goroutine.
type session struct {
	relay       *Relay
	startup     StartupRequest
	account     string // client account of a forwarded statement, as the ingress instance identified it
	variables   map[string]string
	prepared    map[string]preparedStatement
	floor       group.Position // lower bound of the log position that reads must see: the session's last acknowledged commit
	state       statement.State
	tx          *transaction          // open transaction at a member; nil: none is open, it was lost, or it runs at a carrier
	forwardedTx *forwardedTransaction // open transaction at a carrier; nil: none
	forwarded   bool                  // a client of another instance forwards its statements here
	lostReason  string                // why the open transaction was lost; empty: it was not

	retryAt         time.Duration // when the client may retry by the last refusal for its account's limit; 0: none is pending
	accountEmptyFor time.Duration // remaining time without tokens for the account, by the last refusal
}

// transaction is an open transaction on a member's connection.
type transaction struct {
	upstream *upstreamState
	conn     *leasedConn
	permit   *lead.Permit // of the primary; nil on a replica
	group    *groupState
	route    topology.Route
	wrote    bool
}

func newSession(r *Relay, startup StartupRequest) *session {
	return &session{
		relay:     r,
		startup:   startup,
		variables: make(map[string]string),
		prepared:  make(map[string]preparedStatement),
		state:     statement.Idle,
	}
}

// handle runs a statement that arrived at the given time and returns its answer. ctx ends when the
// client no longer waits for the answer.
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

// reportLostTx tells the client that its transaction was lost. None of its writes persist, since no
// COMMIT was sent for it.
func (s *session) reportLostTx(endsTx bool) statement.Answer {
	reason := s.lostReason
	s.lostReason = ""
	if endsTx && s.state == statement.Failed {
		return statement.Done(statement.Idle)
	}
	return statement.Failure(statement.Idle, statement.Aborted, "%s", reason)
}

// preparedFor returns what must be prepared at a member before the statement runs. It reports false
// when the session has not prepared the statement.
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

// readsOnly reports whether the first statement of a transaction makes it read-only.
func (s *session) readsOnly(st statement.Statement) bool {
	switch st.Kind {
	case statement.Read, statement.BeginRead:
		return true
	case statement.Execute:
		return !s.prepared[st.Name].writes
	}
	return false
}

// memberRequest builds the request that runs a statement at a member.
func memberRequest(st statement.Statement, prepared *member.Prepared, minPosition group.Position, deadline time.Time) member.Request {
	req := member.Request{Statement: st, After: minPosition, Deadline: deadline}
	if prepared != nil {
		req.Name = prepared.Name
	}
	return req
}

// busyRetryDelay is the delay before a statement of an open transaction is sent again after its
// member answered that it is busy.
const busyRetryDelay = 5 * time.Millisecond

// continueTx runs a further statement of the open transaction. While the member answers that it is
// busy, the statement is sent again until its deadline or until ctx ends.
func (s *session) continueTx(ctx context.Context, st statement.Statement, arrived time.Duration) statement.Answer {
	prepared, ok := s.preparedFor(st)
	if !ok {
		return statement.Failure(s.state, statement.Unprepared, "no statement %q was prepared in this session", st.Name)
	}
	tx, deadline := s.tx, s.relay.timeAt(arrived+s.tx.route.Timeout)
	tx.conn.lease.Resume()
	defer tx.conn.lease.Park() // no effect when the transaction has ended
	parkTimer := time.AfterFunc(tx.group.maxWorkTime(tx.route), tx.conn.lease.Park)
	defer parkTimer.Stop()
	for {
		if err := tx.conn.lease.Conn.ApplySession(s.variables, prepared); err != nil {
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

// retriableInTx reports whether a statement of a transaction did not run and may be sent again in
// the same transaction.
func retriableInTx(a statement.Answer) bool {
	if a.Err == nil || a.State != statement.InTransaction {
		return false
	}
	return a.Err.Code == statement.Busy || a.Err.Code == statement.Unprepared
}

// finishTxStatement handles a member's answer inside a transaction. It releases the connection when
// the transaction has ended.
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
			return statement.Failure(statement.Idle, statement.OutcomeUnknown, "the primary was replaced before the commit could be acknowledged")
		}
		s.floor = group.Max(s.floor, answer.Position)
	}
	return answer
}

// finishTxRead handles the answer to a statement that leaves the transaction open. What a read
// returned from a primary whose grant is not confirmed is verified before it is passed on.
func (s *session) finishTxRead(st statement.Statement, answer statement.Answer) statement.Answer {
	tx := s.tx
	if tx.permit == nil || answer.Err != nil || !s.readsOnly(st) || s.relay.mayPassOn(tx.group, tx.permit, true) {
		return answer
	}
	s.endTx()
	return statement.Failure(statement.Idle, statement.Aborted, "the primary may have been replaced before what was read could be passed on")
}

// handleLostConn ends a transaction whose connection cannot be used any more.
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
		return statement.Failure(statement.Idle, statement.OutcomeUnknown, "the answer to the commit did not arrive: %v", cause)
	}
	return statement.Failure(statement.Idle, statement.Aborted, "the connection to the member was lost: %v", cause)
}

// endTx ends the open transaction, if there is one, and returns its connection to the pool.
// Uncommitted work is rolled back, or the connection is closed.
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

// hasOpenTx reports whether a transaction is open at a member or a carrier.
func (s *session) hasOpenTx() bool { return s.tx != nil || s.forwardedTx != nil }

// abandonTx rolls back the open transaction without a request by the client, which gets reason as
// the answer to its next statement.
func (s *session) abandonTx(reason string) {
	if !s.hasOpenTx() {
		return
	}
	s.endTx()
	s.lostReason = reason
}
