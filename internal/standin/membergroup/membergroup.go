// Package membergroup is a stand-in for database groups as the users' platform
// runs them: members with logs and terms, of which a promotion makes one the
// primary while the old one goes on until it is told. It implements the ports
// member.Dialer and lead.Promoter in memory.
package membergroup

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/statement"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// Reach is how a member can be reached.
type Reach int

// The ways.
const (
	Open   Reach = iota
	Dead         // connections are refused, and those that were open have ended
	Silent       // nothing is heard
)

// Write is a committed write.
type Write struct {
	Position group.Position
	Member   string
	ID       string // of the statement
	Text     string
}

// Run is a statement that reached a member on a connection of an account.
type Run struct {
	ID      string // of the statement
	Member  string
	Account string
}

// keptRuns bounds the runs that are kept.
const keptRuns = 1 << 16

// noteRun remembers a run. The caller holds mu.
func (g *Group) noteRun(r Run) {
	if len(g.runs) < keptRuns {
		g.runs = append(g.runs, r)
	}
}

// Runs returns the statements that reached the members, in order; the first 65,536.
func (g *Group) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.runs)
}

// memberState is one member.
type memberState struct {
	id      string
	primary bool
	term    uint64
	log     []Write        // received
	applied group.Position // end of what reads see; of a primary its whole log
	reach   Reach
	lagging bool // receives nothing
	lose    int  // answers to lose after the work was done
	fail    int  // statements to fail
	ran     []string
	conns   map[*conn]struct{}
	held    *held // statements that reach it; nil: none
}

// held is how long the statements of a member take.
type held struct {
	reached chan struct{} // has an item for each that has come
	ended   chan struct{} // closed when they may run
}

// Group is one group. It is safe for concurrent use.
type Group struct {
	name string

	mu         sync.Mutex // guards all below
	members    map[string]*memberState
	order      []string
	nextTerm   uint64
	promotions []Promotion
	lag        time.Duration     // of the replicas, until they apply what they received
	commits    map[string]Commit // all that ever took effect, by the statement's ID
	runs       []Run             // bounded by keptRuns
}

// Commit is what became of a committed write.
type Commit struct {
	Write
	Times int  // it was committed so often
	Stale bool // it was committed by a member after another one had been promoted
	Cut   bool // a promotion has dropped it
}

// Promotion is a call that was made to promote a member.
type Promotion struct {
	Member       string
	Instance     string
	FencingToken uint64
}

// New returns a group whose first member leads.
func New(name string, ids ...string) *Group {
	g := &Group{name: name, members: make(map[string]*memberState), order: ids, nextTerm: 2, commits: make(map[string]Commit)}
	for i, id := range ids {
		g.members[id] = &memberState{id: id, primary: i == 0, term: 1, applied: group.Position{Term: 1}, conns: make(map[*conn]struct{})}
	}
	return g
}

// Entry returns a member's entry as it would describe itself.
func (g *Group) Entry(id string) topology.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return topology.Member{ID: id, Group: g.name, Address: id, Primary: g.members[id].primary, Slots: 3}
}

// SetReach changes how a member can be reached.
func (g *Group) SetReach(id string, r Reach) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	before := m.reach
	m.reach = r
	switch {
	case r == Dead:
		for c := range m.conns {
			c.closed = true
		}
		clear(m.conns)
	case r == Open && before == Dead:
		g.yield(m) // it starts, and finds out who leads
	case r == Open && before == Silent:
		time.AfterFunc(yieldAfter, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.yield(m)
		})
	}
}

// Hold has the statements that reach a member from now on run only once release is
// called. reached has an item for each that has come.
func (g *Group) Hold(id string) (reached <-chan struct{}, release func()) {
	h := &held{reached: make(chan struct{}, keptRuns), ended: make(chan struct{})}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[id].held = h
	return h.reached, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.members[id].held = nil
		close(h.ended)
	}
}

// SilenceOpen lets nothing be heard any more on a member's open connections. New ones
// work.
func (g *Group) SilenceOpen(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.members[id].conns {
		c.silent = true
	}
}

// yieldAfter is for how long an old primary carries on once it can reach the new one.
const yieldAfter = time.Second

// yield makes a member a replica if another was promoted. The caller holds mu.
func (g *Group) yield(m *memberState) {
	if m.reach == Open && m.primary && g.leader() != m {
		m.primary = false
	}
	g.replicate()
}

// Commits returns what became of every write that was committed, by the ID of its
// statement.
func (g *Group) Commits() map[string]Commit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.commits)
}

// Committed returns what became of one write.
func (g *Group) Committed(id string) (Commit, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.commits[id]
	return c, ok
}

// SetLag has replicas apply what they received that much later.
func (g *Group) SetLag(lag time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lag = lag
}

// SetLagging stops a replica from receiving, or lets it catch up.
func (g *Group) SetLagging(id string, lagging bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[id].lagging = lagging
	g.replicate()
}

// LoseAnswers has a member do the work of its next n statements in silence.
func (g *Group) LoseAnswers(id string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[id].lose = n
}

