package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"

	"github.com/stackspindle/stackspindle/internal/account"
	"github.com/stackspindle/stackspindle/internal/statement"
)

// StartupRequest is what a client asks for when its session begins.
type StartupRequest struct {
	Database string
	Key      account.Key // identifies the client's account
}

// ClientConn is the connection of one client; implementations speak a particular protocol.
type ClientConn interface {
	// ReadStartup reads the startup request.
	ReadStartup() (StartupRequest, error)
	// ConfirmStartup tells the client that its session has begun.
	ConfirmStartup() error
	// ReadStatement reads the next statement. It returns io.EOF when the client closed the
	// connection in an orderly way. A *statement.Error is a protocol error by the client: if the
	// statement's ID is known the error is sent as its answer, otherwise the connection is closed.
	ReadStatement() (statement.Statement, error)
	// SendAnswer sends a complete answer.
	SendAnswer(a statement.Answer) error
	// SendRefusal sends an error; the connection is closed afterwards.
	SendRefusal(e *statement.Error) error
	// InputEmpty reports whether no unread input from the client is pending.
	InputEmpty() bool
	// PeerClosed reports whether the client has closed the connection and no input is left to read.
	// It consumes no input, and may be called concurrently with all methods but ReadStartup and
	// ReadStatement.
	PeerClosed() bool
	// SetReadDeadline sets the deadline of ReadStatement.
	SetReadDeadline(t time.Time) error
	// Close closes the connection.
	Close() error
}

// Timeouts and intervals of the server.
const (
	startupTimeout    = 5 * time.Second      // for the startup request, which clients send at once
	acceptRetryDelay  = 5 * time.Millisecond // after a failed accept, for example when file descriptors run out
	keepAliveIdle     = 5 * time.Second      // idle time after which TCP probes whether the client is still reachable
	keepAliveInterval = 2 * time.Second      // between two probes
	keepAliveProbes   = 3                    // unanswered probes until the connection is closed
)

// Server accepts client connections and serves their statements.
type Server struct {
	relay         *Relay
	newClientConn func(net.Conn) ClientConn
	pool          *ants.Pool

	mu       sync.Mutex // guards the fields below
	clients  map[*clientHandler]struct{}
	phase    stopPhase
	listener net.Listener
	served   chan struct{} // closed when Serve has returned; nil before it
}

// clientHandler serves the connection of one client.
type clientHandler struct {
	server  *Server
	conn    ClientConn
	session *session

	mu       sync.Mutex // guards the fields below
	starting bool       // the startup request has not been served
	busy     bool       // a statement is being served
	inTx     bool
	cancel   context.CancelCauseFunc // ends the waits of the statement that is being served; nil: none is
}

// NewServer returns a server for at most maxClients concurrent clients.
func NewServer(relay *Relay, newClientConn func(net.Conn) ClientConn, maxClients int) (*Server, error) {
	pool, err := ants.NewPool(maxClients, ants.WithNonblocking(true))
	if err != nil {
		return nil, fmt.Errorf("client pool: %w", err)
	}
	return &Server{relay: relay, newClientConn: newClientConn, pool: pool, clients: make(map[*clientHandler]struct{})}, nil
}

// Serve accepts clients until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	served := make(chan struct{})
	defer close(served)
	s.mu.Lock()
	s.listener, s.served = l, served
	s.mu.Unlock()
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.relay.log.WithError(err).Warn("relay: accepting a client connection failed")
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
			s.relay.log.WithError(err).Debug("relay: setting TCP keep-alive failed")
		}
	}
	handler := &clientHandler{server: s, conn: s.newClientConn(conn), starting: true}
	s.add(handler)
	if err := s.pool.Submit(handler.serve); err != nil {
		s.remove(handler)
		// Refused without waiting for the startup request, so that the client can connect to
		// another instance at once.
		_ = handler.conn.SendRefusal(&statement.Error{Code: statement.Busy, Detail: "too many callers", RetryAfter: defaultRetryAfter})
		_ = handler.conn.Close()
	}
}

func (s *Server) add(c *clientHandler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clients[c] = struct{}{}
}

