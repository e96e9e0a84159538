package session

import (
	"flag"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/stackspindle/stackspindle/internal/group"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// model is a reference model that keeps the last write of each session without
// limits.
type model struct {
	last       map[string]group.Position // last write of each session
	lost       map[string]bool
	log        []uint64 // term of each entry
	term       uint64
	replicated int // number of entries that all replicas have
}

// at returns the position of the n-th entry.
func (m *model) at(n int) group.Position {
	if n == 0 {
		return group.Position{}
	}
	return group.Position{Term: m.log[n-1], Index: uint64(n)}
}

// For any sequence of writes, replica progress, failovers and changes of owner,
// Floor returns at least the session's last write, or ErrLost if and only if that
// write was lost.
func TestFloorCoversLastWriteOrReportsLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		f := New(limit)
		m := &model{last: map[string]group.Position{}, lost: map[string]bool{}, term: 1}
		f.BeginTerm(1, group.Position{}, true)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			session := fmt.Sprintf("s%d", rapid.IntRange(0, 6).Draw(t, "session"))
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0, 1:
				m.write(f, session)
			case 2:
				m.progress(t, f)
			case 3:
				m.failover(t, f)
			case 4:
				m.newOwner(&f, limit)
			case 5:
				m.check(t, f, session)
			}
			if f.Len() > limit {
				t.Fatalf("%d floors, the limit is %d", f.Len(), limit)
			}
		}
		for i := range 7 {
			m.check(t, f, fmt.Sprintf("s%d", i))
		}
	})
}

func (m *model) write(f *Floors, session string) {
	if m.lost[session] {
		return // requests of the session are refused until it accepts the loss
	}
	m.log = append(m.log, m.term)
	p := m.at(len(m.log))
	f.Acknowledge(session, p)
	m.last[session] = p
}

func (m *model) progress(t *rapid.T, f *Floors) {
	m.replicated = rapid.IntRange(m.replicated, len(m.log)).Draw(t, "progress")
	f.DropReached(m.at(m.replicated))
}

// failover promotes a replica that has at least the entries that all replicas have.
func (m *model) failover(t *rapid.T, f *Floors) {
	base := rapid.IntRange(m.replicated, len(m.log)).Draw(t, "base")
	m.term++
	for session, p := range m.last {
		if p.Index > uint64(base) {
			m.lost[session] = true
		}
	}
	f.BeginTerm(m.term, m.at(base), false)
	m.log = m.log[:base]
}

// newOwner replaces the floors by those of a new owner, which knows no sessions:
// the ingress instances send the floors with each request.
func (m *model) newOwner(f **Floors, limit int) {
	m.term++
	next := New(limit)
	next.MergeHistory((*f).history) // as reported by the new primary
	next.BeginTerm(m.term, m.at(len(m.log)), true)
	*f = next
}

func (m *model) check(t *rapid.T, f *Floors, session string) {
	floor, err := f.Floor(session, m.last[session])
	if m.lost[session] {
		if err == nil {
			t.Fatalf("%s lost %s, but Floor returned no error", session, m.last[session])
		}
		return
	}
	if err != nil {
		t.Fatalf("%s lost nothing, but Floor returned an error: %v", session, err)
	}
	if floor.Less(m.last[session]) {
		t.Fatalf("%s wrote %s, its floor is %s", session, m.last[session], floor)
	}
}

func TestAcceptedLossClearsFloor(t *testing.T) {
	f := New(10)
	f.Acknowledge("s", group.Position{Term: 1, Index: 9})
	f.BeginTerm(2, group.Position{Term: 1, Index: 5}, false)
	_, err := f.Floor("s", group.Position{})
	must.ErrorIs(t, err, ErrLost)
	_, err = f.Floor("other", group.Position{})
	must.NoError(t, err)
	f.AcceptLoss("s")
	_, err = f.Floor("s", group.Position{})
	must.NoError(t, err)
}
