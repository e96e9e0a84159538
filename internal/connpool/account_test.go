package connpool

import (
	"errors"
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/stackspindle/stackspindle/internal/pool"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.nofailfile": "true", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// For any sequence of requests of several accounts: each gets a connection of its own
// account, no more connections exist than the capacity, and none in use is closed.
func TestConnectionsAreNotSharedBetweenAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 4
		accounts := []string{"", "a", "b", "c", "d", "e", "f"}
		d := &dialer{limit: 1 << 30}
		var clock time.Duration
		cfg := Config{Queue: pool.Config{Capacity: capacity, MaxQueue: 8}, Dials: 2, DialTimeout: never}
		p := New(cfg, d.open, func() time.Duration { return clock })
		type held struct {
			lease   *Lease[*fakeConn]
			account string
		}
		var leases []held
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			clock++
			if len(leases) > 0 && rapid.Bool().Draw(t, "release") {
				n := rapid.IntRange(0, len(leases)-1).Draw(t, "which")
				leases[n].lease.Conn.dirty = rapid.IntRange(0, 9).Draw(t, "dirty") == 0
				leases[n].lease.Release()
				leases = slices.Delete(leases, n, n+1)
				continue
			}
			account := rapid.SampledFrom(accounts).Draw(t, "account")
			lease, err := p.Acquire(t.Context(), pool.Request{Service: "s", Account: account, Deadline: clock}, nil)
			if len(leases) == capacity {
				if err == nil {
					t.Fatal("a connection beyond the capacity")
				}
				continue
			}
			if err != nil {
				t.Fatalf("%d of %d in use: %v", len(leases), capacity, err)
			}
			if lease.Conn.account != account {
				t.Fatalf("%q got a connection of %q", account, lease.Conn.account)
			}
			leases = append(leases, held{lease: lease, account: account})
			if p.NumOpen() > capacity {
				t.Fatalf("%d connections exist", p.NumOpen())
			}
			for _, h := range leases {
				if h.lease.Conn.dead.Load() {
					t.Fatalf("a connection in use by %q was closed", h.account)
				}
			}
		}
	})
}

// An idle connection of an account stays open until another account needs its slot.
func TestIdleConnectionsOfAccountsAreKept(t *testing.T) {
	p, _ := newPool(&dialer{limit: 3}, never)
	for range 3 {
		for _, account := range []string{"a", "b"} {
			lease, err := p.Acquire(t.Context(), pool.Request{Service: "s", Account: account, Deadline: never}, nil)
			must.NoError(t, err)
			must.Eq(t, account, lease.Conn.account)
			lease.Release()
		}
	}
	must.Eq(t, 2, p.NumOpen())
	lease, err := p.Acquire(t.Context(), pool.Request{Service: "s", Account: "c", Deadline: never}, nil)
	must.NoError(t, err)
	must.Eq(t, 3, lease.Conn.label)
	must.Eq(t, 2, p.NumOpen(), must.Sprint("the connection of a, idle for longest, was closed"))
	_, err = p.Acquire(t.Context(), pool.Request{Service: "s", Account: "a", Deadline: never}, nil)
	must.True(t, errors.Is(err, errLimit))
}

// If the member accepts no more connections, the pool closes an idle one and dials again,
// without waiting for the backoff.
func TestIdleConnectionMakesRoomAtAFullMember(t *testing.T) {
	d := &dialer{limit: 1}
	cfg := Config{Queue: pool.Config{Capacity: 4, MaxQueue: 8}, Dials: 2, DialTimeout: never, MinBackoff: never, MaxBackoff: never,
		IsFull: func(err error) bool { d.limit++; return errors.Is(err, errLimit) }}
	p := New(cfg, d.open, func() time.Duration { return 0 })
	first, err := p.Acquire(t.Context(), pool.Request{Service: "s", Account: "a", Deadline: never}, nil)
	must.NoError(t, err)
	first.Release()
	second, err := p.Acquire(t.Context(), pool.Request{Service: "s", Account: "b", Deadline: never}, nil)
	must.NoError(t, err)
	must.Eq(t, "b", second.Conn.account)
	must.True(t, first.Conn.dead.Load())
	must.Eq(t, 1, p.NumOpen())
}
