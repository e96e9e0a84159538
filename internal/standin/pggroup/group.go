package pggroup

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

// Group is a running database group of three members on loopback.
type Group struct {
	members  []*Member
	lag      atomic.Int64                  // replica lag in nanoseconds
	cutLinks [Members][Members]atomic.Bool // replication links that are cut
	done     chan struct{}
	workers  sync.WaitGroup
}

// Members is the number of members of a group.
const Members = 3

// Start starts the members on free loopback ports. The first member is the primary in
// term 1 and the others replicate from it.
func Start(name string, lag time.Duration) (*Group, error) {
	g := &Group{done: make(chan struct{})}
	g.lag.Store(int64(lag))
	for i := range Members {
		g.members = append(g.members, newMember(g, i, fmt.Sprintf("%s-%d", name, i+1)))
	}
	for i, m := range g.members {
		if err := m.listen("127.0.0.1:0"); err != nil {
			g.Close()
			return nil, fmt.Errorf("stand-in member %s: %w", m.Name, err)
		}
		m.term = 1
		if i == 0 {
			m.role = group.RolePrimary
			continue
		}
		m.leader = 0
	}
	for _, m := range g.members {
		g.workers.Add(1)
		go m.replicate()
	}
	return g, nil
}

// Member returns member i, counted from 0.
func (g *Group) Member(i int) *Member { return g.members[i] }

// ByName returns the member with the given name, or nil.
func (g *Group) ByName(name string) *Member {
	if i := g.indexOf(name); i >= 0 {
		return g.members[i]
	}
	return nil
}

// Lag returns the replication lag.
func (g *Group) Lag() time.Duration { return time.Duration(g.lag.Load()) }

// SetLag changes the replication lag.
func (g *Group) SetLag(d time.Duration) { g.lag.Store(int64(d)) }

// CutLink stops or resumes replication between two members in both directions.
func (g *Group) CutLink(i, j int, cut bool) {
	g.cutLinks[i][j].Store(cut)
	g.cutLinks[j][i].Store(cut)
}

// canReplicate reports whether member from can replicate from member to.
func (g *Group) canReplicate(from, to int) bool {
	other := g.members[to]
	return !g.cutLinks[from][to].Load() && other.isRunning() && !other.faults.pause.closed()
}

// indexOf returns the index of a member, or -1.
func (g *Group) indexOf(name string) int {
	for i, m := range g.members {
		if m.Name == name {
			return i
		}
	}
	return -1
}

// notifyReplication makes the replication of all members read role, term and leader again.
func (g *Group) notifyReplication() {
	for _, m := range g.members {
		m.mu.Lock()
		close(m.replicationChanged)
		m.replicationChanged = make(chan struct{})
		m.mu.Unlock()
	}
}

// Exec runs SQL on the current primary, each statement in its own transaction. Tests use
// it for setup.
func (g *Group) Exec(sql string) error {
	for _, m := range g.members {
		if !m.isPrimary() {
			continue
		}
		s := newSession(m, nil, "setup", 0, 0)
		stmts, err := m.parse(sql)
		if err != nil {
			return err
		}
		for _, stmt := range stmts {
			if err := s.runInOwnTx(&plan{sql: sql, node: stmt.Stmt}); err != nil {
				return err
			}
		}
		return nil
	}
	return errors.New("stand-in: no primary")
}

// Close stops all members.
func (g *Group) Close() {
	close(g.done)
	for _, m := range g.members {
		m.Resume()
		m.Kill()
	}
	g.workers.Wait()
}

// listen starts accepting connections.
func (m *Member) listen(addr string) error {
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.listener = l
	m.addr = l.Addr().String()
	m.running.Store(true)
	m.mu.Unlock()
	go m.accept(l)
	return nil
}

// Kill stops the member abruptly: its port refuses connections and its sessions are
// closed.
func (m *Member) Kill() {
	m.mu.Lock()
	l := m.listener
	m.running.Store(false)
	var open []*session
	for _, s := range m.sessions {
		open = append(open, s)
	}
	m.mu.Unlock()
	if l != nil {
		l.Close()
	}
	for _, s := range open {
		s.end()
	}
}

// Restart starts a killed member again on the same port, with the same data, term and
// role.
func (m *Member) Restart() error {
	return m.listen(m.Addr())
}
