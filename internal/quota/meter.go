package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/stackspindle/stackspindle/internal/ownership"
)

const (
	// stockOfLife is the fraction of a token's lifetime whose average use of tokens is
	// prefetched. It is low enough that few tokens expire unused when the use falls.
	stockOfLife = 0.5
	// maxStock bounds the number of tokens prefetched for an account.
	maxStock = 64
	// gapSpan is the number of operations over which the interval between them is
	// averaged.
	gapSpan = 8
	// awayPause is the longest backoff for a holder that did not answer, and the pause
	// for one that does not hold the account.
	awayPause = time.Second
	// firstPause is the initial backoff for a holder that did not answer. It is short
	// since one that has just started answers soon, and doubles with each failure in a
	// row.
	firstPause = 100 * time.Millisecond
	// emptyPause is the minimum time before a holder without tokens is asked again,
	// since many instances may compete for the next token.
	emptyPause = 100 * time.Millisecond
)

// Meter caches the tokens that one instance has fetched from limit holders and decides
// when to fetch more and from which holder. It is not safe for concurrent use.
type Meter struct {
	self     string
	near     string // this instance's data centre
	holders  *Holders
	centres  map[string]string  // data centre by instance, for those that are alive
	away     map[string]silence // backoff by holder, for those that did not answer
	accounts map[string]*stock
}

// silence is the backoff state of a holder that did not answer.
type silence struct {
	until time.Duration // end of the backoff
	times int           // failures in a row
}

// stock is the state of one account.
type stock struct {
	batches []batch                  // cached tokens, ordered by expiry
	empty   map[string]time.Duration // by holder: end of the pause after it had no tokens
	unready map[string]time.Duration // by holder: end of the pause after it could not serve the account
	last    time.Duration            // when the last token was used
	gap     time.Duration            // moving average of the interval between uses; 0: unknown
	life    time.Duration            // lifetime of the tokens granted last
}

// batch is a number of tokens with the same expiry.
type batch struct {
	tokens int
	until  time.Duration
}

// NewMeter returns a cache without tokens.
func NewMeter(self, dataCentre string) *Meter {
	return &Meter{self: self, near: dataCentre, holders: NewHolders(nil), away: make(map[string]silence), accounts: make(map[string]*stock)}
}

// Register sets the limit holders and the data centres of the instances that are alive.
func (m *Meter) Register(h *Holders, alive map[string]string) {
	m.holders, m.centres = h, alive
}

// Token permits one operation until it expires. The zero token stands for an operation that
// needs none and never expires.
type Token struct{ until time.Duration }

// TokenUntil returns a token that expires at a time.
func TokenUntil(until time.Duration) Token { return Token{until: until} }

// Expired reports whether the token has expired, so that its operation must not be sent to
// a member any more. The zero token never expires.
func (t Token) Expired(now time.Duration) bool { return t != (Token{}) && t.until <= now }

// Return puts the token of an operation that did not run back into the cache.
func (m *Meter) Return(name string, t Token) {
	if t != (Token{}) {
		m.stock(name).add(batch{tokens: 1, until: t.until})
	}
}

// Verdict says how to proceed with an operation.
type Verdict int

// The verdicts.
const (
	Run    Verdict = iota // run the operation: a token was used
	Ask                   // fetch tokens from a holder first
	Refuse                // reject the operation: no holder is known to have a token
)

// Decision is the result of Take.
type Decision struct {
	Verdict  Verdict
	Token    Token    // with Run: the token used
	Holder   string   // from which to fetch tokens: with Ask for this operation, with Run ahead of need; empty: none
	Wanted   int      // number of tokens to fetch
	Shortage Shortage // with Refuse
}

// Shortage describes why no token is available for an account.
type Shortage struct {
	ComeBack time.Duration // delay after which one may be available
	Without  int           // holders that reported having no token
	Silent   int           // holders that recently did not answer or could not serve the account
	Gone     int           // holders that are not alive
}

// Empty reports whether the account is at its limit: all holders reported having no token.
// During a network partition this is false, since instances on the other side may reach
// the holders that are unreachable here.
func (s Shortage) Empty() bool { return s.Without > 0 && s.Silent == 0 && s.Gone == 0 }

// Take uses a cached token for an operation of an account, or returns from which holder to
// fetch some, or why none is available.
func (m *Meter) Take(now time.Duration, name string) Decision {
	s := m.stock(name)
	s.expire(now)
	if len(s.batches) == 0 {
		holder, shortage := m.ask(now, name, s)
		if holder == "" {
			return Decision{Verdict: Refuse, Shortage: shortage}
		}
		return Decision{Verdict: Ask, Holder: holder, Wanted: 1 + s.target()}
	}
	d := Decision{Verdict: Run, Token: s.use(now)}
	d.Holder, d.Wanted = m.Ahead(now, name)
	return d
}

// Ahead returns the holder from which to prefetch tokens and their number, or no holder if
// enough tokens are cached or no holder may have any. It prefetches once fewer than half of
// the target are left.
func (m *Meter) Ahead(now time.Duration, name string) (string, int) {
	s := m.stock(name)
	s.expire(now)
	target, left := s.target(), s.left()
	if left >= (target+1)/2 {
		return "", 0
	}
	holder, _ := m.ask(now, name, s)
	return holder, target - left
}

