package peerconn

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Repeated calls to an overloaded instance that answers late must not open one connection after
// another: that would cost both sides the time that they need to answer.
func TestReplacementBackoff(t *testing.T) {
	r, now, replacements := &replacement{}, time.Unix(0, 0), 0
	for range 100 { // calls of 0.3 s each, for 30 s
		now = now.Add(300 * time.Millisecond)
		if r.allow(now) {
			replacements++
		}
	}
	must.Eq(t, 7, replacements)
}

// An unresponsive connection is replaced after the first call that times out, also if the
// connection to that address was replaced before, long ago.
func TestUnresponsiveConnectionIsReplacedAtOnce(t *testing.T) {
	r := &replacement{}
	must.True(t, r.allow(time.Unix(1, 0)))
	must.False(t, r.allow(time.Unix(1, 0).Add(minReplaceInterval-1)))
	must.True(t, r.allow(time.Unix(1, 0).Add(minReplaceInterval)))
	later := time.Unix(2, 0).Add(replaceReset)
	must.True(t, r.allow(later))
	must.True(t, r.allow(later.Add(minReplaceInterval)))
}
