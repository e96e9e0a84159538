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
		return topology.Route{}, "", &statement.Error{Code: statement.Busy, Detail: "no configuration is known yet", RetryAfter: comeBack}
	}
	route, ok := snap.Databases[start.Database]
	if !ok {
		return topology.Route{}, "", &statement.Error{Code: statement.NoDatabase, Detail: fmt.Sprintf("no route leads to database %q", start.Database)}
	}
	name, ok := snap.Config.Accounts.Identify(route.Public, start.Key)
	if !ok {
		return topology.Route{}, "", r.unauthenticated()
	}
	return route, name, nil
}

// unauthenticated is the answer to a key that no account holds. An instance that has
// not heard of the store for a while cannot know that, since the key may be new; its
// caller is sent elsewhere.
func (r *Relay) unauthenticated() *statement.Error {
	if !r.current() {
		return &statement.Error{Code: statement.Busy, Detail: "the key is not known here, and the configuration may have changed", RetryAfter: comeBack}
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
	Admit(v quota.Operation) (time.Duration, bool)
	// Refused takes in that an operation, passed on some time ago, was refused since its
	// account has no rights for a while. It returns when its caller is to come back; 0: not known.
	RecordRejection(v quota.Operation, ago, empty time.Duration) time.Duration
	// Ran takes in that an operation, passed on some time ago, was not refused for that.
	RecordSuccess(v quota.Operation, ago time.Duration)
}

// tokenShare is the part of its objective for which a statement may wait for the right to
// run, while nobody has said that there is none: as long as a caller that is refused then
// can still be served in time elsewhere.
const tokenShare = 0.25

// leastTokenWait is what a statement waits all the same where that leaves less, as after
// another carrier has refused it: the way to a holder and back.
const leastTokenWait = 25 * time.Millisecond

// spend uses the account's right to one operation, or returns the refusal.
func (s *session) spend(ctx context.Context, account string, route topology.Route, arrived time.Duration) (quota.Token, *statement.Error) {
	r := s.relay
	patience := arrived + time.Duration(float64(route.LatencyObjective)*tokenShare) - answerMargin - r.now()
	patience = min(max(patience, leastTokenWait), arrived+route.Timeout-r.now())
	token, shortage, ok := r.limiter.Spend(ctx, account, patience)
	s.accountEmpty = 0
	if ok {
		s.dueBack = 0
		return token, nil
	}
	if shortage.AtLimit() {
		s.accountEmpty = shortage.RetryAfter
	}
	if !s.carried {
		s.promise(shortage.RetryAfter)
	}
	r.logAtLimit(account, route.Database, shortage)
	return token, atLimit(shortage.RetryAfter)
}

func atLimit(comeBack time.Duration) *statement.Error {
	return &statement.Error{Code: statement.Busy, Detail: "not run: the account is at its limit", RetryAfter: comeBack}
}

// refuseAtDoor returns the refusal of a statement whose account is known to be at its
// limit, so that it is not carried for nothing; nil: it may be carried.
func (s *session) refuseAtDoor(account string, route topology.Route) *statement.Error {
	comeBack, ok := s.relay.limiter.Admit(s.visit(account, route))
	if ok {
		s.dueBack = 0
		return nil
	}
	s.relay.logAtDoor(account, route.Database, comeBack)
	return atLimit(s.promise(comeBack))
}

// noteCarried takes in what the reply to a carried statement tells of its account, and
// puts when to come back into its refusal.
func (s *session) noteCarried(route topology.Route, sent time.Duration, reply *relaypb.CarryReply) {
	visit, ago := s.visit(s.account, route), s.relay.now()-sent
	if reply.Code == 0 {
		s.relay.limiter.RecordSuccess(visit, ago)
		return
	}
	empty := time.Duration(min(max(0, reply.AccountEmptyUs), math.MaxInt64/int64(time.Microsecond))) * time.Microsecond
	if comeBack := s.relay.limiter.RecordRejection(visit, ago, empty); comeBack > 0 {
		reply.RetryAfterUs = s.promise(comeBack).Microseconds()
	}
}

func (s *session) visit(account string, route topology.Route) quota.Operation {
	return quota.Operation{Account: account, IsRetry: s.dueBack > 0 && s.relay.now() >= s.dueBack, MaxDelay: route.Timeout}
}

// promise remembers when the caller was told to come back.
func (s *session) promise(comeBack time.Duration) time.Duration {
	s.dueBack = s.relay.now() + comeBack.Truncate(time.Millisecond)
	return comeBack
}

// logAtLimit tells of an operation that got no token, and what those that hold the
// account's limit had said.
func (r *Relay) logAtLimit(account, database string, shortage quota.Shortage) {
	if leftOut, ok := r.sampler.Allow("limit" + account); ok {
		r.log.WithFields(logrus.Fields{
			"account": account, "database": database, "come_back_ms": shortage.RetryAfter.Milliseconds(), "left_out": leftOut,
			"holders_without": shortage.OutOfTokens, "holders_silent": shortage.Unresponsive, "holders_gone": shortage.Gone,
		}).Info("relay: an account is at its limit, or those that hold it could not be asked")
	}
}

// logAtDoor tells of an operation that was not carried, on the word of a carrier.
func (r *Relay) logAtDoor(account, database string, comeBack time.Duration) {
	if leftOut, ok := r.sampler.Allow("door" + account); ok {
		r.log.WithFields(logrus.Fields{"account": account, "database": database, "come_back_ms": comeBack.Milliseconds(), "left_out": leftOut}).
			Info("relay: an account is at its limit, as a carrier told a moment ago")
	}
}

// admitFirst is admit for the first statement of a session's transaction. Of a carried
// one the caller was admitted by its own instance, which knows the key.
func (s *session) admitFirst() (topology.Route, string, *statement.Error) {
	if !s.carried {
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
func (s *session) keyEnded() bool {
	if s.carried {
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
const endedKey = "the key under which the transaction was begun has been taken away, and it was rolled back"
