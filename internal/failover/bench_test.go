package failover

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

// BenchmarkMemberTimeout shows the trade-off of the member timeout: the share of a
// healthy primary's pauses (100 ms to 2 s, as under load) that cause a failover,
// and the time until a failed primary is detected.
func BenchmarkMemberTimeout(b *testing.B) {
	for _, timeout := range []time.Duration{300, 600, 1200, 2400} {
		timeout *= time.Millisecond
		b.Run(fmt.Sprintf("silence=%s", timeout), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			replaced, pauses, detectionTime := 0, 0, time.Duration(0)
			for b.Loop() {
				pause := 100*time.Millisecond + time.Duration(rng.Int64N(int64(1900*time.Millisecond)))
				offset := time.Duration(rng.Int64N(int64(200 * time.Millisecond)))
				pauses++
				if timeToReplace(timeout, pause, offset) > 0 {
					replaced++
				}
				detectionTime += timeToReplace(timeout, time.Hour, offset)
			}
			b.ReportMetric(100*float64(replaced)/float64(pauses), "%pauses-moved")
			b.ReportMetric(float64(detectionTime.Milliseconds())/float64(pauses), "ms-to-notice")
		})
	}
}

// timeToReplace simulates an owner whose primary pauses. It returns the time from
// the start of the pause to the failover, or 0 if there is none.
func timeToReplace(timeout, pause, offset time.Duration) time.Duration {
	cfg := DefaultConfig()
	cfg.MemberTimeout = timeout
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
