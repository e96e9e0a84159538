package e2e

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/owner"
	"github.com/stackspindle/stackspindle/internal/resource"
	"github.com/stackspindle/stackspindle/internal/standin"
)

// entryOf returns an instance that is not the owner.
func entryOf(t *testing.T, fleet *standin.Fleet) int {
	t.Helper()
	o := fleet.Owner()
	for i, inst := range fleet.Instances {
		if inst != nil && i != o {
			return i
		}
	}
	must.Unreachable(t, must.Sprint("every instance is the owner"))
	return -1
}

// A session that has just written reads it back through any instance, whatever
// the lag and however stale a read its service accepts.
func TestSessionReadsItsWritesEverywhere(t *testing.T) {
	for _, lag := range []time.Duration{0, 20 * time.Millisecond, 10 * time.Second} {
		for _, staleness := range []time.Duration{0, 30 * time.Second} {
			fleet := startFleet(t, standin.Options{Instances: 3, Lag: lag, Staleness: staleness})
			var conns []*pgx.Conn
			for _, inst := range fleet.Instances {
				conns = append(conns, connect(t, inst.ClientAddr(), "amal"))
			}
			for id := range 9 {
				exec(t, conns[id%3], "INSERT INTO shifts VALUES ($1, 'amal', 'open')", id)
				for _, conn := range conns {
					must.Eq(t, 1, count(t, conn, id))
				}
			}
		}
	}
}

// The same across a change of owner, and across a failover.
func TestSessionReadsItsWritesAfterFailures(t *testing.T) {
	for name, disturb := range map[string]func(*standin.Fleet){
		"owner dead":   func(f *standin.Fleet) { f.Kill(f.Owner()) },
		"primary dead": func(f *standin.Fleet) { f.Group.ByName(primaryOf(f)).Kill() },
	} {
		t.Run(name, func(t *testing.T) {
			fleet := startFleet(t, standin.Options{Instances: 3, Staleness: 30 * time.Second, Ack: resource.AckReplica})
			entry := entryOf(t, fleet)
			addr := fleet.Instances[entry].ClientAddr()
			exec(t, connect(t, addr, "amal"), "INSERT INTO shifts VALUES (1, 'amal', 'open')")
			disturb(fleet)
			insertUntilServed(t, addr, 100)
			for _, inst := range fleet.Instances {
				if inst != nil {
					must.Eq(t, 1, count(t, connect(t, inst.ClientAddr(), "amal"), 1))
				}
			}
		})
	}
}

// primaryOf returns the primary that is served, waiting for one if need be.
func primaryOf(f *standin.Fleet) string {
	for {
		if i := f.Owner(); i >= 0 {
			st, _ := f.Instances[i].Group("roster")
			return st.Primary
		}
		time.Sleep(time.Millisecond)
	}
}

// A failed primary is replaced without anybody's help, also while the platform's
// service is down. Refused as not run was not run; every acknowledged row is there.
func TestPrimaryFailuresUnderLoad(t *testing.T) {
	faults := map[string]func(*standin.Fleet){
		"dead": func(f *standin.Fleet) { f.Group.ByName(primaryOf(f)).Kill() },
		"cut off from the owner": func(f *standin.Fleet) {
			f.Group.ByName(primaryOf(f)).CutFrom(f.Instances[f.Owner()].Name())
		},
		"frozen":         func(f *standin.Fleet) { f.Group.ByName(primaryOf(f)).Pause() },
		"owner dead":     func(f *standin.Fleet) { f.Kill(f.Owner()) },
		"both dead":      func(f *standin.Fleet) { f.Group.ByName(primaryOf(f)).Kill(); f.Kill(f.Owner()) },
		"lost answers":   func(f *standin.Fleet) { f.Group.ByName(primaryOf(f)).DropAnswers(5) },
		"cut from peers": func(f *standin.Fleet) { cutPrimaryFromPeers(f) },
	}
	for name, fault := range faults {
		for _, storeDown := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, store down %t", name, storeDown), func(t *testing.T) {
				t.Parallel()
				fleet := startFleet(t, standin.Options{Instances: 4, Ack: resource.AckReplica})
				fleet.Store.SetDown(storeDown)
				entry := entryOf(t, fleet)
				ledger := startWriters(fleet.Instances[entry].ClientAddr(), 4)
				eventually(t, "writes are acknowledged", func() bool { return ledger.acked() > 50 })
				fault(fleet)
				before := ledger.acked()
				last := insertUntilServed(t, fleet.Instances[entry].ClientAddr(), 1_000_000)
				eventually(t, "writes go on", func() bool { return ledger.acked() > before+50 })
				ledger.stop()
				check := connect(t, fleet.Instances[entry].ClientAddr(), "check")
				must.Eq(t, 1, count(t, check, last))
				ledger.verify(t, check)
			})
		}
	}
}

