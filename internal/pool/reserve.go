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

// noteDemand takes in what only this member can run: what does, what waits, and more that
// is about to.
func (q *Queue) noteDemand(more int) {
	q.demand.note(q.now, q.fixed.inUse-q.fixed.parked+q.fixed.waiting+more)
}

// leavesReserve reports whether a flexible request leaves what is reserved while so many
// connections are active.
func (q *Queue) leavesReserve(active int) bool {
	reserve := int(math.Round(q.demand.value(q.now)))
	if reserve == 0 {
		return true
	}
	if !leaves(reserve, q.cfg.Capacity, q.inUse, q.fixed.inUse) {
		return false
	}
	return q.cfg.MaxActive == 0 || leaves(reserve, q.cfg.MaxActive, active, q.fixed.inUse-q.fixed.parked)
}

// flexibleSlots returns how many of some slots flexible requests may use.
func (q *Queue) flexibleSlots(slots int) int {
	reserve := int(math.Round(q.demand.value(q.now)))
	if reserve == 0 {
		return slots
	}
	return slots - max(0, min(reserve, slots-1)-(q.fixed.inUse-q.fixed.parked))
}

// leaves reports whether a reserve is left of places of which so many are used, a part
// of them by those that it is for. One place is never reserved.
func leaves(reserve, places, used, own int) bool {
	return used+max(0, min(reserve, places-1)-own) < places
}
