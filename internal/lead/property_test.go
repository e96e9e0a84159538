package lead

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/stackspindle/stackspindle/internal/kv"
	"github.com/stackspindle/stackspindle/internal/lead/leadpb"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/topology"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// simulatedInstance is one instance with its own clock.
type simulatedInstance struct {
	name                    string
	started                 time.Duration            // on this instance's clock
	attested                map[string]time.Duration // when others last requested an attestation, on this instance's clock
	leaseEndedAt            time.Duration            // when the leader saw its lease end, on the leader's clock; 0: it is valid
	grant                   Grant
	rate                    float64 // of its clock, relative to the true clock
	offset                  time.Duration
	callSentAt              time.Duration // when the store call in flight was sent, on this instance's clock
	responseRevision        int64         // revision of the record that the response will contain
	responseRecord          Record
	responseMembers         []string     // members that the response will contain
	members                 []string     // members that it knows
	callInFlight            bool         // a store call is in flight
	responseMembersRevision int64        // revision of the member list that the response will contain
	seenMembersRevision     int64        // revision of the member list that its registration reports as seen
	inProgress              []PrimaryRef // work on a primary that holds a permit
}

func (s *simulatedInstance) now(truth time.Duration) time.Duration {
	return s.offset + time.Duration(float64(truth)*s.rate)
}

// simulatedFleet is a simulated fleet with a true clock.
type simulatedFleet struct {
	t               *rapid.T
	trueTime        time.Duration
	instances       []*simulatedInstance
	record          Record
	revision        int64
	rate            float64                  // of the leader's clock, relative to the true clock
	members         []string                 // members in the store
	knownSince      map[string]time.Duration // when the leader first saw a member, on the leader's clock
	memberRevisions map[string]int64         // revision of a member's entry
	primary         string                   // the member that is primary
	steppedDown     map[string]bool          // members that have stepped down and were not promoted since
	terms           map[string]uint64        // term in which a member was last promoted
}

// passesOn reports whether an instance passes on an answer of a primary to work that it began under
// a grant. Either the permit is confirmed, or each other member that the instance knows replies that
// it is not primary and knows no newer term, and the primary replies that it is primary. Only members
// that were promoted are assumed to know their term.
func (w *simulatedFleet) passesOn(s *simulatedInstance, ref PrimaryRef) bool {
	switch s.grant.StateOf(ref, s.now(w.trueTime)) {
	case Confirmed:
		return true
	case Revoked:
		return false
	}
	for _, m := range s.members {
		if m != ref.Primary && (m == w.primary || w.terms[m] > ref.Term) {
			return false
		}
	}
	return !w.steppedDown[ref.Primary]
}

// check fails the test if an instance passes on answers of a primary that was replaced, to new work
// or to work in progress.
func (w *simulatedFleet) check() {
	for i, s := range w.instances {
		work := s.inProgress
		if ref, err := s.grant.Primary(s.now(w.trueTime)); err == nil {
			work = append(slices.Clone(work), ref)
		}
		for _, ref := range work {
			if ref.Primary != w.primary && w.passesOn(s, ref) {
				w.t.Fatalf("instance %d passes on answers of %s, but %s is primary", i, ref.Primary, w.primary)
			}
		}
	}
}

func (w *simulatedFleet) leaderNow() time.Duration {
	return time.Duration(float64(w.trueTime) * w.rate)
}

// TestOldPrimaryIsNotUsedAfterPromotion simulates instances that follow a record and a
// leader that changes the primary, with clock drift, pauses, late and lost responses,
// rounds of attestation, and instances that the leader cannot reach. Once a promotion has
// taken effect, no instance may use the old primary.
func TestOldPrimaryIsNotUsedAfterPromotion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulatedFleet{
			t: t, record: Record{Group: "g", Primary: "m0", Term: 1}, revision: 1, rate: drawRate(t),
			members: []string{"m0", "m1"}, knownSince: map[string]time.Duration{"m0": -time.Hour, "m1": -time.Hour}, primary: "m0",
			memberRevisions: map[string]int64{"m0": 1, "m1": 2}, steppedDown: make(map[string]bool), terms: make(map[string]uint64),
		}
		for range rapid.IntRange(1, 6).Draw(t, "instances") {
			offset := time.Duration(rapid.IntRange(0, 1000).Draw(t, "offset")) * time.Second
			w.instances = append(w.instances, &simulatedInstance{
				name: fmt.Sprint(len(w.instances)), rate: drawRate(t), offset: offset, started: offset,
				attested: make(map[string]time.Duration),
			})
		}
		for change := range rapid.IntRange(1, 3).Draw(t, "changes") {
			w.steps()
			w.change(change)
		}
		w.steps()
		w.check()
	})
}

