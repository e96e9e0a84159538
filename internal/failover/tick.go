package failover

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

// tick sends heartbeats and looks for what has been silent for too long.
func (s *State) tick(now time.Duration, e Tick) []Action {
	s.acked = group.Max(s.acked, e.Acked)
	paused := s.lastTick != 0 && now-s.lastTick > s.cfg.OwnerSilence/2
	s.lastTick = now
	if paused {
		s.forgive(now)
	}
	switch s.phase {
	case Standby:
		return nil
	case Serving:
		return s.watch(now)
	case Draining:
		return append(s.watch(now), s.advance(now)...)
	case Observing:
		return s.retryObserving(now)
	case Fencing, Promoting:
		if now-s.started > s.cfg.Collect+s.cfg.RetryUnsettled {
			return s.retryFence(now)
		}
	}
	return s.advance(now)
}

// forgive restarts all clocks of silence: this process was paused, so the
// silence of the members shows nothing about them.
func (s *State) forgive(now time.Duration) {
	for _, m := range s.members {
		m.answered = max(m.answered, now)
		m.unlinked = max(m.unlinked, now)
		m.hard = 0
	}
}

func (s *State) retryObserving(now time.Duration) []Action {
	if now-s.started < s.cfg.Collect+s.cfg.RetryUnsettled {
		return s.advance(now)
	}
	s.enter(now, Observing)
	return s.broadcast(OpStatus)
}

func (s *State) retryFence(now time.Duration) []Action {
	if s.phase == Promoting {
		s.suspect = s.primary
	}
	return s.fence(now)
}

func (s *State) watch(now time.Duration) []Action {
	var actions []Action
	if now-s.lastBeat >= s.cfg.Heartbeat {
		s.lastBeat = now
		actions = s.broadcast(OpHeartbeat)
	}
	actions = append(actions, s.noteSilence(now)...)
	if s.members[s.primary].hard > 0 {
		// A refusal is asked about again at once, not at the next heartbeat.
		actions = append(actions, Send{Member: s.primary, Op: OpStatus, Term: s.term})
	}
	if reason := s.primaryDead(now); reason != "" {
		return append(actions, s.replace(now, reason)...)
	}
	if s.primaryIsolated(now) {
		s.avoid = s.primary
		return append(actions, s.replace(now, "no replica hears the primary")...)
	}
	return append(actions, s.drain(now)...)
}

// noteSilence records members that have stopped answering.
func (s *State) noteSilence(now time.Duration) []Action {
	var actions []Action
	for _, name := range s.names {
		m := s.members[name]
		if m.down || s.alive(now, m, s.cfg.Silence) {
			continue
		}
		m.down = true
		actions = append(actions, Record{Kind: "member-down", Member: name, Text: "does not answer"})
	}
	return actions
}

func (s *State) alive(now time.Duration, m *member, silence time.Duration) bool {
	return now-m.answered <= silence && m.hard < s.cfg.HardFailures
}

// silence returns the damped limit: each recent move doubles it.
func (s *State) silence(now time.Duration) time.Duration {
	limit := s.cfg.Silence
	for range s.recentMoves(now) {
		limit = min(2*limit, s.cfg.MaxSilence)
	}
	return limit
}

func (s *State) recentMoves(now time.Duration) int {
	n := 0
	for _, at := range s.moves {
		if now-at < s.cfg.DampingWindow {
			n++
		}
	}
	return n
}

// primaryDead returns why the primary counts as dead, or "". When no majority
// answers, the instance itself is cut off and must not judge.
func (s *State) primaryDead(now time.Duration) string {
	if s.othersAlive(now) < s.majority() || s.recentMoves(now) >= s.cfg.MaxMoves {
		return ""
	}
	p := s.members[s.primary]
	if p.hard >= s.cfg.HardFailures {
		return "the primary refuses connections"
	}
	if now-p.answered > s.silence(now) {
		return "the primary is silent"
	}
	if p.status.Term == s.term && p.status.Role != group.RolePrimary && p.answered > s.started+s.cfg.Heartbeat {
		return "the primary has lost its role"
	}
	return ""
}

// othersAlive counts the members besides the primary that answer.
func (s *State) othersAlive(now time.Duration) int {
	n := 0
	for name, m := range s.members {
		if name != s.primary && s.alive(now, m, s.cfg.Silence) {
			n++
		}
	}
	return n
}

// primaryIsolated reports that every living replica has been without the
// primary for long. Where writes are acknowledged by the primary alone it stays:
// replacing it would lose what it acknowledged since.
func (s *State) primaryIsolated(now time.Duration) bool {
	if !s.cfg.ReplicaAck || s.othersAlive(now) < s.majority() || s.recentMoves(now) >= s.cfg.MaxMoves {
		return false
	}
	for name, m := range s.members {
		if name == s.primary {
			continue
		}
		if !m.isolated || now-m.unlinked < s.cfg.Isolation {
			return false
		}
	}
	return true
}

func (s *State) replace(now time.Duration, reason string) []Action {
	s.suspect = s.primary
	if s.avoid == s.primary && s.members[s.primary].hard == 0 {
		s.suspect = ""
	}
	dead := s.primary
	s.former, s.primary = s.primary, ""
	actions := []Action{
		Suspend{Reason: reason, Terminal: true},
		Record{Kind: "primary-lost", Member: dead, Text: reason},
	}
	return append(actions, s.fence(now)...)
}

// setLeaving takes the list of members that get no new work. A primary on it
// is drained and replaced by a replica that has caught up.
func (s *State) setLeaving(now time.Duration, e Leave) []Action {
	s.leaving = make(map[string]bool, len(e.Members))
	for _, name := range e.Members {
		s.leaving[name] = true
	}
	return s.drain(now)
}

// drainSpacing is the least time between two attempts to move off a leaving
// primary, for the case that no replica can follow it.
const drainSpacing = 30 * time.Second

// drain begins to empty a primary that is to leave.
func (s *State) drain(now time.Duration) []Action {
	if s.phase != Serving || !s.leaving[s.primary] || len(s.leaving) == len(s.names) {
		return nil
	}
	if s.lastDrain != 0 && now-s.lastDrain < drainSpacing {
		return nil
	}
	s.lastDrain = now
	s.drained = false
	s.enter(now, Draining)
	return []Action{
		Suspend{Reason: "the primary leaves"},
		Record{Kind: "draining", Member: s.primary, Text: "leaving: no new transactions"},
	}
}

// advanceDraining replaces the leaving primary once its transactions have ended
// and a replica holds its whole log, or when the bound is reached.
func (s *State) advanceDraining(now time.Duration) []Action {
	overdue := now-s.started > s.cfg.DrainBound
	if !overdue && !(s.drained && s.caughtUp()) {
		return nil
	}
	s.avoid = s.primary
	return s.replace(now, "the primary leaves")
}

func (s *State) caughtUp() bool {
	p := s.members[s.primary]
	if p.answered <= s.started {
		return false
	}
	for name, m := range s.members {
		if name != s.primary && !s.leaving[name] && m.status.Term == s.term && m.status.Position.AtLeast(p.status.Position) {
			return true
		}
	}
	return false
}
