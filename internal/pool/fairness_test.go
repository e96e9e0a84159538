package pool

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// ideal is the reference model: it divides work in infinitely small parts equally among
// the accounts that have unmet demand, which yields their max-min fair shares.
type ideal struct{ demand, got []float64 }

func (f *ideal) serve(work float64) {
	for work > 1e-12 {
		least, waiting := math.Inf(1), 0
		for i := range f.demand {
			if unmet := f.demand[i] - f.got[i]; unmet > 1e-12 {
				least, waiting = min(least, unmet), waiting+1
			}
		}
		if waiting == 0 {
			return
		}
		part := min(least, work/float64(waiting))
		for i := range f.demand {
			if f.demand[i]-f.got[i] > 1e-12 {
				f.got[i] += part
			}
		}
		work -= part * float64(waiting)
	}
}

// Accounts send random requests at random times, so that some demand much more than their
// share. At no time has an account been granted less than its max-min fair share of the
// granted work minus one request of the largest size.
func TestAccountsGetMaxMinFairShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 50
		accounts := rapid.IntRange(2, 6).Draw(t, "accounts")
		q := New(Config{Capacity: rapid.IntRange(1, 4).Draw(t, "capacity"), MaxQueue: 1000, KeepUntilDeadline: true})
		fair := ideal{demand: make([]float64, accounts), got: make([]float64, accounts)}
		granted := make([]float64, accounts)
		var running []Request
		grant := func(r Request) {
			running = append(running, r)
			granted[accountOf(r)] += r.Work.Seconds()
			fair.serve(r.Work.Seconds())
		}
		for id := range uint64(rapid.IntRange(20, 200).Draw(t, "steps")) {
			if len(running) > 0 && rapid.IntRange(0, 2).Draw(t, "ends") == 0 {
				q.Done(running[0], running[0].Work)
				running = running[1:]
			} else {
				// The first account sends about half of all requests.
				account := max(0, rapid.IntRange(-accounts+1, accounts-1).Draw(t, "account"))
				r := Request{
					ID: id, Account: fmt.Sprint(account), Deadline: time.Hour,
					Work: time.Duration(rapid.IntRange(1, largest).Draw(t, "work")) * time.Millisecond,
				}
				fair.demand[account] += r.Work.Seconds()
				if q.Offer(0, r) == Granted {
					grant(r)
				}
			}
			next, _ := q.Next(0)
			for _, r := range next {
				grant(r)
			}
			for i := range accounts {
				if deficit := fair.got[i] - granted[i]; deficit > (largest*time.Millisecond).Seconds()+1e-9 {
					t.Fatalf("account %d has %.3f s of work granted, its share is %.3f s", i, granted[i], fair.got[i])
				}
			}
		}
	})
}

func accountOf(r Request) (i int) {
	fmt.Sscan(r.Account, &i)
	return i
}

// BenchmarkGrant measures one cycle of Done, Next and Offer by the number of accounts with
// queued requests.
func BenchmarkGrant(b *testing.B) {
	for _, accounts := range []int{0, 10, 100, 1000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			q := New(Config{Capacity: 6, MaxQueue: 64, KeepUntilDeadline: true})
			names := make([]string, max(1, accounts))
			for i := range names {
				names[i] = fmt.Sprint(i)
			}
			var running []Request
			id := uint64(0)
			now := time.Duration(0)
			offer := func() {
				id++
				r := Request{
					ID: id, Account: names[id%uint64(len(names))], Priority: int(id % 3), Work: time.Duration(id%7+1) * time.Millisecond,
					Objective: now + 400*time.Millisecond, Deadline: now + time.Hour,
				}
				if q.Offer(now, r) == Granted {
					running = append(running, r)
				}
			}
			for range accounts + 1 {
				offer()
			}
			for len(running) < min(6, accounts) {
				offer()
			}
			b.ReportAllocs()
			for b.Loop() {
				now += 10 * time.Microsecond
				r := running[0]
				running = append(running[:0], running[1:]...)
				q.Done(r, r.Work)
				granted, _ := q.Next(now)
				running = append(running, granted...)
				offer()
			}
		})
	}
}
