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
	startTimeout  = 5 * time.Second        // for the first message; callers send it at once
	acceptPause   = 5 * time.Millisecond   // after a failed accept, as when descriptors run out
	keepAliveIdle = 5 * time.Second        // after which a silent caller's far end is checked
	keepAliveStep = 2 * time.Second        // between two checks
	keepAliveMax  = 3                      // checks without an answer
	stopPoll      = 20 * time.Millisecond  // between two looks at what is still open
	stopNudge     = 100 * time.Millisecond // between two attempts to end idle sessions
)

// Server accepts callers.
type Server struct {
	relay *Relay
	wrap  func(net.Conn) Caller
	pool  *ants.Pool

	mu       sync.Mutex // guards the rest
	callers  map[*callerConn]struct{}
	closing  bool // sessions end as soon as they are idle
	listener net.Listener
}

// callerConn is one caller with its session.
type callerConn struct {
	server  *Server
	caller  Caller
	session *session

	mu   sync.Mutex // guards the rest
	busy bool       // a statement is being served
	inTx bool
}

// NewServer returns a server of at most maxCallers callers at once.
func NewServer(relay *Relay, wrap func(net.Conn) Caller, maxCallers int) (*Server, error) {
	pool, err := ants.NewPool(maxCallers, ants.WithNonblocking(true))
	if err != nil {
		return nil, fmt.Errorf("callers: %w", err)
	}
	return &Server{relay: relay, wrap: wrap, pool: pool, callers: make(map[*callerConn]struct{})}, nil
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
			time.Sleep(acceptPause)
			continue
		}
		s.accept(conn)
	}
}

func (s *Server) accept(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		err := tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveStep, Count: keepAliveMax})
		if err != nil {
			s.relay.log.WithError(err).Debug("relay: keep-alive could not be set")
		}
	}
	c := &callerConn{server: s, caller: s.wrap(conn)}
	if err := s.pool.Submit(c.serve); err != nil {
		// The caller's first message is not awaited: it can go elsewhere at once.
		_ = c.caller.Refuse(&statement.Error{Code: statement.Busy, Detail: "too many callers", RetryAfter: comeBack})
		_ = c.caller.Close()
	}
}

// serve runs a caller's connection until its end.
func (c *callerConn) serve() {
	defer c.caller.Close()
	if !c.begin() {
		return
	}
	defer c.end()
	for c.next() {
	}
}

// begin answers the first message.
func (c *callerConn) begin() bool {
	relay := c.server.relay
	if c.caller.SetReadDeadline(time.Now().Add(startTimeout)) != nil {
		return false
	}
	start, err := c.caller.Start()
	var refusal *statement.Error
	switch {
	case errors.As(err, &refusal):
	case err != nil:
		return false // the caller has gone, or says nothing
	default:
		_, _, refusal = relay.admit(start)
	}
	if refusal != nil {
		_ = c.caller.Refuse(refusal)
		return false
	}
	c.session = newSession(relay, start)
	c.server.mu.Lock()
	c.server.callers[c] = struct{}{}
	c.server.mu.Unlock()
	return c.caller.Accept() == nil
}

func (c *callerConn) end() {
	c.server.mu.Lock()
	delete(c.server.callers, c)
	c.server.mu.Unlock()
	c.session.endTx()
}

// next serves one statement and reports whether the connection goes on.
func (c *callerConn) next() bool {
	if !c.await() {
		return false
	}
	st, err := c.caller.Next()
	arrived := c.server.relay.now()
	var fault *statement.Error
	switch {
	case errors.As(err, &fault) && st.ID != "":
		return c.reply(statement.Answer{State: c.session.state, Err: fault})
	case errors.As(err, &fault):
		_ = c.caller.Refuse(fault)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.idleTooLong()
	case err != nil:
		if !errors.Is(err, io.EOF) {
			c.server.relay.log.WithError(err).Debug("relay: a caller's connection ended")
		}
		return false
	}
	c.setBusy(true)
	ctx, end := watchDeparture(c.caller)
	answer := c.session.handle(ctx, st, arrived)
	end()
	ok := c.reply(answer)
	c.noteFailure(st, answer, ok)
	c.setBusy(false)
	return ok
}

// noteFailure remembers a request that did not succeed, or whose answer the caller
// was not there to take.
func (c *callerConn) noteFailure(st statement.Statement, answer statement.Answer, delivered bool) {
	relay := c.server.relay
	reason := cause{group: relay.snapshot().Databases[c.session.start.Database].Group}
	switch {
	case answer.Err != nil:
		reason.outcome, reason.why = answer.Err.Code.String(), answer.Err.Detail
	case !delivered:
		reason.outcome, reason.why = "undelivered", "it succeeded, and the caller's connection had ended"
	default:
		return
	}
	relay.failures.note(reason, st.ID)
}

func (c *callerConn) reply(a statement.Answer) bool { return c.caller.Answer(a) == nil }

// await sets the bound of the wait for the next statement.
func (c *callerConn) await() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	closing := c.server.isClosing()
	if closing && !c.inTx && c.caller.Quiet() {
		return false
	}
	var deadline time.Time
	if closing && !c.inTx {
		deadline = time.Now().Add(stopNudge) // for the rest of what has begun to arrive
	}
	if limit := c.server.relay.snapshot().Config.IdleInTransaction; c.inTx && limit > 0 {
		deadline = time.Now().Add(limit)
	}
	return c.caller.SetReadDeadline(deadline) == nil
}

// idleTooLong ends a transaction that rests, or a session that is to end.
func (c *callerConn) idleTooLong() bool {
	if c.session.tx != nil || c.session.remote != nil {
		c.session.abandonTx("the transaction rested for too long and was rolled back")
		c.server.relay.noteRested(c.session.start.Database)
		c.setBusy(false)
		return true
	}
	return true // await tells whether the session ends
}

func (c *callerConn) setBusy(busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = busy
	c.inTx = c.session.state != statement.Idle && c.session.lost == ""
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// Callers returns how many callers are connected.
func (s *Server) Callers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.callers)
}

// Stop lets callers go: sessions end between two statements, and open
// transactions may end by themselves until the context does.
func (s *Server) Stop(ctx context.Context) {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	nudge := time.NewTicker(stopNudge)
	defer nudge.Stop()
	poll := time.NewTicker(stopPoll)
	defer poll.Stop()
	s.endIdle(false)
	for s.Callers() > 0 {
		select {
		case <-ctx.Done():
			s.endIdle(true)
			return
		case <-nudge.C:
			s.endIdle(false)
		case <-poll.C:
		}
	}
}

// endIdle interrupts the wait of sessions that have nothing to do, so that they
// end themselves: a statement that was read whole is always answered.
func (s *Server) endIdle(transactionsToo bool) {
	s.mu.Lock()
	callers := make([]*callerConn, 0, len(s.callers))
	for c := range s.callers {
		callers = append(callers, c)
	}
	s.mu.Unlock()
	for _, c := range callers {
		c.mu.Lock()
		if !c.busy && (!c.inTx || transactionsToo) {
			_ = c.caller.SetReadDeadline(time.Now()) // a broken connection ends by itself
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
