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

// simulated is one instance with its own clock.
type simulated struct {
	name      string
	started   time.Duration            // on this instance's clock
	attested  map[string]time.Duration // when others last requested an attestation, on this instance's clock
	goneSince time.Duration            // when the leader saw its lease end, on the leader's clock; 0: it is valid
	grant     Grant
	rate      float64 // of its clock, relative to the true clock
	offset    time.Duration
	asked     time.Duration // when the store call in flight was sent, on this instance's clock
	seen      int64         // revision of the record that the response will contain
	record    Record
	told      []string // members that the response will contain
	members   []string // members that it knows
	waiting   bool     // a store call is in flight
	toldAt    int64    // revision of the member list that the response will contain
	knows     int64    // revision of the member list that its registration reports as seen
}

func (s *simulated) now(truth time.Duration) time.Duration {
	return s.offset + time.Duration(float64(truth)*s.rate)
}

// world is a simulated fleet with a true clock.
type world struct {
	t         *rapid.T
	truth     time.Duration
	instances []*simulated
	record    Record
	revision  int64
	rate      float64                  // of the leader's clock, relative to the true clock
	members   []string                 // members in the store
	since     map[string]time.Duration // when the leader first saw a member, on the leader's clock
	written   map[string]int64         // revision of a member's entry
	promoted  string                   // the member that is primary
	down      map[string]bool          // members that have stepped down and were not promoted since
	terms     map[string]uint64        // term in which a member was last promoted
}

// uses returns the primary whose answers an instance passes on, if any. Either its grant is
// confirmed, or each other member that it knows replies that it is not primary and knows no
// newer term, and its primary replies that it is primary. Only members that were promoted
// are assumed to know their term.
func (w *world) uses(s *simulated) (string, bool) {
	now := s.now(w.truth)
	a, err := s.grant.Authority(now)
	if err != nil {
		return "", false
	}
	if s.grant.Confirmed(now) {
		return a.Primary, true
	}
	for _, m := range s.members {
		if m != a.Primary && (m == w.promoted || w.terms[m] > a.Term) {
			return "", false
		}
	}
	return a.Primary, !w.down[a.Primary]
}

// check fails the test if an instance uses a primary that was replaced.
func (w *world) check() {
	for i, s := range w.instances {
		if primary, ok := w.uses(s); ok && primary != w.promoted {
			w.t.Fatalf("instance %d uses %s, and %s leads", i, primary, w.promoted)
		}
	}
}

func (w *world) leaderNow() time.Duration { return time.Duration(float64(w.truth) * w.rate) }

