package lead

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/topology"
)

func replica(id string, index uint64) found {
	return found{member: topology.Member{ID: id}, status: member.Status{Term: 1, Received: group.Position{Term: 1, Index: index}}}
}

func primary(id string, term uint64) found {
	return found{member: topology.Member{ID: id}, status: member.Status{Primary: true, Term: term, Received: group.Position{Term: term, Index: 9}}}
}

func draining(f found) found {
	f.member.Draining = true
	return f
}

func since(f found, at time.Duration) found {
	f.member.Since = at
	return f
}

func TestSelect(t *testing.T) {
	base := Selection{Old: "old", Term: 1, Replicas: 2}
	planned := base
	planned.Planned, planned.Last = true, group.Position{Term: 1, Index: 9}
	hurried := planned
	hurried.Hurry = true
	synced := base
	synced.SyncReplicas = 1
	unreached := base
	unreached.Unreached, unreached.KnownBefore = true, 8
	second := Selection{Old: "gone", Term: 2, Replicas: 2}
	inSecond := func(id string, index uint64) found {
		f := replica(id, index)
		f.status.Term, f.status.Received.Term = 2, 2
		return f
	}
	for name, c := range map[string]struct {
		answers []found
		s       Selection
		want    string // "" for undecided
	}{
		"no member answers":                                    {nil, base, ""},
		"the longest log":                                      {[]found{replica("a", 3), replica("b", 5)}, base, "b"},
		"not a draining member":                                {[]found{replica("a", 3), draining(replica("b", 5))}, base, "a"},
		"already promoted":                                     {[]found{replica("a", 3), primary("b", 2)}, base, "b"},
		"the newest term of two primaries":                     {[]found{primary("a", 2), primary("b", 3)}, base, "b"},
		"the old primary is healthy":                           {[]found{replica("a", 3), primary("old", 1)}, base, "old"},
		"the old primary drains":                               {[]found{replica("a", 3), draining(primary("old", 1))}, base, "a"},
		"the old primary must be replaced as planned":          {[]found{replica("a", 9), primary("old", 1)}, planned, "a"},
		"a replica lacks the old primary's last writes":        {[]found{replica("a", 8), replica("old", 9)}, planned, ""},
		"a replica lacks the last writes and the wait is over": {[]found{replica("a", 8)}, hurried, "a"},
		"the old primary is now a replica":                     {[]found{replica("a", 8), replica("old", 9)}, base, "old"},
		"a stale primary of an earlier term, answers first":    {[]found{primary("stale", 1), inSecond("a", 3)}, second, "a"},
		"a stale primary of an earlier term, answers last":     {[]found{inSecond("a", 3), primary("stale", 1)}, second, "a"},
		"a stale primary of an earlier term, answers alone":    {[]found{primary("stale", 1)}, second, "stale"},
		"an instance may not know the longest log":             {[]found{replica("a", 3), since(replica("b", 5), 9)}, unreached, "a"},
		"no replica that all instances know":                   {[]found{since(replica("a", 3), 8), since(replica("b", 5), 9)}, unreached, ""},
		"a new member that is already primary":                 {[]found{replica("a", 3), since(primary("b", 2), 9)}, unreached, "b"},
		"a missing replica may hold acknowledged":              {[]found{replica("a", 8)}, synced, ""},
		"all replicas answered":                                {[]found{replica("a", 8), replica("b", 7)}, synced, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			got, decided := Select(c.answers, c.s)
			must.Eq(t, c.want != "", decided)
			must.Eq(t, c.want, got.member.ID)
			must.False(t, got.status.Primary && got.status.Term < c.s.Term, must.Sprint("a stale primary must be promoted before it is used"))
		})
	}
}

func TestDead(t *testing.T) {
	must.False(t, dead(1, false, silence, true, silence))
	must.True(t, dead(refusals, false, 0, true, 0))
	must.False(t, dead(0, true, silence-1, true, silence))
	must.True(t, dead(0, true, silence, true, silence))
	must.False(t, dead(0, true, 0, false, silence-1), must.Sprint("never answered: counted from the take-over"))
	must.True(t, dead(0, true, 0, false, silence))
}
