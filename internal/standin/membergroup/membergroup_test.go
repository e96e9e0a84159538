package membergroup

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/account"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/statement"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// Commits by a replaced primary are reported as stale, and commits that a promotion
// loses as dropped.
func TestStaleAndDroppedCommits(t *testing.T) {
	g := New("g", "a", "b")
	conn, err := g.Dial(t.Context(), topology.Member{ID: "a"}, account.Anonymous)
	must.NoError(t, err)
	write := func(id string) {
		_, err := conn.Run(member.Request{Statement: statement.Statement{ID: id, Kind: statement.Write, Text: "WRITE x y"}, Deadline: time.Now().Add(time.Hour)})
		must.NoError(t, err)
	}
	write("kept")
	g.SetLagging("b", true)
	write("cut")
	g.SetReachability("b", Unresponsive)
	must.NoError(t, g.Promote(t.Context(), "g", "b", "leader", 1))
	g.mu.Lock()
	g.members["a"].primary = true // it does not know yet that it was replaced
	g.mu.Unlock()
	write("stale")
	commits := g.Commits()
	must.False(t, commits["kept"].Dropped || commits["kept"].Stale)
	must.True(t, commits["cut"].Dropped)
	must.False(t, commits["cut"].Stale)
	must.True(t, commits["stale"].Stale)
}

// Guards against a stand-in that hides writes at a replaced primary: a reachable old primary carries
// on after the promotion of another member, and such a write is reported as stale.
func TestReplacedPrimaryCarriesOn(t *testing.T) {
	g := New("g", "a", "b")
	g.stepDownDelay = time.Hour
	conn, err := g.Dial(t.Context(), topology.Member{ID: "a"}, account.Anonymous)
	must.NoError(t, err)
	must.NoError(t, g.Promote(t.Context(), "g", "b", "leader", 1))
	answer, err := conn.Run(member.Request{Statement: statement.Statement{ID: "late", Kind: statement.Write}, Deadline: time.Now().Add(time.Hour)})
	must.NoError(t, err)
	must.Nil(t, answer.Err)
	must.True(t, g.Commits()["late"].Stale)
	g.mu.Lock()
	g.stepDownIfReplaced(g.members["a"]) // as after the delay
	g.mu.Unlock()
	must.False(t, g.Entry("a").Primary)
}

// Guards against a stand-in that loses commits: once the new primary has stepped down too, an old one
// that still acts as primary must not overwrite the logs of a newer term, and what it commits is stale.
func TestOldPrimaryIsNotCurrentAgain(t *testing.T) {
	g := New("g", "a", "b", "c")
	run := func(id, statementID string) {
		conn, err := g.Dial(t.Context(), topology.Member{ID: id}, account.Anonymous)
		must.NoError(t, err)
		_, err = conn.Run(member.Request{Statement: statement.Statement{ID: statementID, Kind: statement.Write}, Deadline: time.Now().Add(time.Hour)})
		must.NoError(t, err)
	}
	g.stepDownDelay = time.Hour
	g.SetReachability("a", Unresponsive)
	must.NoError(t, g.Promote(t.Context(), "g", "b", "leader", 1))
	run("b", "acknowledged")
	g.SetReachability("a", Reachable)
	conn, err := g.Dial(t.Context(), topology.Member{ID: "b"}, account.Anonymous)
	must.NoError(t, err)
	_, err = conn.StepDown(time.Now().Add(time.Hour), 3)
	must.NoError(t, err)
	run("a", "late")
	must.True(t, g.Commits()["late"].Stale)
	must.NoError(t, g.Promote(t.Context(), "g", "c", "leader", 2))
	must.False(t, g.Commits()["acknowledged"].Dropped)
}
