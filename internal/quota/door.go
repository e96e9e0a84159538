package quota

import (
	"maps"
	"time"

	"github.com/stackspindle/stackspindle/internal/account"
)

const (
	// maxShut bounds the time for which operations are rejected after one carrier
	// rejection. An account that has dropped below its limit meanwhile is rejected
	// for at most twice that.
	maxShut = 500 * time.Millisecond
	// doorMemory is how long the probe interval of an account is kept after its last
	// carrier rejection.
	doorMemory = 10 * time.Second
	// doorAccounts bounds the accounts in the cache. Operations of further accounts are
	// admitted.
	doorAccounts = 1024
	// turnShare is the fraction of the interval for which only clients that retry as
	// advised are admitted, ahead of new ones.
	turnShare = 0.25
)

// Door is the rejection cache of an ingress instance, to which clients are connected. It
// rejects operations of accounts that are at their limit, based on recent rejections by the
// carriers that would have run them, which saves forwarding them. While an account is at
// its limit, one operation per interval is admitted. The interval doubles with each carrier
// rejection and halves with each operation that got a token, so that an instance gets part
// of the remaining limit without knowing how many other instances compete for it. It is
// not safe for concurrent use.
type Door struct {
	accounts map[string]*shut
}

// shut is the state of an account that was recently rejected by a carrier.
type shut struct {
	open     bool          // an operation got a token since the last rejection: admit all
	told     time.Duration // time of the last carrier rejection
	until    time.Duration // time at which the next operation may be admitted
	interval time.Duration // between two admitted operations
	passed   time.Duration // last admission since until; 0: none
	lastTurn time.Duration // latest retry time advised to a client
}

// NewDoor returns an empty cache, which admits all operations.
func NewDoor() *Door { return &Door{accounts: make(map[string]*shut)} }

// Visit is one operation to be checked against the rejection cache.
type Visit struct {
	Account   string
	Limit     account.Limit // of the account; set by the limiter
	Returning bool          // the client was rejected before and its advised delay has passed
	Horizon   time.Duration // longest delay that the client can accept; 0: unbounded
}

// Admit reports whether an operation may be forwarded. If not, it returns the delay after
// which the client should retry. When the rejection time of an account ends, a single
// operation is admitted first; clients are advised distinct retry times in the order in
// which they were rejected.
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

// isNext reports whether an operation may be the next one admitted. Retries have
// precedence over new operations for the first part of the interval.
func (s *shut) isNext(now time.Duration, returning bool) bool {
	if returning {
		return s.passed == 0 || now-s.passed >= s.interval
	}
	if s.passed > 0 {
		return false
	}
	return s.lastTurn < now || now >= s.until+time.Duration(turnShare*float64(s.interval))
}

// promise returns the retry delay for a rejected client. Successive clients are advised
// times that are one interval apart, as operations are admitted.
func (s *shut) promise(now time.Duration, v Visit) time.Duration {
	turn := max(s.until, s.lastTurn+s.interval, now+time.Millisecond)
	if v.Horizon > 0 && turn > now+v.Horizon {
		return v.Horizon
	}
	s.lastTurn = turn
	return turn - now
}

// Refused records that a carrier rejected an operation that was forwarded at time sent,
// because the account has no tokens for the time empty. It returns the delay after which
// the client should retry. Implausible values of empty are ignored and yield 0. Apart from
// that the value is unused: the rejection time follows from the account's limit, because
// other instances wait for the same time and an account slightly above its limit gets
// tokens sooner.
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
		return s.promise(now, v) // forwarded before the last recorded rejection
	case now-s.told > doorMemory:
		s.interval = shortest(v.Limit)
	default:
		s.interval *= 2
	}
	s.interval = min(s.interval, maxShut)
	s.open, s.told, s.until, s.passed = false, now, now+s.interval, 0
	return s.promise(now, v)
}

// Ran records that an operation forwarded at time sent got a token.
func (d *Door) Ran(sent time.Duration, v Visit) {
	s := d.accounts[v.Account]
	if s == nil || sent < s.told {
		return
	}
	s.open, s.lastTurn = true, 0
	s.interval = max(s.interval/2, shortest(v.Limit))
}

// hasRoom reports whether another account fits into the cache. A full cache first drops
// the accounts that were last rejected more than doorMemory ago.
func (d *Door) hasRoom(now time.Duration) bool {
	if len(d.accounts) < doorAccounts {
		return true
	}
	maps.DeleteFunc(d.accounts, func(_ string, s *shut) bool { return now-s.told > doorMemory })
	return len(d.accounts) < doorAccounts
}

// shortest returns the shortest interval between admitted operations: that at which the
// account's limit yields tokens, at most maxShut.
func shortest(l account.Limit) time.Duration {
	if l.Rate <= 1/maxShut.Seconds() {
		return maxShut
	}
	return seconds(1 / l.Rate)
}
