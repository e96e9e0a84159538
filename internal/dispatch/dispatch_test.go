package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/owner"
	"github.com/stackspindle/stackspindle/internal/peer"
	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
)

type placement []string

func (p placement) Ranking(string) []string   { return p }
func (p placement) Local(string) *owner.Group { return nil }

// An announcement ends what is in flight at other instances, and only there,
// also when the announced owner was in use before it was known as such.
func TestAnnouncementEndsOtherEpochsOnly(t *testing.T) {
	d := New("me", placement{"a", "b"}, peer.NewClient(nil, &peer.Traffic{}))
	atA, atB := d.epoch("g", "a"), d.epoch("g", "b")
	d.SetOwner("g", "a", 2)
	must.NoError(t, atA.Err())
	must.Error(t, atB.Err())
	d.SetOwner("g", "b", 1)
	name, term := d.Owner("g")
	must.Eq(t, "a", name, must.Sprint("an older announcement changes nothing"))
	must.Eq(t, uint64(2), term)
	d.SetOwner("g", "b", 3)
	must.Error(t, atA.Err())
}

// The end of an epoch does not cut off an answer that is about to come: what ends
// meanwhile is left alone, and only what does not is broken off.
func TestReplacedOwnerMayStillAnswer(t *testing.T) {
	epoch, end := context.WithCancel(t.Context())
	var broken atomic.Bool
	stop := breakAfter(epoch, func() { broken.Store(true) })
	end()
	stop()
	time.Sleep(2 * announcedGrace)
	must.False(t, broken.Load())
	late := make(chan struct{})
	defer breakAfter(epoch, func() { close(late) })()
	<-late
}

func TestTargetFollowsWhatWasLearned(t *testing.T) {
	d := New("me", placement{"a", "b"}, peer.NewClient(nil, &peer.Traffic{}))
	must.Eq(t, "a", d.target("g", 1))
	must.Eq(t, "b", d.target("g", 2))
	d.learn("g", "a", Result{Done: &peerpb.Done{Refusal: peerpb.Refusal_REFUSAL_NOT_OWNER, Owner: "c"}}, nil)
	must.Eq(t, "c", d.target("g", 2))
	d.learn("g", "c", Result{}, peer.ErrNotSent)
	must.Eq(t, "a", d.target("g", 1))
	d.learn("g", "b", Result{Done: &peerpb.Done{}}, nil)
	must.Eq(t, "b", d.target("g", 1))
}
