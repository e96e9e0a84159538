package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
	"github.com/stackspindle/stackspindle/internal/pool"
	"github.com/stackspindle/stackspindle/internal/upstream"
)

// Stream runs the transactions of one client, one after the other, batch by
// batch. Handle and Close must be called by one goroutine; Cancel and Abort are
// safe for concurrent use.
type Stream struct {
	group       *Group
	view        *view
	header      *peerpb.Header
	lease       *upstream.Lease
	primaryRead bool // the lease counts as a strict read on the primary
	wrote       bool // the transaction may have written
	member      string
	reason      string
	journal     *journal      // set while a transaction with a request key runs
	received    time.Duration // when the current batch was received
	epoch       int           // epoch of the transaction, see activity

	mu       sync.Mutex // guards inFlight
	inFlight *upstream.Conn
}

// NewStream returns a stream without a transaction.
func (g *Group) NewStream() *Stream {
	return &Stream{group: g}
}

// refusal is an error whose kind, detail and retry delay are sent to the client.
type refusal struct {
	kind       peerpb.Refusal
	detail     string
	retryAfter time.Duration
	owner      string
}

func (r *refusal) Error() string { return r.detail }

// Send passes a reply on. It must not retain the reply's bytes.
type Send = func(*peerpb.RunReply) error

// Handle runs one batch. Failures of the batch are reported in the last reply;
// the returned error means that a reply could not be sent.
func (s *Stream) Handle(ctx context.Context, req *peerpb.RunRequest, send Send) error {
	s.received = s.group.opts.Now()
	if req.Abandon {
		s.Close()
		return send(&peerpb.RunReply{Done: &peerpb.Done{TxStatus: 'I'}})
	}
	reply, err := s.run(ctx, req, send)
	if err != nil {
		reply = s.refuse(err)
	}
	return send(reply)
}

// refuse ends the transaction and returns a reply with the reason.
func (s *Stream) refuse(err error) *peerpb.RunReply {
	s.Close()
	r := &refusal{kind: peerpb.Refusal_REFUSAL_UPSTREAM, detail: err.Error()}
	errors.As(err, &r)
	return &peerpb.RunReply{Done: &peerpb.Done{
		TxStatus:     'I',
		Refusal:      r.kind,
		Detail:       r.detail,
		RetryAfterUs: r.retryAfter.Microseconds(),
		Owner:        r.owner,
		Broken:       r.kind == peerpb.Refusal_REFUSAL_UNKNOWN_OUTCOME,
		Member:       s.member,
	}}
}

func (s *Stream) run(ctx context.Context, req *peerpb.RunRequest, send Send) (*peerpb.RunReply, error) {
	first := s.lease == nil && s.journal == nil
	if first {
		if req.Header == nil {
			return nil, unknownOutcome("the transaction is gone")
		}
		s.header = req.Header
		if err := s.open(ctx, req); err != nil {
			return nil, err
		}
	}
	if s.header.RequestKey != "" {
		return s.runKeyed(ctx, req, first)
	}
	return s.runBatch(ctx, req, send)
}

// open chooses a member and acquires a connection to it.
func (s *Stream) open(ctx context.Context, req *peerpb.RunRequest) error {
	deadline := s.received + time.Duration(s.header.TimeoutUs)*time.Microsecond
	s.wrote, s.primaryRead = false, false
	s.epoch = s.group.active.begin()
	err := s.openUntil(ctx, req, deadline)
	if s.lease == nil {
		s.group.active.end(s.epoch)
	}
	return err
}

// openUntil retries until it has acquired a connection, the deadline has passed,
// or the request is refused for another reason.
func (s *Stream) openUntil(ctx context.Context, req *peerpb.RunRequest, deadline time.Duration) error {
	for {
		v, err := s.group.awaitServing(ctx, deadline)
		if err != nil {
			return err
		}
		s.view = v
		required, err := s.group.requiredPosition(s.header)
		if err != nil {
			return err
		}
		if req.Class == peerpb.Class_CLASS_READ {
			err = s.openRead(ctx, required, deadline)
		} else {
			err = s.openWrite(ctx, deadline)
		}
		if errors.Is(err, upstream.ErrClosed) || errors.Is(err, upstream.ErrNotSent) && s.group.opts.Now() < deadline {
			s.group.pauseBeforeRetry(ctx, v)
			continue // the view has changed; nothing was sent
		}
		return err
	}
}

