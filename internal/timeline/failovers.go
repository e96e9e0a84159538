package timeline

import (
	"fmt"
	"strings"
	"time"
)

// Event kinds that are steps of a failover.
const (
	KindPrimaryLost = "primary-lost"
	KindClaim       = "claim"
	KindFence       = "fence"
	KindPromote     = "promote"
	KindServing     = "serving"
)

// Failover is one change of the primary or the owner of a group.
type Failover struct {
	Group string
	Steps []Event // from the detection, which is KindPrimaryLost or KindClaim, to KindServing
}

// Failovers extracts the completed failovers from an ordered time line: per group, the
// events from the loss of the primary, or from a claim, to KindServing.
func Failovers(events []Event) []Failover {
	ongoing := make(map[string][]Event)
	var completed []Failover
	for _, e := range events {
		switch e.Kind {
		case KindPrimaryLost, KindClaim:
			if len(ongoing[e.Group]) == 0 || e.Kind == KindPrimaryLost {
				ongoing[e.Group] = []Event{e}
				continue
			}
			ongoing[e.Group] = append(ongoing[e.Group], e)
		case KindFence, KindPromote, KindServing:
			if len(ongoing[e.Group]) == 0 {
				continue
			}
			ongoing[e.Group] = append(ongoing[e.Group], e)
			if e.Kind == KindServing {
				completed = append(completed, Failover{Group: e.Group, Steps: ongoing[e.Group]})
				delete(ongoing, e.Group)
			}
		}
	}
	return completed
}

// Gap returns the time from the first step to the last.
func (f Failover) Gap() time.Duration {
	return f.Steps[len(f.Steps)-1].Clock.Time().Sub(f.Steps[0].Clock.Time())
}

// Report formats the steps as text, each with its delay after the previous one.
func (f Failover) Report() string {
	var b strings.Builder
	fmt.Fprintf(&b, "group %s, %s from the first sign to serving:\n", f.Group, f.Gap().Round(time.Millisecond/10))
	last := f.Steps[0].Clock.Time()
	for _, e := range f.Steps {
		at := e.Clock.Time()
		fmt.Fprintf(&b, "  +%-10s %-12s %-13s %-10s term %-4d %s\n", at.Sub(last).Round(time.Millisecond/10), e.Instance, e.Kind, e.Member, e.Term, e.Text)
		last = at
	}
	return b.String()
}
