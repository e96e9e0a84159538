package feed

import (
	"flag"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/kv"
)

// The seed reproduces the fault that TestRemovalBeforeSnapshot guards against.
func init() {
	for name, value := range map[string]string{"rapid.seed": "11499380903517595110", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// A watcher reads the store again and misses a key that was added and removed in between. A
// follower that has the key must get its removal.
func TestRemovalBeforeSnapshot(t *testing.T) {
	watcher, follower := NewMirror(), NewMirror()
	watcher.Apply(Update{Snapshot: true, Revision: 1, Events: []kv.Event{put("a", 1)}})
	follower.Apply(Update{Snapshot: true, Revision: 2, Events: []kv.Event{put("a", 1), put("b", 2)}})
	watcher.Apply(Update{Snapshot: true, Revision: 4, Events: []kv.Event{put("a", 4)}}) // b was removed at 3

	update, _ := watcher.Since(follower.Revision())
	follower.Apply(update)
	held, _ := follower.Since(0)
	must.Len(t, 1, held.Events)
	must.Eq(t, "a", held.Events[0].Key)
}
