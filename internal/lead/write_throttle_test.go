package lead

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/kv"
)

// When hundreds of groups have no leader, an instance has only maxConcurrentWrites writes in
// flight.
func TestConcurrentWritesAreLimited(t *testing.T) {
	var w writeThrottle
	for range maxConcurrentWrites {
		must.True(t, w.tryBegin(0))
	}
	must.False(t, w.tryBegin(0))
	w.end(0, 0, nil)
	must.True(t, w.tryBegin(0))
}

// When the store refuses calls, concurrent refused writes extend the backoff once, each
// further refusal doubles it, and a write that is not refused resets it.
func TestRefusedWritesBackOff(t *testing.T) {
	var w writeThrottle
	refused := fmt.Errorf("txn: %w", kv.ErrUnavailable)
	now := time.Duration(0)
	for _, pause := range []time.Duration{100, 200, 400, 800, 1600, 1600} {
		for range 5 {
			must.True(t, w.tryBegin(now))
		}
		for range 5 {
			w.end(now, now, refused)
		}
		must.False(t, w.tryBegin(now+pause*time.Millisecond-1))
		must.True(t, w.isBlocked(now+pause*time.Millisecond-1))
		now += pause * time.Millisecond
		must.False(t, w.isBlocked(now))
	}
	for _, err := range []error{nil, &kv.ConflictError{}, errors.New("no answer")} {
		must.True(t, w.tryBegin(now))
		w.end(now, now, err)
		must.True(t, w.tryBegin(now), must.Sprint(err))
		w.end(now, now, refused)
		must.False(t, w.tryBegin(now+minWriteBackoff-1))
		now += minWriteBackoff
	}
}
