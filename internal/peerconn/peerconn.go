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
)

// Conns holds the connections. It is safe for concurrent use.
type Conns struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// New returns an empty set.
func New() *Conns { return &Conns{conns: make(map[string]*grpc.ClientConn)} }

// Get returns the connection to an address.
func (c *Conns) Get(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: connectBackoff, Multiplier: 2, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithContextDialer(dial),
		grpc.WithUnaryInterceptor(c.renewSilent(address)),
	)
	if err != nil {
		return nil, fmt.Errorf("instance at %s: %w", address, err)
	}
	c.conns[address] = conn
	return conn, nil
}

// dial opens a connection on which bytes that are not acknowledged are noticed.
func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Control: socket.Options}
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
