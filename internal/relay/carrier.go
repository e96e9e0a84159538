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

// Carry implements relaypb.CarrierServer.
func (c *CarrierServer) Carry(stream grpc.BidiStreamingServer[relaypb.CarryRequest, relaypb.CarryReply]) error {
	var s *session
	defer func() {
		if s != nil {
			s.endTx()
		}
	}()
	for {
		req, err := stream.Recv()
		if err != nil {
			return nil // the entry has ended the stream: what is open is rolled back
		}
		if s == nil || s.tx == nil && s.lost == "" {
			if c.isStopping() {
				return stream.Send(&relaypb.CarryReply{Stopping: true})
			}
			s = newSession(c.relay, req.Database)
			s.carried = true
			s.floor = decodePosition(req.Floor)
		}
		answer := s.handle(c.statement(s, req), c.relay.now()-time.Duration(req.ElapsedUs)*time.Microsecond)
		if err := stream.Send(encodeReply(answer, s.floor)); err != nil {
			return err
		}
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
