package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/stackspindle/stackspindle/internal/kv"
	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/timeline"
)

// Settings of the registration.
const (
	// renewalsPerTTL is how often a lease is renewed within its TTL. timeoutsPerTTL is how many
	// call timeouts fit into the TTL: after a renewal without an answer there is time for another.
	// Each call is charged.
	renewalsPerTTL = 2
	timeoutsPerTTL = 3
	// registerPause is the pause after a failed call. It doubles with each further failure, up to
	// maxRegisterPause. Each call is charged, rejected ones too.
	registerPause    = 150 * time.Millisecond
	maxRegisterPause = 1200 * time.Millisecond
)

// maintainRegistration keeps the instance's entry in the store, on a lease, until the instance
// stops.
func (i *Instance) maintainRegistration() error {
	if !i.settings.FirstStart {
		select {
		case <-i.storeRead: // clients are sent to registered instances, which must have the configuration by then
		case <-i.ctx.Done():
		}
	}
	retry := registerPause
	for i.ctx.Err() == nil {
		pause, ok := i.registrationStep()
		if ok {
			retry = registerPause
		} else {
			pause, retry = retry, min(2*retry, maxRegisterPause)
		}
		sleep(i.ctx, pause)
	}
	return nil
}

// registrationStep makes the call that is due: a registration or a lease renewal. It returns the
// pause until the next step, or false if the call failed.
func (i *Instance) registrationStep() (time.Duration, bool) {
	if i.stopping.Load() {
		return registerPause, true
	}
	log := i.part("registration")
	view := i.view.Load()
	id := kv.LeaseID(i.lease.Load())
	if id == 0 || i.isMissing(view) {
		if err := i.register(view); err != nil {
			log.WithError(err).Info("registration: could not be written, or the answer was lost")
			return 0, false
		}
		log.Info("registration: the instance is registered")
		return i.settings.LeaseTTL / renewalsPerTTL, true
	}
	ctx, cancel := context.WithTimeout(i.ctx, i.settings.LeaseTTL/timeoutsPerTTL)
	defer cancel()
	started := i.now()
	switch err := i.platform.Store.Renew(ctx, id); {
	case errors.Is(err, kv.ErrLeaseExpired):
		i.restartWatchAfterOutage()
		log.Warn("registration: the lease has expired; registering again")
		i.lease.CompareAndSwap(int64(id), 0)
		return 0, true
	case err != nil:
		i.renewalUnanswered.Store(true)
		log.WithError(err).Info("registration: the lease was not renewed")
		return 0, false
	}
	i.restartWatchAfterOutage()
	i.writeEligibility(view, id)
	i.removeDeparted(view)
	return max(registerPause, i.settings.LeaseTTL/renewalsPerTTL-(i.now()-started)), true
}

// isMissing reports whether a view that is recent enough to show this process as alive does not
// show it.
func (i *Instance) isMissing(view *lead.View) bool {
	return !view.IsAlive(i.self.Name, i.self.Incarnation) && i.appliedRevision.Load() >= i.registeredRevision
}

// restartWatchAfterOutage restarts the watch when the store answers a renewal again after it did
// not: the watch may hang on a connection that broke without an error.
func (i *Instance) restartWatchAfterOutage() {
	if !i.renewalUnanswered.Swap(false) {
		return
	}
	if stop := i.stopWatch.Load(); stop != nil {
		(*stop)()
	}
}

// register grants a lease and writes the instance's entry together with its liveness key, which the
// lease removes.
func (i *Instance) register(view *lead.View) error {
	ctx, cancel := context.WithTimeout(i.ctx, storeTimeout)
	defer cancel()
	lease, err := i.platform.Store.Grant(ctx, i.settings.LeaseTTL)
	if err != nil {
		return err
	}
	err = i.commitRegistration(ctx, view, lease.ID)
	if conflict := (*kv.ConflictError)(nil); errors.As(err, &conflict) && !i.hasReadStore() {
		// A previous process left its entry, and this one has not read the store yet.
		stored, _ := view.Replace(i.now(), conflict.Items)
		err = i.commitRegistration(ctx, stored, lease.ID)
	}
	if err != nil {
		return err
	}
	i.lease.Store(int64(lease.ID))
	i.registerOnce.Do(func() { close(i.registered) })
	if !i.hasReadStore() {
		return nil // other instances find this one by its entry in the store
	}
	// Waits until the watch shows the entry: before that, a further write would conflict.
	for waited := time.Duration(0); waited < storeTimeout && i.ctx.Err() == nil; waited += registerPause / 10 {
		if i.view.Load().IsAlive(i.self.Name, i.self.Incarnation) {
			return nil
		}
		sleep(i.ctx, registerPause/10)
	}
	return nil
}

// commitRegistration writes the registration, on condition that the entry is as the view shows it.
func (i *Instance) commitRegistration(ctx context.Context, view *lead.View, lease kv.LeaseID) error {
	// Set before the call, since its answer may be lost.
	i.limiter.SetSettledAt(i.limitEligibility.prepare(i.now(), view, i.self.Name, i.settings.FirstStart))
	revision, err := i.platform.Store.Commit(ctx, view.RegistrationTxn(i.registrationEntry(), lease))
	i.registeredRevision = revision
	return err
}

// removeDeparted removes the entries of instances that have been gone for long. The first instance
// by rank does it for all.
func (i *Instance) removeDeparted(view *lead.View) {
	if view.Rank("", i.self.Name) > 0 {
		return
	}
	for name, revision := range view.LapsedEntries(i.now()) {
		ctx, cancel := context.WithTimeout(i.ctx, storeTimeout)
		_, err := i.platform.Store.Commit(ctx, lead.RemovalTxn(name, revision))
		cancel()
		i.part("registration").WithField("gone", name).WithError(err).Info("registration: removing the entry of a departed instance")
	}
}

// Event implements lead.Environment. It counts the event, adds it to the timeline and logs it.
func (s environment) Event(kind, group, member string, term uint64, text string) {
	s.i.metricsSet.GetOrCreateCounter(`stackspindle_events_total{kind="` + kind + `"}`).Inc()
	e := s.i.events.Add(timeline.Event{Kind: kind, Group: group, Member: member, Term: term, Text: text})
	s.i.part("timeline").WithField("kind", e.Kind).WithField("group", e.Group).WithField("member", e.Member).
		WithField("term", e.Term).Info("timeline: " + e.Text)
}
