package relay

import (
	"testing"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/placement"
)

// Of a thousand groups, an instance serves few. A guard is created when a group is first used
// there, and must start with the record that was last read from the store.
func TestNewGuardHasStoredRecord(t *testing.T) {
	f := newFixture(t)
	f.relay.storedRecord = func(group string) StoredRecord {
		return StoredRecord{Record: lead.Record{Group: group, Primary: "m7", Term: 3}, Revision: 9, ConfirmedAt: f.relay.now()}
	}
	ref, err := f.relay.PrimaryGuard("later").Primary()
	must.NoError(t, err)
	must.Eq(t, lead.PrimaryRef{Primary: "m7", Term: 3, Revision: 9}, ref)
	guards := 0
	f.relay.ForEachPrimaryGuard(func(string, *lead.PrimaryGuard) { guards++ })
	must.Eq(t, 2, guards)
	f.relay.storedRecord = func(string) StoredRecord { return StoredRecord{} }
	_, err = f.relay.PrimaryGuard("unknown").Primary()
	must.Error(t, err)
}

// Groups move between instances for weeks. The state of a member whose group this instance no
// longer serves must be dropped after a while.
func TestUnservedMembersAreForgotten(t *testing.T) {
	f := newFixture(t)
	upstreams, now := f.relay.upstreams, time.Hour
	upstreams.now = func() time.Duration { return now }
	upstreams.Update(f.snap, &PlacementSnapshot{
		self:     "here",
		carriers: immutable.NewMap[string, placement.Carriers](nil).Set("g", servedElsewhere(t)),
	}, "")
	must.NotNil(t, upstreams.find("m1"))
	upstreams.RecordAnswer("m1")
	now += forgetUnservedAfter - 1
	upstreams.Shrink()
	must.NotNil(t, upstreams.find("m1"))
	now++
	upstreams.Shrink()
	must.Nil(t, upstreams.find("m1"))
	must.NotNil(t, upstreams.get("m1"), must.Sprint("used again"))
}

// servedElsewhere returns carriers of a group that do not include the instance "here".
func servedElsewhere(t *testing.T) placement.Carriers {
	t.Helper()
	c := placement.Place([]placement.Group{{Name: "g", MaxConnections: 10, MemberDataCentres: []string{"a"}}}, placement.Fleet{Registered: 100})["g"]
	c.Names = []string{"elsewhere"}
	return c
}
