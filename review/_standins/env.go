// Command standins runs the scripts of the review: it starts stand-ins of the platform's store and
// of a database group, starts instances as processes of their own, plays one scenario, and writes
// what was sent, answered and run to a record.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/stackspindle/stackspindle/internal/standin/membergroup"
	"github.com/stackspindle/stackspindle/internal/standin/memberserver"
	"github.com/stackspindle/stackspindle/internal/standin/memstore"
	"github.com/stackspindle/stackspindle/internal/standin/platformstore"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record writes the lines of record.txt, each with the time since the start.
type record struct {
	started time.Time

	mu   sync.Mutex // guards file
	file *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{started: time.Now(), file: f}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// fleet is the stand-ins and the instances.
type fleet struct {
	rec       *record
	dir       string
	binary    string
	store     *memstore.Store
	platform  *platformstore.Server
	groups    map[string]*membergroup.Group // by name
	addresses map[string]string             // of the members, by ID
	instances []*process
}

// process is one instance.
type process struct {
	name, zone                                   string
	clientAddr, peerAddr, readyAddr, metricsAddr string
	settings                                     string // path of the settings file
	starts                                       int    // how often it was started
	cmd                                          *exec.Cmd
	done                                         chan struct{} // closed when the process has ended
}

// Properties of the deployment, like those of the sheet of Swan Coast Dispatch.
const (
	grace           = 6 * time.Second // grace-s
	maxConns        = 38
	slots           = 3
	membersPerGroup = 3
	replicaLag      = 20 * time.Millisecond
	drain           = 7 * time.Second // drain-ms
	readyTimeout    = 20 * time.Second
	promoteDelay    = 600 * time.Millisecond
	entryExpiry     = 3600 * time.Millisecond // three pings of heartbeat-ms
)

// route is a route of the configuration.
type route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Kind      string `json:"kind"`
	Service   string `json:"service"`
	TimeoutMs int    `json:"timeout-ms"`
	AimMs     int    `json:"target-latency-ms"`
	StaleMs   int    `json:"max-staleness-ms"`
	Priority  int    `json:"priority"`
}

// newFleet starts the stand-ins and writes the configuration. Each statement takes the given time at
// a member.
func newFleet(rec *record, binary string, statementDuration, txIdle time.Duration, syncReplicas int, groups []string, routes []route) (*fleet, error) {
	dir, err := os.MkdirTemp("", "stackspindle-review")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, binary: binary, store: memstore.New(), groups: make(map[string]*membergroup.Group), addresses: make(map[string]string)}
	f.platform, err = platformstore.New(f.store, f.promote)
	if err != nil {
		return nil, err
	}
	var services []map[string]any
	for _, name := range groups {
		if err := f.startGroup(name, statementDuration); err != nil {
			return nil, err
		}
		services = append(services, map[string]any{"name": name, "max-conns": maxConns, "sync-replicas": syncReplicas})
	}
	f.put("op/config", map[string]any{
		"version": 1, "routes": routes, "services": services, "limits": map[string]any{"tx-idle-ms": txIdle.Milliseconds()},
	})
	return f, nil
}

// promote serves the platform's promotion call. The member leads promoteDelay after the call.
func (f *fleet) promote(group, id, instance string, token uint64) error {
	g := f.groups[group]
	if g == nil {
		return fmt.Errorf("no service %q", group)
	}
	f.rec.printf("POST /promote service=%s id=%s Duty-Holder=%s Fencing-Token=%d", group, id, instance, token)
	time.AfterFunc(promoteDelay, func() {
		if err := g.Promote(context.Background(), group, id, instance, token); err != nil {
			f.rec.printf("member %s was not promoted: %v", id, err)
			return
		}
		f.rec.printf("member %s leads", id)
		for n := range membersPerGroup {
			if memberID(group, n) == id {
				f.putMember(group, n, "ready")
			}
		}
	})
	return nil
}

// memberID returns the ID of a member of a group.
func memberID(group string, n int) string { return fmt.Sprintf("i-%s-%d", group, n) }

// startGroup starts the members of a group and writes their entries.
func (f *fleet) startGroup(name string, statementDuration time.Duration) error {
	var ids []string
	for n := range membersPerGroup {
		ids = append(ids, memberID(name, n))
	}
	g := membergroup.New(name, ids...)
	g.SetLag(replicaLag)
	f.groups[name] = g
	for n, id := range ids {
		server, err := memberserver.New(id, g, statementDuration, func(format string, args ...any) { f.rec.printf("member: "+format, args...) })
		if err != nil {
			return err
		}
		f.addresses[id] = server.Addr()
		f.putMember(name, n, "ready")
	}
	return nil
}

// putMember writes a member's entry.
func (f *fleet) putMember(group string, n int, state string) {
	id, role := memberID(group, n), "replica"
	if f.groups[group].Entry(id).Primary {
		role = "primary"
	}
	f.put("servers/"+id, map[string]any{
		"service": group, "address": f.addresses[id], "zone": fmt.Sprint("zone-", n), "version": "v1", "capacity": slots, "state": state,
		"cold-remaining-ms": 0, "sequence": 1, "db-role": role,
	})
}

