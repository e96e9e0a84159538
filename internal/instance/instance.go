// Package instance assembles an instance for PostgreSQL from its parts: the listeners for
// clients, other instances and operators, and the groups that it owns. The command line and
// the stand-ins of the tests run it.
//
// One goroutine owns the control state: the live instances, the placement of groups and the
// active configuration. It publishes immutable snapshots, which the goroutines that serve
// requests read without locks.
package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"
	"github.com/xdg-go/scram"

	"github.com/stackspindle/stackspindle/internal/config"
	"github.com/stackspindle/stackspindle/internal/dispatch"
	"github.com/stackspindle/stackspindle/internal/etcd"
	"github.com/stackspindle/stackspindle/internal/membership"
	"github.com/stackspindle/stackspindle/internal/operator"
	"github.com/stackspindle/stackspindle/internal/owner"
	"github.com/stackspindle/stackspindle/internal/peer"
	"github.com/stackspindle/stackspindle/internal/pgserver"
	"github.com/stackspindle/stackspindle/internal/rendezvous"
	"github.com/stackspindle/stackspindle/internal/rollout"
	"github.com/stackspindle/stackspindle/internal/sqlclass"
	"github.com/stackspindle/stackspindle/internal/timeline"
)

// Instance is one running instance.
type Instance struct {
	settings    *config.Settings
	log         *logrus.Logger
	started     time.Time
	hlc         *timeline.Clock
	ring        *timeline.Ring
	metrics     *counters
	credentials map[string]*scram.StoredCredentials
	store       Store

	catalogue      atomic.Pointer[catalogue]
	fleet          atomic.Pointer[fleet]
	groups         atomic.Pointer[map[string]*owner.Group]
	leaving        atomic.Bool
	storeReachable atomic.Bool // whether the last call to the platform's key-value service succeeded

	peerTraffic    peer.Traffic // bytes sent and received in RPCs between instances
	peers          *peer.Client
	peerServer     *peer.Server
	clientServer   *pgserver.Server
	operatorServer *operator.Server
	dispatcher     *dispatch.Dispatcher
	classifier     *sqlclass.Classifier
	background     *ants.Pool
	events         chan event
	ctx            context.Context // cancelled when the instance stops; ends the control goroutine
	cancel         context.CancelFunc
	done           sync.WaitGroup
	faultHook      func(owner.Step)
	control        *control

	clientAddr   string
	peerAddr     string
	operatorAddr string
}

// fleet is an immutable snapshot of the instances and of the placement of groups.
type fleet struct {
	live     []rendezvous.Instance
	known    []membership.Instance
	rankings map[string][]string // by group: instances in the order in which they should own it
}

// Settings that are not configurable.
const (
	statementCache  = 10_000 // classified statements
	timelineSize    = 4096   // events
	backgroundTasks = 512    // concurrent
	eventBuffer     = 1024   // events queued for the control goroutine
)

// Options are set by tests and the demo in addition to the settings file.
type Options struct {
	Store     Store            // nil: a client of the service named in the settings
	FaultHook func(owner.Step) // fault injection hook; may be nil
}

// New creates an instance. Start runs it.
func New(settings *config.Settings, log *logrus.Logger, opts Options) (*Instance, error) {
	hlc := timeline.NewClock(time.Now)
	i := &Instance{
		settings:    settings,
		log:         log,
		started:     time.Now(),
		hlc:         hlc,
		ring:        timeline.NewRing(settings.Name, hlc, timelineSize),
		metrics:     newCounters(),
		credentials: make(map[string]*scram.StoredCredentials),
		store:       opts.Store,
		events:      make(chan event, eventBuffer),
		faultHook:   opts.FaultHook,
	}
	if i.store == nil {
		i.store = etcd.NewClient(settings.PlatformEndpoint, settings.PlatformPrefix, settings.PlatformTimeout)
	}
	for reference, password := range settings.Credentials {
		stored, err := pgserver.NewCredentials(password)
		if err != nil {
			return nil, fmt.Errorf("credential %s: %w", reference, err)
		}
		i.credentials[reference] = stored
	}
	i.setCatalogue(rollout.Empty())
	i.fleet.Store(&fleet{})
	i.groups.Store(&map[string]*owner.Group{})
	return i, i.assemble()
}

func (i *Instance) assemble() error {
	var err error
	if i.background, err = ants.NewPool(backgroundTasks, ants.WithNonblocking(true)); err != nil {
		return fmt.Errorf("instance: %w", err)
	}
	if i.classifier, err = sqlclass.New(statementCache); err != nil {
		return err
	}
	tls, err := newTLS(i.settings)
	if err != nil {
		return err
	}
	i.peers = peer.NewClient(tls.peerClient, &i.peerTraffic)
	i.peerServer = peer.NewServer(i, tls.peerServer, &i.peerTraffic)
	i.dispatcher = dispatch.New(i.settings.Name, i, i.peers)
	options := i.settings.Client
	options.Instance = i.settings.Name
	options.TLS = tls.clientListener
	i.clientServer, err = pgserver.NewServer(options, i, i.dispatcher, i.classifier, i.metrics, i.loggerFor("caller"))
	if err != nil {
		return err
	}
	i.clientServer.SetCancelForwarder(i.forwardCancel)
	i.operatorServer = operator.NewServer(i, i.settings.OperatorToken, tls.operator, i.loggerFor("operator"))
	return nil
}

