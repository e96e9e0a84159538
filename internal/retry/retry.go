// Package retry decides whether and when a failed request is retried. Package dispatch uses
// it. It has no I/O, clock, randomness or goroutine of its own.
//
// Invariant: a request that may have run is retried only if it carries a request key, which
// makes it idempotent. A request that was rejected before it ran is retried within its
// deadline, at a rate bounded by the retry budget.
package retry

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
)

// Outcome describes how an attempt failed, and the state of its request.
type Outcome struct {
	Refusal    peerpb.Refusal
	NotSent    bool          // the request was not sent
	Broken     bool          // the stream broke after the request was sent
	Delivered  bool          // part of the answer was passed on to the client
	Idempotent bool          // the request carries a request key and is idempotent
	OwnerHint  bool          // the rejection names the owner of the group
	Attempt    int           // number of the failed attempt, from 1
	TimeLeft   time.Duration // time until the request's deadline
	Jitter     float64       // uniformly distributed in [0, 1)
}

// Decision says whether to retry and after what delay.
type Decision struct {
	Retry bool
	Delay time.Duration
}

// Bounds of the exponential backoff between two attempts, before jitter.
const (
	minDelay = 5 * time.Millisecond
	maxDelay = 100 * time.Millisecond
)

// Next decides about a failed attempt. With an exhausted budget a retry is still allowed,
// but only after the longest delay, so that requests survive a failover without causing a
// retry storm.
func Next(o Outcome, b *Budget) Decision {
	if !retryable(o) {
		return Decision{}
	}
	if o.OwnerHint && o.Attempt <= freeRedirects {
		return Decision{Retry: true}
	}
	delay := maxDelay
	if b.Take() {
		delay = min(minDelay<<min(o.Attempt-1, maxShift), maxDelay)
	}
	delay = delay/2 + time.Duration(o.Jitter*float64(delay)/2)
	if delay >= o.TimeLeft {
		return Decision{}
	}
	return Decision{Retry: true, Delay: delay}
}

const (
	freeRedirects = 3 // attempts after which a retry at the named owner has neither delay nor cost
	maxShift      = 6 // keeps the shift of the backoff in range
)

// retryable reports whether the request may be retried at all.
func retryable(o Outcome) bool {
	if o.Delivered || o.TimeLeft <= 0 {
		return false
	}
	if o.NotSent {
		return true
	}
	if o.Broken || o.Refusal == peerpb.Refusal_REFUSAL_UNKNOWN_OUTCOME {
		return o.Idempotent
	}
	switch o.Refusal {
	case peerpb.Refusal_REFUSAL_NOT_OWNER, peerpb.Refusal_REFUSAL_NO_PRIMARY, peerpb.Refusal_REFUSAL_UPSTREAM:
		return true
	}
	return false
}

// Budget limits retries to a fraction of first attempts. It is not safe for concurrent use.
type Budget struct {
	tokens float64
}

// Settings of the budget.
const (
	earnedPerAttempt = 0.2 // retries earned by each first attempt
	maxTokens        = 50  // retries that the budget holds at most
)

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: maxTokens} }

// Earn records a first attempt.
func (b *Budget) Earn() { b.tokens = min(b.tokens+earnedPerAttempt, maxTokens) }

// Take uses one retry of the budget, and reports whether one was available.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
