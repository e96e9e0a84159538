package relay

import (
	"time"

	"github.com/stackspindle/stackspindle/internal/statement"
)

// Settings of how long a first statement is held.
const (
	// untriedShare is the part of its objective for which a statement may wait
	// without having been offered to a member; then it is refused, so that its
	// caller can go elsewhere in time. The platform's users count more as a loss.
	untriedShare = 0.25
	// answerMargin is kept of that for the refusal to leave.
	answerMargin = 8 * time.Millisecond
	// changeHold is how long after the loss of a primary statements for it are
	// held for the next one: a change takes 0.5 to 1 s, and one that takes longer
	// waits for something that is not about to end.
	changeHold = 2500 * time.Millisecond
	// retryPause is the pause after all members have refused.
	retryPause = 6 * time.Millisecond
	// comeBack is the advice of a refusal when nothing better is known.
	comeBack = 50 * time.Millisecond
)

// mayWait reports whether the statement may be held for another round.
func (a *attempt) mayWait() bool { return a.now()+retryPause < a.holdUntil() }

// holdUntil returns until when the statement may be held. One that was offered
// is held for its objective; one that waits for a new primary as long as that is
// about to come.
func (a *attempt) holdUntil() time.Duration {
	switch {
	case a.offered:
		return min(a.deadline, a.arrived+a.route.LatencyObjective)
	case a.needsPrimary():
		if lost := a.gate.LostFor(); lost > 0 && lost < changeHold {
			return a.deadline
		}
	}
	return min(a.deadline, a.untried)
}

// pause waits for a moment, or until the group's primary changes or nobody waits any more.
func (a *attempt) pause() {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-a.gate.Changed():
	case <-a.ctx.Done():
	case <-timer.C:
	}
}

// refuse gives the statement up. Nothing of it has run, but for a read that failed, or
// whose answer was lost.
func (a *attempt) refuse() statement.Answer {
	if !a.maybeRun {
		a.s.relay.limiter.Return(a.account, a.token)
	}
	if a.failures > 0 {
		return a.failed
	}
	answer := statement.Failure(statement.Idle, statement.Busy, "not run: %s", a.why)
	answer.Err.RetryAfter = comeBack
	return answer
}

func (a *attempt) giveUpUnknown() statement.Answer {
	return statement.Failure(statement.Idle, statement.Unknown, "it may have run: %s", a.why)
}
