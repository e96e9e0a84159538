package admission

import (
	"container/heap"
	"fmt"
	"slices"
	"time"
)

// attempt is one try of a client to run a request at the simulated member.
type attempt struct {
	at        time.Duration
	kind      *load
	id        string
	seq       int
	first     time.Duration // time of the client's first attempt
	retries   int           // number of earlier attempts
	granted   time.Duration
	predicted time.Duration
}

// load is a stream of requests of one kind.
type load struct {
	name      string
	priority  int
	work      time.Duration
	objective time.Duration
	patience  time.Duration // how long the client keeps trying, over all of its attempts
	every     time.Duration // interval between two clients
	from, to  time.Duration
}

// tally counts the outcomes of the requests of one kind.
type tally struct {
	callers, inTime, late, lost int
	retried, retriesAdmitted    int
	lateAdmitted                int // admitted, but answered after the objective as counted from that attempt
	gaveUp                      int // queued, then given up
}

// member simulates a member: a queue in front of some slots, with strict priority and FIFO order.
type member struct {
	slots        int
	rules        policy
	now          time.Duration
	events       eventHeap // arrivals and completions, by time
	queue        []*attempt
	running      []*attempt
	tallies      map[string]*tally
	earlyRetries int // rejections with a retry delay in which the queue they met could not drain
}

// policy is an admission policy: it decides on an attempt, given a backlog, and observes the waits.
type policy interface {
	decide(now time.Duration, v *attempt, b Backlog) (admit bool, retryAfter time.Duration)
	onGrant(now time.Duration, v *attempt, waited time.Duration)
	maxQueueTime(v *attempt) time.Duration // maximum time in the queue
}

type eventHeap []*attempt

func (v eventHeap) Len() int { return len(v) }
func (v eventHeap) Less(i, j int) bool {
	return v[i].at < v[j].at || v[i].at == v[j].at && v[i].seq < v[j].seq
}
func (v eventHeap) Swap(i, j int) { v[i], v[j] = v[j], v[i] }
func (v *eventHeap) Push(x any)   { *v = append(*v, x.(*attempt)) }
func (v *eventHeap) Pop() any {
	old := *v
	last := old[len(old)-1]
	*v = old[:len(old)-1]
	return last
}

// fixedComeBack is the retry delay of a client whose request was queued and given up.
const fixedRetryAfter = 50 * time.Millisecond

const maxAttempts = 3 // of a client in total

// simulate runs some loads against a member until all requests are done.
func simulate(slots int, p policy, loads ...load) *member {
	m := &member{slots: slots, rules: p, tallies: make(map[string]*tally)}
	for i := range loads {
		l := &loads[i]
		m.tallies[l.name] = &tally{}
		for at, n := l.from, 0; at < l.to; at, n = at+l.every, n+1 {
			heap.Push(&m.events, &attempt{at: at, kind: l, id: fmt.Sprint(l.name, n), seq: len(m.events), first: at})
			m.tallies[l.name].callers++
		}
	}
	for len(m.events) > 0 {
		v := heap.Pop(&m.events).(*attempt)
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

func (m *member) backlog(v *attempt) Backlog {
	b := Backlog{Active: len(m.running), Slots: m.slots, Slowdown: 1, MeanDuration: v.kind.work}
	for _, w := range m.queue {
		if w.kind.priority <= v.kind.priority {
			b.Ahead++
			b.Work += w.kind.work
		}
	}
	return b
}

func (m *member) arrive(v *attempt) {
	t, b := m.tallies[v.kind.name], m.backlog(v)
	v.predicted, _ = b.PredictWait()
	if v.retries > 0 {
		t.retried++
	}
	admit, retryAfter := m.rules.decide(m.now, v, b)
	if admit {
		if v.retries > 0 {
			t.retriesAdmitted++
		}
		m.queue = append(m.queue, v)
		return
	}
	if retryAfter < b.Work/time.Duration(m.slots) {
		m.earlyRetries++
	}
	m.reject(v, retryAfter)
}

// reject rejects a request. The client retries after the delay if that is within its patience.
func (m *member) reject(v *attempt, retryAfter time.Duration) {
	t, next := m.tallies[v.kind.name], m.now+retryAfter
	if v.retries+1 >= maxAttempts || next >= v.first+v.kind.patience {
		t.lost++
		return
	}
	again := *v
	again.at, again.retries, again.id = next, v.retries+1, fmt.Sprint(v.id, "/", v.retries+1)
	heap.Push(&m.events, &again)
}

func (m *member) grant() {
	m.queue = slices.DeleteFunc(m.queue, func(v *attempt) bool {
		over := m.now-v.at > m.rules.maxQueueTime(v)
		if over {
			m.tallies[v.kind.name].gaveUp++
			m.reject(v, fixedRetryAfter)
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
		m.rules.onGrant(m.now, v, m.now-v.at)
		v.granted = v.at
		v.at = m.now + v.kind.work
		m.running = append(m.running, v)
		heap.Push(&m.events, v)
	}
}

func (m *member) answered(v *attempt) {
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
