// Package owner runs the database groups that an instance owns. For each group
// one goroutine holds the control state (package failover) and publishes an
// immutable view of it; the goroutines of the traffic only read that view.
package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stackspindle/stackspindle/internal/connpool"
	"github.com/stackspindle/stackspindle/internal/failover"
	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/pool"
	"github.com/stackspindle/stackspindle/internal/routing"
	"github.com/stackspindle/stackspindle/internal/session"
	"github.com/stackspindle/stackspindle/internal/upstream"
)

// Member is one upstream of a group.
type Member struct {
	Name       string
	Addr       string
	DataCentre string
	Leaving    bool
}

// Spec is what operators declare of a group.
type Spec struct {
	Name         string
	Database     string
	User         string
	Password     string
	Members      []Member
	Connections  int // to each member, the control connection not counted
	WriteReserve int // of them, kept for writes on the primary
	MaxQueue     int // waiting requests of one service
	ReplicaAck   bool
}

// Step names the places at which Options.Pause is called.
type Step string

// The steps of a statement and of the control loop.
const (
	StepControl  Step = "control"
	StepSend     Step = "before-send"
	StepAnswered Step = "after-answer"
	StepReply    Step = "before-reply"
)

// Options are what a group needs from its instance.
type Options struct {
	Self     string
	Failover failover.Config
	Now      func() time.Duration // monotonic
	Record   func(kind, member string, term uint64, text string)
	Gap      func(time.Duration) // told how long the group was without a primary here
	Pause    func(Step)          // fault hook of the tests, nil: none
	MaxWait  time.Duration
	Fallback int // strict reads that may run on the primary at once, 0: half of Connections
	Floors   int // bound on session floors
}

// Defaults of Options.
const (
	DefaultMaxWait = 60 * time.Millisecond
	DefaultFloors  = 100_000
)

// view is an immutable picture of the control state.
type view struct {
	term     uint64
	serving  bool // the instance owns the group and it has a primary
	writable bool // false while a leaving primary is drained
	claiming bool // a take-over is under way here
	moving   bool // the group is being handed over
	primary  string
	owner    string // somebody else who owns the group, when known
	pools    map[string]*upstream.Pool
	changed  chan struct{} // closed when the view is replaced
}

// memberState is what the traffic needs to know of one member.
type memberState struct {
	name     string
	primary  bool
	healthy  bool
	leaving  bool
	position group.Position
	behind   time.Duration
}

// progress is a snapshot of the members' positions.
type progress struct {
	members []memberState
	changed chan struct{} // closed when the snapshot is replaced
}

// Group is one database group on one instance.
type Group struct {
	opts Options
	spec Spec

	view     atomic.Pointer[view]
	progress atomic.Pointer[progress]
	leaseEnd atomic.Int64
	shed     atomic.Int64 // requests refused for want of room
	active   activity
	fallback atomic.Int64 // strict reads on the primary

	events  chan failover.Event
	workers map[string]*worker
	cancel  context.CancelFunc
	done    sync.WaitGroup

	// acks guards what follows: it is taken by the traffic for moments only.
	acks    sync.Mutex
	floors  *session.Floors
	fine    *routing.Samples
	coarse  *routing.Samples
	keysFor uint64 // term in which the request key table is known to exist

	// state belongs to the control goroutine.
	state    *failover.State
	lagging  map[string]time.Duration
	lastGC   time.Duration
	gapSince time.Duration // since when there is no primary, 0: there is one
	overload overload
}

// New returns a group that is not running yet.
func New(opts Options, spec Spec) *Group {
	if opts.Pause == nil {
		opts.Pause = func(Step) {}
	}
	if opts.Gap == nil {
		opts.Gap = func(time.Duration) {}
	}
	if opts.Fallback == 0 {
		opts.Fallback = max(1, spec.Connections/2)
	}
	cfg := opts.Failover
	cfg.ReplicaAck = spec.ReplicaAck
	names := make([]string, 0, len(spec.Members))
	for _, m := range spec.Members {
		names = append(names, m.Name)
	}
	g := &Group{
		opts:    opts,
		spec:    spec,
		events:  make(chan failover.Event, eventBuffer),
		workers: make(map[string]*worker),
		floors:  session.New(opts.Floors),
		fine:    routing.NewSamples(sampleCount, fineSpacing),
		coarse:  routing.NewSamples(sampleCount, coarseSpacing),
		state:   failover.New(cfg, opts.Self, names),
		lagging: make(map[string]time.Duration),
	}
	g.view.Store(&view{changed: make(chan struct{})})
	g.progress.Store(&progress{changed: make(chan struct{})})
	return g
}

