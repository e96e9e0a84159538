package admission

import (
	"slices"
	"time"
)

// Settings of what is believed of carriers.
const (
	// clearlyLonger is by how much the wait at a carrier must exceed that at another for
	// the order of placement to be left: connections belong to accounts, and opening one
	// at another carrier costs the member about as much as a short statement.
	clearlyLonger = 20 * time.Millisecond
	// trialPause is the time between two requests that are let through although all carriers
	// are known to refuse them, so that it is noticed when they do not any more.
	trialPause = 100 * time.Millisecond
	// maxOutlooks bounds what is kept; more would come from a fault.
	maxOutlooks = 8192
	// maxTold bounds how many priorities one carrier tells of.
	maxTold = 16
)

// Work is what requests need that wait for different things.
type Work int

// The kinds of work.
const (
	OnPrimary Work = iota // only the primary can run it
	OnReplica             // a replica may serve it
	Works                 // how many there are
)

// outlookKey names what a carrier tells.
type outlookKey struct{ carrier, group string }

// told is what a carrier has told of one group.
type told struct {
	at    time.Duration
	waits [Works][]time.Duration // by priority; empty: there is no wait
}

// Outlook is what an entry knows of how long requests wait at the carriers of groups. It is
// learned from replies, and lapses: a wait that was told some time ago is that much
// shorter now. The zero Outlook knows nothing. It is not safe for concurrent use.
type Outlook struct {
	known  map[outlookKey]told
	trials map[trialKey]time.Duration // when a request was let through last
}

type trialKey struct {
	group string
	work  Work
}

// Told takes in what a carrier tells of a group, in microseconds by priority. What makes no
// sense is taken for nothing at all.
func (o *Outlook) Told(now time.Duration, carrier, group string, primary, replica []uint32) {
	key := outlookKey{carrier, group}
	if len(primary) == 0 && len(replica) == 0 || len(primary) > maxTold || len(replica) > maxTold {
		delete(o.known, key)
		return
	}
	t := told{at: now, waits: [Works][]time.Duration{OnPrimary: believed(primary), OnReplica: believed(replica)}}
	if o.known == nil || len(o.known) >= maxOutlooks {
		o.known = make(map[outlookKey]told)
	}
	o.known[key] = t
}

// believed returns waits in microseconds as durations, nil where one is out of bounds.
func believed(waits []uint32) []time.Duration {
	var all []time.Duration
	for _, us := range waits {
		wait := time.Duration(us) * time.Microsecond
		if wait > maxWait {
			return nil
		}
		all = append(all, wait)
	}
	return all
}

// Lost forgets what a carrier told that has not answered.
func (o *Outlook) Lost(carrier string) {
	for key := range o.known {
		if key.carrier == carrier {
			delete(o.known, key)
		}
	}
}

// wait returns how long a request would wait at a carrier now, and how old that knowledge
// is. Without knowledge there is no wait.
func (o *Outlook) wait(now time.Duration, carrier string, q Query) (wait, age time.Duration) {
	t, ok := o.known[outlookKey{carrier, q.Group}]
	if !ok || now < t.at || q.Work < 0 || q.Work >= Works {
		return 0, 0
	}
	age = now - t.at
	return max(0, q.of(t.waits[q.Work])-age), age
}

// Query is a request that is to be passed on.
type Query struct {
	Group    string
	Work     Work
	Priority int
	Request
}

// of returns the wait of a request among those that are told by priority.
func (q Query) of(waits []time.Duration) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	return waits[min(max(q.Priority, 0), len(waits)-1)]
}

// WouldWait reports whether a carrier that tells such waits would refuse the request.
func (q Query) WouldWait(primary, replica []uint32) bool {
	told := primary
	if q.Work == OnReplica {
		told = replica
	}
	return q.of(believed(told)) > max(0, q.Objective)
}

// Carrier is an instance that may run a request. Those of equal Rank are alike to placement.
type Carrier struct {
	Name string
	Rank int
}

// maxChoice is how many carriers are compared; those beyond are not asked.
const maxChoice = 8

// Choice is the order in which carriers are to be asked.
type Choice struct {
	order [maxChoice]int
	Len   int // carriers to be asked
	Open  int // how many of them are not known to refuse
	// Verdict refuses the request when all of them would refuse it.
	Verdict Verdict
	Age     time.Duration // of the knowledge on which a refusal rests
}

// At returns the index of the carrier that is to be asked as the i-th, from 0 on. Those
// that would refuse come last.
func (c *Choice) At(i int) int { return c.order[i] }

// Choose returns the order in which carriers are asked, which are given as placement
// orders them. Where nothing is known that is the order of placement.
func (o *Outlook) Choose(now time.Duration, q Query, carriers []Carrier) Choice {
	carriers = carriers[:min(len(carriers), maxChoice)]
	c := Choice{Len: len(carriers), Verdict: Verdict{Admit: true}}
	var waits, ages [maxChoice]time.Duration
	for i, carrier := range carriers {
		waits[i], ages[i] = o.wait(now, carrier.Name, q)
		if waits[i] <= max(0, q.Objective) {
			c.order[c.Open] = i
			c.Open++
		}
	}
	o.preferShorter(carriers, waits[:], c.order[:c.Open])
	shortest, last := -1, c.Open
	for i := range carriers {
		if waits[i] <= max(0, q.Objective) {
			continue
		}
		c.order[last] = i
		last++
		if shortest < 0 || waits[i] < waits[shortest] {
			shortest = i
		}
	}
	if c.Open == 0 && shortest >= 0 && !o.tries(now, q) {
		c.Verdict = Verdict{Wait: waits[shortest], Reason: AllRefuse, ComeBack: ComeBack(q.Request, waits[shortest], 0)}
		c.Age = ages[shortest]
	}
	return c
}

// preferShorter exchanges the first two carriers when placement ranks them alike and the
// second one's wait is clearly shorter.
func (o *Outlook) preferShorter(carriers []Carrier, waits []time.Duration, order []int) {
	if len(order) < 2 || carriers[order[0]].Rank != carriers[order[1]].Rank {
		return
	}
	if waits[order[0]] > waits[order[1]]+clearlyLonger {
		order[0], order[1] = order[1], order[0]
	}
}

// tries reports whether a request is let through to learn whether all is as it was told.
func (o *Outlook) tries(now time.Duration, q Query) bool {
	key := trialKey{q.Group, q.Work}
	if last, ok := o.trials[key]; ok && now >= last && now-last < trialPause {
		return false
	}
	if o.trials == nil || len(o.trials) >= maxOutlooks {
		o.trials = make(map[trialKey]time.Duration)
	}
	o.trials[key] = now
	return true
}

// Shorten returns waits by priority as they are told: in microseconds, without the last
// ones that are the same, and nothing at all where nobody waits.
func Shorten(waits []time.Duration) []uint32 {
	for len(waits) > 1 && waits[len(waits)-1] == waits[len(waits)-2] {
		waits = waits[:len(waits)-1]
	}
	if len(waits) == 0 || slices.Max(waits) <= 0 {
		return nil
	}
	short := make([]uint32, len(waits))
	for i, wait := range waits {
		short[i] = uint32(min(max(wait, 0), maxWait) / time.Microsecond)
	}
	return short
}
