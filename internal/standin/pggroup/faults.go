package pggroup

import (
	"sync"
	"sync/atomic"
	"time"
)

// gate blocks traffic while it is closed. The zero value is open.
type gate struct {
	mu   sync.Mutex
	shut chan struct{} // non-nil while the gate is closed; the channel is closed when the gate opens
}

// wait blocks while the gate is closed, at most until done is closed.
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

// faults are the faults injected into one member.
type faults struct {
	pause *gate            // closed while the member is paused
	stuck *atomic.Bool     // replication of this member is stopped
	drop  *atomic.Int32    // number of next committed writes whose answer and connection are lost
	delay *atomic.Int64    // delay of each answer, in nanoseconds
	mu    *sync.Mutex      // guards cuts
	cuts  map[string]*gate // gate of each instance, by application_name; closed while it is cut off
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

// cut returns the gate of an instance.
func (f *faults) cut(instance string) *gate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cuts[instance] == nil {
		f.cuts[instance] = &gate{}
	}
	return f.cuts[instance]
}

// Pause makes the member unresponsive: connections stay open but get no answers.
func (m *Member) Pause() { m.faults.pause.close() }

// Resume ends a pause.
func (m *Member) Resume() { m.faults.pause.open() }

// CutFrom blocks all traffic between the member and an instance.
func (m *Member) CutFrom(instance string) { m.faults.cut(instance).close() }

// Heal undoes CutFrom.
func (m *Member) Heal(instance string) { m.faults.cut(instance).open() }

// SetStuck stops or resumes the replication of this member.
func (m *Member) SetStuck(stuck bool) { m.faults.stuck.Store(stuck) }

// DropAnswers makes the next n committed writes lose their answer and their connection.
func (m *Member) DropAnswers(n int) { m.faults.drop.Store(int32(n)) }

// DelayAnswers delays every answer by d.
func (m *Member) DelayAnswers(d time.Duration) { m.faults.delay.Store(int64(d)) }

// takeDrop reports whether the answer to a committed write is lost, and counts it.
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
