package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"

	"github.com/stackspindle/stackspindle/internal/account"
	"github.com/stackspindle/stackspindle/internal/statement"
)

// Start is what a caller asks for when its session begins.
type Start struct {
	Database string
	Key      account.Key // that shows its account
}

// Caller is the connection of one caller, in whatever protocol it speaks.
type Caller interface {
	// Start reads the beginning.
	Start() (Start, error)
	// Accept tells the caller that its session has begun.
	Accept() error
	// Next reads the next statement. io.EOF means a good end. An error of type
	// *statement.Error is the caller's fault: with the statement's ID it is
	// answered, without it the connection ends.
	Next() (statement.Statement, error)
	// Answer sends an answer whole.
	Answer(a statement.Answer) error
	// Refuse sends an error after which the connection ends.
	Refuse(e *statement.Error) error
	// Quiet reports whether the caller has sent nothing that was not read yet.
	Quiet() bool
	// Gone reports whether the caller has closed the connection, with nothing left to be
	// read. It takes nothing from what the caller has sent, and may be called beside all else
	// but Start and Next.
	Gone() bool
	// SetReadDeadline bounds the wait in Next.
	SetReadDeadline(t time.Time) error
	// Close ends the connection.
	Close() error
}

// Settings of the server.
const (
	startupTimeout         = 5 * time.Second        // for the first message; callers send it at once
	acceptRetryDelay       = 5 * time.Millisecond   // after a failed accept, as when descriptors run out
	keepAliveIdle          = 5 * time.Second        // after which a silent caller's far end is checked
	keepAliveInterval      = 2 * time.Second        // between two checks
	keepAliveProbes        = 3                      // checks without an answer
	drainPollInterval      = 20 * time.Millisecond  // between two looks at what is still open
	drainInterruptInterval = 100 * time.Millisecond // between two attempts to end idle sessions
)

// Server accepts callers.
type Server struct {
	relay         *Relay
	newClientConn func(net.Conn) Caller
	pool          *ants.Pool

	mu       sync.Mutex // guards the rest
	clients  map[*clientHandler]struct{}
	draining bool // sessions end as soon as they are idle
	listener net.Listener
}

// callerConn is one caller with its session.
type clientHandler struct {
	server  *Server
	conn    Caller
	session *session

	mu   sync.Mutex // guards the rest
	busy bool       // a statement is being served
	inTx bool
}

// NewServer returns a server of at most maxCallers callers at once.
func NewServer(relay *Relay, newClientConn func(net.Conn) Caller, maxClients int) (*Server, error) {
	pool, err := ants.NewPool(maxClients, ants.WithNonblocking(true))
	if err != nil {
		return nil, fmt.Errorf("callers: %w", err)
	}
	return &Server{relay: relay, newClientConn: newClientConn, pool: pool, clients: make(map[*clientHandler]struct{})}, nil
}

// Serve accepts callers until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.relay.log.WithError(err).Warn("relay: a caller could not be accepted")
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.accept(conn)
	}
}

func (s *Server) accept(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		err := tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes})
		if err != nil {
			s.relay.log.WithError(err).Debug("relay: keep-alive could not be set")
		}
	}
	handler := &clientHandler{server: s, conn: s.newClientConn(conn)}
	if err := s.pool.Submit(handler.serve); err != nil {
		// The caller's first message is not awaited: it can go elsewhere at once.
		_ = handler.conn.Refuse(&statement.Error{Code: statement.Busy, Detail: "too many callers", RetryAfter: defaultRetryAfter})
		_ = handler.conn.Close()
	}
}

// serve runs a caller's connection until its end.
func (c *clientHandler) serve() {
	defer c.conn.Close()
	if !c.startSession() {
		return
	}
	defer c.endSession()
	for c.serveNext() {
	}
}

// begin answers the first message.
func (c *clientHandler) startSession() bool {
	relay := c.server.relay
	if c.conn.SetReadDeadline(time.Now().Add(startupTimeout)) != nil {
		return false
	}
	start, err := c.conn.Start()
	var refusal *statement.Error
	switch {
	case errors.As(err, &refusal):
	case err != nil:
		return false // the caller has gone, or says nothing
	default:
		_, _, refusal = relay.admit(start)
	}
	if refusal != nil {
		_ = c.conn.Refuse(refusal)
		return false
	}
	c.session = newSession(relay, start)
	c.server.mu.Lock()
	c.server.clients[c] = struct{}{}
	c.server.mu.Unlock()
	return c.conn.Accept() == nil
}

