package routing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/locality"
)

// The primary is busy, and replicas lag. A read waits for a replica that will catch up in time,
// and not for one that falls behind, does not answer or has an unknown lag.
func TestShouldWaitForReplica(t *testing.T) {
	const age, left = 100 * time.Millisecond, 50 * time.Millisecond
	primary := Candidate{ID: "p", Primary: true, Usable: true, Load: 1}
	near := Candidate{ID: "a", Usable: true, Position: at(4), Lag: age + left}
	with := func(change func(*Candidate)) Candidate {
		c := near
		change(&c)
		return c
	}
	for name, c := range map[string]struct {
		replicas []Candidate
		want     bool
	}{
		"just in time":                       {[]Candidate{near}, true},
		"one of two":                         {[]Candidate{with(func(c *Candidate) { c.Lag += time.Second }), near}, true},
		"just too late":                      {[]Candidate{with(func(c *Candidate) { c.Lag++ })}, false},
		"lag is growing":                     {[]Candidate{with(func(c *Candidate) { c.LagGrowing = true })}, false},
		"does not answer":                    {[]Candidate{with(func(c *Candidate) { c.Usable = false })}, false},
		"lag unknown":                        {[]Candidate{with(func(c *Candidate) { c.Lag = -1 })}, false},
		"rejected for its lag":               {[]Candidate{with(func(c *Candidate) { c.LagRejected = true })}, false},
		"in another region":                  {[]Candidate{with(func(c *Candidate) { c.Distance = locality.OtherRegion })}, false},
		"nearly caught up in another region": {[]Candidate{with(func(c *Candidate) { c.Distance, c.Lag = locality.OtherRegion, age }), near}, true},
		"more loaded than the primary":       {[]Candidate{with(func(c *Candidate) { c.Load = 2 })}, false},
		"no replica":                         {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			order := Order(append([]Candidate{primary}, c.replicas...), at(5), age)
			must.Eq(t, c.want, ShouldWaitForReplica(order, at(5), age, left))
		})
	}
	idle := primary
	idle.Load = 0
	must.False(t, ShouldWaitForReplica(Order([]Candidate{idle, near}, at(5), age), at(5), age, left), must.Sprint("the primary is idle"))
	fresh := Candidate{ID: "b", Usable: true, Position: at(5)}
	must.False(t, ShouldWaitForReplica(Order([]Candidate{primary, fresh}, at(5), age), at(5), age, left), must.Sprint("a replica can serve now"))
}
