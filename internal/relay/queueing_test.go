package relay

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/stackspindle/stackspindle/internal/admission"
	"github.com/stackspindle/stackspindle/internal/connpool"
	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/pool"
	"github.com/stackspindle/stackspindle/internal/relay/relaypb"
	"github.com/stackspindle/stackspindle/internal/statement"
)

// fillSlots takes all slots of the primary, and queues further requests with the given expected
// duration.
func fillSlots(t *testing.T, f *fixture, waiting int, work time.Duration) []*connpool.Lease[*member.PooledConn] {
	t.Helper()
	p := f.relay.upstreams.get("m1").pool
	var leases []*connpool.Lease[*member.PooledConn]
	for p.InUse() < p.Backlog(0).Slots {
		lease, err := p.Acquire(t.Context(), pool.Request{AnyAccount: true, Work: work, Deadline: generous}, nil)
		must.NoError(t, err)
		leases = append(leases, lease)
	}
	for range waiting {
		go func() {
			_, _ = p.Acquire(t.Context(), pool.Request{AnyAccount: true, Work: work, Deadline: generous}, nil)
		}() // never granted
	}
	awaitWaiting(f.relay.upstreams.get("m1"), waiting)
	return leases
}

// learnDuration sets the typical duration of a database's statements.
func learnDuration(f *fixture, database string, typical time.Duration) {
	for range 100 {
		f.relay.paceMember(f.relay.upstreams.get("m1"), f.relay.upstreams.group("g"), f.snap.Databases[database], typical)
	}
}

// refusals returns how many statements were refused for a reason.
func refusals(f *fixture, reason string) uint64 {
	return f.relay.metrics.GetOrCreateCounter(`stackspindle_refusals_total{reason="` + reason + `",priority="0"}`).Get()
}

// The primary's queue is longer than a statement can wait. The statement must be refused before it
// is queued, with a retry delay that covers the time in which the queue drains.
func TestStatementIsRefusedBeforeLongQueue(t *testing.T) {
	f := newFixture(t)
	const waiting, work = 20, 100 * time.Millisecond
	learnDuration(f, "hurried", work)
	fillSlots(t, f, waiting, work)
	a := f.run(newSession(f.relay, StartupRequest{Database: "hurried"}), statement.Write, "WRITE 1 x")
	must.Eq(t, statement.Busy, a.Err.Code)
	must.Eq(t, 1, refusals(f, "late"))
	slots := f.relay.upstreams.get("m1").pool.Backlog(0).Slots
	must.GreaterEq(t, waiting*work/time.Duration(slots), a.Err.RetryAfter)
	must.SliceEmpty(t, f.group.Ran("m1"))
}

// All slots are taken shortly after a start, when no typical duration is known. A statement must
// stay queued past its objective while its deadline allows.
func TestAdmittedStatementIsQueuedPastItsObjective(t *testing.T) {
	f := newFixture(t)
	route := f.snap.Databases["strict"]
	route.LatencyObjective = time.Millisecond
	f.snap.Databases["strict"] = route
	leases := fillSlots(t, f, 0, 0)
	answered := make(chan statement.Answer, 1)
	go func() {
		answered <- f.run(newSession(f.relay, StartupRequest{Database: "strict"}), statement.Write, "WRITE 1 x")
	}()
	awaitWaiting(f.relay.upstreams.get("m1"), 1)
	time.Sleep(5 * route.LatencyObjective)
	for _, lease := range leases {
		lease.Release()
	}
	must.Nil(t, (<-answered).Err)
}

// The primary is being changed. A statement whose time ends before the next primary is expected
// must be refused at once, with a retry delay; one with more time must wait.
func TestStatementsDuringChangeOfPrimary(t *testing.T) {
	f := newFixture(t)
	f.guard.ApplyRecord(lead.Record{Group: "g", Primary: "m1", Term: 1, Change: &lead.Change{ID: "c"}}, 2)
	a := f.run(newSession(f.relay, StartupRequest{Database: "hurried"}), statement.Write, "WRITE 1 x")
	must.Eq(t, statement.Busy, a.Err.Code)
	must.Eq(t, 1, refusals(f, "no_primary"))
	must.Positive(t, a.Err.RetryAfter)
	answered := make(chan statement.Answer, 1)
	go func() {
		answered <- f.run(newSession(f.relay, StartupRequest{Database: "strict"}), statement.Write, "WRITE 2 x")
	}()
	time.Sleep(5 * retryDelay)
	f.guard.ApplyRecord(lead.Record{Group: "g", Primary: "m1", Term: 1}, 3)
	f.guard.Confirm(f.relay.now())
	must.Nil(t, (<-answered).Err)
}

// The duration of a change of primary is learned from the statements that waited for its end.
func TestOutageDurationIsLearned(t *testing.T) {
	g := &groupState{}
	guard := lead.NewPrimaryGuard(func() time.Duration { return 300 * time.Millisecond })
	guard.ApplyRecord(lead.Record{Group: "g", Primary: "m1", Term: 1, Change: &lead.Change{ID: "c"}}, 1)
	g.recordOutage(300*time.Millisecond, guard)
	g.recordPrimary(320 * time.Millisecond)
	must.Eq(t, 20*time.Millisecond, g.outages.durations.Remaining(0, true))
	g.recordOutage(400*time.Millisecond, guard)
	g.recordPrimary(time.Hour)
	must.Eq(t, 20*time.Millisecond, g.outages.durations.Remaining(0, true), must.Sprint("no statement was waiting shortly before the outage ended"))
}

