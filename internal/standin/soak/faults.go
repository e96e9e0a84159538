package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/stackspindle/stackspindle/internal/standin/faultproxy"
	"github.com/stackspindle/stackspindle/internal/standin/membergroup"
	"github.com/stackspindle/stackspindle/internal/standin/memstore"
)

// Bounds of the injected faults.
const (
	faultStreams     = 3 // concurrent streams; each injects one fault after another
	minFaultDuration = 100 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	maxFaultPause    = time.Second            // between two faults of one stream
	linkDelay        = 150 * time.Millisecond // added latency of a distant store, peer or member, in each direction
	storeDelay       = 300 * time.Millisecond // added latency of a slow store
	lostAnswers      = 5                      // answers that the store or a member loses in one fault
)

// fault is one kind of fault that the soak injects.
type fault struct {
	name    string
	planned bool
	// inject injects the fault and undoes it after the given duration.
	inject func(r *run, rnd *rand.Rand, duration time.Duration)
}

// kinds returns the kinds of faults that the options allow.
func (o Options) kinds() []fault {
	var kinds []fault
	for _, f := range allFaults {
		if (f.planned || !o.Planned) && strings.Contains(f.name, o.Only) {
			kinds = append(kinds, f)
		}
	}
	return kinds
}

// inject runs the streams of faults for Options.Faults and waits until all faults
// have ended.
func (r *run) inject(ctx context.Context) {
	faults := r.opts.kinds()
	until := time.Now().Add(r.opts.Faults)
	var followUps []followUp
	for _, f := range allFollowUps {
		if f.planned || !r.opts.Planned {
			followUps = append(followUps, f)
		}
	}
	r.followUps.enable(followUps, r.random(followUpPart), until)
	var wg sync.WaitGroup
	for stream := range faultStreams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rnd := r.random(uint64(stream))
			for time.Now().Before(until) && ctx.Err() == nil {
				time.Sleep(rand.N(maxFaultPause)) // timing is not reproducible, so it does not use the seed
				duration := minFaultDuration + rand.N(maxFaultDuration-minFaultDuration)
				f := faults[rnd.IntN(len(faults))]
				r.recordFault(f.name)
				f.inject(r, rnd, duration)
			}
		}()
	}
	wg.Wait()
	r.followUps.wg.Wait()
}

// recordFault adds a fault to the report, with the time since the start.
func (r *run) recordFault(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("%s %s", time.Since(r.started).Round(time.Millisecond), name))
}

// onInstance returns a fault that calls f for a random instance. It does nothing if
// another fault already affects that process.
func onInstance(f func(i *instance, duration time.Duration)) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, rnd *rand.Rand, duration time.Duration) {
		i := r.instances[rnd.IntN(len(r.instances))]
		if !i.faultMu.TryLock() {
			return
		}
		defer i.faultMu.Unlock()
		f(i, duration)
	}
}

// onProxy returns a fault that sets f on a proxy and clears it afterwards.
func onProxy(pick func(r *run, rnd *rand.Rand) *faultproxy.Proxy, f faultproxy.Fault) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, rnd *rand.Rand, duration time.Duration) {
		p := pick(r, rnd)
		p.Set(f)
		time.Sleep(duration)
		p.Set(faultproxy.Fault{})
	}
}

// randomStoreProxy returns the proxy between a random instance and the store.
func randomStoreProxy(r *run, rnd *rand.Rand) *faultproxy.Proxy {
	return r.instances[rnd.IntN(len(r.instances))].storeProxy
}

// randomPeerProxy returns the proxy between a random instance and its peers.
func randomPeerProxy(r *run, rnd *rand.Rand) *faultproxy.Proxy {
	return r.instances[rnd.IntN(len(r.instances))].peerProxy
}

// randomMemberProxy returns the proxy before a random member.
func randomMemberProxy(r *run, rnd *rand.Rand) *faultproxy.Proxy {
	g := r.groups[rnd.IntN(len(r.groups))]
	return g.nodes[rnd.IntN(len(g.nodes))].proxy
}

