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
	started   time.Time
	self      string // the instance's name
	near      string // its data centre
	places    locality.Map
	topology  func() *topology.Snapshot
	current   func() bool // the store was heard of lately enough to know what does not exist
	upstreams *Upstreams
	log       *logrus.Entry
	set       *metrics.Set
	sampler   *logs.Limiter // of log lines
	failures  *failures
	limiter   Limiter

	carriers     atomic.Pointer[Placed]
	carrierConns *carrierConns
	outlook      outlook     // on the waits at the carriers
	carrying     atomic.Bool // statements of other instances may be run here

	known func(group string) Known

	mu    sync.Mutex // guards gates and named
	gates map[string]*lead.PrimaryGuard
	named []namedGate // the same, only added to
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
		started: cfg.Started, self: cfg.Self.Name, near: cfg.Self.DataCentre, places: cfg.Places, topology: cfg.Topology, current: cfg.Current, known: cfg.Known,
		limiter: cfg.Limiter, upstreams: cfg.Upstreams, log: cfg.Log, set: cfg.Metrics,
		gates: make(map[string]*lead.PrimaryGuard),
	}
	r.carrierConns = newCarrierConns(cfg.Conns, r.now)
	r.sampler = logs.NewLimiter(r.now)
	r.failures = newFailures()
	return r
}

// Gate returns the gate of a group's primary. The first use of a group here makes it.
func (r *Relay) Gate(group string) *lead.PrimaryGuard {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.gates[group]
	if g == nil {
		g = lead.NewPrimaryGuard(r.now)
		// Under the lock: whoever learns more afterwards finds the gate and tells it.
		if known := r.known(group); known.Revision > 0 {
			g.ApplyRecord(known.Record, known.Revision)
			if known.Confirmed > 0 {
				g.Confirm(known.Confirmed)
			}
		}
		r.gates[group] = g
		r.named = append(r.named, namedGate{group, g})
	}
	return g
}

// namedGate is the gate of a group.
type namedGate struct {
	group string
	gate  *lead.PrimaryGuard
}

// Gates calls f with the gate of every group that was used here.
func (r *Relay) Gates(f func(group string, g *lead.PrimaryGuard)) {
	r.mu.Lock()
	named := r.named
	r.mu.Unlock()
	for _, n := range named {
		f(n.group, n.gate)
	}
}

func (r *Relay) now() time.Duration { return time.Since(r.started) }

// wall turns a time of the relay into one for deadlines. It keeps the steady clock.
func (r *Relay) wall(at time.Duration) time.Time { return r.started.Add(at) }

func (r *Relay) snapshot() *topology.Snapshot { return r.topology() }

// noteAnswer takes in what an answer tells of its member. Under a pass the
// member is the primary, and its position is a sample.
func (r *Relay) noteAnswer(up *upstream, g *groupState, pass *lead.Permit, asked time.Duration, answer statement.Answer) {
	up.noteAnswer(asked, r.now(), answer.Position)
	if pass == nil && !answer.Position.IsZero() {
		lagging := answer.Err != nil && answer.Err.Code == statement.Lagging
		up.noteProgress(g.behind(r.now(), answer.Position), lagging, r.now())
	}
	if pass != nil && pass.SameTerm(answer.Position) && pass.Confirmed() {
		g.note(asked, answer.Position)
	}
}

// observe counts and logs the end of a first statement. What succeeded is logged
// where the level asks for it.
func (r *Relay) observe(a *attempt, answer statement.Answer) {
	outcome := "ok"
	if answer.Err != nil {
		outcome = answer.Err.Code.String()
	}
	took := r.now() - a.arrived
	kind := consistencyNames[a.route.Consistency]
	r.set.GetOrCreateCounter(`stackspindle_statements_total{kind="` + kind + `",outcome="` + outcome + `"}`).Inc()
	r.set.GetOrCreateHistogram(`stackspindle_statement_seconds{kind="` + kind + `"}`).Update(took.Seconds())
	if answer.Err == nil {
		if r.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
			r.line(a, outcome, took, 0).Debug("relay: a statement was served")
		}
		return
	}
	if leftOut, ok := r.sampler.Allow(outcome + a.route.Group); ok {
		r.line(a, outcome, took, leftOut).WithField("detail", answer.Err.Detail).Info("relay: a statement did not succeed")
	}
}

