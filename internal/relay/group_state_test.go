package relay

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/routing"
	"github.com/stackspindle/stackspindle/internal/statement"
	"github.com/stackspindle/stackspindle/internal/topology"
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

// Guards against a bounded read that a replica serves although its log lacks a write which was
// acknowledged longer ago than the bound of the route, also after a configuration has shortened it.
func TestBoundedReadSeesWritesOlderThanItsBound(t *testing.T) {
	f := newFixture(t)
	f.setBound(generous)
	s := newSession(f.relay, StartupRequest{Database: "bounded"})
	must.Eq(t, "m1.x", f.run(s, statement.Read, "READ 1").Receipt, must.Sprint("no sample yet"))
	f.group.SetLagging("m2", true)
	time.Sleep(2 * sampleSpacing) // the next sample is not merged with the first
	w := newSession(f.relay, StartupRequest{Database: "strict"})
	must.Nil(t, f.run(w, statement.Write, "WRITE 1 x").Err)
	time.Sleep(2 * sampleSpacing)
	must.Nil(t, f.run(w, statement.Read, "READ 1").Err) // samples the log with the write
	const bound = 20 * sampleSpacing
	time.Sleep(bound)
	must.Nil(t, f.run(w, statement.Read, "READ 1").Err)
	must.Eq(t, "m2.x", f.run(s, statement.Read, "READ 1").Receipt, must.Sprint("the write is younger than the bound"))
	f.setBound(bound)
	must.Eq(t, "m1.x", f.run(s, statement.Read, "READ 1").Receipt, must.Sprint("the replica lacks the write"))
}

// Guards against a read that a replica serves although its log lacks a write of the session.
func TestReplicaWithoutOwnWriteIsNotRead(t *testing.T) {
	f := newFixture(t)
	s := newSession(f.relay, StartupRequest{Database: "own"})
	must.Nil(t, f.run(s, statement.Read, "READ 1").Err)
	f.group.SetLagging("m2", true)
	time.Sleep(2 * sampleSpacing) // the next sample is not merged with the first
	must.Nil(t, f.run(s, statement.Write, "WRITE 1 x").Err)
	must.Eq(t, "m1.x", f.run(s, statement.Read, "READ 1").Receipt)
	other := newSession(f.relay, StartupRequest{Database: "own"})
	must.Eq(t, "m2.x", f.run(other, statement.Read, "READ 1").Receipt, must.Sprint("it need not see the write of another session"))
}

// setBound changes the staleness bound of the route of the database "bounded".
func (f *fixture) setBound(bound time.Duration) {
	state := topology.New(0, 0)
	config := f.topology().Config
	config.Version++
	config.Routes = slices.Clone(config.Routes)
	for n := range config.Routes {
		if config.Routes[n].Database == "bounded" {
			config.Routes[n].MaxStaleness = bound
		}
	}
	state.SetConfig(config)
	for _, id := range []string{"m1", "m2"} {
		state.SetMember(0, f.group.Entry(id), false)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snap = state.Snapshot()
}

// A position of another term than that of the permit is no sample: the member may lead another log.
func TestSampleHasTermOfPermit(t *testing.T) {
	f := newFixture(t)
	permit, err := f.guard.Acquire(func() {})
	must.NoError(t, err)
	defer permit.Done()
	g := f.relay.upstreams.group("g")
	for _, term := range []uint64{0, 2} {
		f.relay.recordAnswer(f.relay.upstreams.get("m1"), g, permit, f.relay.now(), statement.Answer{Position: group.Position{Term: term, Index: 7}})
		_, _, ok := g.requiredAt(0)
		must.False(t, ok, must.Sprint(term))
	}
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
