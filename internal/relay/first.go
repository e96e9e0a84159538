package relay

import (
	"context"
	"errors"
	"time"

	"github.com/stackspindle/stackspindle/internal/connpool"
	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/pool"
	"github.com/stackspindle/stackspindle/internal/quota"
	"github.com/stackspindle/stackspindle/internal/routing"
	"github.com/stackspindle/stackspindle/internal/statement"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// Settings of how long a first statement is held.
const (
	// untriedShare is the part of its objective for which a statement may wait
	// without having been offered to a member; then it is refused, so that its
	// caller can go elsewhere in time. The platform's users count more as a loss.
	untriedShare = 0.25
	// answerMargin is kept of that for the refusal to leave.
	answerMargin = 8 * time.Millisecond
	// changeHold is how long after the loss of a primary statements for it are
	// held for the next one: a change takes 0.5 to 1 s, and one that takes longer
	// waits for something that is not about to end.
	changeHold = 2500 * time.Millisecond
	// lostReadShare is the part of its objective after which a read that got no
	// answer is given to another member.
	lostReadShare = 0.5
	// patienceTimes is how many times its usual time a statement may take before it
	// does not count as work of its member any more, so that a lost answer does not
	// keep others away, and the least that a member gets for a read that others could
	// serve. Work of one kind differs by a factor of three or so, and waits for others.
	patienceTimes = 8
	// defaultPatience stands for that while nothing usual is known.
	defaultPatience = 150 * time.Millisecond
	// maxFailures is how many members may fail a read before its failure is the
	// caller's: the statement itself may be at fault.
	maxFailures = 2
	// retryPause is the pause after all members have refused.
	retryPause = 6 * time.Millisecond
	// comeBack is the advice of a refusal when nothing better is known.
	comeBack = 50 * time.Millisecond
	// weightOfFirst is the weight of the highest priority in the queue for
	// connections; each lower one has half of it.
	weightOfFirst  = 16
	lowestPriority = 4 // what ranks lower counts the same
)

// priorityNames name the queues: routes of one priority share one, in the order
// in which their statements came.
var priorityNames = [lowestPriority + 1]string{"0", "1", "2", "3", "4"}

// attempt is the work on one first statement.
type attempt struct {
	s        *session
	st       statement.Statement
	needed   *member.Prepared
	route    topology.Route
	account  string // whose connections it may use
	token    quota.Token
	group    *groupState
	gate     *lead.Gate
	arrived  time.Duration
	deadline time.Duration // for the whole answer
	untried  time.Duration // until which it may wait without having been offered
	reads    bool
	offered  bool // a member that could run it was asked
	maybeRun bool // a member may have run it, without an answer that could be passed on
	atLimit  bool // it may not be sent again, since the account is at its limit
	tries    int
	why      string // the last refusal, for the caller and the log

	failures int              // members that ran the read and failed
	failed   statement.Answer // of the last of them

	lastMember string         // that was tried last
	lastAfter  group.Position // what its log had to hold
}

// outcome is how one try at a member ended.
type outcome int

const (
	served  outcome = iota // the answer is the caller's
	notRun                 // nothing ran; try elsewhere
	noRoom                 // no connection came free; nothing was sent
	unknown                // it may have run
)

// first runs a statement outside a transaction, or opens one.
func (s *session) first(st statement.Statement, arrived time.Duration) statement.Answer {
	route, account, refusal := s.admitFirst()
	if refusal != nil {
		return statement.Answer{State: statement.Idle, Err: refusal}
	}
	needed, known := s.needed(st)
	if !known {
		return statement.Failure(statement.Idle, statement.Unprepared, "no statement %q was prepared in this session", st.Name)
	}
	if carriers := s.relay.CarriersOf(route.Group); !carriers.Here && !s.carried {
		needsPrimary := !s.reads(st) || route.Consistency == topology.Strict
		s.account = account
		return s.carry(st, route, s.relay.carrierOrder(carriers, route.Group, account, needsPrimary), arrived)
	}
	token, refusal := s.relay.spend(account, s.start.Database)
	if refusal != nil {
		return statement.Answer{State: statement.Idle, Err: refusal}
	}
	a := &attempt{
		s: s, st: st, needed: needed, route: route, account: account, token: token,
		group: s.relay.upstreams.group(route.Group), gate: s.relay.Gate(route.Group),
		arrived: arrived, deadline: arrived + route.Timeout, reads: s.reads(st),
		why: "no member could be asked",
	}
	a.untried = arrived + time.Duration(float64(route.LatencyObjective)*untriedShare) - answerMargin
	answer := a.run()
	s.relay.observe(a, answer)
	return answer
}

// run tries members until one has served the statement or time is up.
func (a *attempt) run() statement.Answer {
	for {
		answer, out := a.round()
		switch out {
		case served:
			return answer
		case unknown:
			return a.giveUpUnknown()
		}
		if a.atLimit || !a.mayWait() {
			return a.refuse()
		}
		a.pause()
	}
}

// now returns the time since the instance started.
func (a *attempt) now() time.Duration { return a.s.relay.now() }

// mayWait reports whether the statement may be held for another round.
func (a *attempt) mayWait() bool { return a.now()+retryPause < a.holdUntil() }

// holdUntil returns until when the statement may be held. One that was offered
// is held for its objective; one that waits for a new primary as long as that is
// about to come.
func (a *attempt) holdUntil() time.Duration {
	switch {
	case a.offered:
		return min(a.deadline, a.arrived+a.route.LatencyObjective)
	case a.needsPrimary():
		if lost := a.gate.LostFor(); lost > 0 && lost < changeHold {
			return a.deadline
		}
	}
	return min(a.deadline, a.untried)
}

// pause waits for a moment, or until the group's primary changes.
func (a *attempt) pause() {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-a.gate.Changed():
	case <-timer.C:
	}
}

