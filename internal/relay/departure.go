package relay

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// departurePause is the pause between two looks at whether a caller whose statement is
// under way has closed its connection. Most statements are answered before the first.
const disconnectPollInterval = 50 * time.Millisecond

// departure watches whether a caller closes its connection while its statement is under
// way. Between two statements there is none.
type disconnectWatch struct {
	timer *time.Timer

	mu     sync.Mutex // guards the rest
	conn   Caller     // nil: the statement has ended
	cancel context.CancelFunc
}

// departures are those that are not in use.
var disconnectWatchPool = sync.Pool{New: func() any { return &disconnectWatch{} }}

// watchDeparture returns a context that ends when a caller closes its connection. end
// must be called when the statement has ended.
func watchDisconnect(caller Caller) (ctx context.Context, end func()) {
	d := disconnectWatchPool.Get().(*disconnectWatch)
	d.mu.Lock()
	defer d.mu.Unlock()
	ctx, d.cancel = context.WithCancel(context.Background())
	d.conn = caller
	if d.timer == nil {
		d.timer = time.AfterFunc(disconnectPollInterval, d.poll)
	} else {
		d.timer.Reset(disconnectPollInterval)
	}
	return ctx, d.end
}

func (d *disconnectWatch) poll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.conn == nil:
	case d.conn.Gone():
		d.cancel()
	default:
		d.timer.Reset(disconnectPollInterval)
	}
}

func (d *disconnectWatch) end() {
	d.mu.Lock()
	stopped := d.timer.Stop()
	d.cancel()
	d.conn, d.cancel = nil, nil
	d.mu.Unlock()
	if stopped { // else it may look at any moment, and another one is made next time
		disconnectWatchPool.Put(d)
	}
}

// goneReason tells why a statement that nobody waits for was not run.
const clientGoneReason = "its caller has gone"

// callerGone reports whether nobody waits for the statement any more, and records that.
func (a *attempt) clientGone() bool {
	if a.ctx.Err() == nil {
		return false
	}
	a.reason = clientGoneReason
	return true
}

// noteCallerGone counts and logs a statement that was given up since its caller had gone.
func (r *Relay) recordClientGone(database, where string, waited time.Duration) {
	r.metrics.GetOrCreateCounter(`stackspindle_callers_left_total{waited="` + where + `"}`).Inc()
	if suppressed, ok := r.logSampler.Allow("left" + where); ok {
		r.log.WithFields(logrus.Fields{"database": database, "waited": where, "waited_ms": waited.Milliseconds(), "left_out": suppressed}).
			Info("relay: a caller has gone while its statement waited")
	}
}

// noteRested counts and logs a transaction that was ended since its caller let it rest.
func (r *Relay) recordIdleTransaction(database string) {
	r.metrics.GetOrCreateCounter("stackspindle_resting_transactions_ended_total").Inc()
	if suppressed, ok := r.logSampler.Allow("rested"); ok {
		r.log.WithFields(logrus.Fields{"database": database, "left_out": suppressed}).Info("relay: a transaction that rested for too long was rolled back")
	}
}
