package pacing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const share, maxRunning = 2, 12

// The instances close to a member are partitioned from it, and all statements for it reach
// one instance that has a small share. That instance uses the slots that the others leave
// unused, and gives them up within some answers once the others are back.
func TestUnusedSlotsOfOthersAreUsed(t *testing.T) {
	var throttle Throttle
	var spare SpareCapacity
	extraAfter := func(n int, took time.Duration, queued bool) (extra int) {
		for range n {
			throttle.RecordAnswer(took, baseline)
			extra = spare.RecordAnswer(&throttle, queued, share, maxRunning)
		}
		return extra
	}
	must.Zero(t, extraAfter(100, baseline, false), must.Sprint("no statements are queued"))
	must.Positive(t, extraAfter(2*share, baseline, true))
	must.Eq(t, maxRunning-share, extraAfter(maxRunning*maxRunning, baseline, true))
	must.Eq(t, maxRunning-share, extraAfter(10, baseline, false), must.Sprint("the spare capacity stays without queued statements"))
	must.Zero(t, extraAfter(3*ratioSpan, 5*baseline, true), must.Sprint("the others are back, and the member is overloaded"))
}

// While no baseline is known, as after a start, no instance exceeds its share.
func TestNoSpareCapacityWithoutBaseline(t *testing.T) {
	var throttle Throttle
	var spare SpareCapacity
	for range 100 {
		throttle.RecordAnswer(time.Millisecond, 0)
		must.Zero(t, spare.RecordAnswer(&throttle, true, share, maxRunning))
	}
}

func TestSpareCapacityBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var throttle Throttle
		var spare SpareCapacity
		for range rapid.IntRange(1, 200).Draw(t, "answers") {
			share, limit := rapid.IntRange(0, 10).Draw(t, "share"), rapid.IntRange(0, 20).Draw(t, "limit")
			throttle.RecordAnswer(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "took")), baseline)
			extra := spare.RecordAnswer(&throttle, rapid.Bool().Draw(t, "queued"), share, limit)
			if extra < 0 || share+extra > max(share, limit) {
				t.Fatalf("spare capacity %d, share %d and limit %d", extra, share, limit)
			}
		}
	})
}
