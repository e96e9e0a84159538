// Package dispatch brings a transaction from the entry to the owner of its
// group: it follows placement and hints, tries again what was refused as not
// run, and never passes on an acknowledgement that came too late.
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

// Placement tells who should own a group, first choice first.
type Placement interface {
	Ranking(group string) []string
	Local(group string) *owner.Group // nil when the group is unknown here
}

// Dispatcher opens transactions. It is safe for concurrent use.
type Dispatcher struct {
	self      string
	placement Placement
	peers     *peer.Client

	mu     sync.Mutex // guards routes
	routes map[string]*route
}

// route is what is known about the way to one group.
type route struct {
	owner  string // "" when not known
	term   uint64 // in which the owner announced itself, 0 when it did not
	budget *retry.Budget
	epochs map[string]*epoch // by instance that is used as the owner
}

// epoch lasts until another instance announces itself as the owner.
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

// Result is how a batch ended.
type Result struct {
	Done      *peerpb.Done // never nil
	Delivered bool         // part of the answer has reached the caller
	Wire      []byte       // the rest of the answer, which may be passed on
	Attempts  int
}

// Tx is a transaction in progress.
type Tx struct {
	d      *Dispatcher
	stream Stream
	epoch  context.Context

	mu sync.Mutex // guards stream against Cancel
}

// Begin returns a transaction that has not run anything.
func (d *Dispatcher) Begin() *Tx { return &Tx{d: d} }

// Open reports whether a transaction is open on an owner.
func (t *Tx) Open() bool { return t.stream != nil }

// Run runs one batch. The first one carries the header and is tried again as
// package retry allows, until timeout; later ones run once. Chunks that come
// before the acknowledgement go to emit.
func (t *Tx) Run(ctx context.Context, req *peerpb.RunRequest, timeout time.Duration, emit func([]byte) error) Result {
	if t.Open() {
		result, err := t.attempt(ctx, req, emit)
		return t.settle(result, err)
	}
	return t.first(ctx, req, timeout, emit)
}

func (t *Tx) first(ctx context.Context, req *peerpb.RunRequest, timeout time.Duration, emit func([]byte) error) Result {
	group := req.Header.Group
	deadline := time.Now().Add(timeout)
	t.d.earn(group)
	for attempt := 1; ; attempt++ {
		left := time.Until(deadline)
		req.Header.TimeoutUs = left.Microseconds()
		target := t.d.target(group, attempt)
		result, err := t.open(ctx, target, req, emit)
		result.Attempts = attempt
		outcome := outcomeOf(result, err, req.Header.RequestKey != "")
		outcome.Attempt, outcome.Left, outcome.Jitter = attempt, time.Until(deadline), rand.Float64()
		t.d.learn(group, target, result, err)
		if err == nil && result.Done.Refusal == peerpb.Refusal_REFUSAL_NONE {
			return t.settle(result, nil)
		}
		next := t.d.nextAttempt(group, outcome)
		if !next.Retry || ctx.Err() != nil {
			return t.settle(result, err)
		}
		t.drop()
		sleep(ctx, next.After)
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
	o := retry.Outcome{Delivered: r.Delivered, Keyed: keyed}
	switch {
	case errors.Is(err, peer.ErrNotSent):
		o.NotSent = true
	case err != nil:
		o.Broken = true
	default:
		o.Refusal = r.Done.Refusal
		o.Hint = r.Done.Owner != ""
	}
	return o
}

// open finds the owner and runs the first batch there.
func (t *Tx) open(ctx context.Context, target string, req *peerpb.RunRequest, emit func([]byte) error) (Result, error) {
	if target == "" {
		return Result{Done: &peerpb.Done{
			Refusal:      peerpb.Refusal_REFUSAL_NO_PRIMARY,
			Detail:       "no instance is known that could own the group",
			RetryAfterUs: noOwnerRetry.Microseconds(),
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

// noOwnerRetry is when a caller should come back that found no owner.
const noOwnerRetry = 500 * time.Millisecond

func (t *Tx) setStream(s Stream) {
	t.mu.Lock()
	t.stream = s
	t.mu.Unlock()
}

// attempt runs a batch on the open stream. The acknowledgement must come within
// the time that the owner allows, counted from before the request was sent.
func (t *Tx) attempt(ctx context.Context, req *peerpb.RunRequest, emit func([]byte) error) (Result, error) {
	var r Result
	if remote, ok := t.stream.(*peer.Stream); ok {
		defer breakAfter(t.epoch, remote.Break)()
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

// announcedGrace is how long an instance that was replaced as the owner may still
// answer. In a planned hand-over it says within some milliseconds that it has not
// taken a request up, and the successor's announcement may come first. That its
// answer may not be passed on too late is checked apart from this.
const announcedGrace = 100 * time.Millisecond

// breakAfter calls f when the epoch has been over for a while, unless the function
// that it returns was called before.
func breakAfter(epoch context.Context, f func()) (stop func()) {
	var mu sync.Mutex
	var timer *time.Timer
	stopped := false
	unregister := context.AfterFunc(epoch, func() {
		mu.Lock()
		defer mu.Unlock()
		if !stopped {
			timer = time.AfterFunc(announcedGrace, f)
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

// settle turns a broken stream into a refusal and lets go of a stream whose
// transaction has ended.
func (t *Tx) settle(r Result, err error) Result {
	if err != nil {
		r.Wire = nil
		r.Done = &peerpb.Done{TxStatus: 'I', Refusal: peerpb.Refusal_REFUSAL_UNKNOWN_OUTCOME, Detail: err.Error(), Broken: true}
		if errors.Is(err, peer.ErrNotSent) {
			r.Done.Refusal, r.Done.Broken = peerpb.Refusal_REFUSAL_NO_PRIMARY, false
			r.Done.RetryAfterUs = noOwnerRetry.Microseconds()
		}
	}
	if r.Done.TxStatus != 'T' && r.Done.TxStatus != 'E' {
		t.drop()
	}
	return r
}

func (t *Tx) drop() {
	t.mu.Lock()
	s := t.stream
	t.stream = nil
	t.mu.Unlock()
	if s != nil {
		s.Close()
	}
}

// Cancel stops the batch in flight.
func (t *Tx) Cancel() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stream != nil {
		t.stream.Cancel()
	}
}

// Close rolls back what is open.
func (t *Tx) Close() { t.drop() }

// routeLocked returns the route of a group. The caller holds mu.
func (d *Dispatcher) routeLocked(group string) *route {
	r := d.routes[group]
	if r == nil {
		r = &route{budget: retry.NewBudget(), epochs: make(map[string]*epoch)}
		d.routes[group] = r
	}
	return r
}

func (d *Dispatcher) earn(group string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routeLocked(group).budget.Earn()
}

func (d *Dispatcher) nextAttempt(group string, o retry.Outcome) retry.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return retry.Next(o, d.routeLocked(group).budget)
}

// epoch returns a context that ends when an instance other than target
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

// SetOwner takes in the announcement of an owner. What is in flight at any other
// instance is given up, since its answers could not be passed on any more.
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

// Owner returns the owner of a group as far as known, or "".
func (d *Dispatcher) Owner(group string) (string, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routeLocked(group)
	return r.owner, r.term
}

// target picks the instance for an attempt: the known owner, else the ranking
// in turn.
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

// learn keeps the owner that answered and forgets one that did not.
func (d *Dispatcher) learn(group, target string, r Result, err error) {
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
