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

// newUnconfirmedFixture returns a fixture whose instance has not reached the store for longer than
// its grant stays confirmed.
func newUnconfirmedFixture(t *testing.T) *fixture {
	b := newFixture(t)
	b.relay.started = b.relay.started.Add(-2 * lead.GrantValidity)
	_, err := b.guard.Authority()
	must.NoError(t, err)
	return b
}

func TestUnconfirmedGrantIsVerifiedByTheMembers(t *testing.T) {
	b := newUnconfirmedFixture(t)
	s := newSession(b.relay, StartupRequest{Database: "strict"})
	must.Nil(t, b.run(s, statement.Write, "WRITE 1 x").Err)
	must.Nil(t, b.run(s, statement.Read, "READ 1").Err)
	must.Nil(t, b.run(s, statement.Begin, "BEGIN").Err)
	must.Nil(t, b.run(s, statement.Read, "READ 1").Err)
	must.Nil(t, b.run(s, statement.Write, "WRITE 2 x").Err)
	must.Nil(t, b.run(s, statement.Commit, "COMMIT").Err)
	must.Len(t, 2, b.group.Log())
}

// A primary that has stepped down goes on serving reads while another member is primary that this
// instance doesn't know of. What is read from it must not be passed on.
func TestUnconfirmedReadNeedsPrimaryConfirmation(t *testing.T) {
	b := newUnconfirmedFixture(t)
	s := newSession(b.relay, StartupRequest{Database: "hurried"})
	must.Nil(t, b.run(s, statement.Read, "READ 1").Err)
	must.Nil(t, b.run(s, statement.Begin, "BEGIN").Err)
	b.stepDown(t, "m1", 2)
	must.Eq(t, statement.Aborted, b.run(s, statement.Read, "READ 1").Err.Code)
	must.Eq(t, statement.Busy, b.run(s, statement.Read, "READ 1").Err.Code)
	must.Eq(t, statement.Busy, b.run(s, statement.Write, "WRITE 1 x").Err.Code, must.Sprint("the member refuses writes"))
	must.SliceEmpty(t, b.group.Log())
}

// stepDown has a member step down, like the leader of its group does.
func (b *fixture) stepDown(t *testing.T, id string, term uint64) {
	conn, err := b.group.Dial(t.Context(), b.group.Entry(id), account.Anonymous)
	must.NoError(t, err)
	defer conn.Close()
	status, err := conn.StepDown(time.Now().Add(generous), term)
	must.NoError(t, err)
	must.False(t, status.Primary)
}

// A member that doesn't answer might be primary. Nothing may be sent that could not be acknowledged
// then.
func TestUnconfirmedGrantNeedsEveryMember(t *testing.T) {
	b := newUnconfirmedFixture(t)
	b.group.SetReach("m2", membergroup.Dead)
	s := newSession(b.relay, StartupRequest{Database: "hurried"})
	a := b.run(s, statement.Write, "WRITE 1 x")
	must.Eq(t, statement.Busy, a.Err.Code)
	must.SliceEmpty(t, b.group.Log())
	must.NotNil(t, b.run(s, statement.Read, "READ 1").Err)
}

// Answers of the old primary that arrive after another member was promoted must not be passed on.
func TestUnconfirmedGrantAfterPromotion(t *testing.T) {
	b := newUnconfirmedFixture(t)
	s := newSession(b.relay, StartupRequest{Database: "hurried"})
	must.Nil(t, b.run(s, statement.Write, "WRITE 1 x").Err)
	b.group.SetReach("m1", membergroup.Silent) // partitioned, so that it doesn't learn of its successor
	must.NoError(t, b.group.Promote(t.Context(), "g", "m2", "other", 2))
	b.group.SetReach("m1", membergroup.Open)
	must.Eq(t, statement.Unknown, b.run(s, statement.Write, "WRITE 2 x").Err.Code, must.Sprint("the members verified the grant a moment ago"))
	must.NotNil(t, b.run(s, statement.Read, "READ 1").Err)
}

// A read that was sent under a confirmed grant may be delayed, in a queue or by a network
// partition, until after a promotion. The grant must be checked when the answer arrives; otherwise
// a read can miss an acknowledged commit, as happened in a simulated crash with a partition.
func TestDelayedReadIsVerified(t *testing.T) {
	b := newFixture(t)
	permit, err := b.guard.Enter(func() {})
	must.NoError(t, err)
	must.Eq(t, lead.Confirmed, permit.Standing())
	upstream := b.relay.upstreams.get("m1")
	settle := func() outcome {
		lease, err := upstream.pool.Acquire(t.Context(), pool.Request{Deadline: generous}, nil)
		must.NoError(t, err)
		a := &attempt{session: newSession(b.relay, StartupRequest{Database: "strict"}), group: b.relay.upstreams.group("g"), guard: b.guard, reads: true}
		_, result := a.finish(target{upstream: upstream, permit: permit}, &leasedConn{lease: lease}, statement.Done(statement.Idle))
		return result
	}
	must.Eq(t, served, settle())
	b.relay.started = b.relay.started.Add(-2 * lead.GrantValidity)
	must.Eq(t, served, settle(), must.Sprint("the members verify the grant"))
	must.NoError(t, b.group.Promote(t.Context(), "g", "m2", "other", 2))
	must.Eq(t, notRun, settle())
}

// Answers that wait for a verification round share the next one, which begins after they arrived.
func TestVerificationBeginsAfterTheAnswer(t *testing.T) {
	b := newUnconfirmedFixture(t)
	g := b.relay.upstreams.group("g")
	a, err := b.guard.Authority()
	must.NoError(t, err)
	must.True(t, b.relay.verify(t.Context(), g, a, true))
	must.True(t, g.recentlyVerified(b.relay.now()))
	must.False(t, g.recentlyVerified(b.relay.now()+time.Minute))
	must.NoError(t, b.group.Promote(t.Context(), "g", "m2", "other", 2))
	must.False(t, b.relay.verify(t.Context(), g, a, false))
}

// A primary counts as overloaded without replicas when it is saturated and no replica has served a read
// for a while.
func TestOverloadedWithoutReplicas(t *testing.T) {
	b := newFixture(t)
	upstreams := b.relay.upstreams
	replica, g := upstreams.get("m2"), upstreams.group("g")
	alone := func() bool { return upstreams.OverloadedWithoutReplicas("g", "m1") }
	answer := func(n int, took time.Duration) {
		for range n {
			b.relay.paceMember(upstreams.get("m1"), g, topology.Route{}, took)
		}
	}
	answer(100, time.Millisecond)
	replica.recordLag(time.Minute, true, b.relay.now())
	must.False(t, alone(), must.Sprint("the primary is not saturated"))
	answer(100, time.Second)
	must.False(t, alone(), must.Sprint("the replica has been lagging too briefly"))
	replica.lagSince = upstreams.now() - stuckReplicaAfter
	must.True(t, alone())
	replica.recordLag(0, false, upstreams.now())
	must.False(t, alone(), must.Sprint("the replica serves reads again"))
}
