package member

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stackspindle/stackspindle/internal/statement"
)

// ErrNotReady says that a connection could not be brought to a session's state.
// Nothing of the session's statement was sent.
var ErrNotReady = errors.New("the connection could not be prepared for the session")

// ownTimeout bounds the fleet's own statements, which cost the member no work:
// several round trips, and a queue of statements before them.
const ownTimeout = 500 * time.Millisecond

// maxPrepared bounds the names kept on one connection.
const maxPrepared = 256

// Shared is a connection with what is known of its state, so that it can pass
// from one session to another.
type Shared struct {
	conn     Conn
	state    statement.State
	values   map[string]string // session values as set at the member
	prepared map[string]bool   // names known to the member
	doubtful bool              // values and names may differ from what is noted
	broken   atomic.Bool
}

// NewShared wraps a connection that was just opened.
func NewShared(conn Conn) *Shared {
	return &Shared{
		conn:     conn,
		state:    statement.Idle,
		values:   make(map[string]string),
		prepared: make(map[string]bool),
	}
}

// PreparedName names a statement by its content, so that sessions which prepare
// the same share it and different ones never clash.
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

// Clean implements connpool.Conn: an open transaction is rolled back. Values and
// names stay, since they are noted and brought to the next session's.
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

// State returns where the connection stands after the last answer.
func (s *Shared) State() statement.State { return s.state }

// Match ranks how little must be sent before a session with these values can use
// the connection: 2 nothing, 1 values on top, 0 a reset.
func (s *Shared) Match(values map[string]string) int {
	switch {
	case s.doubtful || !subset(s.values, values):
		return 0
	case len(s.values) != len(values) || !equal(s.values, values):
		return 1
	}
	return 2
}

// subset reports whether every name of a stands in b.
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

// Prepare brings the connection to a session's values and makes a prepared
// statement known, if one is needed. An error wraps ErrNotReady.
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

// Run has the member run a statement. An error wraps ErrBroken.
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

// Status asks the member about itself.
func (s *Shared) Status(deadline time.Time) (Status, error) {
	return settle(s, func() (Status, error) { return s.conn.Status(deadline) })
}

// StepDown makes a primary of a lower term a replica.
func (s *Shared) StepDown(deadline time.Time, term uint64) (Status, error) {
	return settle(s, func() (Status, error) { return s.conn.StepDown(deadline, term) })
}

// settle kills a connection on which a call of the fleet's own broke.
func settle(s *Shared, call func() (Status, error)) (Status, error) {
	status, err := call()
	if errors.Is(err, ErrBroken) {
		s.Kill()
	}
	return status, err
}
