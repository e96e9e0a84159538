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

// admit authenticates a client by the configuration in force. It returns the route to the database
// and the client's account, or the refusal.
//
// The database is checked before the key, because the route determines whether a key is needed.
func (r *Relay) admit(startup StartupRequest) (topology.Route, string, *statement.Error) {
	snap := r.snapshot()
	if snap.Version == 0 {
		return topology.Route{}, "", &statement.Error{Code: statement.Busy, Detail: "no configuration is known yet", RetryAfter: defaultRetryAfter}
	}
	route, ok := snap.Databases[startup.Database]
	if !ok {
		return topology.Route{}, "", &statement.Error{Code: statement.NoDatabase, Detail: fmt.Sprintf("no route leads to database %q", startup.Database)}
	}
	name, ok := snap.Config.Accounts.Identify(route.Public, startup.Key)
	if !ok {
		return topology.Route{}, "", r.unauthenticatedError()
	}
	return route, name, nil
}

// unauthenticatedError is the refusal of a key that no account holds. An instance whose
// configuration may be outdated cannot know that, since the key may be new; it refuses the client
// as busy, so that the client retries elsewhere.
func (r *Relay) unauthenticatedError() *statement.Error {
	if !r.topologyFresh() {
		return &statement.Error{Code: statement.Busy, Detail: "the key is not known here, and the configuration may have changed", RetryAfter: defaultRetryAfter}
	}
	return &statement.Error{Code: statement.Unauthenticated, Detail: "no account holds the key"}
}

// Limiter enforces the rate limits of client accounts over the whole fleet.
type Limiter interface {
	// AcquireToken takes a token for one operation of the account. It waits no longer than patience or
	// until ctx ends, and reports false when there is no token.
	AcquireToken(ctx context.Context, account string, patience time.Duration) (quota.Token, quota.Shortage, bool)
	// ReturnToken returns the token of an operation that has not run.
	ReturnToken(account string, t quota.Token)
	// Admit reports whether an operation may be forwarded to a carrier, or else the delay after
	// which the client should retry.
	Admit(op quota.Operation) (time.Duration, bool)
	// RecordRejection records that an operation, forwarded the given time ago, was refused because
	// its account has no tokens for a while. It returns the delay after which the client should
	// retry; 0: not known.
	RecordRejection(op quota.Operation, ago, emptyFor time.Duration) time.Duration
	// RecordSuccess records that an operation, forwarded the given time ago, was not refused for
	// its account's limit.
	RecordSuccess(op quota.Operation, ago time.Duration)
}

// tokenWaitFraction is the fraction of its latency objective for which a statement may wait for a
// token while no limit holder has answered that there is none. A client that is refused after that
// time can still be served in time by another instance.
const tokenWaitFraction = 0.25

// minTokenWait is the least time that a statement waits for a token, also when little of its
// objective is left, for example after a refusal by another carrier. It covers a round trip to a
// limit holder.
const minTokenWait = 25 * time.Millisecond

// spendToken takes a token for one operation of the account, or returns the refusal.
func (s *session) spendToken(ctx context.Context, account string, route topology.Route, arrived time.Duration) (quota.Token, *statement.Error) {
	r := s.relay
	patience := arrived + time.Duration(float64(route.LatencyObjective)*tokenWaitFraction) - answerMargin - r.now()
	patience = min(max(patience, minTokenWait), arrived+route.Timeout-r.now())
	token, shortage, ok := r.limiter.AcquireToken(ctx, account, patience)
	s.accountEmptyFor = 0
	if ok {
		s.retryAt = 0
		return token, nil
	}
	if shortage.AtLimit() {
		s.accountEmptyFor = shortage.RetryAfter
	}
	if !s.forwarded {
		s.rememberRetryAfter(shortage.RetryAfter)
	}
	r.logAtLimit(account, route.Database, shortage)
	return token, atLimitError(shortage.RetryAfter)
}

func atLimitError(retryAfter time.Duration) *statement.Error {
	return &statement.Error{Code: statement.Busy, Detail: "not run: the account is at its limit", RetryAfter: retryAfter}
}

