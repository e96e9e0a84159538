package bench

import (
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/shoenig/test/must"
)

// idleCaller connects, runs one statement and keeps no buffers of its own, so
// that what is measured belongs to the instance.
func idleCaller(b testing.TB, addr string) net.Conn {
	b.Helper()
	conn, err := net.Dial("tcp", addr)
	must.NoError(b, err)
	start := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters:      map[string]string{"user": "roster", "database": "roster"},
	}
	raw, err := start.Encode(nil)
	must.NoError(b, err)
	_, err = conn.Write(raw)
	must.NoError(b, err)
	frontend := pgproto3.NewFrontend(conn, conn)
	untilReady(b, frontend)
	frontend.Send(&pgproto3.Query{String: "SELECT 1"})
	must.NoError(b, frontend.Flush())
	untilReady(b, frontend)
	return conn
}

func untilReady(b testing.TB, f *pgproto3.Frontend) {
	b.Helper()
	for {
		msg, err := f.Receive()
		must.NoError(b, err)
		if _, ok := msg.(*pgproto3.ReadyForQuery); ok {
			return
		}
	}
}
