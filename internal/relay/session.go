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
type prepared struct {
	writes bool
	shape  string
}

// session is what belongs to one caller. It is used by one goroutine.
type session struct {
	relay   *Relay
	start   Start
	account string // whose work it is, as the caller's own instance found
	values  map[string]string
	names   map[string]prepared
	floor   group.Position // of the session's last acknowledged commit
	state   statement.State
	tx      *transaction       // nil outside one, in one that was lost, and in one at a carrier
	remote  *remoteTransaction // at a carrier; nil: none
	carried bool               // the session is another instance's, which this one carries for
	lost    string             // why the open transaction is gone; empty: it is not

	dueBack      time.Duration // when the caller was told to come back last, for its account's limit
	accountEmpty time.Duration // for how long the account has no tokens, as the last refusal told
}

// transaction is an open transaction on a member's connection.
type transaction struct {
	up    *upstream
	held  *hold
	pass  *lead.Permit // nil on a replica
	group *groupState
	route topology.Route
	wrote bool
}

func newSession(r *Relay, start Start) *session {
	return &session{
		relay:  r,
		start:  start,
		values: make(map[string]string),
		names:  make(map[string]prepared),
		state:  statement.Idle,
	}
}

// handle returns the answer to a statement that arrived at a time. ctx ends when nobody
// waits for the answer any more.
func (s *session) handle(ctx context.Context, st statement.Statement, arrived time.Duration) statement.Answer {
	answer := s.answer(ctx, st, arrived)
	s.state = answer.State
	return answer
}

func (s *session) answer(ctx context.Context, st statement.Statement, arrived time.Duration) statement.Answer {
	ends := st.Kind == statement.Commit || st.Kind == statement.Rollback
	switch {
	case s.lost != "":
		return s.afterLoss(ends)
	case s.state != statement.Idle && s.keyEnded():
		s.endTx()
		return statement.Failure(statement.Idle, statement.Aborted, endedKey)
	case s.state == statement.Failed && !ends:
		return statement.Failure(s.state, statement.Malformed, "the transaction has failed; only its end is accepted")
	case st.Kind == statement.Set:
		s.values[st.Name] = st.Value
		return statement.Done(s.state)
	case st.Kind == statement.Prepare:
		s.names[st.Name] = prepared{writes: st.Writes, shape: st.Shape}
		return statement.Done(s.state)
	case st.Kind == statement.Close:
		delete(s.names, st.Name)
		return statement.Done(s.state)
	case s.tx != nil:
		return s.continueTx(ctx, st, arrived)
	case s.remote != nil:
		return s.continueCarried(ctx, st, arrived)
	case ends:
		return statement.Failure(statement.Idle, statement.Malformed, "no transaction is open")
	}
	return s.first(ctx, st, arrived)
}

// afterLoss tells the caller that its transaction is gone. Nothing of it is kept,
// since its end was never sent.
func (s *session) afterLoss(ends bool) statement.Answer {
	reason := s.lost
	s.lost = ""
	if ends && s.state == statement.Failed {
		return statement.Done(statement.Idle)
	}
	return statement.Failure(statement.Idle, statement.Aborted, "%s", reason)
}

// needed returns what must be prepared at a member before the statement runs.
func (s *session) needed(st statement.Statement) (*member.Prepared, bool) {
	if st.Kind != statement.Execute {
		return nil, true
	}
	p, ok := s.names[st.Name]
	if !ok {
		return nil, false
	}
	return &member.Prepared{Name: member.PreparedName(p.writes, p.shape), Writes: p.writes, Shape: p.shape}, true
}

// reads reports whether a first statement only reads.
func (s *session) reads(st statement.Statement) bool {
	switch st.Kind {
	case statement.Read, statement.BeginRead:
		return true
	case statement.Execute:
		return !s.names[st.Name].writes
	}
	return false
}

// request returns the request that has a member run the statement.
func request(st statement.Statement, needed *member.Prepared, after group.Position, deadline time.Time) member.Request {
	req := member.Request{Statement: st, After: after, Deadline: deadline}
	if needed != nil {
		req.Name = needed.Name
	}
	return req
}