func cutPrimaryFromPeers(f *standin.Fleet) {
	primary := primaryOf(f)
	for i := range 3 {
		for j := range 3 {
			if i != j && (f.Group.Member(i).Name == primary || f.Group.Member(j).Name == primary) {
				f.Group.CutLink(i, j, true)
			}
		}
	}
}

// ledger keeps what writers were told about each of their rows.
type ledger struct {
	mu       sync.Mutex
	outcomes map[int]string // id to "acked", "not run" or "unknown"
	last     error          // of a write that was not acknowledged
	ackCount atomic.Int64
	stopped  atomic.Bool
	wait     sync.WaitGroup
}

func (l *ledger) acked() int64 { return l.ackCount.Load() }

// nextWriter gives each writer of the test binary rows of its own.
var nextWriter atomic.Int64

func startWriters(addr string, n int) *ledger {
	l := &ledger{outcomes: make(map[int]string)}
	for range n {
		l.wait.Add(1)
		first := 100_000_000 + int(nextWriter.Add(1))*1_000_000
		go func() {
			defer l.wait.Done()
			l.write(addr, first)
		}()
	}
	return l
}

func (l *ledger) write(addr string, id int) {
	var conn *pgx.Conn
	for !l.stopped.Load() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		if conn == nil || conn.IsClosed() {
			var err error
			if conn, err = dial(ctx, addr, ""); err != nil {
				cancel()
				time.Sleep(5 * time.Millisecond)
				continue
			}
		}
		id++
		_, err := conn.Exec(ctx, "INSERT INTO shifts VALUES ($1, 'w', 'open')", id)
		cancel()
		l.note(id, err)
	}
	if conn != nil {
		conn.Close(context.Background())
	}
}

func (l *ledger) note(id int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.last = fmt.Errorf("row %d: %w", id, err)
	}
	switch state := sqlState(err); {
	case err == nil:
		l.outcomes[id] = "acked"
		l.ackCount.Add(1)
	case state == "" || state == "08007":
		l.outcomes[id] = "unknown"
	default:
		l.outcomes[id] = "not run"
	}
}

func (l *ledger) stop() {
	l.stopped.Store(true)
	l.wait.Wait()
}

// verify compares the rows with what the writers were told.
func (l *ledger) verify(t *testing.T, conn *pgx.Conn) {
	t.Helper()
	rows, err := conn.Query(testContext(t), "SELECT id FROM shifts")
	must.NoError(t, err)
	ids, err := pgx.CollectRows(rows, pgx.RowTo[int])
	must.NoError(t, err)
	present := make(map[int]bool, len(ids))
	for _, id := range ids {
		present[id] = true
	}
	for id, outcome := range l.outcomes {
		if outcome == "acked" && !present[id] {
			t.Errorf("row %d was acknowledged and is lost", id)
		}
		if outcome == "not run" && present[id] {
			t.Errorf("row %d was refused as not run and is there", id)
		}
	}
}

// freezer stops everything that an instance does, as a paused process.
type freezer struct {
	instance atomic.Int64
	step     atomic.Value // owner.Step at which to freeze, "" for none
	mu       sync.Mutex
	frozen   chan struct{} // non-nil while frozen
	reached  chan struct{}
}

func newFreezer() *freezer {
	f := &freezer{reached: make(chan struct{}, 1)}
	f.instance.Store(-1)
	f.step.Store(owner.Step(""))
	return f
}

func (f *freezer) arm(instance int, step owner.Step) {
	f.step.Store(step)
	f.instance.Store(int64(instance))
}

func (f *freezer) thaw() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.frozen != nil {
		close(f.frozen)
		f.frozen = nil
	}
}

