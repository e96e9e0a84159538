package feed

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/stackspindle/stackspindle/internal/locality"
	"github.com/stackspindle/stackspindle/internal/rendezvous"
)

// Settings of the choice of an update source.
const (
	// minWatchers is how many instances of a data centre watch the store, if it has as many. While
	// the only watcher is unreachable or gets no changes, its followers poll the store and the
	// watchers of other data centres, so a change is delayed by one poll only. A second watcher
	// would double the number of store calls.
	minWatchers = 1
	// instancesPerWatcher is how many instances one of the weakest instances of a data centre
	// serves as a watcher beside its other work; larger data centres have more watchers. A watcher
	// of more capacity serves proportionally more, up to maxPerWatcher: all of its followers switch
	// to another source at once when it is lost.
	instancesPerWatcher = 30
	maxPerWatcher       = 80
	// capacityClassRatio is the ratio of capacity between one class of instances and the next.
	// Within a class, watchers are chosen by a hash of the name.
	capacityClassRatio = 1.5
	// Bounds of the pause before a failed source is polled again; the pause doubles with each
	// further failure. Every call of the store is charged, rejected ones too. Watchers must notice
	// soon that the store is back after an outage; the others learn it from them.
	minWatcherStorePause = 50 * time.Millisecond
	maxWatcherStorePause = 800 * time.Millisecond
	minStorePause        = 400 * time.Millisecond
	maxStorePause        = 3200 * time.Millisecond
	// A poll of an unresponsive instance takes 0.9 s, during which no other source is polled. So
	// the other instances and the store are tried before it is polled again.
	minUnresponsivePause = 2 * time.Second
	maxUnresponsivePause = 8 * time.Second
	// An instance without a live source of its own answers at once.
	minStalePause = 300 * time.Millisecond
	maxStalePause = 1200 * time.Millisecond
	// lastResortPause is the pause between two polls of instances that do not watch the store.
	// There may be hundreds of them.
	lastResortPause = 500 * time.Millisecond
	// watchKey is the hash key by which the instances are ranked as watchers.
	watchKey = "store watch"
)

// Failure is the way in which a source failed.
type Failure int

// Kinds of failure.
const (
	Unresponsive Failure = iota // no answer, or the call was rejected
	Stale                       // an answer from an instance without a live source of its own
)

// Store is the name of the store as a source.
const Store = ""

// Choice is the source to poll next.
type Choice struct {
	Name  string        // of the instance, or Store
	Delay time.Duration // time to wait before the poll
}

// Selector selects the update source that an instance polls next. It has no clock of its own and is
// not safe for concurrent use.
type Selector struct {
	self                          rendezvous.Instance
	localities                    locality.Map
	alive                         []rendezvous.Instance // as of the last call of Next
	localWatchers, remoteWatchers []string              // watchers of the own and of other data centres, in the order of preference
	nonWatchers                   []string              // instances that do not watch
	nextNonWatcher                int
	avoidStoreUntil               time.Duration            // the store is not polled before this time
	isWatcher                     bool                     // this instance is a watcher
	nextLastResort                time.Duration            // no instance that does not watch is polled before this time
	pauses                        map[string]time.Duration // current pause, by name of a failed source
	retryAt                       map[string]time.Duration // end of the pause, by name of a failed source
}

// NewSelector returns a selector for an instance.
func NewSelector(self rendezvous.Instance) *Selector {
	return &Selector{self: self, pauses: make(map[string]time.Duration), retryAt: make(map[string]time.Duration)}
}

// SetLocalities sets the distances between data centres. Without it all data centres are equally
// far.
func (s *Selector) SetLocalities(localities locality.Map) { s.localities = localities }

// Watchers returns the names of the instances of a data centre that watch the store. The result is
// the same on all instances that see the same instances alive. Instances of a higher capacity class
// come first: a watcher sends every change to many followers, which would take the whole network
// link of a weak instance.
func Watchers(alive []rendezvous.Instance, dataCentre string) []string {
	var local []rendezvous.Instance
	for _, i := range alive {
		if i.DataCentre == dataCentre {
			local = append(local, i)
		}
	}
	weights := rendezvous.NewWeights(local)
	ranked := rankWatchers(local, weights)
	count, served := 0, 0
	for count < len(ranked) && (count < minWatchers || served < len(local)) {
		serves := int(min(instancesPerWatcher*weights.Of(ranked[count].Instance)/weights.Min(), maxPerWatcher))
		if count >= minWatchers && served+serves > len(local) {
			break
		}
		served += serves
		count++
	}
	names := make([]string, count)
	for n := range names {
		names[n] = ranked[n].Name
	}
	return names
}

// candidate is an instance that may become a watcher.
type candidate struct {
	rendezvous.Instance
	class int // of its capacity
	score rendezvous.WeightedScore
}

// rankWatchers returns instances in the order in which they become watchers.
func rankWatchers(instances []rendezvous.Instance, weights rendezvous.Weights) []candidate {
	ranked := make([]candidate, len(instances))
	for n, i := range instances {
		ranked[n] = candidate{
			Instance: i, class: int(math.Floor(math.Log(weights.Of(i)) / math.Log(capacityClassRatio))),
			score: weights.Apply(rendezvous.Score(watchKey, i.Name), i),
		}
	}
	slices.SortFunc(ranked, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.class, a.class), a.score.Compare(b.score), strings.Compare(a.Name, b.Name))
	})
	return ranked
}

