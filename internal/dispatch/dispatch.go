// Package dispatch forwards transactions from the ingress instance, to which the
// client is connected, to the instance that owns the database group. It finds the
// owner from announcements, hints in refusals and placement, retries requests that
// were refused without having run, and never passes on an acknowledgement that
// arrived after the owner's lease had expired.
package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/stackspindle/stackspindle/internal/owner"
	"github.com/stackspindle/stackspindle/internal/peer"
	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
	"github.com/stackspindle/stackspindle/internal/retry"
)

// Stream runs the batches of one transaction.
type Stream interface {
	Handle(ctx context.Context, req *peerpb.RunRequest, deliver func(*peerpb.RunReply) error) error
	Cancel()
	Close()
}

// Placement returns the instances that should own a group, in order of preference.
type Placement interface {
	Ranking(group string) []string
	Local(group string) *owner.Group // nil if the group is unknown on this instance
}

// Dispatcher creates transactions and tracks the owner of each group. It is safe
// for concurrent use.
type Dispatcher struct {
	self      string
	placement Placement
	peers     *peer.Client

	mu     sync.Mutex // guards routes
	routes map[string]*route
}

// route is the routing state of one group.
type route struct {
	owner  string // "" if unknown
	term   uint64 // highest term in which an owner has announced itself, 0 if none has
	budget *retry.Budget
	epochs map[string]*epoch // by the instance to which requests are sent as the owner
}

// epoch is the period in which an instance is used as the owner. Its context ends
// when another instance announces itself as the owner.
type epoch struct {
	ctx context.Context
	end context.CancelFunc
}

// New returns a dispatcher for an instance.
func New(self string, placement Placement, peers *peer.Client) *Dispatcher {
	return &Dispatcher{
		self:      self,
		placement: placement,
		peers:     peers,
		routes:    make(map[string]*route),
	}
}

// Result is the outcome of a batch.
type Result struct {
	Done      *peerpb.Done // never nil
	Delivered bool         // part of the answer has been sent to the client
	Wire      []byte       // the rest of the answer; it may be passed on
	Attempts  int
}

// Tx is a transaction in progress.
type Tx struct {
	d      *Dispatcher
	stream Stream
	epoch  context.Context

	mu sync.Mutex // guards stream against Cancel
}

// Begin returns a transaction. It is sent to an owner with its first batch.
func (d *Dispatcher) Begin() *Tx { return &Tx{d: d} }

// Open reports whether a transaction is open on an owner.
func (t *Tx) Open() bool { return t.stream != nil }

// Run runs one batch. The first batch of a transaction carries the header and is
// retried as package retry allows, until the timeout. Later batches are sent once.
// Chunks of the answer that arrive before the last reply are passed to emit.
func (t *Tx) Run(ctx context.Context, req *peerpb.RunRequest, timeout time.Duration, emit func([]byte) error) Result {
	if t.Open() {
		result, err := t.attempt(ctx, req, emit)
		return t.finishBatch(result, err)
	}
	return t.runFirst(ctx, req, timeout, emit)
}

