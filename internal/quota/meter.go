package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/stackspindle/stackspindle/internal/ownership"
)

const (
	// stockOfLife is for which part of the life of a token an account's usual use is kept
	// ahead: so few are lost when the use falls.
	stockOfLife = 0.5
	// maxStock bounds the tokens that are asked for at once.
	maxStock = 64
	// gapSpan is the number of operations over which the usual pause between them is
	// averaged.
	gapSpan = 8
	// awayPause is the longest for which a holder that did not answer is not asked again, and
	// one that holds nothing.
	awayPause = time.Second
	// firstPause is for how long it is not asked after the first time: one that has just
	// started answers a moment later. It doubles with each time in a row.
	firstPause = 100 * time.Millisecond
	// emptyPause is the least time before a holder without tokens is asked again: many
	// instances may want the next one.
	emptyPause = 100 * time.Millisecond
)

// Meter is the tokens that one instance has taken, and whom to ask for more. It is not
// safe for concurrent use.
type Meter struct {
	self     string
	near     string // this instance's data centre
	holders  *Holders
	centres  map[string]string  // data centre by instance, of those that are alive
	away     map[string]silence // holders that did not answer
	accounts map[string]*stock
}

// silence is what is known of a holder that did not answer.
type silence struct {
	until time.Duration // until when it is not asked
	times int           // in a row
}

// stock is what the instance has of one account.
type stock struct {
	batches []batch                  // by the end of their life
	empty   map[string]time.Duration // until when a holder has none, by name
	unready map[string]time.Duration // until when one cannot tell
	last    time.Duration            // when the last token was used
	gap     time.Duration            // usual pause between two uses; 0: not known
	life    time.Duration            // of the tokens that came last
}

// batch is some tokens that end together.
type batch struct {
	tokens int
	until  time.Duration
}

// NewMeter returns a meter without tokens.
func NewMeter(self, dataCentre string) *Meter {
	return &Meter{self: self, near: dataCentre, holders: NewHolders(nil), away: make(map[string]silence), accounts: make(map[string]*stock)}
}

// Register takes in the registered instances and the data centres of those alive.
func (m *Meter) Register(h *Holders, alive map[string]string) {
	m.holders, m.centres = h, alive
}

// Token is the right to one operation. The zero one is none.
type Token struct{ until time.Duration }

// TokenUntil returns a token that is worth something until a time.
func TokenUntil(until time.Duration) Token { return Token{until: until} }

// Expired reports whether the token is not worth anything any more, so that its operation
// must not be sent to a member with it. The zero token never expires.
func (t Token) Expired(now time.Duration) bool { return t != (Token{}) && t.until <= now }

// Return takes back a token whose operation has not run.
func (m *Meter) Return(name string, t Token) {
	if t != (Token{}) {
		m.stock(name).add(batch{tokens: 1, until: t.until})
	}
}

// Verdict is what is to be done about an operation.
type Verdict int

// The verdicts.
const (
	Run    Verdict = iota // a token was used
	Ask                   // a token must be asked for first
	Refuse                // no holder has one
)

// Decision is the answer of Take.
type Decision struct {
	Verdict  Verdict
	Token    Token    // with Run: what was used
	Holder   string   // to be asked: with Ask before the operation, with Run ahead of the next; empty: nobody
	Wanted   int      // tokens
	Shortage Shortage // with Refuse
}

// Shortage tells why an account has no token now.
type Shortage struct {
	ComeBack time.Duration // after what time one can be had
	Without  int           // holders that said that they have none
	Silent   int           // that did not answer a moment ago, or could not tell
	Gone     int           // that are not alive
}

// Empty reports whether all holders said that they have no token. On one side of a cut
// nobody knows that: instances on the other side may reach those that are missed here.
func (s Shortage) Empty() bool { return s.Without > 0 && s.Silent == 0 && s.Gone == 0 }

// Take uses a token of an account for an operation.
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

// Ahead returns the holder to ask for tokens ahead of need, and how many, or no holder when
// there are enough, or none may have any. Half of what is kept ahead may be used before.
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

// Next returns the holder to ask for tokens while some operations wait for one, and how
// many, but for those that have been asked and are late. Without a holder, open reports
// whether the late ones are to be awaited: when operations wait and no holder has said that
// it has none.
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

// Granted takes in a holder's answer to a question that was sent at a time.
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
		s.unready[holder] = now + awayPause // it sees other holders
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

// Failed notes that a holder did not answer.
func (m *Meter) Failed(now time.Duration, holder string) {
	known := m.away[holder]
	m.away[holder] = silence{until: now + min(firstPause<<known.times, awayPause), times: min(known.times+1, maxDoublings)}
}

// maxDoublings keeps the pause after a silence in range.
const maxDoublings = 10

func (m *Meter) stock(name string) *stock {
	s := m.accounts[name]
	if s == nil {
		s = &stock{empty: make(map[string]time.Duration), unready: make(map[string]time.Duration)}
		m.accounts[name] = s
	}
	return s
}

// ask returns the holder to ask for tokens of an account: this instance itself, then
// near ones, each instance another one first. Without one that may have some it
// returns after what time one may.
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

// expire drops tokens that are not worth anything any more.
func (s *stock) expire(now time.Duration) {
	s.batches = slices.DeleteFunc(s.batches, func(b batch) bool { return b.tokens == 0 || b.until <= now })
}

// left returns how many tokens there are.
func (s *stock) left() int {
	n := 0
	for _, b := range s.batches {
		n += b.tokens
	}
	return n
}

// use uses the token that ends first, and notes the pause since the one before.
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

// target returns how many tokens are to be kept ahead: those of the next while, and one
// where the next operation usually comes within the life of a token.
func (s *stock) target() int {
	switch {
	case s.gap == 0 || s.gap >= s.life:
		return 0
	}
	return min(maxStock, 1+int(stockOfLife*s.life.Seconds()/s.gap.Seconds()))
}
