package owner

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
	"github.com/stackspindle/stackspindle/internal/routing"
)

// RoutingDecision is the routing decision for a statement.
type RoutingDecision struct {
	Primary  string
	Member   string
	Reason   string
	Floor    string // position that the session's reads must at least see
	Required string // position that the member must have reached
}

// Explain returns how a statement would be routed now, without running it.
func (g *Group) Explain(session string, read bool, staleness time.Duration) RoutingDecision {
	v := g.view.Load()
	choice := RoutingDecision{Primary: v.primary}
	if !v.serving {
		choice.Reason = "the group has no primary here"
		return choice
	}
	header := &peerpb.Header{Session: session, StalenessUs: staleness.Microseconds()}
	required, err := g.requiredPosition(header)
	if err != nil {
		choice.Reason = err.Error()
		return choice
	}
	choice.Required = required.String()
	g.ackMu.Lock()
	if floor, err := g.floors.Floor(session, group.Position{}); err == nil {
		choice.Floor = floor.String()
	}
	g.ackMu.Unlock()
	if !read {
		choice.Member, choice.Reason = v.primary, "writes and open transactions run on the primary"
		return choice
	}
	now := g.opts.Now()
	decision := g.route(v, g.progress.Load(), required, now, now+time.Second)
	choice.Member, choice.Reason = decision.Member, decision.Reason
	if decision.Choice == routing.Wait {
		choice.Reason = "waits: " + decision.Reason
	}
	return choice
}
