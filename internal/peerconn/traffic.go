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

// Traffic counts the messages and bytes of calls to other instances, by method and by the distance
// to the other instance. Only the calling side counts, in both directions. It is safe for
// concurrent use.
type Traffic struct {
	set      *metrics.Set
	distance func(address string) locality.Distance

	mu     sync.Mutex // guards counts
	counts map[trafficKey]counters
}

type trafficKey struct {
	method   string
	distance locality.Distance
}

// counters count the calls of one method to instances at one distance.
type counters struct {
	messages, bytes *metrics.Counter
}

// NewTraffic returns traffic counters in a metrics set. distance returns how far away the instance
// at an address is; it is called when a connection is opened.
func NewTraffic(set *metrics.Set, distance func(address string) locality.Distance) *Traffic {
	return &Traffic{set: set, distance: distance, counts: make(map[trafficKey]counters)}
}

// countersFor returns the counters of a method and a distance.
func (t *Traffic) countersFor(key trafficKey) counters {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.counts[key]
	if !ok {
		labels := `{method="` + key.method + `",distance="` + key.distance.String() + `"}`
		c = counters{
			messages: t.set.NewCounter("stackspindle_peer_messages_total" + labels),
			bytes:    t.set.NewCounter("stackspindle_peer_bytes_total" + labels),
		}
		t.counts[key] = c
	}
	return c
}

// Totals is the total traffic of the calls of one method.
type Totals struct {
	Messages, Bytes uint64
}

// Sub returns the traffic since an earlier total.
func (t Totals) Sub(earlier Totals) Totals {
	return Totals{Messages: t.Messages - earlier.Messages, Bytes: t.Bytes - earlier.Bytes}
}

// ByMethod returns the traffic with instances at a distance, by method.
func (t *Traffic) ByMethod(distance locality.Distance) map[string]Totals {
	t.mu.Lock()
	defer t.mu.Unlock()
	totals := make(map[string]Totals)
	for key, c := range t.counts {
		if key.distance == distance {
			totals[key.method] = Totals{Messages: c.messages.Get(), Bytes: c.bytes.Get()}
		}
	}
	return totals
}

// options returns the dial options that count the traffic of a connection.
func (t *Traffic) options(address string) []grpc.DialOption {
	if t == nil {
		return nil
	}
	return []grpc.DialOption{grpc.WithStatsHandler(meter{traffic: t, distance: t.distance(address)})}
}

// meter counts the traffic of one connection.
type meter struct {
	traffic  *Traffic
	distance locality.Distance
}

var _ stats.Handler = meter{}

type callKey struct{}

// TagRPC implements stats.Handler.
func (m meter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, callKey{}, m.traffic.countersFor(trafficKey{method: path.Base(info.FullMethodName), distance: m.distance}))
}

// HandleRPC implements stats.Handler.
func (m meter) HandleRPC(ctx context.Context, event stats.RPCStats) {
	c, ok := ctx.Value(callKey{}).(counters)
	if !ok {
		return
	}
	switch e := event.(type) {
	case *stats.OutPayload:
		c.add(e.WireLength)
	case *stats.InPayload:
		c.add(e.WireLength)
	}
}

func (c counters) add(bytes int) {
	c.messages.Inc()
	c.bytes.Add(bytes)
}

// TagConn implements stats.Handler.
func (m meter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (m meter) HandleConn(context.Context, stats.ConnStats) {}
