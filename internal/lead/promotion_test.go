package lead

import (
	"context"
	"flag"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/standin/membergroup"
	"github.com/stackspindle/stackspindle/internal/standin/memstore"
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

// slowPromoter is a platform whose promotions take effect late.
type slowPromoter struct {
	*membergroup.Group
	next    func() promotionResult
	called  func()   // called before each request is handled
	pending []string // members whose promotion has not taken effect
	old     Record   // record when the last request was made
	record  func() Record
}

func (p *slowPromoter) Promote(ctx context.Context, name, id, instance string, token uint64) error {
	p.called()
	p.old = p.record()
	switch p.next() {
	case promotionDone:
		p.pending = nil
		return p.Group.Promote(ctx, name, id, instance, token)
	case promotionPending:
		p.pending = append(p.pending, id)
		return nil
	case promotionLate:
		p.pending = append(p.pending, id)
		return context.DeadlineExceeded
	case promotionLost:
		return context.DeadlineExceeded
	}
	return member.ErrPromotionRefused
}

// takeEffect carries out the pending promotions.
func (p *slowPromoter) takeEffect(ctx context.Context) {
	for _, id := range p.pending {
		_ = p.Group.Promote(ctx, "g", id, "", 0) // a member that is down is not promoted
	}
	p.pending = nil
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
	clockStep atomic.Int64 // by which each reading advances the clock, in nanoseconds
	ended     bool         // a leader that ends gives up its registration
}

func newFleetOfLeaders(t *testing.T) *fleetOfLeaders {
	store := memstore.New()
	f := &fleetOfLeaders{t: t, store: store, ended: true}
	f.clockStep.Store(int64(time.Second))
	var clock atomic.Int64
	clock.Store(int64(time.Minute))
	for _, name := range []string{"a", "b"} {
		c, env := newControllerFor(t, name, store.Client(), topology.Group{Name: "g"}, "m1", "m2", "m3")
		if f.promoter == nil {
			f.promoter = &slowPromoter{Group: c.dialer.(*membergroup.Group), next: func() promotionResult { return promotionDone }, called: func() {}}
		}
		c.dialer, c.promoter = f.promoter.Group, f.promoter
		c.now = func() time.Duration {
			return time.Duration(clock.Add(f.clockStep.Load()))
		}
		c.server.now = c.now
		f.leaders, f.envs, f.states = append(f.leaders, c), append(f.envs, env), append(f.states, &ledGroup{})
	}
	f.promoter.record = f.record
	f.takeOver(0)
	f.tick(t.Context())
	return f
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

// returnedToOldPrimary reports whether the record names the primary that a pending promotion
// replaces.
func (f *fleetOfLeaders) returnedToOldPrimary() bool {
	record, old := f.record(), f.promoter.old
	return len(f.promoter.pending) > 0 && record.Change == nil && record.Primary == old.Primary && record.Term == old.Term
}

// Guards against the return to an old primary whose successor is being promoted: the leader
// stops after it has requested the promotion, and the old primary is back before that takes effect.
func TestNextLeaderDoesNotReturnToOldPrimary(t *testing.T) {
	for name, ended := range map[string]bool{"its registration is gone": true, "it may still hold a grant": false} {
		t.Run(name, func(t *testing.T) {
			f := newFleetOfLeaders(t)
			ctx, stop := context.WithCancel(t.Context())
			f.promoter.next = func() promotionResult { return promotionPending }
			f.promoter.called = stop
			f.promoter.SetReachability("m1", membergroup.Down)
			f.beginChange(ctx)
			must.Len(t, 1, f.promoter.pending)
			successor := f.promoter.pending[0]
			f.promoter.SetReachability("m1", membergroup.Reachable)

			f.ended = ended
			f.takeOver(1)
			f.clockStep.Store(int64(100 * time.Millisecond)) // slow enough that the old primary is asked while its grants end
			f.envs[1].view.missingSince["a"] = f.leaders[1].now()
			f.promoter.called = func() {}
			f.promoter.next = func() promotionResult { return promotionDone }
			f.tick(t.Context())
			must.Eq(t, successor, f.record().Primary)
			must.Nil(t, f.record().Change)
		})
	}
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

// TestNoReturnToOldPrimaryWhilePromotionIsPending draws orders of leaders that stop, promotions that
// are late, lost or refused, and members that crash and return. While a promotion may take effect,
// the record never names another primary.
func TestNoReturnToOldPrimaryWhilePromotionIsPending(t *testing.T) {
	checks := flag.Lookup("rapid.checks")
	before := checks.Value.String()
	must.NoError(t, checks.Value.Set("150")) // each draws whole changes of primary, which take time
	defer func() { must.NoError(t, checks.Value.Set(before)) }()
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleetOfLeaders(t)
		results := []promotionResult{promotionDone, promotionPending, promotionLate, promotionLost, promotionRefused}
		f.promoter.next = func() promotionResult { return rapid.SampledFrom(results).Draw(rt, "promotion") }
		f.promoter.SetReachability("m1", membergroup.Down)
		steps := append([]string{"change"}, rapid.SliceOfN(rapid.SampledFrom([]string{"crash", "return", "tick", "take over", "take effect"}), 2, 7).Draw(rt, "steps")...)
		for _, step := range steps {
			ctx, stop := context.WithCancel(t.Context())
			f.promoter.called = func() {
				if rapid.Bool().Draw(rt, "the leader stops") {
					stop()
				}
			}
			switch step {
			case "crash":
				f.promoter.SetReachability("m1", membergroup.Down)
			case "return":
				f.promoter.SetReachability("m1", membergroup.Reachable)
			case "change":
				f.beginChange(ctx)
			case "tick":
				f.tick(ctx)
			case "take over":
				f.takeOver(1 - f.leader)
			case "take effect":
				f.promoter.takeEffect(ctx)
			}
			stop()
			if f.returnedToOldPrimary() {
				rt.Fatalf("%s is the primary again while the promotion of %v may take effect", f.record().Primary, f.promoter.pending)
			}
		}
	})
}
