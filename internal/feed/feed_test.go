package feed

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"
	"pgregory.net/rapid"

	"github.com/stackspindle/stackspindle/internal/feed/feedpb"
	"github.com/stackspindle/stackspindle/internal/kv"
	"github.com/stackspindle/stackspindle/internal/rendezvous"
)

func put(key string, revision int64) kv.Event {
	return kv.Event{Item: kv.Item{Key: key, Value: []byte(fmt.Sprint(revision)), Revision: revision}}
}

func removal(key string, revision int64) kv.Event {
	return kv.Event{Item: kv.Item{Key: key, Revision: revision}, Deleted: true}
}

// A mirror that follows others ends with the contents of the store, whatever it held before and
// whichever mirrors it polls.
func TestFollowersConvergeToStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := make(map[string]int64)
		var history []kv.Event
		mirrors := []*Mirror{NewMirror(), NewMirror(), NewMirror()}
		revision := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
				revision++
				if _, exists := store[key]; exists && rapid.Bool().Draw(t, "remove") {
					delete(store, key)
					history = append(history, removal(key, revision))
				} else {
					store[key] = revision
					history = append(history, put(key, revision))
				}
			case 2: // a mirror reads the store again
				snapshot := Update{Snapshot: true, Revision: revision}
				for key, at := range store {
					snapshot.Events = append(snapshot.Events, put(key, at))
				}
				mirrors[rapid.IntRange(0, 2).Draw(t, "mirror")].Apply(snapshot)
			case 3: // a mirror watches the store
				m := mirrors[rapid.IntRange(0, 2).Draw(t, "mirror")]
				if m.Revision() == 0 {
					continue
				}
				changes := Update{Revision: revision}
				for _, e := range history {
					if e.Revision > m.Revision() {
						changes.Events = append(changes.Events, e)
					}
				}
				m.Apply(changes)
			case 4: // a mirror polls another
				from, to := mirrors[rapid.IntRange(0, 2).Draw(t, "from")], mirrors[rapid.IntRange(0, 2).Draw(t, "to")]
				if from.Revision() > 0 {
					u, _ := from.Since(to.Revision())
					to.Apply(u)
				}
			}
		}
		for _, m := range mirrors {
			if m.Revision() < revision || revision == 0 {
				continue
			}
			held := make(map[string]int64)
			for key, item := range m.items {
				held[key] = item.Revision
			}
			if !maps.Equal(store, held) {
				t.Fatalf("held %v, in the store %v", held, store)
			}
		}
	})
}

func TestOlderSnapshotDoesNotRevert(t *testing.T) {
	m := NewMirror()
	m.Apply(Update{Snapshot: true, Revision: 5, Events: []kv.Event{put("a", 5)}, ConfirmedAt: time.Second})
	added := m.Apply(Update{Snapshot: true, Revision: 3, Events: []kv.Event{put("a", 2), put("b", 3)}, ConfirmedAt: 2 * time.Second})
	must.False(t, added.Snapshot)
	must.Eq(t, 5, m.Revision())
	u, _ := m.Since(0)
	must.True(t, u.Snapshot)
	must.Eq(t, int64(5), u.Events[len(u.Events)-1].Revision)
	must.Eq(t, 2*time.Second, u.ConfirmedAt, must.Sprint("the older snapshot still confirms that nothing was newer"))
}

func TestRemovalHistoryIsBounded(t *testing.T) {
	m := NewMirror()
	m.Apply(Update{Snapshot: true, Revision: 1})
	for n := int64(1); n <= minTombstones+1; n++ {
		m.Apply(Update{Revision: 2 * n, Events: []kv.Event{put("k", 2*n)}})
		m.Apply(Update{Revision: 2*n + 1, Events: []kv.Event{removal(fmt.Sprint("k", n), 2*n+1)}})
	}
	must.LessEq(t, minTombstones, len(m.removed))
	u, _ := m.Since(2)
	must.True(t, u.Snapshot)
	u, _ = m.Since(m.Revision() - 1)
	must.True(t, u.Snapshot || len(u.Events) > 0)
}

// client calls a server in the same process.
type client struct{ server *Server }

func (c client) Follow(ctx context.Context, req *feedpb.FollowRequest, _ ...grpc.CallOption) (*feedpb.FollowReply, error) {
	return c.server.Follow(ctx, req)
}

