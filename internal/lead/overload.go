package lead

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/topology"
)

// Limits of the replacement of an overloaded primary.
const (
	// maxCandidateLag is the largest replica lag with which a replica is promoted for this
	// reason. The change waits until the replica has received the old primary's last
	// writes, and the group is not served during that wait.
	maxCandidateLag = 300 * time.Millisecond
	// overloadChangeInterval is the minimum time between two such changes of one group.
	// Each change leaves the group without a primary for about a second, and if the first
	// one has not helped, the cause is a different one.
	overloadChangeInterval = 30 * time.Second
)

// replaceOverloaded replaces an overloaded primary that serves its group alone because the
// replicas have received the log but do not apply it. A promoted replica becomes primary
// with what it has received. The old primary has applied the whole log and can serve reads
// as a replica, so that two members serve instead of one.
func (c *Controller) replaceOverloaded(ctx context.Context, group string, g *ledGroup, primary topology.Member) {
	if g.overloadChangeAt > 0 && c.now()-g.overloadChangeAt < overloadChangeInterval || !c.env.OverloadedWithoutReplicas(group, primary.ID) || c.now()-g.plannedCheckedAt < plannedCheckInterval {
		return
	}
	log := c.log.WithField("group", group)
	if s := c.survey(ctx); s.possibleHolders() > 0 || s.answered < s.releasesNeeded {
		g.plannedCheckedAt = c.now()
		log.WithFields(logrus.Fields{"answered": s.answered, "needed": s.releasesNeeded, "holders": s.possibleHolders()}).
			Info("lead: the primary serves its group alone and is full, but a change would wait for an instance that cannot be reached")
		return
	}
	g.overloadChangeAt, g.plannedCheckedAt = c.now(), 0
	for _, answer := range c.queryMembers(ctx, c.successors(group, primary.ID), "") {
		lag := c.env.ReplicaLag(group, answer.status.Received)
		log.WithFields(logrus.Fields{
			"member": answer.member.ID, "position": answer.status.Received.String(), "behind_ms": lag.Milliseconds(), "lag_ms": answer.status.Lag.Milliseconds(),
		}).Info("lead: the primary serves its group alone and is full; a replica was asked what it has received")
		if lag >= 0 && lag <= maxCandidateLag {
			c.startChange(ctx, group, g, "its replicas do not apply what they receive, and it is full", true)
			return
		}
	}
}
