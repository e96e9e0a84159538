package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/feed"
	"github.com/stackspindle/stackspindle/internal/kv"
	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/placement"
	"github.com/stackspindle/stackspindle/internal/standin/membergroup"
	"github.com/stackspindle/stackspindle/internal/standin/memstore"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// simulatedFleet simulates the store of a fleet whose number of groups grows with its number of
// instances, and one instance of the fleet that applies the store's updates.
type simulatedFleet struct {
	inst      *Instance
	state     *topology.State
	revision  int64
	instances int
	groups    int
}

// newSimulatedFleet returns the fleet with an empty store.
func newSimulatedFleet(tb testing.TB, instances int) *simulatedFleet {
	tb.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	inst, err := New(Settings{
		Name: "instance-0", DataCentre: "dc0", LeaseTTL: 3 * time.Second, StoreSilence: 4 * time.Second, MaxClients: 100,
	}, Platform{Store: memstore.New().Client(), Decoder: jsonDecoder{}}, log)
	must.NoError(tb, err)
	tb.Cleanup(inst.close)
	return &simulatedFleet{inst: inst, state: topology.New(memberGrace, departedMemory), instances: instances, groups: instances}
}

// capacityOf returns the capacity of an instance; one in twenty is strong.
func capacityOf(n int) placement.Capacity {
	if n%20 == 0 {
		return placement.Capacity{Cores: 1.6, LinkMbps: 1000}
	}
	return placement.Capacity{Cores: 0.2, LinkMbps: 20}
}

// apply applies updates and runs a tick of the controller.
func (f *simulatedFleet) apply(events ...kv.Event) {
	c := change{Update: feed.Update{Events: events, Revision: f.revision}, applied: make(chan struct{})}
	f.inst.applyChange(f.state, c)
	f.inst.controller.Tick(context.Background())
}

// put returns the event of a key's new value.
func (f *simulatedFleet) put(tb testing.TB, key string, value any) kv.Event {
	tb.Helper()
	f.revision++
	raw, ok := value.([]byte)
	if !ok {
		var err error
		raw, err = json.Marshal(value)
		must.NoError(tb, err)
	}
	return kv.Event{Item: kv.Item{Key: key, Value: raw, Revision: f.revision}}
}

// start applies all that a start of the fleet writes to the store, in batches of the entries of
// batch instances, members or groups.
func (f *simulatedFleet) start(tb testing.TB, batch int) {
	tb.Helper()
	f.apply(f.put(tb, "config", f.config(1)))
	var events []kv.Event
	flush := func(minEvents int) {
		if len(events) >= minEvents && len(events) > 0 {
			f.apply(events...)
			events = nil
		}
	}
	for i := range f.instances {
		name := fmt.Sprintf("instance-%d", i)
		entry := lead.Instance{Name: name, DataCentre: fmt.Sprintf("dc%d", i%5), Incarnation: name, Address: name, Capacity: capacityOf(i)}
		events = append(events, f.put(tb, "stackspindle/instances/"+name, entry), f.put(tb, "stackspindle/alive/"+name, []byte(name)))
		flush(2 * batch)
	}
	flush(0)
	for g := range f.groups {
		for m := range 3 {
			id := fmt.Sprintf("member-%d-%d", g, m)
			events = append(events, f.put(tb, "members/"+id, topology.Member{ID: id, Group: fmt.Sprintf("group-%d", g), DataCentre: fmt.Sprintf("dc%d", m), Slots: 3}))
		}
		flush(3 * batch)
	}
	flush(0)
	for g := range f.groups {
		name := fmt.Sprintf("group-%d", g)
		events = append(events, f.put(tb, "stackspindle/groups/"+name, lead.Record{Group: name, Generation: 1, Leader: "instance-1"}),
			f.put(tb, "stackspindle/leaders/"+name, lead.Leader{Instance: "instance-1", Incarnation: "instance-1"}))
		flush(2 * batch)
	}
	flush(0)
}

// config returns a configuration of all groups, with 5/4 as many routes.
func (f *simulatedFleet) config(version int64) topology.Config {
	config := topology.Config{Version: version}
	for g := range f.groups {
		config.Groups = append(config.Groups, topology.Group{Name: fmt.Sprintf("group-%d", g), MaxConnections: 428})
	}
	for r := range f.groups * 5 / 4 {
		config.Routes = append(config.Routes, topology.Route{
			Name: fmt.Sprintf("route-%d", r), Database: fmt.Sprintf("database-%d", r), Group: fmt.Sprintf("group-%d", r%f.groups), Priority: r % 3,
		})
	}
	return config
}

