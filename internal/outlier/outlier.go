// Package outlier gives members of a database group that fail what they are sent a smaller
// share of the reads, by what was measured of their answers against those of the others. A
// member may answer questions about its health and fail statements, or the other way round.
// The package has no I/O, clock or goroutine.
package outlier

import (
	"math"
	"slices"
)

const (
	// span is the number of attempts over which failures are averaged: a single lost answer
	// costs a member little, and some in a row most of its share.
	span = 16
	// steepness is how fast the share falls with the failures: reads should mostly avoid a
	// member that fails one in two.
	steepness = 4
	// leastShare keeps a member tried, so that it can show that it works again.
	leastShare = 0.1
)

// Failing is the part of the attempts at a member that lately failed. The zero value is a
// member that never did. It is not safe for concurrent use.
type Failing struct{ part float64 }

// Answered notes an attempt that was answered.
func (f *Failing) Answered() { f.part -= f.part / span }

// Failed notes one that was not, or whose answer was a failure of the member.
func (f *Failing) Failed() { f.part += (1 - f.part) / span }

// Part returns the part that failed.
func (f *Failing) Part() float64 { return f.part }

// Shares returns in what share of the choices each member takes part, given the part that
// fails of each. It is 1 for the best. At most half of the members get less than that,
// since what all have in common is not theirs: a network that loses much, or statements
// that cannot succeed.
func Shares(failing []float64) []float64 {
	shares := make([]float64, len(failing))
	order := make([]int, len(failing))
	for n := range failing {
		shares[n], order[n] = 1, n
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case failing[a] < failing[b]:
			return -1
		case failing[a] > failing[b]:
			return 1
		}
		return 0
	})
	if len(order) == 0 {
		return shares
	}
	works := 1 - failing[order[0]]
	for _, n := range order[(len(order)+1)/2:] {
		if works > 0 {
			shares[n] = max(leastShare, math.Pow((1-failing[n])/works, steepness))
		}
	}
	return shares
}

// Turns spreads the choices in which a member takes part evenly. The zero value begins with
// one. It is not safe for concurrent use.
type Turns struct{ missed float64 }

// Next reports whether the member takes part in the next choice, which it does in a share
// of them.
func (t *Turns) Next(share float64) bool {
	t.missed += 1 - share
	if t.missed >= 1 {
		t.missed--
		return false
	}
	return true
}
