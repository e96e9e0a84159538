package relay

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/admission"
	"github.com/stackspindle/stackspindle/internal/lead"
)

// outages is what the traffic of a group has seen of the times without a primary.
type outageTracker struct {
	durations    admission.Outages
	startedAt    time.Duration // when the one under way began
	lastSeenAt   time.Duration // when a statement last met it; 0: none has
	duringChange bool          // a change of primary was known of
}

// outageSeen is how long before the end of an outage a statement must have met it, for its
// length to be known.
const maxOutageEndGap = 50 * time.Millisecond

// outage notes that a statement met no primary, and returns for how much longer there
// is expected to be none.
func (g *groupState) recordOutage(now time.Duration, guard *lead.Gate) time.Duration {
	unusableFor := guard.LostFor()
	record, _ := guard.Record()
	g.mu.Lock()
	defer g.mu.Unlock()
	tracker := &g.outages
	if tracker.lastSeenAt == 0 {
		tracker.duringChange = false
	}
	tracker.startedAt, tracker.lastSeenAt = now-unusableFor, now
	tracker.duringChange = tracker.duringChange || record.Change != nil
	return tracker.durations.Left(unusableFor, tracker.duringChange)
}

// outageLeft returns for how much longer the group, which has no primary, is expected to have none.
func (g *groupState) remainingOutage(guard *lead.Gate) time.Duration {
	record, _ := guard.Record()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.outages.durations.Left(guard.LostFor(), record.Change != nil)
}

// noteAuthority notes that the group has a primary.
func (g *groupState) recordPrimary(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	tracker := &g.outages
	if tracker.lastSeenAt > 0 && now-tracker.lastSeenAt <= maxOutageEndGap {
		tracker.durations.Ended(now-tracker.startedAt, tracker.duringChange)
	}
	tracker.lastSeenAt = 0
}

// lapse returns how long it usually takes until the grant of a primary is confirmed again.
func (g *groupState) typicalLapse() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.outages.durations.Lapse()
}
