package pggroup

import (
	"cmp"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	pgquery "github.com/pganalyze/pg_query_go/v6"
	"github.com/stackspindle/stackspindle/internal/group"
)

// Member is one server of the group.
type Member struct {
	Name string

	group *Group
	store *store
	index int
	plans *lru.Cache[string, []*pgquery.RawStmt]

	// mu guards what follows. A commit holds it for reading, so that nothing is
	// committed once a fence has returned. It is taken before store.mu.
	mu        sync.RWMutex
	listener  net.Listener
	addr      string
	term      uint64
	role      group.Role
	owner     string    // of the term
	ownerSeen time.Time // its last fence or heartbeat
	holder    string    // who sent the last heartbeat
	heartbeat time.Time
	released  bool // by the holder
	acked     group.Position
	leader    int // member index that is followed, -1: none
	sessions  map[uint32]*session
	nextPID   uint32

	running atomic.Bool
	traffic atomic.Int64 // bytes in and out

	faults faults
	reset  chan struct{} // closed and replaced when replication must look again
}

func newMember(g *Group, index int, name string) *Member {
	plans, err := lru.New[string, []*pgquery.RawStmt](planCacheSize)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Member{
		Name:     name,
		group:    g,
		store:    newStore(),
		index:    index,
		plans:    plans,
		role:     group.RoleReplica,
		leader:   -1,
		sessions: make(map[uint32]*session),
		nextPID:  uint32(index+1) * 1_000_000,
		reset:    make(chan struct{}),
		faults:   newFaults(),
	}
}

// planCacheSize is how many parsed texts a member remembers.
const planCacheSize = 4096

// Addr returns the address callers and owners connect to.
func (m *Member) Addr() string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.addr
}

// Position returns the last entry of the member's log.
func (m *Member) Position() group.Position {
	return m.store.position()
}

// Traffic returns the bytes received and sent.
func (m *Member) Traffic() int64 { return m.traffic.Load() }

// Role returns the member's role and term.
func (m *Member) Role() (group.Role, uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.role, m.term
}

// Owner returns the instance that the member last heard a heartbeat of.
func (m *Member) Owner() string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.holder
}

// Connections returns how many sessions are open.
func (m *Member) Connections() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.sessions)
}

func (m *Member) isPrimary() bool {
	role, _ := m.Role()
	return role == group.RolePrimary
}

func (m *Member) isRunning() bool {
	return m.running.Load()
}

func (m *Member) parse(sql string) ([]*pgquery.RawStmt, error) {
	if stmts, ok := m.plans.Get(sql); ok {
		return stmts, nil
	}
	tree, err := pgquery.Parse(sql)
	if err != nil {
		return nil, sqlError("42601", "%s", err.Error())
	}
	m.plans.Add(sql, tree.Stmts)
	return tree.Stmts, nil
}

// commit makes a session's writes durable if its term still holds.
func (m *Member) commit(s *session, tx *transaction) error {
	m.mu.RLock()
	defer m.mu.RUnlock()
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	if len(tx.order) > 0 && (m.role != group.RolePrimary || s.staleLocked()) {
		tx.releaseLocked()
		return sqlError("57P01", "terminating connection: the term has passed")
	}
	tx.commitLocked(m.term)
	return nil
}

func (m *Member) rollback(tx *transaction) {
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	tx.releaseLocked()
}

// status renders group.Status in the order that parseStatus of the upstream
// package reads.
func (m *Member) status() string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	p := m.store.position()
	return fmt.Sprintf("%d %s %d %d %s %d %s %d %t %t %d %d", m.term, m.role, p.Term, p.Index,
		cmp.Or(m.owner, "-"), age(m.ownerSeen), cmp.Or(m.holder, "-"), age(m.heartbeat),
		m.released, m.linkedLocked(), m.acked.Term, m.acked.Index)
}

// age returns microseconds since a time, or -1 when it never was.
func age(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return time.Since(t).Microseconds()
}

func (m *Member) linkedLocked() bool {
	return m.role == group.RoleReplica && m.leader >= 0 && m.group.linked(m.index, m.leader)
}

