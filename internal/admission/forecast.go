package admission

import (
	"slices"
	"time"
)

// Limits and intervals for the use of forecasts.
const (
	// minWaitAdvantage is by how much the wait at a carrier must exceed the wait at another for the
	// order from placement to change. Connections belong to accounts, and opening one at another
	// carrier costs the member about as much as a short statement.
	minWaitAdvantage = 20 * time.Millisecond
	// probeInterval is the time between requests that are forwarded although all carriers are known
	// to reject them, to notice when this has changed.
	probeInterval = 100 * time.Millisecond
	// maxForecasts limits the number of forecasts; only a fault would cause more.
	maxForecasts = 8192
	// maxPriorities limits the number of priorities in a carrier's forecast.
	maxPriorities = 16
)

// Target classifies requests by the members that can run them. Each class queues separately.
type Target int

// The classes.
const (
	PrimaryOnly    Target = iota // only the primary can run the request
	ReplicaAllowed               // a replica may run the request
	NumTargets                   // number of classes
)

// forecastKey identifies the forecast of a carrier for a group.
type forecastKey struct{ carrier, group string }

// forecast is a carrier's forecast of the waits for one group.
type forecast struct {
	at    time.Duration
	waits [NumTargets][]time.Duration // by priority; empty: no wait
}

// WaitForecast holds an ingress instance's forecasts of how long requests queue at the carriers of
// each group. Carriers send forecasts with their replies. A forecast wait decreases with the
// forecast's age. The zero value has no forecasts. It is not safe for concurrent use.
type WaitForecast struct {
	forecasts  map[forecastKey]forecast
	lastProbes map[probeKey]time.Duration // when a request was last forwarded as a probe
}

type probeKey struct {
	group  string
	target Target
}

// Update stores a carrier's forecast for a group, as waits in microseconds by priority. An
// implausible forecast counts as no wait.
func (w *WaitForecast) Update(now time.Duration, carrier, group string, primary, replica []uint32) {
	key := forecastKey{carrier, group}
	if len(primary) == 0 && len(replica) == 0 || len(primary) > maxPriorities || len(replica) > maxPriorities {
		delete(w.forecasts, key)
		return
	}
	f := forecast{at: now, waits: [NumTargets][]time.Duration{PrimaryOnly: decodeWaits(primary), ReplicaAllowed: decodeWaits(replica)}}
	if w.forecasts == nil || len(w.forecasts) >= maxForecasts {
		w.forecasts = make(map[forecastKey]forecast)
	}
	w.forecasts[key] = f
}

// decodeWaits converts waits from microseconds. It returns nil if one is implausibly long.
func decodeWaits(waits []uint32) []time.Duration {
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

// Forget deletes the forecasts of a carrier that did not answer.
func (w *WaitForecast) Forget(carrier string) {
	for key := range w.forecasts {
		if key.carrier == carrier {
			delete(w.forecasts, key)
		}
	}
}

// wait returns how long a request would wait at a carrier now, and the age of the forecast. Both
// are 0 without a forecast.
func (w *WaitForecast) wait(now time.Duration, carrier string, q Query) (wait, age time.Duration) {
	f, ok := w.forecasts[forecastKey{carrier, q.Group}]
	if !ok || now < f.at || q.Target < 0 || q.Target >= NumTargets {
		return 0, 0
	}
	age = now - f.at
	return max(0, q.waitFor(f.waits[q.Target])-age), age
}

// Query is a request that is to be forwarded to a carrier.
type Query struct {
	Group    string
	Target   Target
	Priority int
	Request
}

// waitFor returns the wait for the request's priority.
func (q Query) waitFor(waits []time.Duration) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	return waits[min(max(q.Priority, 0), len(waits)-1)]
}

// WouldBeRejected reports whether a carrier with these forecast waits would reject the request.
func (q Query) WouldBeRejected(primary, replica []uint32) bool {
	waits := primary
	if q.Target == ReplicaAllowed {
		waits = replica
	}
	return q.waitFor(decodeWaits(waits)) > max(0, q.Objective)
}

// Carrier is an instance that may run a request. Carriers of equal Rank are equally preferred by
// placement.
type Carrier struct {
	Name string
	Rank int
}

// maxChoice is the maximum number of carriers that are compared and tried.
const maxChoice = 8

// Choice is the order in which to try carriers.
type Choice struct {
	order     [maxChoice]int
	Len       int // number of carriers to try
	Admitting int // number of carriers that are not known to reject the request
	// Verdict rejects the request when all carriers are known to reject it.
	Verdict Verdict
	Age     time.Duration // age of the forecast that a rejection is based on
}

// At returns the index of the carrier to try as the i-th, counted from 0. Carriers that are known
// to reject the request come last.
func (c *Choice) At(i int) int { return c.order[i] }

// Choose returns the order in which to try the carriers, given in the order from placement. Without
// forecasts it keeps that order.
func (w *WaitForecast) Choose(now time.Duration, q Query, carriers []Carrier) Choice {
	carriers = carriers[:min(len(carriers), maxChoice)]
	c := Choice{Len: len(carriers), Verdict: Verdict{Admit: true}}
	var waits, ages [maxChoice]time.Duration
	for i, carrier := range carriers {
		waits[i], ages[i] = w.wait(now, carrier.Name, q)
		if waits[i] <= max(0, q.Objective) {
			c.order[c.Admitting] = i
			c.Admitting++
		}
	}
	w.preferShorter(carriers, waits[:], c.order[:c.Admitting])
	shortest, next := -1, c.Admitting
	for i := range carriers {
		if waits[i] <= max(0, q.Objective) {
			continue
		}
		c.order[next] = i
		next++
		if shortest < 0 || waits[i] < waits[shortest] {
			shortest = i
		}
	}
	if c.Admitting == 0 && shortest >= 0 && !w.probe(now, q) {
		c.Verdict = Verdict{Wait: waits[shortest], Reason: AllCarriersReject, RetryAfter: RetryAfter(q.Request, waits[shortest], 0)}
		c.Age = ages[shortest]
	}
	return c
}

// preferShorter swaps the first two carriers if placement prefers them equally and the second
// one's wait is clearly shorter.
func (w *WaitForecast) preferShorter(carriers []Carrier, waits []time.Duration, order []int) {
	if len(order) < 2 || carriers[order[0]].Rank != carriers[order[1]].Rank {
		return
	}
	if waits[order[0]] > waits[order[1]]+minWaitAdvantage {
		order[0], order[1] = order[1], order[0]
	}
}

// probe reports whether a request is forwarded as a probe although all carriers are known to reject
// it.
func (w *WaitForecast) probe(now time.Duration, q Query) bool {
	key := probeKey{q.Group, q.Target}
	if last, ok := w.lastProbes[key]; ok && now >= last && now-last < probeInterval {
		return false
	}
	if w.lastProbes == nil || len(w.lastProbes) >= maxForecasts {
		w.lastProbes = make(map[probeKey]time.Duration)
	}
	w.lastProbes[key] = now
	return true
}

// EncodeWaits encodes waits by priority for a reply: in microseconds, without trailing repetitions,
// and nil when nobody waits.
func EncodeWaits(waits []time.Duration) []uint32 {
	for len(waits) > 1 && waits[len(waits)-1] == waits[len(waits)-2] {
		waits = waits[:len(waits)-1]
	}
	if len(waits) == 0 || slices.Max(waits) <= 0 {
		return nil
	}
	encoded := make([]uint32, len(waits))
	for i, wait := range waits {
		encoded[i] = uint32(min(max(wait, 0), maxWait) / time.Microsecond)
	}
	return encoded
}
