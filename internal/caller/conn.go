package caller

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

// conn is one caller's connection. One goroutine serves it; cancel and wake may
// be called from elsewhere.
type conn struct {
	server     *Server
	net        net.Conn
	codec      *codec            // nil while the connection is idle
	backend    *pgproto3.Backend // that of codec
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

	first    byte // that ended the rest
	hasFirst bool
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, prepared: make(map[string]*prepared), portals: make(map[string]*prepared), status: 'I', batch: newBatch()}
	c.setNet(nc)
	c.ctx, c.stop = context.WithCancel(context.Background())
	_, _ = rand.Read(c.secret[:]) // never fails, see its documentation
	return c
}

// setNet changes the connection under the codec, as TLS does. What was received
// before, in the clear, is dropped.
func (c *conn) setNet(nc net.Conn) {
	c.net = nc
	c.codec = nil
	c.borrow()
	c.codec.in.untyped = true
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
	if c.status == 'I' && c.tx == nil && c.batch.empty() && c.codec.in.drained() {
		if err := c.rest(); err != nil {
			return nil, err
		}
	}
	deadline := time.Now().Add(c.server.opts.IdleTransaction)
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
		// A planned stop meant to wake a connection that was no longer at rest.
	}
}

// rest waits, without buffers, for the first byte of the next message.
func (c *conn) rest() error {
	c.lend()
	defer c.borrow()
	if err := c.net.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	c.atRest.Store(true)
	defer c.atRest.Store(false)
	if c.server.stopping.Load() {
		return errStopping
	}
	var first [1]byte
	for {
		n, err := c.net.Read(first[:])
		if n == 1 {
			c.first, c.hasFirst = first[0], true
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
