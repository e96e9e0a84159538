package owner

import (
	"fmt"
	"time"
)

// overload notices when requests begin and cease to be refused for want of room.
type overload struct {
	begun   time.Duration // 0: there is none
	last    time.Duration // when the last refusal was noticed
	counted int64         // refusals seen so far
	atBegin int64         // refusals before it began
}

// overloadEnds is how long nothing must have been refused.
const overloadEnds = 5 * time.Second

// step takes the number of refusals so far. It returns the kind and text of an
// event for the time line when an overload has begun or ended.
func (o *overload) step(now time.Duration, refused int64) (kind, text string) {
	before := o.counted
	grown := refused > before
	o.counted = refused
	switch {
	case grown && o.begun == 0:
		o.begun, o.last, o.atBegin = now, now, before
		return "overload-begun", "requests are refused for want of room"
	case grown:
		o.last = now
	case o.begun != 0 && now-o.last >= overloadEnds:
		text = fmt.Sprintf("%d requests were refused in %s", refused-o.atBegin, (o.last - o.begun).Round(time.Millisecond))
		o.begun = 0
		return "overload-ended", text
	}
	return "", ""
}
