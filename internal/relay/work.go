package relay

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/pacing"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// workKind names statements that are expected to take about the same time: those of
// routes that declare the same. They share what is learned, so that a route which is
// new or little used is known at once.
type statementClass struct {
	consistency topology.Consistency
	staleness   time.Duration
	objective   time.Duration
	priority    int
}

func classOf(route topology.Route) statementClass {
	return statementClass{consistency: route.Consistency, staleness: route.MaxStaleness, objective: route.LatencyObjective, priority: route.Priority}
}

// took notes how long a member took for a statement of a kind, and returns what that
// usually takes, 0 while it is not known.
func (g *groupState) recordDuration(kind statementClass, d time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	baseline := g.baselines[kind]
	if baseline == nil {
		baseline = &pacing.Work{}
		g.baselines[kind] = baseline
	}
	baseline.Took(d)
	return baseline.Usual()
}

// usual returns what a statement of a kind usually takes, 0 while that is not known.
func (g *groupState) typicalDuration(kind statementClass) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if baseline := g.baselines[kind]; baseline != nil {
		return baseline.Usual()
	}
	return 0
}

// pace takes in how long a member took for a statement that does not belong to a
// transaction, and holds further ones back for as long as the member seems to have
// more than it can run. Statements of transactions are neither held nor counted: what
// they wait for has begun already, and counting them paces members that are only busy.
func (r *Relay) paceMember(upstream *upstreamState, g *groupState, route topology.Route, took time.Duration) {
	typical := g.recordDuration(classOf(route), took)
	waiting := upstream.pool.Waiting() > 0
	upstream.mu.Lock()
	pause := upstream.throttle.Answered(took, typical)
	previous := upstream.activeAllowed
	upstream.activeAllowed = upstream.activeShare + upstream.spareCapacity.Answered(&upstream.throttle, waiting, upstream.activeShare, upstream.activeLimit)
	if upstream.activeAllowed != previous {
		upstream.pool.SetMaxActive(upstream.activeAllowed)
	}
	upstream.mu.Unlock()
	if pause > 0 {
		span := r.snapshot().Priorities[g.name]
		upstream.pool.Pause(pacing.Level(route.Priority, span.Top, span.Last), pause)
	}
}
