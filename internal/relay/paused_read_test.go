package relay

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/standin/membergroup"
	"github.com/stackspindle/stackspindle/internal/statement"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// step is a step of a read between the choice of a member and the passing on of its answer.
type step string

// The steps at which a read may be paused.
const (
	stepConnect  step = "connect"  // it waits for a connection
	stepSend     step = "send"     // it is about to be sent
	stepAnswered step = "answered" // the member has answered
	stepVerify   step = "verify"   // the members are asked whether the grant holds
)

var allSteps = []step{stepConnect, stepSend, stepAnswered, stepVerify}

// pauser pauses the first operation on a member that reaches a step. It implements member.Dialer.
type pauser struct {
	member.Dialer

	mu      sync.Mutex // guards all below
	member  string
	step    step          // where to pause; empty: nowhere
	reached chan struct{} // closed when the step is reached
	resume  chan struct{}
}

// arm makes the next operation on a member pause at a step until resume is called.
func (p *pauser) arm(id string, s step) (reached <-chan struct{}, resume func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.member, p.step, p.reached, p.resume = id, s, make(chan struct{}), make(chan struct{})
	return p.reached, func() { close(p.resume) }
}

func (p *pauser) at(id string, s step) {
	p.mu.Lock()
	if p.step != s || p.member != id {
		p.mu.Unlock()
		return
	}
	p.step = ""
	resume := p.resume
	close(p.reached)
	p.mu.Unlock()
	<-resume
}

func (p *pauser) Dial(ctx context.Context, m topology.Member, account string) (member.Conn, error) {
	p.at(m.ID, stepConnect)
	conn, err := p.Dialer.Dial(ctx, m, account)
	if err != nil {
		return nil, err
	}
	return pausedConn{conn, p, m.ID}, nil
}

// pausedConn is a connection whose requests may be paused.
type pausedConn struct {
	member.Conn
	pauser *pauser
	member string
}

func (c pausedConn) Run(req member.Request) (statement.Answer, error) {
	c.pauser.at(c.member, stepSend)
	answer, err := c.Conn.Run(req)
	c.pauser.at(c.member, stepAnswered)
	return answer, err
}

func (c pausedConn) Status(deadline time.Time) (member.Status, error) {
	c.pauser.at(c.member, stepVerify)
	return c.Conn.Status(deadline)
}

// pausedRead is a case of TestPausedReadSeesAcknowledgedWrites.
type pausedRead struct {
	database string
	texts    []string // the statements; the last one is paused
	step     step
	outcome  string // what the instance learns during the pause
}

// mustBeServed reports whether the read has to be served: it can run at the new primary, of which the
// instance has learned from the store.
func (r pausedRead) mustBeServed() bool {
	return !strings.HasPrefix(r.texts[0], "BEGIN") && (r.outcome == "the outcome" || r.outcome == "the change, then the outcome") && r.step != stepVerify
}

// What an instance may learn of a change of primary that did not reach it.
var outcomes = map[string]func(f *fixture){
	"nothing": func(*fixture) {},
	"the outcome": func(f *fixture) {
		f.guard.ApplyRecord(lead.Record{Group: "g", Primary: "m2", Term: 2}, 3)
		f.guard.Confirm(f.relay.now())
	},
	"the change": func(f *fixture) {
		f.guard.ApplyRecord(lead.Record{Group: "g", Primary: "m1", Term: 1, Change: &lead.Change{}}, 2)
		f.guard.Confirm(f.relay.now())
	},
	"the change, then the outcome": func(f *fixture) {
		f.guard.ApplyRecord(lead.Record{Group: "g", Primary: "m1", Term: 1, Change: &lead.Change{}}, 2)
		f.guard.Confirm(f.relay.now())
		f.guard.ApplyRecord(lead.Record{Group: "g", Primary: "m2", Term: 2}, 3)
		f.guard.Confirm(f.relay.now())
	},
	"the outcome from another instance": func(f *fixture) {
		f.guard.ApplyUpdate(lead.GroupUpdate{Record: lead.Record{Group: "g", Primary: "m2", Term: 2}, Revision: 2, IsOutcome: true})
	},
}

// Number of writes that are acknowledged before and after the change of primary.
const writesPerTerm = 3

// Guards against reads that miss acknowledged writes because they are paused at some step while the
// instance learns that the primary was replaced before they began.
func TestPausedReadSeesAcknowledgedWrites(t *testing.T) {
	reads := []pausedRead{
		{database: "strict", texts: []string{"READ 1"}},
		{database: "fresh", texts: []string{"READ 1"}},
		{database: "strict", texts: []string{"PREPARE p READ s", "EXECUTE p 1"}},
		{database: "fresh", texts: []string{"PREPARE p READ s", "EXECUTE p 1"}},
		{database: "fresh", texts: []string{"BEGIN READ", "READ 1"}},
		{database: "strict", texts: []string{"BEGIN READ", "READ 1"}},
		{database: "strict", texts: []string{"BEGIN", "READ 1"}},
	}
	for _, oldPrimary := range []string{"steps down", "carries on"} {
		for outcome := range outcomes {
			for _, read := range reads {
				for _, at := range allSteps {
					paused := read
					paused.step, paused.outcome = at, outcome
					name := fmt.Sprintf("%s/%s/%s %s/%s", oldPrimary, outcome, read.database, strings.Join(read.texts, ","), at)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						newPausedFixture(t, paused).playPausedRead(t, paused, oldPrimary == "steps down")
					})
				}
			}
		}
	}
}

