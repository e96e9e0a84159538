package rendezvous

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// weighted returns instances; every fourth has four times the weight of the others.
func weighted(n int) []Instance {
	instances := fleetOf(n)
	for i := range instances {
		instances[i].Weight = 0.2
		if i%4 == 0 {
			instances[i].Weight = 0.8
		}
	}
	return instances
}

// Instances rank first in proportion to their weights.
func TestRankFollowsWeights(t *testing.T) {
	instances := weighted(40)
	const groups = 7000
	strong := 0
	for g := range groups {
		first := Rank(Group{Name: fmt.Sprint(g)}, instances)[0]
		if slices.IndexFunc(instances, func(i Instance) bool { return i.Name == first })%4 == 0 {
			strong++
		}
	}
	must.InDelta(t, 4.0/7, float64(strong)/groups, 0.02) // 10 instances of weight 4, 30 of weight 1
}

// Equal weights of any value give the same ranking as no weights.
func TestEqualWeightsMatchNone(t *testing.T) {
	plain, alike := fleetOf(50), fleetOf(50)
	for i := range alike {
		alike[i].Weight = 0.3
	}
	partly := slices.Clone(alike)
	partly[7].Weight = 0 // an unknown weight counts as the others' weight
	for g := range 200 {
		group := Group{Name: fmt.Sprint(g), DataCentre: "dc1"}
		must.SliceEqOp(t, Rank(group, plain), Rank(group, alike))
		must.SliceEqOp(t, Rank(group, plain), Rank(group, partly))
	}
}

// An instance whose weight decreases loses some of its groups, and no other group moves.
func TestWeightChangeMovesOnlyOwnGroups(t *testing.T) {
	before := weighted(40)
	after := slices.Clone(before)
	after[8].Weight /= 4
	for g := range 500 {
		group := Group{Name: fmt.Sprint(g)}
		was, is := Rank(group, before)[0], Rank(group, after)[0]
		must.True(t, was == is || was == before[8].Name, must.Sprint(group.Name))
	}
}

func TestWeightedScoreIsFinite(t *testing.T) {
	w := NewWeights(weighted(8))
	for _, score := range []uint64{0, 1, math.MaxUint64, math.MaxUint64 - 1} {
		d := w.Apply(score, Instance{Weight: 0.8})
		must.False(t, math.IsInf(d.weighted, 0) || math.IsNaN(d.weighted))
		must.Greater(t, 0, d.weighted)
	}
}

// An instance with a hash score below the threshold ranks after d, and one slightly above it
// ranks before d.
func TestThreshold(t *testing.T) {
	for _, instances := range [][]Instance{fleetOf(40), weighted(40)} {
		weights := NewWeights(instances)
		for n, other := range instances {
			d := weights.Apply(Score("g", other.Name), other)
			for _, i := range instances {
				threshold := weights.Threshold(d, i)
				if threshold > 0 {
					must.Positive(t, weights.Apply(threshold-1, i).Compare(d), must.Sprint(n, i))
				}
				if above := threshold + threshold>>20; above > threshold {
					must.Negative(t, weights.Apply(above, i).Compare(d), must.Sprint(n, i))
				}
			}
		}
	}
}
