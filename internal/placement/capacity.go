package placement

import (
	"maps"
	"math"
	"slices"
)

// Capacity is the hardware capacity that an instance has according to its settings and
// announces in its registration. The zero value means that it announces none.
type Capacity struct {
	Cores       float64 `json:"cores,omitempty"` // processor cores that it may use
	LinkMbps    float64 `json:"link_mbps,omitempty"`
	MemoryMB    float64 `json:"memory_mb,omitempty"`
	Descriptors float64 `json:"descriptors,omitempty"`
}

// Approximate cost of a statement at its carrier. It only decides which of the two resources
// limits an instance.
const (
	coreSecondsPerStatement = 400e-6
	megabitsPerStatement    = 12e-3 // in each direction
)

// StatementsPerSecond returns how many statements per second the instance can run as a carrier,
// limited by processor or network link. It serves as a weight relative to other instances. The
// result is 0 when the instance does not announce both.
func (c Capacity) StatementsPerSecond() float64 {
	weight := min(c.Cores/coreSecondsPerStatement, c.LinkMbps/megabitsPerStatement)
	if !(weight > 0 && weight <= maxStatementsPerSecond) {
		return 0 // implausible: treat another instance's registration as if it announced nothing
	}
	return weight
}

// maxStatementsPerSecond is above the rate of any real instance.
const maxStatementsPerSecond = 1e7

// groupLimitFactor is how much more than its share by weight an instance may serve, as in
// consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018). A smaller
// factor moves more groups when an instance joins or leaves; a larger one allows more random
// imbalance.
const groupLimitFactor = 1.25

// groupLimits returns how many groups each instance may serve: its share by weight of the
// carrier slots in its data centre, or of all carrier slots if that is more, since it may have
// to replace instances elsewhere. It returns nil for no limits when all weights are equal,
// because then hashing alone spreads the groups.
func (t *Table) groupLimits() map[string]int {
	if t.weights.AllEqual() {
		return nil
	}
	totalSlots, slotsIn := 0, make(map[string]int)
	for _, r := range t.rows {
		if t.servedByAll(r.group) {
			continue
		}
		totalSlots += r.group.maxCarriers()
		for _, h := range r.dataCentres {
			slotsIn[h.dataCentre] += h.slots
		}
	}
	totalWeight, weightIn := 0.0, make(map[string]float64) // summed in name order, so that all instances get the same floating-point totals
	for _, name := range slices.Sorted(maps.Keys(t.alive)) {
		i := t.alive[name].Instance
		totalWeight += t.weights.Of(i)
		weightIn[i.DataCentre] += t.weights.Of(i)
	}
	limits := make(map[string]int, len(t.alive))
	for _, alive := range t.alive {
		i := alive.Instance
		share := max(
			float64(slotsIn[i.DataCentre])*t.weights.Of(i)/weightIn[i.DataCentre],
			float64(totalSlots)*t.weights.Of(i)/totalWeight,
		)
		limits[i.Name] = max(1, int(math.Ceil(groupLimitFactor*share)))
	}
	return limits
}