// pause is the hook: the first armed step freezes the whole instance.
func (f *freezer) pause(i int, s owner.Step) {
	if int64(i) != f.instance.Load() {
		return
	}
	f.mu.Lock()
	if s != owner.StepControl && s == f.step.Load() && f.frozen == nil {
		f.frozen = make(chan struct{})
		f.step.Store(owner.Step(""))
		f.reached <- struct{}{}
	}
	frozen := f.frozen
	f.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

// An owner that is paused at any step of a write, replaced meanwhile and resumed
// must not acknowledge: the caller gets "unknown", or "not run" truthfully.
func TestOwnerPausedAtEveryStep(t *testing.T) {
	for _, step := range []owner.Step{owner.StepSend, owner.StepAnswered, owner.StepReply} {
		t.Run(string(step), func(t *testing.T) {
			t.Parallel()
			freeze := newFreezer()
			fleet := startFleet(t, standin.Options{Instances: 3, Pause: freeze.pause})
			t.Cleanup(freeze.thaw)
			old := fleet.Owner()
			conn := connect(t, fleet.Instances[old].ClientAddr(), "")
			exec(t, conn, "SELECT 1")
			freeze.arm(old, step)
			result := make(chan error, 1)
			go func() {
				_, err := conn.Exec(context.Background(), "INSERT INTO shifts VALUES (1, 'paused', 'open')")
				result <- err
			}()
			<-freeze.reached
			other := (old + 1) % 3
			insertUntilServed(t, fleet.Instances[other].ClientAddr(), 100)
			freeze.thaw()
			err := <-result
			must.Error(t, err)
			switch sqlState(err) {
			case "08007":
			case "57P03":
				must.Eq(t, 0, count(t, connect(t, fleet.Instances[other].ClientAddr(), ""), 1))
			default:
				must.Unreachable(t, must.Sprint(err))
			}
			eventually(t, "the old owner stands down", func() bool {
				st, _ := fleet.Instances[old].Group("roster")
				return !st.Serving
			})
		})
	}
}

// Where a failover has lost acknowledged work, its session is told and never
// reads an older state; it may go on once it says so.
func TestLostWritesAreToldToTheirSession(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 2})
	eventually(t, "the replicas hold the table", func() bool {
		return fleet.Group.Member(1).Position().Index > 0 && fleet.Group.Member(2).Position().Index > 0
	})
	fleet.Group.SetLag(time.Hour)
	entry := entryOf(t, fleet)
	addr := fleet.Instances[entry].ClientAddr()
	session := connect(t, addr, "amal")
	exec(t, session, "INSERT INTO shifts VALUES (1, 'amal', 'open')")
	fleet.Group.ByName(primaryOf(fleet)).Kill()
	insertUntilServed(t, addr, 100)
	for _, inst := range fleet.Instances {
		_, err := connect(t, inst.ClientAddr(), "amal").Exec(testContext(t), "SELECT * FROM shifts")
		must.Eq(t, "SS001", sqlState(err))
	}
	must.Eq(t, 0, count(t, connect(t, addr, "other"), 1))
	exec(t, session, "SET stackspindle.accept_loss = on")
	must.Eq(t, 0, count(t, session, 1))
}

// A leaving member gets no new work; a leaving primary is replaced while its
// open transaction ends by itself.
func TestLeavingMembersAreEmptied(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 2})
	primary := primaryOf(fleet)
	addr := fleet.Instances[0].ClientAddr()
	tx, err := connect(t, addr, "").Begin(testContext(t))
	must.NoError(t, err)
	_, err = tx.Exec(testContext(t), "INSERT INTO shifts VALUES (1, 'open', 'open')")
	must.NoError(t, err)
	fleet.Customise(func(d *resource.DatabaseSpec) {
		for i := range d.Members {
			d.Members[i].Leaving = d.Members[i].Name == primary
		}
	})
	id := 1000
	eventually(t, "the primary is drained", func() bool {
		id++
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		conn, err := dial(context.Background(), addr, "")
		must.NoError(t, err)
		defer conn.Close(context.Background())
		_, err = conn.Exec(ctx, "INSERT INTO shifts VALUES ($1, 'next', 'open')", id)
		return err != nil
	})
	must.NoError(t, tx.Commit(testContext(t)))
	eventually(t, "another primary serves", func() bool { return fleet.Owner() >= 0 && primaryOf(fleet) != primary })
	insertUntilServed(t, addr, 100)
	must.Eq(t, 1, count(t, connect(t, addr, "x"), 1))
	for range 50 {
		must.Eq(t, 1, count(t, connect(t, addr, "x"), 1))
	}
	eventually(t, "only control connections are left", func() bool { return fleet.Group.ByName(primary).Connections() <= 2 })
}
