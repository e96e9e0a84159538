package admission

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const ms = time.Millisecond

// predicting is the admission policy of this package, with a controller per priority.
type predicting map[int]*Controller

func (p predicting) level(v *attempt) *Controller {
	if p[v.kind.priority] == nil {
		p[v.kind.priority] = &Controller{}
	}
	return p[v.kind.priority]
}

func (p predicting) decide(now time.Duration, v *attempt, b Backlog) (bool, time.Duration) {
	r := Request{ID: v.id, TypicalDuration: v.kind.work, Objective: v.kind.objective, Deadline: v.kind.patience / 2}
	verdict := p.level(v).Decide(now, r, b)
	if verdict.Admit {
		p.level(v).Enqueued(now)
	}
	return verdict.Admit, verdict.RetryAfter
}

func (p predicting) onGrant(now time.Duration, v *attempt, waited time.Duration) {
	p.level(v).Dequeued(now, true)
	p.level(v).ObserveWait(waited, v.predicted)
}

func (p predicting) maxQueueTime(v *attempt) time.Duration { return v.kind.patience }

func TestDecisions(t *testing.T) {
	urgent := Request{ID: "x", TypicalDuration: 10 * ms, Objective: 200 * ms, Deadline: 2 * time.Second}
	full := Backlog{Active: 6, Slots: 6, MeanDuration: 20 * ms, Slowdown: 2}
	behind := func(n int) Backlog {
		b := full
		b.Ahead, b.Work = n, time.Duration(n)*10*ms
		return b
	}
	for name, c := range map[string]struct {
		r     Request
		b     Backlog
		admit bool
	}{
		"a free slot":                                       {urgent, Backlog{Active: 3, Slots: 6, MeanDuration: 20 * ms}, true},
		"no known durations after a start":                  {urgent, Backlog{Ahead: 500, Active: 6, Slots: 6}, true},
		"a primary with a short queue":                      {urgent, behind(20), true},
		"an overloaded primary":                             {urgent, behind(100), false},
		"an overloaded primary, known by the mean duration": {urgent, Backlog{Ahead: 100, Active: 6, Slots: 6, MeanDuration: 20 * ms}, false},
		"a member that stopped answering":                   {urgent, Backlog{Ahead: 10, Work: 100 * ms, Active: 6, Slots: 6, MeanDuration: 400 * ms, Slowdown: 40}, false},
		"a member that stopped answering, with a free slot": {urgent, Backlog{Active: 5, Slots: 6, MeanDuration: 400 * ms, Slowdown: 40}, true},
		"objective missed, empty queue":                     {Request{ID: "x", Objective: -ms}, Backlog{Slots: 6}, true},
		"objective missed, others queued":                   {Request{ID: "x", Objective: -ms}, behind(1), false},
	} {
		v := (&Controller{}).Decide(0, c.r, c.b)
		must.Eq(t, c.admit, v.Admit, must.Sprint(name))
		must.Eq(t, c.admit, v.Reason == None, must.Sprint(name))
	}
}

// Implausible input from peers or averages neither panics nor yields a duration out of bounds.
func TestImplausibleInputStaysInBounds(t *testing.T) {
	durations := []time.Duration{math.MinInt64, -1, 0, 1, time.Hour, math.MaxInt64}
	counts := []int{math.MinInt, -1, 0, 1, math.MaxInt}
	factors := []float64{math.NaN(), math.Inf(-1), -1, 0, 1, math.Inf(1)}
	for _, d := range durations {
		for _, n := range counts {
			for _, f := range factors {
				r := Request{TypicalDuration: d, Objective: d, Deadline: d}
				l := &Controller{lastProgress: d, queued: n}
				l.Dequeued(d, true)
				l.ObserveWait(d, -d)
				v := l.Decide(d, r, Backlog{Ahead: n, Work: d, Active: n, Slots: -n, MeanDuration: d, Slowdown: f})
				must.Between(t, 0, v.Wait, maxWait)
				must.Between(t, 0, v.RetryAfter, 2*maxWait)
				must.Between(t, minRetryAfter, RetryAfter(r, d, d), 2*maxWait)
				var c Correction
				c.ObserveWait(d, d)
				must.Between(t, minCorrection, c.Factor(), maxCorrection)
				var o Outages
				o.Ended(d, n > 0)
				must.Between(t, 0, o.Remaining(d, n > 0), maxWait)
				must.Between(t, 0, (&Overload{since: d, last: d, active: n > 0}).RecordRejection(0), time.Hour)
			}
		}
	}
}

// Requests that are rejected together get different retry delays, spread evenly over an interval.
// Each request always gets the same delay.
func TestRetryDelaysAreSpread(t *testing.T) {
	seen := make([]int, 10)
	for i := range 1000 {
		r := Request{ID: string(rune('a'+i%26)) + time.Duration(i).String(), Deadline: time.Second}
		delay := RetryAfter(r, 100*ms, 0)
		must.Eq(t, delay, RetryAfter(r, 100*ms, 0))
		seen[(delay-100*ms)/(10*ms)]++
	}
	for _, n := range seen {
		must.Between(t, 60, n, 140)
	}
}

