package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
	"google.golang.org/grpc"

	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/peerconn"
	"github.com/stackspindle/stackspindle/internal/relay/relaypb"
)

// Settings of the streams to carriers.
const (
	// idleStreams bounds the streams to one carrier that are kept for the next use.
	maxIdleStreams = 64
	// openTimeout bounds the wait for a new stream: links have delays of
	// milliseconds, and other carriers can be asked.
	openTimeout = 200 * time.Millisecond
	// pingAfter is for how long a carrier may leave an answer open, and say nothing
	// else, before it is asked whether it is there. A question costs it less than a
	// statement, and asking too early does no harm.
	pingAfter = 100 * time.Millisecond
	// pingTimeout bounds that question. A machine whose share of the processor is
	// spent stands still for up to 0.1 s.
	pingTimeout = 250 * time.Millisecond
)

// errCallerLeft says that the answer is not awaited, since nobody wants it any more.
var errClientGone = errors.New("the caller has gone")

// errNotTaken says that a carrier has not taken a statement up.
var errNotAccepted = errors.New("the carrier has not taken the statement up")

// carrierConns holds the streams to carriers and what was seen of these. It is
// safe for concurrent use.
type carrierConns struct {
	conns       *peerconn.Conns
	now         func() time.Duration
	pingTimeout time.Duration
	pings       singleflight.Group // by address

	mu     sync.Mutex // guards the maps
	idle   map[string][]*carrierStream
	health map[string]*member.Health // by address
}

// carrierStream carries the transactions of one caller at a time.
type carrierStream struct {
	owner   *carrierConns
	address string
	rpc     grpc.BidiStreamingClient[relaypb.CarryRequest, relaypb.CarryReply]
	cancel  context.CancelFunc

	mu        sync.Mutex  // guards what is sent, and beat
	heartbeat *time.Timer // says that the open transaction goes on; nil: none is open
}

func newCarrierConns(conns *peerconn.Conns, now func() time.Duration) *carrierConns {
	return &carrierConns{
		conns: conns, now: now, pingTimeout: pingTimeout,
		idle: make(map[string][]*carrierStream), health: make(map[string]*member.Health),
	}
}

// order returns up to n carriers in the order in which they are to be tried: one
// that left us without an answer a moment ago after all others.
func (c *carrierConns) order(carriers []lead.Instance, n int) []lead.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	var usable, unresponsive []lead.Instance
	for _, carrier := range carriers {
		if h := c.health[carrier.Address]; h == nil || h.Usable(now) {
			usable = append(usable, carrier)
		} else {
			unresponsive = append(unresponsive, carrier)
		}
	}
	return slices.Concat(usable, unresponsive)[:min(n, len(carriers))]
}

// note records whether a carrier answered.
func (c *carrierConns) recordResult(address string, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.health[address]
	if h == nil {
		h = &member.Health{}
		c.health[address] = h
	}
	if answered {
		h.Answered(c.now())
		return
	}
	h.Missed(c.now())
	// What waits on its streams is told by their own watch; those that wait for
	// nothing may hang on a connection that is dead.
	for _, s := range c.idle[address] {
		s.cancel()
	}
	delete(c.idle, address)
}

// heard returns how long ago a carrier answered, and whether it ever did.
func (c *carrierConns) sinceLastAnswer(address string) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.health[address]
	if h == nil {
		return 0, false
	}
	return h.SinceAnswer(c.now())
}

// watch asks a carrier whether it is there while an answer of it is awaited, and
// calls giveUp when it is not. It ends with done.
func (c *carrierConns) pingWhileWaiting(address string, done <-chan struct{}, giveUp func()) {
	for {
		if since, ok := c.sinceLastAnswer(address); !ok || since >= pingAfter {
			if _, err, _ := c.pings.Do(address, func() (any, error) { return nil, c.ping(address) }); err != nil {
				giveUp()
				return
			}
		}
		wait := time.NewTimer(pingAfter)
		select {
		case <-done:
			wait.Stop()
			return
		case <-wait.C:
		}
	}
}

func (c *carrierConns) ping(address string) error {
	conn, err := c.conns.Get(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.pingTimeout)
	defer cancel()
	_, err = relaypb.NewCarrierClient(conn).Ping(ctx, &relaypb.PingRequest{})
	c.recordResult(address, err == nil)
	return err
}

