// Package faultproxy is a TCP proxy on loopback that injects network faults: delays,
// resets, partitions in one or both directions, and connections that stay open without
// passing data.
package faultproxy

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Fault is the fault injected into all connections, open and new ones.
type Fault struct {
	Delay           time.Duration // added to each read of up to 16 KiB, in each direction
	BlockToTarget   bool          // data to the target is kept back until the fault is cleared
	BlockFromTarget bool          // data from the target is kept back until the fault is cleared
	RefuseNew       bool          // new connections are reset at once
	StallNew        bool          // new connections are accepted, and the target is dialled only when the fault is cleared
}

// Proxy forwards connections to one target. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener

	mu      sync.Mutex // guards the rest
	target  string     // empty: not set yet
	fault   Fault
	changed chan struct{} // closed and replaced when the fault or the target changes
	links   map[*link]struct{}
	closed  bool
}

// link is one proxied connection.
type link struct {
	from, to   net.Conn
	frozen     chan struct{} // closed: no more data is forwarded in either direction
	freezeOnce sync.Once
	resetDone  chan struct{} // closed: both connections are reset
	resetOnce  sync.Once
}

// New starts a proxy for a target. If the target is empty, connections wait for
// SetTarget.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fault proxy: %w", err)
	}
	p := &Proxy{target: target, listener: l, changed: make(chan struct{}), links: make(map[*link]struct{})}
	go p.accept()
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetTarget changes the target of new connections.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
	p.notifyWaiters()
}

// notifyWaiters makes all waiters check the fault and the target again. The caller holds mu.
func (p *Proxy) notifyWaiters() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Set replaces the injected fault. The zero Fault clears it.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.notifyWaiters()
}

// Reset resets all open connections at both ends.
func (p *Proxy) Reset() {
	for _, l := range p.openLinks() {
		l.reset()
	}
}

// FreezeOpenConns stops forwarding on the connections that are open now without
// closing them. New connections work.
func (p *Proxy) FreezeOpenConns() {
	for _, l := range p.openLinks() {
		l.freezeOnce.Do(func() { close(l.frozen) })
	}
}

// openLinks returns the open links.
func (p *Proxy) openLinks() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	var links []*link
	for l := range p.links {
		links = append(links, l)
	}
	return links
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed, p.fault = true, Fault{RefuseNew: true}
	p.notifyWaiters()
	p.mu.Unlock()
	_ = p.listener.Close()
	p.Reset()
}

// state returns the fault, the target, and a channel that is closed when either
// changes.
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

// awaitTarget waits until a new connection may be forwarded and returns its target, or false
// if new connections are refused.
func (p *Proxy) awaitTarget() (string, bool) {
	for {
		fault, target, changed := p.state()
		if fault.RefuseNew {
			return "", false
		}
		if !fault.StallNew && target != "" {
			return target, true
		}
		<-changed
	}
}

// serve forwards one connection in both directions until both have ended.
func (p *Proxy) serve(from net.Conn) {
	target, ok := p.awaitTarget()
	if !ok {
		resetConn(from)
		return
	}
	to, err := net.Dial("tcp", target)
	if err != nil {
		resetConn(from)
		return
	}
	l := &link{from: from, to: to, frozen: make(chan struct{}), resetDone: make(chan struct{})}
	p.mu.Lock()
	p.links[l] = struct{}{}
	closed := p.closed
	p.mu.Unlock()
	if closed {
		l.reset()
	}
	var done sync.WaitGroup
	done.Add(2)
	go func() { defer done.Done(); p.pump(l, from, to, func(f Fault) bool { return f.BlockToTarget }) }()
	go func() { defer done.Done(); p.pump(l, to, from, func(f Fault) bool { return f.BlockFromTarget }) }()
	done.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
	_, _ = from.Close(), to.Close() // nothing is left to forward
}

// bufferSize is the largest amount of data forwarded at once, in bytes.
const bufferSize = 16 << 10

// pump forwards data in one direction until a connection ends. blocked reports whether a
// fault keeps data of this direction back.
func (p *Proxy) pump(l *link, from, to net.Conn, blocked func(Fault) bool) {
	buf := make([]byte, bufferSize)
	for {
		n, err := from.Read(buf)
		if !p.awaitForwarding(l, blocked) {
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
				_ = tcp.CloseWrite() // the other direction may continue
			}
			return
		}
	}
}

// awaitForwarding waits until data may be forwarded, including the fault's delay. It returns
// false when the link forwards no more data.
func (p *Proxy) awaitForwarding(l *link, blocked func(Fault) bool) bool {
	for {
		fault, _, changed := p.state()
		select {
		case <-l.frozen:
			<-l.resetDone // until then the peers see neither data nor an end of the connection
			return false
		case <-l.resetDone:
			return false
		default:
		}
		if !blocked(fault) {
			if fault.Delay > 0 {
				time.Sleep(fault.Delay)
			}
			return true
		}
		select {
		case <-changed:
		case <-l.frozen:
		case <-l.resetDone:
		}
	}
}

// reset resets both connections of a link.
func (l *link) reset() {
	l.resetOnce.Do(func() {
		close(l.resetDone)
		resetConn(l.from)
		resetConn(l.to)
	})
}

// resetConn closes a connection with a TCP RST.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
