// Package fleet puts the parts of an instance on the users' platform together:
// the picture of the surroundings that it follows in the store, its registration,
// the groups that it leads, and the callers that it serves. It knows the platform
// through ports only.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/stackspindle/stackspindle/internal/account"
	"github.com/stackspindle/stackspindle/internal/feed"
	"github.com/stackspindle/stackspindle/internal/feed/feedpb"
	"github.com/stackspindle/stackspindle/internal/kv"
	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/lead/leadpb"
	"github.com/stackspindle/stackspindle/internal/limits"
	"github.com/stackspindle/stackspindle/internal/limits/limitspb"
	"github.com/stackspindle/stackspindle/internal/locality"
	"github.com/stackspindle/stackspindle/internal/logs"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/peerconn"
	"github.com/stackspindle/stackspindle/internal/placement"
	"github.com/stackspindle/stackspindle/internal/quota"
	"github.com/stackspindle/stackspindle/internal/relay"
	"github.com/stackspindle/stackspindle/internal/relay/relaypb"
	"github.com/stackspindle/stackspindle/internal/timeline"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// Decoder decodes what operators and members keep in the store.
type Decoder interface {
	IsConfig(key string) bool
	Config(raw []byte) (topology.Config, error)
	MemberID(key string) (string, bool)
	Member(id string, raw []byte) (topology.Member, error)
}

// Platform is what an instance needs of the platform that it runs on.
type Platform struct {
	Store    kv.Store
	Promoter lead.Promoter
	Dialer   member.Dialer
	Decoder  Decoder
	Caller   func(net.Conn) relay.ClientConn
	// Ready returns the handler that tells the platform whether the instance
	// takes callers.
	Ready func(ready func() bool) http.Handler
}

// Settings are the settings of an instance.
type Settings struct {
	Name          string
	DataCentre    string
	Places        locality.Map // of the data centres
	Strength      placement.Strength
	CallerListen  string
	PeerListen    string
	PeerAddress   string // under which others reach the instance; empty: as bound
	ReadyListen   string
	MetricsListen string        // empty: no metrics are served
	Grace         time.Duration // after which the platform ends a process that was asked to stop
	LeaseTTL      time.Duration
	DrainTime     time.Duration // after which no work may reach a member any more that has said it leaves
	StoreSilence  time.Duration // within which it must be noticed that the store is silent, or a watch deaf
	MaxCallers    int
	FirstStart    bool        // the whole fleet starts for the first time
	Limits        quota.Rules // how the use of client accounts is judged
}

// Settings of the parts.
const (
	tickInterval    = 50 * time.Millisecond // bounds how late a fault is noticed
	reportInterval  = 5 * time.Second       // one line a member then
	backgroundTasks = 256
	eventsKept      = 512
	// readyWithout is for how long an instance that hears neither of the store nor of
	// most instances goes on to call itself ready. It serves reads of replicas for as
	// long as it likes, and the primary as far as the members verify its grants; sending
	// its callers elsewhere at once would burden the others for each short outage.
	readyWithout = lead.StorelessValidity / 2
	// enforceDrain is how long open work may outlast a grant that ended without a
	// release: the same as a planned change gives it.
	enforceDrain = 500 * time.Millisecond
)

