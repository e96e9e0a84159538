// Package pacing limits, from observed response times, the load that an instance puts on a
// member. Several instances share each member and do not know of one another's statements.
// When together they send more than the member can run, statements queue at the member in
// order of arrival, and short or urgent ones wait behind long ones. Therefore each instance
// sends less as the member's response times rise above their baseline, and keeps the rest
// in its own queue, where statements are prioritized and can be canceled. Package relay
// uses it for each member. The package has no I/O, clock or goroutine.
package pacing

import "time"

// Settings of the throttle.
const (
	// ratioSpan is the number of answers over which the ratio of response time to
	// baseline is averaged. Single statements of one kind differ by more than a factor
	// of two; an average over 8 answers throttled members that were merely busy.
	ratioSpan = 16
	// overloadRatio is the ratio of response time to baseline above which a member counts
	// as overloaded, saturationRatio the one below which it has spare capacity. A statement
	// takes twice as long if one other is queued ahead of it for each that runs. Ratios of
	// 2 and 1.6 serve as many statements at a saturated member and fewer at a busy one.
	overloadRatio   = 2.5
	saturationRatio = 2.0
	// shareDecrease and shareIncrease are the factors applied to the share with each
	// answer: from 1 down to an eighth takes 29 answers, and back up 43.
	shareDecrease = 0.93
	shareIncrease = 1.05
	// minShare is the minimum share. Each instance keeps sending some statements, so
	// that it notices when the member has spare capacity again.
	minShare = 0.125
)

// Throttle adapts the share of the time in which an instance has a statement running at a
// member. The zero Throttle has share 1. It is not safe for concurrent use.
type Throttle struct {
	reduction float64 // 1 - share, so that the zero value has share 1
	ratio     float64 // moving average of response time divided by baseline
}

// Share returns the share, from minShare to 1.
func (t *Throttle) Share() float64 { return 1 - t.reduction }

// Slowdown returns the average ratio of response time to baseline, 0 while unknown.
func (t *Throttle) Slowdown() float64 { return t.ratio }

// Saturated reports whether the member is saturated: it has about as much work as it can run,
// or more.
func (t *Throttle) Saturated() bool { return t.ratio >= saturationRatio }

// RecordAnswer records the response time of a statement and its baseline, and returns for how
// long no statement of the same importance should be sent. If the baseline is unknown (0)
// there is no pause.
func (t *Throttle) RecordAnswer(took, baseline time.Duration) time.Duration {
	if baseline <= 0 {
		return 0
	}
	t.ratio += (float64(took)/float64(baseline) - t.ratio) / ratioSpan
	share := t.Share()
	switch {
	case t.ratio > overloadRatio:
		share = max(minShare, share*shareDecrease)
	case t.ratio < saturationRatio:
		share = min(1, share*shareIncrease)
	}
	t.reduction = 1 - share
	return time.Duration(float64(took) * (1/share - 1))
}

// Settings of the baseline.
const (
	// averageSpan is the number of answers per average.
	averageSpan = 16
	// riseDivisor: the baseline rises by 1/riseDivisor of itself with each average above
	// it. If statements have become heavier, the baseline adapts after some hundred
	// averages, whereas it barely changes while a member is saturated for a minute.
	riseDivisor = 100
)

// Baseline estimates the baseline latency of one kind of statement, which is its response time
// without contention: the minimum of averages over averageSpan answers, which rises slowly.
// It is not safe for concurrent use.
type Baseline struct {
	latency time.Duration // baseline; 0: unknown
	sum     time.Duration // sum of the answers in the average in progress
	count   int           // number of answers in the average in progress
}

// Latency returns the baseline latency, 0 while unknown.
func (b *Baseline) Latency() time.Duration { return b.latency }

// Record records the response time of one answer.
func (b *Baseline) Record(d time.Duration) {
	b.sum += d
	if b.count++; b.count < averageSpan {
		return
	}
	average := b.sum / averageSpan
	b.sum, b.count = 0, 0
	if b.latency == 0 || average < b.latency {
		b.latency = average
		return
	}
	b.latency += b.latency / riseDivisor
}

// PauseLevel returns the priority from which on a pause applies after an answer to a statement
// of some priority. The routes of the group have priorities from top, the highest, to last.
// The highest priority is never paused unless it is the only one.
func PauseLevel(priority, top, last int) int {
	if top == last {
		return priority
	}
	return max(priority, top+1)
}
