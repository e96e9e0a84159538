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

// attempt is the execution of the first statement of a transaction. All times are relative to the
// start of the instance.
type attempt struct {
	ctx        context.Context // ends when the client no longer waits for the answer
	session    *session
	st         statement.Statement
	prepared   *member.Prepared
	route      topology.Route
	account    string // client account whose connections are used
	token      quota.Token
	group      *groupState
	guard      *lead.PrimaryGuard
	arrived    time.Duration
	deadline   time.Duration // for the complete answer
	reads      bool
	offered    bool   // a member that could run it was asked
	mayHaveRun bool   // a member may have run it, but no answer could be passed on
	atLimit    bool   // the account has no token for sending it again
	rounds     int    // rounds in which a read has tried members
	reason     string // of the last failed try, for the client and the log

	verdict          admission.Verdict // on waiting for the member that was chosen last
	hasVerdict       bool              // verdict is set; it holds until the statement has run
	queuedAt         time.Duration     // start of the wait in queues; 0: it is not queued
	unavailable      *unavailability   // why no member could be asked in this round, other than full queues
	saturated        bool              // a reachable member had no free connection in this round
	waitsForRecovery bool              // it was admitted to wait until the unavailability ends

	readFailures int              // members that ran the read and failed
	lastFailure  statement.Answer // answer of the last of them

	lastMember      string         // member that was tried last
	lastMinPosition group.Position // log position that it had to have reached
	sampledAt       time.Duration  // when the position was sampled that a read at a replica must see; 0: none was needed
	permit          *lead.Permit   // under which the final answer came; nil: from a replica
}

// outcome is the result of trying one member.
type outcome int

const (
	served         outcome = iota // the answer is final
	notRun                        // it has not run, or may be retried; try another member
	noConnection                  // no connection became free; nothing was sent
	unknownOutcome                // it may have run
)

// executeFirst runs a statement outside a transaction, or the one that begins a transaction.
func (s *session) executeFirst(ctx context.Context, st statement.Statement, arrived time.Duration) statement.Answer {
	route, account, refusal := s.admitTransaction()
	if refusal != nil {
		return statement.Answer{State: statement.Idle, Err: refusal}
	}
	prepared, ok := s.preparedFor(st)
	if !ok {
		return statement.Failure(statement.Idle, statement.Unprepared, "no statement %q was prepared in this session", st.Name)
	}
	if carriers := s.relay.CarriersOf(route.Group); !carriers.IncludesSelf && !s.forwarded {
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
		ctx: ctx, session: s, st: st, prepared: prepared, route: route, account: account, token: token,
		group: s.relay.upstreams.group(route.Group), guard: s.relay.PrimaryGuard(route.Group),
		arrived: arrived, deadline: arrived + route.Timeout, reads: s.readsOnly(st),
		reason: "no member could be asked",
	}
	answer := a.run()
	s.relay.recordOutcome(a, answer)
	return answer
}

// run tries members until one has served the statement or its time is up.
func (a *attempt) run() statement.Answer {
	for {
		a.unavailable, a.saturated = nil, false
		answer, result := a.tryRound()
		switch result {
		case served:
			return answer
		case unknownOutcome:
			return a.answerUnknown()
		}
		if a.isCancelled() {
			if !a.isStopping() {
				a.session.relay.recordDisconnect(a.route.Database, "here", a.now()-a.arrived)
			}
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