func (s *Stream) openWrite(ctx context.Context, deadline time.Duration) error {
	if !s.view.writable {
		return s.group.awaitWritable(ctx, s.view, deadline)
	}
	s.reason = "writes and open transactions run on the primary"
	return s.acquire(ctx, s.view.primary, true, deadline)
}

// acquire takes a connection from the member's pool and applies the session's
// settings to it.
func (s *Stream) acquire(ctx context.Context, member string, write bool, deadline time.Duration) error {
	lease, err := s.view.pools[member].Acquire(ctx, pool.Request{
		Service:  s.header.Service,
		Weight:   int(s.header.Weight),
		Limit:    int(s.header.MaxConnections),
		Write:    write,
		Deadline: deadline,
	}, nil)
	if err != nil {
		return s.acquireRefusal(err, member)
	}
	s.member = member
	if err := lease.Conn.ApplySettings(settingsMap(s.header.Settings)); err != nil {
		lease.Release()
		return fmt.Errorf("%w: %w", upstream.ErrNotSent, err)
	}
	s.lease = lease
	return nil
}

func (s *Stream) acquireRefusal(err error, member string) error {
	retry := s.view.pools[member].RetryAfter()
	switch {
	case errors.Is(err, upstream.ErrQueueFull):
		s.group.rejected.Add(1)
		return &refusal{kind: peerpb.Refusal_REFUSAL_QUEUE_FULL, detail: err.Error(), retryAfter: retry}
	case errors.Is(err, upstream.ErrDeadline):
		s.group.rejected.Add(1)
		return &refusal{kind: peerpb.Refusal_REFUSAL_DEADLINE, detail: err.Error(), retryAfter: retry}
	}
	return err
}

func settingsMap(settings []*peerpb.Setting) map[string]string {
	if len(settings) == 0 {
		return nil
	}
	m := make(map[string]string, len(settings))
	for _, s := range settings {
		m[s.Name] = s.Value
	}
	return m
}

// unknownOutcome returns a refusal for a request that may or may not have taken
// effect.
func unknownOutcome(detail string) error {
	return &refusal{kind: peerpb.Refusal_REFUSAL_UNKNOWN_OUTCOME, detail: detail}
}

// runBatch runs a batch on the leased connection and decides whether its answer
// may be passed on.
func (s *Stream) runBatch(ctx context.Context, req *peerpb.RunRequest, send Send) (*peerpb.RunReply, error) {
	result, err := s.execute(req, func(wire []byte) error {
		return send(&peerpb.RunReply{Wire: wire})
	})
	if err != nil {
		return nil, err
	}
	done, err := s.finishBatch(ctx, req, result)
	if err != nil {
		return nil, err
	}
	return &peerpb.RunReply{Wire: result.Wire, Done: done}, nil
}

// execute sends a batch on the leased connection and reads its answer.
func (s *Stream) execute(req *peerpb.RunRequest, emit func([]byte) error) (upstream.Result, error) {
	conn := s.lease.Conn
	s.wrote = s.wrote || req.Class == peerpb.Class_CLASS_WRITE
	if req.ChangesSettings {
		conn.MarkSettingsChanged()
	}
	if req.DiscardConnection {
		conn.MarkNeedsDiscard()
	}
	s.setInFlight(conn)
	defer s.setInFlight(nil)
	s.group.opts.FaultHook(StepSend)
	if !s.group.isCurrent(s.view) {
		return upstream.Result{}, &refusal{kind: peerpb.Refusal_REFUSAL_NO_PRIMARY, detail: "the primary was replaced before the statement was sent"}
	}
	result, err := conn.Run(batchOf(req, s.wrote && req.EndsTransaction), emit)
	s.group.opts.FaultHook(StepAnswered)
	if errors.Is(err, upstream.ErrNotSent) {
		return result, &refusal{kind: peerpb.Refusal_REFUSAL_UPSTREAM, detail: err.Error()}
	}
	if err != nil {
		s.group.workers[s.member].poll(s.view.term) // checks whether the member still answers
		return result, unknownOutcome(err.Error())
	}
	return result, nil
}

