// Package membergroup is an in-memory stand-in for a database group of the platform.
// Its members have a replicated log and a term. A promotion makes one of them the
// primary; the previous primary keeps accepting writes until it can reach the new one.
// The group implements member.Dialer and lead.Promoter for tests and the soak test,
// injects faults, and records what became of every committed write.
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

// Reachability says whether a member can be reached.
type Reachability int

// The values of Reachability.
const (
	Reachable    Reachability = iota
	Down                      // new connections are refused and open ones are closed
	Unresponsive              // neither dials nor requests are answered
)

// Write is a committed write.
type Write struct {
	Position group.Position
	Member   string
	ID       string // of the statement
	Text     string
}

// Run is a statement that reached a member, and the client account of its connection.
type Run struct {
	ID      string // of the statement
	Member  string
	Account string
}

// maxRuns bounds the runs that a group records.
const maxRuns = 1 << 16

// recordRun records a run, up to maxRuns of them. The caller holds mu.
func (g *Group) recordRun(r Run) {
	if len(g.runs) < maxRuns {
		g.runs = append(g.runs, r)
	}
}

// Runs returns the first 65,536 statements that reached the members, in order.
func (g *Group) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.runs)
}

// memberState is the state of one member. It is guarded by the group's mu.
type memberState struct {
	id             string
	primary        bool
	term           uint64
	log            []Write        // received writes
	applied        group.Position // log position that reads at a replica see; a primary's reads see its whole log
	reachability   Reachability
	lagging        bool // replication to it is stopped
	loseAnswers    int  // number of next statements that run but are not answered
	failStatements int  // number of next statements that fail
	ran            []string
	conns          map[*conn]struct{}
	block          *block // blocks its statements; nil: they run
}

// block makes the statements of a member wait before they run.
type block struct {
	reached  chan struct{} // receives an item for each statement that waits
	released chan struct{} // closed when the statements may run
}

// Group is one group. It is safe for concurrent use.
type Group struct {
	name          string
	stepDownDelay time.Duration // how long a replaced primary carries on once it can reach the new one

	mu         sync.Mutex // guards all below
	members    map[string]*memberState
	order      []string
	nextTerm   uint64
	promotions []Promotion
	lag        time.Duration     // delay until replicas apply received writes
	sync       int               // number of replicas that must have received a commit before it is answered
	commits    map[string]Commit // every write ever committed, by statement ID
	runs       []Run             // at most maxRuns
}

// Commit describes a committed write and what happened to it since.
type Commit struct {
	Write
	Times   int  // how often it was committed
	Stale   bool // it was committed by a primary that had already been replaced
	Dropped bool // it is missing from the log of a later promoted member, or was committed by a replaced primary
}

// Promotion is a received promotion call.
type Promotion struct {
	Member       string
	Instance     string
	FencingToken uint64
}

// New returns a group whose first member is the primary, in term 1.
func New(name string, ids ...string) *Group {
	g := &Group{name: name, stepDownDelay: stepDownDelay, members: make(map[string]*memberState), order: slices.Clone(ids), nextTerm: 2, commits: make(map[string]Commit)}
	for i, id := range ids {
		g.members[id] = &memberState{id: id, primary: i == 0, term: 1, applied: group.Position{Term: 1}, conns: make(map[*conn]struct{})}
	}
	return g
}

// Entry returns a member's entry in the topology, with its current role.
func (g *Group) Entry(id string) topology.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	return topology.Member{ID: id, Group: g.name, Address: id, Primary: m != nil && m.primary, Slots: 3}
}

// Has reports whether a member has this ID.
func (g *Group) Has(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[id] != nil
}

// SetReachability changes whether a member can be reached. A replaced primary that
// becomes reachable again turns into a replica: at once after being down, and after
// stepDownDelay otherwise.
func (g *Group) SetReachability(id string, r Reachability) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	if m == nil {
		return // it has returned under another ID
	}
	before := m.reachability
	m.reachability = r
	switch {
	case r == Down:
		for c := range m.conns {
			c.closed = true
		}
		clear(m.conns)
	case r == Reachable && before == Down:
		g.stepDownIfReplaced(m) // a restarted member learns who is primary before it serves
	case r == Reachable && before == Unresponsive:
		g.stepDownLater(m)
	}
}

