// Package failover decides which instance may write to a database group and
// which member is its primary. It is a state machine without I/O, clock or
// goroutines: State.Step takes one event and its time and returns the actions
// that the caller (package owner) must carry out.
//
// Ownership rests on terms, which the members store; no external store is
// involved. An instance claims a group by fencing a majority of its members at a
// higher term. A fenced member refuses all requests of lower terms. The owner may
// acknowledge writes while it holds a lease, which lasts Config.Lease from the
// time at which it sent the last heartbeat that a majority answered in its term.
// A successor that has fenced a majority waits until every lease that a former
// owner could hold has expired.
package failover

import (
	"fmt"
	"slices"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

// Config holds the timeouts and limits of failover. All durations are measured
// on the instance's own monotonic clock.
type Config struct {
	Heartbeat         time.Duration // interval between two heartbeats to a member
	MemberTimeout     time.Duration // a member that has not answered for this long counts as failed
	OwnerTimeout      time.Duration // an owner that has not contacted a member for this long counts as failed
	Lease             time.Duration // how long a heartbeat, once answered, permits acknowledgements; starts when it is sent
	DriftPerMille     int64         // upper bound of the rate difference of two clocks
	CollectTimeout    time.Duration // how long a claim waits for members beyond the majority
	IsolationTimeout  time.Duration // a primary that no replica has reached for this long is replaced; with ReplicaAck only
	DrainTimeout      time.Duration // how long a leaving primary may keep open transactions
	ReplicaAck        bool          // acknowledge a write only when a replica has it
	MaxMemberTimeout  time.Duration // upper bound of MemberTimeout after damping
	DampingWindow     time.Duration // each change of the primary within this window doubles MemberTimeout
	MaxPrimaryChanges int           // changes of the primary allowed within DampingWindow
	MaxConnFailures   int           // consecutive connection failures after which a member counts as failed
	ClaimRetryDelay   time.Duration // delay, after CollectTimeout, before a claim without a majority is retried
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Heartbeat:         250 * time.Millisecond,
		MemberTimeout:     1200 * time.Millisecond,
		OwnerTimeout:      600 * time.Millisecond,
		Lease:             700 * time.Millisecond,
		DriftPerMille:     10,
		CollectTimeout:    300 * time.Millisecond,
		IsolationTimeout:  2 * time.Second,
		DrainTimeout:      5 * time.Second,
		MaxMemberTimeout:  4 * time.Second,
		DampingWindow:     10 * time.Minute,
		MaxPrimaryChanges: 6,
		MaxConnFailures:   2,
		ClaimRetryDelay:   250 * time.Millisecond,
	}
}

// Phase is the state of a group on one instance.
type Phase int

// The phases, in the order in which a take-over passes through them.
const (
	Standby   Phase = iota // not the owner
	Observing              // asking the members which instance owns the group
	Fencing                // fencing the members at a new term
	Waiting                // waiting for the leases of former owners to expire
	Promoting              // promoting the member chosen as primary
	Serving                // owner, with a primary
	Draining               // owner, waiting for the transactions on a leaving primary to end
)

// String returns the name of the phase.
func (p Phase) String() string {
	names := [...]string{"standby", "observing", "fencing", "waiting", "promoting", "serving", "draining"}
	return names[p]
}

// Op is the kind of a request to a member.
type Op int

// The kinds of requests.
const (
	OpStatus Op = iota
	OpHeartbeat
	OpFence
	OpPromote
	OpFollow
	OpRelease
)

// Failure classifies the outcome of a request to a member.
type Failure int

// The outcomes.
const (
	FailNone       Failure = iota
	FailTimeout            // no answer in time
	FailConnection         // connection refused or reset by the peer
	FailRefused            // the member answered with an error, for example because of an old term
)

// Event is an input of the state machine.
type Event interface{ event() }

// Claim requests that this instance take the group over.
type Claim struct {
	Reason string
	// ExtraOwnerTimeout is added to Config.OwnerTimeout, so that several candidates
	// do not claim at the same moment.
	ExtraOwnerTimeout time.Duration
	From              string         // former owner that has handed the group over, or ""
	Term              uint64         // term in which From owned the group
	Acked             group.Position // highest position that From acknowledged
}

