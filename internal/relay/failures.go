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
	failurePeriod = time.Second
	failureCauses = 64  // lines in a period; further causes share the last
	failureIDs    = 256 // named in a line, the others are counted
)

// cause is what requests that did not succeed have in common.
type cause struct {
	group   string
	outcome string // the code that the caller got
	why     string
}

// otherCauses stands for what is beyond the bound.
var otherCauses = cause{outcome: "various", why: "more causes in a second than are told apart"}

// failures collects the requests that did not succeed, so that each can be found in
// the logs by its ID, at one line a second for each cause. It is safe for concurrent
// use and never waits for the log.
type failures struct {
	mu      sync.Mutex // guards the rest
	since   time.Duration
	byCause map[cause]*failed
}

// failed are the requests of one cause in a period.
type failed struct {
	ids     strings.Builder
	named   int
	leftOut int
}

func newFailures() *failures { return &failures{byCause: make(map[cause]*failed)} }

// note adds a request.
func (f *failures) note(c cause, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byCause[c] == nil && len(f.byCause) >= failureCauses-1 {
		c = otherCauses
	}
	b := f.byCause[c]
	if b == nil {
		b = &failed{}
		f.byCause[c] = b
	}
	if b.named >= failureIDs {
		b.leftOut++
		return
	}
	if b.named > 0 {
		b.ids.WriteByte(' ')
	}
	b.ids.WriteString(id)
	b.named++
}

// take returns what a period has brought once it is over, nil before.
func (f *failures) take(now time.Duration) map[cause]*failed {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now-f.since < failurePeriod || len(f.byCause) == 0 {
		return nil
	}
	taken := f.byCause
	f.since, f.byCause = now, make(map[cause]*failed)
	return taken
}

// ReportFailures logs the requests that did not succeed since the last report, once a
// second has passed. At the end of the process the last are logged at once.
func (r *Relay) ReportFailures(last bool) {
	now := r.now()
	if last {
		now += failurePeriod
	}
	for c, b := range r.failures.take(now) {
		r.log.WithFields(logrus.Fields{
			"group": c.group, "outcome": c.outcome, "why": c.why, "requests": b.ids.String(), "count": b.named + b.leftOut, "not_named": b.leftOut,
		}).Info("relay: requests that did not succeed")
	}
}
