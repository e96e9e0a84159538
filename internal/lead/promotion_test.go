package lead

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/stackspindle/stackspindle/internal/account"
	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/standin/membergroup"
	"github.com/stackspindle/stackspindle/internal/standin/memstore"
	"github.com/stackspindle/stackspindle/internal/statement"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// promotionResult is what becomes of a promotion request.
type promotionResult string

const (
	promotionDone    promotionResult = "done"
	promotionPending promotionResult = "pending" // accepted; it takes effect later
	promotionLate    promotionResult = "late"    // no answer; it takes effect later
	promotionLost    promotionResult = "lost"    // no answer, and no effect
	promotionRefused promotionResult = "refused"
)

// slowPromoter is a platform whose promotions take effect late, but within promotionTimeout.
type slowPromoter struct {
	*membergroup.Group
	next   func() promotionResult
	called func() // called before each request is handled
	now    func() time.Duration

	mu       sync.Mutex // guards all below
	pending  []pendingPromotion
	requests []string // members whose promotion was requested
}

// pendingPromotion is a promotion that has not taken effect.
type pendingPromotion struct {
	member string
	due    time.Duration
}

func (p *slowPromoter) Promote(ctx context.Context, name, id, instance string, token uint64) error {
	p.called()
	result, due := p.next(), p.now()+promotionTimeout
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, id)
	switch result {
	case promotionDone:
		return p.Group.Promote(ctx, name, id, instance, token)
	case promotionPending:
		p.pending = append(p.pending, pendingPromotion{id, due})
		return nil
	case promotionLate:
		p.pending = append(p.pending, pendingPromotion{id, due})
		return context.DeadlineExceeded
	case promotionLost:
		return context.DeadlineExceeded
	}
	return member.ErrPromotionRefused
}

// takeEffect carries out the pending promotions that are due at a time.
func (p *slowPromoter) takeEffect(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.pending) > 0 && p.pending[0].due <= now {
		_ = p.Group.Promote(context.Background(), "g", p.pending[0].member, "", 0) // a member that is down is not promoted
		p.pending = p.pending[1:]
	}
}

// pendingMembers returns the members whose promotion has not taken effect.
func (p *slowPromoter) pendingMembers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var members []string
	for _, pending := range p.pending {
		members = append(members, pending.member)
	}
	return members
}

// fleetOfLeaders is two instances that may lead a group, on one clock that advances with each
// reading.
type fleetOfLeaders struct {
	t         *testing.T
	store     *memstore.Store
	promoter  *slowPromoter
	leaders   []*Controller
	envs      []*fakeEnvironment
	states    []*ledGroup
	leader    int          // index of the present leader
	clock     atomic.Int64 // in nanoseconds
	clockStep atomic.Int64 // by which each reading advances the clock, in nanoseconds
	ended     bool         // a leader that ends gives up its registration
	writes    int          // number of writes committed at members
}

func newFleetOfLeaders(t *testing.T) *fleetOfLeaders {
	store := memstore.New()
	f := &fleetOfLeaders{t: t, store: store, ended: true}
	f.clockStep.Store(int64(time.Second))
	f.clock.Store(int64(time.Minute))
	for _, name := range []string{"a", "b"} {
		c, env := newControllerFor(t, name, store.Client(), topology.Group{Name: "g"}, "m1", "m2", "m3")
		if f.promoter == nil {
			f.promoter = &slowPromoter{Group: c.dialer.(*membergroup.Group), next: func() promotionResult { return promotionDone }, called: func() {}, now: f.now}
		}
		c.dialer, c.promoter = f.promoter.Group, f.promoter
		c.now, c.server.now = f.now, f.now
		f.leaders, f.envs, f.states = append(f.leaders, c), append(f.envs, env), append(f.states, &ledGroup{})
	}
	f.takeOver(0)
	f.tick(t.Context())
	return f
}

// slow makes the clock so slow that a promotion is still pending when a leader gives up.
func (f *fleetOfLeaders) slow() { f.clockStep.Store(int64(20 * time.Millisecond)) }

