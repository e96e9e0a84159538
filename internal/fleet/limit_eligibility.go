package fleet

import (
	"context"
	"time"

	"github.com/stackspindle/stackspindle/internal/kv"
	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/quota"
)

// firstStartDelay is how long after its registration an instance becomes eligible for limit shares
// when all instances start for the first time. Nobody has held shares before; within this time all
// have registered and know each other.
const firstStartDelay = 3 * time.Second

// limitEligibility is the state, in this instance's registration, of whether it may hold shares of
// the accounts' limits. It is used by the registration goroutine only.
type limitEligibility struct {
	registered bool          // this process has seen its registration in the store
	eligible   bool          // as the registration says, or is about to say
	eligibleAt time.Duration // when the registration is to say so; valid while eligible is false
}

// prepare decides whether the registration that is about to be written says that the instance is
// eligible, and returns from when on the instance may hold shares. An instance whose stored entry
// says so remains eligible. At the first start of all instances each one is, since nobody has held
// shares. Any other instance joins while others hold the shares, and has to wait until they know of
// it.
func (e *limitEligibility) prepare(now time.Duration, view *lead.View, name string, firstStart bool) time.Duration {
	stored, revision := view.Instance(name)
	isFirstStart := firstStart && !e.registered && now < quota.MaxSnapshotAge
	e.eligible = revision > 0 && stored.EligibleForLimits || revision == 0 && isFirstStart
	switch {
	case e.eligible && isFirstStart:
		return now + firstStartDelay
	case e.eligible:
		return 0
	}
	e.eligibleAt = now + storeTimeout + quota.SettleAfter
	return e.eligibleAt
}

// registrationEntry returns the instance's entry for the store.
func (i *Instance) registrationEntry() lead.Instance {
	entry := i.self
	entry.EligibleForLimits, entry.SeenRevision = i.limitEligibility.eligible, i.appliedRevision.Load()
	return entry
}

// writeEligibility writes the instance's eligibility to its registration once the wait is over, so
// that a restarted process need not wait again.
func (i *Instance) writeEligibility(view *lead.View, lease kv.LeaseID) {
	e := &i.limitEligibility
	e.registered = true
	if e.eligible || i.now() < e.eligibleAt {
		return
	}
	e.eligible = true
	ctx, cancel := context.WithTimeout(i.ctx, storeTimeout)
	defer cancel()
	if _, err := i.platform.Store.Commit(ctx, view.RegistrationTxn(i.registrationEntry(), lease)); err != nil {
		e.eligible = false
		e.eligibleAt = i.now() + registerPause // the answer may have been lost, then the store has it already
		i.part("registration").WithError(err).Info("registration: the eligibility for limit shares was not written, or the answer was lost")
	}
}
