// Package rendezvous assigns database groups to instances by rendezvous hashing. Each
// instance computes the same ranking from the same list. When an instance joins or leaves,
// only the groups that it owns move, apart from a few that a limit on groups per instance
// moves on. The assignment is a hint: a temporary disagreement between instances is
// harmless, because authority depends on the terms of the group (package failover). Package
// placement uses the same ranking to choose carriers.
package rendezvous

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Instance is a candidate owner.
type Instance struct {
	Name       string
	DataCentre string
	Weight     float64 // share of the work relative to other instances; 0: unknown
}

// Group is a database group to be assigned.
type Group struct {
	Name       string
	DataCentre string // preferred: instances there rank first
}

// Rank returns the names of the instances in order of preference for owning the group.
func Rank(g Group, instances []Instance) []string {
	type ranked struct {
		name  string
		near  bool
		score WeightedScore
	}
	weights := NewWeights(instances)
	ranking := make([]ranked, 0, len(instances))
	for _, i := range instances {
		ranking = append(ranking, ranked{
			name:  i.Name,
			near:  g.DataCentre != "" && i.DataCentre == g.DataCentre,
			score: weights.Apply(Score(g.Name, i.Name), i),
		})
	}
	slices.SortFunc(ranking, func(a, b ranked) int {
		switch {
		case a.near != b.near && a.near:
			return -1
		case a.near != b.near:
			return 1
		}
		return cmp.Or(a.score.Compare(b.score), strings.Compare(a.name, b.name))
	})
	names := make([]string, len(ranking))
	for i, r := range ranking {
		names[i] = r.name
	}
	return names
}

// Score returns the rendezvous hash of an instance for a key.
func Score(key, instance string) uint64 {
	var buf [typicalLength]byte // avoids an allocation for typical names
	combined := append(append(append(buf[:0], key...), 0), instance...)
	return mix(xxhash.Sum64(combined))
}

// typicalLength exceeds the combined length of most keys and instance names.
const typicalLength = 96

// mix applies the finalizer of SplitMix64 to a hash. Without it, short keys that differ in
// one character have hashes that are too similar for a ranking.
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// Assign ranks the instances for every group such that at most limit groups have the same
// instance first. Groups are assigned in order of their names, so that all instances agree. If
// the first instance has reached the limit, the next one in the ranking that has not moves
// to the front. A limit of 0 means no limit.
func Assign(groups []Group, instances []Instance, limit int) map[string][]string {
	sorted := slices.Clone(groups)
	slices.SortFunc(sorted, func(a, b Group) int { return strings.Compare(a.Name, b.Name) })
	load := make(map[string]int, len(instances))
	assigned := make(map[string][]string, len(groups))
	for _, g := range sorted {
		ranking := Rank(g, instances)
		first := slices.IndexFunc(ranking, func(name string) bool { return limit <= 0 || load[name] < limit })
		if first > 0 {
			name := ranking[first]
			ranking = slices.Insert(slices.Delete(ranking, first, first+1), 0, name)
		}
		if len(ranking) > 0 {
			load[ranking[0]]++
		}
		assigned[g.Name] = ranking
	}
	return assigned
}

// Limit returns the maximum number of groups per instance: a quarter more than the even share,
// and at least one more.
func Limit(groups, instances int) int {
	if instances == 0 {
		return 0
	}
	even := (groups + instances - 1) / instances
	return even + max(1, even/4)
}

// Neighbours returns the k other instances that rank highest for self.
func Neighbours(self string, instances []Instance, k int) []string {
	others := slices.DeleteFunc(slices.Clone(instances), func(i Instance) bool { return i.Name == self })
	ranking := Rank(Group{Name: self}, others)
	return ranking[:min(k, len(ranking))]
}
