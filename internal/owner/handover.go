package owner

import (
	"context"
	"errors"
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

// Release stops taking transactions, lets the open ones end until ctx does, and
// gives the group up. Whoever asks meanwhile is told to go elsewhere.
func (g *Group) Release(ctx context.Context, successor string) (HandOver, error) {
	v := g.view.Load()
	if !v.serving {
		return HandOver{}, ErrNotServing
	}
	next := *v
	next.moving = true
	next.owner = successor
	g.publish(&next)
	for g.active.Load() > 0 && ctx.Err() == nil {
		time.Sleep(handOverPoll)
	}
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
