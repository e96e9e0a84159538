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
	age, answered := c.env.SinceLastAnswer(primary.ID)
	now := c.now()
	if answered && age < probeAfter && !c.env.HasUnansweredAttempt(primary.ID) && c.probeConnOpen(g, primary) {
		g.refusedInRow, g.unresponsive, g.unansweredSince = 0, false, 0
		if c.shouldRelinquish(group, g) {
			c.relinquish(ctx, group, g)
			return
		}
		c.replaceOverloaded(ctx, group, g, primary)
		return
	}
	if now-g.probedAt < probeInterval {
		return
	}
	g.probedAt = now
	status, err := c.probe(ctx, g, primary)
	switch verdict := classifyProbe(err); verdict {
	case probeAnswered:
		g.refusedInRow, g.unresponsive, g.unansweredSince = 0, false, 0
		c.env.RecordAnswer(primary.ID)
		if err == nil && !status.Primary {
			c.startChange(ctx, group, g, "the primary does not lead any more", false)
		}
		return
	case probeRefused:
		g.refusedInRow++
	case probeTimedOut:
		g.unresponsive = true
	}
	if g.unansweredSince == 0 {
		g.unansweredSince = now
	}
	age, answered = c.env.SinceLastAnswer(primary.ID)
	if !isDead(g.refusedInRow, g.unresponsive, age, answered, now-g.tookOverAt) {
		return
	}
	if witness, elsewhere := c.answeredElsewhere(ctx, group, primary.ID, g.unansweredSince); elsewhere {
		c.log.WithFields(logrus.Fields{"group": group, "member": primary.ID, "witness": witness, "refused": g.refusedInRow}).
			Info("lead: the primary does not answer here, but another instance hears it; it is not replaced")
		return
	}
	reason := "the primary is silent"
	if g.refusedInRow >= deadAfterRefusals {
		reason = "the primary refuses connections"
	}
	c.startChange(ctx, group, g, reason, false)
}

// probeResult classifies the result of a probe.
type probeResult int

const (
	probeAnswered probeResult = iota
	probeRefused
	probeTimedOut
)

// classifyProbe classifies the result of a probe. Any reply of the member counts as an
// answer, also an error, unless another member replied.
func classifyProbe(err error) probeResult {
	var refusal *statement.Error
	switch {
	case err == nil:
		return probeAnswered
	case errors.As(err, &refusal):
		if refusal.Code == statement.Misrouted {
			return probeRefused // another member listens at the address
		}
		return probeAnswered
	case isTimeout(err):
		return probeTimedOut
	}
	return probeRefused
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

// isDead reports whether a primary that did not answer a probe must be replaced: it refused
// several connections in a row, or has been unresponsive for long enough.
func isDead(refused int, unresponsive bool, sinceAnswer time.Duration, everAnswered bool, leaderFor time.Duration) bool {
	if refused >= deadAfterRefusals {
		return true
	}
	if !everAnswered {
		sinceAnswer = leaderFor // it never answered: count from when this instance became leader
	}
	return unresponsive && sinceAnswer >= unresponsiveTimeout
}

// probe requests the primary's status on the controller's own connection, which it opens if
// needed.
func (c *Controller) probe(ctx context.Context, g *ledGroup, m topology.Member) (member.Status, error) {
	deadline := time.Now().Add(probeTimeout)
	if !c.probeConnOpen(g, m) {
		c.closeProbeConn(g)
		dialCtx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		conn, err := c.dialer.Dial(dialCtx, m, account.Anonymous)
		if err != nil {
			return member.Status{}, err
		}
		g.probeConn, g.probeConnMember = conn, m.ID
	}
	status, err := g.probeConn.Status(deadline)
	if errors.Is(err, member.ErrBroken) {
		c.closeProbeConn(g)
	}
	return status, err
}

// probeConnOpen reports whether the controller's own connection to the primary is open. When
// the primary's process ends, the connection breaks at once, without a statement being
// sent.
func (c *Controller) probeConnOpen(g *ledGroup, m topology.Member) bool {
	return g.probeConn != nil && g.probeConnMember == m.ID && g.probeConn.IsIdle()
}

func (c *Controller) closeProbeConn(g *ledGroup) {
	if g.probeConn != nil {
		g.probeConn.Close()
		g.probeConn = nil
	}
}
