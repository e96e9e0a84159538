package pgserver

import (
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
)

// SQLSTATEs that stackspindle itself returns. docs/ERRORS.md says of each whether
// the statement was not run or its outcome is unknown.
const (
	codeFeature        = "0A000" // not run: not supported with transaction pooling
	codeProtocol       = "08P01" // not run: protocol violation
	codeUnknown        = "08007" // outcome unknown
	codeNoPrimary      = "57P03" // not run: no primary, or no owner
	codeOverload       = "53300" // not run: queue full or deadline passed
	codeTooManyClients = "53300"
	codeShutdown       = "57P01" // not run: the instance is shutting down
	codeIdleInTx       = "25P03" // rolled back: idle for too long
	codeFailedTx       = "25P02" // not run: the transaction has failed
	codeAuth           = "28P01"
	codeNoDatabase     = "3D000"
	codeInvalid        = "22023" // not run: invalid value of a stackspindle setting
	codeLostWrites     = "SS001" // not run: acknowledged writes of the session were lost
	codeKeyMismatch    = "SS002" // not run: the request key was used for another request
	codeStatement      = "26000" // not run: no such prepared statement
)

// failure is an error that is sent to the client.
type failure struct {
	code    string
	message string
	hint    string
	fatal   bool
}

func (f *failure) Error() string { return f.message }

func fail(code, format string, args ...any) *failure {
	return &failure{code: code, message: fmt.Sprintf(format, args...)}
}

func (f *failure) response() *pgproto3.ErrorResponse {
	severity := "ERROR"
	if f.fatal {
		severity = "FATAL"
	}
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                f.code,
		Message:             f.message,
		Hint:                f.hint,
	}
}

// refusalFailure converts a refusal into an error with its SQLSTATE and hint.
func refusalFailure(d *peerpb.Done) *failure {
	f := &failure{code: codeNoPrimary, message: "not run: " + d.Detail, fatal: d.Broken}
	if d.RetryAfterUs > 0 {
		f.hint = fmt.Sprintf("Come back in %s.", (time.Duration(d.RetryAfterUs) * time.Microsecond).Round(time.Millisecond))
	}
	switch d.Refusal {
	case peerpb.Refusal_REFUSAL_QUEUE_FULL, peerpb.Refusal_REFUSAL_DEADLINE:
		f.code = codeOverload
	case peerpb.Refusal_REFUSAL_LOST_WRITES:
		f.code = codeLostWrites
		f.hint = "SET stackspindle.accept_loss = on lets the session go on without them."
	case peerpb.Refusal_REFUSAL_KEY_MISMATCH:
		f.code = codeKeyMismatch
	case peerpb.Refusal_REFUSAL_NOT_ALLOWED:
		f.code = codeFeature
	case peerpb.Refusal_REFUSAL_UNKNOWN_OUTCOME:
		f.code = codeUnknown
		f.message = "outcome unknown: " + d.Detail
	}
	return f
}
