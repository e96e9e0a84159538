package instance

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/stackspindle/stackspindle/internal/membership"
	"github.com/stackspindle/stackspindle/internal/owner"
	"github.com/stackspindle/stackspindle/internal/ownership"
	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
	"github.com/stackspindle/stackspindle/internal/rollout"
	"github.com/stackspindle/stackspindle/internal/timeline"
)

// event is a change of the control state. It runs on the control goroutine.
type event func(*control)

// Timing of the control goroutine.
const (
	controlTick    = 50 * time.Millisecond
	probeCandidate = 200 * time.Millisecond // owners of groups that this instance may take over
	probeNeighbour = time.Second
	claimStagger   = 150 * time.Millisecond // between the claims of two candidates
	claimSpacing   = 100 * time.Millisecond
	candidates     = 3 // instances that watch over a group
	moveDelay      = 5 * time.Second
)

// control is the control state. Only the control goroutine touches it.
type control struct {
	inst     *Instance
	members  *membership.State
	list     []membership.Instance // of the platform
	probes   map[string]*probe
	watches  map[string]*watch
	serving  map[string]uint64 // groups announced, with their terms
	groups   map[string]*owner.Group
	specs    map[string]owner.Spec
	newer    map[string]bool  // instances whose configuration is being fetched
	fetched  map[string]int64 // revision in force here when it was last fetched
	oldNoted bool

	nextPlacement time.Duration // before which no placement is computed
}

// probe is the probing of one instance.
type probe struct {
	running    bool
	next       time.Duration
	introduced time.Duration // when this instance last told who it is
}

// watch is what a candidate knows of one group's owner.
type watch struct {
	missing   time.Duration // since when no owner is known to be alive, 0: one is
	nextClaim time.Duration
	misplaced time.Duration // since when this owner is not the first choice
	idle      map[string]time.Duration
}

func newControl(i *Instance) *control {
	self := membership.Instance{Name: i.settings.Name, Address: i.advertised(), DataCentre: i.settings.DataCentre}
	c := &control{
		inst:    i,
		members: membership.New(membership.DefaultConfig(), self),
		probes:  make(map[string]*probe),
		watches: make(map[string]*watch),
		serving: make(map[string]uint64),
		groups:  make(map[string]*owner.Group),
		specs:   make(map[string]owner.Spec),
		newer:   make(map[string]bool),
		fetched: make(map[string]int64),
	}
	c.list = i.settings.Seeds
	return c
}

// advertised returns the address under which others reach this instance.
func (i *Instance) advertised() string {
	if i.settings.PeerAddress != "" && i.settings.PeerAddress != i.settings.PeerListen {
		return i.settings.PeerAddress
	}
	return i.peerAddr
}

func (c *control) run(ctx context.Context) {
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	c.setList(c.list)
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-c.inst.events:
			c.inst.holdForTest(owner.StepControl)
			ev(c)
		case <-ticker.C:
			c.inst.holdForTest(owner.StepControl)
			c.tick()
		}
	}
}

// holdForTest calls the fault hook.
func (i *Instance) holdForTest(step owner.Step) {
	if i.pause != nil {
		i.pause(step)
	}
}

// post hands an event to the control goroutine. Where it is far behind, the
// event is left out: all of them are repeated.
func (i *Instance) post(ev event) {
	select {
	case i.events <- ev:
	default:
		i.metrics.backgroundFull.Inc()
	}
}

// do runs an event on the control goroutine and waits for it. It reports false when the
// instance stops meanwhile: the event may not run, or be under way.
func (i *Instance) do(ev event) bool {
	done := make(chan struct{})
	wrapped := func(c *control) {
		defer close(done)
		ev(c)
	}
	select {
	case i.events <- wrapped:
	case <-i.ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-i.ctx.Done():
		return false
	}
}

// setList takes in the platform's list, corrected by what operators declared.
func (c *control) setList(list []membership.Instance) {
	c.list = list
	merged := make(map[string]membership.Instance)
	for _, source := range [][]membership.Instance{c.inst.settings.Seeds, list, c.inst.catalogue.Load().instances} {
		for _, m := range source {
			if old, ok := merged[m.Name]; ok && m.DataCentre == "" {
				m.DataCentre = old.DataCentre
			}
			merged[m.Name] = m
		}
	}
	c.members.SetList(c.inst.now(), slices.Collect(maps.Values(merged)))
	c.publishFleet(true)
}

func (c *control) tick() {
	now := c.inst.now()
	c.members.Tick(now)
	c.publishFleet(false)
	c.reconcileGroups()
	c.announceNew()
	if !c.inst.leaving.Load() {
		c.claim(now)
		c.moveMisplaced(now)
	}
	c.probe(now)
}

