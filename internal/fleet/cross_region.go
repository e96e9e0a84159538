package fleet

import (
	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/locality"
)

// distanceTo returns how far the instance at an address is. One that is not known, as one that
// has just started, counts as far away.
func (i *Instance) distanceTo(address string) locality.Distance {
	for _, other := range i.view.Load().Alive() {
		if other.Address == address {
			return i.settings.Places.Distance(other.DataCentre, i.self.DataCentre)
		}
	}
	return locality.OtherRegion
}

// reportCrossing logs what has passed to instances in other regions since the last report,
// by what it was for.
func (i *Instance) reportCrossing() {
	passed := i.traffic.To(locality.OtherRegion)
	for method, total := range passed {
		since := total.Sub(i.crossed[method])
		if since.Messages == 0 {
			continue
		}
		i.part("peers").WithFields(logrus.Fields{"method": method, "messages": since.Messages, "bytes": since.Bytes}).
			Info("peers: calls to other regions since the last report")
	}
	i.crossed = passed
}
