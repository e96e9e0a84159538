package pggroup

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// session is one client connection to a member.
type session struct {
	member   *Member
	conn     net.Conn
	backend  *pgproto3.Backend
	instance string // application_name of the connection
	term     uint64 // term for which the connection was opened; 0: any
	pid      uint32
	secret   []byte

	done     chan struct{}
	endOnce  sync.Once
	canceled atomic.Bool // a cancel request has arrived

	prepared            map[string]*plan
	portals             map[string]*portal
	settings            map[string]string
	settingsAtBegin     map[string]string // settings at the start of the transaction
	settingsBeforeLocal map[string]string // settings to restore at the end of the transaction, after SET LOCAL

	tx               *transaction
	explicitTx       bool // the transaction was opened with BEGIN
	failed           bool // the transaction can only be rolled back
	readOnly         bool
	unansweredWrites bool // writes were committed whose answer has not been flushed
	skipUntilSync    bool // ignore messages until Sync, after an error in the extended protocol
	unflushedBytes   int  // bytes of rows given to the backend since the last flush
}

// portal is a prepared statement with bound parameters.
type portal struct {
	plan    *plan
	params  []any
	formats []int16
}

func newSession(m *Member, conn net.Conn, instance string, term uint64, pid uint32) *session {
	return &session{
		member:   m,
		conn:     conn,
		instance: instance,
		term:     term,
		pid:      pid,
		secret:   binary.BigEndian.AppendUint32(nil, pid*2654435761),
		done:     make(chan struct{}),
		prepared: make(map[string]*plan),
		portals:  make(map[string]*portal),
		settings: make(map[string]string),
	}
}

// staleLocked reports whether the session was opened for an earlier term than the
// member's. The caller holds member.mu.
func (s *session) staleLocked() bool {
	return s.term != 0 && s.term < s.member.term
}

// end closes the connection.
func (s *session) end() {
	s.endOnce.Do(func() {
		close(s.done)
		if s.conn != nil {
			s.conn.Close()
		}
	})
}

func (s *session) ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// gatedConn blocks traffic while the member is paused or partitioned from the
// connection's instance, and counts the bytes.
type gatedConn struct {
	net.Conn
	member       *Member
	instanceGate *gate // closed while the instance is cut off; nil before startup
	done         chan struct{}
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.member.traffic.Add(int64(n))
	c.waitForGates()
	return n, err
}

func (c *gatedConn) Write(p []byte) (int, error) {
	if d := c.member.faults.delay.Load(); d > 0 {
		select {
		case <-time.After(time.Duration(d)):
		case <-c.done:
		}
	}
	c.waitForGates()
	c.member.traffic.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// waitForGates blocks while one of the connection's gates is closed, until done.
func (c *gatedConn) waitForGates() {
	c.member.faults.pause.wait(c.done)
	if c.instanceGate != nil {
		c.instanceGate.wait(c.done)
	}
}

func (m *Member) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go m.serve(conn)
	}
}

func (m *Member) serve(conn net.Conn) {
	defer conn.Close()
	gated := &gatedConn{Conn: conn, member: m, done: make(chan struct{})}
	backend := pgproto3.NewBackend(gated, gated)
	start, err := m.startup(backend, gated)
	if err != nil || start == nil {
		return
	}
	s, err := m.openSession(start, gated)
	if err != nil {
		backend.Send(errorResponse(err))
		_ = backend.Flush()
		return
	}
	s.backend = backend
	defer m.removeSession(s)
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"})
	backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret})
	s.sendReady()
	s.loop()
}

// startup reads the startup message. It declines encryption and handles cancel requests;
// a nil message without an error means that the connection carried a cancel request.
func (m *Member) startup(backend *pgproto3.Backend, conn *gatedConn) (*pgproto3.StartupMessage, error) {
	for {
		msg, err := backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch start := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := conn.Write([]byte("N")); err != nil {
				return nil, err
			}
		case *pgproto3.CancelRequest:
			m.cancel(start.ProcessID, start.SecretKey)
			return nil, nil
		case *pgproto3.StartupMessage:
			return start, nil
		}
	}
}

// cancel handles a cancel request: it interrupts the session's current statement.
func (m *Member) cancel(pid uint32, secret []byte) {
	m.mu.RLock()
	s := m.sessions[pid]
	m.mu.RUnlock()
	if s != nil && string(s.secret) == string(secret) {
		s.canceled.Store(true)
	}
}

