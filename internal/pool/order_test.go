package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// busy returns a queue whose places are all taken by requests that it also returns.
func busy(cfg Config) (*Queue, []Request) {
	q := New(cfg)
	var running []Request
	for id := uint64(1000); ; id++ {
		r := Request{ID: id, Account: "running", Deadline: time.Hour}
		if q.Offer(0, r) != Granted {
			q.Cancel(r)
			return q, running
		}
		running = append(running, r)
	}
}

// grantedInOrder frees one place after another and returns what takes it, in order.
func grantedInOrder(q *Queue, running []Request, now time.Duration) []uint64 {
	var ids []uint64
	for len(running) > 0 {
		q.Done(running[0], 0)
		running = running[1:]
		granted, _ := q.Next(now)
		for _, r := range granted {
			ids = append(ids, r.ID)
		}
		running = append(running, granted...)
	}
	return ids
}

func TestOrderOfWhatWaits(t *testing.T) {
	for name, c := range map[string]struct {
		now      time.Duration
		requests []Request // numbered from 1
		want     []uint64
	}{
		"higher priorities first": {0, []Request{{Priority: 2}, {Priority: 1}, {Priority: 0}}, []uint64{3, 2, 1}},
		"the one that must start first": {0, []Request{
			{Objective: 300 * ms}, {Objective: 100 * ms}, {Objective: 250 * ms, Work: 200 * ms}}, []uint64{3, 2, 1}},
		"as they came without an objective": {0, []Request{{}, {}, {}}, []uint64{1, 2, 3}},
		"in time before late, whatever the priority": {100 * ms, []Request{
			{Objective: 50 * ms}, {Priority: 1, Objective: 200 * ms}, {Objective: 110 * ms, Work: 20 * ms}, {Objective: 200 * ms}}, []uint64{4, 2, 1, 3}},
		"late ones by priority": {100 * ms, []Request{{Priority: 1, Objective: 50 * ms}, {Objective: 60 * ms}}, []uint64{2, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			q, running := busy(Config{Capacity: 1, MaxQueue: 9, Patient: true})
			for i, r := range c.requests {
				r.ID, r.Deadline = uint64(i+1), time.Hour
				must.Eq(t, Queued, q.Offer(0, r))
			}
			must.Eq(t, c.want, grantedInOrder(q, running, c.now))
		})
	}
}

// The load: a member gets three times what it can run, most of it of the middle priority.
// The highest is served as if it were alone, and the lowest gets something in each time for
// which its callers want to wait.
func TestPrioritiesUnderOverload(t *testing.T) {
	const work, objective, length = 10 * ms, 200 * ms, 4 * time.Second
	q, running := busy(Config{Capacity: 1, MaxQueue: 1000, Patient: true})
	arrived, waited := make(map[uint64]time.Duration), make([]time.Duration, 3)
	grants, asked := make([]int, 3), make([]int, 3)
	lastOfLowest, longestGap := time.Duration(0), time.Duration(0)
	id := uint64(0)
	for now := time.Duration(0); now < length; now += work {
		for priority, every := range []int{4, 1, 1} {
			if int(now/work)%every != 0 {
				continue
			}
			id++
			asked[priority]++
			arrived[id] = now
			q.Offer(now, Request{
				ID: id + 100, Priority: priority, Account: fmt.Sprint(id % 5), Work: work, Objective: now + objective, Deadline: now + 4*objective,
			})
		}
		q.Done(running[0], work)
		running, _ = q.Next(now)
		for _, r := range running {
			grants[r.Priority]++
			waited[r.Priority] = max(waited[r.Priority], now-arrived[r.ID-100])
			if r.Priority == 2 {
				longestGap = max(longestGap, now-lastOfLowest)
				lastOfLowest = now
			}
		}
	}
	t.Logf("granted %v of %v, longest waits %v, the lowest went without a grant for %v", grants, asked, waited, longestGap)
	must.Eq(t, asked[0], grants[0])
	must.LessEq(t, 2*work, waited[0])
	must.LessEq(t, objective+2*work, longestGap)
	must.GreaterEq(t, int(length/(objective+2*work)), grants[2])
}

// Whatever comes and goes, also when callers leave and nothing that runs ever ends: no
// priority that asks all the time goes without a grant for longer than its bound once places
// come free, and when all is over the queue remembers nothing.
func TestNothingStaysBehind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{Capacity: rapid.IntRange(1, 4).Draw(t, "capacity"), MaxQueue: 20, Patient: true})
		waiting, running := map[uint64]Request{}, []Request(nil)
		var now time.Duration
		for id := range uint64(rapid.IntRange(1, 80).Draw(t, "steps")) {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * ms
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				if len(running) > 0 {
					q.Done(running[0], 10*ms)
					running = running[1:]
				}
			case 1:
				for _, r := range waiting {
					q.Cancel(r)
					delete(waiting, r.ID)
					break
				}
			default:
				r := Request{
					ID: id, Account: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "account")), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
					Work: time.Duration(rapid.IntRange(0, 20).Draw(t, "work")) * ms, Elsewhere: rapid.Bool().Draw(t, "elsewhere"),
					Objective: now + time.Duration(rapid.IntRange(0, 100).Draw(t, "objective"))*ms,
					Deadline:  now + time.Duration(rapid.IntRange(0, 300).Draw(t, "left"))*ms,
				}
				switch q.Offer(now, r) {
				case Granted:
					running = append(running, r)
				case Queued:
					waiting[r.ID] = r
				}
			}
			granted, expired := q.Next(now)
			for _, r := range append(expired, granted...) {
				delete(waiting, r.ID)
			}
			running = append(running, granted...)
			checkCounts(t, q, waiting, running)
		}
		for _, r := range waiting {
			must.True(t, q.Cancel(r))
			must.False(t, q.Cancel(r))
		}
		for _, r := range running {
			q.Done(r, 10*ms)
		}
		for _, c := range q.classes {
			must.MapEmpty(t, c.flows)
			must.Eq(t, [stages]int{}, c.waiting)
			must.Eq(t, [stages]time.Duration{}, c.work)
		}
		must.Eq(t, use{}, q.fixed)
		must.Zero(t, q.ends.len()+q.arrivals.Len()+q.reads)
	})
}

