package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/stackspindle/stackspindle/internal/feed"
	"github.com/stackspindle/stackspindle/internal/feed/feedpb"
	"github.com/stackspindle/stackspindle/internal/kv"
	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/rendezvous"
)

// Settings of the calls to the store and to the instances that watch it.
const (
	// watchSlack is allowed for network latency and a slow store on top of a watch's wait. A slower
	// store counts as unresponsive: the other instances and the members confirm grants in its
	// place.
	watchSlack = 700 * time.Millisecond
	// watchMargin is reserved for reading the store again and passing the changes on to followers.
	watchMargin = 800 * time.Millisecond
	// minWatchWait bounds how often the store is called, however small Settings.StoreSilence is.
	minWatchWait = 300 * time.Millisecond
	// minWatchPause and maxWatchPause bound the pause after a watch returned changes. The pause
	// doubles while changes come in bursts, as at a start, so that one call returns many of them; a
	// configuration must be in force within 3 s.
	minWatchPause = 30 * time.Millisecond
	maxWatchPause = 800 * time.Millisecond
	// burstInterval is how soon after a watch was sent changes must arrive to count as a burst.
	burstInterval = 500 * time.Millisecond
	// fullAnswerEvents is the number of changes from which an answer of the store needs no pause to
	// gather more.
	fullAnswerEvents = 100
	// storeTimeout bounds any store call except a list.
	storeTimeout = 1500 * time.Millisecond
	// initialSnapshotWait is how long a starting instance waits for a snapshot from other instances
	// before it reads the store itself. It does so only in fleets of at least
	// minFleetForPeerSnapshot registered instances; a list of fewer instances with their groups is
	// a single answer of the store.
	initialSnapshotWait     = 3 * time.Second
	minFleetForPeerSnapshot = 64
	// listTimeout bounds a list of the whole store, whose answer may be long. A list that stalls is
	// ended sooner by the store's client.
	listTimeout = 10 * time.Second
	// pollWait is how long another instance may hold a poll open, and pollSlack is allowed for
	// network latency on top. Two unreachable sources in a row delay a change by 1.8 s, of the 3 s
	// within which a configuration must be in force.
	pollWait = 600 * time.Millisecond
	// pollPause is the pause of an instance of a large fleet after a poll returned changes, so that
	// the next answer holds more: the cost of applying an answer includes an iteration over
	// all instances.
	pollPause = 200 * time.Millisecond
	// peersTTL is for how long an instance of a large fleet keeps the list of instances that it
	// polls, since each new list has to be ranked in full.
	peersTTL  = time.Second
	pollSlack = 300 * time.Millisecond
)

// errNoLiveSource says that the polled instance has no live update source itself.
var errNoLiveSource = errors.New("the instance has had no news of the store")

// change is an update on its way to the control goroutine.
type change struct {
	feed.Update
	applied chan struct{} // closed once the update is in force
}

// follow keeps this instance's copy of the store up to date, from the store or from the instances
// that watch it.
func (i *Instance) follow() error {
	pause := minWatchPause
	i.setGCPercent(0)
	selector := feed.NewSelector(rendezvous.Instance{Name: i.self.Name, DataCentre: i.self.DataCentre})
	selector.SetLocalities(i.settings.Localities)
	peers, peersExpiry := i.initialPeers(), time.Duration(0)
	selector.AvoidStoreUntil(i.now() + initialSnapshotWait)
	for i.ctx.Err() == nil {
		if view := i.view.Load(); !view.SameInstances(peers.view) && i.now() >= peersExpiry {
			peers, peersExpiry = i.alivePeers(view), i.now()+i.peersValidFor()
		}
		choice := selector.Next(i.now(), peers.candidates)
		sleep(i.ctx, choice.Delay)
		update, err := i.fetch(choice.Name, peers.addresses[choice.Name], &pause)
		switch {
		case i.ctx.Err() != nil:
			return nil
		case err == nil:
			i.applyUpdate(update)
			err = i.checkLive(choice.Name, update)
		}
		i.recordResult(selector, choice.Name, err)
		switch {
		case err == nil && choice.Name == feed.Store && shouldPause(update):
			sleep(i.ctx, pause)
		case err == nil && choice.Name != feed.Store && len(update.Events) > 0 && i.mirror.Len() >= largeStoreKeys:
			sleep(i.ctx, pollPause)
		}
	}
	return nil
}