func (s *Server) remove(c *clientHandler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, c)
}

// serve runs the session until the connection ends.
func (c *clientHandler) serve() {
	defer c.server.remove(c)
	defer c.conn.Close()
	started := c.startSession()
	c.mu.Lock()
	c.starting = false
	c.mu.Unlock()
	if !started {
		return
	}
	defer c.session.endTx()
	for c.serveNext() {
	}
}

// startSession reads the startup request and accepts or refuses it. It reports whether the session
// has begun.
func (c *clientHandler) startSession() bool {
	relay := c.server.relay
	if !c.setStartupDeadline() {
		return false
	}
	startup, err := c.conn.ReadStartup()
	var refusal *statement.Error
	switch {
	case errors.As(err, &refusal):
	case err != nil:
		return false // the client disconnected, or sent nothing in time
	default:
		_, _, refusal = relay.admit(startup)
	}
	if refusal != nil {
		_ = c.conn.SendRefusal(refusal)
		return false
	}
	c.session = newSession(relay, startup)
	return c.conn.ConfirmStartup() == nil
}

// setStartupDeadline sets the deadline for the startup request.
func (c *clientHandler) setStartupDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	timeout := startupTimeout
	if c.server.currentPhase() != notStopping {
		timeout = drainInterruptInterval
	}
	return c.conn.SetReadDeadline(time.Now().Add(timeout)) == nil
}

// serveNext serves one statement and reports whether the session goes on.
func (c *clientHandler) serveNext() bool {
	if !c.setReadDeadline() {
		return false
	}
	st, err := c.conn.ReadStatement()
	arrived := c.server.relay.now()
	var protocolErr *statement.Error
	switch {
	case errors.As(err, &protocolErr) && st.ID != "":
		return c.sendAnswer(statement.Answer{State: c.session.state, Err: protocolErr})
	case errors.As(err, &protocolErr):
		_ = c.conn.SendRefusal(protocolErr)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.handleIdleTimeout()
	case err != nil:
		if !errors.Is(err, io.EOF) {
			c.server.relay.log.WithError(err).Debug("relay: a client connection failed")
		}
		return false
	}
	ctx, cancel, stopWatch := watchDisconnect(c.conn)
	c.begin(st, cancel)
	answer := c.session.handle(ctx, st, arrived)
	stopWatch()
	ok := c.sendAnswer(answer)
	c.recordFailure(st, answer, ok)
	c.finish()
	return ok
}

// recordFailure adds a failed statement, or one whose answer could not be delivered, to the failure
// log.
func (c *clientHandler) recordFailure(st statement.Statement, answer statement.Answer, delivered bool) {
	relay := c.server.relay
	cause := failureCause{group: relay.snapshot().Databases[c.session.startup.Database].Group}
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

func (c *clientHandler) sendAnswer(a statement.Answer) bool { return c.conn.SendAnswer(a) == nil }

// setReadDeadline sets the deadline for the next statement. It reports false when the session is to
// end.
func (c *clientHandler) setReadDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	stopping := c.server.currentPhase() != notStopping
	if stopping && !c.inTx && c.conn.InputEmpty() {
		return false
	}
	var deadline time.Time
	if stopping && !c.inTx {
		deadline = time.Now().Add(drainInterruptInterval) // lets the client finish a statement that it has begun to send
	}
	if limit := c.server.relay.snapshot().Config.IdleInTransaction; c.inTx && limit > 0 {
		deadline = time.Now().Add(limit)
	}
	return c.conn.SetReadDeadline(deadline) == nil
}

// handleIdleTimeout rolls back the open transaction, if there is one, after the client sent nothing
// until the read deadline. It reports whether the session goes on.
func (c *clientHandler) handleIdleTimeout() bool {
	switch {
	case !c.session.hasOpenTx():
		return true // setReadDeadline ends the session while the server is stopping
	case c.server.currentPhase() >= endingTransactions:
		c.session.abandonTx(stoppingDetail)
	default:
		c.session.abandonTx("the transaction rested for too long and was rolled back")
		c.server.relay.recordIdleTransaction(c.session.startup.Database)
	}
	c.updateInTx()
	return true
}