// now advances the clock and returns its time.
func (f *fleetOfLeaders) now() time.Duration {
	now := time.Duration(f.clock.Add(f.clockStep.Load()))
	f.promoter.takeEffect(now)
	return now
}

// advance lets time pass.
func (f *fleetOfLeaders) advance(d time.Duration) {
	f.promoter.takeEffect(time.Duration(f.clock.Add(int64(d))))
}

// takeOver ends the leader and makes an instance the leader.
func (f *fleetOfLeaders) takeOver(n int) {
	f.store.EndLease(f.envs[f.leader].lease)
	if f.ended {
		f.store.Delete(PrefixInstances + f.leaders[1-n].self.Name)
	}
	lease, err := f.store.Client().Grant(f.t.Context(), time.Second)
	must.NoError(f.t, err)
	f.leader, f.envs[n].lease, f.states[n] = n, lease.ID, &ledGroup{}
	f.refresh()
	_, err = f.store.Client().Commit(f.t.Context(), f.envs[n].view.RegistrationTxn(f.leaders[n].self, lease.ID))
	must.NoError(f.t, err)
	f.refresh()
	f.leaders[n].takeOver(f.t.Context(), "g", f.states[n])
	f.refresh()
}

func (f *fleetOfLeaders) refresh() {
	for _, env := range f.envs {
		env.refresh(f.t, f.store.Client())
	}
}

// tick runs the task of the leader once.
func (f *fleetOfLeaders) tick(ctx context.Context) {
	f.leaders[f.leader].watchPrimary(ctx, "g", f.states[f.leader])
	f.refresh()
}

// record returns the record in the store.
func (f *fleetOfLeaders) record() Record {
	record, _ := f.envs[f.leader].view.Record("g")
	return record
}

// beginChange lets the leader replace the primary until ctx ends.
func (f *fleetOfLeaders) beginChange(ctx context.Context) {
	f.leaders[f.leader].startChange(ctx, "g", f.states[f.leader], "the primary refuses connections", false)
	f.refresh()
}

// returnAs lets a member that is down return under a new ID. The entry of the old ID has vanished
// or still exists.
func (f *fleetOfLeaders) returnAs(id, newID string, entryVanished bool) {
	f.promoter.ReturnAs(id, newID)
	for _, env := range f.envs {
		state := topology.New(0, 0)
		state.SetConfig(env.topology.Config)
		for _, m := range env.topology.MembersOf("g") {
			if m.ID != id || !entryVanished {
				state.SetMember(0, m, false)
			}
		}
		state.SetMember(0, f.promoter.Entry(newID), false)
		env.topology = state.Snapshot()
	}
}

// write commits a write at a member.
func (f *fleetOfLeaders) write(id string) {
	conn, err := f.promoter.Dial(f.t.Context(), topology.Member{ID: id}, account.Anonymous)
	must.NoError(f.t, err)
	defer conn.Close()
	f.writes++
	answer, err := conn.Run(member.Request{Statement: statement.Statement{ID: fmt.Sprint(f.writes), Kind: statement.Write}, Deadline: time.Now().Add(time.Hour)})
	must.NoError(f.t, err)
	must.Nil(f.t, answer.Err)
}

// setReachability changes whether the members can be reached whose IDs are not excepted.
func (f *fleetOfLeaders) setReachability(r membergroup.Reachability, except string) {
	for _, m := range f.envs[0].topology.MembersOf("g") {
		if m.ID != except && f.promoter.Has(m.ID) {
			f.promoter.SetReachability(m.ID, r)
		}
	}
}

// conflict returns why the primary of the record is not the one that the platform's requests lead
// to, empty if it is or if the record names none.
func (f *fleetOfLeaders) conflict() string {
	record := f.record()
	if record.Change != nil {
		return ""
	}
	for _, id := range f.promoter.pendingMembers() {
		if id != record.Primary {
			return fmt.Sprintf("%s is the primary while the promotion of %s may take effect", record.Primary, id)
		}
	}
	if term := f.promoter.Term(); term != record.Term {
		return fmt.Sprintf("%s is the primary of term %d in the record, and the platform's term is %d", record.Primary, record.Term, term)
	}
	return ""
}

