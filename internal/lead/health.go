package lead

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/account"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/statement"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// checkHealth probes a primary that has not answered for a while, and starts to replace it
// if it is dead. While the primary is healthy, checkHealth gives up the leadership if this
// instance does not serve the group, and replaces a primary that is overloaded.
func (c *Controller) checkHealth(ctx context.Context, group string, g *ledGroup, primary topology.Member) {
	age, answered := c.around.Heard(primary.ID)
	now := c.now()
	if answered && age < probeAfter && !c.around.Doubtful(primary.ID) && c.connected(g, primary) {
		g.refused, g.silent, g.doubtAt = 0, false, 0
		if c.misplaced(group, g) {
			c.stepAside(ctx, group, g)
			return
		}
		c.relieve(ctx, group, g, primary)
		return
	}
	if now-g.probedAt < probePause {
		return
	}
	g.probedAt = now
	status, err := c.ask(ctx, g, primary)
	switch verdict := judge(err); verdict {
	case answers:
		g.refused, g.silent, g.doubtAt = 0, false, 0
		c.around.NoteAnswer(primary.ID)
		if err == nil && !status.Primary {
			c.begin(ctx, group, g, "the primary does not lead any more", false)
		}
		return
	case refuses:
		g.refused++
	case isSilent:
		g.silent = true
	}
	if g.doubtAt == 0 {
		g.doubtAt = now
	}
	age, answered = c.around.Heard(primary.ID)
	if !dead(g.refused, g.silent, age, answered, now-g.takenAt) {
		return
	}
	if witness, elsewhere := c.witnessed(ctx, group, primary.ID, g.doubtAt); elsewhere {
		c.log.WithFields(logrus.Fields{"group": group, "member": primary.ID, "witness": witness, "refused": g.refused}).
			Info("lead: the primary does not answer here, but another instance hears it; it is not replaced")
		return
	}
	reason := "the primary is silent"
	if g.refused >= refusals {
		reason = "the primary refuses connections"
	}
	c.begin(ctx, group, g, reason, false)
}

// verdict classifies the result of a probe.
type verdict int

const (
	answers verdict = iota
	refuses
	isSilent
)

// judge classifies the result of a probe. Any reply of the member counts as an answer, also
// an error, unless another member replied.
func judge(err error) verdict {
	var refusal *statement.Error
	switch {
	case err == nil:
		return answers
	case errors.As(err, &refusal):
		if refusal.Code == statement.Misrouted {
			return refuses // another member listens at the address
		}
		return answers
	case isTimeout(err):
		return isSilent
	}
	return refuses
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

// dead reports whether a primary that did not answer a probe must be replaced: it refused
// several connections in a row, or has been unresponsive for long enough.
func dead(refused int, silent bool, sinceAnswer time.Duration, everAnswered bool, leaderFor time.Duration) bool {
	if refused >= refusals {
		return true
	}
	if !everAnswered {
		sinceAnswer = leaderFor // it never answered: count from when this instance became leader
	}
	return silent && sinceAnswer >= silence
}

// ask requests the primary's status on the controller's own connection, which it opens if
// needed.
func (c *Controller) ask(ctx context.Context, g *ledGroup, m topology.Member) (member.Status, error) {
	deadline := time.Now().Add(probeTimeout)
	if !c.connected(g, m) {
		c.hangUp(g)
		dialCtx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		conn, err := c.dialer.Dial(dialCtx, m, account.Anonymous)
		if err != nil {
			return member.Status{}, err
		}
		g.conn, g.connTo = conn, m.ID
	}
	status, err := g.conn.Status(deadline)
	if errors.Is(err, member.ErrBroken) {
		c.hangUp(g)
	}
	return status, err
}

// connected reports whether the controller's own connection to the primary is open. When
// the primary's process ends, the connection breaks at once, without a statement being
// sent.
func (c *Controller) connected(g *ledGroup, m topology.Member) bool {
	return g.conn != nil && g.connTo == m.ID && g.conn.Silent()
}

func (c *Controller) hangUp(g *ledGroup) {
	if g.conn != nil {
		g.conn.Close()
		g.conn = nil
	}
}
