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

// fill takes all slots of the primary, and has further requests of some work wait.
func fillSlots(t *testing.T, b *fixture, waiting int, work time.Duration) []*connpool.Lease[*member.Shared] {
	t.Helper()
	p := b.relay.upstreams.get("m1").pool
	var leases []*connpool.Lease[*member.Shared]
	for p.InUse() < p.Backlog(0).Slots {
		lease, err := p.Acquire(t.Context(), pool.Request{Any: true, Work: work, Deadline: generous}, nil)
		must.NoError(t, err)
		leases = append(leases, lease)
	}
	for range waiting {
		go func() { _, _ = p.Acquire(t.Context(), pool.Request{Any: true, Work: work, Deadline: generous}, nil) }() // never granted
	}
	awaitWaiting(b.relay.upstreams.get("m1"), waiting)
	return leases
}

// learn makes known what a statement of a database usually takes.
func learnDuration(b *fixture, database string, usual time.Duration) {
	for range 100 {
		b.relay.paceMember(b.relay.upstreams.get("m1"), b.relay.upstreams.group("g"), b.snap.Databases[database], usual)
	}
}

// refusals returns how many statements were refused for a reason.
func refusals(b *fixture, reason string) uint64 {
	return b.relay.metrics.GetOrCreateCounter(`stackspindle_refusals_total{reason="` + reason + `",priority="0"}`).Get()
}

// The load: a primary with more before it than it can run in the statement's time. What
// cannot run in time is refused before it waits, and told to come back when the queue has
// drained; what can is held.
func TestStatementIsRefusedBeforeLongQueue(t *testing.T) {
	b := newFixture(t)
	const waiting, work = 20, 100 * time.Millisecond
	learnDuration(b, "hurried", work)
	fillSlots(t, b, waiting, work)
	a := b.run(newSession(b.relay, Start{Database: "hurried"}), statement.Write, "WRITE 1 x")
	must.Eq(t, statement.Busy, a.Err.Code)
	must.Eq(t, 1, refusals(b, "late"))
	slots := b.relay.upstreams.get("m1").pool.Backlog(0).Slots
	must.GreaterEq(t, waiting*work/time.Duration(slots), a.Err.RetryAfter)
	must.SliceEmpty(t, b.group.Ran("m1"))
}

// The load: all slots are taken in the first second after a start, when nothing usual is
// known. A statement is held past its objective while its deadline leaves it time.
func TestAdmittedStatementIsQueuedPastItsObjective(t *testing.T) {
	b := newFixture(t)
	route := b.snap.Databases["strict"]
	route.LatencyObjective = time.Millisecond
	b.snap.Databases["strict"] = route
	leases := fillSlots(t, b, 0, 0)
	answered := make(chan statement.Answer, 1)
	go func() {
		answered <- b.run(newSession(b.relay, Start{Database: "strict"}), statement.Write, "WRITE 1 x")
	}()
	awaitWaiting(b.relay.upstreams.get("m1"), 1)
	time.Sleep(5 * route.LatencyObjective)
	for _, lease := range leases {
		lease.Release()
	}
	must.Nil(t, (<-answered).Err)
}

// The failure: the primary is being changed. A statement whose time is over before the next
// one can be there is refused at once and told when that should be; one that has the time waits.
func TestStatementsDuringChangeOfPrimary(t *testing.T) {
	b := newFixture(t)
	b.guard.Learn(lead.Record{Group: "g", Primary: "m1", Term: 1, Change: &lead.Change{ID: "c"}}, 2)
	a := b.run(newSession(b.relay, Start{Database: "hurried"}), statement.Write, "WRITE 1 x")
	must.Eq(t, statement.Busy, a.Err.Code)
	must.Eq(t, 1, refusals(b, "no_primary"))
	must.Positive(t, a.Err.RetryAfter)
	answered := make(chan statement.Answer, 1)
	go func() {
		answered <- b.run(newSession(b.relay, Start{Database: "strict"}), statement.Write, "WRITE 2 x")
	}()
	time.Sleep(5 * retryDelay)
	b.guard.Learn(lead.Record{Group: "g", Primary: "m1", Term: 1}, 3)
	b.guard.Confirm(b.relay.now())
	must.Nil(t, (<-answered).Err)
}

