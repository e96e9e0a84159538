// Package e2e has the end-to-end tests: PostgreSQL clients, instances that talk
// to one another over gRPC, and in-process stand-ins for the members of the
// database group and for the platform's configuration store.
//
// The owner of a group is the instance that holds the connections to its
// members and runs its statements. The ingress instance is the one that a
// client is connected to; it forwards statements to the owner.
package e2e

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/standin"
)

// waitTimeout limits every wait. It is far above what a wait takes when nothing
// is wrong.
const waitTimeout = 30 * time.Second

// startFleet starts a fleet and waits until its group has an owner.
func startFleet(t testing.TB, opts standin.Options) *standin.Fleet {
	t.Helper()
	fleet, err := standin.Start(opts)
	must.NoError(t, err)
	t.Cleanup(fleet.Close)
	_, err = fleet.AwaitOwner(waitTimeout)
	must.NoError(t, err)
	return fleet
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(cancel)
	return ctx
}

// connect opens a client connection to an instance. An empty session means none.
// It is closed when the test ends.
func connect(t testing.TB, addr, session string, adjust ...func(*pgx.ConnConfig)) *pgx.Conn {
	t.Helper()
	conn, err := dial(testContext(t), addr, session, adjust...)
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

// dial is connect for connections that may fail or that the test closes itself.
func dial(ctx context.Context, addr, session string, adjust ...func(*pgx.ConnConfig)) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig("postgres://roster@" + addr + "/roster?sslmode=disable")
	if err != nil {
		return nil, err
	}
	if session != "" {
		cfg.RuntimeParams["options"] = "-c stackspindle.session=" + session
	}
	for _, f := range adjust {
		f(cfg)
	}
	return pgx.ConnectConfig(ctx, cfg)
}

// sqlState returns the SQLSTATE of an error, or "".
func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

func exec(t testing.TB, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	_, err := conn.Exec(testContext(t), sql, args...)
	must.NoError(t, err)
}

// countRows returns how many rows of shifts have the id.
func countRows(t testing.TB, conn *pgx.Conn, id int) int {
	t.Helper()
	var n int
	must.NoError(t, conn.QueryRow(testContext(t), "SELECT count(*) FROM shifts WHERE id = $1", id).Scan(&n))
	return n
}

// eventually polls until the condition holds and fails the test after waitTimeout.
func eventually(t testing.TB, description string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			must.Unreachable(t, must.Sprint("timed out waiting for: "+description))
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// insertUntilAcknowledged retries an insert until one is acknowledged and returns
// the id of that row. Each attempt inserts a new id, from base+1 on, because an
// attempt with an unknown outcome may have inserted its row.
func insertUntilAcknowledged(t testing.TB, addr string, base int) int {
	t.Helper()
	id := base
	eventually(t, "a write is acknowledged", func() bool {
		id++
		conn, err := dial(testContext(t), addr, "")
		if err != nil {
			return false
		}
		defer conn.Close(context.Background())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err = conn.Exec(ctx, fmt.Sprintf("INSERT INTO shifts VALUES (%d, 'probe', 'open')", id))
		return err == nil
	})
	return id
}

func dialTCP(addr string) (net.Conn, error) {
	return net.DialTimeout("tcp", addr, waitTimeout)
}

// sendCancel sends a cancel request and waits until the server closes the connection.
func sendCancel(conn net.Conn, pid uint32, secret []byte) error {
	raw, err := (&pgproto3.CancelRequest{ProcessID: pid, SecretKey: secret}).Encode(nil)
	if err != nil {
		return err
	}
	if _, err := conn.Write(raw); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, conn)
	return err
}
