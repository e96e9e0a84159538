package failover

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/group"
)

// harness drives a State with three members, step by step.
type harness struct {
	t   *testing.T
	s   *State
	now time.Duration
}

func newHarness(t *testing.T, cfg Config) *harness {
	return &harness{t: t, s: New(cfg, "me", []string{"a", "b", "c"}), now: time.Second}
}

func (h *harness) step(ev Event) []Action { return h.s.Step(h.now, ev) }

func (h *harness) advance(d time.Duration) { h.now += d }

// reply delivers an answer to a request that was sent at the current time.
func (h *harness) reply(member string, op Op, st group.Status) []Action {
	return h.step(Reply{Member: member, Op: op, Term: h.s.Term(), Sent: h.now, Status: st})
}

func primaryStatus(term, index uint64) group.Status {
	return group.Status{Term: term, Role: group.RolePrimary, Position: group.Position{Term: term, Index: index}, HeartbeatAge: -1}
}

func replicaStatus(term, index uint64) group.Status {
	return group.Status{Term: term, Role: group.RoleReplica, Linked: true, Position: group.Position{Term: term, Index: index}, HeartbeatAge: -1}
}

// startServing brings the state to Serving with primary a in term 2.
func (h *harness) startServing() {
	h.step(Claim{Reason: "test"})
	h.reply("a", OpStatus, primaryStatus(1, 10))
	h.reply("b", OpStatus, replicaStatus(1, 10))
	h.reply("c", OpStatus, replicaStatus(1, 9))
	for _, name := range []string{"a", "b", "c"} {
		h.reply(name, OpFence, group.Status{Term: 2, Role: group.RoleFenced, Position: group.Position{Term: 1, Index: 10}, HeartbeatAge: -1})
	}
	h.reply("a", OpPromote, primaryStatus(2, 10))
	must.Eq(h.t, Serving, h.s.Phase())
	must.Eq(h.t, "a", h.s.Primary())
}

// runHeartbeats lets d pass while the named members answer heartbeats.
func (h *harness) runHeartbeats(d time.Duration, names ...string) []Action {
	var all []Action
	for end := h.now + d; h.now < end; h.advance(50 * time.Millisecond) {
		all = append(all, h.step(Tick{})...)
		for _, name := range names {
			st := replicaStatus(h.s.Term(), 10)
			if name == h.s.Primary() {
				st = primaryStatus(h.s.Term(), 10)
			}
			if h.s.Phase() == Serving || h.s.Phase() == Draining {
				all = append(all, h.reply(name, OpHeartbeat, st)...)
			}
		}
	}
	return all
}

func sends(actions []Action, op Op) []string {
	var names []string
	for _, a := range actions {
		if s, ok := a.(Send); ok && s.Op == op {
			names = append(names, s.Member)
		}
	}
	return names
}

// A fence whose answer was lost or late must not hide the last lease holder: a
// repeated fence still waits for that lease to expire.
func TestRepeatedFenceStillWaitsForFormerLease(t *testing.T) {
	h := newHarness(t, DefaultConfig())
	h.step(Claim{Reason: "test"})
	for _, name := range []string{"a", "b", "c"} {
		st := replicaStatus(1, 10)
		st.Owner, st.OwnerAge, st.Holder, st.HeartbeatAge = "me", 0, "other", 650*time.Millisecond
		h.reply(name, OpStatus, st)
	}
	must.Eq(t, Fencing, h.s.Phase())
	fenced := group.Status{Term: 2, Role: group.RoleFenced, Owner: "me", Holder: "other", HeartbeatAge: 10 * time.Millisecond}
	h.reply("a", OpFence, fenced)
	h.reply("b", OpFence, fenced)
	h.step(Reply{Member: "c", Op: OpFence, Term: 2, Failure: FailConnection})
	must.Eq(t, Waiting, h.s.Phase())
	must.Greater(t, h.now+600*time.Millisecond, h.s.leasesExpireAt)
}

