package fleet

import (
	"fmt"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/placement"
)

// reportPlacement logs that a group has other carriers than before. The first of them does it
// for all.
func (i *Instance) reportPlacement(group string, before, now placement.Carriers) {
	if rank, carries := now.Rank(i.self.Name); !carries || rank > 0 || slices.Equal(before.Names, now.Names) {
		return
	}
	leftOut, ok := i.sampler.Allow("placement")
	if !ok {
		return
	}
	alive := i.view.Load().Alive()
	i.part("relay").WithFields(logrus.Fields{
		"group": group, "carriers": describe(now.Names, alive), "alive": len(alive), "left_out": leftOut,
	}).Info("relay: a group has other carriers")
}

// describe returns instances with where they are and what they can bear.
func describe(names []string, alive []lead.Instance) []string {
	var described []string
	for _, instance := range alive {
		if slices.Contains(names, instance.Name) {
			described = append(described, fmt.Sprintf("%s in %s: %.2g cores, %.4g Mbit/s",
				instance.Name, instance.DataCentre, instance.Strength.Cores, instance.Strength.LinkMbps))
		}
	}
	return described
}
