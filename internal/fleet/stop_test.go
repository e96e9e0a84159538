package fleet

import (
	"context"
	"fmt"
	"net"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/relay"
)

// send sends a statement without waiting for its answer.
func (c *testClient) send(text string) {
	c.t.Helper()
	c.next++
	_, err := fmt.Fprintf(c.conn, "QUERY id%d %s\r\n", c.next, text)
	must.NoError(c.t, err)
}

// mustRead reads one answer and checks how its line before READY begins and which transaction state
// it reports.
func (c *testClient) mustRead(prefix, state string) {
	c.t.Helper()
	lines := c.read()
	must.Greater(c.t, 1, len(lines), must.Sprintf("no whole answer: %q", lines))
	must.StrHasPrefix(c.t, prefix, lines[len(lines)-2])
	must.StrHasPrefix(c.t, "READY "+state, lines[len(lines)-1])
}

// mustBeClosed checks that the connection ends without another answer.
func (c *testClient) mustBeClosed() {
	c.t.Helper()
	must.SliceEmpty(c.t, c.read())
}

// Guards against statements that get no answer at a planned stop: one that is still running at its
// member at half of the grace period must be answered before the process ends.
func TestPlannedStopAnswersRunningStatements(t *testing.T) {
	f := newFleet(t, 1)
	idle, running := f.startSession(0, "strict"), f.startSession(0, "strict")
	idle.must("BEGIN", "T")
	running.must("BEGIN", "T")
	reached, release := f.group.BlockStatements("m1")
	running.send("READ 1")
	<-reached
	f.instances[0].settings.Grace = 12 * time.Second // 4 s between the end of transactions and that of statements
	left := make(chan relay.ActiveSessions)
	go func() {
		f.instances[0].Stop()
		left <- f.instances[0].clients.Active()
	}()
	idle.mustBeClosed() // at half of the grace period
	release()
	running.mustRead("COMPLETE", "T")
	must.Eq(t, relay.ActiveSessions{}, <-left)
}

// drainInstance drains the clients of an instance. The first function begins the end of open
// transactions; the second one waits until the drain has ended.
func drainInstance(t *testing.T, i *Instance) (endTransactions, wait func()) {
	transactions, end := context.WithCancel(t.Context())
	drained := make(chan struct{})
	i.clients.CloseListener()
	go func() {
		i.clients.Drain(transactions, t.Context())
		close(drained)
	}()
	return end, func() { <-drained }
}

// Once open transactions are being ended, a statement that is running gets its member's answer and a
// COMMIT still runs, but any other statement gets the answer that its transaction was rolled back.
func TestOpenTransactionsEndInPlannedStop(t *testing.T) {
	f := newFleet(t, 1)
	idle, aborted, committed := f.startSession(0, "strict"), f.startSession(0, "strict"), f.startSession(0, "strict")
	for _, c := range []*testClient{idle, aborted, committed} {
		c.must("BEGIN", "T")
	}
	reached, release := f.group.BlockStatements("m1")
	aborted.send("WRITE 1 x")
	committed.send("WRITE 2 x")
	<-reached
	<-reached
	aborted.send("WRITE 3 x")
	committed.send("COMMIT")
	endTransactions, wait := drainInstance(t, f.instances[0])
	endTransactions()
	idle.mustBeClosed()
	release()
	aborted.mustRead("COMPLETE", "T")
	aborted.mustRead("ERROR ABORTED", "I")
	aborted.mustBeClosed()
	committed.mustRead("COMPLETE", "T")
	committed.mustRead("COMPLETE", "I")
	committed.mustBeClosed()
	wait()
	must.Len(t, 1, f.group.Log())
}

// ended returns a context that is done.
func ended(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}

var abortedInStop = regexp.MustCompile("^ERROR (BUSY retry after [0-9]+ ms: not run: the instance is stopping|INDOUBT it may have run: )")

// Guards against a planned stop that ends without answering what is still running: when the time
// for running statements is over, each of them gets a final answer: the transaction was rolled
// back, or the outcome of a write is unknown, or the statement has not run.
func TestAbortedStatementsAreAnswered(t *testing.T) {
	const writers = 40 // more than the members' connections
	f := newFleet(t, 1)
	tx := f.startSession(0, "strict")
	tx.must("BEGIN", "T")
	reached, _ := f.group.BlockStatements("m1")
	tx.send("WRITE 1 x")
	<-reached
	clients := make([]*testClient, writers)
	for n := range clients {
		clients[n] = f.startSession(0, "strict")
		clients[n].send("WRITE 2 x")
	}
	<-reached
	f.eventually("all writes were read", func() bool { return f.instances[0].clients.Active().Idle == 0 })
	f.instances[0].clients.CloseListener()
	f.instances[0].finishWork(ended(t), ended(t), t.Context())
	must.Eq(t, relay.ActiveSessions{}, f.instances[0].clients.Active())
	tx.mustRead("ERROR ABORTED", "I")
	for _, c := range clients {
		lines := c.read()
		must.Len(t, 2, lines)
		must.RegexMatch(t, abortedInStop, lines[0])
	}
	must.SliceEmpty(t, f.group.Log())
}

