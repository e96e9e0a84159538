package failover

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/stackspindle/stackspindle/internal/group"
)

func init() {
	// A fixed seed makes each run deterministic.
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true", "rapid.checks": "400"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// simulation is a discrete-event simulation of one group and two instances that
// compete to own it. Clocks drift; messages are delayed, lost or duplicated; links
// are partitioned; members crash; instances are paused.
type simulation struct {
	now        time.Duration
	rng        *rand.Rand
	queue      eventQueue
	members    []*fakeMember
	instances  []*fakeInstance
	loss       float64
	served     []serveRecord
	acked      []group.Position
	replicaAck bool // ReplicaAck
}

type serveRecord struct {
	term uint64
	at   time.Duration
}

type scheduledEvent struct {
	at time.Duration
	f  func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

type fakeMember struct {
	name          string
	rate          float64
	up            bool
	term          uint64
	role          group.Role
	owner         string
	lastContact   time.Duration // time of the last fence or heartbeat, member clock
	holder        string
	lastHeartbeat time.Duration // time of the last heartbeat, member clock
	released      bool
	log           []group.Position
	leader        *fakeMember
	unreachable   map[string]bool // members and instances that it has no connection to
}

type fakeInstance struct {
	name    string
	rate    float64
	state   *State
	paused  bool
	backlog []func()
	t       *rapid.T
}

func newSimulation(t *rapid.T, seed uint64, replicaAck bool) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), replicaAck: replicaAck}
	for i := range 3 {
		sim.members = append(sim.members, &fakeMember{
			name: fmt.Sprintf("m%d", i), rate: sim.clockRate(), up: true, term: 1, role: group.RoleReplica, unreachable: map[string]bool{},
		})
	}
	sim.members[0].role = group.RolePrimary
	sim.members[1].leader, sim.members[2].leader = sim.members[0], sim.members[0]
	cfg := DefaultConfig()
	cfg.ReplicaAck = replicaAck
	for i := range 2 {
		inst := &fakeInstance{name: fmt.Sprintf("n%d", i), rate: sim.clockRate(), t: t}
		inst.state = New(cfg, inst.name, []string{"m0", "m1", "m2"})
		sim.instances = append(sim.instances, inst)
		sim.every(30*time.Millisecond, func() { sim.deliver(inst, Tick{}) })
	}
	sim.every(10*time.Millisecond, sim.replicate)
	return sim
}

// clockRate returns a random clock rate. The rates of two clocks differ by at most
// DriftPerMille.
func (sim *simulation) clockRate() float64 {
	return 1 + (sim.rng.Float64()-0.5)*float64(DefaultConfig().DriftPerMille)/1000
}

func (sim *simulation) after(d time.Duration, f func()) {
	heap.Push(&sim.queue, scheduledEvent{at: sim.now + d, f: f})
}

func (sim *simulation) every(d time.Duration, f func()) {
	sim.after(d, func() { f(); sim.every(d, f) })
}

func (sim *simulation) run(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		next := heap.Pop(&sim.queue).(scheduledEvent)
		sim.now = next.at
		next.f()
	}
	sim.now = until
}

func (inst *fakeInstance) clock(sim *simulation) time.Duration {
	return time.Second + time.Duration(float64(sim.now)*inst.rate)
}

// latency returns a random delay: mostly below 8 ms, one in 20 up to 900 ms.
func (sim *simulation) latency() time.Duration {
	if sim.rng.IntN(20) == 0 {
		return time.Duration(sim.rng.IntN(900)) * time.Millisecond
	}
	return time.Duration(sim.rng.IntN(8)) * time.Millisecond
}

// dropMessage decides at random whether a message is lost.
func (sim *simulation) dropMessage() bool { return sim.rng.Float64() < sim.loss }

// deliver applies an event to an instance. A paused instance gets it when it
// resumes, except for ticks, which are dropped.
func (sim *simulation) deliver(inst *fakeInstance, ev Event) {
	handle := func() {
		for _, a := range inst.state.Step(inst.clock(sim), ev) {
			sim.perform(inst, a)
		}
	}
	if inst.paused {
		if _, tick := ev.(Tick); !tick {
			inst.backlog = append(inst.backlog, handle)
		}
		return
	}
	handle()
}

