package relay

import (
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Limits of the log lines that list failed requests. With IDs of 16 bytes a line has up to 4.4 kB;
// more than a few causes a second indicate a fault.
const (
	failureLogInterval = time.Second
	maxFailureCauses   = 64  // lines per interval; further causes share the last line
	maxLoggedIDs       = 256 // listed per line; the others are counted
)

// failureCause is what the failed requests of one log line have in common.
type failureCause struct {
	group   string
	outcome string // code of the answer to the client
	detail  string
}

// otherCauses collects the causes beyond maxFailureCauses.
var otherCauses = failureCause{outcome: "various", detail: "more causes in a second than are told apart"}

// failureLog collects failed requests so that each can be found in the logs by its ID, with one log
// line per second and cause. It is safe for concurrent use and never blocks on the log.
type failureLog struct {
	mu            sync.Mutex // guards the fields below
	intervalStart time.Duration
	byCause       map[failureCause]*failedRequests
}

// failedRequests are the failed requests of one cause in one interval.
type failedRequests struct {
	ids     strings.Builder
	listed  int
	omitted int
}

func newFailureLog() *failureLog { return &failureLog{byCause: make(map[failureCause]*failedRequests)} }

// add adds a failed request.
func (f *failureLog) add(c failureCause, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byCause[c] == nil && len(f.byCause) >= maxFailureCauses-1 {
		c = otherCauses
	}
	batch := f.byCause[c]
	if batch == nil {
		batch = &failedRequests{}
		f.byCause[c] = batch
	}
	if batch.listed >= maxLoggedIDs {
		batch.omitted++
		return
	}
	if batch.listed > 0 {
		batch.ids.WriteByte(' ')
	}
	batch.ids.WriteString(id)
	batch.listed++
}

// takeBatch returns and clears the collected requests once failureLogInterval has passed; it
// returns nil before.
func (f *failureLog) takeBatch(now time.Duration) map[failureCause]*failedRequests {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now-f.intervalStart < failureLogInterval || len(f.byCause) == 0 {
		return nil
	}
	batch := f.byCause
	f.intervalStart, f.byCause = now, make(map[failureCause]*failedRequests)
	return batch
}

// LogFailures logs the requests that failed since the last report, if failureLogInterval has
// passed. At the end of the process (last) it logs them at once.
func (r *Relay) LogFailures(last bool) {
	now := r.now()
	if last {
		now += failureLogInterval
	}
	for c, batch := range r.failureLog.takeBatch(now) {
		r.log.WithFields(logrus.Fields{
			"group": c.group, "outcome": c.outcome, "why": c.detail, "requests": batch.ids.String(), "count": batch.listed + batch.omitted, "not_named": batch.omitted,
		}).Info("relay: requests that did not succeed")
	}
}
