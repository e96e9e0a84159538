package feed

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/stackspindle/stackspindle/internal/locality"
	"github.com/stackspindle/stackspindle/internal/ownership"
)

// Settings of the choice of a source.
const (
	// minWatchers is how many instances of a data centre watch the store, where it
	// has them. While the one that does is dark or deaf, those that follow it ask the
	// store and the watchers of other data centres, so that a change is delayed by one
	// question only. A second one doubles the calls.
	minWatchers = 1
	// instancesPerWatcher adds watchers in large data centres: with 92 instances (550
	// in 6) each answers 50 questions a second. Half as many instances for each watcher
	// are 5 calls of the store a second more in a fleet of 295.
	instancesPerWatcher = 30
	// For how long a source that failed is left alone; each pause doubles with each
	// further failure. Each call of the store is charged, refused ones too: those that
	// watch it must hear it again soon after it was away, the others hear of that from
	// them.
	minWatcherStorePause = 50 * time.Millisecond
	maxWatcherStorePause = 800 * time.Millisecond
	minStorePause        = 400 * time.Millisecond
	maxStorePause        = 3200 * time.Millisecond
	// An instance that is silent costs 0.9 s, within which no other is asked, so the
	// others and the store must have their turn before it.
	minSilentPause = 2 * time.Second
	maxSilentPause = 8 * time.Second
	// One that has no news says so at once.
	minStalePause = 300 * time.Millisecond
	maxStalePause = 1200 * time.Millisecond
	// lastResortPause is the pause between two questions to instances that do not
	// watch the store, of which there may be hundreds.
	lastResortPause = 500 * time.Millisecond
	// watchKey ranks the instances for watching the store.
	watchKey = "store watch"
)

// Failure is how a source failed.
type Failure int

// The ways.
const (
	Silent Failure = iota // it did not answer, or refused
	Stale                 // it answered, and has no news itself
)

// Store is the name of the store among the sources.
const Store = ""

// Choice is the source that is to be asked next.
type Choice struct {
	Name string        // of the instance, or Store
	Rest time.Duration // before which it is not to be asked
}

// Sources decides whom an instance asks for news. It has no clock and is not safe
// for concurrent use.
type Sources struct {
	self       ownership.Instance
	places     locality.Map
	turn       int
	watches    bool                     // this instance is to watch the store
	lastResort time.Duration            // before which no instance is asked that does not watch
	pauses     map[string]time.Duration // by name of a source that failed
	retryAt    map[string]time.Duration // the same
}

// NewSources returns the sources of an instance.
func NewSources(self ownership.Instance) *Sources {
	return &Sources{self: self, pauses: make(map[string]time.Duration), retryAt: make(map[string]time.Duration)}
}

// Locate tells how far data centres lie from one another. Without it all are as far.
func (s *Sources) Locate(places locality.Map) { s.places = places }

// Watchers returns the instances of a data centre that watch the store, the same
// for all that see the same instances. The stronger ones are taken more often.
func Watchers(alive []ownership.Instance, dataCentre string) []string {
	var here []ownership.Instance
	for _, i := range alive {
		if i.DataCentre == dataCentre {
			here = append(here, i)
		}
	}
	order := ownership.Rank(ownership.Group{Name: watchKey}, here)
	return order[:min(len(order), max(minWatchers, len(order)/instancesPerWatcher))]
}

// Next returns whom to ask: a watcher the store; others the watchers of their data
// centre in turn, then the store, since a cut may lie around this instance, then
// the watchers elsewhere, those of its region first, then any other. One that failed a moment ago is passed
// over while another is left.
func (s *Sources) Next(now time.Duration, alive []ownership.Instance) Choice {
	order, other := s.order(alive)
	best := Choice{Name: order[0], Rest: s.rest(now, order[0])}
	for _, name := range order[1:] {
		if rest := s.rest(now, name); rest < best.Rest {
			best = Choice{Name: name, Rest: rest}
		}
	}
	if best.Rest > 0 && other != "" && now >= s.lastResort {
		best = Choice{Name: other}
		s.lastResort = now + lastResortPause
	}
	s.turn++
	return best
}

func (s *Sources) rest(now time.Duration, name string) time.Duration {
	return max(0, s.retryAt[name]-now)
}

// order returns the store and all that watch it, the preferred first, and one other
// instance, if there is any.
func (s *Sources) order(alive []ownership.Instance) (order []string, other string) {
	near := Watchers(alive, s.self.DataCentre)
	s.watches = slices.Contains(near, s.self.Name) || len(near) == 0
	var far, others []string
	for _, dataCentre := range s.dataCentres(alive) {
		if dataCentre != s.self.DataCentre {
			far = append(far, Watchers(alive, dataCentre)...)
		}
	}
	for _, i := range alive {
		if !slices.Contains(near, i.Name) && !slices.Contains(far, i.Name) && i.Name != s.self.Name {
			others = append(others, i.Name)
		}
	}
	if s.watches {
		order = slices.Concat([]string{Store}, s.rotate(near), far)
	} else {
		order = slices.Concat(s.rotate(near), []string{Store}, far)
	}
	if len(others) > 0 {
		other = others[s.turn%len(others)]
	}
	return slices.DeleteFunc(order, func(name string) bool { return name == s.self.Name }), other
}

// rotate begins a list at another place in each turn.
func (s *Sources) rotate(names []string) []string {
	if len(names) == 0 {
		return nil
	}
	start := s.turn % len(names)
	return slices.Concat(names[start:], names[:start])
}

// dataCentres returns the data centres of some instances, the nearest first.
func (s *Sources) dataCentres(alive []ownership.Instance) []string {
	var names []string
	for _, i := range alive {
		if !slices.Contains(names, i.DataCentre) {
			names = append(names, i.DataCentre)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(s.places.Distance(a, s.self.DataCentre), s.places.Distance(b, s.self.DataCentre)),
			strings.Compare(a, b),
		)
	})
	return names
}

// Answered notes that a source brought what is known now, and reports whether it
// had failed before.
func (s *Sources) Answered(name string) bool {
	_, failed := s.pauses[name]
	delete(s.pauses, name)
	delete(s.retryAt, name)
	return failed
}

// Failed notes that a source gave no answer, or one without news, and reports
// whether that is new.
func (s *Sources) Failed(now time.Duration, name string, how Failure) bool {
	last, again := s.pauses[name]
	shortest, longest := s.bounds(name, how)
	pause := min(max(shortest, 2*last), longest)
	s.pauses[name], s.retryAt[name] = pause, now+pause
	return !again
}

// bounds returns the least and the greatest pause after a failure.
func (s *Sources) bounds(name string, how Failure) (time.Duration, time.Duration) {
	switch {
	case name == Store && s.watches:
		return minWatcherStorePause, maxWatcherStorePause
	case name == Store:
		return minStorePause, maxStorePause
	case how == Stale:
		return minStalePause, maxStalePause
	}
	return minSilentPause, maxSilentPause
}