// Guards against the return to an old primary whose successor is being promoted: the leader
// stops after it has requested the promotion, and the old primary is back before that takes effect.
func TestNextLeaderDoesNotReturnToOldPrimary(t *testing.T) {
	for name, ended := range map[string]bool{"its registration is gone": true, "it may still hold a grant": false} {
		t.Run(name, func(t *testing.T) {
			f := newFleetOfLeaders(t)
			f.slow()
			ctx, stop := context.WithCancel(t.Context())
			f.promoter.next = func() promotionResult { return promotionPending }
			f.promoter.called = stop
			f.promoter.SetReachability("m1", membergroup.Down)
			f.beginChange(ctx)
			must.Len(t, 1, f.promoter.pendingMembers())
			successor := f.promoter.pendingMembers()[0]
			f.promoter.SetReachability("m1", membergroup.Reachable)

			f.ended = ended
			f.takeOver(1)
			f.envs[1].view.missingSince["a"] = f.leaders[1].now()
			f.promoter.called = func() {}
			f.promoter.next = func() promotionResult { return promotionDone }
			f.tick(t.Context())
			must.Eq(t, successor, f.record().Primary)
			must.Nil(t, f.record().Change)
		})
	}
}

// Guards against the return to an old primary that has restarted under a new ID while the promotion
// of its successor is pending and the other members are down.
func TestNextLeaderDoesNotReturnToOldPrimaryUnderNewID(t *testing.T) {
	for name, entryVanished := range map[string]bool{"its old entry is gone": true, "its old entry still exists": false} {
		t.Run(name, func(t *testing.T) {
			f := newFleetOfLeaders(t)
			f.slow()
			ctx, stop := context.WithCancel(t.Context())
			f.promoter.next = func() promotionResult { return promotionPending }
			f.promoter.called = stop
			f.promoter.SetReachability("m1", membergroup.Down)
			f.beginChange(ctx)
			must.Len(t, 1, f.promoter.pendingMembers())
			old := f.record()
			f.setReachability(membergroup.Down, "m1")
			f.returnAs("m1", "m1-restarted", entryVanished)

			f.takeOver(1)
			f.promoter.called = func() {}
			f.promoter.next = func() promotionResult { return promotionDone }
			f.tick(t.Context())
			must.NotNil(t, f.record().Change, must.Sprintf("the group has its primary: %s", f.record().Primary))
			f.setReachability(membergroup.Reachable, "m1-restarted")
			f.tick(t.Context())
			must.Nil(t, f.record().Change)
			must.Greater(t, old.Term, f.record().Term)
		})
	}
}

// A leader returns to an old primary that has restarted under a new ID if no promotion was
// requested. The term is the same one, and so is its start.
func TestLeaderReturnsToOldPrimaryUnderNewID(t *testing.T) {
	for name, entryVanished := range map[string]bool{"its old entry is gone": true, "its old entry still exists": false} {
		t.Run(name, func(t *testing.T) {
			f := newFleetOfLeaders(t)
			record, revision := f.envs[0].guard.Record()
			record.Change, record.TermStart = &Change{ID: "x"}, group.Position{Term: 1, Index: 7}
			_, err := f.leaders[0].write(t.Context(), "g", f.states[0], record, revision)
			must.NoError(t, err)
			f.promoter.SetReachability("m1", membergroup.Down)
			f.returnAs("m1", "m1-restarted", entryVanished)
			f.refresh()
			f.tick(t.Context())
			must.Nil(t, f.record().Change)
			must.Eq(t, "m1-restarted", f.record().Primary)
			must.Eq(t, record.Term, f.record().Term)
			must.Eq(t, record.TermStart, f.record().TermStart)
			must.SliceEmpty(t, f.promoter.Promotions())
		})
	}
}