func batchOf(req *peerpb.RunRequest, probe bool) *upstream.Batch {
	b := &upstream.Batch{Wire: req.Wire, Kinds: req.Kinds, Ends: req.Ends, Refs: req.Refs, QueryPosition: probe}
	for _, st := range req.Statements {
		b.Statements = append(b.Statements, upstream.Statement{Name: st.Name, SQL: st.Sql, ParameterOIDs: st.ParameterOids})
	}
	return b
}

// finishBatch decides whether the answer may be passed on. If the transaction has
// ended, it also raises the session's floor and releases the connection.
func (s *Stream) finishBatch(ctx context.Context, req *peerpb.RunRequest, result upstream.Result) (*peerpb.Done, error) {
	status := s.lease.Conn.TxStatus()
	if !s.lease.Conn.Synced() {
		status = 'T' // the client has not sent Sync yet: more of the batch follows
	}
	done := &peerpb.Done{TxStatus: uint32(status), Member: s.member, Reason: s.reason, Failed: result.HasError, Primary: s.member == s.view.primary}
	if status != 'I' {
		return done, s.confirmLease(ctx, done)
	}
	var err error
	if s.wrote && s.member == s.view.primary && (req.EndsTransaction || !result.HasError) {
		err = s.acknowledgeCommit(ctx, done, result)
	} else {
		err = s.confirmLease(ctx, done)
	}
	if err != nil {
		return nil, err
	}
	s.Close()
	return done, nil
}

// acknowledgeCommit raises the session's floor to the position of the commit and
// waits until the commit may be acknowledged.
func (s *Stream) acknowledgeCommit(ctx context.Context, done *peerpb.Done, result upstream.Result) error {
	position, err := s.position(result)
	if err != nil {
		return err
	}
	if err := s.group.acknowledge(ctx, s.view, s.header.Session, position); err != nil {
		return err
	}
	done.Position = &peerpb.Position{Term: position.Term, Index: position.Index}
	return s.confirmLease(ctx, done)
}

// position returns a log position that includes the transaction.
func (s *Stream) position(result upstream.Result) (group.Position, error) {
	if !result.Position.IsZero() {
		return result.Position, nil
	}
	p, err := s.lease.Conn.Position()
	if err != nil {
		return group.Position{}, unknownOutcome(err.Error())
	}
	return p, nil
}

// confirmLease waits for a valid lease immediately before the answer is sent, and
// sets the time within which the answer must be passed on.
func (s *Stream) confirmLease(ctx context.Context, done *peerpb.Done) error {
	s.group.opts.FaultHook(StepReply)
	leaseEnd, err := s.group.awaitLease(ctx, s.view)
	if err != nil {
		return err
	}
	done.AckWithinUs = max((leaseEnd - s.received).Microseconds(), 1)
	return nil
}

func (s *Stream) setInFlight(conn *upstream.Conn) {
	s.mu.Lock()
	s.inFlight = conn
	s.mu.Unlock()
}

// Cancel cancels the running batch, if any. The connection cannot be reused for
// another client meanwhile: it is marked broken before the cancel request is sent.
func (s *Stream) Cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight == nil {
		return
	}
	_ = s.inFlight.Cancel() // best effort, as in PostgreSQL
}

// Abort closes the connection of the running batch, if any. It is used when the
// client has disconnected.
func (s *Stream) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight != nil {
		s.inFlight.Kill()
	}
}

// Close rolls back an open transaction and releases the connection.
func (s *Stream) Close() {
	s.journal = nil
	if s.primaryRead {
		s.primaryRead = false
		s.group.primaryReads.Add(-1)
	}
	if s.lease == nil {
		return
	}
	s.lease.Release()
	s.lease = nil
	s.group.active.end(s.epoch)
}
