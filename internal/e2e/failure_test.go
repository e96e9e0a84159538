package e2e

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/owner"
	"github.com/stackspindle/stackspindle/internal/resource"
	"github.com/stackspindle/stackspindle/internal/standin"
)

// nonOwnerIndex returns the index of a running instance that is not the owner.
func nonOwnerIndex(t *testing.T, fleet *standin.Fleet) int {
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

// Read your writes: a session must see its own writes through every instance, for
// any replica lag and any staleness that its service accepts.
func TestReadYourWritesThroughAnyInstance(t *testing.T) {
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
					must.Eq(t, 1, countRows(t, conn, id))
				}
			}
		}
	}
}

// Read your writes, after the owner or the primary has failed.
func TestReadYourWritesAfterFailover(t *testing.T) {
	for name, injectFault := range map[string]func(*standin.Fleet){
		"owner dead":   func(f *standin.Fleet) { f.Kill(f.Owner()) },
		"primary dead": func(f *standin.Fleet) { f.Group.ByName(primaryOf(f)).Kill() },
	} {
		t.Run(name, func(t *testing.T) {
			fleet := startFleet(t, standin.Options{Instances: 3, Staleness: 30 * time.Second, Ack: resource.AckReplica})
			ingress := nonOwnerIndex(t, fleet)
			addr := fleet.Instances[ingress].ClientAddr()
			exec(t, connect(t, addr, "amal"), "INSERT INTO shifts VALUES (1, 'amal', 'open')")
			injectFault(fleet)
			insertUntilAcknowledged(t, addr, 100)
			for _, inst := range fleet.Instances {
				if inst != nil {
					must.Eq(t, 1, countRows(t, connect(t, inst.ClientAddr(), "amal"), 1))
				}
			}
		})
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

// A failed primary or owner must be replaced automatically, also while the
// platform's store is down. A statement that was rejected as not run must not have
// run, and no acknowledged row may be lost.
func TestPrimaryFailuresUnderLoad(t *testing.T) {
	faults := map[string]func(*standin.Fleet){
		"dead": func(f *standin.Fleet) { f.Group.ByName(primaryOf(f)).Kill() },
		"cut off from the owner": func(f *standin.Fleet) {
			f.Group.ByName(primaryOf(f)).BlockTraffic(f.Instances[f.Owner()].Name())
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
				ingress := nonOwnerIndex(t, fleet)
				log := startWriters(fleet.Instances[ingress].ClientAddr(), 4)
				eventually(t, "writes are acknowledged", func() bool { return log.acknowledged() > 50 })
				fault(fleet)
				before := log.acknowledged()
				last := insertUntilAcknowledged(t, fleet.Instances[ingress].ClientAddr(), 1_000_000)
				eventually(t, "writes go on", func() bool { return log.acknowledged() > before+50 })
				log.stop()
				check := connect(t, fleet.Instances[ingress].ClientAddr(), "check")
				must.Eq(t, 1, countRows(t, check, last))
				log.verify(t, check)
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

// writeLog records the outcome that was reported to writers for each row.
type writeLog struct {
	mu       sync.Mutex
	outcomes map[int]string // id to "acked", "not run" or "unknown"
	lastErr  error          // of the last write that was not acknowledged
	ackCount atomic.Int64
	stopped  atomic.Bool
	wg       sync.WaitGroup
}

func (l *writeLog) acknowledged() int64 { return l.ackCount.Load() }

// writerCount numbers the writers of all tests, so that no two write the same ids.
var writerCount atomic.Int64

// startWriters starts n goroutines that insert rows through the instance at addr
// until the log is stopped.
func startWriters(addr string, n int) *writeLog {
	l := &writeLog{outcomes: make(map[int]string)}
	for range n {
		l.wg.Add(1)
		base := 100_000_000 + int(writerCount.Add(1))*1_000_000
		go func() {
			defer l.wg.Done()
			l.write(addr, base)
		}()
	}
	return l
}

// write inserts rows with ascending ids, from id+1 on, until the log is stopped.
func (l *writeLog) write(addr string, id int) {
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
		l.record(id, err)
	}
	if conn != nil {
		conn.Close(context.Background())
	}
}

// record classifies the outcome of one insert. Without an SQLSTATE (connection
// lost) or with 08007 (outcome unknown) the row may or may not exist.
func (l *writeLog) record(id int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.lastErr = fmt.Errorf("row %d: %w", id, err)
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

func (l *writeLog) stop() {
	l.stopped.Store(true)
	l.wg.Wait()
}

// verify fails the test if an acknowledged row is missing or if a row exists whose
// insert was rejected as not run.
func (l *writeLog) verify(t *testing.T, conn *pgx.Conn) {
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
			t.Errorf("row %d was acknowledged but is missing", id)
		}
		if outcome == "not run" && present[id] {
			t.Errorf("row %d was rejected as not run but exists", id)
		}
	}
}

// pauser blocks all goroutines of an instance's groups, like a paused process. Its
// hook is the fleet's Options.FaultHook.
type pauser struct {
	instance atomic.Int64
	step     atomic.Value // owner.Step at which to pause, "" for none
	mu       sync.Mutex
	paused   chan struct{} // non-nil while paused, closed on resume
	reached  chan struct{} // receives a value when the step is reached
	replies  int           // answers that the instance has been about to pass on since it was armed
}

func newPauser() *pauser {
	p := &pauser{reached: make(chan struct{}, 1)}
	p.instance.Store(-1)
	p.step.Store(owner.Step(""))
	return p
}

// arm makes the instance pause when it next reaches the step.
func (p *pauser) arm(instance int, step owner.Step) {
	p.mu.Lock()
	p.replies = 0
	p.mu.Unlock()
	p.step.Store(step)
	p.instance.Store(int64(instance))
}

func (p *pauser) numReplies() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replies
}

func (p *pauser) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused != nil {
		close(p.paused)
		p.paused = nil
	}
}

// hook blocks while the instance is paused. The first call at the armed step pauses
// the whole instance.
func (p *pauser) hook(i int, s owner.Step) {
	if int64(i) != p.instance.Load() {
		return
	}
	p.mu.Lock()
	if s == owner.StepReply {
		p.replies++
	}
	if s != owner.StepControl && s == p.step.Load() && p.paused == nil {
		p.paused = make(chan struct{})
		p.step.Store(owner.Step(""))
		p.reached <- struct{}{}
	}
	paused := p.paused
	p.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

// Guards against a stale owner: one that is paused at some step of a write,
// replaced meanwhile and then resumed must not acknowledge the write. The client
// gets "outcome unknown" (08007), or "not run" (57P03) if the row does not exist. If the
// owner refuses the write before it has sent it, the instance runs it at the successor.
func TestOwnerPausedAtEveryStep(t *testing.T) {
	for _, step := range []owner.Step{owner.StepSend, owner.StepAnswered, owner.StepReply} {
		t.Run(string(step), func(t *testing.T) {
			t.Parallel()
			ownerPauser := newPauser()
			fleet := startFleet(t, standin.Options{Instances: 3, FaultHook: ownerPauser.hook})
			t.Cleanup(ownerPauser.resume)
			old := fleet.Owner()
			conn := connect(t, fleet.Instances[old].ClientAddr(), "")
			exec(t, conn, "SELECT 1")
			ownerPauser.arm(old, step)
			result := make(chan error, 1)
			go func() {
				_, err := conn.Exec(context.Background(), "INSERT INTO shifts VALUES (1, 'paused', 'open')")
				result <- err
			}()
			<-ownerPauser.reached
			other := (old + 1) % 3
			insertUntilAcknowledged(t, fleet.Instances[other].ClientAddr(), 100)
			ownerPauser.resume()
			err := <-result
			rows := countRows(t, connect(t, fleet.Instances[other].ClientAddr(), ""), 1)
			switch {
			case err == nil:
				must.Eq(t, owner.StepSend, step, must.Sprint("the old owner had sent the write"))
				must.Eq(t, 0, ownerPauser.numReplies(), must.Sprint("the old owner passed on an answer"))
				must.Eq(t, 1, rows)
			case sqlState(err) == "08007":
			case sqlState(err) == "57P03":
				must.Eq(t, 0, rows)
			default:
				must.Unreachable(t, must.Sprint(err))
			}
			eventually(t, "the old owner stops serving", func() bool {
				st, _ := fleet.Instances[old].Group("roster")
				return !st.Serving
			})
		})
	}
}

// Guards against stale reads through an owner that was paused and replaced meanwhile: reads that
// begin after the successor has acknowledged a write see it, or fail.
func TestReadsThroughPausedOwnerAreNotStale(t *testing.T) {
	const bound = 100 * time.Millisecond
	for _, staleness := range []time.Duration{0, bound} {
		for _, step := range []owner.Step{owner.StepSend, owner.StepAnswered, owner.StepReply} {
			t.Run(fmt.Sprintf("%s/%s", staleness, step), func(t *testing.T) {
				t.Parallel()
				ownerPauser := newPauser()
				fleet := startFleet(t, standin.Options{Instances: 3, Staleness: staleness, FaultHook: ownerPauser.hook})
				t.Cleanup(ownerPauser.resume)
				old := fleet.Owner()
				var conns []*pgx.Conn
				for range 4 {
					conns = append(conns, connect(t, fleet.Instances[old].ClientAddr(), ""))
				}
				for _, conn := range conns {
					exec(t, conn, "SELECT 1")
				}
				ownerPauser.arm(old, step)
				var reads sync.WaitGroup
				reads.Go(func() { _, _ = conns[0].Exec(context.Background(), "SELECT count(*) FROM shifts") }) // served or not
				<-ownerPauser.reached
				id := insertUntilAcknowledged(t, fleet.Instances[(old+1)%3].ClientAddr(), 100)
				time.Sleep(staleness)
				for _, conn := range conns[1:] {
					reads.Go(func() {
						var count int
						err := conn.QueryRow(context.Background(), "SELECT count(*) FROM shifts WHERE id = $1", id).Scan(&count)
						if err == nil {
							test.Eq(t, 1, count)
						}
					})
				}
				ownerPauser.resume()
				reads.Wait()
			})
		}
	}
}

// When a failover has lost acknowledged writes, their session must get an error
// (SS001) instead of a read of the older state, until it accepts the loss. Replicas
// lag by an hour here, so the write exists only on the primary that is killed.
func TestLostWritesAreReportedToTheirSession(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 2})
	eventually(t, "the replicas have the table", func() bool {
		return fleet.Group.Member(1).Position().Index > 0 && fleet.Group.Member(2).Position().Index > 0
	})
	fleet.Group.SetLag(time.Hour)
	ingress := nonOwnerIndex(t, fleet)
	addr := fleet.Instances[ingress].ClientAddr()
	session := connect(t, addr, "amal")
	exec(t, session, "INSERT INTO shifts VALUES (1, 'amal', 'open')")
	fleet.Group.ByName(primaryOf(fleet)).Kill()
	insertUntilAcknowledged(t, addr, 100)
	for _, inst := range fleet.Instances {
		_, err := connect(t, inst.ClientAddr(), "amal").Exec(testContext(t), "SELECT * FROM shifts")
		must.Eq(t, "SS001", sqlState(err))
	}
	must.Eq(t, 0, countRows(t, connect(t, addr, "other"), 1))
	exec(t, session, "SET stackspindle.accept_loss = on")
	must.Eq(t, 0, countRows(t, session, 1))
}

// A leaving member must get no new statements. A leaving primary must be drained
// and replaced; a transaction that is open on it may still commit.
func TestLeavingMembersAreDrained(t *testing.T) {
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
	insertUntilAcknowledged(t, addr, 100)
	must.Eq(t, 1, countRows(t, connect(t, addr, "x"), 1))
	for range 50 {
		must.Eq(t, 1, countRows(t, connect(t, addr, "x"), 1))
	}
	eventually(t, "only control connections are left", func() bool { return fleet.Group.ByName(primary).Connections() <= 2 })
}
