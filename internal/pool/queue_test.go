package pool

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// services is the number of services in TestQueueBoundsHold.
const services = 4

// For any sequence of requests and returned connections over time: no bound is exceeded, no
// request is granted after its deadline or twice, and no connection stays idle while a
// request that may use it is queued.
func TestQueueBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			Capacity: rapid.IntRange(1, 6).Draw(t, "capacity"),
			MaxQueue: rapid.IntRange(0, 5).Draw(t, "maxQueue"),
		}
		cfg.WriteReserve = rapid.IntRange(0, cfg.Capacity-1).Draw(t, "reserve")
		limits := rapid.SliceOfN(rapid.IntRange(0, 3), services, services).Draw(t, "limits")
		q := New(cfg)
		held, waiting := map[uint64]Request{}, map[uint64]Request{}
		var now time.Duration
		grant := func(r Request) {
			if _, twice := held[r.ID]; twice {
				t.Fatalf("request %d was granted twice", r.ID)
			}
			held[r.ID] = r
		}
		settle := func() {
			granted, expired := q.Next(now)
			for _, r := range expired {
				delete(waiting, r.ID)
			}
			for _, r := range granted {
				if r.Deadline <= now {
					t.Fatalf("request %d was granted after its deadline", r.ID)
				}
				delete(waiting, r.ID)
				grant(r)
			}
		}
		for id := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Millisecond
			if rapid.Bool().Draw(t, "return") && len(held) > 0 {
				for _, r := range held {
					delete(held, r.ID)
					q.Done(r, 10*time.Millisecond)
					break
				}
			} else {
				service := rapid.IntRange(0, services-1).Draw(t, "service")
				r := Request{
					ID:       id + 1,
					Service:  fmt.Sprint(service),
					Weight:   rapid.IntRange(1, 3).Draw(t, "weight"),
					Limit:    limits[service],
					Write:    rapid.Bool().Draw(t, "write"),
					Deadline: now + time.Duration(rapid.IntRange(0, 200).Draw(t, "left"))*time.Millisecond,
				}
				switch q.Offer(now, r) {
				case Granted:
					grant(r)
				case Queued:
					waiting[r.ID] = r
				}
			}
			settle()
			checkBounds(t, cfg, held, waiting)
		}
	})
}

func checkBounds(t *rapid.T, cfg Config, held, waiting map[uint64]Request) {
	reads, used := 0, map[string]int{}
	for _, r := range held {
		used[r.Service]++
		if !r.Write {
			reads++
		}
	}
	for _, r := range held {
		if r.Limit > 0 && used[r.Service] > r.Limit {
			t.Fatalf("service %s uses %d, its limit is %d", r.Service, used[r.Service], r.Limit)
		}
	}
	if len(held) > cfg.Capacity || reads > cfg.Capacity-cfg.WriteReserve {
		t.Fatalf("%d held, %d of them reads, with %+v", len(held), reads, cfg)
	}
	perService := map[string]int{}
	for _, r := range waiting {
		perService[r.Service]++
		free := len(held) < cfg.Capacity && (r.Write || reads < cfg.Capacity-cfg.WriteReserve) && (r.Limit == 0 || used[r.Service] < r.Limit)
		if free && firstOfService(waiting, r) {
			t.Fatalf("request %d waits although it may run", r.ID)
		}
	}
	for service, n := range perService {
		if n > cfg.MaxQueue {
			t.Fatalf("%d of service %s wait, %d may", n, service, cfg.MaxQueue)
		}
	}
}

func firstOfService(waiting map[uint64]Request, r Request) bool {
	for _, other := range waiting {
		if other.Service == r.Service && other.ID < r.ID {
			return false
		}
	}
	return true
}

// shares runs a saturated queue and returns how many grants each service got.
func shares(weights map[string]int, grants int) map[string]int {
	q := New(Config{Capacity: 4, MaxQueue: 100})
	got := map[string]int{}
	var running []Request
	id := uint64(0)
	offer := func(service string) {
		id++
		r := Request{ID: id, Service: service, Weight: weights[service], Deadline: time.Hour}
		if q.Offer(0, r) == Granted {
			running = append(running, r)
		}
	}
	for service := range weights {
		for range 50 {
			offer(service)
		}
	}
	for range grants {
		r := running[0]
		running = running[1:]
		q.Done(r, time.Microsecond)
		got[r.Service]++
		offer(r.Service)
		granted, _ := q.Next(0)
		running = append(running, granted...)
	}
	return got
}

