package quota

import (
	"fmt"
	"slices"

	"github.com/stackspindle/stackspindle/internal/rendezvous"
)

const (
	// holdersPerAccount is the number of instances among which an account's limit is
	// divided. With one, the account would have no tokens after that instance fails
	// until another takes over; with six, two may fail. With twelve, each bucket refills
	// more slowly, so that after a restart of all instances, when buckets start empty,
	// accounts with small limits wait twice as long for their first token. Over a day
	// with one such restart 0.926 of the operations were served with six holders and
	// 0.910 with twelve; while a third of 71 instances were cut off, 0.951 and 0.958.
	holdersPerAccount = 6
	// partitions is the number of parts into which accounts are divided, each with its
	// own holders. It bounds the number of instances that hold shares, and so the
	// connections that an instance keeps to them: 96 with 550 instances.
	partitions = 16
)

// Holders maps accounts to their limit holders, the instances that hold shares of the
// account's limit. The mapping depends only on the list of registered instances.
type Holders struct {
	registered  []string
	byPartition map[uint64][]string // computed on demand
}

// NewHolders returns the mapping for a list of registered instances.
func NewHolders(registered []string) *Holders {
	return &Holders{registered: registered, byPartition: make(map[uint64][]string, partitions)}
}

// Of returns the limit holders of an account. The caller must not modify the result. Of is
// not safe for concurrent use.
func (h *Holders) Of(account string) []string {
	partition := rendezvous.Score("account", account) % partitions
	if known, ok := h.byPartition[partition]; ok {
		return known
	}
	candidates := make([]rendezvous.Instance, 0, len(h.registered))
	for _, name := range h.registered {
		candidates = append(candidates, rendezvous.Instance{Name: name})
	}
	ranked := rendezvous.Rank(rendezvous.Group{Name: fmt.Sprintf("accounts/%d", partition)}, candidates)
	holders := slices.Clone(ranked[:min(holdersPerAccount, len(ranked))])
	h.byPartition[partition] = holders
	return holders
}
