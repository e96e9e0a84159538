package upstream

import (
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stackspindle/stackspindle/internal/group"
)

// Kinds of the messages in a batch. The values are the type bytes of the PostgreSQL
// protocol, except KindCloseStatement, which the protocol sends as a Close ('C').
const (
	KindQuery          = 'Q'
	KindParse          = 'P' // no bytes in Wire: the statement is in Statements
	KindBind           = 'B'
	KindDescribe       = 'D'
	KindExecute        = 'E'
	KindClosePortal    = 'C'
	KindCloseStatement = 'c' // no bytes in Wire: answered by this instance
	KindSync           = 'S'
	KindFlush          = 'H'
)

// Statement is a prepared statement. Its name is derived from the text and the parameter
// types, so that clients that prepare the same statement share it on a connection.
type Statement struct {
	Name          string
	SQL           string
	ParameterOIDs []uint32
}

// Batch holds the messages of a client up to and including a Query, Sync or Flush. Kinds,
// Ends and Refs have one element per message.
type Batch struct {
	Wire          []byte
	Kinds         []byte
	Ends          []uint32 // offset in Wire at which each message ends
	Refs          []uint32 // 1-based index into Statements; 0: none
	Statements    []Statement
	QueryPosition bool // query the member's log position after the batch
}

// Result is the end of an answer: the part that Run has not passed to emit.
type Result struct {
	Wire     []byte         // the last chunk, which includes the command's completion
	Position group.Position // zero unless QueryPosition was set and the member returned it
	HasError bool           // the answer contains an ErrorResponse
	Emitted  bool           // part of the answer has already been passed to emit
}

// expectation is a message that the member, or this instance, still has to answer.
type expectation struct {
	kind              byte
	discard           bool   // the answer is not passed on to the client
	preparesStatement string // name of the statement that is prepared once the answer has arrived
}

const expectPosition = 'p' // the query for the log position

// minEmitSize is the size in bytes from which a chunk is emitted before the answer ends.
const minEmitSize = 32 << 10

// initialChunkCapacity is the initial capacity of the answer's buffer in bytes; most answers
// fit.
const initialChunkCapacity = 512

// Run sends a batch and reads its answer. Rows are passed to emit in chunks as they
// arrive. The rest, which always includes the command's completion, is returned, so that
// Run's caller can check that the command may be acknowledged before it passes the
// completion on. Every backend message is matched to the frontend message that it answers,
// in order; a message that does not match closes the connection, so that no answer can
// reach another request.
func (c *Conn) Run(b *Batch, emit func(wire []byte) error) (Result, error) {
	expected, err := c.encode(b)
	if err != nil {
		return Result{}, fmt.Errorf("upstream %s: %w: %w", c.target.Member, ErrNotSent, err)
	}
	if len(c.out) > 0 {
		if _, err := c.conn.Write(c.out); err != nil {
			c.Kill()
			return Result{}, fmt.Errorf("upstream %s: %w: %w", c.target.Member, ErrOutcomeUnknown, err)
		}
	}
	// The answer is still in use after the connection has returned to its pool, so its
	// buffer is never shared with the next batch.
	r := &responseReader{conn: c, expected: expected, emit: emit, chunk: make([]byte, 0, initialChunkCapacity)}
	if err := r.read(); err != nil {
		c.Kill()
		return r.result, err
	}
	c.unsynced = !endsSynced(b.Kinds)
	r.result.Wire = r.chunk
	return r.result, nil
}

func endsSynced(kinds []byte) bool {
	if len(kinds) == 0 {
		return true
	}
	last := kinds[len(kinds)-1]
	return last == KindQuery || last == KindSync
}

// encode writes the frontend messages into c.out and returns the expected answers.
func (c *Conn) encode(b *Batch) ([]expectation, error) {
	c.out = c.out[:0]
	expected := make([]expectation, 0, len(b.Kinds)+1)
	start := uint32(0)
	pending := make(map[string]bool)
	for i, kind := range b.Kinds {
		end := b.Ends[i]
		if end < start || int(end) > len(b.Wire) || int(b.Refs[i]) > len(b.Statements) {
			return nil, errors.New("malformed batch")
		}
		body := b.Wire[start:end]
		start = end
		if c.ignoringUntilSync && kind != KindSync {
			continue
		}
		c.ignoringUntilSync = false
		var err error
		if expected, err = c.encodeOne(b, kind, body, b.Refs[i], pending, expected); err != nil {
			return nil, err
		}
	}
	if b.QueryPosition {
		var err error
		if c.out, err = (&pgproto3.Query{String: positionQuery}).Encode(c.out); err != nil {
			return nil, err
		}
		expected = append(expected, expectation{kind: expectPosition, discard: true})
	}
	return expected, nil
}