// onMember returns a fault that calls f for a member: in half of the cases the primary,
// otherwise a random member.
func onMember(f func(r *run, n *node, duration time.Duration)) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, rnd *rand.Rand, duration time.Duration) {
		g := r.groups[rnd.IntN(len(r.groups))]
		n := g.nodes[rnd.IntN(len(g.nodes))]
		if rnd.IntN(2) == 0 {
			n = g.primary()
		}
		f(r, n, duration)
	}
}

// crash stops a member's process, and starts it again after the duration, in every second case under
// a new ID.
func crash(r *run, n *node, duration time.Duration) {
	id := n.memberID()
	n.group.members.SetReachability(id, membergroup.Down)
	n.proxy.Set(faultproxy.Fault{RefuseNew: true})
	n.proxy.Reset()
	r.happened(n.group)
	time.Sleep(duration)
	if rand.IntN(2) == 0 {
		n.startAs(r, id)
	}
	n.proxy.Set(faultproxy.Fault{})
	n.group.members.SetReachability(n.memberID(), membergroup.Reachable)
}

// startAs starts a member that is down under a new ID, unless another fault has done so.
func (n *node) startAs(r *run, oldID string) {
	n.mu.Lock()
	if n.id != oldID {
		n.mu.Unlock()
		return
	}
	n.starts++
	n.id = fmt.Sprintf("%s-start%d", strings.SplitN(oldID, "-start", 2)[0], n.starts)
	n.group.members.ReturnAs(oldID, n.id)
	n.server.SetID(n.id)
	n.mu.Unlock()
	r.store.Delete("servers/" + oldID)
	r.putMember(n, "ready")
}

// silence makes a member answer nothing for the duration.
func silence(_ *run, n *node, duration time.Duration) {
	id := n.memberID()
	n.group.members.SetReachability(id, membergroup.Unresponsive)
	time.Sleep(duration)
	n.group.members.SetReachability(id, membergroup.Reachable)
}

// lag stops replication to a member for the duration.
func lag(_ *run, n *node, duration time.Duration) {
	id := n.memberID()
	n.group.members.SetLagging(id, true)
	time.Sleep(duration)
	n.group.members.SetLagging(id, false)
	n.group.members.SetLagging(n.memberID(), false) // it may have started again under another ID
}

// drainMember makes a member say that it drains for the duration.
func drainMember(r *run, n *node, duration time.Duration) {
	r.putMember(n, "draining")
	r.happened(n.group)
	time.Sleep(max(duration, time.Second))
	r.putMember(n, "ready")
}

// storeFault returns a fault that applies f to all calls to the store and clears it
// afterwards.
func storeFault(f memstore.Faults) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, _ *rand.Rand, duration time.Duration) {
		r.platform.Set(f)
		time.Sleep(duration)
		r.platform.Set(memstore.Faults{})
	}
}

var (
	partition       = faultproxy.Fault{BlockToTarget: true, BlockFromTarget: true, StallNew: true}
	oneWayPartition = faultproxy.Fault{BlockFromTarget: true}
	highLatency     = faultproxy.Fault{Delay: linkDelay}
)

// resetConns returns a fault that resets the open connections of a proxy.
func resetConns(pick func(*run, *rand.Rand) *faultproxy.Proxy) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, rnd *rand.Rand, _ time.Duration) { pick(r, rnd).Reset() }
}

// freezeConns returns a fault that stops all traffic on the open connections of a proxy
// without closing them.
func freezeConns(pick func(*run, *rand.Rand) *faultproxy.Proxy) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, rnd *rand.Rand, _ time.Duration) { pick(r, rnd).FreezeOpenConns() }
}