// A carrier's replies contain the queueing delays there, and nothing when no statement would wait.
func TestCarrierReportsQueueingDelays(t *testing.T) {
	f := newFixture(t)
	f.relay.EnableCarrier()
	server := NewCarrierServer(f.relay)
	read := &relaypb.CarryRequest{Database: "strict", Id: "x", Text: "READ 1", Kind: int32(statement.Read)}
	reply := server.runStatement(context.Background(), &forwardedSession{}, read)
	must.Zero(t, reply.Code)
	must.SliceEmpty(t, reply.PrimaryWaitUs)
	must.SliceEmpty(t, reply.ReplicaWaitUs)

	f = newFixture(t)
	learnDuration(f, "hurried", 100*time.Millisecond)
	fillSlots(t, f, 20, 100*time.Millisecond)
	f.relay.addWaitForecast(reply, "g")
	must.Positive(t, reply.PrimaryWaitUs[0])
	must.SliceEmpty(t, reply.ReplicaWaitUs, must.Sprint("the replica has free slots"))
}

// fakeCarrier gives the same reply to all statements and counts them.
type fakeCarrier struct {
	*CarrierServer
	reply *relaypb.CarryReply
	asked atomic.Int32
}

func (f *fakeCarrier) Carry(stream grpc.BidiStreamingServer[relaypb.CarryRequest, relaypb.CarryReply]) error {
	for {
		if _, err := stream.Recv(); err != nil {
			return nil
		}
		f.asked.Add(1)
		if err := stream.Send(f.reply); err != nil {
			return err
		}
	}
}

func newFakeCarrier(t *testing.T, reply *relaypb.CarryReply) (*fakeCarrier, lead.Instance) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server, carrier := grpc.NewServer(), &fakeCarrier{CarrierServer: NewCarrierServer(nil), reply: reply}
	relaypb.RegisterCarrierServer(server, carrier)
	go func() { _ = server.Serve(l) }() // ends with the test
	t.Cleanup(server.Stop)
	return carrier, lead.Instance{Name: l.Addr().String(), Address: l.Addr().String()}
}

// One carrier is overloaded, or cannot reach the primary, and another is not. A statement that the
// first refuses must run at the second, and later statements must not be sent to the first.
func TestStatementGoesToCarrierWithCapacity(t *testing.T) {
	f := newFixture(t)
	overloaded, first := newFakeCarrier(t, &relaypb.CarryReply{
		Code: int32(statement.Busy), State: uint32(statement.Idle), PrimaryWaitUs: []uint32{9e6}, Position: encodePosition(group.Position{}),
	})
	free, second := newFakeCarrier(t, &relaypb.CarryReply{Receipt: "done", State: uint32(statement.Idle)})
	route := f.snap.Databases["strict"]
	route.LatencyObjective = time.Second
	write := statement.Statement{ID: "x", Kind: statement.Write, Text: "WRITE 1 x"}
	s := newSession(f.relay, StartupRequest{Database: "strict"})
	for n := range 3 {
		a := s.forward(t.Context(), write, route, []lead.Instance{first, second}, f.relay.now())
		must.Nil(t, a.Err, must.Sprint(n))
		must.Eq(t, "done", a.Receipt)
	}
	must.Eq(t, 1, overloaded.asked.Load())
	must.Eq(t, 3, free.asked.Load())

	a := s.forward(t.Context(), write, route, []lead.Instance{first}, f.relay.now())
	must.Eq(t, statement.Busy, a.Err.Code, must.Sprint("one is let through to update the forecast"))
	asked := overloaded.asked.Load()
	for refusals(f, admission.AllCarriersReject.String()) == 0 { // one is let through now and then
		asked = overloaded.asked.Load()
		a = s.forward(t.Context(), write, route, []lead.Instance{first}, f.relay.now())
		must.Eq(t, statement.Busy, a.Err.Code)
	}
	must.Eq(t, asked, overloaded.asked.Load(), must.Sprint("refused without asking the carrier"))
}

// A member is unresponsive. One statement is sent to find out whether it answers again; meanwhile,
// statements with less time than the member has been unresponsive must be refused.
func TestOneStatementProbesUnresponsiveMember(t *testing.T) {
	f := newFixture(t)
	upstream := f.relay.upstreams.get("m1")
	upstream.recordAnswer(0, 0, group.Position{})
	upstream.recordFailedAttempt(0)
	hurried := admission.Request{ID: "x", Objective: 200 * time.Millisecond}
	decide := func() admission.Verdict {
		return upstream.decideAdmission(time.Second, 0, hurried, admission.PrimaryOnly)
	}
	must.True(t, decide().Admit, must.Sprint("no statement probes it"))
	a := &attempt{session: &session{relay: f.relay}, reads: true}
	probe := a.enterQueue(upstream, f.relay.now()+generous)
	must.Eq(t, admission.Unreachable, decide().Reason)
	second := a.enterQueue(upstream, f.relay.now()+generous)
	second.leaveQueue(false)
	must.Eq(t, admission.Unreachable, decide().Reason, must.Sprint("the first statement still probes it"))
	probe.leaveQueue(false)
	must.True(t, decide().Admit)
}
