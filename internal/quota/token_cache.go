package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/stackspindle/stackspindle/internal/rendezvous"
)

const (
	// prefetchFraction is the fraction of a token's lifetime whose average use of tokens is
	// prefetched. It is low enough that few tokens expire unused when the use falls.
	prefetchFraction = 0.5
	// maxPrefetch bounds the number of tokens prefetched for an account.
	maxPrefetch = 64
	// intervalSpan is the number of operations over which the interval between them is
	// averaged.
	intervalSpan = 8
	// maxBackoff is the longest backoff for a holder that did not answer, and the pause
	// for one that does not hold the account.
	maxBackoff = time.Second
	// minBackoff is the initial backoff for a holder that did not answer. It is short
	// since one that has just started answers soon, and doubles with each failure in a
	// row.
	minBackoff = 100 * time.Millisecond
	// minEmptyPause is the minimum time before a holder without tokens is asked again,
	// since many instances may compete for the next token.
	minEmptyPause = 100 * time.Millisecond
)

// TokenCache caches the tokens that one instance has fetched from limit holders and decides
// when to fetch more and from which holder. It is not safe for concurrent use.
type TokenCache struct {
	self        string
	dataCentre  string // this instance's data centre
	holders     *Holders
	dataCentres map[string]string        // data centre by instance, for those that are alive
	backoffs    map[string]holderBackoff // backoff by holder, for those that did not answer
	accounts    map[string]*accountTokens
}

// holderBackoff is the backoff state of a holder that did not answer.
type holderBackoff struct {
	until    time.Duration // end of the backoff
	failures int           // failures in a row
}

// accountTokens is the state of one account.
type accountTokens struct {
	batches      []batch                  // cached tokens, ordered by expiry
	emptyUntil   map[string]time.Duration // by holder: end of the pause after it had no tokens
	unreadyUntil map[string]time.Duration // by holder: end of the pause after it could not serve the account
	lastUse      time.Duration            // when the last token was used
	meanInterval time.Duration            // moving average of the interval between uses; 0: unknown
	lifetime     time.Duration            // lifetime of the tokens granted last
}

// batch is a number of tokens with the same expiry.
type batch struct {
	tokens  int
	expires time.Duration
}

// NewTokenCache returns a cache without tokens.
func NewTokenCache(self, dataCentre string) *TokenCache {
	return &TokenCache{self: self, dataCentre: dataCentre, holders: NewHolders(nil), backoffs: make(map[string]holderBackoff), accounts: make(map[string]*accountTokens)}
}

// SetHolders sets the limit holders and the data centres of the instances that are alive.
func (c *TokenCache) SetHolders(h *Holders, alive map[string]string) {
	c.holders, c.dataCentres = h, alive
}

// Token permits one operation until it expires. The zero token stands for an operation that
// needs none and never expires.
type Token struct{ expires time.Duration }

// NewToken returns a token that expires at a time.
func NewToken(until time.Duration) Token { return Token{expires: until} }

// Expired reports whether the token has expired, so that its operation must not be sent to
// a member any more. The zero token never expires.
func (t Token) Expired(now time.Duration) bool { return t != (Token{}) && t.expires <= now }

// Return puts the token of an operation that did not run back into the cache.
func (c *TokenCache) Return(name string, t Token) {
	if t != (Token{}) {
		c.tokensOf(name).add(batch{tokens: 1, expires: t.expires})
	}
}

// Verdict says how to proceed with an operation.
type Verdict int

// The verdicts.
const (
	Run    Verdict = iota // run the operation: a token was used
	Fetch                 // fetch tokens from a holder first
	Refuse                // reject the operation: no holder is known to have a token
)

// Decision is the result of Take.
type Decision struct {
	Verdict  Verdict
	Token    Token    // with Run: the token used
	Holder   string   // from which to fetch tokens: with Fetch for this operation, with Run ahead of need; empty: none
	Wanted   int      // number of tokens to fetch
	Shortage Shortage // with Refuse
}