func drawRate(t *rapid.T) float64 { return rapid.Float64Range(0.99, 1.01).Draw(t, "rate") }

// change announces a change, waits until the grants are released or have lapsed, and
// promotes a member.
func (w *simulatedFleet) change(n int) {
	w.record.Change = &Change{ID: fmt.Sprint(n)}
	w.revision++
	r := &grantRelease{announced: w.leaderNow(), releasesNeeded: ReleaseQuorum(len(w.instances), 0)}
	var unreachable []*simulatedInstance
	for _, s := range w.instances {
		if rapid.Bool().Draw(w.t, "reached") {
			s.grant.Release(w.revision)
			s.inProgress = nil // the release waits until all permits are returned
			r.addReply(w.leaderNow(), w.reply(s))
		} else {
			unreachable = append(unreachable, s)
		}
		w.steps()
	}
	if len(unreachable) > 0 {
		for !w.allLapsed(r, unreachable) {
			w.trueTime += 100 * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(w.t, "something happens") {
			case 0:
				w.steps()
			case 1:
				w.revision++ // the leader stores which member it promotes, or another instance takes over
			}
		}
	}
	for _, s := range unreachable {
		r.addUnreleased(w.leaderNow(), s.leaseEndedAt, s.seenMembersRevision)
	}
	if rapid.Bool().Draw(w.t, "steps down") {
		w.steppedDown[w.record.Primary] = true
		w.steps()
	}
	w.primary = w.successor(r)
	delete(w.steppedDown, w.primary)
	w.record.Primary, w.record.Term, w.record.Change = w.primary, w.record.Term+1, nil
	w.terms[w.primary] = w.record.Term
	w.check()
	if rapid.Bool().Draw(w.t, "published") {
		w.instances[0].grant.ApplyOutcome(w.record, w.revision)
	}
	w.revision++
}

// successor chooses the member to promote as the leader does. It waits while none may be
// promoted.
func (w *simulatedFleet) successor(r *grantRelease) string {
	for {
		var answers []memberStatus
		for _, m := range rapid.Permutation(w.members).Draw(w.t, "members") {
			if m != w.record.Primary {
				answers = append(answers, memberStatus{member: topology.Member{ID: m, Since: w.knownSince[m], Revision: w.memberRevisions[m]}, status: member.Status{Term: w.record.Term}})
			}
		}
		seen, unreachable := r.unreleased()
		unreachable = unreachable && !w.steppedDown[w.record.Primary]
		best, ok := Select(answers, Selection{
			OldPrimary: w.record.Primary, Term: w.record.Term, AllowShorterLog: true, Unreached: unreachable, KnownBefore: w.leaderNow() - unconfirmedUseLapseTime, SeenRevision: seen,
		})
		if ok {
			return best.member.ID
		}
		w.trueTime += time.Second
	}
}

// allLapsed reports whether, according to the leader, the grants of all unreachable
// instances have lapsed.
func (w *simulatedFleet) allLapsed(r *grantRelease, unreachable []*simulatedInstance) bool {
	for _, s := range unreachable {
		if !r.hasLapsed(w.leaderNow(), s.name, s.leaseEndedAt) {
			return false
		}
	}
	return true
}

// reply returns an instance's reply to a release call.
func (w *simulatedFleet) reply(s *simulatedInstance) *leadpb.ReleaseReply {
	reply := &leadpb.ReleaseReply{UptimeUs: (s.now(w.trueTime) - s.started).Microseconds(), AttestedUs: make(map[string]int64)}
	for name, at := range s.attested {
		reply.AttestedUs[name] = (s.now(w.trueTime) - at).Microseconds()
	}
	return reply
}

