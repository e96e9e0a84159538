package topology

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestConfigurationNeverGoesBack(t *testing.T) {
	s := New(time.Second)
	must.True(t, s.SetConfig(Config{Version: 5, Routes: []Route{{Database: "a"}}}))
	must.False(t, s.SetConfig(Config{Version: 4}))
	must.False(t, s.SetConfig(Config{Version: 5}))
	must.MapContainsKey(t, s.Snapshot().Databases, "a")
}

func TestVanishedMembersStayForAWhile(t *testing.T) {
	s := New(time.Second)
	must.True(t, s.SetMember(Member{ID: "a", Group: "g"}))
	must.False(t, s.SetMember(Member{ID: "a", Group: "g"}))
	s.DropMember(time.Second, "a")
	s.DropMember(1500*time.Millisecond, "a") // told again: counted from the first time
	must.False(t, s.Expire(2*time.Second-1))
	must.Len(t, 1, s.Snapshot().ByGroup["g"])
	must.True(t, s.Expire(2*time.Second))
	must.SliceEmpty(t, s.Snapshot().ByGroup["g"])

	s.SetMember(Member{ID: "b", Group: "g"})
	s.KeepMembers(3*time.Second, map[string]bool{})
	must.True(t, s.SetMember(Member{ID: "b", Group: "g"}), must.Sprint("it is back"))
	must.False(t, s.Expire(time.Hour))
}
