package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func newTestState() *State {
	s := New(DefaultConfig(), Instance{Name: "me", DataCentre: "a"})
	s.SetList(0, []Instance{{Name: "x", Address: "1"}, {Name: "y", Address: "2"}, {Name: "me"}})
	return s
}

func liveNames(s *State, now time.Duration) []string {
	var live []string
	for _, i := range s.Live(now) {
		live = append(live, i.Name)
	}
	return live
}

func TestUnresponsiveInstanceReturns(t *testing.T) {
	s := newTestState()
	must.Eq(t, []string{"me", "x", "y"}, liveNames(s, 0))
	s.RecordFailedProbe(time.Second, "x", false)
	must.Eq(t, []string{"me", "x", "y"}, liveNames(s, 1500*time.Millisecond))
	must.Eq(t, []string{"me", "y"}, liveNames(s, 1700*time.Millisecond))
	s.RecordContact(2*time.Second, "x", false) // x was paused and answers again
	must.Eq(t, []string{"me", "x", "y"}, liveNames(s, 2*time.Second))
}

func TestRefusedConnectionShortensTimeout(t *testing.T) {
	s := newTestState()
	s.RecordFailedProbe(time.Second, "x", true)
	must.True(t, s.Down(1200*time.Millisecond, "x"))
	s.RecordFailedProbe(time.Second, "y", false)
	must.False(t, s.Down(1200*time.Millisecond, "y"))
}

func TestProcessPauseClearsMissedProbes(t *testing.T) {
	s := newTestState()
	s.Tick(time.Second)
	s.RecordFailedProbe(time.Second, "x", false)
	s.Tick(10 * time.Second)
	must.Eq(t, []string{"me", "x", "y"}, liveNames(s, 10*time.Second))
}

// The platform's list is out of date: an unlisted instance that is in contact is
// kept, and one that announces that it is leaving is removed immediately.
func TestStalePlatformList(t *testing.T) {
	s := newTestState()
	s.Introduce(time.Second, Instance{Name: "new", Address: "3"})
	s.SetList(2*time.Second, []Instance{{Name: "y", Address: "2"}})
	must.Eq(t, []string{"me", "new", "y"}, liveNames(s, 2*time.Second), must.Sprint("x was known from the list only"))
	s.RecordContact(2*time.Second, "y", true)
	must.Eq(t, []string{"me", "new"}, liveNames(s, 2*time.Second))
	s.SetList(10*time.Minute, []Instance{{Name: "y", Address: "2", Leaving: true}})
	must.Eq(t, []string{"me"}, liveNames(s, 10*time.Minute), must.Sprint("the last contact with new is too long ago"))
}

func TestLeavingInstanceIsNotLive(t *testing.T) {
	s := newTestState()
	s.SetSelfLeaving()
	must.Eq(t, []string{"x", "y"}, liveNames(s, 0))
	must.LessEq(t, DefaultConfig().Neighbours, len(s.Neighbours()))
}
