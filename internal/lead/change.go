package lead

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/kv"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// Timing of a change of primary.
const (
	// plannedDrain is how long open transactions may go on in a planned change, while the
	// primary still serves. All other work for it waits meanwhile. Transactions that take
	// longer are rolled back, and their clients get an error.
	plannedDrain = 500 * time.Millisecond
	// urgentDrain is the same when the primary is considered dead. Nothing will finish on a
	// dead primary, but one that is only slow may still answer.
	urgentDrain = 60 * time.Millisecond
	// releaseTimeout bounds one release call to an instance, in addition to the drain.
	releaseTimeout = 400 * time.Millisecond
	// releaseRetryPause is the pause before a failed release call is repeated, and before a
	// failed change is.
	releaseRetryPause = 100 * time.Millisecond
	// storeRetryPause is the pause after a store write that failed. Each store call is
	// billed.
	storeRetryPause = 300 * time.Millisecond
	// maxLeadershipProofAge is how old the last successful conditional write may be when
	// the platform is asked to promote. Such a write proves that no other instance leads.
	maxLeadershipProofAge = 500 * time.Millisecond
	// promoteCallTimeout bounds the promotion call to the platform.
	promoteCallTimeout = time.Second
	// promotionTimeout bounds the wait until the promoted member is primary. The member is
	// polled every pollInterval. The bound matters only if a promotion has failed without
	// an error. A promotion that takes longer is found by the next attempt.
	promotionTimeout = 2500 * time.Millisecond
	// pollInterval is the pause between two status requests while waiting for a log
	// position or a role. A request occupies a slot of the member for a moment.
	pollInterval = 25 * time.Millisecond
	// catchUpTimeout bounds the wait until a replica has received the old primary's last
	// writes.
	catchUpTimeout = 1500 * time.Millisecond
	// receiveTimeout is how long replicas get, once the primary is considered dead, to
	// receive what it had sent to them. After it a draining replica may be promoted.
	receiveTimeout = 200 * time.Millisecond
	// inheritedPromotionTimeout is how long a new leader waits for the promotion that an
	// earlier leader has requested, before another member may become the primary.
	inheritedPromotionTimeout = promoteCallTimeout + promotionTimeout
)

// Errors that end an attempt. The next Tick starts another.
var (
	errNotLeader    = errors.New("this instance does not lead the group any more")
	errNoCandidate  = errors.New("no member can be promoted now")
	errGrantsRemain = errors.New("instances that cannot be reached may still hold grants")
)

// startChange announces a change of primary in the record and executes it. A planned change
// is skipped while no successor is in service or while it would wait for other instances.
func (c *Controller) startChange(ctx context.Context, group string, g *ledGroup, reason string, planned bool) {
	record, revision := c.env.PrimaryGuard(group).Record()
	change := Change{ID: uuid.NewString(), Reason: reason, Planned: planned}
	record.Change = &change
	log := c.log.WithFields(logrus.Fields{
		"group": group, "member": record.Primary, "term": record.Term, "generation": record.Generation, "planned": planned,
	})
	if planned && len(c.successors(group, record.Primary)) == 0 {
		log.Info("lead: the primary should be replaced, but the group has no other member in service")
		return
	}
	if planned && !c.mayAnnounce(ctx, g, log) {
		return
	}
	if planned && c.awaitsCatchUp(ctx, group, record.Primary) {
		log.Info("lead: the primary is to be replaced as planned, and serves meanwhile: no other member has received its log")
		return
	}
	log.Info("lead: the primary is to be replaced: " + reason)
	c.env.Event("change", group, record.Primary, record.Term, reason)
	if _, err := c.write(ctx, group, g, record, revision); err != nil {
		log.WithError(err).Warn("lead: could not write the announcement of the change to the store")
		sleep(ctx, storeRetryPause)
		return
	}
	c.replacePrimary(ctx, group, g, change)
}

// Timing of a planned change before its announcement, while the primary still serves.
const (
	// plannedCheckInterval is the interval between two checks whether a postponed planned
	// change can be announced.
	plannedCheckInterval = 500 * time.Millisecond
	// expectedChangeDuration is how long a change takes apart from waiting for grants to
	// lapse: the drain, the promotion, and until the new primary is known.
	expectedChangeDuration = plannedDrain + time.Second
	// drainingLeadTime is how long a draining member must still serve to be promoted: until
	// it leads, and until another one has replaced it.
	drainingLeadTime = 2 * expectedChangeDuration
	// unresponsivePostponement is how long a planned change is postponed for an instance
	// that does not answer although its lease is valid. It may be restarting. If it stays
	// unresponsive, the change waits for it after the announcement.
	unresponsivePostponement = time.Second
)

