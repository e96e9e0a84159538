package lead

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/kv"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// Settings of a change of primary.
const (
	// plannedDrain is the time for open transactions when the primary still serves.
	// All other work for it waits meanwhile; what takes longer is rolled back, and
	// its caller told so.
	plannedDrain = 500 * time.Millisecond
	// urgentDrain is the same when the primary is dead: nothing there will end by
	// itself, but one that is only slow may still answer.
	urgentDrain = 60 * time.Millisecond
	// releaseTimeout bounds one call of an instance beyond the drain.
	releaseTimeout = 400 * time.Millisecond
	// releaseRetry is the pause before an instance is asked again.
	releaseRetry = 100 * time.Millisecond
	// storeRetry is the pause after a write of the store that did not succeed; each
	// call is charged.
	storeRetry = 300 * time.Millisecond
	// leaderProof is how old the last conditional write may be when the platform
	// is asked to promote: it shows that nobody else leads.
	leaderProof = 500 * time.Millisecond
	// promoteTimeout bounds the call to the platform.
	promoteTimeout = time.Second
	// promoteWait bounds the wait until the member leads, which is asked every
	// pollInterval. The bound matters only where a promotion has failed silently; one
	// that takes longer is found by the next attempt.
	promoteWait = 2500 * time.Millisecond
	// pollInterval is the pause between two questions while a position or a role
	// is awaited; a question costs the member a slot for a moment.
	pollInterval = 25 * time.Millisecond
	// catchUp bounds the wait until a replica has received what the old primary
	// wrote last.
	catchUp = 1500 * time.Millisecond
	// inheritedWait is for how long a promotion that an earlier leader may have
	// asked for is awaited before another is.
	inheritedWait = promoteTimeout + promoteWait
)

// Errors that end an attempt. The next tick begins another.
var (
	errNotLeader    = errors.New("this instance does not lead the group any more")
	errNoCandidate  = errors.New("no member can be promoted now")
	errGrantsRemain = errors.New("instances that cannot be reached may still hold grants")
)

// begin writes into the record that the primary is to be changed, and changes it.
func (c *Controller) begin(ctx context.Context, group string, g *ledGroup, reason string, planned bool) {
	record, revision := c.around.Gate(group).Record()
	change := Change{ID: uuid.NewString(), Reason: reason, Planned: planned}
	record.Change = &change
	log := c.log.WithFields(logrus.Fields{
		"group": group, "member": record.Primary, "term": record.Term, "generation": record.Generation, "planned": planned,
	})
	if planned && len(c.successors(group, record.Primary)) == 0 {
		log.Info("lead: the primary should be replaced, but no other member is in service")
		return
	}
	if planned && !c.mayAnnounce(ctx, g, log) {
		return
	}
	log.Info("lead: the primary is to be replaced: " + reason)
	c.around.Event("change", group, record.Primary, record.Term, reason)
	if _, err := c.write(ctx, group, g, record, revision); err != nil {
		log.WithError(err).Warn("lead: the change could not be announced in the store")
		pause(ctx, storeRetry)
		return
	}
	c.replace(ctx, group, g, change)
}

// Settings of a planned change, while the primary still serves.
const (
	// plannedPause is the pause before one is considered again that was put off.
	plannedPause = 500 * time.Millisecond
	// changeTime is what a change takes once all grants are released: the drain, the
	// promotion, and until the new primary is known.
	changeTime = plannedDrain + time.Second
	// silentTimeout is for how long an instance that does not answer, and whose lease
	// holds, puts a planned change off. It may be starting again; one that stays silent
	// is waited for by the change itself, from its announcement on.
	silentTimeout = time.Second
)

