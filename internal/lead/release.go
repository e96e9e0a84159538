package lead

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/kv"
	"github.com/stackspindle/stackspindle/internal/lead/leadpb"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// grantsOutcome is the result of ending the grants for the old primary.
type grantsOutcome struct {
	ended        bool            // no grant for the old primary is confirmed any more
	healthy      topology.Member // the old primary, if it is healthy and must not be replaced
	primaryStays bool            // healthy is set
	finalStatus  member.Status   // status of the old primary when it stepped down
	steppedDown  bool            // the old primary confirmed that it stepped down

	// unreachable reports that unreachable instances may still use the old primary, with each
	// answer verified by the other members that they know. Each of them knows what the
	// store contained at seenRevision.
	unreachable  bool
	seenRevision int64
}

// endGrants returns once all grants for the old primary are released or have lapsed, or
// once the old primary answers as healthy in a change that is not planned. It is not enough
// that the old primary has stepped down: then it runs no writes, but still the strict reads
// of an instance that does not know of the change.
func (c *Controller) endGrants(ctx context.Context, group string, revision int64, change Change, record Record, announced time.Duration) grantsOutcome {
	drain := urgentDrain
	if change.Planned {
		drain = plannedDrain
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &grantRelease{group: group, revision: revision, drain: drain, announced: announced}
	released := make(chan error, 1)
	go func() { released <- c.releaseAll(ctx, r) }()
	wait := releaseTimeout
	if change.Planned {
		wait += drain // transactions in progress get the drain before the old primary steps down
	}
	for {
		select {
		case err := <-released:
			result := grantsOutcome{ended: err == nil}
			result.seenRevision, result.unreachable = r.unreleased()
			return result
		case <-time.After(wait):
		case <-ctx.Done():
			return grantsOutcome{}
		}
		if change.replacesForGood() {
			continue
		}
		if old, found := c.oldPrimary(ctx, record); found && !old.Draining {
			return grantsOutcome{primaryStays: true, healthy: old}
		}
	}
}

// oldPrimary returns the member that answers as the primary of the record's term, or false if none
// does. That is the recorded one, unless it has restarted under a new ID.
func (c *Controller) oldPrimary(ctx context.Context, record Record) (topology.Member, bool) {
	if m, known := c.env.Topology().Member(record.Primary); known && c.isPrimary(ctx, m, record.Term) {
		return m, true
	}
	return c.restartedPrimary(ctx, record)
}

// restartedPrimary returns the member that answers as the primary of the record's term under
// another ID than the recorded one, or false if none does.
func (c *Controller) restartedPrimary(ctx context.Context, record Record) (topology.Member, bool) {
	members := slices.Clone(c.env.Topology().MembersOf(record.Group))
	others := slices.DeleteFunc(members, func(m topology.Member) bool { return m.ID == record.Primary })
	for _, answer := range c.queryMembers(ctx, others, "") {
		if answer.isPrimaryOf(record.Term) {
			c.log.WithFields(logrus.Fields{"group": record.Group, "member": answer.member.ID, "recorded": record.Primary, "term": record.Term}).
				Info("lead: the primary has restarted under a new ID")
			return answer.member, true
		}
	}
	return topology.Member{}, false
}

// stepDownOldPrimary makes the old primary of a planned change step down and returns the
// status that it reports, so that the change can wait until the successor has received its
// whole log. The result is false if it did not step down.
func (c *Controller) stepDownOldPrimary(ctx context.Context, record Record) (member.Status, bool) {
	if old, known := c.env.Topology().Member(record.Primary); known {
		if status, done := c.stepDown(ctx, old, record.Term); done {
			return status, true
		}
	}
	if old, found := c.restartedPrimary(ctx, record); found {
		return c.stepDown(ctx, old, record.Term)
	}
	return member.Status{}, false
}

// isPrimary reports whether a member answers that it is the primary of a term.
func (c *Controller) isPrimary(ctx context.Context, m topology.Member, term uint64) bool {
	answer := c.queryMember(ctx, m)
	if answer == nil {
		return false
	}
	c.log.WithFields(logrus.Fields{"member": m.ID, "leads": answer.status.Primary, "term": answer.status.Term, "record_term": term}).
		Info("lead: the primary answered while it was being replaced")
	return answer.isPrimaryOf(term)
}

// stepDown tells the old primary to become a replica. It returns the status that the
// primary reports, and whether it stepped down.
func (c *Controller) stepDown(ctx context.Context, old topology.Member, term uint64) (member.Status, bool) {
	log := c.log.WithFields(logrus.Fields{"member": old.ID, "term": term})
	conn, err := c.connect(ctx, old)
	if err != nil {
		log.WithError(err).Info("lead: could not connect to the old primary to make it step down")
		return member.Status{}, false
	}
	defer conn.Close()
	status, err := conn.StepDown(time.Now().Add(probeTimeout), term+1)
	log.WithField("leads", status.Primary).WithField("position", status.Received.String()).WithError(err).
		Info("lead: the old primary was told to step down")
	return status, err == nil && !status.Primary
}

// releaseAll returns nil once every registered instance has released its grant or its grant
// has lapsed. It calls the instances known here at once, and meanwhile reads from the store
// which others have registered. It fails if the store does not answer or ctx ends.
func (c *Controller) releaseAll(ctx context.Context, r *grantRelease) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	view := c.env.View()
	known, joined := view.Entries(c.now()), view.RecentlyJoined(c.now())
	r.releasesNeeded = ReleaseQuorum(len(known), joined)
	released := make(chan struct{})
	go func() {
		defer close(released)
		c.releaseEach(ctx, r, known)
	}()
	others, err := c.listOtherRegistered(ctx, r.revision, known)
	if err == nil {
		r.addInstances(len(known), joined, len(others))
		c.releaseEach(ctx, r, others)
	} else {
		cancel()
	}
	<-released
	return errors.Join(err, ctx.Err())
}

