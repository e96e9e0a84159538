package admission

import "time"

// overloadGap is after what time without a refusal an overload counts as over: longer than
// the pauses between the refusals of a queue that stays full.
const overloadGap = 500 * time.Millisecond

// Overload remembers since when requests have been refused at one place. The zero Overload
// is none. It is not safe for concurrent use.
type Overload struct {
	since, last time.Duration
	refusing    bool
}

// Refused notes a refusal and returns for how long there have been such.
func (o *Overload) Refused(now time.Duration) time.Duration {
	now = bounded(now)
	if !o.lasts(now) {
		o.refusing, o.since = true, now
	}
	o.last = now
	return bounded(now - o.since)
}

// lasts reports whether there was a refusal a moment ago.
func (o *Overload) lasts(now time.Duration) bool {
	return o.refusing && now >= o.last && now-o.last <= overloadGap
}
