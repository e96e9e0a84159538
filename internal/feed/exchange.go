package feed

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/stackspindle/stackspindle/internal/feed/feedpb"
	"github.com/stackspindle/stackspindle/internal/kv"
)

const (
	// maxWait bounds how long a question is held.
	maxWait = 5 * time.Second
	// maxAnswer bounds an answer: 550 instances and 1,830 members of some 0.3 KB,
	// and a configuration of up to 1 MB.
	maxAnswer = 16 << 20
)

// errUninformed is what an instance says that has not read the store yet.
var errUninformed = status.Error(codes.FailedPrecondition, "the instance has not read the store yet")

// Server answers the questions of those that follow. It implements feedpb.FeedServer.
type Server struct {
	feedpb.UnimplementedFeedServer
	mirror *Mirror
	now    func() time.Duration
	packer *packer
}

// NewServer returns a server of what a mirror holds.
func NewServer(mirror *Mirror, now func() time.Duration) *Server {
	return &Server{mirror: mirror, now: now, packer: newPacker()}
}

// Follow implements feedpb.FeedServer.
func (s *Server) Follow(ctx context.Context, req *feedpb.FollowRequest) (*feedpb.FollowReply, error) {
	arrived := s.now()
	wait := time.NewTimer(min(time.Duration(req.WaitUs)*time.Microsecond, maxWait))
	defer wait.Stop()
	for over := false; ; {
		p, changed := s.since(req)
		if p.Revision == 0 {
			return nil, errUninformed
		}
		now := s.now()
		p.Live = s.mirror.Live(now)
		if p.Revision > req.After || !IsLive(now, p.Live) || over {
			return s.encode(p, arrived, req.Inflates), nil
		}
		select {
		case <-changed:
		case <-wait.C:
			over = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (s *Server) since(req *feedpb.FollowRequest) (Picture, <-chan struct{}) {
	if req.Checks {
		return s.mirror.Changes(req.After)
	}
	return s.mirror.Since(req.After)
}

// Ask asks another instance for what has changed after a revision. sent is the
// time now: the store held nothing newer at that time plus what the answer says,
// since the question arrived no earlier than it was sent.
func Ask(ctx context.Context, client feedpb.FeedClient, after int64, wait, sent time.Duration) (Picture, error) {
	reply, err := client.Follow(ctx, &feedpb.FollowRequest{After: after, WaitUs: wait.Microseconds(), Checks: true, Inflates: true}, grpc.MaxCallRecvMsgSize(maxAnswer))
	if err != nil {
		return Picture{}, fmt.Errorf("follow: %w", err)
	}
	return decode(reply, sent)
}

// encode returns the answer to a question that arrived at a time, with large values compressed
// for one who inflates them.
func (s *Server) encode(p Picture, arrived time.Duration, inflates bool) *feedpb.FollowReply {
	reply := &feedpb.FollowReply{
		Revision: p.Revision, Whole: p.Whole, Unsure: p.Unsure, Digest: p.Digest,
		ConfirmedNs: (p.Confirmed - arrived).Nanoseconds(), LiveNs: (p.Live - arrived).Nanoseconds(),
	}
	for _, e := range p.Events {
		item := &feedpb.Item{Key: e.Key, Value: e.Value, Revision: e.Revision, Lease: int64(e.Lease), Deleted: e.Deleted}
		if deflated := s.pack(e, inflates); deflated != nil {
			item.Value, item.Deflated = nil, deflated
		}
		reply.Items = append(reply.Items, item)
	}
	return reply
}

func (s *Server) pack(e kv.Event, inflates bool) []byte {
	if !inflates {
		return nil
	}
	return s.packer.pack(e.Item)
}

func decode(reply *feedpb.FollowReply, sent time.Duration) (Picture, error) {
	p := Picture{Whole: reply.Whole, Unsure: reply.Unsure, Digest: reply.Digest, Revision: reply.Revision, Confirmed: sent + time.Duration(reply.ConfirmedNs),
		Live: sent + time.Duration(reply.LiveNs),
	}
	left := maxAnswer
	for _, i := range reply.Items {
		if len(i.Deflated) > 0 {
			value, err := inflate(i.Deflated, left)
			if err != nil {
				return Picture{}, fmt.Errorf("key %s: %w", i.Key, err)
			}
			i.Value = value
			left -= len(value)
		}
		p.Events = append(p.Events, kv.Event{
			Item: kv.Item{Key: i.Key, Value: i.Value, Revision: i.Revision, Lease: kv.LeaseID(i.Lease)}, Deleted: i.Deleted,
		})
	}
	return p, nil
}
