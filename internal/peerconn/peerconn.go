// Package peerconn holds the connections of one instance to others, by address.
// They are opened when they are first needed.
package peerconn

import (
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
)

// Settings of the connections.
const (
	connectBackoff = 50 * time.Millisecond  // an instance that restarts is asked again soon
	maxBackoff     = 500 * time.Millisecond // of one that stays away
	connectTimeout = 500 * time.Millisecond // links have delays of milliseconds
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
	)
	if err != nil {
		return nil, fmt.Errorf("instance at %s: %w", address, err)
	}
	c.conns[address] = conn
	return conn, nil
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
