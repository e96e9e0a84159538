package relay

import (
	"context"
	"errors"
	"time"

	"github.com/stackspindle/stackspindle/internal/statement"
)

// stopPhase is the progress of a planned stop.
type stopPhase int

const (
	notStopping        stopPhase = iota
	draining                     // sessions end as soon as they are idle outside a transaction
	endingTransactions           // open transactions are rolled back, unless their COMMIT arrives or is running
	abortingStatements           // statements that are not running get their final answer now
)

// errStopping is the reason for not running a statement while the instance stops.
var errStopping = errors.New("the instance is stopping")

// endsTxBefore reports whether an open transaction is rolled back instead of running the statement.
func (p stopPhase) endsTxBefore(st statement.Statement) bool {
	return p >= endingTransactions && st.Kind != statement.Commit && st.Kind != statement.Rollback
}

// stoppingDetail is the reason for rolling back a transaction in a planned stop.
const stoppingDetail = "the instance is stopping, and the transaction was rolled back"

// Intervals of a planned stop.
const (
	drainPollInterval      = 20 * time.Millisecond  // between two checks whether work is left
	drainInterruptInterval = 100 * time.Millisecond // between two interruptions of idle sessions
)

// drainable is a set of sessions that a planned stop ends.
type drainable interface {
	// enter begins a phase of the stop, and applies it to all sessions.
	enter(phase stopPhase)
	// interruptIdle ends the sessions that are idle, as far as the phase allows.
	interruptIdle()
	// remaining returns the number of sessions that the stop has to wait for.
	remaining() int
}

// drain runs the phase draining until transactions is done, and endingTransactions until
// statements is done. It returns when no session remains, or when statements is done.
func drain(transactions, statements context.Context, d drainable) {
	d.enter(draining)
	untilEither, cancel := context.WithCancel(statements)
	defer cancel()
	defer context.AfterFunc(transactions, cancel)()
	await(untilEither, d)
	if d.remaining() > 0 && statements.Err() == nil {
		d.enter(endingTransactions)
		await(statements, d)
	}
}

// await interrupts idle sessions until none remains, or ctx is done.
func await(ctx context.Context, d drainable) {
	interrupt := time.NewTicker(drainInterruptInterval)
	defer interrupt.Stop()
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for d.remaining() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-interrupt.C:
			d.interruptIdle()
		case <-poll.C:
		}
	}
}
