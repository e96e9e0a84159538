// Package faultproxy is a TCP proxy on loopback that harms what passes through it:
// connections that are delayed, reset, cut one way or both, or silenced.
package faultproxy

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Fault is what happens to the bytes of all connections, old and new ones.
type Fault struct {
	Delay      time.Duration // of each piece, in each direction
	HoldTo     bool          // nothing reaches the target; it is held back until that ends
	HoldBack   bool          // nothing comes back from it
	RefuseNew  bool          // new connections are closed at once
	HoldsOpens bool          // new connections are accepted and lead nowhere until that ends
}

// Proxy passes connections on to one target. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener

	mu      sync.Mutex // guards the rest
	target  string     // empty: it is not known yet
	fault   Fault
	changed chan struct{} // closed, and replaced, when the fault changes
	links   map[*link]struct{}
	closed  bool
}

// link is one connection through the proxy.
type link struct {
	from, to net.Conn
	silent   chan struct{} // closed: nothing passes any more, in either direction
	silence  sync.Once
	ended    chan struct{} // closed: both ends are reset
	end      sync.Once
}

// New starts a proxy before a target. Without one connections wait for SetTarget.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fault proxy: %w", err)
	}
	p := &Proxy{target: target, listener: l, changed: make(chan struct{}), links: make(map[*link]struct{})}
	go p.accept()
	return p, nil
}

// Addr returns the address under which the target is reached through the proxy.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetTarget changes where new connections lead.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
	p.wake()
}

// wake has those that wait look again. The caller holds mu.
func (p *Proxy) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Set changes what happens to all connections.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.wake()
}

// Reset breaks all open connections.
func (p *Proxy) Reset() {
	for _, l := range p.open() {
		l.reset()
	}
}

// SilenceOpen lets nothing pass any more on the connections that are open now. New
// ones work.
func (p *Proxy) SilenceOpen() {
	for _, l := range p.open() {
		l.silence.Do(func() { close(l.silent) })
	}
}

func (p *Proxy) open() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	var links []*link
	for l := range p.links {
		links = append(links, l)
	}
	return links
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed, p.fault = true, Fault{RefuseNew: true}
	p.wake()
	p.mu.Unlock()
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) state() (Fault, string, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.target, p.changed
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

// admit waits until a new connection may lead somewhere, and returns where.
func (p *Proxy) admit() (string, bool) {
	for {
		fault, target, changed := p.state()
		if fault.RefuseNew {
			return "", false
		}
		if !fault.HoldsOpens && target != "" {
			return target, true
		}
		<-changed
	}
}

func (p *Proxy) serve(from net.Conn) {
	target, ok := p.admit()
	if !ok {
		resetConn(from)
		return
	}
	to, err := net.Dial("tcp", target)
	if err != nil {
		resetConn(from)
		return
	}
	l := &link{from: from, to: to, silent: make(chan struct{}), ended: make(chan struct{})}
	p.mu.Lock()
	p.links[l] = struct{}{}
	closed := p.closed
	p.mu.Unlock()
	if closed {
		l.reset()
	}
	var done sync.WaitGroup
	done.Add(2)
	go func() { defer done.Done(); p.pump(l, from, to, func(f Fault) bool { return f.HoldTo }) }()
	go func() { defer done.Done(); p.pump(l, to, from, func(f Fault) bool { return f.HoldBack }) }()
	done.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
	_, _ = from.Close(), to.Close() // both directions have ended
}

// pieceSize is how much passes at once.
const pieceSize = 16 << 10

// pump passes bytes on in one direction until an end breaks.
func (p *Proxy) pump(l *link, from, to net.Conn, holds func(Fault) bool) {
	buf := make([]byte, pieceSize)
	for {
		n, err := from.Read(buf)
		if !p.pass(l, holds) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				l.reset()
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // the other direction may go on
			}
			return
		}
	}
}

// pass waits until something may pass, and reports false when nothing will.
func (p *Proxy) pass(l *link, holds func(Fault) bool) bool {
	for {
		fault, _, changed := p.state()
		select {
		case <-l.silent:
			<-l.ended // the far end learns nothing
			return false
		case <-l.ended:
			return false
		default:
		}
		if !holds(fault) {
			if fault.Delay > 0 {
				time.Sleep(fault.Delay)
			}
			return true
		}
		select {
		case <-changed:
		case <-l.silent:
		case <-l.ended:
		}
	}
}

// reset breaks a link at both ends.
func (l *link) reset() {
	l.end.Do(func() {
		close(l.ended)
		resetConn(l.from)
		resetConn(l.to)
	})
}

// resetConn closes a connection so that its far end sees a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