// allFaults has all faults. They may occur at any time and overlap.
var allFaults = []fault{
	{"an instance is killed", false, onInstance(func(i *instance, duration time.Duration) { i.kill(); time.Sleep(duration); i.restart() })},
	{"an instance stands still", false, onInstance(func(i *instance, duration time.Duration) {
		i.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		i.signal(syscall.SIGCONT)
	})},
	{"an instance is stopped and started", true, onInstance(func(i *instance, _ time.Duration) { i.run.happened(nil); i.stop(); i.restart() })},
	{"an instance reads its settings again", true, onInstance(func(i *instance, _ time.Duration) { i.signal(syscall.SIGHUP) })},
	{"all instances are killed", false, func(r *run, _ *rand.Rand, duration time.Duration) {
		var killed []*instance
		for _, i := range r.instances {
			if i.faultMu.TryLock() {
				i.kill()
				killed = append(killed, i)
			}
		}
		time.Sleep(duration / 4)
		for _, i := range killed {
			i.restart()
			i.faultMu.Unlock()
		}
	}},
	{"the store is cut off from an instance", false, onProxy(randomStoreProxy, partition)},
	{"the store is cut off from an instance one way", false, onProxy(randomStoreProxy, oneWayPartition)},
	{"the store is far from an instance", false, onProxy(randomStoreProxy, highLatency)},
	{"the store's connections to an instance are reset", false, resetConns(randomStoreProxy)},
	{"the store's connections to an instance go silent", false, freezeConns(randomStoreProxy)},
	{"an instance is cut off from the others", false, onProxy(randomPeerProxy, partition)},
	{"an instance is cut off from the others one way", false, onProxy(randomPeerProxy, oneWayPartition)},
	{"an instance is far from the others", false, onProxy(randomPeerProxy, highLatency)},
	{"connections between instances are reset", false, resetConns(randomPeerProxy)},
	{"connections between instances go silent", false, freezeConns(randomPeerProxy)},
	{"a member is cut off", false, onProxy(randomMemberProxy, partition)},
	{"a member is cut off one way", false, onProxy(randomMemberProxy, oneWayPartition)},
	{"a member is far", false, onProxy(randomMemberProxy, highLatency)},
	{"connections to a member are reset", false, resetConns(randomMemberProxy)},
	{"connections to a member go silent", false, freezeConns(randomMemberProxy)},
	{"a member crashes", false, onMember(crash)},
	{"a member is silent", false, onMember(silence)},
	{"a member receives nothing", false, onMember(lag)},
	{"a member loses answers", false, onMember(func(_ *run, n *node, _ time.Duration) { n.group.members.LoseAnswers(n.memberID(), lostAnswers) })},
	{"the store refuses all", false, storeFault(memstore.Faults{Refuse: true})},
	{"the store loses answers", false, storeFault(memstore.Faults{LoseWrites: lostAnswers})},
	{"the store is slow", false, func(r *run, _ *rand.Rand, duration time.Duration) {
		r.platform.SetSlow(storeDelay)
		time.Sleep(duration)
		r.platform.SetSlow(0)
	}},
	{"the store forgets its history", false, func(r *run, _ *rand.Rand, _ time.Duration) { r.store.Compact() }},
	{"the store ends all leases", false, func(r *run, _ *rand.Rand, _ time.Duration) { r.platform.EndLeases() }},
	{"the configuration changes", true, func(r *run, rnd *rand.Rand, _ time.Duration) {
		r.putConfig(minStaleness + time.Duration(rnd.Int64N(int64(maxStaleness-minStaleness+1))))
	}},
	{"all replicas of a group lag", false, func(r *run, rnd *rand.Rand, duration time.Duration) {
		lagAll(r.groups[rnd.IntN(len(r.groups))], duration)
	}},
	{standstillFault, false, onInstance(standStillDuringChanges)},
	{"a primary drains and comes back", true, func(r *run, rnd *rand.Rand, duration time.Duration) {
		drainMember(r, r.groups[rnd.IntN(len(r.groups))].primary(), duration)
	}},
	{"a member drains and comes back", true, onMember(drainMember)},
}
