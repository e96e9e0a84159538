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

// fixture is a relay with one group of two members, without other instances.
type fixture struct {
	relay *Relay
	group *membergroup.Group
	guard *lead.PrimaryGuard

	mu   sync.Mutex // guards snap
	snap *topology.Snapshot
}

func (f *fixture) topology() *topology.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snap
}

const generous = time.Minute // a timeout that no test reaches

func newFixture(t *testing.T) *fixture {
	group := membergroup.New("g", "m1", "m2")
	state := topology.New(0, 0)
	state.SetConfig(topology.Config{Version: 1, Groups: []topology.Group{{Name: "g", MaxConnections: 10}}, Routes: []topology.Route{
		{Name: "s", Database: "strict", Group: "g", Timeout: generous, LatencyObjective: generous},
		{Name: "b", Database: "bounded", Group: "g", Consistency: topology.BoundedStaleness, MaxStaleness: generous, Timeout: generous, LatencyObjective: generous},
		{Name: "h", Database: "hurried", Group: "g", Timeout: 40 * time.Millisecond, LatencyObjective: 40 * time.Millisecond},
		{Name: "o", Database: "own", Group: "g", Consistency: topology.ReadYourWrites, MaxStaleness: generous, Timeout: generous, LatencyObjective: generous},
	}})
	for _, id := range []string{"m1", "m2"} {
		state.SetMember(0, group.Entry(id), false)
	}
	snap := state.Snapshot()
	log := logrus.New()
	log.SetOutput(io.Discard)
	started := time.Now()
	upstreams := NewUpstreams(group, func() time.Duration { return time.Since(started) })
	upstreams.Update(snap, placementFor(snap, 1), "")
	t.Cleanup(upstreams.Close)
	f := &fixture{group: group, snap: snap}
	f.relay = New(Config{
		Started: started, Topology: f.topology, TopologyIsCurrent: func() bool { return true }, StoredRecord: func(string) StoredRecord { return StoredRecord{} }, Limiter: unlimited{},
		Upstreams: upstreams, Conns: peerconn.New(), Log: log.WithField("part", "relay"), Metrics: metrics.NewSet(),
	})
	f.guard = f.relay.PrimaryGuard("g")
	f.guard.ApplyRecord(lead.Record{Group: "g", Primary: "m1", Term: 1}, 1)
	f.guard.Confirm(f.relay.now())
	return f
}

// placementFor returns the placement for a number of registered instances.
func placementFor(snap *topology.Snapshot, registered int) *PlacementSnapshot {
	placements := NewPlacementTracker(lead.Instance{}, locality.Map{})
	for name := range snap.Groups {
		g, _ := PlacementGroup(snap, name)
		placements.Set(g)
	}
	placements.Update(registered, func(string, placement.Carriers, placement.Carriers) {})
	return placements.Snapshot()
}

// run runs a statement that arrives now in a session.
func (f *fixture) run(s *session, kind statement.Kind, text string) statement.Answer {
	return s.handle(context.Background(), statement.Statement{ID: "x", Kind: kind, Text: text}, f.relay.now())
}

func TestIdleTransactionIsRolledBack(t *testing.T) {
	f := newFixture(t)
	s := newSession(f.relay, StartupRequest{Database: "strict"})
	must.Eq(t, statement.InTransaction, f.run(s, statement.Begin, "BEGIN").State)
	must.Eq(t, statement.InTransaction, f.run(s, statement.Write, "WRITE 1 x").State)
	s.abandonTx("the transaction rested for too long")
	a := f.run(s, statement.Commit, "COMMIT")
	must.Eq(t, statement.Aborted, a.Err.Code)
	must.Eq(t, statement.Idle, a.State)
	must.SliceEmpty(t, f.group.Log())
	must.Nil(t, f.run(s, statement.Write, "WRITE 2 x").Err)
	must.Len(t, 1, f.group.Log())
}

