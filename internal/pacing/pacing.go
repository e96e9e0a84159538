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
	// fullRatio is the ratio of response time to baseline above which a member counts as
	// overloaded, roomRatio the one below which it has spare capacity. A statement takes
	// twice as long if one other is queued ahead of it for each that runs. Ratios of 2
	// and 1.6 serve as many statements at a saturated member and fewer at a busy one.
	fullRatio = 2.5
	roomRatio = 2.0
	// shrink and grow are the factors applied to the share with each answer: from 1 down
	// to an eighth takes 29 answers, and back up 43.
	shrink = 0.93
	grow   = 1.05
	// leastShare is the minimum share. Each instance keeps sending some statements, so
	// that it notices when the member has spare capacity again.
	leastShare = 0.125
)

// Window adapts the share of the time in which an instance has a statement running at a
// member. The zero Window has share 1. It is not safe for concurrent use.
type Window struct {
	less  float64 // 1 - share, so that the zero value has share 1
	ratio float64 // moving average of response time divided by baseline
}

// Share returns the share, from leastShare to 1.
func (w *Window) Share() float64 { return 1 - w.less }

// Slowdown returns the average ratio of response time to baseline, 0 while unknown.
func (w *Window) Slowdown() float64 { return w.ratio }

// Full reports whether the member is saturated: it has about as much work as it can run,
// or more.
func (w *Window) Full() bool { return w.ratio >= roomRatio }

// Answered records the response time of a statement and its baseline, and returns for how
// long no statement of the same importance should be sent. If the baseline is unknown (0)
// there is no pause.
func (w *Window) Answered(took, usual time.Duration) time.Duration {
	if usual <= 0 {
		return 0
	}
	w.ratio += (float64(took)/float64(usual) - w.ratio) / ratioSpan
	share := w.Share()
	switch {
	case w.ratio > fullRatio:
		share = max(leastShare, share*shrink)
	case w.ratio < roomRatio:
		share = min(1, share*grow)
	}
	w.less = 1 - share
	return time.Duration(float64(took) * (1/share - 1))
}

// Settings of the baseline.
const (
	// usualSpan is the number of answers per average.
	usualSpan = 16
	// relax is the divisor by which the baseline rises with each average above it: by
	// 1/100. If statements have become heavier, the baseline adapts after some hundred
	// averages, whereas it barely changes while a member is saturated for a minute.
	relax = 100
)

// Work estimates the baseline latency of one kind of statement, which is its response time
// without contention: the minimum of averages over usualSpan answers, which rises slowly.
// It is not safe for concurrent use.
type Work struct {
	usual time.Duration // baseline; 0: unknown
	sum   time.Duration // sum of the answers in the average in progress
	count int           // number of answers in the average in progress
}

// Usual returns the baseline latency, 0 while unknown.
func (w *Work) Usual() time.Duration { return w.usual }

// Took records the response time of one answer.
func (w *Work) Took(d time.Duration) {
	w.sum += d
	if w.count++; w.count < usualSpan {
		return
	}
	average := w.sum / usualSpan
	w.sum, w.count = 0, 0
	if w.usual == 0 || average < w.usual {
		w.usual = average
		return
	}
	w.usual += w.usual / relax
}

// Level returns the priority from which on a pause applies after an answer to a statement
// of some priority. The routes of the group have priorities from top, the highest, to last.
// The highest priority is never paused unless it is the only one.
func Level(priority, top, last int) int {
	if top == last {
		return priority
	}
	return max(priority, top+1)
}
