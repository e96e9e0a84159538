package routing

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

// ShouldWaitForReplica reports whether a read should wait for a replica instead of running on
// the primary at once. It returns true when the primary is first in order but busy, and a
// replica is expected to reach the required position in time. The lag of that replica must not
// be growing, and it must not cost more than the primary, or the read would not go to it even
// then. order is the result of Order, age is the age of the required position, and maxWait is
// how long the read can wait.
func ShouldWaitForReplica(order []Candidate, required group.Position, age, maxWait time.Duration) bool {
	if len(order) == 0 || !order[0].Primary || order[0].Load == 0 {
		return false
	}
	for _, c := range order {
		if c.Primary || !c.Usable || c.Lag < 0 || c.LagGrowing || !c.Position.Less(required) || cost(c) > cost(order[0]) {
			continue
		}
		if c.Lag-age <= maxWait {
			return true
		}
	}
	return false
}
