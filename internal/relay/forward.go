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

// Limits of forwarding.
const (
	// maxCarriersTried is how many carriers are asked to run a statement before it is refused.
	maxCarriersTried = 3
	// replyMargin is how much longer than the statement's own deadline the reply is awaited. It
	// covers the network latency and a carrier that refuses just before the deadline.
	replyMargin = 60 * time.Millisecond
)

// forwardedTransaction is an open transaction at a carrier.
type forwardedTransaction struct {
	stream *carrierStream
	route  topology.Route
	wrote  bool
}

// forward runs the first statement of a transaction at a carrier.
func (s *session) forward(ctx context.Context, st statement.Statement, route topology.Route, carriers []lead.Instance, arrived time.Duration) statement.Answer {
	query := s.admissionQuery(st, route, arrived)
	carriers = s.relay.carrierConns.order(carriers, maxCarriersTried)
	choice := s.relay.waitForecasts.choose(s.relay.now(), query, carriers)
	if !choice.Verdict.Admit {
		return s.refuseAtAllCarriers(st, route, choice)
	}
	refusal := statement.Failure(statement.Idle, statement.Busy, "not run: no carrier could be asked")
	refusal.Err.RetryAfter = defaultRetryAfter
	for i := range choice.Len {
		if ctx.Err() != nil || s.relay.now() >= arrived+route.Timeout {
			break
		}
		answer, tryNext := s.forwardTo(ctx, st, route, query, carriers[choice.At(i)], arrived, i+1 < choice.Admitting)
		if !tryNext {
			return answer
		}
		refusal = answer
	}
	return refusal
}

// forwardTo runs the first statement of a transaction at one carrier. tryNext reports that nothing
// can have changed and another carrier is to be asked; answer then has the reason. othersLeft says
// that another carrier may have capacity.
func (s *session) forwardTo(ctx context.Context, st statement.Statement, route topology.Route, query admission.Query, carrier lead.Instance, arrived time.Duration, othersLeft bool) (answer statement.Answer, tryNext bool) {
	remaining := arrived + route.Timeout - s.relay.now()
	stream, err := s.relay.carrierConns.open(carrier.Address, remaining)
	if err != nil {
		s.relay.waitForecasts.forget(carrier.Address)
		return notForwarded(err), true
	}
	sentAt := s.relay.now()
	reply, err := stream.roundTrip(ctx, s.encodeRequest(st, arrived), remaining+replyMargin)
	switch {
	case errors.Is(err, errNotAccepted):
		if !isCancellation(err) {
			s.relay.waitForecasts.forget(carrier.Address)
		}
		return notForwarded(err), true
	case err != nil:
		if !isCancellation(err) {
			s.relay.waitForecasts.forget(carrier.Address)
		}
		s.recordLostReply(st, carrier.Name, arrived, err)
		if s.readsOnly(st) || st.Kind == statement.Begin {
			return notForwarded(err), true
		}
		return statement.Failure(statement.Idle, statement.OutcomeUnknown, "it may have run: %v", err), false
	}
	s.recordForwardedReply(route, sentAt, reply)
	s.relay.waitForecasts.recordReply(s.relay.now(), carrier.Address, route.Group, reply)
	if othersLeft && refusedForLongWait(reply, query) {
		stream.release()
		return decodeReply(reply), true
	}
	return s.finishForwarded(st, stream, route, reply), false
}

// isCancellation reports whether a statement was cancelled here, so that the error says nothing
// about the carrier.
func isCancellation(err error) bool {
	return errors.Is(err, errClientDisconnected) || errors.Is(err, errStopping)
}

// notForwarded is the answer to a statement that no carrier has run.
func notForwarded(err error) statement.Answer {
	answer := statement.Failure(statement.Idle, statement.Busy, "not run: %v", err)
	answer.Err.RetryAfter = defaultRetryAfter
	return answer
}

// refusedForLongWait reports whether a carrier has refused a statement because it would wait too
// long there.
func refusedForLongWait(reply *relaypb.CarryReply, query admission.Query) bool {
	busy := statement.Code(reply.Code) == statement.Busy && statement.State(reply.State) == statement.Idle
	return busy && reply.AccountEmptyUs <= 0 && query.WouldBeRejected(reply.PrimaryWaitUs, reply.ReplicaWaitUs)
}

// continueForwarded runs a further statement of a transaction at a carrier.
func (s *session) continueForwarded(ctx context.Context, st statement.Statement, arrived time.Duration) statement.Answer {
	tx := s.forwardedTx
	reply, err := tx.stream.roundTrip(ctx, s.encodeRequest(st, arrived), tx.route.Timeout+replyMargin)
	if err != nil {
		s.recordLostReply(st, tx.stream.address, arrived, err)
		tx.stream.stopHeartbeat()
		s.forwardedTx = nil
		if st.Kind == statement.Commit && tx.wrote && !errors.Is(err, errNotAccepted) {
			return statement.Failure(statement.Idle, statement.OutcomeUnknown, "the answer to the commit did not arrive: %v", err)
		}
		return statement.Failure(statement.Idle, statement.Aborted, "the connection to the carrier was lost: %v", err)
	}
	return s.finishForwarded(st, tx.stream, tx.route, reply)
}

// recordLostReply records that a carrier's reply did not arrive, or that the client disconnected
// before.
func (s *session) recordLostReply(st statement.Statement, carrier string, arrived time.Duration, cause error) {
	if errors.Is(cause, errClientDisconnected) {
		s.relay.recordDisconnect(s.startup.Database, "carried", s.relay.now()-arrived)
		return
	}
	s.relay.logLostAnswer(s, st, carrier, cause)
}

// finishForwarded handles a carrier's reply. The session keeps the stream while a transaction is
// open.
func (s *session) finishForwarded(st statement.Statement, stream *carrierStream, route topology.Route, reply *relaypb.CarryReply) statement.Answer {
	answer := decodeReply(reply)
	s.floor = group.Max(s.floor, decodePosition(reply.Floor))
	if answer.State == statement.Idle {
		s.forwardedTx = nil
		stream.release()
		return answer
	}
	if s.forwardedTx == nil {
		s.forwardedTx = &forwardedTransaction{stream: stream, route: route}
		stream.startHeartbeat()
	}
	s.forwardedTx.wrote = s.forwardedTx.wrote || st.Kind == statement.Write || st.Kind == statement.Execute && s.prepared[st.Name].writes
	return answer
}

// abortForwarded ends the stream of a transaction that is open at a carrier, which rolls it back
// there.
func (s *session) abortForwarded() {
	if s.forwardedTx != nil {
		s.forwardedTx.stream.stopHeartbeat()
		s.forwardedTx.stream.cancel()
		s.forwardedTx = nil
	}
}

// encodeRequest encodes a statement with the session state that the carrier needs to run it.
func (s *session) encodeRequest(st statement.Statement, arrived time.Duration) *relaypb.CarryRequest {
	prepared := s.prepared[st.Name]
	return &relaypb.CarryRequest{
		Database: s.startup.Database, Account: s.account, Id: st.ID, Text: st.Text, Kind: int32(st.Kind), Name: st.Name, Args: st.Args,
		Writes: prepared.writes, Shape: prepared.shape, Values: s.variables, Floor: encodePosition(s.floor),
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
