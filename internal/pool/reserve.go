package pool

import (
	"math"
	"time"
)

// demand estimates how many slots pinned requests, which only this member can run, need
// at once. It rises immediately and decays exponentially.
type demand struct {
	level     float64
	updatedAt time.Duration // when level was updated
}

// demandHalfLife is the half-life of the demand when no pinned requests arrive. Decay is
// slow because they come in bursts, such as the statements of one client.
const demandHalfLife = 250 * time.Millisecond

// record records that n pinned requests are present at the same time.
func (d *demand) record(now time.Duration, n int) {
	d.level, d.updatedAt = max(d.value(now), float64(n)), now
}

func (d *demand) value(now time.Duration) float64 {
	return d.level * math.Exp2(-float64(now-d.updatedAt)/float64(demandHalfLife))
}

// recordDemand records the number of pinned requests: those that run, those in the queue
// and some more that are about to start.
func (q *Queue) recordDemand(starting int) {
	q.demand.record(q.now, q.pinned.inUse-q.pinned.parked+q.pinned.waiting+starting)
}

// keepsReserve reports whether granting a flexible request keeps the reserve for pinned
// requests free while so many connections are active.
func (q *Queue) keepsReserve(active int) bool {
	reserve := int(math.Round(q.demand.value(q.now)))
	if reserve == 0 {
		return true
	}
	if !keepsFree(reserve, q.cfg.Capacity, q.inUse, q.pinned.inUse) {
		return false
	}
	return q.cfg.MaxActive == 0 || keepsFree(reserve, q.cfg.MaxActive, active, q.pinned.inUse-q.pinned.parked)
}

// flexibleSlots returns how many of the slots flexible requests may use.
func (q *Queue) flexibleSlots(slots int) int {
	reserve := int(math.Round(q.demand.value(q.now)))
	if reserve == 0 {
		return slots
	}
	return slots - max(0, min(reserve, slots-1)-(q.pinned.inUse-q.pinned.parked))
}

// keepsFree reports whether another slot may be taken without touching the reserve. used
// slots are taken, ownUsed of them by requests that the reserve is for. One slot is never
// reserved.
func keepsFree(reserve, slots, used, ownUsed int) bool {
	return used+max(0, min(reserve, slots-1)-ownUsed) < slots
}
