package instance

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/membership"
	"github.com/stackspindle/stackspindle/internal/owner"
	"github.com/stackspindle/stackspindle/internal/peer"
	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
	"github.com/stackspindle/stackspindle/internal/pgserver"
	"github.com/stackspindle/stackspindle/internal/rollout"
	"github.com/stackspindle/stackspindle/internal/timeline"
)

// Timeouts of RPCs between instances.
const (
	probeTimeout    = 300 * time.Millisecond
	announceTimeout = time.Second
	exchangeTimeout = 2 * time.Second
)

// Runner implements peer.Backend.
func (i *Instance) Runner(name string) peer.Runner {
	g := i.Local(name)
	if g == nil {
		return nil
	}
	return g.NewStream()
}

// Probe implements peer.Backend.
func (i *Instance) Probe(req *peerpb.ProbeRequest) *peerpb.ProbeReply {
	i.injectFault(owner.StepControl)
	i.metrics.peerMessages.Inc()
	i.hlc.Observe(timeline.Stamp(req.Clock))
	i.post(func(c *control) {
		c.members.RecordContact(i.now(), req.From, req.Leaving)
		c.members.Introduce(i.now(), membership.Instance{
			Name:       req.From,
			Address:    req.Address,
			DataCentre: req.DataCentre,
			Leaving:    req.Leaving,
		})
	})
	snapshot := i.catalogue.Load().snapshot
	reply := &peerpb.ProbeReply{
		Name:     i.settings.Name,
		Clock:    uint64(i.hlc.Now()),
		Leaving:  i.leaving.Load(),
		Revision: snapshot.Revision(),
		Digest:   snapshot.Digest(),
	}
	for name, g := range *i.groups.Load() {
		if st := g.Status(); st.Serving {
			reply.Groups = append(reply.Groups, &peerpb.GroupState{Group: name, Term: st.Term, Serving: st.LeaseLeft > 0})
		}
	}
	return reply
}

