package lead

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/stackspindle/stackspindle/internal/kv"
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
	grant   Grant
	rate    float64 // of its clock
	offset  time.Duration
	asked   time.Duration // when the call under way was sent, on its clock
	seen    int64         // revision of the record that the answer will show
	record  Record
	waiting bool // a call is under way
}

func (s *simulated) now(truth time.Duration) time.Duration {
	return s.offset + time.Duration(float64(truth)*s.rate)
}

// TestNoAuthorityAfterPromotion drives instances that follow a record, and a
// leader that changes the primary, through drift, pauses, late and lost answers
// and unreachable instances. Once a promotion has taken effect nobody may use
// the old primary.
func TestNoAuthorityAfterPromotion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := make([]*simulated, 3)
		for i := range instances {
			instances[i] = &simulated{
				rate:   rapid.Float64Range(0.99, 1.01).Draw(t, "rate"),
				offset: time.Duration(rapid.IntRange(0, 1000).Draw(t, "offset")) * time.Second,
			}
		}
		leaderRate := rapid.Float64Range(0.99, 1.01).Draw(t, "leader's rate")
		var truth time.Duration
		record, revision := Record{Group: "g", Primary: "m0", Term: 1}, int64(1)
		for change := range rapid.IntRange(1, 3).Draw(t, "changes") {
			steps(t, instances, &truth, record, revision)
			// The leader announces the change and asks everybody to release.
			record.Change = &Change{ID: fmt.Sprint(change)}
			revision++
			announced := truth
			for _, s := range instances {
				if rapid.Bool().Draw(t, "reached") {
					s.grant.Release(revision)
					continue
				}
				steps(t, instances, &truth, record, revision)
				left := grantsLapsed - time.Duration(float64(truth-announced)*leaderRate)
				if left > 0 {
					truth += time.Duration(float64(left)/leaderRate) + 1
				}
			}
			old := record.Primary
			record.Primary, record.Term, record.Change = fmt.Sprintf("m%d", change+1), record.Term+1, nil
			for i, s := range instances {
				a, err := s.grant.Authority(s.now(truth))
				if err == nil && a.Primary == old {
					t.Fatalf("instance %d may use %s although %s was promoted", i, old, record.Primary)
				}
			}
			if rapid.Bool().Draw(t, "published") {
				instances[0].grant.Settle(record, revision)
			}
			revision++
		}
		steps(t, instances, &truth, record, revision)
		for _, s := range instances {
			if a, err := s.grant.Authority(s.now(truth)); err == nil && a.Primary != record.Primary {
				t.Fatalf("an instance uses %s, and %s leads", a.Primary, record.Primary)
			}
		}
	})
}

// steps lets instances call the store, and has answers arrive late or never.
func steps(t *rapid.T, instances []*simulated, truth *time.Duration, record Record, revision int64) {
	for range rapid.IntRange(0, 8).Draw(t, "steps") {
		*truth += time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * time.Millisecond
		s := instances[rapid.IntRange(0, len(instances)-1).Draw(t, "instance")]
		switch {
		case !s.waiting:
			s.asked, s.waiting = s.now(*truth), true
			s.record, s.seen = record, revision // answered at once, delivered later
		case rapid.Bool().Draw(t, "delivered"):
			s.grant.Learn(s.record, s.seen)
			s.grant.Confirm(s.asked)
			s.waiting = false
		default:
			s.waiting = false
		}
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
	must.Len(t, 2, v.Registered(time.Second+grantsLapsed))
	must.MapEmpty(t, v.Forgettable(time.Second+grantsLapsed))
	must.Len(t, 1, v.Registered(time.Second+grantsLapsed+1))
	must.Eq(t, map[string]int64{"b": 3}, v.Forgettable(time.Second+grantsLapsed+1))
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
