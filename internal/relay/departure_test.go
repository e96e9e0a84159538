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

// impatient is a Caller that sends some statements, each after the answer to the one
// before, and closes its connection when it is told to.
type impatient struct {
	start  Start
	queue  chan statement.Statement
	gone   atomic.Bool
	closed chan struct{}

	mu      sync.Mutex // guards answers
	answers []statement.Answer
}

// call connects a caller whose session ends with done.
func (b *bench) call(t *testing.T, start Start, statements ...statement.Statement) (c *impatient, done <-chan struct{}) {
	t.Helper()
	c = &impatient{start: start, queue: make(chan statement.Statement, len(statements)), closed: make(chan struct{})}
	for _, st := range statements {
		c.queue <- st
	}
	server, err := NewServer(b.relay, func(net.Conn) Caller { return c }, 1)
	must.NoError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		(&callerConn{server: server, caller: c}).serve()
	}()
	return c, ended
}

func (c *impatient) leave() {
	c.gone.Store(true)
	close(c.closed)
}

func (c *impatient) Start() (Start, error) { return c.start, nil }

func (c *impatient) Accept() error { return nil }

func (c *impatient) Next() (statement.Statement, error) {
	select {
	case <-c.closed:
		return statement.Statement{}, io.EOF
	case st := <-c.queue:
		return st, nil
	}
}

func (c *impatient) Answer(a statement.Answer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
	return nil
}

func (c *impatient) Refuse(*statement.Error) error { return nil }

func (c *impatient) Quiet() bool { return true }

func (c *impatient) Gone() bool { return c.gone.Load() }

func (c *impatient) SetReadDeadline(time.Time) error { return nil }

func (c *impatient) Close() error { return nil }

// tokenBook is a Limiter that notes what was used and returned.
type tokenBook struct {
	unlimited
	used, returned chan struct{}
}

func newTokenBook() *tokenBook {
	return &tokenBook{used: make(chan struct{}, 10), returned: make(chan struct{}, 10)}
}

func (l *tokenBook) Spend(context.Context, string, time.Duration) (quota.Token, quota.Shortage, bool) {
	l.used <- struct{}{}
	return quota.Token{}, quota.Shortage{}, true
}

func (l *tokenBook) Return(string, quota.Token) { l.returned <- struct{}{} }

var write = statement.Statement{ID: "w", Kind: statement.Write, Text: "WRITE 1 x"}

// A caller leaves while its write waits for a connection here, behind one that the member
// works on: the write leaves the queue, its right is returned, and it never runs.
func TestCallerLeavesWhileItsStatementWaitsHere(t *testing.T) {
	b := newBench(t)
	reached, release := b.group.BlockStatements("m1")
	up := b.relay.upstreams.get("m1")
	up.pool.SetCapacity(1)
	up.pool.SetMaxActive(1)
	first, firstEnded := b.call(t, Start{Database: "strict"}, statement.Statement{ID: "f", Kind: statement.Begin, Text: "BEGIN"})
	<-reached
	book := newTokenBook()
	b.relay.limiter = book
	c, ended := b.call(t, Start{Database: "strict"}, write)
	<-book.used
	awaitWaiting(up, 1)
	c.leave()
	<-ended
	<-book.returned
	must.Zero(t, up.pool.Waiting())
	first.leave()
	release()
	<-firstEnded
	must.SliceEmpty(t, b.group.Log())
}

// awaitWaiting waits until a number of requests wait for a member's connections.
func awaitWaiting(up *upstream, n int) {
	for up.pool.Waiting() != n {
		time.Sleep(time.Millisecond)
	}
}

// A caller leaves while its write is held for the next primary: it is held no longer.
func TestCallerLeavesWhileAPrimaryIsAwaited(t *testing.T) {
	b := newBench(t)
	must.NoError(t, b.gate.Release(t.Context(), 2, 0))
	book := newTokenBook()
	b.relay.limiter = book
	c, ended := b.call(t, Start{Database: "strict"}, write)
	<-book.used
	c.leave()
	<-ended
	<-book.returned
	must.SliceEmpty(t, b.group.Log())
}

// A caller leaves while its write waits at a carrier: there too it leaves the queue, and
// the right is returned; the carrier is not taken for silent.
func TestCallerLeavesWhileItsStatementWaitsAtACarrier(t *testing.T) {
	b := newBench(t)
	reached, release := b.group.BlockStatements("m1")
	up := b.relay.upstreams.get("m1")
	up.pool.SetCapacity(1)
	up.pool.SetMaxActive(1)
	first, firstEnded := b.call(t, Start{Database: "strict"}, statement.Statement{ID: "f", Kind: statement.Begin, Text: "BEGIN"})
	<-reached
	book := newTokenBook()
	b.relay.limiter = book
	entry := &bench{relay: newEntry(t, b)}
	c, ended := entry.call(t, Start{Database: "strict"}, write)
	<-book.used
	awaitWaiting(up, 1)
	c.leave()
	<-ended
	<-book.returned
	awaitWaiting(up, 0)
	first.leave()
	release()
	<-firstEnded
	must.SliceEmpty(t, b.group.Log())
	address := entry.relay.CarriersOf("g").Others[0].Address
	entry.relay.carrierConns.mu.Lock()
	defer entry.relay.carrierConns.mu.Unlock()
	if health := entry.relay.carrierConns.health[address]; health != nil {
		must.True(t, health.Usable(entry.relay.now()))
	}
}

// A caller leaves while the member is at work on its write, here or at a carrier: the write
// ends as it would have, once, and its right stays used.
func TestCallerLeavesWhileTheMemberIsAtWork(t *testing.T) {
	for _, carried := range []bool{false, true} {
		b := newBench(t)
		reached, release := b.group.BlockStatements("m1")
		book := newTokenBook()
		b.relay.limiter = book
		entry := b
		if carried {
			entry = &bench{relay: newEntry(t, b)}
		}
		c, ended := entry.call(t, Start{Database: "strict"}, write)
		<-reached
		c.leave()
		if carried {
			<-ended
		}
		release()
		<-ended
		for len(b.group.Log()) == 0 {
			time.Sleep(time.Millisecond)
		}
		must.Len(t, 1, b.group.Log())
		must.Len(t, 1, b.group.Ran("m1"))
		must.Eq(t, 1, len(book.used))
		must.Zero(t, len(book.returned))
	}
}

// A caller leaves inside a transaction, while the member is at work on a statement of it:
// the transaction is rolled back when that has ended.
func TestCallerLeavesInsideATransaction(t *testing.T) {
	for _, carried := range []bool{false, true} {
		b := newBench(t)
		entry := b
		if carried {
			entry = &bench{relay: newEntry(t, b)}
		}
		begin := statement.Statement{ID: "b", Kind: statement.Begin, Text: "BEGIN"}
		c, ended := entry.call(t, Start{Database: "strict"}, begin)
		for len(c.got()) == 0 {
			time.Sleep(time.Millisecond)
		}
		reached, release := b.group.BlockStatements("m1")
		c.queue <- write
		<-reached
		c.leave()
		release()
		<-ended
		up := b.relay.upstreams.get("m1")
		for up.pool.InUse() > 0 {
			time.Sleep(time.Millisecond)
		}
		must.SliceEmpty(t, b.group.Log())
	}
}

func (c *impatient) got() []statement.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers
}

// What the watch of a caller adds to a statement that is answered at once.
func BenchmarkWatchDeparture(b *testing.B) {
	c := &impatient{}
	b.ReportAllocs()
	for b.Loop() {
		_, end := watchDeparture(c)
		end()
	}
}
