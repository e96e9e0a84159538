package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/stackspindle/stackspindle/internal/locality"
	"github.com/stackspindle/stackspindle/internal/pool"
	"github.com/stackspindle/stackspindle/internal/rendezvous"
)

// fleet returns n instances in each data centre.
func fleet(n int, dataCentres ...string) []rendezvous.Instance {
	var all []rendezvous.Instance
	for _, dc := range dataCentres {
		for i := range n {
			all = append(all, rendezvous.Instance{Name: fmt.Sprintf("%s-%d", dc, i), DataCentre: dc})
		}
	}
	return all
}

// place places a group in a fleet with a single region.
func place(g Group, alive []rendezvous.Instance, registered int) Carriers {
	return Place([]Group{g}, Fleet{Alive: alive, Registered: registered})[g.Name]
}

func TestCarrierCountAndConnections(t *testing.T) {
	for name, c := range map[string]struct {
		connections, registered, memberDataCentres int
		count, share                               int
		allInstances                               bool
	}{
		"two connections per instance":                    {23, 9, 3, 9, 2, true},
		"four connections per instance":                   {38, 8, 3, 8, 4, true},
		"72 instances, 283 connections":                   {283, 72, 3, 72, 3, true},
		"no instance registered yet":                      {23, 0, 3, 1, 21, true},
		"two carriers per member":                         {53, 71, 3, 6, 8, false},
		"295 instances, 131 connections":                  {131, 295, 3, 6, 21, false},
		"no known members":                                {53, 71, 0, 2, 25, false},
		"too few connections for two carriers per member": {25, 550, 3, 5, 4, false},
		"hardly any connections":                          {2, 550, 3, 1, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := Group{Name: "g", MaxConnections: c.connections}
			for i := range c.memberDataCentres {
				g.MemberDataCentres = append(g.MemberDataCentres, fmt.Sprint(i))
			}
			got := place(g, fleet(c.registered/5+1, "0", "1", "2", "3", "4"), c.registered)
			must.Eq(t, c.allInstances, got.AllInstances)
			must.Eq(t, c.share, got.ConnectionLimit("none", "0"))
			must.Eq(t, c.count, got.count)
			if !c.allInstances {
				must.Len(t, c.count, got.Names)
			}
			for member := range 3 {
				all := 0
				for self := range 5 {
					all += got.ConnectionLimit(fmt.Sprint(member), fmt.Sprint(self)) * carriersIn(got, fmt.Sprint(self))
				}
				must.LessEq(t, max(c.connections-Reserved, 1), all)
			}
		})
	}
}

// carriersIn returns how many of the carriers are in a data centre.
func carriersIn(c Carriers, dataCentre string) int {
	n := 0
	for _, name := range c.Names {
		if strings.HasPrefix(name, dataCentre+"-") {
			n++
		}
	}
	return n
}

// Carriers near a member get most of its connections.
func TestNearCarriersHaveMoreConnections(t *testing.T) {
	c := place(Group{Name: "g", MaxConnections: 29, MemberDataCentres: []string{"a", "b", "c"}}, fleet(24, "a", "b", "c"), 71)
	must.Eq(t, 9, c.ConnectionLimit("a", "a"))
	must.Eq(t, 2, c.ConnectionLimit("a", "b"))
	must.LessEq(t, 29-Reserved, 2*9+4*2)
	many := place(Group{Name: "g", MaxConnections: 66, MemberDataCentres: []string{"a", "b", "c"}}, fleet(24, "a", "b", "c"), 83)
	must.Eq(t, 22, many.ConnectionLimit("a", "a"))
	must.Eq(t, 5, many.ConnectionLimit("a", "b"), must.Sprint("half of the equal share: reads that arrive there need the primary while replicas lag"))
	must.LessEq(t, 66-Reserved, 2*22+4*5)
	allInstances := place(Group{Name: "g", MaxConnections: 23, MemberDataCentres: []string{"a", "b", "c"}}, fleet(3, "a", "b", "c"), 9)
	must.Eq(t, 2, allInstances.ConnectionLimit("a", "a"))
}

