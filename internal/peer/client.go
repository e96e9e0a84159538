// Package peer connects the instances with one another over gRPC: transactions
// from entry to owner, probes, configuration, hand-over and the time line.
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

// ErrUnknownInstance says that no address is known for an instance.
var ErrUnknownInstance = errors.New("no address is known for the instance")

// ErrNotSent says that a request did not leave this instance.
var ErrNotSent = errors.New("the request was not sent")

// Client holds the connections to other instances. It is safe for concurrent use.
type Client struct {
	creds   credentials.TransportCredentials
	traffic *Traffic

	mu    sync.Mutex
	addrs map[string]string
	conns map[string]*remote
}

// remote is the connection to one instance with its idle streams.
type remote struct {
	addr string
	conn *grpc.ClientConn
	peer peerpb.PeerClient

	mu   sync.Mutex
	idle []*Stream
}

// Settings of the connections.
const (
	maxIdleStreams   = 256
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	connectBackoff   = 50 * time.Millisecond
	maxBackoff       = time.Second
	maxMessage       = 64 << 20
)

// NewClient returns a client without connections. Without credentials the
// instances talk in the clear.
func NewClient(creds credentials.TransportCredentials, traffic *Traffic) *Client {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return &Client{creds: creds, traffic: traffic, addrs: make(map[string]string), conns: make(map[string]*remote)}
}

// SetAddresses replaces the known addresses, by instance name.
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
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: connectBackoff, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxBackoff},
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

// Peer returns the calls of an instance.
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

// Stream carries the transactions of one caller at a time to an owner.
type Stream struct {
	remote *remote
	run    grpc.BidiStreamingClient[peerpb.RunRequest, peerpb.RunReply]
	cancel context.CancelFunc
	open   bool // a transaction is open on the owner
	broken bool
	send   sync.Mutex // serialises Cancel with the next batch
}

// Open returns an idle stream to an instance, or opens one.
func (c *Client) Open(name string) (*Stream, error) {
	r, err := c.remote(name)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if s := r.takeIdle(); s != nil {
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

func (r *remote) takeIdle() *Stream {
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

// Handle sends a batch and passes the replies on until the last one. An error
// that wraps ErrNotSent means that the owner saw nothing of it.
func (s *Stream) Handle(ctx context.Context, req *peerpb.RunRequest, deliver func(*peerpb.RunReply) error) error {
	s.send.Lock()
	err := s.run.Send(req)
	s.send.Unlock()
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
			s.open = reply.Done.TxStatus != 'I'
			return nil
		}
	}
}

// sendError tells whether a failed Send can have reached the owner. Only the
// first message of a stream that never got through is known not to have.
func (s *Stream) sendError(err error) error {
	if s.open {
		return fmt.Errorf("owner: %w", err)
	}
	return fmt.Errorf("%w: owner: %w", ErrNotSent, err)
}

// recvError tells the end of a stream from its loss. An owner ends a stream in
// good order only between requests, so a new transaction was then not taken up.
func (s *Stream) recvError(err error) error {
	if errors.Is(err, io.EOF) && !s.open {
		return fmt.Errorf("%w: owner: %w", ErrNotSent, err)
	}
	return fmt.Errorf("owner: %w", err)
}

// Cancel asks the owner to stop the batch in flight.
func (s *Stream) Cancel() {
	s.send.Lock()
	defer s.send.Unlock()
	_ = s.run.Send(&peerpb.RunRequest{Cancel: true}) // best effort, as in PostgreSQL
}

// Break ends the stream at once, for an owner that has been replaced.
func (s *Stream) Break() { s.cancel() }

// Close ends the use of the stream. With a transaction open the owner is made
// to roll it back.
func (s *Stream) Close() {
	if s.open || s.broken {
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
