package fleet

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/kv"
	"github.com/stackspindle/stackspindle/internal/standin/membergroup"
	"github.com/stackspindle/stackspindle/internal/standin/memstore"
)

func TestStatementsWithoutFaults(t *testing.T) {
	f := newFleet(t, 2)
	c := f.startSession(0, "own")
	c.must("SET colour blue", "I")
	c.must("PREPARE p WRITE shape1", "I")
	c.must("EXECUTE p 7 data", "I")
	c.must("BEGIN", "T")
	c.must("WRITE 8 data", "T")
	c.must("READ 8", "T")
	c.must("COMMIT", "I")
	c.must("BEGIN READ", "T")
	c.must("READ 8", "T")
	c.must("ROLLBACK", "I")
	line, state := c.query("READ 8")
	must.Eq(t, "I", state)
	must.StrHasPrefix(t, "COMPLETE", line)
	must.Len(t, 2, f.group.Log())
	for _, text := range f.group.Ran("m1") {
		must.StrContains(t, text, "colour=blue")
	}
}

func TestInvalidStatements(t *testing.T) {
	f := newFleet(t, 1)
	c := f.startSession(0, "own")
	for text, code := range map[string]string{
		"EXECUTE unknown 1":  "ERROR NOSTMT",
		"COMMIT":             "ERROR MALFORMED",
		"AFTER 1.1 READ x":   "ERROR MALFORMED",
		"STATUS":             "ERROR MALFORMED",
		"PREPARE p SIDEWAYS": "ERROR MALFORMED",
	} {
		line, state := c.query(text)
		must.StrHasPrefix(t, code, line, must.Sprint(text))
		must.Eq(t, "I", state)
	}
	c.must("READ 1", "I")
}

func TestSessionSettingsAreIsolated(t *testing.T) {
	f := newFleet(t, 1)
	blue, plain := f.startSession(0, "strict"), f.startSession(0, "strict")
	blue.must("SET colour blue", "I")
	for range 5 {
		blue.must("READ blue", "I")
		plain.must("READ plain", "I")
	}
	for _, text := range f.group.Ran("m1") {
		if strings.HasPrefix(text, "READ plain") {
			must.StrNotContains(t, text, "colour")
		} else {
			must.StrContains(t, text, "colour=blue")
		}
	}
}

func TestDeadPrimaryIsReplaced(t *testing.T) {
	for name, reach := range map[string]membergroup.Reachability{"refuses": membergroup.Down, "silent": membergroup.Unresponsive} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3)
			c := f.startSession(0, "own")
			c.writeUntilDone("before")
			f.group.SetReachability("m1", reach)
			c.writeUntilDone("after")
			must.NotEq(t, "m1", f.group.Primary())
			f.eventually("all use the new primary", func() bool { return f.allUsePrimary(f.group.Primary()) })
			must.Len(t, 1, f.group.Promotions())
		})
	}
}

func TestDrainingPrimaryIsReplacedWithoutLoss(t *testing.T) {
	f := newFleet(t, 2)
	c := f.startSession(0, "own")
	c.writeUntilDone("before")
	c.must("BEGIN", "T")
	c.must("WRITE 1 x", "T")
	entry := f.group.Entry("m1")
	entry.Draining = true
	f.store.Put("members/m1", encodeJSON(t, entry))
	c.must("COMMIT", "I")
	f.eventually("the primary is replaced", func() bool { return f.group.Primary() != "m1" })
	c.writeUntilDone("after")
	must.Len(t, 3, f.group.Log())
}

func TestStatementsRunDuringStoreOutage(t *testing.T) {
	f := newFleet(t, 2)
	for _, client := range f.storeClients {
		client.Set(memstore.Faults{Refuse: true})
	}
	for n := range f.instances {
		c := f.startSession(n, "own")
		c.must("WRITE 1 x", "I")
		c.must("READ 1", "I")
	}
}

// The store rejects the leader alone, its lease expires, and the primary dies: another instance
// must take over, with a higher fencing token.
func TestLeaderRejectedByStore(t *testing.T) {
	f := newFleet(t, 3)
	first := f.leader()
	must.NonNegative(t, first)
	f.storeClients[first].Set(memstore.Faults{Refuse: true})
	f.store.EndLease(leaseOf(f.instances[first]))
	f.group.SetReachability("m1", membergroup.Down)
	f.startSession(first, "own").writeUntilDone("after")
	promotions := f.group.Promotions()
	must.Len(t, 1, promotions)
	must.NotEq(t, f.instances[first].self.Name, promotions[0].Instance)
	must.Greater(t, uint64(1), promotions[0].FencingToken)
}

