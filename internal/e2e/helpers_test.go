// Package e2e tests the whole path: PostgreSQL clients, instances that talk
// over gRPC, and the stand-ins for the database group and the platform.
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

// patience bounds waits that end long before when nothing is wrong.
const patience = 30 * time.Second

func startFleet(t testing.TB, opts standin.Options) *standin.Fleet {
	t.Helper()
	fleet, err := standin.Start(opts)
	must.NoError(t, err)
	t.Cleanup(fleet.Close)
	_, err = fleet.AwaitOwner(patience)
	must.NoError(t, err)
	return fleet
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return ctx
}

// connect opens a caller's connection to an instance, in a named session.
func connect(t testing.TB, addr, session string, adjust ...func(*pgx.ConnConfig)) *pgx.Conn {
	t.Helper()
	conn, err := dial(testContext(t), addr, session, adjust...)
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

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

// count returns how many rows of shifts have the id.
func count(t testing.TB, conn *pgx.Conn, id int) int {
	t.Helper()
	var n int
	must.NoError(t, conn.QueryRow(testContext(t), "SELECT count(*) FROM shifts WHERE id = $1", id).Scan(&n))
	return n
}

// eventually waits until a condition holds.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !holds() {
		if time.Now().After(deadline) {
			must.Unreachable(t, must.Sprint("never happened: "+what))
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// insertUntilServed repeats an insert until one is acknowledged. Each try has an
// id of its own, so that no unknown outcome is repeated. It returns that id.
func insertUntilServed(t testing.TB, addr string, first int) int {
	t.Helper()
	id := first
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

func dialRaw(addr string) (net.Conn, error) {
	return net.DialTimeout("tcp", addr, patience)
}

// sendCancel sends a cancel request and waits until the other side closes.
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
