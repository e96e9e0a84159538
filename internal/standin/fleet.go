// Package standin puts the stand-ins and several instances together in one
// process, for the demo, the tests and the benchmarks.
package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/config"
	"github.com/stackspindle/stackspindle/internal/instance"
	"github.com/stackspindle/stackspindle/internal/membership"
	"github.com/stackspindle/stackspindle/internal/owner"
	"github.com/stackspindle/stackspindle/internal/resource"
	"github.com/stackspindle/stackspindle/internal/standin/kvservice"
	"github.com/stackspindle/stackspindle/internal/standin/pggroup"
)

// Options shape a fleet.
type Options struct {
	Instances    int
	Lag          time.Duration
	Database     string                       // name of the database and of its service
	CallerAddr   func(i int) string           // where instance i serves callers
	Operator     string                       // where the first instance serves operators
	Connections  int                          // to each member
	QueueTimeout time.Duration                // of the service
	Staleness    time.Duration                // of the service
	Ack          resource.Acknowledgement     // when a write is acknowledged
	Log          *logrus.Logger               // nil: no log
	Adjust       func(*config.Settings)       // changes the settings of every instance
	Pause        func(i int, _ owner.Step)    // fault hook
	Services     []resource.Resource          // further services
	DataCentres  func(instance int) string    // nil: three in turn
	NoDatabase   bool                         // declare nothing
	SetUp        []string                     // statements on the group before the start
	Customise    func(*resource.DatabaseSpec) // changes the declared database
}

// Fleet is a running set of instances before one database group.
type Fleet struct {
	Group     *pggroup.Group
	Store     *kvservice.Service
	Instances []*instance.Instance
	opts      Options
	seeds     []membership.Instance
	closeOnce sync.Once
}

// anyPort lets the system choose a free port of loopback.
const anyPort = "127.0.0.1:0"

// shiftsTable is the table that the demo and the tests start with.
const shiftsTable = "CREATE TABLE shifts (id int PRIMARY KEY, volunteer text, state text)"

// Start runs a fleet and declares its database and service.
func Start(opts Options) (*Fleet, error) {
	if opts.Log == nil {
		opts.Log = logrus.New()
		opts.Log.SetOutput(io.Discard)
	}
	if opts.Database == "" {
		opts.Database = "roster"
	}
	f := &Fleet{opts: opts}
	var err error
	if f.Group, err = pggroup.Start(opts.Database, opts.Lag); err != nil {
		return nil, err
	}
	if f.Store, err = kvservice.Start(); err != nil {
		f.Group.Close()
		return nil, err
	}
	for _, sql := range append([]string{shiftsTable}, opts.SetUp...) {
		if err := f.Group.Exec(sql); err != nil {
			f.Close()
			return nil, fmt.Errorf("set up: %w", err)
		}
	}
	if !opts.NoDatabase {
		f.declare()
	}
	for i := range opts.Instances {
		if _, err := f.StartInstance(i); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Service returns the service that the fleet declares.
func (f *Fleet) Service() resource.Resource {
	return resource.Resource{
		Kind:     resource.KindService,
		Metadata: resource.Metadata{Name: f.opts.Database, Generation: 1},
		Service: &resource.ServiceSpec{
			Databases:    []string{f.opts.Database},
			Staleness:    resource.Duration(f.opts.Staleness),
			QueueTimeout: resource.Duration(cmp.Or(f.opts.QueueTimeout, defaultQueueTimeout)),
			Weight:       1,
		},
	}
}

// Prefix is where the configuration lives in the key-value stand-in.
const Prefix = "stackspindle/"

// declare stores the database and its service.
func (f *Fleet) declare() {
	f.Put(f.Database())
	f.Put(f.Service())
	for _, s := range f.opts.Services {
		f.Put(s)
	}
}

// Database returns the database that the fleet declares.
func (f *Fleet) Database() resource.Resource {
	spec := &resource.DatabaseSpec{
		Database:        f.opts.Database,
		User:            f.opts.Database,
		Connections:     cmp.Or(f.opts.Connections, defaultConnections),
		MaxQueue:        defaultQueue,
		Acknowledgement: cmp.Or(f.opts.Ack, resource.AckPrimary),
	}
	spec.WriteReserve = min(2, spec.Connections-1)
	for i := range pggroup.Members {
		m := f.Group.Member(i)
		spec.Members = append(spec.Members, resource.Member{Name: m.Name, Address: m.Addr(), DataCentre: dataCentre(i)})
	}
	if f.opts.Customise != nil {
		f.opts.Customise(spec)
	}
	return resource.Resource{
		Kind:     resource.KindDatabase,
		Metadata: resource.Metadata{Name: f.opts.Database, Generation: 1},
		Database: spec,
	}
}

// What a fleet declares when Options say nothing else.
const (
	defaultConnections = 8
	defaultQueue       = 1000

	defaultQueueTimeout = 3 * time.Second
)

// Put stores a resource directly, as an earlier operator would have.
func (f *Fleet) Put(r resource.Resource) int64 {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // resources always marshal
	}
	return f.Store.Put(Prefix+"resources/"+string(r.Kind)+"/"+r.Metadata.Name, raw)
}

// List puts an instance on the platform's list, or marks it as leaving.
func (f *Fleet) List(name string, spec resource.InstanceSpec) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // specs always marshal
	}
	f.Store.Put(Prefix+"instances/"+name, raw)
}

