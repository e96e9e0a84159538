package peerconn

import (
	"context"
	"path"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"

	"github.com/stackspindle/stackspindle/internal/locality"
)

// Traffic counts the messages of calls to other instances, and their bytes, by method and by
// how far the other instance is. Only the side that calls counts, both ways. It is safe for
// concurrent use.
type Traffic struct {
	set      *metrics.Set
	distance func(address string) locality.Distance

	mu     sync.Mutex // guards counts
	counts map[trafficKey]traffic
}

type trafficKey struct {
	method   string
	distance locality.Distance
}

// traffic is what is counted of the calls of one method to one distance.
type traffic struct {
	messages, bytes *metrics.Counter
}

// NewTraffic returns what counts in a set. distance tells how far the instance at an
// address is; it is asked when a connection is opened.
func NewTraffic(set *metrics.Set, distance func(address string) locality.Distance) *Traffic {
	return &Traffic{set: set, distance: distance, counts: make(map[trafficKey]traffic)}
}

// of returns the counters of a method and a distance.
func (t *Traffic) of(key trafficKey) traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	counted, ok := t.counts[key]
	if !ok {
		labels := `{method="` + key.method + `",distance="` + key.distance.String() + `"}`
		counted = traffic{
			messages: t.set.NewCounter("stackspindle_peer_messages_total" + labels),
			bytes:    t.set.NewCounter("stackspindle_peer_bytes_total" + labels),
		}
		t.counts[key] = counted
	}
	return counted
}

// Tally is what has passed in the calls of one method.
type Tally struct {
	Messages, Bytes uint64
}

// Sub returns what has passed since an earlier tally.
func (t Tally) Sub(earlier Tally) Tally {
	return Tally{Messages: t.Messages - earlier.Messages, Bytes: t.Bytes - earlier.Bytes}
}

// To returns what has passed to instances at a distance and back, by method.
func (t *Traffic) To(distance locality.Distance) map[string]Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	passed := make(map[string]Tally)
	for key, counted := range t.counts {
		if key.distance == distance {
			passed[key.method] = Tally{Messages: counted.messages.Get(), Bytes: counted.bytes.Get()}
		}
	}
	return passed
}

// options returns the options by which the connection to an address is counted.
func (t *Traffic) options(address string) []grpc.DialOption {
	if t == nil {
		return nil
	}
	return []grpc.DialOption{grpc.WithStatsHandler(meter{traffic: t, distance: t.distance(address)})}
}

// meter counts what passes on one connection.
type meter struct {
	traffic  *Traffic
	distance locality.Distance
}

var _ stats.Handler = meter{}

type callKey struct{}

// TagRPC implements stats.Handler.
func (m meter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, callKey{}, m.traffic.of(trafficKey{method: path.Base(info.FullMethodName), distance: m.distance}))
}

// HandleRPC implements stats.Handler.
func (m meter) HandleRPC(ctx context.Context, event stats.RPCStats) {
	counted, ok := ctx.Value(callKey{}).(traffic)
	if !ok {
		return
	}
	switch e := event.(type) {
	case *stats.OutPayload:
		counted.add(e.WireLength)
	case *stats.InPayload:
		counted.add(e.WireLength)
	}
}

func (t traffic) add(bytes int) {
	t.messages.Inc()
	t.bytes.Add(bytes)
}

// TagConn implements stats.Handler.
func (m meter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (m meter) HandleConn(context.Context, stats.ConnStats) {}
