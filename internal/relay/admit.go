package relay

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/quota"
	"github.com/stackspindle/stackspindle/internal/relay/relaypb"
	"github.com/stackspindle/stackspindle/internal/statement"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// admit returns the route to a database and the account for which a caller uses it,
// by the configuration in force, or why the caller may not.
//
// That a database does not exist comes before the question whose key it is: without
// a route nobody can say whether a key is needed.
func (r *Relay) admit(start Start) (topology.Route, string, *statement.Error) {
	snap := r.snapshot()
	if snap.Version == 0 {
		return topology.Route{}, "", &statement.Error{Code: statement.Busy, Detail: "no configuration is known yet", RetryAfter: defaultRetryAfter}
	}
	route, ok := snap.Databases[start.Database]
	if !ok {
		return topology.Route{}, "", &statement.Error{Code: statement.NoDatabase, Detail: fmt.Sprintf("no route leads to database %q", start.Database)}
	}
	name, ok := snap.Config.Accounts.Identify(route.Public, start.Key)
	if !ok {
		return topology.Route{}, "", r.unauthenticatedError()
	}
	return route, name, nil
}

// unauthenticated is the answer to a key that no account holds. An instance that has
// not heard of the store for a while cannot know that, since the key may be new; its
// caller is sent elsewhere.
func (r *Relay) unauthenticatedError() *statement.Error {
	if !r.topologyFresh() {
		return &statement.Error{Code: statement.Busy, Detail: "the key is not known here, and the configuration may have changed", RetryAfter: defaultRetryAfter}
	}
	return &statement.Error{Code: statement.Unauthenticated, Detail: "no account holds the key"}
}

// Limiter keeps client accounts within what they may ask of the whole fleet.
type Limiter interface {
	// Spend uses an account's right to one operation, for which it waits no longer than
	// patience and until ctx ends. It reports false when there is none.
	Spend(ctx context.Context, account string, patience time.Duration) (quota.Token, quota.Shortage, bool)
	// Return gives back the right to an operation that has not run.
	Return(account string, t quota.Token)
	// Admit reports whether an operation may be passed to a carrier, or after what time its
	// caller is to come back.
	Admit(v quota.Visit) (time.Duration, bool)
	// Refused takes in that an operation, passed on some time ago, was refused since its
	// account has no rights for a while. It returns when its caller is to come back; 0: not known.
	Refused(v quota.Visit, ago, empty time.Duration) time.Duration
	// Ran takes in that an operation, passed on some time ago, was not refused for that.
	Ran(v quota.Visit, ago time.Duration)
}

// tokenShare is the part of its objective for which a statement may wait for the right to
// run, while nobody has said that there is none: as long as a caller that is refused then
// can still be served in time elsewhere.
const tokenWaitFraction = 0.25

// leastTokenWait is what a statement waits all the same where that leaves less, as after
// another carrier has refused it: the way to a holder and back.
const minTokenWait = 25 * time.Millisecond

// spend uses the account's right to one operation, or returns the refusal.
func (s *session) spendToken(ctx context.Context, account string, route topology.Route, arrived time.Duration) (quota.Token, *statement.Error) {
	r := s.relay
	patience := arrived + time.Duration(float64(route.LatencyObjective)*tokenWaitFraction) - answerMargin - r.now()
	patience = min(max(patience, minTokenWait), arrived+route.Timeout-r.now())
	token, shortage, ok := r.limiter.Spend(ctx, account, patience)
	s.accountEmptyFor = 0
	if ok {
		s.retryAt = 0
		return token, nil
	}
	if shortage.Empty() {
		s.accountEmptyFor = shortage.ComeBack
	}
	if !s.forwarded {
		s.rememberRetryAfter(shortage.ComeBack)
	}
	r.logAtLimit(account, route.Database, shortage)
	return token, atLimitError(shortage.ComeBack)
}

func atLimitError(retryAfter time.Duration) *statement.Error {
	return &statement.Error{Code: statement.Busy, Detail: "not run: the account is at its limit", RetryAfter: retryAfter}
}

