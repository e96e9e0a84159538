package owner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/stackspindle/stackspindle/internal/failover"
	"github.com/stackspindle/stackspindle/internal/upstream"
)

// worker carries out the control requests to one member, one at a time, so that
// a member that hangs holds up nobody else.
type worker struct {
	group   *Group
	member  Member
	control *upstream.Control
	urgent  chan failover.Send // fence, promote, follow, release, status
	beats   chan failover.Send // heartbeats: only the latest counts
	lastAsk atomic.Int64       // when a poll was last asked for
}

const urgentBuffer = 32

func newWorker(g *Group, m Member) *worker {
	return &worker{
		group:   g,
		member:  m,
		control: upstream.NewControl(g.target(m), g.opts.Failover.Silence, g.opts.Now),
		urgent:  make(chan failover.Send, urgentBuffer),
		beats:   make(chan failover.Send, 1),
	}
}

func (w *worker) enqueue(s failover.Send) {
	queue := w.urgent
	if s.Op == failover.OpHeartbeat {
		queue = w.beats
	}
	select {
	case queue <- s:
	default: // the member hangs; the state machine repeats what matters
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
		case s = <-w.urgent:
		case s = <-w.beats:
		}
		w.group.opts.Pause(StepControl)
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

// pollSpacing is the least time between two polls that waiting requests cause.
const pollSpacing = time.Millisecond

// poll asks the member for its position soon, without waiting for the answer.
func (w *worker) poll(term uint64) {
	now := int64(w.group.opts.Now())
	last := w.lastAsk.Load()
	if now-last < int64(pollSpacing) || !w.lastAsk.CompareAndSwap(last, now) {
		return
	}
	w.enqueue(failover.Send{Member: w.member.Name, Op: failover.OpHeartbeat, Term: term})
}
