package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

// Limits of the clients.
const (
	connectTimeout = time.Second
	// answerTimeout is longer than an instance stands still and the statement timeout of the
	// routes. After it no instance waits for the statement any more.
	answerTimeout   = maxStandstill + 2*time.Second
	maxTxStatements = 4 // statements per transaction
	// minCutOffTime distinguishes a request that was cut off from one that was sent while
	// the instance was closing the session in an orderly way: only a request that ran
	// this long without an answer counts as cut.
	minCutOffTime = 200 * time.Millisecond
)

// client simulates a client of the fleet. It keeps one session open for as long as
// possible and checks every answer.
type client struct {
	run    *run
	name   string
	rnd    *rand.Rand
	target *instance // the instance that it connects to
	lastID int       // number in the last statement ID

	conn   net.Conn
	reader *bufio.Reader
	group  *databaseGroup
	kind   string              // consistency of the route: strict, bounded or own
	writes []acknowledgedWrite // of the session
	ready  bool                // the session has prepared its statements
}

func newClient(r *run, n int) *client {
	return &client{run: r, name: fmt.Sprintf("c%d.%d", n, time.Now().UnixNano()), rnd: r.random(1000 + uint64(n))}
}

// runOperations runs random operations until the context is cancelled.
func (c *client) runOperations(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		time.Sleep(clientPause)
		if c.conn == nil {
			c.connect()
			continue
		}
		switch c.rnd.IntN(12) {
		case 0, 1, 2:
			c.writeOnce()
		case 3, 4, 5, 6:
			c.readOnce()
		case 7, 8:
			c.transaction()
		case 9:
			c.readTransaction()
		case 10:
			c.executePrepared()
		default:
			if c.rnd.IntN(5) == 0 {
				c.disconnect()
			}
		}
	}
}

// connect opens a session with a random group, consistency and instance. Half of the
// sessions set the value "owner", which the members check.
func (c *client) connect() {
	c.group = c.run.groups[c.rnd.IntN(len(c.run.groups))]
	c.kind = []string{"strict", "bounded", "own"}[c.rnd.IntN(3)]
	c.target = c.run.instances[c.rnd.IntN(len(c.run.instances))]
	c.dial()
	if c.conn != nil && c.rnd.IntN(2) == 0 {
		c.query(c.id(), "SET owner "+c.name)
	}
}

// dial opens a session at the target. On failure it leaves the client unconnected.
func (c *client) dial() {
	conn, err := net.DialTimeout("tcp", c.target.clientAddr, connectTimeout)
	if err != nil {
		return // the instance is down
	}
	c.conn, c.reader, c.writes, c.ready = conn, bufio.NewReader(conn), nil, false
	if _, err := fmt.Fprintf(conn, "STARTUP %s-%s\r\n", c.kind, c.group.name); err != nil {
		c.disconnect()
		return
	}
	if a := c.read(); a.lost {
		c.disconnect()
	}
}

func (c *client) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close() // no request is in flight that an error could affect
		c.conn = nil
	}
}

// id returns a new statement ID. It begins with the client's name, so that members
// can tell whose statement it is.
func (c *client) id() string {
	c.lastID++
	return c.name + "-" + strconv.Itoa(c.lastID)
}

// answer is the parsed answer to one request.
type answer struct {
	lost    bool // the connection broke or the answer timed out
	code    string
	receipt string
	row     string
	state   string
}

func (a answer) ok() bool { return !a.lost && a.code == "" }

// noEffectCodes has the error codes that guarantee that the statement or transaction had
// no effect.
var noEffectCodes = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MISROUTED": true, "TOOMANY": true}

// query sends one statement and reads its answer. It checks the receipt and, in
// runs with planned work only, that the request was not cut off.
func (c *client) query(id, text string) answer {
	sent := time.Now()
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		c.disconnect()
		return answer{lost: true}
	}
	a := c.read()
	if a.lost {
		if time.Since(sent) >= minCutOffTime && c.run.opts.Planned {
			c.run.finding("planned work: %s %q was cut after %s", id, text, time.Since(sent).Round(time.Millisecond))
		}
		c.disconnect()
		return a
	}
	if a.ok() && reachesMember(text) && !strings.HasSuffix(a.receipt, "."+id) {
		c.run.finding("%s %q was answered with the receipt %q", id, text, a.receipt)
	}
	return a
}

// reachesMember reports whether a member gives the receipt for a statement.
func reachesMember(text string) bool {
	word, _, _ := strings.Cut(text, " ")
	return word != "ROLLBACK" && word != "SET" && word != "PREPARE"
}

// read reads one answer, up to its READY line.
func (c *client) read() answer {
	var a answer
	if err := c.conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return answer{lost: true}
	}
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				c.run.count("nothing came")
			}
			return answer{lost: true}
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "ROW":
			a.row = rest
		case "COMPLETE":
			a.receipt = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		}
	}
}

// write tries one write to a group, for awaitService, which repeats it until it succeeds.
func (c *client) write(_ context.Context, g *databaseGroup) bool {
	c.group, c.kind = g, "strict"
	if c.conn == nil {
		c.dial()
	}
	return c.conn != nil && c.writeOnce()
}

// writeOnce runs a single write outside of a transaction.
func (c *client) writeOnce() bool {
	id := c.id()
	a := c.query(id, "WRITE thing "+id)
	c.recordOutcome(a, id)
	return a.ok()
}

