// Package bench has the end-to-end benchmarks: clients, instances and in-process
// stand-ins for the members of the database group and for the platform's store. The
// benchmarks report times and do not assert any.
//
// The owner of a group is the instance that runs its statements; the ingress
// instance is the one that a client is connected to.
package bench

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/config"
	"github.com/stackspindle/stackspindle/internal/standin"
)

// waitTimeout limits every wait.
const waitTimeout = 30 * time.Second

// startFleet starts a fleet and waits until its group has an owner.
func startFleet(b testing.TB, opts standin.Options) *standin.Fleet {
	b.Helper()
	fleet, err := standin.Start(opts)
	must.NoError(b, err)
	b.Cleanup(fleet.Close)
	_, err = fleet.AwaitOwner(waitTimeout)
	must.NoError(b, err)
	return fleet
}

// dial opens a client connection that is closed when the benchmark ends.
func dial(b testing.TB, addr string) *pgx.Conn {
	b.Helper()
	conn, err := connect(addr, "roster", "")
	must.NoError(b, err)
	b.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

// connect opens a client connection as a service. An empty session means none.
func connect(addr, service, session string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig("postgres://" + service + "@" + addr + "/roster?sslmode=disable")
	if err != nil {
		return nil, err
	}
	if session != "" {
		cfg.RuntimeParams["options"] = "-c stackspindle.session=" + session
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return pgx.ConnectConfig(ctx, cfg)
}

// latencyRecorder is a histogram of latencies in µs. It is safe for concurrent use.
type latencyRecorder struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func newLatencyRecorder() *latencyRecorder {
	return &latencyRecorder{hist: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (r *latencyRecorder) record(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.hist.RecordValue(max(d.Microseconds(), 1)) // values over a minute are out of range and ignored
}

func (r *latencyRecorder) report(b *testing.B) {
	b.ReportMetric(float64(r.hist.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(r.hist.ValueAtQuantile(99)), "p99-µs")
}

// BenchmarkPath compares, in one run, reads directly at a member, through one hop
// (the client is connected to the owner) and through two hops (the client is
// connected to an ingress instance that forwards to the owner).
func BenchmarkPath(b *testing.B) {
	fleet := startFleet(b, standin.Options{Instances: 2, Connections: 64})
	setup := dial(b, fleet.Instances[0].ClientAddr())
	_, err := setup.Exec(context.Background(), "INSERT INTO shifts VALUES (1, 'amal', 'open')")
	must.NoError(b, err)
	owner := fleet.Owner()
	paths := []struct {
		name, addr string
	}{
		{"direct", fleet.Group.Member(1).Addr()},
		{"one-hop", fleet.Instances[owner].ClientAddr()},
		{"two-hops", fleet.Instances[1-owner].ClientAddr()},
	}
	for _, clients := range []int{1, 16, 256} {
		for _, p := range paths {
			b.Run(fmt.Sprintf("callers=%d/%s", clients, p.name), func(b *testing.B) {
				runReads(b, p.addr, clients)
			})
		}
	}
}

// runReads spreads b.N reads over the connections of the clients.
func runReads(b *testing.B, addr string, clients int) {
	conns := make([]*pgx.Conn, clients)
	for i := range conns {
		conns[i] = dial(b, addr)
		var state string
		must.NoError(b, conns[i].QueryRow(context.Background(), "SELECT state FROM shifts WHERE id = $1", 1).Scan(&state))
	}
	rec := newLatencyRecorder()
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	var wg sync.WaitGroup
	for _, conn := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for remaining.Add(-1) >= 0 {
				started := time.Now()
				var state string
				if err := conn.QueryRow(context.Background(), "SELECT state FROM shifts WHERE id = $1", 1).Scan(&state); err != nil {
					b.Error(err)
					return
				}
				rec.record(time.Since(started))
			}
		}()
	}
	wg.Wait()
	b.StopTimer()
	runtime.ReadMemStats(&after)
	rec.report(b)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "stmt/s")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N), "allocs/stmt")
}

// BenchmarkIdleCallers measures the memory of idle client connections, each of which
// has run one statement. Several numbers of connections show how it grows.
func BenchmarkIdleCallers(b *testing.B) {
	for _, n := range []int{500, 1000, 2000} {
		b.Run(fmt.Sprintf("callers=%d", n), func(b *testing.B) {
			fleet := startFleet(b, standin.Options{Instances: 1, Adjust: func(s *config.Settings) { s.Client.MaxClients = 5000 }})
			addr := fleet.Instances[0].ClientAddr()
			for b.Loop() {
				before := memoryInUse()
				conns := make([]net.Conn, n)
				for i := range conns {
					conns[i] = connectIdleClient(b, addr)
				}
				perClient := float64(memoryInUse()-before) / float64(n)
				b.ReportMetric(perClient, "B/caller")
				for _, c := range conns {
					c.Close()
				}
			}
		})
	}
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() int64 {
	time.Sleep(100 * time.Millisecond)
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
