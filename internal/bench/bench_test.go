// Package bench measures the whole path. Nothing here asserts a time.
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

const patience = 30 * time.Second

func startFleet(b testing.TB, opts standin.Options) *standin.Fleet {
	b.Helper()
	fleet, err := standin.Start(opts)
	must.NoError(b, err)
	b.Cleanup(fleet.Close)
	_, err = fleet.AwaitOwner(patience)
	must.NoError(b, err)
	return fleet
}

func dial(b testing.TB, addr string) *pgx.Conn {
	b.Helper()
	conn, err := connect(addr, "roster", "")
	must.NoError(b, err)
	b.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

func connect(addr, service, session string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig("postgres://" + service + "@" + addr + "/roster?sslmode=disable")
	if err != nil {
		return nil, err
	}
	if session != "" {
		cfg.RuntimeParams["options"] = "-c stackspindle.session=" + session
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return pgx.ConnectConfig(ctx, cfg)
}

// recorder collects latencies of many goroutines.
type recorder struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	return &recorder{hist: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (r *recorder) add(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.hist.RecordValue(max(d.Microseconds(), 1)) // longer than a minute is out of range
}

func (r *recorder) report(b *testing.B) {
	b.ReportMetric(float64(r.hist.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(r.hist.ValueAtQuantile(99)), "p99-µs")
}

// BenchmarkPath compares the direct path with one hop (the caller reaches the
// owner) and two (the caller reaches another instance), in one run.
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
	for _, callers := range []int{1, 16, 256} {
		for _, p := range paths {
			b.Run(fmt.Sprintf("callers=%d/%s", callers, p.name), func(b *testing.B) {
				runReads(b, p.addr, callers)
			})
		}
	}
}

func runReads(b *testing.B, addr string, callers int) {
	conns := make([]*pgx.Conn, callers)
	for i := range conns {
		conns[i] = dial(b, addr)
		var state string
		must.NoError(b, conns[i].QueryRow(context.Background(), "SELECT state FROM shifts WHERE id = $1", 1).Scan(&state))
	}
	rec := newRecorder()
	var left atomic.Int64
	left.Store(int64(b.N))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	var wait sync.WaitGroup
	for _, conn := range conns {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for left.Add(-1) >= 0 {
				started := time.Now()
				var state string
				if err := conn.QueryRow(context.Background(), "SELECT state FROM shifts WHERE id = $1", 1).Scan(&state); err != nil {
					b.Error(err)
					return
				}
				rec.add(time.Since(started))
			}
		}()
	}
	wait.Wait()
	b.StopTimer()
	runtime.ReadMemStats(&after)
	rec.report(b)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "stmt/s")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N), "allocs/stmt")
}

// BenchmarkIdleCallers measures the memory of connections that do nothing, after
// each has run one statement. Sizes give the slope.
func BenchmarkIdleCallers(b *testing.B) {
	for _, n := range []int{500, 1000, 2000} {
		b.Run(fmt.Sprintf("callers=%d", n), func(b *testing.B) {
			fleet := startFleet(b, standin.Options{Instances: 1, Adjust: func(s *config.Settings) { s.Client.MaxClients = 5000 }})
			addr := fleet.Instances[0].ClientAddr()
			for b.Loop() {
				before := memoryInUse()
				conns := make([]net.Conn, n)
				for i := range conns {
					conns[i] = idleCaller(b, addr)
				}
				perCaller := float64(memoryInUse()-before) / float64(n)
				b.ReportMetric(perCaller, "B/caller")
				for _, c := range conns {
					c.Close()
				}
			}
		})
	}
}

// memoryInUse returns heap and stacks after a collection, in bytes.
func memoryInUse() int64 {
	time.Sleep(100 * time.Millisecond)
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