// publishFleet recomputes who lives and where the groups should be.
func (c *control) publishFleet(changed bool) {
	now := c.inst.now()
	live := c.members.Live(now)
	cat := c.inst.catalogue.Load()
	old := c.inst.fleet.Load()
	known := c.members.Known()
	if !changed && (now < c.nextPlacement || slices.Equal(live, old.live) && slices.Equal(known, old.known)) {
		return
	}
	placed := make([]ownership.Group, 0, len(cat.databases))
	for name, d := range cat.databases {
		placed = append(placed, ownership.Group{Name: name, DataCentre: d.DataCentre})
	}
	addrs := make(map[string]string, len(known))
	for _, m := range known {
		addrs[m.Name] = m.Address
	}
	c.inst.peers.SetAddresses(addrs)
	limit := ownership.Limit(len(placed), len(live))
	c.inst.fleet.Store(&fleet{live: live, known: known, rankings: ownership.Assign(placed, live, limit)})
	after := c.inst.now()
	c.nextPlacement = after + (after-now)*placementSpacing
}

// placementSpacing bounds the share of a core that placement takes while the
// picture of the fleet keeps changing, as when a data centre is lost: 1 in 50.
const placementSpacing = 50

// reconcileGroups runs the groups that this instance may own and stops others.
func (c *control) reconcileGroups() {
	rankings := c.inst.fleet.Load().rankings
	databases := c.inst.catalogue.Load().databases
	changed := false
	for name, d := range databases {
		spec := groupSpec(name, d, c.inst.settings.Credentials)
		if g := c.groups[name]; g != nil {
			changed = c.updateGroup(g, spec) || changed
			continue
		}
		if rank := slices.Index(rankings[name], c.inst.settings.Name); rank >= 0 && rank < candidates {
			c.startGroup(spec)
			changed = true
		}
	}
	for name, g := range c.groups {
		if databases[name] == nil || c.dispensable(name, g, rankings[name]) {
			g.Stop()
			delete(c.groups, name)
			delete(c.watches, name)
			changed = true
		}
	}
	if changed {
		published := maps.Clone(c.groups)
		c.inst.groups.Store(&published)
	}
}

// dispensable reports whether another candidate watches over the group.
func (c *control) dispensable(name string, g *owner.Group, ranking []string) bool {
	st := g.Status()
	rank := slices.Index(ranking, c.inst.settings.Name)
	return (rank < 0 || rank >= candidates) && !st.Serving && !st.Claiming && !c.inst.leaving.Load() && len(ranking) > 0
}

func (c *control) startGroup(spec owner.Spec) {
	name := spec.Name
	g := owner.New(owner.Options{
		Self:            c.inst.settings.Name,
		Failover:        c.inst.settings.Failover,
		Now:             c.inst.now,
		Pause:           c.inst.pause,
		MaxWait:         c.inst.settings.MaxWait,
		MaxPrimaryReads: c.inst.settings.Fallback,
		Floors:          owner.DefaultFloors,
		ObserveOutage:   func(d time.Duration) { c.inst.metrics.failoverGap.Update(d.Seconds()) },
		Record: func(kind, member string, term uint64, text string) {
			c.inst.record(timeline.Event{Kind: kind, Group: name, Member: member, Term: term, Text: text})
		},
	}, spec)
	g.Start()
	g.SetLeaving(leavingMembers(spec))
	c.groups[name] = g
	c.specs[name] = spec
	c.watches[name] = &watch{}
}

// updateGroup applies a changed declaration. Who leaves is passed on; any other
// change starts the group anew.
func (c *control) updateGroup(g *owner.Group, spec owner.Spec) bool {
	old := c.specs[spec.Name]
	if sameButLeaving(old, spec) {
		if !slices.Equal(leavingMembers(old), leavingMembers(spec)) {
			g.SetLeaving(leavingMembers(spec))
			c.specs[spec.Name] = spec
		}
		return false
	}
	g.Stop()
	c.startGroup(spec)
	return true
}

// announceNew tells the fleet about groups that this instance has begun to serve.
func (c *control) announceNew() {
	var states []*peerpb.GroupState
	for name, g := range c.groups {
		st := g.Status()
		if !st.Serving {
			delete(c.serving, name)
			continue
		}
		if c.serving[name] == st.Term {
			continue
		}
		c.serving[name] = st.Term
		c.inst.dispatcher.SetOwner(name, c.inst.settings.Name, st.Term)
		states = append(states, &peerpb.GroupState{Group: name, Term: st.Term, Serving: true})
	}
	if len(states) > 0 {
		c.announce(context.Background(), &peerpb.AnnounceRequest{From: c.inst.settings.Name, Groups: states})
	}
}

// claim takes over groups that have no living owner. The first candidate acts at
// once, each further one a little later. That the picture may be wrong is
// harmless: a claim ends when the members still hear an owner.
func (c *control) claim(now time.Duration) {
	rankings := c.inst.fleet.Load().rankings
	for name, g := range c.groups {
		w := c.watches[name]
		st := g.Status()
		if st.Serving || st.Claiming || c.ownerAlive(now, name, st) {
			w.missing = 0
			continue
		}
		if w.missing == 0 {
			w.missing = now
		}
		rank := slices.Index(rankings[name], c.inst.settings.Name)
		patience := time.Duration(rank) * claimStagger
		if rank < 0 || now-w.missing < patience || now < w.nextClaim {
			continue
		}
		w.nextClaim = now + claimSpacing
		g.Claim("no living owner is known", patience)
	}
}

