package routing

import (
	"slices"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/locality"
)

// Candidate is a member that might serve a read, as one instance among several
// that use it sees it. What it holds is known from its last answer only.
type Candidate struct {
	ID       string
	Primary  bool
	Distance locality.Distance // from the instance
	Draining bool              // gets no new work
	Usable   bool              // answered when it was last asked
	Refused  bool              // could not serve a read for want of log a moment ago
	Position group.Position    // end of its log as last told
	Behind   time.Duration     // how long ago the primary was there; negative: not known
	Growing  bool              // it was further behind when it last told than before
	Seen     time.Duration     // how long ago Behind was told
	Load     int               // requests of this instance that it holds or that wait for it
	Slots    int               // of the member's that this instance may count on
	Work     time.Duration     // that such a read usually takes; 0: not known
	Failing  float64           // part of what it was sent that lately failed
	Deferred bool              // takes no part in this choice, since it fails more than others
}

// Weights of Order, in half requests waiting.
const (
	perRequest     = 2
	primaryPenalty = 1 // its slots are for writes first
	farPenalty     = 1 // bytes between data centres are charged, and take longer
)

// trialAfter is how old the knowledge that a replica is behind may be before a read tries
// it again: one that nobody asks cannot show that it has caught up.
const trialAfter = 250 * time.Millisecond

// regionTrip is what a read is taken to spend on the way to another region and back.
const regionTrip = 25 * time.Millisecond

// Order returns the members that may serve a read, best first: the least loaded,
// near replicas before others, and those of other regions once the near ones have
// so much to do that the way there takes less time. The required position was the end of the
// primary's log an age ago. A replica that should not hold it yet comes after the
// primary, and one that has just said so is left out. Members that did not answer
// come last.
func Order(candidates []Candidate, required group.Position, age time.Duration) []Candidate {
	var order []Candidate
	for _, c := range candidates {
		lacks := !c.Primary && c.Position.Less(required)
		if c.Draining && !c.Primary || lacks && c.Refused {
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

// Trip returns how much longer a read is under way to the member and back than to a near one.
func (c Candidate) Trip() time.Duration {
	if c.Distance == locality.OtherRegion {
		return regionTrip
	}
	return 0
}

// AtOnce returns the members at which a read should run if they have room now, of those that
// Order returned. Where a replica of its region should serve it, the read waits a moment
// for room there rather than cross to another region at once.
func AtOnce(order []Candidate, required group.Position, age time.Duration) []Candidate {
	if len(order) == 0 || order[0].Primary || order[0].Distance == locality.OtherRegion || !order[0].Fit(required, age) {
		return order
	}
	return slices.DeleteFunc(slices.Clone(order), func(c Candidate) bool { return c.Distance == locality.OtherRegion })
}

// rank groups candidates: those that should serve, those that may, and those
// that did not answer.
func rank(c Candidate, required group.Position, age time.Duration) int {
	switch {
	case !c.Usable:
		return 2
	case c.Deferred:
		return 1
	case c.Primary || !c.Position.Less(required) || c.Behind < 0 || age >= c.Behind || c.Seen >= trialAfter:
		return 0
	}
	return 1
}

// Fit reports whether a candidate should be able to serve a read now.
func (c Candidate) Fit(required group.Position, age time.Duration) bool {
	return rank(c, required, age) == 0
}

func cost(c Candidate) int {
	cost := c.Load * perRequest
	if c.Primary {
		cost += primaryPenalty
	}
	switch c.Distance {
	case locality.SameRegion:
		cost += farPenalty
	case locality.OtherRegion:
		cost += farPenalty + crossing(c)
	}
	return cost
}

// crossing is what the way to a member of another region costs. A near member that has
// fewer requests than that either runs them all at once, or has run them in less
// time than the way takes.
func crossing(c Candidate) int {
	slots := max(1, c.Slots)
	waiting := slots
	if c.Work > 0 {
		waiting = int((time.Duration(slots)*regionTrip + c.Work - 1) / c.Work)
	}
	return (slots + waiting) * perRequest
}
