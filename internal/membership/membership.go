// Package membership keeps an instance's picture of the others: the platform's
// lagging list, corrected by probes of a few neighbours. The picture serves
// placement only; a wrong one costs time and no safety. The package has no I/O,
// clock or goroutine.
package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/stackspindle/stackspindle/internal/ownership"
)

// Instance is one instance of the fleet.
type Instance struct {
	Name       string
	Address    string // host:port for other instances
	DataCentre string
	Leaving    bool
}

// Config bounds the decisions.
type Config struct {
	Suspect    time.Duration // without an answer to probes, after which an instance counts as down
	Introduced time.Duration // how long an instance that only introduced itself is kept
	Neighbours int           // instances that are probed for their own sake
}

// DefaultConfig returns the settings used when nothing else is configured.
func DefaultConfig() Config {
	return Config{Suspect: 600 * time.Millisecond, Introduced: 5 * time.Minute, Neighbours: 3}
}

// record is what is known of one other instance.
type record struct {
	Instance
	listed    bool
	told      bool          // said itself that it leaves
	heard     time.Duration // last sign of life
	silent    bool          // probes have gone unanswered
	refused   bool          // the last one was refused at once
	since     time.Duration // start of the silence
	introduce time.Duration
}

// State is used by one goroutine.
type State struct {
	cfg      Config
	self     Instance
	records  map[string]*record
	listed   bool
	lastTick time.Duration
}

// New returns a picture that holds self alone.
func New(cfg Config, self Instance) *State {
	return &State{cfg: cfg, self: self, records: make(map[string]*record)}
}

// SetSelfLeaving notes that this instance is being stopped.
func (s *State) SetSelfLeaving() { s.self.Leaving = true }

// SetList takes in the platform's list. Who is on it no more is dropped, unless
// it answers: the list lags both ways.
func (s *State) SetList(now time.Duration, list []Instance) {
	s.listed = true
	for _, r := range s.records {
		r.listed = false
	}
	for _, i := range list {
		if i.Name == s.self.Name {
			continue
		}
		r := s.record(i.Name)
		r.Instance = i
		r.listed = true
	}
	s.prune(now)
}

func (s *State) record(name string) *record {
	r := s.records[name]
	if r == nil {
		r = &record{Instance: Instance{Name: name}}
		s.records[name] = r
	}
	return r
}

func (s *State) prune(now time.Duration) {
	for name, r := range s.records {
		sign := max(r.heard, r.introduce)
		if !r.listed && (sign == 0 || now-sign > s.cfg.Introduced) {
			delete(s.records, name)
		}
	}
}

// Introduce notes an instance that has called, even one that is not listed.
func (s *State) Introduce(now time.Duration, i Instance) {
	if i.Name == s.self.Name || i.Name == "" || i.Address == "" {
		return
	}
	r := s.record(i.Name)
	r.Address, r.DataCentre = i.Address, i.DataCentre
	r.introduce = now
	s.Heard(now, i.Name, i.Leaving)
}

// Heard notes a sign of life.
func (s *State) Heard(now time.Duration, name string, leaving bool) {
	r := s.records[name]
	if r == nil {
		return
	}
	r.heard = now
	r.silent = false
	r.told = leaving
}

// Missed notes a probe without an answer. One that is refused at once says more
// than one that stays open: the process is gone, the network is not.
func (s *State) Missed(now time.Duration, name string, refused bool) {
	r := s.records[name]
	if r == nil {
		return
	}
	r.refused = refused
	if r.silent {
		return
	}
	r.silent = true
	r.since = now
}

// Tick passes time. After a pause of this instance nobody's silence counts.
func (s *State) Tick(now time.Duration) {
	if s.lastTick != 0 && now-s.lastTick > s.cfg.Suspect/2 {
		for _, r := range s.records {
			r.silent = false
		}
	}
	s.lastTick = now
	s.prune(now)
}

// Down reports whether an instance counts as down.
func (s *State) Down(now time.Duration, name string) bool {
	r := s.records[name]
	if r == nil {
		return name != s.self.Name
	}
	limit := s.cfg.Suspect
	if r.refused {
		limit /= refusedShare
	}
	return r.silent && now-r.since >= limit
}

// refusedShare is by how much a refusal shortens the wait.
const refusedShare = 4

// Live returns the instances that may own groups, self included, by name.
func (s *State) Live(now time.Duration) []ownership.Instance {
	var live []ownership.Instance
	if !s.self.Leaving {
		live = append(live, ownership.Instance{Name: s.self.Name, DataCentre: s.self.DataCentre})
	}
	for name, r := range s.records {
		if r.Leaving || r.told || s.Down(now, name) {
			continue
		}
		live = append(live, ownership.Instance{Name: name, DataCentre: r.DataCentre})
	}
	slices.SortFunc(live, func(a, b ownership.Instance) int { return strings.Compare(a.Name, b.Name) })
	return live
}

// Known returns all other instances, by name.
func (s *State) Known() []Instance {
	known := make([]Instance, 0, len(s.records))
	for _, r := range s.records {
		i := r.Instance
		i.Leaving = i.Leaving || r.told
		known = append(known, i)
	}
	slices.SortFunc(known, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	return known
}

// Neighbours returns whom this instance probes for the others' sake: those that
// rank highest for it. One instance more or less changes few of these pairs.
func (s *State) Neighbours() []string {
	all := make([]ownership.Instance, 0, len(s.records))
	for name := range s.records {
		all = append(all, ownership.Instance{Name: name})
	}
	return ownership.Neighbours(s.self.Name, all, s.cfg.Neighbours)
}
