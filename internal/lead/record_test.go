package lead

import (
	"testing"

	"github.com/shoenig/test/must"

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
