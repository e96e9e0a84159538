package lead

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/topology"
)

// Settings of the relief of a primary.
const (
	// mostBehind is how far behind the log of a replica that is promoted as planned may
	// end: what the old primary wrote last is awaited, and nothing else is served then.
	mostBehind = 300 * time.Millisecond
	// reliefPause is the least time between two such changes of one group. Each leaves
	// it without a primary for a second or so; where the first has not helped, the
	// cause is another.
	reliefPause = 30 * time.Second
)

// relieve replaces a primary that serves its group alone and has more than it can
// run, because its replicas have received the log and do not apply it. A promoted
// member leads with what it has received, and the old primary, which has applied all
// of it, serves reads as a replica: two members serve instead of one.
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
