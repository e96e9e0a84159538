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

// checkHealth asks a primary that was silent for a while, and begins to replace
// one that is dead.
func (c *Controller) checkHealth(ctx context.Context, group string, g *ledGroup, primary topology.Member) {
	age, heard := c.around.Heard(primary.ID)
	now := c.now()
	if heard && age < probeAfter && !c.around.Doubtful(primary.ID) && c.connected(g, primary) {
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
	age, heard = c.around.Heard(primary.ID)
	if !dead(g.refused, g.silent, age, heard, now-g.takenAt) {
		return
	}
	if name, recently := c.witnessed(ctx, group, primary.ID, g.doubtAt); recently {
		c.log.WithFields(logrus.Fields{"group": group, "member": primary.ID, "witness": name, "refused": g.refused}).
			Info("lead: the primary does not answer here, but another instance hears it; it stays")
		return
	}
	reason := "the primary is silent"
	if g.refused >= refusals {
		reason = "the primary refuses connections"
	}
	c.begin(ctx, group, g, reason, false)
}

// verdict is what the outcome of a question says about a member.
type verdict int

const (
	answers verdict = iota
	refuses
	isSilent
)

// judge tells a member that answers, whatever it says, from one that is gone and
// from one that is silent.
func judge(err error) verdict {
	var refusal *statement.Error
	switch {
	case err == nil:
		return answers
	case errors.As(err, &refusal):
		if refusal.Code == statement.Misrouted {
			return refuses // another member lives at the address
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

// dead decides whether a primary that did not answer is to be replaced.
func dead(refused int, silent bool, sinceAnswer time.Duration, heard bool, led time.Duration) bool {
	if refused >= refusals {
		return true
	}
	if !heard {
		sinceAnswer = led // never: count from when we began to look
	}
	return silent && sinceAnswer >= silence
}

// ask asks the primary for its status, on a connection of the controller's own.
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

// connected reports whether the controller's own connection to the primary stands.
// That of a process that ended breaks at once, before any statement is sent.
func (c *Controller) connected(g *ledGroup, m topology.Member) bool {
	return g.conn != nil && g.connTo == m.ID && g.conn.IsIdle()
}

func (c *Controller) hangUp(g *ledGroup) {
	if g.conn != nil {
		g.conn.Close()
		g.conn = nil
	}
}
