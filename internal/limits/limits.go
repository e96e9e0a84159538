// Package limits enforces the rate limits of client accounts over the whole fleet. Its
// Limiter fetches tokens, each of which permits one operation, from the instances that hold
// shares of an account's limit, and grants tokens of the shares that this instance holds.
// Package quota has the algorithms; this package adds the clock, locking, gRPC calls and
// metrics. Package relay uses it for each operation of a client.
package limits

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/account"
	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/limits/limitspb"
	"github.com/stackspindle/stackspindle/internal/peerconn"
	"github.com/stackspindle/stackspindle/internal/quota"
)

const (
	// callTimeout is the timeout of a call for tokens. An instance that has used up its
	// CPU quota is throttled for as long.
	callTimeout = 100 * time.Millisecond
	// lateFactor is the multiple of the average response time after which a holder counts
	// as late and the next holder is asked concurrently. The delay is at least minLate,
	// which a busy instance may take to answer, and at most maxLate.
	lateFactor = 3
	minLate    = 8 * time.Millisecond
	maxLate    = 25 * time.Millisecond
	// unansweredRetryAfter is the retry delay advised for an operation that got no answer in
	// time. A few more calls may have succeeded by then.
	unansweredRetryAfter = 250 * time.Millisecond
	// responseTimeSpan is the number of calls over which the response time is averaged.
	responseTimeSpan = 16
	// maxCountedAccounts bounds the accounts with counters of their own. Further accounts
	// are counted together as otherAccountsLabel.
	maxCountedAccounts = 512
	otherAccountsLabel = "others"
)

// Limiter checks operations against account limits and serves this instance's shares of
// the limits to other instances. It is safe for concurrent use.
type Limiter struct {
	limitspb.UnimplementedLimitsServer
	self     string
	accounts func() *account.Directory
	conns    *peerconn.Conns
	now      func() time.Duration
	spawn    func(func())
	log      *logrus.Entry
	counters counters
	timeout  time.Duration // of a call for tokens

	mu               sync.Mutex // guards the rest
	tokens           *quota.TokenCache
	buckets          *quota.Buckets
	snapshotTime     time.Duration // when the store snapshot was last known to be current
	registered       []string
	holders          *quota.Holders           // derived from registered
	addresses        map[string]string        // by name, of the instances that are alive
	fetches          map[string]chan struct{} // fetches in progress by account; each channel is closed at the end
	waiting          map[string]int           // operations that wait for a token, by account
	meanResponseTime time.Duration            // moving average of the response time of calls; 0: unknown
	rejections       *quota.RejectionCache
}

// Config holds the settings and dependencies of a limiter.
type Config struct {
	Self     lead.Instance // this instance, whose process has just started
	Rules    quota.Rules
	Accounts func() *account.Directory // returns the accounts of the configuration in force
	Conns    *peerconn.Conns           // to other instances
	Now      func() time.Duration      // monotonic clock, 0 at the start of the process
	Spawn    func(func())              // runs a task in the background
	Log      *logrus.Entry
	Metrics  *metrics.Set
}

// New returns a limiter. It holds no shares until SetSettledAt, SetInstances and
// ConfirmSnapshot have been called.
func New(cfg Config) *Limiter {
	return &Limiter{
		self: cfg.Self.Name, accounts: cfg.Accounts, conns: cfg.Conns, now: cfg.Now, spawn: cfg.Spawn, log: cfg.Log,
		counters:     counters{set: cfg.Metrics, counted: make(map[string]bool)},
		timeout:      callTimeout,
		tokens:       quota.NewTokenCache(cfg.Self.Name, cfg.Self.DataCentre),
		buckets:      quota.NewBuckets(cfg.Self.Name, cfg.Rules),
		snapshotTime: -quota.MaxSnapshotAge,
		holders:      quota.NewHolders(nil),
		fetches:      make(map[string]chan struct{}),
		waiting:      make(map[string]int),
		rejections:   quota.NewRejectionCache(),
	}
}