// busyPause is the pause before a statement of an open transaction, which its
// member had no room for, is sent again.
const busyPause = 5 * time.Millisecond

// continueTx runs a further statement of the open transaction. One that its member has no
// room for is sent again until ctx ends.
func (s *session) continueTx(ctx context.Context, st statement.Statement, arrived time.Duration) statement.Answer {
	needed, known := s.needed(st)
	if !known {
		return statement.Failure(s.state, statement.Unprepared, "no statement %q was prepared in this session", st.Name)
	}
	tx, deadline := s.tx, s.relay.wall(arrived+s.tx.route.Timeout)
	tx.held.lease.Resume()
	defer tx.held.lease.Park() // without effect when the transaction has ended
	stuck := time.AfterFunc(tx.group.patience(tx.route), tx.held.lease.Park)
	defer stuck.Stop()
	for {
		if err := tx.held.lease.Conn.ApplySession(s.values, needed); err != nil {
			return s.loseTx(st, err, false)
		}
		asked := s.relay.now()
		answer, err := tx.held.lease.Conn.Run(request(st, needed, group.Position{}, deadline))
		if err != nil {
			return s.loseTx(st, err, true)
		}
		s.relay.noteAnswer(tx.up, tx.group, tx.pass, asked, answer)
		if retriableInTx(answer) && ctx.Err() == nil && time.Now().Add(busyPause).Before(deadline) {
			time.Sleep(busyPause)
			continue
		}
		return s.settleTx(st, answer)
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
func (s *session) settleTx(st statement.Statement, answer statement.Answer) statement.Answer {
	tx := s.tx
	if answer.Err == nil && (st.Kind == statement.Write || st.Kind == statement.Execute && s.names[st.Name].writes) {
		tx.wrote = true
	}
	if answer.State != statement.Idle {
		return s.settleRead(st, answer)
	}
	valid := st.Kind != statement.Commit || !tx.wrote || s.relay.stands(tx.group, tx.pass, false)
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

// settleRead passes the answer to a statement inside a transaction on. What was read
// from a primary whose grant is not confirmed is verified first.
func (s *session) settleRead(st statement.Statement, answer statement.Answer) statement.Answer {
	tx := s.tx
	if tx.pass == nil || answer.Err != nil || !s.reads(st) || s.relay.stands(tx.group, tx.pass, true) {
		return answer
	}
	s.endTx()
	return statement.Failure(statement.Idle, statement.Aborted, "the primary may have been replaced before what was read could be passed on")
}

// loseTx ends a transaction whose connection cannot be used any more.
func (s *session) loseTx(st statement.Statement, cause error, sent bool) statement.Answer {
	tx := s.tx
	cause = tx.held.breaker.cause(cause)
	s.relay.logLost(s, st, tx.up.id, cause)
	tx.up.noteBroken(cause)
	if sent && errors.Is(cause, member.ErrBroken) {
		tx.up.noteMiss(s.relay.now())
	}
	s.endTx()
	if sent && st.Kind == statement.Commit && tx.wrote {
		return statement.Failure(statement.Idle, statement.OutcomeUnknown, "the answer to the commit did not arrive: %v", cause)
	}
	return statement.Failure(statement.Idle, statement.Aborted, "the connection to the member was lost: %v", cause)
}

// endTx returns the transaction's connection. What is still open on it is rolled
// back, or the connection is closed.
func (s *session) endTx() {
	s.dropCarried()
	if s.tx == nil {
		return
	}
	s.tx.held.release()
	if s.tx.pass != nil {
		s.tx.pass.Done()
	}
	s.tx = nil
}

// abandonTx rolls the open transaction back although its caller has not asked
// for that. The caller hears of it with its next statement.
func (s *session) abandonTx(reason string) {
	if s.tx == nil && s.remote == nil {
		return
	}
	s.endTx()
	s.lost = reason
}