// FailStatements has a member fail its next n statements.
func (g *Group) FailStatements(id string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[id].fail = n
}

// Primary returns the member that leads in the newest term.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader().id
}

// Log returns the log of the primary.
func (g *Group) Log() []Write {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Write(nil), g.leader().log...)
}

// Ran returns the texts that a member ran, configuration included.
func (g *Group) Ran(id string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.members[id].ran...)
}

// Promotions returns the calls that were made.
func (g *Group) Promotions() []Promotion {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Promotion(nil), g.promotions...)
}

func (g *Group) leader() *memberState {
	var leader *memberState
	for _, id := range g.order {
		if m := g.members[id]; m.primary && (leader == nil || leader.term < m.term) {
			leader = m
		}
	}
	if leader == nil {
		return g.members[g.order[0]]
	}
	return leader
}

// replicate brings the replicas up to date. The caller holds mu.
func (g *Group) replicate() {
	leader := g.leader()
	if leader.reach != Open || !leader.primary {
		return
	}
	for _, m := range g.members {
		if !m.primary && !m.lagging && m.reach == Open {
			m.log = append([]Write(nil), leader.log...)
			m.term = leader.term
			g.apply(m)
		}
	}
}

// apply has a replica's reads see what it has received, once the lag is over. The
// caller holds mu.
func (g *Group) apply(m *memberState) {
	end := group.Position{Term: m.term, Index: uint64(len(m.log))}
	if g.lag == 0 {
		m.applied = end
		return
	}
	time.AfterFunc(g.lag, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if m.term == end.Term {
			m.applied = group.Max(m.applied, end)
		}
	})
}

// Promote implements lead.Promoter.
func (g *Group) Promote(_ context.Context, _, id, instance string, token uint64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.promotions = append(g.promotions, Promotion{Member: id, Instance: instance, FencingToken: token})
	m := g.members[id]
	if m == nil || m.reach == Dead {
		return fmt.Errorf("member %s is not running", id)
	}
	if m.primary {
		return nil
	}
	g.cutAllBut(m.log)
	m.primary, m.term = true, g.nextTerm
	g.nextTerm++
	for _, other := range g.members {
		// The old primary stops once it reaches the new one.
		if other != m && other.primary && other.reach == Open {
			other.primary = false
		}
	}
	g.replicate()
	return nil
}

// cutAllBut notes what a promotion of a member with a log drops. The caller holds mu.
func (g *Group) cutAllBut(log []Write) {
	kept := make(map[string]bool, len(log))
	for _, w := range log {
		kept[w.ID] = true
	}
	for id, c := range g.commits {
		if !kept[id] {
			c.Cut = true
			g.commits[id] = c
		}
	}
}

