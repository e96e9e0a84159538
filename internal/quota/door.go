package quota

import (
	"maps"
	"time"

	"github.com/stackspindle/stackspindle/internal/account"
)

const (
	// maxShut bounds for how long operations are refused on one piece of news. An account
	// that has come below its limit meanwhile loses no more than twice that.
	maxShut = 500 * time.Millisecond
	// doorMemory is for how long the pace of an account at its limit is remembered.
	doorMemory = 10 * time.Second
	// doorAccounts bounds the accounts that are remembered. Operations of others are passed on.
	doorAccounts = 1024
	// turnShare is the part of the interval for which a caller that comes back in its turn
	// has precedence over one that has just come.
	turnShare = 0.25
)

// Door refuses operations of accounts that are at their limit at the instance to which
// their callers are connected, on the word of those that would have run them. It paces
// what it passes on: twice as slowly after each refusal, twice as fast after each
// operation that found a token, so that an instance takes part in what is left of the
// limit without knowing how many others do. It is not safe for concurrent use.
type Door struct {
	accounts map[string]*shut
}

// shut is an account that was at its limit lately.
type shut struct {
	open     bool          // an operation has found a token since
	told     time.Duration // when the last refusal came
	until    time.Duration // from when on the next operation is passed on
	interval time.Duration // between two of them
	passed   time.Duration // when one was, since until; 0: none
	lastTurn time.Duration // of those that were told when to come back
}

// NewDoor returns a door that passes all on.
func NewDoor() *Door { return &Door{accounts: make(map[string]*shut)} }

// Visit is one operation before the door.
type Visit struct {
	Account   string
	Limit     account.Limit // of the account; filled in by the limiter
	Returning bool          // its caller was told to come back by now
	Horizon   time.Duration // for how long the caller can wait to come back
}

// Admit reports whether an operation may be passed on, or after what time its caller is to
// come back. At the end of the time for which there are no tokens one operation goes
// first, in the order in which the callers were refused.
func (d *Door) Admit(now time.Duration, v Visit) (time.Duration, bool) {
	s := d.accounts[v.Account]
	switch {
	case s == nil || s.open || v.Limit.Unlimited || now >= s.told+2*s.interval:
		return 0, true
	case now >= s.until && s.isNext(now, v.Returning):
		s.passed = now
		return 0, true
	}
	return s.promise(now, v), false
}

// isNext reports whether an operation is the one that is passed on now.
func (s *shut) isNext(now time.Duration, returning bool) bool {
	if returning {
		return s.passed == 0 || now-s.passed >= s.interval
	}
	if s.passed > 0 {
		return false
	}
	return s.lastTurn < now || now >= s.until+time.Duration(turnShare*float64(s.interval))
}

// promise returns after what time a refused caller is to come back: one after the other,
// as far apart as operations are passed on.
func (s *shut) promise(now time.Duration, v Visit) time.Duration {
	turn := max(s.until, s.lastTurn+s.interval, now+time.Millisecond)
	if v.Horizon > 0 && turn > now+v.Horizon {
		return v.Horizon
	}
	s.lastTurn = turn
	return turn - now
}

// Refused takes in that an operation which was passed on at a time was refused, since the
// account has no tokens for a while, and returns after what time its caller is to come
// back. What cannot be is ignored, and answered with 0. How long the account is refused
// follows from its limit: the time that was told is one that others wait for as well, and an
// account a little above its limit has tokens sooner.
func (d *Door) Refused(sent, now time.Duration, v Visit, empty time.Duration) time.Duration {
	if empty <= 0 || empty > maxLife || v.Limit.Unlimited {
		return 0
	}
	s := d.accounts[v.Account]
	switch {
	case s == nil:
		if !d.hasRoom(now) {
			return 0
		}
		s = &shut{interval: shortest(v.Limit)}
		d.accounts[v.Account] = s
	case sent < s.told:
		return s.promise(now, v) // it left before the refusal that is known already
	case now-s.told > doorMemory:
		s.interval = shortest(v.Limit)
	default:
		s.interval *= 2
	}
	s.interval = min(s.interval, maxShut)
	s.open, s.told, s.until, s.passed = false, now, now+s.interval, 0
	return s.promise(now, v)
}

// Ran takes in that an operation which was passed on at a time has found a token.
func (d *Door) Ran(sent time.Duration, v Visit) {
	s := d.accounts[v.Account]
	if s == nil || sent < s.told {
		return
	}
	s.open, s.lastTurn = true, 0
	s.interval = max(s.interval/2, shortest(v.Limit))
}

// hasRoom reports whether another account can be remembered, and forgets those that have
// not been at their limit for a while.
func (d *Door) hasRoom(now time.Duration) bool {
	if len(d.accounts) < doorAccounts {
		return true
	}
	maps.DeleteFunc(d.accounts, func(_ string, s *shut) bool { return now-s.told > doorMemory })
	return len(d.accounts) < doorAccounts
}

// shortest returns the least interval between operations: that of an account's tokens.
func shortest(l account.Limit) time.Duration {
	if l.Rate <= 1/maxShut.Seconds() {
		return maxShut
	}
	return seconds(1 / l.Rate)
}
