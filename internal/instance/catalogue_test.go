package instance

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/pgserver"
	"github.com/stackspindle/stackspindle/internal/resource"
	"github.com/stackspindle/stackspindle/internal/rollout"
)

func snapshotOf(t testing.TB, services int) *rollout.Snapshot {
	entries := make([]rollout.Entry, 0, services+1)
	add := func(kind resource.Kind, name string, r resource.Resource) {
		r.Kind, r.Metadata.Name = kind, name
		raw, err := json.Marshal(r)
		must.NoError(t, err)
		entries = append(entries, rollout.Entry{Key: rollout.Key{Kind: string(kind), Name: name}, Document: string(raw), Revision: int64(len(entries) + 1)})
	}
	add(resource.KindDatabase, "roster", resource.Resource{Database: &resource.DatabaseSpec{Connections: 8}})
	for i := range services {
		add(resource.KindService, fmt.Sprintf("s%d", i), resource.Resource{Service: &resource.ServiceSpec{Databases: []string{"roster", "none"}, Weight: 1}})
	}
	return rollout.Empty().Merge(0, entries)
}

func TestServiceLookup(t *testing.T) {
	i := &Instance{}
	var ignored []string
	report := func(key, _ string) { ignored = append(ignored, key) }
	i.catalogue.Store(newCatalogue(rollout.Empty(), nil, report))
	_, err := i.Service("s1", "roster")
	must.ErrorIs(t, err, pgserver.ErrNoConfig)
	broken := rollout.Entry{Key: rollout.Key{Kind: "Service", Name: "newer"}, Document: "{", Revision: 99}
	i.catalogue.Store(newCatalogue(snapshotOf(t, 3).Merge(0, []rollout.Entry{broken}), nil, report))
	s, err := i.Service("s1", "roster")
	must.NoError(t, err)
	must.Eq(t, "roster", s.Group)
	_, err = i.Service("s1", "none")
	must.ErrorIs(t, err, pgserver.ErrNoDatabase)
	_, err = i.Service("s9", "roster")
	must.ErrorIs(t, err, pgserver.ErrNoService)
	must.Eq(t, []string{"Service/newer"}, ignored)
}

// BenchmarkCatalogue measures the decoding of a snapshot, which every configuration
// change causes.
func BenchmarkCatalogue(b *testing.B) {
	for _, n := range []int{1000, 2000, 4000} {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			s := snapshotOf(b, n)
			for b.Loop() {
				newCatalogue(s, nil, func(string, string) {})
			}
		})
	}
}
