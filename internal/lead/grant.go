package lead

import (
	"fmt"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

// Settings of grants.
const (
	// GrantValidity is how long a grant is confirmed from the sending of what
	// confirmed it: an answer of the store, or attestations of most instances. A
	// change of primary waits as long for an instance that cannot be reached, so
	// with the time to notice (0.9 s), watchDeafness and the promotion it keeps a
	// change within the 6 s that the project promises. It is three times the pause
	// between two confirmations (ConfirmEvery), so that in ordinary operation no
	// grant ever lapses.
	GrantValidity = 3 * ConfirmEvery
	// ConfirmEvery is after what time without a change the store is asked again.
	// Each call is charged, and the few instances that watch the store make them
	// for all.
	ConfirmEvery = time.Second
	// VerifiableFor is how long after the store was heard an instance may use a primary
	// although its grant is not confirmed, with each answer verified by the members. It
	// bounds by how much its picture of the members may be out of date: a member that
	// has not been known for as long is not promoted while such an instance may exist.
	VerifiableFor = 12 * time.Second
	// StorelessValidity is how long attestations can stand in for the store. It bounds
	// by how much the picture of who is registered may be out of date.
	StorelessValidity = 30 * time.Second
	// driftShare is by what share two steady clocks may differ: 2.5%, for clocks
	// that are each wrong by 1%, far more than crystals show.
	driftShare = 40
	// grantsLapsed, verifiableLapsed and storelessLapsed are after what time on one
	// clock the same spans, counted on another, are over.
	grantsLapsed     = GrantValidity + GrantValidity/driftShare + watchDeafness
	verifiableLapsed = VerifiableFor + VerifiableFor/driftShare + watchDeafness
	storelessLapsed  = StorelessValidity + StorelessValidity/driftShare + watchDeafness
	// watchDeafness is for how long a watch may miss a change before the store
	// says that its history is gone.
	watchDeafness = time.Second
)

// AttestQuorum returns how many of the instances that one knows to be registered must
// attest a grant, the one that holds it included: most of them.
func AttestQuorum(registered int) int { return registered/2 + 1 }

// ReleaseQuorum returns how many of some registered instances must have released
// before grants cannot be attested any more: so many that those which remain are no
// quorum, even for an instance that has not heard of any that joined lately.
func ReleaseQuorum(registered, joined int) int { return registered - (registered-joined)/2 }

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
	heard     bool          // a store call has confirmed the grant
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
func (g *Grant) Confirm(sent time.Duration) {
	g.confirmed, g.heard = max(g.confirmed, sent), true
}

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

// Authority returns whom the instance may use as primary, or why nobody. While the
// grant is not confirmed, what the primary answers must be verified by the members
// that could have been promoted meanwhile, before it is passed on.
func (g *Grant) Authority(now time.Duration) (Authority, error) {
	a := Authority{Primary: g.record.Primary, Term: g.record.Term, Revision: g.revision}
	switch {
	case g.revision == 0 || a.Primary == "":
		return Authority{}, fmt.Errorf("no primary is known")
	case g.record.Change != nil:
		return Authority{}, fmt.Errorf("the primary is being changed: %s", g.record.Change.Reason)
	case g.revision < g.released:
		return Authority{}, fmt.Errorf("the grant was released for a change of primary")
	case g.Over(now):
		return Authority{}, fmt.Errorf("the grant is over: the store was last heard %s ago", now-g.confirmed)
	}
	return a, nil
}

// Usable reports whether Authority names a primary.
func (g *Grant) Usable(now time.Duration) bool {
	return g.revision > 0 && g.record.Primary != "" && g.record.Change == nil && g.revision >= g.released && !g.Over(now)
}

// Confirmed reports whether no other member can have been promoted yet.
func (g *Grant) Confirmed(now time.Duration) bool {
	return g.heard && now-g.confirmed < StorelessValidity && now-max(g.confirmed, g.attested) < GrantValidity
}

// Over reports whether the store was never heard, or so long ago that the grant is of
// no use any more.
func (g *Grant) Over(now time.Duration) bool {
	return !g.heard || !g.Confirmed(now) && now-g.confirmed >= VerifiableFor
}

// Changing returns the change under way, if any.
func (g *Grant) Changing() *Change { return g.record.Change }

// Record returns the record with its revision, 0 when none was seen.
func (g *Grant) Record() (Record, int64) { return g.record, g.revision }
