// Package peerconn holds the gRPC connections of one instance to the others, by address, and counts
// their traffic. A connection is opened on first use, and replaced if it stops answering without an
// error.
package peerconn

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/stackspindle/stackspindle/internal/socket"
)

// Settings of the connections.
const (
	connectBackoff = 50 * time.Millisecond  // short, since an instance that restarts is back soon
	maxBackoff     = 500 * time.Millisecond // while an instance stays unreachable
	connectTimeout = 500 * time.Millisecond // network latencies are milliseconds
	// closeDelay is how long a replaced connection stays open for the calls in flight on it. It is
	// longer than the statement timeouts that operators set; an open connection costs a file
	// descriptor.
	closeDelay = 30 * time.Second
	// minReplaceInterval is the least time between two replacements of the unresponsive connection
	// to an address. It doubles with each replacement, up to maxReplaceInterval, and is reset after
	// replaceReset without one. An overloaded instance answers late, as all do that start together:
	// when connections were replaced after each late call, 95 a second on each of 100 instances,
	// the instances had no time for anything else.
	minReplaceInterval = 500 * time.Millisecond
	maxReplaceInterval = 8 * time.Second
	replaceReset       = 4 * maxReplaceInterval
	// bufferSize is the size of a connection's read buffer, and of its write buffer, which idle
	// connections release. A statement or an answer has some 400 bytes, a snapshot of the store
	// more. With the library's default of 32 KB, each instance of a fleet of 295 would hold 37 MB
	// of buffers.
	bufferSize = 4 << 10
)

// TCP keep-alive settings of the connections that an instance accepts. A transaction that a peer
// has open here holds one of the few connections to a member, so the loss of the peer must be
// noticed soon. Keep-alive probes of the operating system wake neither process; gRPC keep-alives to
// each of 295 instances every 2 s would wake a process 150 times a second.
const (
	keepAliveIdle     = 2 * time.Second // without traffic before the first probe
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 2 // unanswered probes before the connection is closed
)

// Listen opens the listener for other instances, with keep-alive probes.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}}
	return config.Listen(ctx, "tcp", address)
}

// ServerOptions returns the options of the gRPC server for other instances.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.ReadBufferSize(bufferSize), grpc.WriteBufferSize(bufferSize)}
}

// Conns holds the connections. It is safe for concurrent use.
type Conns struct {
	now     func() time.Time
	traffic *Traffic // nil: traffic is not counted

	mu           sync.Mutex // guards the maps
	conns        map[string]*grpc.ClientConn
	replacements map[string]*replacement // by address
}

// replacement records when the connection to an address was last replaced.
type replacement struct {
	at    time.Time
	pause time.Duration // before the next replacement
}

// allow reports whether an unresponsive connection may be replaced now. If so, it records the
// replacement.
func (r *replacement) allow(now time.Time) bool {
	since := now.Sub(r.at)
	switch {
	case r.at.IsZero() || since >= replaceReset:
		r.pause = minReplaceInterval
	case since < r.pause:
		return false
	default:
		r.pause = min(2*r.pause, maxReplaceInterval)
	}
	r.at = now
	return true
}

// New returns an empty set of connections.
func New() *Conns {
	return &Conns{now: time.Now, conns: make(map[string]*grpc.ClientConn), replacements: make(map[string]*replacement)}
}

// SetTraffic sets where traffic is counted. It must be called before the first connection is
// opened.
func (c *Conns) SetTraffic(t *Traffic) { c.traffic = t }

// Get returns the connection to an address.
func (c *Conns) Get(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		return conn, nil
	}
	options := append(c.traffic.options(address),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: connectBackoff, Multiplier: 2, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithContextDialer(dial),
		grpc.WithReadBufferSize(bufferSize), grpc.WithWriteBufferSize(bufferSize),
		grpc.WithUnaryInterceptor(c.replaceUnresponsive(address)),
	)
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, fmt.Errorf("instance at %s: %w", address, err)
	}
	c.conns[address] = conn
	return conn, nil
}

// dial opens a connection with a bound on how long sent bytes may stay unacknowledged.
func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Control: socket.SetUserTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// replaceUnresponsive replaces an established connection on which a call timed out: the network may
// drop its packets without a reset while new connections work. The next call opens the new
// connection.
func (c *Conns) replaceUnresponsive(address string) grpc.UnaryClientInterceptor {
	return func(ctx context.Context, method string, req, reply any, conn *grpc.ClientConn, invoker grpc.UnaryInvoker, opts ...grpc.CallOption) error {
		err := invoker(ctx, method, req, reply, conn, opts...)
		if status.Code(err) == codes.DeadlineExceeded && conn.GetState() == connectivity.Ready {
			c.replace(address, conn)
		}
		return err
	}
}

// replace drops a connection and closes it after closeDelay, when the calls in flight are over.
func (c *Conns) replace(address string, conn *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] != conn {
		return
	}
	r := c.replacements[address]
	if r == nil {
		r = &replacement{}
		c.replacements[address] = r
	}
	if !r.allow(c.now()) {
		return
	}
	delete(c.conns, address)
	time.AfterFunc(closeDelay, func() { _ = conn.Close() }) // no call of interest is in flight by then
}

// Close closes all connections.
func (c *Conns) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close() // the process stops; calls in flight are abandoned
		delete(c.conns, address)
	}
}
