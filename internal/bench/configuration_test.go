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

// BenchmarkConfiguration measures the time from an accepted change until it is
// in force on all of nine instances, with the platform's service healthy, slow
// (500 ms a call), and down from the moment of acceptance.
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
	time.Sleep(2 * time.Second) // until all know one another
	if state == "slow" {
		fleet.Store.SetSlow(500 * time.Millisecond)
	}
	rec := newRecorder()
	calls := fleet.Store.Calls()
	started := time.Now()
	for i := range configChanges {
		inst := fleet.Instances[i%configInstances]
		revision := putService(b, inst, fmt.Sprintf("desk-%d", i))
		accepted := time.Now()
		if state == "down-after-acceptance" {
			fleet.Store.SetDown(true)
		}
		for !inForce(fleet, revision) {
			if time.Since(accepted) > patience {
				b.Fatal("not in force everywhere")
			}
			time.Sleep(time.Millisecond)
		}
		rec.add(time.Since(accepted))
		fleet.Store.SetDown(false)
	}
	b.ReportMetric(float64(rec.hist.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(rec.hist.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(fleet.Store.Calls()-calls)/configChanges, "calls/change")
	b.ReportMetric(float64(fleet.Store.Calls()-calls)/time.Since(started).Seconds(), "calls/s")
	fleet.Close()
}

func inForce(fleet *standin.Fleet, revision int64) bool {
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
		text, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		must.NoError(b, err)
		if resp.StatusCode == http.StatusGatewayTimeout {
			continue // the service was down a moment ago; the same document settles it
		}
		must.Eq(b, http.StatusOK, resp.StatusCode, must.Sprint(string(text)))
		var stored resource.Resource
		must.NoError(b, json.Unmarshal(text, &stored))
		var revision int64
		_, err = fmt.Sscan(stored.Metadata.ResourceVersion, &revision)
		must.NoError(b, err)
		return revision
	}
}