// shouldPause reports whether the follower pauses after a watch so that the next one returns more
// changes at once. There is no pause after an answer with many changes: the store bounds its
// answers, and where many instances start, pausing would put an instance seconds behind.
func shouldPause(u feed.Update) bool {
	return !u.Snapshot && len(u.Events) > 0 && len(u.Events) < fullAnswerEvents
}

// peers are the instances with a valid lease.
type peers struct {
	view       *lead.View // from which they were taken
	addresses  map[string]string
	candidates []rendezvous.Instance
}

func (i *Instance) alivePeers(view *lead.View) peers { return newPeers(view, view.Alive()) }

// peersValidFor returns how long the current list of peers is used before it is rebuilt.
func (i *Instance) peersValidFor() time.Duration {
	if i.mirror.Len() >= largeStoreKeys {
		return peersTTL
	}
	return 0
}

func newPeers(view *lead.View, alive []lead.Instance) peers {
	p := peers{view: view, addresses: make(map[string]string, len(alive)), candidates: make([]rendezvous.Instance, 0, len(alive))}
	for _, peer := range alive {
		p.addresses[peer.Name] = peer.Address
		p.candidates = append(p.candidates, rendezvous.Instance{
			Name: peer.Name, DataCentre: peer.DataCentre, Weight: peer.Capacity.StatementsPerSecond(),
		})
	}
	return p
}

// initialPeers returns the registered instances before anything else of the store is known. An
// instance of a large fleet gets its first snapshot from the watchers among them: a thousand
// instances that start together and all read the whole store would saturate its network link for
// many seconds. For a small fleet it returns none, and the instance reads the store itself.
func (i *Instance) initialPeers() peers {
	ctx, cancel := context.WithTimeout(i.ctx, initialSnapshotWait)
	defer cancel()
	view := i.view.Load()
	if i.settings.FirstStart {
		select {
		case <-i.registered: // each instance finds those that have registered before it
		case <-ctx.Done():
		}
	}
	items, _, err := i.platform.Store.List(ctx, lead.PrefixInstances)
	if err != nil {
		i.part("follower").WithError(err).Info("follower: the registered instances cannot be listed; reading the whole store")
		return peers{view: view}
	}
	registered, err := view.Replace(i.now(), items)
	if err != nil {
		i.part("follower").WithError(err).Error("follower: an entry written by an instance cannot be decoded; ignoring it")
	}
	all := registered.Registered(i.now())
	if len(all) < minFleetForPeerSnapshot {
		return peers{view: view}
	}
	i.setGCPercent(largeStoreKeys)
	if !slices.ContainsFunc(all, func(other lead.Instance) bool { return other.Name == i.self.Name }) {
		all = append(all, i.self)
	}
	return newPeers(view, all)
}

// checkLive returns an error for an update from an instance that has no live source itself.
func (i *Instance) checkLive(source string, u feed.Update) error {
	if source == feed.Store || feed.IsLive(i.now(), u.LiveAt) {
		return nil
	}
	return fmt.Errorf("%w for %s", errNoLiveSource, (i.now() - u.LiveAt).Round(time.Millisecond))
}

// recordResult records the result of a poll. It logs the first failure of a source and its
// recovery.
func (i *Instance) recordResult(selector *feed.Selector, name string, err error) {
	i.mirror.SetWatching(i.now(), name == feed.Store && err == nil)
	log := i.part("follower").WithField("source", sourceName(name)).WithField("revision", i.mirror.Revision())
	if err == nil {
		if selector.RecordSuccess(name) {
			log.Info("follower: a source of news answers again")
		}
		return
	}
	failure := feed.Unresponsive
	if errors.Is(err, errNoLiveSource) || !i.hasReadStore() {
		failure = feed.Stale // where many instances start at once, one that has not read the store yet soon will
	}
	if selector.RecordFailure(i.now(), name, failure) {
		log.WithError(err).Warn("follower: a source of news does not tell how the store stands now")
	}
}

