package fleet

import (
	"fmt"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/placement"
)

// reportPlacement logs that the carriers of a group have changed. Only the first carrier logs it.
func (i *Instance) reportPlacement(group string, previous, current placement.Carriers) {
	if rank, isCarrier := current.Rank(i.self.Name); !isCarrier || rank > 0 || slices.Equal(previous.Names, current.Names) {
		return
	}
	suppressed, ok := i.sampler.Allow("placement")
	if !ok {
		return
	}
	alive := i.view.Load().Alive()
	i.part("relay").WithFields(logrus.Fields{
		"group": group, "carriers": describe(current.Names, alive), "alive": len(alive), "left_out": suppressed,
	}).Info("relay: a group has other carriers")
}

// describe returns the named instances with their data centre and announced capacity.
func describe(names []string, alive []lead.Instance) []string {
	var described []string
	for _, instance := range alive {
		if slices.Contains(names, instance.Name) {
			described = append(described, fmt.Sprintf("%s in %s: %.2g cores, %.4g Mbit/s",
				instance.Name, instance.DataCentre, instance.Capacity.Cores, instance.Capacity.LinkMbps))
		}
	}
	return described
}
