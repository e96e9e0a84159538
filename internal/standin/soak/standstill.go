package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/stackspindle/stackspindle/internal/standin/faultproxy"
	"github.com/stackspindle/stackspindle/internal/standin/membergroup"
)

// Bounds of a standstill during which primaries change. A change waits until the grant of an instance
// that does not answer has lapsed. Such an instance may use the old primary, verified, for some time
// afterwards; the standstill ends within that time.
const (
	maxChangeWait       = 7 * time.Second // for the changes of primary
	maxStandstillBeyond = 4 * time.Second // after them
	maxStandstill       = maxChangeWait + maxStandstillBeyond
	minLongLag          = 3 * time.Second // of replicas that lag
	maxLongLag          = 6 * time.Second
	slowStoreAfter      = 1500 * time.Millisecond // how long the store is far from the instance afterwards
)

// standstillFault is the name of the fault that standStillDuringChanges injects.
const standstillFault = "an instance stands still while primaries change"

// longLag returns a random replication lag above the staleness bounds.
func longLag() time.Duration { return minLongLag + rand.N(maxLongLag-minLongLag) }

// lagAll makes all replicas of a group lag for the duration.
func lagAll(g *databaseGroup, duration time.Duration) {
	g.members.SetLag(longLag())
	time.Sleep(duration)
	g.members.SetLag(replicaLag)
}

// standStillDuringChanges stops an instance's process while the primaries of some groups are replaced
// and their replicas lag. The old primaries can be reached again when the process goes on.
func standStillDuringChanges(i *instance, _ time.Duration) {
	r := i.run
	if !r.standstill.TryLock() {
		return // the instances that go on have to be a quorum
	}
	defer r.standstill.Unlock()
	i.signal(syscall.SIGSTOP)
	var changes sync.WaitGroup
	var restores []func()
	for _, g := range r.groups {
		if rand.IntN(4) == 0 {
			continue
		}
		g.members.SetLag(longLag())
		old := g.primary()
		restores = append(restores, disablePrimary(r, old))
		changes.Go(func() { awaitReplacement(old) })
	}
	changes.Wait()
	time.Sleep(rand.N(maxStandstillBeyond))
	if rand.IntN(2) == 0 {
		i.storeProxy.Set(highLatency)
	}
	for _, restore := range restores {
		restore()
	}
	i.signal(syscall.SIGCONT)
	time.Sleep(slowStoreAfter)
	i.storeProxy.Set(faultproxy.Fault{})
	for _, g := range r.groups {
		g.members.SetLag(replicaLag)
	}
}

// disablePrimary makes a primary drain or silent, and returns what undoes that.
func disablePrimary(r *run, n *node) (restore func()) {
	if rand.IntN(2) == 0 {
		r.putMember(n, "draining")
		return func() { r.putMember(n, "ready") }
	}
	id := n.memberID()
	n.group.members.SetReachability(id, membergroup.Unresponsive)
	return func() { n.group.members.SetReachability(id, membergroup.Reachable) }
}

// awaitReplacement waits until a member is not the primary any more, for maxChangeWait at most.
func awaitReplacement(n *node) {
	for until := time.Now().Add(maxChangeWait); n.group.primary() == n && time.Now().Before(until); {
		time.Sleep(clientPause)
	}
}
