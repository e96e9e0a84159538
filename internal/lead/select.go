package lead

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// Selection holds the criteria by which Select chooses the primary, besides the members'
// status.
type Selection struct {
	OldPrimary      string         // ID of the primary that is to be replaced
	Term            uint64         // term of the old primary
	Planned         bool           // the old primary must be replaced although it is healthy
	FinalPosition   group.Position // end of the old primary's log when it stepped down; zero: unknown
	Replicas        int            // number of replicas of the group
	SyncReplicas    int            // number of replicas that had received each acknowledged commit
	Unreached       bool           // unreachable instances may still use the old primary, so only members that they know may be promoted
	KnownBefore     time.Duration  // they know each member that has been known here since before this time
	SeenRevision    int64          // they know each member whose entry has been unchanged since this store revision; 0: unknown
	AllowShorterLog bool           // promote a member whose log does not reach FinalPosition, instead of waiting longer
}

// knownToUnreachable reports whether each unreachable instance knows a member. If it does,
// it asks that member during verification whether it is primary.
func (s Selection) knownToUnreachable(m topology.Member) bool {
	return m.Since < s.KnownBefore || m.Revision > 0 && m.Revision <= s.SeenRevision
}

// Select returns the member that should be primary, or false if that cannot be decided from
// these answers:
//
//   - A member that is primary in a newer term than that of the record has already been
//     promoted, and is chosen.
//   - Otherwise the old primary stays, if it is still primary, the change is not planned and
//     it does not drain.
//   - Otherwise the replica with the longest log is chosen, if it does not drain and the
//     criteria in s allow it.
//
// A member that is still primary in an earlier term missed its successor's promotion and
// counts as a replica. It is returned with Primary unset and must be promoted first. While
// instances that were not reached may use the old primary, only a member that all of them
// know can be promoted, because they ask only the members that they know whether one was
// promoted.
func Select(answers []memberStatus, s Selection) (memberStatus, bool) {
	var best *memberStatus
	replicas := 0
	for _, answer := range answers {
		f := &answer
		f.status.Primary = f.status.Primary && f.status.Term >= s.Term
		if f.status.Primary && (f.status.Term > s.Term || f.member.ID == s.OldPrimary && !s.Planned && !f.member.Draining) {
			if best == nil || !best.status.Primary || best.status.Term < f.status.Term {
				best = f
			}
			continue
		}
		if f.member.ID == s.OldPrimary && s.Planned {
			continue
		}
		replicas++
		if best != nil && best.status.Primary || f.member.Draining || s.Unreached && !s.knownToUnreachable(f.member) {
			continue
		}
		if best == nil || best.status.Received.Less(f.status.Received) {
			best = f
		}
	}
	switch {
	case best == nil:
		return memberStatus{}, false
	case best.status.Primary:
		return *best, true
	case s.SyncReplicas > 0 && replicas < s.Replicas-s.SyncReplicas+1 && best.status.Received.Less(s.FinalPosition):
		return memberStatus{}, false // a replica that did not answer may hold acknowledged commits
	case s.SyncReplicas > 0 && s.FinalPosition.IsZero() && replicas < s.Replicas-s.SyncReplicas+1:
		return memberStatus{}, false
	case best.status.Received.Less(s.FinalPosition) && !s.AllowShorterLog:
		return memberStatus{}, false
	}
	return *best, true
}
