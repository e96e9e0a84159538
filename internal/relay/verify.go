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

// Limits of the verification of a grant that is not confirmed.
const (
	// verifyTimeout limits one verification round. A member may have statements queued before the
	// status request; a member that takes longer than this is of no use to the clients that already
	// wait for an answer.
	verifyTimeout = 250 * time.Millisecond
	// verificationValidity is how long after a successful round a write may be sent without a new
	// verification. Its answer is verified in any case. A recent success shows that the members
	// answer, so that few writes end with an unknown outcome.
	verificationValidity = 500 * time.Millisecond
	// verificationPause is the pause between two rounds, in which further answers collect for the
	// next round. Each status request is charged by the member, and takes one of its slots for a
	// moment.
	verificationPause = 20 * time.Millisecond
)

// verificationRound asks the members of a group for their status. All answers that arrived before
// it began share its result.
type verificationRound struct {
	primaryRef       lead.PrimaryRef
	done             chan struct{} // closed when the round has ended
	askPrimary       bool          // the primary is asked too, because an answer to a read waits; guarded by the group's mu until the round begins
	noNewerPrimary   bool          // no other member is primary; valid once done is closed
	primaryConfirmed bool          // the primary confirmed its role; valid once done is closed, if askPrimary was set
}

// verifier runs the verification rounds of a group. It is guarded by the group's mu.
type verifier struct {
	running     bool
	next        *verificationRound // begins after the running one; nil: no answer waits
	lastSuccess time.Duration      // end of the last successful round; 0: none
	verified    lead.PrimaryRef    // the primary that it verified
}

// probePriority is the priority of the instance's own status requests, ahead of all statements.
// They are few, cost a member little, and clients wait for their result.
const probePriority = -1

// errNoMemberEntry means that a member has no entry in the topology.
var errNoMemberEntry = errors.New("the member's entry is gone")

// mayPassOn reports whether an answer of the primary may be passed on to the client. If the grant
// is not confirmed the members are asked; reads is true for an answer to a read.
func (r *Relay) mayPassOn(g *groupState, permit *lead.Permit, reads bool) bool {
	state := permit.State()
	passOn := state == lead.Confirmed ||
		state == lead.Unconfirmed && r.verify(context.Background(), g, permit.PrimaryRef, reads)
	r.recordPrimaryAnswer(g, permit, state, reads, passOn)
	return passOn
}

// verify reports whether, at some moment after the call, no other member was primary of the group
// in a newer term. It asks every known member except the primary; a member that doesn't answer
// might be primary. For a read it asks the primary as well: a primary that has stepped down refuses
// writes, but goes on serving reads while a member unknown to this instance is primary. verify
// returns false when ctx ends.
func (r *Relay) verify(ctx context.Context, g *groupState, ref lead.PrimaryRef, reads bool) bool {
	g.mu.Lock()
	pending := g.verifier.next
	if pending == nil {
		pending = &verificationRound{primaryRef: ref, done: make(chan struct{})}
		g.verifier.next = pending
	}
	if pending.primaryRef != ref {
		g.mu.Unlock()
		return false // the primary has been replaced, or was a different one for the pending round
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

// runVerificationRounds runs one round after another while answers wait for one.
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
			g.verifier.lastSuccess, g.verifier.verified = r.now(), round.primaryRef
		}
		g.mu.Unlock()
		close(round.done)
		time.Sleep(verificationPause)
	}
}

// recentlyVerified reports whether a round verified this primary within verificationValidity.
func (g *groupState) recentlyVerified(ref lead.PrimaryRef, now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.verifier.lastSuccess > 0 && g.verifier.verified == ref && now-g.verifier.lastSuccess < verificationValidity
}

// askMembers asks all members concurrently, the primary only when an answer to a read waits.
func (r *Relay) askMembers(round *verificationRound, group string) {
	ref, snap := round.primaryRef, r.snapshot()
	if len(snap.RecentlyDeparted(group)) > 0 {
		return // a member whose entry is gone may have returned and been promoted, and cannot be asked
	}
	var asked sync.WaitGroup
	replies := make(map[string]*bool) // by member; each is written by the goroutine that asks it
	for _, m := range snap.MembersOf(group) {
		if m.ID == ref.Primary {
			continue
		}
		reply := new(bool)
		replies[m.ID] = reply
		asked.Go(func() { *reply = r.confirmsNotPrimary(m, ref) })
	}
	if round.askPrimary {
		asked.Go(func() { round.primaryConfirmed = r.confirmsPrimary(ref) })
	}
	asked.Wait()
	round.noNewerPrimary = true
	for _, notPrimary := range replies {
		round.noNewerPrimary = round.noNewerPrimary && *notPrimary
	}
}

// confirmsPrimary reports whether the primary confirms that it is primary in the term of ref.
func (r *Relay) confirmsPrimary(ref lead.PrimaryRef) bool {
	status, err := r.upstreams.status(ref.Primary, verifyTimeout)
	if err == nil && status.Primary && status.Term == ref.Term {
		return true
	}
	if suppressed, ok := r.logSampler.Allow("verify" + ref.Primary); ok {
		r.log.WithError(err).WithFields(logrus.Fields{
			"primary": ref.Primary, "term": ref.Term, "record": ref.Revision, "leads": status.Primary, "its_term": status.Term, "left_out": suppressed,
		}).Info("relay: the grant is not confirmed, and the primary does not confirm its role; reads from it are not passed on")
	}
	return false
}

// confirmsNotPrimary reports whether a member confirms that it is not primary, and knows no newer
// term than that of ref.
func (r *Relay) confirmsNotPrimary(m topology.Member, ref lead.PrimaryRef) bool {
	entry := func() *logrus.Entry {
		return r.log.WithFields(logrus.Fields{"group": m.Group, "member": m.ID, "primary": ref.Primary, "term": ref.Term, "record": ref.Revision})
	}
	status, err := r.upstreams.status(m.ID, verifyTimeout)
	switch {
	case err != nil:
		if suppressed, ok := r.logSampler.Allow("verify" + m.ID); ok {
			entry().WithError(err).WithField("left_out", suppressed).Info("relay: the grant is not confirmed, and a member that might lead does not answer")
		}
		return false
	case status.Primary || status.Term > ref.Term:
		if suppressed, ok := r.logSampler.Allow("verify" + m.ID); ok {
			entry().WithFields(logrus.Fields{"leads": status.Primary, "its_term": status.Term, "left_out": suppressed}).
				Info("relay: the grant is not confirmed, and another member is primary or knows a newer term")
		}
		return false
	}
	return true
}

// status asks a member for its status on a pooled connection.
func (u *Upstreams) status(id string, timeout time.Duration) (member.Status, error) {
	upstream := u.get(id)
	if upstream == nil {
		return member.Status{}, errNoMemberEntry
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	sentAt := u.now()
	lease, err := upstream.pool.Acquire(ctx, pool.Request{AnyAccount: true, Priority: probePriority, Deadline: sentAt + timeout}, nil)
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
