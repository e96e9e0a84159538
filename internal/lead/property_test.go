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

// simulated is one instance with a clock of its own.
type simulated struct {
	name      string
	started   time.Duration            // on its clock
	attested  map[string]time.Duration // when others last asked, on its clock
	goneSince time.Duration            // when the leader saw its lease gone, on the leader's clock; 0: it holds
	grant     Grant
	rate      float64 // of its clock
	offset    time.Duration
	asked     time.Duration // when the call under way was sent, on its clock
	seen      int64         // revision of the record that the answer will show
	record    Record
	told      []string // members that the answer will show
	members   []string // that it knows of
	waiting   bool     // a call is under way
	toldAt    int64    // revision of the members that the answer will show
	knows     int64    // revision of the members that its registration says it has seen
}

func (s *simulated) now(truth time.Duration) time.Duration {
	return s.offset + time.Duration(float64(truth)*s.rate)
}

// world is a fleet with a true clock.
type world struct {
	t         *rapid.T
	truth     time.Duration
	instances []*simulated
	record    Record
	revision  int64
	rate      float64                  // of the leader's clock
	members   []string                 // in the store
	since     map[string]time.Duration // when the leader learned of a member, on its clock
	written   map[string]int64         // revision of a member's entry
	promoted  string                   // the member that leads
	down      map[string]bool          // members that have stepped down and were not promoted since
	terms     map[string]uint64        // in which members were promoted last
}

// uses reports whether an instance passes an answer of its primary on: its grant is
// confirmed, or every other member that it knows of says that it does not lead and knows of
// no newer term, and the primary that it leads. Only those that were promoted are taken
// to know of their term.
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

// check fails when an instance uses a primary that was replaced.
func (w *world) check() {
	for i, s := range w.instances {
		if primary, ok := w.uses(s); ok && primary != w.promoted {
			w.t.Fatalf("instance %d uses %s, and %s leads", i, primary, w.promoted)
		}
	}
}

func (w *world) leaderNow() time.Duration { return time.Duration(float64(w.truth) * w.rate) }

// TestNoAuthorityAfterPromotion drives instances that follow a record, and a
// leader that changes the primary, through drift, pauses, late and lost answers,
// rounds of attestation, and instances that the leader cannot reach. Once a
// promotion has taken effect nobody may use the old primary.
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

// change announces a change, has grants released or lapse, and promotes.
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

// successor chooses whom to promote, as the leader does, and waits while it may
// promote nobody.
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

// allLapsed reports what the leader believes of the instances it cannot reach.
func (w *world) allLapsed(r *release, unreached []*simulated) bool {
	for _, s := range unreached {
		if !r.lapsed(w.leaderNow(), s.name, s.goneSince) {
			return false
		}
	}
	return true
}

// reply returns what an instance tells the leader that asks it to release.
func (w *world) reply(s *simulated) *leadpb.ReleaseReply {
	reply := &leadpb.ReleaseReply{UptimeUs: (s.now(w.truth) - s.started).Microseconds(), AttestedUs: make(map[string]int64)}
	for name, at := range s.attested {
		reply.AttestedUs[name] = (s.now(w.truth) - at).Microseconds()
	}
	return reply
}

// steps lets time pass, answers of the store come late or never, and rounds of
// attestation take place among those who reach one another.
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
		return // its entry is gone, so that no answer confirms its grants
	}
	if !s.waiting {
		s.asked, s.waiting = s.now(w.truth), true
		s.record, s.seen = w.record, w.revision // answered at once, delivered later
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

// attest has an instance ask the others; each answers at some moment, or not.
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
	must.NoError(t, err, must.Sprint("the members may verify that nobody else leads"))
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
	must.NoError(t, err, must.Sprint("settled by the leader"))
	must.Eq(t, "b", a.Primary)
	g.Learn(Record{Primary: "a", Term: 1}, 5)
	a, err = g.Authority(GrantValidity)
	must.NoError(t, err, must.Sprint("an older record is not taken"))
	must.Eq(t, "b", a.Primary)
}

// A record that the leader has told gives no grant to an instance that has not heard of
// the store itself: it does not know whom to ask.
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
	must.Error(t, err, must.Sprint("the store was silent for too long"))
}

func TestNewsOfAnotherInstance(t *testing.T) {
	var teller, hearer Grant
	hearer.Confirm(0)
	hearer.Learn(Record{Primary: "a", Term: 1}, 5)
	teller.Learn(Record{Primary: "a", Term: 1}, 5)
	_, newer := teller.NewsSince(5)
	must.False(t, newer)
	teller.Release(6)
	news, newer := teller.NewsSince(5)
	must.True(t, newer)
	hearer.Hear(news)
	_, err := hearer.Authority(0)
	must.Error(t, err, must.Sprint("a change is under way"))
	teller.Settle(Record{Primary: "b", Term: 2}, 6)
	news, newer = teller.NewsSince(5)
	must.True(t, newer)
	hearer.Hear(news)
	a, err := hearer.Authority(0)
	must.NoError(t, err)
	must.Eq(t, "b", a.Primary)
}

// Once a quorum has released, those that remain are none, also for an instance that
// knows of none of those that joined lately.
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

// An instance that has not followed the store for long takes some of the others to
// have joined lately; one that has knows which.
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
	must.Eq(t, 1, v.Joined(later+1), must.Sprint("another process of the same name"))
	must.Eq(t, 0, v.Joined(later+storelessLapsed))
}

func registered(name, incarnation string, revision int64) kv.Event {
	return kv.Event{Item: kv.Item{Key: PrefixInstances + name, Value: encode(Instance{Name: name, Incarnation: incarnation}), Revision: revision}}
}

func alive(name, incarnation string, revision int64) kv.Event {
	return kv.Event{Item: kv.Item{Key: prefixAlive + name, Value: []byte(incarnation), Revision: revision}}
}

// An instance that is gone counts until its grants have lapsed, and its entry is
// removed then, so that processes which start later need not wait again.
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
	must.Eq(t, []kv.Condition{{Key: PrefixInstances + "a", Revision: 7}}, txn.Conditions)
	must.Len(t, 2, txn.Puts)
}
