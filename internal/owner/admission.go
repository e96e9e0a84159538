package owner

import (
	"context"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
	"github.com/stackspindle/stackspindle/internal/routing"
	"github.com/stackspindle/stackspindle/internal/upstream"
)

// noPrimaryRetryAfter is the retry delay advised to clients while there is no
// primary.
const noPrimaryRetryAfter = 200 * time.Millisecond

// awaitServing returns the view once this instance serves the group with a valid
// lease. It waits while this instance takes the group over, and returns a refusal
// immediately if the group is handed over or owned by another instance.
func (g *Group) awaitServing(ctx context.Context, deadline time.Duration) (*view, error) {
	for {
		v := g.view.Load()
		if v.handingOver || !v.serving && !v.claiming {
			return nil, &refusal{kind: peerpb.Refusal_REFUSAL_NOT_OWNER, detail: "this instance does not own the group", owner: v.owner}
		}
		if v.serving && g.leaseEnd(v.term) > g.opts.Now() {
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

// awaitRenewal waits briefly for the expired lease to be renewed. Requests are not
// sent to a member meanwhile, because their results could not be acknowledged.
func (g *Group) awaitRenewal(ctx context.Context, deadline time.Duration) error {
	if g.opts.Now() < deadline && ctx.Err() == nil {
		g.awaitProgress(ctx, g.progress.Load())
		return nil
	}
	return &refusal{kind: peerpb.Refusal_REFUSAL_NO_PRIMARY, detail: "the owner does not reach a majority of the group", retryAfter: noPrimaryRetryAfter}
}

// awaitChange waits until the view is replaced.
func (g *Group) awaitChange(ctx context.Context, v *view, deadline time.Duration) error {
	timer := time.NewTimer(deadline - g.opts.Now())
	defer timer.Stop()
	select {
	case <-v.changed:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return &refusal{kind: peerpb.Refusal_REFUSAL_NO_PRIMARY, detail: "the group has no primary", retryAfter: noPrimaryRetryAfter}
}

// awaitWritable waits until the view changes, for example because a draining
// primary has been replaced. It then returns ErrClosed, so that the caller
// retries with the new view.
func (g *Group) awaitWritable(ctx context.Context, v *view, deadline time.Duration) error {
	if err := g.awaitChange(ctx, v, deadline); err != nil {
		return err
	}
	return upstream.ErrClosed
}

// pauseBeforeRetry delays a retry, so that requests do not busy-loop on an
// unreachable member.
func (g *Group) pauseBeforeRetry(ctx context.Context, v *view) {
	timer := time.NewTimer(dialRetryInterval)
	defer timer.Stop()
	select {
	case <-v.changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

const dialRetryInterval = 20 * time.Millisecond

// isCurrent reports whether the instance still serves the group in the view's
// term.
func (g *Group) isCurrent(v *view) bool {
	now := g.view.Load()
	return now.term == v.term && now.serving
}

// requiredPosition returns the log position that a member must have reached to run
// a read of the session: the maximum of the session's floor and the highest position
// acknowledged up to the permitted staleness ago.
func (g *Group) requiredPosition(h *peerpb.Header) (group.Position, error) {
	g.ackMu.Lock()
	defer g.ackMu.Unlock()
	if h.AcceptLoss {
		g.floors.AcceptLoss(h.Session)
		h.Floor = nil
	}
	ingressFloor := group.Position{Term: h.Floor.GetTerm(), Index: h.Floor.GetIndex()}
	floor, err := g.floors.Floor(h.Session, ingressFloor)
	if err != nil {
		return group.Position{}, &refusal{kind: peerpb.Refusal_REFUSAL_LOST_WRITES, detail: err.Error()}
	}
	if h.StalenessUs == 0 {
		return group.Max(floor, g.floors.Highest()), nil
	}
	at := g.opts.Now() - time.Duration(h.StalenessUs)*time.Microsecond
	return group.Max(floor, g.acknowledgedAt(at)), nil
}

// acknowledgedAt returns a position that includes all writes acknowledged up to a
// time. The caller must hold ackMu.
func (g *Group) acknowledgedAt(at time.Duration) group.Position {
	for _, samples := range []*routing.Samples{g.fineSamples, g.coarseSamples} {
		oldest, ok := samples.Oldest()
		if !ok || at < oldest {
			continue
		}
		if p, _, ok := samples.RequiredAt(at); ok {
			return p
		}
	}
	if p, _, ok := g.coarseSamples.RequiredAt(at); ok {
		return p
	}
	return g.floors.Highest()
}

// openRead chooses a member for a read and acquires a connection to it. It waits
// while no member has reached the required position.
func (s *Stream) openRead(ctx context.Context, required group.Position, deadline time.Duration) error {
	started := s.group.opts.Now()
	for {
		p := s.group.progress.Load()
		decision := s.group.route(s.view, p, required, started, deadline)
		switch decision.Choice {
		case routing.Use:
			return s.acquireForRead(ctx, decision, deadline)
		case routing.Refuse:
			return &refusal{kind: peerpb.Refusal_REFUSAL_DEADLINE, detail: decision.Reason, retryAfter: noPrimaryRetryAfter}
		}
		if !s.group.isCurrent(s.view) {
			return upstream.ErrClosed
		}
		s.group.pollReplicas(s.view, required)
		s.group.awaitProgress(ctx, p)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func (s *Stream) acquireForRead(ctx context.Context, d routing.Decision, deadline time.Duration) error {
	s.reason = d.Reason
	if d.Fallback {
		s.primaryRead = true
		s.group.primaryReads.Add(1)
	}
	err := s.acquire(ctx, d.Member, false, deadline)
	if err != nil && s.primaryRead {
		s.primaryRead = false
		s.group.primaryReads.Add(-1)
	}
	return err
}

func (g *Group) route(v *view, p *progress, required group.Position, started, deadline time.Duration) routing.Decision {
	now := g.opts.Now()
	snapshot := &routing.View{
		Members:         make([]routing.Member, 0, len(p.members)),
		MaxReplicaWait:  g.opts.MaxReplicaWait,
		MaxPrimaryReads: g.opts.MaxPrimaryReads,
		FallbackReads:   int(g.primaryReads.Load()),
	}
	for _, m := range p.members {
		member := routing.Member{
			Name:     m.name,
			Primary:  m.name == v.primary,
			Healthy:  m.healthy,
			Leaving:  m.leaving,
			Position: m.position,
			Capacity: g.spec.Connections,
			Lag:      m.lag,
		}
		if pool := v.pools[m.name]; pool != nil {
			member.InFlight = pool.InUse() + pool.Waiting()
		}
		snapshot.Members = append(snapshot.Members, member)
	}
	return routing.Route(snapshot, routing.Request{
		Required: required,
		Age:      g.positionAge(now, required),
		Waited:   now - started,
		TimeLeft: deadline - now,
	})
}

// positionAge returns how long ago a position was acknowledged. The fine samples
// are exact but cover a short time; the coarse samples reach further back.
func (g *Group) positionAge(now time.Duration, p group.Position) time.Duration {
	g.ackMu.Lock()
	defer g.ackMu.Unlock()
	if age, ok := g.fineSamples.Age(now, p); ok {
		return age
	}
	age, _ := g.coarseSamples.Age(now, p)
	return age
}

// pollReplicas requests the status of each replica that was last seen below the
// position.
func (g *Group) pollReplicas(v *view, required group.Position) {
	for _, m := range g.progress.Load().members {
		if m.name != v.primary && m.position.Less(required) {
			g.workers[m.name].poll(v.term)
		}
	}
}

// progressPollInterval is the longest wait for a progress update before the caller
// checks again and polls the replicas.
const progressPollInterval = 2 * time.Millisecond

// awaitProgress waits until the snapshot is replaced, for at most
// progressPollInterval.
func (g *Group) awaitProgress(ctx context.Context, p *progress) {
	timer := time.NewTimer(progressPollInterval)
	defer timer.Stop()
	select {
	case <-p.changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ackTimeout is how long an acknowledgement waits for replicas to confirm the
// write, or for the lease to be renewed.
const ackTimeout = 2 * time.Second

// acknowledge raises the session's floor to a committed write. If the group is
// configured with ReplicaAck, it first waits until enough replicas have the write.
func (g *Group) acknowledge(ctx context.Context, v *view, session string, p group.Position) error {
	if g.spec.ReplicaAck {
		if err := g.awaitConfirmations(ctx, v, p); err != nil {
			return err
		}
	}
	g.ackMu.Lock()
	defer g.ackMu.Unlock()
	g.floors.Acknowledge(session, p)
	highest, now := g.floors.Highest(), g.opts.Now()
	g.fineSamples.Add(now, highest)
	g.coarseSamples.Add(now, highest)
	return nil
}

// countConfirmations returns the number of healthy replicas that have reached a
// position. If half of the members, rounded down, have it besides the primary
// (one replica of three members, two of five), then every majority that a
// successor fences includes a member that has it.
func countConfirmations(p *progress, v *view, position group.Position) int {
	n := 0
	for _, m := range p.members {
		if m.name != v.primary && m.healthy && m.position.AtLeast(position) {
			n++
		}
	}
	return n
}

// awaitConfirmations waits until enough replicas have a write for it to survive a
// failover, see countConfirmations.
func (g *Group) awaitConfirmations(ctx context.Context, v *view, p group.Position) error {
	deadline := g.opts.Now() + ackTimeout
	for {
		snapshot := g.progress.Load()
		if countConfirmations(snapshot, v, p) >= len(g.spec.Members)/2 {
			return nil
		}
		if !g.isCurrent(v) || g.opts.Now() > deadline || ctx.Err() != nil {
			return unknownOutcome("no replica confirmed the write")
		}
		g.pollReplicas(v, p)
		g.awaitProgress(ctx, snapshot)
	}
}

// awaitLease returns the end of the lease in the view's term once that is valid. An expired
// lease can still be renewed in the same term, so it waits up to ackTimeout for that.
func (g *Group) awaitLease(ctx context.Context, v *view) (time.Duration, error) {
	deadline := g.opts.Now() + ackTimeout
	for {
		if !g.isCurrent(v) {
			return 0, unknownOutcome("the primary was replaced before the answer could be passed on")
		}
		if end := g.leaseEnd(v.term); end > g.opts.Now() {
			return end, nil
		}
		if g.opts.Now() > deadline || ctx.Err() != nil {
			return 0, unknownOutcome("the instance may not answer for the group any more")
		}
		g.awaitProgress(ctx, g.progress.Load())
	}
}
