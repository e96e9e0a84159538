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

// memberGrace is how long a member whose entry has vanished is still used.
// Entries that lapse while the store is away, or while their member cannot
// reach it, come back; work for one that is gone must end within 7 s.
const memberGrace = 4 * time.Second

// departedMemory is for how long an instance that does not hear of the store reckons
// with the return of a member: as long as it may use a primary then.
const departedMemory = 2 * lead.VerifiableFor

// control holds the control state: it takes in what the follower learned,
// publishes snapshots, and looks at what is due.
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
			i.takeIn(state, c)
			close(c.taken)
		case <-ticker.C:
			ticker.Reset(i.tickPause())
			expired := state.Expire(i.now())
			if expired {
				i.publish(state)
			}
			if expired || i.placeLater {
				i.share(state)
			}
		case <-shrink.C:
			i.upstreams.Shrink()
			continue
		case <-report.C:
			i.upstreams.Report(i.part("relay"))
			i.reportCrossing()
		case <-i.ctx.Done():
			return nil
		}
		i.relay.LogFailures(false)
		i.relay.ForEachPrimaryGuard(func(_ string, g *lead.Gate) { g.Enforce(enforceDrain) })
		if !i.stopping.Load() {
			i.controller.Tick(i.ctx)
			i.attest()
		}
	}
}

// idleTick is the pause between two looks of an instance that neither leads a group nor uses
// one. What is due there is to forget members, within seconds, and to take part in
// what the others attest.
const idleTick = 200 * time.Millisecond

// lookPerGroup is the pause before the next look for each group that the instance carries or
// leads, which bounds the part of a core that the looks take.
const lookPerGroup = 200 * time.Microsecond

// tickPause returns the pause before the next look.
func (i *Instance) tickPause() time.Duration {
	groups := len(i.relay.ServedGroups()) + len(i.view.Load().Led(i.self.Name, i.self.Incarnation))
	if groups == 0 {
		return idleTick
	}
	return min(max(tickInterval, time.Duration(groups)*lookPerGroup), idleTick)
}

// Settings of the questions to the other instances.
const (
	// attestAfter is for how long the store must not have confirmed the grants before
	// the other instances are asked: more than passes between two confirmations where
	// the store answers, and little less than grants are confirmed for.
	attestAfter = lead.GrantValidity - 300*time.Millisecond
	// attestLater is the same where few instances use each group. The members verify for
	// them meanwhile, a question to each that all statements share. A store that has
	// forgotten its history leaves grants unconfirmed for a while: if all carriers asked
	// then, at once, too few would be answered in time, and statements would wait.
	attestLater = lead.GrantValidity + 1500*time.Millisecond
	// attestEvery is the pause after a round that found a quorum: there is time for
	// two more before what it has attested lapses.
	attestEvery = lead.GrantValidity / 2
	// minAttestAgain is the pause after one that did not, which doubles with each
	// further one: with the grant unconfirmed the members verify what is
	// done meanwhile, and instances that are too busy to answer get time to.
	minAttestAgain     = 300 * time.Millisecond
	maxAttestDoublings = 3 // up to 2.4 s
	// mostAttesting is up to how many registered instances a quorum of them is asked: each that
	// asks connects to it. In a larger fleet the members alone verify what is done while the store
	// is silent, which costs a question to each member of a group, however many instances there
	// are.
	mostAttesting = 320
	// attestIdle is the pause of an instance that uses no primary. It asks only to know
	// that it is not cut off, and may call itself ready: three times before that lapses.
	attestIdle = readyWithout / 3
)

// attest has the other instances stand in for the store while it is silent.
func (i *Instance) attest() {
	now := i.now()
	heard, asked := time.Duration(i.heardAt.Load()), time.Duration(i.askedAt.Load())
	pause, after := attestEvery, attestAfter
	if !i.relay.AllServeAllGroups() {
		after = attestLater
	}
	switch {
	case !i.carriesAny():
		pause = attestIdle
	case time.Duration(i.attestAt.Load()) < asked:
		pause = minAttestAgain << min(i.attestFailures.Load(), maxAttestDoublings)
	}
	if !i.registeredOnce.Load() || now-heard < after || now-asked < pause {
		return
	}
	if i.view.Load().CountRegistered(now) > mostAttesting || i.attesting.Swap(true) {
		return
	}
	i.askedAt.Store(int64(now))
	i.spawn(func() {
		defer i.attesting.Store(false)
		sent, ok := i.controller.Attest(i.ctx)
		if !ok {
			i.attestFailures.Add(1)
			return
		}
		i.attestFailures.Store(0)
		i.attestAt.Store(int64(sent))
	})
}