func (t *Tx) runFirst(ctx context.Context, req *peerpb.RunRequest, timeout time.Duration, emit func([]byte) error) Result {
	group := req.Header.Group
	deadline := time.Now().Add(timeout)
	t.d.earnRetryBudget(group)
	for attempt := 1; ; attempt++ {
		remaining := time.Until(deadline)
		req.Header.TimeoutUs = remaining.Microseconds()
		target := t.d.target(group, attempt)
		result, err := t.open(ctx, target, req, emit)
		result.Attempts = attempt
		outcome := outcomeOf(result, err, req.Header.RequestKey != "")
		outcome.Attempt, outcome.TimeLeft, outcome.Jitter = attempt, time.Until(deadline), rand.Float64()
		t.d.updateOwner(group, target, result, err)
		if err == nil && result.Done.Refusal == peerpb.Refusal_REFUSAL_NONE {
			return t.finishBatch(result, nil)
		}
		next := t.d.nextAttempt(group, outcome)
		if !next.Retry || ctx.Err() != nil {
			return t.finishBatch(result, err)
		}
		t.closeStream()
		sleep(ctx, next.Delay)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func outcomeOf(r Result, err error, keyed bool) retry.Outcome {
	o := retry.Outcome{Delivered: r.Delivered, Idempotent: keyed}
	switch {
	case errors.Is(err, peer.ErrNotSent):
		o.NotSent = true
	case err != nil:
		o.Broken = true
	default:
		o.Refusal = r.Done.Refusal
		o.OwnerHint = r.Done.Owner != ""
	}
	return o
}

// open opens a stream to the target instance and runs the first batch on it.
func (t *Tx) open(ctx context.Context, target string, req *peerpb.RunRequest, emit func([]byte) error) (Result, error) {
	if target == "" {
		return Result{Done: &peerpb.Done{
			Refusal:      peerpb.Refusal_REFUSAL_NO_PRIMARY,
			Detail:       "no instance is known that could own the group",
			RetryAfterUs: noOwnerRetryAfter.Microseconds(),
		}}, nil
	}
	stream, err := t.d.stream(target, req.Header.Group)
	if err != nil {
		return Result{}, err
	}
	t.setStream(stream)
	t.epoch = t.d.epoch(req.Header.Group, target)
	return t.attempt(ctx, req, emit)
}

// noOwnerRetryAfter is the retry delay advised to clients while no owner is known.
const noOwnerRetryAfter = 500 * time.Millisecond

func (t *Tx) setStream(s Stream) {
	t.mu.Lock()
	t.stream = s
	t.mu.Unlock()
}

// attempt runs a batch on the open stream. If the acknowledgement takes longer than
// the owner allows (AckWithinUs, counted from before the request is sent), the
// outcome is reported as unknown.
func (t *Tx) attempt(ctx context.Context, req *peerpb.RunRequest, emit func([]byte) error) (Result, error) {
	var r Result
	if remote, ok := t.stream.(*peer.Stream); ok {
		defer breakAfterGrace(t.epoch, remote.Break)()
	}
	started := time.Now()
	err := t.stream.Handle(ctx, req, func(reply *peerpb.RunReply) error {
		if reply.Done != nil {
			r.Done, r.Wire = reply.Done, reply.Wire
			return nil
		}
		r.Delivered = true
		return emit(reply.Wire)
	})
	if err != nil {
		return r, err
	}
	allowed := time.Duration(r.Done.AckWithinUs) * time.Microsecond
	if r.Done.Refusal == peerpb.Refusal_REFUSAL_NONE && allowed > 0 && time.Since(started) > allowed {
		r.Wire = nil
		r.Done = &peerpb.Done{
			TxStatus: 'I',
			Refusal:  peerpb.Refusal_REFUSAL_UNKNOWN_OUTCOME,
			Detail:   "the answer came after the owner's lease had lapsed",
			Broken:   true,
		}
	}
	return r, nil
}

// replacedOwnerGrace is how long a replaced owner may still answer after its
// successor's announcement. In a planned hand-over the former owner refuses
// requests that it has not run within a few milliseconds, and the announcement may
// arrive before the refusal. Whether an answer came too late to be passed on is
// checked separately, in attempt.
const replacedOwnerGrace = 100 * time.Millisecond

// breakAfterGrace calls f replacedOwnerGrace after the end of the epoch, unless the
// returned function is called before.
func breakAfterGrace(epoch context.Context, f func()) (stop func()) {
	var mu sync.Mutex
	var timer *time.Timer
	stopped := false
	unregister := context.AfterFunc(epoch, func() {
		mu.Lock()
		defer mu.Unlock()
		if !stopped {
			timer = time.AfterFunc(replacedOwnerGrace, f)
		}
	})
	return func() {
		unregister()
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		if timer != nil {
			timer.Stop()
		}
	}
}

// finishBatch turns a stream error into a refusal and closes the stream if the
// transaction has ended.
func (t *Tx) finishBatch(r Result, err error) Result {
	if err != nil {
		r.Wire = nil
		r.Done = &peerpb.Done{TxStatus: 'I', Refusal: peerpb.Refusal_REFUSAL_UNKNOWN_OUTCOME, Detail: err.Error(), Broken: true}
		if errors.Is(err, peer.ErrNotSent) {
			r.Done.Refusal, r.Done.Broken = peerpb.Refusal_REFUSAL_NO_PRIMARY, false
			r.Done.RetryAfterUs = noOwnerRetryAfter.Microseconds()
		}
	}
	if r.Done.TxStatus != 'T' && r.Done.TxStatus != 'E' {
		t.closeStream()
	}
	return r
}

func (t *Tx) closeStream() {
	t.mu.Lock()
	s := t.stream
	t.stream = nil
	t.mu.Unlock()
	if s != nil {
		s.Close()
	}
}

// Cancel cancels the running batch, if any. It may be called concurrently with
// Run.
func (t *Tx) Cancel() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stream != nil {
		t.stream.Cancel()
	}
}

// Close rolls back an open transaction.
func (t *Tx) Close() { t.closeStream() }

// routeLocked returns the route of a group and creates it if needed. The caller
// must hold mu.
func (d *Dispatcher) routeLocked(group string) *route {
	r := d.routes[group]
	if r == nil {
		r = &route{budget: retry.NewBudget(), epochs: make(map[string]*epoch)}
		d.routes[group] = r
	}
	return r
}

func (d *Dispatcher) earnRetryBudget(group string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routeLocked(group).budget.Earn()
}

func (d *Dispatcher) nextAttempt(group string, o retry.Outcome) retry.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return retry.Next(o, d.routeLocked(group).budget)
}

