package relay

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/account"
	"github.com/stackspindle/stackspindle/internal/connpool"
	"github.com/stackspindle/stackspindle/internal/pool"
	"github.com/stackspindle/stackspindle/internal/quota"
	"github.com/stackspindle/stackspindle/internal/statement"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// declareAccounts puts a configuration into force that has the given accounts. The key of account
// NAME is key-NAME.
func (f *fixture) declareAccounts(version int64, accounts ...string) {
	declared := make([]account.Account, 0, len(accounts))
	for _, name := range accounts {
		declared = append(declared, account.Account{Name: name, Keys: []account.Key{account.NewKey("key-" + name)}, Limit: account.Limit{Rate: 1e9, Burst: 1e9}})
	}
	f.setConfig(version, account.NewDirectory(declared))
}

func (f *fixture) setConfig(version int64, accounts *account.Directory) {
	state := topology.New(0, 0)
	config := f.relay.snapshot().Config
	config.Version, config.Accounts = version, accounts
	config.Routes = append(config.Routes[:3:3], topology.Route{
		Name: "p", Database: "open", Group: "g", Public: true, Timeout: generous, LatencyObjective: generous,
	})
	state.SetConfig(config)
	for _, id := range []string{"m1", "m2"} {
		state.SetMember(0, f.group.Entry(id), false)
	}
	snap := state.Snapshot()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snap = snap
}

func withKey(database, name string) StartupRequest {
	return StartupRequest{Database: database, Key: account.NewKey("key-" + name)}
}

func TestAdmit(t *testing.T) {
	f := newFixture(t)
	f.declareAccounts(2, "a", "b")
	for name, c := range map[string]struct {
		start   StartupRequest
		current bool
		account string
		code    statement.Code
	}{
		"a key of an account":         {withKey("strict", "a"), true, "a", 0},
		"an unknown key":              {withKey("strict", "c"), true, "", statement.Unauthenticated},
		"no key":                      {StartupRequest{Database: "strict"}, true, "", statement.Unauthenticated},
		"no key on a public route":    {StartupRequest{Database: "open"}, true, account.Anonymous, 0},
		"a key on a public route":     {withKey("open", "a"), true, account.Anonymous, 0},
		"no route":                    {withKey("none", "a"), true, "", statement.NoDatabase},
		"no route and an unknown key": {withKey("none", "c"), true, "", statement.NoDatabase},
		"an unknown key while the configuration may be outdated": {withKey("strict", "c"), false, "", statement.Busy},
		"a known key while the configuration may be outdated":    {withKey("strict", "a"), false, "a", 0},
	} {
		t.Run(name, func(t *testing.T) {
			f.relay.topologyFresh = func() bool { return c.current }
			_, got, refusal := f.relay.admit(c.start)
			if c.code == 0 {
				must.Nil(t, refusal)
				must.Eq(t, c.account, got)
				return
			}
			must.Eq(t, c.code, refusal.Code)
			must.Eq(t, c.code == statement.Busy, refusal.RetryAfter > 0)
		})
	}
}

// Removing a key ends its open sessions: the next statement is refused, and an open transaction is
// rolled back.
func TestRevokedKeyEndsSessions(t *testing.T) {
	f := newFixture(t)
	f.declareAccounts(2, "a", "b")
	idle, open := newSession(f.relay, withKey("strict", "a")), newSession(f.relay, withKey("strict", "a"))
	must.Nil(t, f.run(idle, statement.Write, "WRITE 1 x").Err)
	f.run(open, statement.Begin, "BEGIN")
	must.Nil(t, f.run(open, statement.Write, "WRITE 2 x").Err)
	f.declareAccounts(3, "b")
	must.Eq(t, statement.Unauthenticated, f.run(idle, statement.Write, "WRITE 3 x").Err.Code)
	answer := f.run(open, statement.Commit, "COMMIT")
	must.Eq(t, statement.Aborted, answer.Err.Code)
	must.Eq(t, statement.Idle, answer.State)
	must.Eq(t, statement.Unauthenticated, f.run(open, statement.Read, "READ 1").Err.Code)
	must.Len(t, 1, f.group.Log())
	must.Nil(t, f.run(newSession(f.relay, withKey("strict", "b")), statement.Write, "WRITE 4 x").Err)
}

