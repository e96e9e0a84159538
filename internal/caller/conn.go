package caller

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/stackspindle/stackspindle/internal/dispatch"
	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/peer"
	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
	"github.com/stackspindle/stackspindle/internal/sqlclass"
)

// conn is one caller's connection. One goroutine serves it; cancel and wake may
// be called from elsewhere.
type conn struct {
	server     *Server
	net        net.Conn
	reader     *countingReader
	backend    *pgproto3.Backend
	pid        uint32
	secret     [4]byte
	registered bool

	session  session
	prepared map[string]*prepared
	portals  map[string]*prepared
	batch    *batch
	skipping bool // after an error of ours in the extended protocol, until Sync
	failedTx bool // the open transaction has failed here, not upstream
	keyed    bool // the open transaction has a request key
	status   byte // of the last ReadyForQuery

	ctx    context.Context
	stop   context.CancelFunc
	mu     sync.Mutex // guards tx against cancel
	tx     *dispatch.Tx
	atRest atomic.Bool // waits between transactions, with nothing received
}

// countingReader tells whether part of a message has been received.
type countingReader struct {
	net.Conn
	received bool
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	r.received = r.received || n > 0
	return n, err
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, prepared: make(map[string]*prepared), portals: make(map[string]*prepared), status: 'I', batch: newBatch()}
	c.setNet(nc)
	c.ctx, c.stop = context.WithCancel(context.Background())
	_, _ = rand.Read(c.secret[:]) // never fails, see its documentation
	return c
}

func (c *conn) setNet(nc net.Conn) {
	c.net = nc
	c.reader = &countingReader{Conn: nc}
	c.backend = pgproto3.NewBackend(c.reader, nc)
	c.backend.SetMaxBodyLen(c.server.opts.MaxMessage)
}

// refuseStart answers a caller for whom there is no room.
func (c *conn) refuseStart(code, message string) {
	defer c.net.Close()
	if err := c.net.SetDeadline(time.Now().Add(time.Second)); err != nil {
		return
	}
	if msg, err := c.startupMessage(); err != nil || msg == nil {
		return
	}
	c.sendFatal(fail(code, "%s", message))
}

// serve runs the connection to its end.
func (c *conn) serve() {
	defer c.close()
	if !c.start() {
		return
	}
	for {
		msg, err := c.receive()
		if err != nil {
			c.farewell(err)
			return
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return
		}
		if err := c.handle(msg); err != nil {
			c.farewell(err)
			return
		}
	}
}

func (c *conn) close() {
	c.stop()
	if c.tx != nil {
		c.tx.Close()
	}
	if c.registered {
		c.server.forget(c)
	}
	c.net.Close()
}

// errStopping ends an idle connection at a planned stop.
var errStopping = fail(codeShutdown, "not run: this instance is being stopped, connect again")

// receive waits for the next message. Between transactions a planned stop ends
// the wait; within one, idling for too long does.
func (c *conn) receive() (pgproto3.FrontendMessage, error) {
	idle := c.status == 'I' && c.tx == nil && c.batch.empty()
	c.reader.received = false
	var deadline time.Time
	if !idle {
		deadline = time.Now().Add(c.server.opts.IdleTransaction)
	}
	if err := c.net.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	c.atRest.Store(idle)
	defer c.atRest.Store(false)
	for {
		if idle && c.server.stopping.Load() && !c.reader.received {
			return nil, errStopping
		}
		msg, err := c.backend.Receive()
		if err == nil {
			return msg, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if !idle {
			return nil, &failure{code: codeIdleInTx, message: "the transaction was idle for too long and is rolled back", fatal: true}
		}
		if err := c.net.SetReadDeadline(time.Now().Add(c.server.opts.IdleTransaction)); err != nil {
			return nil, err
		}
	}
}

// wake makes an idle connection notice a planned stop.
func (c *conn) wake() {
	if c.atRest.Load() {
		_ = c.net.SetReadDeadline(time.Now()) // a closed connection needs no waking
	}
}

// cancel stops the statement in flight if the secret is right.
func (c *conn) cancel(secret []byte) {
	if !bytes.Equal(secret, c.secret[:]) {
		return
	}
	c.mu.Lock()
	tx := c.tx
	c.mu.Unlock()
	if tx != nil {
		tx.Cancel()
	}
}

// farewell tells the caller why the connection ends, where there is a reason.
func (c *conn) farewell(err error) {
	var f *failure
	if errors.As(err, &f) {
		c.sendFatal(f)
		return
	}
	var tooLong *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &tooLong) {
		c.sendFatal(fail("54000", "not run: a message may have %d bytes at most", c.server.opts.MaxMessage))
	}
}

