// Package soak runs stackspindle instances as separate processes against stand-ins of
// the platform's store and database members, injects faults from outside of the
// processes, and checks the answers that clients and members get against the
// project's guarantees. A guarantee that does not hold is reported as a finding.
//
// The seed determines which faults and operations are chosen. It does not determine
// their timing, so a seed that failed may have to run several times to fail again.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/stackspindle/stackspindle/internal/standin/faultproxy"
	"github.com/stackspindle/stackspindle/internal/standin/membergroup"
	"github.com/stackspindle/stackspindle/internal/standin/memberserver"
	"github.com/stackspindle/stackspindle/internal/standin/memstore"
	"github.com/stackspindle/stackspindle/internal/standin/platformstore"
)

// Options configure a run.
type Options struct {
	Binary    string // path of the stackspindle program
	Dir       string // where the settings and logs of the processes are written
	Seed      uint64
	Faults    time.Duration // how long faults are injected
	Instances int
	Clients   int
	// Planned restricts the faults to planned work: stops, reloads, configuration
	// changes and draining members. No request may be cut off then.
	Planned bool
	// Only restricts the faults to those whose name contains it. Empty: all faults.
	Only string
}

// Properties of the database groups, their routes and the clients.
const (
	membersPerGroup  = 3
	replicaLag       = 40 * time.Millisecond // replica lag
	ampleConns       = 40                    // connection limit of a member: enough for every instance to have some
	scarceConns      = 10                    // connection limit of a member: only two instances have connections and serve the others
	minStaleness     = time.Second           // least staleness bound of the routes that are not strict
	maxStaleness     = 2 * time.Second       // greatest one, and the first
	statementTimeout = time.Second           // statement timeout and target latency of the routes
	recoveryTimeout  = 40 * time.Second      // how long after the faults all instances must serve again; grants last 15 to 31 s
	clientPause      = 10 * time.Millisecond
)

// statementDurations are the durations of a statement at a member, by seed: with the longest one,
// statements are running at any time at which an instance is stopped.
var statementDurations = []time.Duration{5 * time.Millisecond, 200 * time.Millisecond, 5 * time.Millisecond, 40 * time.Millisecond}

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Faults   []string // in order, each with the time since the start of the run
	Findings []string // guarantees that did not hold
	Counts   map[string]int
}

// run is the state of one run.
type run struct {
	opts      Options
	started   time.Time
	store     *memstore.Store
	platform  *platformstore.Server
	groups    []*databaseGroup
	instances []*instance

	mu      sync.Mutex // guards report, version, bounds
	report  Report
	version int64   // version of the configuration last written to the store
	bounds  []bound // staleness bounds of the versions, in order

	followUps  followUps
	standstill sync.Mutex // held while an instance stands still for long
}

// databaseGroup is a database group whose members are served over TCP, each behind a
// fault proxy.
type databaseGroup struct {
	name         string
	connLimit    int // connection limit of each member
	syncReplicas int
	members      *membergroup.Group
	nodes        []*node
	outcomes     *outcomes
}

// node is the process of one member, which may start again under another ID.
type node struct {
	group  *databaseGroup
	server *memberserver.Server
	proxy  *faultproxy.Proxy

	mu     sync.Mutex // guards all below
	id     string
	starts int
}

// memberID returns the present ID of the member.
func (n *node) memberID() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.id
}

// primary returns the node of the primary.
func (g *databaseGroup) primary() *node {
	id := g.members.Primary()
	for _, n := range g.nodes {
		if n.memberID() == id {
			return n
		}
	}
	return g.nodes[0] // the primary is starting again under another ID
}

// Run starts the stand-ins and instances, runs clients while it injects faults, and
// checks that all instances serve again and that no commit was lost or repeated.
// Guarantees that did not hold are in the report; an error means that the run could
// not be set up or was cancelled.
func Run(ctx context.Context, opts Options) (Report, error) {
	if len(opts.kinds()) == 0 {
		return Report{Seed: opts.Seed}, fmt.Errorf("soak: no fault has %q in its name", opts.Only)
	}
	r := &run{opts: opts, started: time.Now(), store: memstore.New(), report: Report{Seed: opts.Seed, Counts: make(map[string]int)}}
	defer r.close()
	if err := r.setUp(); err != nil {
		return r.report, err
	}
	if !r.awaitService(ctx) {
		r.finding("the instances did not serve %s after their start", recoveryTimeout)
		return r.report, ctx.Err()
	}
	clientsCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var clients sync.WaitGroup
	for n := range opts.Clients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			newClient(r, n).runOperations(clientsCtx)
		}()
	}
	r.inject(ctx)
	if !r.awaitService(ctx) {
		r.finding("not every instance serves every group %s after the last fault ended", recoveryTimeout)
	}
	stopClients()
	clients.Wait()
	for _, g := range r.groups {
		r.checkCommits(g)
	}
	return r.report, ctx.Err()
}

// setUp starts the stand-ins, writes the configuration and starts the instances.
func (r *run) setUp() error {
	var err error
	if r.platform, err = platformstore.New(r.store, r.promote); err != nil {
		return err
	}
	for _, g := range []*databaseGroup{
		{name: "plenty", connLimit: ampleConns}, {name: "scarce", connLimit: scarceConns}, {name: "synced", connLimit: ampleConns, syncReplicas: 1},
	} {
		if err := r.setUpGroup(g); err != nil {
			return err
		}
		r.groups = append(r.groups, g)
	}
	r.putConfig(maxStaleness)
	for n := range r.opts.Instances {
		i, err := r.newInstance(n)
		if err != nil {
			return err
		}
		r.instances = append(r.instances, i)
		if err := i.start(); err != nil {
			return err
		}
	}
	return nil
}

