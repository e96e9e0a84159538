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

func recordAnswers(throttle *Throttle, n int, took time.Duration) (pause time.Duration) {
	for range n {
		pause = throttle.RecordAnswer(took, baseline)
	}
	return pause
}

func TestThrottleFollowsResponseTimes(t *testing.T) {
	var throttle Throttle
	must.Eq(t, 0, recordAnswers(&throttle, 100, baseline))
	must.Eq(t, 1, throttle.Share())
	must.Positive(t, recordAnswers(&throttle, 100, 5*baseline), must.Sprint("the member is overloaded"))
	must.Less(t, 0.2, throttle.Share())
	must.Eq(t, 0, recordAnswers(&throttle, 200, baseline))
	must.Eq(t, 1, throttle.Share())
}

func TestThrottleWithoutBaseline(t *testing.T) {
	var throttle Throttle
	must.Eq(t, 0, throttle.RecordAnswer(time.Hour, 0))
	must.Eq(t, 1, throttle.Share())
}

// For any response times the share stays within its bounds, and no pause is longer than
// the minimum share implies.
func TestThrottleBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var throttle Throttle
		for range rapid.IntRange(1, 200).Draw(t, "answers") {
			took := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "took"))
			pause := throttle.RecordAnswer(took, time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "baseline")))
			if throttle.Share() < minShare || throttle.Share() > 1 {
				t.Fatalf("share %f", throttle.Share())
			}
			if pause < 0 || pause > time.Duration(float64(took)*(1/minShare-1))+1 {
				t.Fatalf("a pause of %s after %s", pause, took)
			}
		}
	})
}

func TestBaselineIsUncontendedLatency(t *testing.T) {
	var b Baseline
	record := func(n int, d time.Duration) {
		for range n {
			b.Record(d)
		}
	}
	record(averageSpan-1, baseline)
	must.Eq(t, 0, b.Latency(), must.Sprint("too few answers"))
	record(1, baseline)
	must.Eq(t, baseline, b.Latency())
	record(10*averageSpan, 5*baseline)
	must.Less(t, baseline+baseline/8, b.Latency(), must.Sprint("saturation does not raise the baseline at once"))
	record(averageSpan, baseline/2)
	must.Eq(t, baseline/2, b.Latency())
	record(1000*averageSpan, 3*baseline)
	must.Eq(t, 3*baseline, b.Latency().Round(baseline), must.Sprint("the baseline adapts to heavier statements"))
}

func TestPauseLevel(t *testing.T) {
	must.Eq(t, 2, PauseLevel(1, 1, 2), must.Sprint("the highest priority is not paused"))
	must.Eq(t, 2, PauseLevel(2, 1, 2))
	must.Eq(t, 3, PauseLevel(3, 1, 4), must.Sprint("a lower priority does not pause higher ones"))
	must.Eq(t, 1, PauseLevel(1, 1, 1), must.Sprint("there is a single priority"))
}
