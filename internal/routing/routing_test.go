package routing

import (
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/stackspindle/stackspindle/internal/group"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

func at(index uint64) group.Position { return group.Position{Term: 1, Index: index} }

func drawView(t *rapid.T) *View {
	v := &View{
		MaxReplicaWait:  time.Duration(rapid.IntRange(0, 100).Draw(t, "maxWait")) * time.Millisecond,
		MaxPrimaryReads: rapid.IntRange(0, 3).Draw(t, "fallback"),
		FallbackReads:   rapid.IntRange(0, 4).Draw(t, "onPrimary"),
	}
	for i := range rapid.IntRange(1, 5).Draw(t, "members") {
		v.Members = append(v.Members, Member{
			Name:     string(rune('a' + i)),
			Primary:  i == 0,
			Healthy:  rapid.Bool().Draw(t, "healthy"),
			Leaving:  rapid.Bool().Draw(t, "leaving"),
			Position: at(rapid.Uint64Range(0, 10).Draw(t, "position")),
			InFlight: rapid.IntRange(0, 10).Draw(t, "inFlight"),
			Capacity: rapid.IntRange(0, 10).Draw(t, "capacity"),
			Lag:      time.Duration(rapid.IntRange(0, 200).Draw(t, "lag")) * time.Millisecond,
		})
	}
	return v
}

// For any snapshot: a chosen replica is healthy, not draining, and holds the position; the primary
// is chosen only when no such replica exists, and within the fallback limit; no read waits when
// it could run.
func TestRouteChoosesReadyReplicaBeforePrimary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := drawView(t)
		r := Request{
			Required: at(rapid.Uint64Range(0, 10).Draw(t, "required")),
			Waited:   time.Duration(rapid.IntRange(0, 150).Draw(t, "waited")) * time.Millisecond,
			TimeLeft: time.Duration(rapid.IntRange(-10, 1000).Draw(t, "left")) * time.Millisecond,
		}
		ready := false
		for _, m := range v.Members {
			ready = ready || !m.Primary && m.Healthy && !m.Leaving && m.Position.AtLeast(r.Required)
		}
		d := Route(v, r)
		if ready != (d.Choice == Use && !d.Fallback) {
			t.Fatalf("replica ready: %t, decision %+v", ready, d)
		}
		if d.Choice != Use {
			if d.Choice == Wait && r.TimeLeft <= 0 && v.FallbackReads >= v.MaxPrimaryReads {
				t.Fatalf("read waits beyond its deadline: %+v", d)
			}
			return
		}
		m := memberOf(v, d.Member)
		if !m.Healthy || !m.Primary && (m.Leaving || m.Position.Less(r.Required)) {
			t.Fatalf("member %+v may not serve %+v", m, r)
		}
		if d.Fallback != m.Primary || d.Fallback && v.FallbackReads >= v.MaxPrimaryReads {
			t.Fatalf("fallback beyond the limit or wrongly marked: %+v", d)
		}
	})
}

func memberOf(v *View, name string) Member {
	for _, m := range v.Members {
		if m.Name == name {
			return m
		}
	}
	return Member{}
}

func TestRouteDecisions(t *testing.T) {
	base := func() *View {
		return &View{MaxReplicaWait: 50 * time.Millisecond, MaxPrimaryReads: 2, Members: []Member{
			{Name: "p", Primary: true, Healthy: true, Position: at(10)},
			{Name: "r1", Healthy: true, Position: at(9), Lag: 10 * time.Millisecond, Capacity: 8},
			{Name: "r2", Healthy: true, Position: at(5), Lag: 5 * time.Second, Capacity: 8},
		}}
	}
	cases := []struct {
		name   string
		change func(*View)
		req    Request
		want   Decision
	}{
		{"caught up", func(*View) {}, Request{Required: at(9), TimeLeft: time.Second}, Decision{Choice: Use, Member: "r1"}},
		{"about to catch up", func(*View) {}, Request{Required: at(10), TimeLeft: time.Second}, Decision{Choice: Wait}},
		{"waited for the longest allowed time", func(*View) {}, Request{Required: at(10), Waited: 45 * time.Millisecond, TimeLeft: time.Second}, Decision{Choice: Use, Member: "p", Fallback: true}},
		{"far behind", func(v *View) { v.Members[1].Lag = time.Second }, Request{Required: at(10), TimeLeft: time.Second}, Decision{Choice: Use, Member: "p", Fallback: true}},
		{"fallback limit reached", func(v *View) { v.Members[1].Lag, v.FallbackReads = time.Second, 2 }, Request{Required: at(10), TimeLeft: time.Second}, Decision{Choice: Wait}},
		{"position older than the lag", func(v *View) { v.Members[1].Lag = time.Second }, Request{Required: at(10), Age: 2 * time.Second, TimeLeft: time.Second}, Decision{Choice: Wait}},
		{"about to catch up with an old position", func(v *View) { v.Members[1].Lag = time.Second }, Request{Required: at(10), Age: 970 * time.Millisecond, TimeLeft: time.Second}, Decision{Choice: Wait}},
		{"less loaded replica", func(v *View) { v.Members[1].InFlight = 3 }, Request{Required: at(5), TimeLeft: time.Second}, Decision{Choice: Use, Member: "r2"}},
		{"no members", func(v *View) { v.Members = nil }, Request{Required: at(5), TimeLeft: time.Second}, Decision{Choice: Refuse}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := base()
			c.change(v)
			got := Route(v, c.req)
			got.Reason = ""
			must.Eq(t, c.want, got)
		})
	}
}

// RequiredAt returns a position that covers everything acknowledged up to the time, and Lag
// never reports a lag that is too small.
func TestSamplesAreConservative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSamples(rapid.IntRange(2, 8).Draw(t, "size"), time.Duration(rapid.IntRange(0, 5).Draw(t, "spacing")))
		type write struct {
			at    time.Duration
			index uint64
		}
		var writes []write
		var now time.Duration
		index := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4).Draw(t, "pause"))
			index += rapid.Uint64Range(0, 2).Draw(t, "writes")
			writes = append(writes, write{now, index})
			s.Add(now, at(index))
		}
		asked := time.Duration(rapid.Int64Range(0, int64(now)).Draw(t, "asked"))
		p, _, ok := s.RequiredAt(asked)
		for _, w := range writes {
			if ok && w.at <= asked && p.Index < w.index {
				t.Fatalf("required at %d: %s does not cover the write %d of time %d", asked, p, w.index, w.at)
			}
		}
		held := rapid.Uint64Range(0, index).Draw(t, "held")
		if held < index && s.Lag(now+1, at(held)) <= 0 {
			t.Fatalf("log ends at %d of %d, but the lag is 0", held, index)
		}
	})
}