// The confirmation time that a follower computes is never later than the sending of the store call,
// whatever the offset between the two clocks.
func TestConfirmationTimeIsNeverTooLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := rapid.Int64Range(0, int64(10*time.Second))
		offset := time.Duration(span.Draw(t, "offset of the sender's clock"))
		sent := time.Duration(span.Draw(t, "sent"))
		arrived := sent + time.Duration(span.Draw(t, "network latency"))
		stored := time.Duration(span.Draw(t, "store call"))
		mirror := NewMirror()
		mirror.Apply(Update{Snapshot: true, Revision: 1, ConfirmedAt: stored + offset})
		server := NewServer(mirror, func() time.Duration { return arrived + offset })
		u, err := Poll(context.Background(), client{server}, 0, 0, sent)
		must.NoError(t, err)
		must.LessEq(t, stored, u.ConfirmedAt)
	})
}

// Two instances that the store rejects poll each other. Neither may count the other as a live
// source. When they did, they stayed without updates for 6 s, and so did a third instance that
// polled them although it could have asked the store.
func TestPollingCircleIsNotLive(t *testing.T) {
	now := time.Duration(0)
	clock := func() time.Duration { return now }
	one, other := NewMirror(), NewMirror()
	for _, m := range []*Mirror{one, other} {
		m.Apply(Update{Snapshot: true, Revision: 1})
		m.SetWatching(now, true)
		m.SetWatching(now, false)
	}
	for now = 0; now < 2*liveFor; now += liveFor / 4 {
		for _, pair := range [][2]*Mirror{{one, other}, {other, one}} {
			p, err := Poll(context.Background(), client{NewServer(pair[0], clock)}, 1, 0, now)
			must.NoError(t, err)
			must.Eq(t, now < liveFor, IsLive(now, p.LiveAt))
			pair[1].Apply(p)
		}
	}
	one.SetWatching(now, true)
	p, err := Poll(context.Background(), client{NewServer(one, clock)}, 1, 0, now)
	must.NoError(t, err)
	must.True(t, IsLive(now, p.LiveAt))
}

func TestEmptyMirrorReturnsError(t *testing.T) {
	server := NewServer(NewMirror(), func() time.Duration { return 0 })
	_, err := Poll(context.Background(), client{server}, 0, time.Second, 0)
	must.Error(t, err)
}

func TestPollReturnsOnChange(t *testing.T) {
	mirror := NewMirror()
	mirror.Apply(Update{Snapshot: true, Revision: 1})
	server := NewServer(mirror, func() time.Duration { return 0 })
	answered := make(chan Update)
	go func() {
		p, err := Poll(context.Background(), client{server}, 1, maxWait, 0)
		if err == nil {
			answered <- p
		}
	}()
	mirror.Apply(Update{Revision: 2, Events: []kv.Event{put("a", 2)}})
	must.Eq(t, 2, (<-answered).Revision)
}

func instances(dataCentre string, n int) []rendezvous.Instance {
	var all []rendezvous.Instance
	for k := range n {
		all = append(all, rendezvous.Instance{Name: fmt.Sprintf("%s-%d", dataCentre, k), DataCentre: dataCentre})
	}
	return all
}

// twoWatchers is the least number of instances in a data centre with two watchers.
const twoWatchers = 2 * instancesPerWatcher

func TestWatchers(t *testing.T) {
	for n, want := range map[int]int{0: 0, 1: 1, 3: 1, 25: 1, twoWatchers: 2, 92: 3} {
		must.Len(t, want, Watchers(instances("a", n), "a"), must.Sprint(n))
	}
}

// follower returns an instance of the first instance's data centre that is not a watcher.
func follower(alive []rendezvous.Instance) rendezvous.Instance {
	watchers := Watchers(alive, alive[0].DataCentre)
	for _, i := range alive {
		if !slices.Contains(watchers, i.Name) {
			return i
		}
	}
	panic("every instance watches")
}

// A follower moves through its sources in order of preference as they fail, and back as they
// recover.
func TestSourceFailover(t *testing.T) {
	alive := append(instances("a", twoWatchers), instances("b", twoWatchers)...)
	local, remote := Watchers(alive, "a"), Watchers(alive, "b")
	s := NewSelector(follower(alive))
	first := s.Next(0, alive).Name
	must.SliceContains(t, local, first)
	must.Eq(t, first, s.Next(0, alive).Name, must.Sprint("it stays with a source that answers"))
	must.True(t, s.RecordFailure(0, first, Unresponsive))
	must.False(t, s.RecordFailure(0, first, Unresponsive))
	second := s.Next(0, alive).Name
	must.SliceContainsAll(t, local, []string{first, second})
	s.RecordFailure(0, second, Unresponsive)
	must.Eq(t, Store, s.Next(0, alive).Name, must.Sprint("the partition may be around this instance alone"))
	s.RecordFailure(0, Store, Unresponsive)
	must.SliceContains(t, remote, s.Next(0, alive).Name)
	s.RecordFailure(0, remote[0], Unresponsive)
	s.RecordFailure(0, remote[1], Unresponsive)
	last := s.Next(0, alive).Name
	must.SliceNotContains(t, slices.Concat(local, remote, []string{Store}), last, must.Sprint("any other instance that may have contact to the store"))
	must.Eq(t, Choice{Name: Store, Delay: minStorePause}, s.Next(0, alive), must.Sprint("no source is left: the one whose pause ends first"))
	must.NotEq(t, last, s.Next(lastResortPause, alive).Name, must.Sprint("the last resort is a different instance each time"))
	must.True(t, s.RecordSuccess(second))
	must.False(t, s.RecordSuccess(second))
	must.Eq(t, Choice{Name: second}, s.Next(0, alive))
}

