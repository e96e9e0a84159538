// Package locality classifies the distance between the data centres of a deployment. Packages
// placement and routing use it to prefer near instances and members. It has no I/O, clock or
// goroutine.
package locality

import "fmt"

// Distance is the distance class of two data centres.
type Distance int

// The distances, nearest first.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// distanceNames are the names of the distances in logs and metrics.
var distanceNames = map[Distance]string{
	SameDataCentre: "same_data_centre", SameRegion: "same_region", OtherRegion: "other_region",
}

// String returns the distance's name in logs and metrics.
func (d Distance) String() string {
	if name, ok := distanceNames[d]; ok {
		return name
	}
	return fmt.Sprintf("distance(%d)", int(d))
}

// Map holds the region of each data centre. With an empty map all data centres count as one
// region. A Map is immutable.
type Map struct {
	regions     map[string]string // by data centre
	multiRegion bool              // there is more than one region
}

// New returns a Map from the region of each data centre.
func New(regions map[string]string) Map {
	m := Map{regions: make(map[string]string, len(regions))}
	first := ""
	for dataCentre, region := range regions {
		m.regions[dataCentre] = region
		if first == "" {
			first = region
		}
		m.multiRegion = m.multiRegion || region != first
	}
	return m
}

// MultiRegion reports whether there is more than one region.
func (m Map) MultiRegion() bool { return m.multiRegion }

// Region returns the region of a data centre, empty when unknown.
func (m Map) Region(dataCentre string) string { return m.regions[dataCentre] }

// Distance returns the distance class of two data centres. If there are several regions, a data
// centre that is not in the map counts as a region of its own, so that it is used only when no data
// centre known to be nearer is left.
func (m Map) Distance(a, b string) Distance {
	switch {
	case a == b:
		return SameDataCentre
	case !m.multiRegion:
		return SameRegion
	case m.regions[a] == "" || m.regions[a] != m.regions[b]:
		return OtherRegion
	}
	return SameRegion
}
