package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/stackspindle/stackspindle/internal/standin/faultproxy"
	"github.com/stackspindle/stackspindle/internal/standin/membergroup"
	"github.com/stackspindle/stackspindle/internal/standin/memstore"
)

// Bounds of the injected faults.
const (
	streams   = 3 // concurrent streams; each injects one fault after another
	minFault  = 100 * time.Millisecond
	maxFault  = 4 * time.Second
	maxPause  = time.Second // between two faults of one stream
	linkDelay = 150 * time.Millisecond
	storeWait = 300 * time.Millisecond // added latency of a slow store
	lostCalls = 5                      // answers that the store or a member loses in one fault
)

// fault is one kind of fault that the soak injects.
type fault struct {
	name    string
	planned bool
	// run injects the fault and undoes it after the given duration.
	run func(r *run, rnd *rand.Rand, last time.Duration)
}

// inject runs the streams of faults for Options.Faults and waits until all faults
// have ended.
func (r *run) inject(ctx context.Context) {
	var faults []fault
	for _, f := range allFaults {
		if f.planned || !r.opts.Planned {
			faults = append(faults, f)
		}
	}
	until := time.Now().Add(r.opts.Faults)
	var wg sync.WaitGroup
	for stream := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rnd := r.random(uint64(stream))
			for time.Now().Before(until) && ctx.Err() == nil {
				time.Sleep(rand.N(maxPause)) // timing is not reproducible, so it does not use the seed
				last := minFault + rand.N(maxFault-minFault)
				f := faults[rnd.IntN(len(faults))]
				r.note(f.name)
				f.run(r, rnd, last)
			}
		}()
	}
	wg.Wait()
}

// recordFault adds a fault to the report, with the time since the start.
func (r *run) note(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("%s %s", time.Since(r.started).Round(time.Millisecond), name))
}

// anInstance returns a fault that calls f for a random instance. It does nothing if
// another fault already affects that process.
func anInstance(f func(i *instance, last time.Duration)) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, rnd *rand.Rand, last time.Duration) {
		i := r.instances[rnd.IntN(len(r.instances))]
		if !i.busy.TryLock() {
			return
		}
		defer i.busy.Unlock()
		f(i, last)
	}
}

// proxied returns a fault that sets f on a proxy and clears it afterwards.
func proxied(pick func(r *run, rnd *rand.Rand) *faultproxy.Proxy, f faultproxy.Fault) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, rnd *rand.Rand, last time.Duration) {
		p := pick(r, rnd)
		p.Set(f)
		time.Sleep(last)
		p.Set(faultproxy.Fault{})
	}
}

// toStore returns the proxy between a random instance and the store.
func toStore(r *run, rnd *rand.Rand) *faultproxy.Proxy {
	return r.instances[rnd.IntN(len(r.instances))].store
}

// toInstance returns the proxy between a random instance and its peers.
func toInstance(r *run, rnd *rand.Rand) *faultproxy.Proxy {
	return r.instances[rnd.IntN(len(r.instances))].peers
}

// toMember returns the proxy before a random member.
func toMember(r *run, rnd *rand.Rand) *faultproxy.Proxy {
	g := r.groups[rnd.IntN(len(r.groups))]
	return g.proxies[g.ids[rnd.IntN(len(g.ids))]]
}

// aMember returns a fault that calls f for a member: in half of the cases the primary,
// otherwise a random member.
func aMember(f func(g *databaseGroup, id string, last time.Duration)) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, rnd *rand.Rand, last time.Duration) {
		g := r.groups[rnd.IntN(len(r.groups))]
		id := g.ids[rnd.IntN(len(g.ids))]
		if rnd.IntN(2) == 0 {
			id = g.members.Primary()
		}
		f(g, id, last)
	}
}

// reach returns a fault that changes the reachability of a member and restores it
// afterwards.
func reach(how membergroup.Reach) func(*run, *rand.Rand, time.Duration) {
	return aMember(func(g *databaseGroup, id string, last time.Duration) {
		g.members.SetReach(id, how)
		if how == membergroup.Dead {
			g.proxies[id].Set(faultproxy.Fault{RefuseNew: true})
			g.proxies[id].Reset()
		}
		time.Sleep(last)
		g.proxies[id].Set(faultproxy.Fault{})
		g.members.SetReach(id, membergroup.Open)
	})
}

// storeFault returns a fault that applies f to all calls to the store and clears it
// afterwards.
func storeFault(f memstore.Faults) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, _ *rand.Rand, last time.Duration) {
		r.platform.Set(f)
		time.Sleep(last)
		r.platform.Set(memstore.Faults{})
	}
}

