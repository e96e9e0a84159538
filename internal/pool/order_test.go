package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// saturatedQueue returns a queue without a free slot and the requests that hold the slots.
func saturatedQueue(cfg Config) (*Queue, []Request) {
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

// grantedInOrder frees one slot after another and returns the IDs of the requests that
// are granted, in order.
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

func TestGrantOrder(t *testing.T) {
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
			q, running := saturatedQueue(Config{Capacity: 1, MaxQueue: 9, KeepUntilDeadline: true})
			for i, r := range c.requests {
				r.ID, r.Deadline = uint64(i+1), time.Hour
				must.Eq(t, Queued, q.Offer(0, r))
			}
			must.Eq(t, c.want, grantedInOrder(q, running, c.now))
		})
	}
}

// A member receives more than twice the work that it can run, most of it of the middle and
// the lowest priority. The highest priority is served as if it were alone, and the lowest
// gets a grant once per latency objective.
func TestPrioritiesUnderOverload(t *testing.T) {
	const work, objective, length = 10 * ms, 200 * ms, 4 * time.Second
	q, running := saturatedQueue(Config{Capacity: 1, MaxQueue: 1000, KeepUntilDeadline: true})
	arrived, waited := make(map[uint64]time.Duration), make([]time.Duration, 3)
	grants, requested := make([]int, 3), make([]int, 3)
	lastOfLowest, longestGap := time.Duration(0), time.Duration(0)
	id := uint64(0)
	for now := time.Duration(0); now < length; now += work {
		for priority, every := range []int{4, 1, 1} {
			if int(now/work)%every != 0 {
				continue
			}
			id++
			requested[priority]++
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
	t.Logf("granted %v of %v, longest waits %v, longest time without a grant for the lowest priority %v", grants, requested, waited, longestGap)
	must.Eq(t, requested[0], grants[0])
	must.LessEq(t, 2*work, waited[0])
	must.LessEq(t, objective+2*work, longestGap)
	must.GreaterEq(t, int(length/(objective+2*work)), grants[2])
	waits := q.WaitStats()
	must.Positive(t, waits[0].Overtook)
	must.Eq(t, []int{0, 0, grants[2]}, []int{waits[0].Overdue, waits[1].Overdue, waits[2].Overdue}, must.Sprint("all grants of the lowest priority are due to starvation"))
}

// For any sequence of arrivals, cancellations and returned connections, also when none are
// returned, the counters match the queued and running requests, and once all requests
// have ended the queue keeps no state of them.
func TestCountersMatchAndStateIsDropped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{Capacity: rapid.IntRange(1, 4).Draw(t, "capacity"), MaxQueue: 20, KeepUntilDeadline: true})
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
					Work: time.Duration(rapid.IntRange(0, 20).Draw(t, "work")) * ms, Flexible: rapid.Bool().Draw(t, "flexible"),
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
			must.Eq(t, [stages]time.Duration{}, c.expectedWork)
		}
		must.Eq(t, requestCounts{}, q.pinned)
		must.Zero(t, q.byDeadline.len()+q.arrivals.Len()+q.reads)
	})
}

func checkCounts(t *rapid.T, q *Queue, waiting map[uint64]Request, running []Request) {
	must.Eq(t, len(waiting), q.Waiting())
	must.Eq(t, len(running), q.InUse())
	all := q.Backlog(2)
	must.LessEq(t, len(waiting), all.Ahead, must.Sprint("late requests do not count as ahead"))
	must.LessEq(t, all.Ahead, q.Backlog(0).Ahead)
}

func TestBacklog(t *testing.T) {
	q, running := saturatedQueue(Config{Capacity: 3, MaxQueue: 9, MaxActive: 2, KeepUntilDeadline: true})
	must.Len(t, 2, running)
	q.Done(running[0], 20*ms)
	must.Eq(t, Granted, q.Offer(0, running[0]))
	for i, r := range []Request{{Priority: 0, Work: 5 * ms}, {Priority: 1, Work: 7 * ms}, {Priority: 1}, {Priority: 2, Work: 100 * ms}} {
		r.ID, r.Deadline = uint64(i+1), time.Hour
		must.Eq(t, Queued, q.Offer(0, r))
	}
	must.Eq(t, Backlog{Ahead: 1, Work: 5 * ms, Active: 2, Slots: 2, FlexibleSlots: 2, MeanHoldTime: 20 * ms}, q.Backlog(0))
	must.Eq(t, Backlog{Ahead: 3, Work: 32 * ms, Active: 2, Slots: 2, FlexibleSlots: 2, MeanHoldTime: 20 * ms}, q.Backlog(1), must.Sprint("unknown work counts as the average time in use"))
	q.Park(running[0])
	must.Eq(t, 1, q.Backlog(1).Active)
}

