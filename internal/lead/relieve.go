package lead

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/topology"
)

// Limits of the replacement of an overloaded primary.
const (
	// mostBehind is the largest replica lag with which a replica is promoted for this
	// reason. The change waits until the replica has received the old primary's last
	// writes, and the group is not served during that wait.
	mostBehind = 300 * time.Millisecond
	// reliefPause is the minimum time between two such changes of one group. Each change
	// leaves the group without a primary for about a second, and if the first one has not
	// helped, the cause is a different one.
	reliefPause = 30 * time.Second
)

// relieve replaces an overloaded primary that serves its group alone because the replicas
// have received the log but do not apply it. A promoted replica becomes primary with what
// it has received. The old primary has applied the whole log and can serve reads as a
// replica, so that two members serve instead of one.
func (c *Controller) relieve(ctx context.Context, group string, g *ledGroup, primary topology.Member) {
	if g.relievedAt > 0 && c.now()-g.relievedAt < reliefPause || !c.around.Alone(group, primary.ID) || c.now()-g.plannedAt < plannedPause {
		return
	}
	log := c.log.WithField("group", group)
	if s := c.survey(ctx); s.holders() > 0 || s.answered < s.needed {
		g.plannedAt = c.now()
		log.WithFields(logrus.Fields{"answered": s.answered, "needed": s.needed, "holders": s.holders()}).
			Info("lead: the primary serves its group alone and is full, but a change would wait for an instance that cannot be reached")
		return
	}
	g.relievedAt, g.plannedAt = c.now(), 0
	for _, f := range c.askAll(ctx, c.successors(group, primary.ID), "") {
		behind := c.around.Behind(group, f.status.Received)
		log.WithFields(logrus.Fields{
			"member": f.member.ID, "position": f.status.Received.String(), "behind_ms": behind.Milliseconds(), "lag_ms": f.status.Lag.Milliseconds(),
		}).Info("lead: the primary serves its group alone and is full; a replica was asked what it has received")
		if behind >= 0 && behind <= mostBehind {
			c.begin(ctx, group, g, "its replicas do not apply what they receive, and it is full", true)
			return
		}
	}
}
