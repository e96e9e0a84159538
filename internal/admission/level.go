package admission

import "time"

// Level is what is known of the requests of one priority before one member. The zero Level
// knows nothing. It is not safe for concurrent use.
type Level struct {
	correction Correction
	overload   Overload
	waiting    int           // requests that were admitted and wait
	moved      time.Duration // when one of them was last granted, or the first began to wait
}

// Wait predicts how long a request waits before it runs: by the backlog alone, and by what
// others of its priority have waited. While these wait, the second is at least the time for
// which none of them was granted, as where all room goes to requests that rank higher, or
// the member has stopped answering.
func (l *Level) Wait(now time.Duration, b Backlog) (predicted, wait time.Duration) {
	predicted, known := b.Wait()
	if known && predicted == 0 {
		return 0, 0
	}
	wait = time.Duration(float64(predicted) * l.correction.Factor())
	if l.waiting > 0 {
		wait = max(wait, bounded(now-l.moved))
	}
	return predicted, min(wait, maxWait)
}

// Overloaded reports whether a request of the priority was refused a moment ago.
func (l *Level) Overloaded(now time.Duration) bool { return l.overload.lasts(now) }

// Decide says whether a request is worth its place behind a backlog.
func (l *Level) Decide(now time.Duration, r Request, b Backlog) Verdict {
	predicted, wait := l.Wait(now, b)
	v := Verdict{Admit: true, Predicted: predicted, Wait: wait}
	if wait == 0 {
		return v // nothing would be gained by a refusal
	}
	runs := time.Duration(float64(bounded(r.Usual)) * max(1, min(b.Slowdown, maxSlowdown)))
	if wait+runs <= r.Objective {
		return v
	}
	v.Admit, v.Reason, v.ComeBack = false, Late, ComeBack(r, wait, l.overload.Refused(now))
	return v
}

// Began notes that a request waits.
func (l *Level) Began(now time.Duration) {
	if l.waiting == 0 {
		l.moved = now
	}
	l.waiting++
}

// Ended notes that a request waits no longer: it was granted what it waited for, or given
// up. predicted is what its verdict said.
func (l *Level) Ended(now, waited, predicted time.Duration, granted bool) {
	l.waiting = max(0, l.waiting-1)
	if granted {
		l.moved = now
	}
	l.correction.Waited(waited, predicted)
}