const (
	eventBuffer   = 256
	sampleCount   = 512
	fineSpacing   = time.Millisecond
	coarseSpacing = 200 * time.Millisecond
	floorSweep    = 200 * time.Millisecond
)

// Start runs the control goroutine and one goroutine a member.
func (g *Group) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	for _, m := range g.spec.Members {
		w := newWorker(g, m)
		g.workers[m.Name] = w
		g.done.Add(1)
		go w.run(ctx)
	}
	g.done.Add(1)
	go g.run(ctx)
}

// Stop ends all work on the group without handing it over.
func (g *Group) Stop() {
	g.cancel()
	g.done.Wait()
	g.publish(&view{})
}

// Name returns the name of the group.
func (g *Group) Name() string { return g.spec.Name }

// Claim asks for the group to be taken over. Patience is how much longer than
// the first candidate this one lets the former owner be silent.
func (g *Group) Claim(reason string, patience time.Duration) {
	g.post(failover.Claim{Reason: reason, Patience: patience})
}

// SetLeaving tells which members are to get no new work.
func (g *Group) SetLeaving(names []string) { g.post(failover.Leave{Members: names}) }

func (g *Group) post(ev failover.Event) {
	select {
	case g.events <- ev:
	default: // the control goroutine is far behind; what is lost is repeated by ticks
	}
}

// Status tells what the instance knows about the group.
type Status struct {
	Term      uint64
	Serving   bool
	Claiming  bool
	Primary   string
	Owner     string
	LeaseLeft time.Duration
}

// Status returns the current state.
func (g *Group) Status() Status {
	v := g.view.Load()
	return Status{
		Term:      v.term,
		Serving:   v.serving,
		Claiming:  v.claiming,
		Primary:   v.primary,
		Owner:     v.owner,
		LeaseLeft: g.leaseLeft(),
	}
}

func (g *Group) leaseLeft() time.Duration {
	return time.Duration(g.leaseEnd.Load()) - g.opts.Now()
}

// run is the control goroutine.
func (g *Group) run(ctx context.Context) {
	defer g.done.Done()
	ticker := time.NewTicker(g.opts.Failover.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		var ev failover.Event
		select {
		case <-ctx.Done():
			return
		case ev = <-g.events:
		case <-ticker.C:
			ev = failover.Tick{Acked: g.highest()}
		}
		g.opts.Pause(StepControl)
		g.step(ctx, ev)
	}
}

const ticksPerHeartbeat = 4

func (g *Group) highest() group.Position {
	g.acks.Lock()
	defer g.acks.Unlock()
	p := g.floors.Highest()
	now := g.opts.Now()
	g.fine.Add(now, p)
	g.coarse.Add(now, p)
	return p
}

// step applies one event and carries the actions out. The order matters: a
// suspension closes the pools before anything else is tried.
func (g *Group) step(ctx context.Context, ev failover.Event) {
	before := g.state.Phase()
	for _, action := range g.state.Step(g.opts.Now(), ev) {
		g.act(ctx, action)
	}
	g.leaseEnd.Store(int64(g.state.LeaseEnd()))
	if reply, ok := ev.(failover.Reply); ok && reply.Failure == failover.FailNone {
		g.noteLag(reply)
	}
	if _, ok := ev.(failover.Tick); !ok || before != g.state.Phase() {
		g.publishProgress()
	}
	g.sweepFloors()
	g.markClaiming()
	g.emptyLeaving()
	if kind, text := g.overload.step(g.opts.Now(), g.shed.Load()); kind != "" {
		g.opts.Record(kind, "", g.state.Term(), text)
	}
}

// emptyLeaving closes idle connections to members that leave and tells the state
// machine when a leaving primary has no transaction any more.
func (g *Group) emptyLeaving() {
	v := g.view.Load()
	for name, p := range v.pools {
		if g.state.Leaving(name) && name != v.primary {
			p.DropIdle()
		}
	}
	if g.state.Phase() != failover.Draining {
		return
	}
	if p := v.pools[v.primary]; p != nil && p.InUse() == 0 {
		g.post(failover.Drained{})
	}
}

func (g *Group) act(ctx context.Context, action failover.Action) {
	switch a := action.(type) {
	case failover.Send:
		g.workers[a.Member].enqueue(a)
	case failover.Serve:
		g.serve(ctx, a)
	case failover.Suspend:
		g.suspend(a)
	case failover.Resigned:
		g.gapSince = 0 // somebody else's from now on
		g.publish(&view{owner: a.Owner})
	case failover.Record:
		g.opts.Record(a.Kind, a.Member, g.state.Term(), a.Text)
	}
}

