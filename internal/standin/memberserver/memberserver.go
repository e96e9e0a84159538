// Package memberserver serves one member of an in-memory database group over the
// platform's line protocol, for tests that run real processes. It checks that no
// statement runs in another client's transaction or with another client's session
// values, and reports violations as findings.
package memberserver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/statement"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// answerTimeout limits dialling the member and each statement. An unresponsive member leaves its
// connections without an answer for that long and then closes them.
const answerTimeout = 3 * time.Second

// Server serves one member.
type Server struct {
	id                atomic.Pointer[string]
	dialer            member.Dialer
	statementDuration time.Duration
	listener          net.Listener
	finding           func(format string, args ...any)
}

// New starts a server for a member on a free loopback port. Each statement takes the
// given duration. finding is called for each violation.
func New(id string, dialer member.Dialer, statementDuration time.Duration, finding func(format string, args ...any)) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("member %s: %w", id, err)
	}
	s := &Server{dialer: dialer, statementDuration: statementDuration, listener: l, finding: finding}
	s.SetID(id)
	go s.accept()
	return s, nil
}

// SetID changes the member's ID, as when its process starts again under another one.
func (s *Server) SetID(id string) { s.id.Store(&id) }

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops accepting connections. Open ones continue.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// session is one connection to the member.
type session struct {
	server  *Server
	id      string // of the member
	conn    member.Conn
	state   statement.State
	txOwner string            // client whose transaction is open; empty: none
	values  map[string]string // session values set by the connection's user
}

// serve runs the session of one connection. It closes the connection instead of
// answering if the member is down or loses the answer.
func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	line, err := r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "STARTUP ") {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	_, account, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ") // skip STARTUP
	_, account, _ = strings.Cut(account, " ")                          // skip the group
	account, expected, _ := strings.Cut(account, " ")
	id := *s.id.Load()
	if expected != "" && expected != id {
		_, _ = fmt.Fprintf(conn, "ERROR MISROUTED %s\r\n", id) // the connection ends in any case
		return
	}
	inner, err := s.dialer.Dial(ctx, topology.Member{ID: id}, account)
	if err != nil {
		return // the member is down
	}
	defer inner.Close()
	c := &session{server: s, id: id, conn: inner, state: statement.Idle, values: make(map[string]string)}
	if _, err := fmt.Fprintf(conn, "READY I -\r\n"); err != nil {
		return
	}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		id, text, ok := strings.Cut(strings.TrimPrefix(strings.TrimRight(line, "\r\n"), "QUERY "), " ")
		if !ok || !strings.HasPrefix(line, "QUERY ") {
			return
		}
		answer, err := c.run(id, text)
		if err != nil {
			return // the answer is lost
		}
		if _, err := conn.Write(encode(answer)); err != nil {
			return
		}
	}
}

// encode encodes an answer in the line protocol.
func encode(a statement.Answer) []byte {
	var out strings.Builder
	for _, row := range a.Rows {
		fmt.Fprintf(&out, "ROW %s\r\n", row)
	}
	if a.Err != nil {
		fmt.Fprintf(&out, "ERROR %s %s\r\n", errorCodes[a.Err.Code], a.Err.Detail)
	} else {
		fmt.Fprintf(&out, "COMPLETE %s\r\n", a.Receipt)
	}
	fmt.Fprintf(&out, "READY %c %d.%d\r\n", a.State, a.Position.Term, a.Position.Index)
	return []byte(out.String())
}

// errorCodes has the protocol's error codes for the errors that this member returns.
var errorCodes = map[statement.Code]string{
	statement.Lagging: "LAGGING", statement.ReadOnly: "READONLY", statement.Unprepared: "NOSTMT", statement.Malformed: "MALFORMED",
}

// run handles one request: a session command, or a statement that takes the duration
// Server.statementDuration. An error means that the answer is lost.
func (c *session) run(id, text string) (statement.Answer, error) {
	deadline := time.Now().Add(answerTimeout)
	word, rest, _ := strings.Cut(text, " ")
	switch word {
	case "STATUS":
		return c.statusAnswer(c.conn.Status(deadline))
	case "STEPDOWN":
		term, err := strconv.ParseUint(rest, 10, 64)
		if err != nil {
			return c.malformed(text), nil
		}
		return c.statusAnswer(c.conn.StepDown(deadline, term))
	case "RESET":
		clear(c.values)
		return c.commandAnswer(c.conn.Configure(deadline, true, nil, nil))
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.values[name] = value
		return c.commandAnswer(c.conn.Configure(deadline, false, []member.Value{{Name: name, Value: value}}, nil))
	case "PREPARE":
		f := strings.Fields(rest)
		if len(f) != 3 {
			return c.malformed(text), nil
		}
		return c.commandAnswer(c.conn.Configure(deadline, false, nil, []member.Prepared{{Name: f[0], Writes: f[1] == "WRITE", Shape: f[2]}}))
	}
	time.Sleep(c.server.statementDuration)
	return c.statement(id, text, deadline)
}

