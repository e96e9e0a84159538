package feed

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/locality"
)

// The failure: the watcher of a data centre is gone, and the store does not answer. Those that
// followed it turn to a watcher of their own region before they cross to another one.
func TestSourcesInTheOwnRegionFirst(t *testing.T) {
	alive := append(append(instances("a", 3), instances("b", 3)...), instances("c", 3)...)
	s := NewSources(follower(alive))
	s.Locate(locality.New(map[string]string{"a": "x", "b": "y", "c": "x"}))
	s.Failed(0, Watchers(alive, "a")[0], Silent)
	s.Failed(0, Store, Silent)
	next := s.Next(0, alive).Name
	must.Eq(t, Watchers(alive, "c")[0], next)
	s.Failed(0, next, Silent)
	must.Eq(t, Watchers(alive, "b")[0], s.Next(0, alive).Name)
}

// The load: a data centre has one strong instance among many. It watches the store more often
// than any other would by chance.
func TestStrongInstancesWatch(t *testing.T) {
	strong := 0
	const fleets = 200
	for n := range fleets {
		alive := instances(string(rune('a'+n%26))+string(rune('a'+n/26)), 9)
		for k := range alive {
			alive[k].Weight = 1
		}
		alive[4].Weight = 8
		if Watchers(alive, alive[0].DataCentre)[0] == alive[4].Name {
			strong++
		}
	}
	must.Greater(t, fleets/3, strong)
}
