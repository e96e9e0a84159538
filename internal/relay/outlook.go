package relay

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/stackspindle/stackspindle/internal/admission"
	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/relay/relaypb"
	"github.com/stackspindle/stackspindle/internal/statement"
	"github.com/stackspindle/stackspindle/internal/topology"
)

// tellPause is for how long what a carrier tells of a group is the same for all replies.
const tellPause = 5 * time.Millisecond

// forecast is what a carrier tells of a group: its waits by priority.
type forecast struct {
	mu      sync.Mutex // guards the rest
	at      time.Duration
	known   bool
	primary []uint32
	replica []uint32
}

// tell adds to a reply how long further statements of its group would wait here. Where
// nobody waits nothing is added.
func (r *Relay) tell(reply *relaypb.CarryReply, group string) {
	f, now := &r.upstreams.group(group).forecast, r.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known || now-f.at >= tellPause {
		f.at, f.known = now, true
		f.primary, f.replica = r.foresee(group, now)
	}
	if f.primary == nil && f.replica == nil {
		return
	}
	size := proto.Size(reply)
	reply.PrimaryWaitUs, reply.ReplicaWaitUs = f.primary, f.replica
	r.set.GetOrCreateCounter(`stackspindle_forecast_bytes_total`).Add(proto.Size(reply) - size)
}

// foresee returns how long statements of a group would wait, by priority: those that need
// the primary, and reads that a replica may serve.
func (r *Relay) foresee(name string, now time.Duration) (primary, replica []uint32) {
	var onPrimary, onReplica [lowestPriority + 1]time.Duration
	leader := ""
	authority, err := r.Gate(name).Primary()
	if err == nil {
		leader = authority.Primary
	}
	first := true
	for _, m := range r.snapshot().MembersOf(name) {
		up := r.upstreams.get(m.ID)
		if up == nil || m.Draining && m.ID != leader {
			continue
		}
		for level := range onReplica {
			if m.ID == leader {
				onPrimary[level] = up.wait(now, level, admission.PrimaryOnly)
			}
			wait := up.wait(now, level, admission.ReplicaAllowed)
			if first || wait < onReplica[level] {
				onReplica[level] = wait
			}
		}
		first = false
	}
	if leader == "" {
		left := r.upstreams.group(name).outageLeft(r.Gate(name))
		for level := range onPrimary {
			onPrimary[level] = left
		}
	}
	return admission.EncodeWaits(onPrimary[:]), admission.EncodeWaits(onReplica[:])
}

// wait returns how long a statement of a priority would wait for the member.
func (up *upstream) wait(now time.Duration, level int, work admission.Target) time.Duration {
	backlog := up.backlog(level, work)
	up.mu.Lock()
	defer up.mu.Unlock()
	if silent := up.silent(now); silent > 0 {
		return admission.RemainingUnresponsive(silent)
	}
	_, wait := up.levels[work][level].PredictWait(now, up.slowed(now, backlog))
	return wait
}

// outlook is what this instance knows of its carriers. It is safe for concurrent use.
type outlook struct {
	mu   sync.Mutex // guards what
	what admission.WaitForecast
}

func (o *outlook) told(now time.Duration, carrier, group string, reply *relaypb.CarryReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.what.Update(now, carrier, group, reply.PrimaryWaitUs, reply.ReplicaWaitUs)
}

func (o *outlook) lost(carrier string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.what.Forget(carrier)
}

func (o *outlook) choose(now time.Duration, q admission.Query, carriers []lead.Instance) admission.Choice {
	alike := make([]admission.Carrier, len(carriers))
	for i, c := range carriers {
		alike[i].Name = c.Address
		if i > 0 {
			alike[i].Rank = alike[i-1].Rank
			if c.DataCentre != carriers[i-1].DataCentre {
				alike[i].Rank++
			}
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.what.Choose(now, q, alike)
}

// query describes a statement that is to be passed on.
func (s *session) query(st statement.Statement, route topology.Route, arrived time.Duration) admission.Query {
	q := admission.Query{Group: route.Group, Target: admission.ReplicaAllowed, Priority: route.Priority}
	if !s.reads(st) || route.Consistency == topology.Strict {
		q.Target = admission.PrimaryOnly
	}
	left := max(0, arrived+route.Timeout-s.relay.now())
	q.Request = admission.Request{ID: st.ID, Objective: min(route.LatencyObjective, left), Deadline: left}
	return q
}

// refuseForAll refuses a statement that all carriers would refuse.
func (s *session) refuseForAll(st statement.Statement, route topology.Route, c admission.Choice) statement.Answer {
	r := s.relay
	level := min(max(route.Priority, 0), lowestPriority)
	r.countRefusal(c.Verdict.Reason.String(), level)
	if leftOut, ok := r.sampler.Allow("refusal carriers " + route.Group); ok {
		r.log.WithField("request", st.ID).WithField("group", route.Group).WithField("priority", route.Priority).
			WithField("reason", c.Verdict.Reason.String()).WithField("wait_ms", c.Verdict.Wait.Milliseconds()).WithField("age_ms", c.Age.Milliseconds()).
			WithField("come_back_ms", c.Verdict.RetryAfter.Milliseconds()).WithField("left_out", leftOut).Info("relay: a statement was refused, since all carriers would refuse it")
	}
	answer := statement.Failure(statement.Idle, statement.Busy, "not run: what waits at all carriers already takes longer than the statement can wait")
	answer.Err.RetryAfter = c.Verdict.RetryAfter
	return answer
}
