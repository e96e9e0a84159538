package upstream

import (
	"context"
	"fmt"
	"time"

	"github.com/stackspindle/stackspindle/internal/connpool"
)

// Errors of Pool.Acquire. After each of them, nothing has run.
var (
	ErrQueueFull = connpool.ErrQueueFull
	ErrDeadline  = connpool.ErrDeadline
	ErrClosed    = connpool.ErrClosed
)

// Pool is the connection pool of one member in one term.
type Pool = connpool.Pool[*Conn]

// Lease is the exclusive use of one data connection until it is returned to its pool.
type Lease = connpool.Lease[*Conn]

// NewPool returns an empty pool whose connections are bound to a term.
func NewPool(cfg connpool.Config, target Target, term uint64, now func() time.Duration) *Pool {
	return connpool.New(cfg, func(ctx context.Context, _ string) (*Conn, error) {
		conn, err := Dial(ctx, target, term)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return conn, nil
	}, now)
}
