package e2e

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/config"
	"github.com/stackspindle/stackspindle/internal/standin"
)

// TestEveryQueryExecMode uses the simple and the extended protocol, with and
// without prepared statements, through the owner and through ingress instances.
func TestEveryQueryExecMode(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 3})
	modes := []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement,
		pgx.QueryExecModeCacheDescribe,
		pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec,
		pgx.QueryExecModeSimpleProtocol,
	}
	for m, mode := range modes {
		for i, inst := range fleet.Instances {
			conn := connect(t, inst.ClientAddr(), "", func(c *pgx.ConnConfig) { c.DefaultQueryExecMode = mode })
			for round := range 3 {
				id := 1000*m + 100*i + round
				exec(t, conn, "INSERT INTO shifts (id, volunteer, state) VALUES ($1, $2, 'open')", id, "amal")
				must.Eq(t, 1, countRows(t, conn, id))
			}
			var volunteer string
			err := conn.QueryRow(testContext(t), "SELECT volunteer FROM shifts WHERE id = $1", 1000*m+100*i).Scan(&volunteer)
			must.NoError(t, err)
			must.Eq(t, "amal", volunteer)
		}
	}
}

func TestPipelinedBatch(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 2})
	for _, inst := range fleet.Instances {
		conn := connect(t, inst.ClientAddr(), "")
		batch := &pgx.Batch{}
		base := 100
		if inst == fleet.Instances[1] {
			base = 200
		}
		for i := range 5 {
			batch.Queue("INSERT INTO shifts VALUES ($1, 'b', 'open')", base+i)
			batch.Queue("SELECT id FROM shifts WHERE id = $1", base+i)
		}
		results := conn.SendBatch(testContext(t), batch)
		for i := range 5 {
			_, err := results.Exec()
			must.NoError(t, err)
			var id int
			must.NoError(t, results.QueryRow().Scan(&id))
			must.Eq(t, base+i, id)
		}
		must.NoError(t, results.Close())
	}
}

func TestTransactionsAndErrors(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 2})
	for i, inst := range fleet.Instances {
		conn := connect(t, inst.ClientAddr(), "")
		exec(t, conn, "INSERT INTO shifts VALUES ($1, 'a', 'open')", i)
		tx, err := conn.Begin(testContext(t))
		must.NoError(t, err)
		_, err = tx.Exec(testContext(t), "UPDATE shifts SET state = 'done' WHERE id = $1", i)
		must.NoError(t, err)
		_, err = tx.Exec(testContext(t), "INSERT INTO shifts VALUES ($1, 'a', 'open')", i)
		must.Eq(t, "23505", sqlState(err))
		_, err = tx.Exec(testContext(t), "SELECT 1")
		must.Eq(t, "25P02", sqlState(err))
		must.NoError(t, tx.Rollback(testContext(t)))
		var state string
		must.NoError(t, conn.QueryRow(testContext(t), "SELECT state FROM shifts WHERE id = $1", i).Scan(&state))
		must.Eq(t, "open", state)
	}
}

// Statements that would leave state on a pooled connection, or that pooling cannot
// support, must be rejected before they reach a member. Inside a transaction the
// rejection must fail the transaction.
func TestUnsupportedStatementsAreRejected(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 1})
	conn := connect(t, fleet.Instances[0].ClientAddr(), "")
	for _, sql := range []string{
		"COPY shifts TO STDOUT", "LISTEN news", "CREATE TEMP TABLE x (id int)", "PREPARE p AS SELECT 1",
		"SELECT pg_advisory_lock(1)", "SELECT * FROM group_fence(99, 'me')", "SELECT * INTO TEMP x FROM shifts",
	} {
		_, err := conn.Exec(testContext(t), sql)
		must.Eq(t, "0A000", sqlState(err), must.Sprint(sql))
	}
	tx, err := conn.Begin(testContext(t))
	must.NoError(t, err)
	_, err = tx.Exec(testContext(t), "INSERT INTO shifts VALUES (7, 'a', 'open')")
	must.NoError(t, err)
	_, err = tx.Exec(testContext(t), "LISTEN news")
	must.Eq(t, "0A000", sqlState(err))
	must.Error(t, tx.Commit(testContext(t)))
	must.Eq(t, 0, countRows(t, conn, 7))
}

