package fleet

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/kv"
	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/relay"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// memberGrace is how long a member is still used after its entry was removed from the store.
// Entries come back if they expired during a store outage or while their member could not reach the
// store. Work for a member that has left must end within 7 s.
const memberGrace = 4 * time.Second

// departedMemory is how long an instance without contact to the store expects that a departed
// member may return. It covers the time for which such an instance may use a primary.
const departedMemory = 2 * lead.UnconfirmedUseLimit

// control owns the control state. It applies the follower's updates, publishes snapshots of the
// topology, and runs the periodic checks.
func (i *Instance) control() error {
	state := topology.New(memberGrace, departedMemory)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	shrink := time.NewTicker(relay.ShrinkInterval)
	defer shrink.Stop()
	for {
		select {
		case c := <-i.changes:
			i.applyChange(state, c)
			close(c.applied)
		case <-ticker.C:
			ticker.Reset(i.tickPause())
			expired := state.Expire(i.now())
			if expired {
				i.publishTopology(state)
			}
			if expired || i.placementDue {
				i.updatePlacement(state)
			}
		case <-shrink.C:
			i.upstreams.Shrink()
			continue
		case <-report.C:
			i.upstreams.Report(i.part("relay"))
			i.reportCrossRegionTraffic()
		case <-i.ctx.Done():
			return nil
		}
		i.relay.LogFailures(false)
		i.relay.ForEachPrimaryGuard(func(_ string, g *lead.PrimaryGuard) { g.AbortOverdue(abortDelay) })
		if !i.stopping.Load() {
			i.controller.Tick(i.ctx)
			i.attest()
		}
	}
}

// idleTick is the tick interval of an instance that neither leads nor serves a group. It only has
// to expire members, within seconds, and to ask for attestations.
const idleTick = 200 * time.Millisecond

// tickPerGroup is the tick interval per group that the instance serves or leads. It bounds the
// share of a core that the ticks take.
const tickPerGroup = 200 * time.Microsecond

// tickPause returns the pause before the next tick.
func (i *Instance) tickPause() time.Duration {
	groups := len(i.relay.ServedGroups()) + len(i.view.Load().GroupsLedBy(i.self.Name, i.self.Incarnation))
	if groups == 0 {
		return idleTick
	}
	return min(max(tickInterval, time.Duration(groups)*tickPerGroup), idleTick)
}

// Settings of the attestation rounds, in which the other instances are asked to confirm the grants.
const (
	// attestAfter is how long the store must not have confirmed the grants before a round starts.
	// It is longer than the time between two confirmations while the store answers, and slightly
	// shorter than the validity of a grant.
	attestAfter = lead.GrantValidity - 300*time.Millisecond
	// attestAfterPlaced is the same where each group is served by few instances. Until then the
	// members verify answers, with one question to each member that all statements share. A store
	// whose history was compacted leaves grants unconfirmed for a while: if all carriers started a
	// round at once, too few questions would be answered in time, and statements would wait.
	attestAfterPlaced = lead.GrantValidity + 1500*time.Millisecond
	// attestInterval is the pause after a round that reached a quorum. There is time for two more
	// rounds before the attestation expires.
	attestInterval = lead.GrantValidity / 2
	// minAttestRetry is the pause after a round without a quorum. It doubles with each further one,
	// up to maxAttestDoublings times. With the grant unconfirmed the members verify answers, and
	// overloaded instances get time to recover.
	minAttestRetry     = 300 * time.Millisecond
	maxAttestDoublings = 3 // up to 2.4 s
	// maxAttestInstances is the largest number of registered instances with which rounds are run,
	// since each instance connects to the others for a round. In a larger fleet the members alone
	// verify answers while the store is unavailable, which costs one question to each member of a
	// group, however many instances there are.
	maxAttestInstances = 320
	// attestIdleInterval is the pause of an instance that uses no primary. It runs rounds only to
	// learn that it is not partitioned, so that it may stay ready: three rounds before that lapses.
	attestIdleInterval = readyWithoutConfirmation / 3
)

// attest starts a round of attestations by the other instances if the store has not confirmed the
// grants for long enough.
func (i *Instance) attest() {
	now := i.now()
	confirmed, started := time.Duration(i.grantsConfirmedAt.Load()), time.Duration(i.attestStartedAt.Load())
	pause, minAge := attestInterval, attestAfter
	if !i.relay.AllServeAllGroups() {
		minAge = attestAfterPlaced
	}
	switch {
	case !i.servesAnyGroup():
		pause = attestIdleInterval
	case time.Duration(i.attestedAt.Load()) < started:
		pause = minAttestRetry << min(i.attestFailures.Load(), maxAttestDoublings)
	}
	if !i.registeredOnce.Load() || now-confirmed < minAge || now-started < pause {
		return
	}
	if i.view.Load().CountRegistered(now) > maxAttestInstances || i.attesting.Swap(true) {
		return
	}
	i.attestStartedAt.Store(int64(now))
	i.spawn(func() {
		defer i.attesting.Store(false)
		sent, ok := i.controller.RequestAttestations(i.ctx)
		if !ok {
			i.attestFailures.Add(1)
			return
		}
		i.attestFailures.Store(0)
		i.attestedAt.Store(int64(sent))
	})
}

