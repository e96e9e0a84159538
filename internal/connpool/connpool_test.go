package connpool

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/pool"
)

type fakeConn struct {
	dead  atomic.Bool
	dirty bool
	label int

	account string // account for which it was opened
}

func (c *fakeConn) Alive() bool { return !c.dead.Load() }
func (c *fakeConn) Clean() bool { return !c.dirty }
func (c *fakeConn) Kill()       { c.dead.Store(true) }

// dialer opens connections and fails after limit of them.
type dialer struct {
	opened atomic.Int64
	limit  int64
}

var errLimit = errors.New("no more connections")

func (d *dialer) open(_ context.Context, account string) (*fakeConn, error) {
	if d.opened.Load() >= d.limit {
		return nil, errLimit
	}
	return &fakeConn{label: int(d.opened.Add(1)), account: account}, nil
}

const never = time.Hour // longer than any test runs

func newPool(d *dialer, backoff time.Duration) (*Pool[*fakeConn], *atomic.Int64) {
	clock := new(atomic.Int64)
	cfg := Config{
		Queue: pool.Config{Capacity: 2, MaxQueue: 8}, Dials: 2, DialTimeout: never, MinBackoff: backoff, MaxBackoff: backoff,
	}
	return New(cfg, d.open, func() time.Duration { return time.Duration(clock.Load()) }), clock
}

func acquire(t *testing.T, p *Pool[*fakeConn]) *Lease[*fakeConn] {
	t.Helper()
	lease, err := p.Acquire(t.Context(), pool.Request{Service: "s", Deadline: never}, nil)
	must.NoError(t, err)
	return lease
}

// During the backoff after a failed dial a request waits for an existing connection.
func TestBackoffWaitsForExistingConnections(t *testing.T) {
	p, _ := newPool(&dialer{limit: 1}, never)
	first := acquire(t, p)
	_, err := p.Acquire(t.Context(), pool.Request{Service: "s", Deadline: never}, nil)
	must.ErrorIs(t, err, errLimit)
	got := make(chan *Lease[*fakeConn])
	go func() {
		lease, err := p.Acquire(context.Background(), pool.Request{Service: "s", Deadline: never}, nil)
		if err != nil {
			t.Errorf("acquire: %v", err)
		}
		got <- lease
	}()
	for p.InUse() < 2 {
		time.Sleep(time.Millisecond)
	}
	first.Release()
	must.Eq(t, 1, (<-got).Conn.label)
}

func TestBackoffWithoutConnectionsFailsAtOnce(t *testing.T) {
	p, clock := newPool(&dialer{limit: 0}, time.Second)
	request := pool.Request{Service: "s", Deadline: never}
	_, err := p.Acquire(t.Context(), request, nil)
	must.ErrorIs(t, err, errLimit)
	_, err = p.Acquire(t.Context(), request, nil)
	must.ErrorIs(t, err, ErrBackoff)
	clock.Store(int64(time.Second))
	_, err = p.Acquire(t.Context(), request, nil)
	must.ErrorIs(t, err, errLimit)
	must.Zero(t, p.InUse())
}

func TestPreferredConnectionIsTaken(t *testing.T) {
	p, _ := newPool(&dialer{limit: 2}, never)
	a, b := acquire(t, p), acquire(t, p)
	a.Release()
	b.Release()
	lease, err := p.Acquire(t.Context(), pool.Request{Service: "s", Deadline: never}, func(c *fakeConn) int { return -c.label })
	must.NoError(t, err)
	must.Eq(t, 1, lease.Conn.label)
}

func TestDirtyAndDeadConnectionsAreNotShared(t *testing.T) {
	p, _ := newPool(&dialer{limit: 3}, never)
	lease := acquire(t, p)
	lease.Conn.dirty = true
	lease.Release()
	must.True(t, lease.Conn.dead.Load())
	must.Zero(t, p.NumOpen())
	lease = acquire(t, p)
	lease.Release()
	lease.Conn.Kill()
	must.Eq(t, 3, acquire(t, p).Conn.label)
}

func TestShrink(t *testing.T) {
	p, clock := newPool(&dialer{limit: 2}, never)
	a, b := acquire(t, p), acquire(t, p)
	a.Release()
	clock.Store(10)
	b.Release()
	p.Shrink(10, 1)
	must.Eq(t, 1, p.NumOpen())
	must.True(t, a.Conn.dead.Load())
	clock.Store(100)
	p.Shrink(10, 1)
	must.Eq(t, 1, p.NumOpen())
}

// Parking a lease that has ended has no effect. Otherwise its slot would stay parked for
// ever.
func TestParkAfterReleaseHasNoEffect(t *testing.T) {
	p, _ := newPool(&dialer{limit: 2}, never)
	p.SetMaxActive(1)
	for range 3 {
		lease := acquire(t, p)
		lease.Park()
		lease.Park()
		other := acquire(t, p)
		lease.Release()
		other.Release()
		lease.Park()
		must.Zero(t, p.InUse())
	}
}

// A request blocked by a pause is granted at its end without any other event.
func TestPauseEndsWithoutFurtherEvents(t *testing.T) {
	p, clock := newPool(&dialer{limit: 1}, never)
	const pause = time.Millisecond
	p.Pause(0, pause)
	granted := make(chan *Lease[*fakeConn])
	go func() {
		lease, err := p.Acquire(t.Context(), pool.Request{Service: "s", Flexible: true, Deadline: never}, nil)
		must.NoError(t, err)
		granted <- lease
	}()
	for p.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	clock.Store(int64(pause))
	p.Pause(1, 0) // its timer, like that of the first pause, polls the queue
	(<-granted).Release()
}

// The time in use counts only until the lease is first parked, so that an idle transaction
// does not make the member look slow.
func TestHoldTimeExcludesParkedTime(t *testing.T) {
	p, clock := newPool(&dialer{limit: 1}, never)
	lease := acquire(t, p)
	clock.Store(int64(20 * time.Millisecond))
	lease.Park()
	clock.Store(int64(time.Hour))
	lease.Resume()
	must.Eq(t, 1, p.Backlog(0).Active)
	lease.Park()
	lease.Resume()
	lease.Release()
	lease.Resume()
	must.Eq(t, pool.Backlog{Slots: p.Capacity(), FlexibleSlots: 1, MeanHoldTime: 20 * time.Millisecond}, p.Backlog(0), must.Sprint("one slot stays reserved for the pinned request that has just ended"))
}

// Pinned requests have just ended, and a read waits for a slot that stays reserved for
// more of them. The reserve decays, and the read is granted without any other event.
func TestUnusedReserveDecays(t *testing.T) {
	p, clock := newPool(&dialer{limit: 4}, never)
	p.SetCapacity(4)
	read := pool.Request{Flexible: true, Deadline: time.Hour}
	parked, err := p.Acquire(t.Context(), read, nil)
	must.NoError(t, err)
	parked.Park()
	writes := []*Lease[*fakeConn]{acquire(t, p), acquire(t, p), acquire(t, p)}
	for _, write := range writes {
		write.Release()
	}
	granted := make(chan error, 1)
	go func() {
		_, err := p.Acquire(t.Context(), read, nil)
		granted <- err
	}()
	for p.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	clock.Store(int64(time.Minute))
	must.NoError(t, <-granted)
}
