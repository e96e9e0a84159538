package owner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/stackspindle/stackspindle/internal/failover"
	"github.com/stackspindle/stackspindle/internal/upstream"
)

// worker sends the control requests to one member, one at a time. Each member has
// its own worker, so that a member that hangs does not delay the others.
type worker struct {
	group      *Group
	member     Member
	control    *upstream.Control
	commands   chan failover.Send // fence, promote, follow, release, status
	heartbeats chan failover.Send // heartbeats; at most one is queued
	lastPollAt atomic.Int64       // when poll last queued a heartbeat
}

const commandBuffer = 32

func newWorker(g *Group, m Member) *worker {
	return &worker{
		group:      g,
		member:     m,
		control:    upstream.NewControl(g.target(m), g.opts.Failover.MemberTimeout, g.opts.Now),
		commands:   make(chan failover.Send, commandBuffer),
		heartbeats: make(chan failover.Send, 1),
	}
}

func (w *worker) enqueue(s failover.Send) {
	queue := w.commands
	if s.Op == failover.OpHeartbeat {
		queue = w.heartbeats
	}
	select {
	case queue <- s:
	default: // queue full because the member hangs; the state machine resends what matters
	}
}

func (w *worker) run(ctx context.Context) {
	defer w.group.done.Done()
	defer w.control.Close()
	for {
		var s failover.Send
		select {
		case <-ctx.Done():
			return
		case s = <-w.commands:
		case s = <-w.heartbeats:
		}
		w.group.opts.FaultHook(StepControl)
		reply := w.control.Do(ctx, s, w.group.opts.Self)
		if ctx.Err() != nil {
			return
		}
		select {
		case w.group.events <- reply:
		case <-ctx.Done():
			return
		}
	}
}

// minPollInterval is the minimum time between two polls on behalf of waiting
// requests.
const minPollInterval = time.Millisecond

// poll queues a heartbeat that returns the member's log position. It does not wait
// for the answer.
func (w *worker) poll(term uint64) {
	now := int64(w.group.opts.Now())
	last := w.lastPollAt.Load()
	if now-last < int64(minPollInterval) || !w.lastPollAt.CompareAndSwap(last, now) {
		return
	}
	w.enqueue(failover.Send{Member: w.member.Name, Op: failover.OpHeartbeat, Term: term})
}