func TestClaimEndsWhenOwnerIsAlive(t *testing.T) {
	h := newHarness(t, DefaultConfig())
	h.step(Claim{Reason: "test"})
	st := replicaStatus(4, 10)
	st.Owner, st.OwnerAge = "other", 100*time.Millisecond
	h.reply("b", OpStatus, st)
	must.Eq(t, Standby, h.s.Phase())
}

func TestClaimWaitsForPrimaryStatus(t *testing.T) {
	h := newHarness(t, DefaultConfig())
	h.step(Claim{Reason: "test"})
	h.reply("b", OpStatus, replicaStatus(1, 9))
	h.reply("c", OpStatus, replicaStatus(1, 9))
	must.Eq(t, Observing, h.s.Phase(), must.Sprint("a majority without the primary is not yet enough"))
	h.reply("a", OpStatus, primaryStatus(1, 10))
	must.Eq(t, Fencing, h.s.Phase())
}

// A slow primary, unresponsive replicas or a partitioned instance must not cause a
// failover.
func TestPartialFailuresKeepPrimary(t *testing.T) {
	cases := map[string]func(h *harness){
		"a silent replica":       func(h *harness) { h.runHeartbeats(3*time.Second, "a", "b") },
		"both replicas silent":   func(h *harness) { h.runHeartbeats(3*time.Second, "a") },
		"an answer every second": func(h *harness) { slowPrimary(h, time.Second) },
		"one refused connection": func(h *harness) {
			h.step(Reply{Member: "a", Op: OpHeartbeat, Term: 2, Failure: FailConnection})
			h.runHeartbeats(time.Second, "a", "b", "c")
		},
		"an instance cut off from all": func(h *harness) { h.runHeartbeats(3 * time.Second) },
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, DefaultConfig())
			h.startServing()
			run(h)
			must.Eq(t, Serving, h.s.Phase())
			must.Eq(t, "a", h.s.Primary())
			must.Eq(t, uint64(2), h.s.Term())
		})
	}
}

func slowPrimary(h *harness, every time.Duration) {
	for range 10 {
		h.runHeartbeats(every, "b", "c")
		h.reply("a", OpHeartbeat, primaryStatus(2, 10))
	}
}

func TestFailedPrimaryIsReplaced(t *testing.T) {
	cases := map[string]func(h *harness) []Action{
		"silent": func(h *harness) []Action { return h.runHeartbeats(1500*time.Millisecond, "b", "c") },
		"refusing": func(h *harness) []Action {
			h.runHeartbeats(400*time.Millisecond, "a", "b", "c")
			h.step(Reply{Member: "a", Op: OpHeartbeat, Term: 2, Failure: FailConnection})
			h.step(Reply{Member: "a", Op: OpHeartbeat, Term: 2, Failure: FailConnection})
			return h.step(Tick{})
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, DefaultConfig())
			h.startServing()
			must.SliceContainsAll(t, sends(run(h), OpFence), []string{"a", "b", "c"})
			h.reply("b", OpFence, group.Status{Term: 3, Role: group.RoleFenced, Position: group.Position{Term: 2, Index: 11}})
			actions := h.reply("c", OpFence, group.Status{Term: 3, Role: group.RoleFenced, Position: group.Position{Term: 2, Index: 12}})
			must.Eq(t, []string{"c"}, sends(actions, OpPromote), must.Sprint("promotes the highest position without waiting for the failed member"))
			h.reply("c", OpPromote, primaryStatus(3, 12))
			must.Eq(t, "c", h.s.Primary())
			// The old primary returns and still reports the primary role in its old term.
			h.step(Reply{Member: "a", Op: OpHeartbeat, Term: 3, Sent: h.now, Failure: FailRefused})
			must.Eq(t, []string{"a"}, sends(h.reply("a", OpStatus, primaryStatus(2, 15)), OpFollow))
		})
	}
}

