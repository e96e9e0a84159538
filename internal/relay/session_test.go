package relay

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/locality"
	"github.com/stackspindle/stackspindle/internal/peerconn"
	"github.com/stackspindle/stackspindle/internal/placement"
	"github.com/stackspindle/stackspindle/internal/standin/membergroup"
	"github.com/stackspindle/stackspindle/internal/statement"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// bench is a relay before one group, without a fleet.
type bench struct {
	relay *Relay
	group *membergroup.Group
	gate  *lead.Gate

	mu   sync.Mutex // guards snap
	snap *topology.Snapshot
}

func (b *bench) topology() *topology.Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.snap
}

const generous = time.Minute // a bound that no test reaches

func newBench(t *testing.T) *bench {
	group := membergroup.New("g", "m1", "m2")
	state := topology.New(0, 0)
	state.SetConfig(topology.Config{Version: 1, Groups: []topology.Group{{Name: "g", MaxConnections: 10}}, Routes: []topology.Route{
		{Name: "s", Database: "strict", Group: "g", Timeout: generous, LatencyObjective: generous},
		{Name: "b", Database: "bounded", Group: "g", Consistency: topology.BoundedStaleness, MaxStaleness: generous, Timeout: generous, LatencyObjective: generous},
		{Name: "h", Database: "hurried", Group: "g", Timeout: 40 * time.Millisecond, LatencyObjective: 40 * time.Millisecond},
	}})
	for _, id := range []string{"m1", "m2"} {
		state.SetMember(0, group.Entry(id), false)
	}
	snap := state.Snapshot()
	log := logrus.New()
	log.SetOutput(io.Discard)
	started := time.Now()
	upstreams := NewUpstreams(group, func() time.Duration { return time.Since(started) })
	upstreams.Update(snap, placedFor(snap, 1), "")
	t.Cleanup(upstreams.Close)
	b := &bench{group: group, snap: snap}
	b.relay = New(Config{
		Started: started, Topology: b.topology, Current: func() bool { return true }, Known: func(string) Known { return Known{} }, Limiter: unlimited{},
		Upstreams: upstreams, Conns: peerconn.New(), Log: log.WithField("part", "relay"), Metrics: metrics.NewSet(),
	})
	b.gate = b.relay.Gate("g")
	b.gate.Learn(lead.Record{Group: "g", Primary: "m1", Term: 1}, 1)
	b.gate.Confirm(b.relay.now())
	return b
}

// placedFor returns the placement before a number of registered instances.
func placedFor(snap *topology.Snapshot, registered int) *Placed {
	placements := NewPlacements(lead.Instance{}, locality.Map{})
	for name := range snap.Groups {
		g, _ := GroupOf(snap, name)
		placements.Set(g)
	}
	placements.Update(registered, func(string, placement.Carriers, placement.Carriers) {})
	return placements.Placed()
}

// run has a session answer a statement that arrives now.
func (b *bench) run(s *session, kind statement.Kind, text string) statement.Answer {
	return s.handle(context.Background(), statement.Statement{ID: "x", Kind: kind, Text: text}, b.relay.now())
}

func TestRestingTransactionIsRolledBack(t *testing.T) {
	b := newBench(t)
	s := newSession(b.relay, Start{Database: "strict"})
	must.Eq(t, statement.InTransaction, b.run(s, statement.Begin, "BEGIN").State)
	must.Eq(t, statement.InTransaction, b.run(s, statement.Write, "WRITE 1 x").State)
	s.abandonTx("the transaction rested for too long")
	a := b.run(s, statement.Commit, "COMMIT")
	must.Eq(t, statement.Aborted, a.Err.Code)
	must.Eq(t, statement.Idle, a.State)
	must.SliceEmpty(t, b.group.Log())
	must.Nil(t, b.run(s, statement.Write, "WRITE 2 x").Err)
	must.Len(t, 1, b.group.Log())
}

// A change of primary breaks off a transaction that does not end in its time, and
// releases only when nothing of it is under way any more.
func TestReleaseEndsOpenTransactions(t *testing.T) {
	b := newBench(t)
	s := newSession(b.relay, Start{Database: "strict"})
	b.run(s, statement.Begin, "BEGIN")
	b.run(s, statement.Write, "WRITE 1 x")
	released := make(chan error, 1)
	go func() { released <- b.gate.Release(t.Context(), 2, time.Millisecond) }()
	var a statement.Answer
	for a.Err == nil {
		a = b.run(s, statement.Write, "WRITE 1 x")
	}
	must.Eq(t, statement.Aborted, a.Err.Code)
	must.NoError(t, <-released)
	must.SliceEmpty(t, b.group.Log())
	h := newSession(b.relay, Start{Database: "hurried"})
	a = b.run(h, statement.Write, "WRITE 2 x")
	must.Eq(t, statement.Busy, a.Err.Code)
	must.Positive(t, a.Err.RetryAfter)
	must.SliceEmpty(t, b.group.Log())
}

// What a released session was told to be done is done: the release waits.
func TestReleaseWaitsForTransactionsThatEnd(t *testing.T) {
	b := newBench(t)
	s := newSession(b.relay, Start{Database: "strict"})
	b.run(s, statement.Begin, "BEGIN")
	b.run(s, statement.Write, "WRITE 1 x")
	released := make(chan error, 1)
	go func() { released <- b.gate.Release(t.Context(), 2, generous) }()
	for {
		if _, err := b.gate.Authority(); err != nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	must.Nil(t, b.run(s, statement.Commit, "COMMIT").Err)
	must.NoError(t, <-released)
	must.Len(t, 1, b.group.Log())
}

func TestBoundedReadsGoToReplicasOnceThePrimaryWasHeard(t *testing.T) {
	b := newBench(t)
	s := newSession(b.relay, Start{Database: "bounded"})
	must.Eq(t, "m1.x", b.run(s, statement.Read, "READ 1").Receipt, must.Sprint("no sample yet"))
	must.Eq(t, "m2.x", b.run(s, statement.Read, "READ 1").Receipt)
	b.group.SetReachability("m2", membergroup.Down)
	must.Eq(t, "m1.x", b.run(s, statement.Read, "READ 1").Receipt)
}

func TestWritesToAReplacedPrimaryAreNotAcknowledged(t *testing.T) {
	b := newBench(t)
	pass, err := b.gate.Enter(func() {})
	must.NoError(t, err)
	must.True(t, pass.Valid())
	must.Error(t, b.gate.Release(cancelled(t), 2, 0), must.Sprint("the pass is still out"))
	must.False(t, pass.Valid())
	pass.Done()
	pass.Done()
	must.NoError(t, b.gate.Release(t.Context(), 2, 0))
}

// The members change while statements run; the race detector watches.
func TestMembersChangeUnderTraffic(t *testing.T) {
	b := newBench(t)
	served, done := make(chan struct{}, 1), make(chan struct{})
	go func() {
		defer close(done)
		for n := range 50 {
			<-served // so that a statement runs before each change, and others beside it
			state := topology.New(0, 0)
			state.SetConfig(b.relay.snapshot().Config)
			for _, id := range []string{"m1", "m2"} {
				m := b.group.Entry(id)
				m.Draining = n%2 == 0
				state.SetMember(0, m, false)
			}
			b.relay.upstreams.Update(state.Snapshot(), placedFor(state.Snapshot(), 1+n%3), "")
		}
	}()
	s := newSession(b.relay, Start{Database: "bounded"})
	for {
		must.Nil(t, b.run(s, statement.Read, "READ 1").Err)
		select {
		case <-done:
			return
		case served <- struct{}{}:
		default:
		}
	}
}

func cancelled(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}
