// Package feed distributes the contents of the store to all instances. A few instances in each data
// centre watch the store; the others, and an instance that the store rejects, poll those. A poll
// returns the same as a watch of the store: the changes, and a time at which the store held nothing
// newer.
//
// A Mirror holds this instance's copy of the store, Server serves it to other instances (gRPC
// service Feed), and Selector chooses what the instance polls next. Revisions that a Mirror reports
// never go back, and its confirmation times are never later than the sending of the store call that
// they stem from.
//
// An instance has a live update source while its own watch of the store works, or while it polls an
// instance that has a live source.
package feed

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stackspindle/stackspindle/internal/kv"
)

// liveFor is how long after an instance last had a live update source its answers still count as
// current. It is longer than one poll of another instance takes (0.9 s). Instances that poll each
// other in a circle have no live source, so their followers switch to another source after this
// time.
const liveFor = 1500 * time.Millisecond

// IsLive reports whether a sender that last had a live update source at the given time still counts
// as current.
func IsLive(now, live time.Duration) bool { return now-live < liveFor }

// minTombstones is the least number of removed keys that a mirror remembers. It remembers as many
// removals as there are keys where that is more, since a fault may take any part of a fleet with
// its keys. A follower whose revision is older than the remembered removals gets a full snapshot.
const minTombstones = 1024

// Update is a snapshot of the store, or the changes (a delta) since the revision that was asked
// for.
type Update struct {
	Snapshot bool // Events holds every key; otherwise only those changed since the revision asked for
	Events   []kv.Event
	// MayMissRemovals says that keys may have been removed after the revision asked for without the
	// sender knowing. Once the receiver has applied the changes, it holds the same keys at the same
	// revisions as the sender if its digest equals Digest.
	MayMissRemovals bool
	Digest          uint64
	Revision        int64
	ConfirmedAt     time.Duration // a time at which the store held nothing newer
	LiveAt          time.Duration // when the sender last had a live update source
}

// Items returns the keys of a snapshot.
func (u Update) Items() []kv.Item {
	items := make([]kv.Item, 0, len(u.Events))
	for _, e := range u.Events {
		items = append(items, e.Item)
	}
	return items
}

// Mirror is this instance's copy of the store, which it also serves to its followers. It is safe
// for concurrent use.
type Mirror struct {
	mu          sync.Mutex // guards the fields below
	items       map[string]kv.Item
	removed     map[string]int64 // revision of the removal, by key
	history     []keyChange      // of items and removed, by ascending revision; may hold outdated changes
	digest      uint64           // of items, see itemDigest
	revision    int64            // 0: nothing was read yet
	horizon     int64            // removals up to this revision are forgotten
	confirmedAt time.Duration
	changed     chan struct{} // closed and replaced with each new revision, and when this instance's watch fails
	watching    bool          // this instance's watch of the store is waiting or was just answered
	liveAt      time.Duration // last time at which there was a live update source, while not watching
}

// keyChange is a change of a key. It is outdated once the key has changed again.
type keyChange struct {
	revision int64
	key      string
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror {
	return &Mirror{items: make(map[string]kv.Item), removed: make(map[string]int64), changed: make(chan struct{})}
}

// Revision returns the revision of the contents, 0 if nothing was read yet.
func (m *Mirror) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Len returns the number of keys.
func (m *Mirror) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.items)
}

// itemDigest returns one item's part of a digest. A digest is the exclusive or of the parts of all
// items.
func itemDigest(i kv.Item) uint64 {
	var d xxhash.Digest
	_, _ = d.WriteString(i.Key) // a Digest never fails
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(i.Revision)))
	return d.Sum64()
}

// set stores an item, replacing an earlier value. The caller holds mu.
func (m *Mirror) set(i kv.Item) {
	m.unset(i.Key)
	m.items[i.Key] = i
	m.digest ^= itemDigest(i)
	m.addHistory(i.Key, i.Revision)
}

// setRemoved records the removal of a key. The caller holds mu.
func (m *Mirror) setRemoved(key string, revision int64) {
	m.unset(key)
	m.removed[key] = revision
	m.addHistory(key, revision)
}

// addHistory adds a change to the history. The caller holds mu.
func (m *Mirror) addHistory(key string, revision int64) {
	at := len(m.history)
	if at > 0 && m.history[at-1].revision > revision {
		at, _ = slices.BinarySearchFunc(m.history, revision+1, compareRevision) // arrived out of order
	}
	m.history = slices.Insert(m.history, at, keyChange{revision: revision, key: key})
	if len(m.history) > 2*(len(m.items)+len(m.removed))+minTombstones {
		m.history = slices.DeleteFunc(m.history, m.isOutdated)
	}
}

func compareRevision(c keyChange, revision int64) int { return cmp.Compare(c.revision, revision) }

// isOutdated reports whether a key has changed again since, or its removal is forgotten. The caller
// holds mu.
func (m *Mirror) isOutdated(c keyChange) bool {
	return m.items[c.key].Revision != c.revision && m.removed[c.key] != c.revision
}

// unset removes an item, if there is one. The caller holds mu.
func (m *Mirror) unset(key string) {
	if old, ok := m.items[key]; ok {
		m.digest ^= itemDigest(old)
		delete(m.items, key)
	}
}

