package owner

import (
	"context"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
	"github.com/stackspindle/stackspindle/internal/routing"
	"github.com/stackspindle/stackspindle/internal/upstream"
)

// retryHint is when a caller that found no primary should come back.
const retryHint = 200 * time.Millisecond

// awaitServing returns the view once the instance serves the group. While a
// take-over is under way here it waits; when the group is owned elsewhere, it
// says so at once.
func (g *Group) awaitServing(ctx context.Context, deadline time.Duration) (*view, error) {
	for {
		v := g.view.Load()
		if v.moving || !v.serving && !v.claiming {
			return nil, &refusal{kind: peerpb.Refusal_REFUSAL_NOT_OWNER, detail: "this instance does not own the group", owner: v.owner}
		}
		if v.serving && g.leaseLeft() > 0 {
			return v, nil
		}
		if v.serving {
			if err := g.awaitRenewal(ctx, deadline); err != nil {
				return nil, err
			}
			continue
		}
		if err := g.awaitChange(ctx, v, deadline); err != nil {
			return nil, err
		}
	}
}

// awaitRenewal waits for news while the lease has lapsed: work that could not be
// acknowledged is not sent.
func (g *Group) awaitRenewal(ctx context.Context, deadline time.Duration) error {
	if g.opts.Now() < deadline && ctx.Err() == nil {
		g.awaitProgress(ctx, g.progress.Load())
		return nil
	}
	return &refusal{kind: peerpb.Refusal_REFUSAL_NO_PRIMARY, detail: "the owner does not reach a majority of the group", retryAfter: retryHint}
}

