package fleet

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/kv"
	"github.com/stackspindle/stackspindle/internal/relay"
	"github.com/stackspindle/stackspindle/internal/standin/faultproxy"
	"github.com/stackspindle/stackspindle/internal/standin/membergroup"
	"github.com/stackspindle/stackspindle/internal/standin/memstore"
	"github.com/stackspindle/stackspindle/internal/topology"
	"github.com/stackspindle/stackspindle/platform"
)

// The fleet of the tests has one group with three members.
const testGroup = "orders"

var testMembers = []string{"m1", "m2", "m3"}

// jsonDecoder decodes entries that are JSON encodings of the project's types.
type jsonDecoder struct{}

func (jsonDecoder) IsConfig(key string) bool { return key == "config" }

func (jsonDecoder) Config(raw []byte) (topology.Config, error) {
	var c topology.Config
	err := json.Unmarshal(raw, &c)
	return c, err
}

func (jsonDecoder) MemberID(key string) (string, bool) { return strings.CutPrefix(key, "members/") }

func (jsonDecoder) Member(_ string, raw []byte) (topology.Member, error) {
	var m topology.Member
	err := json.Unmarshal(raw, &m)
	return m, err
}

// testFleet is a store, a group and some instances in one process.
type testFleet struct {
	t            *testing.T
	store        *memstore.Store
	group        *membergroup.Group
	instances    []*Instance
	storeClients []*memstore.Client
	peerProxies  []*faultproxy.Proxy // by which other instances reach this one
	decoder      Decoder
	output       io.Writer // of all loggers
}

func encodeJSON(t *testing.T, v any) []byte {
	t.Helper()
	raw, err := json.Marshal(v)
	must.NoError(t, err)
	return raw
}

// scarce is a connection limit at a member that is reached by two carriers.
const scarce = 10

func testConfig() topology.Config {
	route := func(database string, c topology.Consistency) topology.Route {
		return topology.Route{
			Name: database, Database: database, Group: testGroup, Consistency: c,
			MaxStaleness: 2 * time.Second, Timeout: 2 * time.Second, LatencyObjective: 2 * time.Second, Priority: 1,
		}
	}
	return topology.Config{
		Version: 1,
		Routes: []topology.Route{
			route("strict", topology.Strict), route("bounded", topology.BoundedStaleness), route("own", topology.ReadYourWrites),
		},
		Groups: []topology.Group{{Name: testGroup, MaxConnections: 40}},
	}
}

// newFleet starts n instances and waits until all know the primary.
func newFleet(t *testing.T, n int) *testFleet {
	t.Helper()
	return newFleetWith(t, n, testConfig())
}

func newFleetWith(t *testing.T, n int, config topology.Config) *testFleet {
	t.Helper()
	return newFleetOn(t, n, config, jsonDecoder{}, io.Discard)
}

// newFleetOn is newFleetWith with a decoder for the store's documents and a log output.
func newFleetOn(t *testing.T, n int, config topology.Config, decoder Decoder, output io.Writer) *testFleet {
	t.Helper()
	f := &testFleet{t: t, store: memstore.New(), group: membergroup.New(testGroup, testMembers...), decoder: decoder, output: output}
	f.store.Put("config", encodeJSON(t, config))
	for _, id := range testMembers {
		f.putMember(id)
	}
	for i := range n {
		f.start(fmt.Sprintf("instance-%d", i))
	}
	f.eventually("all instances know the primary", func() bool { return f.allUsePrimary("m1") })
	return f
}

func (f *testFleet) putMember(id string) {
	f.store.Put("members/"+id, encodeJSON(f.t, f.group.Entry(id)))
}