func dataCentre(i int) string {
	return fmt.Sprintf("dc%d", i%pggroup.Members+1)
}

// Name returns the name of instance i.
func Name(i int) string { return fmt.Sprintf("instance-%d", i+1) }

// StartInstance runs instance i, for the first time or again.
func (f *Fleet) StartInstance(i int) (*instance.Instance, error) {
	settings := config.Defaults()
	settings.Name = Name(i)
	settings.DataCentre = dataCentre(i)
	if f.opts.DataCentres != nil {
		settings.DataCentre = f.opts.DataCentres(i)
	}
	settings.ClientListen, settings.PeerListen, settings.OperatorListen = anyPort, anyPort, anyPort
	if f.opts.CallerAddr != nil {
		settings.ClientListen = f.opts.CallerAddr(i)
	}
	if f.opts.Operator != "" && i == 0 {
		settings.OperatorListen = f.opts.Operator
	}
	settings.Client.Authenticate = false
	settings.PlatformEndpoint = f.Store.URL()
	settings.PlatformPrefix = Prefix
	settings.Seeds = f.seeds
	if f.opts.Adjust != nil {
		f.opts.Adjust(settings)
	}
	var pause func(owner.Step)
	if f.opts.Pause != nil {
		pause = func(s owner.Step) { f.opts.Pause(i, s) }
	}
	inst, err := instance.New(settings, f.opts.Log, instance.Options{FaultHook: pause})
	if err != nil {
		return nil, err
	}
	if err := inst.Start(); err != nil {
		return nil, err
	}
	f.List(inst.Name(), resource.InstanceSpec{Address: inst.PeerAddr(), DataCentre: settings.DataCentre})
	for len(f.Instances) <= i {
		f.Instances = append(f.Instances, nil)
	}
	f.Instances[i] = inst
	return inst, nil
}

// Kill ends instance i as a crash would.
func (f *Fleet) Kill(i int) {
	f.Instances[i].Kill()
	f.Instances[i] = nil
}

// Owner returns the index of the instance that serves the group, or -1.
func (f *Fleet) Owner() int {
	for i, inst := range f.Instances {
		if inst == nil {
			continue
		}
		if st, ok := inst.Group(f.opts.Database); ok && st.Serving && st.LeaseLeft > 0 {
			return i
		}
	}
	return -1
}

// AwaitOwner waits until an instance serves the group and all know the configuration.
func (f *Fleet) AwaitOwner(limit time.Duration) (int, error) {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		configured := true
		for _, inst := range f.Instances {
			configured = configured && (inst == nil || inst.Revision() > 0)
		}
		if i := f.Owner(); i >= 0 && configured {
			return i, nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return -1, fmt.Errorf("no owner within %s", limit)
}

// Close ends everything. Closing twice does nothing.
func (f *Fleet) Close() { f.closeOnce.Do(f.close) }

func (f *Fleet) close() {
	for _, inst := range f.Instances {
		if inst != nil {
			inst.Kill()
		}
	}
	if f.Store != nil {
		f.Store.Close()
	}
	f.Group.Close()
}

// Customise changes the declared database while the fleet runs.
func (f *Fleet) Customise(change func(*resource.DatabaseSpec)) {
	f.opts.Customise = change
	f.Put(f.Database())
}

// Seeds returns the instances that run now, for the settings of others.
func (f *Fleet) Seeds() []membership.Instance {
	var seeds []membership.Instance
	for _, inst := range f.Instances {
		if inst != nil {
			seeds = append(seeds, membership.Instance{Name: inst.Name(), Address: inst.PeerAddr()})
		}
	}
	return seeds
}

// SetSeeds gives instances started from now on the addresses of others.
func (f *Fleet) SetSeeds(seeds []membership.Instance) { f.seeds = seeds }

// PinCallerAddresses makes instances started again listen where they did.
func (f *Fleet) PinCallerAddresses(addrs []string) {
	f.opts.CallerAddr = func(i int) string { return addrs[i] }
}
