package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/instance"
	"github.com/stackspindle/stackspindle/internal/operator"
	"github.com/stackspindle/stackspindle/internal/resource"
	"github.com/stackspindle/stackspindle/internal/standin"
)

// request sends an HTTP request to the operator API of an instance, decodes the JSON
// response into `into` unless it is nil, and returns the status code.
func request(t testing.TB, inst *instance.Instance, method, path string, body any, into any) int {
	t.Helper()
	raw, err := json.Marshal(body)
	must.NoError(t, err)
	req, err := http.NewRequestWithContext(testContext(t), method, "http://"+inst.OperatorAddr()+path, bytes.NewReader(raw))
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	payload, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	if into != nil {
		must.NoError(t, json.Unmarshal(payload, into), must.Sprint(string(payload)))
	}
	return resp.StatusCode
}

// serviceResource returns a service resource; version "" creates it.
func serviceResource(name, version string, weight int) *resource.Resource {
	return &resource.Resource{
		Kind:     resource.KindService,
		Metadata: resource.Metadata{Name: name, ResourceVersion: version},
		Service:  &resource.ServiceSpec{Databases: []string{"roster"}, Weight: weight, QueueTimeout: resource.Duration(time.Second)},
	}
}

// awaitInForce reads the watch until it ends, which must be when the resource is in
// force on all instances, and returns the last progress.
func awaitInForce(t testing.TB, inst *instance.Instance, path string) operator.Progress {
	t.Helper()
	req, err := http.NewRequestWithContext(testContext(t), http.MethodGet, "http://"+inst.OperatorAddr()+path+"/watch", nil)
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	var last operator.Progress
	decoder := json.NewDecoder(resp.Body)
	for {
		var p operator.Progress
		if err := decoder.Decode(&p); err != nil {
			must.ErrorIs(t, err, io.EOF)
			break
		}
		last = p
	}
	must.True(t, last.InForce)
	return last
}

// A change is in force on all instances when the watch says so, and a deletion
// reaches all of them.
func TestConfigurationReachesAllInstances(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 5})
	eventually(t, "all instances are members of the fleet", func() bool {
		var p operator.Progress
		request(t, fleet.Instances[0], http.MethodGet, "/v1/resources/service/roster", nil, &p.Resource)
		return awaitInForce(t, fleet.Instances[4], "/v1/resources/service/roster").Instances == 5
	})
	var stored resource.Resource
	must.Eq(t, http.StatusOK, request(t, fleet.Instances[2], http.MethodPut, "/v1/resources/service/desk", serviceResource("desk", "", 1), &stored))
	p := awaitInForce(t, fleet.Instances[2], "/v1/resources/service/desk")
	must.Eq(t, 5, p.Instances)
	must.Eq(t, int64(1), p.Resource.Status.ObservedGeneration)
	for _, inst := range fleet.Instances {
		conn := connect(t, inst.ClientAddr(), "")
		must.NoError(t, conn.Ping(testContext(t)))
		var seen resource.Resource
		must.Eq(t, http.StatusOK, request(t, inst, http.MethodGet, "/v1/resources/service/desk", nil, &seen))
		must.Eq(t, stored.Metadata.ResourceVersion, seen.Metadata.ResourceVersion)
	}
	must.Eq(t, http.StatusNoContent, request(t, fleet.Instances[0], http.MethodDelete, "/v1/resources/service/desk", nil, nil))
	for _, inst := range fleet.Instances {
		eventually(t, "the service is gone", func() bool {
			return request(t, inst, http.MethodGet, "/v1/resources/service/desk", nil, nil) == http.StatusNotFound
		})
	}
}

