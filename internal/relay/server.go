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
	startupTimeout         = 5 * time.Second        // for the startup request, which clients send at once
	acceptRetryDelay       = 5 * time.Millisecond   // after a failed accept, for example when file descriptors run out
	keepAliveIdle          = 5 * time.Second        // idle time after which TCP probes whether the client is still reachable
	keepAliveInterval      = 2 * time.Second        // between two probes
	keepAliveProbes        = 3                      // unanswered probes until the connection is closed
	drainPollInterval      = 20 * time.Millisecond  // between two checks whether clients are still connected
	drainInterruptInterval = 100 * time.Millisecond // between two interruptions of idle sessions
)

// Server accepts client connections and serves their statements.
type Server struct {
	relay         *Relay
	newClientConn func(net.Conn) ClientConn
	pool          *ants.Pool

	mu       sync.Mutex // guards the fields below
	clients  map[*clientHandler]struct{}
	draining bool // sessions end as soon as they are idle
	listener net.Listener
}

// clientHandler serves the connection of one client.
type clientHandler struct {
	server  *Server
	conn    ClientConn
	session *session

	mu   sync.Mutex // guards the fields below
	busy bool       // a statement is being served
	inTx bool
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
	s.mu.Lock()
	s.listener = l
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
	handler := &clientHandler{server: s, conn: s.newClientConn(conn)}
	if err := s.pool.Submit(handler.serve); err != nil {
		// Refused without waiting for the startup request, so that the client can connect to
		// another instance at once.
		_ = handler.conn.SendRefusal(&statement.Error{Code: statement.Busy, Detail: "too many callers", RetryAfter: defaultRetryAfter})
		_ = handler.conn.Close()
	}
}

// serve runs the session until the connection ends.
func (c *clientHandler) serve() {
	defer c.conn.Close()
	if !c.startSession() {
		return
	}
	defer c.endSession()
	for c.serveNext() {
	}
}

// startSession reads the startup request and accepts or refuses it. It reports whether the session
// has begun.
func (c *clientHandler) startSession() bool {
	relay := c.server.relay
	if c.conn.SetReadDeadline(time.Now().Add(startupTimeout)) != nil {
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
	c.server.mu.Lock()
	c.server.clients[c] = struct{}{}
	c.server.mu.Unlock()
	return c.conn.ConfirmStartup() == nil
}

func (c *clientHandler) endSession() {
	c.server.mu.Lock()
	delete(c.server.clients, c)
	c.server.mu.Unlock()
	c.session.endTx()
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
	c.setBusy(true)
	ctx, stopWatch := watchDisconnect(c.conn)
	answer := c.session.handle(ctx, st, arrived)
	stopWatch()
	ok := c.sendAnswer(answer)
	c.recordFailure(st, answer, ok)
	c.setBusy(false)
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
	draining := c.server.isDraining()
	if draining && !c.inTx && c.conn.InputEmpty() {
		return false
	}
	var deadline time.Time
	if draining && !c.inTx {
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
	if c.session.tx != nil || c.session.forwardedTx != nil {
		c.session.abandonTx("the transaction rested for too long and was rolled back")
		c.server.relay.recordIdleTransaction(c.session.startup.Database)
		c.setBusy(false)
		return true
	}
	return true // setReadDeadline ends the session while the server is draining
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
// go on until they end or ctx is done.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	interrupt := time.NewTicker(drainInterruptInterval)
	defer interrupt.Stop()
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	s.interruptIdle(false)
	for s.NumClients() > 0 {
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

// interruptIdle expires the read deadline of idle sessions, so that they end. A statement that was
// read completely is always answered.
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

// CloseListener stops accepting connections.
func (s *Server) CloseListener() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close() // an error affects no client
	}
}