// open returns an idle stream to a carrier, or a new one, which it waits for no
// longer than a while.
func (c *carrierConns) open(address string, remaining time.Duration) (*carrierStream, error) {
	c.mu.Lock()
	if idle := c.idle[address]; len(idle) > 0 {
		s := idle[len(idle)-1]
		c.idle[address] = idle[:len(idle)-1]
		c.mu.Unlock()
		return s, nil
	}
	c.mu.Unlock()
	conn, err := c.conns.Get(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	timer := time.AfterFunc(min(remaining, openTimeout), cancel)
	run, err := relaypb.NewCarrierClient(conn).Carry(ctx)
	if !timer.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	if err != nil {
		cancel()
		c.recordResult(address, false)
		return nil, fmt.Errorf("carrier at %s: %w", address, err)
	}
	return &carrierStream{owner: c, address: address, rpc: run, cancel: cancel}, nil
}

// send sends a request. A stream takes one at a time.
func (s *carrierStream) send(req *relaypb.CarryRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heartbeat != nil {
		s.heartbeat.Reset(heartbeatInterval)
	}
	return s.rpc.Send(req)
}

// keep has the carrier told again and again that the transaction goes on, until the
// stream is released or ends.
func (s *carrierStream) startHeartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heartbeat != nil {
		return
	}
	s.heartbeat = time.AfterFunc(heartbeatInterval, func() {
		if s.send(&relaypb.CarryRequest{Kind: heartbeatKind}) != nil {
			s.stopHeartbeat() // the next statement finds the stream gone
		}
	})
}

// rest ends what keep began.
func (s *carrierStream) stopHeartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heartbeat != nil {
		s.heartbeat.Stop()
		s.heartbeat = nil
	}
}

// release keeps the stream for the next transaction, unless it has ended.
func (s *carrierStream) release() {
	s.stopHeartbeat()
	if s.rpc.Context().Err() != nil {
		return
	}
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	if len(s.owner.idle[s.address]) >= maxIdleStreams {
		s.cancel()
		return
	}
	s.owner.idle[s.address] = append(s.owner.idle[s.address], s)
}

// asking is a question under way. Once it has ended nothing breaks its stream off any more,
// since the stream may serve another caller.
type pendingRequest struct {
	stream *carrierStream

	mu    sync.Mutex // guards ended
	ended bool
}

// breakOff ends the stream, unless the question has ended.
func (a *pendingRequest) abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended {
		a.stream.cancel()
	}
}

func (a *pendingRequest) finish() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
}

// ask sends a request and returns the reply. An error that wraps errNotTaken means
// that nothing of it was run; after any error the stream is gone. With ctx the stream
// ends, and the carrier gives up what waits there.
func (s *carrierStream) roundTrip(ctx context.Context, req *relaypb.CarryRequest, timeout time.Duration) (*relaypb.CarryReply, error) {
	pending := &pendingRequest{stream: s}
	defer pending.finish()
	timer := time.AfterFunc(timeout, pending.abort)
	defer timer.Stop()
	defer context.AfterFunc(ctx, pending.abort)()
	done := make(chan struct{})
	defer close(done)
	watch := time.AfterFunc(pingAfter, func() { s.owner.pingWhileWaiting(s.address, done, pending.abort) })
	defer watch.Stop()
	if err := s.send(req); err != nil {
		s.cancel()
		if ctx.Err() != nil {
			return nil, fmt.Errorf("carrier at %s: %w: %w", s.address, errNotAccepted, errClientGone)
		}
		return nil, fmt.Errorf("carrier at %s: %w: %w", s.address, errNotAccepted, err)
	}
	reply, err := s.rpc.Recv()
	switch {
	case err != nil && ctx.Err() != nil:
		s.cancel()
		return nil, fmt.Errorf("carrier at %s: %w", s.address, errClientGone)
	case err != nil:
		s.cancel()
		s.owner.recordResult(s.address, false)
		return nil, fmt.Errorf("carrier at %s: %w", s.address, err)
	case reply.Stopping:
		s.cancel()
		return nil, fmt.Errorf("carrier at %s: %w: it stops", s.address, errNotAccepted)
	}
	s.owner.recordResult(s.address, true)
	return reply, nil
}