// openSession registers a new session. It fails if the member is stopping, or if the startup
// options name another term than the member's.
func (m *Member) openSession(start *pgproto3.StartupMessage, conn *gatedConn) (*session, error) {
	term := termOption(start.Parameters["options"])
	instance := start.Parameters["application_name"]
	conn.instanceGate = m.faults.instanceGate(instance)
	conn.waitForGates()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.running.Load() {
		return nil, sqlError("57P03", "the member is stopping")
	}
	if term != 0 && term != m.term {
		return nil, &pgError{code: "57P03", message: fmt.Sprintf("term %d asked for, the member is at %d", term, m.term), fatal: true}
	}
	m.nextPID++
	s := newSession(m, conn.Conn, instance, term, m.nextPID)
	s.done = conn.done
	m.sessions[s.pid] = s
	return s, nil
}

// termOption returns N of "-c group.term=N" in the startup options, or 0.
func termOption(options string) uint64 {
	for _, field := range strings.Fields(options) {
		if value, ok := strings.CutPrefix(field, "group.term="); ok {
			term, err := strconv.ParseUint(value, 10, 64)
			if err == nil {
				return term
			}
		}
	}
	return 0
}

// removeSession rolls back the session's transaction and removes the session.
func (m *Member) removeSession(s *session) {
	if s.tx != nil {
		m.rollback(s.tx)
	}
	s.end()
	m.mu.Lock()
	delete(m.sessions, s.pid)
	m.mu.Unlock()
}

// sendReady sends ReadyForQuery and flushes.
func (s *session) sendReady() {
	status := byte('I')
	switch {
	case s.failed:
		status = 'E'
	case s.explicitTx:
		status = 'T'
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	s.flush()
}

// flush sends all buffered messages. If the answer to a committed write is to be lost,
// it closes the connection first.
func (s *session) flush() {
	s.unflushedBytes = 0
	if s.unansweredWrites && s.tx == nil && s.member.faults.dropsAnswer() {
		s.end()
	}
	s.unansweredWrites = s.unansweredWrites && s.tx != nil
	if err := s.backend.Flush(); err != nil {
		s.end()
	}
}

// loop handles messages until the session ends.
func (s *session) loop() {
	for !s.ended() {
		msg, err := s.backend.Receive()
		if err != nil {
			return
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return
		}
		s.handle(msg)
	}
}

// handle handles one message after startup.
func (s *session) handle(msg pgproto3.FrontendMessage) {
	switch m := msg.(type) {
	case *pgproto3.Query:
		s.canceled.Store(false)
		s.simpleQuery(m.String)
		s.sendReady()
		return
	case *pgproto3.Sync:
		s.skipUntilSync = false
		if err := s.endImplicit(); err != nil {
			s.backend.Send(errorResponse(err))
		}
		s.portals = make(map[string]*portal)
		s.sendReady()
		s.canceled.Store(false)
		return
	case *pgproto3.Flush:
		s.flush()
		return
	}
	if s.skipUntilSync {
		return
	}
	if err := s.extendedQuery(msg); err != nil {
		s.fail()
		s.skipUntilSync = true
		s.backend.Send(errorResponse(err))
	}
}

func errorResponse(err error) *pgproto3.ErrorResponse {
	e := &pgError{code: "XX000", message: err.Error()}
	errors.As(err, &e)
	severity := "ERROR"
	if e.fatal {
		severity = "FATAL"
	}
	return &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: e.code, Message: e.message}
}

// simpleQuery runs a query of the simple protocol, which may have several statements.
func (s *session) simpleQuery(sql string) {
	stmts, err := s.member.parse(sql)
	if err != nil {
		s.fail()
		s.backend.Send(errorResponse(err))
		return
	}
	if len(stmts) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, stmt := range stmts {
		if err := s.runSimple(&plan{sql: sql, node: stmt.Stmt}); err != nil {
			s.fail()
			s.backend.Send(errorResponse(err))
			return
		}
	}
	if err := s.endImplicit(); err != nil {
		s.backend.Send(errorResponse(err))
	}
}