// While the store is unavailable to all, instances that do not watch it call it rarely and do not
// poll hundreds of others in a row. Without the pauses 72 instances made some 900 rejected calls in
// 6 s.
func TestFollowersRarelyPollUnavailableStore(t *testing.T) {
	const outage = 6 * time.Second
	alive := instances("a", 70)
	s := NewSelector(follower(alive))
	polls := make(map[string]int)
	for now := time.Duration(0); now < outage; now += time.Millisecond {
		choice := s.Next(now, alive)
		now += choice.Delay
		polls[choice.Name]++
		failure := Stale
		if choice.Name == Store {
			failure = Unresponsive
		}
		s.RecordFailure(now, choice.Name, failure)
	}
	must.LessEq(t, 5, polls[Store])
	total := 0
	for _, n := range polls {
		total += n
	}
	must.LessEq(t, 60, total)
}

func TestWatcherPrefersStore(t *testing.T) {
	alive := instances("a", twoWatchers)
	watchers := Watchers(alive, "a")
	s := NewSelector(rendezvous.Instance{Name: watchers[0], DataCentre: "a"})
	must.Eq(t, Store, s.Next(0, alive).Name)
	s.RecordFailure(0, Store, Unresponsive)
	must.Eq(t, watchers[1], s.Next(0, alive).Name, must.Sprint("rejected by the store, it polls another watcher"))
	must.Eq(t, Store, s.Next(minWatcherStorePause, alive).Name)
}

// In a data centre with one watcher, followers call the store when the watcher fails, and the
// watcher polls one in another data centre when the store rejects it.
func TestSingleWatcherFailover(t *testing.T) {
	alive := append(instances("a", 3), instances("b", 3)...)
	local, remote := Watchers(alive, "a"), Watchers(alive, "b")
	s := NewSelector(follower(alive))
	must.Eq(t, local[0], s.Next(0, alive).Name)
	s.RecordFailure(0, local[0], Unresponsive)
	must.Eq(t, Store, s.Next(0, alive).Name)
	s.RecordFailure(0, Store, Unresponsive)
	must.Eq(t, remote[0], s.Next(0, alive).Name)
	watcher := NewSelector(rendezvous.Instance{Name: local[0], DataCentre: "a"})
	watcher.RecordFailure(0, Store, Unresponsive)
	must.Eq(t, remote[0], watcher.Next(0, alive).Name)
}

func TestFirstInstanceUsesStore(t *testing.T) {
	s := NewSelector(rendezvous.Instance{Name: "x", DataCentre: "a"})
	must.Eq(t, Store, s.Next(0, nil).Name)
}

// The failure: both watchers of a data centre are cut off from the store, and their followers,
// which are not, poll these two in turn without trying the store. Between two polls of one source,
// every source that is preferred to the last resort must be tried, however long a poll takes.
func TestAllSourcesAreTriedBeforeRetry(t *testing.T) {
	const pollTime = 900 * time.Millisecond
	alive := append(instances("a", twoWatchers), instances("b", twoWatchers)...)
	local := Watchers(alive, "a")
	s := NewSelector(follower(alive))
	now := time.Duration(0)
	for range 2 {
		name := s.Next(now, alive).Name
		must.SliceContains(t, local, name)
		now += pollTime
		s.RecordFailure(now, name, Unresponsive)
	}
	must.Eq(t, Choice{Name: Store}, s.Next(now, alive))
}

// A server whose instance loses its live source answers waiting polls at once.
func TestPollReturnsWhenSourceFails(t *testing.T) {
	mirror := NewMirror()
	mirror.Apply(Update{Snapshot: true, Revision: 1})
	mirror.SetWatching(0, true)
	server := NewServer(mirror, func() time.Duration { return time.Hour })
	answered := make(chan Update)
	go func() {
		p, err := Poll(context.Background(), client{server}, 1, maxWait, time.Hour)
		if err == nil {
			answered <- p
		}
	}()
	mirror.SetWatching(time.Hour, false)
	must.False(t, IsLive(time.Hour, (<-answered).LiveAt))
}
