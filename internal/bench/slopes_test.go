package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/config"
	"github.com/stackspindle/stackspindle/internal/failover"
	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/owner"
	"github.com/stackspindle/stackspindle/internal/rendezvous"
	"github.com/stackspindle/stackspindle/internal/resource"
	"github.com/stackspindle/stackspindle/internal/rollout"
	"github.com/stackspindle/stackspindle/internal/session"
	"github.com/stackspindle/stackspindle/internal/standin"
	"github.com/stackspindle/stackspindle/internal/standin/pggroup"
	"github.com/stackspindle/stackspindle/internal/timeline"
)

// processorTime returns the processor time, user and system, of this process so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // the arguments are constants
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// linearFit is the least-squares line through points.
type linearFit struct{ n, sx, sy, sxx, sxy, syy float64 }

func (f *linearFit) add(x, y float64) {
	f.n++
	f.sx += x
	f.sy += y
	f.sxx += x * x
	f.sxy += x * y
	f.syy += y * y
}

func (f *linearFit) slope() float64 {
	return (f.n*f.sxy - f.sx*f.sy) / (f.n*f.sxx - f.sx*f.sx)
}

// r2 returns the coefficient of determination: the share of the variance that the
// line explains.
func (f *linearFit) r2() float64 {
	cov := f.n*f.sxy - f.sx*f.sy
	return cov * cov / ((f.n*f.sxx - f.sx*f.sx) * (f.n*f.syy - f.sy*f.sy))
}

// printRow measures all sizes and prints the slope as a row of the table of
// docs/CAPACITY.md.
func printRow(b *testing.B, quantity, unit string, sizes []int, measure func(n int) float64) {
	var f linearFit
	var points []string
	for _, n := range sizes {
		y := measure(n)
		f.add(float64(n), y)
		points = append(points, fmt.Sprintf("%d: %.4g", n, y))
	}
	fmt.Printf("| %s | %.4g %s | %.3f | %s |\n", quantity, f.slope(), unit, f.r2(), strings.Join(points, ", "))
	b.ReportMetric(f.slope(), "slope")
}

// BenchmarkSlopes prints the table of slopes of docs/CAPACITY.md: how the use of a
// resource grows with a size. `make slopes` runs it.
func BenchmarkSlopes(b *testing.B) {
	fmt.Println("\n| what | slope | R² | points |\n|---|---|---|---|")
	for _, s := range []struct {
		name string
		run  func(b *testing.B)
	}{
		{"callers", slopeIdleClients}, {"statements", slopeStatements}, {"groups", slopeGroups},
		{"heartbeat-bytes", slopeHeartbeatBytes}, {"steps", slopeFailoverSteps}, {"floors", slopeFloors},
		{"fleet", slopeFleet}, {"ranking", slopePlacement}, {"configuration", slopeConfiguration}, {"events", slopeEvents},
	} {
		b.Run(s.name, func(b *testing.B) {
			for b.Loop() {
				s.run(b)
			}
		})
	}
}

func slopeIdleClients(b *testing.B) {
	fleet := startFleet(b, standin.Options{Instances: 1, Adjust: func(s *config.Settings) { s.Client.MaxClients = 10_000 }})
	addr := fleet.Instances[0].ClientAddr()
	connectIdleClient(b, addr).Close()
	base := memoryInUse()
	open := 0
	printRow(b, "memory of idle callers", "B a caller", []int{500, 1000, 2000, 4000}, func(n int) float64 {
		for ; open < n; open++ {
			conn := connectIdleClient(b, addr)
			b.Cleanup(func() { conn.Close() })
		}
		return float64(memoryInUse() - base)
	})
}

// slopeStatements subtracts the processor time of clients and stand-ins, which run in
// the same process: it measures the direct path in the same run.
func slopeStatements(b *testing.B) {
	fleet := startFleet(b, standin.Options{Instances: 2, Connections: 64})
	conn := dial(b, fleet.Instances[0].ClientAddr())
	_, err := conn.Exec(context.Background(), "INSERT INTO shifts VALUES (1, 'amal', 'open')")
	must.NoError(b, err)
	ownerIndex := fleet.Owner()
	cost := func(addr string, n int) float64 {
		before := processorTime()
		runStatements(b, addr, n)
		return float64((processorTime() - before).Microseconds())
	}
	sizes := []int{10_000, 20_000, 40_000}
	direct := fleet.Group.Member(1).Addr()
	printRow(b, "processor time of reads, one hop less direct", "µs a statement", sizes, func(n int) float64 {
		return cost(fleet.Instances[ownerIndex].ClientAddr(), n) - cost(direct, n)
	})
	printRow(b, "processor time of reads, two hops less direct", "µs a statement", sizes, func(n int) float64 {
		return cost(fleet.Instances[1-ownerIndex].ClientAddr(), n) - cost(direct, n)
	})
}

