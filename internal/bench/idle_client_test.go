package bench

import (
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/shoenig/test/must"
)

// connectIdleClient opens a client connection and runs one statement on it. It keeps
// no buffers on the client side, so that measured memory belongs to the instance.
func connectIdleClient(b testing.TB, addr string) net.Conn {
	b.Helper()
	conn, err := net.Dial("tcp", addr)
	must.NoError(b, err)
	startup := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters:      map[string]string{"user": "roster", "database": "roster"},
	}
	raw, err := startup.Encode(nil)
	must.NoError(b, err)
	_, err = conn.Write(raw)
	must.NoError(b, err)
	frontend := pgproto3.NewFrontend(conn, conn)
	awaitReadyForQuery(b, frontend)
	frontend.Send(&pgproto3.Query{String: "SELECT 1"})
	must.NoError(b, frontend.Flush())
	awaitReadyForQuery(b, frontend)
	return conn
}

func awaitReadyForQuery(b testing.TB, f *pgproto3.Frontend) {
	b.Helper()
	for {
		msg, err := f.Receive()
		must.NoError(b, err)
		if _, ok := msg.(*pgproto3.ReadyForQuery); ok {
			return
		}
	}
}
