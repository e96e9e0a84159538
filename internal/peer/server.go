package peer

import (
	"context"
	"fmt"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
)

// Runner runs the transactions of one stream on the owner's side.
type Runner interface {
	Handle(ctx context.Context, req *peerpb.RunRequest, deliver func(*peerpb.RunReply) error) error
	Cancel()
	Abort()
	Close()
}

// Backend is what an instance offers to others.
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

// Server serves other instances.
type Server struct {
	peerpb.UnimplementedPeerServer
	backend Backend
	grpc    *grpc.Server
}

// NewServer returns a server that is not listening yet.
func NewServer(backend Backend, creds credentials.TransportCredentials, traffic *Traffic) *Server {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
		grpc.WaitForHandlers(true),
		grpc.StatsHandler(traffic),
	}
	if creds != nil {
		options = append(options, grpc.Creds(creds))
	}
	s := &Server{backend: backend, grpc: grpc.NewServer(options...)}
	peerpb.RegisterPeerServer(s.grpc, s)
	return s
}

// Serve accepts connections until Stop.
func (s *Server) Serve(l net.Listener) error {
	if err := s.grpc.Serve(l); err != nil {
		return fmt.Errorf("peer: serve: %w", err)
	}
	return nil
}

// Stop lets calls in flight end, for at most grace, and closes.
func (s *Server) Stop(grace time.Duration) {
	timer := time.AfterFunc(grace, s.grpc.Stop)
	defer timer.Stop()
	s.grpc.GracefulStop()
}

// Kill closes at once.
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

// Run implements peerpb.PeerServer. Requests are received apart from the one
// being handled, so that a cancel, or the loss of the entry, reaches it.
func (s *Server) Run(stream grpc.BidiStreamingServer[peerpb.RunRequest, peerpb.RunReply]) error {
	session := &runSession{backend: s.backend, stream: stream, requests: make(chan *peerpb.RunRequest)}
	go session.receive()
	return session.serve()
}

// runSession is the server's side of one stream.
type runSession struct {
	backend  Backend
	stream   grpc.BidiStreamingServer[peerpb.RunRequest, peerpb.RunReply]
	requests chan *peerpb.RunRequest
	current  runnerSlot
}

func (r *runSession) receive() {
	defer close(r.requests)
	for {
		req, err := r.stream.Recv()
		if err != nil {
			r.current.abort()
			return
		}
		if req.Cancel {
			r.current.cancel()
			continue
		}
		select {
		case r.requests <- req:
		case <-r.stream.Context().Done():
			r.current.abort()
			return
		}
	}
}

func (r *runSession) serve() error {
	var runner Runner
	var group string
	defer func() {
		r.current.set(nil)
		if runner != nil {
			runner.Close()
		}
	}()
	for req := range r.requests {
		if req.Header != nil && (runner == nil || req.Header.Group != group) {
			group = req.Header.Group
			runner = r.backend.Runner(group)
			r.current.set(runner)
		}
		if runner == nil {
			if err := r.stream.Send(notOwner()); err != nil {
				return err
			}
			continue
		}
		if err := runner.Handle(r.stream.Context(), req, r.stream.Send); err != nil {
			return err
		}
	}
	return nil
}

func notOwner() *peerpb.RunReply {
	return &peerpb.RunReply{Done: &peerpb.Done{
		TxStatus: 'I',
		Refusal:  peerpb.Refusal_REFUSAL_NOT_OWNER,
		Detail:   "the group is not known here",
	}}
}