func (c *conn) sendFatal(err error) {
	f := &failure{code: codeProtocol, message: err.Error()}
	errors.As(err, &f)
	fatal := *f
	fatal.fatal = true
	c.server.events.Refused(fatal.code)
	c.backend.Send(fatal.response())
	_ = c.flush() // the connection closes either way
}

func (c *conn) flush() error {
	if err := c.net.SetWriteDeadline(time.Now().Add(c.server.opts.WriteTimeout)); err != nil {
		return err
	}
	return c.backend.Flush()
}

func (c *conn) write(wire []byte) error {
	if err := c.net.SetWriteDeadline(time.Now().Add(c.server.opts.WriteTimeout)); err != nil {
		return err
	}
	_, err := c.net.Write(wire)
	return err
}

// handle takes one message. An error ends the connection.
func (c *conn) handle(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Query:
		return c.query(m)
	case *pgproto3.Sync:
		return c.sync(m)
	case *pgproto3.Flush:
		return c.flushBatch(m)
	}
	if c.skipping {
		return nil
	}
	err := c.collect(msg)
	var f *failure
	if errors.As(err, &f) {
		return c.rejectExtended(f)
	}
	return err
}

// forgetParsed drops the statements of a batch that was not run.
func (c *conn) forgetParsed(b *batch) {
	for _, name := range b.parsed {
		delete(c.prepared, name)
	}
}

// doubtParsed marks the statements of a batch that a member answered with an
// error, which may have been about any of its messages.
func (c *conn) doubtParsed(b *batch) {
	for _, name := range b.parsed {
		if p := c.prepared[name]; p != nil {
			p.doubtful = true
		}
	}
}

// rejectExtended answers an extended message with an error of ours. What was
// collected before it is dropped; all that follows is skipped up to Sync.
func (c *conn) rejectExtended(f *failure) error {
	c.server.events.Refused(f.code)
	c.skipping = true
	c.failedTx = c.failedTx || c.status != 'I'
	c.forgetParsed(c.batch)
	c.batch = newBatch()
	c.backend.Send(f.response())
	return c.flush()
}

func (c *conn) query(m *pgproto3.Query) error {
	class := c.server.classifier.Classify(m.String)
	if reason := class.Refusal(); reason != "" {
		return c.rejectQuery(fail(codeFeature, "not run: %s cannot be served over shared connections", reason))
	}
	c.batch = newBatch()
	if err := c.batch.add(kindQuery, m, 0); err != nil {
		return c.rejectQuery(err)
	}
	c.batch.execute(class)
	return c.runBatch(true)
}

// rejectQuery answers a simple query with an error of ours.
func (c *conn) rejectQuery(err error) error {
	f := &failure{code: codeProtocol, message: err.Error()}
	errors.As(err, &f)
	c.server.events.Refused(f.code)
	c.failedTx = c.failedTx || c.status != 'I'
	c.batch = newBatch()
	c.backend.Send(f.response())
	c.sendReady()
	return c.flush()
}

func (c *conn) sendReady() {
	status := c.status
	if c.failedTx {
		status = 'E'
	}
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}

func (c *conn) sync(m *pgproto3.Sync) error {
	skipped := c.skipping
	c.skipping = false
	if skipped && c.status == 'I' {
		c.endTx()
	}
	if skipped || c.batch.empty() && c.tx == nil {
		c.sendReady()
		return c.flush()
	}
	if err := c.batch.add(kindSync, m, 0); err != nil {
		return err
	}
	return c.runBatch(true)
}

func (c *conn) flushBatch(m *pgproto3.Flush) error {
	if c.skipping || c.batch.empty() {
		return nil
	}
	if err := c.batch.add(kindFlush, m, 0); err != nil {
		return err
	}
	return c.runBatch(false)
}

// collect adds an extended message to the batch.
func (c *conn) collect(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return c.parse(m)
	case *pgproto3.Bind:
		return c.bind(m)
	case *pgproto3.Describe:
		return c.describe(m)
	case *pgproto3.Execute:
		return c.execute(m)
	case *pgproto3.Close:
		return c.closeObject(m)
	}
	return fail(codeProtocol, "not run: unexpected message %T", msg)
}