// mayAnnounce reports whether a planned change can be announced: so many instances
// can be reached that it does not wait for what the others may still attest to one
// another, and it does not wait for one that is gone. Once it is announced the group has
// no primary; until then the old one serves.
func (c *Controller) mayAnnounce(ctx context.Context, g *ledGroup, log *logrus.Entry) bool {
	if g.plannedAt > 0 && c.now()-g.plannedAt < plannedPause {
		return false
	}
	if g.postponedSince == 0 || c.now()-g.plannedAt > 4*plannedPause {
		g.postponedSince = c.now()
	}
	g.plannedAt = c.now()
	s, waited := c.survey(ctx), c.now()-g.postponedSince
	if why := postponedBecause(s, waited, c.drainTime-grantsLapsed-changeTime); why != "" {
		log.WithFields(logrus.Fields{
			"answered": s.answered, "needed": s.needed, "silent": s.silent, "lapsing": s.lapsing, "waited_ms": waited.Milliseconds(),
		}).Info("lead: the primary is to be replaced as planned, and serves meanwhile: " + why)
		return false
	}
	g.postponedSince = 0
	return true
}

// postponedBecause returns why a planned change is not announced yet, empty when it is. patience is
// for how long it may be put off in all, so that what then waits for each grant ends
// before work for the old primary must have.
func postponedBecause(s survey, waited, patience time.Duration) string {
	switch {
	case s.answered < s.needed:
		return "too few instances can be reached"
	case s.lapsing > 0 && waited < patience:
		return "the grant of an instance that is gone has not lapsed"
	case s.silent > 0 && waited < min(patience, silentTimeout):
		return "an instance that may hold a grant does not answer"
	}
	return ""
}

// successors returns the members that could lead in place of the primary.
func (c *Controller) successors(group, primary string) []topology.Member {
	var fit []topology.Member
	for _, m := range c.around.Topology().MembersOf(group) {
		if m.ID != primary && !m.Draining {
			fit = append(fit, m)
		}
	}
	return fit
}

// write stores the record while this instance leads and nobody else has written
// it. That it leads is shown by the key that it wrote itself when it took over,
// never by the key as it is now, which may be another's. A lost answer is settled
// by reading back.
func (c *Controller) write(ctx context.Context, group string, g *ledGroup, record Record, expected int64) (int64, error) {
	key, value := prefixGroup+group, encode(record)
	txn := kv.Txn{
		Conditions: []kv.Condition{{Key: prefixLeader + group, Revision: g.leading}, {Key: key, Revision: expected}},
		Puts:       []kv.Put{{Key: key, Value: value}},
	}
	for {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		sent := c.now()
		revision, err := c.store.Commit(callCtx, txn)
		cancel()
		if err == nil {
			g.provenAt = sent
			c.around.Gate(group).Learn(record, revision)
			return revision, nil
		}
		if errors.Is(err, kv.ErrUnavailable) {
			return 0, err
		}
		item, readErr := c.readBack(ctx, key)
		switch {
		case readErr != nil:
			return 0, fmt.Errorf("%w; reading back: %w", err, readErr)
		case item.Revision != expected && bytes.Equal(item.Value, value):
			g.provenAt = sent
			c.around.Gate(group).Learn(record, item.Revision)
			return item.Revision, nil // it took effect, and its answer was lost
		case item.Revision != expected || errors.As(err, new(*kv.ConflictError)):
			return 0, fmt.Errorf("%w: %w", errNotLeader, err)
		}
		// It has not taken effect yet. Sent again, only one of the two can.
	}
}

func (c *Controller) readBack(ctx context.Context, key string) (kv.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return c.store.Get(ctx, key)
}

// replace carries a change of primary through, from wherever it stands.
func (c *Controller) replace(ctx context.Context, group string, g *ledGroup, change Change) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	started := c.now()
	log := c.log.WithFields(logrus.Fields{"group": group, "change": change.ID, "reason": change.Reason})
	out, err := c.carryOut(ctx, group, g, change)
	if err != nil {
		log.WithError(err).WithField("after_ms", (c.now() - started).Milliseconds()).Warn("lead: the change of primary did not get through; it is tried again")
		pause(ctx, releaseRetry)
		return
	}
	g.outcome, g.refused, g.silent, g.doubtAt = out, 0, false, 0
	c.hangUp(g)
	c.publish(ctx, group, out)
	log.WithFields(logrus.Fields{"member": out.record.Primary, "term": out.record.Term, "after_ms": (c.now() - started).Milliseconds()}).
		Info("lead: the group has its primary")
	c.around.Event("primary", group, out.record.Primary, out.record.Term, "primary after: "+change.Reason)
	c.recordOutcome(ctx, group, g)
}

