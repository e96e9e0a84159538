package admission

import (
	"container/heap"
	"fmt"
	"slices"
	"time"
)

// visit is one attempt of a caller at the simulated member.
type visit struct {
	at        time.Duration
	kind      *load
	id        string
	seq       int
	first     time.Duration // of the caller's first attempt
	back      int           // attempts before this one
	granted   time.Duration
	predicted time.Duration
}

// load is what callers of one kind ask for.
type load struct {
	name      string
	priority  int
	work      time.Duration
	objective time.Duration
	patience  time.Duration // of the caller, over all of its attempts
	every     time.Duration // between two callers
	from, to  time.Duration
}

// tally is what became of the callers of a kind.
type tally struct {
	callers, inTime, late, lost int
	returned, foundRoom         int
	lateAdmitted                int // admitted, and not answered in time since they came
	heldInVain                  int // held, and then refused
}

// member is a queue before some slots, with strict priority, first come first served.
type member struct {
	slots   int
	gate    gate
	now     time.Duration
	events  visits // arrivals and ends, by time
	queue   []*visit
	running []*visit
	tallies map[string]*tally
	early   int // callers told to come back before the queue that they met would have drained
}

// gate decides about a visit before a backlog, and takes in what waited.
type gate interface {
	decide(now time.Duration, v *visit, b Backlog) (admit bool, comeBack time.Duration)
	ran(now time.Duration, v *visit, waited time.Duration)
	hold(v *visit) time.Duration // for how long it may wait
}

type visits []*visit

func (v visits) Len() int { return len(v) }
func (v visits) Less(i, j int) bool {
	return v[i].at < v[j].at || v[i].at == v[j].at && v[i].seq < v[j].seq
}
func (v visits) Swap(i, j int) { v[i], v[j] = v[j], v[i] }
func (v *visits) Push(x any)   { *v = append(*v, x.(*visit)) }
func (v *visits) Pop() any {
	old := *v
	last := old[len(old)-1]
	*v = old[:len(old)-1]
	return last
}

// fixedComeBack is what a caller is told that was held in vain.
const fixedComeBack = 50 * time.Millisecond

const attempts = 3 // of a caller in all

// simulate has callers come to a member.
func simulate(slots int, g gate, loads ...load) *member {
	m := &member{slots: slots, gate: g, tallies: make(map[string]*tally)}
	for i := range loads {
		l := &loads[i]
		m.tallies[l.name] = &tally{}
		for at, n := l.from, 0; at < l.to; at, n = at+l.every, n+1 {
			heap.Push(&m.events, &visit{at: at, kind: l, id: fmt.Sprint(l.name, n), seq: len(m.events), first: at})
			m.tallies[l.name].callers++
		}
	}
	for len(m.events) > 0 {
		v := heap.Pop(&m.events).(*visit)
		m.now = v.at
		if i := slices.Index(m.running, v); i >= 0 {
			m.running = slices.Delete(m.running, i, i+1)
			m.answered(v)
		} else {
			m.arrive(v)
		}
		m.grant()
	}
	return m
}

func (m *member) backlog(v *visit) Backlog {
	b := Backlog{Active: len(m.running), Slots: m.slots, Slowdown: 1, Held: v.kind.work}
	for _, w := range m.queue {
		if w.kind.priority <= v.kind.priority {
			b.Ahead++
			b.Work += w.kind.work
		}
	}
	return b
}

func (m *member) arrive(v *visit) {
	t, b := m.tallies[v.kind.name], m.backlog(v)
	v.predicted, _ = b.Wait()
	if v.back > 0 {
		t.returned++
	}
	admit, comeBack := m.gate.decide(m.now, v, b)
	if admit {
		if v.back > 0 {
			t.foundRoom++
		}
		m.queue = append(m.queue, v)
		return
	}
	if comeBack < b.Work/time.Duration(m.slots) {
		m.early++
	}
	m.refuse(v, comeBack)
}

// refuse sends a caller away, who comes back when told while that is within its patience.
func (m *member) refuse(v *visit, comeBack time.Duration) {
	t, next := m.tallies[v.kind.name], m.now+comeBack
	if v.back+1 >= attempts || next >= v.first+v.kind.patience {
		t.lost++
		return
	}
	again := *v
	again.at, again.back, again.id = next, v.back+1, fmt.Sprint(v.id, "/", v.back+1)
	heap.Push(&m.events, &again)
}

func (m *member) grant() {
	m.queue = slices.DeleteFunc(m.queue, func(v *visit) bool {
		over := m.now-v.at > m.gate.hold(v)
		if over {
			m.tallies[v.kind.name].heldInVain++
			m.refuse(v, fixedComeBack)
		}
		return over
	})
	for len(m.running) < m.slots && len(m.queue) > 0 {
		best := 0
		for i, v := range m.queue {
			if v.kind.priority < m.queue[best].kind.priority {
				best = i
			}
		}
		v := m.queue[best]
		m.queue = slices.Delete(m.queue, best, best+1)
		m.gate.ran(m.now, v, m.now-v.at)
		v.granted = v.at
		v.at = m.now + v.kind.work
		m.running = append(m.running, v)
		heap.Push(&m.events, v)
	}
}

func (m *member) answered(v *visit) {
	t := m.tallies[v.kind.name]
	if m.now-v.granted > v.kind.objective {
		t.lateAdmitted++
	}
	switch took := m.now - v.first; {
	case took <= v.kind.objective:
		t.inTime++
	case took <= v.kind.patience:
		t.late++
	default:
		t.lost++
	}
}
