package relay

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/admission"
	"github.com/stackspindle/stackspindle/internal/lead"
)

// outageTracker is what this instance has observed of a group's outages, the times without a usable
// primary.
type outageTracker struct {
	durations    admission.Outages
	startedAt    time.Duration // start of the current outage
	lastSeenAt   time.Duration // when a statement last found no usable primary; 0: none has since the last outage
	duringChange bool          // a change of primary was in progress during it
}

// maxOutageEndGap is the longest time between the last statement that found no usable primary
// and the end of the outage. With a longer gap the outage's duration is not known precisely enough
// to learn from.
const maxOutageEndGap = 50 * time.Millisecond

// recordOutage records that a statement found no usable primary, and returns the expected remaining
// duration.
func (g *groupState) recordOutage(now time.Duration, guard *lead.PrimaryGuard) time.Duration {
	unusableFor := guard.UnusableFor()
	record, _ := guard.Record()
	g.mu.Lock()
	defer g.mu.Unlock()
	tracker := &g.outages
	if tracker.lastSeenAt == 0 {
		tracker.duringChange = false
	}
	tracker.startedAt, tracker.lastSeenAt = now-unusableFor, now
	tracker.duringChange = tracker.duringChange || record.Change != nil
	return tracker.durations.Remaining(unusableFor, tracker.duringChange)
}

// remainingOutage returns the expected remaining duration of the group's current outage.
func (g *groupState) remainingOutage(guard *lead.PrimaryGuard) time.Duration {
	record, _ := guard.Record()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.outages.durations.Remaining(guard.UnusableFor(), record.Change != nil)
}

// recordPrimary records that the group has a usable primary.
func (g *groupState) recordPrimary(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	tracker := &g.outages
	if tracker.lastSeenAt > 0 && now-tracker.lastSeenAt <= maxOutageEndGap {
		tracker.durations.Ended(now-tracker.startedAt, tracker.duringChange)
	}
	tracker.lastSeenAt = 0
}

// typicalLapse returns how long it typically takes until the grant of a primary is confirmed again.
func (g *groupState) typicalLapse() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.outages.durations.Lapse()
}