// An old primary that has restarted under a new ID stays the primary also while an instance that
// cannot be reached may still hold a grant for it.
func TestPrimaryUnderNewIDStaysWhileGrantsEnd(t *testing.T) {
	f := newFleetOfLeaders(t)
	registerUnreachable(t, f.store, f.envs[0], Instance{Name: "x", Incarnation: "1", Address: "127.0.0.1:1"})
	record, revision := f.envs[0].guard.Record()
	record.Change = &Change{ID: "x"}
	_, err := f.leaders[0].write(t.Context(), "g", f.states[0], record, revision)
	must.NoError(t, err)
	f.promoter.SetReachability("m1", membergroup.Down)
	f.returnAs("m1", "m1-restarted", true)
	f.clockStep.Store(int64(time.Millisecond)) // slow enough that the grant does not lapse
	f.refresh()
	f.envs[0].view.missingSince["x"] = f.leaders[0].now()
	f.tick(t.Context())
	must.Nil(t, f.record().Change)
	must.Eq(t, "m1-restarted", f.record().Primary)
	must.Eq(t, record.Term, f.record().Term)
}

// Guards against a planned change that loses the last commits because the primary has restarted
// under a new ID: the restarted primary is told to step down, and its successor has its whole log.
func TestPlannedChangeOfPrimaryUnderNewID(t *testing.T) {
	for name, entryVanished := range map[string]bool{"its old entry is gone": true, "its old entry still exists": false} {
		t.Run(name, func(t *testing.T) {
			f := newFleetOfLeaders(t)
			record, revision := f.envs[0].guard.Record()
			record.Change = &Change{ID: "x", Planned: true}
			_, err := f.leaders[0].write(t.Context(), "g", f.states[0], record, revision)
			must.NoError(t, err)
			f.promoter.SetReachability("m1", membergroup.Down)
			f.returnAs("m1", "m1-restarted", entryVanished)
			f.promoter.SetLagging("m3", true)
			f.write("m1-restarted")
			f.refresh()
			f.promoter.called = func() { must.False(t, f.promoter.Entry("m1-restarted").Primary) }
			f.tick(t.Context())
			must.Nil(t, f.record().Change)
			must.Greater(t, record.Term, f.record().Term)
			for id, commit := range f.promoter.Commits() {
				must.False(t, commit.Dropped, must.Sprint(id))
			}
		})
	}
}

// beginAndStop lets the leader request the promotion of a member, which ends as given, and stop.
func (f *fleetOfLeaders) beginAndStop(result promotionResult) (requested string) {
	ctx, stop := context.WithCancel(f.t.Context())
	f.promoter.next = func() promotionResult { return result }
	f.promoter.called = stop
	f.promoter.SetReachability("m1", membergroup.Down)
	f.beginChange(ctx)
	must.Len(f.t, 1, f.promoter.requests)
	f.promoter.called = func() {}
	f.promoter.next = func() promotionResult { return promotionDone }
	return f.promoter.requests[0]
}

// Guards against a withdrawal that forgets an earlier request: a repeated request that is refused
// does not show that the one before it has no effect.
func TestRefusedRepeatKeepsEarlierRequest(t *testing.T) {
	f := newFleetOfLeaders(t)
	f.slow()
	requested := f.beginAndStop(promotionPending)
	f.promoter.SetReachability("m1", membergroup.Reachable)
	f.takeOver(1)
	f.promoter.next = func() promotionResult { return promotionRefused }
	f.tick(t.Context())
	must.Eq(t, []string{requested, requested}, f.promoter.requests)
	must.NotNil(t, f.record().Change)
	must.Eq(t, requested, f.record().Change.Promoting)
	f.tick(t.Context())
	must.Eq(t, "", f.conflict())
}

// Guards against two promotions that take effect one after the other: while one that an earlier
// leader has requested may take effect, no other member's is requested.
func TestNextLeaderAwaitsPromotionOfAnotherMember(t *testing.T) {
	f := newFleetOfLeaders(t)
	f.slow()
	requested := f.beginAndStop(promotionLost)
	f.promoter.SetReachability(requested, membergroup.Down)
	f.takeOver(1)
	f.tick(t.Context())
	must.Eq(t, []string{requested}, f.promoter.requests)
	f.advance(inheritedPromotionTimeout)
	f.tick(t.Context())
	must.Len(t, 2, f.promoter.requests)
	must.Nil(t, f.record().Change)
	must.Eq(t, f.promoter.requests[1], f.record().Primary)
}

