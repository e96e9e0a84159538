package failover

import (
	"fmt"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

func (s *State) handleReply(now time.Duration, r Reply) []Action {
	m := s.members[r.Member]
	if m == nil {
		return nil
	}
	var actions []Action
	switch r.Failure {
	case FailTimeout:
		m.fenceFailed = m.fenceFailed || r.Op == OpFence && r.Term == s.term
	case FailConnection:
		m.connFailures++
		m.fenceFailed = m.fenceFailed || r.Op == OpFence && r.Term == s.term
	default:
		actions = s.handleAnswer(now, r, m)
	}
	if s.phase == Standby {
		return actions
	}
	if r.Op == OpPromote && r.Term == s.term && s.phase == Promoting {
		return append(actions, s.handlePromoted(now, r)...)
	}
	return append(actions, s.advance(now)...)
}

// handleAnswer applies an answer of a member. A term above the current one ends a
// claim or an ownership.
func (s *State) handleAnswer(now time.Duration, r Reply, m *member) []Action {
	m.connFailures = 0
	m.answeredAt = now
	if r.Failure == FailRefused {
		return s.handleRefused(r, m)
	}
	s.updateStatus(r, m)
	s.updateLink(now, m)
	if s.phase >= Fencing && r.Status.Term > s.term {
		return s.superseded(r)
	}
	var actions []Action
	if m.reportedDown && s.phase >= Serving {
		m.reportedDown = false
		actions = append(actions, TimelineEvent{Kind: "member-up", Member: r.Member, Text: "answers again"})
	}
	if r.Term != s.term || s.phase < Fencing {
		return actions
	}
	switch r.Op {
	case OpFence:
		m.fenced = true
	case OpHeartbeat:
		s.recordHeartbeat(m, r.Sent)
	}
	return actions
}

// updateStatus stores a status unless a newer one is known. Answers can arrive
// out of order: an older one must not overwrite the position that a fence
// returned.
func (s *State) updateStatus(r Reply, m *member) {
	if r.Op == OpFence && r.Term != s.term || r.Sent < m.statusSentAt || r.Status.Term < m.status.Term {
		return
	}
	m.status = r.Status
	m.statusSentAt = r.Sent
	m.followSent = false
}

// recordHeartbeat records that the member answered a heartbeat in the current
// term. Only heartbeats extend the lease, because a member reports only the age
// of its last heartbeat to a successor, regardless of fences in between.
func (s *State) recordHeartbeat(m *member, sent time.Duration) {
	if !m.heartbeatAnswered || sent > m.heartbeatSentAt {
		m.heartbeatSentAt = sent
		m.heartbeatAnswered = true
	}
}

// handleRefused handles a request that a member refused because its term is
// above or below the current one; a status request finds out which. A refused
// fence means that another instance has claimed the group meanwhile. This claim
// then ends, because two claims that raise the term against each other would
// never finish.
func (s *State) handleRefused(r Reply, m *member) []Action {
	if r.Op == OpFence && r.Term == s.term && s.phase == Fencing && !m.fenced {
		return s.standDown("another claim is under way", "")
	}
	if r.Op == OpStatus || r.Op == OpFence {
		return nil
	}
	return []Action{Send{Member: r.Member, Op: OpStatus, Term: s.term}}
}

// superseded ends the claim or ownership because a member has a higher term.
func (s *State) superseded(r Reply) []Action {
	reason := fmt.Sprintf("%s is at term %d", r.Member, r.Status.Term)
	s.members[r.Member].status = r.Status
	actions := []Action{Suspend{Reason: reason, Terminal: true}}
	return append(actions, s.standDown(reason, r.Status.Owner)...)
}

// updateLink records since when a replica has had no link to its primary.
func (s *State) updateLink(now time.Duration, m *member) {
	unlinked := m.status.Role == group.RoleReplica && !m.status.Linked
	if unlinked && !m.isolated {
		m.unlinkedSince = now
	}
	m.isolated = unlinked
}

// advance enters the next phase if the conditions for leaving the current one are
// met.
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
		return s.repointMembers()
	}
	return nil
}

// advanceObserving starts fencing once a majority has answered and reported no
// live owner, and either all members have answered or CollectTimeout has passed.
func (s *State) advanceObserving(now time.Duration) []Action {
	count := 0
	for _, name := range s.names {
		m := s.members[name]
		if m.answeredAt < s.phaseStarted {
			continue
		}
		count++
		if m.status.Term > s.formerOwnerTerm {
			s.formerOwner = ""
		}
		if owner := s.liveOwner(m.status); owner != "" {
			s.claimed = false
			return s.standDown("owned by "+owner, owner)
		}
		if m.status.Role == group.RolePrimary && m.status.Term >= s.term {
			s.term, s.formerPrimary = m.status.Term, name
		}
		s.acked = group.Max(s.acked, m.status.Acknowledged)
	}
	waited := now-s.phaseStarted >= s.cfg.CollectTimeout
	if count < s.majority() || count < len(s.names) && !waited {
		return nil
	}
	return append([]Action{TimelineEvent{Kind: "claim", Text: s.reason}}, s.fence(now)...)
}

// liveOwner returns the owner that a member reports, or "" if it is this
// instance, has given the group up, or has not contacted the member recently.
func (s *State) liveOwner(st group.Status) string {
	if st.Owner == "" || st.Owner == s.self || st.Owner == s.formerOwner || st.Released && st.Owner == st.Holder {
		return ""
	}
	if st.OwnerAge < 0 || st.OwnerAge > s.cfg.OwnerTimeout+s.extraOwnerTimeout {
		return ""
	}
	return st.Owner
}

