package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/statement"
)

// lagLogDivisor is the divisor for the part of a route's staleness bound from which on a replica's
// lag is logged with the reads that it serves.
const lagLogDivisor = 2

// permitStateNames are the names of permit states in logs and metrics.
var permitStateNames = map[lead.PermitState]string{lead.Revoked: "revoked", lead.Unconfirmed: "unconfirmed", lead.Confirmed: "confirmed"}

// recordPrimaryAnswer counts an answer of a primary by the state of its permit and whether it is
// passed on. It logs answers that need attention: those under a permit that is not confirmed, or
// whose record is not the newest one any more.
func (r *Relay) recordPrimaryAnswer(g *groupState, permit *lead.Permit, state lead.PermitState, reads, passedOn bool) {
	name, passed := permitStateNames[state], "no"
	if passedOn {
		passed = "yes"
	}
	newest, revision := permit.NewestRecord()
	superseded := revision != permit.Revision
	if superseded {
		name += "_superseded"
	}
	r.metrics.GetOrCreateCounter(`stackspindle_primary_answers_total{permit="` + name + `",passed_on="` + passed + `"}`).Inc()
	if state == lead.Confirmed && !superseded {
		return
	}
	suppressed, ok := r.logSampler.Allow("permit" + name + g.name)
	if !ok {
		return
	}
	r.log.WithFields(logrus.Fields{
		"group": g.name, "primary": permit.Primary, "term": permit.Term, "record": permit.Revision, "permit": name, "read": reads, "passed_on": passedOn,
		"newest_primary": newest.Primary, "newest_term": newest.Term, "newest_record": revision, "changing": newest.Change != nil,
		"sample_age_ms": g.sampleAge(r.now()).Milliseconds(), "left_out": suppressed,
	}).Info("relay: an answer came under a permit that is not confirmed, or of an earlier record")
}

// recordServedRead records which position a read had to see and how old that is. It logs reads that
// a replica served although it lags by a considerable part of the route's staleness bound.
func (r *Relay) recordServedRead(a *attempt, answer statement.Answer, took time.Duration) {
	if !a.reads || a.permit != nil || a.sampledAt == 0 {
		return
	}
	kind := consistencyNames[a.route.Consistency]
	r.metrics.GetOrCreateHistogram(`stackspindle_required_position_age_seconds{kind="` + kind + `"}`).Update(a.requiredAge().Seconds())
	lag := a.group.lagAt(r.now(), answer.Position)
	if lag >= 0 && lag < a.route.MaxStaleness/lagLogDivisor {
		return
	}
	if suppressed, ok := r.logSampler.Allow("lagging" + a.route.Group); ok {
		r.logEntry(a, "ok", took, suppressed).WithFields(logrus.Fields{"position": answer.Position.String(), "lag_ms": lag.Milliseconds()}).
			Info("relay: a replica that lags served a read")
	}
}

// requiredAge returns how long before the statement arrived the position was sampled that it had to
// see. It is less than the route's staleness bound, and negative for a later sample.
func (a *attempt) requiredAge() time.Duration { return a.arrived - a.sampledAt }
