// Package statement defines the protocol-independent types of the statement path: the
// statements of clients, the answers of members, and error codes, which say whether a
// failed statement may have run. It contains no logic beyond that.
package statement

import (
	"fmt"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

// Kind is the kind of a statement.
type Kind int

// The kinds of statements.
const (
	Begin     Kind = iota // opens a read-write transaction
	BeginRead             // opens a read-only transaction
	Commit
	Rollback
	Read
	Write
	Set     // sets a session variable
	Prepare // prepares a statement under a name
	Execute // runs a prepared statement
	Close   // discards a prepared statement
)

// Statement is one statement of a client.
type Statement struct {
	ID   string // assigned by the client and passed on unchanged
	Text string // as received from the client
	Kind Kind

	Name   string // Set: name of the variable; Prepare, Execute, Close: name of the prepared statement
	Value  string // Set: new value
	Writes bool   // Prepare: the prepared statement writes
	Shape  string // Prepare: text of the prepared statement
	Args   string // Execute: arguments, the text after the name
}

// State is the transaction state of a session between two statements.
type State byte

// The transaction states.
const (
	Idle          State = 'I'
	InTransaction State = 'T'
	Failed        State = 'E' // the transaction has failed and must be ended
)

// Code says why a statement did not succeed.
type Code int

// The error codes. NotRun tells which of them guarantee that the statement had no effect.
const (
	Busy               Code = iota + 1 // no connection was available in time
	Aborted                            // the transaction was rolled back
	Lagging                            // the replica's log has not reached the required position
	ReadOnly                           // the member is not the primary
	Misrouted                          // another member answers at that address
	TooManyConnections                 // the member accepts no more connections
	Unprepared                         // the member does not have the prepared statement
	NoDatabase                         // no route for the database exists
	Unauthenticated                    // the client's key belongs to no account
	Malformed                          // the request cannot be parsed
	StatementFailed                    // the statement ran and failed
	TimedOut                           // no answer in time: the statement may have run
	OutcomeUnknown                     // the answer was lost: the statement may have run
	UnrecognisedError                  // the member returned an unrecognised code: the statement may have run
)

// NotRun reports whether the code guarantees that the attempt had no lasting effect.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Aborted, Lagging, ReadOnly, Misrouted, TooManyConnections, Unprepared, NoDatabase, Unauthenticated, Malformed:
		return true
	}
	return false
}

// String returns the code's name for logs and metrics.
func (c Code) String() string {
	if name, ok := codeNames[c]; ok {
		return name
	}
	return "code(" + fmt.Sprint(int(c)) + ")"
}

var codeNames = map[Code]string{
	Busy: "busy", Aborted: "aborted", Lagging: "lagging", ReadOnly: "read_only",
	Misrouted: "misrouted", TooManyConnections: "too_many_connections", Unprepared: "unprepared",
	NoDatabase: "no_database", Unauthenticated: "unauthenticated", Malformed: "malformed", StatementFailed: "failed",
	TimedOut: "timed_out", OutcomeUnknown: "outcome_unknown", UnrecognisedError: "unrecognised",
}

// Error is the failure of a statement as reported to the client.
type Error struct {
	Code       Code
	Detail     string
	RetryAfter time.Duration // advised retry delay for a statement that has not run; 0: none
}

// Error implements error.
func (e *Error) Error() string { return e.Code.String() + ": " + e.Detail }

// Answer is the complete answer to a statement.
type Answer struct {
	Rows     []string       // as sent by the member
	Receipt  string         // sent by the member as evidence that it ran the statement; NoReceipt if none did
	Err      *Error         // nil on success
	State    State          // of the session after the statement
	Position group.Position // end of the member's log; zero: not reported
}

// Failure returns the answer to a statement that failed at this instance.
func Failure(state State, code Code, format string, args ...any) Answer {
	return Answer{State: state, Err: &Error{Code: code, Detail: fmt.Sprintf(format, args...)}}
}

// NoReceipt is the receipt of a statement that was completed without a member.
const NoReceipt = "-"

// Done returns the success answer to a statement that was completed without a member.
func Done(state State) Answer { return Answer{State: state, Receipt: NoReceipt} }
