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
	"github.com/stackspindle/stackspindle/internal/ownership"
)

// Settings of the calls to the store and to those that watch it.
const (
	// watchSlack covers the way of a watch and a slow store. One that is slower counts
	// as silent here: the other instances and the members stand in for it.
	watchSlack = 700 * time.Millisecond
	// watchMargin is kept for reading the store anew and telling those that follow.
	watchMargin = 800 * time.Millisecond
	// minWatchTime bounds how often the store is asked, however short its silence
	// may be.
	minWatchTime = 300 * time.Millisecond
	// minWatchPause and maxWatchPause bound the pause after changes came. It doubles
	// while they come in quick succession, as at a start, so that one call reads
	// many of them; a configuration must be in force within 3 s.
	minWatchPause = 30 * time.Millisecond
	maxWatchPause = 800 * time.Millisecond
	// quickSuccession is how soon after a watch was sent changes must have come to
	// count as such.
	quickSuccession = 500 * time.Millisecond
	// manyEvents is how many changes make an answer of the store worth its call.
	manyEvents = 100
	// storeTimeout bounds any other call but a list.
	storeTimeout = 1500 * time.Millisecond
	// firstPicture is for how long an instance that starts leaves it to others to tell it what
	// the store holds, and smallFleet below how many it does not: a list of so many instances and
	// their groups is one answer of the store.
	firstPicture = 3 * time.Second
	smallFleet   = 64
	// listTimeout bounds a list of all that the store holds, whose answer may be long. One
	// that stalls ends sooner, by the store's client.
	listTimeout = 10 * time.Second
	// followTime is how long another instance may hold a question, and followSlack
	// covers its way. Two that are dark in turn delay a change by 1.8 s, of the 3 s
	// within which a configuration must be in force.
	followTime = 600 * time.Millisecond
	// followRest is the pause of an instance of a large fleet after it was told of changes, so that
	// the next answer holds more: each is taken in on top of a list of all instances.
	followRest = 200 * time.Millisecond
	// peersKept is for how long an instance of a large fleet chooses whom to ask among those that
	// it knew, since each change of one has all of them ranked.
	peersKept   = time.Second
	followSlack = 300 * time.Millisecond
)

// errNoNews says that another instance gets no news of the store itself.
var errNoNews = errors.New("the instance has had no news of the store")

// change is what the follower learned of the store.
type change struct {
	feed.Picture
	taken chan struct{} // closed once it is in force
}

// follow keeps the picture of the store up to date, from the store or from
// instances that watch it.
func (i *Instance) follow() error {
	rest := minWatchPause
	i.sizeHeap(0)
	sources := feed.NewSources(ownership.Instance{Name: i.self.Name, DataCentre: i.self.DataCentre})
	sources.Locate(i.settings.Places)
	peers, peersUntil := i.firstPeers(), time.Duration(0)
	sources.SpareStore(i.now() + firstPicture)
	for i.ctx.Err() == nil {
		if view := i.view.Load(); !view.SameInstances(peers.view) && i.now() >= peersUntil {
			peers, peersUntil = i.peersIn(view), i.now()+i.peersTime()
		}
		source := sources.Next(i.now(), peers.candidates)
		sleep(i.ctx, source.Rest)
		picture, err := i.askSource(source.Name, peers.addresses[source.Name], &rest)
		switch {
		case i.ctx.Err() != nil:
			return nil
		case err == nil:
			i.take(picture)
			err = i.outOfDate(source.Name, picture)
		}
		i.noteSource(sources, source.Name, err)
		switch {
		case err == nil && source.Name == feed.Store && restAfter(picture):
			sleep(i.ctx, rest)
		case err == nil && source.Name != feed.Store && len(picture.Events) > 0 && i.mirror.Len() >= largePicture:
			sleep(i.ctx, followRest)
		}
	}
	return nil
}

// restAfter reports whether a follower rests after a watch, so that the next brings more at
// once. One that has brought much need not wait for more: the store bounds its answers, and
// where many instances start, those that rest fall behind by seconds.
func restAfter(p feed.Picture) bool {
	return !p.Whole && len(p.Events) > 0 && len(p.Events) < manyEvents
}

// peers are the instances whose lease holds.
type peers struct {
	view       *lead.View // of which they are
	addresses  map[string]string
	candidates []ownership.Instance
}

func (i *Instance) peersIn(view *lead.View) peers { return newPeers(view, view.Alive()) }

// peersTime returns for how long the instances that are alive need not be gone through again.
func (i *Instance) peersTime() time.Duration {
	if i.mirror.Len() >= largePicture {
		return peersKept
	}
	return 0
}

func newPeers(view *lead.View, alive []lead.Instance) peers {
	p := peers{view: view, addresses: make(map[string]string, len(alive)), candidates: make([]ownership.Instance, 0, len(alive))}
	for _, peer := range alive {
		p.addresses[peer.Name] = peer.Address
		p.candidates = append(p.candidates, ownership.Instance{
			Name: peer.Name, DataCentre: peer.DataCentre, Weight: peer.Strength.StatementsPerSecond(),
		})
	}
	return p
}

