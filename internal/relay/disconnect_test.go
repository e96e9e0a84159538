package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/quota"
	"github.com/stackspindle/stackspindle/internal/statement"
)

// fakeClient is a ClientConn that sends statements, each after the answer to the one before, and
// disconnects when the test calls disconnect.
type fakeClient struct {
	startup      StartupRequest
	queue        chan statement.Statement
	disconnected atomic.Bool
	closed       chan struct{}

	mu      sync.Mutex // guards answers
	answers []statement.Answer
}

// connect serves a client. done is closed when its session has ended.
func (f *fixture) connect(t *testing.T, start StartupRequest, statements ...statement.Statement) (c *fakeClient, done <-chan struct{}) {
	t.Helper()
	c = &fakeClient{startup: start, queue: make(chan statement.Statement, len(statements)), closed: make(chan struct{})}
	for _, st := range statements {
		c.queue <- st
	}
	server, err := NewServer(f.relay, func(net.Conn) ClientConn { return c }, 1)
	must.NoError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		(&clientHandler{server: server, conn: c}).serve()
	}()
	return c, ended
}

func (c *fakeClient) disconnect() {
	c.disconnected.Store(true)
	close(c.closed)
}

func (c *fakeClient) ReadStartup() (StartupRequest, error) { return c.startup, nil }

func (c *fakeClient) ConfirmStartup() error { return nil }

func (c *fakeClient) ReadStatement() (statement.Statement, error) {
	select {
	case <-c.closed:
		return statement.Statement{}, io.EOF
	case st := <-c.queue:
		return st, nil
	}
}

func (c *fakeClient) SendAnswer(a statement.Answer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
	return nil
}

func (c *fakeClient) SendRefusal(*statement.Error) error { return nil }

func (c *fakeClient) InputEmpty() bool { return true }

func (c *fakeClient) PeerClosed() bool { return c.disconnected.Load() }

func (c *fakeClient) SetReadDeadline(time.Time) error { return nil }

func (c *fakeClient) Close() error { return nil }

// recordingLimiter is a Limiter that records the tokens that were used and returned.
type recordingLimiter struct {
	unlimited
	used, returned chan struct{}
}

func newRecordingLimiter() *recordingLimiter {
	return &recordingLimiter{used: make(chan struct{}, 10), returned: make(chan struct{}, 10)}
}

func (l *recordingLimiter) AcquireToken(context.Context, string, time.Duration) (quota.Token, quota.Shortage, bool) {
	l.used <- struct{}{}
	return quota.Token{}, quota.Shortage{}, true
}

func (l *recordingLimiter) ReturnToken(string, quota.Token) { l.returned <- struct{}{} }

var write = statement.Statement{ID: "w", Kind: statement.Write, Text: "WRITE 1 x"}

// A client disconnects while its write waits here for a connection that is in use. The write must
// leave the queue, its token must be returned, and it must never run.
func TestClientDisconnectsWhileStatementIsQueued(t *testing.T) {
	f := newFixture(t)
	reached, release := f.group.BlockStatements("m1")
	upstream := f.relay.upstreams.get("m1")
	upstream.pool.SetCapacity(1)
	upstream.pool.SetMaxActive(1)
	first, firstEnded := f.connect(t, StartupRequest{Database: "strict"}, statement.Statement{ID: "f", Kind: statement.Begin, Text: "BEGIN"})
	<-reached
	limiter := newRecordingLimiter()
	f.relay.limiter = limiter
	c, ended := f.connect(t, StartupRequest{Database: "strict"}, write)
	<-limiter.used
	awaitWaiting(upstream, 1)
	c.disconnect()
	<-ended
	<-limiter.returned
	must.Zero(t, upstream.pool.Waiting())
	first.disconnect()
	release()
	<-firstEnded
	must.SliceEmpty(t, f.group.Log())
}

// awaitWaiting waits until n requests wait for connections to a member.
func awaitWaiting(upstream *upstreamState, n int) {
	for upstream.pool.Waiting() != n {
		time.Sleep(time.Millisecond)
	}
}