func (c *Conn) encodeOne(b *Batch, kind byte, body []byte, ref uint32, pending map[string]bool, expected []expectation) ([]expectation, error) {
	if kind == KindCloseStatement {
		return c.encodeClose(b, ref, expected)
	}
	if ref > 0 {
		s := &b.Statements[ref-1]
		known := c.preparedStatements[s.Name] || pending[s.Name]
		if !known {
			var err error
			parse := pgproto3.Parse{Name: s.Name, Query: s.SQL, ParameterOIDs: s.ParameterOIDs}
			if c.out, err = parse.Encode(c.out); err != nil {
				return nil, err
			}
			pending[s.Name] = true
			expected = append(expected, expectation{kind: KindParse, discard: kind != KindParse, preparesStatement: s.Name})
		}
		if kind == KindParse {
			if known {
				expected = append(expected, expectation{kind: syntheticParse})
			}
			return expected, nil
		}
	}
	c.out = append(c.out, body...)
	if kind == KindFlush {
		return expected, nil
	}
	return append(expected, expectation{kind: kind}), nil
}

// encodeClose closes a prepared statement on the member as well, because clients close
// statements whose plans have become invalid. CloseComplete is generated here; the member's
// own is discarded.
func (c *Conn) encodeClose(b *Batch, ref uint32, expected []expectation) ([]expectation, error) {
	if ref > 0 && c.preparedStatements[b.Statements[ref-1].Name] {
		name := b.Statements[ref-1].Name
		var err error
		if c.out, err = (&pgproto3.Close{ObjectType: 'S', Name: name}).Encode(c.out); err != nil {
			return nil, err
		}
		delete(c.preparedStatements, name)
		expected = append(expected, expectation{kind: KindClosePortal, discard: true})
	}
	return append(expected, expectation{kind: KindCloseStatement}), nil
}

// syntheticParse expects a ParseComplete that is generated here, because the statement is
// already prepared on the connection.
const syntheticParse = 'p' + 1

// responseReader reads the answer to one batch.
type responseReader struct {
	conn              *Conn
	expected          []expectation
	emit              func([]byte) error
	chunk             []byte
	result            Result
	statementComplete bool // the answer to the current statement of a simple query has ended; false before the first
}

func (r *responseReader) read() error {
	for {
		if err := r.synthesize(); err != nil {
			return err
		}
		if len(r.expected) == 0 {
			return nil
		}
		msg, err := r.conn.frontend.Receive()
		if err != nil {
			return fmt.Errorf("upstream %s: %w: %w", r.conn.target.Member, ErrOutcomeUnknown, err)
		}
		if err := r.process(msg); err != nil {
			return err
		}
	}
}

// synthesize generates the answers to leading messages that were not sent to the member.
func (r *responseReader) synthesize() error {
	for len(r.expected) > 0 {
		var msg pgproto3.BackendMessage
		switch r.expected[0].kind {
		case syntheticParse:
			msg = &pgproto3.ParseComplete{}
		case KindCloseStatement:
			msg = &pgproto3.CloseComplete{}
		default:
			return nil
		}
		r.expected = r.expected[1:]
		if err := r.appendMessage(msg); err != nil {
			return err
		}
	}
	return nil
}

func (r *responseReader) appendMessage(msg pgproto3.BackendMessage) error {
	var err error
	r.chunk, err = msg.Encode(r.chunk)
	return err
}

// endsAnswer reports whether msg ends the answer to a message of the given kind.
func endsAnswer(kind byte, msg pgproto3.BackendMessage) bool {
	switch msg.(type) {
	case *pgproto3.ParseComplete:
		return kind == KindParse
	case *pgproto3.BindComplete:
		return kind == KindBind
	case *pgproto3.CloseComplete:
		return kind == KindClosePortal
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return kind == KindDescribe
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return kind == KindExecute
	case *pgproto3.ReadyForQuery:
		return kind == KindSync || kind == KindQuery || kind == expectPosition
	}
	return false
}