// control runs one of the functions that direct the group.
func (s *session) control(call *pgquery.FuncCall, out result) (string, error) {
	if err := out.describe(statusColumns); err != nil {
		return "", err
	}
	e := &env{sess: s}
	var args []any
	for _, node := range call.Args {
		v, err := e.eval(node)
		if err != nil {
			return "", err
		}
		args = append(args, v)
	}
	reply, err := s.member.direct(call.Funcname[0].GetString_().GetSval(), args)
	if err != nil {
		return "", err
	}
	return "SELECT 1", out.row([]any{reply})
}

var statusColumns = []column{{name: "status", oid: oidText}}

func controlCall(stmt *pgquery.SelectStmt) *pgquery.FuncCall {
	if len(stmt.FromClause) != 1 {
		return nil
	}
	fn := stmt.FromClause[0].GetRangeFunction()
	if fn == nil {
		return nil
	}
	call := fn.Functions[0].GetList().Items[0].GetFuncCall()
	if call == nil || !strings.HasPrefix(call.Funcname[0].GetString_().GetSval(), "group_") {
		return nil
	}
	return call
}

func (m *Member) direct(name string, args []any) (string, error) {
	arg := func(i int) any {
		if i < len(args) {
			return args[i]
		}
		return nil
	}
	switch name {
	case "group_status":
		return m.status(), nil
	case "group_position":
		p := m.store.position()
		return fmt.Sprintf("%d %d", p.Term, p.Index), nil
	case "group_heartbeat":
		acked := group.Position{Term: uint64(toInt(arg(2))), Index: uint64(toInt(arg(3)))}
		return m.takeHeartbeat(uint64(toInt(arg(0))), text(arg(1)), acked)
	case "group_fence":
		return m.fence(uint64(toInt(arg(0))), text(arg(1)))
	case "group_promote":
		return m.promote(uint64(toInt(arg(0))))
	case "group_follow":
		return m.follow(uint64(toInt(arg(0))), text(arg(1)))
	case "group_release":
		return m.release(uint64(toInt(arg(0))), text(arg(1)))
	}
	return "", sqlError("42883", "function %s does not exist", name)
}

// errTerm is raised for a request of a term that has passed.
func errTerm(have, got uint64) error {
	return sqlError("55000", "term %d has passed, the member is at %d", got, have)
}

func (m *Member) takeHeartbeat(term uint64, owner string, acked group.Position) (string, error) {
	m.mu.Lock()
	if term != m.term {
		defer m.mu.Unlock()
		return "", errTerm(m.term, term)
	}
	m.owner, m.holder = owner, owner
	m.heartbeat = time.Now()
	m.ownerSeen = m.heartbeat
	m.released = false
	m.acked = group.Max(m.acked, acked)
	m.mu.Unlock()
	return m.status(), nil
}

// fence moves the member to a higher term: what it served before ends, and it
// neither writes nor replicates until it is promoted or told whom to follow.
// The reply still names the former owner; the last heartbeat stays known.
func (m *Member) fence(term uint64, owner string) (string, error) {
	m.mu.Lock()
	if term <= m.term {
		defer m.mu.Unlock()
		return "", errTerm(m.term, term)
	}
	m.term = term
	m.role = group.RoleFenced
	m.leader = -1
	var stale []*session
	for _, s := range m.sessions {
		if s.staleLocked() {
			stale = append(stale, s)
		}
	}
	m.mu.Unlock()
	for _, s := range stale {
		s.end()
	}
	reply := m.status()
	m.mu.Lock()
	m.owner = owner
	m.ownerSeen = time.Now()
	m.mu.Unlock()
	return reply, nil
}

func (m *Member) promote(term uint64) (string, error) {
	m.mu.Lock()
	if term != m.term {
		defer m.mu.Unlock()
		return "", errTerm(m.term, term)
	}
	m.role = group.RolePrimary
	m.leader = -1
	m.mu.Unlock()
	m.group.wake()
	return m.status() + " " + m.history(), nil
}

// maxHistory bounds the terms that a promotion reports.
const maxHistory = 32

