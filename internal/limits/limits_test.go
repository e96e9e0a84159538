package limits

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/stackspindle/stackspindle/internal/account"
	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/limits/limitspb"
	"github.com/stackspindle/stackspindle/internal/peerconn"
	"github.com/stackspindle/stackspindle/internal/quota"
)

var rules = quota.Rules{Window: 5 * time.Second, Tolerance: 0.1, Slack: 20}

const generous = time.Minute // a timeout that no test reaches

// fleet is a number of limiters that call one another over loopback. They share a clock,
// which advances only when a test sets it.
type fleet struct {
	clock    atomic.Int64
	limiters []*Limiter
	servers  []*grpc.Server
	alive    []lead.Instance
}

func newFleet(t *testing.T, n int, limit account.Limit) *fleet {
	f := &fleet{}
	f.clock.Store(int64(time.Minute))
	directory := account.NewDirectory([]account.Account{{Name: "a", Limit: limit}, {Name: "free", Limit: account.Limit{Unlimited: true}}})
	log := logrus.New()
	log.SetOutput(io.Discard)
	var names []string
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		self := lead.Instance{Name: fmt.Sprintf("front-%02d", i), DataCentre: "dc", Address: listener.Addr().String()}
		conns := peerconn.New()
		t.Cleanup(conns.Close)
		l := New(Config{
			Self: self, Rules: rules, Accounts: func() *account.Directory { return directory }, Conns: conns,
			Now: func() time.Duration { return time.Duration(f.clock.Load()) }, Spawn: func(task func()) { go task() },
			Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
		})
		server := grpc.NewServer()
		limitspb.RegisterLimitsServer(server, l)
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		t.Cleanup(func() {
			server.Stop()
			if err := <-served; err != nil && !errors.Is(err, grpc.ErrServerStopped) { // stopped before it served
				t.Errorf("serve: %v", err)
			}
		})
		f.limiters, f.servers = append(f.limiters, l), append(f.servers, server)
		f.alive, names = append(f.alive, self), append(names, self.Name)
	}
	for _, l := range f.limiters {
		l.SetSettledAt(0)
		l.SetInstances(names, f.alive)
	}
	f.clock.Add(int64(time.Minute)) // fills the buckets
	for _, l := range f.limiters {
		l.ConfirmSnapshot(l.now())
	}
	return f
}

// All instances together run no more operations of an account than its limit allows, and
// then reject the others with a retry delay.
func TestInstancesShareOneLimit(t *testing.T) {
	limit := account.Limit{Rate: 20, Burst: 20}
	f := newFleet(t, 8, limit)
	var ran, refused atomic.Int64
	var work sync.WaitGroup
	for _, l := range f.limiters {
		work.Go(func() {
			for range 100 {
				if _, shortage, ok := l.AcquireToken(t.Context(), "a", generous); ok {
					ran.Add(1)
				} else {
					refused.Add(1)
					if shortage.RetryAfter <= 0 {
						t.Error("a rejection without a retry delay")
					}
				}
			}
		})
	}
	work.Wait()
	must.Positive(t, ran.Load())
	must.Positive(t, refused.Load())
	must.LessEq(t, int64(rules.Budget(limit).Depth), ran.Load())
}

// Operations of unlimited and anonymous accounts need no tokens and call no holder.
func TestUnlimitedAccountsCallNoHolder(t *testing.T) {
	f := newFleet(t, 1, account.Limit{Rate: 1})
	f.servers[0].Stop()
	for _, name := range []string{"free", account.Anonymous} {
		_, _, ok := f.limiters[0].AcquireToken(t.Context(), name, generous)
		must.True(t, ok)
	}
}

// Holders that do not answer are skipped in favour of those that do.
func TestStoppedHoldersAreSkipped(t *testing.T) {
	f := newFleet(t, 8, account.Limit{Rate: 50, Burst: 50})
	for _, server := range f.servers[1:4] {
		server.Stop()
	}
	_, _, ok := f.limiters[0].AcquireToken(t.Context(), "a", generous)
	must.True(t, ok)
}