var (
	cut    = faultproxy.Fault{HoldTo: true, HoldBack: true, HoldsOpens: true}
	oneWay = faultproxy.Fault{HoldBack: true}
	late   = faultproxy.Fault{Delay: linkDelay}
)

// resets returns a fault that resets the open connections of a proxy.
func resets(pick func(*run, *rand.Rand) *faultproxy.Proxy) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, rnd *rand.Rand, _ time.Duration) { pick(r, rnd).Reset() }
}

// silences returns a fault that stops all traffic on the open connections of a proxy
// without closing them.
func silences(pick func(*run, *rand.Rand) *faultproxy.Proxy) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, rnd *rand.Rand, _ time.Duration) { pick(r, rnd).SilenceOpen() }
}

// allFaults has all faults. They may occur at any time and overlap.
var allFaults = []fault{
	{"an instance is killed", false, anInstance(func(i *instance, last time.Duration) { i.kill(); time.Sleep(last); i.restart() })},
	{"an instance stands still", false, anInstance(func(i *instance, last time.Duration) {
		i.signal(syscall.SIGSTOP)
		time.Sleep(last)
		i.signal(syscall.SIGCONT)
	})},
	{"an instance is stopped and started", true, anInstance(func(i *instance, _ time.Duration) { i.stop(); i.restart() })},
	{"an instance reads its settings again", true, anInstance(func(i *instance, _ time.Duration) { i.signal(syscall.SIGHUP) })},
	{"all instances are killed", false, func(r *run, _ *rand.Rand, last time.Duration) {
		var killed []*instance
		for _, i := range r.instances {
			if i.busy.TryLock() {
				i.kill()
				killed = append(killed, i)
			}
		}
		time.Sleep(last / 4)
		for _, i := range killed {
			i.restart()
			i.busy.Unlock()
		}
	}},
	{"the store is cut off from an instance", false, proxied(toStore, cut)},
	{"the store is cut off from an instance one way", false, proxied(toStore, oneWay)},
	{"the store is far from an instance", false, proxied(toStore, late)},
	{"the store's connections to an instance are reset", false, resets(toStore)},
	{"the store's connections to an instance go silent", false, silences(toStore)},
	{"an instance is cut off from the others", false, proxied(toInstance, cut)},
	{"an instance is cut off from the others one way", false, proxied(toInstance, oneWay)},
	{"an instance is far from the others", false, proxied(toInstance, late)},
	{"connections between instances are reset", false, resets(toInstance)},
	{"connections between instances go silent", false, silences(toInstance)},
	{"a member is cut off", false, proxied(toMember, cut)},
	{"a member is cut off one way", false, proxied(toMember, oneWay)},
	{"a member is far", false, proxied(toMember, late)},
	{"connections to a member are reset", false, resets(toMember)},
	{"connections to a member go silent", false, silences(toMember)},
	{"a member crashes", false, reach(membergroup.Dead)},
	{"a member is silent", false, reach(membergroup.Silent)},
	{"a member receives nothing", false, aMember(func(g *databaseGroup, id string, last time.Duration) {
		g.members.SetLagging(id, true)
		time.Sleep(last)
		g.members.SetLagging(id, false)
	})},
	{"a member loses answers", false, aMember(func(g *databaseGroup, id string, _ time.Duration) { g.members.LoseAnswers(id, lostCalls) })},
	{"the store refuses all", false, storeFault(memstore.Faults{Refuse: true})},
	{"the store loses answers", false, storeFault(memstore.Faults{LoseWrites: lostCalls})},
	{"the store is slow", false, func(r *run, _ *rand.Rand, last time.Duration) {
		r.platform.SetSlow(storeWait)
		time.Sleep(last)
		r.platform.SetSlow(0)
	}},
	{"the store forgets its history", false, func(r *run, _ *rand.Rand, _ time.Duration) { r.store.Forget() }},
	{"the store ends all leases", false, func(r *run, _ *rand.Rand, _ time.Duration) { r.platform.EndLeases() }},
	{"the configuration changes", true, func(r *run, _ *rand.Rand, _ time.Duration) { r.putConfig() }},
	{"a member drains and comes back", true, func(r *run, rnd *rand.Rand, last time.Duration) {
		g := r.groups[rnd.IntN(len(r.groups))]
		id := g.members.Primary()
		r.putMember(g, id, "draining")
		time.Sleep(max(last, time.Second))
		r.putMember(g, id, "ready")
	}},
}
