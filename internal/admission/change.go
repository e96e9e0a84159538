package admission

import (
	"cmp"
	"time"
)

// Settings of what is expected of a group without a primary.
const (
	// defaultChange is how long a change of primary takes while none was seen yet: the
	// open work ends, the other instances agree, and a member is promoted.
	defaultChange = time.Second
	// defaultLapse is the same where no change is known of: a grant is confirmed again by
	// the next answer of the store, or of most other instances.
	defaultLapse = 100 * time.Millisecond
	outageSpan   = 4 // outages over which the usual one is averaged
)

// Outages learns for how long groups are without a primary. The zero Outages knows nothing.
// It is not safe for concurrent use.
type Outages struct {
	change, lapse time.Duration // averages; 0: none was seen
}

// Ended takes in that a group has a primary again.
func (o *Outages) Ended(lasted time.Duration, change bool) {
	lasted = min(max(lasted, 0), maxWait)
	usual := &o.lapse
	if change {
		usual = &o.change
	}
	if *usual == 0 {
		*usual = lasted
		return
	}
	*usual += (lasted - *usual) / outageSpan
}

// Lapse returns how long a group usually has no primary while no change is known of.
func (o *Outages) Lapse() time.Duration {
	if o.lapse > 0 {
		return o.lapse
	}
	return defaultLapse
}

// Left predicts for how much longer a group that has had no primary for a time has none.
// One that has lasted longer than usual waits for something out of the ordinary: two in
// three of such end within twice the time that they have lasted.
func (o *Outages) Left(lost time.Duration, change bool) time.Duration {
	usual := o.Lapse()
	if change {
		usual = cmp.Or(o.change, defaultChange)
	}
	lost = min(max(lost, 0), maxWait)
	if lost < usual {
		return usual - lost
	}
	return unusual(lost)
}

// unusual returns for how much longer something is expected to last of which only is known
// for how long it has.
func unusual(lasted time.Duration) time.Duration { return min(2*lasted, maxWait) }

// Silence predicts for how much longer a member does not answer that has not for a time.
func Silence(lasted time.Duration) time.Duration { return unusual(bounded(lasted)) }

// DecideOutage says whether a request is held until what keeps it from any member has
// ended, which is expected to take some time.
func DecideOutage(r Request, left time.Duration, reason Reason) Verdict {
	v := Verdict{Admit: true, Wait: bounded(left)}
	if v.Wait+bounded(r.Usual) <= r.Objective {
		return v
	}
	v.Admit, v.Reason, v.ComeBack = false, reason, ComeBackAfter(r, left)
	return v
}

// ComeBackAfter returns after what time a request should come back that was refused since
// something out of the ordinary is expected to last for a time. How long that really lasts
// nobody knows, and a change of primary may end it: nobody is sent away for longer than
// such a change takes.
func ComeBackAfter(r Request, left time.Duration) time.Duration {
	return ComeBack(r, min(left, defaultChange), 0)
}