func (f *fleet) put(key string, document any) {
	raw, err := json.Marshal(document)
	if err != nil {
		panic(err) // all documents are built in this program
	}
	f.store.Put(key, raw)
}

// freeAddrs returns unused loopback addresses.
func freeAddrs(n int) ([]string, error) {
	var addrs []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

// startInstances starts n instances and waits until all call themselves ready.
func (f *fleet) startInstances(n int) error {
	const portsPerInstance = 4
	addrs, err := freeAddrs(portsPerInstance * n)
	if err != nil {
		return err
	}
	for i := range n {
		a := addrs[portsPerInstance*i:]
		p := &process{
			name: fmt.Sprint("front-", i), zone: fmt.Sprint("zone-", i%3), settings: filepath.Join(f.dir, fmt.Sprint("front-", i, ".ini")),
			clientAddr: a[0], peerAddr: a[1], readyAddr: a[2], metricsAddr: a[3],
		}
		if err := f.start(p, true); err != nil {
			return err
		}
		f.instances = append(f.instances, p)
	}
	for _, p := range f.instances {
		if err := p.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes the settings of an instance, like those of the deploy file's template.
func (p *process) writeSettings(f *fleet, firstStart bool) error {
	lines := []string{
		"[instance]", "name = " + p.name, "data_centre = " + p.zone,
		"[capacity]", "cpu_share = 0.4", "cpu_speed = 1", "memory_mb = 284", "link_mbps = 1000.0", "descriptors = 4200",
		"[caller]", "listen = " + p.clientAddr, "max_callers = 3500",
		"[peer]", "listen = " + p.peerAddr,
		"[fleet]", "store = " + f.platform.Addr(), "promoter = " + f.platform.Addr(), "ready = " + p.readyAddr, "metrics = " + p.metricsAddr,
		"grace = " + grace.String(), "drain = " + drain.String(), "store_silence = 3000ms",
	}
	if firstStart {
		lines = append(lines, "first_start = true")
	}
	return os.WriteFile(p.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start runs the deploy file's command, "target/stackspindle serve".
func (f *fleet) start(p *process, firstStart bool) error {
	if err := p.writeSettings(f, firstStart); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(f.binary, "serve")
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "STACKSPINDLE_NODE_FILE=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.starts++
	f.rec.printf("%s started, process %d", p.name, p.cmd.Process.Pid)
	p.done = make(chan struct{})
	go func() {
		_ = p.cmd.Wait() // only the end matters
		close(p.done)
	}()
	return nil
}

// awaitReady waits until an instance calls itself ready.
func (p *process) awaitReady() error {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", p.readyAddr, time.Second)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprintf(conn, "GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
		line, _ := bufio.NewReader(conn).ReadString('\n')
		conn.Close()
		if strings.Contains(line, " 200 ") {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", p.name, readyTimeout)
}

// stop sends SIGTERM, as the platform does for a planned stop.
func (f *fleet) stop(p *process) {
	f.rec.printf("%s gets SIGTERM", p.name)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, p := range f.instances {
		_ = p.cmd.Process.Kill() // it may have ended already
		<-p.done
	}
	f.platform.Close()
	_ = os.RemoveAll(f.dir)
}

// client is one session.
type client struct {
	name string
	rec  *record
	conn net.Conn
	r    *bufio.Reader
	next int
}

// answer is the answer to one statement.
type answer struct {
	rows    []string
	receipt string
	failure string // error code and text; empty: success
	state   string
	whole   bool // READY arrived
}

func dial(rec *record, name, address, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, rec: rec, conn: conn, r: bufio.NewReader(conn)}
	fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, name)
	if a := c.read(); !a.whole {
		conn.Close()
		return nil, fmt.Errorf("%s: no READY after STARTUP: %s", name, a.failure)
	}
	return c, nil
}

func (c *client) read() answer {
	var a answer
	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			return a
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.receipt = rest
		case "ERROR":
			a.failure = rest
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			a.whole = true
			return a
		}
	}
}

// query sends one statement and reads its answer.
func (c *client) query(text string) (answer, time.Duration) {
	c.next++
	id := c.lastID()
	sent := time.Now()
	fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text)
	a := c.read()
	took := time.Since(sent)
	switch {
	case !a.whole:
		c.rec.printf("%s QUERY %s: the connection ended with no whole answer after %d ms (%s)", id, text, took.Milliseconds(), a.failure)
	case a.failure != "":
		c.rec.printf("%s QUERY %s: ERROR %s, READY %s after %d ms", id, text, a.failure, a.state, took.Milliseconds())
	default:
		c.rec.printf("%s QUERY %s: COMPLETE %s, READY %s after %d ms", id, text, a.receipt, a.state, took.Milliseconds())
	}
	return a, took
}

// lastID returns the ID of the last statement that was sent.
func (c *client) lastID() string { return fmt.Sprintf("%s-%d", c.name, c.next) }