// start adds an instance.
func (f *testFleet) start(name string) *Instance {
	f.t.Helper()
	client := f.store.Client()
	proxy, err := faultproxy.New("")
	must.NoError(f.t, err)
	f.t.Cleanup(proxy.Close)
	log := logrus.New()
	log.SetOutput(f.output)
	log.SetLevel(logrus.DebugLevel)
	inst, err := New(Settings{
		Name: name, ClientListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", PeerAddress: proxy.Addr(), ReadyListen: "127.0.0.1:0", MetricsListen: "127.0.0.1:0",
		Grace: 6 * time.Second, LeaseTTL: 3 * time.Second, StoreSilence: 4 * time.Second, MaxClients: 100,
	}, Platform{
		Store: client, Promoter: f.group, Dialer: f.group, Decoder: f.decoder,
		Client: func(conn net.Conn) relay.ClientConn { return platform.NewClientConn(conn) },
		Ready:  func(ready func() bool) http.Handler { return http.NotFoundHandler() },
	}, log)
	must.NoError(f.t, err)
	must.NoError(f.t, inst.Start())
	proxy.SetTarget(inst.peerAddr)
	f.t.Cleanup(inst.close)
	f.instances = append(f.instances, inst)
	f.storeClients = append(f.storeClients, client)
	f.peerProxies = append(f.peerProxies, proxy)
	return inst
}

func (f *testFleet) allUsePrimary(id string) bool {
	for _, inst := range f.instances {
		if inst.ctx.Err() != nil {
			continue
		}
		if primary, err := inst.relay.PrimaryGuard(testGroup).Primary(); err != nil || primary.Primary != id {
			return false
		}
	}
	return true
}

// leader returns the index of the instance that leads the group, -1 for none.
func (f *testFleet) leader() int {
	for n, inst := range f.instances {
		if leader, revision := inst.view.Load().Leader(testGroup); revision > 0 && leader.Incarnation == inst.self.Incarnation {
			return n
		}
	}
	return -1
}

// eventually waits for a condition, up to a limit that only a fault exceeds.
func (f *testFleet) eventually(description string, condition func() bool) {
	f.t.Helper()
	for range 1500 {
		if condition() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("condition was not reached: %s", description)
}

// testClient speaks the line protocol.
type testClient struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
	next int
}

// startSession connects a client to an instance and completes the startup.
func (f *testFleet) startSession(n int, database string) *testClient {
	f.t.Helper()
	c := f.connect(n, database)
	must.Eq(f.t, []string{"READY I -"}, c.read())
	return c
}

// connect connects a client to an instance and sends the startup message.
func (f *testFleet) connect(n int, start string) *testClient {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.instances[n].ClientAddr())
	must.NoError(f.t, err)
	f.t.Cleanup(func() { conn.Close() })
	c := &testClient{t: f.t, conn: conn, r: bufio.NewReader(conn)}
	_, err = fmt.Fprintf(conn, "STARTUP %s\r\n", start)
	must.NoError(f.t, err)
	return c
}

// read returns the lines of one answer, or those received before the connection ended.
func (c *testClient) read() []string {
	var lines []string
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			return lines
		}
		line = strings.TrimSuffix(line, "\r\n")
		lines = append(lines, line)
		if strings.HasPrefix(line, "READY ") {
			return lines
		}
	}
}

// query runs a statement and returns the line before READY and the transaction state.
func (c *testClient) query(text string) (line, state string) {
	c.t.Helper()
	c.next++
	if _, err := fmt.Fprintf(c.conn, "QUERY id%d %s\r\n", c.next, text); err != nil {
		return "", ""
	}
	lines := c.read()
	if len(lines) < 2 {
		return "", ""
	}
	fields := strings.Fields(lines[len(lines)-1])
	return lines[len(lines)-2], fields[1]
}

func (c *testClient) must(text, state string) {
	c.t.Helper()
	line, got := c.query(text)
	must.StrHasPrefix(c.t, "COMPLETE", line, must.Sprintf("%s", text))
	must.Eq(c.t, state, got)
}

// writeUntilDone repeats a write until it is acknowledged.
func (c *testClient) writeUntilDone(key string) {
	c.t.Helper()
	for range 200 {
		line, _ := c.query("WRITE " + key + " x")
		if strings.HasPrefix(line, "COMPLETE") {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatalf("no write of %s was acknowledged", key)
}

var _ kv.Store = (*memstore.Client)(nil)
