package lead

import (
	"fmt"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

// Time limits of grants. All are durations on a monotonic clock.
const (
	// GrantValidity is how long a grant stays confirmed, counted from when the call that
	// confirmed it was sent: a store call, or the requests for attestation that a majority
	// answered. A change of primary waits as long for an instance that cannot be reached.
	// Together with the time to detect a failure (0.9 s), maxWatchGap and the promotion,
	// that keeps a change within the 6 s that the project promises. GrantValidity is three
	// times ConfirmInterval, so that in normal operation no grant lapses.
	GrantValidity = 3 * ConfirmInterval
	// ConfirmInterval is the interval after which the store is asked again if nothing has
	// changed. Each store call is billed, and the few instances that watch the store make
	// these calls on behalf of all.
	ConfirmInterval = time.Second
	// UnconfirmedUseLimit is how long after the last answer of the store an instance may
	// use a primary under an unconfirmed grant, with each answer verified by the members.
	// It bounds how outdated the instance's list of members can be: a member that has been
	// known for a shorter time is not promoted while such an instance may exist.
	UnconfirmedUseLimit = 12 * time.Second
	// AttestedUseLimit is how long after the last answer of the store attestations can
	// confirm a grant. It bounds how outdated the list of registered instances can be.
	AttestedUseLimit = 30 * time.Second
	// clockDriftDivisor is the divisor for the difference in rate that is allowed between two
	// monotonic clocks: 1/40 = 2.5%. That covers two clocks that are each off by 1%, far
	// more than quartz clocks show.
	clockDriftDivisor = 40
	// grantLapseTime, unconfirmedUseLapseTime and attestedUseLapseTime are how long the
	// leader waits, on its own clock, until the limits above have certainly passed on the
	// clock of another instance.
	grantLapseTime          = GrantValidity + GrantValidity/clockDriftDivisor + maxWatchGap
	unconfirmedUseLapseTime = UnconfirmedUseLimit + UnconfirmedUseLimit/clockDriftDivisor + maxWatchGap
	attestedUseLapseTime    = AttestedUseLimit + AttestedUseLimit/clockDriftDivisor + maxWatchGap
	// maxWatchGap is how long a watch may miss a change before the store reports that its
	// history was compacted.
	maxWatchGap = time.Second
)

// AttestQuorum returns how many of the registered instances must attest a grant, its holder
// included: a majority of those that the holder knows.
func AttestQuorum(registered int) int { return registered/2 + 1 }

// ReleaseQuorum returns how many of the registered instances must have released before no
// grant can be attested any more: enough that the remaining ones are no AttestQuorum, even
// from the view of an instance that does not know those that joined recently.
func ReleaseQuorum(registered, joined int) int { return registered - (registered-joined)/2 }

// PrimaryRef identifies the primary that an instance may use.
type PrimaryRef struct {
	Primary  string
	Term     uint64
	Revision int64 // of the record that names the primary
}

// SameTerm reports whether a log position belongs to the term of this primary.
func (r PrimaryRef) SameTerm(p group.Position) bool { return p.Term == r.Term }

// Grant is the state from which one instance decides whether it may use the primary of a
// group: the latest known record, and when that was last confirmed. All times are on the
// instance's monotonic clock, and callers pass the current time. A Grant is not safe for
// concurrent use.
type Grant struct {
	record           Record
	revision         int64        // of the record; 0: none known
	storeAnswered    bool         // the store has answered this instance at least once
	isOutcome        bool         // the record is the outcome of its change, as published by the leader
	confirmation     confirmation // of the record
	beforeChange     confirmation // of the last record before the change in progress
	releasedRevision int64        // grants of records before this revision are released
}

// confirmation says when it was last certain that a record was the newest one.
type confirmation struct {
	confirmedAt time.Duration // when the last store call was sent that returned no newer record
	attestedAt  time.Duration // when the last requests were sent that a quorum answered with an attestation
}

// state returns whether it is certain that no member was promoted to replace the primary of the
// record, and otherwise whether the members may verify that.
func (c confirmation) state(now time.Duration) PermitState {
	switch {
	case now-c.confirmedAt < AttestedUseLimit && now-max(c.confirmedAt, c.attestedAt) < GrantValidity:
		return Confirmed
	case now-c.confirmedAt < UnconfirmedUseLimit:
		return Unconfirmed
	}
	return Revoked
}

// setRecord replaces the record by a newer one.
func (g *Grant) setRecord(record Record, revision int64, isOutcome bool) {
	if record.Change != nil && g.record.Change == nil {
		g.beforeChange = g.confirmation
	}
	g.record, g.revision, g.isOutcome = record, revision, isOutcome
}

// ApplyRecord applies a record read from the store. Older records are ignored.
func (g *Grant) ApplyRecord(record Record, revision int64) {
	if revision > g.revision {
		g.setRecord(record, revision, false)
	}
}

// ApplyOutcome applies the outcome of a change that the leader published, perhaps before it
// wrote it to the store. revision is that of the record that announced the change.
func (g *Grant) ApplyOutcome(record Record, revision int64) {
	if revision > g.revision || revision == g.revision && !g.isOutcome {
		g.setRecord(record, revision, true)
	}
}

// Confirm records that a store call sent at that time returned no record newer than the
// known one.
func (g *Grant) Confirm(sent time.Duration) {
	g.confirmation.confirmedAt, g.storeAnswered = max(g.confirmation.confirmedAt, sent), true
}

// ConfirmByQuorum records that a quorum of instances, asked at that time, knew of no record
// newer than the one with this revision. It has no effect if the grant rests on another
// record by now.
func (g *Grant) ConfirmByQuorum(sent time.Duration, revision int64) {
	if revision == g.revision {
		g.confirmation.attestedAt = max(g.confirmation.attestedAt, sent)
	}
}

// GroupUpdate is what an instance knows of a group beyond a given revision of its record.
type GroupUpdate struct {
	Record    Record
	Revision  int64 // 0: Record is not set
	IsOutcome bool  // Record is the outcome of its change, as published by the leader
	Released  int64 // revision of the change for which the grant was released; 0: none
}

// UpdateSince returns what this instance knows beyond the record with this revision, and
// whether it knows anything more.
func (g *Grant) UpdateSince(revision int64) (GroupUpdate, bool) {
	update := GroupUpdate{Released: g.releasedRevision}
	if g.revision > revision {
		update.Record, update.Revision, update.IsOutcome = g.record, g.revision, g.isOutcome
	}
	return update, g.revision > revision || g.releasedRevision > revision
}

// ApplyUpdate applies what another instance knows.
func (g *Grant) ApplyUpdate(update GroupUpdate) {
	g.Release(update.Released)
	switch {
	case update.Revision == 0:
	case update.IsOutcome:
		g.ApplyOutcome(update.Record, update.Revision)
	default:
		g.ApplyRecord(update.Record, update.Revision)
	}
}

// Release ends the grants of all records before the one that announces a change, which has
// this revision. That record itself grants nothing until the outcome of its change is
// known.
func (g *Grant) Release(revision int64) { g.releasedRevision = max(g.releasedRevision, revision) }

// Primary returns the primary that the instance may use, or an error that says why there
// is none. Unless the grant is Confirmed, each answer of the primary must be verified
// before it is passed on: the other members, any of which could have been promoted
// meanwhile, must confirm that they are not primary.
func (g *Grant) Primary(now time.Duration) (PrimaryRef, error) {
	ref := PrimaryRef{Primary: g.record.Primary, Term: g.record.Term, Revision: g.revision}
	switch {
	case g.revision == 0 || ref.Primary == "":
		return PrimaryRef{}, fmt.Errorf("no primary is known")
	case g.record.Change != nil:
		return PrimaryRef{}, fmt.Errorf("the primary is being changed: %s", g.record.Change.Reason)
	case g.revision < g.releasedRevision:
		return PrimaryRef{}, fmt.Errorf("the grant was released for a change of primary")
	case g.Expired(now):
		return PrimaryRef{}, fmt.Errorf("the grant is over: the store was last heard %s ago", now-g.confirmation.confirmedAt)
	}
	return ref, nil
}

// Usable reports whether Primary returns a primary instead of an error.
func (g *Grant) Usable(now time.Duration) bool {
	return g.revision > 0 && g.record.Primary != "" && g.record.Change == nil && g.revision >= g.releasedRevision && !g.Expired(now)
}

// Confirmed reports whether it is certain that no other member has been promoted.
func (g *Grant) Confirmed(now time.Duration) bool {
	return g.storeAnswered && g.confirmation.state(now) == Confirmed
}

// StateOf returns whether an answer of the primary of ref may be passed on now. What confirms a record
// confirms only the primary that it grants. Once a change was announced, the last confirmation before
// that counts, since the leader waits only until that has lapsed. ref must have been granted.
func (g *Grant) StateOf(ref PrimaryRef, now time.Duration) PermitState {
	switch {
	case g.record.Term != ref.Term:
		return Revoked // another member was promoted
	case g.record.Change != nil:
		return g.beforeChange.state(now)
	}
	return g.confirmation.state(now)
}

// Expired reports whether the grant has expired: the store has never answered this instance,
// or its last answer is too old even for verified use of the primary.
func (g *Grant) Expired(now time.Duration) bool {
	return !g.storeAnswered || g.confirmation.state(now) == Revoked
}

// Changing returns the change in progress, nil if there is none.
func (g *Grant) Changing() *Change { return g.record.Change }

// Record returns the record and its revision, 0 if no record is known.
func (g *Grant) Record() (Record, int64) { return g.record, g.revision }
