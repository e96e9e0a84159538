// Package fleet assembles one stackspindle instance from its parts and runs it. Its goroutines are
//
//   - the follower, which keeps a copy of the store's contents up to date, from the store's watch
//     or from another instance;
//   - the control loop, which applies the follower's updates, places groups on instances, and leads
//     groups through a lead.Controller;
//   - the registration, which keeps the instance's entry in the store on a lease;
//   - the servers for clients, other instances, readiness probes and metrics.
//
// "Fleet" is the set of all instances. A carrier is an instance that holds connections to a group's
// members and runs the statements that other instances forward to it. The platform that the
// instance runs on is reached through the interfaces of Platform only.
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

// Decoder decodes the documents that operators and members write to the store.
type Decoder interface {
	IsConfig(key string) bool
	Config(raw []byte) (topology.Config, error)
	MemberID(key string) (string, bool)
	Member(id string, raw []byte) (topology.Member, error)
}

// Platform holds the interfaces to the platform that the instance runs on.
type Platform struct {
	Store    kv.Store
	Promoter lead.Promoter
	Dialer   member.Dialer
	Decoder  Decoder
	Client   func(net.Conn) relay.ClientConn
	// Ready returns the handler for the platform's readiness probe.
	Ready func(ready func() bool) http.Handler
}

// Settings are the settings of an instance.
type Settings struct {
	Name          string
	DataCentre    string
	Localities    locality.Map // regions of the data centres
	Capacity      placement.Capacity
	ClientListen  string
	PeerListen    string
	PeerAddress   string // at which others reach the instance; empty: the address of the listener
	ReadyListen   string
	MetricsListen string        // empty: metrics are not served
	Grace         time.Duration // time after which the platform kills a process that was asked to stop
	LeaseTTL      time.Duration
	DrainTime     time.Duration // time after which no work may reach a member that has announced that it leaves
	StoreSilence  time.Duration // bound on how long an unresponsive store, or a watch without updates, may go unnoticed
	MaxClients    int
	FirstStart    bool        // all instances start for the first time
	Limits        quota.Rules // how the limits of client accounts are enforced
}

// Settings of the parts of an instance.
const (
	tickInterval    = 50 * time.Millisecond // bounds how late a fault is noticed
	reportInterval  = 5 * time.Second       // one log line per member in each
	backgroundTasks = 256
	maxEvents       = 512
	// readyWithoutConfirmation is how long an instance that is confirmed neither by the store nor
	// by a quorum of instances stays ready. It can serve reads of replicas indefinitely, and the
	// primary as far as the members verify its grants; moving its clients elsewhere at once would
	// burden the others in each short outage.
	readyWithoutConfirmation = lead.AttestedUseLimit / 2
	// abortDelay is how long open work may outlast a grant that ended without a release: the same
	// time as a planned change of the primary allows.
	abortDelay = 500 * time.Millisecond
)

