package instance

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/stackspindle/stackspindle/internal/membership"
	"github.com/stackspindle/stackspindle/internal/owner"
	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
	"github.com/stackspindle/stackspindle/internal/rendezvous"
	"github.com/stackspindle/stackspindle/internal/rollout"
	"github.com/stackspindle/stackspindle/internal/timeline"
)

// event reads or changes the control state. It runs on the control goroutine.
type event func(*control)

// Settings of the control goroutine.
const (
	controlTick            = 50 * time.Millisecond
	candidateProbeInterval = 200 * time.Millisecond // probe interval for owners of groups that this instance may take over
	neighbourProbeInterval = time.Second            // probe interval for neighbours
	claimStagger           = 150 * time.Millisecond // delay between the claims of one candidate and the next in the ranking
	claimInterval          = 100 * time.Millisecond // minimum interval between two claims of one group
	candidates             = 3                      // number of instances that monitor the owner of a group
	moveDelay              = 5 * time.Second        // how long an owner must not be the first choice before it hands over
)

// control is the control state. Only the control goroutine accesses it.
type control struct {
	inst               *Instance
	members            *membership.State     // the known instances and their liveness
	platformList       []membership.Instance // instances listed by the platform; initially the seeds
	probes             map[string]*probeState
	ownerWatches       map[string]*ownerWatch
	announcedTerms     map[string]uint64 // terms of the groups that were announced as served here
	groups             map[string]*owner.Group
	specs              map[string]owner.Spec
	fetching           map[string]bool  // instances from which configuration is being fetched
	fetchedAtRevision  map[string]int64 // by instance: local revision at the last fetch from it
	staleStoreRecorded bool

	nextPlacement time.Duration // earliest time of the next placement computation
}

// probeState is the state of the periodic probes of one instance.
type probeState struct {
	running      bool
	next         time.Duration
	introducedAt time.Duration // when a probe last carried the address of this instance
}

// ownerWatch is a candidate's view of the owner of one group.
type ownerWatch struct {
	ownerlessSince time.Duration            // since when no owner is known to be alive; 0: an owner is alive
	nextClaim      time.Duration            // earliest time of the next claim
	misplacedSince time.Duration            // since when this instance owns the group without being its first choice; 0: not the case
	idleSince      map[string]time.Duration // by instance: since when it reports that it does not serve the group
}

func newControl(i *Instance) *control {
	self := membership.Instance{Name: i.settings.Name, Address: i.advertised(), DataCentre: i.settings.DataCentre}
	c := &control{
		inst:              i,
		members:           membership.New(membership.DefaultConfig(), self),
		probes:            make(map[string]*probeState),
		ownerWatches:      make(map[string]*ownerWatch),
		announcedTerms:    make(map[string]uint64),
		groups:            make(map[string]*owner.Group),
		specs:             make(map[string]owner.Spec),
		fetching:          make(map[string]bool),
		fetchedAtRevision: make(map[string]int64),
	}
	c.platformList = i.settings.Seeds
	return c
}

// advertised returns the address that other instances use to connect to this one.
func (i *Instance) advertised() string {
	if i.settings.PeerAddress != "" && i.settings.PeerAddress != i.settings.PeerListen {
		return i.settings.PeerAddress
	}
	return i.peerAddr
}

func (c *control) run(ctx context.Context) {
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	c.setList(c.platformList)
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-c.inst.events:
			c.inst.injectFault(owner.StepControl)
			ev(c)
		case <-ticker.C:
			c.inst.injectFault(owner.StepControl)
			c.tick()
		}
	}
}

// injectFault calls the fault injection hook, if a test has set one.
func (i *Instance) injectFault(step owner.Step) {
	if i.faultHook != nil {
		i.faultHook(step)
	}
}

// post queues an event for the control goroutine without blocking. If the queue is full,
// the event is dropped, which is safe because all posted events recur.
func (i *Instance) post(ev event) {
	select {
	case i.events <- ev:
	default:
		i.metrics.droppedTasks.Inc()
	}
}