func (c *Controller) releaseEach(ctx context.Context, r *grantRelease, entries []Entry) {
	var wg sync.WaitGroup
	for _, entry := range entries {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.releaseOne(ctx, r, entry)
		}()
	}
	wg.Wait()
}

// listOtherRegistered reads from the store which instances were registered when it contained
// the record with this revision, and returns those that are not known. This instance's own
// view may be older. An instance that registers later sees that record before it can hold a
// grant.
func (c *Controller) listOtherRegistered(ctx context.Context, revision int64, known []Entry) ([]Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	items, listedAt, err := c.store.List(ctx, PrefixInstances)
	if err != nil {
		return nil, fmt.Errorf("reading the registered instances: %w", err)
	}
	if listedAt < revision {
		return nil, fmt.Errorf("reading the registered instances: the store returned revision %d, older than %d", listedAt, revision)
	}
	return unknownEntries(known, items)
}

// unknownEntries returns the entries whose process is not known, or that were rewritten
// after the known revision: such a process has registered again, so what was known of its
// lease no longer applies.
func unknownEntries(known []Entry, items []kv.Item) ([]Entry, error) {
	processes := make(map[string]int64, len(known))
	for _, e := range known {
		processes[e.Incarnation] = e.revision
	}
	var others []Entry
	for _, item := range items {
		instance, err := decode[Instance](item.Value)
		if err != nil {
			return nil, fmt.Errorf("key %s: %w", item.Key, err)
		}
		if revision, ok := processes[instance.Incarnation]; !ok || revision < item.Revision {
			others = append(others, Entry{Instance: instance, revision: item.Revision})
		}
	}
	return others, nil
}

// grantRelease tracks the release of all grants that a change of primary ends. Times are on
// the leader's clock.
type grantRelease struct {
	group     string
	revision  int64
	drain     time.Duration
	announced time.Duration

	mu                     sync.Mutex // guards the rest
	releasesNeeded         int        // releases that are still needed for a ReleaseQuorum
	quorumAt               time.Duration
	attestedAt             map[string]time.Duration // when an instance that released last attested another one, by the other's name
	attestationsKnownSince time.Duration            // start of the youngest process that released; earlier attestations are unknown
	hasUnreleased          bool                     // the grant of at least one instance lapsed without a release
	seenRevision           int64                    // store revision that all of those instances had applied; meaningful while hasUnreleased
}

// addReply counts the reply of an instance that has released, and records whom it attested
// when.
func (r *grantRelease) addReply(now time.Duration, reply *leadpb.ReleaseReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releasesNeeded--
	if r.releasesNeeded == 0 {
		r.quorumAt = now
	}
	r.attestationsKnownSince = max(r.attestationsKnownSince, now-time.Duration(reply.UptimeUs)*time.Microsecond)
	if r.attestedAt == nil {
		r.attestedAt = make(map[string]time.Duration)
	}
	for name, age := range reply.AttestedUs {
		r.attestedAt[name] = max(r.attestedAt[name], now-time.Duration(age)*time.Microsecond)
	}
}

// hasLapsed reports whether the grant of an instance that did not release can no longer
// be confirmed. leaseEndedAt is when its lease was first seen to have ended, zero if the
// lease is valid; since then no answer of the store has confirmed the grant. Until
// enough instances have released, the grant may be attested for as long as attestations
// can replace the store.
func (r *grantRelease) hasLapsed(now time.Duration, name string, leaseEndedAt time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.releasesNeeded > 0 {
		return now-r.announced >= attestedUseLapseTime
	}
	confirmed := max(r.announced, r.quorumAt)
	if leaseEndedAt > 0 {
		// Every quorum includes an instance that has released, so none attested the grant
		// later than the last of these did.
		confirmed = min(confirmed, max(leaseEndedAt, r.attestedAt[name], r.attestationsKnownSince))
	}
	return now-confirmed >= grantLapseTime
}

