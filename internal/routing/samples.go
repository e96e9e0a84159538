package routing

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

// sample says that everything acknowledged up to at lies at or below position.
type sample struct {
	at       time.Duration
	position group.Position
}

// Samples is a bounded record of how the acknowledged position grew. It turns
// an age into a position, on the owner's clock alone.
type Samples struct {
	spacing time.Duration
	ring    []sample
	start   int
	count   int
}

// NewSamples returns a record of the last size samples, spacing apart.
func NewSamples(size int, spacing time.Duration) *Samples {
	return &Samples{spacing: spacing, ring: make([]sample, size)}
}

// Add notes the highest acknowledged position at a time. Times and positions
// must not go back. A sample too close to the last one is merged into it, which
// only asks for more.
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

// RequiredAt returns the position that holds everything acknowledged up to a
// time: that of the first sample taken after it. It reports false when no sample
// is that young, so that the caller asks for the highest position.
func (s *Samples) RequiredAt(at time.Duration) (group.Position, bool) {
	for i := range s.count {
		entry := s.ring[(s.start+i)%len(s.ring)]
		if entry.at > at {
			return entry.position, true
		}
	}
	return group.Position{}, false
}

// Age returns how long ago p was acknowledged. It reports false when p is older
// than the record.
func (s *Samples) Age(now time.Duration, p group.Position) (time.Duration, bool) {
	for i := range s.count {
		entry := s.ring[(s.start+i)%len(s.ring)]
		if entry.position.AtLeast(p) {
			return now - entry.at, i > 0
		}
	}
	return 0, true
}

// Behind returns how long ago p was the highest acknowledged position.
func (s *Samples) Behind(now time.Duration, p group.Position) time.Duration {
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

// Reset forgets all samples, when the log that they were taken of is another now.
func (s *Samples) Reset() { s.start, s.count = 0, 0 }

// Newest returns the time of the newest sample.
func (s *Samples) Newest() (time.Duration, bool) {
	if s.count == 0 {
		return 0, false
	}
	return s.ring[(s.start+s.count-1)%len(s.ring)].at, true
}