// noteRefusal counts and logs that a statement was refused, with what was known: whether
// that was at once, for what reason, and what was predicted.
func (r *Relay) noteRefusal(a *attempt, comeBack time.Duration) {
	held, reason := r.now()-a.arrived, "held"
	switch {
	case a.callerGone():
		reason = "caller_left"
	case a.decided && !a.verdict.Admit:
		reason = a.verdict.Reason.String()
	case a.atLimit:
		reason = "at_limit"
	}
	r.countRefusal(reason, a.level())
	if leftOut, ok := r.sampler.Allow("refusal" + reason + a.route.Group); ok {
		r.log.WithFields(logrus.Fields{
			"request": a.st.ID, "group": a.route.Group, "member": a.lastMember, "priority": a.route.Priority, "reason": reason,
			"held_ms": held.Milliseconds(), "predicted_ms": a.verdict.Predicted.Milliseconds(), "wait_ms": a.verdict.Wait.Milliseconds(),
			"objective_ms": a.route.LatencyObjective.Milliseconds(), "come_back_ms": comeBack.Milliseconds(), "offered": a.offered, "why": a.why, "left_out": leftOut,
		}).Info("relay: a statement was refused")
	}
}

// observeWait records how long a statement waited, and what was predicted for it, where
// any wait was.
func (r *Relay) observeWait(a *attempt, waited time.Duration) {
	if a.verdict.Wait == 0 {
		return
	}
	labels := `{priority="` + strconv.Itoa(a.level()) + `"}`
	r.set.GetOrCreateHistogram(`stackspindle_wait_seconds` + labels).Update(waited.Seconds())
	r.set.GetOrCreateHistogram(`stackspindle_wait_to_predicted_ratio` + labels).Update(waited.Seconds() / a.verdict.Wait.Seconds())
}

func (r *Relay) countRefusal(reason string, level int) {
	r.set.GetOrCreateCounter(`stackspindle_refusals_total{reason="` + reason + `",priority="` + strconv.Itoa(level) + `"}`).Inc()
}

// consistencyNames name the kinds of routes in logs and metrics.
var consistencyNames = map[topology.Consistency]string{
	topology.Strict: "strict", topology.BoundedStaleness: "bounded", topology.ReadYourWrites: "own_writes",
}

// line returns a log line with what decided about a statement: the account, the route and the
// version that it is of, the authority with the record that it rests on, and the
// member that was used last.
func (r *Relay) line(a *attempt, outcome string, took time.Duration, leftOut int) *logrus.Entry {
	fields := logrus.Fields{
		"request": a.st.ID, "account": a.account, "database": a.route.Database, "group": a.route.Group, "kind": consistencyNames[a.route.Consistency],
		"config_version": r.snapshot().Version, "outcome": outcome, "took_ms": took.Milliseconds(),
		"read": a.reads, "offered": a.offered, "rounds": a.tries, "member": a.lastMember, "after": a.lastAfter.String(),
		"sample_age_ms": a.group.sampleAge(r.now()).Milliseconds(),
	}
	if authority, err := a.gate.Primary(); err == nil {
		fields["primary"], fields["term"], fields["record"] = authority.Primary, authority.Term, authority.Revision
	} else {
		fields["no_primary"] = err.Error()
	}
	if leftOut > 0 {
		fields["left_out"] = leftOut
	}
	return r.log.WithFields(fields)
}

// logLost records a statement whose answer did not arrive.
func (r *Relay) logLost(s *session, st statement.Statement, id string, cause error) {
	r.set.GetOrCreateCounter(`stackspindle_lost_answers_total{member="` + id + `"}`).Inc()
	if leftOut, ok := r.sampler.Allow("lost" + id); ok {
		r.log.WithFields(logrus.Fields{"request": st.ID, "database": s.start.Database, "member": id, "left_out": leftOut}).WithError(cause).
			Info("relay: an answer did not arrive")
	}
}