// Reply is the outcome of one request to a member.
type Reply struct {
	Member  string
	Op      Op
	Term    uint64        // term of the request
	Sent    time.Duration // when the request was sent
	Status  group.Status
	Failure Failure
}

// Tick reports that time has passed. It is sent periodically.
type Tick struct {
	Acked group.Position // highest position acknowledged so far
}

// Leave replaces the set of members that must get no new work.
type Leave struct{ Members []string }

// Drained reports that no transaction is open on the leaving primary.
type Drained struct{}

// Resign makes this instance give up the ownership.
type Resign struct{ Reason string }

func (Claim) event()   {}
func (Reply) event()   {}
func (Tick) event()    {}
func (Leave) event()   {}
func (Drained) event() {}
func (Resign) event()  {}

// Action is an output of the state machine, for the caller to carry out.
type Action interface{ action() }

// Send requests that a request be sent to a member.
type Send struct {
	Member string
	Op     Op
	Term   uint64
	Leader string         // OpFollow
	Acked  group.Position // OpHeartbeat
}

// Serve reports that the group has a primary in a new term.
type Serve struct {
	Term           uint64
	Primary        string
	Base           group.Position // log position at which the term starts
	History        group.History  // the terms in that log that the primary knows
	PrimaryChanged bool           // the primary has changed
	Claimed        bool           // the instance has just become the owner
}

// Suspend stops new work on the primary. If it is Terminal, no answer of the
// term may be passed on to a client.
type Suspend struct {
	Reason   string
	Terminal bool
}

// Resigned reports that the instance no longer owns the group.
type Resigned struct {
	Reason string
	Owner  string // the new owner, or "" if unknown
}

// TimelineEvent is an event for the group's time line.
type TimelineEvent struct {
	Kind   string
	Member string
	Text   string
}

func (Send) action()          {}
func (Serve) action()         {}
func (Suspend) action()       {}
func (Resigned) action()      {}
func (TimelineEvent) action() {}

// member is the last known state of one member.
type member struct {
	status            group.Status
	statusSentAt      time.Duration // when the request that returned status was sent
	followSent        bool          // a follow request was sent since the last status
	answeredAt        time.Duration // time of the last answer to any request
	heartbeatSentAt   time.Duration // when the last heartbeat that the member answered in the current term was sent
	heartbeatAnswered bool          // heartbeatSentAt is valid for the current term
	fenced            bool          // the fence request of the current claim succeeded
	fenceFailed       bool          // the fence request of the current claim failed
	connFailures      int           // consecutive connection failures
	reportedDown      bool          // the time line has the member as down
	unlinkedSince     time.Duration // since when the replica has had no link to its primary
	isolated          bool          // a replica without a link to its primary
}

// State is the failover state of one group on one instance. It is not safe for
// concurrent use.
type State struct {
	cfg     Config
	self    string
	names   []string
	members map[string]*member

	phase             Phase
	term              uint64
	primary           string
	suspect           string // presumed failed: fencing does not wait for it
	excluded          string // member that should not be promoted
	formerOwner       string // former owner that has handed over: its lease need not expire first
	formerOwnerTerm   uint64 // term in which formerOwner owned the group
	extraOwnerTimeout time.Duration
	reason            string         // reason of the current claim
	acked             group.Position // highest known acknowledged position
	phaseStarted      time.Duration  // when the current phase began
	leasesExpireAt    time.Duration  // when the leases of all former owners have expired
	lastTick          time.Duration
	lastHeartbeat     time.Duration
	primaryChanges    []time.Duration // times of past changes of the primary
	leaving           map[string]bool
	claimed           bool          // a claim is under way: the next Serve makes this instance the owner
	drained           bool          // no transaction is open on the leaving primary
	lastDrain         time.Duration // when draining last began
	formerPrimary     string        // last primary before the current claim or failover
}

// New returns the state of an instance that does not own the group.
func New(cfg Config, self string, members []string) *State {
	s := &State{
		cfg:     cfg,
		self:    self,
		names:   slices.Clone(members),
		members: make(map[string]*member, len(members)),
		leaving: make(map[string]bool),
	}
	for _, name := range members {
		s.members[name] = &member{}
	}
	return s
}

// Phase returns the current phase.
func (s *State) Phase() Phase { return s.phase }

