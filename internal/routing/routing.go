// Package routing chooses the member that serves a read. It works on a snapshot
// of positions and health and has no I/O, clock or goroutine.
//
// A replica serves a read when its log holds every write the read must see: the
// session's floor, and for a service with staleness d everything acknowledged
// up to d ago. Staleness 0 asks for everything acknowledged so far.
package routing

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

// Member is one member of the group in a snapshot.
type Member struct {
	Name     string
	Primary  bool
	Healthy  bool // answers, in the current term
	Leaving  bool // gets no new work
	Position group.Position
	InFlight int           // statements running
	Capacity int           // connections that may be used at once
	Behind   time.Duration // how long ago the member's position was the highest acknowledged one
}

// View is a snapshot of a group.
type View struct {
	Members  []Member
	MaxWait  time.Duration // longest wait for a replica to catch up
	Fallback int           // reads that may run on the primary at once for want of a replica
	OnPrim   int           // reads that run there now for that reason
}

// Choice tells what is to be done with a read.
type Choice int

// The choices.
const (
	Use    Choice = iota // run on Member
	Wait                 // until a replica holds the position, then choose again
	Refuse               // no member may serve it
)

// Decision is the answer to a Request.
type Decision struct {
	Choice   Choice
	Member   string
	Fallback bool // the primary serves for want of a replica; count it in OnPrim
	Reason   string
}

// Request is a read that wants a member.
type Request struct {
	Required group.Position // position that the member must hold
	Age      time.Duration  // since the required position was acknowledged
	Waited   time.Duration  // time already spent waiting for a replica
	Left     time.Duration  // until the read's deadline
}

// Route chooses a member. It prefers the least loaded replica that holds the
// position. When none does, it waits as long as the nearest replica's delay
// promises success within MaxWait; else the primary serves, up to Fallback such
// reads at once; beyond that the read waits on, so that a group whose replicas
// lag does not bury its primary.
func Route(v *View, r Request) Decision {
	if m := readyReplica(v, r.Required); m != nil {
		return Decision{Choice: Use, Member: m.Name, Reason: "replica holds the position"}
	}
	delay, catching := nearest(v, r.Age)
	if catching && r.Waited+delay <= v.MaxWait && delay < r.Left {
		return Decision{Choice: Wait, Reason: "a replica is about to catch up"}
	}
	primary := findPrimary(v)
	if primary != nil && v.OnPrim < v.Fallback {
		return Decision{Choice: Use, Member: primary.Name, Fallback: true, Reason: fallbackReason(catching)}
	}
	if r.Left <= 0 || primary == nil && !catching {
		return Decision{Choice: Refuse, Reason: "no member holds the position"}
	}
	return Decision{Choice: Wait, Reason: "the primary's share of reads is used up"}
}

func fallbackReason(catching bool) string {
	if catching {
		return "replicas are too far behind"
	}
	return "no replica is in service"
}

func readyReplica(v *View, required group.Position) *Member {
	var best *Member
	for i := range v.Members {
		m := &v.Members[i]
		if m.Primary || !m.Healthy || m.Leaving || m.Position.Less(required) {
			continue
		}
		if best == nil || lighter(m, best) {
			best = m
		}
	}
	return best
}

// lighter compares the use of two members' connections.
func lighter(a, b *Member) bool {
	return a.InFlight*max(b.Capacity, 1) < b.InFlight*max(a.Capacity, 1)
}

// nearest returns after what time the first replica should hold a position of
// that age. A replica that should hold it by now is only not known to: the next
// poll will show it.
func nearest(v *View, age time.Duration) (time.Duration, bool) {
	var delay time.Duration
	found := false
	for i := range v.Members {
		m := &v.Members[i]
		if m.Primary || !m.Healthy || m.Leaving {
			continue
		}
		if left := max(0, m.Behind-age); !found || left < delay {
			delay, found = left, true
		}
	}
	return delay, found
}

func findPrimary(v *View) *Member {
	for i := range v.Members {
		if v.Members[i].Primary && v.Members[i].Healthy {
			return &v.Members[i]
		}
	}
	return nil
}