// Shortage describes why no token is available for an account.
type Shortage struct {
	RetryAfter   time.Duration // delay after which one may be available
	OutOfTokens  int           // holders that reported having no token
	Unresponsive int           // holders that recently did not answer or could not serve the account
	NotAlive     int           // holders that are not alive
}

// AtLimit reports whether the account is at its limit: all holders reported having no token.
// During a network partition this is false, since instances on the other side may reach
// the holders that are unreachable here.
func (s Shortage) AtLimit() bool { return s.OutOfTokens > 0 && s.Unresponsive == 0 && s.NotAlive == 0 }

// Take uses a cached token for an operation of an account, or returns from which holder to
// fetch some, or why none is available.
func (c *TokenCache) Take(now time.Duration, name string) Decision {
	acc := c.tokensOf(name)
	acc.expire(now)
	if len(acc.batches) == 0 {
		holder, shortage := c.pickHolder(now, name, acc)
		if holder == "" {
			return Decision{Verdict: Refuse, Shortage: shortage}
		}
		return Decision{Verdict: Fetch, Holder: holder, Wanted: 1 + acc.prefetchTarget()}
	}
	d := Decision{Verdict: Run, Token: acc.useFirst(now)}
	d.Holder, d.Wanted = c.Prefetch(now, name)
	return d
}

// Prefetch returns the holder from which to prefetch tokens and their number, or no holder if
// enough tokens are cached or no holder may have any. It prefetches once fewer than half of
// the target are left.
func (c *TokenCache) Prefetch(now time.Duration, name string) (string, int) {
	acc := c.tokensOf(name)
	acc.expire(now)
	target, left := acc.prefetchTarget(), acc.count()
	if left >= (target+1)/2 {
		return "", 0
	}
	holder, _ := c.pickHolder(now, name, acc)
	return holder, target - left
}

// NextHolder returns the holder to ask next, and for how many tokens, while some operations
// wait for one. It skips the holders in late, which were asked and have not answered yet. If
// there is no other holder, awaitLate reports whether to wait for the late ones: if
// operations wait and no holder has reported having no token.
func (c *TokenCache) NextHolder(now time.Duration, name string, waiting int, late []string) (holder string, wanted int, awaitLate bool) {
	acc := c.tokensOf(name)
	acc.expire(now)
	switch {
	case waiting == 0 && len(late) == 0:
		holder, wanted = c.Prefetch(now, name)
		return holder, wanted, false
	case waiting == 0 || acc.count() > 0:
		return "", 0, false
	}
	holder, shortage := c.pickHolder(now, name, acc, late...)
	return holder, waiting + acc.prefetchTarget(), shortage.OutOfTokens == 0
}

// ApplyGrant processes the answer of a holder to a request that was sent at time sent. The
// lifetime of tokens counts from then, shortened by the clock drift.
func (c *TokenCache) ApplyGrant(sent, now time.Duration, name, holder string, g Grant) {
	acc := c.tokensOf(name)
	delete(c.backoffs, holder)
	if g.IsHolder {
		delete(acc.unreadyUntil, holder)
	}
	switch {
	case !g.IsHolder && g.RetryAfter > 0:
		acc.unreadyUntil[holder] = now + min(g.RetryAfter, maxBackoff)
	case !g.IsHolder:
		acc.unreadyUntil[holder] = now + maxBackoff // its list of registered instances yields other holders
	case g.Tokens == 0:
		acc.emptyUntil[holder] = now + max(g.RetryAfter, minEmptyPause)
	default:
		delete(acc.emptyUntil, holder)
		acc.lifetime = g.Lifetime
		acc.add(batch{tokens: g.Tokens, expires: sent + time.Duration(float64(g.Lifetime)*(1-drift))})
	}
}

