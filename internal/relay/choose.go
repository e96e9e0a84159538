package relay

import (
	"context"
	"time"

	"github.com/stackspindle/stackspindle/internal/admission"
	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/outlier"
	"github.com/stackspindle/stackspindle/internal/placement"
	"github.com/stackspindle/stackspindle/internal/routing"
	"github.com/stackspindle/stackspindle/internal/statement"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// lostReadShare is the part of its objective after which a read that got no
// answer is given to another member.
const lostReadShare = 0.5

// round offers the statement to each member that may serve it, once.
func (a *attempt) round() (statement.Answer, outcome) {
	if a.needsPrimary() {
		return a.waitForPrimary()
	}
	required, ok := a.required()
	if !ok {
		a.why = "no replica is known to be fresh enough"
		return a.waitForPrimary()
	}
	age := a.group.age(a.now(), required)
	order := routing.Order(a.candidates(), required, age)
	if routing.ShouldWaitForReplica(order, required, age, a.arrived+a.route.LatencyObjective-a.now()-retryPause) {
		a.why = "a replica is about to hold what the read must see"
		return statement.Answer{}, noRoom
	}
	if a.tries > 0 || len(order) == 1 {
		a.tries++
		return a.waitAtBest(order, required, age)
	}
	last := noRoom
	order = routing.ImmediateCandidates(order, required, age)
	for i, c := range order {
		answer, out := a.tryOne(c, required, a.now(), len(order)-i > 1) // where a connection is free now
		if out == served || out == unknown {
			return answer, out
		}
		last = out
	}
	a.tries++
	return statement.Answer{}, last
}

// required returns the position that a read must see, or false when no sample
// of the primary is young enough.
func (a *attempt) required() (group.Position, bool) {
	p, ok := a.group.required(a.arrived - a.route.MaxStaleness)
	if !ok {
		return group.Position{}, false
	}
	if a.route.Consistency == topology.ReadYourWrites {
		p = group.Max(p, a.group.floor(a.s.floor))
	}
	return p, true
}

// candidates returns the members that might serve a read.
func (a *attempt) candidates() []routing.Candidate {
	relay := a.s.relay
	authority, err := a.gate.Primary()
	usual := a.group.usual(kindOf(a.route))
	var candidates []routing.Candidate
	for _, m := range relay.snapshot().MembersOf(a.route.Group) {
		up := relay.upstreams.get(m.ID)
		if up == nil {
			continue
		}
		c := up.view(a.now())
		c.Slots, c.TypicalDuration = m.Slots/placement.CarriersPerMember, usual
		if err == nil && m.ID == authority.Primary {
			c.Primary = true
		}
		candidates = append(candidates, c)
	}
	relay.deferOutliers(candidates)
	return candidates
}

// deferOutliers leaves members that fail more than others out of a part of the choices.
func (r *Relay) deferOutliers(candidates []routing.Candidate) {
	failing := make([]float64, len(candidates))
	for n, c := range candidates {
		failing[n] = c.FailureRate
	}
	for n, share := range outlier.ReadShares(failing) {
		if up := r.upstreams.get(candidates[n].ID); up != nil {
			candidates[n].Deprioritized = !up.takesPart(share)
		}
	}
}

func (a *attempt) tryOne(c routing.Candidate, required group.Position, waitUntil time.Duration, others bool) (statement.Answer, outcome) {
	if c.Primary {
		return a.tryPrimary(waitUntil)
	}
	up := a.s.relay.upstreams.get(c.ID)
	if up == nil {
		return statement.Answer{}, noRoom
	}
	timeout := a.deadline
	if others {
		timeout = min(timeout, max(waitUntil, a.now())+max(a.patience(), time.Duration(float64(a.route.LatencyObjective)*lostReadShare)))
	}
	return a.tryAt(a.ctx, target{up: up, after: required}, waitUntil, timeout)
}

// tryPrimary offers the statement to the primary, under a pass.
func (a *attempt) tryPrimary(waitUntil time.Duration) (statement.Answer, outcome) {
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	breaker := &breaker{cancel: cancel}
	pass, err := a.gate.Acquire(breaker.trip)
	if err != nil {
		a.why = err.Error()
		a.obstacle = &obstacle{reason: admission.NoPrimary, left: a.group.outage(a.now(), a.gate)}
		return statement.Answer{}, noRoom
	}
	a.group.noteAuthority(a.now())
	if !a.mayWrite(pass) {
		pass.Done()
		a.why = "the grant is not confirmed, and the members do not verify it"
		a.obstacle = &obstacle{reason: admission.NoPrimary, left: a.group.lapse()}
		return statement.Answer{}, noRoom
	}
	up := a.s.relay.upstreams.get(pass.Primary)
	if up == nil {
		pass.Done()
		a.why = "the primary's entry is gone"
		return statement.Answer{}, noRoom
	}
	answer, out := a.tryAt(ctx, target{up: up, pass: pass, breaker: breaker}, waitUntil, a.deadline)
	if a.s.tx == nil || a.s.tx.pass != pass {
		pass.Done()
	}
	return answer, out
}

// mayWrite reports whether work that may write can be sent to the primary: the
// grant is confirmed, or the members could verify it a moment ago.
func (a *attempt) mayWrite(pass *lead.Permit) bool {
	return a.reads || pass.State() == lead.Confirmed || a.group.verifiedLately(a.now()) ||
		a.s.relay.verify(a.ctx, a.group, pass.PrimaryRef, false)
}
