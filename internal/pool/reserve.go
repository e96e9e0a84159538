package pool

import (
	"math"
	"time"
)

// demand estimates how many slots pinned requests, which only this member can run, need
// at once. It rises immediately and decays exponentially.
type demand struct {
	level float64
	at    time.Duration // when level was updated
}

// demandHalfLife is the half-life of the demand when no pinned requests arrive. Decay is
// slow because they come in bursts, such as the statements of one client.
const demandHalfLife = 250 * time.Millisecond

// note records that n pinned requests are present at the same time.
func (d *demand) note(now time.Duration, n int) {
	d.level, d.at = max(d.value(now), float64(n)), now
}

func (d *demand) value(now time.Duration) float64 {
	return d.level * math.Exp2(-float64(now-d.at)/float64(demandHalfLife))
}

// noteDemand records the number of pinned requests: those that run, those in the queue
// and some more that are about to start.
func (q *Queue) noteDemand(more int) {
	q.demand.note(q.now, q.fixed.inUse-q.fixed.parked+q.fixed.waiting+more)
}

// leavesReserve reports whether granting a flexible request keeps the reserve for pinned
// requests free while so many connections are active.
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

// flexibleSlots returns how many of the slots flexible requests may use.
func (q *Queue) flexibleSlots(slots int) int {
	reserve := int(math.Round(q.demand.value(q.now)))
	if reserve == 0 {
		return slots
	}
	return slots - max(0, min(reserve, slots-1)-(q.fixed.inUse-q.fixed.parked))
}

// leaves reports whether another slot may be taken without touching the reserve. used slots
// are taken, own of them by requests that the reserve is for. At least one slot stays
// unreserved.
func leaves(reserve, places, used, own int) bool {
	return used+max(0, min(reserve, places-1)-own) < places
}
