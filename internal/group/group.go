// Package group holds the vocabulary of a database group: log positions,
// member roles and the status that a member reports. It has no behaviour of
// its own beyond comparison.
package group

import (
	"fmt"
	"time"
)

// Position is a place in the log of a group. A later term is always greater.
type Position struct {
	Term  uint64 // term under which the entry was written
	Index uint64 // index of the entry, counted from 1 over all terms
}

// Less reports whether p lies before q.
func (p Position) Less(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Index < q.Index
}

// AtLeast reports whether p is q or lies after it.
func (p Position) AtLeast(q Position) bool {
	return !p.Less(q)
}

// IsZero reports whether p names no entry at all.
func (p Position) IsZero() bool {
	return p == Position{}
}

// String returns the position as term/index.
func (p Position) String() string {
	return fmt.Sprintf("%d/%d", p.Term, p.Index)
}

// Max returns the greater of two positions.
func Max(p, q Position) Position {
	if p.Less(q) {
		return q
	}
	return p
}

// Role is what a member says it is.
type Role string

// The roles of a member.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	RoleFenced  Role = "fenced"
)

// Status is what a member reports of itself.
type Status struct {
	Term         uint64        // highest term the member has promised to
	Role         Role          // its role in that term
	Position     Position      // last entry in its log
	Owner        string        // instance that fenced or holds the term
	OwnerAge     time.Duration // since its last fence or heartbeat, on the member's clock; negative: never
	Holder       string        // instance whose heartbeat came last, which may hold a lease
	HeartbeatAge time.Duration // since that heartbeat, on the member's clock; negative: never
	Released     bool          // the holder gave its lease up
	Linked       bool          // a replica that hears its primary
	Acknowledged Position      // highest acknowledged position that an owner told
	History      History       // terms in the log; in the answer to a promotion only
}

// TermStart records where the log of a term began.
type TermStart struct {
	Term  uint64
	Index uint64 // last index that the term inherited
}

// History is the ascending list of terms with the place each began at. Every
// entry of an older term beyond the start of the next one was lost.
type History []TermStart

// Holds reports whether position p is part of the log described by h.
func (h History) Holds(p Position) bool {
	for _, start := range h {
		if start.Term > p.Term && p.Index > start.Index {
			return false
		}
	}
	return true
}

// Append returns h with the start of a new term. A term already known is kept.
func (h History) Append(start TermStart) History {
	if n := len(h); n > 0 && h[n-1].Term >= start.Term {
		return h
	}
	return append(h[:len(h):len(h)], start)
}
