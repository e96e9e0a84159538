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

// Settings of the callers.
const (
	connectTime = time.Second
	answerTime  = 5 * time.Second // several times the routes'; then nobody waits any more
	maxInTx     = 4               // statements of a transaction
	// cutAfter is after what time a request that got no answer was cut. One that
	// crosses with the end of its session in good order is not.
	cutAfter = 200 * time.Millisecond
)

// caller is a client: it keeps a session as long as it can.
type caller struct {
	run   *run
	name  string
	rnd   *rand.Rand
	fixed *instance // whom it always calls; nil: anyone
	next  int

	conn  net.Conn
	r     *bufio.Reader
	group *databaseGroup
	kind  string // of the route
	floor group.Position
}

func newCaller(r *run, n int) *caller {
	return &caller{run: r, name: fmt.Sprintf("c%d.%d", n, time.Now().UnixNano()), rnd: r.random(1000 + uint64(n))}
}

// work runs operations until the context ends.
func (c *caller) work(ctx context.Context) {
	defer c.hangUp()
	for ctx.Err() == nil {
		time.Sleep(callerPause)
		if c.conn == nil {
			c.connect()
			continue
		}
		switch c.rnd.IntN(10) {
		case 0, 1, 2:
			c.writeOnce()
		case 3, 4, 5, 6:
			c.readOnce()
		case 7, 8:
			c.transaction()
		default:
			if c.rnd.IntN(5) == 0 {
				c.hangUp()
			}
		}
	}
}

// connect begins a session at any instance.
func (c *caller) connect() {
	c.group = c.run.groups[c.rnd.IntN(len(c.run.groups))]
	c.kind = []string{"strict", "bounded", "own"}[c.rnd.IntN(3)]
	c.dial(c.run.instances[c.rnd.IntN(len(c.run.instances))])
	if c.conn != nil && c.rnd.IntN(2) == 0 {
		c.query(c.id(), "SET owner "+c.name)
	}
}

func (c *caller) dial(i *instance) {
	conn, err := net.DialTimeout("tcp", i.callers, connectTime)
	if err != nil {
		return // it is down
	}
	c.conn, c.r, c.floor = conn, bufio.NewReader(conn), group.Position{}
	if _, err := fmt.Fprintf(conn, "STARTUP %s-%s\r\n", c.kind, c.group.name); err != nil {
		c.hangUp()
		return
	}
	if a := c.read(); a.lost {
		c.hangUp()
	}
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close() // nothing is under way on it
		c.conn = nil
	}
}

// id returns the ID of a new statement. It begins with the caller's name.
func (c *caller) id() string {
	c.next++
	return c.name + "-" + strconv.Itoa(c.next)
}

// answer is what a caller got.
type answer struct {
	lost    bool // the connection ended, or nothing came
	code    string
	receipt string
	row     string
	state   string
}

func (a answer) ok() bool { return !a.lost && a.code == "" }

// notRun are the codes that promise that nothing is kept.
var notRun = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MISROUTED": true, "TOOMANY": true}

func (c *caller) query(id, text string) answer {
	sent := time.Now()
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		c.hangUp()
		return answer{lost: true}
	}
	a := c.read()
	if a.lost {
		if time.Since(sent) >= cutAfter && c.run.opts.Planned {
			c.run.finding("planned work: %s %q was cut after %s", id, text, time.Since(sent).Round(time.Millisecond))
		}
		c.hangUp()
		return a
	}
	if text != "ROLLBACK" && a.ok() && !strings.HasPrefix(text, "SET") && !strings.HasSuffix(a.receipt, "."+id) {
		c.run.finding("%s %q was answered with the receipt %q", id, text, a.receipt)
	}
	return a
}

// read reads one answer.
func (c *caller) read() answer {
	var a answer
	if err := c.conn.SetReadDeadline(time.Now().Add(answerTime)); err != nil {
		return answer{lost: true}
	}
	for {
		line, err := c.r.ReadString('\n')
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

// write writes once to a group, for those that wait until that succeeds.
func (c *caller) write(_ context.Context, g *databaseGroup) bool {
	c.group, c.kind = g, "strict"
	if c.conn == nil {
		c.dial(c.fixed)
	}
	return c.conn != nil && c.writeOnce()
}

func (c *caller) writeOnce() bool {
	id := c.id()
	a := c.query(id, "WRITE thing "+id)
	c.settle(a, id)
	return a.ok()
}

// settle checks and records what became of writes that were answered together.
func (c *caller) settle(a answer, ids ...string) {
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
			c.floor = group.Max(c.floor, committed.Position)
			c.group.ledger.acknowledge(id, committed.Position)
		}
	case notRun[a.code]:
		c.run.count("refused")
		c.group.ledger.refuse(ids...)
	default:
		c.run.count("in doubt or lost")
	}
}

func (c *caller) readOnce() {
	required := c.required()
	a := c.query(c.id(), "READ thing")
	c.checkRead(a, required)
}

// required returns the end of what a read that begins now must see.
func (c *caller) required() group.Position {
	switch c.kind {
	case "strict":
		return c.group.ledger.acknowledgedBy(time.Now())
	case "own":
		return group.Max(c.floor, c.group.ledger.acknowledgedBy(time.Now().Add(-staleness)))
	}
	return c.group.ledger.acknowledgedBy(time.Now().Add(-staleness))
}

// checkRead compares the log that a read ran on with what it had to hold. A log of
// a later term holds what its promotion has kept.
func (c *caller) checkRead(a answer, required group.Position) {
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
	if t < required.Term || t == required.Term && i < required.Index {
		c.run.finding("a read of %s on a %s route ran on the log up to %s, and had to see %s", c.name, c.kind, a.row, required.String())
	}
}

// transaction runs some statements together.
func (c *caller) transaction() {
	required := c.required()
	if a := c.query(c.id(), "BEGIN"); !a.ok() {
		return
	}
	var ids []string
	for range 1 + c.rnd.IntN(maxInTx) {
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
			c.settle(a, ids...)
			if a.state != "I" {
				c.query(c.id(), "ROLLBACK")
			}
			return
		}
	}
	if c.rnd.IntN(5) == 0 {
		if a := c.query(c.id(), "ROLLBACK"); a.ok() {
			c.group.ledger.refuse(ids...)
		}
		return
	}
	c.settle(c.query(c.id(), "COMMIT"), ids...)
}