// carryOut ends with a member that leads and that nobody else replaces.
func (c *Controller) carryOut(ctx context.Context, group string, g *ledGroup, change Change) (*outcome, error) {
	record, revision := c.around.Gate(group).Record()
	if record.Change == nil || record.Change.ID != change.ID {
		return nil, fmt.Errorf("%w: its record is another now", errNotLeader)
	}
	if g.announced != change.ID {
		g.announced, g.announcedAt = change.ID, c.now()
	}
	cleared := c.clearGrants(ctx, group, revision, change, record, g.announcedAt)
	if !cleared.done && !cleared.stays {
		return nil, errGrantsRemain
	}
	record.Change = nil
	if change.Planned && !cleared.stays {
		if !c.hasSuccessor(group, record.Primary, cleared) {
			return nil, fmt.Errorf("%w: instances that were not reached may not know of the others", errNoCandidate)
		}
		cleared.last, cleared.steppedDown = c.finalStatus(ctx, record)
	}
	if cleared.stays {
		c.log.WithFields(logrus.Fields{"group": group, "member": record.Primary}).Info("lead: the primary is well again and stays")
		return &outcome{record: record, revision: revision}, nil
	}
	candidate, found, err := c.choose(ctx, group, record, change, cleared)
	if err != nil {
		return nil, err
	}
	if found.Primary {
		record.Primary, record.Term = candidate.ID, found.Term
		return &outcome{record: record, revision: revision}, nil
	}
	if g.inherited == change.ID && c.now()-g.takenAt < inheritedWait {
		return nil, fmt.Errorf("%w: a promotion by an earlier leader may be under way", errNoCandidate)
	}
	if g.provenAt == 0 || c.now()-g.provenAt > leaderProof {
		// Written once more, which succeeds for the leader only.
		announced := record
		announced.Change = &change
		if revision, err = c.write(ctx, group, g, announced, revision); err != nil {
			return nil, err
		}
	}
	status, err := c.promote(ctx, record, candidate, found.Received)
	if err != nil {
		return nil, err
	}
	record.Primary, record.Term = candidate.ID, status.Term
	return &outcome{record: record, revision: revision}, nil
}

// promote asks the platform to make a member the primary and waits until it leads.
func (c *Controller) promote(ctx context.Context, record Record, candidate topology.Member, position group.Position) (member.Status, error) {
	promoteCtx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	err := c.promoter.Promote(promoteCtx, record.Group, candidate.ID, c.self.Name, record.Generation)
	c.log.WithFields(logrus.Fields{
		"group": record.Group, "member": candidate.ID, "generation": record.Generation, "position": position.String(), "error": err,
	}).Info("lead: the platform was asked to promote")
	// What came of a call whose answer was lost shows at the member.
	return c.awaitLead(ctx, candidate, record.Term)
}

// choose returns the member that should lead: one that leads already in a newer
// term, the old primary when it is well again, or the one whose log reaches
// furthest among those in service.
func (c *Controller) choose(ctx context.Context, name string, record Record, change Change, cleared clearing) (topology.Member, member.Status, error) {
	until := c.now() + catchUp
	for {
		members := c.around.Topology().MembersOf(name)
		answers := c.askAll(ctx, members, record.Primary)
		s := c.selection(cleared)
		s.Old, s.Term, s.Planned = record.Primary, record.Term, change.Planned
		s.Replicas, s.SyncReplicas = len(members)-1, c.around.Topology().Groups[name].SyncReplicas
		known := s // a member that all know of goes first, if it has the whole log
		known.Unreached = cleared.unreached
		best, decided := Select(answers, known)
		if !decided {
			s.Hurry = c.now() >= until
			best, decided = Select(answers, s)
		}
		if decided {
			return best.member, best.status, nil
		}
		if ctx.Err() != nil || c.now() >= until {
			return topology.Member{}, member.Status{}, errNoCandidate
		}
		pause(ctx, pollInterval)
	}
}