// setUpGroup starts the members of a group and writes their entries to the store.
func (r *run) setUpGroup(g *databaseGroup) error {
	g.outcomes = &outcomes{}
	var ids []string
	for n := range membersPerGroup {
		ids = append(ids, fmt.Sprintf("%s-%d", g.name, n))
	}
	g.members = membergroup.New(g.name, ids...)
	g.members.SetLag(replicaLag)
	g.members.SetSyncReplicas(g.syncReplicas)
	duration := statementDurations[r.opts.Seed%uint64(len(statementDurations))]
	for _, id := range ids {
		server, err := memberserver.New(id, g.members, duration, r.finding)
		if err != nil {
			return err
		}
		proxy, err := faultproxy.New(server.Addr())
		if err != nil {
			return err
		}
		n := &node{group: g, server: server, proxy: proxy, id: id}
		g.nodes = append(g.nodes, n)
		r.putMember(n, "ready")
	}
	return nil
}

// putMember writes a member's store entry in the platform's format.
func (r *run) putMember(n *node, state string) {
	id, role := n.memberID(), "replica"
	if n.group.members.Entry(id).Primary {
		role = "primary"
	}
	r.put("servers/"+id, map[string]any{
		"service": n.group.name, "address": n.proxy.Addr(), "zone": "east", "version": "v1", "capacity": 3, "state": state,
		"cold-remaining-ms": 0, "sequence": 1, "db-role": role,
	})
}

// kinds has the consistency of the routes by the prefix of their database name.
var kinds = map[string]string{"strict": "primary", "bounded": "bounded_staleness", "own": "read_your_writes"}

// bound is the staleness bound of the routes that are not strict, from some time on.
type bound struct {
	since     time.Time
	staleness time.Duration
}

// staleConfigFor is how long after a change of the configuration an instance may still use the
// former one: while it stands still, and until it has heard of the new one.
const staleConfigFor = maxStandstill + 3*time.Second

// loosestBound returns the greatest staleness bound that any instance may use now.
func (r *run) loosestBound() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var loosest time.Duration
	for n, b := range r.bounds {
		if n+1 == len(r.bounds) || time.Since(r.bounds[n+1].since) < staleConfigFor {
			loosest = max(loosest, b.staleness)
		}
	}
	return loosest
}

// putConfig writes the configuration with the next version number and a staleness bound. The rest
// of its contents stays the same.
func (r *run) putConfig(staleness time.Duration) {
	r.mu.Lock()
	r.version++
	version := r.version
	r.bounds = append(r.bounds, bound{time.Now(), staleness})
	r.mu.Unlock()
	var routes, services []map[string]any
	for _, g := range r.groups {
		for prefix, kind := range kinds {
			routes = append(routes, map[string]any{
				"name": prefix + g.name, "host": prefix + "-" + g.name, "kind": kind, "service": g.name, "priority": 1,
				"timeout-ms": statementTimeout.Milliseconds(), "target-latency-ms": statementTimeout.Milliseconds(),
				"max-staleness-ms": staleness.Milliseconds(),
			})
		}
		services = append(services, map[string]any{"name": g.name, "max-conns": g.connLimit, "sync-replicas": g.syncReplicas})
	}
	r.put("op/config", map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]any{"tx-idle-ms": 5000}})
}

func (r *run) put(key string, document any) {
	raw, err := json.Marshal(document)
	if err != nil {
		panic(fmt.Sprintf("soak: encode %T: %v", document, err)) // all documents are built in this file
	}
	r.store.Put(key, raw)
}

// finding reports a guarantee that did not hold, with the time since the start.
func (r *run) finding(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.started).Round(time.Millisecond)
	r.report.Findings = append(r.report.Findings, fmt.Sprintf("%s: ", at)+fmt.Sprintf(format, args...))
}

func (r *run) count(outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Counts[outcome]++
}

// awaitService waits until one write to every group has succeeded through every
// instance. It returns false after the recovery time or when the context is cancelled.
func (r *run) awaitService(ctx context.Context) bool {
	until := time.Now().Add(recoveryTimeout)
	for n, i := range r.instances {
		for _, g := range r.groups {
			probe := newClient(r, -1-n)
			probe.target = i
			for !probe.write(ctx, g) {
				if time.Now().After(until) || ctx.Err() != nil {
					return false
				}
				time.Sleep(clientPause)
			}
			probe.disconnect()
		}
	}
	return true
}

func (r *run) close() {
	for _, i := range r.instances {
		i.kill()
		i.storeProxy.Close()
		i.peerProxy.Close()
	}
	for _, g := range r.groups {
		for _, n := range g.nodes {
			n.proxy.Close()
		}
	}
	if r.platform != nil {
		r.platform.Close()
	}
}

// random returns the random number generator for one part of the run, derived from
// the seed.
func (r *run) random(part uint64) *rand.Rand { return rand.New(rand.NewPCG(r.opts.Seed, part)) }

// logFile opens the log of an instance for appending. All its processes share it.
func (r *run) logFile(name string) (*os.File, error) {
	return os.OpenFile(filepath.Join(r.opts.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}
