package bench

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/instance"
	"github.com/stackspindle/stackspindle/internal/resource"
	"github.com/stackspindle/stackspindle/internal/standin"
)

const (
	configInstances = 9
	configChanges   = 40
)

// BenchmarkConfiguration measures the time from the acceptance of a change until it
// is in force on all nine instances. The platform's store is healthy, slow (500 ms
// per call), or down from the moment of acceptance on.
func BenchmarkConfiguration(b *testing.B) {
	for _, state := range []string{"healthy", "slow", "down-after-acceptance"} {
		b.Run(state, func(b *testing.B) {
			for b.Loop() {
				measureConfiguration(b, state)
			}
		})
	}
}

func measureConfiguration(b *testing.B, state string) {
	fleet := startFleet(b, standin.Options{Instances: configInstances})
	time.Sleep(2 * time.Second) // until the instances have discovered one another
	if state == "slow" {
		fleet.Store.SetSlow(500 * time.Millisecond)
	}
	rec := newLatencyRecorder()
	calls := fleet.Store.Calls()
	started := time.Now()
	for i := range configChanges {
		inst := fleet.Instances[i%configInstances]
		revision := putService(b, inst, fmt.Sprintf("desk-%d", i))
		accepted := time.Now()
		if state == "down-after-acceptance" {
			fleet.Store.SetDown(true)
		}
		for !inForceEverywhere(fleet, revision) {
			if time.Since(accepted) > waitTimeout {
				b.Fatal("the change is not in force on all instances in time")
			}
			time.Sleep(time.Millisecond)
		}
		rec.record(time.Since(accepted))
		fleet.Store.SetDown(false)
	}
	b.ReportMetric(float64(rec.hist.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(rec.hist.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(fleet.Store.Calls()-calls)/configChanges, "calls/change")
	b.ReportMetric(float64(fleet.Store.Calls()-calls)/time.Since(started).Seconds(), "calls/s")
	fleet.Close()
}

// inForceEverywhere reports whether all instances have reached the revision.
func inForceEverywhere(fleet *standin.Fleet, revision int64) bool {
	for _, inst := range fleet.Instances {
		if inst.Revision() < revision {
			return false
		}
	}
	return true
}

// putService stores a new service and returns its revision.
func putService(b *testing.B, inst *instance.Instance, name string) int64 {
	raw, err := json.Marshal(resource.Resource{
		Kind:     resource.KindService,
		Metadata: resource.Metadata{Name: name},
		Service:  &resource.ServiceSpec{Databases: []string{"roster"}, Weight: 1, QueueTimeout: resource.Duration(time.Second)},
	})
	must.NoError(b, err)
	for {
		req, err := http.NewRequest(http.MethodPut, "http://"+inst.OperatorAddr()+"/v1/resources/service/"+name, bytes.NewReader(raw))
		must.NoError(b, err)
		resp, err := http.DefaultClient.Do(req)
		must.NoError(b, err)
		payload, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		must.NoError(b, err)
		if resp.StatusCode == http.StatusGatewayTimeout {
			continue // the store was down just before; sending the same document again is idempotent
		}
		must.Eq(b, http.StatusOK, resp.StatusCode, must.Sprint(string(payload)))
		var stored resource.Resource
		must.NoError(b, json.Unmarshal(payload, &stored))
		var revision int64
		_, err = fmt.Sscan(stored.Metadata.ResourceVersion, &revision)
		must.NoError(b, err)
		return revision
	}
}
