package placement

import (
	"slices"
)

// spareRanks is how many instances a ranking keeps beyond the carrier slots of its data centre.
// They take over when others leave or reach their group limit.
const spareRanks = 6

// ranking holds the highest-ranked instances for one group, of one data centre or of all. It is
// updated as instances join and leave, at the cost of one comparison per instance and group; it
// is recomputed only when it has run out of instances.
type ranking struct {
	dataCentre string // empty: all data centres
	limit      int    // maximum length of top; 0: not computed yet
	top        []candidate
	complete   bool // top holds every instance that the ranking covers
}

// covers reports whether the ranking includes instances of i's data centre.
func (r *ranking) covers(i *instance) bool { return r.dataCentre == "" || r.dataCentre == i.DataCentre }

// at returns the instance of rank n, counted from 0, and false when there are fewer.
func (r *ranking) at(t *Table, group string, n int) (candidate, bool) {
	for n >= len(r.top) {
		if r.complete {
			return candidate{}, false
		}
		r.limit = max(n+spareRanks, 2*r.limit)
		r.fill(t, group)
	}
	return r.top[n], true
}

// fill recomputes the ranking from all instances that it covers.
func (r *ranking) fill(t *Table, group string) {
	r.top = r.top[:0]
	count, thresholds := 0, make(map[float64]uint64) // lowest scores that can still enter the ranking, by weight
	for dataCentre, instances := range t.byDataCentre {
		if r.dataCentre != "" && r.dataCentre != dataCentre {
			continue
		}
		count += len(instances)
		for _, i := range instances {
			score := t.score(group, i)
			if score < thresholds[i.Weight] {
				continue
			}
			if r.insert(t.newCandidate(score, i)) && len(r.top) == r.limit {
				r.raiseThresholds(t, thresholds)
			}
		}
	}
	r.complete = len(r.top) == count
}

// raiseThresholds sets the thresholds from the last instance in the ranking. Most instances are
// then skipped by their score, without computing the weighted score.
func (r *ranking) raiseThresholds(t *Table, thresholds map[float64]uint64) {
	last := r.top[len(r.top)-1].score
	for _, i := range t.weightClasses {
		thresholds[i.Weight] = t.weights.Threshold(last, i)
	}
}

// insert adds an instance unless the ranking is full of better ones, and reports whether it did.
func (r *ranking) insert(c candidate) bool {
	if len(r.top) == r.limit && byRank(c, r.top[len(r.top)-1]) > 0 {
		return false
	}
	at, _ := slices.BinarySearchFunc(r.top, c, byRank)
	r.top = slices.Insert(r.top, at, c)
	r.top = r.top[:min(r.limit, len(r.top))]
	return true
}

// join adds an instance that has joined the fleet. Unless the ranking is complete, it does not
// know the instances that rank after its last one, so a new instance that would come last is
// left out.
func (r *ranking) join(c candidate) {
	if !r.complete && (len(r.top) == 0 || byRank(c, r.top[len(r.top)-1]) > 0) {
		return
	}
	before := len(r.top)
	r.insert(c)
	r.complete = r.complete && len(r.top) > before
}

// removeDeparted removes the instances that have left the fleet.
func (r *ranking) removeDeparted() {
	r.top = slices.DeleteFunc(r.top, func(c candidate) bool { return c.departed })
}

// clear marks the ranking as not computed.
func (r *ranking) clear() { r.top, r.complete, r.limit = nil, false, 0 }
