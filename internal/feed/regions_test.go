package feed

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/locality"
	"github.com/stackspindle/stackspindle/internal/rendezvous"
)

// The only watcher of a data centre fails and the store does not answer. The watcher's followers
// must poll a watcher of their own region before one of another region.
func TestSourcesInOwnRegionFirst(t *testing.T) {
	alive := append(append(instances("a", 3), instances("b", 3)...), instances("c", 3)...)
	s := NewSelector(follower(alive))
	s.SetLocalities(locality.New(map[string]string{"a": "x", "b": "y", "c": "x"}))
	s.RecordFailure(0, Watchers(alive, "a")[0], Unresponsive)
	s.RecordFailure(0, Store, Unresponsive)
	next := s.Next(0, alive).Name
	must.Eq(t, Watchers(alive, "c")[0], next)
	s.RecordFailure(0, next, Unresponsive)
	must.Eq(t, Watchers(alive, "b")[0], s.Next(0, alive).Name)
}

// A data centre has few instances of high capacity among many of low capacity. The watchers are
// high-capacity instances, fewer than there would be low-capacity ones, and share the followers.
func TestHighCapacityInstancesWatch(t *testing.T) {
	alive := instances("a", 200)
	for n := range alive {
		alive[n].Weight = 1
		if n%20 == 0 {
			alive[n].Weight = 8
		}
	}
	watchers := Watchers(alive, "a")
	must.Len(t, 2, watchers)
	followers := make(map[string]int)
	for _, i := range alive {
		if !slices.Contains(watchers, i.Name) {
			followers[NewSelector(i).Next(0, alive).Name]++
		}
	}
	must.MapLen(t, len(watchers), followers)
	for name, n := range followers {
		must.LessEq(t, maxPerWatcher*3/2, n, must.Sprint(name))
		at := slices.IndexFunc(alive, func(i rendezvous.Instance) bool { return i.Name == name })
		must.Eq(t, 8, alive[at].Weight)
	}
	weak := slices.DeleteFunc(alive, func(i rendezvous.Instance) bool { return i.Weight > 1 })
	must.Len(t, len(weak)/instancesPerWatcher, Watchers(weak, "a"), must.Sprint("all high-capacity instances are lost"))
}