// maxPreparedPerCaller bounds the statements that one caller may keep prepared.
const maxPreparedPerCaller = 1000

func (c *conn) parse(m *pgproto3.Parse) error {
	class := c.server.classifier.Classify(m.Query)
	if reason := class.Refusal(); reason != "" {
		return fail(codeFeature, "not run: %s cannot be served over shared connections", reason)
	}
	if known := c.prepared[m.Name]; known != nil && !known.doubtful && m.Name != "" {
		return fail("42P05", "not run: prepared statement %q already exists", m.Name)
	}
	if len(c.prepared) >= maxPreparedPerCaller {
		return fail("54000", "not run: a caller may keep %d prepared statements at most", maxPreparedPerCaller)
	}
	oids := append([]uint32(nil), m.ParameterOIDs...)
	p := &prepared{
		statement: &peerpb.Statement{Name: statementName(m.Query, oids), Sql: m.Query, ParameterOids: oids},
		class:     class,
	}
	c.prepared[m.Name] = p
	c.batch.parsed = append(c.batch.parsed, m.Name)
	return c.batch.add(kindParse, nil, c.batch.reference(p))
}

func (c *conn) lookup(name string) (*prepared, error) {
	p := c.prepared[name]
	if p == nil {
		return nil, fail(codeStatement, "not run: prepared statement %q does not exist", name)
	}
	return p, nil
}

func (c *conn) bind(m *pgproto3.Bind) error {
	p, err := c.lookup(m.PreparedStatement)
	if err != nil {
		return err
	}
	c.portals[m.DestinationPortal] = p
	renamed := *m
	renamed.PreparedStatement = p.statement.Name
	return c.batch.add(kindBind, &renamed, c.batch.reference(p))
}

func (c *conn) describe(m *pgproto3.Describe) error {
	if m.ObjectType != 'S' {
		return c.batch.add(kindDescribe, m, 0)
	}
	p, err := c.lookup(m.Name)
	if err != nil {
		return err
	}
	renamed := *m
	renamed.Name = p.statement.Name
	return c.batch.add(kindDescribe, &renamed, c.batch.reference(p))
}

func (c *conn) execute(m *pgproto3.Execute) error {
	p := c.portals[m.Portal]
	if p == nil {
		return fail("34000", "not run: portal %q does not exist", m.Portal)
	}
	c.batch.execute(p.class)
	return c.batch.add(kindExecute, m, 0)
}

func (c *conn) closeObject(m *pgproto3.Close) error {
	if m.ObjectType != 'S' {
		delete(c.portals, m.Name)
		return c.batch.add(kindClosePortal, m, 0)
	}
	p := c.prepared[m.Name]
	delete(c.prepared, m.Name)
	if p == nil {
		return c.batch.add(kindCloseStatement, nil, 0)
	}
	return c.batch.add(kindCloseStatement, nil, c.batch.reference(p))
}

// runBatch has the batch answered. An error ends the connection.
func (c *conn) runBatch(complete bool) error {
	b := c.batch
	c.batch = newBatch()
	if b.ownCount > 0 {
		return c.answerOwn(b, complete)
	}
	if c.failedTx {
		c.forgetParsed(b)
		return c.answerFailed(b)
	}
	return c.dispatch(b, complete)
}

// answerOwn answers statements that concern stackspindle alone.
func (c *conn) answerOwn(b *batch, complete bool) error {
	if b.ownCount != b.executed {
		return c.rejectQuery(fail(codeFeature, "not run: settings of stackspindle cannot share a request with other statements"))
	}
	tag := ""
	for _, st := range b.statements {
		var err error
		if tag, err = c.applyOwn(st); err != nil {
			return c.rejectQuery(err)
		}
	}
	wire, err := peer.Completion(&b.request, tag)
	if err != nil {
		return err
	}
	if err := c.write(wire); err != nil || !complete {
		return err
	}
	c.sendReady()
	return c.flush()
}

func (c *conn) applyOwn(st sqlclass.Statement) (string, error) {
	switch st.Kind {
	case sqlclass.KindDiscardAll:
		if c.status != 'I' {
			return "", fail("25001", "not run: DISCARD ALL cannot run inside a transaction block")
		}
		c.prepared = make(map[string]*prepared)
		c.session.settings = make(map[string]string)
		return "DISCARD ALL", nil
	case sqlclass.KindDeallocate:
		if st.Name == "" {
			c.prepared = make(map[string]*prepared)
			return "DEALLOCATE ALL", nil
		}
		if _, err := c.lookup(st.Name); err != nil {
			return "", err
		}
		delete(c.prepared, st.Name)
		return "DEALLOCATE", nil
	case sqlclass.KindReset:
		return "RESET", c.session.setOwn(st.Name, "")
	}
	return "SET", c.session.setOwn(st.Name, st.Value)
}