// patience returns for how long a member is expected to work on the statement at most.
func (a *attempt) patience() time.Duration {
	if usual := a.group.usual(kindOf(a.route)); usual > 0 {
		return patienceTimes * usual
	}
	return defaultPatience
}

func (a *attempt) needsPrimary() bool {
	return !a.reads || a.route.Consistency == topology.Strict
}

// round offers the statement to each member that may serve it, once.
func (a *attempt) round() (statement.Answer, outcome) {
	if a.needsPrimary() {
		return a.tryPrimary(a.holdUntil())
	}
	required, ok := a.required()
	if !ok {
		a.why = "no replica is known to be fresh enough"
		return a.tryPrimary(a.holdUntil())
	}
	order := routing.Order(a.candidates(), required, a.group.age(a.now(), required))
	last := noRoom
	for i, c := range order {
		wait := time.Duration(0) // a connection that is free now
		if i == 0 && a.tries > 0 || len(order) == 1 {
			wait = retryPause
		}
		answer, out := a.tryOne(c, required, a.now()+wait, len(order)-i > 1)
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
	authority, err := a.gate.Authority()
	var candidates []routing.Candidate
	for _, m := range relay.snapshot().ByGroup[a.route.Group] {
		up := relay.upstreams.get(m.ID)
		if up == nil {
			continue
		}
		c := up.view(a.now())
		c.Near = m.DataCentre == relay.near
		if err == nil && m.ID == authority.Primary {
			c.Primary = true
		}
		candidates = append(candidates, c)
	}
	return candidates
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
		timeout = min(timeout, a.now()+max(a.patience(), time.Duration(float64(a.route.LatencyObjective)*lostReadShare)))
	}
	return a.tryAt(context.Background(), target{up: up, after: required}, waitUntil, timeout)
}

