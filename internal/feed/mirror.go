// Package feed spreads what the store holds over the fleet. A few instances in
// each data centre watch the store; the others follow those, and an instance that
// the store turns away follows others too. Whoever follows learns the same as from
// the store itself: the changes, and a time at which nothing newer existed.
package feed

import (
	"slices"
	"sync"
	"time"

	"github.com/stackspindle/stackspindle/internal/kv"
)

// liveFor is for how long an instance may have had no news on their way to it before
// those that follow it turn elsewhere: longer than one question to another instance
// takes (0.9 s). Instances that follow each other in a circle have none.
const liveFor = 1500 * time.Millisecond

// IsLive reports whether news that were on their way until a time still count.
func IsLive(now, live time.Duration) bool { return now-live < liveFor }

// maxTombstones bounds how many removed keys are remembered; who follows from
// before that is sent everything.
const maxTombstones = 1024

// Picture is what the store held at one time, or what changed up to it.
type Picture struct {
	Whole     bool // Events holds every key; else those changed since the revision asked for
	Events    []kv.Event
	Revision  int64
	Confirmed time.Duration // a time at which the store held nothing newer
	Live      time.Duration // until when news of the store were on their way to who told it
}

// Items returns the keys of a whole picture.
func (p Picture) Items() []kv.Item {
	items := make([]kv.Item, 0, len(p.Events))
	for _, e := range p.Events {
		items = append(items, e.Item)
	}
	return items
}

// Mirror holds what this instance knows of the store, for others to follow. It is
// safe for concurrent use.
type Mirror struct {
	mu        sync.Mutex // guards all below
	items     map[string]kv.Item
	removed   map[string]int64 // revision by key
	revision  int64            // 0: nothing is known yet
	horizon   int64            // removals up to this revision are forgotten
	confirmed time.Duration
	changed   chan struct{} // closed, and replaced, with each new revision, and when news fail
	watching  bool          // a watch of the store waits, or has just brought news
	live      time.Duration // until when news were on their way otherwise
}

// NewMirror returns a mirror of which nothing is known.
func NewMirror() *Mirror {
	return &Mirror{items: make(map[string]kv.Item), removed: make(map[string]int64), changed: make(chan struct{})}
}

// Revision returns the revision that is known, 0: nothing is.
func (m *Mirror) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Take takes in a picture and returns what this instance did not know yet. An
// older one than known changes nothing but the time of confirmation.
func (m *Mirror) Take(p Picture) Picture {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmed = max(m.confirmed, p.Confirmed)
	m.live = max(m.live, p.Live)
	if m.revision == 0 {
		m.horizon = p.Revision // what was removed before is not known
	}
	if p.Whole && p.Revision >= m.revision {
		m.removeAllBut(p)
		m.horizon = max(m.horizon, p.Revision) // keys that came and went unseen before it
	}
	news := Picture{Whole: p.Whole && p.Revision >= m.revision, Revision: max(m.revision, p.Revision), Confirmed: p.Confirmed}
	for _, e := range p.Events {
		if m.apply(e) || news.Whole {
			news.Events = append(news.Events, e)
		}
	}
	m.forget()
	if p.Revision > m.revision {
		m.revision = p.Revision
		m.wake()
	}
	return news
}

// NoteWatch records whether this instance's own watch of the store brings news now.
// Those that follow are told at once when it does not.
func (m *Mirror) NoteWatch(now time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ok {
		m.live = max(m.live, now)
	}
	m.watching = ok
	if !ok {
		m.wake()
	}
}

// Live returns until when news of the store were on their way to this instance.
func (m *Mirror) Live(now time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.watching {
		return now
	}
	return m.live
}

// wake has those that wait for a change look again. The caller holds mu.
func (m *Mirror) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// removeAllBut notes the removal of every key that a whole picture does not show.
// The caller holds mu.
func (m *Mirror) removeAllBut(p Picture) {
	present := make(map[string]bool, len(p.Events))
	for _, e := range p.Events {
		present[e.Key] = true
	}
	for key := range m.items {
		if !present[key] {
			delete(m.items, key)
			m.removed[key] = p.Revision
		}
	}
}

// apply takes in one change and reports whether it was new. The caller holds mu.
func (m *Mirror) apply(e kv.Event) bool {
	if e.Revision <= max(m.items[e.Key].Revision, m.removed[e.Key]) {
		return false
	}
	if e.Deleted {
		delete(m.items, e.Key)
		m.removed[e.Key] = e.Revision
	} else {
		m.items[e.Key] = e.Item
		delete(m.removed, e.Key)
	}
	return true
}

// forget drops the removals when there are too many. The caller holds mu.
func (m *Mirror) forget() {
	if len(m.removed) <= maxTombstones {
		return
	}
	for _, revision := range m.removed {
		m.horizon = max(m.horizon, revision)
	}
	clear(m.removed)
}

// Since returns what has changed after a revision, with a channel that is closed
// when there may be more to tell. Who knows nothing, or too little, gets everything.
func (m *Mirror) Since(after int64) (Picture, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := Picture{Revision: m.revision, Confirmed: m.confirmed, Whole: after < m.horizon}
	if after >= m.revision {
		return p, m.changed
	}
	if p.Whole {
		after = 0
	} else {
		for key, revision := range m.removed {
			if revision > after {
				p.Events = append(p.Events, kv.Event{Item: kv.Item{Key: key, Revision: revision}, Deleted: true})
			}
		}
	}
	for _, item := range m.items {
		if item.Revision > after {
			p.Events = append(p.Events, kv.Event{Item: item})
		}
	}
	slices.SortFunc(p.Events, func(a, b kv.Event) int { return int(a.Revision - b.Revision) })
	return p, m.changed
}
