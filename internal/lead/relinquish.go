package lead

import (
	"context"
	"time"

	"github.com/stackspindle/stackspindle/internal/kv"
)

// relinquishDelay is how long an instance leads a group that it does not serve before it
// gives up the leadership, and the interval between two such attempts. It is longer than
// instances that start together need to discover one another: the first of them sees no
// other instance and takes over all groups.
const relinquishDelay = 5 * time.Second

// shouldRelinquish reports whether this instance should give up a group to one that serves
// the group's members. A serving instance receives answers from the primary with each
// statement and sees whether it is overloaded. This instance has to probe the primary, and
// does not see its load.
func (c *Controller) shouldRelinquish(group string, g *ledGroup) bool {
	return !c.env.Serves(group) && c.now()-max(g.tookOverAt, g.relinquishTriedAt) >= relinquishDelay
}

// relinquish deletes this instance's leader key, so that an instance that serves the group
// takes it over. It is called only while the primary is healthy, because the group has no
// leader until then.
func (c *Controller) relinquish(ctx context.Context, group string, g *ledGroup) {
	g.relinquishTriedAt = c.now()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := prefixLeader + group
	_, err := c.store.Commit(ctx, kv.Txn{Conditions: []kv.Condition{{Key: key, Revision: g.leaderRevision}}, Deletes: []string{key}})
	c.log.WithField("group", group).WithField("generation", g.generation).WithError(err).
		Info("lead: this instance gives up the leadership of a group that it does not serve")
}
