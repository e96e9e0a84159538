package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/resource"
	"github.com/stackspindle/stackspindle/internal/standin"
)

// sumMetric returns the sum of one metric over all running instances.
func sumMetric(fleet *standin.Fleet, name string) float64 {
	var total float64
	for _, inst := range fleet.Instances {
		if inst == nil {
			continue
		}
		var text strings.Builder
		inst.WriteMetrics(&text)
		for _, line := range strings.Split(text.String(), "\n") {
			if value, ok := strings.CutPrefix(line, name+" "); ok {
				if v, err := strconv.ParseFloat(value, 64); err == nil {
					total += v
				}
			}
		}
	}
	return total
}

const (
	replicaReads = `stackspindle_statements_total{class="read",role="replica"}`
	primaryReads = `stackspindle_statements_total{class="read",role="primary"}`
)

// ackLog records when each value of the shared counter was acknowledged.
type ackLog struct {
	mu    sync.Mutex
	times []time.Time // times[i] is when value i+1 was acknowledged
}

func (a *ackLog) add(value int, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.times) < value {
		a.times = append(a.times, time.Time{})
	}
	a.times[value-1] = at
}

// acknowledgedBy returns the highest value that was acknowledged at or before a time.
func (a *ackLog) acknowledgedBy(at time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := len(a.times) - 1; i >= 0; i-- {
		if !a.times[i].IsZero() && !a.times[i].After(at) {
			return i + 1
		}
	}
	return 0
}

// BenchmarkReplicaShare measures the share of reads that replicas serve, for several
// staleness limits and replica lags, with 10% writes. "stale" counts reads that
// returned an older value than the session and the staleness limit allow. "%bound" is
// the share that replicas could serve without waiting if the lag of each were known
// exactly.
func BenchmarkReplicaShare(b *testing.B) {
	lags := []struct {
		name  string
		lag   time.Duration
		stuck bool
	}{
		{"0", 0, false}, {"10ms", 10 * time.Millisecond, false}, {"200ms", 200 * time.Millisecond, false},
		{"5s", 5 * time.Second, false}, {"10ms,one-stuck", 10 * time.Millisecond, true},
	}
	for _, staleness := range []time.Duration{0, time.Second, 30 * time.Second} {
		for _, l := range lags {
			b.Run(fmt.Sprintf("staleness=%s/lag=%s", staleness, l.name), func(b *testing.B) {
				for b.Loop() {
					measureReplicaShare(b, staleness, l.lag, l.stuck)
				}
			})
		}
	}
}

const (
	shareClients       = 300
	shareMeanThinkTime = 300 * time.Millisecond // between two statements of a client
	shareDuration      = 4 * time.Second
)

