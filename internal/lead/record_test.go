package lead

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/placement"
)

// An entry without a capacity must equal that of a version that does not know the field,
// and an entry with a capacity must survive a round trip.
func TestRegistrationWithAndWithoutCapacity(t *testing.T) {
	plain := Instance{Name: "i", Incarnation: "x", Address: "10.0.0.1:1", DataCentre: "a"}
	must.Eq(t, `{"name":"i","incarnation":"x","address":"10.0.0.1:1","data_centre":"a"}`, string(encode(plain)))
	withCapacity := plain
	withCapacity.Capacity = placement.Capacity{Cores: 0.8 * 1.1, LinkMbps: 200, MemoryMB: 536, Descriptors: 8192}
	read, err := decode[Instance](encode(withCapacity))
	must.NoError(t, err)
	must.True(t, read == withCapacity)
}

// A record without a term start must equal that of a version that does not know the field,
// and a term start must survive a round trip.
func TestRecordWithAndWithoutTermStart(t *testing.T) {
	record := Record{Group: "g", Generation: 2, Leader: "i", Primary: "m1", Term: 1}
	must.Eq(t, `{"group":"g","generation":2,"leader":"i","primary":"m1","term":1}`, string(encode(record)))
	promoted := record.afterPromotion("m2", 3, group.Position{Term: 1, Index: 8})
	must.Eq(t, `{"group":"g","generation":2,"leader":"i","primary":"m2","term":3,"term_start":{"term":1,"index":8}}`, string(encode(promoted)))
	read, err := decode[Record](encode(promoted))
	must.NoError(t, err)
	must.Eq(t, promoted, read)
	must.Eq(t, promoted, promoted.afterPromotion("m2", 3, group.Position{Term: 3, Index: 9}), must.Sprint("it was the primary already"))
}