func runStatements(b *testing.B, addr string, n int) {
	const clients = 32
	done := make(chan error, clients)
	for range clients {
		conn := dial(b, addr)
		go func() {
			var state string
			var err error
			for i := 0; i < n/clients && err == nil; i++ {
				err = conn.QueryRow(context.Background(), "SELECT state FROM shifts WHERE id = 1").Scan(&state)
			}
			conn.Close(context.Background())
			done <- err
		}()
	}
	for range clients {
		must.NoError(b, <-done)
	}
}

// idleWindow is how long an idle system is measured.
const idleWindow = 2 * time.Second

// slopeGroups gives an upper bound of the processor time of an owner: it includes that
// of the stand-ins, which answer the heartbeats in the same process.
func slopeGroups(b *testing.B) {
	groups, err := pggroup.Start("g", 0)
	must.NoError(b, err)
	b.Cleanup(groups.Close)
	started := time.Now()
	var running []*owner.Group
	printRow(b, "processor time of idle groups, three members each", "µs/s a group", []int{1, 4, 8, 16}, func(n int) float64 {
		for len(running) < n {
			running = append(running, startGroup(b, started, len(running)))
		}
		time.Sleep(idleWindow / 2)
		before := processorTime()
		time.Sleep(idleWindow)
		return float64((processorTime() - before).Microseconds()) / idleWindow.Seconds()
	})
}

// startGroup starts a group with stand-in members and waits until it serves.
func startGroup(b *testing.B, started time.Time, i int) *owner.Group {
	members, err := pggroup.Start(fmt.Sprintf("g%d", i), 0)
	must.NoError(b, err)
	b.Cleanup(members.Close)
	spec := owner.Spec{Name: fmt.Sprintf("g%d", i), Database: "d", User: "u", Connections: 4, MaxQueue: 10}
	for m := range pggroup.Members {
		spec.Members = append(spec.Members, owner.Member{Name: members.Member(m).Name, Addr: members.Member(m).Addr()})
	}
	g := owner.New(owner.Options{
		Self:           "bench",
		Failover:       failover.DefaultConfig(),
		Now:            func() time.Duration { return time.Since(started) },
		MaxReplicaWait: owner.DefaultMaxReplicaWait,
		Floors:         owner.DefaultFloors,
		Record:         func(string, string, uint64, string) {},
	}, spec)
	g.Start()
	b.Cleanup(g.Stop)
	g.Claim("bench", 0)
	for !g.Status().Serving {
		time.Sleep(time.Millisecond)
	}
	return g
}

func slopeHeartbeatBytes(b *testing.B) {
	printRow(b, "bytes of idle groups to and from the members", "B/s a group", []int{1, 2, 4}, func(n int) float64 {
		var fleets []*standin.Fleet
		for range n {
			fleets = append(fleets, startFleet(b, standin.Options{Instances: 1}))
		}
		traffic := func() (total int64) {
			for _, f := range fleets {
				for m := range pggroup.Members {
					total += f.Group.Member(m).Traffic()
				}
			}
			return total
		}
		time.Sleep(idleWindow / 2)
		before := traffic()
		time.Sleep(idleWindow)
		rate := float64(traffic()-before) / idleWindow.Seconds()
		for _, f := range fleets {
			f.Close()
		}
		return rate
	})
}

func slopeFailoverSteps(b *testing.B) {
	members := []string{"a", "b", "c"}
	printRow(b, "processor time of failover decisions", "ns a step", []int{100_000, 200_000, 400_000}, func(n int) float64 {
		s := failover.New(failover.DefaultConfig(), "me", members)
		before := time.Now()
		for i := range n {
			s.Step(time.Duration(i)*time.Millisecond, failover.Reply{Member: members[i%3], Op: failover.OpStatus, Status: group.Status{Term: 1}})
		}
		return float64(time.Since(before).Nanoseconds())
	})
}

func slopeFloors(b *testing.B) {
	printRow(b, "memory of session floors", "B a floor", []int{10_000, 20_000, 40_000, 80_000}, func(n int) float64 {
		before := memoryInUse()
		f := session.New(n + 1)
		for i := range n {
			f.Acknowledge(fmt.Sprintf("roster/volunteer-%d", i), group.Position{Term: 1, Index: uint64(i)})
		}
		used := float64(memoryInUse() - before)
		runtime.KeepAlive(f)
		return used
	})
}

