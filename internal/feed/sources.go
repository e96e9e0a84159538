package feed

import (
	"cmp"
	"math"
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
	// instancesPerWatcher is how many instances of a data centre one of the weakest there feeds
	// beside its other work; more add watchers. A stronger one feeds more in proportion, up to
	// mostPerWatcher, all of which turn elsewhere at once when it is lost.
	instancesPerWatcher = 30
	mostPerWatcher      = 80
	// classRatio is how much stronger each class of instances is than the one before. Within a
	// class chance decides who watches.
	classRatio = 1.5
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
	alive      []ownership.Instance // as of the last call
	near, far  []string             // watchers among them, in the order in which they are asked
	others     []string             // that do not watch
	turn       int
	spareUntil time.Duration            // before which the store is not asked
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
// for all that see the same instances. Those of a stronger class go first: a watcher passes
// everything on to many, which takes the whole link of a weak instance.
func Watchers(alive []ownership.Instance, dataCentre string) []string {
	var here []ownership.Instance
	for _, i := range alive {
		if i.DataCentre == dataCentre {
			here = append(here, i)
		}
	}
	weights := ownership.Weigh(here)
	ranked := rankWatchers(here, weights)
	count, fed := 0, 0
	for count < len(ranked) && (count < minWatchers || fed < len(here)) {
		feeds := int(min(instancesPerWatcher*weights.Of(ranked[count].Instance)/weights.Least(), mostPerWatcher))
		if count >= minWatchers && fed+feeds > len(here) {
			break
		}
		fed += feeds
		count++
	}
	names := make([]string, count)
	for n := range names {
		names[n] = ranked[n].Name
	}
	return names
}

// candidate is an instance that may watch the store.
type candidate struct {
	ownership.Instance
	class int // of its strength
	draw  ownership.WeightedScore
}

// rankWatchers returns instances in the order in which they are to watch the store.
func rankWatchers(instances []ownership.Instance, weights ownership.Weights) []candidate {
	ranked := make([]candidate, len(instances))
	for n, i := range instances {
		ranked[n] = candidate{
			Instance: i, class: int(math.Floor(math.Log(weights.Of(i)) / math.Log(classRatio))),
			draw: weights.Apply(ownership.Score(watchKey, i.Name), i),
		}
	}
	slices.SortFunc(ranked, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.class, a.class), a.draw.Compare(b.draw), strings.Compare(a.Name, b.Name))
	})
	return ranked
}

// Next returns whom to ask: a watcher the store; others a watcher of their data centre, which
// they stay with while it answers, then the others there, then the store, since a cut may lie
// around this instance, then the watchers elsewhere, those of its region first, then any other.
// One that failed a moment ago is passed over while another is left. A list that is the same
// slice as that of the last call is taken to hold the same instances.
func (s *Sources) Next(now time.Duration, alive []ownership.Instance) Choice {
	if !sameSlice(alive, s.alive) {
		s.learn(alive)
	}
	best := Choice{Rest: math.MaxInt64}
	for _, name := range s.order() {
		if rest := s.rest(now, name); rest < best.Rest {
			best = Choice{Name: name, Rest: rest}
		}
	}
	if best.Rest > 0 && len(s.others) > 0 && now >= s.lastResort {
		best = Choice{Name: s.others[s.turn%len(s.others)]}
		s.turn++
		s.lastResort = now + lastResortPause
	}
	return best
}

func sameSlice(a, b []ownership.Instance) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}

func (s *Sources) rest(now time.Duration, name string) time.Duration {
	at := s.retryAt[name]
	if name == Store && !s.watches {
		at = max(at, s.spareUntil)
	}
	return max(0, at-now)
}

// learn takes in the instances.
func (s *Sources) learn(alive []ownership.Instance) {
	s.alive = alive
	near := Watchers(alive, s.self.DataCentre)
	s.watches = slices.Contains(near, s.self.Name) || len(near) == 0
	s.near, s.far, s.others = s.spread(near), nil, nil
	for _, dataCentre := range s.dataCentres(alive) {
		if dataCentre != s.self.DataCentre {
			s.far = append(s.far, s.spread(Watchers(alive, dataCentre))...)
		}
	}
	watching := make(map[string]bool, len(s.near)+len(s.far)+1)
	watching[s.self.Name] = true
	for _, name := range slices.Concat(s.near, s.far) {
		watching[name] = true
	}
	for _, i := range alive {
		if !watching[i.Name] {
			s.others = append(s.others, i.Name)
		}
	}
}

// spread returns watchers without this instance in an order of its own, so that they share those
// that follow.
func (s *Sources) spread(watchers []string) []string {
	others := slices.DeleteFunc(watchers, func(name string) bool { return name == s.self.Name })
	slices.SortFunc(others, func(a, b string) int {
		return cmp.Compare(ownership.Score(s.self.Name, a), ownership.Score(s.self.Name, b))
	})
	return others
}

// order returns the store and all that watch it, the preferred first.
func (s *Sources) order() []string {
	if s.watches {
		return slices.Concat([]string{Store}, s.near, s.far)
	}
	return slices.Concat(s.near, []string{Store}, s.far)
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

// SpareStore has the store asked no sooner than a time, unless this instance is to watch it.
func (s *Sources) SpareStore(until time.Duration) { s.spareUntil = until }

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