// Guards against mixed-up results, which occur when an answer still refers to a read
// buffer that the next batch on the same connection overwrites. 16 clients share
// three connections per member.
func TestConcurrentClientsGetOwnResults(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 2, Connections: 3})
	var wg sync.WaitGroup
	for c := range 16 {
		inst := fleet.Instances[c%2]
		conn := connect(t, inst.ClientAddr(), "")
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 60 {
				want := strings.Repeat(fmt.Sprintf("%02d.%03d ", c, i), 1+(c*i)%40)
				var got string
				if err := conn.QueryRow(context.Background(), "SELECT $1::text", want).Scan(&got); err != nil || got != want {
					t.Errorf("client %d: got %q, want %q, error %v", c, got, want, err)
					return
				}
			}
		}()
	}
	wg.Wait()
}

// A large result is sent in chunks, also through two instances (ingress and owner),
// and must arrive complete and in order.
func TestLargeResultIsComplete(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 2})
	for _, inst := range fleet.Instances {
		conn := connect(t, inst.ClientAddr(), "")
		rows, err := conn.Query(testContext(t), "SELECT generate_series, repeat('x', 1000) FROM generate_series(1, 20000)")
		must.NoError(t, err)
		n := 0
		for rows.Next() {
			n++
			var i int
			var x string
			must.NoError(t, rows.Scan(&i, &x))
			must.Eq(t, n, i)
			must.Eq(t, 1000, len(x))
		}
		must.NoError(t, rows.Err())
		must.Eq(t, 20000, n)
	}
}

// Guards against truncated results: when a member dies in the middle of an answer,
// the client must get an error, not the end of the result.
func TestTruncatedResultIsAnError(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 2})
	for i, inst := range fleet.Instances {
		conn := connect(t, inst.ClientAddr(), "")
		rows, err := conn.Query(testContext(t), "SELECT generate_series, repeat('x', 1000) FROM generate_series(1, 100000000)")
		must.NoError(t, err)
		for range 1000 {
			must.True(t, rows.Next())
		}
		for i := range 3 {
			fleet.Group.Member(i).Kill()
		}
		for rows.Next() {
			continue
		}
		must.Error(t, rows.Err())
		for i := range 3 {
			must.NoError(t, fleet.Group.Member(i).Restart())
		}
		insertUntilAcknowledged(t, inst.ClientAddr(), 1000*i)
	}
}

// Guards against a Parse that was rejected while the group was unavailable but
// whose statement name stays taken: preparing it again would fail with 42P05
// (duplicate prepared statement).
func TestPrepareAfterRejectedPrepare(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 1, QueueTimeout: 100 * time.Millisecond})
	conn := connect(t, fleet.Instances[0].ClientAddr(), "")
	for i := range 3 {
		fleet.Group.Member(i).Kill()
	}
	eventually(t, "the group is out of service", func() bool {
		_, err := conn.Exec(testContext(t), "INSERT INTO shifts VALUES ($1, 'p', 'open')", 1)
		return sqlState(err) == "57P03"
	})
	for i := range 3 {
		must.NoError(t, fleet.Group.Member(i).Restart())
	}
	eventually(t, "the statement is prepared and run", func() bool {
		_, err := conn.Exec(testContext(t), "INSERT INTO shifts VALUES ($1, 'p', 'open')", 2)
		must.NotEq(t, "42P05", sqlState(err))
		return err == nil
	})
}

