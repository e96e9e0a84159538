package lead

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/stackspindle/stackspindle/internal/lead/leadpb"
)

// Server answers the coordination calls of other instances. It implements
// leadpb.CoordinationServer.
type Server struct {
	leadpb.UnimplementedCoordinationServer
	incarnation string
	gates       func(group string) *Gate
	informed    func() bool
	now         func() time.Duration // monotonic, since the process started
	heard       func(member string) (time.Duration, bool)

	mu       sync.Mutex               // guards attested
	attested map[string]time.Duration // when an instance last requested an attestation, by name
}

// NewServer returns the server of a process. gates returns the guard of a group, informed
// whether the process has read the store, now the time since the process started, and heard
// how long ago a member last answered, if it ever did.
func NewServer(incarnation string, gates func(group string) *Gate, informed func() bool, now func() time.Duration, heard func(member string) (time.Duration, bool)) *Server {
	return &Server{incarnation: incarnation, gates: gates, informed: informed, now: now, heard: heard, attested: make(map[string]time.Duration)}
}

// Release implements leadpb.CoordinationServer. Its reply says how long ago this process
// attested which instance, so that the leader knows until when their grants may be
// confirmed.
func (s *Server) Release(ctx context.Context, req *leadpb.ReleaseRequest) (*leadpb.ReleaseReply, error) {
	if err := s.gates(req.Group).Release(ctx, req.Revision, time.Duration(req.DrainUs)*time.Microsecond); err != nil {
		return nil, err
	}
	reply := &leadpb.ReleaseReply{Incarnation: s.incarnation, UptimeUs: s.now().Microseconds(), AttestedUs: make(map[string]int64)}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, at := range s.attested {
		reply.AttestedUs[name] = (s.now() - at).Microseconds()
	}
	return reply, nil
}

// Witness implements leadpb.CoordinationServer.
func (s *Server) Witness(_ context.Context, req *leadpb.WitnessRequest) (*leadpb.WitnessReply, error) {
	age, ever := s.heard(req.Member)
	return &leadpb.WitnessReply{Heard: ever, AgeUs: age.Microseconds()}, nil
}

// Attest implements leadpb.CoordinationServer. It fails until the process has read the
// store.
func (s *Server) Attest(_ context.Context, req *leadpb.AttestRequest) (*leadpb.AttestReply, error) {
	if !s.informed() {
		return nil, errUninformed
	}
	s.mu.Lock()
	s.attested[req.From] = s.now()
	s.mu.Unlock()
	reply := &leadpb.AttestReply{}
	for _, known := range req.Known {
		if news, newer := s.gates(known.Group).NewsSince(known.Revision); newer {
			reply.News = append(reply.News, encodeNews(known.Group, news))
		}
	}
	return reply, nil
}

func encodeNews(group string, n News) *leadpb.GroupNews {
	news := &leadpb.GroupNews{Group: group, Revision: n.Revision, Settled: n.Settled, Released: n.Released}
	if n.Revision > 0 {
		news.Record = encode(n.Record)
	}
	return news
}

func decodeNews(news *leadpb.GroupNews) (News, error) {
	n := News{Revision: news.Revision, Settled: news.Settled, Released: news.Released}
	if n.Revision == 0 {
		return n, nil
	}
	var err error
	n.Record, err = decode[Record](news.Record)
	return n, err
}

// errUninformed refuses an attestation.
var errUninformed = status.Error(codes.FailedPrecondition, "the instance has not read the store yet")

// Publish implements leadpb.CoordinationServer.
func (s *Server) Publish(_ context.Context, req *leadpb.PublishRequest) (*leadpb.PublishReply, error) {
	record, err := decode[Record](req.Record)
	if err != nil {
		return nil, fmt.Errorf("record of group %s: %w", req.Group, err)
	}
	s.gates(req.Group).Settle(record, req.Revision)
	return &leadpb.PublishReply{}, nil
}
