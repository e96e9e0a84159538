package pggroup

import (
	"sync"
	"sync/atomic"
	"time"
)

// gate lets traffic through while it is open.
type gate struct {
	mu   sync.Mutex
	shut chan struct{} // non-nil while closed; closing it lets waiters on
}

// wait blocks while the gate is closed, or until done.
func (g *gate) wait(done <-chan struct{}) {
	for {
		g.mu.Lock()
		shut := g.shut
		g.mu.Unlock()
		if shut == nil {
			return
		}
		select {
		case <-shut:
		case <-done:
			return
		}
	}
}

func (g *gate) closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut != nil
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut == nil {
		g.shut = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut != nil {
		close(g.shut)
		g.shut = nil
	}
}

// faults are the switches of one member.
type faults struct {
	pause *gate
	stuck *atomic.Bool  // a replica stops applying
	drop  *atomic.Int32 // answers to writes that are lost, with their connection
	delay *atomic.Int64 // nanoseconds by which each answer is late
	mu    *sync.Mutex
	cuts  map[string]*gate // by the application_name of the other side
}

func newFaults() faults {
	return faults{
		pause: &gate{},
		stuck: &atomic.Bool{},
		drop:  &atomic.Int32{},
		delay: &atomic.Int64{},
		mu:    &sync.Mutex{},
		cuts:  make(map[string]*gate),
	}
}

func (f *faults) cut(instance string) *gate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cuts[instance] == nil {
		f.cuts[instance] = &gate{}
	}
	return f.cuts[instance]
}

// Pause freezes the member: connections stay open and nothing answers.
func (m *Member) Pause() { m.faults.pause.close() }

// Resume ends a pause.
func (m *Member) Resume() { m.faults.pause.open() }

// CutFrom silences all traffic with the instance of that name.
func (m *Member) CutFrom(instance string) { m.faults.cut(instance).close() }

// Heal ends CutFrom.
func (m *Member) Heal(instance string) { m.faults.cut(instance).open() }

// SetStuck stops or resumes the replication of this member.
func (m *Member) SetStuck(stuck bool) { m.faults.stuck.Store(stuck) }

// DropAnswers makes the next n committed writes lose their answer.
func (m *Member) DropAnswers(n int) { m.faults.drop.Store(int32(n)) }

// DelayAnswers makes every answer late by d.
func (m *Member) DelayAnswers(d time.Duration) { m.faults.delay.Store(int64(d)) }

// takeDrop uses up one lost answer.
func (f *faults) takeDrop() bool {
	for {
		n := f.drop.Load()
		if n <= 0 {
			return false
		}
		if f.drop.CompareAndSwap(n, n-1) {
			return true
		}
	}
}