// loggerFor returns the logger of one part. By convention its messages start with the name
// of the part.
func (i *Instance) loggerFor(part string) *logrus.Entry {
	return i.log.WithFields(logrus.Fields{"part": part, "instance": i.settings.Name})
}

// now returns the monotonic time since the instance was created.
func (i *Instance) now() time.Duration { return time.Since(i.started) }

// Start opens the listeners and runs the instance in the background until Stop or Kill.
func (i *Instance) Start() error {
	peerListener, err := listen(i.settings.PeerListen)
	if err != nil {
		return fmt.Errorf("instance: peer: %w", err)
	}
	clientListener, err := listen(i.settings.ClientListen)
	if err != nil {
		peerListener.Close()
		return fmt.Errorf("instance: caller: %w", err)
	}
	operatorListener, err := listen(i.settings.OperatorListen)
	if err != nil {
		peerListener.Close()
		clientListener.Close()
		return fmt.Errorf("instance: operator: %w", err)
	}
	i.operatorAddr = operatorListener.Addr().String()
	i.peerAddr, i.clientAddr = peerListener.Addr().String(), clientListener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	i.ctx, i.cancel = ctx, cancel
	i.control = newControl(i)
	i.runPart("peer", func() error { return i.peerServer.Serve(peerListener) })
	i.runPart("caller", func() error { return i.clientServer.Serve(clientListener) })
	i.runPart("operator", func() error { return i.operatorServer.Serve(operatorListener) })
	i.runPart("control", func() error { i.control.run(ctx); return nil })
	i.runPart("platform", func() error { i.syncConfiguration(ctx); return nil })
	i.record(timeline.Event{Kind: "started", Text: "serving callers on " + i.clientAddr})
	return nil
}

func listen(address string) (net.Listener, error) {
	var cfg net.ListenConfig
	return cfg.Listen(context.Background(), "tcp", address)
}

func (i *Instance) runPart(part string, f func() error) {
	i.done.Add(1)
	go func() {
		defer i.done.Done()
		if err := f(); err != nil && !errors.Is(err, net.ErrClosed) {
			i.loggerFor(part).WithError(err).Error(part + ": stopped")
		}
	}()
}

// ClientAddr returns the address that clients connect to.
func (i *Instance) ClientAddr() string { return i.clientAddr }

// PeerAddr returns the address that other instances connect to.
func (i *Instance) PeerAddr() string { return i.peerAddr }

// OperatorAddr returns the address that operators connect to.
func (i *Instance) OperatorAddr() string { return i.operatorAddr }

// Name returns the name of the instance.
func (i *Instance) Name() string { return i.settings.Name }

// Ranking implements dispatch.Placement.
func (i *Instance) Ranking(group string) []string { return i.fleet.Load().rankings[group] }

// Local implements dispatch.Placement.
func (i *Instance) Local(group string) *owner.Group { return (*i.groups.Load())[group] }

// Group returns the state of a group on this instance, and false if the instance does not
// run the group.
func (i *Instance) Group(name string) (owner.Status, bool) {
	g := i.Local(name)
	if g == nil {
		return owner.Status{}, false
	}
	return g.Status(), true
}

// Revision returns the revision of the active configuration.
func (i *Instance) Revision() int64 { return i.catalogue.Load().snapshot.Revision() }

// Ready reports whether the instance accepts new clients: it has a configuration and is not
// stopping.
func (i *Instance) Ready() bool { return !i.leaving.Load() && i.Revision() > 0 }

// Events returns the events of this instance after a stamp.
func (i *Instance) Events(since timeline.Stamp) []timeline.Event { return i.ring.Since(since) }

// record adds an event to the time line and logs it.
func (i *Instance) record(e timeline.Event) {
	e = i.ring.Add(e)
	i.loggerFor("timeline").WithFields(logrus.Fields{"kind": e.Kind, "group": e.Group, "member": e.Member, "term": e.Term}).
		Info("timeline: " + e.Text)
}

// Stop stops the instance gracefully: it announces that the instance leaves, hands its
// groups over, waits for clients to finish and closes. The deadline of ctx applies to the
// whole sequence.
func (i *Instance) Stop(ctx context.Context) {
	i.record(timeline.Event{Kind: "stopping", Text: "planned stop"})
	i.leaving.Store(true)
	i.runOnControl(func(c *control) { c.members.SetSelfLeaving(); c.announceLeaving(ctx) })
	i.handOverAll(ctx)
	i.clientServer.Stop(ctx)
	i.close(peerStopTimeout)
}

// peerStopTimeout is how long a graceful stop waits for running RPCs from other instances.
const peerStopTimeout = 500 * time.Millisecond

// Kill stops the instance at once, without hand-over or draining, like a crash.
func (i *Instance) Kill() {
	i.clientServer.Kill()
	i.peerServer.Kill()
	i.close(0)
}

func (i *Instance) close(grace time.Duration) {
	i.operatorServer.Close()
	i.cancel()
	i.peerServer.Stop(grace)
	i.peers.Close()
	i.done.Wait()
	for _, g := range *i.groups.Load() {
		g.Stop()
	}
	i.background.Release()
}

// spawn runs a control task in the background. If the worker pool is full, the task is
// dropped, which is safe because all such tasks recur.
func (i *Instance) spawn(task func()) {
	if err := i.background.Submit(task); err != nil {
		i.metrics.droppedTasks.Inc()
	}
}