// After a pause of this process, missing answers do not count against the members.
func TestProcessPauseRestartsTimeouts(t *testing.T) {
	h := newHarness(t, DefaultConfig())
	h.startServing()
	h.runHeartbeats(time.Second, "a", "b", "c")
	h.advance(10 * time.Second)
	h.step(Tick{})
	must.Eq(t, Serving, h.s.Phase())
	must.Less(t, h.now, h.s.LeaseEnd(), must.Sprint("the lease expired during the pause"))
}

func TestFailoversAreDampedAndBounded(t *testing.T) {
	cfg := DefaultConfig()
	h := newHarness(t, cfg)
	h.startServing()
	must.Eq(t, cfg.MemberTimeout, h.s.primaryTimeout(h.now))
	h.s.primaryChanges = []time.Duration{h.now}
	must.Eq(t, 2*cfg.MemberTimeout, h.s.primaryTimeout(h.now))
	for range cfg.MaxPrimaryChanges {
		h.s.primaryChanges = append(h.s.primaryChanges, h.now)
	}
	must.Eq(t, cfg.MaxMemberTimeout, h.s.primaryTimeout(h.now))
	h.runHeartbeats(10*time.Second, "b", "c")
	must.Eq(t, Serving, h.s.Phase(), must.Sprint("the maximum number of failovers is reached"))
	must.Eq(t, cfg.MemberTimeout, h.s.primaryTimeout(h.now+cfg.DampingWindow))
}

// A primary without a link to any replica is replaced only if acknowledged writes
// are guaranteed to be on a replica.
func TestIsolatedPrimary(t *testing.T) {
	for _, replicaAck := range []bool{false, true} {
		cfg := DefaultConfig()
		cfg.ReplicaAck = replicaAck
		h := newHarness(t, cfg)
		h.startServing()
		var all []Action
		for range 60 {
			all = append(all, h.runHeartbeats(50*time.Millisecond, "a")...)
			for _, name := range []string{"b", "c"} {
				st := replicaStatus(h.s.Term(), 10)
				st.Linked = false
				if h.s.Phase() == Serving {
					all = append(all, h.reply(name, OpHeartbeat, st)...)
				}
			}
		}
		must.Eq(t, replicaAck, len(sends(all, OpFence)) > 0)
		must.Eq(t, replicaAck, h.s.excluded == "a")
	}
}

func TestLeavingPrimaryIsDrainedAndReplaced(t *testing.T) {
	h := newHarness(t, DefaultConfig())
	h.startServing()
	h.runHeartbeats(time.Second, "a", "b", "c")
	h.step(Leave{Members: []string{"a"}})
	must.Eq(t, Draining, h.s.Phase())
	h.runHeartbeats(300*time.Millisecond, "a", "b", "c")
	must.Eq(t, Draining, h.s.Phase(), must.Sprint("transactions are still open"))
	h.step(Drained{})
	h.runHeartbeats(50*time.Millisecond, "a", "b", "c")
	must.Eq(t, Fencing, h.s.Phase())
	for _, name := range []string{"a", "b", "c"} {
		h.reply(name, OpFence, group.Status{Term: 3, Role: group.RoleFenced, Position: group.Position{Term: 2, Index: 10}})
	}
	must.Eq(t, Promoting, h.s.Phase())
	must.NotEq(t, "a", h.s.primary)
}

func TestHigherTermEndsTheOwnership(t *testing.T) {
	h := newHarness(t, DefaultConfig())
	h.startServing()
	st := replicaStatus(7, 10)
	st.Owner = "other"
	actions := h.reply("b", OpStatus, st)
	must.Eq(t, Standby, h.s.Phase())
	must.Eq(t, time.Duration(0), h.s.LeaseEnd())
	found := false
	for _, a := range actions {
		if s, ok := a.(Suspend); ok && s.Terminal {
			found = true
		}
	}
	must.True(t, found)
}