// steps lets time pass and performs random events: store calls whose responses are late or
// lost, rounds of attestation, leases that end, and new members.
func (w *simulatedFleet) steps() {
	for range rapid.IntRange(0, 6).Draw(w.t, "steps") {
		w.trueTime += time.Duration(rapid.IntRange(0, 4000).Draw(w.t, "ms")) * time.Millisecond
		s := w.instances[rapid.IntRange(0, len(w.instances)-1).Draw(w.t, "instance")]
		switch rapid.SampledFrom([]string{"store", "store", "attest", "begin", "gone", "join", "hours"}).Draw(w.t, "what") {
		case "join":
			id := fmt.Sprintf("m%d", len(w.members))
			w.members = append(w.members, id)
			w.knownSince[id] = w.leaderNow()
			w.memberRevisions[id] = int64(len(w.members))
		case "hours":
			if rapid.IntRange(0, 4).Draw(w.t, "they pass") == 0 {
				w.trueTime += 3 * time.Hour
			}
		case "gone":
			if s.leaseEndedAt == 0 {
				s.leaseEndedAt = max(1, w.leaderNow())
			}
		case "store":
			w.callStore(s)
		case "begin":
			if ref, err := s.grant.Primary(s.now(w.trueTime)); err == nil {
				s.inProgress = append(s.inProgress, ref)
			}
		case "attest":
			w.attest(s)
		}
		w.check()
	}
}

func (w *simulatedFleet) callStore(s *simulatedInstance) {
	if s.leaseEndedAt > 0 && !s.callInFlight {
		return // its lease has ended, so that no response confirms its grants
	}
	if !s.callInFlight {
		s.callSentAt, s.callInFlight = s.now(w.trueTime), true
		s.responseRecord, s.responseRevision = w.record, w.revision // the store answers at once, but the response is delivered later
		s.responseMembers, s.responseMembersRevision = slices.Clone(w.members), int64(len(w.members))
		return
	}
	if rapid.Bool().Draw(w.t, "delivered") {
		s.grant.ApplyRecord(s.responseRecord, s.responseRevision)
		s.members = s.responseMembers
		s.grant.Confirm(s.callSentAt)
		if rapid.Bool().Draw(w.t, "registers") {
			s.seenMembersRevision = s.responseMembersRevision
		}
	}
	s.callInFlight = false
}

// attest has an instance request attestations from the others; each may answer or not.
func (w *simulatedFleet) attest(s *simulatedInstance) {
	_, known := s.grant.Record()
	if known == 0 {
		return
	}
	sent, answers, newerKnown := s.now(w.trueTime), 1, false
	for _, other := range w.instances {
		if other == s || !rapid.Bool().Draw(w.t, "attests") {
			continue
		}
		answers++
		other.attested[s.name] = other.now(w.trueTime)
		if update, newer := other.grant.UpdateSince(known); newer {
			newerKnown = true
			s.grant.ApplyUpdate(update)
		}
	}
	w.trueTime += time.Duration(rapid.IntRange(0, 3000).Draw(w.t, "ms until the answers count")) * time.Millisecond
	if !newerKnown && answers >= AttestQuorum(len(w.instances)) {
		s.grant.ConfirmByQuorum(sent, known)
	}
}