// A release of the primary cancels a transaction that doesn't end in time, and completes only when
// nothing of it is in progress.
func TestReleaseEndsOpenTransactions(t *testing.T) {
	f := newFixture(t)
	s := newSession(f.relay, StartupRequest{Database: "strict"})
	f.run(s, statement.Begin, "BEGIN")
	f.run(s, statement.Write, "WRITE 1 x")
	released := make(chan error, 1)
	go func() { released <- f.guard.Release(t.Context(), 2, time.Millisecond) }()
	var a statement.Answer
	for a.Err == nil {
		a = f.run(s, statement.Write, "WRITE 1 x")
	}
	must.Eq(t, statement.Aborted, a.Err.Code)
	must.NoError(t, <-released)
	must.SliceEmpty(t, f.group.Log())
	h := newSession(f.relay, StartupRequest{Database: "hurried"})
	a = f.run(h, statement.Write, "WRITE 2 x")
	must.Eq(t, statement.Busy, a.Err.Code)
	must.Positive(t, a.Err.RetryAfter)
	must.SliceEmpty(t, f.group.Log())
}

// A release waits for an open transaction that ends in time, so that its commit is acknowledged.
func TestReleaseWaitsForOpenTransaction(t *testing.T) {
	f := newFixture(t)
	s := newSession(f.relay, StartupRequest{Database: "strict"})
	f.run(s, statement.Begin, "BEGIN")
	f.run(s, statement.Write, "WRITE 1 x")
	released := make(chan error, 1)
	go func() { released <- f.guard.Release(t.Context(), 2, generous) }()
	for {
		if _, err := f.guard.Primary(); err != nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	must.Nil(t, f.run(s, statement.Commit, "COMMIT").Err)
	must.NoError(t, <-released)
	must.Len(t, 1, f.group.Log())
}

func TestBoundedReadsUseReplicasAfterFirstSample(t *testing.T) {
	f := newFixture(t)
	s := newSession(f.relay, StartupRequest{Database: "bounded"})
	must.Eq(t, "m1.x", f.run(s, statement.Read, "READ 1").Receipt, must.Sprint("no sample yet"))
	must.Eq(t, "m2.x", f.run(s, statement.Read, "READ 1").Receipt)
	f.group.SetReachability("m2", membergroup.Down)
	must.Eq(t, "m1.x", f.run(s, statement.Read, "READ 1").Receipt)
}

func TestReleaseRevokesPermits(t *testing.T) {
	f := newFixture(t)
	permit, err := f.guard.Acquire(func() {})
	must.NoError(t, err)
	must.True(t, permit.Confirmed())
	must.Error(t, f.guard.Release(cancelledContext(t), 2, 0), must.Sprint("a permit is still in use"))
	must.False(t, permit.Confirmed())
	permit.Done()
	permit.Done()
	must.NoError(t, f.guard.Release(t.Context(), 2, 0))
}

// The members change while statements run; relies on the race detector.
func TestMembersChangeUnderTraffic(t *testing.T) {
	f := newFixture(t)
	served, done := make(chan struct{}, 1), make(chan struct{})
	go func() {
		defer close(done)
		for n := range 50 {
			<-served // so that a statement runs before each change, and others concurrently
			state := topology.New(0, 0)
			state.SetConfig(f.relay.snapshot().Config)
			for _, id := range []string{"m1", "m2"} {
				m := f.group.Entry(id)
				m.Draining = n%2 == 0
				state.SetMember(0, m, false)
			}
			f.relay.upstreams.Update(state.Snapshot(), placementFor(state.Snapshot(), 1+n%3), "")
		}
	}()
	s := newSession(f.relay, StartupRequest{Database: "bounded"})
	for {
		must.Nil(t, f.run(s, statement.Read, "READ 1").Err)
		select {
		case <-done:
			return
		case served <- struct{}{}:
		default:
		}
	}
}

func cancelledContext(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}
