package routing

import (
	"slices"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/locality"
)

// Candidate is a member that may serve a read, as seen by one of the instances that use it.
// It describes the member's state at its last answer.
type Candidate struct {
	ID              string
	Primary         bool
	Distance        locality.Distance // from the instance
	Draining        bool              // gets no new work
	Usable          bool              // it answered the last request
	LagRejected     bool              // it rejected a read moments ago because its log did not hold the required position
	Position        group.Position    // end of its log, as last reported
	Lag             time.Duration     // replica lag: how long ago the primary's log ended at Position; negative: unknown
	LagGrowing      bool              // the lag increased between the last two reports
	LagAge          time.Duration     // age of the report that the lag comes from
	Load            int               // requests of this instance that run at the member or wait for it
	Slots           int               // of the member's slots, how many this instance may count on
	TypicalDuration time.Duration     // typical duration of such a read; 0: unknown
	FailureRate     float64           // fraction of recent requests to it that failed
	Deprioritized   bool              // ranked lower for this read, because it fails more than others
}

// Weights of the cost function, in halves of a queued request.
const (
	requestCost    = 2
	primaryPenalty = 1 // the primary's slots are for writes first
	remotePenalty  = 1 // traffic between data centres is charged for and takes longer
)

// retryLaggingAfter is the age of a lag report after which reads try the replica again. A
// replica that gets no requests cannot report that it has caught up.
const retryLaggingAfter = 250 * time.Millisecond

// crossRegionRTT is the assumed round trip time of a read to another region.
const crossRegionRTT = 25 * time.Millisecond

// Order returns the members that may serve a read, best first. It prefers the least loaded
// member, and near replicas over other members. Members of other regions come first only when
// the near ones are so loaded that queueing there takes longer than the cross-region round
// trip. required is the position that the member's log must hold; it was the end of the
// primary's log an age ago. A replica that is not expected to hold it yet comes after the
// primary. A replica that rejected a read for that reason moments ago is left out, and so
// are draining replicas. Members that did not answer come last.
func Order(candidates []Candidate, required group.Position, age time.Duration) []Candidate {
	var order []Candidate
	for _, c := range candidates {
		lagging := !c.Primary && c.Position.Less(required)
		if c.Draining && !c.Primary || lagging && c.LagRejected {
			continue
		}
		order = append(order, c)
	}
	slices.SortStableFunc(order, func(a, b Candidate) int {
		if ra, rb := rank(a, required, age), rank(b, required, age); ra != rb {
			return ra - rb
		}
		return cost(a) - cost(b)
	})
	return order
}

// ExtraRoundTrip returns the extra round trip time of a read at the member compared with a near
// member.
func (c Candidate) ExtraRoundTrip() time.Duration {
	if c.Distance == locality.OtherRegion {
		return crossRegionRTT
	}
	return 0
}

// ImmediateCandidates returns the members of order at which a read should run immediately if
// they have a free slot. Where a replica of this region should serve the read, members of other
// regions are left out: the read briefly waits for a slot in its region before it goes to
// another one.
func ImmediateCandidates(order []Candidate, required group.Position, age time.Duration) []Candidate {
	if len(order) == 0 || order[0].Primary || order[0].Distance == locality.OtherRegion || !order[0].Eligible(required, age) {
		return order
	}
	return slices.DeleteFunc(slices.Clone(order), func(c Candidate) bool { return c.Distance == locality.OtherRegion })
}

// rank classifies a candidate: 0 is expected to be able to serve the read, 1 may be able to,
// and 2 did not answer.
func rank(c Candidate, required group.Position, age time.Duration) int {
	switch {
	case !c.Usable:
		return 2
	case c.Deprioritized:
		return 1
	case c.Primary || !c.Position.Less(required) || c.Lag < 0 || age >= c.Lag || c.LagAge >= retryLaggingAfter:
		return 0
	}
	return 1
}

// Eligible reports whether a candidate is expected to be able to serve a read now.
func (c Candidate) Eligible(required group.Position, age time.Duration) bool {
	return rank(c, required, age) == 0
}

// cost returns the cost of running a read at a candidate; lower is better.
func cost(c Candidate) int {
	cost := c.Load * requestCost
	if c.Primary {
		cost += primaryPenalty
	}
	switch c.Distance {
	case locality.SameRegion:
		cost += remotePenalty
	case locality.OtherRegion:
		cost += remotePenalty + crossRegionCost(c)
	}
	return cost
}

// crossRegionCost is the cost of the network latency to a member of another region. It equals the
// cost of the load at which a read would queue at a near member for as long as the round trip
// takes. With less load, the near member runs all requests at once or finishes those ahead in
// less time.
func crossRegionCost(c Candidate) int {
	slots := max(1, c.Slots)
	queued := slots
	if c.TypicalDuration > 0 {
		queued = int((time.Duration(slots)*crossRegionRTT + c.TypicalDuration - 1) / c.TypicalDuration)
	}
	return (slots + queued) * requestCost
}
