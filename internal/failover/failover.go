// Package failover decides who may write to a database group. It is a state
// machine without I/O, clock or goroutine: State.Step takes one event with its
// time and returns the actions to carry out.
//
// Authority rests on the group's own terms. An owner claims a group by fencing
// a majority of its members at a higher term; a fenced member refuses all work
// of lower terms. The right to acknowledge writes is a lease that lasts
// Config.Lease from the sending of the last heartbeat that a majority answered
// in the owner's term. A successor that has fenced a majority waits until every
// lease that could have been granted before has lapsed. No store is involved.
package failover

import (
	"fmt"
	"slices"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

// Config bounds the decisions. All durations are local and monotonic.
type Config struct {
	Heartbeat      time.Duration // between two heartbeats to a member
	Silence        time.Duration // without an answer after which a member counts as dead
	OwnerSilence   time.Duration // without a heartbeat after which an owner counts as gone
	Lease          time.Duration // right to acknowledge, from the sending of a heartbeat
	DriftPerMille  int64         // bound on the rate difference of two clocks
	Collect        time.Duration // longest wait for members beyond the majority
	Isolation      time.Duration // replicas without their primary before it is replaced, ReplicaAck only
	DrainBound     time.Duration // longest wait for open transactions of a leaving primary
	ReplicaAck     bool          // a write is acknowledged once a replica holds it
	MaxSilence     time.Duration // upper bound of the damped Silence
	DampingWindow  time.Duration // moves within it double Silence
	MaxMoves       int           // moves allowed within DampingWindow
	HardFailures   int           // refused connections in a row that count as death
	RetryUnsettled time.Duration // before a claim without majority is tried again
}

// DefaultConfig returns the settings used when nothing else is configured.
func DefaultConfig() Config {
	return Config{
		Heartbeat:      250 * time.Millisecond,
		Silence:        1200 * time.Millisecond,
		OwnerSilence:   600 * time.Millisecond,
		Lease:          700 * time.Millisecond,
		DriftPerMille:  10,
		Collect:        300 * time.Millisecond,
		Isolation:      2 * time.Second,
		DrainBound:     5 * time.Second,
		MaxSilence:     4 * time.Second,
		DampingWindow:  10 * time.Minute,
		MaxMoves:       6,
		HardFailures:   2,
		RetryUnsettled: 250 * time.Millisecond,
	}
}

// Phase is what an instance is doing about a group.
type Phase int

// The phases, in the order of a take-over.
const (
	Standby   Phase = iota // not the owner
	Observing              // asking the members who owns the group
	Fencing                // moving the members to a new term
	Waiting                // until the leases of former owners have lapsed
	Promoting              // making the successor primary
	Serving                // owner, with a primary
	Draining               // owner, emptying a primary that leaves
)

// String returns the name of the phase.
func (p Phase) String() string {
	names := [...]string{"standby", "observing", "fencing", "waiting", "promoting", "serving", "draining"}
	return names[p]
}

// Op is a request to a member.
type Op int

// The requests.
const (
	OpStatus Op = iota
	OpHeartbeat
	OpFence
	OpPromote
	OpFollow
	OpRelease
)

// Failure tells how a request to a member ended.
type Failure int

// The failures. FailTerm comes with the member's status unless it is unknown.
const (
	FailNone    Failure = iota
	FailSilent          // no answer in time
	FailHard            // connection refused or reset
	FailRefused         // answered with an error, as for a term that has passed
)

// Event is something that happened.
type Event interface{ event() }

// Claim asks for the group to be taken over.
type Claim struct {
	Reason string
	// Patience is added to the silence after which an owner counts as gone, so
	// that several candidates do not claim at the same moment.
	Patience time.Duration
	From     string         // former owner that has stopped and consents, or ""
	Term     uint64         // term that From gave up
	Acked    group.Position // highest position that From acknowledged
}

// Reply is the outcome of one request to a member.
type Reply struct {
	Member  string
	Op      Op
	Term    uint64        // that the request was made in
	Sent    time.Duration // when the request was sent
	Status  group.Status
	Failure Failure
}

// Tick passes time.
type Tick struct {
	Acked group.Position // highest position acknowledged so far
}

// Leave tells which members are to get no new work.
type Leave struct{ Members []string }

// Drained tells that no transaction is open on the primary any more.
type Drained struct{}

// Resign gives the group up.
type Resign struct{ Reason string }

func (Claim) event()   {}
func (Reply) event()   {}
func (Tick) event()    {}
func (Leave) event()   {}
func (Drained) event() {}
func (Resign) event()  {}

// Action is something to be done.
type Action interface{ action() }

// Send asks for a request to a member.
type Send struct {
	Member string
	Op     Op
	Term   uint64
	Leader string         // OpFollow
	Acked  group.Position // OpHeartbeat
}

// Serve tells that the group has a primary in a new term.
type Serve struct {
	Term    uint64
	Primary string
	Base    group.Position // the log that the term starts from
	History group.History  // terms in that log, as far as the primary knows
	Moved   bool           // the primary is another member than before
	Claimed bool           // the instance has just become the owner
}

// Suspend stops new work on the primary. Terminal: no answer of the term may be passed on.
type Suspend struct {
	Reason   string
	Terminal bool
}

// Resigned tells that the instance no longer owns the group.
type Resigned struct {
	Reason string
	Owner  string // who does, when known
}

// Record is an entry for the time line.
type Record struct {
	Kind   string
	Member string
	Text   string
}

func (Send) action()     {}
func (Serve) action()    {}
func (Suspend) action()  {}
func (Resigned) action() {}
func (Record) action()   {}

// member is what is known of one member.
type member struct {
	status   group.Status
	asked    time.Duration // when the request that gave status was sent
	told     bool          // whom to follow, since status
	answered time.Duration // when it last answered anything
	inTerm   time.Duration // when the last request that it answered in our term was sent
	held     bool          // inTerm is set for the current term
	fenced   bool          // answered the fence of the current claim
	failed   bool          // the fence of the current claim failed
	hard     int           // hard failures in a row
	down     bool          // reported as down in the time line
	unlinked time.Duration // since when a replica has not heard its primary
	isolated bool
}

// State is the control state of one group on one instance. It is used by one
// goroutine only.
type State struct {
	cfg     Config
	self    string
	names   []string
	members map[string]*member

	phase     Phase
	term      uint64
	primary   string
	suspect   string // member that need not be waited for while fencing
	avoid     string // member that is not to be promoted
	from      string // former owner whose lease need not be waited for
	fromTerm  uint64
	patience  time.Duration
	reason    string // of the current claim
	acked     group.Position
	started   time.Duration // of the current phase
	until     time.Duration // when the leases of all former owners have lapsed
	lastTick  time.Duration
	lastBeat  time.Duration
	moves     []time.Duration
	leaving   map[string]bool
	claimed   bool
	drained   bool
	lastDrain time.Duration
	former    string // primary before the current claim
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

// Phase returns what the instance is doing.
func (s *State) Phase() Phase { return s.phase }

// Term returns the current term of a claim or of the ownership.
func (s *State) Term() uint64 { return s.term }

// Primary returns the primary that is served, or "".
func (s *State) Primary() string { return s.primary }

// Member returns the last status of a member and when it answered.
func (s *State) Member(name string) (group.Status, time.Duration) {
	m := s.members[name]
	return m.status, m.answered
}

func (s *State) majority() int { return len(s.names)/2 + 1 }

// LeaseEnd returns until when answers of the current term may be acknowledged.
// It is the instant at which the majority's last answered requests were sent,
// plus the lease; zero when no majority has answered in this term.
func (s *State) LeaseEnd() time.Duration {
	if s.phase != Serving && s.phase != Draining {
		return 0
	}
	sent := make([]time.Duration, 0, len(s.names))
	for _, m := range s.members {
		if m.held {
			sent = append(sent, m.inTerm)
		}
	}
	if len(sent) < s.majority() {
		return 0
	}
	slices.Sort(sent)
	return sent[len(sent)-s.majority()] + s.cfg.Lease
}

// Step applies one event and returns what is to be done about it.
func (s *State) Step(now time.Duration, ev Event) []Action {
	switch e := ev.(type) {
	case Claim:
		return s.claim(now, e)
	case Reply:
		return s.reply(now, e)
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

func (s *State) claim(now time.Duration, e Claim) []Action {
	if s.phase != Standby {
		return nil
	}
	s.from, s.fromTerm, s.patience = e.From, e.Term, e.Patience
	s.acked = group.Max(s.acked, e.Acked)
	s.claimed = true
	s.enter(now, Observing)
	s.reason = e.Reason
	for _, m := range s.members {
		m.fenced, m.failed, m.held = false, false, false
	}
	return s.broadcast(OpStatus)
}

func (s *State) enter(now time.Duration, p Phase) {
	s.phase = p
	s.started = now
}

func (s *State) broadcast(op Op) []Action {
	actions := make([]Action, 0, len(s.names))
	for _, name := range s.names {
		actions = append(actions, Send{Member: name, Op: op, Term: s.term, Acked: s.acked})
	}
	return actions
}

// fence starts a new term. The caller has set suspect and avoid.
func (s *State) fence(now time.Duration) []Action {
	highest := s.term
	for _, m := range s.members {
		highest = max(highest, m.status.Term)
		m.fenced, m.failed, m.held = false, false, false
	}
	s.term = highest + 1
	s.enter(now, Fencing)
	return append([]Action{Record{Kind: "fence", Text: fmt.Sprintf("fencing at term %d", s.term)}}, s.broadcast(OpFence)...)
}

func (s *State) resign(e Resign) []Action {
	if s.phase == Standby {
		return nil
	}
	actions := []Action{Suspend{Reason: e.Reason, Terminal: true}}
	actions = append(actions, s.broadcast(OpRelease)...)
	return append(actions, s.standDown(e.Reason, "")...)
}

// standDown forgets the ownership.
func (s *State) standDown(reason, owner string) []Action {
	noteworthy := s.phase > Observing // a claim that finds an owner changes nothing
	s.phase = Standby
	s.primary, s.suspect, s.avoid = "", "", ""
	s.claimed = false
	for _, m := range s.members {
		m.held = false
	}
	actions := []Action{Resigned{Reason: reason, Owner: owner}}
	if noteworthy {
		actions = append(actions, Record{Kind: "released", Text: reason})
	}
	return actions
}

// Leaving reports whether the member is to get no new work.
func (s *State) Leaving(name string) bool { return s.leaving[name] }
