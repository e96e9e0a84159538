package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func state() *State {
	s := New(DefaultConfig(), Instance{Name: "me", DataCentre: "a"})
	s.SetList(0, []Instance{{Name: "x", Address: "1"}, {Name: "y", Address: "2"}, {Name: "me"}})
	return s
}

func names(s *State, now time.Duration) []string {
	var live []string
	for _, i := range s.Live(now) {
		live = append(live, i.Name)
	}
	return live
}

func TestSilenceAndReturn(t *testing.T) {
	s := state()
	must.Eq(t, []string{"me", "x", "y"}, names(s, 0))
	s.Missed(time.Second, "x", false)
	must.Eq(t, []string{"me", "x", "y"}, names(s, 1500*time.Millisecond))
	must.Eq(t, []string{"me", "y"}, names(s, 1700*time.Millisecond))
	s.Heard(2*time.Second, "x", false) // it was paused and returns
	must.Eq(t, []string{"me", "x", "y"}, names(s, 2*time.Second))
}

func TestRefusalSaysMoreThanSilence(t *testing.T) {
	s := state()
	s.Missed(time.Second, "x", true)
	must.True(t, s.Down(1200*time.Millisecond, "x"))
	s.Missed(time.Second, "y", false)
	must.False(t, s.Down(1200*time.Millisecond, "y"))
}

func TestOwnPauseForgivesTheOthers(t *testing.T) {
	s := state()
	s.Tick(time.Second)
	s.Missed(time.Second, "x", false)
	s.Tick(10 * time.Second)
	must.Eq(t, []string{"me", "x", "y"}, names(s, 10*time.Second))
}

// The list lags: who answers though it is not listed stays; who left is out at once.
func TestListLagsBothWays(t *testing.T) {
	s := state()
	s.Introduce(time.Second, Instance{Name: "new", Address: "3"})
	s.SetList(2*time.Second, []Instance{{Name: "y", Address: "2"}})
	must.Eq(t, []string{"me", "new", "y"}, names(s, 2*time.Second), must.Sprint("x was only listed"))
	s.Heard(2*time.Second, "y", true)
	must.Eq(t, []string{"me", "new"}, names(s, 2*time.Second))
	s.SetList(10*time.Minute, []Instance{{Name: "y", Address: "2", Leaving: true}})
	must.Eq(t, []string{"me"}, names(s, 10*time.Minute), must.Sprint("new was not heard of for long"))
}

func TestLeavingSelfOwnsNothing(t *testing.T) {
	s := state()
	s.SetSelfLeaving()
	must.Eq(t, []string{"x", "y"}, names(s, 0))
	must.LessEq(t, DefaultConfig().Neighbours, len(s.Neighbours()))
}