// mayAnnounce reports whether a planned change can be announced without a long wait after
// it: enough instances answer that the rest could not attest grants, and no lapsing grant
// has to be awaited. From the announcement on the group has no primary; until then the old
// one serves.
func (c *Controller) mayAnnounce(ctx context.Context, g *ledGroup, log *logrus.Entry) bool {
	if g.plannedCheckedAt > 0 && c.now()-g.plannedCheckedAt < plannedCheckInterval {
		return false
	}
	if g.postponedSince == 0 || c.now()-g.plannedCheckedAt > 4*plannedCheckInterval {
		g.postponedSince = c.now()
	}
	g.plannedCheckedAt = c.now()
	s, waited := c.survey(ctx), c.now()-g.postponedSince
	if reason := postponeReason(s, waited, c.drainTimeout-grantLapseTime-expectedChangeDuration); reason != "" {
		log.WithFields(logrus.Fields{
			"answered": s.answered, "needed": s.releasesNeeded, "silent": s.unresponsive, "lapsing": s.lapsing, "waited_ms": waited.Milliseconds(),
		}).Info("lead: the primary is to be replaced as planned, and serves meanwhile: " + reason)
		return false
	}
	g.postponedSince = 0
	return true
}

// awaitsCatchUp reports whether the replacement of a draining primary should wait because no
// successor receives, within catchUpTimeout, the log that the primary has now. Without
// synchronous replication the loss of the last commits is accepted instead. The wait ends
// early enough that work on the primary can end in time.
func (c *Controller) awaitsCatchUp(ctx context.Context, group, primaryID string) bool {
	primary, known := c.env.Topology().Member(primaryID)
	if c.env.Topology().Groups[group].SyncReplicas == 0 || !known || !primary.Draining {
		return false
	}
	status := c.queryMember(ctx, primary)
	if status == nil {
		return false
	}
	end := min(c.now()+catchUpTimeout, primary.DrainingSince+c.drainTimeout-expectedChangeDuration)
	for c.now() < end && ctx.Err() == nil {
		for _, successor := range c.queryMembers(ctx, c.successors(group, primaryID), "") {
			if successor.status.Received.AtLeast(status.status.Received) {
				return false
			}
		}
		sleep(ctx, pollInterval)
	}
	return c.now() < primary.DrainingSince+c.drainTimeout-expectedChangeDuration
}

// postponeReason returns why a planned change is not announced yet, empty if it can be.
// waited is how long it has been postponed, maxPostponement how long it may be postponed in
// all, which leaves enough time for the remaining grants to lapse before work on the old
// primary must have ended.
func postponeReason(s surveyResult, waited, maxPostponement time.Duration) string {
	switch {
	case s.answered < s.releasesNeeded:
		return "too few instances can be reached"
	case s.lapsing > 0 && waited < maxPostponement:
		return "the grant of an instance that is gone has not lapsed"
	case s.unresponsive > 0 && waited < min(maxPostponement, unresponsivePostponement):
		return "an instance that may hold a grant does not answer"
	}
	return ""
}

// successors returns the members that could replace the primary.
func (c *Controller) successors(group, primary string) []topology.Member {
	var candidates []topology.Member
	for _, m := range c.env.Topology().MembersOf(group) {
		if m.ID != primary && !m.Draining {
			candidates = append(candidates, m)
		}
	}
	return candidates
}

// write stores the record on the condition that this instance leads and the record still
// has the expected revision. The condition on the leadership uses the revision of the
// leader key that this instance wrote when it took over, never that of the current key,
// which may belong to another instance. After an error that leaves the result unknown,
// write reads the record back to determine it.
func (c *Controller) write(ctx context.Context, group string, g *ledGroup, record Record, expected int64) (int64, error) {
	key, value := prefixGroup+group, encode(record)
	txn := kv.Txn{
		Conditions: []kv.Condition{{Key: prefixLeader + group, Revision: g.leaderRevision}, {Key: key, Revision: expected}},
		Puts:       []kv.Put{{Key: key, Value: value}},
	}
	for {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		sent := c.now()
		revision, err := c.store.Commit(callCtx, txn)
		cancel()
		if err == nil {
			g.leadershipProvenAt = sent
			c.env.PrimaryGuard(group).ApplyRecord(record, revision)
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
			g.leadershipProvenAt = sent
			c.env.PrimaryGuard(group).ApplyRecord(record, item.Revision)
			return item.Revision, nil // the write took effect, and its response was lost
		case item.Revision != expected || errors.As(err, new(*kv.ConflictError)):
			return 0, fmt.Errorf("%w: %w", errNotLeader, err)
		}
		// The write has not taken effect yet. It is sent again; because of the condition at
		// most one of the two writes can take effect.
	}
}

