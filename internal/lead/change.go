package lead

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/kv"
	"github.com/stackspindle/stackspindle/internal/lead/leadpb"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// Settings of a change of primary.
const (
	// plannedDrain is the time for open transactions when the primary still
	// serves: p99 of the sheets' transactions is 0.27 and 0.5 s.
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
	// promoteWait bounds the wait until the member leads: 0.3 and 0.6 s on the
	// sheets after the call, which may itself be slow.
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
	log.Info("lead: the primary is to be replaced: " + reason)
	c.around.Event("change", group, record.Primary, record.Term, reason)
	if _, err := c.write(ctx, group, g, record, revision); err != nil {
		log.WithError(err).Warn("lead: the change could not be announced in the store")
		pause(ctx, storeRetry)
		return
	}
	c.replace(ctx, group, g, change)
}

// successors returns the members that could lead in place of the primary.
func (c *Controller) successors(group, primary string) []topology.Member {
	var fit []topology.Member
	for _, m := range c.around.Topology().ByGroup[group] {
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
		Expect: []kv.Expect{{Key: prefixLeader + group, Revision: g.leading}, {Key: key, Revision: expected}},
		Puts:   []kv.Put{{Key: key, Value: value}},
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
			return 0, errors.Join(err, readErr)
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
		log.WithError(err).WithField("after", c.now()-started).Warn("lead: the change of primary did not get through; it is tried again")
		pause(ctx, releaseRetry)
		return
	}
	g.outcome, g.refused, g.silent = out, 0, false
	c.hangUp(g)
	c.publish(ctx, group, out)
	log.WithFields(logrus.Fields{"member": out.record.Primary, "term": out.record.Term, "after": c.now() - started}).
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
	cleared := c.clearGrants(ctx, group, revision, change, record)
	if cleared.wellHere {
		c.log.WithFields(logrus.Fields{"group": group, "member": record.Primary}).Info("lead: the primary is well again and stays")
		record.Change = nil
		return &outcome{record: record, revision: revision}, nil
	}
	if !cleared.done {
		return nil, errGrantsRemain
	}
	candidate, found, err := c.choose(ctx, group, record, change, cleared.last.Received)
	if err != nil {
		return nil, err
	}
	record.Change = nil
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
	promoteCtx, cancel := context.WithTimeout(ctx, promoteTimeout)
	err = c.promoter.Promote(promoteCtx, group, candidate.ID, c.self.Name, record.Generation)
	cancel()
	c.log.WithFields(logrus.Fields{
		"group": group, "member": candidate.ID, "generation": record.Generation, "position": found.Received.String(), "error": err,
	}).Info("lead: the platform was asked to promote")
	status, err := c.awaitLead(ctx, candidate, record.Term)
	if err != nil {
		return nil, err
	}
	record.Primary, record.Term = candidate.ID, status.Term
	return &outcome{record: record, revision: revision}, nil
}

// clearing is how the end of the old primary's use was reached.
type clearing struct {
	done     bool          // no instance uses the old primary any more
	wellHere bool          // or it is well after all, and stays
	last     member.Status // what the old primary said when it stepped down
}

// clearGrants returns once no instance uses the old primary any more, or once
// that one is found to be well and need not be replaced.
func (c *Controller) clearGrants(ctx context.Context, group string, revision int64, change Change, record Record) clearing {
	drain := urgentDrain
	if change.Planned {
		drain = plannedDrain
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	announced := c.now()
	released := make(chan error, 1)
	go func() { released <- c.releaseAll(ctx, group, revision, drain, announced) }()
	patience := releaseTimeout
	if change.Planned {
		patience += drain // what is open gets its time before the old primary stops writing
	}
	for {
		select {
		case err := <-released:
			return clearing{done: err == nil, last: c.lastWords(ctx, change, record)}
		case <-time.After(patience):
		case <-ctx.Done():
			return clearing{}
		}
		old, known := c.around.Topology().Members[record.Primary]
		if !known {
			continue
		}
		if !change.Planned && !old.Draining && c.leads(ctx, old, record.Term) {
			return clearing{wellHere: true}
		}
		if status, ok := c.stepDown(ctx, old, record.Term); ok {
			return clearing{done: true, last: status}
		}
	}
}

// lastWords returns what a primary that is replaced as planned says when it
// steps down, so that its successor can be awaited to have received all of it.
func (c *Controller) lastWords(ctx context.Context, change Change, record Record) member.Status {
	old, known := c.around.Topology().Members[record.Primary]
	if !change.Planned || !known {
		return member.Status{}
	}
	status, _ := c.stepDown(ctx, old, record.Term)
	return status
}

// leads reports whether a member answers as the primary of a term.
func (c *Controller) leads(ctx context.Context, m topology.Member, term uint64) bool {
	f := c.askOne(ctx, m)
	if f == nil {
		return false
	}
	c.log.WithFields(logrus.Fields{"member": m.ID, "leads": f.status.Primary, "term": f.status.Term, "record_term": term}).
		Info("lead: the primary that is to be replaced has answered")
	return f.status.Primary && f.status.Term == term
}

// stepDown makes the old primary a replica, if it can be reached.
func (c *Controller) stepDown(ctx context.Context, old topology.Member, term uint64) (member.Status, bool) {
	log := c.log.WithFields(logrus.Fields{"member": old.ID, "term": term})
	conn, err := c.connect(ctx, old)
	if err != nil {
		log.WithError(err).Info("lead: the old primary could not be told to step down")
		return member.Status{}, false
	}
	defer conn.Close()
	status, err := conn.StepDown(time.Now().Add(probeTimeout), term+1)
	log.WithField("leads", status.Primary).WithField("position", status.Received.String()).WithError(err).
		Info("lead: the old primary was told to step down")
	return status, err == nil && !status.Primary
}

func (c *Controller) connect(ctx context.Context, m topology.Member) (member.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return c.dialer.Dial(ctx, m)
}

// releaseAll returns once every registered instance has released its grant, or
// the grant of each that did not has lapsed.
func (c *Controller) releaseAll(ctx context.Context, group string, revision int64, drain time.Duration, announced time.Duration) error {
	registered := c.around.View().Registered(c.now())
	r := &release{group: group, revision: revision, drain: drain, announced: announced, missing: Quorum(len(registered))}
	var wg sync.WaitGroup
	for _, instance := range registered {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.releaseOne(ctx, r, instance)
		}()
	}
	wg.Wait()
	return ctx.Err()
}

