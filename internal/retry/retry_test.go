package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
)

func TestOnlyIdempotentOrUnsentRequestsAreRetried(t *testing.T) {
	second := time.Second
	cases := []struct {
		name string
		o    Outcome
		want bool
	}{
		{"not sent", Outcome{NotSent: true, TimeLeft: second}, true},
		{"not owner", Outcome{Refusal: peerpb.Refusal_REFUSAL_NOT_OWNER, TimeLeft: second}, true},
		{"no primary", Outcome{Refusal: peerpb.Refusal_REFUSAL_NO_PRIMARY, TimeLeft: second}, true},
		{"unknown", Outcome{Refusal: peerpb.Refusal_REFUSAL_UNKNOWN_OUTCOME, TimeLeft: second}, false},
		{"unknown with a key", Outcome{Refusal: peerpb.Refusal_REFUSAL_UNKNOWN_OUTCOME, Idempotent: true, TimeLeft: second}, true},
		{"broken", Outcome{Broken: true, TimeLeft: second}, false},
		{"broken with a key", Outcome{Broken: true, Idempotent: true, TimeLeft: second}, true},
		{"partly delivered", Outcome{Broken: true, Idempotent: true, Delivered: true, TimeLeft: second}, false},
		{"queue full", Outcome{Refusal: peerpb.Refusal_REFUSAL_QUEUE_FULL, TimeLeft: second}, false},
		{"lost writes", Outcome{Refusal: peerpb.Refusal_REFUSAL_LOST_WRITES, TimeLeft: second}, false},
		{"key mismatch", Outcome{Refusal: peerpb.Refusal_REFUSAL_KEY_MISMATCH, Idempotent: true, TimeLeft: second}, false},
		{"no time left", Outcome{NotSent: true}, false},
		{"less time left than the delay", Outcome{NotSent: true, TimeLeft: time.Millisecond, Jitter: 0.9}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.o.Attempt = 1
			must.Eq(t, c.want, Next(c.o, NewBudget()).Retry)
		})
	}
}

// The number of retries with a short delay is at most a fifth of the requests plus the
// initial budget. All further retries wait for the longest delay.
func TestBudgetBoundsFastRetries(t *testing.T) {
	b := NewBudget()
	short := 0
	for range 1000 {
		b.Earn()
		d := Next(Outcome{NotSent: true, Attempt: 1, TimeLeft: time.Second, Jitter: 0.5}, b)
		must.True(t, d.Retry)
		if d.Delay < maxDelay/2 {
			short++
		}
	}
	must.LessEq(t, 1000*earnedPerAttempt+maxTokens, float64(short))
}