// newPausedFixture returns a fixture whose members may be paused, with routes for the read.
func newPausedFixture(t *testing.T, read pausedRead) *pausedFixture {
	f := newFixture(t)
	p := &pauser{Dialer: f.group}
	f.relay.upstreams.dialer = p
	timeout := unservedReadTimeout
	if read.mustBeServed() {
		timeout = generous
	}
	for database, consistency := range map[string]topology.Consistency{"strict": topology.Strict, "fresh": topology.BoundedStaleness} {
		f.snap.Databases[database] = topology.Route{
			Name: database, Database: database, Group: "g", Consistency: consistency, MaxStaleness: time.Millisecond,
			Timeout: timeout, LatencyObjective: timeout,
		}
	}
	return &pausedFixture{fixture: f, pauser: p}
}

// unservedReadTimeout is the timeout of reads that no member may serve.
const unservedReadTimeout = 300 * time.Millisecond

type pausedFixture struct {
	*fixture
	pauser *pauser
}

// playPausedRead replaces the primary without the knowledge of the instance, whose grant is not
// confirmed any more, and then plays the read.
func (f *pausedFixture) playPausedRead(t *testing.T, read pausedRead, oldStepsDown bool) {
	writer := newSession(f.relay, StartupRequest{Database: "strict"})
	for range writesPerTerm {
		must.Nil(t, f.run(writer, statement.Write, "WRITE 1 x").Err)
	}
	f.relay.started = f.relay.started.Add(-2 * lead.GrantValidity)
	if oldStepsDown {
		f.stepDown(t, "m1", 2)
	} else {
		f.group.SetReachability("m1", membergroup.Unresponsive) // partitioned, so that it doesn't learn of its successor
	}
	f.group.SetLagging("m1", true)
	must.NoError(t, f.group.Promote(t.Context(), "g", "m2", "other", 2))
	f.group.SetReachability("m1", membergroup.Reachable)
	for range writesPerTerm {
		f.writeAt(t, "m2")
	}
	time.Sleep(2 * time.Millisecond) // longer than the bound of the route
	s := newSession(f.relay, StartupRequest{Database: read.database})
	for n, text := range read.texts {
		reached, resume := make(<-chan struct{}), func() {}
		if n == len(read.texts)-1 {
			reached, resume = f.pauser.arm("m1", read.step)
			f.relay.upstreams.get("m1").pool.DropIdle()
		}
		answers := make(chan statement.Answer, 1)
		go func() { answers <- f.handle(s, text) }()
		var answer statement.Answer
		select {
		case <-reached:
			outcomes[read.outcome](f.fixture)
			resume()
			answer = <-answers
		case answer = <-answers:
		}
		if answer.Err != nil {
			must.False(t, read.mustBeServed(), must.Sprint(answer.Err))
			must.SliceEmpty(t, answer.Rows)
			return
		}
		for _, row := range answer.Rows {
			count, err := strconv.Atoi(row)
			must.NoError(t, err)
			must.GreaterEq(t, 2*writesPerTerm, count, must.Sprintf("%s saw %d writes at %s", text, count, answer.Receipt))
		}
	}
}

// writeAt commits a write at a member, as other instances do.
func (f *fixture) writeAt(t *testing.T, id string) {
	conn, err := f.group.Dial(t.Context(), f.group.Entry(id), "")
	must.NoError(t, err)
	defer conn.Close()
	_, err = conn.Run(member.Request{Statement: statement.Statement{ID: "w", Kind: statement.Write, Text: "WRITE 1 x"}, Deadline: time.Now().Add(generous)})
	must.NoError(t, err)
}

// handle parses a statement and runs it in a session.
func (f *fixture) handle(s *session, text string) statement.Answer {
	st := statement.Statement{ID: "x", Text: text}
	word, rest, _ := strings.Cut(text, " ")
	switch {
	case text == "BEGIN READ":
		st.Kind = statement.BeginRead
	case word == "BEGIN":
		st.Kind = statement.Begin
	case word == "READ":
		st.Kind = statement.Read
	case word == "PREPARE":
		st.Kind = statement.Prepare
		st.Name, _, _ = strings.Cut(rest, " ")
		st.Shape = "s"
	case word == "EXECUTE":
		st.Kind = statement.Execute
		st.Name, st.Args, _ = strings.Cut(rest, " ")
	}
	return s.handle(context.Background(), st, f.relay.now())
}