// Term returns the term of the current claim or ownership.
func (s *State) Term() uint64 { return s.term }

// Primary returns the current primary, or "" if there is none.
func (s *State) Primary() string { return s.primary }

// Member returns the last status of a member and the time of its last answer.
func (s *State) Member(name string) (group.Status, time.Duration) {
	m := s.members[name]
	return m.status, m.answeredAt
}

func (s *State) majority() int { return len(s.names)/2 + 1 }

// LeaseEnd returns the time until which work of the current term may be
// acknowledged. The lease lasts Config.Lease from the latest time for which a
// majority has answered heartbeats that were sent at that time or later. The
// result is zero if no majority has answered a heartbeat in this term.
func (s *State) LeaseEnd() time.Duration {
	if s.phase != Serving && s.phase != Draining {
		return 0
	}
	sent := make([]time.Duration, 0, len(s.names))
	for _, m := range s.members {
		if m.heartbeatAnswered {
			sent = append(sent, m.heartbeatSentAt)
		}
	}
	if len(sent) < s.majority() {
		return 0
	}
	slices.Sort(sent)
	return sent[len(sent)-s.majority()] + s.cfg.Lease
}

// Step applies one event and returns the actions to carry out, in order.
func (s *State) Step(now time.Duration, ev Event) []Action {
	switch e := ev.(type) {
	case Claim:
		return s.handleClaim(now, e)
	case Reply:
		return s.handleReply(now, e)
	case Tick:
		return s.tick(now, e)
	case Leave:
		return s.setLeaving(now, e)
	case Drained:
		s.drained = true
		return s.advance(now)
	case Resign:
		return s.resign(e)
	}
	return nil
}

func (s *State) handleClaim(now time.Duration, e Claim) []Action {
	if s.phase != Standby {
		return nil
	}
	s.formerOwner, s.formerOwnerTerm, s.extraOwnerTimeout = e.From, e.Term, e.ExtraOwnerTimeout
	s.acked = group.Max(s.acked, e.Acked)
	s.claimed = true
	s.enter(now, Observing)
	s.reason = e.Reason
	for _, m := range s.members {
		m.fenced, m.fenceFailed, m.heartbeatAnswered = false, false, false
	}
	return s.broadcast(OpStatus)
}

func (s *State) enter(now time.Duration, p Phase) {
	s.phase = p
	s.phaseStarted = now
}

// broadcast returns actions that send a request to all members.
func (s *State) broadcast(op Op) []Action {
	actions := make([]Action, 0, len(s.names))
	for _, name := range s.names {
		actions = append(actions, Send{Member: name, Op: op, Term: s.term, Acked: s.acked})
	}
	return actions
}

// fence starts a new term and fences all members at it. The caller must have set
// suspect and excluded.
func (s *State) fence(now time.Duration) []Action {
	highest := s.term
	for _, m := range s.members {
		highest = max(highest, m.status.Term)
		m.fenced, m.fenceFailed, m.heartbeatAnswered = false, false, false
	}
	s.term = highest + 1
	s.enter(now, Fencing)
	return append([]Action{TimelineEvent{Kind: "fence", Text: fmt.Sprintf("fencing at term %d", s.term)}}, s.broadcast(OpFence)...)
}

func (s *State) resign(e Resign) []Action {
	if s.phase == Standby {
		return nil
	}
	actions := []Action{Suspend{Reason: e.Reason, Terminal: true}}
	actions = append(actions, s.broadcast(OpRelease)...)
	return append(actions, s.standDown(e.Reason, "")...)
}

// standDown ends a claim or an ownership and returns to Standby.
func (s *State) standDown(reason, owner string) []Action {
	hadFenced := s.phase > Observing // a claim that finds a live owner has changed nothing
	s.phase = Standby
	s.primary, s.suspect, s.excluded = "", "", ""
	s.claimed = false
	for _, m := range s.members {
		m.heartbeatAnswered = false
	}
	actions := []Action{Resigned{Reason: reason, Owner: owner}}
	if hadFenced {
		actions = append(actions, TimelineEvent{Kind: "released", Text: reason})
	}
	return actions
}

// Leaving reports whether the member must get no new work.
func (s *State) Leaving(name string) bool { return s.leaving[name] }
