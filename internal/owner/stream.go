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

// Stream runs the batches of one caller's transaction, then of the next.
// Handle and Close are called by one goroutine; Cancel by any.
type Stream struct {
	group    *Group
	view     *view
	header   *peerpb.Header
	lease    *upstream.Lease
	fallback bool // the lease counts as a strict read on the primary
	wrote    bool // the transaction may have written
	member   string
	reason   string
	journal  *journal // of a transaction with a request key
	received time.Duration
	epoch    int // of the transaction, see activity

	mu       sync.Mutex // guards inFlight
	inFlight *upstream.Conn
}

// NewStream returns a stream without a transaction.
func (g *Group) NewStream() *Stream {
	return &Stream{group: g}
}

// refusal is an error whose meaning the caller is told.
type refusal struct {
	kind       peerpb.Refusal
	detail     string
	retryAfter time.Duration
	owner      string
}

func (r *refusal) Error() string { return r.detail }

// Send passes a reply on. The reply's bytes are not kept afterwards.
type Send = func(*peerpb.RunReply) error

// Handle runs one batch. All that goes wrong with the batch is told in the last
// reply; an error means that the reply could not be sent.
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

// refuse ends the transaction and says why.
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
			return nil, unknown("the transaction is gone")
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

// open chooses a member and takes a connection to it.
func (s *Stream) open(ctx context.Context, req *peerpb.RunRequest) error {
	deadline := s.received + time.Duration(s.header.TimeoutUs)*time.Microsecond
	s.wrote, s.fallback = false, false
	s.epoch = s.group.active.begin()
	err := s.openUntil(ctx, req, deadline)
	if s.lease == nil {
		s.group.active.end(s.epoch)
	}
	return err
}

// openUntil tries until a connection is leased, the deadline passes, or the
// request is refused for another reason.
func (s *Stream) openUntil(ctx context.Context, req *peerpb.RunRequest, deadline time.Duration) error {
	for {
		v, err := s.group.awaitServing(ctx, deadline)
		if err != nil {
			return err
		}
		s.view = v
		required, err := s.group.required(s.header)
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
		s.group.shed.Add(1)
		return &refusal{kind: peerpb.Refusal_REFUSAL_QUEUE_FULL, detail: err.Error(), retryAfter: retry}
	case errors.Is(err, upstream.ErrDeadline):
		s.group.shed.Add(1)
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

func unknown(detail string) error {
	return &refusal{kind: peerpb.Refusal_REFUSAL_UNKNOWN_OUTCOME, detail: detail}
}

// runBatch runs a batch on the leased connection and settles its answer.
func (s *Stream) runBatch(ctx context.Context, req *peerpb.RunRequest, send Send) (*peerpb.RunReply, error) {
	result, err := s.execute(req, func(wire []byte) error {
		return send(&peerpb.RunReply{Wire: wire})
	})
	if err != nil {
		return nil, err
	}
	done, err := s.settle(ctx, req, result)
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
		conn.Taint()
	}
	s.setInFlight(conn)
	defer s.setInFlight(nil)
	s.group.opts.Pause(StepSend)
	if !s.group.current(s.view) {
		return upstream.Result{}, &refusal{kind: peerpb.Refusal_REFUSAL_NO_PRIMARY, detail: "the primary was replaced before the statement was sent"}
	}
	result, err := conn.Run(batchOf(req, s.wrote && req.EndsTransaction), emit)
	s.group.opts.Pause(StepAnswered)
	if errors.Is(err, upstream.ErrNotSent) {
		return result, &refusal{kind: peerpb.Refusal_REFUSAL_UPSTREAM, detail: err.Error()}
	}
	if err != nil {
		s.group.workers[s.member].poll(s.view.term) // is the member still there?
		return result, unknown(err.Error())
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

// settle decides whether the answer may be passed on. When the transaction has
// ended it notes what the session must see and returns the connection.
func (s *Stream) settle(ctx context.Context, req *peerpb.RunRequest, result upstream.Result) (*peerpb.Done, error) {
	status := s.lease.Conn.TxStatus()
	if !s.lease.Conn.Synced() {
		status = 'T' // more of the same request follows
	}
	done := &peerpb.Done{TxStatus: uint32(status), Member: s.member, Reason: s.reason, Failed: result.HasError, Primary: s.member == s.view.primary}
	if status != 'I' {
		return done, s.admitAnswer(ctx, done)
	}
	var err error
	if s.wrote && s.member == s.view.primary && (req.EndsTransaction || !result.HasError) {
		err = s.admitCommit(ctx, done, result)
	} else {
		err = s.admitAnswer(ctx, done)
	}
	if err != nil {
		return nil, err
	}
	s.Close()
	return done, nil
}

// admitCommit notes what the session must see from now on and checks that the
// commit may be acknowledged.
func (s *Stream) admitCommit(ctx context.Context, done *peerpb.Done, result upstream.Result) error {
	position, err := s.position(result)
	if err != nil {
		return err
	}
	if err := s.group.acknowledge(ctx, s.view, s.header.Session, position); err != nil {
		return err
	}
	done.Position = &peerpb.Position{Term: position.Term, Index: position.Index}
	return s.admitAnswer(ctx, done)
}

// position returns the log position that holds the transaction.
func (s *Stream) position(result upstream.Result) (group.Position, error) {
	if !result.Position.IsZero() {
		return result.Position, nil
	}
	p, err := s.lease.Conn.Position()
	if err != nil {
		return group.Position{}, unknown(err.Error())
	}
	return p, nil
}

// admitAnswer checks the lease immediately before the answer leaves.
func (s *Stream) admitAnswer(ctx context.Context, done *peerpb.Done) error {
	s.group.opts.Pause(StepReply)
	if err := s.group.awaitLease(ctx, s.view); err != nil {
		return err
	}
	left := time.Duration(s.group.leaseEnd.Load()) - s.received
	done.AckWithinUs = max(left.Microseconds(), 1)
	return nil
}

func (s *Stream) setInFlight(conn *upstream.Conn) {
	s.mu.Lock()
	s.inFlight = conn
	s.mu.Unlock()
}

// Cancel stops the batch in flight, if any. While it runs, the connection cannot
// pass to another caller: it is marked broken before the request leaves.
func (s *Stream) Cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight == nil {
		return
	}
	_ = s.inFlight.Cancel() // a cancel is best effort, as in PostgreSQL
}

// Abort breaks the batch in flight, for a caller that has gone.
func (s *Stream) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight != nil {
		s.inFlight.Kill()
	}
}

// Close rolls an open transaction back and returns the connection.
func (s *Stream) Close() {
	s.journal = nil
	if s.fallback {
		s.fallback = false
		s.group.fallback.Add(-1)
	}
	if s.lease == nil {
		return
	}
	s.lease.Release()
	s.lease = nil
	s.group.active.end(s.epoch)
}
