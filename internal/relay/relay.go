// Package relay routes the statements of clients to database members. It keeps the state of each
// client's session, chooses a member for each statement or transaction, and runs it on a connection
// that the sessions of one client account share.
//
// Server accepts the clients that connect to this instance, the ingress instance of their
// statements. An instance that serves a group holds connections to the group's members and runs
// statements there. Where the ingress instance doesn't serve the group, it forwards the statement
// over gRPC to a carrier, which is an instance that does (CarrierServer).
//
// Invariants: a statement reaches a member only on a connection of its own account, and a write is
// sent at most once unless it is certain that it has not run. Work on a primary holds a permit,
// which is issued under a grant, the time-limited permission of this instance to use the primary
// (package lead). An answer that arrives while the grant is not confirmed is passed on only after
// the group's members have verified it. A read is served by a member whose log contains everything
// that its consistency level requires.
package relay

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/locality"
	"github.com/stackspindle/stackspindle/internal/logs"
	"github.com/stackspindle/stackspindle/internal/peerconn"
	"github.com/stackspindle/stackspindle/internal/statement"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// Relay is the state that all sessions of an instance share. It is safe for concurrent use.
type Relay struct {
	started       time.Time
	self          string // name of this instance
	dataCentre    string // data centre of this instance
	localities    locality.Map
	topology      func() *topology.Snapshot
	topologyFresh func() bool // reports whether the topology is recent enough to conclude that a missing entry does not exist
	upstreams     *Upstreams
	log           *logrus.Entry
	metrics       *metrics.Set
	logSampler    *logs.Limiter // limits the rate of log lines
	failureLog    *failureLog
	limiter       Limiter

	placement      atomic.Pointer[PlacementSnapshot]
	carrierConns   *carrierConns
	waitForecasts  waitForecasts // expected queueing delays at the carriers
	carrierEnabled atomic.Bool   // this instance runs statements for other instances

	storedRecord func(group string) StoredRecord

	mu        sync.Mutex // guards guards and guardList
	guards    map[string]*lead.PrimaryGuard
	guardList []groupGuard // the same guards; append-only, so that it is read without a copy
}

// Config holds the dependencies of a Relay.
type Config struct {
	Started    time.Time     // origin of the relay's timestamps, on the monotonic clock
	Self       lead.Instance // this instance
	Localities locality.Map  // the region of each data centre
	Topology   func() *topology.Snapshot
	// TopologyIsCurrent reports whether the topology was confirmed recently enough to conclude that
	// an entry missing from it does not exist.
	TopologyIsCurrent func() bool
	// StoredRecord returns the record of a group as this instance last read it from the store.
	StoredRecord func(group string) StoredRecord
	Limiter      Limiter // enforces the rate limits of client accounts
	Upstreams    *Upstreams
	Conns        *peerconn.Conns // connections to other instances
	Log          *logrus.Entry
	Metrics      *metrics.Set
}

// StoredRecord is a group's record as this instance last read it from the store.
type StoredRecord struct {
	Record      lead.Record
	Revision    int64         // store revision of the record; 0: the group has none
	ConfirmedAt time.Duration // when the store was last asked and had no newer record; 0: never
}

// New returns a Relay.
func New(cfg Config) *Relay {
	r := &Relay{
		started: cfg.Started, self: cfg.Self.Name, dataCentre: cfg.Self.DataCentre, localities: cfg.Localities, topology: cfg.Topology, topologyFresh: cfg.TopologyIsCurrent, storedRecord: cfg.StoredRecord,
		limiter: cfg.Limiter, upstreams: cfg.Upstreams, log: cfg.Log, metrics: cfg.Metrics,
		guards: make(map[string]*lead.PrimaryGuard),
	}
	r.carrierConns = newCarrierConns(cfg.Conns, r.now)
	r.logSampler = logs.NewLimiter(r.now)
	r.failureLog = newFailureLog()
	return r
}

