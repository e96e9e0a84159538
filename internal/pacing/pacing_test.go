package pacing

import (
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const baseline = 10 * time.Millisecond

func recordAnswers(w *Throttle, n int, took time.Duration) (pause time.Duration) {
	for range n {
		pause = w.RecordAnswer(took, baseline)
	}
	return pause
}

func TestThrottleFollowsResponseTimes(t *testing.T) {
	var w Throttle
	must.Eq(t, 0, recordAnswers(&w, 100, baseline))
	must.Eq(t, 1, w.Share())
	must.Positive(t, recordAnswers(&w, 100, 5*baseline), must.Sprint("the member is overloaded"))
	must.Less(t, 0.2, w.Share())
	must.Eq(t, 0, recordAnswers(&w, 200, baseline))
	must.Eq(t, 1, w.Share())
}

func TestThrottleWithoutBaseline(t *testing.T) {
	var w Throttle
	must.Eq(t, 0, w.RecordAnswer(time.Hour, 0))
	must.Eq(t, 1, w.Share())
}

// For any response times the share stays within its bounds, and no pause is longer than
// the minimum share implies.
func TestThrottleBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Throttle
		for range rapid.IntRange(1, 200).Draw(t, "answers") {
			took := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "took"))
			pause := w.RecordAnswer(took, time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "usual")))
			if w.Share() < minShare || w.Share() > 1 {
				t.Fatalf("share %f", w.Share())
			}
			if pause < 0 || pause > time.Duration(float64(took)*(1/minShare-1))+1 {
				t.Fatalf("a pause of %s after %s", pause, took)
			}
		}
	})
}

func TestBaselineIsUncontendedLatency(t *testing.T) {
	var w Baseline
	took := func(n int, d time.Duration) {
		for range n {
			w.Record(d)
		}
	}
	took(averageSpan-1, baseline)
	must.Eq(t, 0, w.Latency(), must.Sprint("too few answers"))
	took(1, baseline)
	must.Eq(t, baseline, w.Latency())
	took(10*averageSpan, 5*baseline)
	must.Less(t, baseline+baseline/8, w.Latency(), must.Sprint("saturation does not raise the baseline at once"))
	took(averageSpan, baseline/2)
	must.Eq(t, baseline/2, w.Latency())
	took(1000*averageSpan, 3*baseline)
	must.Eq(t, 3*baseline, w.Latency().Round(baseline), must.Sprint("the baseline adapts to heavier statements"))
}

func TestPauseLevel(t *testing.T) {
	must.Eq(t, 2, PauseLevel(1, 1, 2), must.Sprint("the highest priority is not paused"))
	must.Eq(t, 2, PauseLevel(2, 1, 2))
	must.Eq(t, 3, PauseLevel(3, 1, 4), must.Sprint("a lower priority does not pause higher ones"))
	must.Eq(t, 1, PauseLevel(1, 1, 1), must.Sprint("there is a single priority"))
}
