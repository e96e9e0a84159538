package lead

import (
	"fmt"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

// Settings of grants.
const (
	// GrantValidity is how long a grant lasts from the sending of what confirmed
	// it: an answer of the store, or attestations of most instances. An instance
	// that is cut off from both serves on for so long; a change of primary waits as
	// long for one that cannot be reached. 5 and 8 s were measured to be worse: to
	// be cut off (5 to 12 s on the sheets) is more frequent than that the primary
	// is lost at the same time.
	GrantValidity = 15 * time.Second
	// StorelessValidity is how long attestations can stand in for the store. It
	// bounds by how much the picture of who is registered may be out of date, and
	// outlasts the store's outages (4 to 9 s on the sheets).
	StorelessValidity = 30 * time.Second
	// driftShare is by what share two steady clocks may differ: 2.5%, for clocks
	// that are each wrong by 1%, far more than crystals show.
	driftShare = 40
	// grantsLapsed and storelessLapsed are after what time on one clock the same
	// spans, counted on another, are over.
	grantsLapsed    = GrantValidity + GrantValidity/driftShare + watchDeafness
	storelessLapsed = StorelessValidity + StorelessValidity/driftShare + watchDeafness
	// watchDeafness is for how long a watch may miss a change before the store
	// says that its history is gone.
	watchDeafness = time.Second
)

// Quorum returns how many of some registered instances must attest a grant, the
// one that holds it included, and how many must have released before grants
// cannot be attested any more: more than two thirds. Any two such sets share an
// instance, even when the pictures of who is registered differ by up to a third.
func Quorum(registered int) int { return 2*registered/3 + 1 }

// Authority is the right to use a member as the primary of its group.
type Authority struct {
	Primary  string
	Term     uint64
	Revision int64 // of the record
}

// Covers reports whether a position comes from the log of the authority's term.
func (a Authority) Covers(p group.Position) bool { return p.Term == a.Term }

// Grant is one instance's knowledge of a group's record. It has no clock and is
// not safe for concurrent use.
type Grant struct {
	record    Record
	revision  int64         // of the record, 0: none seen
	settled   bool          // the leader has told the outcome of the record's change
	confirmed time.Duration // sending of the store call that showed nothing newer
	attested  time.Duration // sending of the questions that a quorum answered so
	released  int64         // grants of records up to this revision are given up
}

// Learn takes in the record as the store holds it.
func (g *Grant) Learn(record Record, revision int64) {
	if revision > g.revision {
		g.record, g.revision, g.settled = record, revision, false
	}
}

// Settle takes in the outcome of a change from the leader, which may not have
// reached the store yet. It holds for the revision that announced the change.
func (g *Grant) Settle(record Record, revision int64) {
	if revision > g.revision || revision == g.revision && !g.settled {
		g.record, g.revision, g.settled = record, revision, true
	}
}

// Confirm notes that a store call sent at that time showed nothing newer than
// what was learned.
func (g *Grant) Confirm(sent time.Duration) { g.confirmed = max(g.confirmed, sent) }

// Attest notes that a quorum, asked at that time, knew of nothing newer than the
// record with a revision.
func (g *Grant) Attest(sent time.Duration, revision int64) {
	if revision == g.revision {
		g.attested = max(g.attested, sent)
	}
}

// News is what is known of a group beyond some revision of its record.
type News struct {
	Record   Record
	Revision int64 // 0: the record is not known
	Settled  bool
	Released int64 // the grant was given up for a change announced with it
}

// NewsSince returns what is known beyond the record with a revision.
func (g *Grant) NewsSince(revision int64) (News, bool) {
	news := News{Released: g.released}
	if g.revision > revision {
		news.Record, news.Revision, news.Settled = g.record, g.revision, g.settled
	}
	return news, g.revision > revision || g.released > revision
}

// Hear takes in what another instance knows.
func (g *Grant) Hear(n News) {
	g.Release(n.Released)
	switch {
	case n.Revision == 0:
	case n.Settled:
		g.Settle(n.Record, n.Revision)
	default:
		g.Learn(n.Record, n.Revision)
	}
}

// Release gives up the grant of every record before the one that announces a
// change, which has a revision. That one gives none until the change is settled.
func (g *Grant) Release(revision int64) { g.released = max(g.released, revision) }

// Authority returns whom the instance may use as primary, or why nobody.
func (g *Grant) Authority(now time.Duration) (Authority, error) {
	a := Authority{Primary: g.record.Primary, Term: g.record.Term, Revision: g.revision}
	switch {
	case g.revision == 0 || a.Primary == "":
		return Authority{}, fmt.Errorf("no primary is known")
	case g.record.Change != nil:
		return Authority{}, fmt.Errorf("the primary is being changed: %s", g.record.Change.Reason)
	case g.revision < g.released:
		return Authority{}, fmt.Errorf("the grant was released for a change of primary")
	case g.Lapsed(now):
		return Authority{}, fmt.Errorf("the grant has lapsed: the store was last heard %s ago", now-g.confirmed)
	}
	return a, nil
}

// Lapsed reports whether what confirmed the grant is too long ago.
func (g *Grant) Lapsed(now time.Duration) bool {
	return now-max(g.confirmed, g.attested) >= GrantValidity || now-g.confirmed >= StorelessValidity
}

// Changing returns the change under way, if any.
func (g *Grant) Changing() *Change { return g.record.Change }

// Record returns the record with its revision, 0 when none was seen.
func (g *Grant) Record() (Record, int64) { return g.record, g.revision }