func (c *Controller) readBack(ctx context.Context, key string) (kv.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return c.store.Get(ctx, key)
}

// replacePrimary executes an announced change of primary. It can resume a change that an
// earlier attempt or leader left unfinished.
func (c *Controller) replacePrimary(ctx context.Context, group string, g *ledGroup, change Change) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	started := c.now()
	log := c.log.WithFields(logrus.Fields{"group": group, "change": change.ID, "reason": change.Reason})
	out, err := c.executeChange(ctx, group, g, change)
	if err != nil {
		log.WithError(err).WithField("after_ms", (c.now() - started).Milliseconds()).Warn("lead: the change of primary failed; it will be retried")
		sleep(ctx, releaseRetryPause)
		return
	}
	g.outcome, g.refusedInRow, g.unresponsive, g.unansweredSince = out, 0, false, 0
	c.closeProbeConn(g)
	c.publish(ctx, group, out)
	log.WithFields(logrus.Fields{"member": out.record.Primary, "term": out.record.Term, "after_ms": (c.now() - started).Milliseconds()}).
		Info("lead: the group has its primary")
	c.env.Event("primary", group, out.record.Primary, out.record.Term, "primary after: "+change.Reason)
	c.writeOutcome(ctx, group, g)
}

// executeChange executes the steps of a change: it ends the grants for the old primary,
// chooses a candidate, proves the leadership, and has the candidate promoted. It returns
// which member is primary then.
func (c *Controller) executeChange(ctx context.Context, group string, g *ledGroup, change Change) (*outcome, error) {
	record, revision := c.env.PrimaryGuard(group).Record()
	if record.Change == nil || record.Change.ID != change.ID {
		return nil, fmt.Errorf("%w: its record is another now", errNotLeader)
	}
	if g.announcedChange != change.ID {
		g.announcedChange, g.announcedAt = change.ID, c.now()
	}
	grants := c.endGrants(ctx, group, revision, change, record, g.announcedAt)
	if !grants.ended && !grants.primaryStays {
		return nil, errGrantsRemain
	}
	record.Change = nil
	if change.Planned && !grants.primaryStays {
		if !c.hasSuccessor(group, record.Primary, grants) {
			return nil, fmt.Errorf("%w: instances that were not reached may not know of the others", errNoCandidate)
		}
		grants.finalStatus, grants.steppedDown = c.stepDownOldPrimary(ctx, record)
	}
	if grants.primaryStays {
		c.log.WithFields(logrus.Fields{"group": group, "member": grants.healthy.ID}).Info("lead: the primary answers again and is not replaced")
		record.Primary = grants.healthy.ID
		return &outcome{record: record, revision: revision}, nil
	}
	candidate, err := c.chooseCandidate(ctx, group, record, change, grants)
	if err != nil {
		return nil, err
	}
	if candidate.status.Primary {
		record = record.afterPromotion(candidate.member.ID, candidate.status.Term, change.termStart(candidate.member.ID))
		return &outcome{record: record, revision: revision}, nil
	}
	if change.Promoting != candidate.member.ID && c.promotionPending(g, change) {
		return nil, fmt.Errorf("%w: the requested promotion of %s may still take effect", errNoCandidate, change.Promoting)
	}
	return c.requestPromotion(ctx, g, record, change, revision, candidate)
}

// requestPromotion stores which member is promoted, asks the platform to promote it, and waits until
// it is the primary.
func (c *Controller) requestPromotion(ctx context.Context, g *ledGroup, record Record, change Change, revision int64, candidate memberStatus) (*outcome, error) {
	requestedBefore := change.Promoting
	if requestedBefore != candidate.member.ID || g.leadershipProvenAt == 0 || c.now()-g.leadershipProvenAt > maxLeadershipProofAge {
		// The write succeeds only while this instance is the leader, and a later leader reads it.
		change.Promoting, change.PromotingFrom = candidate.member.ID, candidate.status.Received
		announced := record
		announced.Change = &change
		var err error
		if revision, err = c.write(ctx, record.Group, g, announced, revision); err != nil {
			return nil, err
		}
	}
	status, err := c.promote(ctx, g, record, change, candidate)
	if errors.Is(err, member.ErrPromotionRefused) && requestedBefore == "" {
		c.withdrawPromotion(ctx, record.Group, g, record, change, revision)
	}
	if err != nil {
		return nil, err
	}
	return &outcome{record: record.afterPromotion(candidate.member.ID, status.Term, change.PromotingFrom), revision: revision}, nil
}