// A burst of reads for half a second on top of a sustainable load. No retry delay is shorter than
// the queue needs to drain, and nearly all retries are admitted. A burst of a second outlasts
// the first retry delays, and half of those retries arrive before its end.
func TestRetriesAreAdmittedAfterBurst(t *testing.T) {
	burst := func(lasts time.Duration) (retried, retriesAdmitted int) {
		m := simulate(6, predicting{},
			load{name: "edit", priority: 0, work: 10 * ms, objective: 200 * ms, patience: 2 * time.Second, every: 10 * ms, to: 6 * time.Second},
			load{name: "read", priority: 1, work: 30 * ms, objective: 400 * ms, patience: 4 * time.Second, every: 10 * ms, to: 6 * time.Second},
			load{name: "burst", priority: 1, work: 30 * ms, objective: 400 * ms, patience: 4 * time.Second, every: 4 * ms, from: time.Second, to: time.Second + lasts},
		)
		must.Zero(t, m.earlyRetries)
		must.Eq(t, m.tallies["edit"].callers, m.tallies["edit"].inTime)
		for name, c := range m.tallies {
			t.Logf("%s of %s: %+v", name, lasts, *c)
			retried, retriesAdmitted = retried+c.retried, retriesAdmitted+c.retriesAdmitted
		}
		return retried, retriesAdmitted
	}
	retried, retriesAdmitted := burst(500 * ms)
	must.Positive(t, retried)
	must.GreaterEq(t, retried*95/100, retriesAdmitted)
	retried, retriesAdmitted = burst(time.Second)
	must.GreaterEq(t, retried/2, retriesAdmitted)
}

// A primary gets twice the load that it can run for a long time. Admitted requests are answered in
// time, and requests of the highest priority, which fit by themselves, are never rejected.
func TestOverloadedPrimary(t *testing.T) {
	m := simulate(6, predicting{}, overloaded()...)
	must.Zero(t, m.earlyRetries)
	edits, reads := m.tallies["edit"], m.tallies["read"]
	must.Eq(t, edits.callers, edits.inTime)
	must.LessEq(t, (reads.inTime+reads.late)/20, reads.lateAdmitted)
}

// A member stops answering while requests are queued, or requests of higher priority take all its
// slots. No request of the priority is granted a slot, so the wait is at least the time since the
// last grant.
func TestWaitGrowsWithoutGrants(t *testing.T) {
	var l Controller
	r := Request{ID: "x", TypicalDuration: 10 * ms, Objective: 200 * ms, Deadline: time.Second}
	stuck := Backlog{Ahead: 1, Work: 10 * ms, Active: 6, Slots: 6, MeanDuration: 20 * ms, Slowdown: 1}
	l.Enqueued(time.Second)
	must.True(t, l.Decide(time.Second+100*ms, r, stuck).Admit)
	must.False(t, l.Overloaded(time.Second+100*ms))
	v := l.Decide(time.Second+300*ms, r, stuck)
	must.False(t, v.Admit)
	must.Eq(t, 300*ms, v.Wait)
	must.True(t, l.Overloaded(time.Second+300*ms+overloadGap))
	must.False(t, l.Overloaded(time.Second+301*ms+overloadGap))
	must.False(t, l.Decide(time.Second+300*ms, r, Backlog{Ahead: 1, Active: 6, Slots: 6}).Admit, must.Sprint("also rejected while durations are unknown"))
	l.Dequeued(time.Second+300*ms, true)
	must.True(t, l.Decide(time.Second+310*ms, r, stuck).Admit, must.Sprint("a request was granted a slot"))
}

// A group has no primary. The remaining time is predicted from the duration of earlier outages. An
// outage that lasts longer than usual is predicted to go on.
func TestOutagePrediction(t *testing.T) {
	for name, c := range map[string]struct {
		seen   time.Duration // duration of an earlier outage; 0: there was none
		lost   time.Duration
		change bool
		want   time.Duration
	}{
		"change just started":            {0, 0, true, defaultChange},
		"change about to end":            {0, defaultChange - 50*ms, true, 50 * ms},
		"earlier change took longer":     {4 * time.Second, time.Second, true, 3 * time.Second},
		"change longer than usual":       {time.Second, 2 * time.Second, true, 4 * time.Second},
		"grant lapsed":                   {0, 0, false, defaultLapse},
		"grant lapsed longer than usual": {0, time.Second, false, 2 * time.Second},
	} {
		var o Outages
		if c.seen > 0 {
			o.Ended(c.seen, c.change)
		}
		must.Eq(t, c.want, o.Remaining(c.lost, c.change), must.Sprint(name))
	}
	r := Request{ID: "x", TypicalDuration: 10 * ms, Objective: 200 * ms, Deadline: 10 * time.Second}
	must.True(t, DecideOutage(r, 190*ms, NoPrimary).Admit)
	v := DecideOutage(r, 8*time.Second, NoPrimary)
	must.False(t, v.Admit)
	must.Eq(t, NoPrimary, v.Reason)
	must.Between(t, defaultChange, v.RetryAfter, 2*defaultChange)
}