// Instances start while the members' entries, which expired during a store outage, are missing from
// the store. They must wait for the entries instead of replacing the primary.
func TestExpiredMemberEntriesAreAwaited(t *testing.T) {
	f := newFleet(t, 2)
	f.startSession(0, "own").writeUntilDone("before")
	for n, inst := range f.instances {
		f.store.EndLease(leaseOf(inst))
		inst.close()
		f.storeClients[n].Set(memstore.Faults{Refuse: true})
	}
	for _, id := range testMembers {
		f.store.Delete("members/" + id)
	}
	f.start("instance-0")
	f.start("instance-1")
	f.eventually("an instance leads", func() bool { return f.leader() >= 0 })
	time.Sleep(absenceOfEntries)
	for _, id := range testMembers {
		f.putMember(id)
	}
	f.startSession(2, "own").writeUntilDone("after")
	must.SliceEmpty(t, f.group.Promotions())
	for _, inst := range f.instances {
		for _, e := range inst.events.Since(0) {
			must.NotEq(t, "change", e.Kind, must.Sprint(e.Text))
		}
	}
}

// absenceOfEntries is how long the entries are missing in the test: several ticks of the leader's
// controller, but less than the two seconds for which they must be waited for.
const absenceOfEntries = 600 * time.Millisecond

func TestWriteWithUnknownOutcomeIsNotRetried(t *testing.T) {
	f := newFleet(t, 1)
	c := f.startSession(0, "strict")
	c.must("WRITE 0 x", "I")
	f.group.LoseAnswers("m1", 1)
	line, state := c.query("WRITE 1 x")
	must.StrHasPrefix(t, "ERROR INDOUBT", line)
	must.Eq(t, "I", state)
	must.Len(t, 2, f.group.Log())
}

func TestReadWithLostAnswerIsRetried(t *testing.T) {
	f := newFleet(t, 1)
	c := f.startSession(0, "own")
	c.must("WRITE 0 x", "I")
	for _, id := range testMembers[1:] {
		f.group.LoseAnswers(id, 1)
	}
	c.must("READ 0", "I")
}

// A read that failed at a member is retried at another. The failure: one member fails part of its
// statements for five seconds.
func TestFailedReadIsRetried(t *testing.T) {
	f := newFleet(t, 1)
	c := f.startSession(0, "own")
	c.must("WRITE 0 x", "I")
	for _, id := range testMembers[1:] {
		f.group.FailStatements(id, 1)
	}
	c.must("READ 0", "I")
}

// A read that fails at all members returns the failure to the client, and a failed write is not
// retried.
func TestFailureIsReturned(t *testing.T) {
	f := newFleet(t, 1)
	c := f.startSession(0, "own")
	c.must("WRITE 0 x", "I")
	const always = 100
	for _, id := range testMembers {
		f.group.FailStatements(id, always)
	}
	line, state := c.query("READ 0")
	must.StrHasPrefix(t, "ERROR FAILED", line)
	must.Eq(t, "I", state)
	for _, id := range testMembers {
		f.group.FailStatements(id, 0)
	}
	f.group.FailStatements("m1", 1)
	line, _ = c.query("WRITE 1 x")
	must.StrHasPrefix(t, "ERROR FAILED", line)
	must.Len(t, 1, f.group.Log())
}

// A transaction whose connection is lost has no effect, and its client gets an error that says so.
func TestTransactionAbortsWithItsConnection(t *testing.T) {
	f := newFleet(t, 1)
	c := f.startSession(0, "strict")
	c.must("BEGIN", "T")
	c.must("WRITE 0 x", "T")
	f.group.SetReachability("m1", membergroup.Down)
	line, state := c.query("WRITE 1 x")
	must.StrHasPrefix(t, "ERROR ABORTED", line)
	must.Eq(t, "I", state)
	must.SliceEmpty(t, f.group.Log())
}

func TestReadYourWrites(t *testing.T) {
	f := newFleet(t, 1)
	c := f.startSession(0, "own")
	for _, id := range testMembers[1:] {
		f.group.SetLagging(id, true)
	}
	for n := range 5 {
		c.must("WRITE 1 x", "I")
		lines := c.rows("READ 1")
		must.Eq(t, []string{"ROW " + string(rune('1'+n))}, lines)
	}
}

