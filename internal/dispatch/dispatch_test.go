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

// An announcement ends the epochs of all other instances but not of the announced
// owner, even if the owner was in use before it was announced.
func TestAnnouncementCancelsRequestsToOtherInstances(t *testing.T) {
	d := New("me", placement{"a", "b"}, peer.NewClient(nil, &peer.Traffic{}))
	atA, atB := d.epoch("g", "a"), d.epoch("g", "b")
	d.SetOwner("g", "a", 2)
	must.NoError(t, atA.Err())
	must.Error(t, atB.Err())
	d.SetOwner("g", "b", 1)
	name, term := d.Owner("g")
	must.Eq(t, "a", name, must.Sprint("an older announcement must be ignored"))
	must.Eq(t, uint64(2), term)
	d.SetOwner("g", "b", 3)
	must.Error(t, atA.Err())
}

// A request that ends within the grace period after the end of its epoch is not
// aborted; one that takes longer is.
func TestReplacedOwnerMayAnswerWithinGrace(t *testing.T) {
	epoch, end := context.WithCancel(t.Context())
	var broken atomic.Bool
	stop := breakAfterGrace(epoch, func() { broken.Store(true) })
	end()
	stop()
	time.Sleep(2 * replacedOwnerGrace)
	must.False(t, broken.Load())
	late := make(chan struct{})
	defer breakAfterGrace(epoch, func() { close(late) })()
	<-late
}

func TestTargetUsesLastKnownOwner(t *testing.T) {
	d := New("me", placement{"a", "b"}, peer.NewClient(nil, &peer.Traffic{}))
	must.Eq(t, "a", d.target("g", 1))
	must.Eq(t, "b", d.target("g", 2))
	d.updateOwner("g", "a", Result{Done: &peerpb.Done{Refusal: peerpb.Refusal_REFUSAL_NOT_OWNER, Owner: "c"}}, nil)
	must.Eq(t, "c", d.target("g", 2))
	d.updateOwner("g", "c", Result{}, peer.ErrNotSent)
	must.Eq(t, "a", d.target("g", 1))
	d.updateOwner("g", "b", Result{Done: &peerpb.Done{}}, nil)
	must.Eq(t, "b", d.target("g", 1))
}
