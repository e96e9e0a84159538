package lead

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/kv"
	"github.com/stackspindle/stackspindle/internal/lead/leadpb"
	"github.com/stackspindle/stackspindle/internal/peerconn"
	"github.com/stackspindle/stackspindle/internal/standin/membergroup"
	"github.com/stackspindle/stackspindle/internal/standin/memstore"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// fakeEnvironment implements Environment with state that tests set.
type fakeEnvironment struct {
	name     string
	view     *View
	guard    *PrimaryGuard
	topology *topology.Snapshot
	lease    kv.LeaseID

	overloaded bool
	replicaLag time.Duration
	servesNone bool // the instance does not serve the group
}

func (f *fakeEnvironment) Topology() *topology.Snapshot                 { return f.topology }
func (f *fakeEnvironment) View() *View                                  { return f.view }
func (f *fakeEnvironment) Lease() kv.LeaseID                            { return f.lease }
func (f *fakeEnvironment) PrimaryGuard(string) *PrimaryGuard            { return f.guard }
func (f *fakeEnvironment) SinceLastAnswer(string) (time.Duration, bool) { return 0, false }
func (f *fakeEnvironment) HasUnansweredAttempt(string) bool             { return false }
func (f *fakeEnvironment) RecordAnswer(string)                          {}
func (f *fakeEnvironment) Serves(string) bool                           { return !f.servesNone }
func (f *fakeEnvironment) ServedGroups() []string {
	if f.servesNone {
		return nil
	}
	return []string{"g"}
}
func (f *fakeEnvironment) InstancesServing(string) []Instance { return f.view.Alive() }
func (f *fakeEnvironment) Rank(group string, limit int) int {
	return f.view.RankUpTo(group, f.name, limit)
}
func (f *fakeEnvironment) OverloadedWithoutReplicas(string, string) bool   { return f.overloaded }
func (f *fakeEnvironment) ReplicaLag(string, group.Position) time.Duration { return f.replicaLag }
func (f *fakeEnvironment) Event(string, string, string, uint64, string)    {}

// membersSince sets since when the members have been known, and the revision of their
// entries.
func (f *fakeEnvironment) membersSince(since time.Duration, revision int64) {
	state := topology.New(0, 0)
	state.SetConfig(f.topology.Config)
	for _, m := range f.topology.MembersOf("g") {
		m.Revision = revision
		state.SetMember(since, m, false)
	}
	f.topology = state.Snapshot()
}

// refresh updates the view and the guard from the store.
func (f *fakeEnvironment) refresh(t *testing.T, store kv.Store) {
	items, _, err := store.List(t.Context(), "")
	must.NoError(t, err)
	f.view, err = f.view.Replace(0, items)
	must.NoError(t, err)
	if record, revision := f.view.Record("g"); revision > 0 {
		f.guard.ApplyRecord(record, revision)
	}
}

func newController(t *testing.T, name string, store kv.Store) (*Controller, *fakeEnvironment) {
	return newControllerFor(t, name, store, topology.Group{Name: "g"}, "m1", "m2")
}

// newControllerFor returns a controller for group g with these members.
func newControllerFor(t *testing.T, name string, store kv.Store, declared topology.Group, members ...string) (*Controller, *fakeEnvironment) {
	now := func() time.Duration { return 0 }
	group := membergroup.New("g", members...)
	state := topology.New(0, 0)
	state.SetConfig(topology.Config{Version: 1, Groups: []topology.Group{declared}})
	for _, id := range members {
		state.SetMember(0, group.Entry(id), false)
	}
	f := &fakeEnvironment{name: name, view: NewView(), guard: NewPrimaryGuard(now), topology: state.Snapshot()}
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := Instance{Name: name, Incarnation: name + "-1"}
	conns := peerconn.New()
	own := NewServer(self.Incarnation, f.PrimaryGuard, func() bool { return true }, now, f.SinceLastAnswer)
	c := NewController(Config{
		Self: self, Own: own, Peers: conns, Store: store, Promoter: group, Dialer: group, Environment: f, DrainTime: 10 * time.Second,
		Now: now, Spawn: func(task func()) { task() }, Log: log.WithField("part", "lead"),
	})
	t.Cleanup(conns.Close)
	lease, err := store.Grant(t.Context(), time.Second)
	must.NoError(t, err)
	f.lease = lease.ID
	f.refresh(t, store)
	_, err = store.Commit(t.Context(), f.view.RegistrationTxn(self, lease.ID))
	must.NoError(t, err)
	f.refresh(t, store)
	return c, f
}

