package relay

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// departurePause is the pause between two looks at whether a caller whose statement is
// under way has closed its connection. Most statements are answered before the first.
const departurePause = 50 * time.Millisecond

// departure watches whether a caller closes its connection while its statement is under
// way. Between two statements there is none.
type departure struct {
	timer *time.Timer

	mu     sync.Mutex // guards the rest
	caller Caller     // nil: the statement has ended
	left   context.CancelFunc
}

// departures are those that are not in use.
var departures = sync.Pool{New: func() any { return &departure{} }}

// watchDeparture returns a context that ends when a caller closes its connection. end
// must be called when the statement has ended.
func watchDeparture(caller Caller) (ctx context.Context, end func()) {
	d := departures.Get().(*departure)
	d.mu.Lock()
	defer d.mu.Unlock()
	ctx, d.left = context.WithCancel(context.Background())
	d.caller = caller
	if d.timer == nil {
		d.timer = time.AfterFunc(departurePause, d.look)
	} else {
		d.timer.Reset(departurePause)
	}
	return ctx, d.end
}

func (d *departure) look() {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.caller == nil:
	case d.caller.Gone():
		d.left()
	default:
		d.timer.Reset(departurePause)
	}
}

func (d *departure) end() {
	d.mu.Lock()
	stopped := d.timer.Stop()
	d.left()
	d.caller, d.left = nil, nil
	d.mu.Unlock()
	if stopped { // else it may look at any moment, and another one is made next time
		departures.Put(d)
	}
}

// goneReason tells why a statement that nobody waits for was not run.
const goneReason = "its caller has gone"

// callerGone reports whether nobody waits for the statement any more, and records that.
func (a *attempt) callerGone() bool {
	if a.ctx.Err() == nil {
		return false
	}
	a.why = goneReason
	return true
}

// noteCallerGone counts and logs a statement that was given up since its caller had gone.
func (r *Relay) noteCallerGone(database, where string, waited time.Duration) {
	r.set.GetOrCreateCounter(`stackspindle_callers_left_total{waited="` + where + `"}`).Inc()
	if leftOut, ok := r.sampler.Allow("left" + where); ok {
		r.log.WithFields(logrus.Fields{"database": database, "waited": where, "waited_ms": waited.Milliseconds(), "left_out": leftOut}).
			Info("relay: a caller has gone while its statement waited")
	}
}

// noteRested counts and logs a transaction that was ended since its caller let it rest.
func (r *Relay) noteRested(database string) {
	r.set.GetOrCreateCounter("stackspindle_resting_transactions_ended_total").Inc()
	if leftOut, ok := r.sampler.Allow("rested"); ok {
		r.log.WithFields(logrus.Fields{"database": database, "left_out": leftOut}).Info("relay: a transaction that rested for too long was rolled back")
	}
}
