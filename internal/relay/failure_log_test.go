package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestFailuresAreLoggedOncePerInterval(t *testing.T) {
	f := newFailureLog()
	busy := failureCause{group: "g", outcome: "busy", detail: "full"}
	f.add(busy, "a")
	f.add(failureCause{group: "g", outcome: "aborted"}, "b")
	f.add(busy, "c")
	must.MapEmpty(t, f.takeBatch(failureLogInterval-1))
	batch := f.takeBatch(failureLogInterval)
	must.MapLen(t, 2, batch)
	must.Eq(t, "a c", batch[busy].ids.String())
	must.MapEmpty(t, f.takeBatch(time.Hour), must.Sprint("no further failures"))
}

// The number of lines and the memory in use are bounded, and requests that are not listed are
// counted.
func TestFailuresAreBounded(t *testing.T) {
	f := newFailureLog()
	for n := range 10 * maxFailureCauses {
		for id := range 2 * maxLoggedIDs {
			f.add(failureCause{detail: fmt.Sprint(n)}, fmt.Sprint(id))
		}
	}
	batch := f.takeBatch(failureLogInterval)
	must.MapLen(t, maxFailureCauses, batch)
	count := 0
	for _, b := range batch {
		must.Eq(t, maxLoggedIDs, b.listed)
		must.Eq(t, maxLoggedIDs-1, strings.Count(b.ids.String(), " "))
		count += b.listed + b.omitted
	}
	must.Eq(t, 10*maxFailureCauses*2*maxLoggedIDs, count)
}

// Measures the cost of recording failed requests, with a report every 1000. A thousand failures a
// second should cost some tenth of a millisecond of processor time.
func BenchmarkFailureLog(b *testing.B) {
	f := newFailureLog()
	b.ReportAllocs()
	for n := range b.N {
		f.add(failureCause{group: "g", outcome: "busy", detail: "no connection came free before the deadline"}, "5fd9756185aa9979")
		if n%1000 == 999 {
			f.takeBatch(time.Duration(n) * failureLogInterval)
		}
	}
}