func (sim *simulation) perform(inst *fakeInstance, a Action) {
	switch a := a.(type) {
	case Send:
		sim.send(inst, a)
		if sim.rng.IntN(15) == 0 {
			sim.send(inst, a) // duplicated in the network
		}
	case Serve:
		sim.served = append(sim.served, serveRecord{term: a.Term, at: sim.now})
		if sim.replicaAck {
			sim.checkLogComplete(inst, a)
		}
	}
}

// checkLogComplete checks that the log of a new primary has all writes that were
// acknowledged in earlier terms. An owner may start to serve in a term that has
// already been superseded; acknowledge checks that it then acknowledges nothing.
func (sim *simulation) checkLogComplete(inst *fakeInstance, a Serve) {
	inLog := make(map[group.Position]bool)
	for _, p := range sim.member(a.Primary).log {
		inLog[p] = true
	}
	for _, p := range sim.acked {
		if p.Term < a.Term && !inLog[p] {
			inst.t.Fatalf("at %s: acknowledged %s is not held by %s, which serves in term %d", sim.now, p, a.Primary, a.Term)
		}
	}
}

func (sim *simulation) member(name string) *fakeMember {
	for _, m := range sim.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (sim *simulation) send(inst *fakeInstance, s Send) {
	m := sim.member(s.Member)
	sent := inst.clock(sim)
	fail := func(f Failure, d time.Duration) {
		sim.after(d, func() {
			sim.deliver(inst, Reply{Member: s.Member, Op: s.Op, Term: s.Term, Sent: sent, Failure: f})
		})
	}
	if !m.up {
		fail(FailConnection, time.Millisecond)
		return
	}
	if m.unreachable[inst.name] || sim.dropMessage() {
		fail(FailTimeout, 600*time.Millisecond)
		return
	}
	sim.after(sim.latency(), func() {
		if !m.up {
			fail(FailConnection, 0)
			return
		}
		reply := Reply{Member: s.Member, Op: s.Op, Term: s.Term, Sent: sent}
		reply.Status, reply.Failure = m.handle(sim, inst.name, s)
		if m.unreachable[inst.name] || sim.dropMessage() {
			fail(FailTimeout, 600*time.Millisecond)
			return
		}
		sim.after(sim.latency(), func() { sim.deliver(inst, reply) })
	})
}

func (m *fakeMember) clock(sim *simulation) time.Duration {
	return time.Second + time.Duration(float64(sim.now)*m.rate)
}

func (m *fakeMember) status(sim *simulation) group.Status {
	st := group.Status{Term: m.term, Role: m.role, Owner: m.owner, Holder: m.holder, OwnerAge: -1, HeartbeatAge: -1, Released: m.released, Position: m.position()}
	if m.lastContact > 0 {
		st.OwnerAge = m.clock(sim) - m.lastContact
	}
	if m.lastHeartbeat > 0 {
		st.HeartbeatAge = m.clock(sim) - m.lastHeartbeat
	}
	st.Linked = m.leader != nil && m.leader.up && !m.unreachable[m.leader.name]
	return st
}

func (m *fakeMember) position() group.Position {
	if len(m.log) == 0 {
		return group.Position{}
	}
	return m.log[len(m.log)-1]
}

// handle applies a request to a member, like the simulated database does.
func (m *fakeMember) handle(sim *simulation, from string, s Send) (group.Status, Failure) {
	switch s.Op {
	case OpHeartbeat:
		if s.Term != m.term {
			return group.Status{}, FailRefused
		}
		m.owner, m.holder, m.lastHeartbeat, m.lastContact, m.released = from, from, m.clock(sim), m.clock(sim), false
	case OpFence:
		if s.Term <= m.term {
			return group.Status{}, FailRefused
		}
		m.term, m.role, m.leader = s.Term, group.RoleFenced, nil
		st := m.status(sim)
		m.owner, m.lastContact = from, m.clock(sim)
		return st, FailNone
	case OpPromote:
		if s.Term != m.term {
			return group.Status{}, FailRefused
		}
		m.role, m.leader = group.RolePrimary, nil
	case OpFollow:
		if s.Term < m.term {
			return group.Status{}, FailRefused
		}
		m.term, m.role, m.leader = s.Term, group.RoleReplica, sim.member(s.Leader)
	}
	return m.status(sim), FailNone
}

// replicate truncates each replica's log where it diverges from its primary's and
// appends a random number of the missing entries.
func (sim *simulation) replicate() {
	for _, m := range sim.members {
		l := m.leader
		if l == nil || m.role != group.RoleReplica || !m.up || !l.up || m.unreachable[l.name] || l.role != group.RolePrimary || l.term != m.term {
			continue
		}
		n := min(len(m.log), len(l.log))
		for n > 0 && m.log[n-1] != l.log[n-1] {
			n--
		}
		m.log = append(m.log[:n:n], l.log[n:n+sim.rng.IntN(len(l.log)-n+1)]...)
	}
}

// write runs one write the way an owner does: send it to the primary, receive the
// answer, check the lease, acknowledge.
func (sim *simulation) write(inst *fakeInstance) {
	if inst.paused || inst.state.Phase() != Serving {
		return
	}
	term, m := inst.state.Term(), sim.member(inst.state.Primary())
	if m.unreachable[inst.name] {
		return
	}
	sim.after(sim.latency(), func() {
		if !m.up || m.role != group.RolePrimary || m.term != term {
			return
		}
		p := group.Position{Term: term, Index: m.position().Index + 1}
		m.log = append(m.log, p)
		sim.after(sim.latency(), func() { sim.finishWrite(inst, term, p) })
	})
}

func (sim *simulation) finishWrite(inst *fakeInstance, term uint64, p group.Position) {
	check := func() {
		if inst.state.Term() != term || inst.clock(sim) >= inst.state.LeaseEnd() {
			return
		}
		if sim.replicaAck && !sim.replicaConfirmed(inst, p) {
			if sim.rng.IntN(50) > 0 {
				sim.after(20*time.Millisecond, func() { sim.finishWrite(inst, term, p) })
			}
			return
		}
		sim.acknowledge(inst, term, p)
	}
	if inst.paused {
		inst.backlog = append(inst.backlog, check)
		return
	}
	check()
}

// replicaConfirmed reports whether a replica has reported the position to the
// owner.
func (sim *simulation) replicaConfirmed(inst *fakeInstance, p group.Position) bool {
	for _, m := range sim.members {
		st, _ := inst.state.Member(m.name)
		if m.name != inst.state.Primary() && st.Term == inst.state.Term() && st.Position.AtLeast(p) {
			return true
		}
	}
	return false
}

// acknowledge records an acknowledged write. It fails the test if a higher term
// was served before.
func (sim *simulation) acknowledge(inst *fakeInstance, term uint64, p group.Position) {
	for _, s := range sim.served {
		if s.term > term {
			inst.t.Fatalf("%s acknowledged in term %d at %s, term %d was served since %s", inst.name, term, sim.now, s.term, s.at)
		}
	}
	sim.acked = append(sim.acked, p)
}

// injectFault applies one fault or repair.
func (sim *simulation) injectFault(choice, a, b int) {
	m, other, inst := sim.members[a%3], sim.members[b%3], sim.instances[b%2]
	switch choice {
	case 0:
		m.unreachable[inst.name] = !m.unreachable[inst.name]
	case 1:
		if m != other {
			cut := !m.unreachable[other.name]
			m.unreachable[other.name], other.unreachable[m.name] = cut, cut
		}
	case 2:
		m.up = !m.up
	case 3:
		sim.setPaused(inst, !inst.paused)
	case 4, 5:
		sim.deliver(inst, Claim{Reason: "test"})
	case 6:
		sim.repairAll()
	case 7:
		sim.deliver(inst, Leave{Members: []string{m.name}})
		sim.deliver(inst, Drained{})
	case 8:
		sim.loss = float64(a%3) / 10
	case 9:
		sim.takeOver(inst, func() { sim.setPaused(inst, true) })
	case 10:
		sim.takeOver(inst, func() { sim.setUnreachable(inst, true) })
	}
}

// takeOver disables an instance, lets the other one claim the group, and restores
// the first.
func (sim *simulation) takeOver(inst *fakeInstance, disable func()) {
	sim.repairAll()
	disable()
	other := sim.instances[0]
	if inst == other {
		other = sim.instances[1]
	}
	for range 15 {
		sim.run(sim.now + 100*time.Millisecond)
		sim.deliver(other, Claim{Reason: "the owner does not answer"})
		sim.write(inst)
		sim.write(other)
	}
	sim.repairAll()
	sim.write(inst)
}

func (sim *simulation) setUnreachable(inst *fakeInstance, cut bool) {
	for _, m := range sim.members {
		m.unreachable[inst.name] = cut
	}
}

func (sim *simulation) setPaused(inst *fakeInstance, paused bool) {
	inst.paused = paused
	if paused {
		return
	}
	backlog := inst.backlog
	inst.backlog = nil
	for _, f := range backlog {
		f()
	}
}

func (sim *simulation) repairAll() {
	sim.loss = 0
	for _, m := range sim.members {
		m.unreachable = map[string]bool{}
		m.up = true
	}
	for _, inst := range sim.instances {
		sim.setPaused(inst, false)
	}
}

func runSimulation(t *rapid.T, replicaAck bool) *simulation {
	sim := newSimulation(t, rapid.Uint64().Draw(t, "seed"), replicaAck)
	sim.deliver(sim.instances[0], Claim{Reason: "start"})
	sim.run(500 * time.Millisecond)
	steps := rapid.IntRange(5, 60).Draw(t, "steps")
	for range steps {
		sim.injectFault(rapid.IntRange(0, 10).Draw(t, "fault"), rapid.IntRange(0, 5).Draw(t, "a"), rapid.IntRange(0, 5).Draw(t, "b"))
		pause := time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
		for end := sim.now + pause; sim.now < end; {
			for _, inst := range sim.instances {
				sim.write(inst)
			}
			sim.run(min(sim.now+40*time.Millisecond, end))
		}
	}
	return sim
}

// No write is acknowledged in a term once a higher term is served, whichever
// processes are paused and whichever messages are delayed, lost or duplicated.
func TestNoAcknowledgementAfterReplacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runSimulation(t, false) })
}

