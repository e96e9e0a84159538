package relay

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/statement"
)

// openTwoConns opens two connections to the primary and leaves them idle.
func openTwoConns(t *testing.T, f *fixture) {
	s, other := newSession(f.relay, StartupRequest{Database: "strict"}), newSession(f.relay, StartupRequest{Database: "strict"})
	must.Nil(t, f.run(s, statement.Begin, "BEGIN").Err)
	must.Nil(t, f.run(other, statement.Begin, "BEGIN").Err)
	must.Nil(t, f.run(s, statement.Commit, "COMMIT").Err)
	must.Nil(t, f.run(other, statement.Commit, "COMMIT").Err)
	must.Eq(t, 2, f.relay.upstreams.get("m1").pool.NumOpen())
}

// All open connections to a member become unresponsive, and new ones work. Only one statement may
// wait for its timeout.
func TestUnresponsiveConnectionsCostOneStatement(t *testing.T) {
	f := newFixture(t)
	openTwoConns(t, f)
	f.group.FreezeOpenConns("m1")
	s := newSession(f.relay, StartupRequest{Database: "hurried"})
	must.Eq(t, statement.OutcomeUnknown, f.run(s, statement.Write, "WRITE 1 x").Err.Code, must.Sprint("it may have run"))
	must.Eq(t, 0, f.relay.upstreams.get("m1").pool.NumOpen())
	must.Nil(t, f.run(newSession(f.relay, StartupRequest{Database: "strict"}), statement.Write, "WRITE 2 x").Err)
}

func TestReadOnUnresponsiveConnectionIsRefused(t *testing.T) {
	f := newFixture(t)
	openTwoConns(t, f)
	f.group.FreezeOpenConns("m1")
	a := f.run(newSession(f.relay, StartupRequest{Database: "hurried"}), statement.Read, "READ 1")
	must.Eq(t, statement.Busy, a.Err.Code, must.Sprint("a read has no effect, so its outcome is not unknown"))
	must.Nil(t, f.run(newSession(f.relay, StartupRequest{Database: "strict"}), statement.Read, "READ 1").Err)
}

func TestTransactionOnUnresponsiveConnection(t *testing.T) {
	for name, c := range map[string]struct {
		wrote bool
		kind  statement.Kind
		want  statement.Code
	}{
		"a read in the transaction": {false, statement.Read, statement.Aborted},
		"a commit that wrote":       {true, statement.Commit, statement.OutcomeUnknown},
		"a commit that only read":   {false, statement.Commit, statement.Aborted},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			s := newSession(f.relay, StartupRequest{Database: "hurried"})
			must.Nil(t, f.run(s, statement.Begin, "BEGIN").Err)
			if c.wrote {
				must.Nil(t, f.run(s, statement.Write, "WRITE 1 x").Err)
			}
			f.group.FreezeOpenConns("m1")
			a := f.run(s, c.kind, "COMMIT")
			must.Eq(t, c.want, a.Err.Code)
			must.Eq(t, statement.Idle, a.State)
			must.Nil(t, f.run(newSession(f.relay, StartupRequest{Database: "strict"}), statement.Write, "WRITE 2 x").Err)
		})
	}
}
