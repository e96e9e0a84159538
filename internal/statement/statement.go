// Package statement holds the vocabulary of the statement path that does not
// depend on a protocol: what a caller asks for, what a member answers, and what
// an error promises about the work it ends. It has no behaviour beyond that.
package statement

import (
	"fmt"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

// Kind is what a statement does.
type Kind int

// The kinds.
const (
	Begin     Kind = iota // opens a transaction that may write
	BeginRead             // opens a transaction that only reads
	Commit
	Rollback
	Read
	Write
	Set     // sets a session value
	Prepare // names a statement
	Execute // runs a named statement
	Close   // forgets a named statement
)

// Statement is one request of a caller.
type Statement struct {
	ID   string // the caller's own, passed on unchanged
	Text string // as the caller wrote it
	Kind Kind

	Name   string // Set: the value's name; Prepare, Execute, Close: the statement's
	Value  string // Set
	Writes bool   // Prepare: the named statement writes
	Shape  string // Prepare: what is prepared
	Args   string // Execute: what follows the name
}

// State is where a session stands between two statements.
type State byte

// The states.
const (
	Idle          State = 'I'
	InTransaction State = 'T'
	Failed        State = 'E' // the transaction has failed and waits for its end
)

// Code says why a statement did not succeed.
type Code int

// The codes. NotRun tells which of them promise that nothing is kept.
const (
	Busy              Code = iota + 1 // no room in time
	Aborted                           // the transaction was rolled back
	Lagging                           // the replica's log is not far enough
	ReadOnly                          // the member does not lead
	Misrouted                         // another member answers at that address
	TooMany                           // the member takes no more connections
	Unprepared                        // the member does not know the name
	NoDatabase                        // no route leads to the database
	Unauthenticated                   // no account holds the caller's key
	Malformed                         // the request cannot be understood
	StatementFailed                   // it ran, and failed
	TimedOut                          // it may have run
	Unknown                           // it may have run: the answer did not arrive
	UnrecognisedError                 // the member's code is not known here: it may have run
)

// NotRun reports whether the code promises that nothing of the attempt is kept.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Aborted, Lagging, ReadOnly, Misrouted, TooMany, Unprepared, NoDatabase, Unauthenticated, Malformed:
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
	Misrouted: "misrouted", TooMany: "too_many_connections", Unprepared: "unprepared",
	NoDatabase: "no_database", Unauthenticated: "unauthenticated", Malformed: "malformed", StatementFailed: "failed",
	TimedOut: "timed_out", Unknown: "outcome_unknown", UnrecognisedError: "unrecognised",
}

// Error is a statement's failure as the caller is told of it.
type Error struct {
	Code       Code
	Detail     string
	RetryAfter time.Duration // when to come back, for work that has not run; 0: no advice
}

// Error implements error.
func (e *Error) Error() string { return e.Code.String() + ": " + e.Detail }

// Answer is all that a statement got in return.
type Answer struct {
	Rows     []string // as the member sent them
	Receipt  string   // the member's proof that it ran the statement; "-" for none
	Err      *Error   // nil: success
	State    State
	Position group.Position // end of the answering member's log; zero: not told
}

// Failure returns the answer to a statement that ended with an error here.
func Failure(state State, code Code, format string, args ...any) Answer {
	return Answer{State: state, Err: &Error{Code: code, Detail: fmt.Sprintf(format, args...)}}
}

// NoReceipt is the receipt of a statement that no member had to run.
const NoReceipt = "-"

// Done returns the answer to a statement that needed no member.
func Done(state State) Answer { return Answer{State: state, Receipt: NoReceipt} }