// If acknowledgements need a replica, each new primary has all writes that were
// acknowledged in earlier terms.
func TestReplicaAcknowledgedWritesSurviveFailover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runSimulation(t, true) })
}

// Once all faults are repaired, an instance serves again and acknowledges writes.
func TestServesAgainAfterFaultsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := runSimulation(t, rapid.Bool().Draw(t, "ack"))
		sim.repairAll()
		before := len(sim.acked)
		for range 60 {
			sim.deliver(sim.instances[0], Leave{})
			for i, inst := range sim.instances {
				sim.deliver(inst, Claim{Reason: "candidate", ExtraOwnerTimeout: time.Duration(i) * 150 * time.Millisecond})
				sim.write(inst)
			}
			sim.run(sim.now + 200*time.Millisecond)
		}
		if len(sim.acked) == before {
			t.Fatalf("nothing was acknowledged within 12 s of the last repair: phases %s %s", sim.instances[0].state.Phase(), sim.instances[1].state.Phase())
		}
	})
}

// The simulation must acknowledge writes and fail over often enough for the
// properties above to test anything.
func TestSimulationCoversFailovers(t *testing.T) {
	acked, served := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		sim := runSimulation(t, false)
		acked += len(sim.acked)
		served += len(sim.served)
	})
	must.Greater(t, 2000, acked)
	must.Greater(t, 1000, served)
}
