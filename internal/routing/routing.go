// Package routing chooses the member of a database group that serves a read. Package owner
// uses Route, on a snapshot of a whole group; package relay uses Order, on the candidates
// that one instance sees. The package has no I/O, clock or goroutine.
//
// A replica may serve a read when its log holds every write that the read must see: the
// session's last write, and for a service with staleness d everything acknowledged up to d ago.
// Staleness 0 requires everything acknowledged so far.
package routing

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

// Member is one member of the group in a View.
type Member struct {
	Name     string
	Primary  bool
	Healthy  bool // it answers, in the current term
	Leaving  bool // draining: gets no new work
	Position group.Position
	InFlight int           // number of running statements
	Capacity int           // number of connections that may be used at once
	Lag      time.Duration // replica lag: how long ago Position was the highest acknowledged position
}

// View is a snapshot of a group.
type View struct {
	Members         []Member
	MaxReplicaWait  time.Duration // longest wait for a replica to catch up
	MaxPrimaryReads int           // how many reads may run on the primary at once because no replica can serve them
	FallbackReads   int           // how many reads run on the primary now for that reason
}

// Choice is the action to take for a read.
type Choice int

// The actions for a read.
const (
	Use    Choice = iota // run on Decision.Member
	Wait                 // wait until a replica holds the position, then call Route again
	Refuse               // reject: no member may serve the read
)

// Decision is the result of Route.
type Decision struct {
	Choice   Choice
	Member   string
	Fallback bool // the primary serves because no replica can; the caller counts it in View.FallbackReads
	Reason   string
}

// Request is a read to be routed.
type Request struct {
	Required group.Position // position that the member's log must hold
	Age      time.Duration  // since the required position was acknowledged
	Waited   time.Duration  // time already spent waiting for a replica
	TimeLeft time.Duration  // time until the read's deadline
}

// Route chooses a member for a read. It prefers the least loaded replica that holds the
// required position. If there is none, the read waits as long as some replica is expected to
// catch up within MaxReplicaWait and before the deadline. Otherwise the primary serves it, up to
// View.MaxPrimaryReads such reads at once. Beyond that limit the read keeps waiting, so that
// lagging replicas do not overload the primary.
func Route(v *View, r Request) Decision {
	if m := readyReplica(v, r.Required); m != nil {
		return Decision{Choice: Use, Member: m.Name, Reason: "replica holds the position"}
	}
	delay, catchingUp := shortestCatchUp(v, r.Age)
	if catchingUp && r.Waited+delay <= v.MaxReplicaWait && delay < r.TimeLeft {
		return Decision{Choice: Wait, Reason: "a replica is about to catch up"}
	}
	primary := findPrimary(v)
	if primary != nil && v.FallbackReads < v.MaxPrimaryReads {
		return Decision{Choice: Use, Member: primary.Name, Fallback: true, Reason: fallbackReason(catchingUp)}
	}
	if r.TimeLeft <= 0 || primary == nil && !catchingUp {
		return Decision{Choice: Refuse, Reason: "no member holds the position"}
	}
	return Decision{Choice: Wait, Reason: "the primary's share of reads is used up"}
}

func fallbackReason(replicaInService bool) string {
	if replicaInService {
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
		if best == nil || lessLoaded(m, best) {
			best = m
		}
	}
	return best
}

// lessLoaded reports whether a uses a smaller fraction of its connections than b.
func lessLoaded(a, b *Member) bool {
	return a.InFlight*max(b.Capacity, 1) < b.InFlight*max(a.Capacity, 1)
}

// shortestCatchUp returns the shortest time after which a replica is expected to hold a position
// of some age, and false when no replica is in service. The time is 0 for a replica that is
// expected to hold it already; the next poll will confirm that.
func shortestCatchUp(v *View, age time.Duration) (time.Duration, bool) {
	var delay time.Duration
	found := false
	for i := range v.Members {
		m := &v.Members[i]
		if m.Primary || !m.Healthy || m.Leaving {
			continue
		}
		if remaining := max(0, m.Lag-age); !found || remaining < delay {
			delay, found = remaining, true
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
