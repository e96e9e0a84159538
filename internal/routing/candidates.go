package routing

import (
	"slices"

	"github.com/stackspindle/stackspindle/internal/group"
)

// Candidate is a member that might serve a read, as one instance among several
// that use it sees it. What it holds is known from its last answer only.
type Candidate struct {
	ID       string
	Primary  bool
	Draining bool           // gets no new work
	Usable   bool           // answered when it was last asked
	Lagging  bool           // could not serve a read for want of log a moment ago
	Position group.Position // end of its log as last told
	Load     int            // requests of this instance that it holds or that wait for it
}

// Weights of Order, in half requests waiting.
const (
	perRequest     = 2
	primaryPenalty = 1 // its slots are for writes first
	unknownPenalty = 1 // a member that may lag costs a round trip to find out
)

// Order returns the members that may serve a read, best first: the least loaded,
// replicas and those known to hold the position before others. Members that lag,
// and after them those that did not answer, come last.
func Order(candidates []Candidate, required group.Position) []Candidate {
	var order []Candidate
	for _, c := range candidates {
		if !c.Draining || c.Primary {
			order = append(order, c)
		}
	}
	cost := func(c Candidate) int {
		cost := c.Load * perRequest
		if c.Primary {
			return cost + primaryPenalty
		}
		if c.Position.Less(required) {
			cost += unknownPenalty
		}
		return cost
	}
	rank := func(c Candidate) int {
		switch {
		case !c.Usable:
			return 2
		case c.Lagging && !c.Primary && c.Position.Less(required):
			return 1
		}
		return 0
	}
	slices.SortStableFunc(order, func(a, b Candidate) int {
		if ra, rb := rank(a), rank(b); ra != rb {
			return ra - rb
		}
		return cost(a) - cost(b)
	})
	return order
}
