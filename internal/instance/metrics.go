package instance

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// counters are the metrics of one instance.
type counters struct {
	set          *metrics.Set
	droppedTasks *metrics.Counter
	replicaReads *metrics.Counter
	primaryReads *metrics.Counter
	writes       *metrics.Counter
	latency      *metrics.Histogram
	failoverGap  *metrics.Histogram // seconds without a primary, for failovers in which the owner stays the same
	peerMessages *metrics.Counter
}

func newCounters() *counters {
	set := metrics.NewSet()
	return &counters{
		set:          set,
		droppedTasks: set.NewCounter("stackspindle_background_tasks_dropped_total"),
		replicaReads: set.NewCounter(`stackspindle_statements_total{class="read",role="replica"}`),
		primaryReads: set.NewCounter(`stackspindle_statements_total{class="read",role="primary"}`),
		writes:       set.NewCounter(`stackspindle_statements_total{class="write",role="primary"}`),
		latency:      set.NewHistogram("stackspindle_statement_seconds"),
		failoverGap:  set.NewHistogram("stackspindle_failover_gap_seconds"),
		peerMessages: set.NewCounter("stackspindle_control_messages_total"),
	}
}

// Statement implements pgserver.Events.
func (c *counters) Statement(_ string, read, primary bool, duration time.Duration) {
	switch {
	case !read:
		c.writes.Inc()
	case primary:
		c.primaryReads.Inc()
	default:
		c.replicaReads.Inc()
	}
	c.latency.Update(duration.Seconds())
}

// Refused implements pgserver.Events.
func (c *counters) Refused(code string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`stackspindle_refusals_total{sqlstate=%q}`, code)).Inc()
}

// WriteMetrics writes all metrics in the Prometheus text format.
func (i *Instance) WriteMetrics(w io.Writer) {
	i.metrics.set.WritePrometheus(w)
	sent, received := i.peerTraffic.Bytes()
	fmt.Fprintf(w, "stackspindle_control_bytes_total{direction=\"sent\"} %d\n", sent)
	fmt.Fprintf(w, "stackspindle_control_bytes_total{direction=\"received\"} %d\n", received)
	fmt.Fprintf(w, "stackspindle_platform_calls_total %d\n", i.store.Calls())
	fmt.Fprintf(w, "stackspindle_callers %d\n", i.clientServer.NumClients())
	fmt.Fprintf(w, "stackspindle_config_revision %d\n", i.Revision())
	for name, g := range *i.groups.Load() {
		st := g.Load()
		fmt.Fprintf(w, "stackspindle_group_serving{group=%q} %d\n", name, boolMetric(st.Serving))
		fmt.Fprintf(w, "stackspindle_group_term{group=%q} %d\n", name, st.Term)
		fmt.Fprintf(w, "stackspindle_group_floors{group=%q} %d\n", name, st.Floors)
		for member, p := range st.Pools {
			fmt.Fprintf(w, "stackspindle_pool_in_use{group=%q,member=%q} %d\n", name, member, p.InUse)
			fmt.Fprintf(w, "stackspindle_pool_waiting{group=%q,member=%q} %d\n", name, member, p.Waiting)
			fmt.Fprintf(w, "stackspindle_pool_open{group=%q,member=%q} %d\n", name, member, p.Open)
		}
	}
	metrics.WriteProcessMetrics(w)
}

func boolMetric(b bool) int {
	if b {
		return 1
	}
	return 0
}