// tryPrimary offers the statement to the primary, under a pass.
func (a *attempt) tryPrimary(waitUntil time.Duration) (statement.Answer, outcome) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	breaker := &breaker{cancel: cancel}
	pass, err := a.gate.Enter(breaker.trip)
	if err != nil {
		a.why = err.Error()
		return statement.Answer{}, noRoom
	}
	if !a.mayWrite(pass) {
		pass.Done()
		a.why = "the grant is not confirmed, and the members do not verify it"
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
func (a *attempt) mayWrite(pass *lead.Pass) bool {
	return a.reads || pass.Standing() == lead.Confirmed || a.group.verifiedLately(a.now()) ||
		a.s.relay.verify(a.group, pass.Authority)
}

// target is a member that is to run a statement.
type target struct {
	up      *upstream
	pass    *lead.Pass     // for the primary; nil: a replica
	breaker *breaker       // with a pass only
	after   group.Position // that its log must hold; zero: any
}

// tryAt has one member run the statement. A connection is waited for until
// waitUntil, the answer until timeout.
func (a *attempt) tryAt(ctx context.Context, t target, waitUntil, timeout time.Duration) (statement.Answer, outcome) {
	relay, up := a.s.relay, t.up
	if !a.mayRepeat() {
		return statement.Answer{}, noRoom
	}
	a.lastMember, a.lastAfter = up.id, t.after
	lease, err := up.pool.Acquire(ctx, pool.Request{
		Service:  priorityNames[min(a.route.Priority, lowestPriority)],
		Account:  a.account,
		Weight:   weightOfFirst >> min(a.route.Priority, lowestPriority),
		Level:    a.route.Priority,
		Write:    !a.reads,
		Deadline: max(waitUntil, a.now()),
	}, func(c *member.Shared) int { return c.Match(a.s.values) })
	if err != nil {
		a.noteNoRoom(up, err)
		return statement.Answer{}, noRoom
	}
	held := &hold{lease: lease, breaker: t.breaker}
	if !t.breaker.guard(lease.Conn) {
		held.release()
		a.why = "the primary is being changed"
		return statement.Answer{}, noRoom
	}
	if err := lease.Conn.Prepare(a.s.values, a.needed); err != nil {
		held.release()
		up.noteBroken(err)
		up.noteMiss(a.now())
		a.why = err.Error()
		return statement.Answer{}, noRoom
	}
	if a.token.Expired(a.now()) && !a.spendAgain() {
		held.release() // it has waited for longer than the right to it lasts
		return statement.Answer{}, noRoom
	}
	asked := a.now()
	stuck := time.AfterFunc(a.patience(), lease.Park)
	defer stuck.Stop()
	answer, err := lease.Conn.Run(request(a.st, a.needed, t.after, relay.wall(timeout)))
	if err != nil {
		held.release()
		up.noteBroken(err)
		up.noteMiss(a.now())
		return a.lostAnswer(up, t.breaker.cause(err))
	}
	took := a.now() - asked
	relay.noteAnswer(up, a.group, t.pass, asked, answer)
	if answer.Err == nil && answer.State == statement.Idle {
		relay.pace(up, a.group, a.route, took)
	}
	if answer.Err != nil && answer.Err.Code.NotRun() && answer.Err.Code != statement.Malformed {
		// One that has no room could run it; one that lags or does not lead could not.
		a.offered = a.offered || answer.Err.Code == statement.Busy
		return a.refusedBy(up, held, answer)
	}
	a.offered = true
	if a.mayRunAgain(answer) {
		return a.failedAt(up, held, answer)
	}
	return a.settle(t, held, answer)
}

// mayRepeat reports whether the statement may be sent to a member: for the first time, or
// once more when the account has the right to another operation, since one that may
// have run counts.
func (a *attempt) mayRepeat() bool {
	return !a.maybeRun || a.spendAgain()
}

// spendAgain uses the account's right to another operation.
func (a *attempt) spendAgain() bool {
	var ok bool
	if a.token, _, ok = a.s.relay.limiter.Spend(a.account); !ok {
		a.why, a.atLimit = "the account is at its limit", true
		return false
	}
	a.maybeRun = false
	return true
}

// noteNoRoom records why no connection could be had.
func (a *attempt) noteNoRoom(up *upstream, err error) {
	a.why = "member " + up.id + ": " + err.Error()
	var refusal *statement.Error
	switch {
	case errors.Is(err, connpool.ErrDeadline), errors.Is(err, connpool.ErrQueueFull),
		errors.Is(err, connpool.ErrClosed), errors.Is(err, connpool.ErrBackoff),
		errors.Is(err, context.Canceled), errors.As(err, &refusal):
		return
	}
	up.noteMiss(a.now())
}

// lostAnswer decides about a statement whose answer did not arrive. What cannot
// have changed anything may run again: a read, and a transaction's beginning.
func (a *attempt) lostAnswer(up *upstream, err error) (statement.Answer, outcome) {
	a.s.relay.logLost(a.s, a.st, up.id, err)
	a.why, a.maybeRun = err.Error(), true
	if a.reads || a.st.Kind == statement.Begin {
		return statement.Answer{}, notRun
	}
	return statement.Answer{}, unknown
}

// refusedBy handles a member's word that it did not run the statement.
func (a *attempt) refusedBy(up *upstream, held *hold, answer statement.Answer) (statement.Answer, outcome) {
	held.release()
	a.why = "member " + up.id + ": " + answer.Err.Error()
	if code := answer.Err.Code; code == statement.ReadOnly || code == statement.Misrouted {
		up.noteMiss(a.now())
	}
	return statement.Answer{}, notRun
}

// mayRunAgain reports whether a read that a member ran and failed is to be given to
// another: a member may fail part of what it runs while all else about it is well.
func (a *attempt) mayRunAgain(answer statement.Answer) bool {
	return a.reads && answer.State == statement.Idle && answer.Err != nil &&
		answer.Err.Code == statement.StatementFailed && a.failures < maxFailures
}

// failedAt passes over a member that has failed a read.
func (a *attempt) failedAt(up *upstream, held *hold, answer statement.Answer) (statement.Answer, outcome) {
	held.release()
	up.noteMiss(a.now())
	a.failures++
	a.failed, a.maybeRun = answer, true
	a.why = "member " + up.id + ": " + answer.Err.Error()
	return statement.Answer{}, notRun
}

// settle passes an answer on. A transaction keeps its connection.
func (a *attempt) settle(t target, held *hold, answer statement.Answer) (statement.Answer, outcome) {
	pass := t.pass
	if answer.State != statement.Idle {
		held.lease.Park()
		a.s.tx = &transaction{up: t.up, held: held, pass: pass, group: a.group, route: a.route}
		return answer, served
	}
	held.release()
	if answer.Err != nil || pass == nil {
		return answer, served
	}
	if !a.s.relay.stands(a.group, pass) {
		a.why = "the primary may have been replaced before the answer could be passed on"
		if a.reads {
			return statement.Answer{}, notRun
		}
		return statement.Answer{}, unknown
	}
	if a.reads {
		return answer, served
	}
	a.s.floor = group.Max(a.s.floor, answer.Position)
	return answer, served
}

// refuse gives the statement up. Nothing of it has run, but for a read that failed, or
// whose answer was lost.
func (a *attempt) refuse() statement.Answer {
	if !a.maybeRun {
		a.s.relay.limiter.Return(a.account, a.token)
	}
	if a.failures > 0 {
		return a.failed
	}
	answer := statement.Failure(statement.Idle, statement.Busy, "not run: %s", a.why)
	answer.Err.RetryAfter = comeBack
	return answer
}

func (a *attempt) giveUpUnknown() statement.Answer {
	return statement.Failure(statement.Idle, statement.Unknown, "it may have run: %s", a.why)
}