// Guards against the same if this leader itself has requested the first promotion.
func TestLeaderAwaitsItsOwnPromotionOfAnotherMember(t *testing.T) {
	f := newFleetOfLeaders(t)
	f.slow()
	requested := f.beginAndStop(promotionLost)
	f.promoter.SetReachability(requested, membergroup.Down)
	f.tick(t.Context())
	must.Eq(t, []string{requested}, f.promoter.requests)
	f.advance(promotionTimeout)
	f.tick(t.Context())
	must.Len(t, 2, f.promoter.requests)
}

// Guards against a group without a primary although the old one is healthy: if no other member can
// be promoted, the old primary is, once the promotion that was requested cannot take effect any more.
func TestOldPrimaryLeadsAgainIfNoOtherMemberCan(t *testing.T) {
	for name, c := range map[string]struct {
		result  promotionResult
		newTerm bool
	}{
		"the promotion was lost":                          {promotionLost, false},
		"the successor has led unseen and crashed":        {promotionDone, true},
		"the successor leads later, and crashes after it": {promotionPending, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleetOfLeaders(t)
			f.slow()
			before := f.record()
			requested := f.beginAndStop(c.result)
			f.promoter.SetReachability("m1", membergroup.Reachable)
			f.setReachability(membergroup.Down, "m1")
			if c.result == promotionPending {
				f.promoter.SetReachability(requested, membergroup.Reachable)
				f.advance(promotionTimeout)
				f.promoter.SetReachability(requested, membergroup.Down)
			}
			f.takeOver(1)
			f.tick(t.Context())
			must.NotNil(t, f.record().Change, must.Sprint("the promotion may still take effect"))
			f.advance(inheritedPromotionTimeout)
			f.clockStep.Store(int64(100 * time.Millisecond))
			f.tick(t.Context())
			must.Nil(t, f.record().Change)
			must.Eq(t, "m1", f.record().Primary)
			must.Eq(t, c.newTerm, f.record().Term > before.Term)
			must.Eq(t, "", f.conflict())
			must.Eq(t, []string{requested, "m1"}, f.promoter.requests)
		})
	}
}

// An old primary that is asked for again counts as the platform's primary only if the platform has
// answered: without an answer its successor may still be.
func TestOldPrimaryDoesNotLeadAgainWithoutAnswer(t *testing.T) {
	f := newFleetOfLeaders(t)
	f.slow()
	f.beginAndStop(promotionLost)
	f.promoter.SetReachability("m1", membergroup.Reachable)
	f.setReachability(membergroup.Down, "m1")
	f.takeOver(1)
	f.tick(t.Context())
	f.advance(inheritedPromotionTimeout)
	f.clockStep.Store(int64(100 * time.Millisecond))
	f.promoter.next = func() promotionResult { return promotionLost }
	f.tick(t.Context())
	must.Len(t, 2, f.promoter.requests)
	must.NotNil(t, f.record().Change)
}

// A leader that finds the requested promotion done, after clients have written in the new term,
// stores the position at which that term began, and not the present end of the log.
func TestNextLeaderStoresStartOfTerm(t *testing.T) {
	f := newFleetOfLeaders(t)
	f.slow()
	f.write("m1")
	requested := f.beginAndStop(promotionDone)
	f.write(requested)
	f.takeOver(1)
	f.tick(t.Context())
	must.Eq(t, requested, f.record().Primary)
	must.Eq(t, group.Position{Term: 1, Index: 1}, f.record().TermStart)
}

// The start of a term is unknown if a leader did not request its promotion in this change.
func TestTermStartOfUnexpectedPrimaryIsUnknown(t *testing.T) {
	f := newFleetOfLeaders(t)
	f.slow()
	requested := f.beginAndStop(promotionLost)
	other := map[string]string{"m2": "m3", "m3": "m2"}[requested]
	must.NoError(t, f.promoter.Group.Promote(t.Context(), "g", other, "", 0))
	f.write(other)
	f.takeOver(1)
	f.tick(t.Context())
	must.Eq(t, other, f.record().Primary)
	must.True(t, f.record().TermStart.IsZero())
}

