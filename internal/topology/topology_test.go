package topology

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// member returns a member as the next snapshot contains it.
func member(s *State, id string) Member {
	m, _ := s.Snapshot().Member(id)
	return m
}

func TestOlderConfigIsIgnored(t *testing.T) {
	s := New(time.Second, 3*time.Second)
	must.True(t, s.SetConfig(Config{Version: 5, Routes: []Route{{Database: "a"}}}))
	must.False(t, s.SetConfig(Config{Version: 4}))
	must.False(t, s.SetConfig(Config{Version: 5}))
	must.MapContainsKey(t, s.Snapshot().Databases, "a")
}

func TestVanishedMemberExpiresAfterGrace(t *testing.T) {
	s := New(time.Second, 3*time.Second)
	must.True(t, s.SetMember(0, Member{ID: "a", Group: "g"}, false))
	must.False(t, s.SetMember(0, Member{ID: "a", Group: "g"}, false))
	s.MarkMissing(time.Second, "a")
	s.MarkMissing(1500*time.Millisecond, "a") // reported again: the first time counts
	must.False(t, s.Expire(2*time.Second-1))
	must.Len(t, 1, s.Snapshot().MembersOf("g"))
	must.True(t, s.Expire(2*time.Second))
	must.SliceEmpty(t, s.Snapshot().MembersOf("g"))
	must.Len(t, 1, s.Snapshot().RecentlyDeparted("g"))
	must.False(t, s.Expire(4*time.Second-1))
	must.True(t, s.Expire(4*time.Second))
	must.SliceEmpty(t, s.Snapshot().RecentlyDeparted("g"))

	s.SetMember(3*time.Second, Member{ID: "b", Group: "g"}, false)
	s.MarkMissingExcept(3*time.Second, map[string]bool{})
	must.True(t, s.SetMember(3*time.Second, Member{ID: "b", Group: "g"}, false), must.Sprint("its entry is back"))
	must.False(t, s.Expire(time.Hour))
}

// Since is the time from which an entry has been present without interruption, and never earlier.
func TestMemberPresentSince(t *testing.T) {
	s := New(time.Second, 3*time.Second)
	since := func() time.Duration { return member(s, "a").Since }
	entry := Member{ID: "a", Group: "g", Revision: 1}
	s.SetMember(1, entry, true)
	s.SetMember(2, entry, true)
	must.Eq(t, 1, since())
	entry.Revision = 2
	s.SetMember(3, entry, false)
	must.Eq(t, 1, since(), must.Sprint("the entry changed but never vanished"))
	entry.Revision = 3
	s.SetMember(4, entry, true)
	must.Eq(t, 4, since(), must.Sprint("changes between listings are not reported"))
	s.MarkMissing(5, "a")
	s.SetMember(6, entry, false)
	must.Eq(t, 6, since(), must.Sprint("the entry had vanished"))
}

// DrainingSince is the time of the first entry that said so, also if the entry vanished or was
// rewritten meanwhile.
func TestMemberDrainingSince(t *testing.T) {
	s := New(time.Second, time.Minute)
	since := func() time.Duration { return member(s, "a").DrainingSince }
	entry := Member{ID: "a", Group: "g", Revision: 1}
	s.SetMember(1, entry, false)
	must.Zero(t, since())
	entry.Draining, entry.Revision = true, 2
	s.SetMember(2, entry, false)
	must.Eq(t, 2, since())
	s.MarkMissing(3, "a")
	entry.Revision = 3
	s.SetMember(4, entry, true)
	must.Eq(t, 2, since())
	entry.Incarnation = 1
	s.SetMember(5, entry, false)
	must.Eq(t, 5, since(), must.Sprint("another process"))
	entry.Draining = false
	s.SetMember(6, entry, false)
	must.Zero(t, since())
}

// A member that was restarted under its ID counts as new: it has been present since the restart.
func TestRestartedMemberCountsAsNew(t *testing.T) {
	s := New(time.Second, time.Minute)
	s.SetMember(1, Member{ID: "a", Group: "g", Incarnation: 7}, false)
	must.False(t, s.SetMember(5, Member{ID: "a", Group: "g", Incarnation: 7}, false))
	must.Eq(t, 1, member(s, "a").Since)
	must.True(t, s.SetMember(9, Member{ID: "a", Group: "g", Incarnation: 8}, false))
	must.Eq(t, 9, member(s, "a").Since)
}
