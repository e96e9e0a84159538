package relay

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/pacing"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// statementClass groups statements that are expected to take about the same time: those of routes
// with equal settings. They share one baseline, so that a new or little-used route has one at once.
type statementClass struct {
	consistency topology.Consistency
	staleness   time.Duration
	objective   time.Duration
	priority    int
}

func classOf(route topology.Route) statementClass {
	return statementClass{consistency: route.Consistency, staleness: route.MaxStaleness, objective: route.LatencyObjective, priority: route.Priority}
}

// recordDuration records how long a member took for a statement of a class, and returns the class's
// typical duration, 0 while that is not known.
func (g *groupState) recordDuration(class statementClass, d time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	baseline := g.baselines[class]
	if baseline == nil {
		baseline = &pacing.Baseline{}
		g.baselines[class] = baseline
	}
	baseline.Record(d)
	return baseline.Latency()
}

// typicalDuration returns the typical duration of a class, 0 while it is not known.
func (g *groupState) typicalDuration(class statementClass) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if baseline := g.baselines[class]; baseline != nil {
		return baseline.Latency()
	}
	return 0
}

// paceMember records how long a member took for a statement outside a transaction, adjusts the
// number of concurrent statements there, and pauses further ones while the member seems overloaded.
// Statements of transactions are neither paused nor counted: the transaction has already begun, and
// counting them would throttle members that are merely busy.
func (r *Relay) paceMember(upstream *upstreamState, g *groupState, route topology.Route, took time.Duration) {
	typical := g.recordDuration(classOf(route), took)
	waiting := upstream.pool.Waiting() > 0
	upstream.mu.Lock()
	pause := upstream.throttle.RecordAnswer(took, typical)
	previous := upstream.activeAllowed
	upstream.activeAllowed = upstream.activeShare + upstream.spareCapacity.RecordAnswer(&upstream.throttle, waiting, upstream.activeShare, upstream.activeLimit)
	if upstream.activeAllowed != previous {
		upstream.pool.SetMaxActive(upstream.activeAllowed)
	}
	upstream.mu.Unlock()
	if pause > 0 {
		span := r.snapshot().Priorities[g.name]
		upstream.pool.Pause(pacing.PauseLevel(route.Priority, span.Top, span.Last), pause)
	}
}
