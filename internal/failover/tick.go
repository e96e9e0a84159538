package failover

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

// tick sends heartbeats that are due and checks all timeouts.
func (s *State) tick(now time.Duration, e Tick) []Action {
	s.acked = group.Max(s.acked, e.Acked)
	paused := s.lastTick != 0 && now-s.lastTick > s.cfg.OwnerTimeout/2
	s.lastTick = now
	if paused {
		s.restartTimeouts(now)
	}
	switch s.phase {
	case Standby:
		return nil
	case Serving:
		return s.monitor(now)
	case Draining:
		return append(s.monitor(now), s.advance(now)...)
	case Observing:
		return s.retryObserving(now)
	case Fencing, Promoting:
		if now-s.phaseStarted > s.cfg.CollectTimeout+s.cfg.ClaimRetryDelay {
			return s.retryFence(now)
		}
	}
	return s.advance(now)
}

// restartTimeouts restarts the timeouts of all members after a pause of this
// process: missing answers during the pause do not mean that a member failed.
func (s *State) restartTimeouts(now time.Duration) {
	for _, m := range s.members {
		m.answeredAt = max(m.answeredAt, now)
		m.unlinkedSince = max(m.unlinkedSince, now)
		m.connFailures = 0
	}
}

func (s *State) retryObserving(now time.Duration) []Action {
	if now-s.phaseStarted < s.cfg.CollectTimeout+s.cfg.ClaimRetryDelay {
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

// monitor sends heartbeats as the owner and starts a failover or a drain of the
// primary where needed.
func (s *State) monitor(now time.Duration) []Action {
	var actions []Action
	if now-s.lastHeartbeat >= s.cfg.Heartbeat {
		s.lastHeartbeat = now
		actions = s.broadcast(OpHeartbeat)
	}
	actions = append(actions, s.reportUnresponsive(now)...)
	if s.members[s.primary].connFailures > 0 {
		// After a connection failure, retry immediately instead of at the next heartbeat.
		actions = append(actions, Send{Member: s.primary, Op: OpStatus, Term: s.term})
	}
	if reason := s.primaryFailure(now); reason != "" {
		return append(actions, s.replacePrimary(now, reason)...)
	}
	if s.primaryIsolated(now) {
		s.excluded = s.primary
		return append(actions, s.replacePrimary(now, "no replica hears the primary")...)
	}
	return append(actions, s.startDraining(now)...)
}

// reportUnresponsive adds members that have stopped answering to the time line.
func (s *State) reportUnresponsive(now time.Duration) []Action {
	var actions []Action
	for _, name := range s.names {
		m := s.members[name]
		if m.reportedDown || s.alive(now, m, s.cfg.MemberTimeout) {
			continue
		}
		m.reportedDown = true
		actions = append(actions, TimelineEvent{Kind: "member-down", Member: name, Text: "does not answer"})
	}
	return actions
}

func (s *State) alive(now time.Duration, m *member, timeout time.Duration) bool {
	return now-m.answeredAt <= timeout && m.connFailures < s.cfg.MaxConnFailures
}

// primaryTimeout returns how long the primary may leave requests unanswered. Each
// recent change of the primary doubles it, up to Config.MaxMemberTimeout.
func (s *State) primaryTimeout(now time.Duration) time.Duration {
	limit := s.cfg.MemberTimeout
	for range s.recentPrimaryChanges(now) {
		limit = min(2*limit, s.cfg.MaxMemberTimeout)
	}
	return limit
}

func (s *State) recentPrimaryChanges(now time.Duration) int {
	n := 0
	for _, at := range s.primaryChanges {
		if now-at < s.cfg.DampingWindow {
			n++
		}
	}
	return n
}

// primaryFailure returns why the primary counts as failed, or "". Without answers
// of a majority of other members the instance itself may be partitioned, so it
// starts no failover.
func (s *State) primaryFailure(now time.Duration) string {
	if s.othersAlive(now) < s.majority() || s.recentPrimaryChanges(now) >= s.cfg.MaxPrimaryChanges {
		return ""
	}
	p := s.members[s.primary]
	if p.connFailures >= s.cfg.MaxConnFailures {
		return "the primary refuses connections"
	}
	if now-p.answeredAt > s.primaryTimeout(now) {
		return "the primary is silent"
	}
	if p.status.Term == s.term && p.status.Role != group.RolePrimary && p.answeredAt > s.phaseStarted+s.cfg.Heartbeat {
		return "the primary has lost its role"
	}
	return ""
}

// othersAlive returns the number of members other than the primary that answer.
func (s *State) othersAlive(now time.Duration) int {
	n := 0
	for name, m := range s.members {
		if name != s.primary && s.alive(now, m, s.cfg.MemberTimeout) {
			n++
		}
	}
	return n
}

// primaryIsolated reports whether no replica has had a link to the primary for
// Config.IsolationTimeout. It is always false if the primary alone acknowledges
// writes, since replacing it would lose the writes acknowledged meanwhile.
func (s *State) primaryIsolated(now time.Duration) bool {
	if !s.cfg.ReplicaAck || s.othersAlive(now) < s.majority() || s.recentPrimaryChanges(now) >= s.cfg.MaxPrimaryChanges {
		return false
	}
	for name, m := range s.members {
		if name == s.primary {
			continue
		}
		if !m.isolated || now-m.unlinkedSince < s.cfg.IsolationTimeout {
			return false
		}
	}
	return true
}

func (s *State) replacePrimary(now time.Duration, reason string) []Action {
	s.suspect = s.primary
	if s.excluded == s.primary && s.members[s.primary].connFailures == 0 {
		s.suspect = ""
	}
	old := s.primary
	s.formerPrimary, s.primary = s.primary, ""
	actions := []Action{
		Suspend{Reason: reason, Terminal: true},
		TimelineEvent{Kind: "primary-lost", Member: old, Text: reason},
	}
	return append(actions, s.fence(now)...)
}

// setLeaving replaces the set of members that get no new work. If the primary is
// among them, it is drained and replaced by a replica that has caught up.
func (s *State) setLeaving(now time.Duration, e Leave) []Action {
	s.leaving = make(map[string]bool, len(e.Members))
	for _, name := range e.Members {
		s.leaving[name] = true
	}
	return s.startDraining(now)
}

// drainRetryInterval is the minimum time between two attempts to replace a leaving
// primary. It matters if no replica can take over.
const drainRetryInterval = 30 * time.Second

// startDraining stops new transactions on a leaving primary, unless all members
// are leaving.
func (s *State) startDraining(now time.Duration) []Action {
	if s.phase != Serving || !s.leaving[s.primary] || len(s.leaving) == len(s.names) {
		return nil
	}
	if s.lastDrain != 0 && now-s.lastDrain < drainRetryInterval {
		return nil
	}
	s.lastDrain = now
	s.drained = false
	s.enter(now, Draining)
	return []Action{
		Suspend{Reason: "the primary leaves"},
		TimelineEvent{Kind: "draining", Member: s.primary, Text: "leaving: no new transactions"},
	}
}

// advanceDraining replaces the leaving primary once its transactions have ended
// and a replica has its whole log, or after Config.DrainTimeout.
func (s *State) advanceDraining(now time.Duration) []Action {
	overdue := now-s.phaseStarted > s.cfg.DrainTimeout
	if !overdue && !(s.drained && s.caughtUp()) {
		return nil
	}
	s.excluded = s.primary
	return s.replacePrimary(now, "the primary leaves")
}

// caughtUp reports whether a replica that is not leaving has the primary's whole
// log. The primary must have answered since the drain began.
func (s *State) caughtUp() bool {
	p := s.members[s.primary]
	if p.answeredAt <= s.phaseStarted {
		return false
	}
	for name, m := range s.members {
		if name != s.primary && !s.leaving[name] && m.status.Term == s.term && m.status.Position.AtLeast(p.status.Position) {
			return true
		}
	}
	return false
}
