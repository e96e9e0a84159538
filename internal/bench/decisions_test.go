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

// metric reads one metric of all instances.
func metric(fleet *standin.Fleet, name string) float64 {
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

// ackLog keeps when each value of the shared counter was acknowledged.
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

// requiredAt returns the highest value acknowledged up to a time.
func (a *ackLog) requiredAt(at time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := len(a.times) - 1; i >= 0; i-- {
		if !a.times[i].IsZero() && !a.times[i].After(at) {
			return i + 1
		}
	}
	return 0
}

// BenchmarkReplicaShare measures the share of reads that replicas serve, by the
// service's staleness and the lag, with 10% writes. Stale reads are counted; the
// bound is the share that perfect knowledge could reach without waiting.
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
					measureShare(b, staleness, l.lag, l.stuck)
				}
			})
		}
	}
}

const (
	shareCallers = 300
	shareThink   = 300 * time.Millisecond
	shareTime    = 4 * time.Second
)

func measureShare(b *testing.B, staleness, lag time.Duration, stuck bool) {
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
	var stale, fresh, reads atomic.Int64
	rec := newRecorder()
	before := [2]float64{metric(fleet, replicaReads), metric(fleet, primaryReads)}
	deadline := time.Now().Add(shareTime)
	var wait sync.WaitGroup
	for c := range shareCallers {
		conn := dial(b, fleet.Instances[c%3].ClientAddr())
		wait.Add(1)
		go func() {
			defer wait.Done()
			own := 0 // the session's last write
			for time.Now().Before(deadline) {
				time.Sleep(time.Duration(rand.Int64N(int64(2 * shareThink))))
				if rand.IntN(10) == 0 {
					own = bump(b, conn, acks)
					continue
				}
				started := time.Now()
				required := acks.requiredAt(started.Add(-staleness))
				if needed := max(required, own); needed <= acks.requiredAt(started.Add(-lag)) {
					fresh.Add(1)
				}
				var n int
				if err := conn.QueryRow(context.Background(), "SELECT n FROM counter WHERE id = 1").Scan(&n); err != nil {
					b.Error(err)
					return
				}
				rec.add(time.Since(started))
				reads.Add(1)
				if n < max(required, own) {
					stale.Add(1)
				}
			}
		}()
	}
	wait.Wait()
	byReplica := metric(fleet, replicaReads) - before[0]
	byPrimary := metric(fleet, primaryReads) - before[1]
	b.ReportMetric(100*byReplica/(byReplica+byPrimary), "%replica")
	b.ReportMetric(100*float64(fresh.Load())/float64(reads.Load()), "%bound")
	b.ReportMetric(float64(stale.Load()), "stale")
	b.ReportMetric(float64(reads.Load())/shareTime.Seconds(), "reads/s")
	rec.report(b)
	fleet.Close()
}

func bump(b *testing.B, conn *pgx.Conn, acks *ackLog) int {
	var n int
	if err := conn.QueryRow(context.Background(), "UPDATE counter SET n = n + 1 WHERE id = 1 RETURNING n").Scan(&n); err != nil {
		b.Error(err)
		return 0
	}
	acks.add(n, time.Now())
	return n
}

// BenchmarkFailoverGap measures the time from the last acknowledged write before
// a fault to the first after it. The environment variable FAILOVERS sets how many
// are measured for each case (50 by default).
func BenchmarkFailoverGap(b *testing.B) {
	n := 50
	if given, err := strconv.Atoi(os.Getenv("FAILOVERS")); err == nil {
		n = given
	}
	distances := map[string]time.Duration{"tunis": 3 * time.Millisecond, "perth": 2 * time.Millisecond}
	faults := []struct {
		name  string
		apply func(*standin.Fleet)
	}{
		{"primary-dead", func(f *standin.Fleet) { f.Group.ByName(primaryOf(f)).Kill() }},
		{"primary-cut-off", func(f *standin.Fleet) { f.Group.ByName(primaryOf(f)).Pause() }},
		{"owner-dead", func(f *standin.Fleet) { f.Kill(f.Owner()) }},
		{"both-dead", func(f *standin.Fleet) { f.Group.ByName(primaryOf(f)).Kill(); f.Kill(f.Owner()) }},
	}
	for _, place := range []string{"tunis", "perth"} {
		for _, fault := range faults {
			for _, down := range []bool{false, true} {
				b.Run(fmt.Sprintf("%s/%s/store-down=%t", place, fault.name, down), func(b *testing.B) {
					for b.Loop() {
						measureGaps(b, n, distances[place], down, fault.apply)
					}
				})
			}
		}
	}
}

func primaryOf(f *standin.Fleet) string {
	for {
		if i := f.Owner(); i >= 0 {
			st, _ := f.Instances[i].Group("roster")
			return st.Primary
		}
		time.Sleep(time.Millisecond)
	}
}

// parallelGaps is how many failovers are measured at the same time.
const parallelGaps = 5

