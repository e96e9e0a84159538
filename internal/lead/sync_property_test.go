package lead

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// simulatedMember is a member of a group with synchronous replication.
type simulatedMember struct {
	id       string
	primary  bool
	term     uint64
	log      []int // commits by number
	draining bool
	new      bool // an unreachable instance may not know it
	lagging  bool // it receives nothing
	down     bool
	gone     bool // its entry has vanished
}

func (m *simulatedMember) received() group.Position {
	return group.Position{Term: m.term, Index: uint64(len(m.log))}
}

// simulatedSyncGroup is such a group, with the record of its leader.
type simulatedSyncGroup struct {
	t            *rapid.T
	syncReplicas int
	members      []*simulatedMember
	primary      *simulatedMember // of the record; it may be down or have stepped down
	record       Record
	commits      int
	acknowledged []int
}

// TestPromotedMemberHasAllAcknowledgedCommits draws orders of writes, lagging, draining,
// unknown and crashed members and changes of primary, in which any subset of the members
// answers. No promoted member may lack an acknowledged commit.
func TestPromotedMemberHasAllAcknowledgedCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &simulatedSyncGroup{t: t}
		for n := range rapid.IntRange(2, 5).Draw(t, "members") {
			g.members = append(g.members, &simulatedMember{id: fmt.Sprint("m", n), term: 1, primary: n == 0})
		}
		g.syncReplicas = rapid.IntRange(1, len(g.members)-1).Draw(t, "sync replicas")
		g.primary, g.record = g.members[0], Record{Group: "g", Primary: "m0", Term: 1}
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			g.step()
		}
	})
}

func (g *simulatedSyncGroup) step() {
	m := g.members[rapid.IntRange(0, len(g.members)-1).Draw(g.t, "member")]
	switch rapid.SampledFrom([]string{"write", "write", "lag", "drain", "new", "crash", "return", "replace", "replace as planned"}).Draw(g.t, "step") {
	case "write":
		g.write()
	case "lag":
		m.lagging = !m.lagging
	case "drain":
		m.draining = !m.draining
	case "new":
		m.new = !m.new
	case "crash":
		m.down = true
		m.gone = m == g.primary && rapid.Bool().Draw(g.t, "its entry vanishes")
	case "return":
		m.down, m.gone = false, false
		m.primary = m.primary && m == g.primary
	case "replace":
		g.replace(false)
	case "replace as planned":
		g.replace(true)
	}
	g.replicate()
}

// write commits a write, which is acknowledged if enough replicas receive it.
func (g *simulatedSyncGroup) write() {
	if !g.primary.primary || g.primary.down {
		return
	}
	g.commits++
	g.primary.log = append(g.primary.log, g.commits)
	if g.replicate() >= g.syncReplicas {
		g.acknowledged = append(g.acknowledged, g.commits)
	}
}

// replicate sends the primary's log to the replicas, and returns how many receive it.
func (g *simulatedSyncGroup) replicate() int {
	receivers := 0
	for _, m := range g.members {
		if !g.primary.primary || g.primary.down || m == g.primary || m.lagging || m.down {
			continue
		}
		m.term, m.log = g.primary.term, slices.Clone(g.primary.log)
		receivers++
	}
	return receivers
}

// replace changes the primary if that can be decided from the members that answer.
func (g *simulatedSyncGroup) replace(planned bool) {
	var entries []topology.Member
	var answers []memberStatus
	s := Selection{
		Replaced: planned, AllowShorterLog: rapid.Bool().Draw(g.t, "shorter log"), AllowDraining: rapid.Bool().Draw(g.t, "draining"),
		Unreached: rapid.Bool().Draw(g.t, "unreached"), KnownBefore: 1,
	}
	if planned && !g.primary.down {
		g.primary.primary = false
		s.FinalPosition = g.primary.received()
	}
	for _, m := range g.members {
		entry := topology.Member{ID: m.id, Draining: m.draining}
		if m.new {
			entry.Since = time.Second
		}
		if m.gone {
			continue
		}
		entries = append(entries, entry)
		if !m.down && rapid.Bool().Draw(g.t, "answers") {
			answers = append(answers, memberStatus{member: entry, status: member.Status{Primary: m.primary, Term: m.term, Received: m.received()}})
		}
	}
	best, decided := Select(answers, s.forGroup(entries, g.record, topology.Group{SyncReplicas: g.syncReplicas}))
	if !decided || best.status.Primary {
		return
	}
	g.promote(best)
}

func (g *simulatedSyncGroup) promote(chosen memberStatus) {
	g.primary.primary = false
	for _, m := range g.members {
		if m.id == chosen.member.ID {
			g.primary = m
		}
	}
	for _, commit := range g.acknowledged {
		if !slices.Contains(g.primary.log, commit) {
			g.t.Fatalf("%s was promoted without commit %d, which was acknowledged", g.primary.id, commit)
		}
	}
	g.record = g.record.afterPromotion(chosen.member.ID, g.record.Term+1, chosen.status.Received)
	g.primary.primary, g.primary.term = true, g.record.Term
}