// selection returns what the end of the old primary's use leaves to choose from. Once
// that one has stepped down, it refuses the writes of instances that were not reached,
// and what they read there they do not pass on, since they ask it whether it leads. One
// that does not tell what it has seen is of a version that does not ask.
func (c *Controller) selection(cleared clearing) Selection {
	return Selection{
		Last: cleared.last.Received, KnownBefore: c.now() - verifiableLapsed, Seen: cleared.seen,
		Unreached: cleared.unreached && (!cleared.steppedDown || cleared.seen == 0),
	}
}

// hasSuccessor reports whether any other member may be promoted once a primary that
// serves has stepped down. Until then it is not told to.
func (c *Controller) hasSuccessor(group, primary string, cleared clearing) bool {
	cleared.steppedDown = true
	s := c.selection(cleared)
	return slices.ContainsFunc(c.successors(group, primary), func(m topology.Member) bool { return !s.Unreached || s.known(m) })
}

// awaitLead returns once a member leads in a term above another.
func (c *Controller) awaitLead(ctx context.Context, m topology.Member, above uint64) (member.Status, error) {
	until := c.now() + promoteWait
	var conn member.Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for c.now() < until && ctx.Err() == nil {
		if conn == nil || !conn.Silent() {
			var err error
			if conn, err = c.connect(ctx, m); err != nil {
				conn = nil
				pause(ctx, pollInterval)
				continue
			}
		}
		status, err := conn.Status(time.Now().Add(probeTimeout))
		if err == nil && status.Primary && status.Term > above {
			c.around.NoteAnswer(m.ID)
			return status, nil
		}
		pause(ctx, pollInterval)
	}
	return member.Status{}, fmt.Errorf("member %s does not lead after the promotion", m.ID)
}

// recordOutcome writes the outcome of a change into the store. Until that succeeds each
// tick tries again.
func (c *Controller) recordOutcome(ctx context.Context, group string, g *ledGroup) {
	if _, err := c.write(ctx, group, g, g.outcome.record, g.outcome.revision); err != nil {
		c.log.WithField("group", group).WithError(err).Warn("lead: the new primary could not be written to the store yet")
		pause(ctx, storeRetry)
		return
	}
	g.outcome = nil
}

// discover finds the primary of a group whose record names none.
func (c *Controller) discover(ctx context.Context, group string, g *ledGroup) {
	if c.turns.paused(c.now()) {
		return
	}
	record, revision := c.around.Gate(group).Record()
	record = c.findPrimary(ctx, record)
	began := c.now()
	if record.Primary == "" || !c.turns.begin(began) {
		return
	}
	_, err := c.write(ctx, group, g, record, revision)
	c.turns.end(began, c.now(), err)
	if err != nil {
		c.log.WithField("group", group).WithError(err).Warn("lead: the primary that was found could not be written to the store")
		return
	}
	c.around.Event("primary", group, record.Primary, record.Term, "found as the primary")
}

// findPrimary returns a group's record with the member that leads, as the members say; as it is when
// none says so.
func (c *Controller) findPrimary(ctx context.Context, record Record) Record {
	for _, f := range c.askAll(ctx, c.around.Topology().MembersOf(record.Group), "") {
		if f.status.Primary && f.status.Term >= record.Term {
			record.Primary, record.Term = f.member.ID, f.status.Term
			c.around.NoteAnswer(f.member.ID)
		}
	}
	return record
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
