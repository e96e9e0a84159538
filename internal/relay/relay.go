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

// Relay is what the sessions of an instance share. It is safe for concurrent use.
type Relay struct {
	started       time.Time
	self          string // the instance's name
	dataCentre    string // its data centre
	localities    locality.Map
	topology      func() *topology.Snapshot
	topologyFresh func() bool // the store was heard of lately enough to know what does not exist
	upstreams     *Upstreams
	log           *logrus.Entry
	metrics       *metrics.Set
	logSampler    *logs.Limiter // of log lines
	failureLog    *failureLog
	limiter       Limiter

	placement      atomic.Pointer[Placed]
	carrierConns   *carrierConns
	waitForecasts  waitForecasts // on the waits at the carriers
	carrierEnabled atomic.Bool   // statements of other instances may be run here

	storedRecord func(group string) Known

	mu        sync.Mutex // guards gates and named
	guards    map[string]*lead.Gate
	guardList []groupGuard // the same, only added to
}

// Config is what a relay works with.
type Config struct {
	Started  time.Time     // from which the relay's times count, on the steady clock
	Self     lead.Instance // this instance
	Places   locality.Map  // how far data centres lie from one another
	Topology func() *topology.Snapshot
	// Current reports whether the topology was confirmed lately enough that what it does
	// not hold does not exist.
	Current func() bool
	// Known returns what the store holds of a group, as far as this instance knows.
	Known     func(group string) Known
	Limiter   Limiter // keeps accounts within their limits
	Upstreams *Upstreams
	Conns     *peerconn.Conns // to other instances
	Log       *logrus.Entry
	Metrics   *metrics.Set
}

// Known is what an instance knows of a group's record.
type Known struct {
	Record    lead.Record
	Revision  int64         // of the record, 0: there is none
	Confirmed time.Duration // when a call of the store was sent that showed nothing newer; 0: none was
}

// New returns a relay.
func New(cfg Config) *Relay {
	r := &Relay{
		started: cfg.Started, self: cfg.Self.Name, dataCentre: cfg.Self.DataCentre, localities: cfg.Places, topology: cfg.Topology, topologyFresh: cfg.Current, storedRecord: cfg.Known,
		limiter: cfg.Limiter, upstreams: cfg.Upstreams, log: cfg.Log, metrics: cfg.Metrics,
		guards: make(map[string]*lead.Gate),
	}
	r.carrierConns = newCarrierConns(cfg.Conns, r.now)
	r.logSampler = logs.NewLimiter(r.now)
	r.failureLog = newFailureLog()
	return r
}

// Gate returns the gate of a group's primary. The first use of a group here makes it.
func (r *Relay) Gate(group string) *lead.Gate {
	r.mu.Lock()
	defer r.mu.Unlock()
	guard := r.guards[group]
	if guard == nil {
		guard = lead.NewGate(r.now)
		// Under the lock: whoever learns more afterwards finds the gate and tells it.
		if stored := r.storedRecord(group); stored.Revision > 0 {
			guard.Learn(stored.Record, stored.Revision)
			if stored.Confirmed > 0 {
				guard.Confirm(stored.Confirmed)
			}
		}
		r.guards[group] = guard
		r.guardList = append(r.guardList, groupGuard{group, guard})
	}
	return guard
}

// namedGate is the gate of a group.
type groupGuard struct {
	group string
	guard *lead.Gate
}

// Gates calls f with the gate of every group that was used here.
func (r *Relay) Gates(f func(group string, g *lead.Gate)) {
	r.mu.Lock()
	guards := r.guardList
	r.mu.Unlock()
	for _, g := range guards {
		f(g.group, g.guard)
	}
}

func (r *Relay) now() time.Duration { return time.Since(r.started) }

// wall turns a time of the relay into one for deadlines. It keeps the steady clock.
func (r *Relay) timeAt(at time.Duration) time.Time { return r.started.Add(at) }

func (r *Relay) snapshot() *topology.Snapshot { return r.topology() }

// noteAnswer takes in what an answer tells of its member. Under a pass the
// member is the primary, and its position is a sample.
func (r *Relay) recordAnswer(upstream *upstreamState, g *groupState, permit *lead.Pass, sentAt time.Duration, answer statement.Answer) {
	upstream.recordAnswer(sentAt, r.now(), answer.Position)
	if permit == nil && !answer.Position.IsZero() {
		lagging := answer.Err != nil && answer.Err.Code == statement.Lagging
		upstream.recordLag(g.lagAt(r.now(), answer.Position), lagging, r.now())
	}
	if permit != nil && permit.Covers(answer.Position) && permit.Valid() {
		g.addSample(sentAt, answer.Position)
	}
}

// observe counts and logs the end of a first statement. What succeeded is logged
// where the level asks for it.
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
		if r.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
			r.logEntry(a, outcome, took, 0).Debug("relay: a statement was served")
		}
		return
	}
	if suppressed, ok := r.logSampler.Allow(outcome + a.route.Group); ok {
		r.logEntry(a, outcome, took, suppressed).WithField("detail", answer.Err.Detail).Info("relay: a statement did not succeed")
	}
}

// noteRefusal counts and logs that a statement was refused, with what was known: whether
// that was at once, for what reason, and what was predicted.
func (r *Relay) recordRefusal(a *attempt, retryAfter time.Duration) {
	waited, reason := r.now()-a.arrived, "held"
	switch {
	case a.clientGone():
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

// observeWait records how long a statement waited, and what was predicted for it, where
// any wait was.
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

// consistencyNames name the kinds of routes in logs and metrics.
var consistencyNames = map[topology.Consistency]string{
	topology.Strict: "strict", topology.BoundedStaleness: "bounded", topology.ReadYourWrites: "own_writes",
}

// line returns a log line with what decided about a statement: the account, the route and the
// version that it is of, the authority with the record that it rests on, and the
// member that was used last.
func (r *Relay) logEntry(a *attempt, outcome string, took time.Duration, suppressed int) *logrus.Entry {
	fields := logrus.Fields{
		"request": a.st.ID, "account": a.account, "database": a.route.Database, "group": a.route.Group, "kind": consistencyNames[a.route.Consistency],
		"config_version": r.snapshot().Version, "outcome": outcome, "took_ms": took.Milliseconds(),
		"read": a.reads, "offered": a.offered, "rounds": a.rounds, "member": a.lastMember, "after": a.lastMinPosition.String(),
		"sample_age_ms": a.group.sampleAge(r.now()).Milliseconds(),
	}
	if authority, err := a.guard.Authority(); err == nil {
		fields["primary"], fields["term"], fields["record"] = authority.Primary, authority.Term, authority.Revision
	} else {
		fields["no_primary"] = err.Error()
	}
	if suppressed > 0 {
		fields["left_out"] = suppressed
	}
	return r.log.WithFields(fields)
}

// logLost records a statement whose answer did not arrive.
func (r *Relay) logLostAnswer(s *session, st statement.Statement, memberID string, cause error) {
	r.metrics.GetOrCreateCounter(`stackspindle_lost_answers_total{member="` + memberID + `"}`).Inc()
	if suppressed, ok := r.logSampler.Allow("lost" + memberID); ok {
		r.log.WithFields(logrus.Fields{"request": st.ID, "database": s.start.Database, "member": memberID, "left_out": suppressed}).WithError(cause).
			Info("relay: an answer did not arrive")
	}
}