// rejectFromCache returns the refusal of a statement whose account is known to be at its limit, so
// that it is not forwarded in vain. It returns nil if the statement may be forwarded.
func (s *session) rejectFromCache(account string, route topology.Route) *statement.Error {
	retryAfter, ok := s.relay.limiter.Admit(s.quotaOperation(account, route))
	if ok {
		s.retryAt = 0
		return nil
	}
	s.relay.logCachedRejection(account, route.Database, retryAfter)
	return atLimitError(s.rememberRetryAfter(retryAfter))
}

// recordForwardedReply records what a carrier's reply says about the account's limit, and sets the
// reply's retry delay if the limiter knows one.
func (s *session) recordForwardedReply(route topology.Route, sentAt time.Duration, reply *relaypb.CarryReply) {
	operation, ago := s.quotaOperation(s.account, route), s.relay.now()-sentAt
	if reply.Code == 0 {
		s.relay.limiter.RecordSuccess(operation, ago)
		return
	}
	emptyFor := time.Duration(min(max(0, reply.AccountEmptyUs), math.MaxInt64/int64(time.Microsecond))) * time.Microsecond
	if retryAfter := s.relay.limiter.RecordRejection(operation, ago, emptyFor); retryAfter > 0 {
		reply.RetryAfterUs = s.rememberRetryAfter(retryAfter).Microseconds()
	}
}

func (s *session) quotaOperation(account string, route topology.Route) quota.Operation {
	return quota.Operation{Account: account, IsRetry: s.retryAt > 0 && s.relay.now() >= s.retryAt, MaxDelay: route.Timeout}
}

// rememberRetryAfter records when the client may retry.
func (s *session) rememberRetryAfter(retryAfter time.Duration) time.Duration {
	s.retryAt = s.relay.now() + retryAfter.Truncate(time.Millisecond)
	return retryAfter
}

// logAtLimit logs an operation that got no token, with the answers of the limit holders.
func (r *Relay) logAtLimit(account, database string, shortage quota.Shortage) {
	if suppressed, ok := r.logSampler.Allow("limit" + account); ok {
		r.log.WithFields(logrus.Fields{
			"account": account, "database": database, "come_back_ms": shortage.RetryAfter.Milliseconds(), "left_out": suppressed,
			"holders_without": shortage.OutOfTokens, "holders_silent": shortage.Unresponsive, "holders_gone": shortage.NotAlive,
		}).Info("relay: an account is at its limit, or those that hold it could not be asked")
	}
}

// logCachedRejection logs an operation that was not forwarded because a carrier reported the
// account's limit before.
func (r *Relay) logCachedRejection(account, database string, retryAfter time.Duration) {
	if suppressed, ok := r.logSampler.Allow("door" + account); ok {
		r.log.WithFields(logrus.Fields{"account": account, "database": database, "come_back_ms": retryAfter.Milliseconds(), "left_out": suppressed}).
			Info("relay: an account is at its limit, as a carrier told a moment ago")
	}
}

// admitTransaction is admit for the first statement of a transaction. The client of a forwarded
// statement was authenticated by its ingress instance, which has the key.
func (s *session) admitTransaction() (topology.Route, string, *statement.Error) {
	if !s.forwarded {
		return s.relay.admit(s.startup)
	}
	route, ok := s.relay.snapshot().Databases[s.startup.Database]
	if !ok {
		return topology.Route{}, "", &statement.Error{Code: statement.NoDatabase, Detail: fmt.Sprintf("no route leads to database %q", s.startup.Database)}
	}
	return route, s.account, nil
}

// keyRevoked reports whether the key under which the open transaction began was removed since. The
// transaction is rolled back then: the holder of a revoked key must get no further answers, and the
// transaction has not committed anything yet.
func (s *session) keyRevoked() bool {
	if s.forwarded {
		return false // the ingress instance checks the key
	}
	snap := s.relay.snapshot()
	route, ok := snap.Databases[s.startup.Database]
	if !ok {
		return false // a removed route takes effect with the next transaction
	}
	_, ok = snap.Config.Accounts.Identify(route.Public, s.startup.Key)
	return !ok
}

// keyRevokedDetail is the answer to a statement of a transaction whose key was removed.
const keyRevokedDetail = "the key under which the transaction was begun has been taken away, and it was rolled back"
