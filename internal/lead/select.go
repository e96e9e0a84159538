package lead

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// Selection holds the criteria by which Select chooses the primary, besides the members'
// status.
type Selection struct {
	OldPrimary      string         // recorded ID of the primary that is to be replaced
	Term            uint64         // term of the old primary
	TermStart       group.Position // end of the old primary's log when it was promoted; zero: unknown
	Replaced        bool           // the old primary must be replaced although it is healthy
	Promoting       string         // member whose promotion was requested last; empty: none
	FinalPosition   group.Position // end of the old primary's log when it stepped down; zero: unknown
	Replicas        int            // number of members, without the one that has the ID OldPrimary
	SyncReplicas    int            // number of replicas that had received each acknowledged commit
	Unreached       bool           // unreachable instances may still use the old primary, so only members that they know may be promoted
	KnownBefore     time.Duration  // unreachable instances know each member that has been known here since before this time
	SeenRevision    int64          // unreachable instances know each member whose entry has been unchanged since this store revision; 0: unknown
	AllowShorterLog bool           // promote a member whose log does not reach FinalPosition, instead of waiting longer
	AllowOldPrimary bool           // promote the old primary again if no other member can be promoted, instead of waiting longer
	AllowDraining   bool           // promote a draining member if no other has all acknowledged commits, instead of waiting longer
	DrainingAfter   time.Duration  // a member that has been draining since before this time cannot be replaced in time
}

// knownToUnreachable reports whether each unreachable instance knows a member. If it does,
// it asks that member during verification whether it is primary.
func (s Selection) knownToUnreachable(m topology.Member) bool {
	return m.Since < s.KnownBefore || m.Revision > 0 && m.Revision <= s.SeenRevision
}

// forGroup returns the criteria with what follows from the group's record, declaration and
// members.
func (s Selection) forGroup(members []topology.Member, record Record, declared topology.Group) Selection {
	s.OldPrimary, s.Term, s.TermStart, s.SyncReplicas = record.Primary, record.Term, record.TermStart, declared.SyncReplicas
	s.Replicas = 0
	for _, m := range members {
		if m.ID != record.Primary { // its entry may be gone
			s.Replicas++
		}
	}
	return s
}

// isOldPrimary reports whether a member is the primary of the record's term, under whatever ID: a
// member that restarts keeps its log and role, and may return under a new ID.
func (s Selection) isOldPrimary(m memberStatus) bool {
	return m.member.ID == s.OldPrimary || m.isPrimaryOf(s.Term)
}

// isKnown reports whether the member is known to all instances that may use the old primary.
func (s Selection) isKnown(m topology.Member) bool { return !s.Unreached || s.knownToUnreachable(m) }

// inService reports whether a replica can be promoted and stay the primary.
func (s Selection) inService(m memberStatus) bool {
	return !m.member.Draining && s.isKnown(m.member)
}

// leadsUntilDrained reports whether a replica that drains can be promoted, and be replaced
// before its drain ends.
func (s Selection) leadsUntilDrained(m memberStatus) bool {
	return s.AllowDraining && m.member.Draining && m.member.DrainingSince >= s.DrainingAfter && s.isKnown(m.member) && !m.status.Primary
}

func anyReplica(memberStatus) bool { return true }

// Select returns the member that should be primary, or false if that cannot be decided from
// these answers:
//
//   - A member that is primary in a newer term than that of the record has already been
//     promoted, and is chosen.
//   - Otherwise the old primary stays, if it is still primary, need not be replaced and does
//     not drain. It is the primary of the record's term, whether or not its ID is the recorded one.
//   - Otherwise the replica with the longest log is chosen, if it does not drain and the
//     criteria in s allow it.
//   - If the group replicates synchronously, a member is chosen only if its log contains each
//     acknowledged commit. If no other member has them all, that can be one that drains.
//   - Otherwise the old primary is chosen, if the criteria allow it, although it must be
//     replaced. Like a replica it must be promoted first. It is not chosen if the group replicates
//     synchronously: it may lack commits that were acknowledged in a newer term, by a primary that
//     is not in the record.
//
// A member that is still primary in an earlier term missed its successor's promotion and
// counts as a replica. It is returned with Primary unset and must be promoted first. While
// instances that were not reached may use the old primary, only a member that all of them
// know can be promoted, because they ask only the members that they know whether one was
// promoted.
func Select(answers []memberStatus, s Selection) (memberStatus, bool) {
	if primary, ok := s.findPrimary(answers); ok {
		return primary, true
	}
	if best, found := s.findSuccessor(answers); found {
		return best, true
	}
	return s.findOldPrimary(answers)
}

