package relay

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/stackspindle/stackspindle/internal/relay/relaypb"
	"github.com/stackspindle/stackspindle/internal/statement"
)

// CarrierServer runs statements that other instances forward for their clients. It implements
// relaypb.CarrierServer.
type CarrierServer struct {
	relaypb.UnimplementedCarrierServer
	relay *Relay

	mu      sync.Mutex // guards the fields below
	phase   stopPhase
	streams map[*forwardedSession]struct{}
}

// NewCarrierServer returns the carrier service of an instance.
func NewCarrierServer(r *Relay) *CarrierServer {
	return &CarrierServer{relay: r, streams: make(map[*forwardedSession]struct{})}
}

// Stop refuses new transactions. Open ones go on.
func (c *CarrierServer) Stop() { c.enter(draining) }

// Drain waits until no forwarded statement is running and no transaction is open. Open transactions
// may go on until transactions is done, then they are rolled back. Running statements are awaited
// until statements is done.
func (c *CarrierServer) Drain(transactions, statements context.Context) {
	drain(transactions, statements, c)
}

// AbortStatements ends the waits of all statements that have not been sent to a member. They are
// refused.
func (c *CarrierServer) AbortStatements() { c.enter(abortingStatements) }

// AwaitSessions waits until no statement is running and no transaction is open, or ctx is done.
func (c *CarrierServer) AwaitSessions(ctx context.Context) { await(ctx, c) }

// Active returns the number of forwarded sessions, by what they do.
func (c *CarrierServer) Active() ActiveSessions {
	c.mu.Lock()
	defer c.mu.Unlock()
	var active ActiveSessions
	for s := range c.streams {
		switch {
		case s.cancel != nil:
			active.Running++
		case s.hasOpenTx():
			active.InTx++
		default:
			active.Idle++
		}
	}
	return active
}

// enter implements drainable.
func (c *CarrierServer) enter(phase stopPhase) {
	c.mu.Lock()
	c.phase = phase
	if phase >= abortingStatements {
		for s := range c.streams {
			if s.cancel != nil {
				s.cancel(errStopping)
			}
		}
	}
	c.mu.Unlock()
	c.interruptIdle()
}

// interruptIdle implements drainable. A stream without a transaction needs no end: its next
// statement is refused. Transactions are rolled back concurrently, since a member may not answer.
func (c *CarrierServer) interruptIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase < endingTransactions {
		return
	}
	for s := range c.streams {
		if s.cancel == nil && s.hasOpenTx() {
			go s.rollBackIdle(stoppingDetail)
		}
	}
}

// remaining implements drainable.
func (c *CarrierServer) remaining() int {
	active := c.Active()
	return active.Running + active.InTx
}

// Ping implements relaypb.CarrierServer.
func (c *CarrierServer) Ping(context.Context, *relaypb.PingRequest) (*relaypb.PingReply, error) {
	return &relaypb.PingReply{}, nil
}

// Heartbeats of forwarded transactions.
const (
	// heartbeatInterval is the interval at which an ingress instance confirms an idle transaction
	// that its client has open at a carrier.
	heartbeatInterval = time.Second
	// heartbeatTimeout is the time without a heartbeat or statement after which the carrier rolls
	// the transaction back, because it holds one of the few connections to a member. Two heartbeats
	// may be late.
	heartbeatTimeout = 3 * heartbeatInterval
	// heartbeatKind is the kind of a request that is a heartbeat and not a statement.
	heartbeatKind = -1
)

// forwardedSession is the session of another instance's client, on one stream.
type forwardedSession struct {
	mu             sync.Mutex // guards the next two fields; held while a statement runs
	session        *session
	heartbeatTimer *time.Timer // rolls back the open transaction; nil: none was open yet

	cancel context.CancelCauseFunc // ends the waits of the statement that has not been replied to; nil: none; guarded by CarrierServer.mu
}

// Carry implements relaypb.CarrierServer.
func (c *CarrierServer) Carry(stream grpc.BidiStreamingServer[relaypb.CarryRequest, relaypb.CarryReply]) error {
	forwarded := &forwardedSession{}
	c.add(forwarded)
	defer c.remove(forwarded)
	defer forwarded.end()
	for {
		req, err := stream.Recv()
		if err != nil {
			return nil // the ingress instance has ended the stream; an open transaction is rolled back
		}
		if req.Kind == heartbeatKind {
			forwarded.recordHeartbeat()
			continue
		}
		reply := c.runStatement(stream.Context(), forwarded, req)
		err = stream.Send(reply)
		c.finishStatement(forwarded)
		if err != nil {
			return err
		}
		if reply.Stopping {
			return nil
		}
	}
}