func TestGrantStates(t *testing.T) {
	var g Grant
	_, err := g.Primary(0)
	must.Error(t, err)
	g.ApplyRecord(Record{Primary: "a", Term: 1}, 5)
	g.Confirm(0)
	a, err := g.Primary(GrantValidity - 1)
	must.NoError(t, err)
	must.Eq(t, PrimaryRef{Primary: "a", Term: 1, Revision: 5}, a)
	must.True(t, g.Confirmed(GrantValidity-1))
	must.False(t, g.Confirmed(GrantValidity))
	_, err = g.Primary(UnconfirmedUseLimit - 1)
	must.NoError(t, err, must.Sprint("the other members can still verify answers"))
	_, err = g.Primary(UnconfirmedUseLimit)
	must.Error(t, err)
	g.Confirm(GrantValidity)
	g.Release(6)
	_, err = g.Primary(GrantValidity)
	must.Error(t, err, must.Sprint("released"))
	g.ApplyRecord(Record{Primary: "a", Term: 1, Change: &Change{}}, 6)
	_, err = g.Primary(GrantValidity)
	must.Error(t, err, must.Sprint("being changed"))
	g.ApplyOutcome(Record{Primary: "b", Term: 2}, 6)
	a, err = g.Primary(GrantValidity)
	must.NoError(t, err, must.Sprint("outcome published by the leader"))
	must.Eq(t, "b", a.Primary)
	g.ApplyRecord(Record{Primary: "a", Term: 1}, 5)
	a, err = g.Primary(GrantValidity)
	must.NoError(t, err, must.Sprint("an older record is ignored"))
	must.Eq(t, "b", a.Primary)
}

// Guards against answers of an old primary that pass for confirmed, since a record of a change or of
// the next primary is.
func TestChangeEndsConfirmationOfPrimary(t *testing.T) {
	var g Grant
	g.ApplyRecord(Record{Primary: "a", Term: 1}, 5)
	g.Confirm(0)
	a, err := g.Primary(0)
	must.NoError(t, err)
	for n := range 3 { // the leader writes the change again, each of which the store confirms
		g.ApplyRecord(Record{Primary: "a", Term: 1, Change: &Change{}}, 6+int64(n))
		g.Confirm(GrantValidity - 1)
	}
	must.Eq(t, Confirmed, g.StateOf(a, GrantValidity-1))
	must.Eq(t, Unconfirmed, g.StateOf(a, GrantValidity))
	must.Eq(t, Revoked, g.StateOf(a, UnconfirmedUseLimit))
	stays := g
	stays.ApplyRecord(Record{Primary: "a", Term: 1}, 9)
	must.Eq(t, Confirmed, stays.StateOf(a, GrantValidity), must.Sprint("the primary was not replaced"))
	g.ApplyRecord(Record{Primary: "b", Term: 2}, 9)
	must.Eq(t, Revoked, g.StateOf(a, GrantValidity-1))
}

// An outcome published by the leader grants nothing to an instance that the store has never
// answered, because that instance does not know which members to ask for verification.
func TestGrantNeedsTheStore(t *testing.T) {
	var g Grant
	g.ApplyOutcome(Record{Primary: "a", Term: 1}, 5)
	g.ConfirmByQuorum(0, 5)
	must.False(t, g.Confirmed(0))
	_, err := g.Primary(0)
	must.Error(t, err)
}

func TestAttestationReplacesStore(t *testing.T) {
	var g Grant
	g.ApplyRecord(Record{Primary: "a", Term: 1}, 5)
	g.Confirm(0)
	g.ConfirmByQuorum(GrantValidity-1, 4)
	must.False(t, g.Confirmed(GrantValidity), must.Sprint("attested for another record"))
	for at := GrantValidity - 1; at < AttestedUseLimit; at += GrantValidity - 1 {
		g.ConfirmByQuorum(at, 5)
		must.True(t, g.Confirmed(min(at+GrantValidity, AttestedUseLimit)-1))
	}
	g.ConfirmByQuorum(AttestedUseLimit, 5)
	_, err := g.Primary(AttestedUseLimit)
	must.Error(t, err, must.Sprint("no answer of the store for too long"))
}

func TestApplyUpdateOfAnotherInstance(t *testing.T) {
	var source, receiver Grant
	receiver.Confirm(0)
	receiver.ApplyRecord(Record{Primary: "a", Term: 1}, 5)
	source.ApplyRecord(Record{Primary: "a", Term: 1}, 5)
	_, newer := source.UpdateSince(5)
	must.False(t, newer)
	source.Release(6)
	update, newer := source.UpdateSince(5)
	must.True(t, newer)
	receiver.ApplyUpdate(update)
	_, err := receiver.Primary(0)
	must.Error(t, err, must.Sprint("a change is in progress"))
	source.ApplyOutcome(Record{Primary: "b", Term: 2}, 6)
	update, newer = source.UpdateSince(5)
	must.True(t, newer)
	receiver.ApplyUpdate(update)
	a, err := receiver.Primary(0)
	must.NoError(t, err)
	must.Eq(t, "b", a.Primary)
}

