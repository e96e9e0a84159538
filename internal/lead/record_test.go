package lead

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/placement"
)

// An instance that does not tell what it can bear writes the same entry as one of a version
// that knows nothing of that, and one that does reads the same as it wrote.
func TestRegistrationWithAndWithoutStrength(t *testing.T) {
	plain := Instance{Name: "i", Incarnation: "x", Address: "10.0.0.1:1", DataCentre: "a"}
	must.Eq(t, `{"name":"i","incarnation":"x","address":"10.0.0.1:1","data_centre":"a"}`, string(encode(plain)))
	strong := plain
	strong.Strength = placement.Capacity{Cores: 0.8 * 1.1, LinkMbps: 200, MemoryMB: 536, Descriptors: 8192}
	read, err := decode[Instance](encode(strong))
	must.NoError(t, err)
	must.True(t, read == strong)
}
