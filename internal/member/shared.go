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

// ownTimeout is the timeout of the instance's own statements, which cause the member no
// work. It allows for several round trips and for a queue of statements at the member.
const ownTimeout = 500 * time.Millisecond

// maxPrepared bounds the prepared statements on one connection. With more the session is
// reset.
const maxPrepared = 256

// Shared is a connection whose session state is tracked, so that sessions can use it one
// after another. It implements connpool.Conn. Only Kill may be called concurrently.
type Shared struct {
	conn     Conn
	state    statement.State
	values   map[string]string // session variables set at the member
	prepared map[string]bool   // names of the statements prepared at the member
	doubtful bool              // values and prepared may differ from the state at the member
	broken   atomic.Bool
}

// NewShared wraps a newly opened connection.
func NewShared(conn Conn) *Shared {
	return &Shared{
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
func (s *Shared) Alive() bool { return !s.broken.Load() && s.conn.Silent() }

// Kill implements connpool.Conn.
func (s *Shared) Kill() {
	s.broken.Store(true)
	s.conn.Close()
}

// Clean implements connpool.Conn: it rolls back an open transaction. Session variables and
// prepared statements stay, since they are tracked and adapted to the next session.
func (s *Shared) Clean() bool {
	if s.broken.Load() {
		return false
	}
	if s.state == statement.Idle {
		return true
	}
	if err := s.conn.Rollback(time.Now().Add(ownTimeout)); err != nil {
		return false
	}
	s.state = statement.Idle
	return true
}

// State returns the transaction state after the last answer.
func (s *Shared) State() statement.State { return s.state }

// Match ranks the connection for a session with the given variables by the work needed to
// apply them: 2 for none, 1 if variables must be set, 0 if the session must be reset.
func (s *Shared) Match(values map[string]string) int {
	switch {
	case s.doubtful || !subset(s.values, values):
		return 0
	case len(s.values) != len(values) || !equal(s.values, values):
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

// Prepare applies a session's variables to the connection and prepares the needed
// statement, unless that is nil. It sends only differences from the tracked state, and
// nothing if there are none. An error wraps ErrNotReady.
func (s *Shared) Prepare(values map[string]string, needed *Prepared) error {
	reset := s.doubtful || !subset(s.values, values) || len(s.prepared) > maxPrepared
	var set []Value
	for name, value := range values {
		if known, ok := s.values[name]; reset || !ok || known != value {
			set = append(set, Value{Name: name, Value: value})
		}
	}
	var prepare []Prepared
	if needed != nil && (reset || !s.prepared[needed.Name]) {
		prepare = append(prepare, *needed)
	}
	if !reset && len(set) == 0 && len(prepare) == 0 {
		return nil
	}
	s.doubtful = true
	if err := s.conn.Configure(time.Now().Add(ownTimeout), reset, set, prepare); err != nil {
		s.Kill()
		return fmt.Errorf("%w: %w", ErrNotReady, err)
	}
	s.doubtful = false
	if reset {
		clear(s.values)
		clear(s.prepared)
	}
	for _, v := range set {
		s.values[v.Name] = v.Value
	}
	for _, p := range prepare {
		s.prepared[p.Name] = true
	}
	return nil
}

// Run runs a statement at the member. An error wraps ErrBroken and closes the connection.
func (s *Shared) Run(req Request) (statement.Answer, error) {
	answer, err := s.conn.Run(req)
	if err != nil {
		s.Kill()
		return answer, err
	}
	s.state = answer.State
	if answer.Err != nil && answer.Err.Code == statement.Unprepared {
		s.doubtful = true
	}
	return answer, nil
}

// Status queries the member's status.
func (s *Shared) Status(deadline time.Time) (Status, error) {
	return settle(s, func() (Status, error) { return s.conn.Status(deadline) })
}

// StepDown demotes the member to a replica if it is a primary of a lower term.
func (s *Shared) StepDown(deadline time.Time, term uint64) (Status, error) {
	return settle(s, func() (Status, error) { return s.conn.StepDown(deadline, term) })
}

// settle makes a call and closes the connection if the call's outcome is unknown.
func settle(s *Shared, call func() (Status, error)) (Status, error) {
	status, err := call()
	if errors.Is(err, ErrBroken) {
		s.Kill()
	}
	return status, err
}
