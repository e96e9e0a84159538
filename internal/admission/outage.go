package admission

import (
	"cmp"
	"time"
)

// Parameters for the prediction of outages, in which a group has no primary.
const (
	// defaultChange is the assumed duration of a change of primary until one has been observed:
	// running work ends, the other instances agree, and a member is promoted.
	defaultChange = time.Second
	// defaultLapse is the assumed duration of an outage without a known change of primary: the
	// next reply of the store, or of a majority of the instances, confirms the grant again.
	defaultLapse = 100 * time.Millisecond
	outageWindow = 4 // number of outages over which their duration is averaged
)

// Outages learns how long groups have no primary. The zero value has observed no outage. It is
// not safe for concurrent use.
type Outages struct {
	changeDuration, lapseDuration time.Duration // moving averages of durations; 0: none observed
}

// Ended records the duration of an outage that has ended.
func (o *Outages) Ended(lasted time.Duration, change bool) {
	lasted = min(max(lasted, 0), maxWait)
	average := &o.lapseDuration
	if change {
		average = &o.changeDuration
	}
	if *average == 0 {
		*average = lasted
		return
	}
	*average += (lasted - *average) / outageWindow
}

// Lapse returns the usual duration of an outage without a known change of primary.
func (o *Outages) Lapse() time.Duration {
	if o.lapseDuration > 0 {
		return o.lapseDuration
	}
	return defaultLapse
}

// Remaining predicts the remaining duration of an outage that has lasted for some time. One that has
// lasted longer than usual has an unusual cause: two thirds of these end within twice the time
// that they have lasted.
func (o *Outages) Remaining(lasted time.Duration, change bool) time.Duration {
	usual := o.Lapse()
	if change {
		usual = cmp.Or(o.changeDuration, defaultChange)
	}
	lasted = min(max(lasted, 0), maxWait)
	if lasted < usual {
		return usual - lasted
	}
	return remainingUnusual(lasted)
}

// remainingUnusual predicts the remaining duration of a condition of which only the duration so
// far is known.
func remainingUnusual(lasted time.Duration) time.Duration { return min(2*lasted, maxWait) }

// RemainingUnresponsive predicts for how much longer a member that has not answered for some
// time will not answer.
func RemainingUnresponsive(lasted time.Duration) time.Duration {
	return remainingUnusual(bounded(lasted))
}

// DecideOutage decides whether a request waits until the condition that keeps it from running
// ends, which is expected to take the remaining time.
func DecideOutage(r Request, remaining time.Duration, reason Reason) Verdict {
	v := Verdict{Admit: true, Wait: bounded(remaining)}
	if v.Wait+bounded(r.TypicalDuration) <= r.Objective {
		return v
	}
	v.Admit, v.Reason, v.RetryAfter = false, reason, RetryAfterOutage(r, remaining)
	return v
}

// RetryAfterOutage returns the retry delay for a request that was rejected because an unusual
// condition is expected to last for the remaining time. The real duration is unknown, and a
// change of primary may end the condition, so the expected wait counts for at most the
// duration of such a change.
func RetryAfterOutage(r Request, remaining time.Duration) time.Duration {
	return RetryAfter(r, min(remaining, defaultChange), 0)
}
