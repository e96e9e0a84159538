package relay

import (
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Bounds of the lines that name requests which did not succeed. With IDs of 16 bytes a
// line has up to 4.4 kB; more than a few causes a second would come from a fault.
const (
	failureLogInterval = time.Second
	maxFailureCauses   = 64  // lines in a period; further causes share the last
	maxLoggedIDs       = 256 // named in a line, the others are counted
)

// cause is what requests that did not succeed have in common.
type failureCause struct {
	group   string
	outcome string // the code that the caller got
	detail  string
}

// otherCauses stands for what is beyond the bound.
var otherCauses = failureCause{outcome: "various", detail: "more causes in a second than are told apart"}

// failures collects the requests that did not succeed, so that each can be found in
// the logs by its ID, at one line a second for each cause. It is safe for concurrent
// use and never waits for the log.
type failureLog struct {
	mu      sync.Mutex // guards the rest
	since   time.Duration
	byCause map[failureCause]*failedRequests
}

// failed are the requests of one cause in a period.
type failedRequests struct {
	ids     strings.Builder
	listed  int
	omitted int
}

func newFailureLog() *failureLog { return &failureLog{byCause: make(map[failureCause]*failedRequests)} }

// note adds a request.
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

// take returns what a period has brought once it is over, nil before.
func (f *failureLog) takeBatch(now time.Duration) map[failureCause]*failedRequests {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now-f.since < failureLogInterval || len(f.byCause) == 0 {
		return nil
	}
	batch := f.byCause
	f.since, f.byCause = now, make(map[failureCause]*failedRequests)
	return batch
}

// ReportFailures logs the requests that did not succeed since the last report, once a
// second has passed. At the end of the process the last are logged at once.
func (r *Relay) ReportFailures(last bool) {
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
