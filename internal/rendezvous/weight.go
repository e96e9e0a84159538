package rendezvous

import (
	"cmp"
	"math"
)

// Weights turns hash scores into a ranking in which an instance comes first in proportion to
// its weight, by the logarithmic method of weighted rendezvous hashing (Schindelhauer and
// Schomaker, Weighted Distributed Hash Tables, 2005): the sort key is -w/ln(h), where h is the
// score as a fraction. A change of one instance's weight moves only groups to or from it.
type Weights struct {
	equal    bool    // all weights are equal, so the scores alone decide
	smallest float64 // smallest known weight, used for unknown ones; 0: none is known
}

// NewWeights returns the weights of some instances. An unknown weight counts as the smallest known
// one.
func NewWeights(instances []Instance) Weights {
	w := Weights{equal: true}
	for _, i := range instances {
		if i.Weight > 0 && (w.smallest == 0 || i.Weight < w.smallest) {
			w.smallest = i.Weight
		}
	}
	for _, i := range instances {
		w.equal = w.equal && w.Of(i) == w.Min()
	}
	return w
}

// AllEqual reports whether all instances have the same weight.
func (w Weights) AllEqual() bool { return w.equal }

// Min returns the smallest known weight, which also stands for unknown ones. It is 1 when none
// is known.
func (w Weights) Min() float64 {
	if w.smallest > 0 {
		return w.smallest
	}
	return 1
}

// Of returns an instance's weight.
func (w Weights) Of(i Instance) float64 {
	if i.Weight > 0 {
		return i.Weight
	}
	return w.Min()
}

// WeightedScore is the weighted score of an instance for a key. The greatest ranks first.
type WeightedScore struct {
	weighted float64 // 0 where all weights are equal
	score    uint64
}

// Apply returns the weighted score of an instance with a given hash score.
func (w Weights) Apply(score uint64, i Instance) WeightedScore {
	if w.equal {
		return WeightedScore{score: score}
	}
	return WeightedScore{weighted: -w.Of(i) / math.Log(fraction(score)), score: score}
}

// Threshold returns a lower bound for the hash scores with which an instance can rank before bound.
// The caller need not compute the weighted score for a lower hash score.
func (w Weights) Threshold(bound WeightedScore, i Instance) uint64 {
	if w.equal {
		return bound.score
	}
	least := math.Exp(-w.Of(i)/bound.weighted) * thresholdSlack
	return uint64(least*(1<<fractionBits)) << (64 - fractionBits)
}

// thresholdSlack compensates for rounding errors in a threshold.
const thresholdSlack = 1 - 1e-9

// fractionBits is how many bits of a score its fraction uses, so that it is an exact float64.
const fractionBits = 52

// fraction returns a score as a number strictly between 0 and 1.
func fraction(score uint64) float64 {
	return (float64(score>>(64-fractionBits)) + 0.5) / (1 << fractionBits)
}

// Compare returns a negative number if s ranks before other.
func (s WeightedScore) Compare(other WeightedScore) int {
	return cmp.Or(cmp.Compare(other.weighted, s.weighted), cmp.Compare(other.score, s.score))
}
