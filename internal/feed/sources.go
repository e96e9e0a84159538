package feed

import (
	"slices"
	"time"

	"github.com/stackspindle/stackspindle/internal/ownership"
)

// Settings of the choice of a source.
const (
	// minWatchers is how many instances of a data centre watch the store, where it
	// has them. Whoever follows takes them in turn, so that one that is dark or
	// deaf delays a change by one question only.
	minWatchers = 2
	// instancesPerWatcher adds watchers in large data centres: at 92 instances (550
	// in 6) each answers 25 questions a second.
	instancesPerWatcher = 16
	// For how long a source that failed is left alone; it doubles with each failure.
	// Each call of the store is charged, refused ones too, and it must be heard again
	// soon after it was away. An instance that is silent costs 0.9 s, within which no
	// other is asked, so the others and the store must have their turn before it.
	minStorePause = 50 * time.Millisecond
	maxStorePause = 800 * time.Millisecond
	minPeerPause  = 2 * time.Second
	maxPeerPause  = 8 * time.Second
	// watchKey ranks the instances for watching the store.
	watchKey = "store watch"
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
	self    ownership.Instance
	turn    int
	pauses  map[string]time.Duration // by name of a source that failed
	retryAt map[string]time.Duration // the same
}

// NewSources returns the sources of an instance.
func NewSources(self ownership.Instance) *Sources {
	return &Sources{self: self, pauses: make(map[string]time.Duration), retryAt: make(map[string]time.Duration)}
}

// Watchers returns the instances of a data centre that watch the store, the same
// for all that see the same instances.
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
// the watchers elsewhere, then any other. One that failed a moment ago is passed
// over while another is left.
func (s *Sources) Next(now time.Duration, alive []ownership.Instance) Choice {
	order := s.order(alive)
	best := Choice{Name: order[0], Rest: s.rest(now, order[0])}
	for _, name := range order[1:] {
		if rest := s.rest(now, name); rest < best.Rest {
			best = Choice{Name: name, Rest: rest}
		}
	}
	s.turn++
	return best
}

func (s *Sources) rest(now time.Duration, name string) time.Duration {
	return max(0, s.retryAt[name]-now)
}

// order returns all sources, the preferred first.
func (s *Sources) order(alive []ownership.Instance) []string {
	near := Watchers(alive, s.self.DataCentre)
	watches := slices.Contains(near, s.self.Name) || len(near) == 0
	var far, others []string
	for _, dataCentre := range dataCentres(alive) {
		if dataCentre != s.self.DataCentre {
			far = append(far, Watchers(alive, dataCentre)...)
		}
	}
	for _, i := range alive {
		if !slices.Contains(near, i.Name) && !slices.Contains(far, i.Name) {
			others = append(others, i.Name)
		}
	}
	order := []string{Store}
	if watches {
		order = slices.Concat(order, s.rotate(near))
	} else {
		order = slices.Concat(s.rotate(near), order)
	}
	return slices.DeleteFunc(slices.Concat(order, far, s.rotate(others)), func(name string) bool { return name == s.self.Name })
}

// rotate begins a list at another place in each turn.
func (s *Sources) rotate(names []string) []string {
	if len(names) == 0 {
		return nil
	}
	start := s.turn % len(names)
	return slices.Concat(names[start:], names[:start])
}

func dataCentres(alive []ownership.Instance) []string {
	var names []string
	for _, i := range alive {
		if !slices.Contains(names, i.DataCentre) {
			names = append(names, i.DataCentre)
		}
	}
	slices.Sort(names)
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

// Failed notes that a source gave no answer, or one that is out of date, and
// reports whether that is new.
func (s *Sources) Failed(now time.Duration, name string) bool {
	last, again := s.pauses[name]
	shortest, longest := minPeerPause, maxPeerPause
	if name == Store {
		shortest, longest = minStorePause, maxStorePause
	}
	pause := min(max(shortest, 2*last), longest)
	s.pauses[name], s.retryAt[name] = pause, now+pause
	return !again
}
