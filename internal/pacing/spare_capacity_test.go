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
	var w Throttle
	var r SpareCapacity
	answered := func(n int, took time.Duration, wanted bool) (room int) {
		for range n {
			w.RecordAnswer(took, baseline)
			room = r.RecordAnswer(&w, wanted, share, maxRunning)
		}
		return room
	}
	must.Zero(t, answered(100, baseline, false), must.Sprint("no statements are queued"))
	must.Positive(t, answered(2*share, baseline, true))
	must.Eq(t, maxRunning-share, answered(maxRunning*maxRunning, baseline, true))
	must.Eq(t, maxRunning-share, answered(10, baseline, false), must.Sprint("the spare capacity stays without queued statements"))
	must.Zero(t, answered(3*ratioSpan, 5*baseline, true), must.Sprint("the others are back, and the member is overloaded"))
}

// While no baseline is known, as after a start, no instance exceeds its share.
func TestNoSpareCapacityWithoutBaseline(t *testing.T) {
	var w Throttle
	var r SpareCapacity
	for range 100 {
		w.RecordAnswer(time.Millisecond, 0)
		must.Zero(t, r.RecordAnswer(&w, true, share, maxRunning))
	}
}

func TestSpareCapacityBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Throttle
		var r SpareCapacity
		for range rapid.IntRange(1, 200).Draw(t, "answers") {
			share, most := rapid.IntRange(0, 10).Draw(t, "share"), rapid.IntRange(0, 20).Draw(t, "most")
			w.RecordAnswer(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "took")), baseline)
			room := r.RecordAnswer(&w, rapid.Bool().Draw(t, "wanted"), share, most)
			if room < 0 || share+room > max(share, most) {
				t.Fatalf("room of %d beyond %d of %d", room, share, most)
			}
		}
	})
}
