package feed

import (
	"flag"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/kv"
)

// The seed is the one that showed the fault of TestRemovalBeforeAWholePicture.
func init() {
	for name, value := range map[string]string{"rapid.seed": "11499380903517595110", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// A watcher reads the store anew and does not learn of a key that came and went
// meanwhile. One that follows it, and has seen the key come, must be told that it is gone.
func TestRemovalBeforeAWholePicture(t *testing.T) {
	watcher, follower := NewMirror(), NewMirror()
	watcher.Take(Picture{Whole: true, Revision: 1, Events: []kv.Event{put("a", 1)}})
	follower.Take(Picture{Whole: true, Revision: 2, Events: []kv.Event{put("a", 1), put("b", 2)}})
	watcher.Take(Picture{Whole: true, Revision: 4, Events: []kv.Event{put("a", 4)}}) // b went at 3

	news, _ := watcher.Since(follower.Revision())
	follower.Take(news)
	held, _ := follower.Since(0)
	must.Len(t, 1, held.Events)
	must.Eq(t, "a", held.Events[0].Key)
}