// stepDownLater makes a replaced primary a replica after stepDownDelay.
func (g *Group) stepDownLater(m *memberState) {
	time.AfterFunc(g.stepDownDelay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.stepDownIfReplaced(m)
	})
}

// ReturnAs makes a member that is down reachable again under a new ID, with its log and role.
func (g *Group) ReturnAs(id, newID string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	if m == nil {
		return
	}
	m.id, m.reachability = newID, Reachable
	delete(g.members, id)
	g.members[newID] = m
	g.order[slices.Index(g.order, id)] = newID
	g.stepDownIfReplaced(m)
}

// BlockStatements makes the statements that reach a member from now on wait until
// release is called. reached receives an item for each waiting statement.
func (g *Group) BlockStatements(id string) (reached <-chan struct{}, release func()) {
	b := &block{reached: make(chan struct{}, maxRuns), released: make(chan struct{})}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[id].block = b
	return b.reached, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.members[id].block = nil
		close(b.released)
	}
}

// FreezeOpenConns makes a member stop answering on the connections that are open now.
// They stay open; new connections work.
func (g *Group) FreezeOpenConns(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.members[id].conns {
		c.frozen = true
	}
}

// stepDownDelay is how long a replaced primary keeps acting as primary after it can
// reach the new one again.
const stepDownDelay = time.Second

// stepDownIfReplaced makes a primary a replica if another member has been promoted.
// The caller holds mu.
func (g *Group) stepDownIfReplaced(m *memberState) {
	if m.reachability == Reachable && m.primary && g.currentPrimary() != m {
		m.becomeReplica()
	}
	g.replicate()
}

// becomeReplica makes a primary a replica, which has applied all of its own log. The caller holds
// the group's mu.
func (m *memberState) becomeReplica() {
	m.primary = false
	m.applied = group.Position{Term: m.term, Index: uint64(len(m.log))}
}

// Commits returns all writes that were ever committed, by statement ID.
func (g *Group) Commits() map[string]Commit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.commits)
}

// Committed returns the commit of one statement, and whether there is one.
func (g *Group) Committed(id string) (Commit, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.commits[id]
	return c, ok
}

// SetLag sets the delay between receiving and applying writes at replicas.
func (g *Group) SetLag(lag time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lag = lag
}

// SetSyncReplicas sets how many replicas must have received a commit before it is answered.
func (g *Group) SetSyncReplicas(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sync = n
}

// awaitReplicas waits until enough replicas have received a write of a member, and reports whether
// they have before the deadline.
func (g *Group) awaitReplicas(w Write, deadline time.Time) bool {
	for {
		if g.isReplicated(w) {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(replicationPollInterval)
	}
}

// replicationPollInterval is the pause between two checks whether replicas have received a commit.
const replicationPollInterval = 2 * time.Millisecond

// isReplicated reports whether enough other members have a write in their logs.
func (g *Group) isReplicated(w Write) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	received := 0
	for _, m := range g.members {
		if n := int(w.Position.Index); m.id != w.Member && len(m.log) >= n && m.log[n-1].ID == w.ID {
			received++
		}
	}
	return received >= g.sync
}

// SetLagging stops replication to a replica, or resumes it and lets it catch up.
func (g *Group) SetLagging(id string, lagging bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil {
		m.lagging = lagging
	}
	g.replicate()
}

// LoseAnswers makes a member run its next n statements without answering them.
func (g *Group) LoseAnswers(id string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil {
		m.loseAnswers = n
	}
}

// FailStatements makes the next n statements at a member fail without effect.
func (g *Group) FailStatements(id string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[id].failStatements = n
}

// Primary returns the primary of the newest term, or the first member if there is none.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryOrFirst().id
}

// Term returns the newest term.
func (g *Group) Term() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.nextTerm - 1
}

// Log returns the log of the primary.
func (g *Group) Log() []Write {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Write(nil), g.primaryOrFirst().log...)
}

// Ran returns the texts of the statements that a member ran, each followed by the
// number of session values and the values.
func (g *Group) Ran(id string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.members[id].ran...)
}

// Promotions returns the promotion calls received so far.
func (g *Group) Promotions() []Promotion {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Promotion(nil), g.promotions...)
}

// currentPrimary returns the primary of the newest term, or nil if it has stepped down. The caller
// holds mu.
func (g *Group) currentPrimary() *memberState {
	for _, id := range g.order {
		if m := g.members[id]; m.primary && m.term == g.nextTerm-1 {
			return m
		}
	}
	return nil
}

