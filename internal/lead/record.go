// Package lead decides which member of a database group is its primary.
//
// Several instances that write to the same primary harm nobody: its log orders
// them. Harm comes only from work on a primary after another member was promoted.
// So using a primary needs a grant that is easily kept, and promoting needs that
// all grants are gone:
//
//   - The group's record lies in the store without a lease. It names the primary,
//     its term, and a change of primary that is under way. Every write of it
//     depends on the revision that its writer saw.
//   - An instance holds a grant for the primary of a record while it has seen that
//     record, without a change under way, in an answer of the store. The grant is
//     confirmed for GrantValidity from when the call was sent. While the store does
//     not answer, most of the registered instances may attest
//     instead that they know of nothing newer.
//   - An instance whose grant is not confirmed may still use the primary, but passes
//     an answer on only after every other member of the group has told it, asked
//     after the answer came, that it does not lead. Then nobody had been promoted
//     when the statement ran. That needs no store, no other instance and no clock;
//     it costs a question to each member, which statements share.
//   - One instance leads the group. Only it changes the record, while its key on a
//     lease is in the store. To change the primary it writes the change into the
//     record, has every registered instance release its grant, or waits until the
//     grant of one that cannot be reached is not confirmed any more, and only then
//     promotes: a member that such an instance knows of, and therefore asks. Once
//     enough have released, nobody's grant can be attested any more: those that
//     remain are no quorum.
//
// So traffic goes on while the store is away, an instance that is cut off or gone
// for good delays a change by no more than GrantValidity and a second, and a lease
// that is lost, revoked or refused costs no statement. The instances agree on
// nothing among themselves: all that is decided lies in the store, and attestations
// only carry its news.
package lead

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/stackspindle/stackspindle/internal/placement"
)

// Keys in the store.
const (
	keyRoot         = "stackspindle/"
	PrefixInstances = keyRoot + "instances/" // who may hold grants; no lease
	prefixAlive     = keyRoot + "alive/"     // on the instance's lease
	prefixGroup     = keyRoot + "groups/"    // the records; no lease
	prefixLeader    = keyRoot + "leaders/"   // on the leader's lease
)

// Instance is an instance's entry in the store.
type Instance struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"` // unique to one process
	Address     string `json:"address"`     // for calls of other instances
	DataCentre  string `json:"data_centre"`

	Strength placement.Capacity `json:"strength,omitzero"` // what the instance can bear

	// Settled says that the instance has been registered for long enough to hold shares of
	// the client accounts' limits, also after a restart.
	Settled bool `json:"settled,omitempty"`

	// Seen is a revision of the store whose contents the process had in force when it
	// wrote this: it knows of all that has been there unchanged since. 0: not told.
	Seen int64 `json:"seen,omitempty"`
}

// Change is a change of primary that is under way.
type Change struct {
	ID      string `json:"id"` // unique to one attempt
	Reason  string `json:"reason"`
	Planned bool   `json:"planned"` // the old primary serves until it is replaced
}

// Record is what the store holds of a group. Generation rises with each change
// of leader and is the fencing token of its promotions.
type Record struct {
	Group      string  `json:"group"`
	Generation uint64  `json:"generation"`
	Leader     string  `json:"leader"`
	Primary    string  `json:"primary"` // member's ID; empty: not known yet
	Term       uint64  `json:"term"`    // in which the primary leads
	Change     *Change `json:"change,omitempty"`
}

func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("lead: %T cannot be encoded: %v", v, err)) // no such type is stored
	}
	return raw
}

func decode[T any](raw []byte) (T, error) {
	var v T
	err := json.Unmarshal(raw, &v)
	return v, err
}

// keyOf returns what follows a prefix.
func keyOf(key, prefix string) (string, bool) { return strings.CutPrefix(key, prefix) }
