package pool

import (
	"math"
	"time"
)

// demand follows how many requests at once want what only this member can run. It
// rises at once and falls slowly.
type demand struct {
	level float64
	at    time.Duration
}

// demandHalfLife is after what time without new requests the demand counts half: some
// of these come in bursts, as the statements of one caller do.
const demandHalfLife = 250 * time.Millisecond

// note records that so many are there.
func (d *demand) note(now time.Duration, n int) {
	d.level, d.at = max(d.value(now), float64(n)), now
}

func (d *demand) value(now time.Duration) float64 {
	return d.level * math.Exp2(-float64(now-d.at)/float64(demandHalfLife))
}

// reserve returns how many places are kept for work that only this member can run. Of
// the places there are, one is always left for the rest.
func (q *Queue) reserve(places int) int {
	n := int(math.Round(q.demand.value(q.now)))
	return min(n, places-1)
}

// leavesReserve reports whether a flexible request leaves the reserve of places free,
// when so many are used by all, and by what only this member can run.
func (q *Queue) leavesReserve(places, used, fixed int) bool {
	return used+max(0, q.reserve(places)-fixed) < places
}