// A leader that was replaced while its task ran must not write, even if by then it has read
// the new record and the new leader's key. Otherwise two instances promote with the same
// fencing token.
func TestReplacedLeaderDoesNotWrite(t *testing.T) {
	store := memstore.New()
	first, env := newController(t, "a", store.Client())
	second, secondEnv := newController(t, "b", store.Client())
	g := &ledGroup{}
	first.takeOver(t.Context(), "g", g)
	env.refresh(t, store.Client())
	_, g.leaderRevision = env.view.Leader("g")
	record, revision := env.guard.Record()
	revision, err := first.write(t.Context(), "g", g, record, revision)
	must.NoError(t, err)

	store.EndLease(env.lease)
	secondEnv.refresh(t, store.Client())
	second.takeOver(t.Context(), "g", &ledGroup{})
	env.refresh(t, store.Client())
	record, newRevision := env.guard.Record()
	must.Greater(t, revision, newRevision)
	must.Eq(t, "b", record.Leader)
	_, err = first.write(t.Context(), "g", g, record, newRevision)
	must.True(t, errors.Is(err, errNotLeader))
	first.watchPrimary(t.Context(), "g", g)
	must.Nil(t, g.outcome)
}

// A replaced leader that the store refuses learns from other instances that its successor
// has announced a change. It must not execute that change. Otherwise two instances promote
// with the same fencing token.
func TestReplacedLeaderDoesNotExecuteSuccessorsChange(t *testing.T) {
	store := memstore.New()
	first, env := newController(t, "a", store.Client())
	second, secondEnv := newController(t, "b", store.Client())
	first.takeOver(t.Context(), "g", &ledGroup{})
	env.refresh(t, store.Client())
	g := &ledGroup{}
	first.watchPrimary(t.Context(), "g", g)

	store.EndLease(env.lease)
	secondEnv.refresh(t, store.Client())
	second.takeOver(t.Context(), "g", &ledGroup{})
	secondEnv.refresh(t, store.Client())
	announced, revision := secondEnv.guard.Record()
	announced.Change = &Change{ID: "x", Planned: true}
	env.guard.ApplyUpdate(GroupUpdate{Record: announced, Revision: revision + 1})

	first.watchPrimary(t.Context(), "g", g)
	must.Nil(t, g.outcome)
	must.SliceEmpty(t, first.promoter.(*membergroup.Group).Promotions())
	update, _ := env.guard.UpdateSince(0)
	must.Zero(t, update.Released, must.Sprint("no instance was asked to release"))
}

// Each change of leader increases the fencing token.
func TestGenerationRisesWithEachLeader(t *testing.T) {
	store := memstore.New()
	var last uint64
	for _, name := range []string{"a", "b", "a"} {
		c, env := newController(t, name, store.Client())
		env.refresh(t, store.Client())
		c.takeOver(t.Context(), "g", &ledGroup{})
		env.refresh(t, store.Client())
		record, _ := env.guard.Record()
		must.Eq(t, name, record.Leader)
		must.Greater(t, last, record.Generation)
		last = record.Generation
		store.EndLease(env.lease)
	}
}

