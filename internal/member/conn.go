// Package member is the fleet's side of the members of a database group: the
// port through which one connection to a member is used, and the pool that
// shares a member's few connections without mixing what belongs to different
// callers.
package member

import (
	"context"
	"errors"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/statement"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// ErrBroken says that a connection ended, or stayed silent for too long, before
// the whole answer arrived. What was sent may have run.
var ErrBroken = errors.New("the connection broke before the whole answer arrived")

// Value is a session value.
type Value struct {
	Name  string
	Value string
}

// Prepared is a statement to be known under a name.
type Prepared struct {
	Name   string
	Writes bool
	Shape  string
}

// Status is what a member reports of itself.
type Status struct {
	Primary     bool
	Term        uint64         // in which it leads or follows
	Received    group.Position // end of its log, what it has not applied yet included
	Lag         time.Duration  // of what it has applied, as it believes
	Connections int            // open at the member, from all instances
}

// Request is one caller's statement on its way to a member.
type Request struct {
	Statement statement.Statement
	Name      string         // Execute: the name by which the member knows the statement
	After     group.Position // the log must hold this; zero: any
	Deadline  time.Time      // for the whole answer
}

// Conn is one connection to a member. It is used by one goroutine at a time;
// only Close may be called from elsewhere.
//
// An error that wraps ErrBroken leaves the outcome of the call unknown and the
// connection unusable. An error of type *statement.Error is the member's answer.
type Conn interface {
	// Run has the member run a caller's statement.
	Run(req Request) (statement.Answer, error)
	// Configure sets the session's values and names, after a reset if asked for.
	Configure(deadline time.Time, reset bool, values []Value, prepared []Prepared) error
	// Rollback ends the open transaction.
	Rollback(deadline time.Time) error
	// Status asks the member about itself.
	Status(deadline time.Time) (Status, error)
	// StepDown makes a primary of a lower term a replica.
	StepDown(deadline time.Time, term uint64) (Status, error)
	// Silent reports whether the connection is open and nothing unasked has come.
	Silent() bool
	// Close ends the connection at once. What is open there is rolled back.
	Close()
}

// Dialer opens connections to members. A connection belongs to one client account
// for as long as it lives, since the member is told the account when it begins;
// account.Anonymous stands for callers without one and for the fleet's own
// questions. An error of type *statement.Error is the member's refusal.
type Dialer interface {
	Dial(ctx context.Context, m topology.Member, account string) (Conn, error)
}
