// Package peerconn holds the connections of one instance to others, by address.
// They are opened when they are first needed.
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
	connectBackoff = 50 * time.Millisecond  // an instance that restarts is asked again soon
	maxBackoff     = 500 * time.Millisecond // of one that stays away
	connectTimeout = 500 * time.Millisecond // links have delays of milliseconds
	// linger is for how long a connection that was given up serves what is under way
	// on it. It is longer than operators let a statement take; a connection that
	// lingers costs a descriptor.
	linger = 30 * time.Second
	// minRenewal is the least time after which the connection to an address, which was
	// given up as silent, is given up again. It doubles with each time, up to maxRenewal,
	// and is forgotten after forgetRenewals. An instance that is busy, as all are that
	// start together, answers late: connections that were given up after each such call and
	// opened anew, 95 a second on each of 100 instances, left them no time for anything
	// else.
	minRenewal     = 500 * time.Millisecond
	maxRenewal     = 8 * time.Second
	forgetRenewals = 4 * maxRenewal
	// bufferSize is the size of the buffer in which a connection is read, and of the
	// one in which it is written, which the connections that write nothing now do without. A
	// statement or an answer has some 400 bytes, a picture of the store more. With the
	// library's 32 KB a fleet of 295 instances has 37 MB of them on each.
	bufferSize = 4 << 10
)

// Settings of the connections that an instance accepts. A transaction that another has
// open here holds one of the few connections to a member, so its end must be noticed soon.
// The operating system asks, which wakes neither process; the library's own question to
// each of 295 instances every 2 s would wake one 150 times a second.
const (
	peerIdle    = 2 * time.Second // without a word, after which the other side is asked
	peerAsk     = 500 * time.Millisecond
	peerSilence = 2 // questions without an answer
)

// Listen opens the listener for other instances.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: peerIdle, Interval: peerAsk, Count: peerSilence}}
	return config.Listen(ctx, "tcp", address)
}

// ServerOptions are the options of a server to which such connections lead.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.ReadBufferSize(bufferSize), grpc.WriteBufferSize(bufferSize)}
}

// Conns holds the connections. It is safe for concurrent use.
type Conns struct {
	now     func() time.Time
	traffic *Traffic // nil: nothing is counted

	mu       sync.Mutex // guards the maps
	conns    map[string]*grpc.ClientConn
	renewals map[string]*renewal // by address
}

// renewal is when the connection to an address was last given up as silent.
type renewal struct {
	at    time.Time
	pause time.Duration // before the next
}

// due reports whether a connection on which a call got no answer in time is to be
// given up, and takes it that it is.
func (r *renewal) due(now time.Time) bool {
	since := now.Sub(r.at)
	switch {
	case r.at.IsZero() || since >= forgetRenewals:
		r.pause = minRenewal
	case since < r.pause:
		return false
	default:
		r.pause = min(2*r.pause, maxRenewal)
	}
	r.at = now
	return true
}

// New returns an empty set.
func New() *Conns {
	return &Conns{now: time.Now, conns: make(map[string]*grpc.ClientConn), renewals: make(map[string]*renewal)}
}

// Count has the calls counted. It is called before the first connection is used.
func (c *Conns) Count(t *Traffic) { c.traffic = t }

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
		grpc.WithUnaryInterceptor(c.renewSilent(address)),
	)
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, fmt.Errorf("instance at %s: %w", address, err)
	}
	c.conns[address] = conn
	return conn, nil
}

// dial opens a connection on which bytes that are not acknowledged are noticed.
func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Control: socket.SetUserTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// renewSilent gives a connection up on which a call got no answer in time, although
// it is established: it may have gone silent without a reset, while new ones work.
// The next use opens another.
func (c *Conns) renewSilent(address string) grpc.UnaryClientInterceptor {
	return func(ctx context.Context, method string, req, reply any, conn *grpc.ClientConn, invoker grpc.UnaryInvoker, opts ...grpc.CallOption) error {
		err := invoker(ctx, method, req, reply, conn, opts...)
		if status.Code(err) == codes.DeadlineExceeded && conn.GetState() == connectivity.Ready {
			c.giveUp(address, conn)
		}
		return err
	}
}

// giveUp forgets a connection and closes it once what is under way has had its time.
func (c *Conns) giveUp(address string, conn *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] != conn {
		return
	}
	r := c.renewals[address]
	if r == nil {
		r = &renewal{}
		c.renewals[address] = r
	}
	if !r.due(c.now()) {
		return
	}
	delete(c.conns, address)
	time.AfterFunc(linger, func() { _ = conn.Close() }) // nothing that matters is under way by then
}

// Close ends all connections.
func (c *Conns) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close() // nothing is under way on it
		delete(c.conns, address)
	}
}
