package lead

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/locality"
)

// An instance asks enough others for a quorum and some spare ones, its own data centre
// first. Different instances start with different others, so that each instance is asked.
func TestAttestors(t *testing.T) {
	var all []Instance
	for n := range 71 {
		all = append(all, Instance{Name: fmt.Sprint(n), DataCentre: fmt.Sprint("dc", n%3)})
	}
	needed := AttestQuorum(len(all))
	asked := make(map[string]int)
	for _, self := range all {
		others := attestors(all, self, needed, locality.Map{})
		must.Len(t, needed-1+7, others)
		must.SliceNotContains(t, others, self)
		for i, other := range others {
			asked[other.Name]++
			must.False(t, other.DataCentre == self.DataCentre && i >= 24, must.Sprint("instances of the own data centre come first"))
		}
		must.Eq(t, len(others), len(slices.Compact(slices.Sorted(slices.Values(names(others))))))
	}
	for _, i := range all {
		must.Positive(t, asked[i.Name])
	}
	must.Len(t, 4, attestors(all[:7], all[0], AttestQuorum(7), locality.Map{}))
	must.SliceEmpty(t, attestors(all[:1], all[0], AttestQuorum(1), locality.Map{}))
}

// While the store is unavailable to all instances, an instance asks those of its own region
// first, and of another region only as many as are needed for a quorum and the spare ones.
func TestAttestorsPreferOwnRegion(t *testing.T) {
	var all []Instance
	for n := range 88 {
		all = append(all, Instance{Name: fmt.Sprint(n), DataCentre: fmt.Sprint("dc", n%4)})
	}
	localities := locality.New(map[string]string{"dc0": "x", "dc1": "x", "dc2": "y", "dc3": "y"})
	for _, self := range all {
		otherRegion, others := 0, attestors(all, self, AttestQuorum(len(all)), localities)
		for _, other := range others {
			if localities.Distance(self.DataCentre, other.DataCentre) == locality.OtherRegion {
				otherRegion++
			}
		}
		must.Eq(t, len(others)-43, otherRegion)
	}
}

func names(instances []Instance) []string {
	var list []string
	for _, i := range instances {
		list = append(list, i.Name)
	}
	return list
}
