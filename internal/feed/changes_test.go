package feed

import (
	"fmt"
	"maps"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/stackspindle/stackspindle/internal/kv"
)

// follow has one mirror poll another as instances do. It returns the number of items sent.
func follow(from, to *Mirror) int {
	u, _ := from.SinceWithDigest(to.Revision())
	sent := len(u.Events)
	if !to.DigestMatches(u) {
		u, _ = from.SinceWithDigest(0)
		sent += len(u.Events)
	}
	to.Apply(u)
	return sent
}

// A mirror that follows others by changes and digests ends with the contents of the store, as one
// that follows by snapshots does.
func TestDigestFollowersConvergeToStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := make(map[string]int64)
		var history []kv.Event
		mirrors := []*Mirror{NewMirror(), NewMirror(), NewMirror()}
		revision := int64(0)
		pick := func(label string) *Mirror { return mirrors[rapid.IntRange(0, 2).Draw(t, label)] }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
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
				pick("mirror").Apply(snapshot)
			case 3: // a mirror watches the store
				m := pick("mirror")
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
			default: // a mirror polls another
				from, to := pick("from"), pick("to")
				if from.Revision() > 0 && from != to {
					follow(from, to)
				}
			}
		}
		for _, m := range mirrors {
			if m.Revision() < revision || revision == 0 {
				continue
			}
			held := make(map[string]int64)
			var digest uint64
			for key, item := range m.items {
				held[key] = item.Revision
				digest ^= itemDigest(item)
			}
			if !maps.Equal(store, held) || digest != m.digest {
				t.Fatalf("held %v, in the store %v, digest %x instead of %x", held, store, m.digest, digest)
			}
		}
	})
}

// At a start, instances begin one after another, each reads the store and registers, and polls any
// others that it knows. What is sent to one instance must grow in proportion to the fleet, not to
// its square: at most three times the number of items in the store.
func TestSimultaneousStartTrafficIsLinear(t *testing.T) {
	for _, n := range []int{30, 100, 300} {
		var items []kv.Event
		var running []*Mirror
		sent := 0
		for i := range n {
			m := NewMirror()
			m.Apply(Update{Snapshot: true, Revision: int64(len(items) + 1), Events: append([]kv.Event{put("config", 1)}, items...)})
			running = append(running, m)
			for _, key := range []string{"instances", "alive"} {
				e := put(fmt.Sprint(key, "/", i), int64(len(items)+2))
				items = append(items, e)
				m.Apply(Update{Revision: e.Revision, Events: []kv.Event{e}})
			}
			for j := range running {
				sent += follow(running[(j*7+i)%len(running)], running[j])
			}
		}
		must.LessEq(t, 3*len(items), sent/n, must.Sprintf("%d instances", n))
	}
}

// When a fault takes more than half of a large fleet with its keys at once, followers get each
// removal instead of a full snapshot.
func TestMassRemovalIsSentAsDelta(t *testing.T) {
	const keys = 4 * minTombstones
	mirror := NewMirror()
	snapshot := Update{Snapshot: true, Revision: keys}
	for n := range int64(keys) {
		snapshot.Events = append(snapshot.Events, put(fmt.Sprint("k", n), n+1))
	}
	mirror.Apply(snapshot)
	removals := Update{Revision: keys + keys/2}
	for n := range int64(keys / 2) {
		removals.Events = append(removals.Events, kv.Event{Item: kv.Item{Key: fmt.Sprint("k", n), Revision: keys + n + 1}, Deleted: true})
	}
	mirror.Apply(removals)
	u, _ := mirror.SinceWithDigest(keys)
	must.False(t, u.Snapshot)
	must.Len(t, keys/2, u.Events)
}
