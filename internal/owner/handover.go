package owner

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/stackspindle/stackspindle/internal/failover"
	"github.com/stackspindle/stackspindle/internal/group"
)

// HandOver is what a former owner tells its successor.
type HandOver struct {
	Term         uint64
	Acknowledged group.Position
	Floors       map[string]group.Position
}

// ErrNotServing says that there is nothing to hand over.
var ErrNotServing = errors.New("the group is not served here")

// handOverPoll is how often the end of open transactions is looked for.
const handOverPoll = 2 * time.Millisecond

// activity counts the transactions that hold or wait for a connection, those
// begun before and after the last turn apart.
type activity struct {
	turns  atomic.Int64
	counts [2]atomic.Int64
}

// begin counts a transaction and returns what end must be given.
func (a *activity) begin() int {
	epoch := int(a.turns.Load() & 1)
	a.counts[epoch].Add(1)
	return epoch
}

func (a *activity) end(epoch int) { a.counts[epoch].Add(-1) }

// turn begins to count apart and returns the epoch of what is open now.
func (a *activity) turn() int { return int((a.turns.Add(1) - 1) & 1) }

func (a *activity) idle() bool { return a.counts[0].Load()+a.counts[1].Load() == 0 }

// awaitIdle waits until a condition on the activity holds, or ctx ends.
func awaitIdle(ctx context.Context, idle func() bool) {
	for !idle() && ctx.Err() == nil {
		time.Sleep(handOverPoll)
	}
}

// Release gives the group up. First it lets the transactions that are open now
// end while new ones go on, for at most half the time, so that a long one holds
// nobody up; then it takes no more, lets the rest end until ctx does, and stands
// down. Whoever asks in the second part is told to go elsewhere.
func (g *Group) Release(ctx context.Context, successor string) (HandOver, error) {
	v := g.view.Load()
	if !v.serving {
		return HandOver{}, ErrNotServing
	}
	g.awaitOpen(ctx)
	if v = g.view.Load(); !v.serving {
		return HandOver{}, ErrNotServing
	}
	next := *v
	next.moving = true
	next.owner = successor
	g.publish(&next)
	awaitIdle(ctx, g.active.idle)
	g.post(failover.Resign{Reason: "handed over to " + successor})
	for g.Status().Serving {
		select {
		case <-g.view.Load().changed:
		case <-time.After(handOverPoll):
		}
	}
	g.acks.Lock()
	defer g.acks.Unlock()
	return HandOver{Term: v.term, Acknowledged: g.floors.Highest(), Floors: g.floors.Export()}, nil
}

// awaitOpen waits for the end of the transactions that are open now.
func (g *Group) awaitOpen(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
	}
	open := g.active.turn()
	awaitIdle(ctx, func() bool { return g.active.counts[open].Load() == 0 })
}

// TakeOver claims the group from a former owner that has released it.
func (g *Group) TakeOver(from string, h HandOver) {
	g.acks.Lock()
	for session, floor := range h.Floors {
		g.floors.Acknowledge(session, floor)
	}
	g.floors.Acknowledge("", h.Acknowledged)
	g.acks.Unlock()
	g.post(failover.Claim{Reason: "handed over by " + from, From: from, Term: h.Term, Acked: h.Acknowledged})
}
