// Package standin runs several instances in one process against stand-ins of the
// platform's key-value service and of a PostgreSQL database group. The demo, the tests
// and the benchmarks use it.
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

// Options configure a fleet.
type Options struct {
	Instances    int                          // number of instances to start
	Lag          time.Duration                // replica lag of the group
	Database     string                       // name of the database and of its service; empty: roster
	ClientAddr   func(i int) string           // address on which instance i serves clients; nil: any free port
	Operator     string                       // address on which the first instance serves operators; empty: any free port
	Connections  int                          // to each member; 0: 8
	QueueTimeout time.Duration                // of the service; 0: 3 s
	Staleness    time.Duration                // staleness bound of the service
	Ack          resource.Acknowledgement     // when a write is acknowledged; empty: AckPrimary
	Log          *logrus.Logger               // nil: logs are discarded
	Adjust       func(*config.Settings)       // changes the settings of each instance before it starts; may be nil
	FaultHook    func(i int, _ owner.Step)    // fault injection hook, called at each step of instance i; may be nil
	Services     []resource.Resource          // additional services to declare
	DataCentres  func(instance int) string    // data centre of each instance; nil: dc1, dc2 and dc3 in turn
	NoDatabase   bool                         // declare neither database nor services
	SetUp        []string                     // SQL statements to run on the group before instances start
	Customise    func(*resource.DatabaseSpec) // changes the database before it is declared; may be nil
}

// Fleet is a set of running instances that serve one database group.
type Fleet struct {
	Group     *pggroup.Group
	Store     *kvservice.Service
	Instances []*instance.Instance // nil entries: killed or not started yet
	opts      Options
	seeds     []membership.Instance
	closeOnce sync.Once
}

// anyPort is a listen address on a free loopback port that the system chooses.
const anyPort = "127.0.0.1:0"

// shiftsTable creates the table that the demo and the tests use.
const shiftsTable = "CREATE TABLE shifts (id int PRIMARY KEY, volunteer text, state text)"

// Start starts the stand-ins, declares the database and its services, and starts the
// instances.
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

// Prefix is the prefix of all keys in the key-value service.
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

// Defaults of the declared database and service.
const (
	defaultConnections = 8
	defaultQueue       = 1000

	defaultQueueTimeout = 3 * time.Second
)

// Put writes a resource directly to the key-value service, without going through an
// instance's operator API, and returns its revision.
func (f *Fleet) Put(r resource.Resource) int64 {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // resources can always be encoded
	}
	return f.Store.Put(Prefix+"resources/"+string(r.Kind)+"/"+r.Metadata.Name, raw)
}

// PutInstance writes the platform's entry of an instance, which registers it or marks it as
// leaving.
func (f *Fleet) PutInstance(name string, spec resource.InstanceSpec) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // specs can always be encoded
	}
	f.Store.Put(Prefix+"instances/"+name, raw)
}

// dataCentre returns the default data centre of instance or member i.
func dataCentre(i int) string {
	return fmt.Sprintf("dc%d", i%pggroup.Members+1)
}

// Name returns the name of instance i.
func Name(i int) string { return fmt.Sprintf("instance-%d", i+1) }

// StartInstance starts instance i, for the first time or after Kill, and registers it.
func (f *Fleet) StartInstance(i int) (*instance.Instance, error) {
	settings := config.Defaults()
	settings.Name = Name(i)
	settings.DataCentre = dataCentre(i)
	if f.opts.DataCentres != nil {
		settings.DataCentre = f.opts.DataCentres(i)
	}
	settings.ClientListen, settings.PeerListen, settings.OperatorListen = anyPort, anyPort, anyPort
	if f.opts.ClientAddr != nil {
		settings.ClientListen = f.opts.ClientAddr(i)
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
	var faultHook func(owner.Step)
	if f.opts.FaultHook != nil {
		faultHook = func(s owner.Step) { f.opts.FaultHook(i, s) }
	}
	inst, err := instance.New(settings, f.opts.Log, instance.Options{FaultHook: faultHook})
	if err != nil {
		return nil, err
	}
	if err := inst.Start(); err != nil {
		return nil, err
	}
	f.PutInstance(inst.Name(), resource.InstanceSpec{Address: inst.PeerAddr(), DataCentre: settings.DataCentre})
	for len(f.Instances) <= i {
		f.Instances = append(f.Instances, nil)
	}
	f.Instances[i] = inst
	return inst, nil
}

// Kill stops instance i abruptly, like a crash.
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

// AwaitOwner waits until an instance serves the group and all running instances have
// loaded the configuration. It returns the owner's index.
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

// Close stops the instances and the stand-ins. It is idempotent.
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

// Customise changes the declared database while the fleet runs. It replaces
// Options.Customise.
func (f *Fleet) Customise(change func(*resource.DatabaseSpec)) {
	f.opts.Customise = change
	f.Put(f.Database())
}

// Seeds returns the names and peer addresses of the running instances.
func (f *Fleet) Seeds() []membership.Instance {
	var seeds []membership.Instance
	for _, inst := range f.Instances {
		if inst != nil {
			seeds = append(seeds, membership.Instance{Name: inst.Name(), Address: inst.PeerAddr()})
		}
	}
	return seeds
}

// SetSeeds sets the seed instances in the settings of instances started from now on.
func (f *Fleet) SetSeeds(seeds []membership.Instance) { f.seeds = seeds }

// PinClientAddresses sets the addresses on which restarted instances serve clients, so
// that they listen on the same ones as before.
func (f *Fleet) PinClientAddresses(addrs []string) {
	f.opts.ClientAddr = func(i int) string { return addrs[i] }
}