// history renders where each term of the log began, as PostgreSQL's time line
// history does.
func (m *Member) history() string {
	m.store.mu.RLock()
	defer m.store.mu.RUnlock()
	starts := []string{"0:0"}
	for i, entry := range m.store.log {
		if i > 0 && entry.position.Term != m.store.log[i-1].position.Term {
			starts = append(starts, fmt.Sprintf("%d:%d", entry.position.Term, i))
		}
	}
	return strings.Join(starts[max(0, len(starts)-maxHistory):], ",")
}

func (m *Member) follow(term uint64, leader string) (string, error) {
	index := m.group.byName(leader)
	if index < 0 || index == m.index {
		return "", sqlError("22023", "no other member %q", leader)
	}
	m.mu.Lock()
	if term < m.term {
		defer m.mu.Unlock()
		return "", errTerm(m.term, term)
	}
	changed := term != m.term || m.role != group.RoleReplica || m.leader != index
	m.term = term
	m.role = group.RoleReplica
	m.leader = index
	var stale []*session
	for _, s := range m.sessions {
		if s.staleLocked() {
			stale = append(stale, s)
		}
	}
	m.mu.Unlock()
	for _, s := range stale {
		s.end()
	}
	if changed {
		m.group.wake()
	}
	return m.status(), nil
}

func (m *Member) release(term uint64, owner string) (string, error) {
	m.mu.Lock()
	if term != m.term || owner != m.holder {
		defer m.mu.Unlock()
		return "", errTerm(m.term, term)
	}
	m.released = true
	m.mu.Unlock()
	return m.status(), nil
}

// replicate pulls the leader's log until the group closes.
func (m *Member) replicate() {
	defer m.group.workers.Done()
	for {
		wait := m.pull()
		select {
		case <-m.group.done:
			return
		case <-wait:
		}
	}
}

// pull applies what is due and returns a channel that tells when to look again.
func (m *Member) pull() <-chan struct{} {
	m.mu.RLock()
	leader, role, reset, term := m.leader, m.role, m.reset, m.term
	m.mu.RUnlock()
	if role != group.RoleReplica || leader < 0 {
		return reset
	}
	if !m.group.linked(m.index, leader) || !m.isRunning() || m.faults.stuck.Load() || m.faults.pause.closed() {
		return after(10 * time.Millisecond)
	}
	source := m.group.members[leader]
	source.store.mu.RLock()
	entries, grown := source.store.log, source.store.grown
	source.store.mu.RUnlock()
	if sourceRole, sourceTerm := source.Role(); sourceRole != group.RolePrimary || sourceTerm != term {
		return after(10 * time.Millisecond)
	}
	due, next := m.apply(entries, leader)
	if due {
		return closedChannel
	}
	if next > 0 {
		return after(next)
	}
	return either(grown, reset)
}

var closedChannel = func() chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}()

// apply brings the log to the leader's, as far as the lag allows. It reports
// whether entries were applied, and else when the next one is due.
func (m *Member) apply(entries []logEntry, leader int) (bool, time.Duration) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.role != group.RoleReplica || m.leader != leader {
		return false, time.Millisecond
	}
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	n := len(m.store.log)
	if n > len(entries) || n > 0 && entries[n-1].position != m.store.log[n-1].position {
		n = commonPrefix(m.store.log, entries)
		m.store.truncateLocked(n)
	}
	lag := m.group.Lag()
	applied := false
	for _, entry := range entries[n:] {
		if wait := lag - time.Since(entry.at); wait > 0 {
			return applied, wait
		}
		m.store.appendLocked(entry)
		applied = true
	}
	return applied, 0
}

func after(d time.Duration) <-chan struct{} {
	ch := make(chan struct{})
	time.AfterFunc(d, func() { close(ch) })
	return ch
}

// either returns a channel that closes with the first of a and b, or after
// half a second, so that no waiter is left behind.
func either(a, b <-chan struct{}) <-chan struct{} {
	ch := make(chan struct{})
	go func() {
		defer close(ch)
		select {
		case <-a:
		case <-b:
		case <-time.After(500 * time.Millisecond):
		}
	}()
	return ch
}
