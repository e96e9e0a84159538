package relay

import (
	"sync"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/pacing"
	"github.com/stackspindle/stackspindle/internal/routing"
)

// Size of the history of a primary's log positions, from which the position that a
// bounded-staleness read must see is taken. It covers a longer time than the staleness bounds that
// routes use.
const (
	sampleSpacing = 20 * time.Millisecond
	sampleCount   = 256
)

// groupState is what this instance has observed of one group.
type groupState struct {
	name     string
	forecast cachedForecast

	mu        sync.Mutex // guards the fields below
	term      uint64
	samples   *routing.Samples
	verifier  verifier
	baselines map[statementClass]*pacing.Baseline
	outages   outageTracker
}

// addSample adds a sample of the primary's log. Everything that was acknowledged before the request
// was sent (sentAt) is at or below the position.
func (g *groupState) addSample(sentAt time.Duration, p group.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Term != g.term {
		if p.Term < g.term {
			return
		}
		// The primary of the new term may have a shorter log, so positions of the old term may not
		// exist in it.
		g.term = p.Term
		g.samples.Reset()
	}
	if newest, ok := g.samples.Newest(); ok && sentAt < newest {
		return // answers may arrive out of order; the sample of the later request is better
	}
	g.samples.Add(sentAt, p)
}

// requiredAt returns a position that covers everything acknowledged up to the given time, and when
// it was sampled.
func (g *groupState) requiredAt(at time.Duration) (p group.Position, sampledAt time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.samples.RequiredAt(at)
}

// lagAt returns the time since the primary's log ended at a position, or a negative value when the
// samples don't show it.
func (g *groupState) lagAt(now time.Duration, p group.Position) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.samples.Newest(); !ok || p.Term != g.term {
		return -1
	}
	return g.samples.Lag(now, p)
}

// sampleAge returns the age of the newest sample, negative without one.
func (g *groupState) sampleAge(now time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, ok := g.samples.Newest()
	if !ok {
		return -1
	}
	return now - at
}

// positionAge returns the time since a position was the end of the primary's log.
func (g *groupState) positionAge(now time.Duration, p group.Position) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	age, _ := g.samples.Age(now, p)
	return age
}

// currentFloor translates a session's floor into the current term. Of an earlier term's commits,
// those that the new term's log did not include are lost, and the others are in every log of the
// new term.
func (g *groupState) currentFloor(p group.Position) group.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Term < g.term {
		return group.Position{}
	}
	return p
}