func (acc *accountTokens) add(b batch) {
	acc.batches = append(acc.batches, b)
	slices.SortFunc(acc.batches, func(a, b batch) int { return cmp.Compare(a.expires, b.expires) })
}

// RecordFailure records that a holder did not answer and starts its backoff.
func (c *TokenCache) RecordFailure(now time.Duration, holder string) {
	previous := c.backoffs[holder]
	c.backoffs[holder] = holderBackoff{until: now + min(minBackoff<<previous.failures, maxBackoff), failures: min(previous.failures+1, maxDoublings)}
}

// maxDoublings keeps the shift of the backoff in range.
const maxDoublings = 10

func (c *TokenCache) tokensOf(name string) *accountTokens {
	acc := c.accounts[name]
	if acc == nil {
		acc = &accountTokens{emptyUntil: make(map[string]time.Duration), unreadyUntil: make(map[string]time.Duration)}
		c.accounts[name] = acc
	}
	return acc
}

// pickHolder returns the holder from which to fetch tokens of an account: this instance
// itself if it is one, else a holder in the same data centre, else any. Ties are broken by
// a hash of this instance and the holder, which spreads instances over holders. If no
// holder may have tokens, the shortage says why and after what delay one may.
func (c *TokenCache) pickHolder(now time.Duration, name string, acc *accountTokens, late ...string) (string, Shortage) {
	best, rank, shortage := "", 0, Shortage{RetryAfter: maxBackoff}
	var score uint64
	for _, holder := range c.holders.Of(name) {
		centre, alive := c.dataCentres[holder]
		switch backoff, empty := max(c.backoffs[holder].until, acc.unreadyUntil[holder])-now, acc.emptyUntil[holder]-now; {
		case !alive:
			shortage.NotAlive++
			continue
		case backoff > 0:
			shortage.Unresponsive++
			shortage.RetryAfter = min(shortage.RetryAfter, max(backoff, empty))
			continue
		case empty > 0:
			shortage.OutOfTokens++
			shortage.RetryAfter = min(shortage.RetryAfter, empty)
			continue
		case slices.Contains(late, holder):
			shortage.Unresponsive++
			continue
		}
		r, sc := c.distance(holder, centre), rendezvous.Score(c.self, holder)
		if best == "" || r < rank || r == rank && sc > score {
			best, rank, score = holder, r, sc
		}
	}
	return best, shortage
}

func (c *TokenCache) distance(holder, centre string) int {
	switch {
	case holder == c.self:
		return 0
	case centre == c.dataCentre:
		return 1
	}
	return 2
}

// expire drops used up batches and expired tokens.
func (acc *accountTokens) expire(now time.Duration) {
	acc.batches = slices.DeleteFunc(acc.batches, func(b batch) bool { return b.tokens == 0 || b.expires <= now })
}

// count returns the number of cached tokens.
func (acc *accountTokens) count() int {
	n := 0
	for _, b := range acc.batches {
		n += b.tokens
	}
	return n
}

// useFirst takes the token that expires first and updates the average interval between
// uses.
func (acc *accountTokens) useFirst(now time.Duration) Token {
	token := Token{expires: acc.batches[0].expires}
	acc.batches[0].tokens--
	if gap := now - acc.lastUse; acc.lastUse > 0 {
		if acc.meanInterval == 0 {
			acc.meanInterval = gap
		}
		acc.meanInterval += (gap - acc.meanInterval) / intervalSpan
	}
	acc.lastUse = now
	return token
}

// prefetchTarget returns the number of tokens to keep cached: the average use during
// prefetchFraction of a token's lifetime, plus one, or none if the next operation is usually
// further away than that lifetime.
func (acc *accountTokens) prefetchTarget() int {
	switch {
	case acc.meanInterval == 0 || acc.meanInterval >= acc.lifetime:
		return 0
	}
	return min(maxPrefetch, 1+int(prefetchFraction*acc.lifetime.Seconds()/acc.meanInterval.Seconds()))
}
