package relay

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/account"
	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/pool"
	"github.com/stackspindle/stackspindle/internal/standin/membergroup"
	"github.com/stackspindle/stackspindle/internal/statement"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// newUnconfirmedBench returns a bench whose instance has not heard of the store for
// longer than its grant is confirmed.
func newUnconfirmedBench(t *testing.T) *bench {
	b := newBench(t)
	b.relay.started = b.relay.started.Add(-2 * lead.GrantValidity)
	_, err := b.gate.Authority()
	must.NoError(t, err)
	return b
}

func TestUnconfirmedGrantIsVerifiedByTheMembers(t *testing.T) {
	b := newUnconfirmedBench(t)
	s := newSession(b.relay, Start{Database: "strict"})
	must.Nil(t, b.run(s, statement.Write, "WRITE 1 x").Err)
	must.Nil(t, b.run(s, statement.Read, "READ 1").Err)
	must.Nil(t, b.run(s, statement.Begin, "BEGIN").Err)
	must.Nil(t, b.run(s, statement.Read, "READ 1").Err)
	must.Nil(t, b.run(s, statement.Write, "WRITE 2 x").Err)
	must.Nil(t, b.run(s, statement.Commit, "COMMIT").Err)
	must.Len(t, 2, b.group.Log())
}

// A primary that has stepped down would go on reading while a member leads that this
// instance has not heard of. What is read there is not passed on.
func TestUnconfirmedReadNeedsAPrimaryThatLeads(t *testing.T) {
	b := newUnconfirmedBench(t)
	s := newSession(b.relay, Start{Database: "hurried"})
	must.Nil(t, b.run(s, statement.Read, "READ 1").Err)
	must.Nil(t, b.run(s, statement.Begin, "BEGIN").Err)
	b.stepDown(t, "m1", 2)
	must.Eq(t, statement.Aborted, b.run(s, statement.Read, "READ 1").Err.Code)
	must.Eq(t, statement.Busy, b.run(s, statement.Read, "READ 1").Err.Code)
	must.Eq(t, statement.Busy, b.run(s, statement.Write, "WRITE 1 x").Err.Code, must.Sprint("the member itself refuses"))
	must.SliceEmpty(t, b.group.Log())
}

// stepDown has a member step down as a leader asks it to.
func (b *bench) stepDown(t *testing.T, id string, term uint64) {
	conn, err := b.group.Dial(t.Context(), b.group.Entry(id), account.Anonymous)
	must.NoError(t, err)
	defer conn.Close()
	status, err := conn.StepDown(time.Now().Add(generous), term)
	must.NoError(t, err)
	must.False(t, status.Primary)
}

// A member that does not answer might lead: nothing is sent that could not be
// acknowledged then.
func TestUnconfirmedGrantNeedsEveryMember(t *testing.T) {
	b := newUnconfirmedBench(t)
	b.group.SetReachability("m2", membergroup.Down)
	s := newSession(b.relay, Start{Database: "hurried"})
	a := b.run(s, statement.Write, "WRITE 1 x")
	must.Eq(t, statement.Busy, a.Err.Code)
	must.SliceEmpty(t, b.group.Log())
	must.NotNil(t, b.run(s, statement.Read, "READ 1").Err)
}

// What the old primary says after another member was promoted is not passed on.
func TestUnconfirmedGrantAfterAPromotion(t *testing.T) {
	b := newUnconfirmedBench(t)
	s := newSession(b.relay, Start{Database: "hurried"})
	must.Nil(t, b.run(s, statement.Write, "WRITE 1 x").Err)
	b.group.SetReachability("m1", membergroup.Unresponsive) // cut off, so that it does not hear of its successor
	must.NoError(t, b.group.Promote(t.Context(), "g", "m2", "other", 2))
	b.group.SetReachability("m1", membergroup.Reachable)
	must.Eq(t, statement.Unknown, b.run(s, statement.Write, "WRITE 2 x").Err.Code, must.Sprint("the members verified the grant a moment ago"))
	must.NotNil(t, b.run(s, statement.Read, "READ 1").Err)
}

// A read that was sent under a confirmed grant may have waited, in a queue or behind a
// cut, until after a promotion: what counts is when its answer arrives. Found by
// crash_cut, a day of our own, on which one read ran without an acknowledged commit.
func TestReadThatWaitedIsVerified(t *testing.T) {
	b := newBench(t)
	pass, err := b.gate.Enter(func() {})
	must.NoError(t, err)
	must.Eq(t, lead.Confirmed, pass.Standing())
	up := b.relay.upstreams.get("m1")
	settle := func() outcome {
		lease, err := up.pool.Acquire(t.Context(), pool.Request{Deadline: generous}, nil)
		must.NoError(t, err)
		a := &attempt{s: newSession(b.relay, Start{Database: "strict"}), group: b.relay.upstreams.group("g"), gate: b.gate, reads: true}
		_, out := a.settle(target{up: up, pass: pass}, &hold{lease: lease}, statement.Done(statement.Idle))
		return out
	}
	must.Eq(t, served, settle())
	b.relay.started = b.relay.started.Add(-2 * lead.GrantValidity)
	must.Eq(t, served, settle(), must.Sprint("the members verify it"))
	must.NoError(t, b.group.Promote(t.Context(), "g", "m2", "other", 2))
	must.Eq(t, notRun, settle())
}

// Answers that wait for a round share the next one.
func TestVerificationBeginsAfterTheAnswer(t *testing.T) {
	b := newUnconfirmedBench(t)
	g := b.relay.upstreams.group("g")
	a, err := b.gate.Authority()
	must.NoError(t, err)
	must.True(t, b.relay.verify(t.Context(), g, a, true))
	must.True(t, g.verifiedLately(b.relay.now()))
	must.False(t, g.verifiedLately(b.relay.now()+time.Minute))
	must.NoError(t, b.group.Promote(t.Context(), "g", "m2", "other", 2))
	must.False(t, b.relay.verify(t.Context(), g, a, false))
}

// A primary serves its group alone when no replica has served a read for a while, and
// it answers more slowly than it usually does.
func TestAlone(t *testing.T) {
	b := newBench(t)
	up := b.relay.upstreams
	replica, g := up.get("m2"), up.group("g")
	alone := func() bool { return up.Alone("g", "m1") }
	answer := func(n int, took time.Duration) {
		for range n {
			b.relay.pace(up.get("m1"), g, topology.Route{}, took)
		}
	}
	answer(100, time.Millisecond)
	replica.noteProgress(time.Minute, true, b.relay.now())
	must.False(t, alone(), must.Sprint("the primary has room"))
	answer(100, time.Second)
	must.False(t, alone(), must.Sprint("the replica has lagged for a moment only"))
	replica.lagSince = up.now() - stuckReplica
	must.True(t, alone())
	replica.noteProgress(0, false, up.now())
	must.False(t, alone(), must.Sprint("the replica serves reads again"))
}
