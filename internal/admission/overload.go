package admission

import "time"

// overloadGap is the time without rejections after which an overload has ended. It exceeds the
// gaps between the rejections of a queue that stays full.
const overloadGap = 500 * time.Millisecond

// Overload tracks since when requests have been rejected. The zero value is no overload. It is
// not safe for concurrent use.
type Overload struct {
	since, last time.Duration
	active      bool
}

// RecordRejection records a rejection and returns the duration of the overload so far.
func (o *Overload) RecordRejection(now time.Duration) time.Duration {
	now = bounded(now)
	if !o.lasts(now) {
		o.active, o.since = true, now
	}
	o.last = now
	return bounded(now - o.since)
}

// lasts reports whether the overload lasts: the last rejection is at most overloadGap ago.
func (o *Overload) lasts(now time.Duration) bool {
	return o.active && now >= o.last && now-o.last <= overloadGap
}