// primaryOrFirst returns the primary of the newest term, or the first member if there is none. The
// caller holds mu.
func (g *Group) primaryOrFirst() *memberState {
	if primary := g.currentPrimary(); primary != nil {
		return primary
	}
	return g.members[g.order[0]]
}

// replicate copies the primary's log to the reachable replicas, unless the primary
// itself cannot be reached. The caller holds mu.
func (g *Group) replicate() {
	primary := g.currentPrimary()
	if primary == nil || primary.reachability != Reachable {
		return
	}
	for _, m := range g.members {
		if !m.primary && !m.lagging && m.reachability == Reachable {
			m.log = append([]Write(nil), primary.log...)
			m.term = primary.term
			g.apply(m)
		}
	}
}

// apply makes received writes visible to reads at a replica once the lag has passed.
// The caller holds mu.
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

// ErrNotRunning means that a member that should be promoted is down.
var ErrNotRunning = fmt.Errorf("%w: the member is not running", member.ErrPromotionRefused)

// Running reports whether a member's process runs.
func (g *Group) Running(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	return m != nil && m.reachability != Down
}

// Promote implements lead.Promoter. It succeeds without effect if the member is the
// present primary.
func (g *Group) Promote(_ context.Context, _, id, instance string, token uint64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.promotions = append(g.promotions, Promotion{Member: id, Instance: instance, FencingToken: token})
	m := g.members[id]
	if m == nil || m.reachability == Down {
		return fmt.Errorf("member %s: %w", id, ErrNotRunning)
	}
	if m.primary && g.currentPrimary() == m {
		return nil
	}
	g.dropAllBut(m.log)
	m.primary, m.term = true, g.nextTerm
	g.nextTerm++
	for _, other := range g.members {
		// An unreachable old primary keeps its role until it is reachable again.
		if other != m && other.primary && other.reachability == Reachable {
			g.stepDownLater(other)
		}
	}
	g.replicate()
	return nil
}

// dropAllBut marks the commits that are missing from the log of a promoted member as
// dropped. The caller holds mu.
func (g *Group) dropAllBut(log []Write) {
	kept := make(map[string]bool, len(log))
	for _, w := range log {
		kept[w.ID] = true
	}
	for id, c := range g.commits {
		if !kept[id] {
			c.Dropped = true
			g.commits[id] = c
		}
	}
}

