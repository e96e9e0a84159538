// Package retry decides whether a request that did not succeed is tried again.
// It has no I/O, clock, randomness or goroutine of its own.
//
// The rule that must hold: without a request key nothing that may have run is
// tried again. What was refused as not run may be, within the request's
// deadline and the retry budget.
package retry

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
)

// Outcome is how one attempt ended.
type Outcome struct {
	Refusal   peerpb.Refusal
	NotSent   bool          // the request did not leave this instance
	Broken    bool          // the stream broke after the request was sent
	Delivered bool          // part of the answer has reached the caller
	Keyed     bool          // the request carries a key and is idempotent
	Hint      bool          // the refusal names the owner
	Attempt   int           // 1 for the first
	Left      time.Duration // until the request's deadline
	Jitter    float64       // uniform in [0, 1)
}

// Decision tells what to do.
type Decision struct {
	Retry bool
	After time.Duration
}

// Bounds of the delay between two attempts.
const (
	minDelay = 5 * time.Millisecond
	maxDelay = 100 * time.Millisecond
)

// Next decides about one outcome. A drained budget does not refuse a retry, it
// makes it wait for the longest delay, so that a failover is bridged without a
// storm of requests.
func Next(o Outcome, b *Budget) Decision {
	if !repeatable(o) {
		return Decision{}
	}
	if o.Hint && o.Attempt <= freeRedirects {
		return Decision{Retry: true}
	}
	delay := maxDelay
	if b.Take() {
		delay = min(minDelay<<min(o.Attempt-1, maxShift), maxDelay)
	}
	delay = delay/2 + time.Duration(o.Jitter*float64(delay)/2)
	if delay >= o.Left {
		return Decision{}
	}
	return Decision{Retry: true, After: delay}
}

const (
	freeRedirects = 3
	maxShift      = 6
)

// repeatable reports whether another attempt is allowed at all.
func repeatable(o Outcome) bool {
	if o.Delivered || o.Left <= 0 {
		return false
	}
	if o.NotSent {
		return true
	}
	if o.Broken || o.Refusal == peerpb.Refusal_REFUSAL_UNKNOWN_OUTCOME {
		return o.Keyed
	}
	switch o.Refusal {
	case peerpb.Refusal_REFUSAL_NOT_OWNER, peerpb.Refusal_REFUSAL_NO_PRIMARY, peerpb.Refusal_REFUSAL_UPSTREAM:
		return true
	}
	return false
}

// Budget bounds retries to a share of first attempts. It is not safe for
// concurrent use.
type Budget struct {
	tokens float64
}

// Settings of the budget: each first attempt earns a fifth of a retry.
const (
	earned    = 0.2
	maxTokens = 50
)

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: maxTokens} }

// Earn notes a first attempt.
func (b *Budget) Earn() { b.tokens = min(b.tokens+earned, maxTokens) }

// Take uses one retry up and reports whether there was one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