// SetInstances sets the names of the registered instances and the instances that are alive,
// from a store snapshot.
func (l *Limiter) SetInstances(registered []string, alive []lead.Instance) {
	addresses, dataCentres := make(map[string]string, len(alive)), make(map[string]string, len(alive))
	for _, i := range alive {
		addresses[i.Name], dataCentres[i.Name] = i.Address, i.DataCentre
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses = addresses
	if !slices.Equal(registered, l.registered) {
		l.registered, l.holders = registered, quota.NewHolders(registered)
		l.buckets.SetHolders(l.now(), l.holders)
	}
	l.tokens.SetHolders(l.holders, dataCentres)
}

// ConfirmSnapshot records a time at which the snapshot passed to SetInstances, which lists
// this instance as alive, was known to be current.
func (l *Limiter) ConfirmSnapshot(at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshotTime = max(l.snapshotTime, at)
}

// SetSettledAt sets the time from which this instance may hold shares.
func (l *Limiter) SetSettledAt(at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets.SetSettledAt(at)
}

// AcquireToken uses a token of an account for one operation. It usually takes a cached token at
// once; otherwise it waits for one for at most maxWait, or until ctx is done. If it gets
// none it returns false and the reason.
func (l *Limiter) AcquireToken(ctx context.Context, name string, maxWait time.Duration) (quota.Token, quota.Shortage, bool) {
	if !l.isLimited(name) {
		return quota.Token{}, quota.Shortage{}, true
	}
	var deadline <-chan time.Time
	for waited := false; ; waited = true {
		decision, fetched := l.decide(name, waited)
		switch decision.Verdict {
		case quota.Run:
			l.counters.count(name, "run")
			return decision.Token, quota.Shortage{}, true
		case quota.Refuse:
			l.counters.count(name, "refused")
			return quota.Token{}, decision.Shortage, false
		}
		if deadline == nil {
			timer := time.NewTimer(maxWait)
			defer timer.Stop()
			deadline = timer.C
		}
		select {
		case <-fetched:
		case <-deadline:
			l.stopWaiting(name, "unanswered")
			return quota.Token{}, quota.Shortage{RetryAfter: unansweredRetryAfter}, false
		case <-ctx.Done():
			l.stopWaiting(name, "caller_left")
			return quota.Token{}, quota.Shortage{RetryAfter: unansweredRetryAfter}, false
		}
	}
}

// isLimited reports whether operations of an account need tokens. Those of an unknown
// account do.
func (l *Limiter) isLimited(name string) bool {
	limit, known := l.accounts().Limit(name)
	return name != account.Anonymous && !(known && limit.Unlimited)
}

// ReturnToken puts back the token of an operation that did not run.
func (l *Limiter) ReturnToken(name string, t quota.Token) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens.Return(name, t)
}

// decide returns how to proceed with an operation, which may have waited before. If tokens
// are needed it starts to fetch some, unless a fetch for the account is in progress already.
// The returned channel is closed when that fetch has ended.
func (l *Limiter) decide(name string, waited bool) (quota.Decision, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if waited {
		l.waiting[name]--
	}
	decision := l.tokens.Take(l.now(), name)
	for decision.Holder == l.self {
		l.tokens.ApplyGrant(l.now(), l.now(), name, l.self, l.reserve(name, decision.Wanted))
		if decision.Verdict == quota.Run {
			decision.Holder, decision.Wanted = l.tokens.Prefetch(l.now(), name)
			continue
		}
		decision = l.tokens.Take(l.now(), name)
	}
	if inProgress := l.fetches[name]; inProgress != nil && decision.Verdict == quota.Refuse && decision.Shortage.OutOfTokens == 0 {
		decision.Verdict = quota.Fetch // no holder has reported having no token: await the fetch in progress
		l.waiting[name]++
		return decision, inProgress
	}
	if decision.Holder == "" {
		return decision, nil
	}
	if decision.Verdict == quota.Fetch {
		l.waiting[name]++
	}
	done := l.fetches[name]
	if done == nil {
		done = make(chan struct{})
		l.fetches[name] = done
		wanted := max(decision.Wanted, l.waiting[name])
		l.spawn(func() { l.runFetch(name, decision.Holder, wanted, done) })
	}
	return decision, done
}

// stopWaiting records that an operation has stopped waiting, and why.
func (l *Limiter) stopWaiting(name, outcome string) {
	l.mu.Lock()
	l.waiting[name]--
	l.mu.Unlock()
	l.counters.count(name, outcome)
}

// fetch is one fetch of tokens for an account, which asks one holder after another.
type fetch struct {
	limiter *Limiter
	account string
	answers chan struct{} // receives an item for each call that has succeeded or failed
	ended   chan struct{} // closed at the end of the fetch
	pending int           // calls without a result
	late    []string      // holders that were asked and did not answer before the next was asked
}

// runFetch requests tokens from a holder, and then from others until there are enough. A late
// holder is awaited concurrently with the next one.
func (l *Limiter) runFetch(name, holder string, wanted int, done chan struct{}) {
	f := &fetch{limiter: l, account: name, answers: make(chan struct{}), ended: make(chan struct{})}
	defer close(f.ended)
	for awaitLate := false; holder != "" || awaitLate && f.pending > 0; {
		if holder != "" {
			f.callHolder(holder, wanted)
		}
		f.await(holder)
		holder, wanted, awaitLate = l.nextHolder(name, f.late)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.fetches, name)
	close(done)
}