// When a key moves to another account, its open sessions use that account from their next
// transaction on.
func TestKeyMovesToAnotherAccount(t *testing.T) {
	f := newFixture(t)
	f.declareAccounts(2, "a", "b")
	s := newSession(f.relay, withKey("strict", "a"))
	f.run(s, statement.Begin, "BEGIN")
	f.setConfig(3, account.NewDirectory([]account.Account{{Name: "b", Keys: []account.Key{account.NewKey("key-a")}, Limit: account.Limit{Rate: 1e9, Burst: 1e9}}}))
	must.Nil(t, f.run(s, statement.Write, "WRITE 1 x").Err)
	must.Nil(t, f.run(s, statement.Commit, "COMMIT").Err)
	must.Nil(t, f.run(s, statement.Write, "WRITE 2 x").Err)
	runs := f.group.Runs()
	must.Eq(t, "a", runs[len(runs)-2].Account)
	must.Eq(t, "b", runs[len(runs)-1].Account)
}

// Sessions of several accounts use the same members concurrently. Each statement must reach its
// member on a connection of its own account.
func TestStatementsUseConnectionsOfTheirAccount(t *testing.T) {
	f := newFixture(t)
	names := []string{"a", "b", "c", "d", "e", "f"}
	f.declareAccounts(2, names...)
	var wg sync.WaitGroup
	for _, name := range names {
		for _, database := range []string{"strict", "bounded"} {
			wg.Go(func() {
				s := newSession(f.relay, withKey(database, name))
				for n := range 50 {
					s.handle(context.Background(), statement.Statement{ID: name + fmt.Sprint(n), Kind: statement.Read, Text: "READ 1"}, f.relay.now())
				}
			})
		}
	}
	wg.Wait()
	runs := f.group.Runs()
	must.Positive(t, len(runs))
	for _, run := range runs {
		must.Eq(t, run.Account, run.ID[:1], must.Sprintf("%+v", run))
	}
}

// unlimited is a Limiter that refuses nothing.
type unlimited struct{}

func (unlimited) AcquireToken(context.Context, string, time.Duration) (quota.Token, quota.Shortage, bool) {
	return quota.Token{}, quota.Shortage{}, true
}

func (unlimited) ReturnToken(string, quota.Token) {}

func (unlimited) Admit(quota.Operation) (time.Duration, bool) { return 0, true }

func (unlimited) RecordRejection(quota.Operation, time.Duration, time.Duration) time.Duration {
	return 0
}

func (unlimited) RecordSuccess(quota.Operation, time.Duration) {}

// fixedTokens is a Limiter with a fixed number of tokens.
type fixedTokens struct {
	unlimited
	left int
}

const testRetryAfter = 70 * time.Millisecond

func (l *fixedTokens) AcquireToken(context.Context, string, time.Duration) (quota.Token, quota.Shortage, bool) {
	l.left--
	return quota.Token{}, quota.Shortage{RetryAfter: testRetryAfter, OutOfTokens: 1}, l.left >= 0
}

func (l *fixedTokens) ReturnToken(string, quota.Token) { l.left++ }

// An operation beyond the account's limit is refused at once, with a delay after which to retry. A
// transaction counts as one operation.
func TestOperationsBeyondTheLimitAreRefused(t *testing.T) {
	f := newFixture(t)
	f.declareAccounts(2, "a")
	f.relay.limiter = &fixedTokens{left: 2}
	s := newSession(f.relay, withKey("strict", "a"))
	f.run(s, statement.Begin, "BEGIN")
	for range 3 {
		must.Nil(t, f.run(s, statement.Write, "WRITE 1 x").Err)
	}
	must.Nil(t, f.run(s, statement.Commit, "COMMIT").Err)
	must.Nil(t, f.run(s, statement.Read, "READ 1").Err)
	ran := len(f.group.Runs())
	answer := f.run(s, statement.Read, "READ 1")
	must.Eq(t, statement.Busy, answer.Err.Code)
	must.Eq(t, testRetryAfter, answer.Err.RetryAfter)
	must.Len(t, ran, f.group.Runs())
}