// PrimaryGuard returns the guard of a group's primary, and creates it when the group is first used
// on this instance.
func (r *Relay) PrimaryGuard(group string) *lead.PrimaryGuard {
	r.mu.Lock()
	defer r.mu.Unlock()
	guard := r.guards[group]
	if guard == nil {
		guard = lead.NewPrimaryGuard(r.now)
		// The record is read while mu is held, so that an update arriving later finds the new
		// guard.
		if stored := r.storedRecord(group); stored.Revision > 0 {
			guard.ApplyRecord(stored.Record, stored.Revision)
			if stored.ConfirmedAt > 0 {
				guard.Confirm(stored.ConfirmedAt)
			}
		}
		r.guards[group] = guard
		r.guardList = append(r.guardList, groupGuard{group, guard})
	}
	return guard
}

// groupGuard is the primary guard of a group.
type groupGuard struct {
	group string
	guard *lead.PrimaryGuard
}

// ForEachPrimaryGuard calls f with the guard of every group that was used on this instance.
func (r *Relay) ForEachPrimaryGuard(f func(group string, g *lead.PrimaryGuard)) {
	r.mu.Lock()
	guards := r.guardList
	r.mu.Unlock()
	for _, g := range guards {
		f(g.group, g.guard)
	}
}

func (r *Relay) now() time.Duration { return time.Since(r.started) }

// timeAt converts a timestamp of the relay to a time.Time for deadlines, which keeps the monotonic
// clock reading.
func (r *Relay) timeAt(at time.Duration) time.Time { return r.started.Add(at) }

func (r *Relay) snapshot() *topology.Snapshot { return r.topology() }

// recordAnswer updates the state of the member that answered, and of its group. An answer obtained
// under a permit comes from the primary, so its log position is added to the samples.
func (r *Relay) recordAnswer(upstream *upstreamState, g *groupState, permit *lead.Permit, sentAt time.Duration, answer statement.Answer) {
	upstream.recordAnswer(sentAt, r.now(), answer.Position)
	if permit == nil && !answer.Position.IsZero() {
		lagging := answer.Err != nil && answer.Err.Code == statement.Lagging
		upstream.recordLag(g.lagAt(r.now(), answer.Position), lagging, r.now())
	}
	if permit != nil && permit.SameTerm(answer.Position) && permit.Confirmed() {
		g.addSample(sentAt, answer.Position)
	}
}

// recordOutcome counts and logs the outcome of the first statement of a transaction. Successes are
// logged at debug level only.
func (r *Relay) recordOutcome(a *attempt, answer statement.Answer) {
	outcome := "ok"
	if answer.Err != nil {
		outcome = answer.Err.Code.String()
	}
	took := r.now() - a.arrived
	kind := consistencyNames[a.route.Consistency]
	r.metrics.GetOrCreateCounter(`stackspindle_statements_total{kind="` + kind + `",outcome="` + outcome + `"}`).Inc()
	r.metrics.GetOrCreateHistogram(`stackspindle_statement_seconds{kind="` + kind + `"}`).Update(took.Seconds())
	if answer.Err == nil {
		r.recordServedRead(a, answer, took)
		if r.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
			r.logEntry(a, outcome, took, 0).WithField("position", answer.Position.String()).Debug("relay: a statement was served")
		}
		return
	}
	if suppressed, ok := r.logSampler.Allow(outcome + a.route.Group); ok {
		r.logEntry(a, outcome, took, suppressed).WithField("detail", answer.Err.Detail).Info("relay: a statement did not succeed")
	}
}