// addUnreleased records an instance whose grant has lapsed without a release. leaseEndedAt
// is when its lease was first seen to have ended, zero if the lease is valid. The instance
// may still use the old primary and then asks the members that it knows: at least those
// that were in the store at seenRevision.
func (r *grantRelease) addUnreleased(now, leaseEndedAt time.Duration, seenRevision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lastAnswer := r.announced // the last answer of the store to that instance is not newer
	if leaseEndedAt > 0 {
		lastAnswer = min(lastAnswer, leaseEndedAt)
	}
	if now-lastAnswer >= unconfirmedUseLapseTime {
		return // the grant does not even permit verified use any more
	}
	if !r.hasUnreleased || seenRevision < r.seenRevision {
		r.seenRevision = seenRevision
	}
	r.hasUnreleased = true
}

// unreleased reports whether unreachable instances may still use the old primary, and
// returns a store revision whose contents all of them know.
func (r *grantRelease) unreleased() (int64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seenRevision, r.hasUnreleased
}

// addInstances raises the number of needed releases for further instances that were found
// to be registered.
func (r *grantRelease) addInstances(known, joined, added int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releasesNeeded += ReleaseQuorum(known+added, joined+added) - ReleaseQuorum(known, joined)
}

func (c *Controller) releaseOne(ctx context.Context, r *grantRelease, instance Entry) {
	if instance.Name == c.self.Name {
		if reply, err := c.server.Release(ctx, r.request()); err == nil {
			r.addReply(c.now(), reply)
		}
		return
	}
	for tries := 0; ctx.Err() == nil; tries++ {
		log := c.log.WithFields(logrus.Fields{"group": r.group, "instance": instance.Name, "waited_ms": (c.now() - r.announced).Milliseconds(), "tries": tries + 1})
		leaseEndedAt, leaseEnded := c.env.View().MissingSince(instance)
		if !leaseEnded {
			leaseEndedAt = 0 // its lease is valid, as far as is known
		}
		if r.hasLapsed(c.now(), instance.Name, leaseEndedAt) {
			r.addUnreleased(c.now(), leaseEndedAt, instance.SeenRevision)
			log.WithField("seen", instance.SeenRevision).Info("lead: the grant of an instance has lapsed without a release; members that the instance does not know are not promoted")
			return
		}
		reply, err := c.callRelease(ctx, r, instance.Instance)
		if err == nil {
			r.addReply(c.now(), reply)
			return
		}
		if !c.stillRegistered(instance) {
			return
		}
		if tries%releaseLogEvery == 0 {
			log.WithError(err).WithFields(logrus.Fields{"lease_gone": leaseEnded, "at_latest_ms": r.maxWait(leaseEndedAt).Milliseconds()}).
				Info("lead: an instance has not released its grant; retrying until it does or the grant has lapsed")
		}
		sleep(ctx, releaseRetryPause)
	}
}

// maxWait returns the longest wait for an instance, counted from the announcement, as far as
// is known now.
func (r *grantRelease) maxWait(leaseEndedAt time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.releasesNeeded > 0:
		return attestedUseLapseTime
	case leaseEndedAt > 0 && leaseEndedAt < r.announced:
		return max(0, leaseEndedAt+grantLapseTime-r.announced)
	}
	return grantLapseTime
}

// releaseLogEvery is the number of tries for which one line is logged: about one line in
// two seconds.
const releaseLogEvery = 20

// stillRegistered reports whether the process may still hold a grant. It cannot once
// another process has registered under its name, or once its grants have lapsed. A view
// that is older than the entry does not show that.
func (c *Controller) stillRegistered(entry Entry) bool {
	current, registered := c.env.View().Entry(c.now(), entry.Name)
	return current.revision < entry.revision || registered && current.Incarnation == entry.Incarnation
}

func (r *grantRelease) request() *leadpb.ReleaseRequest {
	return &leadpb.ReleaseRequest{Group: r.group, Revision: r.revision, DrainUs: r.drain.Microseconds()}
}

func (c *Controller) callRelease(ctx context.Context, r *grantRelease, instance Instance) (*leadpb.ReleaseReply, error) {
	client, err := c.client(instance.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.drain+releaseTimeout)
	defer cancel()
	// Any process that answers at this address has released or holds no grant: if it is not
	// the one that was meant, it started after that one had ended.
	return client.Release(ctx, r.request())
}
