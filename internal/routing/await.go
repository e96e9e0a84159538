package routing

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

// Await reports whether a read should wait for a replica rather than take the primary: a
// replica that does not fall further behind should hold the required position, which is of an
// age, within the time that the read can wait, and the primary has other work. One that would
// rank behind the primary even then is not waited for. order is what Order returned.
func Await(order []Candidate, required group.Position, age, left time.Duration) bool {
	if len(order) == 0 || !order[0].Primary || order[0].Load == 0 {
		return false
	}
	for _, c := range order {
		if c.Primary || !c.Usable || c.Behind < 0 || c.Growing || !c.Position.Less(required) || cost(c) > cost(order[0]) {
			continue
		}
		if c.Behind-age <= left {
			return true
		}
	}
	return false
}
