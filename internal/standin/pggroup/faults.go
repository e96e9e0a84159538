package pggroup

import (
	"sync"
	"sync/atomic"
	"time"
)

// gate blocks traffic while it is closed. The zero value is open.
type gate struct {
	mu       sync.Mutex
	reopened chan struct{} // non-nil while the gate is closed; the channel is closed when the gate opens
}

// wait blocks while the gate is closed, at most until done is closed.
func (g *gate) wait(done <-chan struct{}) {
	for {
		g.mu.Lock()
		reopened := g.reopened
		g.mu.Unlock()
		if reopened == nil {
			return
		}
		select {
		case <-reopened:
		case <-done:
			return
		}
	}
}

func (g *gate) closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reopened != nil
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reopened == nil {
		g.reopened = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reopened != nil {
		close(g.reopened)
		g.reopened = nil
	}
}

// faults are the faults injected into one member.
type faults struct {
	pause              *gate            // closed while the member is paused
	replicationStopped *atomic.Bool     // replication of this member is stopped
	answersToDrop      *atomic.Int32    // number of next committed writes whose answer and connection are lost
	delay              *atomic.Int64    // delay of each answer, in nanoseconds
	mu                 *sync.Mutex      // guards instanceGates
	instanceGates      map[string]*gate // gate of each instance, by application_name; closed while it is cut off
}

func newFaults() faults {
	return faults{
		pause:              &gate{},
		replicationStopped: &atomic.Bool{},
		answersToDrop:      &atomic.Int32{},
		delay:              &atomic.Int64{},
		mu:                 &sync.Mutex{},
		instanceGates:      make(map[string]*gate),
	}
}

// instanceGate returns the gate of an instance.
func (f *faults) instanceGate(instance string) *gate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.instanceGates[instance] == nil {
		f.instanceGates[instance] = &gate{}
	}
	return f.instanceGates[instance]
}

// Pause makes the member unresponsive: connections stay open but get no answers.
func (m *Member) Pause() { m.faults.pause.close() }

// Resume ends a pause.
func (m *Member) Resume() { m.faults.pause.open() }

// BlockTraffic blocks all traffic between the member and an instance.
func (m *Member) BlockTraffic(instance string) { m.faults.instanceGate(instance).close() }

// UnblockTraffic undoes BlockTraffic.
func (m *Member) UnblockTraffic(instance string) { m.faults.instanceGate(instance).open() }

// SetStuck stops or resumes the replication of this member.
func (m *Member) SetStuck(stuck bool) { m.faults.replicationStopped.Store(stuck) }

// DropAnswers makes the next n committed writes lose their answer and their connection.
func (m *Member) DropAnswers(n int) { m.faults.answersToDrop.Store(int32(n)) }

// DelayAnswers delays every answer by d.
func (m *Member) DelayAnswers(d time.Duration) { m.faults.delay.Store(int64(d)) }

// dropsAnswer reports whether the answer to a committed write is lost, and counts it.
func (f *faults) dropsAnswer() bool {
	for {
		n := f.answersToDrop.Load()
		if n <= 0 {
			return false
		}
		if f.answersToDrop.CompareAndSwap(n, n-1) {
			return true
		}
	}
}