// The store's answer to the write that announces a change of the primary is lost. The leader reads
// the record back, and the change is made once.
func TestLostStoreAnswersDuringPrimaryChange(t *testing.T) {
	f := newFleet(t, 2)
	f.startSession(0, "own").writeUntilDone("before")
	for _, client := range f.storeClients {
		client.Set(memstore.Faults{LoseWrites: 3})
	}
	f.group.SetReachability("m1", membergroup.Down)
	f.startSession(1, "own").writeUntilDone("after")
	must.Len(t, 1, f.group.Promotions())
}

func TestCompactedHistoryIsReadAgain(t *testing.T) {
	f := newFleet(t, 1)
	f.store.Delete("members/m3")
	f.store.Compact()
	config := testConfig()
	config.Version = 2
	config.Routes = config.Routes[:1]
	f.store.Put("config", encodeJSON(t, config))
	f.eventually("the new configuration is in force", func() bool { return f.instances[0].topology.Load().Version == 2 })
}

// A watch that gets neither updates nor the notice of a compaction must end, and the store be read
// again, within the bound on unresponsive stores. Longer watches broke the bound on how soon a
// configuration must be in force.
func TestWatchesEndInTime(t *testing.T) {
	for _, timeout := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second} {
		must.Less(t, timeout, watchWait(timeout)+watchSlack)
		must.Positive(t, watchWait(timeout))
	}
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	f := newFleet(t, 1)
	config := testConfig()
	config.Version = 0
	config.Routes = nil
	f.store.Put("config", encodeJSON(t, config))
	later := f.group.Entry("m2")
	later.ID = "m4"
	f.store.Put("members/m4", encodeJSON(t, later))
	f.eventually("the later entry is seen", func() bool { return len(f.instances[0].topology.Load().MembersOf(testGroup)) == 4 })
	must.Eq(t, 1, f.instances[0].topology.Load().Version)
}

func TestPlannedStopFinishesOpenWork(t *testing.T) {
	f := newFleet(t, 2)
	c := f.startSession(0, "strict")
	c.must("BEGIN", "T")
	c.must("WRITE 1 x", "T")
	stopped := make(chan struct{})
	go func() {
		f.instances[0].Stop()
		close(stopped)
	}()
	f.eventually("the stop has begun", f.instances[0].stopping.Load)
	c.must("WRITE 2 x", "T")
	c.must("COMMIT", "I")
	<-stopped
	must.Len(t, 2, f.group.Log())
	must.SliceEmpty(t, c.read())
	f.startSession(1, "strict").writeUntilDone("after")
}

// A statement that arrives just before its session is closed by a planned stop is answered.
func TestStatementDuringPlannedStopIsAnswered(t *testing.T) {
	f := newFleet(t, 2)
	clients := make([]*testClient, 20)
	for n := range clients {
		clients[n] = f.startSession(0, "strict")
	}
	stopped := make(chan struct{})
	go func() {
		f.instances[0].Stop()
		close(stopped)
	}()
	var wg sync.WaitGroup
	cut := make(chan string, len(clients))
	for _, c := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				line, _ := c.query("WRITE 1 x")
				if !strings.HasPrefix(line, "COMPLETE") {
					cut <- line
					return
				}
			}
		}()
	}
	wg.Wait()
	<-stopped
	close(cut)
	for line := range cut {
		must.Eq(t, "", line, must.Sprint("closed between two statements, not refused"))
	}
}

// With fewer connections than instances, some instances are carriers and hold them; the others
// forward their clients' statements to a carrier.
func TestInstancesForwardToCarriers(t *testing.T) {
	config := testConfig()
	config.Groups[0].MaxConnections = scarce
	f := newFleetWith(t, 5, config)
	f.eventually("the carriers are known", func() bool { return len(f.carriers()) == 2 })
	for n := range f.instances {
		c := f.startSession(n, "own")
		c.must("SET colour blue", "I")
		c.must("PREPARE p WRITE shape1", "I")
		c.must("EXECUTE p 7 data", "I")
		c.must("BEGIN", "T")
		c.must("EXECUTE p 8 data", "T")
		c.must("READ 8", "T")
		c.must("COMMIT", "I")
		must.Eq(t, []string{fmt.Sprintf("ROW %d", 2*n+2)}, c.rows("READ 8"), must.Sprint("the session's own work"))
		c.must("BEGIN", "T")
		c.must("WRITE 9 x", "T")
		c.must("ROLLBACK", "I")
		c.must("BEGIN", "T")
		c.must("WRITE 9 x", "T")
		c.conn.Close()
	}
	must.Len(t, 2*len(f.instances), f.group.Log())
	for _, text := range f.group.Ran("m1") {
		must.StrContains(t, text, "colour=blue")
	}
}