// An instance that has registered, and so may hold a grant, must be asked to release even
// if the leader's view does not show it yet.
func TestRecentlyRegisteredInstanceIsAskedToRelease(t *testing.T) {
	store := memstore.New()
	leader, env := newController(t, "a", store.Client())
	stale := env.view
	other, otherEnv := newController(t, "b", store.Client())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := grpc.NewServer()
	leadpb.RegisterCoordinationServer(server, other.server)
	go func() { _ = server.Serve(l) }() // stopped at the end of the test
	t.Cleanup(server.Stop)
	other.self.Address = l.Addr().String()
	revision, err := store.Client().Commit(t.Context(), otherEnv.view.RegistrationTxn(other.self, otherEnv.lease))
	must.NoError(t, err)
	env.view = stale

	must.NoError(t, leader.releaseAll(t.Context(), &grantRelease{group: "g", revision: revision, drain: urgentDrain}))
	update, _ := otherEnv.guard.UpdateSince(0)
	must.Eq(t, revision, update.Released)
}

// A change must not proceed if the registered instances cannot be read from the store.
func TestReleaseNeedsTheStore(t *testing.T) {
	store := memstore.New()
	client := store.Client()
	leader, _ := newController(t, "a", client)
	client.Set(memstore.Faults{Refuse: true})
	must.Error(t, leader.releaseAll(t.Context(), &grantRelease{group: "g", revision: 7, drain: urgentDrain}))
}

func TestGrantOfUnreachableInstanceLapses(t *testing.T) {
	const announced = 100 * time.Second
	reply := func(uptime time.Duration, attested ...string) *leadpb.ReleaseReply {
		r := &leadpb.ReleaseReply{UptimeUs: uptime.Microseconds(), AttestedUs: make(map[string]int64)}
		for _, name := range attested {
			r.AttestedUs[name] = time.Second.Microseconds()
		}
		return r
	}
	for name, c := range map[string]struct {
		replies      []*leadpb.ReleaseReply // received at the announcement; two make a quorum
		leaseEndedAt time.Duration
		lapsesAt     time.Duration // when its grant lapses
	}{
		"no quorum":                                       {[]*leadpb.ReleaseReply{reply(announced)}, 10 * time.Second, announced + attestedUseLapseTime},
		"its lease is valid":                              {[]*leadpb.ReleaseReply{reply(announced), reply(announced)}, 0, announced + grantLapseTime},
		"no lease, and never attested":                    {[]*leadpb.ReleaseReply{reply(announced), reply(announced)}, 95 * time.Second, 95*time.Second + grantLapseTime},
		"no lease, and attested a second ago":             {[]*leadpb.ReleaseReply{reply(announced), reply(announced, "x")}, 80 * time.Second, 99*time.Second + grantLapseTime},
		"no lease, and a releasing process started later": {[]*leadpb.ReleaseReply{reply(announced), reply(3 * time.Second)}, 80 * time.Second, 97*time.Second + grantLapseTime},
	} {
		t.Run(name, func(t *testing.T) {
			r := &grantRelease{announced: announced, releasesNeeded: 2}
			for _, reply := range c.replies {
				r.addReply(announced, reply)
			}
			must.False(t, r.hasLapsed(c.lapsesAt-1, "x", c.leaseEndedAt))
			must.True(t, r.hasLapsed(c.lapsesAt, "x", c.leaseEndedAt))
		})
	}
}

// Guards against a take-over that is repeated at each Tick, based on the same outdated
// view. In a long-running test about 16 conditional writes were made until the view showed
// the first one.
func TestTakeOverBacksOff(t *testing.T) {
	first, ok := takeOverAttempt{}.next(0, 0, 7)
	must.True(t, ok)
	_, ok = first.next(minTakeOverBackoff-1, 0, 7)
	must.False(t, ok)
	again, ok := first.next(minTakeOverBackoff, 0, 7)
	must.True(t, ok)
	must.Eq(t, 2*minTakeOverBackoff, again.backoff)
	moved, ok := again.next(minTakeOverBackoff, 0, 8)
	must.True(t, ok, must.Sprint("based on another revision"))
	must.Eq(t, minTakeOverBackoff, moved.backoff)
}

