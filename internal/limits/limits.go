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
	// askTimeout is the timeout of a call for tokens. An instance that has used up its
	// CPU quota stands still for as long.
	askTimeout = 100 * time.Millisecond
	// lateTimes is the multiple of the average response time after which a holder counts
	// as late and the next holder is asked concurrently. The delay is at least minLate,
	// which a busy instance may take to answer, and at most maxLate.
	lateTimes = 3
	minLate   = 8 * time.Millisecond
	maxLate   = 25 * time.Millisecond
	// unansweredPause is the retry delay advised for an operation that got no answer in
	// time. A few more calls may have succeeded by then.
	unansweredPause = 250 * time.Millisecond
	// usualSpan is the number of calls over which the response time is averaged.
	usualSpan = 16
	// countedAccounts bounds the accounts with counters of their own. Further accounts
	// are counted together as otherAccounts.
	countedAccounts = 512
	otherAccounts   = "others"
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

	mu         sync.Mutex // guards the rest
	meter      *quota.Meter
	ledger     *quota.Ledger
	confirmed  time.Duration // when the store snapshot was last known to be current
	registered []string
	holders    *quota.Holders           // derived from registered
	addresses  map[string]string        // by name, of the instances that are alive
	questions  map[string]chan struct{} // fetches in progress by account; each channel is closed at the end
	waiting    map[string]int           // operations that wait for a token, by account
	usual      time.Duration            // moving average of the response time of calls; 0: unknown
	door       *quota.Door
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

// New returns a limiter. It holds no shares until its activation time and a store snapshot
// are set.
func New(cfg Config) *Limiter {
	return &Limiter{
		self: cfg.Self.Name, accounts: cfg.Accounts, conns: cfg.Conns, now: cfg.Now, spawn: cfg.Spawn, log: cfg.Log,
		counters:  counters{set: cfg.Metrics, named: make(map[string]bool)},
		timeout:   askTimeout,
		meter:     quota.NewMeter(cfg.Self.Name, cfg.Self.DataCentre),
		ledger:    quota.NewLedger(cfg.Self.Name, cfg.Rules),
		confirmed: -quota.Validity,
		holders:   quota.NewHolders(nil),
		questions: make(map[string]chan struct{}),
		waiting:   make(map[string]int),
		door:      quota.NewDoor(),
	}
}

// Learn sets the names of the registered instances and the instances that are alive, from
// a store snapshot.
func (l *Limiter) Learn(registered []string, alive []lead.Instance) {
	addresses, centres := make(map[string]string, len(alive)), make(map[string]string, len(alive))
	for _, i := range alive {
		addresses[i.Name], centres[i.Name] = i.Address, i.DataCentre
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses = addresses
	if !slices.Equal(registered, l.registered) {
		l.registered, l.holders = registered, quota.NewHolders(registered)
		l.ledger.Register(l.now(), l.holders)
	}
	l.meter.Register(l.holders, centres)
}

// Confirm records the time at which the current snapshot, which lists this instance as
// alive, is known to have been current.
func (l *Limiter) Confirm(at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmed = max(l.confirmed, at)
}

// Settle sets the time from which this instance may hold shares.
func (l *Limiter) Settle(at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Settle(at)
}

// Spend uses a token of an account for one operation. It usually takes a cached token at
// once; otherwise it waits for one for at most patience, or until ctx is done. If it gets
// none it returns false and the reason.
func (l *Limiter) Spend(ctx context.Context, name string, patience time.Duration) (quota.Token, quota.Shortage, bool) {
	if !l.isLimited(name) {
		return quota.Token{}, quota.Shortage{}, true
	}
	var deadline <-chan time.Time
	for waits := false; ; waits = true {
		decision, asked := l.take(name, waits)
		switch decision.Verdict {
		case quota.Run:
			l.counters.note(name, "run")
			return decision.Token, quota.Shortage{}, true
		case quota.Refuse:
			l.counters.note(name, "refused")
			return quota.Token{}, decision.Shortage, false
		}
		if deadline == nil {
			timer := time.NewTimer(patience)
			defer timer.Stop()
			deadline = timer.C
		}
		select {
		case <-asked:
		case <-deadline:
			l.giveUp(name, "unanswered")
			return quota.Token{}, quota.Shortage{ComeBack: unansweredPause}, false
		case <-ctx.Done():
			l.giveUp(name, "caller_left")
			return quota.Token{}, quota.Shortage{ComeBack: unansweredPause}, false
		}
	}
}

// isLimited reports whether operations of an account need tokens. Those of an unknown
// account do.
func (l *Limiter) isLimited(name string) bool {
	limit, known := l.accounts().Limit(name)
	return name != account.Anonymous && !(known && limit.Unlimited)
}

// Return puts back the token of an operation that did not run.
func (l *Limiter) Return(name string, t quota.Token) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.meter.Return(name, t)
}

