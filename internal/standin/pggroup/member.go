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

// Member is one database server of the group.
type Member struct {
	Name string

	group *Group
	store *store
	index int
	plans *lru.Cache[string, []*pgquery.RawStmt]

	// mu guards the fields up to nextPID. A commit holds it for reading, so that no
	// commit of an earlier term can happen after fence has returned. Lock order: mu
	// before store.mu.
	mu        sync.RWMutex
	listener  net.Listener
	addr      string
	term      uint64
	role      group.Role
	owner     string         // instance that owns the current term
	ownerSeen time.Time      // time of the owner's last fence or heartbeat
	holder    string         // instance that sent the last heartbeat
	heartbeat time.Time      // of the holder
	released  bool           // the holder has released the group
	acked     group.Position // highest acknowledged position that a heartbeat reported
	leader    int            // index of the member to replicate from; -1: none
	sessions  map[uint32]*session
	nextPID   uint32

	running atomic.Bool
	traffic atomic.Int64 // bytes in and out

	faults             faults
	replicationChanged chan struct{} // closed and replaced when replication must read role, term and leader again
}

func newMember(g *Group, index int, name string) *Member {
	plans, err := lru.New[string, []*pgquery.RawStmt](planCacheSize)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Member{
		Name:               name,
		group:              g,
		store:              newStore(),
		index:              index,
		plans:              plans,
		role:               group.RoleReplica,
		leader:             -1,
		sessions:           make(map[uint32]*session),
		nextPID:            uint32(index+1) * 1_000_000,
		replicationChanged: make(chan struct{}),
		faults:             newFaults(),
	}
}

// planCacheSize is the number of parsed SQL texts that a member caches.
const planCacheSize = 4096

// Addr returns the address that the member listens on.
func (m *Member) Addr() string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.addr
}

// Position returns the position of the last entry in the member's log.
func (m *Member) Position() group.Position {
	return m.store.position()
}

// Traffic returns the number of bytes received and sent.
func (m *Member) Traffic() int64 { return m.traffic.Load() }

// Role returns the member's current role and term.
func (m *Member) Role() (group.Role, uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.role, m.term
}

// Owner returns the name of the instance that sent the last heartbeat.
func (m *Member) Owner() string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.holder
}

// Connections returns the number of open sessions.
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

// parse parses SQL and caches the result.
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

