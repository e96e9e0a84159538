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

func request(t testing.TB, inst *instance.Instance, method, path string, body any, into any) int {
	t.Helper()
	raw, err := json.Marshal(body)
	must.NoError(t, err)
	req, err := http.NewRequestWithContext(testContext(t), method, "http://"+inst.OperatorAddr()+path, bytes.NewReader(raw))
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	if into != nil {
		must.NoError(t, json.Unmarshal(text, into), must.Sprint(string(text)))
	}
	return resp.StatusCode
}

func service(name, version string, weight int) *resource.Resource {
	return &resource.Resource{
		Kind:     resource.KindService,
		Metadata: resource.Metadata{Name: name, ResourceVersion: version},
		Service:  &resource.ServiceSpec{Databases: []string{"roster"}, Weight: weight, QueueTimeout: resource.Duration(time.Second)},
	}
}

// awaitInForce follows the watch until the resource is in force everywhere.
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

func TestAcceptedConfigurationIsInForceEverywhere(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 5})
	eventually(t, "all know each other", func() bool {
		var p operator.Progress
		request(t, fleet.Instances[0], http.MethodGet, "/v1/resources/service/roster", nil, &p.Resource)
		return awaitInForce(t, fleet.Instances[4], "/v1/resources/service/roster").Instances == 5
	})
	var stored resource.Resource
	must.Eq(t, http.StatusOK, request(t, fleet.Instances[2], http.MethodPut, "/v1/resources/service/desk", service("desk", "", 1), &stored))
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

// Racing operators: exactly one change of a version is accepted, the others get
// the current version and lose nothing silently.
func TestRacingOperators(t *testing.T) {
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
				status := request(t, fleet.Instances[i%3], http.MethodPut, "/v1/resources/service/desk", service("desk", version, 1+i), &raw)
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

// A write whose answer is lost is settled by reading back; one that cannot be
// settled is answered as unknown, not as accepted.
func TestLostAnswersOfTheService(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 2})
	fleet.Store.LoseAnswers(2)
	var stored resource.Resource
	must.Eq(t, http.StatusOK, request(t, fleet.Instances[0], http.MethodPut, "/v1/resources/service/desk", service("desk", "", 1), &stored))
	awaitInForce(t, fleet.Instances[1], "/v1/resources/service/desk")
	fleet.Store.SetDown(true)
	var problem operator.Problem
	must.Eq(t, http.StatusGatewayTimeout, request(t, fleet.Instances[0], http.MethodPut, "/v1/resources/service/desk",
		service("desk", stored.Metadata.ResourceVersion, 2), &problem))
	must.Eq(t, "Unknown", problem.Reason)
}

// All findings of a document are reported at once, with their places.
func TestFindingsAreReportedTogether(t *testing.T) {
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

// An instance that starts while the service is down takes the newest snapshot
// of its peers, and refuses callers until it has one.
func TestStartWhileTheServiceIsDown(t *testing.T) {
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
	insertUntilServed(t, inst.ClientAddr(), 0)
}

// A service that comes back with older data than was accepted is noticed, and
// nothing goes back.
func TestServiceComesBackWithOlderData(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 2})
	restore := fleet.Store.Backup()
	must.Eq(t, http.StatusOK, request(t, fleet.Instances[0], http.MethodPut, "/v1/resources/service/desk", service("desk", "", 1), nil))
	awaitInForce(t, fleet.Instances[0], "/v1/resources/service/desk")
	revision := fleet.Instances[0].Revision()
	fleet.Store.SetDown(true)
	restore()
	fleet.Store.SetDown(false)
	eventually(t, "it is noticed", func() bool {
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

// A rolling restart of every instance under load fails no request beyond the
// clean closes: whatever a caller is refused with says that it was not run, and
// what was acknowledged is there.
func TestRollingRestart(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 3})
	var addrs []string
	for _, inst := range fleet.Instances {
		addrs = append(addrs, inst.ClientAddr())
	}
	fleet.PinCallerAddresses(addrs)
	var ledgers []*ledger
	for i, addr := range addrs {
		l := &ledger{outcomes: make(map[int]string)}
		l.wait.Add(1)
		go func() { defer l.wait.Done(); l.write(addr, (i+1)*100_000) }()
		ledgers = append(ledgers, l)
	}
	for i := range fleet.Instances {
		eventually(t, "load runs", func() bool { return ledgers[(i+1)%3].acked() > int64(20*(i+1)) })
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		fleet.Instances[i].Stop(ctx)
		cancel()
		_, err := fleet.StartInstance(i)
		must.NoError(t, err)
		insertUntilServed(t, addrs[i], 1_000_000*(i+1))
	}
	check := connect(t, addrs[0], "")
	for i, l := range ledgers {
		l.stop()
		l.verify(t, check)
		for id, outcome := range l.outcomes {
			if outcome == "unknown" {
				t.Errorf("instance %d: row %d has an unknown outcome: %v", i, id, l.last)
			}
		}
	}
}

// A long transaction does not hold up the others while its owner is stopped as
// planned, and ends by itself.
func TestPlannedStopDoesNotWaitOutLongTransactions(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 3})
	stopping := fleet.Owner()
	entry := fleet.Instances[entryOf(t, fleet)].ClientAddr()
	tx, err := connect(t, entry, "").Begin(testContext(t))
	must.NoError(t, err)
	_, err = tx.Exec(testContext(t), "INSERT INTO shifts VALUES (1, 'long', 'open')")
	must.NoError(t, err)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		fleet.Instances[stopping].Stop(ctx)
	}()
	eventually(t, "the stop has begun", func() bool { return !fleet.Instances[stopping].Ready() })
	load := startWriters(entry, 2)
	eventually(t, "others go on meanwhile", func() bool { return load.acked() > 30 })
	must.NoError(t, tx.Commit(testContext(t)))
	<-stopped
	before := load.acked()
	eventually(t, "others go on afterwards", func() bool { return load.acked() > before+30 })
	load.stop()
	check := connect(t, entry, "")
	must.Eq(t, 1, count(t, check, 1))
	load.verify(t, check)
	for id, outcome := range load.outcomes {
		must.NotEq(t, "unknown", outcome, must.Sprint(id, load.last))
	}
}

// The time line of all instances is one order, in which causes come first.
func TestTimelineOrdersAFailover(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 3})
	fleet.Group.ByName(primaryOf(fleet)).Kill()
	insertUntilServed(t, fleet.Instances[0].ClientAddr(), 0)
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
