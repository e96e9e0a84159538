package failover

import (
	"fmt"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

func (s *State) reply(now time.Duration, r Reply) []Action {
	m := s.members[r.Member]
	if m == nil {
		return nil
	}
	var actions []Action
	switch r.Failure {
	case FailSilent:
		m.failed = m.failed || r.Op == OpFence && r.Term == s.term
	case FailHard:
		m.hard++
		m.failed = m.failed || r.Op == OpFence && r.Term == s.term
	default:
		actions = s.answered(now, r, m)
	}
	if s.phase == Standby {
		return actions
	}
	if r.Op == OpPromote && r.Term == s.term && s.phase == Promoting {
		return append(actions, s.promoted(now, r)...)
	}
	return append(actions, s.advance(now)...)
}

// answered takes in a status. A term above ours ends a claim or an ownership.
func (s *State) answered(now time.Duration, r Reply, m *member) []Action {
	m.hard = 0
	m.answered = now
	if r.Failure == FailRefused {
		return s.refused(r, m)
	}
	s.takeStatus(r, m)
	s.noteLink(now, m)
	if s.phase >= Fencing && r.Status.Term > s.term {
		return s.superseded(r)
	}
	var actions []Action
	if m.down && s.phase >= Serving {
		m.down = false
		actions = append(actions, Record{Kind: "member-up", Member: r.Member, Text: "answers again"})
	}
	if r.Term != s.term || s.phase < Fencing {
		return actions
	}
	switch r.Op {
	case OpFence:
		m.fenced = true
	case OpHeartbeat:
		s.hold(m, r.Sent)
	}
	return actions
}

// takeStatus keeps the newest status. Answers can overtake one another: an older
// one must not hide the position that a fence has found.
func (s *State) takeStatus(r Reply, m *member) {
	if r.Op == OpFence && r.Term != s.term || r.Sent < m.asked || r.Status.Term < m.status.Term {
		return
	}
	m.status = r.Status
	m.asked = r.Sent
	m.told = false
}

// hold notes that the member has answered in our term a heartbeat sent then. Only
// heartbeats count, since the age of the last one is what the member will tell a
// successor, whatever fences lie between.
func (s *State) hold(m *member, sent time.Duration) {
	if !m.held || sent > m.inTerm {
		m.inTerm = sent
		m.held = true
	}
}

// refused deals with a member that would not do what was asked: it is either
// ahead of our term, which the next status shows, or behind it. A refused fence
// means that somebody else has claimed the group since: to raise the term
// against that claim would only start a duel, so this one ends.
func (s *State) refused(r Reply, m *member) []Action {
	if r.Op == OpFence && r.Term == s.term && s.phase == Fencing && !m.fenced {
		return s.standDown("another claim is under way", "")
	}
	if r.Op == OpStatus || r.Op == OpFence {
		return nil
	}
	return []Action{Send{Member: r.Member, Op: OpStatus, Term: s.term}}
}

func (s *State) superseded(r Reply) []Action {
	reason := fmt.Sprintf("%s is at term %d", r.Member, r.Status.Term)
	s.members[r.Member].status = r.Status
	actions := []Action{Suspend{Reason: reason, Terminal: true}}
	return append(actions, s.standDown(reason, r.Status.Owner)...)
}

func (s *State) noteLink(now time.Duration, m *member) {
	unlinked := m.status.Role == group.RoleReplica && !m.status.Linked
	if unlinked && !m.isolated {
		m.unlinked = now
	}
	m.isolated = unlinked
}

// advance moves a claim on when its conditions are met.
func (s *State) advance(now time.Duration) []Action {
	switch s.phase {
	case Observing:
		return s.advanceObserving(now)
	case Fencing:
		return s.advanceFencing(now)
	case Waiting:
		return s.advanceWaiting(now)
	case Draining:
		return s.advanceDraining(now)
	case Serving:
		return s.repair()
	}
	return nil
}

// advanceObserving fences once a majority has answered and no owner is alive.
func (s *State) advanceObserving(now time.Duration) []Action {
	count := 0
	for _, name := range s.names {
		m := s.members[name]
		if m.answered < s.started {
			continue
		}
		count++
		if m.status.Term > s.fromTerm {
			s.from = ""
		}
		if owner := s.liveOwner(m.status); owner != "" {
			s.claimed = false
			return s.standDown("owned by "+owner, owner)
		}
		if m.status.Role == group.RolePrimary && m.status.Term >= s.term {
			s.term, s.former = m.status.Term, name
		}
		s.acked = group.Max(s.acked, m.status.Acknowledged)
	}
	waited := now-s.started >= s.cfg.Collect
	if count < s.majority() || count < len(s.names) && !waited {
		return nil
	}
	return append([]Action{Record{Kind: "claim", Text: s.reason}}, s.fence(now)...)
}

// liveOwner returns another instance that the member has heard of just now.
func (s *State) liveOwner(st group.Status) string {
	if st.Owner == "" || st.Owner == s.self || st.Owner == s.from || st.Released && st.Owner == st.Holder {
		return ""
	}
	if st.OwnerAge < 0 || st.OwnerAge > s.cfg.OwnerSilence+s.patience {
		return ""
	}
	return st.Owner
}

// advanceFencing goes on once a majority is fenced and nobody worth waiting for
// is missing: all others have failed, are suspect, or had Collect to answer.
func (s *State) advanceFencing(now time.Duration) []Action {
	fenced, missing := 0, 0
	for name, m := range s.members {
		switch {
		case m.fenced:
			fenced++
		case !m.failed && name != s.suspect:
			missing++
		}
	}
	if fenced < s.majority() || missing > 0 && now-s.started < s.cfg.Collect {
		return nil
	}
	s.until = s.leasesEnd(now)
	s.enter(now, Waiting)
	return s.advanceWaiting(now)
}

// leasesEnd returns when every lease of a former owner has lapsed. Each
// majority that granted one shares a member with the fenced majority, and that
// member's heartbeat age, taken when it was fenced, bounds what is left. The
// time since the fence was answered is not counted, which is on the safe side.
// Heartbeats are sent only by owners that have waited likewise, so the last one
// stands for all before it; fences, whose answers may be lost, hide none.
func (s *State) leasesEnd(now time.Duration) time.Duration {
	var left time.Duration
	for _, m := range s.members {
		holder := m.status.Holder
		if !m.fenced || holder == "" || holder == s.self || holder == s.from || m.status.Released {
			continue
		}
		if m.status.HeartbeatAge >= 0 {
			left = max(left, s.cfg.Lease*time.Duration(1000+2*s.cfg.DriftPerMille)/1000-m.status.HeartbeatAge)
		}
	}
	return max(s.until, now+left)
}

func (s *State) advanceWaiting(now time.Duration) []Action {
	if now < s.until {
		return nil
	}
	successor := s.successor()
	if successor == "" {
		return s.fence(now)
	}
	s.primary = successor
	s.enter(now, Promoting)
	return []Action{
		Record{Kind: "promote", Member: successor, Text: fmt.Sprintf("at %s in term %d", s.members[successor].status.Position, s.term)},
		Send{Member: successor, Op: OpPromote, Term: s.term},
	}
}

// successor picks the fenced member with the highest position. Among equals it
// keeps the former primary, so that a change of owner moves nothing.
func (s *State) successor() string {
	best, others := "", 0
	for _, name := range s.names {
		m := s.members[name]
		if !m.fenced || name == s.avoid {
			continue
		}
		others++
		if best == "" || s.better(name, best) {
			best = name
		}
	}
	avoided := s.members[s.avoid]
	if avoided == nil || !avoided.fenced || s.mayAvoid(avoided, best, others) {
		return best
	}
	return s.avoid
}

// mayAvoid reports whether the member to be avoided can be passed over without
// losing acknowledged work. What lies beyond the best of the others may have been
// acknowledged, unless that takes a replica and all of them have been asked. The
// highest acknowledged position that this state knows is no help: it may be a
// moment old.
func (s *State) mayAvoid(avoided *member, best string, others int) bool {
	if best == "" {
		return false
	}
	if s.members[best].status.Position.AtLeast(avoided.status.Position) {
		return true
	}
	return s.cfg.ReplicaAck && others == len(s.names)-1
}

func (s *State) better(name, than string) bool {
	p, q := s.members[name].status.Position, s.members[than].status.Position
	if p != q {
		return q.Less(p)
	}
	if s.leaving[name] != s.leaving[than] {
		return s.leaving[than]
	}
	return name == s.former
}

func (s *State) promoted(now time.Duration, r Reply) []Action {
	if r.Failure != FailNone {
		s.suspect = s.primary
		return s.fence(now)
	}
	moved := s.primary != s.former
	if moved && s.former != "" {
		s.moves = append(s.moves, now)
	}
	claimed := s.claimed
	s.claimed, s.from = false, ""
	s.suspect, s.avoid = "", ""
	s.former = s.primary
	s.drained = false
	s.enter(now, Serving)
	s.lastBeat = now
	for _, m := range s.members {
		m.isolated = false
	}
	actions := []Action{
		Serve{Term: s.term, Primary: s.primary, Base: r.Status.Position, History: r.Status.History, Moved: moved, Claimed: claimed},
		Record{Kind: "serving", Member: s.primary, Text: fmt.Sprintf("term %d from %s", s.term, r.Status.Position)},
	}
	actions = append(actions, s.broadcast(OpHeartbeat)...)
	return append(actions, s.repair()...)
}

// repair points members that do not follow the primary at it.
func (s *State) repair() []Action {
	var actions []Action
	for _, name := range s.names {
		m := s.members[name]
		if name == s.primary || m.answered == 0 || m.told {
			continue
		}
		if m.status.Term == s.term && m.status.Role == group.RoleReplica {
			continue
		}
		if m.status.Term > s.term || m.status.Term == 0 {
			continue
		}
		m.told = true
		actions = append(actions, Send{Member: name, Op: OpFollow, Term: s.term, Leader: s.primary})
	}
	return actions
}