// runOnControl runs an event on the control goroutine and waits until it is done. It returns
// false if the instance stops first: the event may then not run at all, or still be running,
// so the caller must not read what the event writes.
func (i *Instance) runOnControl(ev event) bool {
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

// setList sets the platform's list of instances. It is merged with the seeds and with the
// instances that operators declared: declarations override the list, and the list
// overrides the seeds.
func (c *control) setList(list []membership.Instance) {
	c.platformList = list
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
	c.announceNewTerms()
	if !c.inst.leaving.Load() {
		c.claimOwnerless(now)
		c.moveMisplaced(now)
	}
	c.sendDueProbes(now)
}

// publishFleet recomputes the live instances and the ranking of instances for each group,
// and publishes both.
func (c *control) publishFleet(changed bool) {
	now := c.inst.now()
	live := c.members.Live(now)
	cat := c.inst.catalogue.Load()
	old := c.inst.fleet.Load()
	known := c.members.Known()
	if !changed && (now < c.nextPlacement || slices.Equal(live, old.live) && slices.Equal(known, old.known)) {
		return
	}
	placements := make([]rendezvous.Group, 0, len(cat.databases))
	for name, d := range cat.databases {
		placements = append(placements, rendezvous.Group{Name: name, DataCentre: d.DataCentre})
	}
	addrs := make(map[string]string, len(known))
	for _, m := range known {
		addrs[m.Name] = m.Address
	}
	c.inst.peers.SetAddresses(addrs)
	limit := rendezvous.Limit(len(placements), len(live))
	c.inst.fleet.Store(&fleet{live: live, known: known, rankings: rendezvous.Assign(placements, live, limit)})
	after := c.inst.now()
	c.nextPlacement = after + (after-now)*placementPauseFactor
}

// placementPauseFactor limits the placement computation to 1/50 of a core while the state of
// the fleet keeps changing, for example after the loss of a data centre.
const placementPauseFactor = 50

// reconcileGroups starts the groups for which this instance is a candidate, applies
// changed specs, and stops the groups that it need not run any more.
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
		if databases[name] == nil || c.canStop(name, g, rankings[name]) {
			g.Stop()
			delete(c.groups, name)
			delete(c.ownerWatches, name)
			changed = true
		}
	}
	if changed {
		published := maps.Clone(c.groups)
		c.inst.groups.Store(&published)
	}
}

// canStop reports whether this instance can stop running a group: it is no candidate
// for it, and neither serves nor claims it.
func (c *control) canStop(name string, g *owner.Group, ranking []string) bool {
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
		FaultHook:       c.inst.faultHook,
		MaxReplicaWait:  c.inst.settings.MaxReplicaWait,
		MaxPrimaryReads: c.inst.settings.MaxPrimaryReads,
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
	c.ownerWatches[name] = &ownerWatch{}
}

