package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/stackspindle/stackspindle/internal/account"
)

func visit(name string) Visit {
	return Visit{Account: name, Limit: account.Limit{Rate: 10, Burst: 10}, Horizon: time.Minute}
}

func admitted(d *Door, now time.Duration, v Visit) bool {
	_, ok := d.Admit(now, v)
	return ok
}

// shutDoor returns a cache in which an account was recorded as rejected at one second.
func shutDoor(v Visit, empty time.Duration) *Door {
	d := NewDoor()
	d.Refused(0, time.Second, v, empty)
	return d
}

// While an account has no tokens its operations are rejected. Then a single operation is
// admitted, and all others once it got a token.
func TestDoorPassesOneAtTheEnd(t *testing.T) {
	v, other := visit("a"), visit("b")
	const empty = 100 * time.Millisecond
	d := shutDoor(v, empty)
	must.False(t, admitted(d, time.Second+empty-1, v))
	must.True(t, admitted(d, time.Second, other))
	end := time.Second + empty
	d = shutDoor(v, empty)
	must.False(t, admitted(d, end, v), must.Sprint("reserved for the retry of the rejected client"))
	end += empty / 2
	must.True(t, admitted(d, end, v))
	must.False(t, admitted(d, end, v))
	must.False(t, admitted(d, end+1, v))
	d.Ran(end, v)
	must.True(t, admitted(d, end+2, v))
	must.True(t, admitted(d, end+2, v))
}

// The operations of an account that stays above its limit are admitted at growing intervals.
func TestDoorSlowsDown(t *testing.T) {
	v := visit("a")
	d := NewDoor()
	passed := 0
	const pause, length = 10 * time.Millisecond, 20 * time.Second
	for now := time.Second; now < time.Second+length; now += pause {
		if admitted(d, now, v) {
			passed++
			d.Refused(now, now, v, time.Millisecond)
		}
	}
	must.LessEq(t, int(length/maxShut)+10, passed)
	must.GreaterEq(t, int(float64(length/maxShut)/(1+turnShare)), passed)
}

// A rejection with an implausible time without tokens is ignored, as is one of an account
// without a limit: operations stay admitted.
func TestDoorIgnoresWhatCannotBe(t *testing.T) {
	v := visit("a")
	for _, empty := range []time.Duration{0, -1, -1 << 63, maxLife + 1, 1<<63 - 1} {
		d := NewDoor()
		must.Zero(t, d.Refused(0, time.Second, v, empty))
		must.True(t, admitted(d, time.Second, v))
	}
	v.Limit.Unlimited = true
	must.True(t, admitted(shutDoor(visit("a"), time.Second), time.Second, v))
}

// The cache holds a bounded number of accounts, and drops those that were not rejected
// recently to make room for others.
func TestDoorRemembersFewAccounts(t *testing.T) {
	d := NewDoor()
	for n := range 2 * doorAccounts {
		d.Refused(0, time.Second, visit(fmt.Sprint("account-", n)), time.Second)
	}
	must.MapLen(t, doorAccounts, d.accounts)
	later := time.Second + doorMemory + 1
	d.Refused(later, later, visit("late"), time.Second)
	must.False(t, admitted(d, later, visit("late")))
}

// Rejected clients are advised successive retry times, and a client that retries as advised
// has precedence over a new one.
func TestDoorServesCallersInTurn(t *testing.T) {
	v := visit("a")
	const empty = 100 * time.Millisecond
	d := NewDoor()
	now := time.Second
	last := d.Refused(0, now, v, empty)
	must.Eq(t, empty, last)
	for range 5 {
		comeBack, ok := d.Admit(now, v)
		must.False(t, ok)
		must.Eq(t, last+empty, comeBack)
		last = comeBack
	}
	now += empty
	must.False(t, admitted(d, now, v))
	returning := v
	returning.Returning = true
	must.True(t, admitted(d, now, returning))
	v.Horizon = empty
	comeBack, ok := d.Admit(now, v)
	must.False(t, ok)
	must.Eq(t, empty, comeBack)
}

