// Package rollout represents the active configuration of an instance: an immutable
// snapshot of all resources, with the revision that the platform's key-value service
// assigned to the last change. Instances exchange and merge snapshots. The revision of
// an instance's snapshot never decreases: older data is rejected with an error. The
// package uses no I/O, clock or goroutine.
package rollout

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a resource.
type Key struct {
	Kind string
	Name string
}

// String returns the key as kind/name.
func (k Key) String() string { return k.Kind + "/" + k.Name }

// Entry is one stored resource. A deleted resource is kept as a tombstone, so that an
// older copy on another instance cannot restore it.
type Entry struct {
	Key      Key
	Document string // JSON, empty when deleted
	Revision int64  // revision of the change that wrote this entry
	Deleted  bool
}

// Snapshot is an immutable set of entries.
type Snapshot struct {
	revision int64
	entries  map[Key]Entry
	digest   uint64
}

// Empty returns the snapshot of an instance that has no configuration.
func Empty() *Snapshot {
	return &Snapshot{entries: map[Key]Entry{}}
}

// Revision returns the revision of the last change, 0 for none.
func (s *Snapshot) Revision() int64 { return s.revision }

// Digest returns a hash over all entries that does not depend on their order.
func (s *Snapshot) Digest() uint64 { return s.digest }

// Len returns the number of entries, tombstones included.
func (s *Snapshot) Len() int { return len(s.entries) }

// Get returns an entry that is not deleted.
func (s *Snapshot) Get(k Key) (Entry, bool) {
	e, ok := s.entries[k]
	return e, ok && !e.Deleted
}

// Entries returns all entries in order of their keys, tombstones included.
func (s *Snapshot) Entries() []Entry {
	entries := slices.Collect(maps.Values(s.entries))
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Key.String(), b.Key.String()) })
	return entries
}

// Since returns the entries changed after a revision.
func (s *Snapshot) Since(revision int64) []Entry {
	return slices.DeleteFunc(s.Entries(), func(e Entry) bool { return e.Revision <= revision })
}

// hash returns the hash of an entry. The digest of a snapshot is the XOR of its entries' hashes.
func (e Entry) hash() uint64 {
	var d xxhash.Digest
	_, _ = d.WriteString(e.Key.String()) // a Digest never fails
	_, _ = d.WriteString("\x00" + strconv.FormatInt(e.Revision, 10) + "\x00" + e.Document)
	return d.Sum64()
}

// StaleDataError reports that a source holds older data than the active configuration.
type StaleDataError struct {
	Have, Got int64 // active and offered revision
}

func (e *StaleDataError) Error() string {
	return fmt.Sprintf("revision %d was offered, %d is in force", e.Got, e.Have)
}

// Merge returns a snapshot with every given entry that is newer than the receiver's entry
// of the same key. Older entries are ignored, so that merging is idempotent and commutative,
// and no revision decreases. The receiver is unchanged.
func (s *Snapshot) Merge(revision int64, entries []Entry) *Snapshot {
	next := &Snapshot{revision: max(s.revision, revision), entries: maps.Clone(s.entries), digest: s.digest}
	for _, e := range entries {
		old, ok := next.entries[e.Key]
		if ok && old.Revision >= e.Revision {
			continue
		}
		if ok {
			next.digest ^= old.hash()
		}
		next.entries[e.Key] = e
		next.digest ^= e.hash()
		next.revision = max(next.revision, e.Revision)
	}
	return next
}

// MergeContent merges the complete content of the platform's key-value service as of a
// revision. The service stores deletions as tombstones. If an active entry is missing in the
// content or is older there, the service has lost data, and MergeContent returns a
// StaleDataError.
func (s *Snapshot) MergeContent(revision int64, entries []Entry) (*Snapshot, error) {
	if revision < s.revision {
		return s, &StaleDataError{Have: s.revision, Got: revision}
	}
	stored := make(map[Key]int64, len(entries))
	for _, e := range entries {
		stored[e.Key] = e.Revision
	}
	for key, e := range s.entries {
		if stored[key] < e.Revision {
			return s, &StaleDataError{Have: e.Revision, Got: stored[key]}
		}
	}
	return s.Merge(revision, entries), nil
}

// IsBehind reports whether another snapshot has, or may have, entries that s does not have:
// its revision is higher, or it is equal but the digests differ.
func (s *Snapshot) IsBehind(otherRevision int64, otherDigest uint64) bool {
	return otherRevision > s.revision || otherRevision == s.revision && otherDigest != s.digest
}
