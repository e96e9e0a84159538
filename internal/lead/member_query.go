package lead

import (
	"context"
	"fmt"
	"time"

	"github.com/stackspindle/stackspindle/internal/account"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/topology"
)

func (c *Controller) connect(ctx context.Context, m topology.Member) (member.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return c.dialer.Dial(ctx, m, account.Anonymous)
}

// memberStatus is a member and the status that it reported.
type memberStatus struct {
	member topology.Member
	status member.Status
}

// isPrimaryOf reports whether the member is the primary of a term.
func (m memberStatus) isPrimaryOf(term uint64) bool {
	return m.status.Primary && m.status.Term == term
}

// String describes the member's role, log position and state for log lines.
func (m memberStatus) String() string {
	role := "replica"
	if m.status.Primary {
		role = "primary"
	}
	if m.member.Draining {
		role = "draining " + role
	}
	return fmt.Sprintf("%s: %s of term %d at %s", m.member.ID, role, m.status.Term, m.status.Received)
}

// queryMembers requests the status of members concurrently and returns those that answered.
// Once all others have answered or failed, a suspect, which may be dead, gets only
// suspectGrace more.
func (c *Controller) queryMembers(ctx context.Context, members []topology.Member, suspect string) []memberStatus {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type reply struct {
		memberID string
		status   *memberStatus
	}
	replies := make(chan reply, len(members))
	othersPending := 0
	for _, m := range members {
		if m.ID != suspect {
			othersPending++
		}
		go func() { replies <- reply{memberID: m.ID, status: c.queryMember(ctx, m)} }()
	}
	var answered []memberStatus
	var grace <-chan time.Time
	for pending := len(members); pending > 0; pending-- {
		select {
		case r := <-replies:
			if r.status != nil {
				answered = append(answered, *r.status)
			}
			if r.memberID != suspect {
				othersPending--
			}
			if othersPending <= 0 && grace == nil {
				grace = time.After(suspectGrace)
			}
		case <-grace:
			return answered
		}
	}
	return answered
}

// suspectGrace is how much longer queryMembers waits for a suspect: several round trips
// between data centres.
const suspectGrace = 20 * time.Millisecond

// queryMember returns the status of a member, nil if it does not answer.
func (c *Controller) queryMember(ctx context.Context, m topology.Member) *memberStatus {
	conn, err := c.connect(ctx, m)
	if err != nil {
		c.log.WithField("member", m.ID).WithError(err).Info("lead: could not get the status of a member")
		return nil
	}
	defer conn.Close()
	status, err := conn.Status(time.Now().Add(probeTimeout))
	if err != nil {
		c.log.WithField("member", m.ID).WithError(err).Info("lead: could not get the status of a member")
		return nil
	}
	return &memberStatus{member: m, status: status}
}