// Dial implements member.Dialer.
func (g *Group) Dial(ctx context.Context, m topology.Member, account string) (member.Conn, error) {
	g.mu.Lock()
	state := g.members[m.ID]
	if state == nil || state.reach == Dead {
		g.mu.Unlock()
		return nil, fmt.Errorf("dial %s: %w", m.ID, syscall.ECONNREFUSED)
	}
	if state.reach == Silent {
		g.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	defer g.mu.Unlock()
	c := &conn{group: g, member: state, account: account, state: statement.Idle, values: make(map[string]string), names: make(map[string]member.Prepared)}
	state.conns[c] = struct{}{}
	return c, nil
}

// conn implements member.Conn. Its fields are guarded by the group's mu.
type conn struct {
	group   *Group
	member  *memberState
	account string // that it was opened for
	closed  bool
	silent  bool // nothing is heard on it any more, while new ones work
	state   statement.State
	writes  []Write // of the open transaction
	reads   bool    // the transaction only reads
	values  map[string]string
	names   map[string]member.Prepared
}

// enter locks the group for a call. An error means that the connection broke, and
// the group is not locked.
func (c *conn) enter(deadline time.Time) error {
	c.group.mu.Lock()
	if c.closed || c.member.reach == Dead {
		c.group.mu.Unlock()
		return fmt.Errorf("%w: closed", member.ErrBroken)
	}
	if c.member.reach == Silent || c.silent {
		c.group.mu.Unlock()
		return silence(deadline)
	}
	return nil
}

// silence waits for the deadline, as a read from a silent far end does.
func silence(deadline time.Time) error {
	time.Sleep(time.Until(deadline))
	return fmt.Errorf("%w: %w", member.ErrBroken, context.DeadlineExceeded)
}

// Run implements member.Conn.
func (c *conn) Run(req member.Request) (statement.Answer, error) {
	if err := c.enter(req.Deadline); err != nil {
		return statement.Answer{}, err
	}
	if h := c.member.held; h != nil {
		c.group.mu.Unlock()
		h.reached <- struct{}{}
		<-h.ended
		c.group.mu.Lock()
	}
	answer := c.run(req)
	c.group.noteRun(Run{ID: req.Statement.ID, Member: c.member.id, Account: c.account})
	lost := c.member.lose > 0
	if lost {
		c.member.lose--
	}
	c.group.mu.Unlock()
	if lost {
		return statement.Answer{}, silence(req.Deadline)
	}
	return answer, nil
}

func (c *conn) run(req member.Request) statement.Answer {
	st, m := req.Statement, c.member
	if m.fail > 0 {
		m.fail--
		return c.answer(statement.StatementFailed, m.id)
	}
	text := st.Text
	writes := st.Kind == statement.Write
	if st.Kind == statement.Execute {
		prepared, ok := c.names[req.Name]
		if !ok {
			return c.answer(statement.Unprepared, "")
		}
		writes = prepared.Writes
		text = prepared.Shape + " " + st.Args
	}
	if c.end().Less(req.After) {
		return c.answer(statement.Lagging, "")
	}
	switch st.Kind {
	case statement.Begin, statement.BeginRead:
		if st.Kind == statement.Begin && !m.primary {
			return c.answer(statement.ReadOnly, m.id)
		}
		c.state, c.reads, c.writes = statement.InTransaction, st.Kind == statement.BeginRead, nil
	case statement.Commit, statement.Rollback:
		if st.Kind == statement.Commit && c.state == statement.InTransaction {
			if len(c.writes) > 0 && !m.primary {
				c.state = statement.Idle
				return c.answer(statement.ReadOnly, m.id)
			}
			c.commit(c.writes)
		}
		c.state, c.writes = statement.Idle, nil
	default:
		if writes && !m.primary {
			if c.state == statement.InTransaction {
				c.state = statement.Failed
			}
			return c.answer(statement.ReadOnly, m.id)
		}
		m.ran = append(m.ran, text+" "+fmt.Sprint(len(c.values))+" "+joined(c.values))
		if writes {
			w := Write{Member: m.id, ID: st.ID, Text: text}
			if c.state == statement.InTransaction {
				c.writes = append(c.writes, w)
			} else {
				c.commit([]Write{w})
			}
		}
	}
	answer := c.answer(0, "")
	answer.Receipt = m.id + "." + st.ID
	if !writes && (st.Kind == statement.Read || st.Kind == statement.Execute) {
		answer.Rows = []string{fmt.Sprint(len(m.log))}
	}
	return answer
}

func joined(values map[string]string) string {
	parts := make([]string, 0, len(values))
	for name, value := range values {
		parts = append(parts, name+"="+value)
	}
	return strings.Join(parts, ",")
}

func (c *conn) commit(writes []Write) {
	for _, w := range writes {
		w.Position = group.Position{Term: c.member.term, Index: uint64(len(c.member.log) + 1)}
		c.member.log = append(c.member.log, w)
		stale := c.group.leader() != c.member
		c.group.commits[w.ID] = Commit{Write: w, Times: c.group.commits[w.ID].Times + 1, Stale: stale, Cut: stale}
	}
	c.group.replicate()
}

// end returns the end of the log that reads of the member see.
func (c *conn) end() group.Position {
	if c.member.primary {
		return c.received()
	}
	return c.member.applied
}

// received returns the end of the member's log.
func (c *conn) received() group.Position {
	return group.Position{Term: c.member.term, Index: uint64(len(c.member.log))}
}

func (c *conn) answer(code statement.Code, detail string) statement.Answer {
	a := statement.Answer{State: c.state, Position: c.end()}
	if code != 0 {
		a.Err = &statement.Error{Code: code, Detail: detail}
	}
	return a
}

// Configure implements member.Conn.
func (c *conn) Configure(deadline time.Time, reset bool, values []member.Value, prepared []member.Prepared) error {
	if err := c.enter(deadline); err != nil {
		return err
	}
	defer c.group.mu.Unlock()
	if reset {
		clear(c.values)
		clear(c.names)
	}
	for _, v := range values {
		c.values[v.Name] = v.Value
	}
	for _, p := range prepared {
		c.names[p.Name] = p
	}
	return nil
}

// Rollback implements member.Conn.
func (c *conn) Rollback(deadline time.Time) error {
	if err := c.enter(deadline); err != nil {
		return err
	}
	defer c.group.mu.Unlock()
	c.state, c.writes = statement.Idle, nil
	return nil
}

// Status implements member.Conn.
func (c *conn) Status(deadline time.Time) (member.Status, error) {
	if err := c.enter(deadline); err != nil {
		return member.Status{}, err
	}
	defer c.group.mu.Unlock()
	return member.Status{Primary: c.member.primary, Term: c.member.term, Received: c.received()}, nil
}

// StepDown implements member.Conn.
func (c *conn) StepDown(deadline time.Time, term uint64) (member.Status, error) {
	if err := c.enter(deadline); err != nil {
		return member.Status{}, err
	}
	defer c.group.mu.Unlock()
	if c.member.primary && c.member.term < term {
		c.member.primary = false
	}
	return member.Status{Primary: c.member.primary, Term: c.member.term, Received: c.received()}, nil
}

// Silent implements member.Conn.
func (c *conn) IsIdle() bool {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return !c.closed
}

// Close implements member.Conn.
func (c *conn) Close() {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.closed = true
	delete(c.member.conns, c)
}