// changeOf returns the n-th change of a kind.
func (f *simulatedFleet) changeOf(tb testing.TB, kind string, n int) kv.Event {
	other := 1 + n%(f.instances-1)
	group := fmt.Sprintf("group-%d", n%f.groups)
	name := fmt.Sprintf("instance-%d", other)
	switch kind {
	case "registration":
		entry := lead.Instance{Name: name, DataCentre: fmt.Sprintf("dc%d", other%5), Incarnation: fmt.Sprint(n), Address: name, Capacity: capacityOf(other)}
		return f.put(tb, "stackspindle/instances/"+name, entry)
	case "loss":
		e := f.put(tb, "stackspindle/alive/"+name, []byte(name))
		e.Deleted = n%2 == 0
		return e
	case "member":
		id := fmt.Sprintf("member-%d-0", n%f.groups)
		return f.put(tb, "members/"+id, topology.Member{ID: id, Group: group, DataCentre: "dc0", Slots: 3, Draining: n/f.groups%2 == 0})
	case "record":
		return f.put(tb, "stackspindle/groups/"+group, lead.Record{Group: group, Generation: uint64(n), Leader: "instance-1"})
	}
	return f.put(tb, "config", f.config(int64(n+2)))
}

// changeKinds are the kinds of changes that an instance gets.
var changeKinds = []string{"registration", "loss", "member", "record", "config"}

// The cost of a change, for an instance that it does not concern, must not grow with the fleet.
// Exempt are changes of the list of instances and of the configuration, which every instance holds
// in full.
func TestChangeCostIsIndependentOfFleetSize(t *testing.T) {
	allocated := func(instances int, kind string) float64 {
		f := newSimulatedFleet(t, instances)
		f.start(t, 80)
		f.settlePlacement()
		n := 0
		return testing.AllocsPerRun(20, func() {
			n++
			f.apply(f.changeOf(t, kind, n))
		})
	}
	for _, kind := range []string{"member", "record"} {
		small, large := allocated(30, kind), allocated(300, kind)
		must.LessEq(t, 2*small+10, large, must.Sprint(kind))
	}
}

// An idle instance holds pools, guards and timers only for the groups that it serves, whose number
// does not grow with the fleet.
func TestInstanceStateIsBoundedByServedGroups(t *testing.T) {
	for _, instances := range []int{100, 300} {
		f := newSimulatedFleet(t, instances)
		f.start(t, 80)
		f.settlePlacement()
		served := len(f.inst.relay.ServedGroups())
		guards := 0
		f.inst.relay.ForEachPrimaryGuard(func(string, *lead.PrimaryGuard) { guards++ })
		must.LessEq(t, maxServed, served, must.Sprint(instances))
		must.LessEq(t, served, guards)
	}
}

// maxServed is the largest number of groups that a strong instance serves if there are as many
// groups as instances: six carriers for each group, in three data centres of five, and eight times
// as many as a weak instance.
const maxServed = 6 * 5 / 3 * 8

// settlePlacement runs a placement that was left to a later tick because the last one was too
// recent. Otherwise it would count towards what is measured next.
func (f *simulatedFleet) settlePlacement() {
	f.inst.placedAt = -time.Hour
	f.inst.updatePlacement(f.state)
}

// tick does what the control goroutine does at each tick.
func (f *simulatedFleet) tick() {
	f.inst.relay.ForEachPrimaryGuard(func(_ string, g *lead.PrimaryGuard) { g.AbortOverdue(abortDelay) })
	f.inst.controller.Tick(context.Background())
}

// An idle instance checks a thousand groups that others serve and lead. A tick must not allocate
// for each of them.
func TestTickDoesNotAllocatePerGroup(t *testing.T) {
	allocations := func(instances int) float64 {
		f := newSimulatedFleet(t, instances)
		f.start(t, 80)
		return testing.AllocsPerRun(5, f.tick)
	}
	must.LessEq(t, allocations(30)+10, allocations(300))
}

