// Package soak runs instances as separate processes before stand-ins of the users'
// platform, injects faults from outside them for a while, and checks what callers
// and members see against the project's promises. All choices come from a seed.
// What the processes make of their time does not, so that a seed that failed may
// have to be run several times.
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

// Options say what is run.
type Options struct {
	Binary    string // the program
	Dir       string // for settings and logs of the processes
	Seed      uint64
	Faults    time.Duration // for how long faults are injected
	Instances int
	Callers   int
	// Planned leaves only planned work among the faults: stops, reloads, changes of
	// configuration, members that drain. Then no request may be cut either.
	Planned bool
}

// Settings of the surroundings.
const (
	membersPerGroup = 3
	memberWork      = 5 * time.Millisecond  // of a statement
	memberLag       = 40 * time.Millisecond // of replicas
	plenty          = 40                    // connections of a member: each instance has some
	scarce          = 10                    // two instances have some, for all others
	staleness       = 2 * time.Second       // that bounded routes allow
	statementTime   = time.Second           // of the routes
	recovery        = 40 * time.Second      // until all must serve once faults are over; grants last 15 to 31 s
	callerPause     = 10 * time.Millisecond
)

// Report is what a run has shown.
type Report struct {
	Seed     uint64
	Faults   []string // with the time since the start, in order
	Findings []string // promises that were broken
	Counts   map[string]int
}

// run is one run of the soak.
type run struct {
	opts      Options
	started   time.Time
	store     *memstore.Store
	platform  *platformstore.Server
	groups    []*databaseGroup
	instances []*instance

	mu     sync.Mutex // guards report, version
	report Report
	// version of the configuration in force
	version int64
}

// databaseGroup is a group with the servers of its members.
type databaseGroup struct {
	name    string
	limit   int // connections a member
	members *membergroup.Group
	ids     []string
	proxies map[string]*faultproxy.Proxy // by member
	ledger  *ledger
}

// Run runs the soak once. An error says that it could not be run.
func Run(ctx context.Context, opts Options) (Report, error) {
	r := &run{opts: opts, started: time.Now(), store: memstore.New(), report: Report{Seed: opts.Seed, Counts: make(map[string]int)}}
	defer r.close()
	if err := r.prepare(); err != nil {
		return r.report, err
	}
	if !r.awaitService(ctx) {
		r.finding("the instances did not serve %s after their start", recovery)
		return r.report, ctx.Err()
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var callers sync.WaitGroup
	for n := range opts.Callers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			newCaller(r, n).work(callersCtx)
		}()
	}
	r.inject(ctx)
	if !r.awaitService(ctx) {
		r.finding("not every instance serves every group %s after the last fault ended", recovery)
	}
	stopCallers()
	callers.Wait()
	for _, g := range r.groups {
		r.checkCommits(g)
	}
	return r.report, ctx.Err()
}

// prepare starts the stand-ins and the instances.
func (r *run) prepare() error {
	var err error
	if r.platform, err = platformstore.New(r.store, r.promote); err != nil {
		return err
	}
	for _, g := range []*databaseGroup{{name: "plenty", limit: plenty}, {name: "scarce", limit: scarce}} {
		if err := r.prepareGroup(g); err != nil {
			return err
		}
		r.groups = append(r.groups, g)
	}
	r.putConfig()
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

func (r *run) prepareGroup(g *databaseGroup) error {
	g.proxies, g.ledger = make(map[string]*faultproxy.Proxy), &ledger{}
	for n := range membersPerGroup {
		g.ids = append(g.ids, fmt.Sprintf("%s-%d", g.name, n))
	}
	g.members = membergroup.New(g.name, g.ids...)
	g.members.SetLag(memberLag)
	for _, id := range g.ids {
		server, err := memberserver.New(id, g.members, memberWork, r.finding)
		if err != nil {
			return err
		}
		if g.proxies[id], err = faultproxy.New(server.Addr()); err != nil {
			return err
		}
		r.putMember(g, id, "ready")
	}
	return nil
}

func (r *run) promote(name, id, instance string, token uint64) error {
	for _, g := range r.groups {
		if g.name == name {
			return g.members.Promote(context.Background(), name, id, instance, token)
		}
	}
	return fmt.Errorf("no group %q", name)
}

// putMember writes a member's entry as the platform has it.
func (r *run) putMember(g *databaseGroup, id, state string) {
	role := "replica"
	if g.members.Entry(id).Primary {
		role = "primary"
	}
	r.put("servers/"+id, map[string]any{
		"service": g.name, "address": g.proxies[id].Addr(), "zone": "east", "version": "v1", "capacity": 3, "state": state,
		"cold-remaining-ms": 0, "sequence": 1, "db-role": role,
	})
}

// kinds are the routes' kinds of consistency, by what a database's name begins with.
var kinds = map[string]string{"strict": "primary", "bounded": "bounded_staleness", "own": "read_your_writes"}

// putConfig writes the next version of the configuration.
func (r *run) putConfig() {
	r.mu.Lock()
	r.version++
	version := r.version
	r.mu.Unlock()
	var routes, services []map[string]any
	for _, g := range r.groups {
		for prefix, kind := range kinds {
			routes = append(routes, map[string]any{
				"name": prefix + g.name, "host": prefix + "-" + g.name, "kind": kind, "service": g.name, "priority": 1,
				"timeout-ms": statementTime.Milliseconds(), "target-latency-ms": statementTime.Milliseconds(),
				"max-staleness-ms": staleness.Milliseconds(),
			})
		}
		services = append(services, map[string]any{"name": g.name, "max-conns": g.limit, "sync-replicas": 0})
	}
	r.put("op/config", map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]any{"tx-idle-ms": 5000}})
}

func (r *run) put(key string, document any) {
	raw, err := json.Marshal(document)
	if err != nil {
		panic(fmt.Sprintf("soak: %T cannot be encoded: %v", document, err)) // the documents stand above
	}
	r.store.Put(key, raw)
}

// finding records a broken promise.
func (r *run) finding(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.started).Round(time.Millisecond)
	r.report.Findings = append(r.report.Findings, fmt.Sprintf("%s: ", at)+fmt.Sprintf(format, args...))
}

func (r *run) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Counts[what]++
}

// awaitService waits until a write through every instance succeeds in every group.
func (r *run) awaitService(ctx context.Context) bool {
	until := time.Now().Add(recovery)
	for n, i := range r.instances {
		for _, g := range r.groups {
			probe := newCaller(r, -1-n)
			probe.fixed = i
			for !probe.write(ctx, g) {
				if time.Now().After(until) || ctx.Err() != nil {
					return false
				}
				time.Sleep(callerPause)
			}
			probe.hangUp()
		}
	}
	return true
}

func (r *run) close() {
	for _, i := range r.instances {
		i.kill()
		i.store.Close()
		i.peers.Close()
	}
	for _, g := range r.groups {
		for _, p := range g.proxies {
			p.Close()
		}
	}
	if r.platform != nil {
		r.platform.Close()
	}
}

// random returns a source of choices for one part of the run.
func (r *run) random(part uint64) *rand.Rand { return rand.New(rand.NewPCG(r.opts.Seed, part)) }

// logFile opens the log of a process, which goes on over its restarts.
func (r *run) logFile(name string) (*os.File, error) {
	return os.OpenFile(filepath.Join(r.opts.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}
