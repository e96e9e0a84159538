package soak

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/stackspindle/stackspindle/internal/standin/membergroup"
)

// followUpPart is the part of the run whose random numbers choose follow-ups.
const followUpPart = 500

// Bounds of follow-ups, which are faults that are timed by what is seen from outside.
const (
	maxFollowUpDelay    = time.Second
	maxFollowUpDuration = 1500 * time.Millisecond
	maxFollowUps        = 4 // running at the same time
)

// followUps injects faults shortly after something has happened to a group: a promotion call has come
// in, a member drains or has crashed, or an instance is being stopped.
type followUps struct {
	wg sync.WaitGroup

	mu      sync.Mutex // guards all below
	kinds   []followUp // to choose from
	rnd     *rand.Rand // nil: no follow-ups are injected yet
	until   time.Time
	running int
}

// enable lets follow-ups of some kinds begin until a time.
func (f *followUps) enable(kinds []followUp, rnd *rand.Rand, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kinds, f.rnd, f.until = kinds, rnd, until
}

// followUp is a kind of follow-up.
type followUp struct {
	name    string
	planned bool
	inject  func(r *run, g *databaseGroup, pick int, duration time.Duration)
}

// allFollowUps has all kinds of follow-ups.
var allFollowUps = []followUp{
	{"the leader is stopped and started", true, onLeader(func(i *instance, _ time.Duration) { i.stop(); i.restart() })},
	{"the leader is killed", false, onLeader(func(i *instance, duration time.Duration) { i.kill(); time.Sleep(duration); i.restart() })},
	{"the leader stands still", false, onLeader(func(i *instance, duration time.Duration) {
		i.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		i.signal(syscall.SIGCONT)
	})},
	{"the primary crashes", false, func(r *run, g *databaseGroup, _ int, duration time.Duration) { crash(r, g.primary(), duration) }},
	{"a member crashes", false, onNode(crash)},
	{"two members crash", false, func(r *run, g *databaseGroup, pick int, duration time.Duration) {
		var wg sync.WaitGroup
		for n := range 2 {
			wg.Go(func() { crash(r, g.nodes[(pick+n)%len(g.nodes)], duration) })
		}
		wg.Wait()
	}},
	{"a member receives nothing", false, onNode(lag)},
	{"a member drains", true, onNode(drainMember)},
	{"connections to a member go silent", false, onNode(func(_ *run, n *node, _ time.Duration) { n.proxy.FreezeOpenConns() })},
}

func onNode(f func(*run, *node, time.Duration)) func(*run, *databaseGroup, int, time.Duration) {
	return func(r *run, g *databaseGroup, pick int, duration time.Duration) {
		f(r, g.nodes[pick%len(g.nodes)], duration)
	}
}

// onLeader returns a follow-up that calls f for the instance that leads the group, unless another
// fault affects that process.
func onLeader(f func(i *instance, duration time.Duration)) func(*run, *databaseGroup, int, time.Duration) {
	return func(r *run, g *databaseGroup, _ int, duration time.Duration) {
		i := r.leader(g)
		if i == nil || !i.faultMu.TryLock() {
			return
		}
		defer i.faultMu.Unlock()
		f(i, duration)
	}
}

// leader returns the instance that leads a group, nil if none does.
func (r *run) leader(g *databaseGroup) *instance {
	item, err := r.store.Client().Get(context.Background(), "stackspindle/leaders/"+g.name)
	var leader struct{ Instance string }
	if err != nil || json.Unmarshal(item.Value, &leader) != nil {
		return nil // no instance leads
	}
	for _, i := range r.instances {
		if i.name == leader.Instance {
			return i
		}
	}
	return nil
}

// happened injects a follow-up for a group, nil for any, in every second case.
func (r *run) happened(g *databaseGroup) {
	f := &r.followUps
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rnd == nil || f.running >= maxFollowUps || time.Now().After(f.until) || f.rnd.IntN(2) == 0 {
		return
	}
	if g == nil {
		g = r.groups[f.rnd.IntN(len(r.groups))]
	}
	kind, pick := f.kinds[f.rnd.IntN(len(f.kinds))], f.rnd.IntN(membersPerGroup)
	f.running++
	f.wg.Go(func() {
		time.Sleep(rand.N(maxFollowUpDelay)) // timing is not reproducible, so it does not use the seed
		r.recordFault("then " + kind.name + " (" + g.name + ")")
		kind.inject(r, g, pick, minFaultDuration+rand.N(maxFollowUpDuration))
		f.mu.Lock()
		defer f.mu.Unlock()
		f.running--
	})
}

// Bounds of promotions.
const (
	minPromotionDelay = 100 * time.Millisecond // until the member leads
	maxPromotionDelay = 700 * time.Millisecond
	slowAnswer        = 1500 * time.Millisecond // longer than an instance waits
)

var errPromotionLost = errors.New("the call was lost")

// promote handles the platform's promotion call. The promotion takes effect some hundred
// milliseconds later. Some calls are answered too late, and some are lost.
func (r *run) promote(name, id, _ string, token uint64) error {
	for _, g := range r.groups {
		if g.name != name {
			continue
		}
		r.happened(g)
		if !g.members.Running(id) {
			return membergroup.ErrNotRunning
		}
		switch rand.IntN(10) {
		case 0:
			time.Sleep(slowAnswer)
			return errPromotionLost
		case 1:
			defer time.Sleep(slowAnswer)
		}
		time.AfterFunc(minPromotionDelay+rand.N(maxPromotionDelay-minPromotionDelay), func() {
			_ = g.members.Promote(context.Background(), name, id, "", token) // a member that is down by now is not promoted
			for _, n := range g.nodes {
				if n.memberID() == id {
					r.putMember(n, "ready")
				}
			}
		})
		return nil
	}
	return membergroup.ErrNotRunning
}
