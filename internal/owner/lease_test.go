package owner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against work of an earlier term that is acknowledged under the lease of a later one, which
// the instance took while the work was in progress.
func TestLeaseOfLaterTermIsNotUsed(t *testing.T) {
	now := time.Second
	g := &Group{opts: Options{Now: func() time.Duration { return now }}}
	work := &view{term: 5, serving: true}
	g.lease.Store(&termLease{term: 5, end: now + time.Second})
	must.Eq(t, now+time.Second, g.leaseEnd(work.term))
	g.lease.Store(&termLease{term: 7, end: now + time.Hour})
	must.Eq(t, 0, g.leaseEnd(work.term))

	g.view.Store(work) // as read before the instance lost the group and took it again
	g.progress.Store(&progress{changed: make(chan struct{})})
	g.opts.Now = func() time.Duration { now += ackTimeout / 2; return now }
	_, err := g.awaitLease(t.Context(), work)
	must.Error(t, err)
}
