package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fixedTimeout is the policy that admits everything, gives up a request that has not run after a
// quarter of its objective, and returns a fixed retry delay.
type fixedTimeout struct{}

func (fixedTimeout) decide(time.Duration, *attempt, Backlog) (bool, time.Duration) { return true, 0 }
func (fixedTimeout) onGrant(time.Duration, *attempt, time.Duration)                {}
func (fixedTimeout) maxQueueTime(a *attempt) time.Duration                         { return a.kind.objective / 4 }

// standingQueue is a policy that rejects requests while all requests of a priority have waited
// longer than a part of their objective over an interval, like CoDel but on arrival. It can be
// combined with another policy.
type standingQueue struct {
	also   policy
	states map[int]*standingState
}

type standingState struct{ least, since, last time.Duration }

func (s *standingQueue) state(a *attempt) *standingState {
	if s.states[a.kind.priority] == nil {
		s.states[a.kind.priority] = &standingState{}
	}
	return s.states[a.kind.priority]
}

func (s *standingQueue) decide(now time.Duration, a *attempt, b Backlog) (bool, time.Duration) {
	st := s.state(a)
	if interval := a.kind.objective / 2; st.least > a.kind.objective/4 && now-st.last < interval && now-st.since >= interval && b.Ahead > 0 {
		wait, _ := b.PredictWait()
		return false, RetryAfter(Request{ID: a.id}, wait, 0)
	}
	if s.also != nil {
		return s.also.decide(now, a, b)
	}
	return true, 0
}

func (s *standingQueue) onGrant(now time.Duration, a *attempt, waited time.Duration) {
	st := s.state(a)
	st.last = now
	if waited < st.least || waited <= a.kind.objective/4 {
		st.least, st.since = waited, now
	}
	if st.least <= a.kind.objective/4 && waited > a.kind.objective/4 {
		st.least = waited
	}
	if s.also != nil {
		s.also.onGrant(now, a, waited)
	}
}

func (s *standingQueue) maxQueueTime(a *attempt) time.Duration { return a.kind.patience }

// score rates the outcome for the clients of a kind: 1 for an answer in time, less for a late one.
func (t *tally) score() float64 {
	const late = 0.3
	return (float64(t.inTime) + late*float64(t.late)) / float64(t.clients)
}

// Compares admission policies for a primary with twice the load that it can run. The policy of this
// package serves no kind worse than the policy that queues everything and gives up later, and it
// never queues a request and then gives it up.
func TestPoliciesUnderOverload(t *testing.T) {
	loads := overloaded()
	before := simulate(6, fixedTimeout{}, loads...)
	results := map[string]*member{
		"fixed timeout":          before,
		"predicted wait":         simulate(6, predicting{}, loads...),
		"standing queue":         simulate(6, &standingQueue{states: make(map[int]*standingState)}, loads...),
		"predicted and standing": simulate(6, &standingQueue{also: predicting{}, states: make(map[int]*standingState)}, loads...),
	}
	for name, m := range results {
		for _, l := range loads {
			c := m.tallies[l.name]
			t.Logf("%-24s %-7s score %.3f of %d: in time %d, late %d, given up %d, admitted and late %d", name, l.name, c.score(), c.clients, c.inTime, c.late, c.gaveUp, c.lateAdmitted)
		}
	}
	for _, l := range loads {
		chosen := results["predicted wait"].tallies[l.name]
		must.Zero(t, chosen.gaveUp)
		must.GreaterEq(t, before.tallies[l.name].score(), chosen.score())
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
