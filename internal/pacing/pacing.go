// Package pacing learns from response times what a member can take. Several
// instances share each member and know nothing of one another's statements; when
// they have more of them than the member can run, what is too much waits at the
// member, in the order in which it came, and whatever is short or urgent waits behind
// it. So each instance sends less as the member's answers take longer than they
// usually do, and keeps the rest in a queue of its own, where it has an order and can
// be given up. The package has no I/O, clock or goroutine.
package pacing

import "time"

// Settings of the window.
const (
	// ratioSpan is the number of answers over which the ratio of response times to
	// usual ones is averaged. Single statements of one kind differ by more than a
	// factor of two; over 8 answers members were paced that were no more than busy.
	ratioSpan = 16
	// fullRatio is how many times its usual response time a member that is full takes,
	// roomRatio below what ratio it has room. A statement that finds one other before it
	// for each that runs takes twice as long. Ratios of 2 and 1.6 serve as many where a
	// member is full, and fewer where it is only busy.
	fullRatio = 2.5
	roomRatio = 2.0
	// shrink and grow are the steps by answer: from everything to an eighth takes 29
	// answers, and back 43.
	shrink = 0.93
	grow   = 1.05
	// leastShare keeps each instance asking, so that it notices room.
	leastShare = 0.125
)

// Window is the share of the time in which an instance has a statement running at a
// member. The zero Window is full open. It is not safe for concurrent use.
type Window struct {
	less  float64 // what the share lacks to 1
	ratio float64 // of response times to usual ones, averaged
}

// Share returns the share, at most 1.
func (w *Window) Share() float64 { return 1 - w.less }

// Slowdown returns how many times its usual time a statement takes at the member now, 0
// while that is not known.
func (w *Window) Slowdown() float64 { return w.ratio }

// Full reports whether the member has about as much as it can run, or more.
func (w *Window) Full() bool { return w.ratio >= roomRatio }

// Answered takes in an answer that took a time and usually takes another, and returns
// for how long nothing of the same importance should be sent. Where nothing usual is
// known there is no pause.
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

// Settings of what is learned of a kind of work.
const (
	// usualSpan is the number of answers of which one average is taken.
	usualSpan = 16
	// relax is by what part the usual time rises with each average above it, so that
	// work which has become heavier is found to be usual after some hundred averages,
	// while a member that is full for a minute is not.
	relax = 100
)

// Work is what is known of one kind of work: how long it usually takes where nobody
// else is in its way. It is not safe for concurrent use.
type Work struct {
	usual time.Duration // the least average seen, which rises slowly
	sum   time.Duration // of the average under way
	count int
}

// Usual returns what the work takes where nobody else is in its way, 0 while that is
// not known.
func (w *Work) Usual() time.Duration { return w.usual }

// Took notes one answer.
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

// Level returns from which priority on a pause holds requests that follows work of
// one priority, where those of a group's routes reach from top to last. What is of the
// highest is not held, unless everything is.
func Level(priority, top, last int) int {
	if top == last {
		return priority
	}
	return max(priority, top+1)
}
