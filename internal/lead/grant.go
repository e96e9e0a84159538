package lead

import (
	"fmt"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

// GrantValidity is how long a grant lasts from the sending of the store call
// that confirmed it. It outlasts the store's usual outages (4 to 9 s on the
// users' sheets) with the call before them; a longer one makes a change of
// primary wait longer for an instance that cannot be reached.
const GrantValidity = 15 * time.Second

// clockDrift is by how much two steady clocks may differ over GrantValidity: 2.5%,
// for clocks that are each wrong by 1%, far more than crystals show.
const clockDrift = GrantValidity / 40

// grantsLapsed is after what time on one clock the grants counted on another
// have lapsed.
const grantsLapsed = GrantValidity + clockDrift

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
	revision  int64 // of the record, 0: none seen
	settled   bool  // the leader has told the outcome of the record's change
	confirmed time.Duration
	released  int64 // grants of records up to this revision are given up
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

// Release gives up the grant of every record before the outcome of the change
// that was announced with a revision.
func (g *Grant) Release(revision int64) { g.released = max(g.released, revision) }

// Authority returns whom the instance may use as primary, or why nobody.
func (g *Grant) Authority(now time.Duration) (Authority, error) {
	a := Authority{Primary: g.record.Primary, Term: g.record.Term, Revision: g.revision}
	switch {
	case g.revision == 0 || a.Primary == "":
		return Authority{}, fmt.Errorf("no primary is known")
	case g.record.Change != nil:
		return Authority{}, fmt.Errorf("the primary is being changed: %s", g.record.Change.Reason)
	case g.revision < g.released || g.revision == g.released && !g.settled:
		return Authority{}, fmt.Errorf("the grant was released for a change of primary")
	case g.Lapsed(now):
		return Authority{}, fmt.Errorf("the grant has lapsed: the store was last heard %s ago", now-g.confirmed)
	}
	return a, nil
}

// Lapsed reports whether the store was heard too long ago.
func (g *Grant) Lapsed(now time.Duration) bool { return now-g.confirmed >= GrantValidity }

// Changing returns the change under way, if any.
func (g *Grant) Changing() *Change { return g.record.Change }

// Record returns the record with its revision, 0 when none was seen.
func (g *Grant) Record() (Record, int64) { return g.record, g.revision }
