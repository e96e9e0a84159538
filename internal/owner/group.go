// Package owner runs the database groups of an instance: it drives the failover
// state machine of each group, holds the connection pools to the members of the
// groups that the instance owns, and runs transactions on them.
//
// One control goroutine per group drives the state machine (package failover) and
// publishes an immutable view of it. Goroutines that serve requests only read
// that view. An answer leaves the instance only while its lease on the group, in
// the term in which the request ran, is valid.
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

// Spec is the operators' declaration of a group.
type Spec struct {
	Name         string
	Database     string
	User         string
	Password     string
	Members      []Member
	Connections  int // per member, without the control connection
	WriteReserve int // of Connections, reserved for writes on the primary
	MaxQueue     int // queued requests of one service
	ReplicaAck   bool
}

// Step identifies a point in the code at which Options.Pause is called.
type Step string

// The steps of a statement and of the control loop.
const (
	StepControl  Step = "control"
	StepSend     Step = "before-send"
	StepAnswered Step = "after-answer"
	StepReply    Step = "before-reply"
)

// Options holds the settings and callbacks that a group gets from its instance.
type Options struct {
	Self            string
	Failover        failover.Config
	Now             func() time.Duration                                // monotonic clock
	Record          func(kind, member string, term uint64, text string) // adds an event to the time line
	ObserveOutage   func(time.Duration)                                 // called with the time that the group had no primary here
	FaultHook       func(Step)                                          // fault injection hook for tests, may be nil
	MaxReplicaWait  time.Duration                                       // see routing.View
	MaxPrimaryReads int                                                 // limit of concurrent strict reads on the primary, 0: half of Connections
	Floors          int                                                 // maximum number of session floors
}

// Default values for Options.
const (
	DefaultMaxReplicaWait = 60 * time.Millisecond
	DefaultFloors         = 100_000
)

// view is an immutable snapshot of the control state.
type view struct {
	term        uint64
	serving     bool // the instance owns the group and it has a primary
	writable    bool // false while a leaving primary is drained
	claiming    bool // this instance is taking the group over
	handingOver bool // the group is being handed over
	primary     string
	owner       string // another instance that owns the group, or ""
	pools       map[string]*upstream.Pool
	changed     chan struct{} // closed when the view is replaced
}

// memberState is the state of one member as used for routing.
type memberState struct {
	name     string
	primary  bool
	healthy  bool
	leaving  bool
	position group.Position
	lag      time.Duration
}

// progress is an immutable snapshot of the members' log positions.
type progress struct {
	members []memberState
	changed chan struct{} // closed when the snapshot is replaced
}

// termLease is the lease of this instance in one term. It says nothing about work of another term.
type termLease struct {
	term uint64
	end  time.Duration // failover.State.LeaseEnd, on the clock of Options.Now; 0: there is no lease
}

// Group is one database group on one instance.
type Group struct {
	opts Options
	spec Spec

	view         atomic.Pointer[view]
	progress     atomic.Pointer[progress]
	lease        atomic.Pointer[termLease] // nil: none yet
	rejected     atomic.Int64              // requests rejected because a queue was full or their deadline would pass
	active       activity                  // open transactions
	primaryReads atomic.Int64              // strict reads that run on the primary

	events  chan failover.Event
	workers map[string]*worker
	cancel  context.CancelFunc
	done    sync.WaitGroup

	// ackMu guards the fields below. Request goroutines take it, so it must only be
	// held briefly.
	ackMu         sync.Mutex
	floors        *session.Floors
	fineSamples   *routing.Samples // highest acknowledged position over a short time, fineSpacing apart
	coarseSamples *routing.Samples // the same over a longer time, coarseSpacing apart
	keyTableTerm  uint64           // term in which the table of request keys was created or found

	// The fields below are used by the control goroutine only.
	state          *failover.State
	lag            map[string]time.Duration // replica lag, by member
	lastFloorSweep time.Duration
	outageSince    time.Duration // since when the group has no primary, 0 if it has one
	overload       overload
}

// New returns a group. Call Start to run it.
func New(opts Options, spec Spec) *Group {
	if opts.FaultHook == nil {
		opts.FaultHook = func(Step) {}
	}
	if opts.ObserveOutage == nil {
		opts.ObserveOutage = func(time.Duration) {}
	}
	if opts.MaxPrimaryReads == 0 {
		opts.MaxPrimaryReads = max(1, spec.Connections/2)
	}
	cfg := opts.Failover
	cfg.ReplicaAck = spec.ReplicaAck
	names := make([]string, 0, len(spec.Members))
	for _, m := range spec.Members {
		names = append(names, m.Name)
	}
	g := &Group{
		opts:          opts,
		spec:          spec,
		events:        make(chan failover.Event, eventBuffer),
		workers:       make(map[string]*worker),
		floors:        session.New(opts.Floors),
		fineSamples:   routing.NewSamples(sampleCount, fineSpacing),
		coarseSamples: routing.NewSamples(sampleCount, coarseSpacing),
		state:         failover.New(cfg, opts.Self, names),
		lag:           make(map[string]time.Duration),
	}
	g.view.Store(&view{changed: make(chan struct{})})
	g.progress.Store(&progress{changed: make(chan struct{})})
	return g
}

const (
	eventBuffer        = 256
	sampleCount        = 512
	fineSpacing        = time.Millisecond
	coarseSpacing      = 200 * time.Millisecond
	floorSweepInterval = 200 * time.Millisecond
)

// Start starts the control goroutine and one worker goroutine per member.
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

// Stop ends all work on the group without handing it over to another instance.
func (g *Group) Stop() {
	g.cancel()
	g.done.Wait()
	g.publish(&view{})
}

// Name returns the name of the group.
func (g *Group) Name() string { return g.spec.Name }