var errMalformed = &statement.Error{Code: statement.Malformed}

// malformed reports a request that cannot be parsed and returns an error answer.
func (c *session) malformed(text string) statement.Answer {
	c.server.finding("member %s was sent %q, which is no statement", c.id, text)
	return statement.Answer{State: c.state, Err: errMalformed}
}

// commandAnswer returns the answer to a session command.
func (c *session) commandAnswer(err error) (statement.Answer, error) {
	return statement.Answer{State: c.state, Receipt: statement.NoReceipt}, err
}

// statusAnswer returns the answer to STATUS and STEPDOWN.
func (c *session) statusAnswer(st member.Status, err error) (statement.Answer, error) {
	role := "replica"
	if st.Primary {
		role = "primary"
	}
	row := fmt.Sprintf("%s %d %d.%d 0 0 0 0", role, st.Term, st.Received.Term, st.Received.Index)
	return statement.Answer{Rows: []string{row}, State: c.state, Receipt: statement.NoReceipt, Position: st.Received}, err
}

// statement runs a client's statement. A read returns the log position that it ran at,
// so that the client can check its staleness.
func (c *session) statement(id, text string, deadline time.Time) (statement.Answer, error) {
	req := member.Request{Deadline: deadline}
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, remainder, _ := strings.Cut(rest, " ")
		term, index, _ := strings.Cut(position, ".")
		t, errTerm := strconv.ParseUint(term, 10, 64)
		i, errIndex := strconv.ParseUint(index, 10, 64)
		if errors.Join(errTerm, errIndex) != nil {
			return c.malformed(text), nil
		}
		req.After, text = group.Position{Term: t, Index: i}, remainder
	}
	st, ok := parse(id, text)
	if !ok {
		if id != statement.NoReceipt {
			return c.malformed(text), nil
		}
		st = statement.Statement{ID: id, Text: text, Kind: statement.Rollback}
	}
	req.Statement, req.Name = st, st.Name
	c.checkOwner(st)
	answer, err := c.conn.Run(req)
	if err != nil {
		return answer, err
	}
	c.state = answer.State
	if answer.State == statement.Idle {
		c.txOwner = ""
	}
	for n := range answer.Rows {
		answer.Rows[n] = fmt.Sprintf("%d.%d", answer.Position.Term, answer.Position.Index)
	}
	return answer, nil
}

// checkOwner reports a statement that runs in another client's transaction or with
// another client's session values. A statement ID begins with the client's name and a
// dash. A client sets the value "owner" to its name, or sets no value at all.
func (c *session) checkOwner(st statement.Statement) {
	if st.ID == statement.NoReceipt {
		return
	}
	owner, _, _ := strings.Cut(st.ID, "-")
	if c.txOwner != "" && c.txOwner != owner {
		c.server.finding("member %s: statement %s runs in the transaction of %s", c.id, st.ID, c.txOwner)
	}
	if st.Kind == statement.Begin || st.Kind == statement.BeginRead {
		c.txOwner = owner
	}
	if value, set := c.values["owner"]; set && value != owner {
		c.server.finding("member %s: statement %s runs with the values of %s", c.id, st.ID, value)
	}
}

// parse parses the text of a client's statement.
func parse(id, text string) (statement.Statement, bool) {
	st := statement.Statement{ID: id, Text: text}
	word, rest, _ := strings.Cut(text, " ")
	switch {
	case text == "BEGIN":
		st.Kind = statement.Begin
	case text == "BEGIN READ":
		st.Kind = statement.BeginRead
	case text == "COMMIT":
		st.Kind = statement.Commit
	case text == "ROLLBACK":
		st.Kind = statement.Rollback
	case word == "READ":
		st.Kind = statement.Read
	case word == "WRITE":
		st.Kind = statement.Write
	case word == "EXECUTE":
		st.Kind = statement.Execute
		st.Name, st.Args, _ = strings.Cut(rest, " ")
	default:
		return st, false
	}
	return st, true
}