// Of two concurrent claims, the one that finds a member already fenced by the
// other ends instead of raising the term again.
func TestRefusedFenceEndsTheClaim(t *testing.T) {
	h := newHarness(t, DefaultConfig())
	h.step(Claim{Reason: "test"})
	for _, name := range []string{"a", "b", "c"} {
		h.reply(name, OpStatus, replicaStatus(1, 10))
	}
	must.Eq(t, Fencing, h.s.Phase())
	h.step(Reply{Member: "a", Op: OpFence, Term: h.s.Term(), Failure: FailRefused})
	must.Eq(t, Standby, h.s.Phase())
}

// Only requests that members record as heartbeats may extend the lease, because
// a successor sees nothing else.
func TestOnlyHeartbeatsExtendTheLease(t *testing.T) {
	h := newHarness(t, DefaultConfig())
	h.startServing()
	must.Eq(t, 0, h.s.LeaseEnd(), must.Sprint("fences must not extend the lease"))
	for _, name := range []string{"b", "c"} {
		h.reply(name, OpHeartbeat, replicaStatus(2, 10))
	}
	end := h.s.LeaseEnd()
	must.Greater(t, h.now, end)
	h.advance(100 * time.Millisecond)
	for _, name := range []string{"b", "c"} {
		h.reply(name, OpFollow, replicaStatus(2, 10))
		h.reply(name, OpStatus, replicaStatus(2, 10))
	}
	must.Eq(t, end, h.s.LeaseEnd())
	for _, name := range []string{"b", "c"} {
		h.reply(name, OpHeartbeat, replicaStatus(2, 10))
	}
	must.Eq(t, end+100*time.Millisecond, h.s.LeaseEnd())
}

// An excluded member is skipped only if no acknowledged write can be lost, even
// one whose acknowledgement is too recent to be known here.
func TestExcludedPrimaryKeptIfAheadOfOthers(t *testing.T) {
	at := func(index uint64) *member {
		return &member{fenced: true, status: group.Status{Position: group.Position{Term: 1, Index: index}}}
	}
	cases := []struct {
		name       string
		replicaAck bool
		a, b, c    *member // a is excluded
		want       string
	}{
		{"others hold all", false, at(9), at(9), at(8), "b"},
		{"others lack some", false, at(9), at(8), at(7), "a"},
		{"others lack what no replica confirmed", true, at(9), at(8), at(7), "b"},
		{"a replica that may have confirmed is missing", true, at(9), at(8), &member{}, "a"},
		{"the avoided one is gone", false, &member{}, at(8), at(7), "b"},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			cfg := DefaultConfig()
			cfg.ReplicaAck = k.replicaAck
			s := New(cfg, "me", []string{"a", "b", "c"})
			s.members["a"], s.members["b"], s.members["c"] = k.a, k.b, k.c
			s.excluded, s.formerPrimary = "a", "a"
			must.Eq(t, k.want, s.successor())
		})
	}
}

// A status that was sent before the member was fenced but arrives afterwards must
// not overwrite the position that the fence returned.
func TestDelayedStatusKeepsFencedPosition(t *testing.T) {
	h := newHarness(t, DefaultConfig())
	h.startServing()
	h.runHeartbeats(time.Second, "a", "b", "c")
	asked := h.now
	h.runHeartbeats(1500*time.Millisecond, "b", "c")
	must.Eq(t, Fencing, h.s.Phase())
	h.reply("b", OpFence, group.Status{Term: 3, Role: group.RoleFenced, Position: group.Position{Term: 2, Index: 12}})
	h.step(Reply{Member: "b", Op: OpHeartbeat, Term: 2, Sent: asked, Status: replicaStatus(2, 10)})
	actions := h.reply("c", OpFence, group.Status{Term: 3, Role: group.RoleFenced, Position: group.Position{Term: 2, Index: 11}})
	must.Eq(t, []string{"b"}, sends(actions, OpPromote))
}