// runSimple runs one statement of a simple query and sends its result.
func (s *session) runSimple(p *plan) error {
	tag, err := s.run(p, nil, result{
		describe: func(columns []column) error {
			s.backend.Send(rowDescription(columns, nil))
			return nil
		},
		row: func(values []any) error { return s.sendRow(values, nil, nil) },
	})
	if err != nil {
		return err
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

// runInOwnTx runs a statement in its own transaction and discards its rows.
func (s *session) runInOwnTx(p *plan) error {
	_, err := s.run(p, nil, result{
		describe: func([]column) error { return nil },
		row:      func([]any) error { return nil },
	})
	if err != nil {
		s.fail()
		return err
	}
	return s.endImplicit()
}

// run executes one statement. It opens an implicit transaction if none is open.
func (s *session) run(p *plan, params []any, out result) (string, error) {
	if n := p.node.GetTransactionStmt(); n != nil {
		return s.transactionStatement(n)
	}
	if s.failed {
		return "", sqlError("25P02", "current transaction is aborted, commands ignored until end of transaction block")
	}
	if err := s.interrupted(); err != nil {
		return "", err
	}
	if s.tx == nil {
		s.beginTx()
	}
	return s.execute(p, params, out)
}

func (s *session) beginTx() {
	s.tx = s.member.store.begin(s.ended)
	s.settingsAtBegin = make(map[string]string, len(s.settings))
	for name, value := range s.settings {
		s.settingsAtBegin[name] = value
	}
}

// transactionStatement runs BEGIN, COMMIT or ROLLBACK.
func (s *session) transactionStatement(n *pgquery.TransactionStmt) (string, error) {
	switch n.Kind {
	case pgquery.TransactionStmtKind_TRANS_STMT_BEGIN, pgquery.TransactionStmtKind_TRANS_STMT_START:
		if s.tx == nil {
			s.beginTx()
		}
		s.explicitTx = true
		for _, option := range n.Options {
			if option.GetDefElem().GetDefname() == "transaction_read_only" {
				s.readOnly = option.GetDefElem().GetArg().GetAConst().GetIval().GetIval() != 0
			}
		}
		return "BEGIN", nil
	case pgquery.TransactionStmtKind_TRANS_STMT_COMMIT:
		if s.failed {
			s.rollbackTx()
			return "ROLLBACK", nil
		}
		return "COMMIT", s.commitTx()
	case pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		s.rollbackTx()
		return "ROLLBACK", nil
	}
	return "", sqlError("0A000", "savepoints are not supported")
}

func (s *session) commitTx() error {
	tx := s.tx
	s.tx, s.explicitTx, s.failed, s.readOnly = nil, false, false, false
	for name, value := range s.settingsBeforeLocal {
		s.settings[name] = value
	}
	s.settingsBeforeLocal = nil
	if tx == nil {
		return nil
	}
	s.unansweredWrites = s.unansweredWrites || len(tx.changes) > 0
	return s.member.commit(s, tx)
}

func (s *session) rollbackTx() {
	if s.tx != nil {
		s.member.rollback(s.tx)
		s.settings = s.settingsAtBegin
	}
	s.tx, s.explicitTx, s.failed, s.readOnly, s.settingsBeforeLocal = nil, false, false, false, nil
}

// endImplicit commits an implicit transaction.
func (s *session) endImplicit() error {
	if s.tx == nil || s.explicitTx {
		return nil
	}
	return s.commitTx()
}

// fail marks an explicit transaction as failed, or rolls back an implicit one.
func (s *session) fail() {
	if s.explicitTx {
		s.failed = true
		return
	}
	s.rollbackTx()
}

// saveBeforeLocal saves a setting before SET LOCAL changes it.
func (s *session) saveBeforeLocal(name string) {
	if s.settingsBeforeLocal == nil {
		s.settingsBeforeLocal = make(map[string]string)
	}
	if _, ok := s.settingsBeforeLocal[name]; !ok {
		s.settingsBeforeLocal[name] = s.settings[name]
	}
}

// discardAll runs DISCARD ALL.
func (s *session) discardAll() {
	s.settings = make(map[string]string)
	s.settingsAtBegin = s.settings
	s.prepared = make(map[string]*plan)
}

// interrupted returns an error if the session has ended or a cancel request has arrived.
func (s *session) interrupted() error {
	if s.ended() {
		return sqlError("57P01", "terminating connection due to administrator command")
	}
	if s.canceled.Swap(false) {
		return sqlError("57014", "canceling statement due to user request")
	}
	return nil
}

// sleep runs pg_sleep, until it is interrupted.
func (s *session) sleep(d time.Duration) error {
	deadline := time.Now().Add(d)
	for time.Now().Before(deadline) {
		if err := s.interrupted(); err != nil {
			return err
		}
		time.Sleep(min(5*time.Millisecond, time.Until(deadline)))
	}
	return nil
}
