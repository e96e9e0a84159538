// Package timeline keeps the events of an instance in a ring buffer and orders the events
// of several instances by a hybrid logical clock, after Kulkarni et al., "Logical Physical
// Clocks" (2014). The upper 48 bits of a stamp are the wall clock in units of 1/65536 s, the
// lower 16 bits are a counter.
package timeline

import (
	"slices"
	"sync"
	"time"
)

// Stamp is a reading of a hybrid logical clock.
type Stamp uint64

const (
	counterBits = 16
	unitsPerSec = 1 << counterBits
)

// Time returns the wall clock part of a stamp.
func (s Stamp) Time() time.Time {
	units := uint64(s) >> counterBits
	seconds := units / unitsPerSec
	nanos := units % unitsPerSec * uint64(time.Second) / unitsPerSec
	return time.Unix(int64(seconds), int64(nanos)).UTC()
}

// StampOf returns the lowest stamp of a wall clock time.
func StampOf(t time.Time) Stamp {
	seconds := uint64(t.Unix())
	units := uint64(t.Nanosecond()) * unitsPerSec / uint64(time.Second)
	return Stamp((seconds*unitsPerSec + units) << counterBits)
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
	wall func() time.Time
}

// NewClock returns a hybrid logical clock that reads the time from wall.
func NewClock(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns a stamp that is greater than all stamps returned or observed before.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, StampOf(c.wall()))
	return c.last
}

// Observe advances the clock to a stamp received from another instance, so that later
// events of this instance are ordered after it.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, s)
}

// Event is an action or observation of an instance.
type Event struct {
	Clock    Stamp  `json:"clock"`
	Instance string `json:"instance"`
	Kind     string `json:"kind"`
	Group    string `json:"group,omitempty"`
	Member   string `json:"member,omitempty"`
	Term     uint64 `json:"term,omitempty"`
	Text     string `json:"text"`
}

// Ring is a ring buffer of the latest events of an instance. It is safe for concurrent use.
type Ring struct {
	clock    *Clock
	instance string

	mu     sync.Mutex
	events []Event
	next   int
	full   bool
}

// NewRing returns a ring buffer for size events.
func NewRing(instance string, clock *Clock, size int) *Ring {
	return &Ring{clock: clock, instance: instance, events: make([]Event, size)}
}

// Add sets the clock and the instance of an event, stores it and returns it. When the ring
// is full, it overwrites the oldest event.
func (r *Ring) Add(e Event) Event {
	e.Instance = r.instance
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Clock = r.clock.Now()
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
	r.full = r.full || r.next == 0
	return e
}

// Since returns the events after a stamp, oldest first.
func (r *Ring) Since(s Stamp) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var kept []Event
	if r.full {
		kept = append(kept, r.events[r.next:]...)
	}
	kept = append(kept, r.events[:r.next]...)
	return slices.DeleteFunc(kept, func(e Event) bool { return e.Clock <= s })
}

// Merge orders the events of several instances into one time line.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		switch {
		case a.Clock < b.Clock:
			return -1
		case a.Clock > b.Clock:
			return 1
		}
		return 0
	})
	return merged
}
