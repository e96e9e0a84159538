package relay

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/stackspindle/stackspindle/internal/relay/relaypb"
	"github.com/stackspindle/stackspindle/internal/statement"
)

// CarrierServer runs the statements of other instances' callers. It implements
// relaypb.CarrierServer.
type CarrierServer struct {
	relaypb.UnimplementedCarrierServer
	relay    *Relay
	stopping chan struct{}
	once     sync.Once
}

// NewCarrierServer returns the server of an instance.
func NewCarrierServer(r *Relay) *CarrierServer {
	return &CarrierServer{relay: r, stopping: make(chan struct{})}
}

// Stop takes no further transaction up. Those that are open go on.
func (c *CarrierServer) Stop() { c.once.Do(func() { close(c.stopping) }) }

// Ping implements relaypb.CarrierServer.
func (c *CarrierServer) Ping(context.Context, *relaypb.PingRequest) (*relaypb.PingReply, error) {
	return &relaypb.PingReply{}, nil
}

// Settings of the transactions that are open for other instances.
const (
	// entryBeat is the pause after which an instance says that a transaction of its
	// caller, which rests at a carrier, goes on.
	heartbeatInterval = time.Second
	// entrySilence is after what time without a word the transaction is rolled back: it
	// holds one of the few connections to a member. It leaves room for two words that are late.
	heartbeatTimeout = 3 * heartbeatInterval
	// beatKind is the kind of a request that is no statement but such a word.
	heartbeatKind = -1
)

// carriedSession is the session of another instance's caller, on one stream.
type forwardedSession struct {
	mu             sync.Mutex // guards the rest; held while a statement runs
	session        *session
	heartbeatTimer *time.Timer // ends the open transaction; nil: none was opened yet
}

// Carry implements relaypb.CarrierServer.
func (c *CarrierServer) Carry(stream grpc.BidiStreamingServer[relaypb.CarryRequest, relaypb.CarryReply]) error {
	forwarded := &forwardedSession{}
	defer forwarded.end()
	for {
		req, err := stream.Recv()
		if err != nil {
			return nil // the entry has ended the stream: what is open is rolled back
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

// run has a statement run in its session.
func (c *CarrierServer) runStatement(ctx context.Context, forwarded *forwardedSession, req *relaypb.CarryRequest) *relaypb.CarryReply {
	forwarded.mu.Lock()
	defer forwarded.mu.Unlock()
	if s := forwarded.session; s == nil || s.tx == nil && s.lostReason == "" {
		if c.isStopping() || !c.relay.canRunForwarded(req.Database) {
			return &relaypb.CarryReply{Stopping: true}
		}
		forwarded.session = newSession(c.relay, Start{Database: req.Database})
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

// await bounds the silence in an open transaction. The caller holds mu.
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

// heard takes in a word of the entry.
func (s *forwardedSession) recordHeartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session != nil {
		s.resetHeartbeatTimer()
	}
}

// abandon rolls back the transaction of an instance that has gone silent.
func (s *forwardedSession) handleHeartbeatTimeout() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.session.abandonTx("the instance that the caller is connected to was silent, and the transaction was rolled back")
}

// end rolls back what is open.
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

// statement decodes a request and brings the session to the caller's state.
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
