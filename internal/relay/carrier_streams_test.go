package relay

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/peerconn"
	"github.com/stackspindle/stackspindle/internal/relay/relaypb"
	"github.com/stackspindle/stackspindle/internal/standin/faultproxy"
)

// echoCarrier is a carrier that answers a request with its text once release is closed.
type echoCarrier struct {
	*CarrierServer
	release chan struct{}
}

func (e *echoCarrier) Carry(stream grpc.BidiStreamingServer[relaypb.CarryRequest, relaypb.CarryReply]) error {
	for {
		req, err := stream.Recv()
		if err != nil {
			return nil
		}
		<-e.release
		if err := stream.Send(&relaypb.CarryReply{Receipt: req.Text}); err != nil {
			return err
		}
	}
}

// newEchoCarrier starts a carrier behind a proxy.
func newEchoCarrier(t *testing.T) (*carrierConns, *echoCarrier, *faultproxy.Proxy) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := grpc.NewServer()
	carrier := &echoCarrier{CarrierServer: NewCarrierServer(nil), release: make(chan struct{})}
	relaypb.RegisterCarrierServer(server, carrier)
	go func() { _ = server.Serve(l) }() // ends with the test
	t.Cleanup(server.Stop)
	proxy, err := faultproxy.New(l.Addr().String())
	must.NoError(t, err)
	t.Cleanup(proxy.Close)
	conns := peerconn.New()
	t.Cleanup(conns.Close)
	started := time.Now()
	return newCarrierConns(conns, func() time.Duration { return time.Since(started) }), carrier, proxy
}

// long is a timeout that is reached only in case of a fault.
const long = time.Hour

// openWithRetries opens a stream, with retries because opening may time out on a busy machine.
func openWithRetries(t *testing.T, c *carrierConns, address string) *carrierStream {
	t.Helper()
	for range 100 {
		if stream, err := c.open(address, long); err == nil {
			return stream
		}
	}
	t.Fatal("no stream could be opened")
	return nil
}

// A carrier becomes unreachable without closing its connections. A request must be aborted long
// before the statement's deadline, and later ones must prefer other carriers. Otherwise, during
// network partitions, statements waited there until their clients gave up.
func TestUnresponsiveCarrierIsAbandoned(t *testing.T) {
	c, carrier, proxy := newEchoCarrier(t)
	close(carrier.release)
	stream := openWithRetries(t, c, proxy.Addr())
	reply, err := stream.roundTrip(t.Context(), &relaypb.CarryRequest{Text: "before"}, long)
	must.NoError(t, err)
	must.Eq(t, "before", reply.Receipt)
	proxy.Set(faultproxy.Fault{BlockToTarget: true, BlockFromTarget: true, StallNew: true})
	_, err = stream.roundTrip(t.Context(), &relaypb.CarryRequest{Text: "lost"}, long)
	must.Error(t, err)
	other := lead.Instance{Name: "other", Address: "other"}
	unresponsive := lead.Instance{Name: "silent", Address: proxy.Addr()}
	must.Eq(t, []lead.Instance{other, unresponsive}, c.order([]lead.Instance{unresponsive, other}, 2))
}

// A connection that has become unresponsive must not prevent reaching the carrier over a new one.
func TestCarrierIsReachableAfterConnectionBecameUnresponsive(t *testing.T) {
	c, carrier, proxy := newEchoCarrier(t)
	close(carrier.release)
	stream := openWithRetries(t, c, proxy.Addr())
	proxy.FreezeOpenConns()
	_, err := stream.roundTrip(t.Context(), &relaypb.CarryRequest{Text: "lost"}, long)
	must.Error(t, err)
	reply, err := openWithRetries(t, c, proxy.Addr()).roundTrip(t.Context(), &relaypb.CarryRequest{Text: "again"}, long)
	must.NoError(t, err)
	must.Eq(t, "again", reply.Receipt)
}

// A carrier that takes long for a statement, but answers pings, is not abandoned.
func TestSlowCarrierAnswerIsAwaited(t *testing.T) {
	c, carrier, proxy := newEchoCarrier(t)
	c.pingTimeout = long // independent of the machine's load
	stream := openWithRetries(t, c, proxy.Addr())
	go func() {
		time.Sleep(3 * pingAfter)
		close(carrier.release)
	}()
	reply, err := stream.roundTrip(t.Context(), &relaypb.CarryRequest{Text: "slow"}, long)
	must.NoError(t, err)
	must.Eq(t, "slow", reply.Receipt)
}
