// Package member is the client side of the connections to members of a database group. It
// defines the protocol-independent interface of a connection (Conn, Dialer), which package
// platform implements, a connection with tracked session state that sessions can take turns
// to use (PooledConn), and a record of whether a member responds (Health).
package member

import (
	"context"
	"errors"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/statement"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// ErrPromotionRefused means that a request to promote a member was refused or not delivered, and
// will not take effect.
var ErrPromotionRefused = errors.New("the promotion was refused")

// ErrBroken means that a connection was closed or timed out before the complete answer
// arrived. The statement that was sent may have run.
var ErrBroken = errors.New("the connection broke before the whole answer arrived")

// Value is a session variable and its value.
type Value struct {
	Name  string
	Value string
}

// Prepared is a prepared statement.
type Prepared struct {
	Name   string
	Writes bool
	Shape  string // statement text
}

// Status is a member's report of its replication state.
type Status struct {
	Primary     bool
	Term        uint64         // term in which it is primary or replica
	Received    group.Position // end of its log, including entries not applied yet
	Lag         time.Duration  // age of its applied state by its own estimate
	Connections int            // open connections at the member, from all instances
}

// Request is a client's statement as sent to a member.
type Request struct {
	Statement statement.Statement
	Name      string         // Execute: name of the prepared statement at the member
	After     group.Position // position that the member's log must have reached; zero: any
	Deadline  time.Time      // for the complete answer
}

// Conn is one connection to a member. It is used by one goroutine at a time; only Close
// may be called concurrently.
//
// After an error that wraps ErrBroken the outcome of the call is unknown and the connection
// is unusable. An error of type *statement.Error is the member's answer.
type Conn interface {
	// Run runs a client's statement at the member.
	Run(req Request) (statement.Answer, error)
	// Configure sets session variables and prepares statements. If reset is true it first
	// discards those that exist.
	Configure(deadline time.Time, reset bool, values []Value, prepared []Prepared) error
	// Rollback rolls back the open transaction.
	Rollback(deadline time.Time) error
	// Status queries the member's status.
	Status(deadline time.Time) (Status, error)
	// StepDown demotes the member to a replica if it is a primary of a lower term.
	StepDown(deadline time.Time, term uint64) (Status, error)
	// IsIdle reports whether the connection is open and no unsolicited data has arrived.
	IsIdle() bool
	// Close closes the connection at once. The member rolls back its open transaction.
	Close()
}

// Dialer opens connections to members. A connection belongs to one client account for its
// lifetime, because the account is sent to the member when it is opened. account.Anonymous
// stands for clients without an account and for the instances' own queries. An error of
// type *statement.Error means that the member rejected the connection.
type Dialer interface {
	Dial(ctx context.Context, m topology.Member, account string) (Conn, error)
}