// carriesAny reports whether this instance uses the primary of any group.
func (i *Instance) carriesAny() bool {
	return i.placements.Snapshot() == nil || len(i.placements.Snapshot().ServedGroups()) > 0
}

// takeIn puts a change in force.
func (i *Instance) takeIn(state *topology.State, c change) {
	view, err := i.applyView(c)
	if err != nil {
		i.part("control").WithError(err).Error("control: an entry of our own could not be read and is left out")
	}
	if i.applyTopology(state, c) {
		i.publish(state)
	}
	if c.Whole || len(c.Events) > 0 {
		before := i.view.Swap(view)
		i.relay.ForEachPrimaryGuard(func(group string, g *lead.Gate) {
			if record, revision := view.Record(group); revision > 0 {
				g.Learn(record, revision)
			}
		})
		i.share(state)
		if !view.SameInstances(before) {
			i.limiter.Learn(view.Names(), view.Alive())
		}
	}
	i.pictureAt.Store(max(i.pictureAt.Load(), int64(c.Confirmed)))
	i.inForce.Store(max(i.inForce.Load(), c.Revision))
	if c.Whole {
		i.readOnce.Do(func() { close(i.readStore) })
	}
	if view.IsAlive(i.self.Name, i.self.Incarnation) && !i.stopping.Load() {
		if !i.registeredOnce.Load() {
			i.registeredAt.Store(int64(i.now())) // first, since others read it once the other is set
			i.registeredOnce.Store(true)
		}
		i.relay.EnableCarrier()
		i.heardAt.Store(int64(c.Confirmed))
		i.limiter.Confirm(c.Confirmed)
		i.relay.ForEachPrimaryGuard(func(_ string, g *lead.Gate) { g.Confirm(c.Confirmed) })
	}
}

func (i *Instance) applyView(c change) (*lead.View, error) {
	if c.Whole {
		return i.view.Load().Replace(i.now(), c.Items())
	}
	if len(c.Events) == 0 {
		return i.view.Load(), nil
	}
	return i.view.Load().Apply(i.now(), c.Events)
}

// applyTopology takes in configuration and members, and reports whether anything
// changed.
func (i *Instance) applyTopology(state *topology.State, c change) bool {
	changed := false
	i.changedMembers = i.changedMembers[:0]
	present := make(map[string]bool)
	for _, e := range c.Events {
		changed = i.applyKey(state, e, c.Whole) || changed
		if id, ok := i.platform.Decoder.MemberID(e.Key); ok && c.Whole && i.isMember(id, e) {
			present[id] = true
		}
	}
	if c.Whole {
		state.KeepMembers(i.now(), present)
	}
	i.logMembers()
	return changed
}

// memberLines is how many members that have changed together are logged one by one. More
// change where a fleet starts or the store was away.
const memberLines = 32

// logMembers logs the members that a change of the picture has changed.
func (i *Instance) logMembers() {
	log := i.part("control")
	if len(i.changedMembers) > memberLines {
		log.WithField("members", len(i.changedMembers)).Info("control: the entries of many members have changed")
		return
	}
	for _, m := range i.changedMembers {
		log.WithFields(logrus.Fields{
			"member": m.ID, "revision": m.Revision, "group": m.Group, "draining": m.Draining, "claims_primary": m.Primary,
		}).Info("control: a member's entry has changed")
	}
}

// isMember reports whether an entry names a member.
func (i *Instance) isMember(id string, e kv.Event) bool {
	_, err := i.platform.Decoder.Member(id, e.Value)
	return err == nil
}

