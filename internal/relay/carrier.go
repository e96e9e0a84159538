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
	relay    *Relay
	stopping chan struct{}
	once     sync.Once
}

// NewCarrierServer returns the carrier service of an instance.
func NewCarrierServer(r *Relay) *CarrierServer {
	return &CarrierServer{relay: r, stopping: make(chan struct{})}
}

// Stop refuses new transactions. Open ones go on.
func (c *CarrierServer) Stop() { c.once.Do(func() { close(c.stopping) }) }

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
	mu             sync.Mutex // guards the fields below; held while a statement runs
	session        *session
	heartbeatTimer *time.Timer // rolls back the open transaction; nil: none was open yet
}

// Carry implements relaypb.CarrierServer.
func (c *CarrierServer) Carry(stream grpc.BidiStreamingServer[relaypb.CarryRequest, relaypb.CarryReply]) error {
	forwarded := &forwardedSession{}
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
		if err := stream.Send(reply); err != nil {
			return err
		}
		if reply.Stopping {
			return nil
		}
	}
}

// runStatement runs a request's statement in the stream's session.
func (c *CarrierServer) runStatement(ctx context.Context, forwarded *forwardedSession, req *relaypb.CarryRequest) *relaypb.CarryReply {
	forwarded.mu.Lock()
	defer forwarded.mu.Unlock()
	if s := forwarded.session; s == nil || s.tx == nil && s.lostReason == "" {
		if c.isStopping() || !c.relay.canRunForwarded(req.Database) {
			return &relaypb.CarryReply{Stopping: true}
		}
		forwarded.session = newSession(c.relay, StartupRequest{Database: req.Database})
		forwarded.session.forwarded = true
		forwarded.session.account = req.Account
		forwarded.session.floor = decodePosition(req.Floor)
	}
	s := forwarded.session
	answer := s.handle(ctx, c.decodeStatement(s, req), c.relay.now()-time.Duration(req.ElapsedUs)*time.Microsecond)
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

func (c *CarrierServer) isStopping() bool {
	select {
	case <-c.stopping:
		return true
	default:
		return false
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
