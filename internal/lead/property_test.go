package lead

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/stackspindle/stackspindle/internal/kv"
	"github.com/stackspindle/stackspindle/internal/lead/leadpb"
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
	waiting   bool // a call is under way
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
	rate      float64 // of the leader's clock
}

func (w *world) leaderNow() time.Duration { return time.Duration(float64(w.truth) * w.rate) }

// TestNoAuthorityAfterPromotion drives instances that follow a record, and a
// leader that changes the primary, through drift, pauses, late and lost answers,
// rounds of attestation, and instances that the leader cannot reach. Once a
// promotion has taken effect nobody may use the old primary.
func TestNoAuthorityAfterPromotion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, record: Record{Group: "g", Primary: "m0", Term: 1}, revision: 1, rate: drawRate(t)}
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
		for i, s := range w.instances {
			if a, err := s.grant.Authority(s.now(w.truth)); err == nil && a.Primary != w.record.Primary {
				t.Fatalf("instance %d uses %s, and %s leads", i, a.Primary, w.record.Primary)
			}
		}
	})
}

func drawRate(t *rapid.T) float64 { return rapid.Float64Range(0.99, 1.01).Draw(t, "rate") }

// change announces a change, has grants released or lapse, and promotes.
func (w *world) change(n int) {
	w.record.Change = &Change{ID: fmt.Sprint(n)}
	w.revision++
	r := &release{announced: w.leaderNow(), missing: Quorum(len(w.instances))}
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
	old := w.record.Primary
	w.record.Primary, w.record.Term, w.record.Change = fmt.Sprintf("m%d", n+1), w.record.Term+1, nil
	for i, s := range w.instances {
		if a, err := s.grant.Authority(s.now(w.truth)); err == nil && a.Primary == old {
			w.t.Fatalf("instance %d may use %s although %s was promoted", i, old, w.record.Primary)
		}
	}
	if rapid.Bool().Draw(w.t, "published") {
		w.instances[0].grant.Settle(w.record, w.revision)
	}
	w.revision++
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
		switch rapid.SampledFrom([]string{"store", "store", "attest", "gone"}).Draw(w.t, "what") {
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
		return
	}
	if rapid.Bool().Draw(w.t, "delivered") {
		s.grant.Learn(s.record, s.seen)
		s.grant.Confirm(s.asked)
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
	if !objected && answers >= Quorum(len(w.instances)) {
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
	_, err = g.Authority(GrantValidity)
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

func TestAttestationStandsInForTheStore(t *testing.T) {
	var g Grant
	g.Learn(Record{Primary: "a", Term: 1}, 5)
	g.Confirm(0)
	g.Attest(GrantValidity-1, 4)
	_, err := g.Authority(GrantValidity)
	must.Error(t, err, must.Sprint("attested for another record"))
	for at := GrantValidity - 1; at < StorelessValidity; at += GrantValidity - 1 {
		g.Attest(at, 5)
		_, err := g.Authority(min(at+GrantValidity, StorelessValidity) - 1)
		must.NoError(t, err)
	}
	g.Attest(StorelessValidity, 5)
	_, err = g.Authority(StorelessValidity)
	must.Error(t, err, must.Sprint("the store was silent for too long"))
}

func TestNewsOfAnotherInstance(t *testing.T) {
	var teller, hearer Grant
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

func TestQuorumsShareAnInstance(t *testing.T) {
	for n := 1; n <= 600; n++ {
		must.Greater(t, n, 2*Quorum(n))
		must.LessEq(t, n, Quorum(n))
		// Also when a quarter more were registered meanwhile.
		more := n + n/4
		must.Greater(t, more, Quorum(n)+Quorum(more))
	}
}

func registered(name, incarnation string, revision int64) kv.Event {
	return kv.Event{Item: kv.Item{Key: prefixInstance + name, Value: encode(Instance{Name: name, Incarnation: incarnation}), Revision: revision}}
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
	must.Eq(t, []kv.Expect{{Key: prefixInstance + "a", Revision: 7}}, txn.Expect)
	must.Len(t, 2, txn.Puts)
}
