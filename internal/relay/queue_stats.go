package relay

import (
	"io"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"github.com/stackspindle/stackspindle/internal/pool"
)

// lastPriorityLevel is the last priority that is tracked separately; lower priorities are counted
// with it. It limits the labels of metrics and logs.
const lastPriorityLevel = 4

// queueStats are the statistics of one member's queue by priority.
type queueStats [lastPriorityLevel + 1]pool.WaitStats

// newQueueStats sums up a queue's statistics. The instance's own status requests, which rank above
// all priorities, are left out.
func newQueueStats(stats []pool.WaitStats) queueStats {
	var sums queueStats
	for _, s := range stats {
		if s.Priority < 0 {
			continue
		}
		level := &sums[min(s.Priority, lastPriorityLevel)]
		level.Waiting += s.Waiting
		level.Overtook += s.Overtook
		level.Overdue += s.Overdue
	}
	return sums
}

// perPriority returns one statistic for each priority, the highest first.
func (w queueStats) perPriority(statistic func(pool.WaitStats) int) []int {
	values := make([]int, len(w))
	for i, waiting := range w {
		values[i] = statistic(waiting)
	}
	return values
}

func waitingNow(w pool.WaitStats) int { return w.Waiting }
func overtook(w pool.WaitStats) int   { return w.Overtook }
func overdue(w pool.WaitStats) int    { return w.Overdue }

// write writes the metrics of the priorities that occurred at a member.
func (w queueStats) write(out io.Writer, group, member string) {
	for priority, waiting := range w {
		if waiting == (pool.WaitStats{}) {
			continue
		}
		labels := `{group="` + group + `",member="` + member + `",priority="` + strconv.Itoa(priority) + `"}`
		metrics.WriteGaugeUint64(out, "stackspindle_member_waiting_by_priority"+labels, uint64(waiting.Waiting))
		metrics.WriteCounterUint64(out, "stackspindle_member_overtook_total"+labels, uint64(waiting.Overtook))
		metrics.WriteCounterUint64(out, "stackspindle_member_overdue_total"+labels, uint64(waiting.Overdue))
	}
}
