package relay

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/standin/membergroup"
	"github.com/stackspindle/stackspindle/internal/statement"
)

// replaceDuringStatement runs a statement that m1 holds back until m2 has been promoted in its
// place and this instance, which the change did not reach, has learned the outcome from the store.
func (f *fixture) replaceDuringStatement(t *testing.T, s *session, kind statement.Kind, text string) statement.Answer {
	reached, release := f.group.BlockStatements("m1")
	answers := make(chan statement.Answer)
	go func() { answers <- f.run(s, kind, text) }()
	<-reached
	f.stepDown(t, "m1", 2)
	f.replaceUnnoticed(t)
	release()
	return <-answers
}

// replaceUnnoticed promotes m2 while the change of primary does not reach this instance, which then
// learns the outcome from the store.
func (f *fixture) replaceUnnoticed(t *testing.T) {
	f.group.SetLagging("m1", true)
	must.NoError(t, f.group.Promote(t.Context(), "g", "m2", "other", 2))
	f.guard.ApplyRecord(lead.Record{Group: "g", Primary: "m2", Term: 2}, 3)
	f.guard.Confirm(f.relay.now())
}

// Guards against reads of a replaced primary that are passed on, since a newer record was confirmed
// while they ran.
func TestReadOfReplacedPrimaryIsNotPassedOn(t *testing.T) {
	f := newUnconfirmedFixture(t)
	s := newSession(f.relay, StartupRequest{Database: "strict"})
	a := f.replaceDuringStatement(t, s, statement.Read, "READ 1")
	must.Nil(t, a.Err)
	must.Eq(t, "m2.x", a.Receipt)
}

// Guards against reads at lagging replicas that a position of a replaced primary made eligible.
func TestReplacedPrimaryGivesNoSample(t *testing.T) {
	f := newUnconfirmedFixture(t)
	s := newSession(f.relay, StartupRequest{Database: "bounded"})
	f.replaceDuringStatement(t, s, statement.Read, "READ 1")
	p, _, ok := f.relay.upstreams.group("g").requiredAt(0)
	must.True(t, !ok || p.Term == 2, must.Sprintf("the required position is %s of the replaced primary", p))
}

// Guards against commits that are acknowledged at a replaced primary, since a newer record was
// confirmed while the transaction was open.
func TestCommitAtReplacedPrimaryIsNotAcknowledged(t *testing.T) {
	f := newFixture(t)
	s := newSession(f.relay, StartupRequest{Database: "strict"})
	must.Nil(t, f.run(s, statement.Begin, "BEGIN").Err)
	must.Nil(t, f.run(s, statement.Write, "WRITE 1 x").Err)
	f.relay.started = f.relay.started.Add(-2 * lead.GrantValidity)
	f.group.SetReachability("m1", membergroup.Unresponsive) // partitioned, so that it doesn't learn of its successor
	f.replaceUnnoticed(t)
	f.group.SetReachability("m1", membergroup.Reachable)
	must.NotNil(t, f.run(s, statement.Commit, "COMMIT").Err)
}

// Guards against statements that wait for a replaced primary although its successor could run them.
func TestWorkOnReplacedPrimaryIsAborted(t *testing.T) {
	f := newUnconfirmedFixture(t)
	s := newSession(f.relay, StartupRequest{Database: "strict"})
	reached, release := f.group.BlockStatements("m1")
	defer release()
	answers := make(chan statement.Answer, 1)
	go func() { answers <- f.run(s, statement.Read, "READ 1") }()
	<-reached
	f.replaceUnnoticed(t)
	select {
	case a := <-answers:
		must.Nil(t, a.Err)
		must.Eq(t, "m2.x", a.Receipt)
	case <-time.After(generous):
		t.Fatal("the read waits for the replaced primary")
	}
}
