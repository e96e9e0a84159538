package relay

import (
	"context"
	"errors"
	"time"

	"github.com/stackspindle/stackspindle/internal/admission"
	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/relay/relaypb"
	"github.com/stackspindle/stackspindle/internal/statement"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// Settings of the way to carriers.
const (
	// carriersTried is how many carriers a statement is offered to that none has run.
	carriersTried = 3
	// carryMargin is how much longer than the statement's own deadline an answer is
	// awaited: the way back, and a carrier that gives up at the last moment.
	carryMargin = 60 * time.Millisecond
)

// remoteTransaction is an open transaction at a carrier.
type remoteTransaction struct {
	stream *carrierStream
	route  topology.Route
	wrote  bool
}

// carry has a first statement run by a carrier.
func (s *session) carry(ctx context.Context, st statement.Statement, route topology.Route, carriers []lead.Instance, arrived time.Duration) statement.Answer {
	q := s.query(st, route, arrived)
	carriers = s.relay.carrierConns.order(carriers, carriersTried)
	choice := s.relay.outlook.choose(s.relay.now(), q, carriers)
	if !choice.Verdict.Admit {
		return s.refuseForAll(st, route, choice)
	}
	refusal := statement.Failure(statement.Idle, statement.Busy, "not run: no carrier could be asked")
	refusal.Err.RetryAfter = comeBack
	for n := range choice.Len {
		if ctx.Err() != nil || s.relay.now() >= arrived+route.Timeout {
			break
		}
		answer, next := s.carryTo(ctx, st, route, q, carriers[choice.At(n)], arrived, n+1 < choice.Open)
		if !next {
			return answer
		}
		refusal = answer
	}
	return refusal
}

// carryTo has a first statement run by one carrier. It reports true, with why, when nothing can have
// changed and another carrier is to be asked. others says that one may have room.
func (s *session) carryTo(ctx context.Context, st statement.Statement, route topology.Route, q admission.Query, carrier lead.Instance, arrived time.Duration, others bool) (answer statement.Answer, next bool) {
	left := arrived + route.Timeout - s.relay.now()
	stream, err := s.relay.carrierConns.open(carrier.Address, left)
	if err != nil {
		s.relay.outlook.lost(carrier.Address)
		return notCarried(err), true
	}
	sent := s.relay.now()
	reply, err := stream.ask(ctx, s.carryRequest(st, arrived), left+carryMargin)
	switch {
	case errors.Is(err, errNotTaken):
		if !errors.Is(err, errCallerLeft) {
			s.relay.outlook.lost(carrier.Address)
		}
		return notCarried(err), true
	case err != nil:
		if !errors.Is(err, errCallerLeft) {
			s.relay.outlook.lost(carrier.Address)
		}
		s.noteNoAnswer(st, carrier.Name, arrived, err)
		if s.reads(st) || st.Kind == statement.Begin {
			return notCarried(err), true
		}
		return statement.Failure(statement.Idle, statement.OutcomeUnknown, "it may have run: %v", err), false
	}
	s.noteCarried(route, sent, reply)
	s.relay.outlook.told(s.relay.now(), carrier.Address, route.Group, reply)
	if others && refusedForWait(reply, q) {
		stream.release()
		return decodeReply(reply), true
	}
	return s.settleCarried(st, stream, route, reply), false
}

// notCarried is the answer to a statement that no carrier has run.
func notCarried(err error) statement.Answer {
	answer := statement.Failure(statement.Idle, statement.Busy, "not run: %v", err)
	answer.Err.RetryAfter = comeBack
	return answer
}

// refusedForWait reports whether a carrier has refused a statement since it would wait for
// too long there.
func refusedForWait(reply *relaypb.CarryReply, q admission.Query) bool {
	busy := statement.Code(reply.Code) == statement.Busy && statement.State(reply.State) == statement.Idle
	return busy && reply.AccountEmptyUs <= 0 && q.WouldBeRejected(reply.PrimaryWaitUs, reply.ReplicaWaitUs)
}

// continueCarried runs a further statement of a transaction at a carrier.
func (s *session) continueCarried(ctx context.Context, st statement.Statement, arrived time.Duration) statement.Answer {
	tx := s.remote
	reply, err := tx.stream.ask(ctx, s.carryRequest(st, arrived), tx.route.Timeout+carryMargin)
	if err != nil {
		s.noteNoAnswer(st, tx.stream.address, arrived, err)
		tx.stream.rest()
		s.remote = nil
		if st.Kind == statement.Commit && tx.wrote && !errors.Is(err, errNotTaken) {
			return statement.Failure(statement.Idle, statement.OutcomeUnknown, "the answer to the commit did not arrive: %v", err)
		}
		return statement.Failure(statement.Idle, statement.Aborted, "the connection to the carrier was lost: %v", err)
	}
	return s.settleCarried(st, tx.stream, tx.route, reply)
}

// noteNoAnswer records that a carrier's answer did not arrive, or was not awaited.
func (s *session) noteNoAnswer(st statement.Statement, carrier string, arrived time.Duration, cause error) {
	if errors.Is(cause, errCallerLeft) {
		s.relay.noteCallerGone(s.start.Database, "carried", s.relay.now()-arrived)
		return
	}
	s.relay.logLost(s, st, carrier, cause)
}

// settleCarried takes in a carrier's reply. While a transaction is open the
// session keeps the stream.
func (s *session) settleCarried(st statement.Statement, stream *carrierStream, route topology.Route, reply *relaypb.CarryReply) statement.Answer {
	answer := decodeReply(reply)
	s.floor = group.Max(s.floor, decodePosition(reply.Floor))
	if answer.State == statement.Idle {
		s.remote = nil
		stream.release()
		return answer
	}
	if s.remote == nil {
		s.remote = &remoteTransaction{stream: stream, route: route}
		stream.keep()
	}
	s.remote.wrote = s.remote.wrote || st.Kind == statement.Write || st.Kind == statement.Execute && s.names[st.Name].writes
	return answer
}

// dropCarried rolls back what is open at a carrier.
func (s *session) dropCarried() {
	if s.remote != nil {
		s.remote.stream.rest()
		s.remote.stream.cancel()
		s.remote = nil
	}
}

// carryRequest describes a statement with what the session brings to it.
func (s *session) carryRequest(st statement.Statement, arrived time.Duration) *relaypb.CarryRequest {
	named := s.names[st.Name]
	return &relaypb.CarryRequest{
		Database: s.start.Database, Account: s.account, Id: st.ID, Text: st.Text, Kind: int32(st.Kind), Name: st.Name, Args: st.Args,
		Writes: named.writes, Shape: named.shape, Values: s.values, Floor: encodePosition(s.floor),
		ElapsedUs: (s.relay.now() - arrived).Microseconds(),
	}
}

func encodePosition(p group.Position) *relaypb.Position {
	return &relaypb.Position{Term: p.Term, Index: p.Index}
}

func decodePosition(p *relaypb.Position) group.Position {
	return group.Position{Term: p.GetTerm(), Index: p.GetIndex()}
}

func encodeReply(a statement.Answer, floor group.Position) *relaypb.CarryReply {
	reply := &relaypb.CarryReply{
		Rows: a.Rows, Receipt: a.Receipt, State: uint32(a.State), Position: encodePosition(a.Position), Floor: encodePosition(floor),
	}
	if a.Err != nil {
		reply.Code, reply.Detail, reply.RetryAfterUs = int32(a.Err.Code), a.Err.Detail, a.Err.RetryAfter.Microseconds()
	}
	return reply
}

func decodeReply(r *relaypb.CarryReply) statement.Answer {
	a := statement.Answer{Rows: r.Rows, Receipt: r.Receipt, State: statement.State(r.State), Position: decodePosition(r.Position)}
	if r.Code != 0 {
		a.Err = &statement.Error{
			Code: statement.Code(r.Code), Detail: r.Detail, RetryAfter: time.Duration(r.RetryAfterUs) * time.Microsecond,
		}
	}
	return a
}