// findSuccessor returns the replica that should replace the old primary.
func (s Selection) findSuccessor(answers []memberStatus) (memberStatus, bool) {
	replicas := s.replicas(answers)
	if s.SyncReplicas == 0 {
		required := s.FinalPosition
		if s.AllowShorterLog {
			required = group.Position{}
		}
		return s.longestLog(replicas, required, s.inService)
	}
	for _, m := range answers {
		if m.member.ID != s.OldPrimary && m.isPrimaryOf(s.Term) {
			s.Replicas-- // it was counted under its new ID
		}
	}
	required, known := s.acknowledgedUpTo(replicas)
	if !known {
		return memberStatus{}, false // a replica that did not answer may hold acknowledged commits
	}
	if best, found := s.longestLog(replicas, required, s.inService); found {
		return best, true
	}
	return s.longestLog(replicas, required, s.leadsUntilDrained)
}

// findOldPrimary returns the old primary, with Primary unset, if it can be promoted again.
func (s Selection) findOldPrimary(answers []memberStatus) (memberStatus, bool) {
	if !s.AllowOldPrimary || s.SyncReplicas > 0 {
		return memberStatus{}, false
	}
	for _, m := range answers {
		if s.isOldPrimary(m) && !m.member.Draining {
			m.status.Primary = false
			return m, true
		}
	}
	return memberStatus{}, false
}

// findPrimary returns the member with the newest term that is primary and need not be
// replaced.
func (s Selection) findPrimary(answers []memberStatus) (memberStatus, bool) {
	var best memberStatus
	for _, m := range answers {
		promoted := m.status.Term > s.Term
		stays := m.status.Term == s.Term && !s.Replaced && !m.member.Draining
		if m.status.Primary && (promoted || stays) && m.status.Term > best.status.Term {
			best = m
		}
	}
	return best, best.status.Primary
}

// replicas returns the members that answered and count as replicas. An old primary that must be
// replaced does not: findOldPrimary considers it after all others.
func (s Selection) replicas(answers []memberStatus) []memberStatus {
	var replicas []memberStatus
	for _, m := range answers {
		if s.Replaced && s.isOldPrimary(m) {
			continue
		}
		m.status.Primary = m.status.Primary && m.status.Term >= s.Term
		replicas = append(replicas, m)
	}
	return replicas
}

// longestLog returns a member with the longest log among those that are eligible and whose log
// reaches the required position, or false if none does. Among equals it prefers the member whose
// promotion was requested already.
func (s Selection) longestLog(members []memberStatus, required group.Position, eligible func(memberStatus) bool) (memberStatus, bool) {
	var best memberStatus
	found := false
	for _, m := range members {
		if !eligible(m) || m.status.Received.Less(required) {
			continue
		}
		if !found || best.status.Received.Less(m.status.Received) || m.member.ID == s.Promoting && best.status.Received == m.status.Received {
			best, found = m, true
		}
	}
	return best, found
}

// acknowledgedUpTo returns a position such that each log that reaches it contains all
// acknowledged commits, or false if that is unknown. It is the end of the old primary's log,
// or the longest log among enough replicas that each commit acknowledged in its term is in
// one of them, if that log also contains the commits of earlier terms. Replicas count here
// whether or not they can be promoted.
func (s Selection) acknowledgedUpTo(replicas []memberStatus) (group.Position, bool) {
	longest, _ := s.longestLog(replicas, group.Position{}, anyReplica)
	enough := len(replicas) >= s.Replicas-s.SyncReplicas+1 && longest.status.Received.AtLeast(s.TermStart)
	switch {
	case !s.FinalPosition.IsZero() && !(enough && s.AllowShorterLog):
		return s.FinalPosition, true
	case enough:
		return longest.status.Received, true
	}
	return group.Position{}, false
}