// A client disconnects while its write waits for the next primary. The write must be dropped.
func TestClientDisconnectsWhileWaitingForPrimary(t *testing.T) {
	f := newFixture(t)
	must.NoError(t, f.guard.Release(t.Context(), 2, 0))
	limiter := newRecordingLimiter()
	f.relay.limiter = limiter
	c, ended := f.connect(t, StartupRequest{Database: "strict"}, write)
	<-limiter.used
	c.disconnect()
	<-ended
	<-limiter.returned
	must.SliceEmpty(t, f.group.Log())
}

// A client disconnects while its write is queued at a carrier. The write must leave the carrier's
// queue, its token must be returned, and the carrier must not count as unresponsive.
func TestClientDisconnectsWhileStatementIsQueuedAtCarrier(t *testing.T) {
	f := newFixture(t)
	reached, release := f.group.BlockStatements("m1")
	upstream := f.relay.upstreams.get("m1")
	upstream.pool.SetCapacity(1)
	upstream.pool.SetMaxActive(1)
	first, firstEnded := f.connect(t, StartupRequest{Database: "strict"}, statement.Statement{ID: "f", Kind: statement.Begin, Text: "BEGIN"})
	<-reached
	limiter := newRecordingLimiter()
	f.relay.limiter = limiter
	ingress := &fixture{relay: newIngress(t, f)}
	c, ended := ingress.connect(t, StartupRequest{Database: "strict"}, write)
	<-limiter.used
	awaitWaiting(upstream, 1)
	c.disconnect()
	<-ended
	<-limiter.returned
	awaitWaiting(upstream, 0)
	first.disconnect()
	release()
	<-firstEnded
	must.SliceEmpty(t, f.group.Log())
	address := ingress.relay.CarriersOf("g").Others[0].Address
	ingress.relay.carrierConns.mu.Lock()
	defer ingress.relay.carrierConns.mu.Unlock()
	if health := ingress.relay.carrierConns.health[address]; health != nil {
		must.True(t, health.Usable(ingress.relay.now()))
	}
}

// A client disconnects while the member runs its write, directly or for a carrier. The write must
// complete exactly once, and its token must stay used.
func TestClientDisconnectsWhileMemberRunsStatement(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		f := newFixture(t)
		reached, release := f.group.BlockStatements("m1")
		limiter := newRecordingLimiter()
		f.relay.limiter = limiter
		ingress := f
		if forwarded {
			ingress = &fixture{relay: newIngress(t, f)}
		}
		c, ended := ingress.connect(t, StartupRequest{Database: "strict"}, write)
		<-reached
		c.disconnect()
		if forwarded {
			<-ended
		}
		release()
		<-ended
		for len(f.group.Log()) == 0 {
			time.Sleep(time.Millisecond)
		}
		must.Len(t, 1, f.group.Log())
		must.Len(t, 1, f.group.Ran("m1"))
		must.Eq(t, 1, len(limiter.used))
		must.Zero(t, len(limiter.returned))
	}
}

// A client disconnects while the member runs a statement of its transaction. The transaction must
// be rolled back when the statement has ended.
func TestClientDisconnectsInsideTransaction(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		f := newFixture(t)
		ingress := f
		if forwarded {
			ingress = &fixture{relay: newIngress(t, f)}
		}
		begin := statement.Statement{ID: "b", Kind: statement.Begin, Text: "BEGIN"}
		c, ended := ingress.connect(t, StartupRequest{Database: "strict"}, begin)
		for len(c.receivedAnswers()) == 0 {
			time.Sleep(time.Millisecond)
		}
		reached, release := f.group.BlockStatements("m1")
		c.queue <- write
		<-reached
		c.disconnect()
		release()
		<-ended
		upstream := f.relay.upstreams.get("m1")
		for upstream.pool.InUse() > 0 {
			time.Sleep(time.Millisecond)
		}
		must.SliceEmpty(t, f.group.Log())
	}
}

func (c *fakeClient) receivedAnswers() []statement.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers
}

// Measures what watching the client's connection adds to a statement that is answered at once.
func BenchmarkWatchDisconnect(b *testing.B) {
	c := &fakeClient{}
	b.ReportAllocs()
	for b.Loop() {
		_, _, end := watchDisconnect(c)
		end()
	}
}