// Instance is one running instance.
type Instance struct {
	settings Settings
	platform Platform
	self     lead.Instance
	log      *logrus.Logger
	started  time.Time
	set      *metrics.Set
	ring     *timeline.Ring
	sampler  *logs.Limiter // of log lines

	topology       atomic.Pointer[topology.Snapshot]
	view           atomic.Pointer[lead.View]
	lease          atomic.Int64 // of the registration, 0: none
	attesting      atomic.Bool  // a round of questions to the other instances runs
	askedAt        atomic.Int64 // when the last round was begun
	attestFailures atomic.Int64 // rounds in a row that no quorum answered
	attestAt       atomic.Int64 // when the last round that a quorum answered was begun
	pictureAt      atomic.Int64 // when the last store call was sent, by whomever, that showed nothing newer than the picture
	heardAt        atomic.Int64 // when the last store call was sent, by whomever, that confirmed the grants
	inForce        atomic.Int64 // revision of the store whose contents are in force here
	registeredOnce atomic.Bool
	registeredAt   atomic.Int64 // when this process was first seen to be registered; meaningful once it was
	settlement     settlement   // of the registration
	stopping       atomic.Bool

	mirror     *feed.Mirror  // what is known of the store, for this instance and those that follow it
	changes    chan change   // to the control goroutine
	readStore  chan struct{} // closed once the store was read
	readOnce   sync.Once
	upstreams  *relay.Upstreams
	limiter    *limits.Limiter
	relay      *relay.Relay
	callers    *relay.Server
	carrier    *relay.CarrierServer
	controller *lead.Controller
	background *ants.Pool
	peers      *grpc.Server
	conns      *peerconn.Conns // to other instances
	traffic    *peerconn.Traffic
	crossed    map[string]peerconn.Tally // to other regions until the last report; of the control goroutine
	servers    []*http.Server

	callerAddr string // both set by Start
	peerAddr   string

	doubted      atomic.Bool   // a renewal of the lease got no answer since the last that did
	registeredAs int64         // revision of the last registration; of the goroutine that registers
	registered   chan struct{} // closed once the first registration is in the store
	registerOnce sync.Once

	stopWatch atomic.Pointer[context.CancelFunc] // ends the watch under way

	heapGrowth  int  // in percent, 0: as the runtime has it; of the follower
	watchFailed bool // the last watch got no answer; of the follower

	placements     *relay.PlacementTracker // of the control goroutine
	placedOn       *lead.View              // whose instances the groups were last placed on; the same
	placedAt       time.Duration           // when that was; the same
	placeLater     bool                    // it is to be done again; the same
	changedMembers []topology.Member       // by the change that is taken in; the same

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New returns an instance that does not run yet.
func New(settings Settings, platform Platform, log *logrus.Logger) (*Instance, error) {
	i := &Instance{
		settings: settings,
		platform: platform,
		self: lead.Instance{
			Name: settings.Name, Incarnation: uuid.NewString(),
			Address: settings.PeerAddress, DataCentre: settings.DataCentre, Strength: settings.Strength,
		},
		log:        log,
		started:    time.Now(),
		set:        metrics.NewSet(),
		ring:       timeline.NewRing(settings.Name, timeline.NewClock(time.Now), eventsKept),
		mirror:     feed.NewMirror(),
		changes:    make(chan change),
		readStore:  make(chan struct{}),
		registered: make(chan struct{}),
		conns:      peerconn.New(),
	}
	i.sampler = logs.NewLimiter(i.now)
	i.topology.Store(topology.New(memberGrace, departedMemory).Snapshot())
	i.view.Store(lead.NewView())
	i.ctx, i.cancel = context.WithCancel(context.Background())
	var err error
	if i.background, err = ants.NewPool(backgroundTasks, ants.WithNonblocking(true)); err != nil {
		return nil, fmt.Errorf("background tasks: %w", err)
	}
	i.traffic = peerconn.NewTraffic(i.set, i.distanceTo)
	i.conns.Count(i.traffic)
	i.upstreams = relay.NewUpstreams(platform.Dialer, i.now)
	i.placements = relay.NewPlacementTracker(i.self, settings.Places)
	i.upstreams.SetLocalities(settings.Places)
	i.limiter = limits.New(limits.Config{
		Self: i.self, Rules: settings.Limits, Accounts: i.accounts, Conns: i.conns,
		Now: i.now, Spawn: i.spawn, Log: i.part("limits"), Metrics: i.set,
	})
	i.relay = relay.New(relay.Config{
		Started: i.started, Self: i.self, Localities: settings.Places, Topology: i.topology.Load, TopologyIsCurrent: i.current, StoredRecord: i.known, Limiter: i.limiter,
		Upstreams: i.upstreams, Conns: i.conns, Log: i.part("relay"), Metrics: i.set,
	})
	if i.callers, err = relay.NewServer(i.relay, platform.Caller, settings.MaxCallers); err != nil {
		return nil, err
	}
	server := lead.NewServer(i.self.Incarnation, i.relay.PrimaryGuard, i.informed, i.now, i.upstreams.SinceLastAnswer)
	i.controller = lead.NewController(lead.Config{
		Self: i.self, Own: server, Peers: i.conns, Store: platform.Store, Promoter: platform.Promoter, Dialer: platform.Dialer,
		Around: surroundings{i}, DrainTime: settings.DrainTime, Now: i.now, Spawn: i.spawn, Log: i.part("lead"),
	})
	i.controller.Locate(settings.Places)
	i.peers = grpc.NewServer(peerconn.ServerOptions()...)
	leadpb.RegisterCoordinationServer(i.peers, server)
	i.carrier = relay.NewCarrierServer(i.relay)
	relaypb.RegisterCarrierServer(i.peers, i.carrier)
	limitspb.RegisterLimitsServer(i.peers, i.limiter)
	feedpb.RegisterFeedServer(i.peers, feed.NewServer(i.mirror, i.now))
	return i, nil
}

// part returns the log of a part, whose name stands in each line.
func (i *Instance) part(name string) *logrus.Entry {
	return i.log.WithFields(logrus.Fields{"part": name, "instance": i.settings.Name})
}

func (i *Instance) now() time.Duration { return time.Since(i.started) }

// Start opens the listeners and begins to work.
func (i *Instance) Start() error {
	callers, err := net.Listen("tcp", i.settings.CallerListen)
	if err != nil {
		return fmt.Errorf("callers: %w", err)
	}
	peers, err := peerconn.Listen(i.ctx, i.settings.PeerListen)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	i.callerAddr, i.peerAddr = callers.Addr().String(), peers.Addr().String()
	if i.self.Address == "" {
		i.self.Address = i.peerAddr
	}
	if err := i.serveHTTP("ready", i.settings.ReadyListen, i.platform.Ready(i.Ready)); err != nil {
		return err
	}
	if i.settings.MetricsListen != "" {
		if err := i.serveHTTP("metrics", i.settings.MetricsListen, http.HandlerFunc(i.serveMetrics)); err != nil {
			return err
		}
	}
	i.run("callers", func() error { return i.callers.Serve(callers) })
	i.run("peers", func() error { return i.peers.Serve(peers) })
	i.run("control", i.control)
	i.run("follower", i.follow)
	i.run("registration", i.keepRegistered)
	i.part("instance").WithFields(logrus.Fields{"incarnation": i.self.Incarnation, "callers": i.settings.CallerListen}).
		Info("instance: started")
	return nil
}

// CallerAddr returns the address on which callers are accepted.
func (i *Instance) CallerAddr() string { return i.callerAddr }

// run runs a part until it ends. That it failed is logged.
func (i *Instance) run(part string, f func() error) {
	i.done.Add(1)
	go func() {
		defer i.done.Done()
		if err := f(); err != nil && i.ctx.Err() == nil {
			i.part(part).WithError(err).Error(part + ": ended")
		}
	}()
}

// Settings of the HTTP servers.
const headerTimeout = 2 * time.Second // the platform's probes are small and near

func (i *Instance) serveHTTP(part, address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("%s: %w", part, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	i.servers = append(i.servers, server)
	i.run(part, func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// Ready reports whether the instance takes callers: it has a configuration, is
// registered, and may use primaries, as the store or the other instances confirm, or knows
// which instances carry them.
func (i *Instance) Ready() bool {
	confirmed := max(i.heardAt.Load(), i.attestAt.Load())
	if !i.relay.AllServeAllGroups() {
		// What an instance may not run itself it passes on to those that may.
		confirmed = max(confirmed, i.pictureAt.Load())
	}
	return !i.stopping.Load() && i.topology.Load().Version > 0 && i.registeredOnce.Load() &&
		i.now()-time.Duration(confirmed) < readyWithout
}

// accounts returns the client accounts of the configuration in force.
func (i *Instance) accounts() *account.Directory { return i.topology.Load().Config.Accounts }

// current reports whether the picture of the store was confirmed within the time in
// which a configuration must be in force.
func (i *Instance) current() bool {
	return i.now()-time.Duration(i.pictureAt.Load()) < i.settings.StoreSilence
}

// informed reports whether the store was read.
func (i *Instance) informed() bool {
	select {
	case <-i.readStore:
		return true
	default:
		return false
	}
}

// spawn runs a task in the background.
func (i *Instance) spawn(task func()) {
	if err := i.background.Submit(task); err != nil {
		go task() // it was promised to run; there are few
	}
}

// Stop is the planned stop. It ends by itself within the platform's grace.
func (i *Instance) Stop() {
	i.stopping.Store(true)
	i.part("instance").WithField("callers", i.callers.NumClients()).Info("instance: planned stop")
	half, cancel := context.WithTimeout(context.Background(), i.settings.Grace/2)
	defer cancel()
	i.leave(half)
	i.carrier.Stop()
	select {
	case <-time.After(min(takenOut, i.settings.Grace/3)):
	case <-half.Done():
	}
	i.callers.CloseListener()
	i.callers.Drain(half)
	i.close()
}

// takenOut is after what time no new callers come: the platform asks once a
// second and takes an instance out after two misses.
const takenOut = 2300 * time.Millisecond

// leave gives up the registration, and with it the groups that are led, so that
// others take them over at once.
func (i *Instance) leave(ctx context.Context) {
	id := kv.LeaseID(i.lease.Swap(0))
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := i.platform.Store.Revoke(ctx, id); err != nil {
		i.part("registration").WithError(err).Info("registration: the lease was not ended; it lapses")
	}
}

// close ends all parts.
func (i *Instance) close() {
	i.cancel()
	for _, server := range i.servers {
		_ = server.Close() // nothing on it is worth waiting for
	}
	i.peers.Stop()
	i.callers.CloseListener()
	i.upstreams.Close()
	i.conns.Close()
	i.done.Wait()
	i.relay.LogFailures(true)
	i.background.Release()
	i.part("instance").Info("instance: stopped")
}

// serveMetrics writes the counters and histograms of the parts, and how things
// stand now.
func (i *Instance) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	i.set.WritePrometheus(w)
	i.upstreams.WriteMetrics(w)
	now := i.now()
	metrics.WriteGaugeUint64(w, "stackspindle_callers", uint64(i.callers.NumClients()))
	metrics.WriteGaugeUint64(w, "stackspindle_config_version", uint64(i.topology.Load().Version))
	metrics.WriteGaugeFloat64(w, "stackspindle_store_confirmed_seconds", (now - time.Duration(i.heardAt.Load())).Seconds())
	metrics.WriteGaugeUint64(w, "stackspindle_registered", boolMetric(i.lease.Load() != 0))
	metrics.WriteGaugeUint64(w, "stackspindle_ready", boolMetric(i.Ready()))
	i.relay.ForEachPrimaryGuard(func(group string, g *lead.Gate) {
		labels := `{group="` + group + `"}`
		authority, err := g.Authority()
		leader, _ := i.view.Load().Leader(group)
		metrics.WriteGaugeUint64(w, "stackspindle_group_has_primary"+labels, boolMetric(err == nil))
		metrics.WriteGaugeUint64(w, "stackspindle_group_term"+labels, authority.Term)
		metrics.WriteGaugeUint64(w, "stackspindle_group_led_here"+labels, boolMetric(leader.Incarnation == i.self.Incarnation))
	})
	metrics.WriteProcessMetrics(w)
}

func boolMetric(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
