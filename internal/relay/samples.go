package relay

import (
	"sync"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/pacing"
	"github.com/stackspindle/stackspindle/internal/routing"
)

// Samples of a primary's log, from which the position that a bounded read must
// see is taken. They reach back further than any route's staleness is used for.
const (
	sampleSpacing = 20 * time.Millisecond
	sampleCount   = 256
)

// groupState is what the instance has seen of one group.
type groupState struct {
	name     string
	forecast cachedForecast

	mu        sync.Mutex // guards the rest
	term      uint64
	samples   *routing.Samples
	verifier  verifier
	baselines map[statementClass]*pacing.Work
	outages   outageTracker
}

// note takes a sample of the primary's log: everything acknowledged before the
// question was asked lies at or below the position.
func (g *groupState) addSample(sentAt time.Duration, p group.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Term != g.term {
		if p.Term < g.term {
			return
		}
		// The log of a new term: what was sampled in the old one may lie beyond it.
		g.term = p.Term
		g.samples.Reset()
	}
	if newest, ok := g.samples.Newest(); ok && sentAt < newest {
		return // answers overtake one another; the newer question says more
	}
	g.samples.Add(sentAt, p)
}

// required returns a position that holds everything acknowledged up to a time.
func (g *groupState) requiredAt(at time.Duration) (group.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.samples.RequiredAt(at)
}

// behind returns how long ago the primary's log ended at a position, negative
// when the samples do not tell.
func (g *groupState) lagAt(now time.Duration, p group.Position) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.samples.Newest(); !ok || p.Term != g.term {
		return -1
	}
	return g.samples.Behind(now, p)
}

// sampleAge returns how old the newest sample is, negative without one.
func (g *groupState) sampleAge(now time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, ok := g.samples.Newest()
	if !ok {
		return -1
	}
	return now - at
}

// age returns how long ago a position was the end of the primary's log.
func (g *groupState) positionAge(now time.Duration, p group.Position) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	age, _ := g.samples.Age(now, p)
	return age
}

// floor translates a session's floor into the current term: commits beyond the
// start of a new term are gone, and those before it are in every log of the term.
func (g *groupState) currentFloor(p group.Position) group.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Term < g.term {
		return group.Position{}
	}
	return p
}