// updateGroup applies a changed spec. If only the Leaving flags of members differ, they are
// passed to the running group; any other change restarts the group. It reports whether the
// group was restarted.
func (c *control) updateGroup(g *owner.Group, spec owner.Spec) bool {
	old := c.specs[spec.Name]
	if equalExceptLeaving(old, spec) {
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

// announceNewTerms announces the groups that this instance serves in a new term to all known
// instances.
func (c *control) announceNewTerms() {
	var states []*peerpb.GroupState
	for name, g := range c.groups {
		st := g.Status()
		if !st.Serving {
			delete(c.announcedTerms, name)
			continue
		}
		if c.announcedTerms[name] == st.Term {
			continue
		}
		c.announcedTerms[name] = st.Term
		c.inst.dispatcher.SetOwner(name, c.inst.settings.Name, st.Term)
		states = append(states, &peerpb.GroupState{Group: name, Term: st.Term, Serving: true})
	}
	if len(states) > 0 {
		c.announce(context.Background(), &peerpb.AnnounceRequest{From: c.inst.settings.Name, Groups: states})
	}
}

// claimOwnerless takes over groups that have no live owner. The first candidate claims at once,
// each further one claimStagger later. A claim on wrong information is harmless: it is
// abandoned if the group's members still get heartbeats from an owner.
func (c *control) claimOwnerless(now time.Duration) {
	rankings := c.inst.fleet.Load().rankings
	for name, g := range c.groups {
		w := c.ownerWatches[name]
		st := g.Status()
		if st.Serving || st.Claiming || c.ownerAlive(now, name, st) {
			w.ownerlessSince = 0
			continue
		}
		if w.ownerlessSince == 0 {
			w.ownerlessSince = now
		}
		rank := slices.Index(rankings[name], c.inst.settings.Name)
		stagger := time.Duration(rank) * claimStagger
		if rank < 0 || now-w.ownerlessSince < stagger || now < w.nextClaim {
			continue
		}
		w.nextClaim = now + claimInterval
		g.Claim("no living owner is known", stagger)
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
	if since, ok := c.ownerWatches[group].idleSince[name]; ok && now-since > c.inst.settings.Failover.OwnerTimeout {
		return false
	}
	return !c.members.Down(now, name)
}

// moveMisplaced hands a group over once another instance has been its first choice for
// moveDelay.
func (c *control) moveMisplaced(now time.Duration) {
	rankings := c.inst.fleet.Load().rankings
	for name, g := range c.groups {
		w := c.ownerWatches[name]
		ranking := rankings[name]
		if len(ranking) == 0 || ranking[0] == c.inst.settings.Name || !g.Status().Serving {
			w.misplacedSince = 0
			continue
		}
		if w.misplacedSince == 0 {
			w.misplacedSince = now
		}
		if now-w.misplacedSince < moveDelay {
			continue
		}
		w.misplacedSince = now
		target := ranking[0]
		c.inst.spawn(func() {
			ctx, cancel := context.WithTimeout(context.Background(), moveDelay)
			defer cancel()
			c.inst.handOver(ctx, g, target)
		})
	}
}

// sendDueProbes sends the probes that are due: to the neighbours, and to the owners of the
// groups for which this instance is a candidate and the candidates that rank before it.
func (c *control) sendDueProbes(now time.Duration) {
	intervals := make(map[string]time.Duration)
	for _, name := range c.members.Neighbours() {
		intervals[name] = neighbourProbeInterval
	}
	rankings := c.inst.fleet.Load().rankings
	for group := range c.groups {
		rank := slices.Index(rankings[group], c.inst.settings.Name)
		interval := candidateProbeInterval
		if rank > 1 {
			interval = neighbourProbeInterval // only the first two of the ranking probe at the short interval
		}
		watched := rankings[group][:max(0, min(rank, candidates))]
		if name, _ := c.inst.dispatcher.Owner(group); name != "" {
			watched = append(slices.Clone(watched), name)
		}
		for _, name := range watched {
			if known, ok := intervals[name]; name != c.inst.settings.Name && (!ok || interval < known) {
				intervals[name] = interval
			}
		}
	}
	for name, interval := range intervals {
		p := c.probes[name]
		if p == nil {
			p = &probeState{}
			c.probes[name] = p
		}
		if p.running || now < p.next {
			continue
		}
		p.running, p.next = true, now+interval
		introduce := p.introducedAt == 0 || now-p.introducedAt > introduceInterval
		if introduce {
			p.introducedAt = now
		}
		c.sendProbe(name, introduce)
	}
}

// introduceInterval is how often a probe carries the address of this instance.
const introduceInterval = 10 * time.Second

func (c *control) sendProbe(name string, introduce bool) {
	i := c.inst
	req := &peerpb.ProbeRequest{From: i.settings.Name, Clock: uint64(i.hlc.Now()), Leaving: i.leaving.Load()}
	if introduce {
		req.Address, req.DataCentre = i.advertised(), i.settings.DataCentre
	}
	i.spawn(func() {
		reply, unreachable, err := i.callProbe(name, req)
		i.post(func(c *control) { c.handleProbeReply(name, reply, unreachable, err) })
	})
}

func (c *control) handleProbeReply(name string, reply *peerpb.ProbeReply, unreachable bool, err error) {
	now := c.inst.now()
	if p := c.probes[name]; p != nil {
		p.running = false
	}
	if err != nil {
		c.members.RecordFailedProbe(now, name, unreachable)
		return
	}
	c.inst.hlc.Observe(timeline.Stamp(reply.Clock))
	c.members.RecordContact(now, name, reply.Leaving)
	c.recordServing(now, name, reply.Groups)
	if c.inst.catalogue.Load().snapshot.IsBehind(reply.Revision, reply.Digest) && !c.fetching[name] {
		c.fetching[name] = true
		c.fetch(name)
	}
}

// recordServing records which groups an instance reports as served. An instance that is alive
// but does not serve a group, for example because it has lost its lease, is recorded as idle.
func (c *control) recordServing(now time.Duration, name string, states []*peerpb.GroupState) {
	serving := make(map[string]uint64, len(states))
	for _, st := range states {
		if st.Serving {
			serving[st.Group] = st.Term
		}
	}
	for group, w := range c.ownerWatches {
		if term, ok := serving[group]; ok {
			delete(w.idleSince, name)
			c.inst.dispatcher.SetOwner(group, name, term)
			continue
		}
		if w.idleSince == nil {
			w.idleSince = make(map[string]time.Duration)
		}
		if _, ok := w.idleSince[name]; !ok {
			w.idleSince[name] = now
		}
	}
}

// setSnapshot activates a snapshot if it is newer than the active one, and pushes the
// changes to the neighbours.
func (c *control) setSnapshot(s *rollout.Snapshot) {
	old := c.inst.catalogue.Load().snapshot
	if !old.IsBehind(s.Revision(), s.Digest()) {
		return
	}
	c.inst.setCatalogue(s)
	c.setList(c.platformList)
	c.inst.record(timeline.Event{Kind: "config-applied", Text: describeRevision(s)})
	c.push(s, old.Revision())
}
