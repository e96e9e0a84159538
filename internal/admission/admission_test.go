package admission

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const ms = time.Millisecond

// predicting is the gate of this package.
type predicting map[int]*Level

func (p predicting) level(v *visit) *Level {
	if p[v.kind.priority] == nil {
		p[v.kind.priority] = &Level{}
	}
	return p[v.kind.priority]
}

func (p predicting) decide(now time.Duration, v *visit, b Backlog) (bool, time.Duration) {
	r := Request{ID: v.id, Usual: v.kind.work, Objective: v.kind.objective, Deadline: v.kind.patience / 2}
	verdict := p.level(v).Decide(now, r, b)
	if verdict.Admit {
		p.level(v).Began(now)
	}
	return verdict.Admit, verdict.ComeBack
}

func (p predicting) ran(now time.Duration, v *visit, waited time.Duration) {
	p.level(v).Ended(now, waited, v.predicted, true)
}

func (p predicting) hold(v *visit) time.Duration { return v.kind.patience }

func TestDecisions(t *testing.T) {
	urgent := Request{ID: "x", Usual: 10 * ms, Objective: 200 * ms, Deadline: 2 * time.Second}
	full := Backlog{Active: 6, Slots: 6, Held: 20 * ms, Slowdown: 2}
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
		"nothing waits":                                   {urgent, Backlog{Active: 3, Slots: 6, Held: 20 * ms}, true},
		"nothing usual is known, after a start":           {urgent, Backlog{Ahead: 500, Active: 6, Slots: 6}, true},
		"a primary with some work":                        {urgent, behind(20), true},
		"a primary with twice what it can run":            {urgent, behind(100), false},
		"the same, known by the time of those that run":   {urgent, Backlog{Ahead: 100, Active: 6, Slots: 6, Held: 20 * ms}, false},
		"a member that has stopped answering":             {urgent, Backlog{Ahead: 10, Work: 100 * ms, Active: 6, Slots: 6, Held: 400 * ms, Slowdown: 40}, false},
		"a member that has stopped answering, still free": {urgent, Backlog{Active: 5, Slots: 6, Held: 400 * ms, Slowdown: 40}, true},
		"its objective has passed, and nothing waits":     {Request{ID: "x", Objective: -ms}, Backlog{Slots: 6}, true},
		"its objective has passed, and others wait":       {Request{ID: "x", Objective: -ms}, behind(1), false},
	} {
		v := (&Level{}).Decide(0, c.r, c.b)
		must.Eq(t, c.admit, v.Admit, must.Sprint(name))
		must.Eq(t, c.admit, v.Reason == None, must.Sprint(name))
	}
}

// Input of peers and of broken measurements neither panics nor yields a time out of bounds.
func TestBadInput(t *testing.T) {
	durations := []time.Duration{math.MinInt64, -1, 0, 1, time.Hour, math.MaxInt64}
	counts := []int{math.MinInt, -1, 0, 1, math.MaxInt}
	factors := []float64{math.NaN(), math.Inf(-1), -1, 0, 1, math.Inf(1)}
	for _, d := range durations {
		for _, n := range counts {
			for _, f := range factors {
				r := Request{Usual: d, Objective: d, Deadline: d}
				l := &Level{moved: d, waiting: n}
				l.Ended(d, d, -d, true)
				v := l.Decide(d, r, Backlog{Ahead: n, Work: d, Active: n, Slots: -n, Held: d, Slowdown: f})
				must.Between(t, 0, v.Wait, maxWait)
				must.Between(t, 0, v.ComeBack, 2*maxWait)
				must.Between(t, minComeBack, ComeBack(r, d, d), 2*maxWait)
				var c Correction
				c.Waited(d, d)
				must.Between(t, minCorrection, c.Factor(), maxCorrection)
				var o Outages
				o.Ended(d, n > 0)
				must.Between(t, 0, o.Left(d, n > 0), maxWait)
				must.Between(t, 0, (&Overload{since: d, last: d, refusing: n > 0}).Refused(0), time.Hour)
			}
		}
	}
}

// Those refused together come back over a span, each at its own time, always the same.
func TestReturnsAreSpread(t *testing.T) {
	seen := make([]int, 10)
	for i := range 1000 {
		r := Request{ID: string(rune('a'+i%26)) + time.Duration(i).String(), Deadline: time.Second}
		back := ComeBack(r, 100*ms, 0)
		must.Eq(t, back, ComeBack(r, 100*ms, 0))
		seen[(back-100*ms)/(10*ms)]++
	}
	for _, n := range seen {
		must.Between(t, 60, n, 140)
	}
}

// A burst of reads for a second, above a load that is borne: those told to come back are
// told no less than what waits then needs, and nearly all find room when they do.
func TestPromisesHoldAfterABurst(t *testing.T) {
	m := simulate(6, predicting{},
		load{name: "edit", priority: 0, work: 10 * ms, objective: 200 * ms, patience: 2 * time.Second, every: 10 * ms, to: 6 * time.Second},
		load{name: "read", priority: 1, work: 30 * ms, objective: 400 * ms, patience: 4 * time.Second, every: 10 * ms, to: 6 * time.Second},
		load{name: "burst", priority: 1, work: 30 * ms, objective: 400 * ms, patience: 4 * time.Second, every: 4 * ms, from: time.Second, to: 1300 * ms},
	)
	must.Zero(t, m.early)
	for name, c := range m.tallies {
		t.Logf("%s: %+v", name, *c)
	}
}

// A primary with twice what it can run, for long: what is admitted is answered in time, and what ranks
// highest is not refused while it could all be run.
func TestOverloadOfAPrimary(t *testing.T) {
	m := simulate(6, predicting{}, overloaded()...)
	must.Zero(t, m.early)
	for name, c := range m.tallies {
		t.Logf("%s: %+v", name, *c)
	}
}
