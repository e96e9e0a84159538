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

// Limits of the streams to carriers.
const (
	// maxIdleStreams limits the idle streams that are kept per carrier.
	maxIdleStreams = 64
	// openTimeout limits the wait for a new stream. Network latencies are milliseconds, and other
	// carriers can be asked.
	openTimeout = 200 * time.Millisecond
	// pingAfter is the time without any answer from a carrier after which it is pinged while a
	// reply is pending. A ping costs the carrier less than a statement, and pinging too early does
	// no harm.
	pingAfter = 100 * time.Millisecond
	// pingTimeout limits the wait for a ping. A machine that has used up its CPU quota is throttled
	// for up to 0.1 s.
	pingTimeout = 250 * time.Millisecond
)

// errClientDisconnected means that the reply is no longer awaited because the client has
// disconnected.
var errClientDisconnected = errors.New("the caller has gone")

// errNotAccepted means that a carrier did not accept a statement, so it has not run.
var errNotAccepted = errors.New("the carrier has not taken the statement up")

// carrierConns holds the streams to carriers and the health of each. It is safe for concurrent use.
type carrierConns struct {
	conns       *peerconn.Conns
	now         func() time.Duration
	pingTimeout time.Duration
	pings       singleflight.Group // deduplicated by address

	mu     sync.Mutex // guards the maps
	idle   map[string][]*carrierStream
	health map[string]*member.Health // by address
}

// carrierStream is a stream to a carrier. It is used for the transactions of one client at a time.
type carrierStream struct {
	conns   *carrierConns
	address string
	rpc     grpc.BidiStreamingClient[relaypb.CarryRequest, relaypb.CarryReply]
	cancel  context.CancelFunc

	mu        sync.Mutex  // serializes sends; guards heartbeat
	heartbeat *time.Timer // sends heartbeats for the open transaction; nil: none is open
}

func newCarrierConns(conns *peerconn.Conns, now func() time.Duration) *carrierConns {
	return &carrierConns{
		conns: conns, now: now, pingTimeout: pingTimeout,
		idle: make(map[string][]*carrierStream), health: make(map[string]*member.Health),
	}
}

// order returns up to n carriers in the order in which they are tried. Carriers that recently left
// a request unanswered come last.
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

// recordResult records whether a carrier answered a request.
func (c *carrierConns) recordResult(address string, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.health[address]
	if h == nil {
		h = &member.Health{}
		c.health[address] = h
	}
	if answered {
		h.RecordAnswer(c.now())
		return
	}
	h.RecordNoAnswer(c.now())
	// A pending request is aborted when its ping fails. Idle streams are not pinged, and may
	// belong to a dead connection.
	for _, s := range c.idle[address] {
		s.cancel()
	}
	delete(c.idle, address)
}

// sinceLastAnswer returns the time since a carrier's last answer. It reports false if there was
// none.
func (c *carrierConns) sinceLastAnswer(address string) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.health[address]
	if h == nil {
		return 0, false
	}
	return h.SinceAnswer(c.now())
}

// pingWhileWaiting pings a carrier while a reply is pending and it has not answered anything else
// lately. It calls giveUp when a ping fails, and returns when done is closed.
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

// open returns an idle stream to a carrier, or opens one, for which it waits at most openTimeout
// and no longer than remaining.
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
	rpc, err := relaypb.NewCarrierClient(conn).Carry(ctx)
	if !timer.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	if err != nil {
		cancel()
		c.recordResult(address, false)
		return nil, fmt.Errorf("carrier at %s: %w", address, err)
	}
	return &carrierStream{conns: c, address: address, rpc: rpc, cancel: cancel}, nil
}

// send sends a request. Only one send may be in progress on a stream.
func (s *carrierStream) send(req *relaypb.CarryRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heartbeat != nil {
		s.heartbeat.Reset(heartbeatInterval)
	}
	return s.rpc.Send(req)
}

// startHeartbeat sends heartbeats for the open transaction until the stream is released or ends.
func (s *carrierStream) startHeartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heartbeat != nil {
		return
	}
	s.heartbeat = time.AfterFunc(heartbeatInterval, func() {
		if s.send(&relaypb.CarryRequest{Kind: heartbeatKind}) != nil {
			s.stopHeartbeat() // the next statement gets the stream's error
		}
	})
}

// stopHeartbeat stops the heartbeats.
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
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	if len(s.conns.idle[s.address]) >= maxIdleStreams {
		s.cancel()
		return
	}
	s.conns.idle[s.address] = append(s.conns.idle[s.address], s)
}

// pendingRequest is a request that waits for its reply. Once it is finished, abort has no effect,
// since the stream may be in use for another client.
type pendingRequest struct {
	stream *carrierStream

	mu       sync.Mutex // guards finished
	finished bool
}

// abort ends the stream, unless the request is finished.
func (p *pendingRequest) abort() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.finished {
		p.stream.cancel()
	}
}

func (p *pendingRequest) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finished = true
}

// roundTrip sends a request and returns the reply. An error that wraps errNotAccepted means that
// the statement has not run. After any error the stream cannot be used any more. When ctx ends the
// stream is ended too, so that the carrier drops a queued statement.
func (s *carrierStream) roundTrip(ctx context.Context, req *relaypb.CarryRequest, timeout time.Duration) (*relaypb.CarryReply, error) {
	pending := &pendingRequest{stream: s}
	defer pending.finish()
	timer := time.AfterFunc(timeout, pending.abort)
	defer timer.Stop()
	defer context.AfterFunc(ctx, pending.abort)()
	done := make(chan struct{})
	defer close(done)
	pingTimer := time.AfterFunc(pingAfter, func() { s.conns.pingWhileWaiting(s.address, done, pending.abort) })
	defer pingTimer.Stop()
	if err := s.send(req); err != nil {
		s.cancel()
		if ctx.Err() != nil {
			return nil, fmt.Errorf("carrier at %s: %w: %w", s.address, errNotAccepted, context.Cause(ctx))
		}
		return nil, fmt.Errorf("carrier at %s: %w: %w", s.address, errNotAccepted, err)
	}
	reply, err := s.rpc.Recv()
	switch {
	case err != nil && ctx.Err() != nil:
		s.cancel()
		return nil, fmt.Errorf("carrier at %s: %w", s.address, context.Cause(ctx))
	case err != nil:
		s.cancel()
		s.conns.recordResult(s.address, false)
		return nil, fmt.Errorf("carrier at %s: %w", s.address, err)
	case reply.Stopping:
		s.cancel()
		return nil, fmt.Errorf("carrier at %s: %w: it stops", s.address, errNotAccepted)
	}
	s.conns.recordResult(s.address, true)
	return reply, nil
}