// promotionPending reports whether a requested promotion of the change may still take effect. Until
// then no other member may become the primary. The same request may be repeated.
func (c *Controller) promotionPending(g *ledGroup, change Change) bool {
	switch now := c.now(); {
	case change.Promoting == "":
		return false
	case g.requestedChange == change.ID && now-g.requestedAt < promotionTimeout:
		return true
	default:
		return g.inheritedChange == change.ID && now-g.tookOverAt < inheritedPromotionTimeout
	}
}

// withdrawPromotion records that no promotion is requested any more, so that the old primary may
// stay if it answers again. If the write fails, the record keeps the request, and the old primary
// is replaced.
func (c *Controller) withdrawPromotion(ctx context.Context, group string, g *ledGroup, record Record, change Change, revision int64) {
	change.Promoting = ""
	record.Change = &change
	if _, err := c.write(ctx, group, g, record, revision); err != nil {
		c.log.WithField("group", group).WithError(err).Warn("lead: could not write to the store that the promotion was refused")
	}
	sleep(ctx, storeRetryPause)
}

// promote asks the platform to make a member the primary and waits until it is. If the platform
// considers that member the primary already, it answers the call and the term does not change.
func (c *Controller) promote(ctx context.Context, g *ledGroup, record Record, change Change, candidate memberStatus) (member.Status, error) {
	promoteCtx, cancel := context.WithTimeout(ctx, promoteCallTimeout)
	defer cancel()
	callErr := c.promoter.Promote(promoteCtx, record.Group, candidate.member.ID, c.self.Name, record.Generation)
	c.log.WithFields(logrus.Fields{
		"group": record.Group, "member": candidate.member.ID, "generation": record.Generation, "position": candidate.status.Received.String(), "error": callErr,
	}).Info("lead: the platform was asked to promote")
	if errors.Is(callErr, member.ErrPromotionRefused) {
		return member.Status{}, callErr
	}
	g.requestedChange, g.requestedAt = change.ID, c.now()
	// After another error the promotion may have happened nevertheless; the member's status
	// shows it.
	status, err := c.awaitPromotion(ctx, candidate.member, record.Term)
	if err == nil || callErr != nil {
		return status, err
	}
	if answer := c.queryMember(ctx, candidate.member); answer != nil && answer.isPrimaryOf(record.Term) {
		c.log.WithFields(logrus.Fields{"group": record.Group, "member": candidate.member.ID, "term": record.Term}).
			Info("lead: the platform has kept the old primary")
		return answer.status, nil
	}
	return status, err
}

// chooseCandidate requests the status of all members until Select decides on one, for at
// most catchUpTimeout. It returns a member that is already primary in a newer term, the old
// primary if it is healthy again, or the member with the longest log. That is a draining
// one only if no other has received the acknowledged commits in time. If no member can be
// promoted in place of the old primary, it is the old primary, which must be promoted again.
func (c *Controller) chooseCandidate(ctx context.Context, name string, record Record, change Change, grants grantsOutcome) (memberStatus, error) {
	deadline := c.now() + catchUpTimeout
	allowDrainingAt := c.now() + receiveTimeout
	if change.Planned {
		allowDrainingAt = deadline // the old primary still sends its log
	}
	for {
		members := c.env.Topology().MembersOf(name)
		answers := c.queryMembers(ctx, members, record.Primary)
		s := c.selection(grants).forGroup(members, record, c.env.Topology().Groups[name])
		s.Replaced, s.Promoting = change.replacesForGood(), change.Promoting
		s.AllowDraining, s.DrainingAfter = c.now() >= allowDrainingAt, c.now()-c.drainTimeout+drainingLeadTime
		strict := s // prefer a member that all instances know, if it has the whole log
		strict.Unreached = grants.unreachable
		best, decided := Select(answers, strict)
		if !decided {
			s.AllowShorterLog = c.now() >= deadline
			s.AllowOldPrimary = s.AllowShorterLog
			best, decided = Select(answers, s)
		}
		if decided {
			c.logSelection(name, s, answers).WithField("chosen", best.member.ID).Info("lead: a member was chosen as the primary")
			return best, nil
		}
		if ctx.Err() != nil || c.now() >= deadline {
			c.logSelection(name, s, answers).Info("lead: no member can be promoted")
			return memberStatus{}, errNoCandidate
		}
		sleep(ctx, pollInterval)
	}
}

