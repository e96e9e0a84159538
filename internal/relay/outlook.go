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
const forecastMaxAge = 5 * time.Millisecond

// forecast is what a carrier tells of a group: its waits by priority.
type cachedForecast struct {
	mu      sync.Mutex // guards the rest
	at      time.Duration
	known   bool
	primary []uint32
	replica []uint32
}

// tell adds to a reply how long further statements of its group would wait here. Where
// nobody waits nothing is added.
func (r *Relay) addWaitForecast(reply *relaypb.CarryReply, group string) {
	f, now := &r.upstreams.group(group).forecast, r.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known || now-f.at >= forecastMaxAge {
		f.at, f.known = now, true
		f.primary, f.replica = r.forecastWaits(group, now)
	}
	if f.primary == nil && f.replica == nil {
		return
	}
	size := proto.Size(reply)
	reply.PrimaryWaitUs, reply.ReplicaWaitUs = f.primary, f.replica
	r.metrics.GetOrCreateCounter(`stackspindle_forecast_bytes_total`).Add(proto.Size(reply) - size)
}

// foresee returns how long statements of a group would wait, by priority: those that need
// the primary, and reads that a replica may serve.
func (r *Relay) forecastWaits(name string, now time.Duration) (primary, replica []uint32) {
	var onPrimary, onReplica [lastPriorityLevel + 1]time.Duration
	primaryID := ""
	authority, err := r.Gate(name).Authority()
	if err == nil {
		primaryID = authority.Primary
	}
	first := true
	for _, m := range r.snapshot().MembersOf(name) {
		upstream := r.upstreams.get(m.ID)
		if upstream == nil || m.Draining && m.ID != primaryID {
			continue
		}
		for level := range onReplica {
			if m.ID == primaryID {
				onPrimary[level] = upstream.expectedWait(now, level, admission.OnPrimary)
			}
			wait := upstream.expectedWait(now, level, admission.OnReplica)
			if first || wait < onReplica[level] {
				onReplica[level] = wait
			}
		}
		first = false
	}
	if primaryID == "" {
		remaining := r.upstreams.group(name).remainingOutage(r.Gate(name))
		for level := range onPrimary {
			onPrimary[level] = remaining
		}
	}
	return admission.Shorten(onPrimary[:]), admission.Shorten(onReplica[:])
}

// wait returns how long a statement of a priority would wait for the member.
func (u *upstreamState) expectedWait(now time.Duration, level int, target admission.Work) time.Duration {
	backlog := u.backlog(level, target)
	u.mu.Lock()
	defer u.mu.Unlock()
	if unresponsive := u.unresponsiveFor(now); unresponsive > 0 {
		return admission.Silence(unresponsive)
	}
	_, wait := u.controllers[target][level].Wait(now, u.withSlowdown(now, backlog))
	return wait
}

// outlook is what this instance knows of its carriers. It is safe for concurrent use.
type waitForecasts struct {
	mu        sync.Mutex // guards what
	forecasts admission.Outlook
}

func (o *waitForecasts) recordReply(now time.Duration, carrier, group string, reply *relaypb.CarryReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.forecasts.Told(now, carrier, group, reply.PrimaryWaitUs, reply.ReplicaWaitUs)
}

func (o *waitForecasts) forget(carrier string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.forecasts.Lost(carrier)
}

func (o *waitForecasts) choose(now time.Duration, q admission.Query, carriers []lead.Instance) admission.Choice {
	ranked := make([]admission.Carrier, len(carriers))
	for i, c := range carriers {
		ranked[i].Name = c.Address
		if i > 0 {
			ranked[i].Rank = ranked[i-1].Rank
			if c.DataCentre != carriers[i-1].DataCentre {
				ranked[i].Rank++
			}
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.forecasts.Choose(now, q, ranked)
}

// query describes a statement that is to be passed on.
func (s *session) admissionQuery(st statement.Statement, route topology.Route, arrived time.Duration) admission.Query {
	q := admission.Query{Group: route.Group, Work: admission.OnReplica, Priority: route.Priority}
	if !s.readsOnly(st) || route.Consistency == topology.Strict {
		q.Work = admission.OnPrimary
	}
	timeLeft := max(0, arrived+route.Timeout-s.relay.now())
	q.Request = admission.Request{ID: st.ID, Objective: min(route.LatencyObjective, timeLeft), Deadline: timeLeft}
	return q
}

// refuseForAll refuses a statement that all carriers would refuse.
func (s *session) refuseAtAllCarriers(st statement.Statement, route topology.Route, c admission.Choice) statement.Answer {
	r := s.relay
	level := min(max(route.Priority, 0), lastPriorityLevel)
	r.countRefusal(c.Verdict.Reason.String(), level)
	if leftOut, ok := r.logSampler.Allow("refusal carriers " + route.Group); ok {
		r.log.WithField("request", st.ID).WithField("group", route.Group).WithField("priority", route.Priority).
			WithField("reason", c.Verdict.Reason.String()).WithField("wait_ms", c.Verdict.Wait.Milliseconds()).WithField("age_ms", c.Age.Milliseconds()).
			WithField("come_back_ms", c.Verdict.ComeBack.Milliseconds()).WithField("left_out", leftOut).Info("relay: a statement was refused, since all carriers would refuse it")
	}
	answer := statement.Failure(statement.Idle, statement.Busy, "not run: what waits at all carriers already takes longer than the statement can wait")
	answer.Err.RetryAfter = c.Verdict.ComeBack
	return answer
}