// release is the end of all grants of a record. Times are of the leader's clock.
type release struct {
	group     string
	revision  int64
	drain     time.Duration
	announced time.Duration

	mu       sync.Mutex // guards the rest
	missing  int        // instances that must still release until there is a quorum
	quorumAt time.Duration
	attested map[string]time.Duration // when one that released last attested an instance, by name
	oldest   time.Duration            // since when all that released know whom they attested
}

// note counts an instance that has released and says whom it attested.
func (r *release) note(now time.Duration, reply *leadpb.ReleaseReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.missing--
	if r.missing == 0 {
		r.quorumAt = now
	}
	r.oldest = max(r.oldest, now-time.Duration(reply.UptimeUs)*time.Microsecond)
	if r.attested == nil {
		r.attested = make(map[string]time.Duration)
	}
	for name, age := range reply.AttestedUs {
		r.attested[name] = max(r.attested[name], now-time.Duration(age)*time.Microsecond)
	}
}

// lapsed reports whether the grant of an instance that did not release is over.
// goneSince is since when its lease has been gone, zero when it holds: the store
// has not confirmed its grant since. Before there is a quorum of releases a grant
// may be attested for as long as that can replace the store.
func (r *release) lapsed(now time.Duration, name string, goneSince time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.missing > 0 {
		return now-r.announced >= storelessLapsed
	}
	confirmed := max(r.announced, r.quorumAt)
	if goneSince > 0 {
		// No quorum has attested it later than the latest of those that released.
		confirmed = min(confirmed, max(goneSince, r.attested[name], r.oldest))
	}
	return now-confirmed >= grantsLapsed
}

func (c *Controller) releaseOne(ctx context.Context, r *release, instance Instance) {
	if instance.Name == c.self.Name {
		if reply, err := c.own.Release(ctx, r.request()); err == nil {
			r.note(c.now(), reply)
		}
		return
	}
	for tries := 0; ctx.Err() == nil; tries++ {
		goneSince, _ := c.around.View().MissingSince(instance.Name)
		if r.lapsed(c.now(), instance.Name, goneSince) {
			return
		}
		reply, err := c.callRelease(ctx, r, instance)
		if err == nil {
			r.note(c.now(), reply)
			return
		}
		if !c.stillRegistered(instance) {
			return
		}
		if tries%releaseLogEvery == 0 {
			c.log.WithFields(logrus.Fields{"group": r.group, "instance": instance.Name, "waited": c.now() - r.announced, "tries": tries + 1}).
				WithError(err).Info("lead: an instance has not released its grant")
		}
		pause(ctx, releaseRetry)
	}
}

// releaseLogEvery is at which tries a line is logged: one in two seconds or so.
const releaseLogEvery = 20

// stillRegistered reports whether the process may hold a grant: it does not once
// another process has registered under its name, or its grants have lapsed.
func (c *Controller) stillRegistered(instance Instance) bool {
	for _, now := range c.around.View().Registered(c.now()) {
		if now.Name == instance.Name {
			return now.Incarnation == instance.Incarnation
		}
	}
	return false
}

func (r *release) request() *leadpb.ReleaseRequest {
	return &leadpb.ReleaseRequest{Group: r.group, Revision: r.revision, DrainUs: r.drain.Microseconds()}
}

func (c *Controller) callRelease(ctx context.Context, r *release, instance Instance) (*leadpb.ReleaseReply, error) {
	client, err := c.peers.client(instance.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.drain+releaseTimeout)
	defer cancel()
	// Any process that answers at the address has released, or holds no grant:
	// another than the one asked for began after that one's end.
	return client.Release(ctx, r.request())
}

