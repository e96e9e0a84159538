package peerconn

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The load: an instance that answers late, asked over and over. One connection after
// another to it would cost both what they need to answer in time.
func TestBusyInstanceIsNotConnectedOverAndOver(t *testing.T) {
	r, now, renewals := &renewal{}, time.Unix(0, 0), 0
	for range 100 { // calls of 0.3 s, for half a minute
		now = now.Add(300 * time.Millisecond)
		if r.due(now) {
			renewals++
		}
	}
	must.Eq(t, 7, renewals)
}

// A connection that has gone silent for good is given up with the first call, also when that
// happened before, long ago.
func TestSilentConnectionIsGivenUpAtOnce(t *testing.T) {
	r := &renewal{}
	must.True(t, r.due(time.Unix(1, 0)))
	must.False(t, r.due(time.Unix(1, 0).Add(minRenewal-1)))
	must.True(t, r.due(time.Unix(1, 0).Add(minRenewal)))
	later := time.Unix(2, 0).Add(forgetRenewals)
	must.True(t, r.due(later))
	must.True(t, r.due(later.Add(minRenewal)))
}
