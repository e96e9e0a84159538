package relay

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/pool"
)

// However many priorities the configuration has, the metrics have a bounded number of labels.
func TestQueueMetricsHaveBoundedLabels(t *testing.T) {
	var all []pool.WaitStats
	for priority := -1; priority < 100; priority++ {
		all = append(all, pool.WaitStats{Priority: priority, Waiting: 1, Overtook: 2, Overdue: 3})
	}
	sums := newQueueStats(all)
	must.Eq(t, []int{1, 1, 1, 1, 96}, sums.perPriority(waitingNow))
	must.Eq(t, []int{2, 2, 2, 2, 192}, sums.perPriority(overtook))
	must.Eq(t, []int{3, 3, 3, 3, 288}, sums.perPriority(overdue))
	var out bytes.Buffer
	sums.write(&out, "g", "m")
	must.Eq(t, 3*len(sums), bytes.Count(out.Bytes(), []byte("\n")))
	must.StrContains(t, out.String(), `stackspindle_member_waiting_by_priority{group="g",member="m",priority="4"} 96`)
	out.Reset()
	newQueueStats(nil).write(&out, "g", "m")
	must.Eq(t, "", out.String())
}
