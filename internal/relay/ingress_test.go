package relay

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/benbjohnson/immutable"
	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/stackspindle/stackspindle/internal/account"
	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/limits"
	"github.com/stackspindle/stackspindle/internal/peerconn"
	"github.com/stackspindle/stackspindle/internal/placement"
	"github.com/stackspindle/stackspindle/internal/quota"
	"github.com/stackspindle/stackspindle/internal/relay/relaypb"
	"github.com/stackspindle/stackspindle/internal/statement"
)

// newIngress returns a relay without connections to members, which forwards its statements to the
// carrier over loopback.
func newIngress(t *testing.T, carrier *fixture) *Relay {
	t.Helper()
	carrier.relay.EnableCarrier()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := grpc.NewServer()
	relaypb.RegisterCarrierServer(server, NewCarrierServer(carrier.relay))
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	conns := peerconn.New()
	t.Cleanup(func() {
		conns.Close()
		server.Stop()
		if err := <-served; err != nil && !errors.Is(err, grpc.ErrServerStopped) {
			t.Errorf("serve: %v", err)
		}
	})
	ingress := New(Config{
		Started: carrier.relay.started, Topology: carrier.topology, TopologyIsCurrent: func() bool { return true }, StoredRecord: func(string) StoredRecord { return StoredRecord{} }, Limiter: unlimited{},
		Upstreams: carrier.relay.upstreams, Conns: conns, Log: carrier.relay.log, Metrics: metrics.NewSet(),
	})
	snapshot := &PlacementSnapshot{
		carriers:  immutable.NewMap[string, placement.Carriers](nil).Set("g", placement.Carriers{Names: []string{"carrier"}}),
		instances: map[string]lead.Instance{"carrier": {Name: "carrier", Address: l.Addr().String()}},
	}
	ingress.SetPlacement(snapshot)
	openWithRetries(t, ingress.carrierConns, l.Addr().String()).release() // so that statements do not wait for the connection
	return ingress
}

// limiterOf returns a limiter with a relay's accounts and a fixed clock.
func limiterOf(r *Relay) *limits.Limiter {
	return limits.New(limits.Config{
		Rules:    quota.Rules{Window: 5 * time.Second, Tolerance: 0.1, Slack: 20},
		Accounts: func() *account.Directory { return r.snapshot().Config.Accounts },
		Now:      func() time.Duration { return time.Minute }, Spawn: func(task func()) { go task() }, Log: r.log, Metrics: metrics.NewSet(),
	})
}

// emptyLimiter is a carrier's Limiter that has no tokens for the account "hot". It counts the
// requests of that account.
type emptyLimiter struct {
	unlimited
	shortage quota.Shortage
	asked    int
}

func (l *emptyLimiter) AcquireToken(_ context.Context, name string, _ time.Duration) (quota.Token, quota.Shortage, bool) {
	if name != "hot" {
		return quota.Token{}, quota.Shortage{}, true
	}
	l.asked++
	return quota.Token{}, l.shortage, false
}

// Clients go on sending statements of an account that is at its limit. The ingress instance must
// refuse them itself, each with a longer retry delay; only the first may reach the carrier, and
// other accounts must not be affected.
func TestIngressRefusesAccountAtItsLimit(t *testing.T) {
	f := newFixture(t)
	limit := account.Limit{Rate: 10, Burst: 10}
	f.setConfig(2, account.NewDirectory([]account.Account{
		{Name: "hot", Keys: []account.Key{account.NewKey("key-hot")}, Limit: limit},
		{Name: "cold", Keys: []account.Key{account.NewKey("key-cold")}, Limit: limit},
	}))
	carrier := &emptyLimiter{shortage: quota.Shortage{RetryAfter: testRetryAfter, OutOfTokens: 1}}
	f.relay.limiter = carrier
	ingress := newIngress(t, f)
	ingress.limiter = limiterOf(ingress)
	ingressFixture := &fixture{relay: ingress}
	var last time.Duration
	for range 20 {
		answer := ingressFixture.run(newSession(ingress, withKey("strict", "hot")), statement.Read, "READ 1")
		must.Eq(t, statement.Busy, answer.Err.Code)
		must.Greater(t, last, answer.Err.RetryAfter)
		last = answer.Err.RetryAfter
		must.Nil(t, ingressFixture.run(newSession(ingress, withKey("strict", "cold")), statement.Read, "READ 1").Err)
	}
	must.Eq(t, 1, carrier.asked)
}

// A carrier that could not ask all limit holders reports no shortage, and one may report values
// that are impossible. The ingress instance must then go on forwarding.
func TestIngressForwardsWhenShortageIsUnknown(t *testing.T) {
	for _, shortage := range []quota.Shortage{
		{RetryAfter: time.Second, Unresponsive: 1}, {RetryAfter: time.Second, Unresponsive: 1, OutOfTokens: 5}, {RetryAfter: time.Second, NotAlive: 6}, {RetryAfter: time.Second, OutOfTokens: 2, NotAlive: 4},
		{RetryAfter: -time.Second, OutOfTokens: 1}, {RetryAfter: time.Hour, OutOfTokens: 1},
	} {
		f := newFixture(t)
		f.declareAccounts(2, "hot")
		carrier := &emptyLimiter{shortage: shortage}
		f.relay.limiter = carrier
		ingress := newIngress(t, f)
		ingress.limiter = limiterOf(ingress)
		ingressFixture := &fixture{relay: ingress}
		for range 20 {
			refusal := ingressFixture.run(newSession(ingress, withKey("strict", "hot")), statement.Read, "READ 1").Err
			must.Eq(t, statement.Busy, refusal.Code)
			must.StrContains(t, refusal.Detail, "the account is at its limit")
		}
		must.Eq(t, 20, carrier.asked)
	}
}
