package relay

import (
	"io"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"github.com/stackspindle/stackspindle/internal/pool"
)

// lowestPriority bounds how many priorities are told apart in metrics and logs: what ranks
// lower is counted with it.
const lowestPriority = 4

// waits is what the queue of one member has done by priority.
type waits [lowestPriority + 1]pool.WaitStats

// newWaits sums up what a queue tells. The instance's own questions, which rank before all
// priorities, are left out.
func newWaits(all []pool.WaitStats) waits {
	var sums waits
	for _, w := range all {
		if w.Priority < 0 {
			continue
		}
		sum := &sums[min(w.Priority, lowestPriority)]
		sum.Waiting += w.Waiting
		sum.Overtook += w.Overtook
		sum.Overdue += w.Overdue
	}
	return sums
}

// numbers returns one figure of each priority, the highest first.
func (w waits) numbers(of func(pool.WaitStats) int) []int {
	numbers := make([]int, len(w))
	for i, waiting := range w {
		numbers[i] = of(waiting)
	}
	return numbers
}

func waitingNow(w pool.WaitStats) int { return w.Waiting }
func overtook(w pool.WaitStats) int   { return w.Overtook }
func overdue(w pool.WaitStats) int    { return w.Overdue }

// write writes the figures of the priorities that were seen at a member.
func (w waits) write(out io.Writer, group, member string) {
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