// serve opens pools bound to the new term and publishes the primary.
func (g *Group) serve(ctx context.Context, a failover.Serve) {
	g.acks.Lock()
	g.floors.Learn(a.History)
	g.floors.Promoted(a.Term, a.Base, a.Claimed)
	g.fine.Add(g.opts.Now(), g.floors.Highest())
	g.coarse.Add(g.opts.Now(), g.floors.Highest())
	g.acks.Unlock()
	if g.gapSince != 0 {
		g.opts.Gap(g.opts.Now() - g.gapSince)
		g.gapSince = 0
	}
	pools := make(map[string]*upstream.Pool, len(g.spec.Members))
	for _, m := range g.spec.Members {
		reserve := 0
		if m.Name == a.Primary {
			reserve = g.spec.WriteReserve
		}
		cfg := connpool.Config{
			Queue:       pool.Config{Capacity: g.spec.Connections, WriteReserve: reserve, MaxQueue: g.spec.MaxQueue},
			Dials:       concurrentDials,
			DialTimeout: dialTimeout,
		}
		pools[m.Name] = upstream.NewPool(cfg, g.target(m), a.Term, g.opts.Now)
	}
	g.leaseEnd.Store(int64(g.state.LeaseEnd()))
	g.publish(&view{term: a.Term, serving: true, writable: true, primary: a.Primary, pools: pools})
	for name, p := range pools {
		if !g.state.Leaving(name) {
			go p.Warm(ctx, min(warmConnections, g.spec.Connections))
		}
	}
}

const (
	concurrentDials = 4
	dialTimeout     = 2 * time.Second
	warmConnections = 4
)

func (g *Group) target(m Member) upstream.Target {
	return upstream.Target{
		Member:   m.Name,
		Addr:     m.Addr,
		Database: g.spec.Database,
		User:     g.spec.User,
		Password: g.spec.Password,
		Instance: g.opts.Self,
	}
}

func (g *Group) suspend(a failover.Suspend) {
	old := g.view.Load()
	next := *old
	next.writable = false
	if a.Terminal {
		next.serving = false
		next.pools = nil
		g.leaseEnd.Store(0)
		g.gapSince = g.opts.Now()
	}
	g.publish(&next)
	if !a.Terminal {
		return
	}
	for _, p := range old.pools {
		p.Close()
	}
}

// publish replaces the view and wakes all who wait for a change.
func (g *Group) publish(v *view) {
	v.changed = make(chan struct{})
	old := g.view.Swap(v)
	close(old.changed)
	for name, p := range old.pools {
		if v.pools[name] != p {
			p.Close()
		}
	}
}

// markClaiming lets requests wait here while a take-over is under way.
func (g *Group) markClaiming() {
	phase := g.state.Phase()
	claiming := phase != failover.Standby && phase != failover.Serving && phase != failover.Draining
	old := g.view.Load()
	if old.claiming == claiming {
		return
	}
	next := *old
	next.claiming = claiming
	g.publish(&next)
}

// noteLag measures how far behind a replica was when it answered.
func (g *Group) noteLag(r failover.Reply) {
	g.acks.Lock()
	defer g.acks.Unlock()
	g.lagging[r.Member] = g.fine.Lag(r.Sent, r.Status.Position)
}

// publishProgress replaces the snapshot of the members' positions.
func (g *Group) publishProgress() {
	now := g.opts.Now()
	serving := g.state.Phase() == failover.Serving || g.state.Phase() == failover.Draining
	next := &progress{changed: make(chan struct{}), members: make([]memberState, 0, len(g.spec.Members))}
	for _, m := range g.spec.Members {
		status, answered := g.state.Member(m.Name)
		primary := serving && m.Name == g.state.Primary()
		next.members = append(next.members, memberState{
			name:     m.Name,
			primary:  primary,
			healthy:  serving && status.Term == g.state.Term() && now-answered <= g.opts.Failover.Silence,
			leaving:  g.state.Leaving(m.Name),
			position: status.Position,
			behind:   g.lagging[m.Name],
		})
	}
	old := g.progress.Swap(next)
	close(old.changed)
}

// sweepFloors drops the floors that the replicas in service have passed.
func (g *Group) sweepFloors() {
	now := g.opts.Now()
	if now-g.lastGC < floorSweep {
		return
	}
	g.lastGC = now
	var passed group.Position
	found := false
	for _, m := range g.progress.Load().members {
		if m.primary || !m.healthy || m.leaving {
			continue
		}
		if !found || m.position.Less(passed) {
			passed, found = m.position, true
		}
	}
	if !found {
		return
	}
	g.acks.Lock()
	g.floors.Passed(passed)
	g.acks.Unlock()
}
