package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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

// BenchmarkFaultedWrites runs increments with request keys while faults are injected.
// It reports how many increments were lost, how many ran twice, how many reads
// returned an older value than their session had written, and how often a client gave
// up.
func BenchmarkFaultedWrites(b *testing.B) {
	for b.Loop() {
		measureFaultedWrites(b)
	}
}

const (
	faultWriters      = 20
	writesPerWriter   = 60
	faultInterval     = 700 * time.Millisecond
	meanWriteInterval = 600 * time.Millisecond // between two writes of a writer
)

func measureFaultedWrites(b *testing.B) {
	fleet := startFleet(b, standin.Options{Instances: 5, Ack: resource.AckReplica, Staleness: 30 * time.Second,
		SetUp: []string{"CREATE TABLE counters (id int PRIMARY KEY, n int)"}})
	setup := dial(b, fleet.Instances[0].ClientAddr())
	for w := range faultWriters {
		_, err := setup.Exec(context.Background(), "INSERT INTO counters VALUES ($1, 0)", w)
		must.NoError(b, err)
	}
	var addrs []string
	for _, inst := range fleet.Instances {
		addrs = append(addrs, inst.ClientAddr())
	}
	fleet.PinClientAddresses(addrs)
	done := make(chan struct{})
	faultCount := make(chan int)
	go injectFaults(fleet, done, faultCount)
	var repeats, stale, gaveUp atomic.Int64
	var wg sync.WaitGroup
	for w := range faultWriters {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range writesPerWriter {
				time.Sleep(time.Duration(rand.Int64N(int64(2 * meanWriteInterval))))
				attempts, readStale, ok := incrementAndRead(addrs, w, i)
				repeats.Add(int64(attempts - 1))
				if !ok {
					gaveUp.Add(1)
				}
				if readStale {
					stale.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	close(done)
	injected := <-faultCount
	lost, duplicated := 0, 0
	for w := range faultWriters {
		n, err := readCounter(addrs, w)
		must.NoError(b, err)
		lost += max(0, writesPerWriter-n)
		duplicated += max(0, n-writesPerWriter)
	}
	b.ReportMetric(faultWriters*writesPerWriter, "writes")
	b.ReportMetric(float64(injected), "faults")
	b.ReportMetric(float64(repeats.Load()), "repeats")
	b.ReportMetric(float64(lost), "lost")
	b.ReportMetric(float64(duplicated), "twice")
	b.ReportMetric(float64(stale.Load()), "stale")
	b.ReportMetric(float64(gaveUp.Load()), "gave-up")
	fleet.Close()
}

// injectFaults applies random faults one after another, repairing each before the
// next, until done is closed. Then it sends the number of faults.
func injectFaults(fleet *standin.Fleet, done chan struct{}, count chan int) {
	n := 0
	for {
		select {
		case <-done:
			count <- n
			return
		case <-time.After(faultInterval):
		}
		n++
		primary := fleet.Group.ByName(primaryOf(fleet))
		switch rand.IntN(6) {
		case 0:
			primary.Kill()
			time.Sleep(faultInterval)
			_ = primary.Restart() // fails only if another process has taken the port meanwhile
		case 1:
			primary.Pause()
			time.Sleep(2 * faultInterval)
			primary.Resume()
		case 2:
			primary.DropAnswers(10)
		case 3:
			owner := fleet.Owner()
			if owner >= 0 {
				fleet.Kill(owner)
				time.Sleep(faultInterval)
				_, _ = fleet.StartInstance(owner) // if it fails, the benchmark goes on with one instance less
			}
		case 4:
			fleet.Store.SetDown(true)
			time.Sleep(faultInterval)
			fleet.Store.SetDown(false)
		case 5:
			primary.DelayAnswers(100 * time.Millisecond)
			time.Sleep(faultInterval)
			primary.DelayAnswers(0)
		}
	}
}

// incrementAndRead retries one increment with the same request key through random
// instances until it is acknowledged. Then it reads the counter in the same session
// through another random instance; stale reports that the value is older than the
// increment. Not ok means that it gave up.
func incrementAndRead(addrs []string, writer, i int) (attempts int, stale, ok bool) {
	key, session := fmt.Sprintf("w%d-%d", writer, i), fmt.Sprintf("writer-%d", writer)
	deadline := time.Now().Add(2 * waitTimeout)
	for time.Now().Before(deadline) {
		attempts++
		if incrementWithRequestKey(addrs[rand.IntN(len(addrs))], session, key, writer) != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		conn, err := connect(addrs[rand.IntN(len(addrs))], "roster", session)
		if err != nil {
			return attempts, false, true
		}
		defer conn.Close(context.Background())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var n int
		if err := conn.QueryRow(ctx, "SELECT n FROM counters WHERE id = $1", writer).Scan(&n); err == nil && n < i+1 {
			return attempts, true, true
		}
		return attempts, false, true
	}
	return attempts, false, false
}

// incrementWithRequestKey makes one attempt to increment the counter of a writer.
func incrementWithRequestKey(addr, session, key string, writer int) error {
	conn, err := connect(addr, "roster", session)
	if err != nil {
		return err
	}
	defer conn.Close(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := conn.Exec(ctx, "SET stackspindle.request_key = '"+key+"'"); err != nil {
		return err
	}
	_, err = conn.Exec(ctx, "UPDATE counters SET n = n + 1 WHERE id = $1", writer)
	return err
}

// readCounter reads the counter of a writer in its session, with retries through
// random instances.
func readCounter(addrs []string, writer int) (int, error) {
	var lastErr error
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		conn, err := connect(addrs[rand.IntN(len(addrs))], "roster", fmt.Sprintf("writer-%d", writer))
		if err != nil {
			lastErr = err
			continue
		}
		var n int
		lastErr = conn.QueryRow(context.Background(), "SELECT n FROM counters WHERE id = $1", writer).Scan(&n)
		conn.Close(context.Background())
		if lastErr == nil {
			return n, nil
		}
	}
	return 0, lastErr
}

// BenchmarkAcknowledgement compares the write latency of the two acknowledgement
// modes at a replica lag of 10 ms and a round trip of 3 ms to the members.
func BenchmarkAcknowledgement(b *testing.B) {
	for _, ack := range []resource.Acknowledgement{resource.AckPrimary, resource.AckReplica} {
		b.Run(string(ack), func(b *testing.B) {
			fleet := startFleet(b, standin.Options{Instances: 1, Ack: ack, Lag: 10 * time.Millisecond, Connections: 16})
			time.Sleep(200 * time.Millisecond)
			for i := range 3 {
				fleet.Group.Member(i).DelayAnswers(3 * time.Millisecond)
			}
			conns := make([]*pgx.Conn, 16)
			for i := range conns {
				conns[i] = dial(b, fleet.Instances[0].ClientAddr())
			}
			var id atomic.Int64
			rec := newLatencyRecorder()
			b.ResetTimer()
			var wg sync.WaitGroup
			for _, conn := range conns {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for n := id.Add(1); n <= int64(b.N); n = id.Add(1) {
						started := time.Now()
						_, err := conn.Exec(context.Background(), "INSERT INTO shifts VALUES ($1, 'a', 'open')", n)
						var pgErr *pgconn.PgError
						if err != nil && !errors.As(err, &pgErr) {
							b.Error(err)
							return
						}
						rec.record(time.Since(started))
					}
				}()
			}
			wg.Wait()
			rec.report(b)
		})
	}
}