// Guards against lost updates: of several concurrent changes based on the same
// resource version exactly one must be accepted. The others must get a conflict
// with the current version.
func TestConcurrentUpdatesConflict(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 3})
	version := ""
	for round := range 5 {
		var mu sync.Mutex
		var wait sync.WaitGroup
		accepted := 0
		next := ""
		for i := range 6 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				var raw json.RawMessage
				status := request(t, fleet.Instances[i%3], http.MethodPut, "/v1/resources/service/desk", serviceResource("desk", version, 1+i), &raw)
				mu.Lock()
				defer mu.Unlock()
				if status == http.StatusOK {
					accepted++
					var stored resource.Resource
					must.NoError(t, json.Unmarshal(raw, &stored))
					next = stored.Metadata.ResourceVersion
					return
				}
				var problem operator.Problem
				must.NoError(t, json.Unmarshal(raw, &problem))
				must.Eq(t, http.StatusConflict, status)
				must.NotEq(t, "", problem.Version)
			}()
		}
		wait.Wait()
		must.Eq(t, 1, accepted, must.Sprint("round", round))
		version = next
	}
}

// When the store's response to a write is lost, the instance must find out the
// outcome by reading the resource back. If it cannot, it must report the outcome as
// unknown, not as accepted.
func TestLostStoreResponses(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 2})
	fleet.Store.LoseAnswers(2)
	var stored resource.Resource
	must.Eq(t, http.StatusOK, request(t, fleet.Instances[0], http.MethodPut, "/v1/resources/service/desk", serviceResource("desk", "", 1), &stored))
	awaitInForce(t, fleet.Instances[1], "/v1/resources/service/desk")
	fleet.Store.SetDown(true)
	var problem operator.Problem
	must.Eq(t, http.StatusGatewayTimeout, request(t, fleet.Instances[0], http.MethodPut, "/v1/resources/service/desk",
		serviceResource("desk", stored.Metadata.ResourceVersion, 2), &problem))
	must.Eq(t, "Unknown", problem.Reason)
}

// Validation must report all findings of a document at once, each with its place in
// the document, instead of stopping at the first.
func TestValidationReportsAllFindings(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 1})
	bad := &resource.Resource{
		Kind:     resource.KindDatabase,
		Metadata: resource.Metadata{Name: "ledger"},
		Database: &resource.DatabaseSpec{
			Connections:     -1,
			Members:         []resource.Member{{Name: "A b", Address: "nowhere"}, {Name: "m", Address: "127.0.0.1:0"}},
			Acknowledgement: "maybe",
		},
	}
	var problem operator.Problem
	must.Eq(t, http.StatusUnprocessableEntity, request(t, fleet.Instances[0], http.MethodPut, "/v1/resources/database/ledger", bad, &problem))
	must.GreaterEq(t, 6, len(problem.Findings), must.Sprint(problem.Findings))
}

// An instance that starts while the store is down must load the newest snapshot of
// its peers, and must refuse clients until it has one.
func TestStartWhileStoreIsDown(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 3})
	seeds := fleet.Seeds()
	fleet.Kill(2)
	fleet.Store.SetDown(true)
	inst, err := fleet.StartInstance(2)
	must.NoError(t, err)
	_, err = dial(testContext(t), inst.ClientAddr(), "")
	must.Eq(t, "57P03", sqlState(err), must.Sprint("without peers there is no configuration"))
	fleet.Kill(2)
	fleet.SetSeeds(seeds)
	inst, err = fleet.StartInstance(2)
	must.NoError(t, err)
	eventually(t, "the configuration is in force", func() bool { return inst.Revision() == fleet.Instances[0].Revision() })
	insertUntilAcknowledged(t, inst.ClientAddr(), 0)
}

// When the store is restored from a backup that is older than accepted changes, the
// instances must report it and keep the newer configuration.
func TestStoreRestoredFromOlderBackup(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 2})
	restore := fleet.Store.Backup()
	must.Eq(t, http.StatusOK, request(t, fleet.Instances[0], http.MethodPut, "/v1/resources/service/desk", serviceResource("desk", "", 1), nil))
	awaitInForce(t, fleet.Instances[0], "/v1/resources/service/desk")
	revision := fleet.Instances[0].Revision()
	fleet.Store.SetDown(true)
	restore()
	fleet.Store.SetDown(false)
	eventually(t, "a store-behind event", func() bool {
		for _, inst := range fleet.Instances {
			for _, e := range inst.Events(0) {
				if e.Kind == "store-behind" {
					return true
				}
			}
		}
		return false
	})
	for _, inst := range fleet.Instances {
		must.Eq(t, revision, inst.Revision())
		must.Eq(t, http.StatusOK, request(t, inst, http.MethodGet, "/v1/resources/service/desk", nil, nil))
	}
}

