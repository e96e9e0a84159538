package relay

import (
	"context"
	"time"

	"github.com/stackspindle/stackspindle/internal/admission"
	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/quota"
	"github.com/stackspindle/stackspindle/internal/statement"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// attempt is the work on one first statement.
type attempt struct {
	ctx        context.Context // ends when nobody waits for the answer any more
	session    *session
	st         statement.Statement
	prepared   *member.Prepared
	route      topology.Route
	account    string // whose connections it may use
	token      quota.Token
	group      *groupState
	guard      *lead.Gate
	arrived    time.Duration
	deadline   time.Duration // for the whole answer
	reads      bool
	offered    bool // a member that could run it was asked
	mayHaveRun bool // a member may have run it, without an answer that could be passed on
	atLimit    bool // it may not be sent again, since the account is at its limit
	rounds     int
	reason     string // the last refusal, for the caller and the log

	verdict          admission.Verdict // on the wait for the member that was chosen last
	hasVerdict       bool              // there is a verdict, which stands until the statement has run
	queuedAt         time.Duration     // since when it waits in queues; 0: it does not
	unavailable      *unavailability   // why no member could be asked in this round, other than that all are full
	saturated        bool              // a member that can be reached had no room in this round
	waitsForRecovery bool              // it was found worth holding although there is an obstacle

	readFailures int              // members that ran the read and failed
	lastFailure  statement.Answer // of the last of them

	lastMember      string         // that was tried last
	lastMinPosition group.Position // what its log had to hold
}

// outcome is how one try at a member ended.
type outcome int

const (
	served         outcome = iota // the answer is the caller's
	notRun                        // nothing ran; try elsewhere
	noConnection                  // no connection came free; nothing was sent
	unknownOutcome                // it may have run
)

// first runs a statement outside a transaction, or opens one.
func (s *session) executeFirst(ctx context.Context, st statement.Statement, arrived time.Duration) statement.Answer {
	route, account, refusal := s.admitTransaction()
	if refusal != nil {
		return statement.Answer{State: statement.Idle, Err: refusal}
	}
	needed, known := s.preparedFor(st)
	if !known {
		return statement.Failure(statement.Idle, statement.Unprepared, "no statement %q was prepared in this session", st.Name)
	}
	if carriers := s.relay.CarriersOf(route.Group); !carriers.Here && !s.forwarded {
		needsPrimary := !s.readsOnly(st) || route.Consistency == topology.Strict
		s.account = account
		if refusal := s.rejectFromCache(account, route); refusal != nil {
			return statement.Answer{State: statement.Idle, Err: refusal}
		}
		return s.forward(ctx, st, route, s.relay.orderCarriers(carriers, route.Group, account, needsPrimary), arrived)
	}
	token, refusal := s.spendToken(ctx, account, route, arrived)
	if refusal != nil {
		return statement.Answer{State: statement.Idle, Err: refusal}
	}
	a := &attempt{
		ctx: ctx, session: s, st: st, prepared: needed, route: route, account: account, token: token,
		group: s.relay.upstreams.group(route.Group), guard: s.relay.Gate(route.Group),
		arrived: arrived, deadline: arrived + route.Timeout, reads: s.readsOnly(st),
		reason: "no member could be asked",
	}
	answer := a.run()
	s.relay.recordOutcome(a, answer)
	return answer
}

// run tries members until one has served the statement or time is up.
func (a *attempt) run() statement.Answer {
	for {
		a.unavailable, a.saturated = nil, false
		answer, out := a.tryRound()
		switch out {
		case served:
			return answer
		case unknownOutcome:
			return a.answerUnknown()
		}
		if a.clientGone() {
			a.session.relay.recordClientGone(a.route.Database, "here", a.now()-a.arrived)
			return a.refuse()
		}
		if a.atLimit || !a.shouldRetry() {
			return a.refuse()
		}
		a.waitBeforeRetry()
	}
}

// now returns the time since the instance started.
func (a *attempt) now() time.Duration { return a.session.relay.now() }

func (a *attempt) needsPrimary() bool {
	return !a.reads || a.route.Consistency == topology.Strict
}
