// Package group defines the shared types of a database group: log positions, member roles,
// term histories and the status that a member reports. They are plain values with comparison
// methods and no I/O.
package group

import (
	"fmt"
	"time"
)

// Position is a position in the log of a group. One of a later term is always greater.
type Position struct {
	Term  uint64 `json:"term"`  // term under which the entry was written
	Index uint64 `json:"index"` // index of the entry, counted from 1 across all terms
}

// Less reports whether p is before q.
func (p Position) Less(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Index < q.Index
}

// AtLeast reports whether p equals q or is after it.
func (p Position) AtLeast(q Position) bool {
	return !p.Less(q)
}

// IsZero reports whether p refers to no entry.
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

// Role is the role that a member reports.
type Role string

// The roles of a member.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	RoleFenced  Role = "fenced"
)

// Status is the state that a member reports.
type Status struct {
	Term         uint64        // highest term that the member has promised to accept
	Role         Role          // its role in that term
	Position     Position      // last entry in its log
	Owner        string        // instance that fenced the member last or holds the term
	OwnerAge     time.Duration // time since the owner's last fence or heartbeat, on the member's clock; negative: never
	Holder       string        // instance that sent the last heartbeat and may hold a lease
	HeartbeatAge time.Duration // time since that heartbeat, on the member's clock; negative: never
	Released     bool          // the holder has released its lease
	Linked       bool          // the member is a replica that is connected to its primary
	Acknowledged Position      // highest acknowledged position that an owner has reported to the member
	History      History       // terms in the log; only set in the reply to a promotion
}

// TermStart records where the log of a term starts.
type TermStart struct {
	Term  uint64
	Index uint64 // last index that the term inherited from earlier terms
}

// History lists the terms of a log and their starts in ascending order. Entries of an older term
// after the start of the next term were lost.
type History []TermStart

// Holds reports whether position p is part of the log that h describes.
func (h History) Holds(p Position) bool {
	for _, start := range h {
		if start.Term > p.Term && p.Index > start.Index {
			return false
		}
	}
	return true
}

// Append returns h with the start of a new term. It returns h unchanged if the term is not newer
// than the last one.
func (h History) Append(start TermStart) History {
	if n := len(h); n > 0 && h[n-1].Term >= start.Term {
		return h
	}
	return append(h[:len(h):len(h)], start)
}
