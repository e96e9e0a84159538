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
	rejected     map[string]bool // rejected with one of noEffectCodes
	watermarks   []watermark     // in order of time, with ascending positions
}

// watermark is the highest log position of all writes acknowledged up to a time.
type watermark struct {
	at       time.Time
	position group.Position
}

// acknowledge records that a write at a log position was acknowledged now.
func (l *outcomes) acknowledge(id string, p group.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.acknowledged == nil {
		l.acknowledged = make(map[string]bool)
	}
	l.acknowledged[id] = true
	if n := len(l.watermarks); n == 0 || l.watermarks[n-1].position.Less(p) {
		l.watermarks = append(l.watermarks, watermark{at: time.Now(), position: p})
	}
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

// acknowledgedBy returns the highest log position of the writes acknowledged up to a
// time, or the zero position.
func (l *outcomes) acknowledgedBy(at time.Time) group.Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := sort.Search(len(l.watermarks), func(n int) bool { return l.watermarks[n].at.After(at) })
	if n == 0 {
		return group.Position{}
	}
	return l.watermarks[n-1].position
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