// Reads that replicas could serve saturate a primary when writes arrive. From then on the
// reads leave as many slots free as writes need at once; without writes they take all.
func TestFlexibleRequestsLeaveAReserve(t *testing.T) {
	q := New(Config{Capacity: 10, MaxQueue: 9, MaxActive: 4, KeepUntilDeadline: true})
	read := func(id uint64) Request { return Request{ID: id, Flexible: true, Deadline: time.Hour} }
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
	must.True(t, writes[0].Write && writes[1].Write, must.Sprint("the read has the higher priority but may not take the reserve"))
	q.Done(writes[0], ms)
	q.Done(writes[1], ms)
	granted, _ := q.Next(0)
	must.SliceEmpty(t, granted, must.Sprint("two slots stay reserved for the next writes"))
	q.Done(read(3), ms)
	granted, _ = q.Next(0)
	must.Len(t, 1, granted)
	must.Eq(t, Queued, q.Offer(ms, read(6)))
	must.Eq(t, Granted, q.Offer(ms, Request{ID: 12, Write: true, Deadline: time.Hour}))
	q.Done(Request{ID: 12, Write: true}, ms)
	granted, _ = q.Next(10 * demandHalfLife)
	must.Len(t, 1, granted, must.Sprint("the reserve has decayed without demand"))
}

// A transaction is open at a primary that is saturated with reads. Its next statement runs
// at once, even beyond MaxActive, counts as active while it runs, and afterwards keeps a
// slot reserved for the one that follows.
func TestOpenTransactionRunsFurtherStatementsAtOnce(t *testing.T) {
	q := New(Config{Capacity: 10, MaxQueue: 9, MaxActive: 2, KeepUntilDeadline: true})
	tx := Request{ID: 1, Write: true, Deadline: time.Hour}
	read := func(id uint64) Request { return Request{ID: id, Flexible: true, Deadline: time.Hour} }
	must.Eq(t, Granted, q.Offer(0, tx))
	q.Park(tx)
	later := 10 * demandHalfLife // the demand of its first statement has decayed
	must.Eq(t, Granted, q.Offer(later, read(2)))
	must.Eq(t, Granted, q.Offer(later, read(3)))
	q.Resume(later, tx)
	must.Eq(t, 3, q.Backlog(0).Active)
	must.Eq(t, Queued, q.Offer(later, read(4)))
	q.Done(read(2), ms)
	granted, _ := q.Next(later)
	must.SliceEmpty(t, granted)
	q.Park(tx)
	granted, _ = q.Next(later)
	must.SliceEmpty(t, granted, must.Sprint("a slot stays reserved for the transaction's next statement"))
	q.Done(read(3), ms)
	granted, _ = q.Next(later)
	must.Len(t, 1, granted)
}

// Of two pinned requests one is active and one parked. The backlog for a new flexible
// request shows the slots that remain for it and the pause that applies to it.
func TestBacklogShowsFlexibleSlotsAndPause(t *testing.T) {
	q := New(Config{Capacity: 4, MaxActive: 3, MaxQueue: 10})
	must.Eq(t, Granted, q.Offer(0, Request{ID: 1, Work: ms, Deadline: time.Second}))
	must.Eq(t, Granted, q.Offer(0, Request{ID: 2, Work: ms, Deadline: time.Second}))
	q.Park(Request{ID: 2})
	q.Pause(1, 30*ms)
	b := q.Backlog(1)
	must.Eq(t, 1, b.Active)
	must.Eq(t, 3, b.Slots)
	must.Eq(t, 2, b.FlexibleSlots, must.Sprint("one slot is reserved: two pinned requests were active a moment ago"))
	must.Eq(t, 30*ms, b.PausedUntil)
	must.Zero(t, q.Backlog(0).PausedUntil)
}
