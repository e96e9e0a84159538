package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/stackspindle/stackspindle/internal/account"
)

func operationOf(name string) Operation {
	return Operation{Account: name, Limit: account.Limit{Rate: 10, Burst: 10}, MaxDelay: time.Minute}
}

func admitted(c *RejectionCache, now time.Duration, op Operation) bool {
	_, ok := c.Admit(now, op)
	return ok
}

// rejectingCache returns a cache in which an account was recorded as rejected at one second.
func rejectingCache(op Operation, empty time.Duration) *RejectionCache {
	c := NewRejectionCache()
	c.RecordRejection(0, time.Second, op, empty)
	return c
}

// While an account has no tokens its operations are rejected. Then a single operation is
// admitted, and all others once it got a token.
func TestRejectionCacheAdmitsOneOperationAfterRejection(t *testing.T) {
	op, other := operationOf("a"), operationOf("b")
	const empty = 100 * time.Millisecond
	c := rejectingCache(op, empty)
	must.False(t, admitted(c, time.Second+empty-1, op))
	must.True(t, admitted(c, time.Second, other))
	end := time.Second + empty
	c = rejectingCache(op, empty)
	must.False(t, admitted(c, end, op), must.Sprint("reserved for the retry of the rejected client"))
	end += empty / 2
	must.True(t, admitted(c, end, op))
	must.False(t, admitted(c, end, op))
	must.False(t, admitted(c, end+1, op))
	c.RecordSuccess(end, op)
	must.True(t, admitted(c, end+2, op))
	must.True(t, admitted(c, end+2, op))
}

// The operations of an account that stays above its limit are admitted at growing intervals.
func TestRejectionCacheBacksOff(t *testing.T) {
	op := operationOf("a")
	c := NewRejectionCache()
	numAdmitted := 0
	const pause, length = 10 * time.Millisecond, 20 * time.Second
	for now := time.Second; now < time.Second+length; now += pause {
		if admitted(c, now, op) {
			numAdmitted++
			c.RecordRejection(now, now, op, time.Millisecond)
		}
	}
	must.LessEq(t, int(length/maxRejection)+10, numAdmitted)
	must.GreaterEq(t, int(float64(length/maxRejection)/(1+retryPrecedence)), numAdmitted)
}

// A rejection with an implausible time without tokens is ignored, as is one of an account
// without a limit: operations stay admitted.
func TestRejectionCacheIgnoresImplausibleRejections(t *testing.T) {
	op := operationOf("a")
	for _, empty := range []time.Duration{0, -1, -1 << 63, maxLifetime + 1, 1<<63 - 1} {
		c := NewRejectionCache()
		must.Zero(t, c.RecordRejection(0, time.Second, op, empty))
		must.True(t, admitted(c, time.Second, op))
	}
	op.Limit.Unlimited = true
	must.True(t, admitted(rejectingCache(operationOf("a"), time.Second), time.Second, op))
}

// The cache holds a bounded number of accounts, and drops those that were not rejected
// recently to make space for others.
func TestRejectionCacheIsBounded(t *testing.T) {
	c := NewRejectionCache()
	for n := range 2 * maxCachedAccounts {
		c.RecordRejection(0, time.Second, operationOf(fmt.Sprint("account-", n)), time.Second)
	}
	must.MapLen(t, maxCachedAccounts, c.accounts)
	later := time.Second + rejectionMemory + 1
	c.RecordRejection(later, later, operationOf("late"), time.Second)
	must.False(t, admitted(c, later, operationOf("late")))
}

// Rejected clients are advised successive retry times, and a client that retries as advised
// has precedence over a new one.
func TestRejectionCacheAdvisesSuccessiveRetries(t *testing.T) {
	op := operationOf("a")
	const empty = 100 * time.Millisecond
	c := NewRejectionCache()
	now := time.Second
	last := c.RecordRejection(0, now, op, empty)
	must.Eq(t, empty, last)
	for range 5 {
		delay, ok := c.Admit(now, op)
		must.False(t, ok)
		must.Eq(t, last+empty, delay)
		last = delay
	}
	now += empty
	must.False(t, admitted(c, now, op))
	retry := op
	retry.IsRetry = true
	must.True(t, admitted(c, now, retry))
	op.MaxDelay = empty
	delay, ok := c.Admit(now, op)
	must.False(t, ok)
	must.Eq(t, empty, delay)
}