func measureReplicaShare(b *testing.B, staleness, lag time.Duration, stuck bool) {
	fleet := startFleet(b, standin.Options{Instances: 3, Staleness: staleness, Connections: 16,
		SetUp: []string{"CREATE TABLE counter (id int PRIMARY KEY, n int)", "INSERT INTO counter VALUES (1, 0)"}})
	for i := range 3 {
		fleet.Group.Member(i).DelayAnswers(2 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	fleet.Group.SetLag(lag)
	fleet.Group.Member(2).SetStuck(stuck)
	time.Sleep(min(lag, time.Second))
	acks := &ackLog{}
	var stale, servable, reads atomic.Int64
	rec := newLatencyRecorder()
	before := [2]float64{sumMetric(fleet, replicaReads), sumMetric(fleet, primaryReads)}
	deadline := time.Now().Add(shareDuration)
	var wg sync.WaitGroup
	for c := range shareClients {
		conn := dial(b, fleet.Instances[c%3].ClientAddr())
		wg.Add(1)
		go func() {
			defer wg.Done()
			lastWrite := 0 // value that the session wrote last
			for time.Now().Before(deadline) {
				time.Sleep(time.Duration(rand.Int64N(int64(2 * shareMeanThinkTime))))
				if rand.IntN(10) == 0 {
					lastWrite = incrementCounter(b, conn, acks)
					continue
				}
				started := time.Now()
				required := acks.acknowledgedBy(started.Add(-staleness))
				if needed := max(required, lastWrite); needed <= acks.acknowledgedBy(started.Add(-lag)) {
					servable.Add(1)
				}
				var n int
				if err := conn.QueryRow(context.Background(), "SELECT n FROM counter WHERE id = 1").Scan(&n); err != nil {
					b.Error(err)
					return
				}
				rec.record(time.Since(started))
				reads.Add(1)
				if n < max(required, lastWrite) {
					stale.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	byReplica := sumMetric(fleet, replicaReads) - before[0]
	byPrimary := sumMetric(fleet, primaryReads) - before[1]
	b.ReportMetric(100*byReplica/(byReplica+byPrimary), "%replica")
	b.ReportMetric(100*float64(servable.Load())/float64(reads.Load()), "%bound")
	b.ReportMetric(float64(stale.Load()), "stale")
	b.ReportMetric(float64(reads.Load())/shareDuration.Seconds(), "reads/s")
	rec.report(b)
	fleet.Close()
}

// incrementCounter increments the shared counter, returns its new value and records
// the acknowledgement.
func incrementCounter(b *testing.B, conn *pgx.Conn, acks *ackLog) int {
	var n int
	if err := conn.QueryRow(context.Background(), "UPDATE counter SET n = n + 1 WHERE id = 1 RETURNING n").Scan(&n); err != nil {
		b.Error(err)
		return 0
	}
	acks.add(n, time.Now())
	return n
}

// BenchmarkFailoverGap measures the time from the last acknowledged write before a
// fault to the first acknowledged write after it. The environment variable FAILOVERS
// sets the number of failovers per case (default 50).
func BenchmarkFailoverGap(b *testing.B) {
	n := 50
	if given, err := strconv.Atoi(os.Getenv("FAILOVERS")); err == nil {
		n = given
	}
	roundTrips := map[string]time.Duration{"tunis": 3 * time.Millisecond, "perth": 2 * time.Millisecond}
	faults := []struct {
		name  string
		apply func(*standin.Fleet)
	}{
		{"primary-dead", func(f *standin.Fleet) { f.Group.ByName(primaryOf(f)).Kill() }},
		{"primary-cut-off", func(f *standin.Fleet) { f.Group.ByName(primaryOf(f)).Pause() }},
		{"owner-dead", func(f *standin.Fleet) { f.Kill(f.Owner()) }},
		{"both-dead", func(f *standin.Fleet) { f.Group.ByName(primaryOf(f)).Kill(); f.Kill(f.Owner()) }},
	}
	for _, site := range []string{"tunis", "perth"} {
		for _, fault := range faults {
			for _, storeDown := range []bool{false, true} {
				b.Run(fmt.Sprintf("%s/%s/store-down=%t", site, fault.name, storeDown), func(b *testing.B) {
					for b.Loop() {
						measureGaps(b, n, roundTrips[site], storeDown, fault.apply)
					}
				})
			}
		}
	}
}

// primaryOf waits until the group has an owner and returns the primary it uses.
func primaryOf(f *standin.Fleet) string {
	for {
		if i := f.Owner(); i >= 0 {
			st, _ := f.Instances[i].Group("roster")
			return st.Primary
		}
		time.Sleep(time.Millisecond)
	}
}

// concurrentFailovers is how many failovers are measured at the same time.
const concurrentFailovers = 5

// measureGaps measures n failovers, each in a fleet of its own whose members answer
// with a delay of roundTrip.
func measureGaps(b *testing.B, n int, roundTrip time.Duration, storeDown bool, fault func(*standin.Fleet)) {
	rec := newLatencyRecorder()
	var wg sync.WaitGroup
	slots := make(chan struct{}, concurrentFailovers)
	for range n {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			rec.record(measureGap(b, roundTrip, storeDown, fault))
		}()
	}
	wg.Wait()
	b.ReportMetric(float64(rec.hist.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(rec.hist.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(rec.hist.Max())/1000, "max-ms")
	b.ReportMetric(float64(rec.hist.TotalCount()), "failovers")
}

func measureGap(b *testing.B, roundTrip time.Duration, storeDown bool, fault func(*standin.Fleet)) time.Duration {
	fleet, err := standin.Start(standin.Options{Instances: 4})
	must.NoError(b, err)
	defer fleet.Close()
	_, err = fleet.AwaitOwner(waitTimeout)
	must.NoError(b, err)
	for i := range 3 {
		fleet.Group.Member(i).DelayAnswers(roundTrip)
	}
	fleet.Store.SetDown(storeDown)
	owner := fleet.Owner()
	ingress := (owner + 1) % 4
	w := startGapWriters(fleet.Instances[ingress].ClientAddr())
	defer w.stop()
	time.Sleep(400*time.Millisecond + time.Duration(rand.Int64N(int64(300*time.Millisecond))))
	fault(fleet)
	return w.gap()
}

// gapWriters insert rows without pause and track the longest time between two
// acknowledgements.
type gapWriters struct {
	lastAck    atomic.Int64 // Unix time of the last acknowledgement in ns
	longestGap atomic.Int64 // ns
	stopped    atomic.Bool
	wg         sync.WaitGroup
	lastID     atomic.Int64
}

func startGapWriters(addr string) *gapWriters {
	w := &gapWriters{}
	w.lastAck.Store(time.Now().UnixNano())
	for range 4 {
		w.wg.Add(1)
		go w.run(addr)
	}
	return w
}

func (w *gapWriters) run(addr string) {
	defer w.wg.Done()
	var conn *pgx.Conn
	for !w.stopped.Load() {
		if conn == nil || conn.IsClosed() {
			var err error
			if conn, err = connect(addr, "roster", ""); err != nil {
				time.Sleep(time.Millisecond)
				continue
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		_, err := conn.Exec(ctx, "INSERT INTO shifts VALUES ($1, 'g', 'open')", w.lastID.Add(1))
		cancel()
		if err == nil {
			w.acknowledged()
		}
	}
	if conn != nil {
		conn.Close(context.Background())
	}
}

func (w *gapWriters) acknowledged() {
	now := time.Now().UnixNano()
	gap := now - w.lastAck.Swap(now)
	for old := w.longestGap.Load(); gap > old && !w.longestGap.CompareAndSwap(old, gap); old = w.longestGap.Load() {
		continue
	}
}

// gap is called right after a fault. It waits until a gap of at least 20 ms has ended,
// at most waitTimeout, and then 200 ms more, and returns the longest gap.
func (w *gapWriters) gap() time.Duration {
	faulted := time.Now().UnixNano()
	w.longestGap.Store(0)
	for w.lastAck.Load() < faulted+int64(20*time.Millisecond) || w.longestGap.Load() < int64(20*time.Millisecond) {
		time.Sleep(time.Millisecond)
		if time.Now().UnixNano()-faulted > int64(waitTimeout) {
			break
		}
	}
	time.Sleep(200 * time.Millisecond)
	return time.Duration(w.longestGap.Load())
}

func (w *gapWriters) stop() {
	w.stopped.Store(true)
	w.wg.Wait()
}

// BenchmarkOverload offers from half to five times the load that the group can serve.
// Two modest services offer at most a quarter of the capacity each, one greedy
// service the rest. It reports how much of its load each modest service gets served.
func BenchmarkOverload(b *testing.B) {
	for _, loadFactor := range []float64{0.5, 1, 2, 5} {
		b.Run(fmt.Sprintf("offered=%.1fx", loadFactor), func(b *testing.B) {
			for b.Loop() {
				measureOverload(b, loadFactor)
			}
		})
	}
}

const (
	overloadConnections = 4                     // to each of two replicas
	overloadServiceTime = 10 * time.Millisecond // of one statement
	overloadDuration    = 4 * time.Second
	statementInterval   = 100 * time.Millisecond // of each client
)

func measureOverload(b *testing.B, loadFactor float64) {
	modest := func(name string) resource.Resource {
		return resource.Resource{Kind: resource.KindService, Metadata: resource.Metadata{Name: name, Generation: 1},
			Service: &resource.ServiceSpec{Databases: []string{"roster"}, QueueTimeout: resource.Duration(80 * time.Millisecond), Weight: 1}}
	}
	fleet := startFleet(b, standin.Options{Instances: 2, Connections: overloadConnections, QueueTimeout: 80 * time.Millisecond,
		Services: []resource.Resource{modest("modest-a"), modest("modest-b")}})
	capacity := 2 * overloadConnections * float64(time.Second/overloadServiceTime)
	modestRate := min(loadFactor/3, 0.25) * capacity
	offered := map[string]float64{"modest-a": modestRate, "modest-b": modestRate, "roster": loadFactor*capacity - 2*modestRate}
	served := map[string]*atomic.Int64{}
	rec := newLatencyRecorder()
	var wg sync.WaitGroup
	start := make(chan struct{})
	for service, rate := range offered {
		served[service] = &atomic.Int64{}
		clients := int(rate * statementInterval.Seconds())
		for i := range clients {
			conn, err := connect(fleet.Instances[i%2].ClientAddr(), service, "")
			must.NoError(b, err)
			wg.Add(1)
			go func() {
				defer wg.Done()
				<-start
				offerLoad(b, conn, served[service], rec)
			}()
		}
	}
	close(start)
	wg.Wait()
	total := 0.0
	for _, n := range served {
		total += float64(n.Load())
	}
	seconds := overloadDuration.Seconds()
	b.ReportMetric(100*total/seconds/capacity, "%goodput")
	b.ReportMetric(100*float64(served["modest-a"].Load())/seconds/modestRate, "%modest-a")
	b.ReportMetric(100*float64(served["modest-b"].Load())/seconds/modestRate, "%modest-b")
	rec.report(b)
	fleet.Close()
}

// offerLoad runs one statement per statementInterval, whether the previous one was
// served or rejected. A latency counts from the time at which the statement was due,
// so that a slow answer does not hide the delay of the statements after it.
func offerLoad(b *testing.B, conn *pgx.Conn, served *atomic.Int64, rec *latencyRecorder) {
	defer conn.Close(context.Background())
	deadline := time.Now().Add(overloadDuration)
	next := time.Now().Add(time.Duration(rand.Int64N(int64(statementInterval))))
	for next.Before(deadline) {
		time.Sleep(time.Until(next))
		started := next
		next = next.Add(statementInterval)
		_, err := conn.Exec(context.Background(), "SELECT pg_sleep(0.010)")
		var pgErr *pgconn.PgError
		switch {
		case err == nil:
			served.Add(1)
			rec.record(time.Since(started))
		case errors.As(err, &pgErr) && pgErr.Code == "53300":
		default:
			b.Error(err)
			return
		}
	}
}