// advanceFencing ends the fencing phase once a majority is fenced and each other
// member has failed, is suspect, or has had CollectTimeout to answer.
func (s *State) advanceFencing(now time.Duration) []Action {
	fenced, missing := 0, 0
	for name, m := range s.members {
		switch {
		case m.fenced:
			fenced++
		case !m.fenceFailed && name != s.suspect:
			missing++
		}
	}
	if fenced < s.majority() || missing > 0 && now-s.phaseStarted < s.cfg.CollectTimeout {
		return nil
	}
	s.leasesExpireAt = s.formerLeasesEnd(now)
	s.enter(now, Waiting)
	return s.advanceWaiting(now)
}

// formerLeasesEnd returns the time at which every lease of a former owner has
// expired. Each majority that granted a lease shares a member with the fenced
// majority. The heartbeat age that this member reported when it was fenced bounds
// the remaining time of the lease. The time since the member answered is not
// subtracted, which can only lengthen the wait. Only the last heartbeat matters:
// its sender has itself waited for the leases before. Fences do not replace the
// last heartbeat in a member's status, so a fence whose answer was lost hides no
// lease.
func (s *State) formerLeasesEnd(now time.Duration) time.Duration {
	var remaining time.Duration
	for _, m := range s.members {
		holder := m.status.Holder
		if !m.fenced || holder == "" || holder == s.self || holder == s.formerOwner || m.status.Released {
			continue
		}
		if m.status.HeartbeatAge >= 0 {
			remaining = max(remaining, s.cfg.Lease*time.Duration(1000+2*s.cfg.DriftPerMille)/1000-m.status.HeartbeatAge)
		}
	}
	return max(s.leasesExpireAt, now+remaining)
}

func (s *State) advanceWaiting(now time.Duration) []Action {
	if now < s.leasesExpireAt {
		return nil
	}
	successor := s.successor()
	if successor == "" {
		return s.fence(now)
	}
	s.primary = successor
	s.enter(now, Promoting)
	return []Action{
		TimelineEvent{Kind: "promote", Member: successor, Text: fmt.Sprintf("at %s in term %d", s.members[successor].status.Position, s.term)},
		Send{Member: successor, Op: OpPromote, Term: s.term},
	}
}

// successor returns the member to promote: the fenced member with the highest
// log position. Among equals it prefers members that are not leaving, then the
// former primary, so that a change of owner does not change the primary.
func (s *State) successor() string {
	best, others := "", 0
	for _, name := range s.names {
		m := s.members[name]
		if !m.fenced || name == s.excluded {
			continue
		}
		others++
		if best == "" || s.preferred(name, best) {
			best = name
		}
	}
	avoided := s.members[s.excluded]
	if avoided == nil || !avoided.fenced || s.canExclude(avoided, best, others) {
		return best
	}
	return s.excluded
}

// canExclude reports whether the excluded member can be skipped without losing
// acknowledged writes. Log entries that only this member has may have been
// acknowledged, except if an acknowledgement needs a replica and all replicas
// have been fenced. The highest acknowledged position known here cannot be used,
// because it may be out of date.
func (s *State) canExclude(avoided *member, best string, others int) bool {
	if best == "" {
		return false
	}
	if s.members[best].status.Position.AtLeast(avoided.status.Position) {
		return true
	}
	return s.cfg.ReplicaAck && others == len(s.names)-1
}

// preferred reports whether one member is a better successor than another.
func (s *State) preferred(name, than string) bool {
	p, q := s.members[name].status.Position, s.members[than].status.Position
	if p != q {
		return q.Less(p)
	}
	if s.leaving[name] != s.leaving[than] {
		return s.leaving[than]
	}
	return name == s.formerPrimary
}

func (s *State) handlePromoted(now time.Duration, r Reply) []Action {
	if r.Failure != FailNone {
		s.suspect = s.primary
		return s.fence(now)
	}
	moved := s.primary != s.formerPrimary
	if moved && s.formerPrimary != "" {
		s.primaryChanges = append(s.primaryChanges, now)
	}
	claimed := s.claimed
	s.claimed, s.formerOwner = false, ""
	s.suspect, s.excluded = "", ""
	s.formerPrimary = s.primary
	s.drained = false
	s.enter(now, Serving)
	s.lastHeartbeat = now
	for _, m := range s.members {
		m.isolated = false
	}
	actions := []Action{
		Serve{Term: s.term, Primary: s.primary, Base: r.Status.Position, History: r.Status.History, PrimaryChanged: moved, Claimed: claimed},
		TimelineEvent{Kind: "serving", Member: s.primary, Text: fmt.Sprintf("term %d from %s", s.term, r.Status.Position)},
	}
	actions = append(actions, s.broadcast(OpHeartbeat)...)
	return append(actions, s.repointMembers()...)
}

// repointMembers sends a follow request to each member that does not replicate
// from the primary in the current term.
func (s *State) repointMembers() []Action {
	var actions []Action
	for _, name := range s.names {
		m := s.members[name]
		if name == s.primary || m.answeredAt == 0 || m.followSent {
			continue
		}
		if m.status.Term == s.term && m.status.Role == group.RoleReplica {
			continue
		}
		if m.status.Term > s.term || m.status.Term == 0 {
			continue
		}
		m.followSent = true
		actions = append(actions, Send{Member: name, Op: OpFollow, Term: s.term, Leader: s.primary})
	}
	return actions
}