// The connection between an ingress instance and a carrier stops working without an error while a
// transaction is open on the carrier. The carrier must release the member's connection in time.
// When it did not, both connections of the carriers were lost in this way, and the group became
// unavailable.
func TestCarrierAbortsTransactionsOfUnresponsiveInstances(t *testing.T) {
	config := testConfig()
	config.Groups[0].MaxConnections = scarce
	f := newFleetWith(t, 5, config)
	f.eventually("the carriers are known", func() bool { return len(f.carriers()) == 2 })
	for n := range f.instances {
		if f.carriers()[n] {
			continue
		}
		c := f.startSession(n, "strict")
		c.must("BEGIN", "T")
		c.must("WRITE 1 x", "T")
	}
	for n := range f.carriers() {
		f.peerProxies[n].FreezeOpenConns()
	}
	f.eventually("no connection is held", func() bool {
		for n := range f.carriers() {
			var metrics strings.Builder
			f.instances[n].upstreams.WriteMetrics(&metrics)
			if strings.Contains(metrics.String(), `stackspindle_member_in_use{group="orders",member="m1"}`) &&
				!strings.Contains(metrics.String(), `stackspindle_member_in_use{group="orders",member="m1"} 0`) {
				return false
			}
		}
		return true
	})
	f.startSession(0, "strict").writeUntilDone("after")
}

func TestCarrierStopAndCrash(t *testing.T) {
	config := testConfig()
	config.Groups[0].MaxConnections = scarce
	f := newFleetWith(t, 5, config)
	f.eventually("the carriers are known", func() bool { return len(f.carriers()) == 2 })
	ingress := -1
	for n := range f.instances {
		if !f.carriers()[n] {
			ingress = n
		}
	}
	c := f.startSession(ingress, "own")
	c.writeUntilDone("before")
	for n := range f.carriers() {
		if n%2 == 0 {
			f.instances[n].Stop()
		} else {
			f.store.EndLease(leaseOf(f.instances[n]))
			f.storeClients[n].Set(memstore.Faults{Refuse: true})
			f.instances[n].close()
		}
	}
	c.writeUntilDone("after")
}

// carriers returns the indexes of the instances that serve the group.
func (f *testFleet) carriers() map[int]bool {
	carriers := make(map[int]bool)
	for n, inst := range f.instances {
		if inst.relay.Serves(testGroup) {
			carriers[n] = true
		}
	}
	return carriers
}

func leaseOf(i *Instance) kv.LeaseID { return kv.LeaseID(i.lease.Load()) }

// rows returns the rows of an answer.
func (c *testClient) rows(text string) []string {
	c.t.Helper()
	c.next++
	_, err := c.conn.Write([]byte("QUERY r" + string(rune('a'+c.next%26)) + " " + text + "\r\n"))
	must.NoError(c.t, err)
	var rows []string
	for _, line := range c.read() {
		if strings.HasPrefix(line, "ROW") {
			rows = append(rows, line)
		}
	}
	return rows
}

// An instance that the store rejects gets a new configuration from the others. When it did not, it
// refused databases that had been added seconds before.
func TestConfigurationReachesInstanceRejectedByStore(t *testing.T) {
	f := newFleet(t, 4)
	for _, client := range f.storeClients[1:] {
		client.Set(memstore.Faults{Refuse: true})
	}
	config := testConfig()
	config.Version = 2
	config.Routes = config.Routes[:1]
	f.store.Put("config", encodeJSON(t, config))
	for _, inst := range f.instances {
		f.eventually("the new configuration is in force", func() bool { return inst.topology.Load().Version == 2 })
	}
}

// In a small data centre a single instance watches the store, and the others poll it.
func TestFewInstancesWatchTheStore(t *testing.T) {
	f := newFleet(t, 6)
	config := testConfig()
	for n := range 5 {
		config.Version++
		f.store.Put("config", encodeJSON(t, config))
		f.eventually(fmt.Sprintf("change %d is in force everywhere", n), func() bool {
			for _, inst := range f.instances {
				if inst.topology.Load().Version != config.Version {
					return false
				}
			}
			return true
		})
	}
	f.eventually("one instance watches", func() bool { return f.store.Watching() == 1 })
}