// Next returns the source to poll. For a watcher that is the store. Any other instance polls a
// watcher of its data centre and stays with it while it answers. If that fails, it polls the other
// watchers there, then the store, since the partition may be around this instance alone, then the
// watchers of other data centres, those of its own region first, then any other instance. A source
// that failed recently is skipped while another is left. A list that is the same slice as in the
// last call is taken to hold the same instances.
func (s *Selector) Next(now time.Duration, alive []rendezvous.Instance) Choice {
	if !sameSlice(alive, s.alive) {
		s.setInstances(alive)
	}
	best := Choice{Delay: math.MaxInt64}
	for _, name := range s.order() {
		if delay := s.delay(now, name); delay < best.Delay {
			best = Choice{Name: name, Delay: delay}
		}
	}
	if best.Delay > 0 && len(s.nonWatchers) > 0 && now >= s.nextLastResort {
		best = Choice{Name: s.nonWatchers[s.nextNonWatcher%len(s.nonWatchers)]}
		s.nextNonWatcher++
		s.nextLastResort = now + lastResortPause
	}
	return best
}

func sameSlice(a, b []rendezvous.Instance) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}

func (s *Selector) delay(now time.Duration, name string) time.Duration {
	end := s.retryAt[name]
	if name == Store && !s.isWatcher {
		end = max(end, s.avoidStoreUntil)
	}
	return max(0, end-now)
}

// setInstances sets the instances that are alive.
func (s *Selector) setInstances(alive []rendezvous.Instance) {
	s.alive = alive
	localWatchers := Watchers(alive, s.self.DataCentre)
	s.isWatcher = slices.Contains(localWatchers, s.self.Name) || len(localWatchers) == 0
	s.localWatchers, s.remoteWatchers, s.nonWatchers = s.shuffle(localWatchers), nil, nil
	for _, dataCentre := range s.dataCentres(alive) {
		if dataCentre != s.self.DataCentre {
			s.remoteWatchers = append(s.remoteWatchers, s.shuffle(Watchers(alive, dataCentre))...)
		}
	}
	watchers := make(map[string]bool, len(s.localWatchers)+len(s.remoteWatchers)+1)
	watchers[s.self.Name] = true
	for _, name := range slices.Concat(s.localWatchers, s.remoteWatchers) {
		watchers[name] = true
	}
	for _, i := range alive {
		if !watchers[i.Name] {
			s.nonWatchers = append(s.nonWatchers, i.Name)
		}
	}
}

// shuffle returns watchers without this instance, in an order that differs from instance to
// instance, so that the followers are spread over the watchers.
func (s *Selector) shuffle(watchers []string) []string {
	others := slices.DeleteFunc(watchers, func(name string) bool { return name == s.self.Name })
	slices.SortFunc(others, func(a, b string) int {
		return cmp.Compare(rendezvous.Score(s.self.Name, a), rendezvous.Score(s.self.Name, b))
	})
	return others
}

// order returns the store and all watchers, the most preferred first.
func (s *Selector) order() []string {
	if s.isWatcher {
		return slices.Concat([]string{Store}, s.localWatchers, s.remoteWatchers)
	}
	return slices.Concat(s.localWatchers, []string{Store}, s.remoteWatchers)
}

// dataCentres returns the data centres of the given instances, the nearest first.
func (s *Selector) dataCentres(alive []rendezvous.Instance) []string {
	var names []string
	for _, i := range alive {
		if !slices.Contains(names, i.DataCentre) {
			names = append(names, i.DataCentre)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(s.localities.Distance(a, s.self.DataCentre), s.localities.Distance(b, s.self.DataCentre)),
			strings.Compare(a, b),
		)
	})
	return names
}

// AvoidStoreUntil keeps this instance from polling the store before a time, unless it is a watcher.
func (s *Selector) AvoidStoreUntil(until time.Duration) { s.avoidStoreUntil = until }

// RecordSuccess records that a source returned current contents, and reports whether it had failed
// before.
func (s *Selector) RecordSuccess(name string) bool {
	_, failed := s.pauses[name]
	delete(s.pauses, name)
	delete(s.retryAt, name)
	return failed
}

// RecordFailure records that a source did not answer, or answered without a live source of its own.
// It reports whether this is the source's first failure in a row.
func (s *Selector) RecordFailure(now time.Duration, name string, failure Failure) bool {
	previous, again := s.pauses[name]
	shortest, longest := s.pauseBounds(name, failure)
	pause := min(max(shortest, 2*previous), longest)
	s.pauses[name], s.retryAt[name] = pause, now+pause
	return !again
}

// pauseBounds returns the shortest and the longest pause after a failure.
func (s *Selector) pauseBounds(name string, failure Failure) (time.Duration, time.Duration) {
	switch {
	case name == Store && s.isWatcher:
		return minWatcherStorePause, maxWatcherStorePause
	case name == Store:
		return minStorePause, maxStorePause
	case failure == Stale:
		return minStalePause, maxStalePause
	}
	return minUnresponsivePause, maxUnresponsivePause
}