// begin records that a statement is being served, whose waits cancel ends. While open transactions
// are being ended, one that the statement does not end is rolled back.
func (c *clientHandler) begin(st statement.Statement, cancel context.CancelCauseFunc) {
	c.mu.Lock()
	c.busy, c.cancel = true, cancel
	c.mu.Unlock()
	phase := c.server.currentPhase() // a later one is applied by enter
	if phase.endsTxBefore(st) {
		c.session.abandonTx(stoppingDetail)
	}
	if phase >= abortingStatements {
		cancel(errStopping)
	}
}

// finish records that the statement has been answered.
func (c *clientHandler) finish() {
	c.updateInTx()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.cancel = false, nil
}

func (c *clientHandler) updateInTx() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inTx = c.session.state != statement.Idle && c.session.lostReason == ""
}

func (s *Server) currentPhase() stopPhase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase
}

// NumClients returns the number of connected clients.
func (s *Server) NumClients() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)
}

// ActiveSessions is the number of sessions that a drain still waits for, by what they do.
type ActiveSessions struct {
	Running int // a statement is being served
	InTx    int // idle in a transaction
	Idle    int // idle outside a transaction
}

// Active returns the number of sessions, by what they do.
func (s *Server) Active() ActiveSessions {
	s.mu.Lock()
	defer s.mu.Unlock()
	var active ActiveSessions
	for c := range s.clients {
		c.mu.Lock()
		switch {
		case c.busy:
			active.Running++
		case c.inTx:
			active.InTx++
		default:
			active.Idle++
		}
		c.mu.Unlock()
	}
	return active
}

// Drain ends all sessions: idle ones at once, others after their statement. Open transactions may
// go on until transactions is done, then they are rolled back. Running statements are awaited until
// statements is done. It returns when no session is left, or when statements is done.
func (s *Server) Drain(transactions, statements context.Context) {
	drain(transactions, statements, s)
}

// remaining implements drainable.
func (s *Server) remaining() int { return s.NumClients() }

// AbortStatements ends the waits of all statements that have not been sent to a member. They are
// refused.
func (s *Server) AbortStatements() { s.enter(abortingStatements) }

// AwaitSessions waits until all sessions have ended, or ctx is done.
func (s *Server) AwaitSessions(ctx context.Context) {
	await(ctx, s)
}

// enter implements drainable.
func (s *Server) enter(phase stopPhase) {
	s.mu.Lock()
	s.phase = phase
	s.mu.Unlock()
	for _, c := range s.handlers() {
		c.applyPhase(phase)
	}
}

// applyPhase applies a new phase of the planned stop to the session.
func (c *clientHandler) applyPhase(phase stopPhase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.starting && phase == draining:
		_ = c.conn.SetReadDeadline(time.Now().Add(drainInterruptInterval)) // a broken connection ends by itself
	case c.cancel != nil && phase == abortingStatements:
		c.cancel(errStopping)
	default:
		c.interrupt(phase)
	}
}

func (s *Server) handlers() []*clientHandler {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.clients))
}

// interruptIdle expires the read deadline of idle sessions, so that they end; while transactions
// are being ended, also of sessions that are idle in one. A statement that was read completely is
// always answered.
func (s *Server) interruptIdle() {
	phase := s.currentPhase()
	for _, c := range s.handlers() {
		c.mu.Lock()
		c.interrupt(phase)
		c.mu.Unlock()
	}
}

// interrupt expires the read deadline if the session is idle. The caller holds mu.
func (c *clientHandler) interrupt(phase stopPhase) {
	if !c.starting && !c.busy && (!c.inTx || phase >= endingTransactions) {
		_ = c.conn.SetReadDeadline(time.Now()) // a broken connection ends by itself
	}
}

// CloseListener stops accepting connections. The clients that were accepted before are counted by
// NumClients when it returns.
func (s *Server) CloseListener() {
	s.mu.Lock()
	listener, served := s.listener, s.served
	s.mu.Unlock()
	if listener != nil {
		_ = listener.Close() // an error affects no client
		<-served
	}
}