// For any sequence of operations and carrier rejections: after the last carrier rejection
// an account is rejected for no longer than twice maxRejection, even if the only operation
// admitted since is lost, and each rejection advises a retry delay.
func TestRejectionCacheStopsRejecting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewRejectionCache()
		op := operationOf("a")
		op.Limit.Rate = rapid.SampledFrom([]float64{0, 0.1, 3, 1000}).Draw(t, "rate")
		op.MaxDelay = rapid.SampledFrom([]time.Duration{0, time.Millisecond, time.Minute}).Draw(t, "maxDelay")
		now, lastRejection := time.Second, time.Second
		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(2*maxRejection)).Draw(t, "pause"))
			sent := now - time.Duration(rapid.Int64Range(0, int64(maxRejection)).Draw(t, "ago"))
			op.IsRetry = rapid.Bool().Draw(t, "isRetry")
			switch rapid.SampledFrom([]string{"admit", "rejection", "success"}).Draw(t, "event") {
			case "admit":
				if delay, ok := c.Admit(now, op); !ok {
					must.Positive(t, delay)
				}
			case "rejection":
				c.RecordRejection(sent, now, op, time.Duration(rapid.Int64().Draw(t, "empty")))
				lastRejection = now
			case "success":
				c.RecordSuccess(sent, op)
			}
		}
		op.IsRetry = false
		must.True(t, admitted(c, lastRejection+2*maxRejection, op))
		must.True(t, admitted(c, lastRejection+2*maxRejection, op))
	})
}

// simulateIngress simulates clients of one account at many ingress instances, each with its own
// cache, in front of a single token bucket. It returns how many operations ran and how many
// were admitted.
func simulateIngress(ingress int, rate float64, pause, length time.Duration) (ran, numAdmitted int) {
	caches := make([]*RejectionCache, ingress)
	for i := range caches {
		caches[i] = NewRejectionCache()
	}
	op := Operation{Account: "a", Limit: account.Limit{Rate: rate, Burst: rate}, MaxDelay: time.Second}
	tokens, step := 0.0, pause/time.Duration(ingress)
	for now, n := time.Second, 0; now < time.Second+length; now, n = now+step, n+1 {
		tokens = min(tokens+rate*step.Seconds(), holdersPerAccount)
		cache := caches[n%ingress]
		if !admitted(cache, now, op) {
			continue
		}
		numAdmitted++
		if tokens >= 1 {
			tokens--
			ran++
			cache.RecordSuccess(now, op)
		} else {
			cache.RecordRejection(now, now, op, max(minEmptyPause, seconds((1-tokens)/rate)))
		}
	}
	return ran, numAdmitted
}

// An account that demands slightly more than its limit, or ten times as much, through many
// ingress instances gets its limit. The operations that are forwarded in vain are bounded
// by the number of ingress instances, not by the demand.
func TestIngressInstancesTogetherGrantTheLimit(t *testing.T) {
	const length = 20 * time.Second
	for _, ingress := range []int{1, 8, 80} {
		for _, rate := range []float64{3, 20, 100} {
			for _, demand := range []float64{1.1, 1.5, 10} {
				pause := seconds(float64(ingress) / (demand * rate))
				ran, numAdmitted := simulateIngress(ingress, rate, pause, length)
				at := must.Sprintf("%d ingress instances, rate %v, demand %v: %d ran, %d admitted", ingress, rate, demand, ran, numAdmitted)
				must.GreaterEq(t, 0.95*rate*length.Seconds(), float64(ran), at)
				maxAdmitted := 4*rate*length.Seconds() + 2*float64(ingress)*length.Seconds()
				must.LessEq(t, maxAdmitted, float64(numAdmitted), at)
			}
		}
	}
}

func BenchmarkRejectionCache(b *testing.B) {
	for _, accounts := range []int{1, maxCachedAccounts} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			c := NewRejectionCache()
			for n := range accounts {
				c.RecordRejection(0, time.Second, operationOf(fmt.Sprint("account-", n)), time.Second)
			}
			op := operationOf("account-0")
			b.ReportAllocs()
			for b.Loop() {
				c.Admit(time.Second, op)
			}
		})
	}
}
