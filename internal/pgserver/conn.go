package pgserver

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/stackspindle/stackspindle/internal/dispatch"
)

// conn is the connection of one client. One goroutine serves it; cancel and wake may be called
// from other goroutines.
type conn struct {
	server     *Server
	net        net.Conn
	codec      *codec            // nil while the connection is idle
	backend    *pgproto3.Backend // that of codec
	pid        uint32
	secret     [4]byte
	registered bool // pid is in the server's table

	session           session
	prepared          map[string]*preparedStatement
	portals           map[string]*preparedStatement
	batch             *batch
	ignoringUntilSync bool // messages are ignored until Sync, after an error of this instance in the extended protocol
	failedTx          bool // this instance, not the upstream, has failed the open transaction
	hasRequestKey     bool // the open transaction has a request key
	status            byte // transaction status of the last ReadyForQuery

	ctx  context.Context
	stop context.CancelFunc
	mu   sync.Mutex // guards tx against cancel
	tx   *dispatch.Tx
	idle atomic.Bool // waits for a message between transactions, without buffered data

	firstByte    byte // read while the connection was idle; the next message begins with it
	hasFirstByte bool
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, prepared: make(map[string]*preparedStatement), portals: make(map[string]*preparedStatement), status: 'I', batch: newBatch()}
	c.setConn(nc)
	c.ctx, c.stop = context.WithCancel(context.Background())
	_, _ = rand.Read(c.secret[:]) // rand.Read never returns an error
	return c
}

// setConn replaces the underlying connection, when TLS begins. Data that was received before,
// in plain text, is discarded.
func (c *conn) setConn(nc net.Conn) {
	c.net = nc
	c.codec = nil
	c.acquireCodec()
	c.codec.in.expectStartup = true
}

// rejectStartup rejects a client when the server is at its connection limit.
func (c *conn) rejectStartup(code, message string) {
	defer c.net.Close()
	if err := c.net.SetDeadline(time.Now().Add(time.Second)); err != nil {
		return
	}
	if msg, err := c.startupMessage(); err != nil || msg == nil {
		return
	}
	c.sendFatal(fail(code, "%s", message))
}

// serve handles the connection until it ends.
func (c *conn) serve() {
	defer c.close()
	if !c.startup() {
		return
	}
	for {
		msg, err := c.receive()
		if err != nil {
			c.sendClosingError(err)
			return
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return
		}
		if err := c.handle(msg); err != nil {
			c.sendClosingError(err)
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
		c.server.unregister(c)
	}
	c.net.Close()
}

// errStopping ends an idle connection when the instance shuts down.
var errStopping = fail(codeShutdown, "not run: this instance is being stopped, connect again")

// receive waits for the next message. Between transactions, a shutdown ends the wait; within a
// transaction, the idle timeout does.
func (c *conn) receive() (pgproto3.FrontendMessage, error) {
	if c.status == 'I' && c.tx == nil && c.batch.empty() && c.codec.in.drained() {
		if err := c.waitIdle(); err != nil {
			return nil, err
		}
	}
	deadline := time.Now().Add(c.server.opts.IdleInTransactionTimeout)
	for {
		if err := c.net.SetReadDeadline(deadline); err != nil {
			return nil, err
		}
		msg, err := c.backend.Receive()
		if err == nil {
			return msg, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if time.Now().After(deadline) {
			return nil, &failure{code: codeIdleInTx, message: "the transaction was idle for too long and is rolled back", fatal: true}
		}
		// wake set the deadline for a shutdown, but the connection was no longer idle.
	}
}

// waitIdle waits for the first byte of the next message without holding buffers.
func (c *conn) waitIdle() error {
	c.releaseCodec()
	defer c.acquireCodec()
	if err := c.net.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	c.idle.Store(true)
	defer c.idle.Store(false)
	if c.server.stopping.Load() {
		return errStopping
	}
	var first [1]byte
	for {
		n, err := c.net.Read(first[:])
		if n == 1 {
			c.firstByte, c.hasFirstByte = first[0], true
			return nil
		}
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && c.server.stopping.Load():
			return errStopping
		case err != nil:
			return err
		}
	}
}

// wake interrupts the wait of an idle connection, so that it notices a shutdown.
func (c *conn) wake() {
	if c.idle.Load() {
		_ = c.net.SetReadDeadline(time.Now()) // fails only if the connection is closed
	}
}

// cancel cancels the statement in flight if the secret matches.
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

// sendClosingError sends the client the reason for which the connection ends, if there is one.
func (c *conn) sendClosingError(err error) {
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
	_ = c.flush() // the connection is closed even if this fails
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

// handle processes one message. An error ends the connection.
func (c *conn) handle(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Query:
		return c.query(m)
	case *pgproto3.Sync:
		return c.sync(m)
	case *pgproto3.Flush:
		return c.flushBatch(m)
	}
	if c.ignoringUntilSync {
		return nil
	}
	err := c.collect(msg)
	var f *failure
	if errors.As(err, &f) {
		return c.rejectExtended(f)
	}
	return err
}

// removeParsed removes the prepared statements of a batch that was not run.
func (c *conn) removeParsed(b *batch) {
	for _, name := range b.parsedNames {
		delete(c.prepared, name)
	}
}

// markParseUncertain marks the prepared statements of a batch that a member answered with an
// error, since any of the batch's messages may have failed.
func (c *conn) markParseUncertain(b *batch) {
	for _, name := range b.parsedNames {
		if p := c.prepared[name]; p != nil {
			p.parseUncertain = true
		}
	}
}

// rejectExtended answers a message of the extended protocol with an error of this instance. It
// drops the collected batch and ignores further messages up to Sync.
func (c *conn) rejectExtended(f *failure) error {
	c.server.events.Refused(f.code)
	c.ignoringUntilSync = true
	c.failedTx = c.failedTx || c.status != 'I'
	c.removeParsed(c.batch)
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
	c.batch.addExecuted(class)
	return c.runBatch(true)
}

// rejectQuery answers a simple query with an error of this instance.
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
	skipped := c.ignoringUntilSync
	c.ignoringUntilSync = false
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
	if c.ignoringUntilSync || c.batch.empty() {
		return nil
	}
	if err := c.batch.add(kindFlush, m, 0); err != nil {
		return err
	}
	return c.runBatch(false)
}