// Dial implements member.Dialer.
func (g *Group) Dial(ctx context.Context, m topology.Member, account string) (member.Conn, error) {
	g.mu.Lock()
	state := g.members[m.ID]
	if state == nil || state.reachability == Down {
		g.mu.Unlock()
		return nil, fmt.Errorf("dial %s: %w", m.ID, syscall.ECONNREFUSED)
	}
	if state.reachability == Unresponsive {
		g.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	defer g.mu.Unlock()
	c := &conn{group: g, member: state, account: account, cut: make(chan struct{}), state: statement.Idle, values: make(map[string]string), prepared: make(map[string]member.Prepared)}
	state.conns[c] = struct{}{}
	return c, nil
}

// conn implements member.Conn. Its fields are guarded by the group's mu.
type conn struct {
	group    *Group
	member   *memberState
	account  string // the client account that it was opened for
	closed   bool
	cut      chan struct{} // closed by Close, which ends the wait of a blocked statement
	frozen   bool          // requests on it get no answer; new connections work
	state    statement.State
	writes   []Write // of the open transaction
	readOnly bool    // the transaction is read-only
	values   map[string]string
	prepared map[string]member.Prepared
}

// enter locks the group for a request. If the connection is broken or gets no answers
// it returns an error and leaves the group unlocked.
func (c *conn) enter(deadline time.Time) error {
	c.group.mu.Lock()
	if c.closed || c.member.reachability == Down {
		c.group.mu.Unlock()
		return fmt.Errorf("%w: closed", member.ErrBroken)
	}
	if c.member.reachability == Unresponsive || c.frozen {
		c.group.mu.Unlock()
		return timeOut(deadline)
	}
	return nil
}

// timeOut waits until the deadline, like a read from an unresponsive member, and
// returns the resulting error.
func timeOut(deadline time.Time) error {
	time.Sleep(time.Until(deadline))
	return fmt.Errorf("%w: %w", member.ErrBroken, context.DeadlineExceeded)
}

// Run implements member.Conn.
func (c *conn) Run(req member.Request) (statement.Answer, error) {
	if err := c.enter(req.Deadline); err != nil {
		return statement.Answer{}, err
	}
	if b := c.member.block; b != nil {
		c.group.mu.Unlock()
		b.reached <- struct{}{}
		select {
		case <-b.released:
		case <-c.cut:
			return statement.Answer{}, fmt.Errorf("%w: closed", member.ErrBroken)
		}
		c.group.mu.Lock()
	}
	committed := len(c.member.log)
	answer := c.run(req)
	var last *Write // committed by this request
	if len(c.member.log) > committed {
		last = &c.member.log[len(c.member.log)-1]
	}
	c.group.recordRun(Run{ID: req.Statement.ID, Member: c.member.id, Account: c.account})
	lost := c.member.loseAnswers > 0
	if lost {
		c.member.loseAnswers--
	}
	c.group.mu.Unlock()
	if lost || last != nil && !c.group.awaitReplicas(*last, req.Deadline) {
		return statement.Answer{}, timeOut(req.Deadline)
	}
	return answer, nil
}

// run executes a statement and returns its answer. The caller holds the group's mu.
func (c *conn) run(req member.Request) statement.Answer {
	st, m := req.Statement, c.member
	if m.failStatements > 0 {
		m.failStatements--
		return c.answer(statement.StatementFailed, m.id)
	}
	text := st.Text
	writes := st.Kind == statement.Write
	if st.Kind == statement.Execute {
		prepared, ok := c.prepared[req.Name]
		if !ok {
			return c.answer(statement.Unprepared, "")
		}
		writes = prepared.Writes
		text = prepared.Shape + " " + st.Args
	}
	if c.visiblePosition().Less(req.After) {
		return c.answer(statement.Lagging, "")
	}
	switch st.Kind {
	case statement.Begin, statement.BeginRead:
		if st.Kind == statement.Begin && !m.primary {
			return c.answer(statement.ReadOnly, m.id)
		}
		c.state, c.readOnly, c.writes = statement.InTransaction, st.Kind == statement.BeginRead, nil
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

// commit appends writes to the member's log. A write that a replaced primary commits is
// marked as stale and dropped. The caller holds the group's mu.
func (c *conn) commit(writes []Write) {
	for _, w := range writes {
		w.Position = group.Position{Term: c.member.term, Index: uint64(len(c.member.log) + 1)}
		c.member.log = append(c.member.log, w)
		stale := c.group.currentPrimary() != c.member
		c.group.commits[w.ID] = Commit{Write: w, Times: c.group.commits[w.ID].Times + 1, Stale: stale, Dropped: stale}
	}
	c.group.replicate()
}

// visiblePosition returns the log position that reads at the member see.
func (c *conn) visiblePosition() group.Position {
	if c.member.primary {
		return c.receivedPosition()
	}
	return c.member.applied
}

// receivedPosition returns the log position of the last write that the member received.
func (c *conn) receivedPosition() group.Position {
	return group.Position{Term: c.member.term, Index: uint64(len(c.member.log))}
}

// answer returns an answer with the connection's state and position, and with an error
// unless code is 0.
func (c *conn) answer(code statement.Code, detail string) statement.Answer {
	a := statement.Answer{State: c.state, Position: c.visiblePosition()}
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
		clear(c.prepared)
	}
	for _, v := range values {
		c.values[v.Name] = v.Value
	}
	for _, p := range prepared {
		c.prepared[p.Name] = p
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
	return member.Status{Primary: c.member.primary, Term: c.member.term, Received: c.receivedPosition()}, nil
}

// StepDown implements member.Conn.
func (c *conn) StepDown(deadline time.Time, term uint64) (member.Status, error) {
	if err := c.enter(deadline); err != nil {
		return member.Status{}, err
	}
	defer c.group.mu.Unlock()
	if c.member.primary && c.member.term < term {
		c.member.becomeReplica()
	}
	return member.Status{Primary: c.member.primary, Term: c.member.term, Received: c.receivedPosition()}, nil
}

// IsIdle implements member.Conn.
func (c *conn) IsIdle() bool {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return !c.closed
}

// Close implements member.Conn.
func (c *conn) Close() {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	if !c.closed {
		close(c.cut)
	}
	c.closed = true
	delete(c.member.conns, c)
}