// The token of an operation that did not run can be used by another one.
func TestReturnedTokenIsReused(t *testing.T) {
	f := newFleet(t, 2, account.Limit{Rate: 1})
	l := f.limiters[0]
	var last quota.Token
	for {
		token, _, ok := l.AcquireToken(t.Context(), "a", generous)
		if !ok {
			break
		}
		last = token
	}
	l.ReturnToken("a", last)
	_, _, ok := l.AcquireToken(t.Context(), "a", generous)
	must.True(t, ok)
}

// Operations of an account that is not declared are rejected.
func TestUnknownAccountIsRefused(t *testing.T) {
	f := newFleet(t, 2, account.Limit{Rate: 1})
	_, _, ok := f.limiters[0].AcquireToken(t.Context(), "none", generous)
	must.False(t, ok)
}

// holdersExcept returns the indexes of the holders of an account except for one.
func (f *fleet) holdersExcept(name, not string) []int {
	var held []int
	for i, l := range f.limiters {
		if l.self != not && slices.Contains(l.holders.Of(name), l.self) {
			held = append(held, i)
		}
	}
	return held
}

// makeUnresponsive makes a holder leave all calls unanswered.
func (f *fleet) makeUnresponsive(t *testing.T, i int) {
	f.servers[i].Stop()
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never answers
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, l.Close()) })
	for n := range f.alive {
		if n == i {
			f.alive[n].Address = l.Addr().String()
		}
	}
	for _, limiter := range f.limiters {
		limiter.SetInstances(limiter.registered, f.alive)
	}
}

// With five of six holders unresponsive, as after a failure of many instances, an operation
// gets its token from the sixth while the calls to the others are still pending.
func TestLateHoldersDoNotDelayOperations(t *testing.T) {
	f := newFleet(t, 7, account.Limit{Rate: 50, Burst: 50})
	var asker *Limiter
	for _, l := range f.limiters {
		if !slices.Contains(l.holders.Of("a"), l.self) {
			asker = l
		}
	}
	asker.timeout = time.Hour
	for _, i := range f.holdersExcept("a", asker.holders.Of("a")[5]) {
		f.makeUnresponsive(t, i)
	}
	for range 3 {
		_, _, ok := asker.AcquireToken(t.Context(), "a", generous)
		must.True(t, ok)
	}
}

// An operation whose client has disconnected does not wait for a token.
func TestDisconnectedClientWaitsForNoToken(t *testing.T) {
	f := newFleet(t, 7, account.Limit{Rate: 50, Burst: 50})
	l := f.limiters[0]
	l.timeout = time.Hour
	for _, i := range f.holdersExcept("a", "") {
		f.makeUnresponsive(t, i)
	}
	ctx, leave := context.WithCancel(t.Context())
	leave()
	if slices.Contains(l.holders.Of("a"), l.self) {
		l.SetSettledAt(2 * time.Hour) // makes its own share unavailable
	}
	_, shortage, ok := l.AcquireToken(ctx, "a", generous)
	must.False(t, ok)
	must.Positive(t, shortage.RetryAfter)
}

// An account is at its limit and one of its holders does not answer. Once another holder
// has reported having no token, operations are rejected rather than held until the late
// one answers.
func TestLateHolderDoesNotDelayRejections(t *testing.T) {
	f := newFleet(t, 7, account.Limit{Rate: 10, Burst: 10})
	var asker *Limiter
	for _, l := range f.limiters {
		if !slices.Contains(l.holders.Of("a"), l.self) {
			asker = l
		}
	}
	asker.timeout = time.Hour
	f.makeUnresponsive(t, f.holdersExcept("a", "")[0])
	var refused int
	var work sync.WaitGroup
	for range 20 {
		work.Go(func() {
			for range 20 {
				if _, _, ok := asker.AcquireToken(t.Context(), "a", time.Hour); !ok {
					asker.mu.Lock()
					refused++
					asker.mu.Unlock()
				}
			}
		})
	}
	work.Wait()
	must.Positive(t, refused)
}