// recordOutcome records the outcome of writes that were acknowledged or rejected together,
// and checks that acknowledged ones are committed by a current primary.
func (c *client) recordOutcome(a answer, ids ...string) {
	switch {
	case a.ok():
		c.run.count("acknowledged")
		for _, id := range ids {
			committed, ok := c.group.members.Committed(id)
			if !ok {
				c.run.finding("write %s was acknowledged, and no member has committed it", id)
				return
			}
			if committed.Stale {
				c.run.finding("write %s was acknowledged, and a replaced primary committed it", id)
			}
			c.writes = append(c.writes, acknowledgedWrite{at: time.Now(), id: id, position: committed.Position})
			c.group.outcomes.acknowledge(id, committed.Position)
		}
	case noEffectCodes[a.code]:
		c.run.count("refused")
		c.group.outcomes.reject(ids...)
	default:
		c.run.count("in doubt or lost")
	}
}

// readOnce runs a single read outside of a transaction and checks its staleness.
func (c *client) readOnce() {
	required := c.requirement()
	a := c.query(c.id(), "READ thing")
	c.checkRead(a, required)
}

// requirement is what a read must see.
type requirement struct {
	until time.Time           // all writes acknowledged up to this time
	own   []acknowledgedWrite // and these writes of the session
}

// requirement returns what a read that starts now must see: with strict consistency all
// acknowledged writes, otherwise those acknowledged before the staleness bound, and with own
// also the session's own writes.
func (c *client) requirement() requirement {
	switch now := time.Now(); c.kind {
	case "strict":
		return requirement{until: now}
	case "own":
		return requirement{until: now.Add(-c.run.loosestBound()), own: c.writes}
	default:
		return requirement{until: now.Add(-c.run.loosestBound())}
	}
}

// checkRead compares the log that a read ran on with the writes that it had to see. Writes that
// a promotion has dropped need not be seen.
func (c *client) checkRead(a answer, required requirement) {
	if !a.ok() {
		c.run.count("reads not served")
		return
	}
	c.run.count("reads")
	term, index, _ := strings.Cut(a.row, ".")
	t, errTerm := strconv.ParseUint(term, 10, 64)
	i, errIndex := strconv.ParseUint(index, 10, 64)
	if err := errors.Join(errTerm, errIndex); err != nil {
		c.run.finding("a read of %s brought %q: %v", c.name, a.row, err)
		return
	}
	ran := group.Position{Term: t, Index: i}
	isDropped := func(id string) bool {
		committed, ok := c.group.members.Committed(id)
		return !ok || committed.Dropped
	}
	if w, missing := c.group.outcomes.missing(ran, required, isDropped); missing {
		c.run.finding("a read of %s on a %s route through %s ran on the log of %s up to %s, and had to see %s of %s, acknowledged %s before the latest moment that it may miss",
			c.name, c.kind, c.target.name, receiptMember(a.receipt), a.row, w.position.String(), w.id, required.until.Sub(w.at).Round(time.Millisecond))
	}
}

// receiptMember returns the member that a receipt names.
func receiptMember(receipt string) string {
	member, _, _ := strings.Cut(receipt, ".")
	return member
}

// readTransaction runs a read-only transaction, whose reads must see what its start requires.
func (c *client) readTransaction() {
	required := c.requirement()
	if a := c.query(c.id(), "BEGIN READ"); !a.ok() {
		return
	}
	for range 1 + c.rnd.IntN(maxTxStatements) {
		a := c.query(c.id(), "READ thing")
		if a.lost {
			return
		}
		c.checkRead(a, required)
		if a.state != "T" {
			break
		}
	}
	if c.conn != nil {
		c.query(c.id(), "COMMIT")
	}
}

// executePrepared runs a prepared read or write.
func (c *client) executePrepared() {
	if !c.ready {
		c.ready = c.query(c.id(), "PREPARE get READ shape").ok() && c.query(c.id(), "PREPARE put WRITE shape").ok()
		return
	}
	if c.rnd.IntN(3) == 0 {
		id := c.id()
		c.recordOutcome(c.query(id, "EXECUTE put thing "+id), id)
		return
	}
	required := c.requirement()
	c.checkRead(c.query(c.id(), "EXECUTE get thing"), required)
}

// transaction runs a transaction of random reads and writes and commits it, or rolls
// it back in one of five cases.
func (c *client) transaction() {
	required := c.requirement()
	if a := c.query(c.id(), "BEGIN"); !a.ok() {
		return
	}
	var ids []string
	for range 1 + c.rnd.IntN(maxTxStatements) {
		id := c.id()
		text := "WRITE thing " + id
		reads := c.rnd.IntN(2) == 0
		if reads {
			text = "READ thing"
		} else {
			ids = append(ids, id)
		}
		a := c.query(id, text)
		switch {
		case a.lost:
			return
		case reads && a.ok():
			c.checkRead(a, required)
		case !a.ok():
			c.recordOutcome(a, ids...)
			if a.state != "I" {
				c.query(c.id(), "ROLLBACK")
			}
			return
		}
	}
	if c.rnd.IntN(5) == 0 {
		if a := c.query(c.id(), "ROLLBACK"); a.ok() {
			c.group.outcomes.reject(ids...)
		}
		return
	}
	c.recordOutcome(c.query(c.id(), "COMMIT"), ids...)
}
