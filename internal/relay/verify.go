package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/pool"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// Settings of the verification of a grant that is not confirmed.
const (
	// verifyTimeout bounds one round of questions. A member may have a queue of
	// statements before the question; one that takes longer is of no use to callers
	// who wait for an answer already.
	verifyTimeout = 250 * time.Millisecond
	// verifiedFor is for how long after a round that succeeded a write is sent before
	// it is verified. Its answer is verified in any case; that the members answer at
	// all is known by then, so that few writes end with an outcome that is not known.
	verificationValidity = 500 * time.Millisecond
	// roundPause is the pause between two rounds: answers that come meanwhile share the
	// next. Each question is charged, and takes a slot of a member for a moment.
	verificationPause = 20 * time.Millisecond
)

// round is a round of questions to the members of a group, shared by all who wait
// for one that begins after they asked.
type verificationRound struct {
	authority        lead.Authority
	done             chan struct{} // closed at the end
	askPrimary       bool          // an answer to a read waits for it; guarded by the group's mu until it begins
	noNewerPrimary   bool          // no other member leads; valid once done is closed
	primaryConfirmed bool          // the primary says that it leads; valid once done is closed, where reads was set
}

// verifier verifies that no other member leads a group. The group's mu guards it.
type verifier struct {
	running     bool
	next        *verificationRound // begins when the running one ends; nil: nobody waits
	lastSuccess time.Duration      // when the last round that succeeded ended; 0: none did
}

// ownPriority is that of questions which the instance itself asks members. They are few,
// cost a member no work, and callers wait for what they tell.
const probePriority = -1

// errGone says that nothing is known of a member.
var errMemberGone = errors.New("the member's entry is gone")

// stands reports whether an answer of the primary, to a read or to what writes, may be
// passed on. Where the grant is not confirmed the members are asked.
func (r *Relay) mayPassOn(g *groupState, permit *lead.Pass, reads bool) bool {
	switch permit.Standing() {
	case lead.Confirmed:
		return true
	case lead.Unconfirmed:
		return r.verify(context.Background(), g, permit.Authority, reads)
	}
	return false
}

// verify reports whether no other member led the group in a newer term at some
// moment after the call. It asks every member that this instance knows of but the
// primary; one that does not answer might lead. For a read it asks the primary as well: one
// that has stepped down refuses to write, and would go on reading while a member leads of
// which this instance does not know. Once ctx has ended it is not waited for.
func (r *Relay) verify(ctx context.Context, g *groupState, primary lead.Authority, reads bool) bool {
	g.mu.Lock()
	pending := g.verifier.next
	if pending == nil {
		pending = &verificationRound{authority: primary, done: make(chan struct{})}
		g.verifier.next = pending
	}
	if pending.authority != primary {
		g.mu.Unlock()
		return false // the primary has been replaced, or is known to have been elsewhere here
	}
	pending.askPrimary = pending.askPrimary || reads
	if !g.verifier.running {
		g.verifier.running = true
		go r.runVerificationRounds(g)
	}
	g.mu.Unlock()
	select {
	case <-pending.done:
		return pending.noNewerPrimary && (pending.primaryConfirmed || !reads)
	case <-ctx.Done():
		return false
	}
}

// runRounds runs rounds, one after another, while somebody waits for one.
func (r *Relay) runVerificationRounds(g *groupState) {
	for {
		g.mu.Lock()
		round := g.verifier.next
		g.verifier.next = nil
		if round == nil {
			g.verifier.running = false
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
		r.askMembers(round, g.name)
		g.mu.Lock()
		if round.noNewerPrimary {
			g.verifier.lastSuccess = r.now()
		}
		g.mu.Unlock()
		close(round.done)
		time.Sleep(verificationPause)
	}
}

// verifiedLately reports whether a round has succeeded a moment ago.
func (g *groupState) recentlyVerified(now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.verifier.lastSuccess > 0 && now-g.verifier.lastSuccess < verificationValidity
}

// ask asks the members at once, the primary only where a read waits.
func (r *Relay) askMembers(round *verificationRound, group string) {
	primary, snap := round.authority, r.snapshot()
	if len(snap.DepartedFrom(group)) > 0 {
		return // one of them may have come back and been promoted, and cannot be asked
	}
	var asked sync.WaitGroup
	replies := make(map[string]*bool) // by member; each is written by the goroutine that asks it
	for _, m := range snap.MembersOf(group) {
		if m.ID == primary.Primary {
			continue
		}
		reply := new(bool)
		replies[m.ID] = reply
		asked.Go(func() { *reply = r.confirmsFollower(m, primary) })
	}
	if round.askPrimary {
		asked.Go(func() { round.primaryConfirmed = r.confirmsPrimary(primary) })
	}
	asked.Wait()
	round.noNewerPrimary = true
	for _, follows := range replies {
		round.noNewerPrimary = round.noNewerPrimary && *follows
	}
}

// leads reports whether the primary of an authority says that it leads.
func (r *Relay) confirmsPrimary(primary lead.Authority) bool {
	status, err := r.upstreams.status(primary.Primary, verifyTimeout)
	if err == nil && status.Primary && status.Term == primary.Term {
		return true
	}
	if suppressed, ok := r.logSampler.Allow("verify" + primary.Primary); ok {
		r.log.WithError(err).WithFields(logrus.Fields{
			"primary": primary.Primary, "term": primary.Term, "record": primary.Revision, "leads": status.Primary, "its_term": status.Term, "left_out": suppressed,
		}).Info("relay: the grant is not confirmed, and the primary does not say that it leads; what was read there is not passed on")
	}
	return false
}

// follows reports whether a member says that it does not lead, in the term of an
// authority or before.
func (r *Relay) confirmsFollower(m topology.Member, primary lead.Authority) bool {
	entry := func() *logrus.Entry {
		return r.log.WithFields(logrus.Fields{"group": m.Group, "member": m.ID, "primary": primary.Primary, "term": primary.Term, "record": primary.Revision})
	}
	status, err := r.upstreams.status(m.ID, verifyTimeout)
	switch {
	case err != nil:
		if suppressed, ok := r.logSampler.Allow("verify" + m.ID); ok {
			entry().WithError(err).WithField("left_out", suppressed).Info("relay: the grant is not confirmed, and a member that might lead does not answer")
		}
		return false
	case status.Primary || status.Term > primary.Term:
		if suppressed, ok := r.logSampler.Allow("verify" + m.ID); ok {
			entry().WithFields(logrus.Fields{"leads": status.Primary, "its_term": status.Term, "left_out": suppressed}).
				Info("relay: the grant is not confirmed, and a member leads in a newer term")
		}
		return false
	}
	return true
}

// status asks a member about itself on a connection of the pool.
func (u *Upstreams) status(id string, timeout time.Duration) (member.Status, error) {
	upstream := u.get(id)
	if upstream == nil {
		return member.Status{}, errMemberGone
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	sentAt := u.now()
	lease, err := upstream.pool.Acquire(ctx, pool.Request{Any: true, Priority: probePriority, Deadline: sentAt + timeout}, nil)
	if err != nil {
		return member.Status{}, err
	}
	defer lease.Release()
	deadline, _ := ctx.Deadline()
	status, err := lease.Conn.Status(deadline)
	if err == nil {
		upstream.recordAnswer(u.now(), u.now(), status.Received)
	}
	return status, err
}
