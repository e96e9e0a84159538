// Package peer is the gRPC protocol between instances. An ingress instance, to which a client
// is connected, forwards transactions over it to the owner: the instance that holds the
// connections to a database group's members. Instances also use it for liveness probes,
// configuration exchange, hand-over of groups and the event timeline.
//
// Invariant: an error wraps ErrNotSent only if the owner has not begun to run the request, so
// that the request may be retried.
package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
)

// ErrUnknownInstance means that no address is known for an instance.
var ErrUnknownInstance = errors.New("no address is known for the instance")

// ErrNotSent means that the receiver has not begun to run a request; it may be retried.
var ErrNotSent = errors.New("the request was not sent")

// Client holds the connections to other instances. It is safe for concurrent use.
type Client struct {
	creds   credentials.TransportCredentials
	traffic *Traffic

	mu    sync.Mutex
	addrs map[string]string
	conns map[string]*remote
}

// remote is the connection to one instance and the pool of its idle streams.
type remote struct {
	addr string
	conn *grpc.ClientConn
	peer peerpb.PeerClient

	mu   sync.Mutex
	idle []*Stream
}

// Settings of the connections.
const (
	maxIdleStreams   = 256 // per instance
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	initialBackoff   = 50 * time.Millisecond
	maxBackoff       = time.Second
	maxMessageSize   = 64 << 20 // bytes
)

// NewClient returns a client without connections. If creds is nil, connections are not
// encrypted.
func NewClient(creds credentials.TransportCredentials, traffic *Traffic) *Client {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return &Client{creds: creds, traffic: traffic, addrs: make(map[string]string), conns: make(map[string]*remote)}
}

// SetAddresses replaces the known addresses, by instance name, and closes connections to
// instances whose address has changed or is no longer known.
func (c *Client) SetAddresses(addrs map[string]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addrs = addrs
	for name, r := range c.conns {
		if addrs[name] != r.addr {
			r.conn.Close()
			delete(c.conns, name)
		}
	}
}

func (c *Client) remote(name string) (*remote, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.conns[name]; r != nil {
		return r, nil
	}
	addr := c.addrs[name]
	if addr == "" {
		return nil, fmt.Errorf("instance %s: %w", name, ErrUnknownInstance)
	}
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(c.creds),
		grpc.WithStatsHandler(c.traffic),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: initialBackoff, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: maxBackoff,
		}),
	)
	if err != nil {
		return nil, fmt.Errorf("instance %s: %w", name, err)
	}
	r := &remote{addr: addr, conn: conn, peer: peerpb.NewPeerClient(conn)}
	c.conns[name] = r
	return r, nil
}

// Peer returns the gRPC client for an instance; the connection is opened when first used.
func (c *Client) Peer(name string) (peerpb.PeerClient, error) {
	r, err := c.remote(name)
	if err != nil {
		return nil, err
	}
	return r.peer, nil
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, r := range c.conns {
		r.conn.Close()
		delete(c.conns, name)
	}
}

// Stream forwards the transactions of one client at a time to an owner.
type Stream struct {
	remote        *remote
	run           grpc.BidiStreamingClient[peerpb.RunRequest, peerpb.RunReply]
	cancel        context.CancelFunc
	inTransaction bool // a transaction is open on the owner
	broken        bool
	sendMu        sync.Mutex // serializes Send calls: Cancel and Handle may run concurrently
}

// OpenStream returns an idle stream to an instance from the pool, or opens a new one.
func (c *Client) OpenStream(name string) (*Stream, error) {
	r, err := c.remote(name)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if s := r.popIdle(); s != nil {
		return s, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	run, err := r.peer.Run(ctx)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return &Stream{remote: r, run: run, cancel: cancel}, nil
}

func (r *remote) popIdle() *Stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.idle)
	if n == 0 {
		return nil
	}
	s := r.idle[n-1]
	r.idle = r.idle[:n-1]
	return s
}

// Handle sends a batch and passes the replies to deliver, up to the one with Done. An error
// that wraps ErrNotSent means that the owner has not begun to run the batch.
func (s *Stream) Handle(ctx context.Context, req *peerpb.RunRequest, deliver func(*peerpb.RunReply) error) error {
	s.sendMu.Lock()
	err := s.run.Send(req)
	s.sendMu.Unlock()
	if err != nil {
		s.broken = true
		return s.sendError(err)
	}
	stop := context.AfterFunc(ctx, s.cancel)
	defer stop()
	for {
		reply, err := s.run.Recv()
		if err != nil {
			s.broken = true
			return s.recvError(err)
		}
		if err := deliver(reply); err != nil {
			s.broken = true
			return err
		}
		if reply.Done != nil {
			s.inTransaction = reply.Done.TxStatus != 'I'
			return nil
		}
	}
}

// sendError classifies the error of a failed Send. The first batch of a transaction has not
// run at the owner, so the error wraps ErrNotSent; within an open transaction the outcome is
// unknown.
func (s *Stream) sendError(err error) error {
	if s.inTransaction {
		return fmt.Errorf("owner: %w", err)
	}
	return fmt.Errorf("%w: owner: %w", ErrNotSent, err)
}

// recvError distinguishes the orderly end of a stream from its loss. An owner ends a stream in
// order only between transactions, so a batch that was to begin one has not run.
func (s *Stream) recvError(err error) error {
	if errors.Is(err, io.EOF) && !s.inTransaction {
		return fmt.Errorf("%w: owner: %w", ErrNotSent, err)
	}
	return fmt.Errorf("owner: %w", err)
}

// Cancel asks the owner to stop the batch in flight.
func (s *Stream) Cancel() {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	_ = s.run.Send(&peerpb.RunRequest{Cancel: true}) // best effort, like PostgreSQL's cancel requests
}

// Break closes the stream at once, because its owner has been replaced.
func (s *Stream) Break() { s.cancel() }

// Close returns the stream to the pool. If a transaction is open, the stream is closed
// instead, which makes the owner roll back.
func (s *Stream) Close() {
	if s.inTransaction || s.broken {
		s.cancel()
		return
	}
	s.remote.mu.Lock()
	defer s.remote.mu.Unlock()
	if len(s.remote.idle) >= maxIdleStreams {
		s.cancel()
		return
	}
	s.remote.idle = append(s.remote.idle, s)
}