// found is what a member said of itself.
type found struct {
	member topology.Member
	status member.Status
}

// choose returns the member that should lead: one that leads already in a newer
// term, the old primary when it is well again, or the one whose log reaches
// furthest among those in service.
func (c *Controller) choose(ctx context.Context, name string, record Record, change Change, last group.Position) (topology.Member, member.Status, error) {
	until := c.now() + catchUp
	for {
		members := c.around.Topology().ByGroup[name]
		answers := c.askAll(ctx, members, record.Primary)
		best, decided := Select(answers, Selection{
			Old: record.Primary, Term: record.Term, Planned: change.Planned, Last: last,
			Replicas: len(members) - 1, SyncReplicas: c.around.Topology().Groups[name].SyncReplicas,
			Hurry: c.now() >= until,
		})
		if decided {
			return best.member, best.status, nil
		}
		if ctx.Err() != nil || c.now() >= until {
			return topology.Member{}, member.Status{}, errNoCandidate
		}
		pause(ctx, pollInterval)
	}
}

// askAll asks members for their status, all at once. The one that is suspected of
// being dead is not waited for when all others have answered.
func (c *Controller) askAll(ctx context.Context, members []topology.Member, suspect string) []found {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type reply struct {
		from string
		said *found
	}
	replies := make(chan reply, len(members))
	others := 0
	for _, m := range members {
		if m.ID != suspect {
			others++
		}
		go func() { replies <- reply{from: m.ID, said: c.askOne(ctx, m)} }()
	}
	var answered []found
	var grace <-chan time.Time
	for pending := len(members); pending > 0; pending-- {
		select {
		case r := <-replies:
			if r.said != nil {
				answered = append(answered, *r.said)
			}
			if r.from != suspect {
				others--
			}
			if others <= 0 && grace == nil {
				grace = time.After(suspectGrace)
			}
		case <-grace:
			return answered
		}
	}
	return answered
}

// suspectGrace is how much longer a suspect is waited for: some round trips
// between data centres.
const suspectGrace = 20 * time.Millisecond

// askOne returns what a member says of itself, nil when it does not answer.
func (c *Controller) askOne(ctx context.Context, m topology.Member) *found {
	conn, err := c.connect(ctx, m)
	if err != nil {
		c.log.WithField("member", m.ID).WithError(err).Info("lead: a member could not be asked for its status")
		return nil
	}
	defer conn.Close()
	status, err := conn.Status(time.Now().Add(probeTimeout))
	if err != nil {
		c.log.WithField("member", m.ID).WithError(err).Info("lead: a member could not be asked for its status")
		return nil
	}
	return &found{member: m, status: status}
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

// publish tells the outcome to all instances, without waiting for the store.
func (c *Controller) publish(ctx context.Context, group string, out *outcome) {
	c.around.Gate(group).Settle(out.record, out.revision)
	req := &leadpb.PublishRequest{Group: group, Revision: out.revision, Record: encode(out.record)}
	var wg sync.WaitGroup
	for _, instance := range c.around.View().Registered(c.now()) {
		if instance.Name == c.self.Name {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			client, err := c.peers.client(instance.Address)
			if err != nil {
				return // it learns the outcome from the store
			}
			callCtx, cancel := context.WithTimeout(ctx, witnessTimeout)
			defer cancel()
			if _, err := client.Publish(callCtx, req); err != nil {
				c.log.WithFields(logrus.Fields{"group": group, "instance": instance.Name}).WithError(err).
					Info("lead: an instance was not told of the new primary; it learns it from the store")
			}
		}()
	}
	wg.Wait()
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
	record, revision := c.around.Gate(group).Record()
	for _, f := range c.askAll(ctx, c.around.Topology().ByGroup[group], "") {
		if f.status.Primary && f.status.Term >= record.Term {
			record.Primary, record.Term = f.member.ID, f.status.Term
			c.around.NoteAnswer(f.member.ID)
		}
	}
	if record.Primary == "" {
		return
	}
	if _, err := c.write(ctx, group, g, record, revision); err != nil {
		c.log.WithField("group", group).WithError(err).Warn("lead: the primary that was found could not be written to the store")
		return
	}
	c.around.Event("primary", group, record.Primary, record.Term, "found as the primary")
}

// witnessed asks the other instances whether one of them heard from a member a
// moment ago, and returns its name.
func (c *Controller) witnessed(ctx context.Context, id string) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	others := c.around.View().Alive()
	names := make(chan string, len(others))
	var wg sync.WaitGroup
	for _, instance := range others {
		if instance.Name == c.self.Name {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			client, err := c.peers.client(instance.Address)
			if err != nil {
				return // no witness
			}
			reply, err := client.Witness(ctx, &leadpb.WitnessRequest{Member: id})
			if err == nil && reply.Heard && time.Duration(reply.AgeUs)*time.Microsecond < witnessAge {
				names <- instance.Name
			}
		}()
	}
	wg.Wait()
	close(names)
	name, ok := <-names
	return name, ok
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
