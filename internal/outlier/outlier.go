// Package outlier reduces the share of reads that a member of a database group gets when it
// fails more requests than the other members. It relies on the outcome of requests, not on
// health checks: a member may pass its health checks and fail statements, or the other way
// round. Package relay uses it. The package has no I/O, clock or goroutine.
package outlier

import (
	"math"
	"slices"
)

const (
	// averageWindow is the number of requests over which failures are averaged. A single lost
	// reply then has little effect, and several in a row take most of the member's share.
	averageWindow = 16
	// shareExponent is how steeply the share falls as failures increase: reads should mostly
	// avoid a member that fails every second request.
	shareExponent = 4
	// minShare keeps some reads going to a failing member, so that its recovery is noticed.
	minShare = 0.1
)

// FailureRate is a moving average of the fraction of requests to a member that failed. The zero
// value is a member without failures. It is not safe for concurrent use.
type FailureRate struct{ rate float64 }

// RecordSuccess records a request that the member answered.
func (r *FailureRate) RecordSuccess() { r.rate -= r.rate / averageWindow }

// RecordFailure records a request that the member did not answer or that failed because of the
// member.
func (r *FailureRate) RecordFailure() { r.rate += (1 - r.rate) / averageWindow }

// Value returns the fraction that failed.
func (r *FailureRate) Value() float64 { return r.rate }

// ReadShares returns for each member the share of reads that it may be chosen for, from the failure
// rates of all members. The member with the lowest failure rate has share 1. At most half of
// the members get less than 1, because failures that all members have in common are not their
// fault: they come from a lossy network, or from statements that cannot succeed.
func ReadShares(failureRates []float64) []float64 {
	shares := make([]float64, len(failureRates))
	order := make([]int, len(failureRates))
	for n := range failureRates {
		shares[n], order[n] = 1, n
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case failureRates[a] < failureRates[b]:
			return -1
		case failureRates[a] > failureRates[b]:
			return 1
		}
		return 0
	})
	if len(order) == 0 {
		return shares
	}
	bestSuccess := 1 - failureRates[order[0]]
	for _, n := range order[(len(order)+1)/2:] {
		if bestSuccess > 0 {
			shares[n] = max(minShare, math.Pow((1-failureRates[n])/bestSuccess, shareExponent))
		}
	}
	return shares
}

// Sampler decides for which reads a member is a candidate, so that these are evenly spaced. The
// zero value starts with a read for which it is one, unless its share is 0. It is not safe for
// concurrent use.
type Sampler struct{ skipped float64 }

// Next reports whether the member is a candidate for the next read, given the share of reads for
// which it should be one.
func (s *Sampler) Next(share float64) bool {
	s.skipped += 1 - share
	if s.skipped >= 1 {
		s.skipped--
		return false
	}
	return true
}
