package routing

import (
	"slices"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

// Candidate is a member that might serve a read, as one instance among several
// that use it sees it. What it holds is known from its last answer only.
type Candidate struct {
	ID       string
	Primary  bool
	Near     bool           // in the instance's data centre
	Draining bool           // gets no new work
	Usable   bool           // answered when it was last asked
	Refused  bool           // could not serve a read for want of log a moment ago
	Position group.Position // end of its log as last told
	Behind   time.Duration  // how long ago the primary was there; negative: not known
	Growing  bool           // it was further behind when it last told than before
	Load     int            // requests of this instance that it holds or that wait for it
}

// Weights of Order, in half requests waiting.
const (
	perRequest     = 2
	primaryPenalty = 1 // its slots are for writes first
	farPenalty     = 1 // bytes between data centres are charged, and take longer
)

// Order returns the members that may serve a read, best first: the least loaded,
// near replicas before others. The required position was the end of the
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

// rank groups candidates: those that should serve, those that may, and those
// that did not answer.
func rank(c Candidate, required group.Position, age time.Duration) int {
	switch {
	case !c.Usable:
		return 2
	case c.Primary || !c.Position.Less(required) || c.Behind < 0 || age >= c.Behind:
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
	if !c.Near {
		cost += farPenalty
	}
	return cost
}
