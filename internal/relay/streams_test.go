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

// echo is a carrier that answers a request with its text, once it may.
type echo struct {
	*CarrierServer
	hold chan struct{}
}

func (e *echo) Carry(stream grpc.BidiStreamingServer[relaypb.CarryRequest, relaypb.CarryReply]) error {
	for {
		req, err := stream.Recv()
		if err != nil {
			return nil
		}
		<-e.hold
		if err := stream.Send(&relaypb.CarryReply{Receipt: req.Text}); err != nil {
			return err
		}
	}
}

// newEcho starts a carrier behind a proxy.
func newEcho(t *testing.T) (*carrierConns, *echo, *faultproxy.Proxy) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := grpc.NewServer()
	carrier := &echo{CarrierServer: NewCarrierServer(nil), hold: make(chan struct{})}
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

// long is a bound on an answer that only a fault reaches.
const long = time.Hour

// openSoon opens a stream, over and over while the machine is busy.
func openSoon(t *testing.T, c *carrierConns, address string) *carrierStream {
	t.Helper()
	for range 100 {
		if stream, err := c.open(address, long); err == nil {
			return stream
		}
	}
	t.Fatal("no stream could be opened")
	return nil
}

// A carrier that is gone without a trace is given up long before the statement's
// own time is over, and later ones go elsewhere. On days with cuts of the grown
// sites statements were held for it until their callers gave up.
func TestSilentCarrierIsGivenUp(t *testing.T) {
	c, carrier, proxy := newEcho(t)
	close(carrier.hold)
	stream := openSoon(t, c, proxy.Addr())
	reply, err := stream.ask(t.Context(), &relaypb.CarryRequest{Text: "before"}, long)
	must.NoError(t, err)
	must.Eq(t, "before", reply.Receipt)
	proxy.Set(faultproxy.Fault{BlockToTarget: true, BlockFromTarget: true, StallNew: true})
	_, err = stream.ask(t.Context(), &relaypb.CarryRequest{Text: "lost"}, long)
	must.Error(t, err)
	other := lead.Instance{Name: "other", Address: "other"}
	silent := lead.Instance{Name: "silent", Address: proxy.Addr()}
	must.Eq(t, []lead.Instance{other, silent}, c.order([]lead.Instance{silent, other}, 2))
}

// A connection that has gone silent for good does not keep the carrier from being
// used over a new one.
func TestCarrierIsReachedAgainAfterItsConnectionWentSilent(t *testing.T) {
	c, carrier, proxy := newEcho(t)
	close(carrier.hold)
	stream := openSoon(t, c, proxy.Addr())
	proxy.FreezeOpenConns()
	_, err := stream.ask(t.Context(), &relaypb.CarryRequest{Text: "lost"}, long)
	must.Error(t, err)
	reply, err := openSoon(t, c, proxy.Addr()).ask(t.Context(), &relaypb.CarryRequest{Text: "again"}, long)
	must.NoError(t, err)
	must.Eq(t, "again", reply.Receipt)
}

// A carrier that works on a statement for long is not given up.
func TestSlowAnswerOfACarrierIsAwaited(t *testing.T) {
	c, carrier, proxy := newEcho(t)
	c.pingTimeout = long // however busy the machine is
	stream := openSoon(t, c, proxy.Addr())
	go func() {
		time.Sleep(3 * pingAfter)
		close(carrier.hold)
	}()
	reply, err := stream.ask(t.Context(), &relaypb.CarryRequest{Text: "slow"}, long)
	must.NoError(t, err)
	must.Eq(t, "slow", reply.Receipt)
}
