package lead

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/topology"
)

func replica(id string, index uint64) memberStatus {
	return memberStatus{member: topology.Member{ID: id}, status: member.Status{Term: 1, Received: group.Position{Term: 1, Index: index}}}
}

func primary(id string, term uint64) memberStatus {
	return memberStatus{member: topology.Member{ID: id}, status: member.Status{Primary: true, Term: term, Received: group.Position{Term: term, Index: 9}}}
}

func draining(f memberStatus) memberStatus {
	f.member.Draining = true
	return f
}

func since(f memberStatus, at time.Duration) memberStatus {
	f.member.Since = at
	return f
}

func TestSelect(t *testing.T) {
	base := Selection{OldPrimary: "old", Term: 1, Replicas: 2}
	planned := base
	planned.Replaced, planned.FinalPosition = true, group.Position{Term: 1, Index: 9}
	hurried := planned
	hurried.AllowShorterLog = true
	synced := base
	synced.SyncReplicas = 1
	syncDraining := synced
	syncDraining.AllowDraining, syncDraining.DrainingAfter = true, 5
	syncPlanned := synced
	syncPlanned.Replaced, syncPlanned.FinalPosition = true, group.Position{Term: 1, Index: 9}
	syncHurried := syncPlanned
	syncHurried.AllowShorterLog, syncHurried.AllowDraining = true, true
	syncSecond := Selection{OldPrimary: "gone", Term: 2, TermStart: group.Position{Term: 1, Index: 5}, Replicas: 1, SyncReplicas: 1}
	syncUnreached := synced
	syncUnreached.Unreached, syncUnreached.KnownBefore = true, 8
	drainingSince := func(f memberStatus, at time.Duration) memberStatus {
		f = draining(f)
		f.member.DrainingSince = at
		return f
	}
	unreached := base
	unreached.Unreached, unreached.KnownBefore = true, 8
	requested := base
	requested.Replaced, requested.Promoting = true, "b"
	second := Selection{OldPrimary: "gone", Term: 2, Replicas: 2}
	inSecond := func(id string, index uint64) memberStatus {
		f := replica(id, index)
		f.status.Term, f.status.Received.Term = 2, 2
		return f
	}
	again := requested
	again.AllowOldPrimary = true
	syncAgain := again
	syncAgain.SyncReplicas = 1
	syncNewID := synced
	syncNewID.Replaced, syncNewID.Replicas = true, 3
	for name, c := range map[string]struct {
		answers []memberStatus
		s       Selection
		want    string // "" for undecided
	}{
		"no member answers":                                     {nil, base, ""},
		"the longest log":                                       {[]memberStatus{replica("a", 3), replica("b", 5)}, base, "b"},
		"a promotion was requested already":                     {[]memberStatus{replica("a", 5), replica("b", 5), primary("old", 1)}, requested, "b"},
		"a promotion was requested, and another log is longer":  {[]memberStatus{replica("a", 6), replica("b", 5), primary("old", 1)}, requested, "a"},
		"not a draining member":                                 {[]memberStatus{replica("a", 3), draining(replica("b", 5))}, base, "a"},
		"already promoted":                                      {[]memberStatus{replica("a", 3), primary("b", 2)}, base, "b"},
		"the newest term of two primaries":                      {[]memberStatus{primary("a", 2), primary("b", 3)}, base, "b"},
		"the old primary is healthy":                            {[]memberStatus{replica("a", 3), primary("old", 1)}, base, "old"},
		"the old primary drains":                                {[]memberStatus{replica("a", 3), draining(primary("old", 1))}, base, "a"},
		"the old primary must be replaced as planned":           {[]memberStatus{replica("a", 9), primary("old", 1)}, planned, "a"},
		"a replica lacks the old primary's last writes":         {[]memberStatus{replica("a", 8), replica("old", 9)}, planned, ""},
		"a replica lacks the last writes and the wait is over":  {[]memberStatus{replica("a", 8)}, hurried, "a"},
		"the old primary is healthy under a new ID":             {[]memberStatus{replica("a", 3), primary("new", 1)}, base, "new"},
		"the old primary must be replaced under a new ID":       {[]memberStatus{replica("a", 3), primary("new", 1)}, requested, "a"},
		"the old primary answers alone under a new ID":          {[]memberStatus{primary("new", 1)}, requested, ""},
		"the old primary may be promoted again":                 {[]memberStatus{primary("old", 1)}, again, "old"},
		"it may be, under a new ID":                             {[]memberStatus{primary("new", 1)}, again, "new"},
		"it may be, and is a replica now":                       {[]memberStatus{replica("old", 1)}, again, "old"},
		"it may be, but drains":                                 {[]memberStatus{draining(primary("old", 1))}, again, ""},
		"it may be, but another member can be promoted":         {[]memberStatus{primary("old", 1), replica("a", 3)}, again, "a"},
		"sync: the old primary lacks commits of an unseen term": {[]memberStatus{primary("old", 1), replica("a", 3)}, syncAgain, ""},
		"sync: the same, and it is a replica now":               {[]memberStatus{replica("old", 1), replica("a", 3)}, syncAgain, ""},
		"the old primary drains under a new ID":                 {[]memberStatus{replica("a", 3), draining(primary("new", 1))}, base, "a"},
		"the old primary is now a replica":                      {[]memberStatus{replica("a", 8), replica("old", 9)}, base, "old"},
		"a stale primary of an earlier term, answers first":     {[]memberStatus{primary("stale", 1), inSecond("a", 3)}, second, "a"},
		"a stale primary of an earlier term, answers last":      {[]memberStatus{inSecond("a", 3), primary("stale", 1)}, second, "a"},
		"a stale primary of an earlier term, answers alone":     {[]memberStatus{primary("stale", 1)}, second, "stale"},
		"an instance may not know the longest log":              {[]memberStatus{replica("a", 3), since(replica("b", 5), 9)}, unreached, "a"},
		"no replica that all instances know":                    {[]memberStatus{since(replica("a", 3), 8), since(replica("b", 5), 9)}, unreached, ""},
		"a new member that is already primary":                  {[]memberStatus{replica("a", 3), since(primary("b", 2), 9)}, unreached, "b"},
		"a missing replica may hold acknowledged":               {[]memberStatus{replica("a", 8)}, synced, ""},
		"all replicas answered":                                 {[]memberStatus{replica("a", 8), replica("b", 7)}, synced, "a"},

		"sync: only a draining replica has all commits":             {[]memberStatus{replica("a", 3), drainingSince(replica("b", 5), 5)}, syncDraining, "b"},
		"sync: it has been draining for too long":                   {[]memberStatus{replica("a", 3), drainingSince(replica("b", 5), 4)}, syncDraining, ""},
		"sync: the others may still receive the commits":            {[]memberStatus{replica("a", 3), drainingSince(replica("b", 5), 5)}, synced, ""},
		"sync: the draining replica is not needed":                  {[]memberStatus{replica("a", 5), drainingSince(replica("b", 5), 5)}, syncDraining, "a"},
		"sync: the draining replica alone":                          {[]memberStatus{drainingSince(replica("b", 5), 5)}, syncDraining, ""},
		"sync: the longest log is unknown to some instance":         {[]memberStatus{replica("a", 3), since(replica("b", 5), 9)}, syncUnreached, ""},
		"sync: the old primary drains and is a replica now":         {[]memberStatus{replica("a", 8), draining(replica("old", 9))}, synced, ""},
		"sync: the old primary under a new ID is no replica":        {[]memberStatus{replica("a", 8), replica("b", 7), primary("new", 1)}, syncNewID, "a"},
		"sync: a replica is missing, the old primary has a new ID":  {[]memberStatus{replica("a", 8), primary("new", 1)}, syncNewID, ""},
		"sync: the new ID may be that of a replica":                 {[]memberStatus{replica("a", 8), replica("b", 7)}, syncNewID, ""},
		"sync: the log ends before the term began":                  {[]memberStatus{replica("a", 4)}, syncSecond, ""},
		"sync: the log ends where the term began":                   {[]memberStatus{replica("a", 5)}, syncSecond, "a"},
		"sync: planned, a draining replica may be ahead":            {[]memberStatus{replica("a", 8), draining(replica("b", 9))}, syncPlanned, ""},
		"sync: planned, only a draining replica has all":            {[]memberStatus{replica("a", 8), draining(replica("b", 9))}, syncHurried, "b"},
		"sync: planned, the last writes were never acknowledged":    {[]memberStatus{replica("a", 8), replica("b", 7)}, syncHurried, "a"},
		"sync: planned, a replica is missing and the other behind":  {[]memberStatus{replica("a", 8)}, syncHurried, ""},
		"sync: planned, a replica is missing and the other has all": {[]memberStatus{replica("a", 9)}, syncPlanned, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			got, decided := Select(c.answers, c.s)
			must.Eq(t, c.want != "", decided)
			must.Eq(t, c.want, got.member.ID)
			must.False(t, got.status.Primary && got.status.Term < c.s.Term, must.Sprint("a stale primary must be promoted before it is used"))
		})
	}
}

func TestIsDead(t *testing.T) {
	must.False(t, isDead(1, false, unresponsiveTimeout, true, unresponsiveTimeout))
	must.True(t, isDead(deadAfterRefusals, false, 0, true, 0))
	must.False(t, isDead(0, true, unresponsiveTimeout-1, true, unresponsiveTimeout))
	must.True(t, isDead(0, true, unresponsiveTimeout, true, unresponsiveTimeout))
	must.False(t, isDead(0, true, 0, false, unresponsiveTimeout-1), must.Sprint("never answered: counted from the take-over"))
	must.True(t, isDead(0, true, 0, false, unresponsiveTimeout))
}