// For any sequence of operations and carrier rejections: after the last carrier rejection
// an account is rejected for no longer than twice maxShut, even if the only operation
// admitted since is lost, and each rejection advises a retry delay.
func TestDoorNeverStaysShut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDoor()
		v := visit("a")
		v.Limit.Rate = rapid.SampledFrom([]float64{0, 0.1, 3, 1000}).Draw(t, "rate")
		v.Horizon = rapid.SampledFrom([]time.Duration{0, time.Millisecond, time.Minute}).Draw(t, "horizon")
		now, told := time.Second, time.Second
		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(2*maxShut)).Draw(t, "pause"))
			sent := now - time.Duration(rapid.Int64Range(0, int64(maxShut)).Draw(t, "ago"))
			v.Returning = rapid.Bool().Draw(t, "returning")
			switch rapid.SampledFrom([]string{"ask", "refused", "ran"}).Draw(t, "what") {
			case "ask":
				if comeBack, ok := d.Admit(now, v); !ok {
					must.Positive(t, comeBack)
				}
			case "refused":
				d.Refused(sent, now, v, time.Duration(rapid.Int64().Draw(t, "empty")))
				told = now
			case "ran":
				d.Ran(sent, v)
			}
		}
		v.Returning = false
		must.True(t, admitted(d, told+2*maxShut, v))
		must.True(t, admitted(d, told+2*maxShut, v))
	})
}

// fleetDoors simulates clients of one account at many ingress instances, each with its own
// cache, in front of a single token bucket. It returns how many operations ran and how many
// were admitted.
func fleetDoors(entries int, rate float64, pause, length time.Duration) (ran, passed int) {
	doors := make([]*Door, entries)
	for i := range doors {
		doors[i] = NewDoor()
	}
	v := Visit{Account: "a", Limit: account.Limit{Rate: rate, Burst: rate}, Horizon: time.Second}
	tokens, step := 0.0, pause/time.Duration(entries)
	for now, n := time.Second, 0; now < time.Second+length; now, n = now+step, n+1 {
		tokens = min(tokens+rate*step.Seconds(), holdersPerAccount)
		door := doors[n%entries]
		if !admitted(door, now, v) {
			continue
		}
		passed++
		if tokens >= 1 {
			tokens--
			ran++
			door.Ran(now, v)
		} else {
			door.Refused(now, now, v, max(emptyPause, seconds((1-tokens)/rate)))
		}
	}
	return ran, passed
}

// An account that demands slightly more than its limit, or ten times as much, through many
// ingress instances gets its limit. The operations that are forwarded in vain are bounded
// by the number of ingress instances, not by the demand.
func TestDoorsTogetherGiveTheLimit(t *testing.T) {
	const length = 20 * time.Second
	for _, entries := range []int{1, 8, 80} {
		for _, rate := range []float64{3, 20, 100} {
			for _, demand := range []float64{1.1, 1.5, 10} {
				pause := seconds(float64(entries) / (demand * rate))
				ran, passed := fleetDoors(entries, rate, pause, length)
				at := must.Sprintf("%d ingress instances, rate %v, demand %v: %d ran, %d admitted", entries, rate, demand, ran, passed)
				must.GreaterEq(t, 0.95*rate*length.Seconds(), float64(ran), at)
				most := 4*rate*length.Seconds() + 2*float64(entries)*length.Seconds()
				must.LessEq(t, most, float64(passed), at)
			}
		}
	}
}

func BenchmarkDoor(b *testing.B) {
	for _, accounts := range []int{1, doorAccounts} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			d := NewDoor()
			for n := range accounts {
				d.Refused(0, time.Second, visit(fmt.Sprint("account-", n)), time.Second)
			}
			v := visit("account-0")
			b.ReportAllocs()
			for b.Loop() {
				d.Admit(time.Second, v)
			}
		})
	}
}