// callHolder calls one holder in the background. An answer that arrives after the end of the
// fetch is still processed.
func (f *fetch) callHolder(holder string, wanted int) {
	l := f.limiter
	f.pending++
	l.spawn(func() {
		sent := l.now()
		grant, err := l.call(f.account, holder, wanted)
		l.processAnswer(sent, f.account, holder, grant, err)
		select {
		case f.answers <- struct{}{}:
		case <-f.ended:
		}
	})
}

// await waits for the result of any call. If a holder was asked just now it waits no
// longer than lateAfter, and then counts that holder as late.
func (f *fetch) await(asked string) {
	if asked == "" {
		<-f.answers
		f.pending--
		return
	}
	late := time.NewTimer(f.limiter.lateAfter())
	defer late.Stop()
	select {
	case <-f.answers:
		f.pending--
	case <-late.C:
		f.late = append(f.late, asked)
	}
}

// processAnswer processes the result of a call to a holder.
func (l *Limiter) processAnswer(sent time.Duration, name, holder string, g quota.Grant, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.tokens.RecordFailure(l.now(), holder)
		l.log.WithError(err).WithFields(logrus.Fields{"account": name, "holder": holder}).Debug("limits: a holder did not answer")
		return
	}
	responseTime := l.now() - sent
	if l.meanResponseTime == 0 {
		l.meanResponseTime = responseTime
	}
	l.meanResponseTime += (responseTime - l.meanResponseTime) / responseTimeSpan
	l.tokens.ApplyGrant(sent, l.now(), name, holder, g)
}

// lateAfter returns the time without an answer after which a holder counts as late.
func (l *Limiter) lateAfter() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(max(lateFactor*l.meanResponseTime, minLate), maxLate)
}

// nextHolder returns the holder to ask next and how many tokens to request. If there is none,
// awaitLate reports whether to wait for the late holders. Tokens of this instance's own share
// are reserved directly.
func (l *Limiter) nextHolder(name string, late []string) (holder string, wanted int, awaitLate bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		holder, wanted, awaitLate = l.tokens.NextHolder(l.now(), name, l.waiting[name], late)
		if holder != l.self {
			return holder, wanted, awaitLate
		}
		l.tokens.ApplyGrant(l.now(), l.now(), name, holder, l.reserve(name, wanted))
	}
}

func (l *Limiter) call(name, holder string, wanted int) (quota.Grant, error) {
	l.mu.Lock()
	address := l.addresses[holder]
	l.mu.Unlock()
	conn, err := l.conns.Get(address)
	if err != nil {
		return quota.Grant{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.timeout)
	defer cancel()
	reply, err := limitspb.NewLimitsClient(conn).Reserve(ctx, &limitspb.ReserveRequest{Account: name, Wanted: uint32(wanted)})
	if err != nil {
		return quota.Grant{}, err
	}
	return quota.Grant{
		Tokens: int(reply.Tokens), IsHolder: reply.Holder,
		Lifetime: time.Duration(reply.LifeUs) * time.Microsecond, RetryAfter: time.Duration(reply.ComeBackUs) * time.Microsecond,
	}, nil
}

// reserve grants tokens of this instance's share. The caller holds mu.
func (l *Limiter) reserve(name string, wanted int) quota.Grant {
	limit, known := l.accounts().Limit(name)
	if !known {
		return quota.Grant{}
	}
	return l.buckets.Reserve(l.now(), l.snapshotTime, name, limit, wanted)
}

// Reserve implements limitspb.LimitsServer.
func (l *Limiter) Reserve(_ context.Context, req *limitspb.ReserveRequest) (*limitspb.ReserveReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.reserve(req.Account, int(req.Wanted))
	return &limitspb.ReserveReply{
		Tokens: uint32(g.Tokens), Holder: g.IsHolder, LifeUs: g.Lifetime.Microseconds(), ComeBackUs: g.RetryAfter.Microseconds(),
	}, nil
}

// counters counts operations by account and outcome, for a bounded number of accounts.
type counters struct {
	set *metrics.Set

	mu      sync.Mutex // guards counted
	counted map[string]bool
}

func (c *counters) count(name, outcome string) {
	c.mu.Lock()
	if !c.counted[name] {
		if len(c.counted) < maxCountedAccounts {
			c.counted[name] = true
		} else {
			name = otherAccountsLabel
		}
	}
	c.mu.Unlock()
	c.set.GetOrCreateCounter(fmt.Sprintf("stackspindle_account_operations_total{account=%q,outcome=%q}", name, outcome)).Inc()
}
