package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fixedHold is the way that admits everything, refuses what has not run after a quarter of
// its objective, and tells everybody the same.
type fixedHold struct{}

func (fixedHold) decide(time.Duration, *visit, Backlog) (bool, time.Duration) { return true, 0 }
func (fixedHold) ran(time.Duration, *visit, time.Duration)                    {}
func (fixedHold) hold(v *visit) time.Duration                                 { return v.kind.objective / 4 }

// standing refuses while requests of a priority have all waited for longer than a part of
// their objective over an interval, as CoDel does on arrival. With it the predicted wait
// may decide as well.
type standing struct {
	also   gate
	levels map[int]*standingLevel
}

type standingLevel struct{ least, since, last time.Duration }

func (s *standing) level(v *visit) *standingLevel {
	if s.levels[v.kind.priority] == nil {
		s.levels[v.kind.priority] = &standingLevel{}
	}
	return s.levels[v.kind.priority]
}

func (s *standing) decide(now time.Duration, v *visit, b Backlog) (bool, time.Duration) {
	l := s.level(v)
	if interval := v.kind.objective / 2; l.least > v.kind.objective/4 && now-l.last < interval && now-l.since >= interval && b.Ahead > 0 {
		wait, _ := b.Wait()
		return false, ComeBack(Request{ID: v.id}, wait, 0)
	}
	if s.also != nil {
		return s.also.decide(now, v, b)
	}
	return true, 0
}

func (s *standing) ran(now time.Duration, v *visit, waited time.Duration) {
	l := s.level(v)
	l.last = now
	if waited < l.least || waited <= v.kind.objective/4 {
		l.least, l.since = waited, now
	}
	if l.least <= v.kind.objective/4 && waited > v.kind.objective/4 {
		l.least = waited
	}
	if s.also != nil {
		s.also.ran(now, v, waited)
	}
}

func (s *standing) hold(v *visit) time.Duration { return v.kind.patience }

// worth is what callers have of a kind: an answer in time counts 1, a late one less.
func (t *tally) worth() float64 {
	const late = 0.3
	return (float64(t.inTime) + late*float64(t.late)) / float64(t.callers)
}

// The ways that were weighed, before a primary with twice what it can run. What is chosen
// serves no kind worse than the way that holds everybody and refuses later, and holds
// nobody in vain.
func TestWaysUnderOverload(t *testing.T) {
	loads := overloaded()
	before := simulate(6, fixedHold{}, loads...)
	ways := map[string]*member{
		"held for a quarter":     before,
		"predicted wait":         simulate(6, predicting{}, loads...),
		"standing queue":         simulate(6, &standing{levels: make(map[int]*standingLevel)}, loads...),
		"predicted and standing": simulate(6, &standing{also: predicting{}, levels: make(map[int]*standingLevel)}, loads...),
	}
	for name, m := range ways {
		for _, l := range loads {
			c := m.tallies[l.name]
			t.Logf("%-24s %-7s worth %.3f of %d: in time %d, late %d, held in vain %d, admitted and late %d", name, l.name, c.worth(), c.callers, c.inTime, c.late, c.heldInVain, c.lateAdmitted)
		}
	}
	for _, l := range loads {
		must.Zero(t, ways["predicted wait"].tallies[l.name].heldInVain)
	}
}

func overloaded() []load {
	const long = 6 * time.Second
	return []load{
		{name: "edit", priority: 0, work: 10 * ms, objective: 200 * ms, patience: 2 * time.Second, every: 4 * ms, to: long},
		{name: "read", priority: 1, work: 30 * ms, objective: 400 * ms, patience: 2 * time.Second, every: 4 * ms, to: long},
		{name: "browse", priority: 2, work: 50 * ms, objective: 1500 * ms, patience: 8 * time.Second, every: 25 * ms, to: long},
	}
}
