package fleet

import (
	"context"
	"fmt"
	"regexp"
	"testing"

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

var abortedInStop = regexp.MustCompile("^ERROR (BUSY retry after [0-9]+ ms: not run: the instance is stopping|INDOUBT it may have run: )")

// When the time for running statements is over, each of them gets a final answer: the transaction
// was rolled back, or the outcome of a write is unknown, or the statement has not run.
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
	drainInstance(t, f.instances[0])
	f.instances[0].clients.AbortStatements()
	f.instances[0].upstreams.Close()
	f.instances[0].clients.AwaitSessions(t.Context())
	tx.mustRead("ERROR ABORTED", "I")
	for _, c := range clients {
		lines := c.read()
		must.Len(t, 2, lines)
		must.RegexMatch(t, abortedInStop, lines[0])
	}
	must.SliceEmpty(t, f.group.Log())
}