// Next returns the holder to ask next, and for how many tokens, while some operations wait
// for one. It skips the holders in late, which were asked and have not answered yet. If
// there is no other holder, open reports whether to wait for the late ones: if operations
// wait and no holder has reported having no token.
func (m *Meter) Next(now time.Duration, name string, waiting int, late []string) (holder string, wanted int, open bool) {
	s := m.stock(name)
	s.expire(now)
	switch {
	case waiting == 0 && len(late) == 0:
		holder, wanted = m.Ahead(now, name)
		return holder, wanted, false
	case waiting == 0 || s.left() > 0:
		return "", 0, false
	}
	holder, shortage := m.ask(now, name, s, late...)
	return holder, waiting + s.target(), shortage.Without == 0
}

// Granted processes the answer of a holder to a request that was sent at time sent. The
// lifetime of tokens counts from then, shortened by the clock drift.
func (m *Meter) Granted(sent, now time.Duration, name, holder string, g Grant) {
	s := m.stock(name)
	delete(m.away, holder)
	if g.Holder {
		delete(s.unready, holder)
	}
	switch {
	case !g.Holder && g.ComeBack > 0:
		s.unready[holder] = now + min(g.ComeBack, awayPause)
	case !g.Holder:
		s.unready[holder] = now + awayPause // its list of registered instances yields other holders
	case g.Tokens == 0:
		s.empty[holder] = now + max(g.ComeBack, emptyPause)
	default:
		delete(s.empty, holder)
		s.life = g.Life
		s.add(batch{tokens: g.Tokens, until: sent + time.Duration(float64(g.Life)*(1-drift))})
	}
}

func (s *stock) add(b batch) {
	s.batches = append(s.batches, b)
	slices.SortFunc(s.batches, func(a, b batch) int { return cmp.Compare(a.until, b.until) })
}

// Failed records that a holder did not answer and starts its backoff.
func (m *Meter) Failed(now time.Duration, holder string) {
	known := m.away[holder]
	m.away[holder] = silence{until: now + min(firstPause<<known.times, awayPause), times: min(known.times+1, maxDoublings)}
}

// maxDoublings keeps the shift of the backoff in range.
const maxDoublings = 10

func (m *Meter) stock(name string) *stock {
	s := m.accounts[name]
	if s == nil {
		s = &stock{empty: make(map[string]time.Duration), unready: make(map[string]time.Duration)}
		m.accounts[name] = s
	}
	return s
}

// ask returns the holder from which to fetch tokens of an account: this instance itself if
// it is one, else a holder in the same data centre, else any. Ties are broken by a hash of
// this instance and the holder, which spreads instances over holders. If no holder may have
// tokens, the shortage tells why and after what delay one may.
func (m *Meter) ask(now time.Duration, name string, s *stock, late ...string) (string, Shortage) {
	best, rank, shortage := "", 0, Shortage{ComeBack: awayPause}
	var score uint64
	for _, holder := range m.holders.Of(name) {
		centre, alive := m.centres[holder]
		switch silent, without := max(m.away[holder].until, s.unready[holder])-now, s.empty[holder]-now; {
		case !alive:
			shortage.Gone++
			continue
		case silent > 0:
			shortage.Silent++
			shortage.ComeBack = min(shortage.ComeBack, max(silent, without))
			continue
		case without > 0:
			shortage.Without++
			shortage.ComeBack = min(shortage.ComeBack, without)
			continue
		case slices.Contains(late, holder):
			shortage.Silent++
			continue
		}
		r, sc := m.distance(holder, centre), ownership.Score(m.self, holder)
		if best == "" || r < rank || r == rank && sc > score {
			best, rank, score = holder, r, sc
		}
	}
	return best, shortage
}

func (m *Meter) distance(holder, centre string) int {
	switch {
	case holder == m.self:
		return 0
	case centre == m.near:
		return 1
	}
	return 2
}

// expire drops used up batches and expired tokens.
func (s *stock) expire(now time.Duration) {
	s.batches = slices.DeleteFunc(s.batches, func(b batch) bool { return b.tokens == 0 || b.until <= now })
}

// left returns the number of cached tokens.
func (s *stock) left() int {
	n := 0
	for _, b := range s.batches {
		n += b.tokens
	}
	return n
}

// use takes the token that expires first and updates the average interval between uses.
func (s *stock) use(now time.Duration) Token {
	token := Token{until: s.batches[0].until}
	s.batches[0].tokens--
	if gap := now - s.last; s.last > 0 {
		if s.gap == 0 {
			s.gap = gap
		}
		s.gap += (gap - s.gap) / gapSpan
	}
	s.last = now
	return token
}

// target returns the number of tokens to keep cached: the average use in a fraction
// stockOfLife of a token's lifetime plus one, or none if the next operation is usually
// further away than that lifetime.
func (s *stock) target() int {
	switch {
	case s.gap == 0 || s.gap >= s.life:
		return 0
	}
	return min(maxStock, 1+int(stockOfLife*s.life.Seconds()/s.gap.Seconds()))
}