func sourceName(name string) string {
	if name == feed.Store {
		return "store"
	}
	return name
}

// fetch gets the next update from the store, or from the instance at an address.
func (i *Instance) fetch(name, address string, pause *time.Duration) (feed.Update, error) {
	if name != feed.Store {
		return i.pollPeer(address)
	}
	after := i.mirror.Revision()
	if after > 0 {
		update, err := i.watchOnce(after, pause)
		if !errors.Is(err, kv.ErrCompacted) {
			return update, err
		}
		i.part("follower").WithField("revision", after).Info("follower: the store's history was compacted; reading a snapshot")
	}
	return i.listOnce()
}

// pollPeer polls the instance at an address. If the digest shows that the update misses removals,
// it asks for a snapshot instead.
func (i *Instance) pollPeer(address string) (feed.Update, error) {
	conn, err := i.conns.Get(address)
	if err != nil {
		return feed.Update{}, err
	}
	ctx, cancel := context.WithTimeout(i.ctx, pollWait+pollSlack)
	defer cancel()
	client := feedpb.NewFeedClient(conn)
	update, err := feed.Poll(ctx, client, i.mirror.Revision(), pollWait, i.now())
	if err != nil || i.mirror.DigestMatches(update) {
		return update, err
	}
	return feed.Poll(ctx, client, 0, pollWait, i.now())
}

// listOnce reads a snapshot from the store.
func (i *Instance) listOnce() (feed.Update, error) {
	ctx, cancel := context.WithTimeout(i.ctx, listTimeout)
	defer cancel()
	sent := i.now()
	items, revision, err := i.platform.Store.List(ctx, "")
	if err != nil {
		return feed.Update{}, err
	}
	snapshot := feed.Update{Snapshot: true, Revision: revision, ConfirmedAt: sent}
	for _, item := range items {
		snapshot.Events = append(snapshot.Events, kv.Event{Item: item})
	}
	return snapshot, nil
}

// watchWait returns how long the store may hold a watch open so that a lack of updates is noticed
// within limit. When the store compacts its history, a waiting watch may return neither changes nor
// the compaction error, so each watch must end in time.
func watchWait(limit time.Duration) time.Duration {
	return min(max(minWatchWait, limit-watchSlack-watchMargin), lead.ConfirmInterval)
}

// watchOnce waits for changes after a revision. pause is how long the follower pauses after a watch
// with changes, and is carried over from one watch to the next.
func (i *Instance) watchOnce(after int64, pause *time.Duration) (feed.Update, error) {
	wait := watchWait(i.settings.StoreSilence)
	if i.watchFailed {
		wait = time.Millisecond // a quick answer confirms the grants sooner
	}
	ctx, cancel := context.WithTimeout(i.ctx, wait+watchSlack)
	defer cancel()
	i.stopWatch.Store(&cancel)
	sent := i.now()
	events, revision, err := i.platform.Store.Watch(ctx, "", after, wait)
	i.watchFailed = err != nil
	if err != nil {
		return feed.Update{}, err
	}
	if len(events) > 0 {
		*pause = min(2**pause, maxWatchPause)
	}
	if i.now()-sent > burstInterval {
		*pause = minWatchPause
	}
	return feed.Update{Events: events, Revision: revision, ConfirmedAt: sent}, nil
}

// applyUpdate applies an update to the mirror, has the control goroutine put the new part of it
// into force, and waits until it has.
func (i *Instance) applyUpdate(u feed.Update) {
	c := change{Update: i.mirror.Apply(u), applied: make(chan struct{})}
	i.setGCPercent(i.mirror.Len())
	select {
	case i.changes <- c:
		select {
		case <-c.applied:
		case <-i.ctx.Done():
		}
	case <-i.ctx.Done():
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