// callProbe probes another instance. The second result reports whether the instance was
// unreachable, for example because it refused the connection.
func (i *Instance) callProbe(name string, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, bool, error) {
	i.metrics.peerMessages.Inc()
	p, err := i.peers.Peer(name)
	if err != nil {
		return nil, false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	reply, err := p.Probe(ctx, req)
	return reply, status.Code(err) == codes.Unavailable, err
}

// announce sends a request to every known instance, concurrently and without waiting.
func (c *control) announce(ctx context.Context, req *peerpb.AnnounceRequest) {
	i := c.inst
	req.Clock = uint64(i.hlc.Now())
	for _, m := range c.members.Known() {
		i.spawn(func() {
			i.metrics.peerMessages.Inc()
			p, err := i.peers.Peer(m.Name)
			if err != nil {
				return
			}
			ctx, cancel := context.WithTimeout(ctx, announceTimeout)
			defer cancel()
			if reply, err := p.Announce(ctx, req); err == nil {
				i.hlc.Observe(timeline.Stamp(reply.Clock))
			}
		})
	}
}

func (c *control) announceLeaving(ctx context.Context) {
	c.announce(ctx, &peerpb.AnnounceRequest{From: c.inst.settings.Name, Leaving: true})
}

// Announce implements peer.Backend.
func (i *Instance) Announce(req *peerpb.AnnounceRequest) *peerpb.AnnounceReply {
	i.injectFault(owner.StepControl)
	i.metrics.peerMessages.Inc()
	i.hlc.Observe(timeline.Stamp(req.Clock))
	for _, st := range req.Groups {
		i.dispatcher.SetOwner(st.Group, req.From, st.Term)
	}
	i.post(func(c *control) {
		c.members.RecordContact(i.now(), req.From, req.Leaving)
		for _, st := range req.Groups {
			if w := c.ownerWatches[st.Group]; w != nil {
				delete(w.idleSince, req.From)
			}
		}
	})
	return &peerpb.AnnounceReply{Clock: uint64(i.hlc.Now())}
}

// handOverAll hands every group that this instance serves to the first instance of the
// group's ranking, and waits until all hand-overs have ended.
func (i *Instance) handOverAll(ctx context.Context) {
	i.runOnControl(func(c *control) { c.publishFleet(true) })
	rankings := i.fleet.Load().rankings
	done := make(chan struct{})
	groups := *i.groups.Load()
	for name, g := range groups {
		go func() {
			defer func() { done <- struct{}{} }()
			if !g.Status().Serving || len(rankings[name]) == 0 {
				return
			}
			i.handOver(ctx, g, rankings[name][0])
		}()
	}
	for range groups {
		<-done
	}
}

// handOver releases a group and asks the successor to take it over. If the successor
// does not answer, the candidates find the group released and claim it.
func (i *Instance) handOver(ctx context.Context, g *owner.Group, successor string) {
	p, err := i.peers.Peer(successor)
	if err != nil {
		return
	}
	i.record(timeline.Event{Kind: "hand-over", Group: g.Name(), Text: "handing over to " + successor})
	state, err := g.Release(ctx, successor)
	if err != nil {
		return
	}
	req := &peerpb.HandOverRequest{
		Group:        g.Name(),
		From:         i.settings.Name,
		Term:         state.Term,
		Acknowledged: &peerpb.Position{Term: state.Acknowledged.Term, Index: state.Acknowledged.Index},
	}
	for session, floor := range state.Floors {
		req.Floors = append(req.Floors, &peerpb.FloorEntry{Session: session, Floor: &peerpb.Position{Term: floor.Term, Index: floor.Index}})
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if _, err := p.HandOver(ctx, req); err != nil {
		i.loggerFor("owner").WithError(err).Warn("owner: hand-over request to the successor failed")
	}
}

// HandOver implements peer.Backend.
func (i *Instance) HandOver(req *peerpb.HandOverRequest) *peerpb.HandOverReply {
	if i.leaving.Load() {
		return &peerpb.HandOverReply{Detail: "this instance leaves too"}
	}
	h := owner.HandOver{
		Term:         req.Term,
		Acknowledged: position(req.Acknowledged),
		Floors:       make(map[string]group.Position, len(req.Floors)),
	}
	for _, f := range req.Floors {
		h.Floors[f.Session] = position(f.Floor)
	}
	accepted := false
	ran := i.runOnControl(func(c *control) {
		g := c.groups[req.Group]
		if d := i.catalogue.Load().databases[req.Group]; g == nil && d != nil {
			c.startGroup(groupSpec(req.Group, d, i.settings.Credentials))
			g = c.groups[req.Group]
			published := make(map[string]*owner.Group, len(c.groups))
			for name, other := range c.groups {
				published[name] = other
			}
			i.groups.Store(&published)
		}
		if g != nil {
			g.TakeOver(req.From, h)
			accepted = true
		}
	})
	return &peerpb.HandOverReply{Accepted: ran && accepted}
}

func position(p *peerpb.Position) group.Position {
	return group.Position{Term: p.GetTerm(), Index: p.GetIndex()}
}

// Timeline implements peer.Backend.
func (i *Instance) Timeline(req *peerpb.TimelineRequest) *peerpb.TimelineReply {
	reply := &peerpb.TimelineReply{}
	for _, e := range i.ring.Since(timeline.Stamp(req.Since)) {
		reply.Events = append(reply.Events, &peerpb.Event{
			Clock:    uint64(e.Clock),
			Instance: e.Instance,
			Kind:     e.Kind,
			Group:    e.Group,
			Member:   e.Member,
			Term:     e.Term,
			Text:     e.Text,
		})
	}
	return reply
}

// Cancel implements peer.Backend.
func (i *Instance) Cancel(req *peerpb.CancelRequest) {
	i.clientServer.Cancel(req.ProcessId, req.Secret)
}

// forwardCancel forwards a cancel request to all instances whose name hashes to the tag.
func (i *Instance) forwardCancel(tag, pid uint32, secret []byte) {
	for _, m := range i.fleet.Load().known {
		if pgserver.InstanceTag(m.Name) != tag {
			continue
		}
		p, err := i.peers.Peer(m.Name)
		if err != nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
		_, _ = p.Cancel(ctx, &peerpb.CancelRequest{ProcessId: pid, Secret: secret}) // best effort, as in PostgreSQL
		cancel()
	}
}

// Exchange implements peer.Backend. It applies the changes that the requester pushes, or
// returns the entries that the requester does not have.
func (i *Instance) Exchange(req *peerpb.ExchangeRequest) *peerpb.ExchangeReply {
	i.injectFault(owner.StepControl)
	i.metrics.peerMessages.Inc()
	if len(req.Changes) > 0 {
		entries := entriesOf(req.Changes)
		i.post(func(c *control) { c.applyPush(req, entries) })
	}
	snapshot := i.catalogue.Load().snapshot
	reply := &peerpb.ExchangeReply{Revision: snapshot.Revision(), Digest: snapshot.Digest()}
	switch {
	case req.WantFull:
		reply.Resources = resourcesOf(snapshot.Entries())
	case len(req.Changes) == 0:
		reply.Resources = resourcesOf(snapshot.Since(req.Revision))
	}
	return reply
}

// applyPush applies pushed changes. A snapshot is complete up to its revision. If the
// changes start after the revision of the local snapshot, merging them would leave a gap,
// so the missing entries are fetched from the sender instead.
func (c *control) applyPush(req *peerpb.ExchangeRequest, entries []rollout.Entry) {
	current := c.inst.catalogue.Load().snapshot
	if current.Revision() < req.BaseRevision {
		c.fetch(req.From)
		return
	}
	c.setSnapshot(current.Merge(req.Revision, entries))
}

// push sends the entries changed after a revision to the neighbours, which push them to
// their neighbours in turn.
func (c *control) push(s *rollout.Snapshot, since int64) {
	i := c.inst
	req := &peerpb.ExchangeRequest{
		From:     i.settings.Name,
		Revision: s.Revision(),
		Digest:   s.Digest(),
		Changes:  resourcesOf(s.Since(since)),

		BaseRevision: since,
	}
	if len(req.Changes) == 0 {
		return
	}
	for _, name := range c.members.Neighbours() {
		i.spawn(func() { _, _ = i.exchange(name, req) }) // probes detect and repair a lost push
	}
}

// fetch requests the configuration changes that another instance has and this one lacks.
// If the snapshots still differ afterwards, the next probe calls fetch again at the same
// local revision, and all entries are requested.
func (c *control) fetch(name string) {
	i := c.inst
	snapshot := i.catalogue.Load().snapshot
	req := &peerpb.ExchangeRequest{From: i.settings.Name, Revision: snapshot.Revision(), Digest: snapshot.Digest()}
	req.WantFull = c.fetchedAtRevision[name] == snapshot.Revision()
	c.fetchedAtRevision[name] = snapshot.Revision()
	i.spawn(func() {
		reply, err := i.exchange(name, req)
		i.post(func(c *control) {
			delete(c.fetching, name)
			if err == nil {
				c.setSnapshot(i.catalogue.Load().snapshot.Merge(reply.Revision, entriesOf(reply.Resources)))
			}
		})
	})
}

func (i *Instance) exchange(name string, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	i.metrics.peerMessages.Inc()
	p, err := i.peers.Peer(name)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	return p.Exchange(ctx, req)
}

func entriesOf(resources []*peerpb.Resource) []rollout.Entry {
	entries := make([]rollout.Entry, 0, len(resources))
	for _, r := range resources {
		entries = append(entries, rollout.Entry{
			Key:      rollout.Key{Kind: r.Kind, Name: r.Name},
			Document: string(r.Document),
			Revision: r.Revision,
			Deleted:  r.Deleted,
		})
	}
	return entries
}

func resourcesOf(entries []rollout.Entry) []*peerpb.Resource {
	resources := make([]*peerpb.Resource, 0, len(entries))
	for _, e := range entries {
		resources = append(resources, &peerpb.Resource{
			Kind:     e.Key.Kind,
			Name:     e.Key.Name,
			Document: []byte(e.Document),
			Revision: e.Revision,
			Deleted:  e.Deleted,
		})
	}
	return resources
}

func (i *Instance) setCatalogue(s *rollout.Snapshot) {
	i.catalogue.Store(newCatalogue(s, i.credentials, func(key, problem string) {
		i.loggerFor("config").WithField("resource", key).Warn("config: ignoring a resource that cannot be decoded: " + problem)
	}))
}

func describeRevision(s *rollout.Snapshot) string {
	return fmt.Sprintf("revision %d is in force, %d resources", s.Revision(), s.Len())
}
