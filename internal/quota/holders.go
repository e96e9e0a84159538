package quota

import (
	"fmt"
	"slices"

	"github.com/stackspindle/stackspindle/internal/ownership"
)

const (
	// holdersPerAccount is among how many instances an account's limit is shared. With
	// one, an account waits for a new holder when that is gone; with six, two may be away.
	// With twelve, buckets that begin empty all come to their first whole token later: after
	// a restart of all instances accounts with small limits wait twice as long. Over a day
	// with one, 0.926 of all was served with six and 0.910 with twelve; while a third of
	// 71 instances were cut off, 0.951 and 0.958.
	holdersPerAccount = 6
	// partitions is into how many parts the accounts are divided, each with holders of
	// its own. It bounds how many instances hold shares, and so how many connections
	// an instance keeps to them: 96 of 550.
	partitions = 16
)

// Holders tells which instances hold the shares of which account, by one list of
// registered instances.
type Holders struct {
	registered  []string
	byPartition map[uint64][]string // computed when asked for
}

// NewHolders returns the holders among the registered instances.
func NewHolders(registered []string) *Holders {
	return &Holders{registered: registered, byPartition: make(map[uint64][]string, partitions)}
}

// Of returns the holders of an account's shares. It must not be changed. It is not safe for
// concurrent use.
func (h *Holders) Of(account string) []string {
	partition := ownership.Score("account", account) % partitions
	if known, ok := h.byPartition[partition]; ok {
		return known
	}
	candidates := make([]ownership.Instance, 0, len(h.registered))
	for _, name := range h.registered {
		candidates = append(candidates, ownership.Instance{Name: name})
	}
	ranked := ownership.Rank(ownership.Group{Name: fmt.Sprintf("accounts/%d", partition)}, candidates)
	holders := slices.Clone(ranked[:min(holdersPerAccount, len(ranked))])
	h.byPartition[partition] = holders
	return holders
}
