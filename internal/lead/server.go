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
	incarnation     string
	guardOf         func(group string) *PrimaryGuard
	hasReadStore    func() bool
	now             func() time.Duration // monotonic, since the process started
	sinceLastAnswer func(member string) (time.Duration, bool)

	mu         sync.Mutex               // guards attestedAt
	attestedAt map[string]time.Duration // when an instance last requested an attestation, by name
}

// NewServer returns the server of a process. guardOf returns the guard of a group,
// hasReadStore whether the process has read the store, now the time since the process
// started, and sinceLastAnswer how long ago a member last answered, if it ever did.
func NewServer(incarnation string, guardOf func(group string) *PrimaryGuard, hasReadStore func() bool, now func() time.Duration, sinceLastAnswer func(member string) (time.Duration, bool)) *Server {
	return &Server{incarnation: incarnation, guardOf: guardOf, hasReadStore: hasReadStore, now: now, sinceLastAnswer: sinceLastAnswer, attestedAt: make(map[string]time.Duration)}
}

// Release implements leadpb.CoordinationServer. Its reply says how long ago this process
// attested which instance, so that the leader knows until when their grants may be
// confirmed.
func (s *Server) Release(ctx context.Context, req *leadpb.ReleaseRequest) (*leadpb.ReleaseReply, error) {
	if err := s.guardOf(req.Group).Release(ctx, req.Revision, time.Duration(req.DrainUs)*time.Microsecond); err != nil {
		return nil, err
	}
	reply := &leadpb.ReleaseReply{Incarnation: s.incarnation, UptimeUs: s.now().Microseconds(), AttestedUs: make(map[string]int64)}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, at := range s.attestedAt {
		reply.AttestedUs[name] = (s.now() - at).Microseconds()
	}
	return reply, nil
}

// Witness implements leadpb.CoordinationServer.
func (s *Server) Witness(_ context.Context, req *leadpb.WitnessRequest) (*leadpb.WitnessReply, error) {
	age, ever := s.sinceLastAnswer(req.Member)
	return &leadpb.WitnessReply{Heard: ever, AgeUs: age.Microseconds()}, nil
}

// Attest implements leadpb.CoordinationServer. It fails until the process has read the
// store.
func (s *Server) Attest(_ context.Context, req *leadpb.AttestRequest) (*leadpb.AttestReply, error) {
	if !s.hasReadStore() {
		return nil, errStoreNotRead
	}
	s.mu.Lock()
	s.attestedAt[req.From] = s.now()
	s.mu.Unlock()
	reply := &leadpb.AttestReply{}
	for _, known := range req.Known {
		if update, newer := s.guardOf(known.Group).UpdateSince(known.Revision); newer {
			reply.News = append(reply.News, encodeUpdate(known.Group, update))
		}
	}
	return reply, nil
}

func encodeUpdate(group string, update GroupUpdate) *leadpb.GroupNews {
	message := &leadpb.GroupNews{Group: group, Revision: update.Revision, Settled: update.IsOutcome, Released: update.Released}
	if update.Revision > 0 {
		message.Record = encode(update.Record)
	}
	return message
}

func decodeUpdate(message *leadpb.GroupNews) (GroupUpdate, error) {
	update := GroupUpdate{Revision: message.Revision, IsOutcome: message.Settled, Released: message.Released}
	if update.Revision == 0 {
		return update, nil
	}
	var err error
	update.Record, err = decode[Record](message.Record)
	return update, err
}

// errStoreNotRead refuses an attestation.
var errStoreNotRead = status.Error(codes.FailedPrecondition, "the instance has not read the store yet")

// Publish implements leadpb.CoordinationServer.
func (s *Server) Publish(_ context.Context, req *leadpb.PublishRequest) (*leadpb.PublishReply, error) {
	record, err := decode[Record](req.Record)
	if err != nil {
		return nil, fmt.Errorf("record of group %s: %w", req.Group, err)
	}
	s.guardOf(req.Group).ApplyOutcome(record, req.Revision)
	return &leadpb.PublishReply{}, nil
}
