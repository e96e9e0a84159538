// Package lead elects one instance as the leader of each database group. The leader decides
// which member of the group is the primary. The package also decides which instances may
// use that primary. The instance's main loop (package fleet) runs the Controller, and
// package relay acquires a Permit from a PrimaryGuard for each piece of work on a primary.
//
// Any number of instances may write to the same primary, since its log orders their writes.
// The only danger is work on an old primary after another member was promoted. The
// invariant is: no client receives an answer that a primary gave after another member was
// promoted in its place. To uphold it, using a primary requires a grant, which is cheap to
// keep, and promoting a member requires that all grants for the old primary have ended:
//
//   - A group's record is stored without a lease. It names the primary, its term, and a
//     change of primary that is in progress. Every write of the record is conditional on the
//     revision that its writer saw.
//   - An instance holds a grant for the primary of a record if a store response showed it
//     that record and the record has no change in progress. The grant is confirmed for
//     GrantValidity, counted from the time at which the store call was sent. While the store
//     is unavailable, a majority of the registered instances can confirm the grant instead,
//     by attesting that they know of no newer record.
//   - Work in progress is judged by the record that granted its primary. A later record may be
//     confirmed although that primary has been replaced.
//   - An instance whose grant is no longer confirmed may still use the primary, but must
//     verify each answer before it passes it on: after the answer has arrived, it asks every
//     other member of the group that it knows, and each must reply that it is not primary.
//     That proves that none had been promoted when the statement ran. Verification needs
//     neither the store, nor other instances, nor a clock. It costs one request to each
//     member, which concurrent statements share.
//   - One instance leads each group, for as long as its leader key is in the store. The key
//     is attached to that instance's lease. Only the leader changes the record. To change the
//     primary it first writes the change into the record. Then it has every registered
//     instance release its grant; for an instance that it cannot reach, it waits until that
//     grant can no longer be confirmed. Only then does it promote a member, and while an
//     unreachable instance may still use the old primary, only one that this instance knows
//     and therefore asks during verification. Once enough instances have released, no grant
//     can be attested any more, because the remaining instances are no quorum.
//   - Before the leader requests a promotion it stores the member in the record. A later leader
//     reads that, and an earlier one cannot store it any more. While that promotion may take
//     effect, no other member becomes the primary. Afterwards the old primary must be promoted
//     again like any other member, since its successor may have been promoted and have crashed
//     before any leader saw it. The old primary is the member that leads in the record's term:
//     its process may have restarted under a new ID.
//
// Consequently, traffic continues while the store is unavailable. An instance that is
// partitioned or has crashed delays a change by at most GrantValidity plus about a second.
// A lease that is lost, revoked or refused fails no statement. The instances run no
// consensus protocol among themselves: every decision is in the store, and attestations
// only report what instances have read from the store.
package lead

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/placement"
)

// Keys in the store.
const (
	keyRoot         = "stackspindle/"
	PrefixInstances = keyRoot + "instances/" // instances that may hold grants; no lease
	prefixAlive     = keyRoot + "alive/"     // attached to the instance's lease
	prefixGroup     = keyRoot + "groups/"    // records of the groups; no lease
	prefixLeader    = keyRoot + "leaders/"   // attached to the leader's lease
)

// Instance is the entry under which an instance is registered in the store.
type Instance struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"` // unique to one run of the process
	Address     string `json:"address"`     // where other instances call it
	DataCentre  string `json:"data_centre"`

	Capacity placement.Capacity `json:"strength,omitzero"` // cores, link and memory of the instance

	// EligibleForLimits reports that the instance has been registered for long enough to
	// hold shares of the client accounts' limits. It stays set across restarts.
	EligibleForLimits bool `json:"settled,omitempty"`

	// SeenRevision is a store revision whose contents the process had applied when it wrote
	// this entry: it knows every key that has been unchanged since. 0: unknown.
	SeenRevision int64 `json:"seen,omitempty"`
}

// Change is a change of primary that is in progress.
type Change struct {
	ID      string `json:"id"` // unique to one change
	Reason  string `json:"reason"`
	Planned bool   `json:"planned"` // the old primary is healthy and serves until it is replaced

	// Promoting is the ID of the member whose promotion was last requested; empty: none was, or
	// it was refused. It is stored before each request. From then on the promotion may take
	// effect at any time, so that the old primary must not become the primary again: the change
	// ends only with a member that is primary in a newer term.
	Promoting string `json:"promoting,omitempty"`

	// PromotingFrom is the end of that member's log before the request. It contains each commit
	// that was acknowledged before.
	PromotingFrom group.Position `json:"promoting_from,omitzero"`
}

// termStart returns the end of a member's log before its promotion in this change, zero if that is
// unknown.
func (c Change) termStart(member string) group.Position {
	if member != c.Promoting {
		return group.Position{}
	}
	return c.PromotingFrom
}

// replacesForGood reports whether the old primary cannot stay the primary.
func (c Change) replacesForGood() bool { return c.Planned || c.Promoting != "" }

// Record is the stored state of a group. Generation increases with each change of leader
// and is the fencing token of that leader's promotions.
type Record struct {
	Group      string  `json:"group"`
	Generation uint64  `json:"generation"`
	Leader     string  `json:"leader"`
	Primary    string  `json:"primary"` // member ID; empty: not known yet. A member that restarts may have another one.
	Term       uint64  `json:"term"`    // term in which Primary is the primary
	Change     *Change `json:"change,omitempty"`

	// TermStart is the end of Primary's log before it was promoted. It contains each commit
	// that was acknowledged in an earlier term. Zero: unknown.
	TermStart group.Position `json:"term_start,omitzero"`
}

// afterPromotion returns the record with a member as the primary of a term that it began at a
// log position. In the record's own term only the primary's ID can change.
func (r Record) afterPromotion(primary string, term uint64, start group.Position) Record {
	if r.Term != term {
		r.Term, r.TermStart = term, start
	}
	r.Primary = primary
	return r
}

func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("lead: encoding %T as JSON: %v", v, err)) // all stored types can be encoded
	}
	return raw
}

func decode[T any](raw []byte) (T, error) {
	var v T
	err := json.Unmarshal(raw, &v)
	return v, err
}

// trimKeyPrefix returns the key without the prefix, and whether the key had it.
func trimKeyPrefix(key, prefix string) (string, bool) { return strings.CutPrefix(key, prefix) }
