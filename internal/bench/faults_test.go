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

// BenchmarkFaultedWrites runs keyed increments through a storm of faults and
// counts what was lost, what ran twice, and what its session read too old.
func BenchmarkFaultedWrites(b *testing.B) {
	for b.Loop() {
		measureFaultedWrites(b)
	}
}

const (
	faultWriters  = 20
	faultWrites   = 60 // of each writer
	faultInterval = 700 * time.Millisecond
	faultPace     = 600 * time.Millisecond // mean time between two writes of a writer
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
	fleet.PinCallerAddresses(addrs)
	done := make(chan struct{})
	faults := make(chan int)
	go storm(fleet, done, faults)
	var repeats, stale, gaveUp atomic.Int64
	var wait sync.WaitGroup
	for w := range faultWriters {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range faultWrites {
				time.Sleep(time.Duration(rand.Int64N(int64(2 * faultPace))))
				tries, old, ok := increment(addrs, w, i)
				repeats.Add(int64(tries - 1))
				if !ok {
					gaveUp.Add(1)
				}
				if old {
					stale.Add(1)
				}
			}
		}()
	}
	wait.Wait()
	close(done)
	injected := <-faults
	lost, twice := 0, 0
	for w := range faultWriters {
		n, err := readCounter(addrs, w)
		must.NoError(b, err)
		lost += max(0, faultWrites-n)
		twice += max(0, n-faultWrites)
	}
	b.ReportMetric(faultWriters*faultWrites, "writes")
	b.ReportMetric(float64(injected), "faults")
	b.ReportMetric(float64(repeats.Load()), "repeats")
	b.ReportMetric(float64(lost), "lost")
	b.ReportMetric(float64(twice), "twice")
	b.ReportMetric(float64(stale.Load()), "stale")
	b.ReportMetric(float64(gaveUp.Load()), "gave-up")
	fleet.Close()
}

// storm applies one fault after another and repairs it before the next.
func storm(fleet *standin.Fleet, done chan struct{}, count chan int) {
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
			_ = primary.Restart() // the port was its own a moment ago
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
				_, _ = fleet.StartInstance(owner) // a failure shows as an instance less
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

// increment repeats one keyed increment over changing instances until it is
// acknowledged, then reads the counter in the same session elsewhere.
func increment(addrs []string, writer, i int) (tries int, stale, ok bool) {
	key, session := fmt.Sprintf("w%d-%d", writer, i), fmt.Sprintf("writer-%d", writer)
	deadline := time.Now().Add(2 * patience)
	for time.Now().Before(deadline) {
		tries++
		if keyedIncrement(addrs[rand.IntN(len(addrs))], session, key, writer) != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		conn, err := connect(addrs[rand.IntN(len(addrs))], "roster", session)
		if err != nil {
			return tries, false, true
		}
		defer conn.Close(context.Background())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var n int
		if err := conn.QueryRow(ctx, "SELECT n FROM counters WHERE id = $1", writer).Scan(&n); err == nil && n < i+1 {
			return tries, true, true
		}
		return tries, false, true
	}
	return tries, false, false
}

func keyedIncrement(addr, session, key string, writer int) error {
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

func readCounter(addrs []string, writer int) (int, error) {
	var last error
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		conn, err := connect(addrs[rand.IntN(len(addrs))], "roster", fmt.Sprintf("writer-%d", writer))
		if err != nil {
			last = err
			continue
		}
		var n int
		last = conn.QueryRow(context.Background(), "SELECT n FROM counters WHERE id = $1", writer).Scan(&n)
		conn.Close(context.Background())
		if last == nil {
			return n, nil
		}
	}
	return 0, last
}

// BenchmarkAcknowledgement compares the two acknowledgements at a lag of 10 ms
// and a round trip of 3 ms.
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
			rec := newRecorder()
			b.ResetTimer()
			var wait sync.WaitGroup
			for _, conn := range conns {
				wait.Add(1)
				go func() {
					defer wait.Done()
					for n := id.Add(1); n <= int64(b.N); n = id.Add(1) {
						started := time.Now()
						_, err := conn.Exec(context.Background(), "INSERT INTO shifts VALUES ($1, 'a', 'open')", n)
						var refused *pgconn.PgError
						if err != nil && !errors.As(err, &refused) {
							b.Error(err)
							return
						}
						rec.add(time.Since(started))
					}
				}()
			}
			wait.Wait()
			rec.report(b)
		})
	}
}