// commit appends a transaction to the log. It rejects writes if the member is not the
// primary or the session is of an earlier term.
func (m *Member) commit(s *session, tx *transaction) error {
	m.mu.RLock()
	defer m.mu.RUnlock()
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	if len(tx.changes) > 0 && (m.role != group.RolePrimary || s.staleLocked()) {
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

// status encodes group.Status in the field order that parseStatus in package upstream
// expects.
func (m *Member) status() string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	p := m.store.position()
	return fmt.Sprintf("%d %s %d %d %s %d %s %d %t %t %d %d", m.term, m.role, p.Term, p.Index,
		cmp.Or(m.owner, "-"), age(m.ownerSeen), cmp.Or(m.holder, "-"), age(m.heartbeat),
		m.released, m.canReplicateLocked(), m.acked.Term, m.acked.Index)
}

// age returns the microseconds since t, or -1 if t is zero.
func age(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return time.Since(t).Microseconds()
}

// canReplicateLocked reports whether the member is a replica that can reach its leader. The
// caller holds mu.
func (m *Member) canReplicateLocked() bool {
	return m.role == group.RoleReplica && m.leader >= 0 && m.group.canReplicate(m.index, m.leader)
}

// runGroupFunction runs a SELECT of one of the group_ functions, which instances use to control
// the group.
func (s *session) runGroupFunction(call *pgquery.FuncCall, out result) (string, error) {
	if err := out.describe(statusColumns); err != nil {
		return "", err
	}
	e := &evalContext{sess: s}
	var args []any
	for _, node := range call.Args {
		v, err := e.eval(node)
		if err != nil {
			return "", err
		}
		args = append(args, v)
	}
	reply, err := s.member.callGroupFunction(call.Funcname[0].GetString_().GetSval(), args)
	if err != nil {
		return "", err
	}
	return "SELECT 1", out.row([]any{reply})
}

var statusColumns = []column{{name: "status", oid: oidText}}

// groupFunctionCall returns the call of a group_ function in the FROM clause, or nil.
func groupFunctionCall(stmt *pgquery.SelectStmt) *pgquery.FuncCall {
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

// callGroupFunction runs a group_ function.
func (m *Member) callGroupFunction(name string, args []any) (string, error) {
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
		return m.recordHeartbeat(uint64(toInt(arg(0))), text(arg(1)), acked)
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

// staleTermError returns the error for a request of another term than the member's: have is
// the member's term, got the requested one.
func staleTermError(have, got uint64) error {
	return sqlError("55000", "term %d has passed, the member is at %d", got, have)
}

// recordHeartbeat handles a heartbeat of the owner of the current term.
func (m *Member) recordHeartbeat(term uint64, owner string, acked group.Position) (string, error) {
	m.mu.Lock()
	if term != m.term {
		defer m.mu.Unlock()
		return "", staleTermError(m.term, term)
	}
	m.owner, m.holder = owner, owner
	m.heartbeat = time.Now()
	m.ownerSeen = m.heartbeat
	m.released = false
	m.acked = group.Max(m.acked, acked)
	m.mu.Unlock()
	return m.status(), nil
}

// fence moves the member to a higher term and ends the sessions of earlier terms. The
// member neither accepts writes nor replicates until promote or follow. The reply still
// names the former owner, and the last heartbeat is kept.
func (m *Member) fence(term uint64, owner string) (string, error) {
	m.mu.Lock()
	if term <= m.term {
		defer m.mu.Unlock()
		return "", staleTermError(m.term, term)
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

// promote makes the member the primary of the current term. The reply also has the
// history of terms.
func (m *Member) promote(term uint64) (string, error) {
	m.mu.Lock()
	if term != m.term {
		defer m.mu.Unlock()
		return "", staleTermError(m.term, term)
	}
	m.role = group.RolePrimary
	m.leader = -1
	m.mu.Unlock()
	m.group.notifyReplication()
	return m.status() + " " + m.history(), nil
}

// maxHistory is the maximum number of terms in the reply to a promotion.
const maxHistory = 32

// history encodes the log index at which each term began, like PostgreSQL's timeline
// history files.
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

// follow makes the member a replica of leader, in the given term or its current one, and
// ends the sessions of earlier terms.
func (m *Member) follow(term uint64, leader string) (string, error) {
	index := m.group.indexOf(leader)
	if index < 0 || index == m.index {
		return "", sqlError("22023", "no other member %q", leader)
	}
	m.mu.Lock()
	if term < m.term {
		defer m.mu.Unlock()
		return "", staleTermError(m.term, term)
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
		m.group.notifyReplication()
	}
	return m.status(), nil
}

// release records that the holder gives up the current term.
func (m *Member) release(term uint64, owner string) (string, error) {
	m.mu.Lock()
	if term != m.term || owner != m.holder {
		defer m.mu.Unlock()
		return "", staleTermError(m.term, term)
	}
	m.released = true
	m.mu.Unlock()
	return m.status(), nil
}

// replicate copies the leader's log until the group is closed.
func (m *Member) replicate() {
	defer m.group.workers.Done()
	for {
		wait := m.replicateOnce()
		select {
		case <-m.group.done:
			return
		case <-wait:
		}
	}
}

// replicateOnce applies the entries that are due and returns a channel that is closed
// when it should run again.
func (m *Member) replicateOnce() <-chan struct{} {
	m.mu.RLock()
	leader, role, replicationChanged, term := m.leader, m.role, m.replicationChanged, m.term
	m.mu.RUnlock()
	if role != group.RoleReplica || leader < 0 {
		return replicationChanged
	}
	if !m.group.canReplicate(m.index, leader) || !m.isRunning() || m.faults.replicationStopped.Load() || m.faults.pause.closed() {
		return after(10 * time.Millisecond)
	}
	source := m.group.members[leader]
	source.store.mu.RLock()
	entries, logChanged := source.store.log, source.store.logChanged
	source.store.mu.RUnlock()
	if sourceRole, sourceTerm := source.Role(); sourceRole != group.RolePrimary || sourceTerm != term {
		return after(10 * time.Millisecond)
	}
	applied, next := m.apply(entries, leader)
	if applied {
		return closedChannel
	}
	if next > 0 {
		return after(next)
	}
	return firstOf(logChanged, replicationChanged)
}

var closedChannel = func() chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}()

// apply replicates the entries that are older than the lag, after truncating a log that
// diverges from the leader's. It returns whether it applied entries, and how long until
// the next one is due (0: there is none).
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

// after returns a channel that is closed after d.
func after(d time.Duration) <-chan struct{} {
	ch := make(chan struct{})
	time.AfterFunc(d, func() { close(ch) })
	return ch
}

// firstOf returns a channel that is closed when a or b is, or after half a second. The
// timeout ensures that the goroutine ends even if neither is ever closed.
func firstOf(a, b <-chan struct{}) <-chan struct{} {
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
