// Package admission decides whether a request is queued for a member or rejected. A request
// that is expected to be answered in time is admitted and stays queued until it runs. Any other
// request is rejected immediately with a retry delay. Package relay uses it, both for the
// members that an instance is connected to (Controller) and for the carriers that it forwards to
// (WaitForecast).
//
// The package has no I/O, clock or goroutine. Its inputs may come from peers or from averages
// of few samples. An implausible input counts as unknown, and no request is rejected because
// of an unknown value.
package admission

import "time"

// Backlog describes the load of one member that a request meets.
type Backlog struct {
	Ahead        int           // queued requests that will be granted a slot before it
	Work         time.Duration // sum of their expected durations at an idle member; 0: unknown
	Active       int           // running requests
	Slots        int           // requests that may run at once
	MeanDuration time.Duration // mean duration of a running request; 0: unknown
	// Slowdown is how many times longer than at an idle member a request takes now, because
	// others run beside it or queue at the member; 0: unknown.
	Slowdown float64
	Paused   time.Duration // for how long no request of its priority is granted a slot
}

// Request holds the properties of a request that a decision depends on.
type Request struct {
	ID              string
	TypicalDuration time.Duration // typical duration at an idle member; 0: unknown
	Objective       time.Duration // remaining time until its latency objective
	Deadline        time.Duration // remaining time until its deadline
}

// Reason is the reason for a rejection.
type Reason int

// The reasons for a rejection.
const (
	None              Reason = iota // the request was admitted
	Late                            // it would miss its latency objective
	NoPrimary                       // the group is expected to have no primary for longer than the request can wait
	Unreachable                     // its member is expected to be unreachable for longer than the request can wait
	AllCarriersReject               // every carrier is known to reject it
)

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	switch r {
	case Late:
		return "late"
	case NoPrimary:
		return "no_primary"
	case Unreachable:
		return "unreachable"
	case AllCarriersReject:
		return "carriers"
	}
	return "none"
}

// Verdict is the result of an admission decision.
type Verdict struct {
	Admit      bool
	Predicted  time.Duration // wait computed from the backlog; 0: the request runs at once, or the wait is unknown
	Wait       time.Duration // the same, corrected by the waits of earlier requests; the decision uses it
	RetryAfter time.Duration // for a rejection: delay after which a retry is expected to succeed
	Reason     Reason
}

// Limits of plausible values.
const (
	// maxWait is the longest wait that is reported.
	maxWait = 10 * time.Second
	// minRetryAfter is the shortest retry delay. A rejection and a new attempt take some
	// milliseconds themselves.
	minRetryAfter = 20 * time.Millisecond
	maxAhead      = 1 << 16
	maxSlowdown   = 64
)

// PredictWait predicts how long a request waits for a slot, and returns false when the wait is
// unknown.
//
// A member at which each request takes several times its usual duration is shared by all of
// them. The queue therefore drains at the rate of its slots divided by the slowdown, no matter
// whose requests cause the slowdown.
func (b Backlog) PredictWait() (time.Duration, bool) {
	paused := min(bounded(b.Paused), maxWait)
	if b.Ahead <= 0 && b.Active < b.Slots {
		return paused, true
	}
	ahead, slots, meanDuration := min(max(b.Ahead, 0), maxAhead), max(b.Slots, 1), bounded(b.MeanDuration)
	work := bounded(b.Work)
	slowdown := b.Slowdown
	switch {
	case slowdown > 0 && (work > 0 || ahead == 0):
		slowdown = min(max(slowdown, 1), maxSlowdown)
	case meanDuration > 0:
		work, slowdown = time.Duration(ahead)*meanDuration, 1
	default:
		return 0, false
	}
	wait := time.Duration(float64(work) * slowdown / float64(slots))
	if b.Active >= b.Slots {
		wait += meanDuration / time.Duration(slots) // time until the next running request ends
	}
	return min(wait+paused, maxWait), true
}

// bounded limits a duration to the plausible range, from 0 to one hour.
func bounded(d time.Duration) time.Duration { return min(max(d, 0), time.Hour) }

// RetryAfter returns the delay after which a request that was rejected because of a wait should
// be retried. The delay is at least the wait, plus a part that depends on the request's ID, so
// that requests rejected together are not retried together. lasted is for how long requests
// have been rejected for the same reason: an overload is expected to last as long again, and
// retries before its end only take capacity from other requests. The delay does not extend
// beyond the deadline, unless the wait itself does.
func RetryAfter(r Request, wait, lasted time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxWait)
	interval := min(max(2*lasted, wait), max(wait, r.Deadline-wait), maxWait)
	return wait + time.Duration(float64(interval)*jitter(r.ID))
}

// jitter returns a number in [0, 1) that depends only on the request's ID.
func jitter(id string) float64 {
	const offset, prime = 14695981039346656037, 1099511628211 // FNV-1a
	h := uint64(offset)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * prime
	}
	h ^= h >> 33 // mixes the last bytes into the upper bits
	h *= 0xff51afd7ed558ccd
	return float64(h>>11) / (1 << 53)
}