// TestNoAuthorityAfterPromotion simulates instances that follow a record and a leader that
// changes the primary, with clock drift, pauses, late and lost responses, rounds of
// attestation, and instances that the leader cannot reach. Once a promotion has taken
// effect, no instance may use the old primary.
func TestNoAuthorityAfterPromotion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t: t, record: Record{Group: "g", Primary: "m0", Term: 1}, revision: 1, rate: drawRate(t),
			members: []string{"m0", "m1"}, since: map[string]time.Duration{"m0": -time.Hour, "m1": -time.Hour}, promoted: "m0",
			written: map[string]int64{"m0": 1, "m1": 2}, down: make(map[string]bool), terms: make(map[string]uint64),
		}
		for range rapid.IntRange(1, 6).Draw(t, "instances") {
			offset := time.Duration(rapid.IntRange(0, 1000).Draw(t, "offset")) * time.Second
			w.instances = append(w.instances, &simulated{
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
func (w *world) change(n int) {
	w.record.Change = &Change{ID: fmt.Sprint(n)}
	w.revision++
	r := &release{announced: w.leaderNow(), missing: ReleaseQuorum(len(w.instances), 0)}
	var unreached []*simulated
	for _, s := range w.instances {
		if rapid.Bool().Draw(w.t, "reached") {
			s.grant.Release(w.revision)
			r.note(w.leaderNow(), w.reply(s))
		} else {
			unreached = append(unreached, s)
		}
		w.steps()
	}
	if len(unreached) > 0 {
		for !w.allLapsed(r, unreached) {
			w.truth += 100 * time.Millisecond
			if rapid.IntRange(0, 9).Draw(w.t, "something happens") == 0 {
				w.steps()
			}
		}
	}
	for _, s := range unreached {
		r.leave(w.leaderNow(), s.goneSince, s.knows)
	}
	if rapid.Bool().Draw(w.t, "steps down") {
		w.down[w.record.Primary] = true
		w.steps()
	}
	w.promoted = w.successor(r)
	delete(w.down, w.promoted)
	w.record.Primary, w.record.Term, w.record.Change = w.promoted, w.record.Term+1, nil
	w.terms[w.promoted] = w.record.Term
	w.check()
	if rapid.Bool().Draw(w.t, "published") {
		w.instances[0].grant.Settle(w.record, w.revision)
	}
	w.revision++
}

// successor chooses the member to promote as the leader does. It waits while none may be
// promoted.
func (w *world) successor(r *release) string {
	for {
		var answers []found
		for _, m := range rapid.Permutation(w.members).Draw(w.t, "members") {
			if m != w.record.Primary {
				answers = append(answers, found{member: topology.Member{ID: m, Since: w.since[m], Revision: w.written[m]}, status: member.Status{Term: w.record.Term}})
			}
		}
		seen, unreached := r.unreached()
		unreached = unreached && !w.down[w.record.Primary]
		best, ok := Select(answers, Selection{
			Old: w.record.Primary, Term: w.record.Term, Hurry: true, Unreached: unreached, KnownBefore: w.leaderNow() - verifiableLapsed, Seen: seen,
		})
		if ok {
			return best.member.ID
		}
		w.truth += time.Second
	}
}

// allLapsed reports whether, according to the leader, the grants of all unreachable
// instances have lapsed.
func (w *world) allLapsed(r *release, unreached []*simulated) bool {
	for _, s := range unreached {
		if !r.lapsed(w.leaderNow(), s.name, s.goneSince) {
			return false
		}
	}
	return true
}

// reply returns an instance's reply to a release call.
func (w *world) reply(s *simulated) *leadpb.ReleaseReply {
	reply := &leadpb.ReleaseReply{UptimeUs: (s.now(w.truth) - s.started).Microseconds(), AttestedUs: make(map[string]int64)}
	for name, at := range s.attested {
		reply.AttestedUs[name] = (s.now(w.truth) - at).Microseconds()
	}
	return reply
}

// steps lets time pass and performs random events: store calls whose responses are late or
// lost, rounds of attestation, leases that end, and new members.
func (w *world) steps() {
	for range rapid.IntRange(0, 6).Draw(w.t, "steps") {
		w.truth += time.Duration(rapid.IntRange(0, 4000).Draw(w.t, "ms")) * time.Millisecond
		s := w.instances[rapid.IntRange(0, len(w.instances)-1).Draw(w.t, "instance")]
		switch rapid.SampledFrom([]string{"store", "store", "attest", "gone", "join", "hours"}).Draw(w.t, "what") {
		case "join":
			id := fmt.Sprintf("m%d", len(w.members))
			w.members = append(w.members, id)
			w.since[id] = w.leaderNow()
			w.written[id] = int64(len(w.members))
		case "hours":
			if rapid.IntRange(0, 4).Draw(w.t, "they pass") == 0 {
				w.truth += 3 * time.Hour
			}
		case "gone":
			if s.goneSince == 0 {
				s.goneSince = max(1, w.leaderNow())
			}
		case "store":
			w.callStore(s)
		case "attest":
			w.attest(s)
		}
	}
}

func (w *world) callStore(s *simulated) {
	if s.goneSince > 0 && !s.waiting {
		return // its lease has ended, so that no response confirms its grants
	}
	if !s.waiting {
		s.asked, s.waiting = s.now(w.truth), true
		s.record, s.seen = w.record, w.revision // the store answers at once, but the response is delivered later
		s.told, s.toldAt = slices.Clone(w.members), int64(len(w.members))
		return
	}
	if rapid.Bool().Draw(w.t, "delivered") {
		s.grant.Learn(s.record, s.seen)
		s.members = s.told
		s.grant.Confirm(s.asked)
		if rapid.Bool().Draw(w.t, "registers") {
			s.knows = s.toldAt
		}
	}
	s.waiting = false
}

// attest has an instance request attestations from the others; each may answer or not.
func (w *world) attest(s *simulated) {
	_, known := s.grant.Record()
	if known == 0 {
		return
	}
	sent, answers, objected := s.now(w.truth), 1, false
	for _, other := range w.instances {
		if other == s || !rapid.Bool().Draw(w.t, "attests") {
			continue
		}
		answers++
		other.attested[s.name] = other.now(w.truth)
		if news, newer := other.grant.NewsSince(known); newer {
			objected = true
			s.grant.Hear(news)
		}
	}
	w.truth += time.Duration(rapid.IntRange(0, 3000).Draw(w.t, "ms until the answers count")) * time.Millisecond
	if !objected && answers >= AttestQuorum(len(w.instances)) {
		s.grant.Attest(sent, known)
	}
}

func TestGrantSteps(t *testing.T) {
	var g Grant
	_, err := g.Authority(0)
	must.Error(t, err)
	g.Learn(Record{Primary: "a", Term: 1}, 5)
	g.Confirm(0)
	a, err := g.Authority(GrantValidity - 1)
	must.NoError(t, err)
	must.Eq(t, Authority{Primary: "a", Term: 1, Revision: 5}, a)
	must.True(t, g.Confirmed(GrantValidity-1))
	must.False(t, g.Confirmed(GrantValidity))
	_, err = g.Authority(VerifiableFor - 1)
	must.NoError(t, err, must.Sprint("the other members can still verify answers"))
	_, err = g.Authority(VerifiableFor)
	must.Error(t, err)
	g.Confirm(GrantValidity)
	g.Release(6)
	_, err = g.Authority(GrantValidity)
	must.Error(t, err, must.Sprint("released"))
	g.Learn(Record{Primary: "a", Term: 1, Change: &Change{}}, 6)
	_, err = g.Authority(GrantValidity)
	must.Error(t, err, must.Sprint("being changed"))
	g.Settle(Record{Primary: "b", Term: 2}, 6)
	a, err = g.Authority(GrantValidity)
	must.NoError(t, err, must.Sprint("outcome published by the leader"))
	must.Eq(t, "b", a.Primary)
	g.Learn(Record{Primary: "a", Term: 1}, 5)
	a, err = g.Authority(GrantValidity)
	must.NoError(t, err, must.Sprint("an older record is ignored"))
	must.Eq(t, "b", a.Primary)
}

// An outcome published by the leader grants nothing to an instance that the store has never
// answered, because that instance does not know which members to ask for verification.
func TestGrantNeedsTheStore(t *testing.T) {
	var g Grant
	g.Settle(Record{Primary: "a", Term: 1}, 5)
	g.Attest(0, 5)
	must.False(t, g.Confirmed(0))
	_, err := g.Authority(0)
	must.Error(t, err)
}

func TestAttestationStandsInForTheStore(t *testing.T) {
	var g Grant
	g.Learn(Record{Primary: "a", Term: 1}, 5)
	g.Confirm(0)
	g.Attest(GrantValidity-1, 4)
	must.False(t, g.Confirmed(GrantValidity), must.Sprint("attested for another record"))
	for at := GrantValidity - 1; at < StorelessValidity; at += GrantValidity - 1 {
		g.Attest(at, 5)
		must.True(t, g.Confirmed(min(at+GrantValidity, StorelessValidity)-1))
	}
	g.Attest(StorelessValidity, 5)
	_, err := g.Authority(StorelessValidity)
	must.Error(t, err, must.Sprint("no answer of the store for too long"))
}

func TestNewsOfAnotherInstance(t *testing.T) {
	var source, receiver Grant
	receiver.Confirm(0)
	receiver.Learn(Record{Primary: "a", Term: 1}, 5)
	source.Learn(Record{Primary: "a", Term: 1}, 5)
	_, newer := source.NewsSince(5)
	must.False(t, newer)
	source.Release(6)
	news, newer := source.NewsSince(5)
	must.True(t, newer)
	receiver.Hear(news)
	_, err := receiver.Authority(0)
	must.Error(t, err, must.Sprint("a change is in progress"))
	source.Settle(Record{Primary: "b", Term: 2}, 6)
	news, newer = source.NewsSince(5)
	must.True(t, newer)
	receiver.Hear(news)
	a, err := receiver.Authority(0)
	must.NoError(t, err)
	must.Eq(t, "b", a.Primary)
}

// Once a ReleaseQuorum has released, the remaining instances are no AttestQuorum, even from
// the view of an instance that knows none of those that joined recently.
func TestQuorumsShareAnInstance(t *testing.T) {
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
func TestJoinedLately(t *testing.T) {
	var all []kv.Event
	for n := range 10 {
		all = append(all, registered(fmt.Sprint(n), "1", int64(n+1)))
	}
	v, err := NewView().Apply(time.Second, all)
	must.NoError(t, err)
	must.Eq(t, 2, v.Joined(2*time.Second))
	later := time.Second + storelessLapsed
	must.Eq(t, 0, v.Joined(later))
	v, err = v.Apply(later, []kv.Event{registered("new", "1", 20)})
	must.NoError(t, err)
	must.Eq(t, 1, v.Joined(later))
	v, err = v.Apply(later+1, []kv.Event{registered("new", "2", 21)})
	must.NoError(t, err)
	must.Eq(t, 1, v.Joined(later+1), must.Sprint("another process under the same name"))
	must.Eq(t, 0, v.Joined(later+storelessLapsed))
}

func registered(name, incarnation string, revision int64) kv.Event {
	return kv.Event{Item: kv.Item{Key: PrefixInstances + name, Value: encode(Instance{Name: name, Incarnation: incarnation}), Revision: revision}}
}

func alive(name, incarnation string, revision int64) kv.Event {
	return kv.Event{Item: kv.Item{Key: prefixAlive + name, Value: []byte(incarnation), Revision: revision}}
}

// An instance without a lease counts as registered until its grants have lapsed. Then its
// entry is deleted, so that processes that start later need not wait for the same grants.
func TestInstancesThatAreGone(t *testing.T) {
	v, err := NewView().Apply(0, []kv.Event{registered("a", "1", 1), alive("a", "1", 2), registered("b", "1", 3), alive("b", "1", 4)})
	must.NoError(t, err)
	must.Len(t, 2, v.Registered(0))
	gone := alive("b", "", 5)
	gone.Deleted = true
	v, err = v.Apply(time.Second, []kv.Event{gone})
	must.NoError(t, err)
	must.Len(t, 2, v.Registered(time.Second+storelessLapsed))
	must.MapEmpty(t, v.Forgettable(time.Second+storelessLapsed))
	must.Len(t, 1, v.Registered(time.Second+storelessLapsed+1))
	must.Eq(t, map[string]int64{"b": 3}, v.Forgettable(time.Second+storelessLapsed+1))
	v, err = v.Apply(2*time.Second, []kv.Event{alive("b", "2", 6)})
	must.NoError(t, err)
	must.Len(t, 2, v.Registered(time.Hour))
}

func TestRegistrationIsConditional(t *testing.T) {
	self := Instance{Name: "a", Incarnation: "2"}
	v, err := NewView().Apply(0, []kv.Event{registered("a", "1", 7)})
	must.NoError(t, err)
	txn := v.Registration(self, 9)
	must.Eq(t, []kv.Expect{{Key: PrefixInstances + "a", Revision: 7}}, txn.Expect)
	must.Len(t, 2, txn.Puts)
}
