package feed

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/stackspindle/stackspindle/internal/feed/feedpb"
	"github.com/stackspindle/stackspindle/internal/kv"
)

// large returns the event of a key whose value is sent compressed.
func large(revision int64) kv.Event {
	value := bytes.Repeat([]byte(`{"name":"r-68k7b2e","service":"huvo11a"},`), minPackedBytes/20)
	return kv.Event{Item: kv.Item{Key: "config", Value: value, Revision: revision}}
}

func poll(t *testing.T, s *Server, req *feedpb.FollowRequest) *feedpb.FollowReply {
	t.Helper()
	reply, err := s.Follow(context.Background(), req)
	must.NoError(t, err)
	return reply
}

// The configuration grows with the fleet, and each version is sent to all followers. It must be
// compressed only once, and all followers must get the contents of the store.
func TestLargeAnswersAreCompressedOnce(t *testing.T) {
	mirror := NewMirror()
	mirror.Apply(Update{Snapshot: true, Revision: 7, Events: []kv.Event{large(7), put("a", 3)}})
	s := NewServer(mirror, func() time.Duration { return 0 })
	var first []byte
	for range 33 {
		reply := poll(t, s, &feedpb.FollowRequest{Unpacks: true})
		must.SliceEmpty(t, reply.Items)
		must.Less(t, len(large(7).Value)/5, len(reply.Packed))
		if first == nil {
			first = reply.Packed
		}
		must.True(t, &first[0] == &reply.Packed[0], must.Sprint("the answer was compressed again"))
		u, err := decode(reply, 0)
		must.NoError(t, err)
		must.True(t, u.Snapshot)
		must.Len(t, 2, u.Events)
		must.Eq(t, put("a", 3), u.Events[0])
		must.True(t, bytes.Equal(large(7).Value, u.Events[1].Value))
	}
	mirror.Apply(Update{Revision: 8, Events: []kv.Event{large(8)}})
	u, err := decode(poll(t, s, &feedpb.FollowRequest{After: 7, Unpacks: true}), 0)
	must.NoError(t, err)
	must.Len(t, 1, u.Events)
	must.True(t, bytes.Equal(large(8).Value, u.Events[0].Value))
}

// Hundreds of instances start together with nothing while the store keeps changing. They share a
// cached snapshot, with its own revision and confirmation time, and poll for the changes after it.
// Later ones get a new snapshot.
func TestStartingInstancesShareSnapshot(t *testing.T) {
	mirror, now := NewMirror(), time.Second
	s := NewServer(mirror, func() time.Duration { return now })
	mirror.Apply(Update{Snapshot: true, Revision: 7, Events: []kv.Event{large(7)}, ConfirmedAt: now})
	poll(t, s, &feedpb.FollowRequest{Unpacks: true})
	now += snapshotTTL / 2
	mirror.Apply(Update{Revision: 9, Events: []kv.Event{put("b", 9)}, ConfirmedAt: now})
	u, err := decode(poll(t, s, &feedpb.FollowRequest{Unpacks: true}), now)
	must.NoError(t, err)
	must.Eq(t, 7, u.Revision)
	must.Eq(t, time.Second, u.ConfirmedAt)
	u, err = decode(poll(t, s, &feedpb.FollowRequest{After: u.Revision, Unpacks: true}), now)
	must.NoError(t, err)
	must.Eq(t, []kv.Event{put("b", 9)}, u.Events)
	now += snapshotTTL
	u, err = decode(poll(t, s, &feedpb.FollowRequest{Unpacks: true}), now)
	must.NoError(t, err)
	must.Eq(t, 9, u.Revision)
}

// Followers poll from different revisions. The number of cached answers stays bounded.
func TestPackedAnswerCacheIsBounded(t *testing.T) {
	var events []kv.Event
	for n := range 200 {
		e := large(int64(n + 1))
		e.Key = fmt.Sprint(n)
		events = append(events, e)
	}
	mirror := NewMirror()
	mirror.Apply(Update{Snapshot: true, Revision: 200, Events: events})
	s := NewServer(mirror, func() time.Duration { return 0 })
	for n := range int64(20) {
		u, err := decode(poll(t, s, &feedpb.FollowRequest{After: 180 + n, Checks: true, Unpacks: true}), 0)
		must.NoError(t, err)
		must.Len(t, int(20-n), u.Events)
	}
	must.Len(t, maxPackedAnswers, s.packer.recent)
}

// An instance of the previous version does not announce that it can unpack, and gets plain items.
func TestOlderVersionsGetUncompressedAnswers(t *testing.T) {
	mirror := NewMirror()
	mirror.Apply(Update{Snapshot: true, Revision: 7, Events: []kv.Event{large(7)}})
	reply := poll(t, NewServer(mirror, func() time.Duration { return 0 }), &feedpb.FollowRequest{Inflates: true})
	must.True(t, bytes.Equal(large(7).Value, reply.Items[0].Value))
	must.SliceEmpty(t, reply.Packed)
}

// An instance of the previous version may send large values compressed one by one.
func TestCompressedValuesOfOlderVersions(t *testing.T) {
	item := &feedpb.Item{Key: "config", Revision: 1, Deflated: deflate(large(1).Value)}
	u, err := decode(&feedpb.FollowReply{Revision: 1, Items: []*feedpb.Item{item}}, 0)
	must.NoError(t, err)
	must.True(t, bytes.Equal(large(1).Value, u.Events[0].Value))
}

// An answer that is truncated, not compressed, without items, or larger than allowed when
// decompressed is an error, and nothing of it is applied.
func TestInvalidCompressedAnswers(t *testing.T) {
	noise := make([]byte, 1000)
	random := rand.NewChaCha8([32]byte{1})
	_, _ = random.Read(noise)
	raw, err := proto.Marshal(&feedpb.Items{Items: encodeItems([]kv.Event{large(1)})})
	must.NoError(t, err)
	valid := deflate(raw)
	for name, deflated := range map[string][]byte{
		"cut short": valid[:len(valid)/2],
		"noise":     noise,
		"too large": deflate(make([]byte, maxAnswerBytes+1)),
		"no items":  deflate(noise),
	} {
		_, err := decode(&feedpb.FollowReply{Revision: 1, Packed: deflated}, 0)
		must.Error(t, err, must.Sprint(name))
		if name == "no items" {
			continue
		}
		_, err = decode(&feedpb.FollowReply{Revision: 1, Items: []*feedpb.Item{{Key: "config", Revision: 1, Deflated: deflated}}}, 0)
		must.Error(t, err, must.Sprint(name))
	}
}