// servesAnyGroup reports whether this instance holds connections to the members of any group.
func (i *Instance) servesAnyGroup() bool {
	return i.placements.Snapshot() == nil || len(i.placements.Snapshot().ServedGroups()) > 0
}

// applyChange puts an update from the follower into force.
func (i *Instance) applyChange(state *topology.State, c change) {
	view, err := i.applyView(c)
	if err != nil {
		i.part("control").WithError(err).Error("control: an entry written by an instance cannot be decoded; ignoring it")
	}
	if i.applyTopology(state, c) {
		i.publishTopology(state)
	}
	if c.Snapshot || len(c.Events) > 0 {
		previous := i.view.Swap(view)
		i.relay.ForEachPrimaryGuard(func(group string, g *lead.PrimaryGuard) {
			if record, revision := view.Record(group); revision > 0 {
				g.ApplyRecord(record, revision)
			}
		})
		i.updatePlacement(state)
		if !view.SameInstances(previous) {
			i.limiter.SetInstances(view.Names(), view.Alive())
		}
	}
	i.snapshotConfirmedAt.Store(max(i.snapshotConfirmedAt.Load(), int64(c.ConfirmedAt)))
	i.appliedRevision.Store(max(i.appliedRevision.Load(), c.Revision))
	if c.Snapshot {
		i.storeReadOnce.Do(func() { close(i.storeRead) })
	}
	if view.IsAlive(i.self.Name, i.self.Incarnation) && !i.stopping.Load() {
		if !i.registeredOnce.Load() {
			i.registeredAt.Store(int64(i.now())) // set first, since others read it once registeredOnce is set
			i.registeredOnce.Store(true)
		}
		i.relay.EnableCarrier()
		i.grantsConfirmedAt.Store(int64(c.ConfirmedAt))
		i.limiter.ConfirmSnapshot(c.ConfirmedAt)
		i.relay.ForEachPrimaryGuard(func(_ string, g *lead.PrimaryGuard) { g.Confirm(c.ConfirmedAt) })
	}
}

func (i *Instance) applyView(c change) (*lead.View, error) {
	if c.Snapshot {
		return i.view.Load().Replace(i.now(), c.Items())
	}
	if len(c.Events) == 0 {
		return i.view.Load(), nil
	}
	return i.view.Load().Apply(i.now(), c.Events)
}

// applyTopology applies the changes of the configuration and the members, and reports whether there
// were any.
func (i *Instance) applyTopology(state *topology.State, c change) bool {
	changed := false
	i.changedMembers = i.changedMembers[:0]
	present := make(map[string]bool)
	for _, e := range c.Events {
		changed = i.applyKey(state, e, c.Snapshot) || changed
		if id, ok := i.platform.Decoder.MemberID(e.Key); ok && c.Snapshot && i.isMember(id, e) {
			present[id] = true
		}
	}
	if c.Snapshot {
		state.MarkMissingExcept(i.now(), present)
	}
	i.logMembers()
	return changed
}

// maxMemberLogLines is how many members that have changed together are logged one by one. More
// change when a fleet starts or after a store outage.
const maxMemberLogLines = 32

// logMembers logs the members that the current update has changed.
func (i *Instance) logMembers() {
	log := i.part("control")
	if len(i.changedMembers) > maxMemberLogLines {
		log.WithField("members", len(i.changedMembers)).Info("control: the entries of many members have changed")
		return
	}
	for _, m := range i.changedMembers {
		log.WithFields(logrus.Fields{
			"member": m.ID, "revision": m.Revision, "group": m.Group, "draining": m.Draining, "claims_primary": m.Primary,
		}).Info("control: a member's entry has changed")
	}
}

// isMember reports whether an entry is a valid member entry.
func (i *Instance) isMember(id string, e kv.Event) bool {
	_, err := i.platform.Decoder.Member(id, e.Value)
	return err == nil
}

func (i *Instance) applyKey(state *topology.State, e kv.Event, fromSnapshot bool) bool {
	decoder := i.platform.Decoder
	log := func() *logrus.Entry {
		return i.part("control").WithFields(logrus.Fields{"key": e.Key, "revision": e.Revision})
	}
	if decoder.IsConfig(e.Key) && !e.Deleted {
		config, err := decoder.Config(e.Value)
		if err != nil {
			log().WithError(err).Error("control: the configuration cannot be decoded; the previous one stays in force")
			return false
		}
		if !state.SetConfig(config) {
			return false
		}
		log().WithFields(logrus.Fields{"version": config.Version, "routes": len(config.Routes)}).Info("control: a configuration is in force")
		return true
	}
	id, ok := decoder.MemberID(e.Key)
	if !ok {
		return false
	}
	if e.Deleted {
		log().WithField("member", id).Info("control: a member's entry was removed")
		state.MarkMissing(i.now(), id)
		return false
	}
	m, err := decoder.Member(id, e.Value)
	if err != nil {
		log().WithError(err).Warn("control: ignoring an entry that is not a valid member entry")
		state.MarkMissing(i.now(), id)
		return false
	}
	m.Revision = e.Revision
	if state.SetMember(i.now(), m, fromSnapshot) {
		i.changedMembers = append(i.changedMembers, m)
		return true
	}
	return false
}

