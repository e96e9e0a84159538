package admission

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// us encodes waits as carriers report them.
func us(waits ...time.Duration) []uint32 { return EncodeWaits(waits) }

func TestChooseUsesForecasts(t *testing.T) {
	three := []Carrier{{Name: "own"}, {Name: "alike"}, {Name: "far", Rank: 1}}
	q := Query{Group: "g", Target: PrimaryOnly, Priority: 1, Request: Request{ID: "x", Objective: 200 * ms, Deadline: time.Second}}
	for name, c := range map[string]struct {
		tell  func(o *WaitForecast)
		at    time.Duration
		order []int
		open  int
	}{
		"no forecast": {func(*WaitForecast) {}, 0, []int{0, 1, 2}, 3},
		"the first carrier while its wait is not clearly longer": {func(o *WaitForecast) { o.Update(0, "own", "g", us(0, minWaitAdvantage), nil) }, 0, []int{0, 1, 2}, 3},
		"the shorter wait of two with equal rank":                {func(o *WaitForecast) { o.Update(0, "own", "g", us(0, 100*ms), nil) }, 0, []int{1, 0, 2}, 3},
		"no far carrier while a near one would admit": {func(o *WaitForecast) {
			o.Update(0, "own", "g", us(0, 100*ms), nil)
			o.Update(0, "alike", "g", us(0, 100*ms), nil)
		}, 0, []int{0, 1, 2}, 3},
		"the far carrier when the near ones would reject": {func(o *WaitForecast) {
			o.Update(0, "own", "g", us(300*ms), nil)
			o.Update(0, "alike", "g", us(300*ms), nil)
		}, 0, []int{2, 0, 1}, 1},
		"the forecast queue has drained since": {func(o *WaitForecast) { o.Update(0, "own", "g", us(300*ms), nil) }, 300 * ms, []int{0, 1, 2}, 3},
		"wait of a lower priority":             {func(o *WaitForecast) { o.Update(0, "own", "g", us(0, 0, time.Second), nil) }, 0, []int{0, 1, 2}, 3},
		"wait of another request class":        {func(o *WaitForecast) { o.Update(0, "own", "g", nil, us(time.Second)) }, 0, []int{0, 1, 2}, 3},
		"wait of another group":                {func(o *WaitForecast) { o.Update(0, "own", "other", us(time.Second), nil) }, 0, []int{0, 1, 2}, 3},
		"a newer forecast without wait": {func(o *WaitForecast) {
			o.Update(0, "own", "g", us(time.Second), nil)
			o.Update(1, "own", "g", nil, nil)
		}, 1, []int{0, 1, 2}, 3},
		"the carrier does not answer": {func(o *WaitForecast) { o.Update(0, "own", "g", us(time.Second), nil); o.Forget("own") }, 0, []int{0, 1, 2}, 3},
		"implausible wait":            {func(o *WaitForecast) { o.Update(0, "own", "g", []uint32{math.MaxUint32}, nil) }, 0, []int{0, 1, 2}, 3},
		"too many priorities":         {func(o *WaitForecast) { o.Update(0, "own", "g", make([]uint32, maxPriorities+1), []uint32{1e6}) }, 0, []int{0, 1, 2}, 3},
		"the clock went backwards":    {func(o *WaitForecast) { o.Update(time.Hour, "own", "g", us(time.Second), nil) }, 0, []int{0, 1, 2}, 3},
	} {
		var o WaitForecast
		c.tell(&o)
		choice := o.Choose(c.at, q, three)
		for i, index := range c.order {
			must.Eq(t, index, choice.At(i), must.Sprint(name))
		}
		must.Eq(t, len(c.order), choice.Len)
		must.Eq(t, c.open, choice.Admitting, must.Sprint(name))
		must.True(t, choice.Verdict.Admit, must.Sprint(name))
	}
}

// All carriers of a group are overloaded. The ingress instance rejects requests until the shortest
// queue has drained, and forwards one as a probe from time to time.
func TestIngressRejectsWhenAllCarriersWould(t *testing.T) {
	var o WaitForecast
	both := []Carrier{{Name: "a"}, {Name: "b"}}
	q := Query{Group: "g", Request: Request{ID: "x", Objective: 200 * ms, Deadline: time.Second}}
	o.Update(0, "a", "g", us(900*ms), nil)
	o.Update(0, "b", "g", us(700*ms), nil)
	passed := 0
	for now := time.Duration(0); now < 500*ms; now += ms {
		c := o.Choose(now, q, both)
		must.Zero(t, c.Admitting)
		if c.Verdict.Admit {
			passed++
			continue
		}
		must.Eq(t, AllCarriersReject, c.Verdict.Reason)
		must.Eq(t, 700*ms-now, c.Verdict.Wait)
		must.Eq(t, now, c.Age)
		must.Between(t, c.Verdict.Wait, c.Verdict.RetryAfter, 2*c.Verdict.Wait)
	}
	must.Eq(t, int(500*ms/probeInterval), passed)
	must.True(t, o.Choose(500*ms, q, both).Verdict.Admit, must.Sprint("b's queue has drained"))
	must.True(t, o.Choose(0, q, nil).Verdict.Admit, must.Sprint("no carriers"))
}

func TestWaitEncoding(t *testing.T) {
	must.SliceEmpty(t, EncodeWaits(nil))
	must.SliceEmpty(t, EncodeWaits([]time.Duration{0, 0, -1}))
	must.Eq(t, []uint32{0, 1000}, EncodeWaits([]time.Duration{0, ms, ms, ms}))
	must.Eq(t, []uint32{10_000_000, 0}, EncodeWaits([]time.Duration{time.Hour, -1}))
}

// The memory is bounded for any number of carriers and groups.
func TestForecastsAreBounded(t *testing.T) {
	var o WaitForecast
	for n := range 2 * maxForecasts {
		name := time.Duration(n).String()
		o.Update(0, name, "g", []uint32{1e6}, nil)
		o.Choose(0, Query{Group: name, Request: Request{}}, []Carrier{{Name: name}})
	}
	must.LessEq(t, maxForecasts, len(o.forecasts))
	must.LessEq(t, maxForecasts, len(o.lastProbes))
}