func (g *Group) awaitChange(ctx context.Context, v *view, deadline time.Duration) error {
	timer := time.NewTimer(deadline - g.opts.Now())
	defer timer.Stop()
	select {
	case <-v.changed:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return &refusal{kind: peerpb.Refusal_REFUSAL_NO_PRIMARY, detail: "the group has no primary", retryAfter: retryHint}
}

// awaitWritable waits until a drained primary has been replaced. The error
// ErrClosed makes the caller look at the new view.
func (g *Group) awaitWritable(ctx context.Context, v *view, deadline time.Duration) error {
	if err := g.awaitChange(ctx, v, deadline); err != nil {
		return err
	}
	return upstream.ErrClosed
}

// pauseBeforeRetry keeps a request from spinning on a member that cannot be reached.
func (g *Group) pauseBeforeRetry(ctx context.Context, v *view) {
	timer := time.NewTimer(dialRetry)
	defer timer.Stop()
	select {
	case <-v.changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

const dialRetry = 20 * time.Millisecond

// current reports whether the view still holds.
func (g *Group) current(v *view) bool {
	now := g.view.Load()
	return now.term == v.term && now.serving
}

// required returns the position that a read of the session must see.
func (g *Group) required(h *peerpb.Header) (group.Position, error) {
	g.acks.Lock()
	defer g.acks.Unlock()
	if h.AcceptLoss {
		g.floors.Accept(h.Session)
		h.Floor = nil
	}
	brought := group.Position{Term: h.Floor.GetTerm(), Index: h.Floor.GetIndex()}
	floor, err := g.floors.Floor(h.Session, brought)
	if err != nil {
		return group.Position{}, &refusal{kind: peerpb.Refusal_REFUSAL_LOST_WRITES, detail: err.Error()}
	}
	if h.StalenessUs == 0 {
		return group.Max(floor, g.floors.Highest()), nil
	}
	at := g.opts.Now() - time.Duration(h.StalenessUs)*time.Microsecond
	return group.Max(floor, g.acknowledgedAt(at)), nil
}

// acknowledgedAt returns a position that holds everything acknowledged up to a
// time. The caller holds acks.
func (g *Group) acknowledgedAt(at time.Duration) group.Position {
	for _, samples := range []*routing.Samples{g.fine, g.coarse} {
		oldest, ok := samples.Oldest()
		if !ok || at < oldest {
			continue
		}
		if p, ok := samples.RequiredAt(at); ok {
			return p
		}
	}
	if p, ok := g.coarse.RequiredAt(at); ok {
		return p
	}
	return g.floors.Highest()
}

// openRead routes a read and takes a connection to the member chosen.
func (s *Stream) openRead(ctx context.Context, required group.Position, deadline time.Duration) error {
	started := s.group.opts.Now()
	for {
		p := s.group.progress.Load()
		decision := s.group.route(s.view, p, required, started, deadline)
		switch decision.Choice {
		case routing.Use:
			return s.useForRead(ctx, decision, deadline)
		case routing.Refuse:
			return &refusal{kind: peerpb.Refusal_REFUSAL_DEADLINE, detail: decision.Reason, retryAfter: retryHint}
		}
		if !s.group.current(s.view) {
			return upstream.ErrClosed
		}
		s.group.pollReplicas(s.view, required)
		s.group.awaitProgress(ctx, p)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func (s *Stream) useForRead(ctx context.Context, d routing.Decision, deadline time.Duration) error {
	s.reason = d.Reason
	if d.Fallback {
		s.fallback = true
		s.group.fallback.Add(1)
	}
	err := s.acquire(ctx, d.Member, false, deadline)
	if err != nil && s.fallback {
		s.fallback = false
		s.group.fallback.Add(-1)
	}
	return err
}

func (g *Group) route(v *view, p *progress, required group.Position, started, deadline time.Duration) routing.Decision {
	now := g.opts.Now()
	snapshot := &routing.View{
		Members:       make([]routing.Member, 0, len(p.members)),
		MaxWait:       g.opts.MaxWait,
		Fallback:      g.opts.Fallback,
		FallbackReads: int(g.fallback.Load()),
	}
	for _, m := range p.members {
		member := routing.Member{
			Name:     m.name,
			Primary:  m.name == v.primary,
			Healthy:  m.healthy,
			Leaving:  m.leaving,
			Position: m.position,
			Capacity: g.spec.Connections,
			Lag:      m.behind,
		}
		if pool := v.pools[m.name]; pool != nil {
			member.InFlight = pool.InUse() + pool.Waiting()
		}
		snapshot.Members = append(snapshot.Members, member)
	}
	return routing.Route(snapshot, routing.Request{
		Required: required,
		Age:      g.age(now, required),
		Waited:   now - started,
		Left:     deadline - now,
	})
}

// age returns how long ago a position was acknowledged. The fine record is exact
// and short, the coarse one reaches further back.
func (g *Group) age(now time.Duration, p group.Position) time.Duration {
	g.acks.Lock()
	defer g.acks.Unlock()
	if age, ok := g.fine.Age(now, p); ok {
		return age
	}
	age, _ := g.coarse.Age(now, p)
	return age
}

// pollReplicas asks the replicas that do not hold the position for news.
func (g *Group) pollReplicas(v *view, required group.Position) {
	for _, m := range g.progress.Load().members {
		if m.name != v.primary && m.position.Less(required) {
			g.workers[m.name].poll(v.term)
		}
	}
}

// progressWait bounds a wait for news, so that the next poll is not missed.
const progressWait = 2 * time.Millisecond

func (g *Group) awaitProgress(ctx context.Context, p *progress) {
	timer := time.NewTimer(progressWait)
	defer timer.Stop()
	select {
	case <-p.changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ackWait bounds how long an acknowledgement is held back for a replica's
// confirmation or for the renewal of the lease.
const ackWait = 2 * time.Second

// acknowledge notes a committed write. Where the group asks for it, it first
// waits until a replica holds the write.
func (g *Group) acknowledge(ctx context.Context, v *view, session string, p group.Position) error {
	if g.spec.ReplicaAck {
		if err := g.awaitReplica(ctx, v, p); err != nil {
			return err
		}
	}
	g.acks.Lock()
	defer g.acks.Unlock()
	g.floors.Acknowledge(session, p)
	highest, now := g.floors.Highest(), g.opts.Now()
	g.fine.Add(now, highest)
	g.coarse.Add(now, highest)
	return nil
}

// confirmations counts the replicas that hold a position. With half the members,
// rounded down, and the primary, every majority that a successor fences holds it
// too: one replica of three members, two of five.
func confirmations(p *progress, v *view, position group.Position) int {
	n := 0
	for _, m := range p.members {
		if m.name != v.primary && m.healthy && m.position.AtLeast(position) {
			n++
		}
	}
	return n
}

func (g *Group) awaitReplica(ctx context.Context, v *view, p group.Position) error {
	deadline := g.opts.Now() + ackWait
	for {
		snapshot := g.progress.Load()
		if confirmations(snapshot, v, p) >= len(g.spec.Members)/2 {
			return nil
		}
		if !g.current(v) || g.opts.Now() > deadline || ctx.Err() != nil {
			return unknown("no replica confirmed the write")
		}
		g.pollReplicas(v, p)
		g.awaitProgress(ctx, snapshot)
	}
}

// awaitLease returns once the lease of the view's term covers this moment. A
// lease that has lapsed may still be renewed in the same term.
func (g *Group) awaitLease(ctx context.Context, v *view) error {
	deadline := g.opts.Now() + ackWait
	for {
		if !g.current(v) {
			return unknown("the primary was replaced before the answer could be passed on")
		}
		if g.leaseLeft() > 0 {
			return nil
		}
		if g.opts.Now() > deadline || ctx.Err() != nil {
			return unknown("the instance may not answer for the group any more")
		}
		g.awaitProgress(ctx, g.progress.Load())
	}
}
