package relay

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/statement"
)

// openTwo opens two connections to the primary and leaves them idle.
func openTwo(t *testing.T, b *bench) {
	s, other := newSession(b.relay, Start{Database: "strict"}), newSession(b.relay, Start{Database: "strict"})
	must.Nil(t, b.run(s, statement.Begin, "BEGIN").Err)
	must.Nil(t, b.run(other, statement.Begin, "BEGIN").Err)
	must.Nil(t, b.run(s, statement.Commit, "COMMIT").Err)
	must.Nil(t, b.run(other, statement.Commit, "COMMIT").Err)
	must.Eq(t, 2, b.relay.upstreams.get("m1").pool.Open())
}

// All open connections to a member go silent for good, and new ones work: one
// statement waits for its timeout, and none after it.
func TestSilentConnectionCostsOneStatement(t *testing.T) {
	b := newBench(t)
	openTwo(t, b)
	b.group.FreezeOpenConns("m1")
	s := newSession(b.relay, Start{Database: "hurried"})
	must.Eq(t, statement.Unknown, b.run(s, statement.Write, "WRITE 1 x").Err.Code, must.Sprint("it may have run"))
	must.Eq(t, 0, b.relay.upstreams.get("m1").pool.Open())
	must.Nil(t, b.run(newSession(b.relay, Start{Database: "strict"}), statement.Write, "WRITE 2 x").Err)
}

func TestReadOnSilentConnectionIsNotAnswered(t *testing.T) {
	b := newBench(t)
	openTwo(t, b)
	b.group.FreezeOpenConns("m1")
	a := b.run(newSession(b.relay, Start{Database: "hurried"}), statement.Read, "READ 1")
	must.Eq(t, statement.Busy, a.Err.Code, must.Sprint("it reads, so that nothing is kept"))
	must.Nil(t, b.run(newSession(b.relay, Start{Database: "strict"}), statement.Read, "READ 1").Err)
}

func TestTransactionOnSilentConnection(t *testing.T) {
	for name, c := range map[string]struct {
		wrote bool
		kind  statement.Kind
		want  statement.Code
	}{
		"a read inside":       {false, statement.Read, statement.Aborted},
		"a commit that wrote": {true, statement.Commit, statement.Unknown},
		"one that only read":  {false, statement.Commit, statement.Aborted},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			s := newSession(b.relay, Start{Database: "hurried"})
			must.Nil(t, b.run(s, statement.Begin, "BEGIN").Err)
			if c.wrote {
				must.Nil(t, b.run(s, statement.Write, "WRITE 1 x").Err)
			}
			b.group.FreezeOpenConns("m1")
			a := b.run(s, c.kind, "COMMIT")
			must.Eq(t, c.want, a.Err.Code)
			must.Eq(t, statement.Idle, a.State)
			must.Nil(t, b.run(newSession(b.relay, Start{Database: "strict"}), statement.Write, "WRITE 2 x").Err)
		})
	}
}
