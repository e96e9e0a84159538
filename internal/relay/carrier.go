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
	entryBeat = time.Second
	// entrySilence is after what time without a word the transaction is rolled back: it
	// holds one of the few connections to a member. It leaves room for two words that are late.
	entrySilence = 3 * entryBeat
	// beatKind is the kind of a request that is no statement but such a word.
	beatKind = -1
)

// carriedSession is the session of another instance's caller, on one stream.
type carriedSession struct {
	mu      sync.Mutex // guards the rest; held while a statement runs
	session *session
	silence *time.Timer // ends the open transaction; nil: none was opened yet
}

// Carry implements relaypb.CarrierServer.
func (c *CarrierServer) Carry(stream grpc.BidiStreamingServer[relaypb.CarryRequest, relaypb.CarryReply]) error {
	carried := &carriedSession{}
	defer carried.end()
	for {
		req, err := stream.Recv()
		if err != nil {
			return nil // the entry has ended the stream: what is open is rolled back
		}
		if req.Kind == beatKind {
			carried.heard()
			continue
		}
		reply := c.run(context.Background(), carried, req)
		if err := stream.Send(reply); err != nil {
			return err
		}
		if reply.Stopping {
			return nil
		}
	}
}

// run has a statement run in its session.
func (c *CarrierServer) run(ctx context.Context, carried *carriedSession, req *relaypb.CarryRequest) *relaypb.CarryReply {
	carried.mu.Lock()
	defer carried.mu.Unlock()
	if s := carried.session; s == nil || s.tx == nil && s.lost == "" {
		if c.isStopping() || !c.relay.canCarry(req.Database) {
			return &relaypb.CarryReply{Stopping: true}
		}
		carried.session = newSession(c.relay, Start{Database: req.Database})
		carried.session.carried = true
		carried.session.account = req.Account
		carried.session.floor = decodePosition(req.Floor)
	}
	s := carried.session
	answer := s.handle(ctx, c.statement(s, req), c.relay.now()-time.Duration(req.ElapsedUs)*time.Microsecond)
	carried.await()
	reply := encodeReply(answer, s.floor)
	if route, ok := c.relay.snapshot().Databases[req.Database]; ok {
		c.relay.tell(reply, route.Group)
	}
	return reply
}

// await bounds the silence in an open transaction. The caller holds mu.
func (s *carriedSession) await() {
	switch {
	case s.session.tx == nil && s.silence != nil:
		s.silence.Stop()
	case s.session.tx == nil:
	case s.silence == nil:
		s.silence = time.AfterFunc(entrySilence, s.abandon)
	default:
		s.silence.Reset(entrySilence)
	}
}

// heard takes in a word of the entry.
func (s *carriedSession) heard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session != nil {
		s.await()
	}
}

// abandon rolls back the transaction of an instance that has gone silent.
func (s *carriedSession) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.session.abandonTx("the instance that the caller is connected to was silent, and the transaction was rolled back")
}

// end rolls back what is open.
func (s *carriedSession) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silence != nil {
		s.silence.Stop()
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
func (c *CarrierServer) statement(s *session, req *relaypb.CarryRequest) statement.Statement {
	s.values = req.Values
	if s.values == nil {
		s.values = make(map[string]string)
	}
	st := statement.Statement{ID: req.Id, Text: req.Text, Kind: statement.Kind(req.Kind), Name: req.Name, Args: req.Args}
	if st.Kind == statement.Execute {
		s.names[st.Name] = prepared{writes: req.Writes, shape: req.Shape}
	}
	return st
}