// A rolling restart of all instances under load must leave no write with an unknown
// outcome: instances close connections between statements, every error says that the
// statement was not run, and no acknowledged row is lost.
func TestRollingRestart(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 3})
	var addrs []string
	for _, inst := range fleet.Instances {
		addrs = append(addrs, inst.ClientAddr())
	}
	fleet.PinClientAddresses(addrs)
	var logs []*writeLog
	for i, addr := range addrs {
		l := &writeLog{outcomes: make(map[int]string)}
		l.wg.Add(1)
		go func() { defer l.wg.Done(); l.write(addr, (i+1)*100_000) }()
		logs = append(logs, l)
	}
	for i := range fleet.Instances {
		eventually(t, "load runs", func() bool { return logs[(i+1)%3].acknowledged() > int64(20*(i+1)) })
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		fleet.Instances[i].Stop(ctx)
		cancel()
		_, err := fleet.StartInstance(i)
		must.NoError(t, err)
		insertUntilAcknowledged(t, addrs[i], 1_000_000*(i+1))
	}
	check := connect(t, addrs[0], "")
	for i, l := range logs {
		l.stop()
		l.verify(t, check)
		for id, outcome := range l.outcomes {
			if outcome == "unknown" {
				t.Errorf("instance %d: row %d has an unknown outcome: %v", i, id, l.lastErr)
			}
		}
	}
}

// While a planned stop of the owner waits for a long transaction, the statements of
// other clients must proceed, and the transaction must be able to commit.
func TestPlannedStopWithLongTransaction(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 3})
	stopping := fleet.Owner()
	ingress := fleet.Instances[nonOwnerIndex(t, fleet)].ClientAddr()
	tx, err := connect(t, ingress, "").Begin(testContext(t))
	must.NoError(t, err)
	_, err = tx.Exec(testContext(t), "INSERT INTO shifts VALUES (1, 'long', 'open')")
	must.NoError(t, err)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		fleet.Instances[stopping].Stop(ctx)
	}()
	eventually(t, "the stop has begun", func() bool { return !fleet.Instances[stopping].Ready() })
	load := startWriters(ingress, 2)
	eventually(t, "other writes proceed during the stop", func() bool { return load.acknowledged() > 30 })
	must.NoError(t, tx.Commit(testContext(t)))
	<-stopped
	before := load.acknowledged()
	eventually(t, "other writes proceed after the stop", func() bool { return load.acknowledged() > before+30 })
	load.stop()
	check := connect(t, ingress, "")
	must.Eq(t, 1, countRows(t, check, 1))
	load.verify(t, check)
	for id, outcome := range load.outcomes {
		must.NotEq(t, "unknown", outcome, must.Sprint(id, load.lastErr))
	}
}

// The merged time line of all instances must be a total order that has causes before
// their effects, as logical clocks give it.
func TestTimelineOrdersFailoverEvents(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 3})
	fleet.Group.ByName(primaryOf(fleet)).Kill()
	insertUntilAcknowledged(t, fleet.Instances[0].ClientAddr(), 0)
	var line operator.Timeline
	eventually(t, "the whole failover is on the time line", func() bool {
		request(t, fleet.Instances[0], http.MethodGet, "/v1/timeline?group=roster", nil, &line)
		kinds := ""
		for _, e := range line.Events {
			kinds += e.Kind + " "
		}
		return bytes.Contains([]byte(kinds), []byte("primary-lost fence promote serving"))
	})
	for i := 1; i < len(line.Events); i++ {
		must.Less(t, line.Events[i].Clock, line.Events[i-1].Clock, must.Sprint(fmt.Sprint(line.Events[i])))
	}
}
