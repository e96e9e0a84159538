package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
)

// Runner runs the transactions of one stream at the owner. Cancel and Abort may be called
// while Handle runs.
type Runner interface {
	// Handle runs a batch and passes its replies to deliver.
	Handle(ctx context.Context, req *peerpb.RunRequest, deliver func(*peerpb.RunReply) error) error
	// Cancel cancels the batch in flight.
	Cancel()
	// Abort ends the batch in flight because the ingress instance has disconnected.
	Abort()
	// Close rolls back an open transaction and ends the use of the runner.
	Close()
}

// Backend implements the calls that an instance serves to other instances.
type Backend interface {
	// Runner returns a runner for a group, or nil when the group is unknown.
	Runner(group string) Runner
	Probe(req *peerpb.ProbeRequest) *peerpb.ProbeReply
	Exchange(req *peerpb.ExchangeRequest) *peerpb.ExchangeReply
	HandOver(req *peerpb.HandOverRequest) *peerpb.HandOverReply
	Timeline(req *peerpb.TimelineRequest) *peerpb.TimelineReply
	Announce(req *peerpb.AnnounceRequest) *peerpb.AnnounceReply
	Cancel(req *peerpb.CancelRequest)
}

// Server is the gRPC server for other instances.
type Server struct {
	peerpb.UnimplementedPeerServer
	backend  Backend
	grpc     *grpc.Server
	stopping chan struct{} // closed by Stop
	stopOnce sync.Once
}

// NewServer returns a server that is not listening yet. If creds is nil, connections are not
// encrypted.
func NewServer(backend Backend, creds credentials.TransportCredentials, traffic *Traffic) *Server {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageSize),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
		grpc.WaitForHandlers(true),
		grpc.StatsHandler(traffic),
	}
	if creds != nil {
		options = append(options, grpc.Creds(creds))
	}
	s := &Server{backend: backend, grpc: grpc.NewServer(options...), stopping: make(chan struct{})}
	peerpb.RegisterPeerServer(s.grpc, s)
	return s
}

// Serve accepts connections until Stop or Kill.
func (s *Server) Serve(l net.Listener) error {
	if err := s.grpc.Serve(l); err != nil {
		return fmt.Errorf("peer: serve: %w", err)
	}
	return nil
}

// Stop shuts down gracefully: calls in flight may end within the grace period.
func (s *Server) Stop(grace time.Duration) {
	s.stopOnce.Do(func() { close(s.stopping) })
	timer := time.AfterFunc(grace, s.grpc.Stop)
	defer timer.Stop()
	s.grpc.GracefulStop()
}

// Kill closes all connections at once.
func (s *Server) Kill() { s.grpc.Stop() }

// Probe implements peerpb.PeerServer.
func (s *Server) Probe(_ context.Context, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	return s.backend.Probe(req), nil
}

// Exchange implements peerpb.PeerServer.
func (s *Server) Exchange(_ context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return s.backend.Exchange(req), nil
}

// HandOver implements peerpb.PeerServer.
func (s *Server) HandOver(_ context.Context, req *peerpb.HandOverRequest) (*peerpb.HandOverReply, error) {
	return s.backend.HandOver(req), nil
}

// Timeline implements peerpb.PeerServer.
func (s *Server) Timeline(_ context.Context, req *peerpb.TimelineRequest) (*peerpb.TimelineReply, error) {
	return s.backend.Timeline(req), nil
}

// Announce implements peerpb.PeerServer.
func (s *Server) Announce(_ context.Context, req *peerpb.AnnounceRequest) (*peerpb.AnnounceReply, error) {
	return s.backend.Announce(req), nil
}

// Cancel implements peerpb.PeerServer.
func (s *Server) Cancel(_ context.Context, req *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	s.backend.Cancel(req)
	return &peerpb.CancelReply{}, nil
}

// Run implements peerpb.PeerServer. Requests are received in a goroutine of their own, so that
// a cancel request, or the loss of the ingress instance, interrupts the batch in flight.
func (s *Server) Run(stream grpc.BidiStreamingServer[peerpb.RunRequest, peerpb.RunReply]) error {
	session := &runStream{
		backend:  s.backend,
		stream:   stream,
		requests: make(chan *peerpb.RunRequest),
		stopping: s.stopping,
	}
	go session.receive()
	return session.serve()
}

// runStream is the server side of one stream.
type runStream struct {
	backend       Backend
	stream        grpc.BidiStreamingServer[peerpb.RunRequest, peerpb.RunReply]
	requests      chan *peerpb.RunRequest
	stopping      <-chan struct{} // closed when the server stops
	currentRunner runnerSlot
	inTransaction bool // a transaction is open
}

func (r *runStream) receive() {
	defer close(r.requests)
	for {
		req, err := r.stream.Recv()
		if err != nil {
			r.currentRunner.abort()
			return
		}
		if req.Cancel {
			r.currentRunner.cancel()
			continue
		}
		select {
		case r.requests <- req:
		case <-r.stream.Context().Done():
			r.currentRunner.abort()
			return
		}
	}
}

func (r *runStream) serve() error {
	var runner Runner
	var group string
	defer func() {
		r.currentRunner.set(nil)
		if runner != nil {
			runner.Close()
		}
	}()
	for {
		req, ok := r.nextRequest()
		if !ok {
			return nil
		}
		if req.Header != nil && (runner == nil || req.Header.Group != group) {
			group = req.Header.Group
			runner = r.backend.Runner(group)
			r.currentRunner.set(runner)
		}
		if runner == nil {
			if err := r.stream.Send(notOwnerReply()); err != nil {
				return err
			}
			continue
		}
		if err := runner.Handle(r.stream.Context(), req, r.send); err != nil {
			return err
		}
	}
}

// nextRequest returns the next request, or false when the stream ends. Once the server stops,
// the stream is ended in order between transactions, from which the ingress instance
// concludes that a request that it has sent meanwhile was not run.
func (r *runStream) nextRequest() (*peerpb.RunRequest, bool) {
	if r.inTransaction {
		req, ok := <-r.requests
		return req, ok
	}
	select {
	case <-r.stopping:
		return nil, false
	default:
	}
	select {
	case req, ok := <-r.requests:
		return req, ok
	case <-r.stopping:
		return nil, false
	}
}

func (r *runStream) send(reply *peerpb.RunReply) error {
	if reply.Done != nil {
		r.inTransaction = reply.Done.TxStatus != 'I'
	}
	return r.stream.Send(reply)
}

func notOwnerReply() *peerpb.RunReply {
	return &peerpb.RunReply{Done: &peerpb.Done{
		TxStatus: 'I',
		Refusal:  peerpb.Refusal_REFUSAL_NOT_OWNER,
		Detail:   "the group is not known here",
	}}
}
