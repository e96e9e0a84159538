package owner

import (
	"fmt"
	"time"
)

// overload detects the start and end of periods in which requests are refused
// because queues are full or deadlines would pass.
type overload struct {
	startedAt      time.Duration // 0: no overload
	lastRefusalAt  time.Duration // when the last refusal was observed
	refusals       int64         // total refusals at the last observation
	refusalsBefore int64         // total refusals before the overload started
}

// overloadQuietPeriod is the time without refusals after which an overload ends.
const overloadQuietPeriod = 5 * time.Second

// observe takes the total number of refusals. It returns the kind and text of an
// event for the time line if an overload has started or ended, else "".
func (o *overload) observe(now time.Duration, refused int64) (kind, text string) {
	before := o.refusals
	grown := refused > before
	o.refusals = refused
	switch {
	case grown && o.startedAt == 0:
		o.startedAt, o.lastRefusalAt, o.refusalsBefore = now, now, before
		return "overload-begun", "requests are refused for want of room"
	case grown:
		o.lastRefusalAt = now
	case o.startedAt != 0 && now-o.lastRefusalAt >= overloadQuietPeriod:
		text = fmt.Sprintf("%d requests were refused in %s", refused-o.refusalsBefore, (o.lastRefusalAt - o.startedAt).Round(time.Millisecond))
		o.startedAt = 0
		return "overload-ended", text
	}
	return "", ""
}