// A read that is retried because a member failed it needs another token.
func TestRetriedReadSpendsAnotherToken(t *testing.T) {
	for _, tokens := range []int{1, 2} {
		f := newFixture(t)
		f.declareAccounts(2, "a")
		must.Nil(t, f.run(newSession(f.relay, withKey("strict", "a")), statement.Read, "READ 1").Err) // adds a sample of the primary's log
		f.group.FailStatements("m1", 1)
		f.group.FailStatements("m2", 1)
		before := len(f.group.Runs())
		f.relay.limiter = &fixedTokens{left: tokens}
		answer := f.run(newSession(f.relay, withKey("bounded", "a")), statement.Read, "READ 1")
		must.Eq(t, statement.StatementFailed, answer.Err.Code)
		must.Len(t, before+tokens, f.group.Runs())
	}
}

// The token of an operation that has not run is returned.
func TestTokenIsReturnedWhenNothingRan(t *testing.T) {
	f := newFixture(t)
	f.declareAccounts(2, "a")
	limiter := &fixedTokens{left: 2}
	f.relay.limiter = limiter
	must.NoError(t, f.guard.Release(t.Context(), 2, 0)) // no primary can be used
	answer := f.run(newSession(f.relay, withKey("hurried", "a")), statement.Write, "WRITE 1 x")
	must.Eq(t, statement.Busy, answer.Err.Code)
	must.Eq(t, 2, limiter.left)
}

// A member that was restarted under the same ID gets new connections. Nothing observed of the
// earlier process, such as its log position, its prepared statements or its typical durations, is
// kept.
func TestRestartedMemberGetsNewState(t *testing.T) {
	f := newFixture(t)
	must.Nil(t, f.run(newSession(f.relay, StartupRequest{Database: "bounded"}), statement.Read, "READ 1").Err)
	must.Nil(t, f.run(newSession(f.relay, StartupRequest{Database: "bounded"}), statement.Read, "READ 1").Err)
	before := f.relay.upstreams.get("m2")
	must.Eq(t, 1, before.pool.NumOpen())
	state := topology.New(0, 0)
	state.SetConfig(f.relay.snapshot().Config)
	for _, id := range []string{"m1", "m2"} {
		m := f.group.Entry(id)
		if id == "m2" {
			m.Incarnation = 8
		}
		state.SetMember(0, m, false)
	}
	f.relay.upstreams.Update(state.Snapshot(), placedFor(state.Snapshot(), 1), "")
	after := f.relay.upstreams.get("m2")
	must.False(t, before == after)
	must.Zero(t, after.pool.NumOpen())
	must.True(t, after.position.IsZero())
	_, err := before.pool.Acquire(t.Context(), pool.Request{Service: "s"}, nil)
	must.ErrorIs(t, err, connpool.ErrClosed)
}

// expiringLimiter is a Limiter whose first tokens have expired when they are used.
type expiringLimiter struct {
	unlimited
	expired, spent int
}

func (l *expiringLimiter) AcquireToken(context.Context, string, time.Duration) (quota.Token, quota.Shortage, bool) {
	l.spent++
	if l.spent <= l.expired {
		return quota.NewToken(1), quota.Shortage{}, true
	}
	return quota.NewToken(time.Hour), quota.Shortage{}, true
}

// A statement that was queued until its token expired needs another one before it is sent, since
// tokens count at the time of their use.
func TestExpiredTokenIsReplacedBeforeSending(t *testing.T) {
	f := newFixture(t)
	f.declareAccounts(2, "a")
	limiter := &expiringLimiter{expired: 1}
	f.relay.limiter = limiter
	must.Nil(t, f.run(newSession(f.relay, withKey("strict", "a")), statement.Read, "READ 1").Err)
	must.Eq(t, 2, limiter.spent)
	must.Len(t, 1, f.group.Runs())
}