// DigestMatches reports whether applying an update makes this mirror hold the same as the sender's.
// It compares digests if the sender may have missed removals; any other update is complete by
// itself.
func (m *Mirror) DigestMatches(u Update) bool {
	if !u.MayMissRemovals {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	digest := m.digest
	for _, e := range u.Events {
		if old, ok := m.items[e.Key]; ok {
			digest ^= itemDigest(old)
		}
		if !e.Deleted {
			digest ^= itemDigest(e.Item)
		}
	}
	return digest == u.Digest
}

// Apply applies an update and returns the part of it that is new to this instance. An update older
// than the mirror changes only the times of confirmation and liveness.
func (m *Mirror) Apply(u Update) Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmedAt = max(m.confirmedAt, u.ConfirmedAt)
	m.liveAt = max(m.liveAt, u.LiveAt)
	if m.revision == 0 {
		m.horizon = u.Revision // earlier removals are not known
	}
	if u.Snapshot && u.Revision >= m.revision {
		m.removeAllBut(u)
		m.horizon = max(m.horizon, u.Revision) // keys may have been added and removed unnoticed before it
	}
	if u.MayMissRemovals {
		m.horizon = max(m.horizon, u.Revision) // removals since the last revision are not known here either
	}
	added := Update{Snapshot: u.Snapshot && u.Revision >= m.revision, Revision: max(m.revision, u.Revision), ConfirmedAt: u.ConfirmedAt}
	for _, e := range u.Events {
		if m.applyEvent(e) || added.Snapshot {
			added.Events = append(added.Events, e)
		}
	}
	m.pruneRemovals()
	if u.Revision > m.revision {
		m.revision = u.Revision
		m.wake()
	}
	return added
}

// SetWatching records whether this instance's own watch of the store works. If it does not, polls
// that wait for a change are answered at once.
func (m *Mirror) SetWatching(now time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ok {
		m.liveAt = max(m.liveAt, now)
	}
	m.watching = ok
	if !ok {
		m.wake()
	}
}

// LiveAt returns the last time at which this instance had a live update source.
func (m *Mirror) LiveAt(now time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.watching {
		return now
	}
	return m.liveAt
}

// wake wakes the polls that wait for a change. The caller holds mu.
func (m *Mirror) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// removeAllBut records the removal of every key that a snapshot does not contain. The caller holds
// mu.
func (m *Mirror) removeAllBut(snapshot Update) {
	present := make(map[string]bool, len(snapshot.Events))
	for _, e := range snapshot.Events {
		present[e.Key] = true
	}
	for key := range m.items {
		if !present[key] {
			m.setRemoved(key, snapshot.Revision)
		}
	}
}

// applyEvent applies one change and reports whether it was new. The caller holds mu.
func (m *Mirror) applyEvent(e kv.Event) bool {
	if e.Revision <= max(m.items[e.Key].Revision, m.removed[e.Key]) {
		return false
	}
	if e.Deleted {
		m.setRemoved(e.Key, e.Revision)
	} else {
		delete(m.removed, e.Key)
		m.set(e.Item)
	}
	return true
}

// pruneRemovals drops all recorded removals when there are too many. The caller holds mu.
func (m *Mirror) pruneRemovals() {
	if len(m.removed) <= max(minTombstones, len(m.items)) {
		return
	}
	for _, revision := range m.removed {
		m.horizon = max(m.horizon, revision)
	}
	clear(m.removed)
}

// Since returns the changes after a revision, and a channel that is closed when there may be
// further changes. A follower that has nothing yet, or whose revision is too old, gets a snapshot.
func (m *Mirror) Since(after int64) (Update, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := Update{Revision: m.revision, ConfirmedAt: m.confirmedAt, Snapshot: after < m.horizon}
	if after >= m.revision {
		return u, m.changed
	}
	if u.Snapshot {
		u.Events = slices.DeleteFunc(m.changesSince(0), func(e kv.Event) bool { return e.Deleted })
		return u, m.changed
	}
	u.Events = m.changesSince(after)
	return u, m.changed
}

// SinceWithDigest is Since for a follower that can check a digest. If the follower's revision is so
// old that removals after it are not remembered here, it gets the changes with a digest, by which
// it finds out whether it must ask for a snapshot.
//
// This serves instances that start together: each has read the store at a revision of its own,
// nothing was removed, and each polls others that read the store later. When 300 such instances
// sent each other snapshots, the most polled one sent 24 MB a second; the changes are about 0.2 KB
// each.
func (m *Mirror) SinceWithDigest(after int64) (Update, <-chan struct{}) {
	m.mu.Lock()
	mayMissRemovals := after > 0 && after < m.horizon && after < m.revision
	if !mayMissRemovals {
		m.mu.Unlock()
		return m.Since(after)
	}
	defer m.mu.Unlock()
	u := Update{Revision: m.revision, ConfirmedAt: m.confirmedAt, MayMissRemovals: true, Digest: m.digest}
	u.Events = m.changesSince(after)
	return u, m.changed
}

// changesSince returns the changes after a revision, in order. Its cost grows with the number of
// changes, not with the size of the store, since hundreds of followers may poll at each change. The
// caller holds mu.
func (m *Mirror) changesSince(after int64) []kv.Event {
	first, _ := slices.BinarySearchFunc(m.history, after+1, compareRevision)
	var events []kv.Event
	for _, c := range m.history[first:] {
		if item, ok := m.items[c.key]; ok && item.Revision == c.revision {
			events = append(events, kv.Event{Item: item})
		} else if m.removed[c.key] == c.revision {
			events = append(events, kv.Event{Item: kv.Item{Key: c.key, Revision: c.revision}, Deleted: true})
		}
	}
	return events
}
