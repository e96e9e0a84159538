package lead

import (
	"context"
	"time"

	"github.com/stackspindle/stackspindle/internal/kv"
)

// asideAfter is for how long an instance leads a group that it does not use before it
// gives the group up, and the pause after an attempt: longer than instances that start together
// take to learn of one another. The first of them sees nobody else, and takes all groups.
const asideAfter = 5 * time.Second

// misplaced reports whether another instance should lead a group, one that uses the
// group's members. That one hears from the primary with each statement, and sees
// whether it has more than it can run; this one asks, and does not see that.
func (c *Controller) misplaced(group string, g *ledGroup) bool {
	return !c.around.Carries(group) && c.now()-max(g.takenAt, g.steppedAt) >= asideAfter
}

// stepAside gives a group up while its primary is well, so that the instances which use it take
// it over. It is without a leader until they have heard of that.
func (c *Controller) stepAside(ctx context.Context, group string, g *ledGroup) {
	g.steppedAt = c.now()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := prefixLeader + group
	_, err := c.store.Commit(ctx, kv.Txn{Conditions: []kv.Condition{{Key: key, Revision: g.leading}}, Delete: []string{key}})
	c.log.WithField("group", group).WithField("generation", g.generation).WithError(err).
		Info("lead: this instance gives the group up to one that uses it")
}
