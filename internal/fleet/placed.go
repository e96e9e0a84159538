package fleet

import (
	"fmt"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/relay"
)

// reportPlacement logs the carriers of groups that have others than before. The first carrier
// of a group does it for all.
func (i *Instance) reportPlacement(before map[string]relay.Carriers) {
	alive := i.placements.Alive()
	for group, c := range i.placements.Placed() {
		if rank, carries := c.Rank(i.self.Name); !carries || rank > 0 || slices.Equal(before[group].Names, c.Names) {
			continue
		}
		leftOut, ok := i.sampler.Allow("placement")
		if !ok {
			continue
		}
		i.part("relay").WithFields(logrus.Fields{
			"group": group, "carriers": describe(c.Names, alive), "alive": len(alive), "left_out": leftOut,
		}).Info("relay: a group has other carriers")
	}
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
