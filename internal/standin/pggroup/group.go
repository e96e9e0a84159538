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

// Group is a database group of three members on loopback.
type Group struct {
	members []*Member
	lag     atomic.Int64
	cuts    [Members][Members]atomic.Bool
	done    chan struct{}
	workers sync.WaitGroup
}

// Members is the size of a group.
const Members = 3

// Start listens on three free ports of loopback. The first member is primary
// in term 1 and the others follow it.
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

// Member returns the i-th member, counted from 0.
func (g *Group) Member(i int) *Member { return g.members[i] }

// ByName returns the member of that name, or nil.
func (g *Group) ByName(name string) *Member {
	if i := g.byName(name); i >= 0 {
		return g.members[i]
	}
	return nil
}

// Lag returns the replication lag.
func (g *Group) Lag() time.Duration { return time.Duration(g.lag.Load()) }

// SetLag changes the replication lag.
func (g *Group) SetLag(d time.Duration) { g.lag.Store(int64(d)) }

// CutLink silences replication between two members, both ways.
func (g *Group) CutLink(i, j int, cut bool) {
	g.cuts[i][j].Store(cut)
	g.cuts[j][i].Store(cut)
}

func (g *Group) linked(from, to int) bool {
	other := g.members[to]
	return !g.cuts[from][to].Load() && other.isRunning() && !other.faults.pause.closed()
}

func (g *Group) byName(name string) int {
	for i, m := range g.members {
		if m.Name == name {
			return i
		}
	}
	return -1
}

// wake makes all members look at whom they follow.
func (g *Group) wake() {
	for _, m := range g.members {
		m.mu.Lock()
		close(m.reset)
		m.reset = make(chan struct{})
		m.mu.Unlock()
	}
}

// Exec runs a statement on the current primary, for setting up tests.
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
			if err := s.runAlone(&plan{sql: sql, node: stmt.Stmt}); err != nil {
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

// Kill ends the member at once: its port refuses and its sessions break.
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

// Restart starts a killed member again on its port, with the data, the term
// and the role it had.
func (m *Member) Restart() error {
	return m.listen(m.Addr())
}
