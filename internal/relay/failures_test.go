package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestFailuresAreNamedOnceASecond(t *testing.T) {
	f := newFailures()
	busy := cause{group: "g", outcome: "busy", why: "full"}
	f.note(busy, "a")
	f.note(cause{group: "g", outcome: "aborted"}, "b")
	f.note(busy, "c")
	must.MapEmpty(t, f.take(failurePeriod-1))
	taken := f.take(failurePeriod)
	must.MapLen(t, 2, taken)
	must.Eq(t, "a c", taken[busy].ids.String())
	must.MapEmpty(t, f.take(time.Hour), must.Sprint("nothing failed since"))
}

// However much fails, lines and memory are bounded, and what is not named is counted.
func TestFailuresAreBounded(t *testing.T) {
	f := newFailures()
	for n := range 10 * failureCauses {
		for id := range 2 * failureIDs {
			f.note(cause{why: fmt.Sprint(n)}, fmt.Sprint(id))
		}
	}
	taken := f.take(failurePeriod)
	must.MapLen(t, failureCauses, taken)
	count := 0
	for _, b := range taken {
		must.Eq(t, failureIDs, b.named)
		must.Eq(t, failureIDs-1, strings.Count(b.ids.String(), " "))
		count += b.named + b.leftOut
	}
	must.Eq(t, 10*failureCauses*2*failureIDs, count)
}

// A thousand failures a second cost some tenth of a millisecond of processor time.
func BenchmarkFailures(b *testing.B) {
	f := newFailures()
	b.ReportAllocs()
	for n := range b.N {
		f.note(cause{group: "g", outcome: "busy", why: "no connection came free before the deadline"}, "5fd9756185aa9979")
		if n%1000 == 999 {
			f.take(time.Duration(n) * failurePeriod)
		}
	}
}
