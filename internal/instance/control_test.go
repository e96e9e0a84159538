package instance

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"
)

// runOnControl returns false without waiting if the instance stops while the event is running,
// so that its caller does not read what the event still writes. The race detector found such a
// read in the handling of a store that was restored with older data.
func TestRunOnControlWhileStopping(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	i := &Instance{ctx: ctx, events: make(chan event)}
	started, resume, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		(<-i.events)(nil)
	}()
	go func() {
		<-started
		stop()
	}()
	must.False(t, i.runOnControl(func(*control) {
		close(started)
		<-resume
	}))
	close(resume)
	<-ended
}

func TestRunOnControlWaitsForEvent(t *testing.T) {
	i := &Instance{ctx: t.Context(), events: make(chan event)}
	go func() { (<-i.events)(nil) }()
	ran := false
	must.True(t, i.runOnControl(func(*control) { ran = true }))
	must.True(t, ran)
}
