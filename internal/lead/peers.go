package lead

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/stackspindle/stackspindle/internal/lead/leadpb"
)

// Settings of the connections between instances. They are opened when a group's
// primary is to be changed and cost nothing before.
const (
	connectBackoff = 50 * time.Millisecond  // an instance that restarts is asked again soon
	maxBackoff     = 500 * time.Millisecond // of one that stays away
	connectTimeout = 500 * time.Millisecond // links have delays of milliseconds
)

// peers holds the connections to other instances, by address.
type peers struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

func newPeers() *peers { return &peers{conns: make(map[string]*grpc.ClientConn)} }

func (p *peers) client(address string) (leadpb.CoordinationClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.conns[address]; conn != nil {
		return leadpb.NewCoordinationClient(conn), nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: connectBackoff, Multiplier: 2, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: connectTimeout,
		}),
	)
	if err != nil {
		return nil, fmt.Errorf("instance at %s: %w", address, err)
	}
	p.conns[address] = conn
	return leadpb.NewCoordinationClient(conn), nil
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		_ = conn.Close() // nothing is under way on it
		delete(p.conns, address)
	}
}

// Server answers other instances. It implements leadpb.CoordinationServer.
type Server struct {
	leadpb.UnimplementedCoordinationServer
	incarnation string
	gates       func(group string) *Gate // nil: the group is not known here
	heard       func(member string) (time.Duration, bool)
}

// NewServer returns the server of a process. heard tells how long ago a member
// answered.
func NewServer(incarnation string, gates func(group string) *Gate, heard func(member string) (time.Duration, bool)) *Server {
	return &Server{incarnation: incarnation, gates: gates, heard: heard}
}

// Release implements leadpb.CoordinationServer.
func (s *Server) Release(ctx context.Context, req *leadpb.ReleaseRequest) (*leadpb.ReleaseReply, error) {
	if gate := s.gates(req.Group); gate != nil {
		if err := gate.Release(ctx, req.Revision, time.Duration(req.DrainUs)*time.Microsecond); err != nil {
			return nil, err
		}
	}
	return &leadpb.ReleaseReply{Incarnation: s.incarnation}, nil
}

// Witness implements leadpb.CoordinationServer.
func (s *Server) Witness(_ context.Context, req *leadpb.WitnessRequest) (*leadpb.WitnessReply, error) {
	age, heard := s.heard(req.Member)
	return &leadpb.WitnessReply{Heard: heard, AgeUs: age.Microseconds()}, nil
}

// Publish implements leadpb.CoordinationServer.
func (s *Server) Publish(_ context.Context, req *leadpb.PublishRequest) (*leadpb.PublishReply, error) {
	record, err := decode[Record](req.Record)
	if err != nil {
		return nil, fmt.Errorf("record of group %s: %w", req.Group, err)
	}
	if gate := s.gates(req.Group); gate != nil {
		gate.Settle(record, req.Revision)
	}
	return &leadpb.PublishReply{}, nil
}
