package fleet

import (
	"context"
	"time"

	"github.com/stackspindle/stackspindle/internal/kv"
	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/quota"
)

// firstStartPause is how long after its registration an instance holds shares where the
// whole fleet starts for the first time. Nobody has held any before; within it all have
// registered and know of one another.
const firstStartPause = 3 * time.Second

// settlement is what stands in the instance's registration about shares of the accounts'
// limits. It belongs to the goroutine that registers.
type settlement struct {
	registered bool          // this process was seen to be registered
	settled    bool          // as the registration says, or is to say
	due        time.Duration // when it is to say so; meaningful while it does not
}

// begin decides what a registration that is about to be written says, by what stands in
// the store, and returns from when on the instance may hold shares. One that was settled
// stays so. At the fleet's first start everybody is, since nobody has held shares. Else
// the instance joins a fleet whose shares others hold, and waits.
func (s *settlement) begin(now time.Duration, view *lead.View, name string, firstStart bool) time.Duration {
	known, revision := view.Instance(name)
	first := firstStart && !s.registered && now < quota.Validity
	s.settled = revision > 0 && known.Settled || revision == 0 && first
	switch {
	case s.settled && first:
		return now + firstStartPause
	case s.settled:
		return 0
	}
	s.due = now + storeTimeout + quota.SettleAfter
	return s.due
}

// entry returns what the instance's registration says.
func (i *Instance) entry() lead.Instance {
	entry := i.self
	entry.Settled, entry.Seen = i.settlement.settled, i.inForce.Load()
	return entry
}

// settle has the registration say that the instance has settled, once it has. Without
// it a process that is started again would have to wait anew.
func (i *Instance) settle(view *lead.View, lease kv.LeaseID) {
	s := &i.settlement
	s.registered = true
	if s.settled || i.now() < s.due {
		return
	}
	s.settled = true
	ctx, cancel := context.WithTimeout(i.ctx, storeTimeout)
	defer cancel()
	if _, err := i.platform.Store.Commit(ctx, view.Registration(i.entry(), lease)); err != nil {
		s.settled = false
		s.due = i.now() + registerPause // or its answer was lost: then the store holds it already
		i.part("registration").WithError(err).Info("registration: that the instance has settled was not written, or its answer was lost")
	}
}
