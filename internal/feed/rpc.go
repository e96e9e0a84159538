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
	// maxWait bounds how long a poll is held open.
	maxWait = 5 * time.Second
	// maxAnswerBytes bounds the size of an answer in bytes: 550 instances and 1,830 members of some
	// 0.3 KB each, and a configuration of up to 1 MB.
	maxAnswerBytes = 16 << 20
)

// errNotRead is the answer of an instance that has not read the store yet.
var errNotRead = status.Error(codes.FailedPrecondition, "the instance has not read the store yet")

// Server answers the polls of followers. It implements feedpb.FeedServer.
type Server struct {
	feedpb.UnimplementedFeedServer
	mirror *Mirror
	now    func() time.Duration
	packer *packer
}

// NewServer returns a server of a mirror's contents. now is the monotonic clock of the mirror's
// times.
func NewServer(mirror *Mirror, now func() time.Duration) *Server {
	return &Server{mirror: mirror, now: now, packer: &packer{}}
}

// Follow implements feedpb.FeedServer.
func (s *Server) Follow(ctx context.Context, req *feedpb.FollowRequest) (*feedpb.FollowReply, error) {
	arrived := s.now()
	if reply := s.recentSnapshot(req, arrived); reply != nil {
		return reply, nil
	}
	wait := time.NewTimer(min(time.Duration(req.WaitUs)*time.Microsecond, maxWait))
	defer wait.Stop()
	for timedOut := false; ; {
		u, changed := s.changesSince(req)
		if u.Revision == 0 {
			return nil, errNotRead
		}
		now := s.now()
		u.LiveAt = s.mirror.LiveAt(now)
		if u.Revision > req.After || !IsLive(now, u.LiveAt) || timedOut {
			return s.encode(u, arrived, req), nil
		}
		select {
		case <-changed:
		case <-wait.C:
			timedOut = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// recentSnapshot returns a cached packed snapshot for a follower that has nothing yet, nil if there
// is none.
func (s *Server) recentSnapshot(req *feedpb.FollowRequest, now time.Duration) *feedpb.FollowReply {
	if req.After > 0 || !req.Unpacks {
		return nil
	}
	snapshot, ok := s.packer.cachedSnapshot(now)
	if !ok {
		return nil
	}
	snapshot.LiveAt = s.mirror.LiveAt(now)
	reply := encodeHeader(snapshot.Update, now)
	reply.Packed = snapshot.packed
	return reply
}

func (s *Server) changesSince(req *feedpb.FollowRequest) (Update, <-chan struct{}) {
	if req.Checks {
		return s.mirror.SinceWithDigest(req.After)
	}
	return s.mirror.Since(req.After)
}

// Poll polls another instance for the changes after a revision. sent is the time of the call on the
// local clock. The answer's times are relative to the arrival of the request, which is no earlier
// than sent, so times computed from sent are never too late.
func Poll(ctx context.Context, client feedpb.FeedClient, after int64, wait, sent time.Duration) (Update, error) {
	reply, err := client.Follow(ctx, &feedpb.FollowRequest{After: after, WaitUs: wait.Microseconds(), Checks: true, Inflates: true, Unpacks: true}, grpc.MaxCallRecvMsgSize(maxAnswerBytes))
	if err != nil {
		return Update{}, fmt.Errorf("follow: %w", err)
	}
	return decode(reply, sent)
}

// encode returns the answer to a poll that arrived at a time, packed if the follower can unpack it.
func (s *Server) encode(u Update, arrived time.Duration, req *feedpb.FollowRequest) *feedpb.FollowReply {
	reply := encodeHeader(u, arrived)
	if req.Unpacks {
		reply.Packed = s.packer.pack(s.now(), req.After, u)
	}
	if reply.Packed == nil {
		reply.Items = encodeItems(u.Events)
	}
	return reply
}

// encodeHeader returns an answer without items.
func encodeHeader(u Update, arrived time.Duration) *feedpb.FollowReply {
	return &feedpb.FollowReply{
		Revision: u.Revision, Whole: u.Snapshot, Unsure: u.MayMissRemovals, Digest: u.Digest,
		ConfirmedNs: (u.ConfirmedAt - arrived).Nanoseconds(), LiveNs: (u.LiveAt - arrived).Nanoseconds(),
	}
}

func decode(reply *feedpb.FollowReply, sent time.Duration) (Update, error) {
	u := Update{Snapshot: reply.Whole, MayMissRemovals: reply.Unsure, Digest: reply.Digest, Revision: reply.Revision, ConfirmedAt: sent + time.Duration(reply.ConfirmedNs),
		LiveAt: sent + time.Duration(reply.LiveNs),
	}
	items := reply.Items
	if len(reply.Packed) > 0 {
		var err error
		if items, err = unpack(reply.Packed); err != nil {
			return Update{}, err
		}
	}
	remaining := maxAnswerBytes
	for _, i := range items {
		if len(i.Deflated) > 0 {
			value, err := inflate(i.Deflated, remaining)
			if err != nil {
				return Update{}, fmt.Errorf("key %s: %w", i.Key, err)
			}
			i.Value = value
			remaining -= len(value)
		}
		u.Events = append(u.Events, kv.Event{
			Item: kv.Item{Key: i.Key, Value: i.Value, Revision: i.Revision, Lease: kv.LeaseID(i.Lease)}, Deleted: i.Deleted,
		})
	}
	return u, nil
}
