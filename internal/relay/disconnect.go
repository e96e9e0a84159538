package relay

import (
	"context"
	"errors"
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
	cancel context.CancelCauseFunc
}

// disconnectWatchPool holds unused watches for reuse.
var disconnectWatchPool = sync.Pool{New: func() any { return &disconnectWatch{} }}

// watchDisconnect returns a context that is cancelled when a client disconnects, and a function
// that cancels it for another cause. end must be called when the statement has ended.
func watchDisconnect(conn ClientConn) (ctx context.Context, cancel context.CancelCauseFunc, end func()) {
	w := disconnectWatchPool.Get().(*disconnectWatch)
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, w.cancel = context.WithCancelCause(context.Background())
	w.conn = conn
	if w.timer == nil {
		w.timer = time.AfterFunc(disconnectPollInterval, w.poll)
	} else {
		w.timer.Reset(disconnectPollInterval)
	}
	return ctx, w.cancel, w.end
}

func (w *disconnectWatch) poll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.conn == nil:
	case w.conn.PeerClosed():
		w.cancel(errClientDisconnected)
	default:
		w.timer.Reset(disconnectPollInterval)
	}
}

func (w *disconnectWatch) end() {
	w.mu.Lock()
	stopped := w.timer.Stop()
	w.cancel(nil)
	w.conn, w.cancel = nil, nil
	w.mu.Unlock()
	if stopped { // otherwise poll may still run; the watch is not reused
		disconnectWatchPool.Put(w)
	}
}

// disconnectReason is the reason for not running a statement whose client has disconnected.
const disconnectReason = "its caller has gone"

// isCancelled reports whether the statement is not to be run any more, and if so sets the reason:
// the client has disconnected, or the instance is stopping.
func (a *attempt) isCancelled() bool {
	if a.ctx.Err() == nil {
		return false
	}
	a.reason = disconnectReason
	if a.isStopping() {
		a.reason = errStopping.Error()
	}
	return true
}

// isStopping reports whether the statement was cancelled because the instance is stopping.
func (a *attempt) isStopping() bool { return errors.Is(context.Cause(a.ctx), errStopping) }

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