func checkCounts(t *rapid.T, q *Queue, waiting map[uint64]Request, running []Request) {
	must.Eq(t, len(waiting), q.Waiting())
	must.Eq(t, len(running), q.InUse())
	all := q.Backlog(2)
	must.LessEq(t, len(waiting), all.Ahead, must.Sprint("what is late does not come before"))
	must.LessEq(t, all.Ahead, q.Backlog(0).Ahead)
}

func TestBacklog(t *testing.T) {
	q, running := busy(Config{Capacity: 3, MaxQueue: 9, MaxActive: 2, Patient: true})
	must.Len(t, 2, running)
	q.Done(running[0], 20*ms)
	must.Eq(t, Granted, q.Offer(0, running[0]))
	for i, r := range []Request{{Priority: 0, Work: 5 * ms}, {Priority: 1, Work: 7 * ms}, {Priority: 1}, {Priority: 2, Work: 100 * ms}} {
		r.ID, r.Deadline = uint64(i+1), time.Hour
		must.Eq(t, Queued, q.Offer(0, r))
	}
	must.Eq(t, Backlog{Ahead: 1, Work: 5 * ms, Active: 2, Slots: 2, Flexible: 2, Held: 20 * ms}, q.Backlog(0))
	must.Eq(t, Backlog{Ahead: 3, Work: 32 * ms, Active: 2, Slots: 2, Flexible: 2, Held: 20 * ms}, q.Backlog(1), must.Sprint("unknown work counts as usual"))
	q.Park(running[0])
	must.Eq(t, 1, q.Backlog(1).Active)
}

// The load: reads that others could serve fill a primary, and writes come. The reads leave
// as many places as writes want at once, and take all of them where none want any.
func TestFlexibleRequestsLeaveAReserve(t *testing.T) {
	q := New(Config{Capacity: 10, MaxQueue: 9, MaxActive: 4, Patient: true})
	read := func(id uint64) Request { return Request{ID: id, Elsewhere: true, Deadline: time.Hour} }
	for id := range uint64(4) {
		must.Eq(t, Granted, q.Offer(0, read(id+1)), must.Sprint("nothing is reserved without demand"))
	}
	must.Eq(t, Queued, q.Offer(0, Request{ID: 10, Priority: 1, Write: true, Deadline: time.Hour}))
	must.Eq(t, Queued, q.Offer(0, Request{ID: 11, Priority: 1, Write: true, Deadline: time.Hour}))
	must.Eq(t, Queued, q.Offer(0, read(5)))
	q.Done(read(1), ms)
	q.Done(read(2), ms)
	writes, _ := q.Next(0)
	must.Len(t, 2, writes)
	must.True(t, writes[0].Write && writes[1].Write, must.Sprint("the read ranks higher, but leaves what is reserved"))
	q.Done(writes[0], ms)
	q.Done(writes[1], ms)
	granted, _ := q.Next(0)
	must.SliceEmpty(t, granted, must.Sprint("two places are kept for the next writes"))
	q.Done(read(3), ms)
	granted, _ = q.Next(0)
	must.Len(t, 1, granted)
	must.Eq(t, Queued, q.Offer(ms, read(6)))
	must.Eq(t, Granted, q.Offer(ms, Request{ID: 12, Write: true, Deadline: time.Hour}))
	q.Done(Request{ID: 12, Write: true}, ms)
	granted, _ = q.Next(10 * demandHalfLife)
	must.Len(t, 1, granted, must.Sprint("nobody has wanted the reserve for long"))
}

// The load: work that only this member can run comes, while transactions rest. A new
// request that could run elsewhere finds the slots that both leave, and the pause that holds it.
func TestBacklogTellsWhatIsLeft(t *testing.T) {
	q := New(Config{Capacity: 4, MaxActive: 3, MaxQueue: 10})
	must.Eq(t, Granted, q.Offer(0, Request{ID: 1, Work: ms, Deadline: time.Second}))
	must.Eq(t, Granted, q.Offer(0, Request{ID: 2, Work: ms, Deadline: time.Second}))
	q.Park(Request{ID: 2})
	q.Pause(1, 30*ms)
	b := q.Backlog(1)
	must.Eq(t, 1, b.Active)
	must.Eq(t, 3, b.Slots)
	must.Eq(t, 2, b.Flexible, must.Sprint("one more was active a moment ago"))
	must.Eq(t, 30*ms, b.PausedUntil)
	must.Zero(t, q.Backlog(0).PausedUntil)
}
