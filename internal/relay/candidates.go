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

// readTimeoutFraction is the fraction of its latency objective after which a read without an answer
// is retried at another member.
const readTimeoutFraction = 0.5

// tryRound tries each member that may run the statement once.
func (a *attempt) tryRound() (statement.Answer, outcome) {
	if a.needsPrimary() {
		return a.waitForPrimary()
	}
	required, ok := a.requiredPosition()
	if !ok {
		a.reason = "no replica is known to be fresh enough"
		return a.waitForPrimary()
	}
	positionAge := a.group.positionAge(a.now(), required)
	order := routing.Order(a.candidates(), required, positionAge)
	if routing.ShouldWaitForReplica(order, required, positionAge, a.arrived+a.route.LatencyObjective-a.now()-retryDelay) {
		a.reason = "a replica is about to hold what the read must see"
		return statement.Answer{}, noConnection
	}
	if a.rounds > 0 || len(order) == 1 {
		a.rounds++
		return a.waitAtFastest(order, required, positionAge)
	}
	last := noConnection
	order = routing.ImmediateCandidates(order, required, positionAge)
	for i, c := range order {
		answer, result := a.tryCandidate(c, required, a.now(), len(order)-i > 1) // only if a connection is free now
		if result == served || result == unknownOutcome {
			return answer, result
		}
		last = result
	}
	a.rounds++
	return statement.Answer{}, last
}

// requiredPosition returns the log position that a read must see. It reports false when no sample
// of the primary's log is recent enough.
func (a *attempt) requiredPosition() (group.Position, bool) {
	p, sampledAt, ok := a.group.requiredAt(a.arrived - a.route.MaxStaleness)
	if !ok {
		return group.Position{}, false
	}
	a.sampledAt = sampledAt
	if a.route.Consistency == topology.ReadYourWrites {
		p = group.Max(p, a.group.currentFloor(a.session.floor))
	}
	return p, true
}

// candidates returns the members that might serve a read.
func (a *attempt) candidates() []routing.Candidate {
	relay := a.session.relay
	ref, err := a.guard.Primary()
	typical := a.group.typicalDuration(classOf(a.route))
	var candidates []routing.Candidate
	for _, m := range relay.snapshot().MembersOf(a.route.Group) {
		upstream := relay.upstreams.get(m.ID)
		if upstream == nil {
			continue
		}
		c := upstream.candidate(a.now())
		c.Slots, c.TypicalDuration = m.Slots/placement.CarriersPerMember, typical
		if err == nil && m.ID == ref.Primary {
			c.Primary = true
		}
		candidates = append(candidates, c)
	}
	relay.deprioritizeOutliers(candidates)
	return candidates
}

// deprioritizeOutliers excludes members with a higher failure rate than the others from a fraction
// of the choices.
func (r *Relay) deprioritizeOutliers(candidates []routing.Candidate) {
	failureRates := make([]float64, len(candidates))
	for i, c := range candidates {
		failureRates[i] = c.FailureRate
	}
	for i, share := range outlier.ReadShares(failureRates) {
		if upstream := r.upstreams.get(candidates[i].ID); upstream != nil {
			candidates[i].Deprioritized = !upstream.inRotation(share)
		}
	}
}

func (a *attempt) tryCandidate(c routing.Candidate, required group.Position, waitUntil time.Duration, othersLeft bool) (statement.Answer, outcome) {
	if c.Primary {
		return a.tryPrimary(waitUntil)
	}
	upstream := a.session.relay.upstreams.get(c.ID)
	if upstream == nil {
		return statement.Answer{}, noConnection
	}
	timeout := a.deadline
	if othersLeft {
		timeout = min(timeout, max(waitUntil, a.now())+max(a.maxWorkTime(), time.Duration(float64(a.route.LatencyObjective)*readTimeoutFraction)))
	}
	return a.runAt(a.ctx, target{upstream: upstream, minPosition: required}, waitUntil, timeout)
}

// tryPrimary runs the statement at the primary, under a permit.
func (a *attempt) tryPrimary(waitUntil time.Duration) (statement.Answer, outcome) {
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	canceller := &workCanceller{cancelWait: cancel}
	permit, err := a.guard.Acquire(canceller.cancel)
	if err != nil {
		a.reason = err.Error()
		a.unavailable = &unavailability{reason: admission.NoPrimary, remaining: a.group.recordOutage(a.now(), a.guard)}
		return statement.Answer{}, noConnection
	}
	a.group.recordPrimary(a.now())
	if !a.maySendToPrimary(permit) {
		permit.Done()
		a.reason = "the grant is not confirmed, and the members do not verify it"
		a.unavailable = &unavailability{reason: admission.NoPrimary, remaining: a.group.typicalLapse()}
		return statement.Answer{}, noConnection
	}
	upstream := a.session.relay.upstreams.get(permit.Primary)
	if upstream == nil {
		permit.Done()
		a.reason = "the primary's entry is gone"
		return statement.Answer{}, noConnection
	}
	answer, result := a.runAt(ctx, target{upstream: upstream, permit: permit, canceller: canceller}, waitUntil, a.deadline)
	if a.session.tx == nil || a.session.tx.permit != permit {
		permit.Done()
	}
	return answer, result
}

// maySendToPrimary reports whether the statement may be sent to the primary: it only reads, the
// grant is confirmed, or the members verified the grant a moment ago or do so now.
func (a *attempt) maySendToPrimary(permit *lead.Permit) bool {
	return a.reads || permit.State() == lead.Confirmed || a.group.recentlyVerified(permit.PrimaryRef, a.now()) ||
		a.session.relay.verify(a.ctx, a.group, permit.PrimaryRef, false)
}