// A new leader returns to an old primary that answers again if no promotion was requested.
func TestNextLeaderReturnsToOldPrimaryBeforePromotion(t *testing.T) {
	for name, result := range map[string]promotionResult{"none was requested": "", "it was refused": promotionRefused} {
		t.Run(name, func(t *testing.T) {
			f := newFleetOfLeaders(t)
			ctx, stop := context.WithCancel(t.Context())
			f.promoter.next = func() promotionResult { return result }
			f.promoter.SetReachability("m1", membergroup.Down)
			if result == "" {
				stop()
				record, revision := f.envs[0].guard.Record()
				record.Change = &Change{ID: "x"}
				_, err := f.leaders[0].write(t.Context(), "g", f.states[0], record, revision)
				must.NoError(t, err)
			} else {
				f.beginChange(ctx)
				stop()
			}
			f.refresh()
			must.NotNil(t, f.record().Change)
			f.promoter.SetReachability("m1", membergroup.Reachable)
			f.takeOver(1)
			f.tick(t.Context())
			must.Eq(t, "m1", f.record().Primary)
			must.Nil(t, f.record().Change)
		})
	}
}

// maxAttempt is the real time after which an attempt ends whose promotion takes effect later.
const maxAttempt = 30 * time.Millisecond

// TestNoReturnToOldPrimaryWhilePromotionIsPending draws orders of leaders that stop, promotions that
// are late, lost or refused, and members that crash and return, the old primary also under a new ID.
// While a promotion may take effect, the record never names another primary. Otherwise, the term of
// a recorded primary is the platform's.
func TestNoReturnToOldPrimaryWhilePromotionIsPending(t *testing.T) {
	checks := flag.Lookup("rapid.checks")
	before := checks.Value.String()
	must.NoError(t, checks.Value.Set("300")) // each draws whole changes of primary, which take time
	defer func() { must.NoError(t, checks.Value.Set(before)) }()
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleetOfLeaders(t)
		results := []promotionResult{promotionDone, promotionPending, promotionLate, promotionLost, promotionRefused}
		f.promoter.next = func() promotionResult { return rapid.SampledFrom(results).Draw(rt, "promotion") }
		old := "m1"
		f.promoter.SetReachability(old, membergroup.Down)
		outlasts := rapid.Bool().Draw(rt, "promotions outlast the attempts")
		if outlasts {
			f.clockStep.Store(int64(50 * time.Millisecond))
		}
		kinds := []string{"crash", "return", "return under a new ID", "others crash", "successor crashes", "others return", "tick", "take over", "take effect"}
		steps := append([]string{"change"}, rapid.SliceOfN(rapid.SampledFrom(kinds), 2, 8).Draw(rt, "steps")...)
		for _, step := range steps {
			ctx, stop := context.WithCancel(t.Context())
			f.promoter.called = func() {
				if rapid.Bool().Draw(rt, "the leader stops") {
					stop()
				} else if outlasts {
					time.AfterFunc(maxAttempt, stop) // the attempt ends before the promotion is due
				}
			}
			switch step {
			case "crash":
				f.promoter.SetReachability(old, membergroup.Down)
			case "return":
				f.promoter.SetReachability(old, membergroup.Reachable)
			case "return under a new ID":
				f.promoter.SetReachability(old, membergroup.Down)
				f.returnAs(old, old+"'", rapid.Bool().Draw(rt, "the old entry has vanished"))
				old += "'"
			case "others crash":
				f.setReachability(membergroup.Down, old)
			case "successor crashes":
				if requests := f.promoter.requests; len(requests) > 0 && requests[len(requests)-1] != old {
					f.promoter.SetReachability(requests[len(requests)-1], membergroup.Down)
				}
			case "others return":
				f.setReachability(membergroup.Reachable, old)
			case "change":
				f.beginChange(ctx)
			case "tick":
				f.tick(ctx)
			case "take over":
				f.takeOver(1 - f.leader)
			case "take effect":
				f.advance(promotionTimeout)
			}
			stop()
			if conflict := f.conflict(); conflict != "" {
				rt.Fatal(conflict)
			}
		}
	})
}