// All instances start together, and each sees only itself at first. The more groups there are, the
// longer an instance leaves them to instances that it does not know yet.
func TestMayLead(t *testing.T) {
	must.True(t, mayLead(10*time.Millisecond, 3))
	must.False(t, mayLead(10*time.Millisecond, 1000))
	must.True(t, mayLead(2*time.Second, 1000))
	must.True(t, mayLead(0, 0))
}

// After an answer that is full there may be more changes, so the next watch is sent without a
// pause.
func TestPauseAfterWatch(t *testing.T) {
	events := make([]kv.Event, 250)
	must.False(t, shouldPause(feed.Update{}))
	must.True(t, shouldPause(feed.Update{Events: events[:3]}))
	must.False(t, shouldPause(feed.Update{Events: events}))
	must.False(t, shouldPause(feed.Update{Events: events[:3], Snapshot: true}))
}

// BenchmarkInitialSnapshot measures a start: the instance applies the other instances' entries
// first, then those of members, some hundred at a time, and of the groups' leaders.
func BenchmarkInitialSnapshot(b *testing.B) {
	for _, n := range []int{300, 1000, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				f := newSimulatedFleet(b, n)
				f.start(b, n/3)
				f.settlePlacement()
			}
		})
	}
}

func BenchmarkStart(b *testing.B) {
	for _, n := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				newSimulatedFleet(b, n).start(b, 80)
			}
		})
	}
}

// BenchmarkChange measures one change, with the garbage collection of the heap that the instance
// holds.
func BenchmarkChange(b *testing.B) {
	for _, kind := range changeKinds {
		for _, size := range []int{100, 300, 1000, 2000} {
			b.Run(fmt.Sprintf("%s/%d", kind, size), func(b *testing.B) {
				f := newSimulatedFleet(b, size)
				f.start(b, 80)
				var events []kv.Event
				for n := range 4096 {
					if kind == "config" && n >= 64 {
						break
					}
					events = append(events, f.changeOf(b, kind, n))
				}
				b.ReportAllocs()
				for n := 0; b.Loop(); n++ {
					e := events[n%len(events)]
					e.Revision = f.revision + int64(n)
					f.apply(e)
				}
			})
		}
	}
}

// BenchmarkHeap measures the heap of an idle instance.
func BenchmarkHeap(b *testing.B) {
	for _, size := range []int{100, 300, 1000, 2000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				f := newSimulatedFleet(b, size)
				f.start(b, 80)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
				runtime.KeepAlive(f)
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newSimulatedFleet(b, n)
			f.start(b, 80)
			for b.Loop() {
				f.tick()
			}
		})
	}
}

// All instances of a large fleet are gone while their entries are still in the store, and the first
// one starts again. No other instance can send it a snapshot, so it must read the store itself.
func TestInitialSnapshotWhenAllOthersAreGone(t *testing.T) {
	f := &testFleet{t: t, store: memstore.New(), group: membergroup.New(testGroup, testMembers...), decoder: jsonDecoder{}, output: io.Discard}
	f.store.Put("config", encodeJSON(t, testConfig()))
	for _, id := range testMembers {
		f.putMember(id)
	}
	for n := range 2 * minFleetForPeerSnapshot {
		name := fmt.Sprintf("gone-%d", n)
		f.store.Put(lead.PrefixInstances+name, encodeJSON(t, lead.Instance{Name: name, Incarnation: name, Address: "127.0.0.1:1"}))
	}
	inst := f.start("instance-0")
	f.eventually("the instance has read the store", inst.hasReadStore)
}

// In a small fleet each instance reads the store itself. In a large one it chooses its source among
// all registered instances, itself included, so that all agree on the watchers.
func TestInitialPeers(t *testing.T) {
	for _, registered := range []int{minFleetForPeerSnapshot - 1, minFleetForPeerSnapshot} {
		f := newSimulatedFleet(t, 3)
		store := memstore.New()
		f.inst.platform.Store = store.Client()
		for n := range registered {
			name := fmt.Sprintf("other-%d", n)
			store.Put(lead.PrefixInstances+name, encodeJSON(t, lead.Instance{Name: name, Incarnation: name, Address: "127.0.0.1:1"}))
		}
		peers := f.inst.initialPeers()
		if registered < minFleetForPeerSnapshot {
			must.SliceEmpty(t, peers.candidates)
			continue
		}
		must.Len(t, registered+1, peers.candidates)
		must.MapContainsKey(t, peers.addresses, f.inst.self.Name)
	}
}