// newForwardingFleet starts a fleet with two carriers, and returns the instance of a client whose
// statements are forwarded.
func newForwardingFleet(t *testing.T) (f *testFleet, ingress int) {
	config := testConfig()
	config.Groups[0].MaxConnections = scarce
	for n := range config.Routes {
		config.Routes[n].Timeout = time.Minute
	}
	f = newFleetWith(t, 5, config)
	f.eventually("the carriers are known", func() bool { return len(f.carriers()) == 2 })
	for n := range f.instances {
		if !f.carriers()[n] {
			return f, n
		}
	}
	t.Fatal("all instances are carriers")
	return nil, 0
}

// forwardedActive returns what the sessions that are forwarded to an instance do.
func (f *testFleet) forwardedActive() (active relay.ActiveSessions, carrier int) {
	for n, inst := range f.instances {
		if a := inst.carrier.Active(); a.Running+a.InTx > 0 {
			return a, n
		}
	}
	return active, -1
}

// Guards against forwarded statements that are cut at a planned stop of their carrier, which
// serves no client of its own.
func TestCarrierStopAnswersForwardedStatements(t *testing.T) {
	f, ingress := newForwardingFleet(t)
	c := f.startSession(ingress, "strict")
	c.must("BEGIN", "T")
	_, carrier := f.forwardedActive()
	reached, release := f.group.BlockStatements("m1")
	c.send("WRITE 1 x")
	<-reached
	f.instances[carrier].settings.Grace = time.Minute // transactions may go on for half of it
	stopped := make(chan struct{})
	go func() {
		f.instances[carrier].Stop()
		close(stopped)
	}()
	f.eventually("the carrier takes no more clients", func() bool {
		conn, err := net.Dial("tcp", f.instances[carrier].ClientAddr())
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	release()
	c.mustRead("COMPLETE", "T")
	c.must("COMMIT", "I")
	<-stopped
	must.Len(t, 1, f.group.Log())
}

// drainCarriers drains the forwarded sessions of all carriers. Its functions are those of
// drainInstance.
func (f *testFleet) drainCarriers() (endTransactions, wait func()) {
	transactions, end := context.WithCancel(f.t.Context())
	var drains sync.WaitGroup
	for n := range f.carriers() {
		drains.Go(func() { f.instances[n].carrier.Drain(transactions, f.t.Context()) })
	}
	return end, drains.Wait
}

// An open forwarded transaction may go on while its carrier drains.
func TestForwardedTransactionOutlastsDrain(t *testing.T) {
	f, ingress := newForwardingFleet(t)
	c := f.startSession(ingress, "strict")
	c.must("BEGIN", "T")
	_, wait := f.drainCarriers()
	drained := make(chan struct{})
	go func() {
		wait()
		close(drained)
	}()
	other := f.startSession(ingress, "strict")
	f.eventually("new transactions are refused", func() bool {
		line, _ := other.query("READ 1")
		return strings.HasPrefix(line, "ERROR BUSY")
	})
	for range 10 {
		c.must("WRITE 1 x", "T")
		time.Sleep(5 * time.Millisecond) // a drain that does not wait for the transaction ends meanwhile
	}
	select {
	case <-drained:
		t.Fatal("the drain ended while a transaction was open")
	default:
	}
	c.must("COMMIT", "I")
	<-drained
	c.mustQuery("READ 1", "ERROR BUSY", "I")
}

// A carrier that stops ends forwarded transactions like those of its own clients.
func TestForwardedTransactionsEndInPlannedStop(t *testing.T) {
	f, ingress := newForwardingFleet(t)
	silent, idle, running := f.startSession(ingress, "strict"), f.startSession(ingress, "strict"), f.startSession(ingress, "strict")
	for _, c := range []*testClient{silent, idle, running} {
		c.must("BEGIN", "T")
	}
	reached, release := f.group.BlockStatements("m1")
	running.send("WRITE 1 x")
	<-reached
	running.send("WRITE 2 x")
	endTransactions, wait := f.drainCarriers()
	endTransactions()
	f.eventually("idle transactions were rolled back", func() bool {
		inTx := 0
		for _, inst := range f.instances {
			inTx += inst.carrier.Active().InTx
		}
		return inTx == 0
	})
	idle.mustQuery("READ 1", "ERROR ABORTED", "I")
	release()
	running.mustRead("COMPLETE", "T")
	running.mustRead("ERROR ABORTED", "I")
	wait()
	must.SliceEmpty(t, f.group.Log())
}

// When the time for running statements is over, forwarded ones get a final answer too.
func TestForwardedStatementsAreAbortedInPlannedStop(t *testing.T) {
	f, ingress := newForwardingFleet(t)
	c := f.startSession(ingress, "strict")
	c.must("BEGIN", "T")
	_, carrier := f.forwardedActive()
	reached, _ := f.group.BlockStatements("m1")
	c.send("WRITE 1 x")
	<-reached
	f.instances[carrier].clients.CloseListener()
	f.instances[carrier].finishWork(ended(t), ended(t), t.Context())
	active, _ := f.forwardedActive()
	must.Eq(t, relay.ActiveSessions{}, active)
	c.mustRead("ERROR ABORTED the connection to the member was lost", "I")
}

func (c *testClient) mustQuery(text, prefix, state string) {
	c.t.Helper()
	c.send(text)
	c.mustRead(prefix, state)
}
