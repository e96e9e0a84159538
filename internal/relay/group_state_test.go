package relay

import (
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/routing"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// statementInFlight was sent to the primary and will be answered.
type statementInFlight struct {
	sentAt   time.Duration
	position group.Position // end of the log when it ran
}

// Statements run on a primary whose log grows, through changes of term, with answers that arrive
// out of order. A read with a staleness bound must require a log position that covers everything
// which was acknowledged before that bound and is still part of the group's log.
func TestRequiredPositionCoversAcknowledgedWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &groupState{samples: routing.NewSamples(sampleCount, sampleSpacing)}
		var now time.Duration
		end := group.Position{Term: 1}
		type acknowledged struct {
			at       time.Duration
			position group.Position
		}
		var acks []acknowledged
		var inFlight []statementInFlight
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond
			switch rapid.SampledFrom([]string{"ask", "ask", "write", "answer", "answer", "promote", "read", "read"}).Draw(t, "what") {
			case "ask":
				inFlight = append(inFlight, statementInFlight{sentAt: now, position: end})
			case "write":
				end.Index++
				acks = append(acks, acknowledged{at: now, position: end})
			case "answer":
				if len(inFlight) > 0 {
					i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "which")
					g.addSample(inFlight[i].sentAt, inFlight[i].position)
					inFlight = append(inFlight[:i], inFlight[i+1:]...)
				}
			case "promote":
				// Statements in progress at the old primary are cancelled, and its last writes may
				// be lost.
				inFlight = nil
				lost := rapid.Uint64Range(0, min(2, end.Index)).Draw(t, "lost")
				end = group.Position{Term: end.Term + 1, Index: end.Index - lost}
				for i := range acks {
					if acks[i].position.Index > end.Index {
						acks[i].position = group.Position{} // lost with the old log
					}
				}
			case "read":
				at := now - time.Duration(rapid.IntRange(0, 500).Draw(t, "staleness"))*time.Millisecond
				required, _, ok := g.requiredAt(at)
				if !ok {
					continue // goes to the primary
				}
				for _, ack := range acks {
					if ack.at <= at && ack.position.Index > required.Index {
						t.Fatalf("a read of what was acknowledged by %s requires %s, but %s was acknowledged at %s", at, required, ack.position, ack.at)
					}
				}
			}
		}
	})
}

func TestFloorOfEarlierTerm(t *testing.T) {
	g := &groupState{samples: routing.NewSamples(sampleCount, sampleSpacing)}
	g.addSample(time.Second, group.Position{Term: 2, Index: 7})
	must.Eq(t, group.Position{}, g.currentFloor(group.Position{Term: 1, Index: 9}))
	must.Eq(t, group.Position{Term: 2, Index: 9}, g.currentFloor(group.Position{Term: 2, Index: 9}))
	g.addSample(2*time.Second, group.Position{Term: 1, Index: 50})
	_, _, ok := g.requiredAt(time.Second)
	must.False(t, ok, must.Sprint("a sample of an older term is ignored"))
}