// logSelection returns a log entry with what the choice of a primary was based on.
func (c *Controller) logSelection(group string, s Selection, answers []memberStatus) *logrus.Entry {
	described := make([]string, len(answers))
	for n, answer := range answers {
		described[n] = answer.String()
	}
	return c.log.WithFields(logrus.Fields{
		"group": group, "old_primary": s.OldPrimary, "term": s.Term, "replaced": s.Replaced, "answers": strings.Join(described, ", "),
		"replicas": s.Replicas, "sync_replicas": s.SyncReplicas, "final_position": s.FinalPosition.String(), "unreached": s.Unreached,
	})
}

// selection returns the criteria for candidates that follow from how the grants ended. Once
// the old primary has stepped down, unreachable instances no longer restrict the choice: it
// refuses their writes, and they do not pass on what they read from it, because they ask it
// too whether it is primary. An instance that does not report a seen revision runs a
// version that does not ask it.
func (c *Controller) selection(grants grantsOutcome) Selection {
	return Selection{
		FinalPosition: grants.finalStatus.Received, KnownBefore: c.now() - unconfirmedUseLapseTime, SeenRevision: grants.seenRevision,
		Unreached: grants.unreachable && (!grants.steppedDown || grants.seenRevision == 0),
	}
}

// hasSuccessor reports whether any other member can be promoted after the old primary has
// stepped down. If not, the old primary must not be told to step down. If its process has ended
// and the member has restarted under a new ID, that counts as another member.
func (c *Controller) hasSuccessor(group, primary string, grants grantsOutcome) bool {
	grants.steppedDown = true
	s := c.selection(grants)
	return slices.ContainsFunc(c.successors(group, primary), func(m topology.Member) bool { return !s.Unreached || s.knownToUnreachable(m) })
}

// awaitPromotion polls a member until it is primary in a term above the given one, for at
// most promotionTimeout.
func (c *Controller) awaitPromotion(ctx context.Context, m topology.Member, aboveTerm uint64) (member.Status, error) {
	deadline := c.now() + promotionTimeout
	var conn member.Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for c.now() < deadline && ctx.Err() == nil {
		if conn == nil || !conn.IsIdle() {
			var err error
			if conn, err = c.connect(ctx, m); err != nil {
				conn = nil
				sleep(ctx, pollInterval)
				continue
			}
		}
		status, err := conn.Status(time.Now().Add(probeTimeout))
		if err == nil && status.Primary && status.Term > aboveTerm {
			c.env.RecordAnswer(m.ID)
			return status, nil
		}
		sleep(ctx, pollInterval)
	}
	return member.Status{}, fmt.Errorf("member %s does not lead after the promotion", m.ID)
}

// writeOutcome writes the outcome of a change to the store. Each Tick retries until it
// succeeds.
func (c *Controller) writeOutcome(ctx context.Context, group string, g *ledGroup) {
	if _, err := c.write(ctx, group, g, g.outcome.record, g.outcome.revision); err != nil {
		c.log.WithField("group", group).WithError(err).Warn("lead: could not write the new primary to the store; it will be retried")
		sleep(ctx, storeRetryPause)
		return
	}
	g.outcome = nil
}

// discoverPrimary finds the primary of a group whose record names none, and writes it to the
// record.
func (c *Controller) discoverPrimary(ctx context.Context, group string, g *ledGroup) {
	if c.throttle.isBlocked(c.now()) {
		return
	}
	record, revision := c.env.PrimaryGuard(group).Record()
	record = c.findPrimary(ctx, record)
	began := c.now()
	if record.Primary == "" || !c.throttle.tryBegin(began) {
		return
	}
	_, err := c.write(ctx, group, g, record, revision)
	c.throttle.end(began, c.now(), err)
	if err != nil {
		c.log.WithField("group", group).WithError(err).Warn("lead: could not write the discovered primary to the store")
		return
	}
	c.env.Event("primary", group, record.Primary, record.Term, "found as the primary")
}

// findPrimary requests the status of a group's members and returns the record with the
// member that is primary, or unchanged if none is.
func (c *Controller) findPrimary(ctx context.Context, record Record) Record {
	for _, answer := range c.queryMembers(ctx, c.env.Topology().MembersOf(record.Group), "") {
		if answer.status.Primary && answer.status.Term >= record.Term {
			record.Primary, record.Term = answer.member.ID, answer.status.Term
			c.env.RecordAnswer(answer.member.ID)
		}
	}
	return record
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