// Guards against session settings that leak through a pooled connection to another
// client, or get lost when the client is given another connection.
func TestSessionSettingsAreIsolated(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 2, Connections: 2})
	a := connect(t, fleet.Instances[0].ClientAddr(), "")
	b := connect(t, fleet.Instances[1].ClientAddr(), "")
	show := func(conn *pgx.Conn) string {
		var value string
		must.NoError(t, conn.QueryRow(testContext(t), "SHOW search_path").Scan(&value))
		return value
	}
	exec(t, a, "SET search_path TO 'desk'")
	for range 5 {
		must.Eq(t, "desk", show(a))
		must.Eq(t, "", show(b))
	}
	exec(t, a, "BEGIN")
	exec(t, a, "SET search_path TO 'other'")
	exec(t, a, "ROLLBACK")
	must.Eq(t, "desk", show(a))
	exec(t, a, "RESET ALL")
	must.Eq(t, "", show(a))
}

// A client that disconnects inside a transaction must have it rolled back, so that
// its row locks are released and the connection is usable again.
func TestDisconnectRollsBackTransaction(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 2, Connections: 2})
	for i, inst := range fleet.Instances {
		conn, err := dial(testContext(t), inst.ClientAddr(), "")
		must.NoError(t, err)
		exec(t, conn, "BEGIN")
		exec(t, conn, "INSERT INTO shifts VALUES ($1, 'gone', 'open')", i)
		must.NoError(t, conn.PgConn().Conn().Close())
		other := connect(t, inst.ClientAddr(), "")
		eventually(t, "the row's lock is free", func() bool {
			_, err := other.Exec(testContext(t), "INSERT INTO shifts VALUES ($1, 'next', 'open')", i)
			return err == nil
		})
	}
}

// A cancel request must cancel the statement of its client, also when the load
// balancer routes it to another instance, and never a statement of another client.
func TestCancelRequestCancelsOnlyItsStatement(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 2, Connections: 4})
	for _, inst := range fleet.Instances {
		canceled := connect(t, inst.ClientAddr(), "")
		other := connect(t, inst.ClientAddr(), "")
		results := make(map[*pgx.Conn]chan error)
		for _, conn := range []*pgx.Conn{canceled, other} {
			done := make(chan error, 1)
			results[conn] = done
			go func() {
				_, err := conn.Exec(context.Background(), "SELECT pg_sleep(2)")
				done <- err
			}()
		}
		eventually(t, "the statement is canceled", func() bool {
			cancelThrough(t, fleet.Instances[1].ClientAddr(), canceled)
			select {
			case err := <-results[canceled]:
				must.Eq(t, "57014", sqlState(err))
				return true
			default:
				return false
			}
		})
		must.NoError(t, <-results[other])
	}
}

// cancelThrough sends a cancel request for conn to the instance at addr.
func cancelThrough(t *testing.T, addr string, conn *pgx.Conn) {
	t.Helper()
	cfg := conn.PgConn()
	other, err := dialTCP(addr)
	must.NoError(t, err)
	defer other.Close()
	must.NoError(t, sendCancel(other, cfg.PID(), cfg.SecretKey()))
}

func TestAuthentication(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 1, Adjust: func(s *config.Settings) {
		s.Client.Authenticate = true
		s.Credentials["roster-app"] = "open sesame"
	}})
	spec := fleet.Service()
	spec.Service.Credential = "roster-app"
	revision := fleet.Put(spec)
	eventually(t, "the credential is in force", func() bool { return fleet.Instances[0].Revision() >= revision })
	addr := fleet.Instances[0].ClientAddr()
	_, err := dial(testContext(t), addr, "", func(c *pgx.ConnConfig) { c.Password = "wrong" })
	must.Eq(t, "28P01", sqlState(err))
	_, err = dial(testContext(t), addr, "", func(c *pgx.ConnConfig) { c.User, c.Password = "nobody", "open sesame" })
	must.Eq(t, "28P01", sqlState(err))
	conn := connect(t, addr, "", func(c *pgx.ConnConfig) { c.Password = "open sesame" })
	must.Eq(t, 0, countRows(t, conn, 1))
}