// slopeFleet measures idle fleets of several sizes, each in this process.
func slopeFleet(b *testing.B) {
	type idleUse struct{ processorTime, messages, bytes, calls float64 }
	measured := map[int]idleUse{}
	sizes := []int{3, 9, 30}
	for _, n := range sizes {
		fleet := startFleet(b, standin.Options{Instances: n})
		time.Sleep(idleWindow)
		read := func() idleUse {
			return idleUse{
				processorTime: float64(processorTime().Microseconds()),
				messages:      sumMetric(fleet, "stackspindle_control_messages_total"),
				bytes:         sumMetric(fleet, `stackspindle_control_bytes_total{direction="sent"}`) + sumMetric(fleet, `stackspindle_control_bytes_total{direction="received"}`),
				calls:         float64(fleet.Store.Calls()),
			}
		}
		before := read()
		time.Sleep(2 * idleWindow)
		after := read()
		s := (2 * idleWindow).Seconds()
		measured[n] = idleUse{(after.processorTime - before.processorTime) / s, (after.messages - before.messages) / s, (after.bytes - before.bytes) / s, (after.calls - before.calls) / s}
		fleet.Close()
	}
	printRow(b, "processor time of an idle fleet, one group", "µs/s an instance", sizes, func(n int) float64 { return measured[n].processorTime })
	printRow(b, "control messages of an idle fleet, sent and received", "/s an instance", sizes, func(n int) float64 { return measured[n].messages })
	printRow(b, "control bytes of an idle fleet, sent and received", "B/s an instance", sizes, func(n int) float64 { return measured[n].bytes })
	printRow(b, "calls on the platform's service, idle", "/s an instance", sizes, func(n int) float64 { return measured[n].calls })
}

func slopePlacement(b *testing.B) {
	printRow(b, "processor time of placing 610 groups", "µs an instance", []int{50, 150, 550}, func(n int) float64 {
		instances := make([]rendezvous.Instance, n)
		for i := range instances {
			instances[i] = rendezvous.Instance{Name: fmt.Sprintf("i%d", i), DataCentre: fmt.Sprintf("dc%d", i%6)}
		}
		groups := make([]rendezvous.Group, 610)
		for i := range groups {
			groups[i] = rendezvous.Group{Name: fmt.Sprintf("g%d", i), DataCentre: fmt.Sprintf("dc%d", i%6)}
		}
		before := time.Now()
		rendezvous.Assign(groups, instances, rendezvous.Limit(len(groups), n))
		return float64(time.Since(before).Microseconds())
	})
}

// serviceEntries returns n services as entries of the store.
func serviceEntries(n int) []rollout.Entry {
	entries := make([]rollout.Entry, n)
	for i := range entries {
		raw, err := json.Marshal(resource.Resource{
			Kind:     resource.KindService,
			Metadata: resource.Metadata{Name: fmt.Sprintf("service-%d", i), Generation: 1, WriteID: "0b9a2f2c-8f9f-4d34-9f52-0d6c1c8f0f11"},
			Service:  &resource.ServiceSpec{Databases: []string{"roster"}, Weight: 1},
		})
		if err != nil {
			panic(err) // a resource can always be marshalled
		}
		entries[i] = rollout.Entry{Key: rollout.Key{Kind: "Service", Name: fmt.Sprintf("service-%d", i)}, Document: string(raw), Revision: int64(i + 1)}
	}
	return entries
}

func slopeConfiguration(b *testing.B) {
	sizes := []int{500, 1000, 2000, 4000}
	printRow(b, "memory of resources in force", "B a resource", sizes, func(n int) float64 {
		before := memoryInUse()
		s := rollout.Empty().Merge(0, serviceEntries(n))
		used := float64(memoryInUse() - before)
		runtime.KeepAlive(s)
		return used
	})
	printRow(b, "processor time of one change in a snapshot", "ns a resource", sizes, func(n int) float64 {
		entries := serviceEntries(n + 20)
		s := rollout.Empty().Merge(0, entries[:n])
		before := time.Now()
		for _, e := range entries[n:] {
			s = s.Merge(0, []rollout.Entry{e})
		}
		return float64(time.Since(before).Nanoseconds()) / 20
	})
}

func slopeEvents(b *testing.B) {
	printRow(b, "memory of events on the time line", "B an event", []int{1000, 2000, 4000}, func(n int) float64 {
		before := memoryInUse()
		ring := timeline.NewRing("instance-1", timeline.NewClock(time.Now), n)
		for i := range n {
			ring.Add(timeline.Event{Kind: "serving", Group: "roster", Member: "roster-1", Text: fmt.Sprintf("term %d from 4/%d", i, i)})
		}
		used := float64(memoryInUse() - before)
		runtime.KeepAlive(ring)
		return used
	})
}