// recordRefusal counts and logs a refused statement, with the reason, how long it was queued, and
// the predicted wait.
func (r *Relay) recordRefusal(a *attempt, retryAfter time.Duration) {
	waited, reason := r.now()-a.arrived, "held"
	switch {
	case a.isCancelled() && a.isStopping():
		reason = "stopping"
	case a.isCancelled():
		reason = "caller_left"
	case a.hasVerdict && !a.verdict.Admit:
		reason = a.verdict.Reason.String()
	case a.atLimit:
		reason = "at_limit"
	}
	r.countRefusal(reason, a.priorityLevel())
	if suppressed, ok := r.logSampler.Allow("refusal" + reason + a.route.Group); ok {
		r.log.WithFields(logrus.Fields{
			"request": a.st.ID, "group": a.route.Group, "member": a.lastMember, "priority": a.route.Priority, "reason": reason,
			"held_ms": waited.Milliseconds(), "predicted_ms": a.verdict.Predicted.Milliseconds(), "wait_ms": a.verdict.Wait.Milliseconds(),
			"objective_ms": a.route.LatencyObjective.Milliseconds(), "come_back_ms": retryAfter.Milliseconds(), "offered": a.offered, "why": a.reason, "left_out": suppressed,
		}).Info("relay: a statement was refused")
	}
}

// recordWait records the queueing delay of a statement and its ratio to the predicted delay.
// Statements for which no delay was predicted are left out.
func (r *Relay) recordWait(a *attempt, waited time.Duration) {
	if a.verdict.Wait == 0 {
		return
	}
	labels := `{priority="` + strconv.Itoa(a.priorityLevel()) + `"}`
	r.metrics.GetOrCreateHistogram(`stackspindle_wait_seconds` + labels).Update(waited.Seconds())
	r.metrics.GetOrCreateHistogram(`stackspindle_wait_to_predicted_ratio` + labels).Update(waited.Seconds() / a.verdict.Wait.Seconds())
}

func (r *Relay) countRefusal(reason string, level int) {
	r.metrics.GetOrCreateCounter(`stackspindle_refusals_total{reason="` + reason + `",priority="` + strconv.Itoa(level) + `"}`).Inc()
}

// consistencyNames are the names of consistency levels in logs and metrics.
var consistencyNames = map[topology.Consistency]string{
	topology.Strict: "strict", topology.BoundedStaleness: "bounded", topology.ReadYourWrites: "own_writes",
}

// logEntry returns a log entry with the inputs of the routing decision: account, route,
// configuration version, the primary with the record that names it, the member that was tried
// last, and the position that a read had to see with the age of its sample when the read arrived.
func (r *Relay) logEntry(a *attempt, outcome string, took time.Duration, suppressed int) *logrus.Entry {
	fields := logrus.Fields{
		"request": a.st.ID, "account": a.account, "database": a.route.Database, "group": a.route.Group, "kind": consistencyNames[a.route.Consistency],
		"config_version": r.snapshot().Version, "outcome": outcome, "took_ms": took.Milliseconds(),
		"read": a.reads, "offered": a.offered, "rounds": a.rounds, "member": a.lastMember, "after": a.lastMinPosition.String(),
		"sample_age_ms": a.group.sampleAge(r.now()).Milliseconds(), "bound_ms": a.route.MaxStaleness.Milliseconds(),
	}
	if a.sampledAt > 0 {
		fields["required_age_ms"] = a.requiredAge().Milliseconds()
	}
	if a.permit != nil {
		fields["permit"], fields["permit_record"] = permitStateNames[a.permit.State()], a.permit.Revision
	}
	if ref, err := a.guard.Primary(); err == nil {
		fields["primary"], fields["term"], fields["record"] = ref.Primary, ref.Term, ref.Revision
	} else {
		fields["no_primary"] = err.Error()
	}
	if suppressed > 0 {
		fields["left_out"] = suppressed
	}
	return r.log.WithFields(fields)
}

// logLostAnswer counts and logs a statement whose answer did not arrive.
func (r *Relay) logLostAnswer(s *session, st statement.Statement, memberID string, cause error) {
	r.metrics.GetOrCreateCounter(`stackspindle_lost_answers_total{member="` + memberID + `"}`).Inc()
	if suppressed, ok := r.logSampler.Allow("lost" + memberID); ok {
		r.log.WithFields(logrus.Fields{"request": st.ID, "database": s.startup.Database, "member": memberID, "left_out": suppressed}).WithError(cause).
			Info("relay: an answer did not arrive")
	}
}
