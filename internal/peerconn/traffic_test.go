package peerconn

import (
	"bytes"
	"context"
	"net"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/stackspindle/stackspindle/internal/locality"
	"github.com/stackspindle/stackspindle/internal/relay/relaypb"
)

// pingServer answers pings only.
type pingServer struct {
	relaypb.UnimplementedCarrierServer
}

func (pingServer) Ping(context.Context, *relaypb.PingRequest) (*relaypb.PingReply, error) {
	return &relaypb.PingReply{}, nil
}

// A request and its answer count as two messages, at the distance of the other instance.
func TestTrafficIsCounted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := grpc.NewServer(ServerOptions()...)
	relaypb.RegisterCarrierServer(server, pingServer{})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	set := metrics.NewSet()
	conns := New()
	t.Cleanup(conns.Close)
	traffic := NewTraffic(set, func(string) locality.Distance { return locality.OtherRegion })
	conns.SetTraffic(traffic)
	conn, err := conns.Get(l.Addr().String())
	must.NoError(t, err)
	_, err = relaypb.NewCarrierClient(conn).Ping(context.Background(), &relaypb.PingRequest{})
	must.NoError(t, err)
	var text bytes.Buffer
	set.WritePrometheus(&text)
	must.StrContains(t, text.String(), `stackspindle_peer_messages_total{method="Ping",distance="other_region"} 2`)
	total := traffic.ByMethod(locality.OtherRegion)["Ping"]
	must.Eq(t, 2, total.Messages)
	must.Greater(t, 0, total.Bytes)
	must.MapEmpty(t, traffic.ByMethod(locality.SameRegion))
}