func (i *Instance) applyKey(state *topology.State, e kv.Event, listed bool) bool {
	decoder := i.platform.Decoder
	log := func() *logrus.Entry {
		return i.part("control").WithFields(logrus.Fields{"key": e.Key, "revision": e.Revision})
	}
	if decoder.IsConfig(e.Key) && !e.Deleted {
		config, err := decoder.Config(e.Value)
		if err != nil {
			log().WithError(err).Error("control: the configuration cannot be read; the one before stays in force")
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
		log().WithField("member", id).Info("control: a member's entry has vanished")
		state.DropMember(i.now(), id)
		return false
	}
	m, err := decoder.Member(id, e.Value)
	if err != nil {
		log().WithError(err).Warn("control: an entry is no member's and names none to use")
		state.DropMember(i.now(), id)
		return false
	}
	m.Revision = e.Revision
	if state.SetMember(i.now(), m, listed) {
		i.changedMembers = append(i.changedMembers, m)
		return true
	}
	return false
}

// publish makes the picture known to the traffic.
func (i *Instance) publish(state *topology.State) { i.topology.Store(state.Snapshot()) }

// share decides which instances hold connections to which groups, and how many.
func (i *Instance) share(state *topology.State) {
	snap, view := i.topology.Load(), i.view.Load()
	for _, name := range state.TakeChanged() {
		if g, declared := relay.PlacementGroup(snap, name); declared {
			i.placements.Set(g)
		} else {
			i.placements.Remove(name)
		}
	}
	i.place(view, len(snap.Groups))
	i.upstreams.Update(snap, i.placements.Snapshot(), i.self.DataCentre)
}

// placePerGroup is the pause between two placements for each group that there is. Where hundreds
// of instances start, or go, at once, each batch of them would place most groups anew; until the
// next placement the carriers that are left serve.
const placePerGroup = 300 * time.Microsecond

// place has the groups placed on the instances as they are now, unless they were a moment ago:
// then the next look does.
func (i *Instance) place(view *lead.View, groups int) {
	now := i.now()
	i.placeLater = i.placements.Snapshot() != nil && now-i.placedAt < time.Duration(groups)*placePerGroup
	if i.placeLater {
		return
	}
	i.placedAt = now
	if i.placedOn == nil || !view.SameInstances(i.placedOn) {
		i.placedOn = view
		i.placements.SetInstances(view.Alive())
	}
	i.placements.Update(view.CountRegistered(now), i.reportPlacement)
	i.relay.SetPlacement(i.placements.Snapshot())
}

// known returns what the store holds of a group's record, as far as this instance knows. The
// time of the confirmation is read first, so that the view is as new at least.
func (i *Instance) known(group string) relay.StoredRecord {
	confirmed := time.Duration(i.heardAt.Load())
	record, revision := i.view.Load().Record(group)
	return relay.StoredRecord{Record: record, Revision: revision, ConfirmedAt: confirmed}
}

// surroundings gives the controller its picture of the instance.
type surroundings struct{ i *Instance }

func (s surroundings) Topology() *topology.Snapshot { return s.i.topology.Load() }
func (s surroundings) View() *lead.View             { return s.i.view.Load() }
func (s surroundings) Gate(group string) *lead.Gate { return s.i.relay.PrimaryGuard(group) }

// leadAfterPerGroup is for how long after its registration an instance leaves groups without
// a leader to others, for each group that there is. Instances that start together do not know
// of one another at once; each would try to lead all groups meanwhile, and the store takes
// fewer writes a second than that.
const leadAfterPerGroup = 2 * time.Millisecond

// mayLead reports whether an instance that has been registered for a time takes over groups
// without a leader.
func mayLead(registeredFor time.Duration, groups int) bool {
	return registeredFor >= time.Duration(groups)*leadAfterPerGroup
}

func (s surroundings) Lease() kv.LeaseID {
	registeredFor := s.i.now() - time.Duration(s.i.registeredAt.Load())
	if !mayLead(registeredFor, len(s.i.topology.Load().Groups)) {
		return 0
	}
	if !s.i.view.Load().IsAlive(s.i.self.Name, s.i.self.Incarnation) {
		return 0
	}
	return kv.LeaseID(s.i.lease.Load())
}

func (s surroundings) Heard(id string) (time.Duration, bool) {
	return s.i.upstreams.SinceLastAnswer(id)
}
func (s surroundings) Doubtful(id string) bool   { return s.i.upstreams.HasUnansweredAttempt(id) }
func (s surroundings) Carries(group string) bool { return s.i.relay.Serves(group) }
func (s surroundings) Carried() []string         { return s.i.relay.ServedGroups() }

func (s surroundings) Rank(group string, most int) int {
	carriers := s.i.relay.CarriersOf(group)
	if rank, ok := carriers.Rank(s.i.self.Name); ok {
		return min(rank, most)
	}
	before := len(carriers.Names)
	if before >= most {
		return most
	}
	return before + s.i.view.Load().RankUpTo(group, s.i.self.Name, most-before)
}

func (s surroundings) Users(group string) []lead.Instance {
	carriers := s.i.relay.CarriersOf(group)
	if carriers.Everybody || len(carriers.Others) == 0 {
		return s.i.view.Load().Registered(s.i.now())
	}
	return carriers.Others
}

func (s surroundings) Alone(group, primary string) bool {
	return s.i.upstreams.OverloadedWithoutReplicas(group, primary)
}

func (s surroundings) Behind(name string, p group.Position) time.Duration {
	return s.i.upstreams.ReplicaLag(name, p)
}

func (s surroundings) NoteAnswer(id string) { s.i.upstreams.RecordAnswer(id) }
