package rollout

import (
	"flag"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// store is a fake of the platform's key-value service. Every change gets the next revision.
type store struct {
	revision int64
	current  map[Key]Entry
	history  []Entry
}

func (s *store) write(key Key, document string) {
	s.revision++
	e := Entry{Key: key, Document: document, Revision: s.revision, Deleted: document == ""}
	s.current[key] = e
	s.history = append(s.history, e)
}

func (s *store) content() (int64, []Entry) {
	var entries []Entry
	for _, e := range s.current {
		entries = append(entries, e)
	}
	return s.revision, entries
}

// For any order of writes, pushes (lost, late, duplicated), fetches, loads, crashes, and
// restores of the service from an older backup: neither the revision of a running instance nor
// that of an entry decreases, and in the end all instances have the accepted writes.
func TestSnapshotsConvergeWithoutRegression(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{current: map[Key]Entry{}}
		instances := []*Snapshot{Empty(), Empty(), Empty()}
		for step := range rapid.IntRange(1, 50).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "instance")
			before := instances[i]
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0, 1:
				document := fmt.Sprint(step)
				if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
					document = ""
				}
				s.write(Key{Kind: "Service", Name: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "name"))}, document)
			case 2:
				instances[i] = load(t, instances[i], s)
			case 3:
				other := instances[rapid.IntRange(0, 2).Draw(t, "other")]
				instances[i] = instances[i].Merge(other.Revision(), other.Since(instances[i].Revision()))
			case 4:
				loadBackup(t, instances[i], s)
			case 5:
				instances[i] = Empty() // a new instance replaces this one
				before = instances[i]
			}
			checkNoDecrease(t, before, instances[i])
		}
		for i := range instances {
			instances[i] = load(t, instances[i], s)
			checkAccepted(t, instances[i], s)
			if instances[i].Digest() != instances[0].Digest() {
				t.Fatalf("instances differ at revision %d", instances[i].Revision())
			}
		}
	})
}

func load(t *rapid.T, snapshot *Snapshot, s *store) *Snapshot {
	revision, entries := s.content()
	next, err := snapshot.MergeContent(revision, entries)
	if err != nil {
		t.Fatalf("the current content was rejected: %v", err)
	}
	return next
}

// loadBackup loads the content that the service had at an earlier revision.
func loadBackup(t *rapid.T, snapshot *Snapshot, s *store) {
	n := rapid.IntRange(0, len(s.history)).Draw(t, "backup")
	old := map[Key]Entry{}
	for _, e := range s.history[:n] {
		old[e.Key] = e
	}
	var entries []Entry
	for _, e := range old {
		entries = append(entries, e)
	}
	next, err := snapshot.MergeContent(int64(n), entries)
	if int64(n) < snapshot.Revision() && err == nil {
		t.Fatalf("revision %d was applied over %d", n, snapshot.Revision())
	}
	checkNoDecrease(t, snapshot, next)
}

func checkNoDecrease(t *rapid.T, before, after *Snapshot) {
	if after.Revision() < before.Revision() {
		t.Fatalf("the revision decreased from %d to %d", before.Revision(), after.Revision())
	}
	for _, e := range before.Entries() {
		if now := after.entries[e.Key]; now.Revision < e.Revision {
			t.Fatalf("the revision of %s decreased from %d to %d", e.Key, e.Revision, now.Revision)
		}
	}
}

func checkAccepted(t *rapid.T, snapshot *Snapshot, s *store) {
	for key, want := range s.current {
		got, ok := snapshot.Get(key)
		if ok == want.Deleted || ok && got.Document != want.Document {
			t.Fatalf("%s: %+v is active, %+v was accepted", key, got, want)
		}
	}
}

// Merging is idempotent and commutative.
func TestMergeIsIdempotentAndCommutative(t *testing.T) {
	a := Entry{Key: Key{"Service", "a"}, Document: "1", Revision: 1}
	b := Entry{Key: Key{"Service", "a"}, Document: "2", Revision: 2}
	c := Entry{Key: Key{"Service", "c"}, Document: "3", Revision: 3}
	one := Empty().Merge(0, []Entry{a, b, c})
	two := Empty().Merge(0, []Entry{c, b}).Merge(0, []Entry{a, b})
	must.Eq(t, one.Digest(), two.Digest())
	must.Eq(t, one.Entries(), two.Entries())
	must.Eq(t, int64(3), two.Revision())
	must.False(t, one.IsBehind(two.Revision(), two.Digest()))
}
