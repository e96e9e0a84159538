// Package membership tracks which other instances of the fleet are alive. It
// combines the platform's list of instances, which is often out of date, with
// probes of a few neighbours. The result is used for placement only: if it is
// wrong, requests take longer, but consistency is not affected. The package has no
// I/O, clock or goroutines.
package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/stackspindle/stackspindle/internal/rendezvous"
)

// Instance is one instance of the fleet.
type Instance struct {
	Name       string
	Address    string // host:port at which other instances connect
	DataCentre string
	Leaving    bool
}

// Config holds the timeouts and limits.
type Config struct {
	DownAfter         time.Duration // an instance counts as down if probes have failed for this long
	UnlistedRetention time.Duration // how long an unlisted instance is kept after its last contact
	Neighbours        int           // number of neighbours to probe
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{DownAfter: 600 * time.Millisecond, UnlistedRetention: 5 * time.Minute, Neighbours: 3}
}

// record is the state of one other instance.
type record struct {
	Instance
	listed            bool          // on the platform's list
	announcedLeaving  bool          // the instance itself has announced that it is leaving
	lastContact       time.Duration // time of the last answer or request
	unresponsive      bool          // probes have failed since the last contact
	connRefused       bool          // the last failed probe found the connection refused
	unresponsiveSince time.Duration // time of the first failed probe since the last contact
	introducedAt      time.Duration // when the instance last connected to this one
}

// State is an instance's view of the fleet. It is not safe for concurrent use.
type State struct {
	cfg      Config
	self     Instance
	records  map[string]*record
	listed   bool
	lastTick time.Duration
}

// New returns a state that knows only the instance itself.
func New(cfg Config, self Instance) *State {
	return &State{cfg: cfg, self: self, records: make(map[string]*record)}
}

// SetSelfLeaving records that this instance is shutting down.
func (s *State) SetSelfLeaving() { s.self.Leaving = true }

// SetList applies the platform's list of instances. The list can lack new instances
// and contain stopped ones, so an instance that is not listed is kept while it has
// been in contact within Config.UnlistedRetention.
func (s *State) SetList(now time.Duration, list []Instance) {
	s.listed = true
	for _, r := range s.records {
		r.listed = false
	}
	for _, i := range list {
		if i.Name == s.self.Name {
			continue
		}
		r := s.getOrCreate(i.Name)
		r.Instance = i
		r.listed = true
	}
	s.prune(now)
}

// getOrCreate returns the record of an instance and creates it if needed.
func (s *State) getOrCreate(name string) *record {
	r := s.records[name]
	if r == nil {
		r = &record{Instance: Instance{Name: name}}
		s.records[name] = r
	}
	return r
}

// prune drops unlisted instances without contact within Config.UnlistedRetention.
func (s *State) prune(now time.Duration) {
	for name, r := range s.records {
		lastSeen := max(r.lastContact, r.introducedAt)
		if !r.listed && (lastSeen == 0 || now-lastSeen > s.cfg.UnlistedRetention) {
			delete(s.records, name)
		}
	}
}

// Introduce adds or updates an instance that has connected to this one, even if it
// is not listed.
func (s *State) Introduce(now time.Duration, i Instance) {
	if i.Name == s.self.Name || i.Name == "" || i.Address == "" {
		return
	}
	r := s.getOrCreate(i.Name)
	r.Address, r.DataCentre = i.Address, i.DataCentre
	r.introducedAt = now
	s.RecordContact(now, i.Name, i.Leaving)
}

// RecordContact records that an instance has answered or sent a request, and
// whether it is leaving.
func (s *State) RecordContact(now time.Duration, name string, leaving bool) {
	r := s.records[name]
	if r == nil {
		return
	}
	r.lastContact = now
	r.unresponsive = false
	r.announcedLeaving = leaving
}

// RecordFailedProbe records a failed probe. A refused connection is stronger
// evidence than a timeout, because the host is reachable but the process does not
// run. It shortens the time after which the instance counts as down.
func (s *State) RecordFailedProbe(now time.Duration, name string, refused bool) {
	r := s.records[name]
	if r == nil {
		return
	}
	r.connRefused = refused
	if r.unresponsive {
		return
	}
	r.unresponsive = true
	r.unresponsiveSince = now
}

// Tick must be called periodically. A long gap between calls means that this
// process was paused; failed probes before and during the pause are then ignored.
func (s *State) Tick(now time.Duration) {
	if s.lastTick != 0 && now-s.lastTick > s.cfg.DownAfter/2 {
		for _, r := range s.records {
			r.unresponsive = false
		}
	}
	s.lastTick = now
	s.prune(now)
}

// Down reports whether an instance counts as down. Unknown instances do.
func (s *State) Down(now time.Duration, name string) bool {
	r := s.records[name]
	if r == nil {
		return name != s.self.Name
	}
	limit := s.cfg.DownAfter
	if r.connRefused {
		limit /= refusedDivisor
	}
	return r.unresponsive && now-r.unresponsiveSince >= limit
}

// refusedDivisor divides Config.DownAfter if the last failed probe found the
// connection refused.
const refusedDivisor = 4

// Live returns the instances that may own groups, including this one, sorted by
// name.
func (s *State) Live(now time.Duration) []rendezvous.Instance {
	var live []rendezvous.Instance
	if !s.self.Leaving {
		live = append(live, rendezvous.Instance{Name: s.self.Name, DataCentre: s.self.DataCentre})
	}
	for name, r := range s.records {
		if r.Leaving || r.announcedLeaving || s.Down(now, name) {
			continue
		}
		live = append(live, rendezvous.Instance{Name: name, DataCentre: r.DataCentre})
	}
	slices.SortFunc(live, func(a, b rendezvous.Instance) int { return strings.Compare(a.Name, b.Name) })
	return live
}

// Known returns all other known instances, sorted by name.
func (s *State) Known() []Instance {
	known := make([]Instance, 0, len(s.records))
	for _, r := range s.records {
		i := r.Instance
		i.Leaving = i.Leaving || r.announcedLeaving
		known = append(known, i)
	}
	slices.SortFunc(known, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	return known
}

// Neighbours returns the instances that this instance probes on behalf of the
// fleet: those that rank highest for it in rendezvous hashing. Adding or removing
// an instance changes few of these pairs.
func (s *State) Neighbours() []string {
	all := make([]rendezvous.Instance, 0, len(s.records))
	for name := range s.records {
		all = append(all, rendezvous.Instance{Name: name})
	}
	return rendezvous.Neighbours(s.self.Name, all, s.cfg.Neighbours)
}
