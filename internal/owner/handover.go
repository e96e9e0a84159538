package owner

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/stackspindle/stackspindle/internal/failover"
	"github.com/stackspindle/stackspindle/internal/group"
)

// HandOver is the state that a former owner passes to its successor.
type HandOver struct {
	Term         uint64
	Acknowledged group.Position
	Floors       map[string]group.Position
}

// ErrNotServing is returned by Release if this instance does not serve the group.
var ErrNotServing = errors.New("the group is not served here")

// handOverPollInterval is the interval between checks for the end of open
// transactions.
const handOverPollInterval = 2 * time.Millisecond

// activity counts the transactions that hold or wait for a connection. It has
// separate counts for those that began before and after the last advanceEpoch.
type activity struct {
	epoch  atomic.Int64
	counts [2]atomic.Int64
}

// begin counts a transaction and returns its epoch, which must be passed to end.
func (a *activity) begin() int {
	epoch := int(a.epoch.Load() & 1)
	a.counts[epoch].Add(1)
	return epoch
}

func (a *activity) end(epoch int) { a.counts[epoch].Add(-1) }

// advanceEpoch starts a new epoch and returns the previous one, to which the open
// transactions belong.
func (a *activity) advanceEpoch() int { return int((a.epoch.Add(1) - 1) & 1) }

func (a *activity) idle() bool { return a.counts[0].Load()+a.counts[1].Load() == 0 }

// awaitIdle waits until idle returns true or ctx ends.
func awaitIdle(ctx context.Context, idle func() bool) {
	for !idle() && ctx.Err() == nil {
		time.Sleep(handOverPollInterval)
	}
}

// Release gives the group up in two stages, which limits how long a long
// transaction delays others. It first waits for the open transactions to end
// while new ones are still accepted, for at most half the time until the deadline
// of ctx. Then it refuses new transactions, naming the successor as owner, waits
// for the remaining ones until ctx ends, and resigns.
func (g *Group) Release(ctx context.Context, successor string) (HandOver, error) {
	v := g.view.Load()
	if !v.serving {
		return HandOver{}, ErrNotServing
	}
	g.awaitOpenTransactions(ctx)
	if v = g.view.Load(); !v.serving {
		return HandOver{}, ErrNotServing
	}
	next := *v
	next.handingOver = true
	next.owner = successor
	g.publish(&next)
	awaitIdle(ctx, g.active.idle)
	g.post(failover.Resign{Reason: "handed over to " + successor})
	for g.Status().Serving {
		select {
		case <-g.view.Load().changed:
		case <-time.After(handOverPollInterval):
		}
	}
	g.ackMu.Lock()
	defer g.ackMu.Unlock()
	return HandOver{Term: v.term, Acknowledged: g.floors.Highest(), Floors: g.floors.Export()}, nil
}

// awaitOpenTransactions waits until the transactions that are open now have ended,
// for at most half the time until the deadline of ctx.
func (g *Group) awaitOpenTransactions(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
	}
	open := g.active.advanceEpoch()
	awaitIdle(ctx, func() bool { return g.active.counts[open].Load() == 0 })
}

// TakeOver claims the group from a former owner that has released it.
func (g *Group) TakeOver(from string, h HandOver) {
	g.ackMu.Lock()
	for session, floor := range h.Floors {
		g.floors.Acknowledge(session, floor)
	}
	g.floors.Acknowledge("", h.Acknowledged)
	g.ackMu.Unlock()
	g.post(failover.Claim{Reason: "handed over by " + from, From: from, Term: h.Term, Acked: h.Acknowledged})
}