// Each member has two carriers in its data centre, including members that share one. Carriers
// elsewhere replace those of a data centre without instances.
func TestCarriersAreInMemberDataCentres(t *testing.T) {
	count := func(c Carriers) map[string]int {
		in := make(map[string]int)
		for _, name := range c.Names {
			in[name[:1]]++
		}
		return in
	}
	all := fleet(50, "a", "b", "c", "d", "e")
	must.Eq(t, map[string]int{"a": 2, "b": 2, "c": 2}, count(place(Group{Name: "g", MaxConnections: 131, MemberDataCentres: []string{"a", "b", "c"}}, all, 250)))
	must.Eq(t, map[string]int{"a": 4, "b": 2}, count(place(Group{Name: "g", MaxConnections: 131, MemberDataCentres: []string{"a", "a", "b"}}, all, 250)))
	gone := slices.DeleteFunc(slices.Clone(all), func(i rendezvous.Instance) bool { return i.DataCentre == "a" })
	c := place(Group{Name: "g", MaxConnections: 131, MemberDataCentres: []string{"a", "b", "c"}}, gone, 250)
	must.Len(t, 6, c.Names)
	must.Greater(t, 1, count(c)["b"])
}

// Losing one instance only replaces that instance.
func TestLosingAnInstanceReplacesOnlyIt(t *testing.T) {
	all := fleet(50, "a", "b", "c", "d", "e")
	g := Group{Name: "g", MaxConnections: 131, MemberDataCentres: []string{"a", "b", "c"}}
	before := place(g, all, 250).Names
	without := place(g, slices.DeleteFunc(slices.Clone(all), func(i rendezvous.Instance) bool { return i.Name == before[0] }), 249).Names
	kept := 0
	for _, name := range without {
		if slices.Contains(before, name) {
			kept++
		}
	}
	must.Eq(t, len(before)-1, kept)
	rank, ok := place(g, all, 250).Rank(before[1])
	must.True(t, ok)
	must.Eq(t, 1, rank)
	_, ok = place(g, all, 250).Rank("d-1")
	must.False(t, ok)
}

func TestActiveLimitPerCarrier(t *testing.T) {
	allInstances := place(Group{Name: "g", MaxConnections: 23}, nil, 9)
	must.Eq(t, 1, allInstances.ActiveLimit(3, "a", "a"))
	must.Eq(t, 2, place(Group{Name: "g", MaxConnections: 23}, nil, 3).ActiveLimit(3, "a", "a"))
	must.Eq(t, 6, place(Group{Name: "g", MaxConnections: 23}, nil, 1).ActiveLimit(3, "a", "a"))
	must.Eq(t, 1, place(Group{Name: "g", MaxConnections: 23}, nil, 5).ActiveLimit(0, "a", "a"))
	few := place(Group{Name: "g", MaxConnections: 131, MemberDataCentres: []string{"a", "b", "c"}}, fleet(50, "a", "b", "c", "d"), 200)
	must.Eq(t, 3, few.ActiveLimit(3, "a", "a"), must.Sprint("two near carriers share the member"))
	must.Eq(t, 1, few.ActiveLimit(3, "a", "b"))
	must.Eq(t, 1, few.ActiveLimit(3, "d", "d"), must.Sprint("there is no carrier near the member"))
}

// A statement is forwarded between data centres at most once: one that needs the primary goes to
// the primary's data centre, others stay in their own where it has a carrier.
func TestOrderPrefersNearCarriers(t *testing.T) {
	carriers := fleet(2, "a", "b", "c")
	same := func(i rendezvous.Instance) rendezvous.Instance { return i }
	near := func(origin Origin, preferred string) []string {
		var dcs []string
		for _, i := range Order(carriers, same, origin, preferred, locality.Map{})[:2] {
			dcs = append(dcs, i.DataCentre)
		}
		return dcs
	}
	must.Eq(t, []string{"b", "b"}, near(Origin{"x", "a"}, "b"))
	must.Eq(t, []string{"a", "a"}, near(Origin{"x", "a"}, "a"))
	must.Eq(t, []string{"a", "a"}, near(Origin{"x", "a"}, "d"))
	first := make(map[string]int)
	for i := range 300 {
		first[Order(carriers, same, Origin{fmt.Sprint(i), "d"}, "d", locality.Map{})[0].Name]++
	}
	for _, i := range carriers {
		must.Greater(t, 25, first[i.Name], must.Sprint("origins in a data centre without members use all carriers"))
	}
}