// publishTopology makes the current topology visible to the data path.
func (i *Instance) publishTopology(state *topology.State) { i.topology.Store(state.Snapshot()) }

// updatePlacement computes which instances hold connections to the members of which groups, and how
// many.
func (i *Instance) updatePlacement(state *topology.State) {
	snap, view := i.topology.Load(), i.view.Load()
	for _, name := range state.TakeChangedGroups() {
		if g, declared := relay.PlacementGroup(snap, name); declared {
			i.placements.Set(g)
		} else {
			i.placements.Remove(name)
		}
	}
	i.placeGroups(view, len(snap.Groups))
	i.upstreams.Update(snap, i.placements.Snapshot(), i.self.DataCentre)
}

// placementPausePerGroup is the least time between two placements, per group. When hundreds of
// instances start or stop at once, each batch of them would move most groups; until the next
// placement the remaining carriers serve.
const placementPausePerGroup = 300 * time.Microsecond

// placeGroups assigns the groups to the current instances. If the last placement is too recent it
// leaves this to a later tick.
func (i *Instance) placeGroups(view *lead.View, groups int) {
	now := i.now()
	i.placementDue = i.placements.Snapshot() != nil && now-i.placedAt < time.Duration(groups)*placementPausePerGroup
	if i.placementDue {
		return
	}
	i.placedAt = now
	if i.placedView == nil || !view.SameInstances(i.placedView) {
		i.placedView = view
		i.placements.SetInstances(view.Alive())
	}
	i.placements.Update(view.CountRegistered(now), i.reportPlacement)
	i.relay.SetPlacement(i.placements.Snapshot())
}

// storedRecord returns a group's record as this instance last read it from the store. The
// confirmation time is read first, so that the view is at least as new as that.
func (i *Instance) storedRecord(group string) relay.StoredRecord {
	confirmed := time.Duration(i.grantsConfirmedAt.Load())
	record, revision := i.view.Load().Record(group)
	return relay.StoredRecord{Record: record, Revision: revision, ConfirmedAt: confirmed}
}

// environment implements lead.Environment for the controller.
type environment struct{ i *Instance }

func (s environment) Topology() *topology.Snapshot { return s.i.topology.Load() }
func (s environment) View() *lead.View             { return s.i.view.Load() }
func (s environment) PrimaryGuard(group string) *lead.PrimaryGuard {
	return s.i.relay.PrimaryGuard(group)
}

// leadDelayPerGroup is how long after its registration an instance leaves groups without a leader
// to others, per group. Instances that start together do not know each other at once; each would
// try to lead all groups, which would take more writes per second than the store accepts.
const leadDelayPerGroup = 2 * time.Millisecond

// mayLead reports whether an instance that has been registered for a time may take over groups
// without a leader.
func mayLead(registeredFor time.Duration, groups int) bool {
	return registeredFor >= time.Duration(groups)*leadDelayPerGroup
}

func (s environment) Lease() kv.LeaseID {
	registeredFor := s.i.now() - time.Duration(s.i.registeredAt.Load())
	if !mayLead(registeredFor, len(s.i.topology.Load().Groups)) {
		return 0
	}
	if !s.i.view.Load().IsAlive(s.i.self.Name, s.i.self.Incarnation) {
		return 0
	}
	return kv.LeaseID(s.i.lease.Load())
}

func (s environment) SinceLastAnswer(id string) (time.Duration, bool) {
	return s.i.upstreams.SinceLastAnswer(id)
}
func (s environment) HasUnansweredAttempt(id string) bool {
	return s.i.upstreams.HasUnansweredAttempt(id)
}
func (s environment) Serves(group string) bool { return s.i.relay.Serves(group) }
func (s environment) ServedGroups() []string   { return s.i.relay.ServedGroups() }

func (s environment) Rank(group string, limit int) int {
	carriers := s.i.relay.CarriersOf(group)
	if rank, ok := carriers.Rank(s.i.self.Name); ok {
		return min(rank, limit)
	}
	carrierCount := len(carriers.Names)
	if carrierCount >= limit {
		return limit
	}
	return carrierCount + s.i.view.Load().RankUpTo(group, s.i.self.Name, limit-carrierCount)
}

func (s environment) InstancesServing(group string) []lead.Instance {
	carriers := s.i.relay.CarriersOf(group)
	if carriers.AllInstances || len(carriers.Others) == 0 {
		return s.i.view.Load().Registered(s.i.now())
	}
	return carriers.Others
}

func (s environment) OverloadedWithoutReplicas(group, primary string) bool {
	return s.i.upstreams.OverloadedWithoutReplicas(group, primary)
}

func (s environment) ReplicaLag(name string, position group.Position) time.Duration {
	return s.i.upstreams.ReplicaLag(name, position)
}

func (s environment) RecordAnswer(id string) { s.i.upstreams.RecordAnswer(id) }