// Claim requests that this instance take the group over. The extra timeout is
// added to the time without contact after which the former owner counts as
// failed; candidates use different ones so that they do not claim at the same moment.
func (g *Group) Claim(reason string, extraTimeout time.Duration) {
	g.post(failover.Claim{Reason: reason, ExtraOwnerTimeout: extraTimeout})
}

// SetLeaving replaces the set of members that get no new work.
func (g *Group) SetLeaving(names []string) { g.post(failover.Leave{Members: names}) }

func (g *Group) post(ev failover.Event) {
	select {
	case g.events <- ev:
	default: // queue full: drop the event; later ticks repeat what it would have caused
	}
}

// Status is the state of a group as known to this instance.
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
		LeaseLeft: g.leaseEnd(v.term) - g.opts.Now(),
	}
}

// leaseEnd returns the end of this instance's lease in a term, 0 if it has none in that term now.
func (g *Group) leaseEnd(term uint64) time.Duration {
	if l := g.lease.Load(); l != nil && l.term == term {
		return l.end
	}
	return 0
}

// publishLease makes the lease of the current term visible to requests.
func (g *Group) publishLease() {
	g.lease.Store(&termLease{term: g.state.Term(), end: g.state.LeaseEnd()})
}

// run is the control loop.
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
			ev = failover.Tick{Acked: g.sampleHighest()}
		}
		g.opts.FaultHook(StepControl)
		g.step(ctx, ev)
	}
}

const ticksPerHeartbeat = 4

// sampleHighest returns the highest acknowledged position and samples it for
// measuring replica lag.
func (g *Group) sampleHighest() group.Position {
	g.ackMu.Lock()
	defer g.ackMu.Unlock()
	p := g.floors.Highest()
	now := g.opts.Now()
	g.fineSamples.Add(now, p)
	g.coarseSamples.Add(now, p)
	return p
}

// step applies one event and carries out the actions in order. The order matters:
// a Suspend action closes the pools before the actions after it are tried.
func (g *Group) step(ctx context.Context, ev failover.Event) {
	before := g.state.Phase()
	for _, action := range g.state.Step(g.opts.Now(), ev) {
		g.act(ctx, action)
	}
	g.publishLease()
	if reply, ok := ev.(failover.Reply); ok && reply.Failure == failover.FailNone {
		g.recordLag(reply)
	}
	if _, ok := ev.(failover.Tick); !ok || before != g.state.Phase() {
		g.publishProgress()
	}
	g.sweepFloors()
	g.publishClaiming()
	g.drainLeaving()
	if kind, text := g.overload.observe(g.opts.Now(), g.rejected.Load()); kind != "" {
		g.opts.Record(kind, "", g.state.Term(), text)
	}
}

// drainLeaving closes idle connections to leaving members and reports to the
// state machine when the last transaction on a leaving primary has ended.
func (g *Group) drainLeaving() {
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
		g.outageSince = 0 // the next owner ends the outage, so it is not reported here
		g.publish(&view{owner: a.Owner})
	case failover.TimelineEvent:
		g.opts.Record(a.Kind, a.Member, g.state.Term(), a.Text)
	}
}

// serve creates connection pools bound to the new term and publishes the primary.
func (g *Group) serve(ctx context.Context, a failover.Serve) {
	g.ackMu.Lock()
	g.floors.MergeHistory(a.History)
	g.floors.BeginTerm(a.Term, a.Base, a.Claimed)
	g.fineSamples.Add(g.opts.Now(), g.floors.Highest())
	g.coarseSamples.Add(g.opts.Now(), g.floors.Highest())
	g.ackMu.Unlock()
	if g.outageSince != 0 {
		g.opts.ObserveOutage(g.opts.Now() - g.outageSince)
		g.outageSince = 0
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
	g.publishLease()
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

// suspend stops new work on the primary. If the suspension is terminal, it also
// ends the lease and closes the pools.
func (g *Group) suspend(a failover.Suspend) {
	old := g.view.Load()
	next := *old
	next.writable = false
	if a.Terminal {
		next.serving = false
		next.pools = nil
		g.lease.Store(nil)
		g.outageSince = g.opts.Now()
	}
	g.publish(&next)
	if !a.Terminal {
		return
	}
	for _, p := range old.pools {
		p.Close()
	}
}

// publish replaces the view, wakes the goroutines that wait for a change and
// closes the pools that are no longer used.
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

// publishClaiming updates view.claiming, so that requests wait here for the result
// of a take-over.
func (g *Group) publishClaiming() {
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

// recordLag records the lag that a replica had when the request was sent.
func (g *Group) recordLag(r failover.Reply) {
	g.ackMu.Lock()
	defer g.ackMu.Unlock()
	g.lag[r.Member] = g.fineSamples.Lag(r.Sent, r.Status.Position)
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
			healthy:  serving && status.Term == g.state.Term() && now-answered <= g.opts.Failover.MemberTimeout,
			leaving:  g.state.Leaving(m.Name),
			position: status.Position,
			lag:      g.lag[m.Name],
		})
	}
	old := g.progress.Swap(next)
	close(old.changed)
}

// sweepFloors drops the session floors that all healthy replicas have reached.
func (g *Group) sweepFloors() {
	now := g.opts.Now()
	if now-g.lastFloorSweep < floorSweepInterval {
		return
	}
	g.lastFloorSweep = now
	var reached group.Position
	found := false
	for _, m := range g.progress.Load().members {
		if m.primary || !m.healthy || m.leaving {
			continue
		}
		if !found || m.position.Less(reached) {
			reached, found = m.position, true
		}
	}
	if !found {
		return
	}
	g.ackMu.Lock()
	g.floors.DropReached(reached)
	g.ackMu.Unlock()
}
