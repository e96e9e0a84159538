// Package admission decides whether a request that would have to wait for a member is
// worth its place in the queue. One that would be answered in time is admitted, and held
// until it has run; one that would not is refused at once, with the time after which
// coming back is worth it (ComeBack).
//
// The package has no I/O, clock or goroutine. All times that it is given may come from
// peers or from measurements that have just begun: what makes no sense counts as not known,
// and nothing is refused for what is not known.
package admission

import "time"

// Backlog is what comes before a request at one member.
type Backlog struct {
	Ahead  int           // requests that wait and will be granted before it
	Work   time.Duration // their expected time at an idle member, together; 0: not known
	Active int           // requests that run
	Slots  int           // requests that may run at once
	Held   time.Duration // mean time for which a request runs; 0: not known
	// Slowdown is how many times its usual time a request takes at the member now,
	// since others run beside it or wait there; 0: not known.
	Slowdown float64
	Paused   time.Duration // for which nothing of its priority is granted
}

// Request is what a decision needs to know of a request.
type Request struct {
	ID        string
	Usual     time.Duration // its time at an idle member; 0: not known
	Objective time.Duration // time left until an answer is late
	Deadline  time.Duration // time left until an answer is worth nothing
}

// Reason says why a request was refused.
type Reason int

// The reasons.
const (
	None        Reason = iota // it was admitted
	Late                      // it would not be answered by its objective
	Change                    // there is no primary for longer than it can wait
	Unreachable               // its member cannot be reached for longer than it can wait
	AllRefuse                 // every carrier would refuse it
)

// String returns the reason's name in logs and metrics.
func (r Reason) String() string {
	switch r {
	case Late:
		return "late"
	case Change:
		return "no_primary"
	case Unreachable:
		return "unreachable"
	case AllRefuse:
		return "carriers"
	}
	return "none"
}

// Verdict is a decision.
type Verdict struct {
	Admit     bool
	Predicted time.Duration // until it runs, by the backlog alone; 0: it runs at once, or nothing is known
	Wait      time.Duration // the same, by what requests like it have waited; refusals go by this
	ComeBack  time.Duration // when it is refused: after what time there should be room
	Reason    Reason
}

// Bounds of what is believed.
const (
	// maxWait is the longest wait that is told.
	maxWait = 10 * time.Second
	// minComeBack is the shortest time after which anybody is told to come back: a
	// refusal and a new attempt take some milliseconds themselves.
	minComeBack = 20 * time.Millisecond
	maxAhead    = 1 << 16
	maxSlowdown = 64
)

// Wait predicts how long a request waits until it runs, and reports whether anything is
// known.
//
// A member on which each request takes several times its usual time works on all of them
// at a fraction of the speed. So what waits is drained at the speed of the slots divided
// by that factor, whoever else the member works for.
func (b Backlog) Wait() (time.Duration, bool) {
	paused := min(bounded(b.Paused), maxWait)
	if b.Ahead <= 0 && b.Active < b.Slots {
		return paused, true
	}
	ahead, slots, held := min(max(b.Ahead, 0), maxAhead), max(b.Slots, 1), bounded(b.Held)
	work := bounded(b.Work)
	slowdown := b.Slowdown
	switch {
	case slowdown > 0 && (work > 0 || ahead == 0):
		slowdown = min(max(slowdown, 1), maxSlowdown)
	case held > 0:
		work, slowdown = time.Duration(ahead)*held, 1
	default:
		return 0, false
	}
	wait := time.Duration(float64(work) * slowdown / float64(slots))
	if b.Active >= b.Slots {
		wait += held / time.Duration(slots) // until the next one that runs has ended
	}
	return min(wait+paused, maxWait), true
}

// bounded returns a duration within what is believed, 0 for one that makes no sense.
func bounded(d time.Duration) time.Duration { return min(max(d, 0), time.Hour) }

// ComeBack returns after what time a request that was refused because of a wait should come
// back: not before what made it wait is over, and spread so that those refused together
// do not return together. lasted is for how long others have been refused for the same
// reason: an overload is expected to last as long again, and those who return into it
// only take the room of others. Nobody is sent away for longer than the deadline allows,
// but for the wait itself.
func ComeBack(r Request, wait, lasted time.Duration) time.Duration {
	wait = min(max(wait, minComeBack), maxWait)
	span := min(max(2*lasted, wait), max(wait, r.Deadline-wait), maxWait)
	return wait + time.Duration(float64(span)*spread(r.ID))
}

// spread returns a number in [0, 1) that depends on the request alone.
func spread(id string) float64 {
	const offset, prime = 14695981039346656037, 1099511628211 // FNV-1a
	h := uint64(offset)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * prime
	}
	h ^= h >> 33 // the last bytes reach the upper bits
	h *= 0xff51afd7ed558ccd
	return float64(h>>11) / (1 << 53)
}
