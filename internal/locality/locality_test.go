package locality

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestDistance(t *testing.T) {
	two := New(map[string]string{"a1": "a", "a2": "a", "b1": "b"})
	one := New(map[string]string{"a1": "a", "a2": "a"})
	for name, c := range map[string]struct {
		regions  Map
		from, to string
		want     Distance
	}{
		"same data centre":                  {two, "a1", "a1", SameDataCentre},
		"same region":                       {two, "a1", "a2", SameRegion},
		"another region":                    {two, "a1", "b1", OtherRegion},
		"not in the map":                    {two, "a1", "c1", OtherRegion},
		"both not in the map":               {two, "c1", "c2", OtherRegion},
		"same data centre, not in the map":  {two, "c1", "c1", SameDataCentre},
		"empty map":                         {Map{}, "a1", "b1", SameRegion},
		"single region":                     {one, "a1", "a2", SameRegion},
		"single region, one not in the map": {one, "a1", "c1", SameRegion},
		"empty map, same data centre":       {Map{}, "a1", "a1", SameDataCentre},
	} {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, c.want, c.regions.Distance(c.from, c.to))
			must.Eq(t, c.want, c.regions.Distance(c.to, c.from))
		})
	}
	must.True(t, two.MultiRegion())
	must.False(t, one.MultiRegion())
	must.False(t, Map{}.MultiRegion())
}
