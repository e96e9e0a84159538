package failover

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

// BenchmarkSilenceTrade shows what the limit of silence costs and saves: the
// share of a living primary's pauses (100 ms to 2 s, as under load) that move it,
// and the time until a dead one is noticed.
func BenchmarkSilenceTrade(b *testing.B) {
	for _, silence := range []time.Duration{300, 600, 1200, 2400} {
		silence *= time.Millisecond
		b.Run(fmt.Sprintf("silence=%s", silence), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			moved, pauses, noticed := 0, 0, time.Duration(0)
			for b.Loop() {
				pause := 100*time.Millisecond + time.Duration(rng.Int64N(int64(1900*time.Millisecond)))
				offset := time.Duration(rng.Int64N(int64(200 * time.Millisecond)))
				pauses++
				if detect(silence, pause, offset) > 0 {
					moved++
				}
				noticed += detect(silence, time.Hour, offset)
			}
			b.ReportMetric(100*float64(moved)/float64(pauses), "%pauses-moved")
			b.ReportMetric(float64(noticed.Milliseconds())/float64(pauses), "ms-to-notice")
		})
	}
}

// detect runs a serving owner whose primary pauses, and returns after what time
// it is replaced, or 0.
func detect(silence, pause, offset time.Duration) time.Duration {
	cfg := DefaultConfig()
	cfg.Silence = silence
	s := New(cfg, "me", []string{"a", "b", "c"})
	now := time.Second
	answer := func(name string, op Op, st group.Status) {
		s.Step(now, Reply{Member: name, Op: op, Term: s.Term(), Sent: now, Status: st})
	}
	s.Step(now, Claim{})
	for _, name := range []string{"a", "b", "c"} {
		answer(name, OpStatus, primaryStatus(1, 1))
	}
	for _, name := range []string{"a", "b", "c"} {
		answer(name, OpFence, group.Status{Term: 2, Role: group.RoleFenced})
	}
	answer(s.primary, OpPromote, primaryStatus(2, 1))
	primary, begin := s.primary, now+time.Second+offset
	for now < begin+pause && now < begin+10*time.Second {
		now += 50 * time.Millisecond
		for _, a := range s.Step(now, Tick{}) {
			send, ok := a.(Send)
			if !ok || send.Op != OpHeartbeat {
				continue
			}
			if send.Member == primary && now >= begin {
				continue
			}
			st := replicaStatus(2, 1)
			if send.Member == primary {
				st = primaryStatus(2, 1)
			}
			answer(send.Member, OpHeartbeat, st)
		}
		if s.Phase() != Serving {
			return now - begin
		}
	}
	return 0
}