// Instance is a running stackspindle instance.
type Instance struct {
	settings   Settings
	platform   Platform
	self       lead.Instance
	log        *logrus.Logger
	started    time.Time
	metricsSet *metrics.Set
	events     *timeline.Ring
	sampler    *logs.Limiter // limits repeated log lines

	topology            atomic.Pointer[topology.Snapshot]
	view                atomic.Pointer[lead.View]
	lease               atomic.Int64 // lease ID of the registration, 0: none
	attesting           atomic.Bool  // an attestation round is running
	attestStartedAt     atomic.Int64 // start of the last attestation round
	attestFailures      atomic.Int64 // consecutive rounds without a quorum
	attestedAt          atomic.Int64 // start of the last round that reached a quorum
	snapshotConfirmedAt atomic.Int64 // when the last store call, of any instance, was sent that showed nothing newer than the snapshot
	grantsConfirmedAt   atomic.Int64 // when the last store call, of any instance, was sent that confirmed the grants
	appliedRevision     atomic.Int64 // store revision whose contents are in force here
	registeredOnce      atomic.Bool
	registeredAt        atomic.Int64     // when this process first saw its registration; valid if registeredOnce
	limitEligibility    limitEligibility // of the registration goroutine
	stopping            atomic.Bool

	mirror            *feed.Mirror  // contents of the store, for this instance and its followers
	changes           chan change   // updates, to the control goroutine
	storeRead         chan struct{} // closed once the store was read
	storeReadOnce     sync.Once
	upstreams         *relay.Upstreams
	limiter           *limits.Limiter
	relay             *relay.Relay
	clients           *relay.Server
	carrier           *relay.CarrierServer
	controller        *lead.Controller
	background        *ants.Pool
	peers             *grpc.Server
	conns             *peerconn.Conns // to other instances
	traffic           *peerconn.Traffic
	crossRegionTotals map[string]peerconn.Totals // totals at the last report, by method; of the control goroutine
	servers           []*http.Server

	clientAddr string // clientAddr and peerAddr are set by Start
	peerAddr   string

	renewalUnanswered  atomic.Bool   // the last lease renewal got no answer
	registeredRevision int64         // revision of the last registration; of the registration goroutine
	registered         chan struct{} // closed once the first registration is in the store
	registerOnce       sync.Once

	stopWatch atomic.Pointer[context.CancelFunc] // cancels the current watch

	gcPercent   int  // in percent, 0: the runtime's default; of the follower
	watchFailed bool // the last watch failed; of the follower

	placements     *relay.PlacementTracker // this field and the next four belong to the control goroutine
	placedView     *lead.View              // view for whose instances the groups were last placed
	placedAt       time.Duration           // time of the last placement
	placementDue   bool                    // a placement is due
	changedMembers []topology.Member       // members that the current update has changed

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New returns an instance that is not running yet.
func New(settings Settings, platform Platform, log *logrus.Logger) (*Instance, error) {
	i := &Instance{
		settings: settings,
		platform: platform,
		self: lead.Instance{
			Name: settings.Name, Incarnation: uuid.NewString(),
			Address: settings.PeerAddress, DataCentre: settings.DataCentre, Capacity: settings.Capacity,
		},
		log:        log,
		started:    time.Now(),
		metricsSet: metrics.NewSet(),
		events:     timeline.NewRing(settings.Name, timeline.NewClock(time.Now), maxEvents),
		mirror:     feed.NewMirror(),
		changes:    make(chan change),
		storeRead:  make(chan struct{}),
		registered: make(chan struct{}),
		conns:      peerconn.New(),
	}
	i.sampler = logs.NewLimiter(i.now)
	i.topology.Store(topology.New(memberGrace, departedMemory).Snapshot())
	i.view.Store(lead.NewView())
	i.ctx, i.cancel = context.WithCancel(context.Background())
	var err error
	if i.background, err = ants.NewPool(backgroundTasks, ants.WithNonblocking(true)); err != nil {
		return nil, fmt.Errorf("background task pool: %w", err)
	}
	i.traffic = peerconn.NewTraffic(i.metricsSet, i.distanceTo)
	i.conns.SetTraffic(i.traffic)
	i.upstreams = relay.NewUpstreams(platform.Dialer, i.now)
	i.placements = relay.NewPlacementTracker(i.self, settings.Localities)
	i.upstreams.SetLocalities(settings.Localities)
	i.limiter = limits.New(limits.Config{
		Self: i.self, Rules: settings.Limits, Accounts: i.accounts, Conns: i.conns,
		Now: i.now, Spawn: i.spawn, Log: i.part("limits"), Metrics: i.metricsSet,
	})
	i.relay = relay.New(relay.Config{
		Started: i.started, Self: i.self, Localities: settings.Localities, Topology: i.topology.Load,
		TopologyIsCurrent: i.isCurrent, StoredRecord: i.storedRecord, Limiter: i.limiter,
		Upstreams: i.upstreams, Conns: i.conns, Log: i.part("relay"), Metrics: i.metricsSet,
	})
	if i.clients, err = relay.NewServer(i.relay, platform.Client, settings.MaxClients); err != nil {
		return nil, err
	}
	server := lead.NewServer(i.self.Incarnation, i.relay.PrimaryGuard, i.hasReadStore, i.now, i.upstreams.SinceLastAnswer)
	i.controller = lead.NewController(lead.Config{
		Self: i.self, Own: server, Peers: i.conns, Store: platform.Store, Promoter: platform.Promoter, Dialer: platform.Dialer,
		Environment: environment{i}, DrainTime: settings.DrainTime, Now: i.now, Spawn: i.spawn, Log: i.part("lead"),
	})
	i.controller.SetLocalities(settings.Localities)
	i.peers = grpc.NewServer(peerconn.ServerOptions()...)
	leadpb.RegisterCoordinationServer(i.peers, server)
	i.carrier = relay.NewCarrierServer(i.relay)
	relaypb.RegisterCarrierServer(i.peers, i.carrier)
	limitspb.RegisterLimitsServer(i.peers, i.limiter)
	feedpb.RegisterFeedServer(i.peers, feed.NewServer(i.mirror, i.now))
	return i, nil
}

// part returns the logger of a part of the instance.
func (i *Instance) part(name string) *logrus.Entry {
	return i.log.WithFields(logrus.Fields{"part": name, "instance": i.settings.Name})
}

// now returns the instance's monotonic clock: the time since the process started.
func (i *Instance) now() time.Duration { return time.Since(i.started) }

// Start opens the listeners and starts the instance's goroutines.
func (i *Instance) Start() error {
	clients, err := net.Listen("tcp", i.settings.ClientListen)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	peers, err := peerconn.Listen(i.ctx, i.settings.PeerListen)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	i.clientAddr, i.peerAddr = clients.Addr().String(), peers.Addr().String()
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
	i.run("callers", func() error { return i.clients.Serve(clients) })
	i.run("peers", func() error { return i.peers.Serve(peers) })
	i.run("control", i.control)
	i.run("follower", i.follow)
	i.run("registration", i.maintainRegistration)
	i.part("instance").WithFields(logrus.Fields{"incarnation": i.self.Incarnation, "callers": i.settings.ClientListen}).
		Info("instance: started")
	return nil
}

// ClientAddr returns the address of the client listener.
func (i *Instance) ClientAddr() string { return i.clientAddr }

// run starts a goroutine for a part of the instance, and logs if it fails.
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
const headerTimeout = 2 * time.Second // probes are small and come from nearby

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

// Ready reports whether the instance takes clients: it has a configuration, is registered, and
// either its grants are confirmed by the store or a quorum of instances, or it knows which carriers
// to forward to.
func (i *Instance) Ready() bool {
	confirmed := max(i.grantsConfirmedAt.Load(), i.attestedAt.Load())
	if !i.relay.AllServeAllGroups() {
		// Statements that this instance may not run itself are forwarded to carriers.
		confirmed = max(confirmed, i.snapshotConfirmedAt.Load())
	}
	return !i.stopping.Load() && i.topology.Load().Version > 0 && i.registeredOnce.Load() &&
		i.now()-time.Duration(confirmed) < readyWithoutConfirmation
}

// accounts returns the client accounts of the current configuration.
func (i *Instance) accounts() *account.Directory { return i.topology.Load().Config.Accounts }

// isCurrent reports whether the snapshot of the store was confirmed recently enough, that is within
// the time in which a new configuration must be in force.
func (i *Instance) isCurrent() bool {
	return i.now()-time.Duration(i.snapshotConfirmedAt.Load()) < i.settings.StoreSilence
}

// hasReadStore reports whether the contents of the store are known.
func (i *Instance) hasReadStore() bool {
	select {
	case <-i.storeRead:
		return true
	default:
		return false
	}
}

// spawn runs a task in the background.
func (i *Instance) spawn(task func()) {
	if err := i.background.Submit(task); err != nil {
		go task() // the pool is full, but the task must run; this is rare
	}
}

// Parts of the grace period by which the steps of a planned stop end.
const (
	transactionShare = 1.0 / 2   // open transactions; the rest are rolled back
	statementShare   = 5.0 / 6   // running statements; the rest get their final answer without the member's
	answerShare      = 11.0 / 12 // the last answers
)

// Stop stops the instance in an orderly way. It returns within the platform's grace period, and
// not before each statement that was read from a client or forwarded by another instance has been
// answered, provided that the answers are read.
func (i *Instance) Stop() {
	began := time.Now()
	step := func(share float64) (context.Context, context.CancelFunc) {
		return context.WithDeadline(context.Background(), began.Add(time.Duration(share*float64(i.settings.Grace))))
	}
	transactions, cancel := step(transactionShare)
	defer cancel()
	statements, cancel := step(statementShare)
	defer cancel()
	answers, cancel := step(answerShare)
	defer cancel()
	i.stopping.Store(true)
	i.part("instance").WithField("callers", i.clients.NumClients()).Info("instance: planned stop")
	i.deregister(transactions)
	i.carrier.Stop()
	select {
	case <-time.After(min(probeRemovalTime, i.settings.Grace/3)):
	case <-transactions.Done():
	}
	i.clients.CloseListener()
	i.finishWork(transactions, statements, answers)
	i.stopPeers()
	i.close()
}

// finishWork returns once the work of all sessions has ended and has been answered. Open
// transactions may go on until the first context is done, and running statements until the second
// one is. The last one bounds the wait for the answers.
func (i *Instance) finishWork(transactions, statements, answers context.Context) {
	var drains sync.WaitGroup
	drains.Go(func() { i.clients.Drain(transactions, statements) })
	drains.Go(func() { i.carrier.Drain(transactions, statements) })
	drains.Wait()
	i.logActive("drained")
	i.abortWork(answers)
	i.logActive("answered")
}

// abortWork gives the statements that are left their final answers, and waits until these are sent
// or ctx is done.
func (i *Instance) abortWork(ctx context.Context) {
	i.clients.AbortStatements()
	i.carrier.AbortStatements()
	i.upstreams.Close()
	i.clients.AwaitSessions(ctx)
	i.carrier.AwaitSessions(ctx)
}

// peerFlushTimeout is how long replies that have been sent to other instances get to leave. Streams
// that the others keep open do not end by themselves.
const peerFlushTimeout = 100 * time.Millisecond

// stopPeers ends the service for other instances after the replies that have been sent.
func (i *Instance) stopPeers() {
	timer := time.AfterFunc(peerFlushTimeout, i.peers.Stop)
	defer timer.Stop()
	i.peers.GracefulStop()
}

// logActive logs the sessions that are left at a step of a planned stop.
func (i *Instance) logActive(step string) {
	active, forwarded := i.clients.Active(), i.carrier.Active()
	i.part("instance").WithFields(logrus.Fields{
		"step": step, "running": active.Running, "in_transaction": active.InTx, "idle": active.Idle,
		"forwarded_running": forwarded.Running, "forwarded_in_transaction": forwarded.InTx,
	}).Info("instance: sessions left in a planned stop")
}

// probeRemovalTime is how long the platform keeps sending clients to an instance that is not ready:
// it probes once a second and takes an instance out after two failures.
const probeRemovalTime = 2300 * time.Millisecond

// deregister revokes the registration's lease, and with it gives up the leadership of groups, so
// that others take them over at once.
func (i *Instance) deregister(ctx context.Context) {
	id := kv.LeaseID(i.lease.Swap(0))
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := i.platform.Store.Revoke(ctx, id); err != nil {
		i.part("registration").WithError(err).Info("registration: the lease could not be revoked; it will expire")
	}
}

// close ends all parts of the instance.
func (i *Instance) close() {
	i.cancel()
	for _, server := range i.servers {
		_ = server.Close() // probes and metrics requests in flight may be cut off
	}
	i.peers.Stop()
	i.clients.CloseListener()
	i.upstreams.Close()
	i.conns.Close()
	i.done.Wait()
	i.relay.LogFailures(true)
	i.background.Release()
	i.part("instance").Info("instance: stopped")
}

// serveMetrics writes the counters and histograms of all parts and the current gauges.
func (i *Instance) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	i.metricsSet.WritePrometheus(w)
	i.upstreams.WriteMetrics(w)
	now := i.now()
	metrics.WriteGaugeUint64(w, "stackspindle_callers", uint64(i.clients.NumClients()))
	metrics.WriteGaugeUint64(w, "stackspindle_config_version", uint64(i.topology.Load().Version))
	metrics.WriteGaugeFloat64(w, "stackspindle_store_confirmed_seconds", (now - time.Duration(i.grantsConfirmedAt.Load())).Seconds())
	metrics.WriteGaugeUint64(w, "stackspindle_registered", boolMetric(i.lease.Load() != 0))
	metrics.WriteGaugeUint64(w, "stackspindle_ready", boolMetric(i.Ready()))
	i.relay.ForEachPrimaryGuard(func(group string, g *lead.PrimaryGuard) {
		labels := `{group="` + group + `"}`
		primary, err := g.Primary()
		leader, _ := i.view.Load().Leader(group)
		metrics.WriteGaugeUint64(w, "stackspindle_group_has_primary"+labels, boolMetric(err == nil))
		metrics.WriteGaugeUint64(w, "stackspindle_group_term"+labels, primary.Term)
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
