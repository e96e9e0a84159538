package upstream

import (
	"context"
	"flag"
	"fmt"
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// scriptedMember answers every statement with a row that contains the statement's text. It
// splits its output into pieces, and can insert one unexpected message or break the
// connection within an answer.
type scriptedMember struct {
	writeSize    int // bytes per write
	unexpectedAt int // number of the message before which the unexpected one is sent; -1: none
	breakAt      int // number of the message in which the connection breaks; -1: none
	unexpected   pgproto3.BackendMessage
	sent         int // messages sent so far, without the unexpected one
}

func (m *scriptedMember) serve(l net.Listener) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	backend := pgproto3.NewBackend(conn, conn)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if backend.Flush() != nil {
		return
	}
	texts := map[string]string{}
	bound := ""
	for {
		msg, err := backend.Receive()
		if err != nil {
			return
		}
		var answers []pgproto3.BackendMessage
		switch q := msg.(type) {
		case *pgproto3.Parse:
			texts[q.Name] = q.Query
			answers = []pgproto3.BackendMessage{&pgproto3.ParseComplete{}}
		case *pgproto3.Bind:
			bound = texts[q.PreparedStatement]
			answers = []pgproto3.BackendMessage{&pgproto3.BindComplete{}}
		case *pgproto3.Execute:
			answers = rowResponse(bound)
		case *pgproto3.Query:
			answers = append(rowResponse(q.String), &pgproto3.ReadyForQuery{TxStatus: 'I'})
		case *pgproto3.Sync:
			answers = []pgproto3.BackendMessage{&pgproto3.ReadyForQuery{TxStatus: 'I'}}
		}
		for _, a := range answers {
			if !m.send(conn, a) {
				return
			}
		}
	}
}

func rowResponse(text string) []pgproto3.BackendMessage {
	return []pgproto3.BackendMessage{
		&pgproto3.DataRow{Values: [][]byte{[]byte(text)}},
		&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")},
	}
}

func (m *scriptedMember) send(conn net.Conn, msg pgproto3.BackendMessage) bool {
	var raw []byte
	if m.sent == m.unexpectedAt {
		raw, _ = m.unexpected.Encode(raw)
	}
	raw, _ = msg.Encode(raw)
	if m.sent == m.breakAt {
		raw = raw[:len(raw)/2]
	}
	for i := 0; i < len(raw); i += m.writeSize {
		if _, err := conn.Write(raw[i:min(i+m.writeSize, len(raw))]); err != nil {
			return false
		}
	}
	m.sent++
	return m.sent != m.breakAt+1
}

// Run must return exactly the answer of its own batch or an error, and an error must mark
// the connection broken. Members that split messages, send unexpected ones or break the
// connection must not make it pass on another batch's answer or a truncated one.
func TestRunReturnsOwnCompleteAnswerOrError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		unexpected := []pgproto3.BackendMessage{
			&pgproto3.BindComplete{}, &pgproto3.CloseComplete{}, &pgproto3.ReadyForQuery{TxStatus: 'I'},
			&pgproto3.CopyOutResponse{}, &pgproto3.PortalSuspended{}, &pgproto3.NoData{}, &pgproto3.NoticeResponse{Message: "n"},
		}
		m := &scriptedMember{
			writeSize:    rapid.IntRange(1, 40).Draw(t, "writeSize"),
			unexpectedAt: rapid.IntRange(-1, 30).Draw(t, "unexpectedAt"),
			breakAt:      rapid.IntRange(-1, 60).Draw(t, "breakAt"),
			unexpected:   unexpected[rapid.IntRange(0, len(unexpected)-1).Draw(t, "unexpected")],
		}
		_, isNotice := m.unexpected.(*pgproto3.NoticeResponse)
		conn := dialScripted(t, m)
		defer conn.Kill()
		for i := range rapid.IntRange(1, 8).Draw(t, "batches") {
			b, want := drawBatch(t, i, conn)
			var got []byte
			result, err := conn.Run(b, func(wire []byte) error { got = append(got, wire...); return nil })
			if err != nil {
				if !conn.Broken() {
					t.Fatalf("%v left the connection in use", err)
				}
				return
			}
			got = append(got, result.Wire...)
			if m.unexpectedAt >= 0 && isNotice {
				continue // the notice is passed on, anywhere in the answer
			}
			if string(got) != string(want) {
				t.Fatalf("batch %d got %q, want %q", i, got, want)
			}
		}
	})
}

func dialScripted(t *rapid.T, m *scriptedMember) *Conn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go m.serve(l)
	conn, err := Dial(context.Background(), Target{Member: "m", Addr: l.Addr().String(), Database: "d", User: "u"}, 0)
	l.Close()
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// drawBatch generates a simple query or a pipeline of prepared statements, some of which may
// already be prepared on the connection, and the expected answer.
func drawBatch(t *rapid.T, i int, conn *Conn) (*Batch, []byte) {
	b := &Batch{}
	var want []byte
	add := func(kind byte, msg pgproto3.FrontendMessage, ref uint32, answers ...pgproto3.BackendMessage) {
		if msg != nil {
			b.Wire, _ = msg.Encode(b.Wire)
		}
		b.Kinds, b.Ends, b.Refs = append(b.Kinds, kind), append(b.Ends, uint32(len(b.Wire))), append(b.Refs, ref)
		for _, a := range answers {
			want, _ = a.Encode(want)
		}
	}
	ready := &pgproto3.ReadyForQuery{TxStatus: 'I'}
	if rapid.Bool().Draw(t, "simple") {
		text := fmt.Sprintf("query %d", i)
		add(KindQuery, &pgproto3.Query{String: text}, 0, append(rowResponse(text), ready)...)
		return b, want
	}
	for range rapid.IntRange(1, 4).Draw(t, "statements") {
		n := rapid.IntRange(0, 3).Draw(t, "statement")
		s := Statement{Name: fmt.Sprintf("s%d", n), SQL: fmt.Sprintf("text %d", n)}
		b.Statements = append(b.Statements, s)
		ref := uint32(len(b.Statements))
		if rapid.Bool().Draw(t, "parse") {
			add(KindParse, nil, ref, &pgproto3.ParseComplete{})
		}
		add(KindBind, &pgproto3.Bind{PreparedStatement: s.Name}, ref, &pgproto3.BindComplete{})
		add(KindExecute, &pgproto3.Execute{}, 0, rowResponse(s.SQL)...)
		if rapid.Bool().Draw(t, "close") {
			add(KindCloseStatement, nil, ref, &pgproto3.CloseComplete{})
		}
	}
	add(KindSync, &pgproto3.Sync{}, 0, ready)
	return b, want
}

func TestParseStatus(t *testing.T) {
	st, err := parseStatus("7 primary 6 40 owner-1 1500 owner-1 2500 true false 6 39 0:0,6:30")
	must.NoError(t, err)
	must.Eq(t, uint64(7), st.Term)
	must.Eq(t, "6/40", st.Position.String())
	must.True(t, st.Released)
	must.Len(t, 2, st.History)
	for _, malformed := range []string{"", "7 primary", "x primary 6 40 o 1 o 1 true false 6 39", "7 primary 6 40 o 1 - -1 true false 6 39 x"} {
		_, err := parseStatus(malformed)
		must.ErrorIs(t, err, ErrProtocol)
	}
}