// ownerAlive reports whether another instance is believed to own the group.
func (c *control) ownerAlive(now time.Duration, group string, st owner.Status) bool {
	name, _ := c.inst.dispatcher.Owner(group)
	if name == "" {
		name = st.Owner
	}
	if name == "" || name == c.inst.settings.Name {
		return false
	}
	if silentSince, ok := c.watches[group].idle[name]; ok && now-silentSince > c.inst.settings.Failover.OwnerTimeout {
		return false
	}
	return !c.members.Down(now, name)
}

// moveMisplaced hands a group over when another instance has been its first
// choice for a while.
func (c *control) moveMisplaced(now time.Duration) {
	rankings := c.inst.fleet.Load().rankings
	for name, g := range c.groups {
		w := c.watches[name]
		ranking := rankings[name]
		if len(ranking) == 0 || ranking[0] == c.inst.settings.Name || !g.Status().Serving {
			w.misplaced = 0
			continue
		}
		if w.misplaced == 0 {
			w.misplaced = now
		}
		if now-w.misplaced < moveDelay {
			continue
		}
		w.misplaced = now
		target := ranking[0]
		c.inst.spawn(func() {
			ctx, cancel := context.WithTimeout(context.Background(), moveDelay)
			defer cancel()
			c.inst.handOver(ctx, g, target)
		})
	}
}

// probe asks the instances whose state matters here.
func (c *control) probe(now time.Duration) {
	every := make(map[string]time.Duration)
	for _, name := range c.members.Neighbours() {
		every[name] = probeNeighbour
	}
	rankings := c.inst.fleet.Load().rankings
	for group := range c.groups {
		rank := slices.Index(rankings[group], c.inst.settings.Name)
		interval := probeCandidate
		if rank > 1 {
			interval = probeNeighbour // the first candidate is the quick one
		}
		watched := rankings[group][:max(0, min(rank, candidates))]
		if name, _ := c.inst.dispatcher.Owner(group); name != "" {
			watched = append(slices.Clone(watched), name)
		}
		for _, name := range watched {
			if known, ok := every[name]; name != c.inst.settings.Name && (!ok || interval < known) {
				every[name] = interval
			}
		}
	}
	for name, interval := range every {
		p := c.probes[name]
		if p == nil {
			p = &probe{}
			c.probes[name] = p
		}
		if p.running || now < p.next {
			continue
		}
		p.running, p.next = true, now+interval
		introduce := p.introduced == 0 || now-p.introduced > introduceEvery
		if introduce {
			p.introduced = now
		}
		c.sendProbe(name, introduce)
	}
}

// introduceEvery is how often a probe carries the address of this instance.
const introduceEvery = 10 * time.Second

func (c *control) sendProbe(name string, introduce bool) {
	i := c.inst
	req := &peerpb.ProbeRequest{From: i.settings.Name, Clock: uint64(i.hlc.Now()), Leaving: i.leaving.Load()}
	if introduce {
		req.Address, req.DataCentre = i.advertised(), i.settings.DataCentre
	}
	i.spawn(func() {
		reply, refused, err := i.callProbe(name, req)
		i.post(func(c *control) { c.probed(name, reply, refused, err) })
	})
}

func (c *control) probed(name string, reply *peerpb.ProbeReply, refused bool, err error) {
	now := c.inst.now()
	if p := c.probes[name]; p != nil {
		p.running = false
	}
	if err != nil {
		c.members.RecordFailedProbe(now, name, refused)
		return
	}
	c.inst.hlc.Observe(timeline.Stamp(reply.Clock))
	c.members.RecordContact(now, name, reply.Leaving)
	c.noteServing(now, name, reply.Groups)
	if c.inst.catalogue.Load().snapshot.Newer(reply.Revision, reply.Digest) && !c.newer[name] {
		c.newer[name] = true
		c.fetch(name)
	}
}

// noteServing keeps which groups an instance says it serves. An owner that is
// alive but has lost its lease is noted as idle.
func (c *control) noteServing(now time.Duration, name string, states []*peerpb.GroupState) {
	serving := make(map[string]uint64, len(states))
	for _, st := range states {
		if st.Serving {
			serving[st.Group] = st.Term
		}
	}
	for group, w := range c.watches {
		if term, ok := serving[group]; ok {
			delete(w.idle, name)
			c.inst.dispatcher.SetOwner(group, name, term)
			continue
		}
		if w.idle == nil {
			w.idle = make(map[string]time.Duration)
		}
		if _, ok := w.idle[name]; !ok {
			w.idle[name] = now
		}
	}
}

// setSnapshot puts a newer configuration in force.
func (c *control) setSnapshot(s *rollout.Snapshot) {
	old := c.inst.catalogue.Load().snapshot
	if !old.Newer(s.Revision(), s.Digest()) {
		return
	}
	c.inst.setCatalogue(s)
	c.setList(c.list)
	c.inst.record(timeline.Event{Kind: "config-applied", Text: describeRevision(s)})
	c.push(s, old.Revision())
}
