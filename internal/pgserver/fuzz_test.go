package pgserver

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/dispatch"
	"github.com/stackspindle/stackspindle/internal/owner"
	"github.com/stackspindle/stackspindle/internal/peer"
	"github.com/stackspindle/stackspindle/internal/sqlclass"
)

type stubCatalogue struct{}

func (stubCatalogue) Service(name, database string) (*Service, error) {
	return &Service{Name: name, Group: database, Database: database, QueueTimeout: time.Millisecond, Weight: 1}, nil
}

type stubPlacement struct{}

func (stubPlacement) Ranking(string) []string   { return nil }
func (stubPlacement) Local(string) *owner.Group { return nil }

type stubEvents struct{}

func (stubEvents) Statement(string, bool, bool, time.Duration) {}
func (stubEvents) Refused(string)                              {}

func encodeAll(messages ...pgproto3.FrontendMessage) []byte {
	var raw []byte
	for _, m := range messages {
		raw, _ = m.Encode(raw)
	}
	return raw
}

// maxFuzzMessage is the maximum message size in bytes. It bounds the memory that a length
// field can make the server allocate.
const maxFuzzMessage = 1 << 16

// FuzzClientConnection sends arbitrary bytes to a connection. It must neither panic nor hang,
// and must reject a message whose length field exceeds the limit without reading it.
func FuzzClientConnection(f *testing.F) {
	start := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{
		"user": "roster", "database": "roster", "options": "-c stackspindle.session=a -c search_path=b",
	}}
	f.Add(encodeAll(start, &pgproto3.Query{String: "SELECT 1"}, &pgproto3.Terminate{}))
	f.Add(encodeAll(start, &pgproto3.Query{String: "SET stackspindle.request_key = 'k'"}, &pgproto3.Query{String: "DISCARD ALL"}))
	f.Add(encodeAll(start, &pgproto3.Parse{Name: "a", Query: "SELECT $1"}, &pgproto3.Bind{PreparedStatement: "a"},
		&pgproto3.Describe{ObjectType: 'S', Name: "a"}, &pgproto3.Execute{}, &pgproto3.Close{ObjectType: 'S', Name: "a"}, &pgproto3.Sync{}))
	f.Add(encodeAll(start, &pgproto3.Execute{Portal: "none"}, &pgproto3.Flush{}, &pgproto3.Sync{}, &pgproto3.CopyFail{}))
	f.Add(encodeAll(&pgproto3.SSLRequest{}, &pgproto3.CancelRequest{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}}))
	f.Add(append(encodeAll(start), 'Q', 0x7f, 0xff, 0xff, 0xff))
	f.Add([]byte{0, 0, 0, 4})

	classifier, err := sqlclass.New(100)
	must.NoError(f, err)
	opts := DefaultOptions()
	opts.Authenticate = false
	opts.MaxMessage = maxFuzzMessage
	log := logrus.New()
	log.SetOutput(io.Discard)
	server, err := NewServer(opts, stubCatalogue{}, dispatch.New("me", stubPlacement{}, peer.NewClient(nil, &peer.Traffic{})), classifier, stubEvents{}, logrus.NewEntry(log))
	must.NoError(f, err)
	f.Fuzz(func(t *testing.T, raw []byte) {
		serverSide, clientSide := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			newConn(server, serverSide).serve()
		}()
		go func() {
			_, _ = io.Copy(io.Discard, clientSide) // discard the answers
		}()
		_, _ = clientSide.Write(raw) // ends early if the server closes the connection
		clientSide.Close()
		<-done
		must.Zero(t, server.NumClients())
	})
}
