package quota

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stackspindle/stackspindle/internal/account"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.nofailfile": "true", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// removedAfter is the time without a heartbeat after which an instance's registration is
// removed: 31.75 s after the expiry of its lease (package lead), on a clock that is 1% fast.
const removedAfter = 31430 * time.Millisecond

// world simulates a fleet with one account. Its times are true time unless stated otherwise.
type world struct {
	t          *rapid.T
	rules      Rules
	limit      account.Limit
	now        time.Duration
	instances  []*instance
	operations []time.Duration // times of the operations, in order
}

// instance is a simulated instance. Each of its processes has a clock that starts at 0.
type instance struct {
	name            string
	registered      bool // in the store
	settled         bool // in the store
	alive           bool // in the store: its lease is valid
	lastAlive       time.Duration
	up, partitioned bool // the process runs; it cannot reach the store

	rate         float64 // speed of the process's clock relative to true time
	started      time.Duration
	buckets      *Buckets
	confirmed    time.Duration // time of the store snapshot, on the process's clock
	registeredAt time.Duration // time of the first registration, on the process's clock; -1: none yet
	snapshot     []string      // the registered instances in the snapshot
	tokens       []heldTokens
}

// heldTokens are tokens held by an instance, with their expiry on its clock.
type heldTokens struct {
	n       int
	expires time.Duration
}

func (n *instance) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-n.started) * n.rate)
}

func (w *world) registered() []string {
	var names []string
	for _, n := range w.instances {
		if n.registered {
			names = append(names, n.name)
		}
	}
	return names
}

func (w *world) start(n *instance) {
	n.up, n.started = true, w.now
	n.rate = rapid.SampledFrom([]float64{0.995, 1, 1.005}).Draw(w.t, "clock")
	n.buckets, n.tokens, n.snapshot = NewBuckets(n.name, w.rules), nil, nil
	n.confirmed = -time.Hour
	if n.settled {
		n.buckets.SetSettledAt(0)
	}
	n.registeredAt = -1
}

// sync lets an instance write its registration and heartbeat to the store and read a
// snapshot.
func (w *world) sync(n *instance) {
	if !n.up || n.partitioned {
		return
	}
	local := n.clock(w.now)
	if !n.registered || n.registeredAt < 0 {
		n.registeredAt = local
		if !n.settled {
			n.buckets.SetSettledAt(local + SettleAfter)
		}
	}
	n.registered, n.alive, n.lastAlive = true, true, w.now
	if !n.settled && local >= n.registeredAt+SettleAfter {
		n.settled = true
	}
	if names := w.registered(); !slices.Equal(names, n.snapshot) {
		n.snapshot = names
		n.buckets.SetHolders(local, NewHolders(names))
	}
	n.confirmed = local
}

// advance advances the time. Leases expire 3 s after the last heartbeat, and registrations
// are removed after removedAfter.
func (w *world) advance(d time.Duration) {
	w.now += d
	for _, n := range w.instances {
		if n.alive && w.now-n.lastAlive > 3*time.Second {
			n.alive = false
		}
		if n.registered && w.now-n.lastAlive > removedAfter {
			n.registered, n.settled = false, false
		}
	}
}

// reserve lets one instance request tokens from another, with a random latency each way.
func (w *world) reserve(from, holder *instance) {
	if !from.up || !holder.up {
		return
	}
	sent := from.clock(w.now)
	w.advance(rapid.SampledFrom([]time.Duration{0, time.Millisecond, 150 * time.Millisecond}).Draw(w.t, "latency"))
	g := holder.buckets.Reserve(holder.clock(w.now), holder.confirmed, "a", w.limit, rapid.SampledFrom([]int{1, 5, 1000}).Draw(w.t, "wanted"))
	w.advance(rapid.SampledFrom([]time.Duration{0, time.Millisecond, 150 * time.Millisecond}).Draw(w.t, "return latency"))
	if g.Tokens > 0 {
		from.tokens = append(from.tokens, heldTokens{n: g.Tokens, expires: sent + time.Duration(float64(g.Lifetime)*(1-drift))})
	}
}

