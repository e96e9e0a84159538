package feed

import (
	"bytes"
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/feed/feedpb"
	"github.com/stackspindle/stackspindle/internal/kv"
)

// large returns the event of a key whose value is passed on compressed.
func large(revision int64) kv.Event {
	value := bytes.Repeat([]byte(`{"name":"r-68k7b2e","service":"huvo11a"},`), packFrom/20)
	return kv.Event{Item: kv.Item{Key: "config", Value: value, Revision: revision}}
}

func ask(t *testing.T, s *Server, req *feedpb.FollowRequest) *feedpb.FollowReply {
	t.Helper()
	reply, err := s.Follow(context.Background(), req)
	must.NoError(t, err)
	return reply
}

// The load: a configuration that grows with the fleet, of which each version is passed on to all
// that follow. It is compressed once, and all have what the store holds.
func TestLargeValuesArePassedOnCompressed(t *testing.T) {
	mirror := NewMirror()
	mirror.Take(Picture{Whole: true, Revision: 7, Events: []kv.Event{large(7), put("a", 3)}})
	s := NewServer(mirror, func() time.Duration { return 0 })
	var first []byte
	for range 33 {
		reply := ask(t, s, &feedpb.FollowRequest{Inflates: true})
		for _, i := range reply.Items {
			if i.Key != "config" {
				must.SliceEmpty(t, i.Deflated)
				continue
			}
			must.SliceEmpty(t, i.Value)
			must.Less(t, len(large(7).Value)/5, len(i.Deflated))
			if first == nil {
				first = i.Deflated
			}
			must.True(t, &first[0] == &i.Deflated[0], must.Sprint("compressed again"))
		}
		p, err := decode(reply, 0)
		must.NoError(t, err)
		must.Len(t, 2, p.Events)
		must.Eq(t, put("a", 3), p.Events[0])
		must.True(t, bytes.Equal(large(7).Value, p.Events[1].Value))
	}
	mirror.Take(Picture{Revision: 8, Events: []kv.Event{large(8)}})
	p, err := decode(ask(t, s, &feedpb.FollowRequest{After: 7, Inflates: true}), 0)
	must.NoError(t, err)
	must.Len(t, 1, p.Events)
	must.True(t, bytes.Equal(large(8).Value, p.Events[0].Value))
}

// An instance of the version before cannot inflate, and does not say that it can.
func TestOlderVersionsGetLargeValuesAsTheyAre(t *testing.T) {
	mirror := NewMirror()
	mirror.Take(Picture{Whole: true, Revision: 7, Events: []kv.Event{large(7)}})
	reply := ask(t, NewServer(mirror, func() time.Duration { return 0 }), &feedpb.FollowRequest{})
	must.True(t, bytes.Equal(large(7).Value, reply.Items[0].Value))
	must.SliceEmpty(t, reply.Items[0].Deflated)
}

// The failure: what another instance tells is cut short, is no compressed value, or would take
// more memory than an answer may. The question has failed then, and nothing is taken in.
func TestBrokenCompressedValues(t *testing.T) {
	noise := make([]byte, 1000)
	random := rand.NewChaCha8([32]byte{1})
	_, _ = random.Read(noise)
	whole := deflate(large(1).Value)
	for name, deflated := range map[string][]byte{
		"cut short": whole[:len(whole)/2],
		"noise":     noise,
		"too large": deflate(make([]byte, maxAnswer+1)),
	} {
		_, err := decode(&feedpb.FollowReply{Revision: 1, Items: []*feedpb.Item{{Key: "config", Revision: 1, Deflated: deflated}}}, 0)
		must.Error(t, err, must.Sprint(name))
	}
}
