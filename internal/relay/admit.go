package relay

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/quota"
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
	// Spend uses an account's right to one operation. It reports false when there is
	// none, with after what time there may be one.
	Spend(account string) (quota.Token, time.Duration, bool)
	// Return gives back the right to an operation that has not run.
	Return(account string, t quota.Token)
}

// spend uses an account's right to one operation, or returns the refusal.
func (r *Relay) spend(account, database string) (quota.Token, *statement.Error) {
	token, comeBack, ok := r.limiter.Spend(account)
	if ok {
		return token, nil
	}
	if leftOut, ok := r.sampler.Allow("limit" + account); ok {
		r.log.WithFields(logrus.Fields{"account": account, "database": database, "come_back_ms": comeBack.Milliseconds(), "left_out": leftOut}).
			Info("relay: an account is at its limit, or those that hold it could not be asked")
	}
	return token, &statement.Error{Code: statement.Busy, Detail: "not run: the account is at its limit", RetryAfter: comeBack}
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
