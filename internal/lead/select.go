package lead

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// Selection is what decides who should lead.
type Selection struct {
	Old          string         // the primary that is to be replaced
	Term         uint64         // in which it led
	Planned      bool           // it is to be replaced although it is well
	Last         group.Position // end of its log, when it stepped down; zero: not known
	Replicas     int            // of the group
	SyncReplicas int            // that had received each acknowledged commit
	Unreached    bool           // some instances may still use the old primary: only members that these know of may be promoted
	KnownBefore  time.Duration  // a member known from before this time is known to them
	Seen         int64          // so is one that has been in the store unchanged since this revision; 0: none
	Hurry        bool           // do not wait for a log to reach Last any longer
}

// known reports whether each instance that was not reached knows of a member, and
// therefore asks it whether it leads.
func (s Selection) known(m topology.Member) bool {
	return m.Since < s.KnownBefore || m.Revision > 0 && m.Revision <= s.Seen
}

// Select returns who should lead, given what the members said, or false while
// that cannot be decided. One that leads in a newer term goes first: it was
// promoted already. An old primary that leads still, and need not be replaced,
// stays. Else the furthest log wins. One that leads in an earlier term, because it
// has not heard of its successor, counts as a replica: it is returned as one that
// does not lead, and must be promoted first. While instances that were not reached may
// use the old primary, only a member that all of them know of, and therefore ask, can
// be promoted.
func Select(answers []found, s Selection) (found, bool) {
	var best *found
	replicas := 0
	for _, answer := range answers {
		f := &answer
		f.status.Primary = f.status.Primary && f.status.Term >= s.Term
		if f.status.Primary && (f.status.Term > s.Term || f.member.ID == s.Old && !s.Planned && !f.member.Draining) {
			if best == nil || !best.status.Primary || best.status.Term < f.status.Term {
				best = f
			}
			continue
		}
		if f.member.ID == s.Old && s.Planned {
			continue
		}
		replicas++
		if best != nil && best.status.Primary || f.member.Draining || s.Unreached && !s.known(f.member) {
			continue
		}
		if best == nil || best.status.Received.Less(f.status.Received) {
			best = f
		}
	}
	switch {
	case best == nil:
		return found{}, false
	case best.status.Primary:
		return *best, true
	case s.SyncReplicas > 0 && replicas < s.Replicas-s.SyncReplicas+1 && best.status.Received.Less(s.Last):
		return found{}, false // one that does not answer may hold what was acknowledged
	case s.SyncReplicas > 0 && s.Last.IsZero() && replicas < s.Replicas-s.SyncReplicas+1:
		return found{}, false
	case best.status.Received.Less(s.Last) && !s.Hurry:
		return found{}, false
	}
	return *best, true
}
