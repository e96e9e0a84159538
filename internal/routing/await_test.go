package routing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/locality"
)

// The load: the primary is busy, and replicas lag. A read waits for one that will be there in
// time, and for none that falls back, is gone, or whose lag is not known.
func TestAwait(t *testing.T) {
	const age, left = 100 * time.Millisecond, 50 * time.Millisecond
	primary := Candidate{ID: "p", Primary: true, Usable: true, Load: 1}
	near := Candidate{ID: "a", Usable: true, Position: at(4), Behind: age + left}
	with := func(change func(*Candidate)) Candidate {
		c := near
		change(&c)
		return c
	}
	for name, c := range map[string]struct {
		replicas []Candidate
		want     bool
	}{
		"just in time":      {[]Candidate{near}, true},
		"one of two":        {[]Candidate{with(func(c *Candidate) { c.Behind += time.Second }), near}, true},
		"a moment too late": {[]Candidate{with(func(c *Candidate) { c.Behind++ })}, false},
		"falls back":        {[]Candidate{with(func(c *Candidate) { c.Growing = true })}, false},
		"gone":              {[]Candidate{with(func(c *Candidate) { c.Usable = false })}, false},
		"lag not known":     {[]Candidate{with(func(c *Candidate) { c.Behind = -1 })}, false},
		"just refused":      {[]Candidate{with(func(c *Candidate) { c.Refused = true })}, false},
		"another region":    {[]Candidate{with(func(c *Candidate) { c.Distance = locality.OtherRegion })}, false},
		"there, not here":   {[]Candidate{with(func(c *Candidate) { c.Distance, c.Behind = locality.OtherRegion, age }), near}, true},
		"has more to do":    {[]Candidate{with(func(c *Candidate) { c.Load = 2 })}, false},
		"none":              {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			order := Order(append([]Candidate{primary}, c.replicas...), at(5), age)
			must.Eq(t, c.want, Await(order, at(5), age, left))
		})
	}
	idle := primary
	idle.Load = 0
	must.False(t, Await(Order([]Candidate{idle, near}, at(5), age), at(5), age, left), must.Sprint("the primary has nothing else to do"))
	fresh := Candidate{ID: "b", Usable: true, Position: at(5)}
	must.False(t, Await(Order([]Candidate{primary, fresh}, at(5), age), at(5), age, left), must.Sprint("a replica can serve now"))
}
