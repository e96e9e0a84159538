package fleet

import (
	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/locality"
)

// distanceTo returns the distance to the instance at an address. An unknown instance, such as one
// that has just started, counts as being in another region.
func (i *Instance) distanceTo(address string) locality.Distance {
	for _, other := range i.view.Load().Alive() {
		if other.Address == address {
			return i.settings.Localities.Distance(other.DataCentre, i.self.DataCentre)
		}
	}
	return locality.OtherRegion
}

// reportCrossRegionTraffic logs the traffic with instances in other regions since the last report,
// by gRPC method.
func (i *Instance) reportCrossRegionTraffic() {
	totals := i.traffic.ByMethod(locality.OtherRegion)
	for method, total := range totals {
		delta := total.Sub(i.crossRegionTotals[method])
		if delta.Messages == 0 {
			continue
		}
		i.part("peers").WithFields(logrus.Fields{"method": method, "messages": delta.Messages, "bytes": delta.Bytes}).
			Info("peers: calls to other regions since the last report")
	}
	i.crossRegionTotals = totals
}