// How long a change took is learned by the statements that it kept waiting.
func TestOutageDurationIsLearned(t *testing.T) {
	g := &groupState{}
	gate := lead.NewGate(func() time.Duration { return 300 * time.Millisecond })
	gate.Learn(lead.Record{Group: "g", Primary: "m1", Term: 1, Change: &lead.Change{ID: "c"}}, 1)
	g.recordOutage(300*time.Millisecond, gate)
	g.recordPrimary(320 * time.Millisecond)
	must.Eq(t, 20*time.Millisecond, g.outages.durations.Left(0, true))
	g.recordOutage(400*time.Millisecond, gate)
	g.recordPrimary(time.Hour)
	must.Eq(t, 20*time.Millisecond, g.outages.durations.Left(0, true), must.Sprint("no statement saw its end"))
}

// A carrier tells in its replies how long statements wait there, and nothing while none do.
func TestCarrierReportsQueueingDelays(t *testing.T) {
	b := newFixture(t)
	b.relay.StartCarrying()
	server := NewCarrierServer(b.relay)
	read := &relaypb.CarryRequest{Database: "strict", Id: "x", Text: "READ 1", Kind: int32(statement.Read)}
	reply := server.runStatement(context.Background(), &forwardedSession{}, read)
	must.Zero(t, reply.Code)
	must.SliceEmpty(t, reply.PrimaryWaitUs)
	must.SliceEmpty(t, reply.ReplicaWaitUs)

	b = newFixture(t)
	learnDuration(b, "hurried", 100*time.Millisecond)
	fillSlots(t, b, 20, 100*time.Millisecond)
	b.relay.addWaitForecast(reply, "g")
	must.Positive(t, reply.PrimaryWaitUs[0])
	must.SliceEmpty(t, reply.ReplicaWaitUs, must.Sprint("the replica has room"))
}

// fakeCarrier answers all statements alike and counts them.
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

// The load: one carrier has more than it can run, or cannot reach the primary, and another can. The statement
// that the first refuses is run by the second, and further ones are not offered to the first.
func TestStatementGoesToCarrierWithCapacity(t *testing.T) {
	b := newFixture(t)
	full, first := newFakeCarrier(t, &relaypb.CarryReply{
		Code: int32(statement.Busy), State: uint32(statement.Idle), PrimaryWaitUs: []uint32{9e6}, Position: encodePosition(group.Position{}),
	})
	free, second := newFakeCarrier(t, &relaypb.CarryReply{Receipt: "done", State: uint32(statement.Idle)})
	route := b.snap.Databases["strict"]
	route.LatencyObjective = time.Second
	write := statement.Statement{ID: "x", Kind: statement.Write, Text: "WRITE 1 x"}
	s := newSession(b.relay, Start{Database: "strict"})
	for n := range 3 {
		a := s.forward(t.Context(), write, route, []lead.Instance{first, second}, b.relay.now())
		must.Nil(t, a.Err, must.Sprint(n))
		must.Eq(t, "done", a.Receipt)
	}
	must.Eq(t, 1, full.asked.Load())
	must.Eq(t, 3, free.asked.Load())

	a := s.forward(t.Context(), write, route, []lead.Instance{first}, b.relay.now())
	must.Eq(t, statement.Busy, a.Err.Code, must.Sprint("let through once, to learn"))
	asked := full.asked.Load()
	for refusals(b, admission.AllRefuse.String()) == 0 { // one is let through now and then
		asked = full.asked.Load()
		a = s.forward(t.Context(), write, route, []lead.Instance{first}, b.relay.now())
		must.Eq(t, statement.Busy, a.Err.Code)
	}
	must.Eq(t, asked, full.asked.Load(), must.Sprint("refused at the door"))
}

// The failure: a member does not answer. One statement finds out whether it does again; others whose time is
// shorter than its silence are refused meanwhile.
func TestOneStatementProbesUnresponsiveMember(t *testing.T) {
	b := newFixture(t)
	upstream := b.relay.upstreams.get("m1")
	upstream.recordAnswer(0, 0, group.Position{})
	upstream.recordFailedAttempt(0)
	hurried := admission.Request{ID: "x", Objective: 200 * time.Millisecond}
	decide := func() admission.Verdict {
		return upstream.decideAdmission(time.Second, 0, hurried, admission.OnPrimary)
	}
	must.True(t, decide().Admit, must.Sprint("nobody asks it"))
	a := &attempt{session: &session{relay: b.relay}, reads: true}
	probe := a.enterQueue(upstream, b.relay.now()+generous)
	must.Eq(t, admission.Unreachable, decide().Reason)
	second := a.enterQueue(upstream, b.relay.now()+generous)
	second.leaveQueue(false)
	must.Eq(t, admission.Unreachable, decide().Reason, must.Sprint("the first still asks"))
	probe.leaveQueue(false)
	must.True(t, decide().Admit)
}
