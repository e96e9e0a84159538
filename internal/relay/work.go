package relay

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/pacing"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// workKind names statements that are expected to take about the same time: those of
// routes that declare the same. They share what is learned, so that a route which is
// new or little used is known at once.
type workKind struct {
	consistency topology.Consistency
	staleness   time.Duration
	objective   time.Duration
	priority    int
}

func kindOf(route topology.Route) workKind {
	return workKind{consistency: route.Consistency, staleness: route.MaxStaleness, objective: route.LatencyObjective, priority: route.Priority}
}

// took notes how long a member took for a statement of a kind, and returns what that
// usually takes, 0 while it is not known.
func (g *groupState) took(kind workKind, d time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.works[kind]
	if w == nil {
		w = &pacing.Baseline{}
		g.works[kind] = w
	}
	w.Record(d)
	return w.Latency()
}

// usual returns what a statement of a kind usually takes, 0 while that is not known.
func (g *groupState) usual(kind workKind) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w := g.works[kind]; w != nil {
		return w.Latency()
	}
	return 0
}

// pace takes in how long a member took for a statement that does not belong to a
// transaction, and holds further ones back for as long as the member seems to have
// more than it can run. Statements of transactions are neither held nor counted: what
// they wait for has begun already, and counting them paces members that are only busy.
func (r *Relay) pace(up *upstream, g *groupState, route topology.Route, took time.Duration) {
	usual := g.took(kindOf(route), took)
	waiting := up.pool.Waiting() > 0
	up.mu.Lock()
	pause := up.window.RecordAnswer(took, usual)
	before := up.mayRun
	up.mayRun = up.share + up.room.RecordAnswer(&up.window, waiting, up.share, up.most)
	if up.mayRun != before {
		up.pool.SetMaxActive(up.mayRun)
	}
	up.mu.Unlock()
	if pause > 0 {
		span := r.snapshot().Priorities[g.name]
		up.pool.Pause(pacing.PauseLevel(route.Priority, span.Top, span.Last), pause)
	}
}
