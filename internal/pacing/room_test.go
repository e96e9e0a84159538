package pacing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const share, most = 2, 12

// The instances close to a member are partitioned from it, and all statements for it reach
// one instance that has a small share. That instance uses the slots that the others leave
// unused, and gives them up within some answers once the others are back.
func TestRoomThatOthersLeave(t *testing.T) {
	var w Window
	var r Room
	answered := func(n int, took time.Duration, wanted bool) (room int) {
		for range n {
			w.Answered(took, usual)
			room = r.Answered(&w, wanted, share, most)
		}
		return room
	}
	must.Zero(t, answered(100, usual, false), must.Sprint("no statements are queued"))
	must.Positive(t, answered(2*share, usual, true))
	must.Eq(t, most-share, answered(most*most, usual, true))
	must.Eq(t, most-share, answered(10, usual, false), must.Sprint("the spare capacity stays without queued statements"))
	must.Zero(t, answered(3*ratioSpan, 5*usual, true), must.Sprint("the others are back, and the member is overloaded"))
}

// While no baseline is known, as after a start, no instance exceeds its share.
func TestNoRoomWithoutAnythingUsual(t *testing.T) {
	var w Window
	var r Room
	for range 100 {
		w.Answered(time.Millisecond, 0)
		must.Zero(t, r.Answered(&w, true, share, most))
	}
}

func TestRoomKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Window
		var r Room
		for range rapid.IntRange(1, 200).Draw(t, "answers") {
			share, most := rapid.IntRange(0, 10).Draw(t, "share"), rapid.IntRange(0, 20).Draw(t, "most")
			w.Answered(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "took")), usual)
			room := r.Answered(&w, rapid.Bool().Draw(t, "wanted"), share, most)
			if room < 0 || share+room > max(share, most) {
				t.Fatalf("room of %d beyond %d of %d", room, share, most)
			}
		}
	})
}