func (c *clientHandler) endSession() {
	c.server.mu.Lock()
	delete(c.server.clients, c)
	c.server.mu.Unlock()
	c.session.endTx()
}

// next serves one statement and reports whether the connection goes on.
func (c *clientHandler) serveNext() bool {
	if !c.setReadDeadline() {
		return false
	}
	st, err := c.conn.Next()
	arrived := c.server.relay.now()
	var protocolErr *statement.Error
	switch {
	case errors.As(err, &protocolErr) && st.ID != "":
		return c.sendAnswer(statement.Answer{State: c.session.state, Err: protocolErr})
	case errors.As(err, &protocolErr):
		_ = c.conn.Refuse(protocolErr)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.handleIdleTimeout()
	case err != nil:
		if !errors.Is(err, io.EOF) {
			c.server.relay.log.WithError(err).Debug("relay: a caller's connection ended")
		}
		return false
	}
	c.setBusy(true)
	ctx, stopWatch := watchDisconnect(c.conn)
	answer := c.session.handle(ctx, st, arrived)
	stopWatch()
	ok := c.sendAnswer(answer)
	c.recordFailure(st, answer, ok)
	c.setBusy(false)
	return ok
}

// noteFailure remembers a request that did not succeed, or whose answer the caller
// was not there to take.
func (c *clientHandler) recordFailure(st statement.Statement, answer statement.Answer, delivered bool) {
	relay := c.server.relay
	cause := failureCause{group: relay.snapshot().Databases[c.session.start.Database].Group}
	switch {
	case answer.Err != nil:
		cause.outcome, cause.detail = answer.Err.Code.String(), answer.Err.Detail
	case !delivered:
		cause.outcome, cause.detail = "undelivered", "it succeeded, and the caller's connection had ended"
	default:
		return
	}
	relay.failureLog.add(cause, st.ID)
}

func (c *clientHandler) sendAnswer(a statement.Answer) bool { return c.conn.Answer(a) == nil }

// await sets the bound of the wait for the next statement.
func (c *clientHandler) setReadDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	closing := c.server.isDraining()
	if closing && !c.inTx && c.conn.Quiet() {
		return false
	}
	var deadline time.Time
	if closing && !c.inTx {
		deadline = time.Now().Add(drainInterruptInterval) // for the rest of what has begun to arrive
	}
	if limit := c.server.relay.snapshot().Config.IdleInTransaction; c.inTx && limit > 0 {
		deadline = time.Now().Add(limit)
	}
	return c.conn.SetReadDeadline(deadline) == nil
}

// idleTooLong ends a transaction that rests, or a session that is to end.
func (c *clientHandler) handleIdleTimeout() bool {
	if c.session.tx != nil || c.session.forwardedTx != nil {
		c.session.abandonTx("the transaction rested for too long and was rolled back")
		c.server.relay.recordIdleTransaction(c.session.start.Database)
		c.setBusy(false)
		return true
	}
	return true // await tells whether the session ends
}

func (c *clientHandler) setBusy(busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = busy
	c.inTx = c.session.state != statement.Idle && c.session.lostReason == ""
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Callers returns how many callers are connected.
func (s *Server) Callers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)
}

// Stop lets callers go: sessions end between two statements, and open
// transactions may end by themselves until the context does.
func (s *Server) Stop(ctx context.Context) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	interrupt := time.NewTicker(drainInterruptInterval)
	defer interrupt.Stop()
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	s.interruptIdle(false)
	for s.Callers() > 0 {
		select {
		case <-ctx.Done():
			s.interruptIdle(true)
			return
		case <-interrupt.C:
			s.interruptIdle(false)
		case <-poll.C:
		}
	}
}

// endIdle interrupts the wait of sessions that have nothing to do, so that they
// end themselves: a statement that was read whole is always answered.
func (s *Server) interruptIdle(includeTransactions bool) {
	s.mu.Lock()
	clients := make([]*clientHandler, 0, len(s.clients))
	for c := range s.clients {
		clients = append(clients, c)
	}
	s.mu.Unlock()
	for _, c := range clients {
		c.mu.Lock()
		if !c.busy && (!c.inTx || includeTransactions) {
			_ = c.conn.SetReadDeadline(time.Now()) // a broken connection ends by itself
		}
		c.mu.Unlock()
	}
}

// CloseListener stops accepting.
func (s *Server) CloseListener() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close() // no caller depends on it
	}
}