// Once a ReleaseQuorum has released, the remaining instances are no AttestQuorum, even from
// the view of an instance that knows none of those that joined recently.
func TestQuorumsOverlap(t *testing.T) {
	for n := 1; n <= 600; n++ {
		must.LessEq(t, n, AttestQuorum(n))
		for _, joined := range []int{0, 1, n / 5, n / 2, n} {
			remain := n - ReleaseQuorum(n, joined)
			must.GreaterEq(t, 0, remain)
			for known := max(1, n-joined); known <= n; known++ {
				must.Less(t, AttestQuorum(known), remain)
			}
		}
	}
}

// An instance that has followed the store only briefly assumes that some of the others have
// joined recently. One that has followed it for longer knows which have.
func TestRecentlyJoined(t *testing.T) {
	var all []kv.Event
	for n := range 10 {
		all = append(all, registered(fmt.Sprint(n), "1", int64(n+1)))
	}
	v, err := NewView().Apply(time.Second, all)
	must.NoError(t, err)
	must.Eq(t, 2, v.RecentlyJoined(2*time.Second))
	later := time.Second + attestedUseLapseTime
	must.Eq(t, 0, v.RecentlyJoined(later))
	v, err = v.Apply(later, []kv.Event{registered("new", "1", 20)})
	must.NoError(t, err)
	must.Eq(t, 1, v.RecentlyJoined(later))
	v, err = v.Apply(later+1, []kv.Event{registered("new", "2", 21)})
	must.NoError(t, err)
	must.Eq(t, 1, v.RecentlyJoined(later+1), must.Sprint("another process under the same name"))
	must.Eq(t, 0, v.RecentlyJoined(later+attestedUseLapseTime))
}

func registered(name, incarnation string, revision int64) kv.Event {
	return kv.Event{Item: kv.Item{Key: PrefixInstances + name, Value: encode(Instance{Name: name, Incarnation: incarnation}), Revision: revision}}
}

func alive(name, incarnation string, revision int64) kv.Event {
	return kv.Event{Item: kv.Item{Key: prefixAlive + name, Value: []byte(incarnation), Revision: revision}}
}

// An instance without a lease counts as registered until its grants have lapsed. Then its
// entry is deleted, so that processes that start later need not wait for the same grants.
func TestInstancesWithoutLease(t *testing.T) {
	v, err := NewView().Apply(0, []kv.Event{registered("a", "1", 1), alive("a", "1", 2), registered("b", "1", 3), alive("b", "1", 4)})
	must.NoError(t, err)
	must.Len(t, 2, v.Registered(0))
	deleted := alive("b", "", 5)
	deleted.Deleted = true
	v, err = v.Apply(time.Second, []kv.Event{deleted})
	must.NoError(t, err)
	must.Len(t, 2, v.Registered(time.Second+attestedUseLapseTime))
	must.MapEmpty(t, v.LapsedEntries(time.Second+attestedUseLapseTime))
	must.Len(t, 1, v.Registered(time.Second+attestedUseLapseTime+1))
	must.Eq(t, map[string]int64{"b": 3}, v.LapsedEntries(time.Second+attestedUseLapseTime+1))
	v, err = v.Apply(2*time.Second, []kv.Event{alive("b", "2", 6)})
	must.NoError(t, err)
	must.Len(t, 2, v.Registered(time.Hour))
}

func TestRegistrationIsConditional(t *testing.T) {
	self := Instance{Name: "a", Incarnation: "2"}
	v, err := NewView().Apply(0, []kv.Event{registered("a", "1", 7)})
	must.NoError(t, err)
	txn := v.RegistrationTxn(self, 9)
	must.Eq(t, []kv.Condition{{Key: PrefixInstances + "a", Revision: 7}}, txn.Conditions)
	must.Len(t, 2, txn.Puts)
}
