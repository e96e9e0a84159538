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
	// renewalsPerTTL is how often a lease is renewed within its time, and
	// timeoutsPerTTL how many times the wait for an answer fits into it: after a
	// renewal without an answer there is time for another. Each is charged.
	renewalsPerTTL = 2
	timeoutsPerTTL = 3
	// registerPause is the pause after a call that did not succeed; it doubles with
	// each further one up to maxRegisterPause. Each call is charged, refused ones too.
	registerPause    = 150 * time.Millisecond
	maxRegisterPause = 1200 * time.Millisecond
)

// keepRegistered keeps the instance's entry in the store, on a lease.
func (i *Instance) keepRegistered() error {
	if !i.settings.FirstStart {
		select {
		case <-i.readStore: // callers are sent to a registered instance, which must know whom it serves
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

// registrationStep does what is due and returns when to come back, or false when a
// call did not succeed.
func (i *Instance) registrationStep() (time.Duration, bool) {
	if i.stopping.Load() {
		return registerPause, true
	}
	log := i.part("registration")
	view := i.view.Load()
	id := kv.LeaseID(i.lease.Load())
	if id == 0 || i.isMissing(view) {
		if err := i.register(view); err != nil {
			log.WithError(err).Info("registration: did not succeed, or its answer was lost")
			return 0, false
		}
		log.Info("registration: the instance is registered")
		return i.settings.LeaseTTL / renewalsPerTTL, true
	}
	ctx, cancel := context.WithTimeout(i.ctx, i.settings.LeaseTTL/timeoutsPerTTL)
	defer cancel()
	started := i.now()
	switch err := i.platform.Store.Renew(ctx, id); {
	case errors.Is(err, kv.ErrNoLease):
		i.storeAnswers()
		log.Warn("registration: the lease is over; registering anew")
		i.lease.CompareAndSwap(int64(id), 0)
		return 0, true
	case err != nil:
		i.doubted.Store(true)
		log.WithError(err).Info("registration: the lease was not renewed")
		return 0, false
	}
	i.storeAnswers()
	i.settle(view, id)
	i.forget(view)
	return max(registerPause, i.settings.LeaseTTL/renewalsPerTTL-(i.now()-started)), true
}

// isMissing reports whether a view that must show this process as alive does not.
func (i *Instance) isMissing(view *lead.View) bool {
	return !view.IsAlive(i.self.Name, i.self.Incarnation) && i.inForce.Load() >= i.registeredAs
}

// storeAnswers begins the watch anew when the store answers after it did not: the
// watch may hang on a connection that broke silently meanwhile.
func (i *Instance) storeAnswers() {
	if !i.doubted.Swap(false) {
		return
	}
	if stop := i.stopWatch.Load(); stop != nil {
		(*stop)()
	}
}

// register opens a lease and writes the instance's entry, together with the sign
// that it is alive.
func (i *Instance) register(view *lead.View) error {
	ctx, cancel := context.WithTimeout(i.ctx, storeTimeout)
	defer cancel()
	lease, err := i.platform.Store.Grant(ctx, i.settings.LeaseTTL)
	if err != nil {
		return err
	}
	err = i.commitRegistration(ctx, view, lease.ID)
	if conflict := (*kv.ConflictError)(nil); errors.As(err, &conflict) && !i.informed() {
		// A process that ended has left its entry, which this one has not read yet.
		known, _ := view.Replace(i.now(), conflict.Items)
		err = i.commitRegistration(ctx, known, lease.ID)
	}
	if err != nil {
		return err
	}
	i.lease.Store(int64(lease.ID))
	i.registerOnce.Do(func() { close(i.registered) })
	if !i.informed() {
		return nil // those who are asked for the first picture are found by what stands in the store
	}
	// The watch shows the entry; until then nothing else is to be written.
	for waited := time.Duration(0); waited < storeTimeout && i.ctx.Err() == nil; waited += registerPause / 10 {
		if i.view.Load().IsAlive(i.self.Name, i.self.Incarnation) {
			return nil
		}
		sleep(i.ctx, registerPause/10)
	}
	return nil
}

// commitRegistration writes the registration on top of what a view shows.
func (i *Instance) commitRegistration(ctx context.Context, view *lead.View, lease kv.LeaseID) error {
	// Before the call, since its answer may be lost.
	i.limiter.SetSettledAt(i.settlement.begin(i.now(), view, i.self.Name, i.settings.FirstStart))
	revision, err := i.platform.Store.Commit(ctx, view.Registration(i.entry(), lease))
	i.registeredAs = revision
	return err
}

// forget removes the entries of instances that have been gone for long. One
// instance does it for all.
func (i *Instance) forget(view *lead.View) {
	if view.Rank("", i.self.Name) > 0 {
		return
	}
	for name, revision := range view.LapsedEntries(i.now()) {
		ctx, cancel := context.WithTimeout(i.ctx, storeTimeout)
		_, err := i.platform.Store.Commit(ctx, lead.RemovalTxn(name, revision))
		cancel()
		i.part("registration").WithField("gone", name).WithError(err).Info("registration: removing the entry of an instance that is gone")
	}
}

// Event implements lead.Surroundings.
func (s surroundings) Event(kind, group, member string, term uint64, text string) {
	s.i.set.GetOrCreateCounter(`stackspindle_events_total{kind="` + kind + `"}`).Inc()
	e := s.i.ring.Add(timeline.Event{Kind: kind, Group: group, Member: member, Term: term, Text: text})
	s.i.part("timeline").WithField("kind", e.Kind).WithField("group", e.Group).WithField("member", e.Member).
		WithField("term", e.Term).Info("timeline: " + e.Text)
}
