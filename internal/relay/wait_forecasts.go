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

// forecastMaxAge is how long a group's forecast is reused for further replies.
const forecastMaxAge = 5 * time.Millisecond

// cachedForecast is a group's expected queueing delays by priority, as a carrier reports them.
type cachedForecast struct {
	mu           sync.Mutex // guards the fields below
	computedAt   time.Duration
	valid        bool
	primaryWaits []uint32
	replicaWaits []uint32
}

// addWaitForecast adds to a reply the expected queueing delays of the group's statements at this
// instance. It adds nothing when no delay is expected.
func (r *Relay) addWaitForecast(reply *relaypb.CarryReply, group string) {
	f, now := &r.upstreams.group(group).forecast, r.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.valid || now-f.computedAt >= forecastMaxAge {
		f.computedAt, f.valid = now, true
		f.primaryWaits, f.replicaWaits = r.forecastWaits(group, now)
	}
	if f.primaryWaits == nil && f.replicaWaits == nil {
		return
	}
	size := proto.Size(reply)
	reply.PrimaryWaitUs, reply.ReplicaWaitUs = f.primaryWaits, f.replicaWaits
	r.metrics.GetOrCreateCounter(`stackspindle_forecast_bytes_total`).Add(proto.Size(reply) - size)
}

// forecastWaits returns the expected queueing delays of a group by priority, for statements that
// need the primary and for reads that a replica may serve.
func (r *Relay) forecastWaits(name string, now time.Duration) (primary, replica []uint32) {
	var onPrimary, onReplica [lastPriorityLevel + 1]time.Duration
	primaryID := ""
	ref, err := r.PrimaryGuard(name).Primary()
	if err == nil {
		primaryID = ref.Primary
	}
	first := true
	for _, m := range r.snapshot().MembersOf(name) {
		upstream := r.upstreams.get(m.ID)
		if upstream == nil || m.Draining && m.ID != primaryID {
			continue
		}
		for level := range onReplica {
			if m.ID == primaryID {
				onPrimary[level] = upstream.expectedWait(now, level, admission.PrimaryOnly)
			}
			wait := upstream.expectedWait(now, level, admission.ReplicaAllowed)
			if first || wait < onReplica[level] {
				onReplica[level] = wait
			}
		}
		first = false
	}
	if primaryID == "" {
		remaining := r.upstreams.group(name).remainingOutage(r.PrimaryGuard(name))
		for level := range onPrimary {
			onPrimary[level] = remaining
		}
	}
	return admission.EncodeWaits(onPrimary[:]), admission.EncodeWaits(onReplica[:])
}

// expectedWait returns the expected queueing delay of a statement of a priority at the member.
func (u *upstreamState) expectedWait(now time.Duration, level int, target admission.Target) time.Duration {
	backlog := u.backlog(level, target)
	u.mu.Lock()
	defer u.mu.Unlock()
	if unresponsive := u.unresponsiveFor(now); unresponsive > 0 {
		return admission.RemainingUnresponsive(unresponsive)
	}
	_, wait := u.controllers[target][level].PredictWait(now, u.withSlowdown(now, backlog))
	return wait
}

// waitForecasts are the queueing delays that carriers have reported to this instance. It is safe
// for concurrent use.
type waitForecasts struct {
	mu        sync.Mutex // guards forecasts
	forecasts admission.WaitForecast
}

func (w *waitForecasts) recordReply(now time.Duration, carrier, group string, reply *relaypb.CarryReply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forecasts.Update(now, carrier, group, reply.PrimaryWaitUs, reply.ReplicaWaitUs)
}

func (w *waitForecasts) forget(carrier string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forecasts.Forget(carrier)
}

func (w *waitForecasts) choose(now time.Duration, q admission.Query, carriers []lead.Instance) admission.Choice {
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
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.forecasts.Choose(now, q, ranked)
}

// admissionQuery describes a statement that is about to be forwarded.
func (s *session) admissionQuery(st statement.Statement, route topology.Route, arrived time.Duration) admission.Query {
	q := admission.Query{Group: route.Group, Target: admission.ReplicaAllowed, Priority: route.Priority}
	if !s.readsOnly(st) || route.Consistency == topology.Strict {
		q.Target = admission.PrimaryOnly
	}
	timeLeft := max(0, arrived+route.Timeout-s.relay.now())
	q.Request = admission.Request{ID: st.ID, Objective: min(route.LatencyObjective, timeLeft), Deadline: timeLeft}
	return q
}

// refuseAtAllCarriers refuses a statement that all carriers are expected to refuse.
func (s *session) refuseAtAllCarriers(st statement.Statement, route topology.Route, c admission.Choice) statement.Answer {
	r := s.relay
	level := min(max(route.Priority, 0), lastPriorityLevel)
	r.countRefusal(c.Verdict.Reason.String(), level)
	if suppressed, ok := r.logSampler.Allow("refusal carriers " + route.Group); ok {
		r.log.WithField("request", st.ID).WithField("group", route.Group).WithField("priority", route.Priority).
			WithField("reason", c.Verdict.Reason.String()).WithField("wait_ms", c.Verdict.Wait.Milliseconds()).WithField("age_ms", c.Age.Milliseconds()).
			WithField("come_back_ms", c.Verdict.RetryAfter.Milliseconds()).WithField("left_out", suppressed).Info("relay: a statement was refused, because all carriers are expected to refuse it")
	}
	answer := statement.Failure(statement.Idle, statement.Busy, "not run: what waits at all carriers already takes longer than the statement can wait")
	answer.Err.RetryAfter = c.Verdict.RetryAfter
	return answer
}