// refuseAtDoor returns the refusal of a statement whose account is known to be at its
// limit, so that it is not carried for nothing; nil: it may be carried.
func (s *session) rejectFromCache(account string, route topology.Route) *statement.Error {
	retryAfter, ok := s.relay.limiter.Admit(s.quotaOperation(account, route))
	if ok {
		s.retryAt = 0
		return nil
	}
	s.relay.logCachedRejection(account, route.Database, retryAfter)
	return atLimitError(s.rememberRetryAfter(retryAfter))
}

// noteCarried takes in what the reply to a carried statement tells of its account, and
// puts when to come back into its refusal.
func (s *session) recordForwardedReply(route topology.Route, sent time.Duration, reply *relaypb.CarryReply) {
	operation, ago := s.quotaOperation(s.account, route), s.relay.now()-sent
	if reply.Code == 0 {
		s.relay.limiter.Ran(operation, ago)
		return
	}
	emptyFor := time.Duration(min(max(0, reply.AccountEmptyUs), math.MaxInt64/int64(time.Microsecond))) * time.Microsecond
	if retryAfter := s.relay.limiter.Refused(operation, ago, emptyFor); retryAfter > 0 {
		reply.RetryAfterUs = s.rememberRetryAfter(retryAfter).Microseconds()
	}
}

func (s *session) quotaOperation(account string, route topology.Route) quota.Visit {
	return quota.Visit{Account: account, Returning: s.retryAt > 0 && s.relay.now() >= s.retryAt, Horizon: route.Timeout}
}

// promise remembers when the caller was told to come back.
func (s *session) rememberRetryAfter(retryAfter time.Duration) time.Duration {
	s.retryAt = s.relay.now() + retryAfter.Truncate(time.Millisecond)
	return retryAfter
}

// logAtLimit tells of an operation that got no token, and what those that hold the
// account's limit had said.
func (r *Relay) logAtLimit(account, database string, shortage quota.Shortage) {
	if suppressed, ok := r.logSampler.Allow("limit" + account); ok {
		r.log.WithFields(logrus.Fields{
			"account": account, "database": database, "come_back_ms": shortage.ComeBack.Milliseconds(), "left_out": suppressed,
			"holders_without": shortage.Without, "holders_silent": shortage.Silent, "holders_gone": shortage.Gone,
		}).Info("relay: an account is at its limit, or those that hold it could not be asked")
	}
}

// logAtDoor tells of an operation that was not carried, on the word of a carrier.
func (r *Relay) logCachedRejection(account, database string, retryAfter time.Duration) {
	if suppressed, ok := r.logSampler.Allow("door" + account); ok {
		r.log.WithFields(logrus.Fields{"account": account, "database": database, "come_back_ms": retryAfter.Milliseconds(), "left_out": suppressed}).
			Info("relay: an account is at its limit, as a carrier told a moment ago")
	}
}

// admitFirst is admit for the first statement of a session's transaction. Of a carried
// one the caller was admitted by its own instance, which knows the key.
func (s *session) admitTransaction() (topology.Route, string, *statement.Error) {
	if !s.forwarded {
		return s.relay.admit(s.start)
	}
	route, ok := s.relay.snapshot().Databases[s.start.Database]
	if !ok {
		return topology.Route{}, "", &statement.Error{Code: statement.NoDatabase, Detail: fmt.Sprintf("no route leads to database %q", s.start.Database)}
	}
	return route, s.account, nil
}

// keyEnded reports whether the key under which a transaction was begun has been taken
// away since. The transaction is rolled back then: whoever has lost a key is to get
// nothing more, and nothing of an open transaction is kept yet.
func (s *session) keyRevoked() bool {
	if s.forwarded {
		return false // the caller's own instance tells
	}
	snap := s.relay.snapshot()
	route, ok := snap.Databases[s.start.Database]
	if !ok {
		return false // a route that is gone binds from the next transaction on
	}
	_, ok = snap.Config.Accounts.Identify(route.Public, s.start.Key)
	return !ok
}

// endedKey is the answer to a statement of a transaction whose key has been taken away.
const keyRevokedDetail = "the key under which the transaction was begun has been taken away, and it was rolled back"