func (c *CarrierServer) add(s *forwardedSession) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[s] = struct{}{}
}

func (c *CarrierServer) remove(s *forwardedSession) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, s)
}

// beginStatement records that a statement is being run, and returns the context for it and the
// phase of the planned stop.
func (c *CarrierServer) beginStatement(ctx context.Context, s *forwardedSession) (context.Context, stopPhase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ctx, s.cancel = context.WithCancelCause(ctx)
	if c.phase >= abortingStatements {
		s.cancel(errStopping)
	}
	return ctx, c.phase
}

// finishStatement records that the last statement has been replied to.
func (c *CarrierServer) finishStatement(s *forwardedSession) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.cancel(nil)
	s.cancel = nil
}

// runStatement runs a request's statement in the stream's session. finishStatement must be called
// once its reply was sent.
func (c *CarrierServer) runStatement(ctx context.Context, forwarded *forwardedSession, req *relaypb.CarryRequest) *relaypb.CarryReply {
	ctx, phase := c.beginStatement(ctx, forwarded)
	forwarded.mu.Lock()
	defer forwarded.mu.Unlock()
	if s := forwarded.session; s == nil || s.tx == nil && s.lostReason == "" {
		if phase != notStopping || !c.relay.canRunForwarded(req.Database) {
			return &relaypb.CarryReply{Stopping: true}
		}
		forwarded.session = newSession(c.relay, StartupRequest{Database: req.Database})
		forwarded.session.forwarded = true
		forwarded.session.account = req.Account
		forwarded.session.floor = decodePosition(req.Floor)
	}
	s := forwarded.session
	st := c.decodeStatement(s, req)
	if phase.endsTxBefore(st) {
		s.abandonTx(stoppingDetail)
	}
	answer := s.handle(ctx, st, c.relay.now()-time.Duration(req.ElapsedUs)*time.Microsecond)
	forwarded.resetHeartbeatTimer()
	reply := encodeReply(answer, s.floor)
	if route, ok := c.relay.snapshot().Databases[req.Database]; ok {
		c.relay.addWaitForecast(reply, route.Group)
	}
	reply.AccountEmptyUs, s.accountEmptyFor = s.accountEmptyFor.Microseconds(), 0
	return reply
}

// resetHeartbeatTimer restarts the heartbeat timeout while a transaction is open, and stops it
// otherwise. The caller holds mu.
func (s *forwardedSession) resetHeartbeatTimer() {
	switch {
	case s.session.tx == nil && s.heartbeatTimer != nil:
		s.heartbeatTimer.Stop()
	case s.session.tx == nil:
	case s.heartbeatTimer == nil:
		s.heartbeatTimer = time.AfterFunc(heartbeatTimeout, s.handleHeartbeatTimeout)
	default:
		s.heartbeatTimer.Reset(heartbeatTimeout)
	}
}

// recordHeartbeat handles a heartbeat of the ingress instance.
func (s *forwardedSession) recordHeartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session != nil {
		s.resetHeartbeatTimer()
	}
}

// handleHeartbeatTimeout rolls back the transaction of an unresponsive ingress instance.
func (s *forwardedSession) handleHeartbeatTimeout() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.session.abandonTx("the instance that the caller is connected to was silent, and the transaction was rolled back")
}

// hasOpenTx reports whether a transaction is open or being ended.
func (s *forwardedSession) hasOpenTx() bool {
	if !s.mu.TryLock() {
		return true
	}
	defer s.mu.Unlock()
	return s.session != nil && s.session.hasOpenTx()
}

// rollBackIdle rolls back the open transaction, unless a statement is running.
func (s *forwardedSession) rollBackIdle(reason string) {
	if !s.mu.TryLock() {
		return
	}
	defer s.mu.Unlock()
	if s.session != nil {
		s.session.abandonTx(reason)
	}
}

// end rolls back the open transaction, if there is one.
func (s *forwardedSession) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heartbeatTimer != nil {
		s.heartbeatTimer.Stop()
	}
	if s.session != nil {
		s.session.endTx()
	}
}

// decodeStatement decodes a request and applies the client's session state to the session.
func (c *CarrierServer) decodeStatement(s *session, req *relaypb.CarryRequest) statement.Statement {
	s.variables = req.Values
	if s.variables == nil {
		s.variables = make(map[string]string)
	}
	st := statement.Statement{ID: req.Id, Text: req.Text, Kind: statement.Kind(req.Kind), Name: req.Name, Args: req.Args}
	if st.Kind == statement.Execute {
		s.prepared[st.Name] = preparedStatement{writes: req.Writes, shape: req.Shape}
	}
	return st
}
