package routing

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

// sample records that everything acknowledged up to a time lies at or below a position.
type sample struct {
	at       time.Duration
	position group.Position
}

// Samples is a bounded history of the highest acknowledged position. It converts between a
// position and its age, using only the clock of the instance that records it.
type Samples struct {
	spacing time.Duration
	ring    []sample
	start   int
	count   int
}

// NewSamples returns a history of at most size samples, which are at least spacing apart.
func NewSamples(size int, spacing time.Duration) *Samples {
	return &Samples{spacing: spacing, ring: make([]sample, size)}
}

// Add records the highest acknowledged position at a time. Neither may decrease. A sample
// taken less than spacing after the last one is merged into it, which can only raise the
// position that RequiredAt returns.
func (s *Samples) Add(at time.Duration, p group.Position) {
	if s.count > 0 {
		last := &s.ring[(s.start+s.count-1)%len(s.ring)]
		if at-last.at < s.spacing {
			last.position = p
			return
		}
	}
	if s.count == len(s.ring) {
		s.start = (s.start + 1) % len(s.ring)
		s.count--
	}
	s.ring[(s.start+s.count)%len(s.ring)] = sample{at: at, position: p}
	s.count++
}

// Oldest returns the time of the oldest sample.
func (s *Samples) Oldest() (time.Duration, bool) {
	return s.ring[s.start].at, s.count > 0
}

// RequiredAt returns a position that covers everything acknowledged up to a time, and when it was
// sampled: those of the first sample taken after that time. It returns false when there is no later
// sample; the caller then requires the highest position.
func (s *Samples) RequiredAt(at time.Duration) (p group.Position, sampledAt time.Duration, ok bool) {
	for i := range s.count {
		entry := s.ring[(s.start+i)%len(s.ring)]
		if entry.at > at {
			return entry.position, entry.at, true
		}
	}
	return group.Position{}, 0, false
}

// Age returns how long ago p was acknowledged, and false when p is older than the history.
func (s *Samples) Age(now time.Duration, p group.Position) (time.Duration, bool) {
	for i := range s.count {
		entry := s.ring[(s.start+i)%len(s.ring)]
		if entry.position.AtLeast(p) {
			return now - entry.at, i > 0
		}
	}
	return 0, true
}

// Lag returns the lag of a log that ends at p: how long ago p was the highest acknowledged
// position. It may be more than the actual lag, never less.
func (s *Samples) Lag(now time.Duration, p group.Position) time.Duration {
	for i := s.count - 1; i >= 0; i-- {
		entry := s.ring[(s.start+i)%len(s.ring)]
		if p.AtLeast(entry.position) {
			if i == s.count-1 {
				return 0
			}
			return now - s.ring[(s.start+i+1)%len(s.ring)].at
		}
	}
	if s.count == 0 {
		return 0
	}
	return now - s.ring[s.start].at
}

// Reset removes all samples. It is called when another log replaces the sampled one.
func (s *Samples) Reset() { s.start, s.count = 0, 0 }

// Newest returns the time of the newest sample.
func (s *Samples) Newest() (time.Duration, bool) {
	if s.count == 0 {
		return 0, false
	}
	return s.ring[(s.start+s.count-1)%len(s.ring)].at, true
}