// With a thousand groups an instance applies all records again on each change in the store.
// A record that is already known must not wake waiters, unless it makes the grant usable or
// unusable.
func TestKnownRecordDoesNotWakeWaiters(t *testing.T) {
	now := time.Duration(0)
	g := NewPrimaryGuard(func() time.Duration { return now })
	record := Record{Group: "g", Primary: "m1", Term: 1}
	woken := func(changed <-chan struct{}) bool {
		select {
		case <-changed:
			return true
		default:
			return false
		}
	}
	wakes := func(revision int64) bool {
		changed := g.Changed()
		g.ApplyRecord(record, revision)
		return woken(changed)
	}
	must.True(t, wakes(1))
	must.True(t, wakes(1), must.Sprint("the grant is not confirmed yet"))
	g.Confirm(now)
	must.False(t, wakes(1))
	must.True(t, wakes(2))
	now += UnconfirmedUseLimit + time.Second
	must.True(t, wakes(2), must.Sprint("the grant has expired"))
}

// Usable must agree with Primary in every state of a grant.
func TestUsableAgreesWithPrimary(t *testing.T) {
	for _, record := range []Record{{}, {Primary: "m1", Term: 1}, {Primary: "m1", Change: &Change{ID: "c"}}} {
		for _, change := range []func(*Grant){
			func(*Grant) {},
			func(g *Grant) { g.ApplyRecord(record, 5) },
			func(g *Grant) { g.ApplyRecord(record, 5); g.Confirm(time.Second) },
			func(g *Grant) { g.ApplyRecord(record, 5); g.Confirm(time.Second); g.Release(6) },
		} {
			var g Grant
			change(&g)
			for _, now := range []time.Duration{time.Second, time.Second + UnconfirmedUseLimit} {
				_, err := g.Primary(now)
				must.Eq(t, err == nil, g.Usable(now))
			}
		}
	}
}

func TestRankUpTo(t *testing.T) {
	v := NewView()
	var events []kv.Event
	for n := range 20 {
		name := fmt.Sprint("i", n)
		events = append(events, kv.Event{Item: kv.Item{Key: PrefixInstances + name, Value: encode(Instance{Name: name}), Revision: 1}},
			kv.Event{Item: kv.Item{Key: prefixAlive + name, Value: []byte(name), Revision: 1}})
	}
	v, err := v.Apply(0, events)
	must.NoError(t, err)
	for n := range 21 { // the last one is not alive
		for limit := range 25 {
			must.Eq(t, min(v.Rank("g", fmt.Sprint("i", n)), limit), v.RankUpTo("g", fmt.Sprint("i", n), limit))
		}
	}
}

// When a thousand groups get their first leaders at once, each must cost only one write,
// which also names the primary, and the leader must not write again before its view can
// show that write.
func TestFirstLeaderWritesOnce(t *testing.T) {
	store := memstore.New()
	first, env := newController(t, "a", store.Client())
	g := &ledGroup{}
	first.takeOver(t.Context(), "g", g)
	_, due := g.lastTakeOver.next(minTakeOverBackoff, 0, 0)
	must.False(t, due)
	_, due = g.lastTakeOver.next(maxTakeOverBackoff, 0, 0)
	must.True(t, due)
	env.refresh(t, store.Client())
	record, revision := env.view.Record("g")
	_, leaderRevision := env.view.Leader("g")
	must.Eq(t, "m1", record.Primary)
	must.Eq(t, leaderRevision, revision, must.Sprint("one write for both keys"))
}

// In a fleet with many groups an instance checks the groups that it serves on each Tick,
// but those that only others serve once a second, and only while one of them has no leader.
func TestUnservedGroupsAreCheckedOncePerSecond(t *testing.T) {
	store := memstore.New()
	c, env := newController(t, "a", store.Client())
	env.servesNone = true
	clock := time.Minute
	c.now = func() time.Duration { return clock }
	c.Tick(t.Context())
	env.refresh(t, store.Client())
	leader, _ := env.view.Leader("g")
	must.Eq(t, "a", leader.Instance, must.Sprint("the first check"))
	store.EndLease(env.lease)
	lease, err := store.Client().Grant(t.Context(), time.Second)
	must.NoError(t, err)
	env.lease = lease.ID
	env.refresh(t, store.Client())
	clock += otherGroupsInterval - 1
	c.Tick(t.Context())
	env.refresh(t, store.Client())
	_, revision := env.view.Leader("g")
	must.Zero(t, revision)
}
