package relay

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/admission"
	"github.com/stackspindle/stackspindle/internal/lead"
)

// outages is what the traffic of a group has seen of the times without a primary.
type outages struct {
	learned admission.Outages
	since   time.Duration // when the one under way began
	seen    time.Duration // when a statement last met it; 0: none has
	change  bool          // a change of primary was known of
}

// outageSeen is how long before the end of an outage a statement must have met it, for its
// length to be known.
const outageSeen = 50 * time.Millisecond

// outage notes that a statement met no primary, and returns for how much longer there
// is expected to be none.
func (g *groupState) outage(now time.Duration, gate *lead.PrimaryGuard) time.Duration {
	lost := gate.UnusableFor()
	record, _ := gate.Record()
	g.mu.Lock()
	defer g.mu.Unlock()
	o := &g.outages
	if o.seen == 0 {
		o.change = false
	}
	o.since, o.seen = now-lost, now
	o.change = o.change || record.Change != nil
	return o.learned.Remaining(lost, o.change)
}

// outageLeft returns for how much longer the group, which has no primary, is expected to have none.
func (g *groupState) outageLeft(gate *lead.PrimaryGuard) time.Duration {
	record, _ := gate.Record()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.outages.learned.Remaining(gate.UnusableFor(), record.Change != nil)
}

// noteAuthority notes that the group has a primary.
func (g *groupState) noteAuthority(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := &g.outages
	if o.seen > 0 && now-o.seen <= outageSeen {
		o.learned.Ended(now-o.since, o.change)
	}
	o.seen = 0
}

// lapse returns how long it usually takes until the grant of a primary is confirmed again.
func (g *groupState) lapse() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.outages.learned.Lapse()
}