// take decides about an operation, which may have waited before. If tokens are needed it
// starts to fetch some, unless a fetch for the account is in progress already. The returned
// channel is closed when that fetch has ended.
func (l *Limiter) take(name string, waited bool) (quota.Decision, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if waited {
		l.waiting[name]--
	}
	decision := l.meter.Take(l.now(), name)
	for decision.Holder == l.self {
		l.meter.Granted(l.now(), l.now(), name, l.self, l.reserve(name, decision.Wanted))
		if decision.Verdict == quota.Run {
			decision.Holder, decision.Wanted = l.meter.Ahead(l.now(), name)
			continue
		}
		decision = l.meter.Take(l.now(), name)
	}
	if under := l.questions[name]; under != nil && decision.Verdict == quota.Refuse && decision.Shortage.Without == 0 {
		decision.Verdict = quota.Ask // no holder has reported having no token: await the fetch in progress
		l.waiting[name]++
		return decision, under
	}
	if decision.Holder == "" {
		return decision, nil
	}
	if decision.Verdict == quota.Ask {
		l.waiting[name]++
	}
	done := l.questions[name]
	if done == nil {
		done = make(chan struct{})
		l.questions[name] = done
		wanted := max(decision.Wanted, l.waiting[name])
		l.spawn(func() { l.ask(name, decision.Holder, wanted, done) })
	}
	return decision, done
}

// giveUp records that an operation has stopped waiting, and why.
func (l *Limiter) giveUp(name, outcome string) {
	l.mu.Lock()
	l.waiting[name]--
	l.mu.Unlock()
	l.counters.note(name, outcome)
}

// question is one fetch of tokens for an account, which asks one holder after another.
type question struct {
	limiter *Limiter
	account string
	answers chan struct{} // receives an item for each call that has succeeded or failed
	ended   chan struct{} // closed at the end of the fetch
	awaited int           // calls without a result
	late    []string      // holders that were asked and did not answer before the next was asked
}

// ask requests tokens from a holder, and then from others until there are enough. A late
// holder is awaited concurrently with the next one.
func (l *Limiter) ask(name, holder string, wanted int, done chan struct{}) {
	q := &question{limiter: l, account: name, answers: make(chan struct{}), ended: make(chan struct{})}
	defer close(q.ended)
	for open := false; holder != "" || open && q.awaited > 0; {
		if holder != "" {
			q.put(holder, wanted)
		}
		q.await(holder)
		holder, wanted, open = l.next(name, q.late)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.questions, name)
	close(done)
}

// put calls one holder in the background. An answer that arrives after the end of the
// fetch is still processed.
func (q *question) put(holder string, wanted int) {
	l := q.limiter
	q.awaited++
	l.spawn(func() {
		sent := l.now()
		grant, err := l.call(q.account, holder, wanted)
		l.answered(sent, q.account, holder, grant, err)
		select {
		case q.answers <- struct{}{}:
		case <-q.ended:
		}
	})
}

// await waits for the result of any call. If a holder was asked just now it waits no
// longer than lateAfter, and then counts that holder as late.
func (q *question) await(asked string) {
	if asked == "" {
		<-q.answers
		q.awaited--
		return
	}
	late := time.NewTimer(q.limiter.lateAfter())
	defer late.Stop()
	select {
	case <-q.answers:
		q.awaited--
	case <-late.C:
		q.late = append(q.late, asked)
	}
}

// answered processes the result of a call to a holder.
func (l *Limiter) answered(sent time.Duration, name, holder string, g quota.Grant, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.meter.Failed(l.now(), holder)
		l.log.WithError(err).WithFields(logrus.Fields{"account": name, "holder": holder}).Debug("limits: a holder did not answer")
		return
	}
	took := l.now() - sent
	if l.usual == 0 {
		l.usual = took
	}
	l.usual += (took - l.usual) / usualSpan
	l.meter.Granted(sent, l.now(), name, holder, g)
}

// lateAfter returns the time without an answer after which a holder counts as late.
func (l *Limiter) lateAfter() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(max(lateTimes*l.usual, minLate), maxLate)
}

// next returns the holder to ask next and how many tokens to request. If there is none,
// open reports whether to wait for the late holders. Tokens of this instance's own share
// are reserved directly.
func (l *Limiter) next(name string, late []string) (holder string, wanted int, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		holder, wanted, open = l.meter.Next(l.now(), name, l.waiting[name], late)
		if holder != l.self {
			return holder, wanted, open
		}
		l.meter.Granted(l.now(), l.now(), name, holder, l.reserve(name, wanted))
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
		Tokens: int(reply.Tokens), Holder: reply.Holder,
		Life: time.Duration(reply.LifeUs) * time.Microsecond, ComeBack: time.Duration(reply.ComeBackUs) * time.Microsecond,
	}, nil
}

// reserve grants tokens of this instance's share. The caller holds mu.
func (l *Limiter) reserve(name string, wanted int) quota.Grant {
	limit, known := l.accounts().Limit(name)
	if !known {
		return quota.Grant{}
	}
	return l.ledger.Reserve(l.now(), l.confirmed, name, limit, wanted)
}

// Reserve implements limitspb.LimitsServer.
func (l *Limiter) Reserve(_ context.Context, req *limitspb.ReserveRequest) (*limitspb.ReserveReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.reserve(req.Account, int(req.Wanted))
	return &limitspb.ReserveReply{
		Tokens: uint32(g.Tokens), Holder: g.Holder, LifeUs: g.Life.Microseconds(), ComeBackUs: g.ComeBack.Microseconds(),
	}, nil
}

// counters counts operations by account and outcome, for a bounded number of accounts.
type counters struct {
	set *metrics.Set

	mu    sync.Mutex // guards named
	named map[string]bool
}

func (c *counters) note(name, outcome string) {
	c.mu.Lock()
	if !c.named[name] {
		if len(c.named) < countedAccounts {
			c.named[name] = true
		} else {
			name = otherAccounts
		}
	}
	c.mu.Unlock()
	c.set.GetOrCreateCounter(fmt.Sprintf("stackspindle_account_operations_total{account=%q,outcome=%q}", name, outcome)).Inc()
}
