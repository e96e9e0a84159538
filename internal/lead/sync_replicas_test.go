package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/account"
	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/standin/membergroup"
	"github.com/stackspindle/stackspindle/internal/standin/memstore"
	"github.com/stackspindle/stackspindle/internal/statement"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// syncGroup is a group with synchronous replication whose members are m1, the primary, m2 and
// m3, and a controller that leads it.
type syncGroup struct {
	*membergroup.Group
	t          *testing.T
	controller *Controller
	env        *fakeEnvironment
	state      *ledGroup
	topology   *topology.State
	writes     int
}

func newSyncGroup(t *testing.T) *syncGroup {
	store := memstore.New()
	declared := topology.Group{Name: "g", SyncReplicas: 1}
	controller, env := newControllerFor(t, "a", store.Client(), declared, "m1", "m2", "m3")
	started := time.Now()
	controller.now = func() time.Duration { return time.Minute + time.Since(started) }
	s := &syncGroup{Group: controller.dialer.(*membergroup.Group), t: t, controller: controller, env: env, topology: topology.New(0, 0)}
	s.topology.SetConfig(topology.Config{Version: 1, Groups: []topology.Group{declared}})
	for _, id := range []string{"m1", "m2", "m3"} {
		s.setMember(id, false)
	}
	s.state = newLeader(t, controller, env, store)
	return s
}

func (s *syncGroup) setMember(id string, draining bool) {
	m := s.Entry(id)
	m.Draining = draining
	s.topology.SetMember(s.controller.now(), m, false)
	s.env.topology = s.topology.Snapshot()
}

// write commits a write at a member.
func (s *syncGroup) write(id string) {
	s.t.Helper()
	m, _ := s.env.topology.Member(id)
	conn, err := s.Dial(s.t.Context(), m, account.Anonymous)
	must.NoError(s.t, err)
	defer conn.Close()
	s.writes++
	answer, err := conn.Run(member.Request{
		Statement: statement.Statement{ID: fmt.Sprint("w", s.writes), Kind: statement.Write, Text: "k"}, Deadline: time.Now().Add(time.Minute),
	})
	must.NoError(s.t, err)
	must.Nil(s.t, answer.Err)
}

// mustKeepAll fails the test if the promoted member lacks a commit.
func (s *syncGroup) mustKeepAll() {
	s.t.Helper()
	for id, commit := range s.Commits() {
		must.False(s.t, commit.Dropped, must.Sprintf("%s was acknowledged and is lost", id))
	}
}

// Guards against the loss of acknowledged commits when the only replica that received them
// drains: it must be promoted, and replaced once another one has its log.
func TestDrainingReplicaWithAllCommitsIsPromoted(t *testing.T) {
	s := newSyncGroup(t)
	s.write("m1")
	s.setMember("m2", true)
	s.SetLagging("m3", true)
	s.write("m1")
	s.SetReachability("m1", membergroup.Down)
	s.controller.startChange(t.Context(), "g", s.state, "the primary refuses connections", false)
	record, _ := s.env.guard.Record()
	must.Eq(t, "m2", record.Primary)
	s.mustKeepAll()

	s.setMember("m2", true)
	s.controller.watchPrimary(t.Context(), "g", s.state)
	record, _ = s.env.guard.Record()
	must.Eq(t, "m2", record.Primary, must.Sprint("no other member has its log"))
	must.Eq(t, "m2", s.Primary(), must.Sprint("it was told to step down without a successor"))

	s.SetLagging("m3", false)
	s.state.plannedCheckedAt = 0
	s.controller.watchPrimary(t.Context(), "g", s.state)
	record, _ = s.env.guard.Record()
	must.Eq(t, "m3", record.Primary)
	s.mustKeepAll()
}

// Guards against the loss of acknowledged commits when the entry of the dead primary has
// vanished: it must not be subtracted from the replicas that may hold them.
func TestReplicasAreCountedWithoutPrimaryEntry(t *testing.T) {
	s := newSyncGroup(t)
	s.SetLagging("m3", true)
	s.write("m1")
	s.SetReachability("m1", membergroup.Down)
	s.SetReachability("m2", membergroup.Down)
	s.topology.MarkMissing(s.controller.now(), "m1")
	must.True(t, s.topology.Expire(s.controller.now()))
	s.env.topology = s.topology.Snapshot()
	s.controller.startChange(t.Context(), "g", s.state, "the primary's entry is gone", false)
	must.SliceEmpty(t, s.Promotions(), must.Sprint("m2 does not answer, and may hold acknowledged commits"))
}

// Guards against a group without a primary for good: a term whose start was stored by a later
// leader must not demand entries that only its primary, which is gone, had.
func TestReplicasCoverTermWhosePrimaryIsGone(t *testing.T) {
	s := newSyncGroup(t)
	s.write("m1")
	record, revision := s.env.guard.Record()
	record.Change = &Change{ID: "x", Promoting: "m2", PromotingFrom: group.Position{Term: 1, Index: 1}}
	_, err := s.controller.write(t.Context(), "g", s.state, record, revision)
	must.NoError(t, err)
	must.NoError(t, s.Promote(t.Context(), "g", "m2", "", 1))
	s.SetLagging("m1", true)
	s.SetLagging("m3", true)
	s.write("m2") // no replica receives it
	s.controller.watchPrimary(t.Context(), "g", s.state)
	record, _ = s.env.guard.Record()
	must.Eq(t, "m2", record.Primary)
	s.SetReachability("m2", membergroup.Down)
	s.controller.startChange(t.Context(), "g", s.state, "the primary refuses connections", false)
	record, _ = s.env.guard.Record()
	must.Nil(t, record.Change)
	must.NotEq(t, "m2", record.Primary)
}
