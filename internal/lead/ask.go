package lead

import (
	"context"
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

// found is what a member said of itself.
type found struct {
	member topology.Member
	status member.Status
}

// askAll asks members for their status, all at once. The one that is suspected of
// being dead is not waited for when all others have answered.
func (c *Controller) askAll(ctx context.Context, members []topology.Member, suspect string) []found {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type reply struct {
		from string
		said *found
	}
	replies := make(chan reply, len(members))
	others := 0
	for _, m := range members {
		if m.ID != suspect {
			others++
		}
		go func() { replies <- reply{from: m.ID, said: c.askOne(ctx, m)} }()
	}
	var answered []found
	var grace <-chan time.Time
	for pending := len(members); pending > 0; pending-- {
		select {
		case r := <-replies:
			if r.said != nil {
				answered = append(answered, *r.said)
			}
			if r.from != suspect {
				others--
			}
			if others <= 0 && grace == nil {
				grace = time.After(suspectGrace)
			}
		case <-grace:
			return answered
		}
	}
	return answered
}

// suspectGrace is how much longer a suspect is waited for: some round trips
// between data centres.
const suspectGrace = 20 * time.Millisecond

// askOne returns what a member says of itself, nil when it does not answer.
func (c *Controller) askOne(ctx context.Context, m topology.Member) *found {
	conn, err := c.connect(ctx, m)
	if err != nil {
		c.log.WithField("member", m.ID).WithError(err).Info("lead: a member could not be asked for its status")
		return nil
	}
	defer conn.Close()
	status, err := conn.Status(time.Now().Add(probeTimeout))
	if err != nil {
		c.log.WithField("member", m.ID).WithError(err).Info("lead: a member could not be asked for its status")
		return nil
	}
	return &found{member: m, status: status}
}
