package relay

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// disconnectPollInterval is the interval at which the connection of a client whose statement is
// running is checked for a disconnect. Most statements end before the first check.
const disconnectPollInterval = 50 * time.Millisecond

// disconnectWatch polls whether a client disconnects while its statement is running. No watch is
// active between two statements.
type disconnectWatch struct {
	timer *time.Timer

	mu     sync.Mutex // guards the fields below
	conn   ClientConn // nil: the statement has ended
	cancel context.CancelFunc
}

// disconnectWatchPool holds unused watches for reuse.
var disconnectWatchPool = sync.Pool{New: func() any { return &disconnectWatch{} }}

// watchDisconnect returns a context that is cancelled when a client disconnects. end must be called
// when the statement has ended.
func watchDisconnect(conn ClientConn) (ctx context.Context, end func()) {
	w := disconnectWatchPool.Get().(*disconnectWatch)
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, w.cancel = context.WithCancel(context.Background())
	w.conn = conn
	if w.timer == nil {
		w.timer = time.AfterFunc(disconnectPollInterval, w.poll)
	} else {
		w.timer.Reset(disconnectPollInterval)
	}
	return ctx, w.end
}

func (w *disconnectWatch) poll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.conn == nil:
	case w.conn.PeerClosed():
		w.cancel()
	default:
		w.timer.Reset(disconnectPollInterval)
	}
}

func (w *disconnectWatch) end() {
	w.mu.Lock()
	stopped := w.timer.Stop()
	w.cancel()
	w.conn, w.cancel = nil, nil
	w.mu.Unlock()
	if stopped { // otherwise poll may still run; the watch is not reused
		disconnectWatchPool.Put(w)
	}
}

// disconnectReason is the reason for not running a statement whose client has disconnected.
const disconnectReason = "its caller has gone"

// clientDisconnected reports whether the client has disconnected, and if so sets the reason.
func (a *attempt) clientDisconnected() bool {
	if a.ctx.Err() == nil {
		return false
	}
	a.reason = disconnectReason
	return true
}

// recordDisconnect counts and logs a statement that was dropped because its client had
// disconnected.
func (r *Relay) recordDisconnect(database, where string, waited time.Duration) {
	r.metrics.GetOrCreateCounter(`stackspindle_callers_left_total{waited="` + where + `"}`).Inc()
	if suppressed, ok := r.logSampler.Allow("left" + where); ok {
		r.log.WithFields(logrus.Fields{"database": database, "waited": where, "waited_ms": waited.Milliseconds(), "left_out": suppressed}).
			Info("relay: a caller has gone while its statement waited")
	}
}

// recordIdleTransaction counts and logs a transaction that was rolled back because its client left
// it idle.
func (r *Relay) recordIdleTransaction(database string) {
	r.metrics.GetOrCreateCounter("stackspindle_resting_transactions_ended_total").Inc()
	if suppressed, ok := r.logSampler.Allow("rested"); ok {
		r.log.WithFields(logrus.Fields{"database": database, "left_out": suppressed}).Info("relay: a transaction that was idle for too long was rolled back")
	}
}