// firstPeers returns the registered instances before anything else of the store is known. An
// instance of a large fleet takes its first picture from those of them that watch the store: a
// thousand that start together and read all of it would take its link for many seconds. In a small
// fleet, for which none are returned, each reads the store itself.
func (i *Instance) firstPeers() peers {
	ctx, cancel := context.WithTimeout(i.ctx, firstPicture)
	defer cancel()
	view := i.view.Load()
	if i.settings.FirstStart {
		select {
		case <-i.registered: // each finds those that have registered before it
		case <-ctx.Done():
		}
	}
	items, _, err := i.platform.Store.List(ctx, lead.PrefixInstances)
	if err != nil {
		i.part("follower").WithError(err).Info("follower: who is registered is not known; reading the whole store")
		return peers{view: view}
	}
	registered, err := view.Replace(i.now(), items)
	if err != nil {
		i.part("follower").WithError(err).Error("follower: an entry of our own could not be read and is left out")
	}
	all := registered.Registered(i.now())
	if len(all) < smallFleet {
		return peers{view: view}
	}
	i.sizeHeap(largePicture)
	if !slices.ContainsFunc(all, func(other lead.Instance) bool { return other.Name == i.self.Name }) {
		all = append(all, i.self)
	}
	return newPeers(view, all)
}

// outOfDate returns an error for what an instance told that gets no news itself.
func (i *Instance) outOfDate(source string, p feed.Picture) error {
	if source == feed.Store || feed.IsLive(i.now(), p.Live) {
		return nil
	}
	return fmt.Errorf("%w for %s", errNoNews, (i.now() - p.Live).Round(time.Millisecond))
}

// noteSource records what came of a question. The first failure of a source, and
// its end, are logged.
func (i *Instance) noteSource(sources *feed.Sources, name string, err error) {
	i.mirror.NoteWatch(i.now(), name == feed.Store && err == nil)
	log := i.part("follower").WithField("source", sourceName(name)).WithField("revision", i.mirror.Revision())
	if err == nil {
		if sources.Answered(name) {
			log.Info("follower: a source of news answers again")
		}
		return
	}
	how := feed.Silent
	if errors.Is(err, errNoNews) || !i.informed() {
		how = feed.Stale // where many start at once, those that have not yet do so soon
	}
	if sources.Failed(i.now(), name, how) {
		log.WithError(err).Warn("follower: a source of news does not tell how the store stands now")
	}
}

func sourceName(name string) string {
	if name == feed.Store {
		return "store"
	}
	return name
}

// askSource asks the store, or the instance at an address, for what is new.
func (i *Instance) askSource(name, address string, rest *time.Duration) (feed.Picture, error) {
	if name != feed.Store {
		return i.askPeer(address)
	}
	after := i.mirror.Revision()
	if after > 0 {
		picture, err := i.watchOnce(after, rest)
		if !errors.Is(err, kv.ErrCompacted) {
			return picture, err
		}
		i.part("follower").WithField("revision", after).Info("follower: the store's history is gone; reading it anew")
	}
	return i.listOnce()
}

func (i *Instance) askPeer(address string) (feed.Picture, error) {
	conn, err := i.conns.Get(address)
	if err != nil {
		return feed.Picture{}, err
	}
	ctx, cancel := context.WithTimeout(i.ctx, followTime+followSlack)
	defer cancel()
	client := feedpb.NewFeedClient(conn)
	picture, err := feed.Ask(ctx, client, i.mirror.Revision(), followTime, i.now())
	if err != nil || i.mirror.Completes(picture) {
		return picture, err
	}
	return feed.Ask(ctx, client, 0, followTime, i.now())
}

func (i *Instance) listOnce() (feed.Picture, error) {
	ctx, cancel := context.WithTimeout(i.ctx, listTimeout)
	defer cancel()
	sent := i.now()
	items, revision, err := i.platform.Store.List(ctx, "")
	if err != nil {
		return feed.Picture{}, err
	}
	picture := feed.Picture{Whole: true, Revision: revision, Confirmed: sent}
	for _, item := range items {
		picture.Events = append(picture.Events, kv.Event{Item: item})
	}
	return picture, nil
}

// watchTime returns how long the store may hold a watch when its silence must be
// noticed within a time. A watch can be deaf: when the store forgets its history,
// one that waits is told neither of changes nor of that. So each must end in time.
func watchTime(silence time.Duration) time.Duration {
	return min(max(minWatchTime, silence-watchSlack-watchMargin), lead.ConfirmEvery)
}

// watchOnce waits for changes after a revision. rest is for how long the follower
// rests after such, and is kept from one watch to the next.
func (i *Instance) watchOnce(after int64, rest *time.Duration) (feed.Picture, error) {
	wait := watchTime(i.settings.StoreSilence)
	if i.watchFailed {
		wait = time.Millisecond // an answer soon confirms the grants
	}
	ctx, cancel := context.WithTimeout(i.ctx, wait+watchSlack)
	defer cancel()
	i.stopWatch.Store(&cancel)
	sent := i.now()
	events, revision, err := i.platform.Store.Watch(ctx, "", after, wait)
	i.watchFailed = err != nil
	if err != nil {
		return feed.Picture{}, err
	}
	if len(events) > 0 {
		*rest = min(2**rest, maxWatchPause)
	}
	if i.now()-sent > quickSuccession {
		*rest = minWatchPause
	}
	return feed.Picture{Events: events, Revision: revision, Confirmed: sent}, nil
}

// take notes a picture for those that follow this instance, and has the control
// goroutine put in force what is new in it.
func (i *Instance) take(p feed.Picture) {
	c := change{Picture: i.mirror.Take(p), taken: make(chan struct{})}
	i.sizeHeap(i.mirror.Len())
	select {
	case i.changes <- c:
		select {
		case <-c.taken:
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
