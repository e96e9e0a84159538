package peer

import (
	"context"
	"strings"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// Traffic counts the bytes of all calls except Run, which forwards transactions. It
// implements stats.Handler.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Bytes returns the bytes sent and received, including gRPC framing but not HTTP/2 and TCP.
func (t *Traffic) Bytes() (sent, received int64) {
	return t.sent.Load(), t.received.Load()
}

type trafficKey struct{}

// runMethod is the suffix of the method that forwards transactions and is not counted.
const runMethod = "/Run"

// TagRPC implements stats.Handler.
func (t *Traffic) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, trafficKey{}, !strings.HasSuffix(info.FullMethodName, runMethod))
}

// HandleRPC implements stats.Handler.
func (t *Traffic) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if control, _ := ctx.Value(trafficKey{}).(bool); !control {
		return
	}
	switch e := event.(type) {
	case *stats.OutPayload:
		t.sent.Add(int64(e.WireLength))
	case *stats.InPayload:
		t.received.Add(int64(e.WireLength))
	case *stats.InHeader:
		t.received.Add(int64(e.WireLength))
	}
}

// TagConn implements stats.Handler.
func (t *Traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (t *Traffic) HandleConn(context.Context, stats.ConnStats) {}