// answerFailed serves a transaction that failed here: only its end is accepted,
// and it always rolls back.
func (c *conn) answerFailed(b *batch) error {
	ends := false
	for _, st := range b.statements {
		ends = ends || st.Kind == sqlclass.KindCommit || st.Kind == sqlclass.KindRollback
	}
	if !ends {
		return c.rejectQuery(fail(codeFailedTx, "not run: the transaction has failed, commands are ignored until its end"))
	}
	c.endTx()
	c.failedTx = false
	c.status = 'I'
	c.session.endTransaction(false)
	wire, err := peer.Completion(&b.request, "ROLLBACK")
	if err != nil {
		return err
	}
	if err := c.write(wire); err != nil {
		return err
	}
	c.sendReady()
	return c.flush()
}

func (c *conn) endTx() {
	c.mu.Lock()
	tx := c.tx
	c.tx = nil
	c.mu.Unlock()
	c.keyed = false
	if tx != nil {
		tx.Close()
	}
}

// dispatch runs a batch on the owner and passes its answer on.
func (c *conn) dispatch(b *batch, complete bool) error {
	req := b.finish(c.tx != nil)
	keyed := c.session.requestKey != "" && b.executes && c.tx == nil
	if c.tx == nil {
		req.Header = c.session.header()
		if keyed {
			req.Header.RequestKey = c.session.requestKey
			req.Class = peerpb.Class_CLASS_WRITE
			req.EndsTransaction = !b.begins
			c.session.requestKey = ""
			c.keyed = true
		}
		c.mu.Lock()
		c.tx = c.server.dispatcher.Begin()
		c.mu.Unlock()
	}
	if c.keyed {
		req.Digest = b.digest()
	}
	started := time.Now()
	result := c.tx.Run(c.ctx, req, c.session.service.QueueTimeout, c.write)
	if result.Done.Refusal != peerpb.Refusal_REFUSAL_NONE {
		c.forgetParsed(b)
		return c.refused(result, complete)
	}
	c.server.events.Statement(result.Done.Member, req.Class == peerpb.Class_CLASS_READ, result.Done.Primary, time.Since(started))
	return c.answered(b, result, complete)
}

func (c *conn) answered(b *batch, result dispatch.Result, complete bool) error {
	done := result.Done
	if complete {
		c.status = byte(done.TxStatus)
	}
	if c.session.acceptLoss {
		c.session.floor = group.Position{} // the owner has dropped its own
	}
	if p := done.Position; p != nil {
		c.session.floor = group.Max(c.session.floor, group.Position{Term: p.Term, Index: p.Index})
	}
	if done.Failed {
		c.doubtParsed(b)
	} else {
		c.session.noteSettings(b.statements)
	}
	if complete && c.status == 'I' {
		c.session.acceptLoss = false
		c.session.endTransaction(!rolledBack(b))
		c.endTx()
		clear(c.portals)
	}
	if c.session.explain {
		if err := c.explain(done); err != nil {
			return err
		}
	}
	return c.write(result.Wire)
}

func rolledBack(b *batch) bool {
	for _, st := range b.statements {
		if st.Kind == sqlclass.KindRollback {
			return true
		}
	}
	return false
}

func (c *conn) explain(done *peerpb.Done) error {
	notice := &pgproto3.NoticeResponse{
		Severity: "NOTICE", SeverityUnlocalized: "NOTICE", Code: "00000",
		Message: fmt.Sprintf("group %s, member %s: %s", c.session.service.Group, done.Member, done.Reason),
	}
	c.backend.Send(notice)
	return c.flush()
}

// refused passes a refusal on. An answer of which part was delivered cannot be
// mended, so the connection ends with the error.
func (c *conn) refused(result dispatch.Result, complete bool) error {
	f := refusalFailure(result.Done)
	c.endTx()
	c.session.endTransaction(false)
	if result.Delivered || f.fatal {
		f.fatal = true
		return f
	}
	c.server.events.Refused(f.code)
	c.failedTx = c.status != 'I'
	c.backend.Send(f.response())
	if complete {
		c.sendReady()
	} else {
		c.skipping = true
	}
	return c.flush()
}