func measureGaps(b *testing.B, n int, distance time.Duration, down bool, fault func(*standin.Fleet)) {
	rec := newRecorder()
	var wait sync.WaitGroup
	slots := make(chan struct{}, parallelGaps)
	for range n {
		wait.Add(1)
		slots <- struct{}{}
		go func() {
			defer wait.Done()
			defer func() { <-slots }()
			rec.add(oneGap(b, distance, down, fault))
		}()
	}
	wait.Wait()
	b.ReportMetric(float64(rec.hist.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(rec.hist.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(rec.hist.Max())/1000, "max-ms")
	b.ReportMetric(float64(rec.hist.TotalCount()), "failovers")
}

func oneGap(b *testing.B, distance time.Duration, down bool, fault func(*standin.Fleet)) time.Duration {
	fleet, err := standin.Start(standin.Options{Instances: 4})
	must.NoError(b, err)
	defer fleet.Close()
	_, err = fleet.AwaitOwner(patience)
	must.NoError(b, err)
	for i := range 3 {
		fleet.Group.Member(i).DelayAnswers(distance)
	}
	fleet.Store.SetDown(down)
	owner := fleet.Owner()
	entry := (owner + 1) % 4
	w := startGapWriters(fleet.Instances[entry].ClientAddr())
	defer w.stop()
	time.Sleep(400*time.Millisecond + time.Duration(rand.Int64N(int64(300*time.Millisecond))))
	fault(fleet)
	return w.gap()
}

// gapWriters write all the time and note when they were acknowledged.
type gapWriters struct {
	last    atomic.Int64 // ns of the last acknowledgement
	longest atomic.Int64 // ns
	stopped atomic.Bool
	wait    sync.WaitGroup
	next    atomic.Int64
}

func startGapWriters(addr string) *gapWriters {
	w := &gapWriters{}
	w.last.Store(time.Now().UnixNano())
	for range 4 {
		w.wait.Add(1)
		go w.run(addr)
	}
	return w
}

func (w *gapWriters) run(addr string) {
	defer w.wait.Done()
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
		_, err := conn.Exec(ctx, "INSERT INTO shifts VALUES ($1, 'g', 'open')", w.next.Add(1))
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
	gap := now - w.last.Swap(now)
	for old := w.longest.Load(); gap > old && !w.longest.CompareAndSwap(old, gap); old = w.longest.Load() {
		continue
	}
}

// gap waits until writes have gone on for a while and returns the longest pause.
func (w *gapWriters) gap() time.Duration {
	faulted := time.Now().UnixNano()
	w.longest.Store(0)
	for w.last.Load() < faulted+int64(20*time.Millisecond) || w.longest.Load() < int64(20*time.Millisecond) {
		time.Sleep(time.Millisecond)
		if time.Now().UnixNano()-faulted > int64(patience) {
			break
		}
	}
	time.Sleep(200 * time.Millisecond)
	return time.Duration(w.longest.Load())
}

func (w *gapWriters) stop() {
	w.stopped.Store(true)
	w.wait.Wait()
}

// BenchmarkOverload offers up to five times what the group can serve. One greedy
// service brings most of it, two modest ones a quarter of the capacity each.
func BenchmarkOverload(b *testing.B) {
	for _, times := range []float64{0.5, 1, 2, 5} {
		b.Run(fmt.Sprintf("offered=%.1fx", times), func(b *testing.B) {
			for b.Loop() {
				measureOverload(b, times)
			}
		})
	}
}

const (
	overloadConnections = 4                     // to each of two replicas
	overloadService     = 10 * time.Millisecond // time of one statement
	overloadTime        = 4 * time.Second
	callerPace          = 100 * time.Millisecond
)

func measureOverload(b *testing.B, times float64) {
	modest := func(name string) resource.Resource {
		return resource.Resource{Kind: resource.KindService, Metadata: resource.Metadata{Name: name, Generation: 1},
			Service: &resource.ServiceSpec{Databases: []string{"roster"}, QueueTimeout: resource.Duration(80 * time.Millisecond), Weight: 1}}
	}
	fleet := startFleet(b, standin.Options{Instances: 2, Connections: overloadConnections, QueueTimeout: 80 * time.Millisecond,
		Services: []resource.Resource{modest("modest-a"), modest("modest-b")}})
	capacity := 2 * overloadConnections * float64(time.Second/overloadService)
	quarter := min(times/3, 0.25) * capacity
	offered := map[string]float64{"modest-a": quarter, "modest-b": quarter, "roster": times*capacity - 2*quarter}
	good := map[string]*atomic.Int64{}
	rec := newRecorder()
	var wait sync.WaitGroup
	start := make(chan struct{})
	for service, rate := range offered {
		good[service] = &atomic.Int64{}
		callers := int(rate * callerPace.Seconds())
		for i := range callers {
			conn, err := connect(fleet.Instances[i%2].ClientAddr(), service, "")
			must.NoError(b, err)
			wait.Add(1)
			go func() {
				defer wait.Done()
				<-start
				offer(b, conn, good[service], rec)
			}()
		}
	}
	close(start)
	wait.Wait()
	total := 0.0
	for _, n := range good {
		total += float64(n.Load())
	}
	seconds := overloadTime.Seconds()
	b.ReportMetric(100*total/seconds/capacity, "%goodput")
	b.ReportMetric(100*float64(good["modest-a"].Load())/seconds/quarter, "%modest-a")
	b.ReportMetric(100*float64(good["modest-b"].Load())/seconds/quarter, "%modest-b")
	rec.report(b)
	fleet.Close()
}

// offer runs one statement a pace, whether or not the last one was served.
func offer(b *testing.B, conn *pgx.Conn, good *atomic.Int64, rec *recorder) {
	defer conn.Close(context.Background())
	deadline := time.Now().Add(overloadTime)
	next := time.Now().Add(time.Duration(rand.Int64N(int64(callerPace))))
	for next.Before(deadline) {
		time.Sleep(time.Until(next))
		started := next
		next = next.Add(callerPace)
		_, err := conn.Exec(context.Background(), "SELECT pg_sleep(0.010)")
		var refused *pgconn.PgError
		switch {
		case err == nil:
			good.Add(1)
			rec.add(time.Since(started))
		case errors.As(err, &refused) && refused.Code == "53300":
		default:
			b.Error(err)
			return
		}
	}
}