// In a saturated queue each service is granted connections in proportion to its weight.
func TestServicesShareByWeight(t *testing.T) {
	got := shares(map[string]int{"a": 1, "b": 1, "c": 2}, 4000)
	must.Between(t, 900, got["a"], 1100)
	must.Between(t, 900, got["b"], 1100)
	must.Between(t, 1800, got["c"], 2200)
}

func TestRejectsOnArrivalWhenDeadlineWouldPass(t *testing.T) {
	q := New(Config{Capacity: 1, MaxQueue: 100})
	r := Request{ID: 1, Service: "a", Deadline: time.Second}
	must.Eq(t, Granted, q.Offer(0, r))
	q.Done(r, 100*time.Millisecond)
	must.Eq(t, Granted, q.Offer(0, r))
	outcomes := map[Outcome]int{}
	for id := range uint64(30) {
		outcomes[q.Offer(0, Request{ID: id + 2, Service: "a", Deadline: time.Second})]++
	}
	must.Eq(t, 10, outcomes[Queued], must.Sprint("ten requests of 100 ms fit into the second"))
	must.Eq(t, 20, outcomes[TooLate])
}

// Parked connections do not count towards MaxActive, so that further requests are granted,
// but do count towards the capacity.
func TestParkedConnectionsAreNotActive(t *testing.T) {
	q := New(Config{Capacity: 3, MaxQueue: 4, MaxActive: 1, KeepUntilDeadline: true})
	offer := func(id uint64) Outcome { return q.Offer(0, Request{ID: id, Service: "s", Deadline: time.Second}) }
	must.Eq(t, Granted, offer(1))
	must.Eq(t, Queued, offer(2))
	q.Park(Request{Service: "s"})
	granted, _ := q.Next(0)
	must.Len(t, 1, granted)
	q.Park(Request{Service: "s"})
	must.Eq(t, Granted, offer(3))
	q.Park(Request{Service: "s"})
	must.Eq(t, Queued, offer(4), must.Sprint("parked connections count towards the capacity"))
	q.Unpark(Request{Service: "s"})
	q.Done(Request{ID: 1, Service: "s"}, 0)
	granted, _ = q.Next(0)
	must.Len(t, 1, granted)
}

// With KeepUntilDeadline the queue keeps a request that it would otherwise reject on
// arrival because it is not expected to be granted in time.
func TestKeepUntilDeadline(t *testing.T) {
	for _, keep := range []bool{false, true} {
		q := New(Config{Capacity: 1, MaxQueue: 4, KeepUntilDeadline: keep})
		must.Eq(t, Granted, q.Offer(0, Request{ID: 1, Service: "s", Deadline: time.Second}))
		q.Done(Request{ID: 1, Service: "s"}, time.Second)
		must.Eq(t, Granted, q.Offer(0, Request{ID: 2, Service: "s", Deadline: time.Second}))
		want := TooLate
		if keep {
			want = Queued
		}
		must.Eq(t, want, q.Offer(0, Request{ID: 3, Service: "s", Deadline: time.Millisecond}))
		must.Eq(t, TooLate, q.Offer(0, Request{ID: 4, Service: "s", Deadline: 0}), must.Sprint("the deadline has passed on arrival"))
	}
}

// A pause blocks flexible requests of its priority and lower ones until its end. It blocks
// neither higher priorities nor requests that only this member can run.
func TestPauseHoldsFlexibleRequestsOfLowerPriority(t *testing.T) {
	q := New(Config{Capacity: 6, MaxQueue: 4, KeepUntilDeadline: true})
	request := func(id uint64, level int) Request {
		return Request{ID: id, Service: fmt.Sprint(level), Priority: level, Flexible: true, Deadline: time.Hour}
	}
	must.Eq(t, Granted, q.Offer(0, request(1, 2)))
	q.Pause(2, 10)
	must.Eq(t, Granted, q.Offer(1, request(2, 1)))
	must.Eq(t, Queued, q.Offer(2, request(3, 2)))
	must.Eq(t, Queued, q.Offer(2, request(4, 3)))
	must.Eq(t, Granted, q.Offer(2, Request{ID: 5, Priority: 3, Deadline: time.Hour}))
	granted, _ := q.Next(9)
	must.SliceEmpty(t, granted)
	granted, _ = q.Next(10)
	must.Len(t, 2, granted)
}