// epoch returns a context that is cancelled when an instance other than target
// announces itself as the owner of the group.
func (d *Dispatcher) epoch(group, target string) context.Context {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routeLocked(group)
	e := r.epochs[target]
	if e == nil {
		e = &epoch{}
		e.ctx, e.end = context.WithCancel(context.Background())
		r.epochs[target] = e
	}
	return e.ctx
}

// SetOwner applies the announcement of an owner, unless one of the same or a higher
// term is known. It ends the epochs of all other instances: requests in flight
// there are aborted after a grace period, since their answers could no longer be
// passed on.
func (d *Dispatcher) SetOwner(group, name string, term uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routeLocked(group)
	if term <= r.term {
		return
	}
	r.owner, r.term = name, term
	for target, e := range r.epochs {
		if target != name {
			e.end()
			delete(r.epochs, target)
		}
	}
}

// Owner returns the last known owner of a group, or "", and the highest term that
// was announced.
func (d *Dispatcher) Owner(group string) (string, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routeLocked(group)
	return r.owner, r.term
}

// target returns the instance for an attempt: the known owner, or else the
// instances of the placement ranking in turn. It returns "" if there is none.
func (d *Dispatcher) target(group string, attempt int) string {
	if known, _ := d.Owner(group); known != "" {
		return known
	}
	ranking := d.placement.Ranking(group)
	if len(ranking) == 0 {
		return ""
	}
	return ranking[(attempt-1)%len(ranking)]
}

// updateOwner updates the known owner from the outcome of an attempt: an instance
// that ran the batch is the owner, one that failed or refused ownership is not.
func (d *Dispatcher) updateOwner(group, target string, r Result, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	route := d.routeLocked(group)
	switch {
	case err != nil || r.Done.Refusal == peerpb.Refusal_REFUSAL_NOT_OWNER && r.Done.Owner == "":
		if route.owner == target {
			route.owner = ""
		}
	case r.Done.Refusal == peerpb.Refusal_REFUSAL_NOT_OWNER:
		route.owner = r.Done.Owner
	case r.Done.Refusal == peerpb.Refusal_REFUSAL_NONE:
		route.owner = target
	}
}

func (d *Dispatcher) stream(target, group string) (Stream, error) {
	if target != d.self {
		return d.peers.OpenStream(target)
	}
	local := d.placement.Local(group)
	if local == nil {
		return nil, peer.ErrNotSent
	}
	return local.NewStream(), nil
}