// urgentInTime simulates a member of 3 slots that receives 1.5 times the load it can run, through
// some carriers with a limit of concurrent statements each. It returns the fraction of urgent
// statements, a sixth of all, that are answered within 150 ms.
func urgentInTime(carriers, active int) float64 {
	const (
		slots, work   = 3, 18 * time.Millisecond
		arrivals      = 3000
		gap           = 4 * time.Millisecond
		queueTimeout  = 62 * time.Millisecond // a quarter of the objective
		objective     = 150 * time.Millisecond
		urgent, other = "1", "2"
	)
	random := rand.New(rand.NewPCG(1, 2))
	type item struct {
		arrived time.Duration
		urgent  bool
		carrier int
		request pool.Request
	}
	queues := make([]*pool.Queue, carriers)
	for i := range queues {
		queues[i] = pool.New(pool.Config{Capacity: active, MaxQueue: 64, KeepUntilDeadline: true})
	}
	items := make(map[uint64]item)
	var atMember []uint64
	var running []uint64
	ends := make(map[uint64]time.Duration)
	inTime, all := 0, 0
	for now, next := time.Duration(0), 0; next < arrivals || len(running) > 0; now += time.Millisecond {
		for next < arrivals && time.Duration(next)*gap <= now {
			it := item{arrived: now, urgent: random.IntN(6) == 0, carrier: random.IntN(carriers)}
			it.request = pool.Request{ID: uint64(next), Service: other, Weight: 4, Deadline: now + queueTimeout}
			if it.urgent {
				it.request.Service, it.request.Weight = urgent, 8
				all++
			}
			items[it.request.ID] = it
			if queues[it.carrier].Offer(now, it.request) == pool.Granted {
				atMember = append(atMember, it.request.ID)
			}
			next++
		}
		for _, id := range slices.Clone(running) {
			if ends[id] > now {
				continue
			}
			running = slices.DeleteFunc(running, func(r uint64) bool { return r == id })
			it := items[id]
			queues[it.carrier].Done(it.request, work)
			if it.urgent && now-it.arrived <= objective {
				inTime++
			}
		}
		for _, q := range queues {
			granted, _ := q.Next(now)
			for _, r := range granted {
				atMember = append(atMember, r.ID)
			}
		}
		for len(running) < slots && len(atMember) > 0 {
			id := atMember[0]
			atMember, running = atMember[1:], append(running, id)
			ends[id] = now + work
		}
	}
	return float64(inTime) / float64(all)
}

// A member receives 1.5 times the load that it can run, like a primary whose replicas lag. With
// 32 carriers up to 29 statements queue at the member, and an urgent statement behind them; with
// 6 carriers it queues behind 5.
func TestFewCarriersKeepUrgentStatementsFast(t *testing.T) {
	many, few := urgentInTime(32, 1), urgentInTime(6, 1)
	t.Logf("urgent statements in time: %.2f through 32 instances, %.2f through 6", many, few)
	must.Less(t, 0.7, many)
	must.Greater(t, 0.95, few)
}

// The carriers of a group together never use more connections to a member than it accepts, also
// with few or no instances in a data centre and with instances of different capacity.
func TestCarriersStayWithinMaxConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var alive []rendezvous.Instance
		centres := make(map[string]string)
		for _, centre := range []string{"a", "b", "c", "d"} {
			for n := range rapid.IntRange(0, 4).Draw(t, "instances") {
				i := rendezvous.Instance{Name: fmt.Sprint(centre, n), DataCentre: centre, Weight: rapid.SampledFrom([]float64{0, 1, 10}).Draw(t, "weight")}
				alive, centres[i.Name] = append(alive, i), centre
			}
		}
		var groups []Group
		for n := range rapid.IntRange(1, 12).Draw(t, "groups") {
			memberDataCentres := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 3).Draw(t, "memberDataCentres")
			groups = append(groups, Group{Name: fmt.Sprint("g", n), MaxConnections: rapid.IntRange(8, 140).Draw(t, "connections"), MemberDataCentres: memberDataCentres})
		}
		placed := Place(groups, Fleet{Alive: alive, Registered: 1000})
		for _, g := range groups {
			for _, dataCentre := range g.MemberDataCentres {
				used := 0
				for _, name := range placed[g.Name].Names {
					used += placed[g.Name].ConnectionLimit(dataCentre, centres[name])
				}
				if used > g.MaxConnections-Reserved {
					t.Fatalf("group %+v: %v use %d connections to the member in %s", g, placed[g.Name].Names, used, dataCentre)
				}
			}
		}
	})
}
