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
	clients, inTime, late, lost int
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
	decide(now time.Duration, a *attempt, b Backlog) (admit bool, retryAfter time.Duration)
	onGrant(now time.Duration, a *attempt, waited time.Duration)
	maxQueueTime(a *attempt) time.Duration // maximum time in the queue
}

type eventHeap []*attempt

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*attempt)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// fixedRetryAfter is the retry delay of a client whose request was queued and given up.
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
			m.tallies[l.name].clients++
		}
	}
	for len(m.events) > 0 {
		a := heap.Pop(&m.events).(*attempt)
		m.now = a.at
		if i := slices.Index(m.running, a); i >= 0 {
			m.running = slices.Delete(m.running, i, i+1)
			m.answered(a)
		} else {
			m.arrive(a)
		}
		m.grant()
	}
	return m
}

func (m *member) backlog(a *attempt) Backlog {
	b := Backlog{Active: len(m.running), Slots: m.slots, Slowdown: 1, MeanDuration: a.kind.work}
	for _, w := range m.queue {
		if w.kind.priority <= a.kind.priority {
			b.Ahead++
			b.Work += w.kind.work
		}
	}
	return b
}

func (m *member) arrive(a *attempt) {
	t, b := m.tallies[a.kind.name], m.backlog(a)
	a.predicted, _ = b.PredictWait()
	if a.retries > 0 {
		t.retried++
	}
	admit, retryAfter := m.rules.decide(m.now, a, b)
	if admit {
		if a.retries > 0 {
			t.retriesAdmitted++
		}
		m.queue = append(m.queue, a)
		return
	}
	if retryAfter < b.Work/time.Duration(m.slots) {
		m.earlyRetries++
	}
	m.reject(a, retryAfter)
}

// reject rejects a request. The client retries after the delay if that is within its patience.
func (m *member) reject(a *attempt, retryAfter time.Duration) {
	t, next := m.tallies[a.kind.name], m.now+retryAfter
	if a.retries+1 >= maxAttempts || next >= a.first+a.kind.patience {
		t.lost++
		return
	}
	again := *a
	again.at, again.retries, again.id = next, a.retries+1, fmt.Sprint(a.id, "/", a.retries+1)
	heap.Push(&m.events, &again)
}

func (m *member) grant() {
	m.queue = slices.DeleteFunc(m.queue, func(a *attempt) bool {
		over := m.now-a.at > m.rules.maxQueueTime(a)
		if over {
			m.tallies[a.kind.name].gaveUp++
			m.reject(a, fixedRetryAfter)
		}
		return over
	})
	for len(m.running) < m.slots && len(m.queue) > 0 {
		best := 0
		for i, a := range m.queue {
			if a.kind.priority < m.queue[best].kind.priority {
				best = i
			}
		}
		a := m.queue[best]
		m.queue = slices.Delete(m.queue, best, best+1)
		m.rules.onGrant(m.now, a, m.now-a.at)
		a.granted = a.at
		a.at = m.now + a.kind.work
		m.running = append(m.running, a)
		heap.Push(&m.events, a)
	}
}

func (m *member) answered(a *attempt) {
	t := m.tallies[a.kind.name]
	if m.now-a.granted > a.kind.objective {
		t.lateAdmitted++
	}
	switch took := m.now - a.first; {
	case took <= a.kind.objective:
		t.inTime++
	case took <= a.kind.patience:
		t.late++
	default:
		t.lost++
	}
}
