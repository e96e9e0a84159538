package member

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stackspindle/stackspindle/internal/statement"
)

// ErrNotReady means that the session state could not be set on a connection. The session's
// statement was not sent.
var ErrNotReady = errors.New("the connection could not be prepared for the session")

// internalTimeout is the timeout of the instance's own statements, which cause the member no
// work. It allows for several round trips and for a queue of statements at the member.
const internalTimeout = 500 * time.Millisecond

// maxPrepared bounds the prepared statements on one connection. With more the session is
// reset.
const maxPrepared = 256

// PooledConn is a connection whose session state is tracked, so that sessions can use it one
// after another. It implements connpool.Conn. Only Kill may be called concurrently.
type PooledConn struct {
	conn         Conn
	state        statement.State
	values       map[string]string // session variables set at the member
	prepared     map[string]bool   // names of the statements prepared at the member
	stateUnknown bool              // values and prepared may differ from the state at the member
	broken       atomic.Bool
}

// NewPooledConn wraps a newly opened connection.
func NewPooledConn(conn Conn) *PooledConn {
	return &PooledConn{
		conn:     conn,
		state:    statement.Idle,
		values:   make(map[string]string),
		prepared: make(map[string]bool),
	}
}

// PreparedName derives the name of a prepared statement from its content, so that sessions
// which prepare the same statement share it and different ones do not collide.
func PreparedName(writes bool, shape string) string {
	mode := "r"
	if writes {
		mode = "w"
	}
	return fmt.Sprintf("%s%016x", mode, xxhash.Sum64String(shape))
}

// Alive implements connpool.Conn.
func (c *PooledConn) Alive() bool { return !c.broken.Load() && c.conn.IsIdle() }

// Kill implements connpool.Conn.
func (c *PooledConn) Kill() {
	c.broken.Store(true)
	c.conn.Close()
}

// Clean implements connpool.Conn: it rolls back an open transaction. Session variables and
// prepared statements stay, since they are tracked and adapted to the next session.
func (c *PooledConn) Clean() bool {
	if c.broken.Load() {
		return false
	}
	if c.state == statement.Idle {
		return true
	}
	if err := c.conn.Rollback(time.Now().Add(internalTimeout)); err != nil {
		return false
	}
	c.state = statement.Idle
	return true
}

// State returns the transaction state after the last answer.
func (c *PooledConn) State() statement.State { return c.state }

// Match ranks the connection for a session with the given variables by the work needed to
// apply them: 2 for none, 1 if variables must be set, 0 if the session must be reset.
func (c *PooledConn) Match(values map[string]string) int {
	switch {
	case c.stateUnknown || !subset(c.values, values):
		return 0
	case len(c.values) != len(values) || !equal(c.values, values):
		return 1
	}
	return 2
}

// subset reports whether every key of a is a key of b.
func subset(a, b map[string]string) bool {
	for name := range a {
		if _, ok := b[name]; !ok {
			return false
		}
	}
	return true
}

func equal(a, b map[string]string) bool {
	for name, value := range a {
		if b[name] != value {
			return false
		}
	}
	return true
}

// ApplySession applies a session's variables to the connection and prepares the needed
// statement, unless that is nil. It sends only the differences from the tracked state, if
// any, or resets the session first if that state is unknown, has variables that the session
// lacks, or has more than maxPrepared statements. An error wraps ErrNotReady.
func (c *PooledConn) ApplySession(values map[string]string, needed *Prepared) error {
	reset := c.stateUnknown || !subset(c.values, values) || len(c.prepared) > maxPrepared
	var set []Value
	for name, value := range values {
		if current, ok := c.values[name]; reset || !ok || current != value {
			set = append(set, Value{Name: name, Value: value})
		}
	}
	var prepare []Prepared
	if needed != nil && (reset || !c.prepared[needed.Name]) {
		prepare = append(prepare, *needed)
	}
	if !reset && len(set) == 0 && len(prepare) == 0 {
		return nil
	}
	c.stateUnknown = true
	if err := c.conn.Configure(time.Now().Add(internalTimeout), reset, set, prepare); err != nil {
		c.Kill()
		return fmt.Errorf("%w: %w", ErrNotReady, err)
	}
	c.stateUnknown = false
	if reset {
		clear(c.values)
		clear(c.prepared)
	}
	for _, v := range set {
		c.values[v.Name] = v.Value
	}
	for _, p := range prepare {
		c.prepared[p.Name] = true
	}
	return nil
}

// Run runs a statement at the member. An error wraps ErrBroken and closes the connection.
func (c *PooledConn) Run(req Request) (statement.Answer, error) {
	answer, err := c.conn.Run(req)
	if err != nil {
		c.Kill()
		return answer, err
	}
	c.state = answer.State
	if answer.Err != nil && answer.Err.Code == statement.Unprepared {
		c.stateUnknown = true
	}
	return answer, nil
}

// Status queries the member's status.
func (c *PooledConn) Status(deadline time.Time) (Status, error) {
	return closeIfBroken(c, func() (Status, error) { return c.conn.Status(deadline) })
}

// StepDown demotes the member to a replica if it is a primary of a lower term.
func (c *PooledConn) StepDown(deadline time.Time, term uint64) (Status, error) {
	return closeIfBroken(c, func() (Status, error) { return c.conn.StepDown(deadline, term) })
}

// closeIfBroken makes a call and closes the connection if the call's outcome is unknown.
func closeIfBroken(c *PooledConn, call func() (Status, error)) (Status, error) {
	status, err := call()
	if errors.Is(err, ErrBroken) {
		c.Kill()
	}
	return status, err
}