// belongsToAnswer reports whether msg may precede the end of the answer to a message of the
// given kind.
func belongsToAnswer(kind byte, msg pgproto3.BackendMessage) bool {
	switch msg.(type) {
	case *pgproto3.DataRow:
		return kind == KindExecute || kind == KindQuery || kind == expectPosition
	case *pgproto3.ParameterDescription:
		return kind == KindDescribe
	case *pgproto3.RowDescription, *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse:
		return kind == KindQuery || kind == expectPosition
	case *pgproto3.ErrorResponse, *pgproto3.NoticeResponse, *pgproto3.ParameterStatus:
		return true
	}
	return false
}

func (r *responseReader) process(msg pgproto3.BackendMessage) error {
	head := r.expected[0]
	completes := endsAnswer(head.kind, msg)
	if !completes && !belongsToAnswer(head.kind, msg) {
		return fmt.Errorf("upstream %s: %T: %w", r.conn.target.Member, msg, ErrProtocol)
	}
	r.trackStatementEnd(msg)
	if ready, ok := msg.(*pgproto3.ReadyForQuery); ok && head.kind != expectPosition {
		if head.kind == KindQuery && !r.statementComplete {
			return fmt.Errorf("upstream %s: the answer ends in the middle: %w", r.conn.target.Member, ErrProtocol)
		}
		r.conn.status = ready.TxStatus
	}
	if head.kind == expectPosition {
		r.recordPosition(msg)
	}
	if e, ok := msg.(*pgproto3.ErrorResponse); ok {
		return r.processError(head, e)
	}
	if completes {
		r.expected = r.expected[1:]
		if head.preparesStatement != "" {
			r.conn.preparedStatements[head.preparesStatement] = true
		}
	}
	if head.discard {
		return nil
	}
	if err := r.appendMessage(msg); err != nil {
		return err
	}
	if _, ok := msg.(*pgproto3.DataRow); ok && len(r.chunk) >= minEmitSize {
		return r.flush()
	}
	return nil
}

// trackStatementEnd tracks whether a statement is partly answered, so that a result that an
// unexpected ReadyForQuery truncates is not mistaken for a complete one.
func (r *responseReader) trackStatementEnd(msg pgproto3.BackendMessage) {
	switch msg.(type) {
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.ErrorResponse:
		r.statementComplete = true
	case *pgproto3.RowDescription, *pgproto3.DataRow:
		r.statementComplete = false
	}
}

func (r *responseReader) recordPosition(msg pgproto3.BackendMessage) {
	row, ok := msg.(*pgproto3.DataRow)
	if !ok || len(row.Values) != 1 {
		return
	}
	if p, err := parsePosition([]string{string(row.Values[0])}); err == nil {
		r.result.Position = p
	}
}

// processError handles an ErrorResponse. After an error in the extended protocol the member
// ignores all messages up to Sync, so their expectations are removed.
func (r *responseReader) processError(head expectation, e *pgproto3.ErrorResponse) error {
	if head.kind == expectPosition {
		return nil // the batch left a transaction open in which the query fails; there is no position
	}
	if e.Severity == "FATAL" || e.SeverityUnlocalized == "FATAL" {
		return fmt.Errorf("upstream %s: %w: %s (%s)", r.conn.target.Member, ErrOutcomeUnknown, e.Message, e.Code)
	}
	r.result.HasError = true
	if err := r.appendMessage(e); err != nil {
		return err
	}
	if head.kind == KindQuery {
		return nil
	}
	for len(r.expected) > 0 && r.expected[0].kind != KindSync {
		r.expected = r.expected[1:]
	}
	r.conn.ignoringUntilSync = len(r.expected) == 0
	return nil
}

func (r *responseReader) flush() error {
	if err := r.emit(r.chunk); err != nil {
		return fmt.Errorf("upstream %s: %w: the caller is gone: %w", r.conn.target.Member, ErrOutcomeUnknown, err)
	}
	r.result.Emitted = true
	r.chunk = make([]byte, 0, minEmitSize+minEmitSize/4)
	return nil
}
