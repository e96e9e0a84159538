package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/feed"
	"github.com/stackspindle/stackspindle/internal/kv"
	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/standin/memstore"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// grownFleet is the store of a fleet whose database groups grow with its instances, as
// one instance learns of it while all start.
type grownFleet struct {
	inst      *Instance
	state     *topology.State
	revision  int64
	instances int
	groups    int
}

// newGrownFleet returns the fleet before anything is known of it.
func newGrownFleet(tb testing.TB, instances int) *grownFleet {
	tb.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	inst, err := New(Settings{
		Name: "instance-0", DataCentre: "dc0", LeaseTTL: 3 * time.Second, StoreSilence: 4 * time.Second, MaxCallers: 100,
	}, Platform{Store: memstore.New().Client(), Decoder: jsonDecoder{}}, log)
	must.NoError(tb, err)
	tb.Cleanup(inst.close)
	return &grownFleet{inst: inst, state: topology.New(memberGrace, departedMemory), instances: instances, groups: 10 * instances / 3}
}

// learn takes in changes, and looks at what is due.
func (f *grownFleet) learn(events ...kv.Event) {
	c := change{Picture: feed.Picture{Events: events, Revision: f.revision}, taken: make(chan struct{})}
	f.inst.takeIn(f.state, c)
	f.inst.controller.Tick(context.Background())
}

// put returns the change of a key.
func (f *grownFleet) put(tb testing.TB, key string, value any) kv.Event {
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

// start takes in all that a start writes to the store, some entries at a time.
func (f *grownFleet) start(tb testing.TB, batch int) {
	tb.Helper()
	config := topology.Config{Version: 1}
	for g := range f.groups {
		config.Groups = append(config.Groups, topology.Group{Name: fmt.Sprintf("group-%d", g), MaxConnections: 23})
	}
	f.learn(f.put(tb, "config", config))
	var events []kv.Event
	flush := func(least int) {
		if len(events) >= least && len(events) > 0 {
			f.learn(events...)
			events = nil
		}
	}
	for i := range f.instances {
		name := fmt.Sprintf("instance-%d", i)
		entry := lead.Instance{Name: name, DataCentre: fmt.Sprintf("dc%d", i%3), Incarnation: name, Address: name}
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

// look does what the control goroutine does at each look.
func (f *grownFleet) look() {
	f.inst.relay.Gates(func(_ string, g *lead.Gate) { g.Enforce(enforceDrain) })
	f.inst.controller.Tick(context.Background())
}

// The load: an idle instance looks after a thousand groups that others carry and lead. A look
// costs no allocation for each of them.
func TestALookAllocatesNothingForEachGroup(t *testing.T) {
	allocations := func(instances int) float64 {
		f := newGrownFleet(t, instances)
		f.start(t, 80)
		return testing.AllocsPerRun(5, f.look)
	}
	must.LessEq(t, allocations(30)+10, allocations(300))
}

// The load: all instances start together, and each sees itself first. The more groups there are,
// the longer each leaves them to those that it does not know yet.
func TestMayLead(t *testing.T) {
	must.True(t, mayLead(10*time.Millisecond, 3))
	must.False(t, mayLead(10*time.Millisecond, 1000))
	must.True(t, mayLead(2*time.Second, 1000))
	must.True(t, mayLead(0, 0))
}

// The load: more changes than one answer of the store holds. What is left is asked for at once.
func TestRestAfterAWatch(t *testing.T) {
	events := make([]kv.Event, 250)
	must.False(t, restAfter(feed.Picture{}))
	must.True(t, restAfter(feed.Picture{Events: events[:3]}))
	must.False(t, restAfter(feed.Picture{Events: events}))
	must.False(t, restAfter(feed.Picture{Events: events[:3], Whole: true}))
}

func BenchmarkStart(b *testing.B) {
	for _, n := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				newGrownFleet(b, n).start(b, 80)
			}
		})
	}
}

func BenchmarkLook(b *testing.B) {
	for _, n := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newGrownFleet(b, n)
			f.start(b, 80)
			for b.Loop() {
				f.look()
			}
		})
	}
}
