package soak

import (
	"sort"
	"sync"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

// outcomes records which writes of a group were acknowledged to clients and which were
// rejected. It is safe for concurrent use.
type outcomes struct {
	mu           sync.Mutex // guards all below
	acknowledged map[string]bool
	rejected     map[string]bool     // rejected with one of noEffectCodes
	writes       []acknowledgedWrite // in order of time
}

// acknowledgedWrite is a write and when it was acknowledged.
type acknowledgedWrite struct {
	at       time.Time
	id       string
	position group.Position
	highest  group.Position // highest term and highest index of this write and all before it
}

// isIn reports whether a log that ends at a position contains the write, if no promotion has dropped
// it.
func (w acknowledgedWrite) isIn(log group.Position) bool { return contains(log, w.position) }

// contains reports whether a log that ends at a position has both the term and the index of another.
func contains(log, p group.Position) bool { return log.Term >= p.Term && log.Index >= p.Index }

// acknowledge records that a write at a log position was acknowledged now.
func (l *outcomes) acknowledge(id string, p group.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.acknowledged == nil {
		l.acknowledged = make(map[string]bool)
	}
	l.acknowledged[id] = true
	w := acknowledgedWrite{at: time.Now(), id: id, position: p, highest: p}
	if n := len(l.writes); n > 0 {
		before := l.writes[n-1].highest
		w.highest = group.Position{Term: max(p.Term, before.Term), Index: max(p.Index, before.Index)}
	}
	l.writes = append(l.writes, w)
}

// reject records that writes were rejected without effect.
func (l *outcomes) reject(ids ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rejected == nil {
		l.rejected = make(map[string]bool)
	}
	for _, id := range ids {
		l.rejected[id] = true
	}
}

// missing returns a write that a read had to see and that is not in the log that it ran on. Writes
// that a promotion has dropped are left out.
func (l *outcomes) missing(ran group.Position, required requirement, isDropped func(id string) bool) (acknowledgedWrite, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := sort.Search(len(l.writes), func(n int) bool { return l.writes[n].at.After(required.until) })
	for ; n > 0 && !contains(ran, l.writes[n-1].highest); n-- {
		if w := l.writes[n-1]; !w.isIn(ran) && !isDropped(w.id) {
			return w, true
		}
	}
	for _, w := range required.own {
		if !w.isIn(ran) && !isDropped(w.id) {
			return w, true
		}
	}
	return acknowledgedWrite{}, false
}

// checkCommits compares the outcomes reported to clients with the commits at the
// members. It reports acknowledged writes that are missing although no promotion has
// dropped them, rejected writes that were committed, and writes committed twice. With
// synchronous replication no promotion may drop an acknowledged write.
func (r *run) checkCommits(g *databaseGroup) {
	commits := g.members.Commits()
	kept := make(map[string]bool)
	for _, w := range g.members.Log() {
		kept[w.ID] = true
	}
	g.outcomes.mu.Lock()
	defer g.outcomes.mu.Unlock()
	for id := range g.outcomes.acknowledged {
		if g.syncReplicas > 0 && commits[id].Dropped {
			r.finding("group %s: write %s was acknowledged, and a promoted member lacks it", g.name, id)
		}
		if !kept[id] && !commits[id].Dropped {
			r.finding("group %s: write %s was acknowledged and is gone, though no promotion has dropped it", g.name, id)
		}
	}
	for id := range g.outcomes.rejected {
		if _, committed := commits[id]; committed {
			r.finding("group %s: write %s was committed, though its caller was told that nothing is kept", g.name, id)
		}
	}
	for id, c := range commits {
		if c.Times > 1 {
			r.finding("group %s: write %s was committed %d times", g.name, id, c.Times)
		}
	}
}