// surgeLength is longer than a window plus the lifetime of a token.
const surgeLength = 9 * time.Second

// surge lets an instance repeatedly fetch and use all tokens that all instances grant.
func (w *world) surge(n *instance) {
	const pause = 250 * time.Millisecond
	for range surgeLength / pause {
		for _, holder := range w.instances {
			if !n.up || !holder.up {
				continue
			}
			g := holder.buckets.Reserve(holder.clock(w.now), holder.confirmed, "a", w.limit, 1000)
			for range g.Tokens {
				w.operations = append(w.operations, w.now)
			}
		}
		w.advance(pause)
	}
}

// spend lets an instance use all of its unexpired tokens.
func (w *world) spend(n *instance) {
	if !n.up {
		return
	}
	for _, h := range n.tokens {
		if n.clock(w.now) < h.expires {
			for range h.n {
				w.operations = append(w.operations, w.now)
			}
		}
	}
	n.tokens = nil
}

func (w *world) check() {
	allowed := (w.limit.Rate*w.rules.Window.Seconds()+w.limit.Burst)*(1+w.rules.Tolerance) + w.rules.Slack
	first := 0
	for last := range w.operations {
		for w.operations[last]-w.operations[first] > w.rules.Window {
			first++
		}
		if n := float64(last - first + 1); n > allowed {
			w.t.Fatalf("%v operations in the window that ends at %s, %v are allowed", n, w.operations[last], allowed)
		}
	}
}

// TestNoWindowExceedsTheLimit takes a fleet through random partitions, restarts, joins and
// removals, with clients that use every token available, and checks the number of
// operations in every window.
func TestNoWindowExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, rules: Rules{Window: 5 * time.Second, Tolerance: 0.1, Slack: 20}}
		rate := rapid.SampledFrom([]float64{0.5, 3, 20, 112}).Draw(t, "rate")
		w.limit = account.Limit{Rate: rate, Burst: rate * rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "burst")}
		for n := range rapid.SampledFrom([]int{1, 4, 9}).Draw(t, "first") {
			w.instances = append(w.instances, &instance{name: fmt.Sprint("n", n), settled: true, registered: true})
		}
		for _, n := range w.instances {
			w.start(n)
		}
		for _, n := range w.instances {
			w.sync(n)
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			w.step()
		}
		w.check()
	})
}

func (w *world) step() {
	n := rapid.SampledFrom(w.instances).Draw(w.t, "instance")
	switch rapid.SampledFrom([]string{"greed", "greed", "surge", "advance", "leap", "sync", "sync", "cut", "kill", "restart", "join"}).Draw(w.t, "event") {
	case "greed": // an instance fetches tokens from all, and uses them at once or later
		for _, holder := range w.instances {
			w.reserve(n, holder)
		}
		if rapid.Bool().Draw(w.t, "late") {
			w.advance(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second}).Draw(w.t, "for"))
		}
		w.spend(n)
	case "surge": // an instance uses all tokens of all instances for longer than a window
		w.surge(n)
	case "advance":
		w.advance(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second}).Draw(w.t, "for"))
	case "leap": // longer than snapshots stay valid and registrations last, while the instances that reach the store sync
		for range 8 {
			w.advance(4 * time.Second)
			for _, other := range w.instances {
				w.sync(other)
			}
		}
	case "sync":
		w.sync(n)
	case "cut":
		n.partitioned = !n.partitioned
	case "kill":
		n.up = false
	case "restart":
		w.start(n)
		n.partitioned = false
		w.sync(n)
	case "join":
		if len(w.instances) < 14 {
			joined := &instance{name: fmt.Sprint("n", len(w.instances))}
			w.instances = append(w.instances, joined)
			w.start(joined)
			w.sync(joined)
		}
	}
}
