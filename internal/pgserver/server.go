// Package pgserver is the PostgreSQL server side: it serves clients over version 3 of the
// protocol. It authenticates them, keeps the state of their sessions (settings, prepared
// statements, the log position that reads must see), collects messages into batches and runs
// these through package dispatch. Package instance starts it.
//
// Invariants: only what a transaction pool can serve is run; everything else is refused with an
// SQLSTATE that says whether the statement was not run or its outcome is unknown.
package pgserver

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"
	"github.com/xdg-go/scram"

	"github.com/stackspindle/stackspindle/internal/dispatch"
	"github.com/stackspindle/stackspindle/internal/sqlclass"
)

// Service is the configuration of a client's service for the requested database.
type Service struct {
	Name           string
	Group          string // database group
	Database       string
	Staleness      time.Duration            // accepted age of reads; 0: strict session consistency
	QueueTimeout   time.Duration            // maximum wait for a connection
	Weight         int                      // in weighted fair queueing
	MaxConnections int                      // to the group; 0: unlimited
	Credentials    *scram.StoredCredentials // nil: the service has none
}

// Reasons for which the start of a session is refused.
var (
	ErrNoService  = errors.New("the service is not declared")
	ErrNoDatabase = errors.New("the service may not reach this database")
	ErrNoConfig   = errors.New("this instance has no configuration yet")
)

// Catalogue looks up services in the current configuration.
type Catalogue interface {
	Service(name, database string) (*Service, error)
}

// Options are the settings of a server.
type Options struct {
	Instance                 string
	TLS                      func() *tls.Config // TLS is refused if this is nil or returns nil
	Authenticate             bool
	MaxClients               int           // concurrent client connections
	MaxMessage               int           // maximum size of a message in bytes
	AuthTimeout              time.Duration // from accept to the end of authentication
	WriteTimeout             time.Duration // of one write to a client
	IdleInTransactionTimeout time.Duration // idle time within a transaction after which it is rolled back
}

// Default timeouts. They leave slow clients time to authenticate, disconnect clients that have
// stopped reading, and roll back transactions that a client has left open.
const (
	defaultAuthTimeout       = 10 * time.Second
	defaultWriteTimeout      = 30 * time.Second
	defaultIdleInTransaction = 60 * time.Second
)

// DefaultOptions returns the settings used when nothing else is configured.
func DefaultOptions() Options {
	return Options{
		Authenticate:             true,
		MaxClients:               10_000,
		MaxMessage:               64 << 20,
		AuthTimeout:              defaultAuthTimeout,
		WriteTimeout:             defaultWriteTimeout,
		IdleInTransactionTimeout: defaultIdleInTransaction,
	}
}

// Events receives what the server counts: statements that were run, and refusals by SQLSTATE.
type Events interface {
	Statement(member string, read, primary bool, took time.Duration)
	Refused(code string)
}

// Server accepts and serves clients.
type Server struct {
	opts            Options
	catalogue       Catalogue
	dispatcher      *dispatch.Dispatcher
	classifier      *sqlclass.Classifier
	events          Events
	log             *logrus.Entry
	workers         *ants.Pool
	activeConns     sync.WaitGroup
	stopping        atomic.Bool
	cancelForwarder CancelForwarder

	mu       sync.Mutex
	listener net.Listener
	conns    map[uint32]*conn
}

// NewServer returns a server that is not listening yet.
func NewServer(opts Options, catalogue Catalogue, dispatcher *dispatch.Dispatcher, classifier *sqlclass.Classifier, events Events, log *logrus.Entry) (*Server, error) {
	pool, err := ants.NewPool(opts.MaxClients, ants.WithNonblocking(true))
	if err != nil {
		return nil, fmt.Errorf("caller: pool of %d: %w", opts.MaxClients, err)
	}
	return &Server{
		opts:       opts,
		catalogue:  catalogue,
		dispatcher: dispatcher,
		classifier: classifier,
		events:     events,
		log:        log,
		workers:    pool,
		conns:      make(map[uint32]*conn),
	}, nil
}

// Serve accepts clients until Stop or Kill.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		if err != nil {
			if s.stopping.Load() || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("caller: accept: %w", err)
		}
		s.accept(nc)
	}
}

func (s *Server) accept(nc net.Conn) {
	c := newConn(s, nc)
	s.activeConns.Add(1)
	err := s.workers.Submit(func() {
		defer s.activeConns.Done()
		c.serve()
	})
	if err == nil {
		return
	}
	s.activeConns.Done()
	s.events.Refused(codeTooManyClients)
	s.log.Warn("too many callers, one refused")
	go c.rejectStartup(codeTooManyClients, "this instance serves as many callers as it may")
}

// NumClients returns the number of connected clients, once authenticated.
func (s *Server) NumClients() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// instanceBits is the number of high bits of a client's process ID that identify its instance,
// so that a cancel request that reaches another instance can be forwarded.
const instanceBits = 12

// InstanceTag returns the part of a process ID that identifies an instance: a hash of its
// name.
func InstanceTag(instance string) uint32 {
	return uint32(xxhash.Sum64String(instance)) >> (32 - instanceBits)
}

// InstanceTagOf returns the instance tag of a process ID.
func InstanceTagOf(pid uint32) uint32 {
	return pid >> (32 - instanceBits)
}

// register assigns an unused process ID to the connection and adds it to the table.
func (s *Server) register(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		pid := InstanceTag(s.opts.Instance)<<(32-instanceBits) | rand.Uint32()>>instanceBits
		if _, taken := s.conns[pid]; !taken && pid != 0 {
			c.pid = pid
			s.conns[pid] = c
			return
		}
	}
}

func (s *Server) unregister(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c.pid)
}

// Cancel cancels the statement in flight of the client with this process ID and secret, if it
// is connected to this instance.
func (s *Server) Cancel(pid uint32, secret []byte) {
	s.mu.Lock()
	c := s.conns[pid]
	s.mu.Unlock()
	if c != nil {
		c.cancel(secret)
	}
}

// Stop shuts down gracefully: it closes connections that are idle between transactions, and
// waits for the others until ctx ends, when it closes them too.
func (s *Server) Stop(ctx context.Context) {
	s.stopping.Store(true)
	s.mu.Lock()
	if s.listener != nil {
		s.listener.Close()
	}
	for _, c := range s.conns {
		c.wake()
	}
	s.mu.Unlock()
	finished := make(chan struct{})
	go func() {
		s.activeConns.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
		s.Kill()
	}
	s.workers.Release()
}

// Kill closes the listener and the connections of all authenticated clients at once. A
// connection that is still in its startup ends at the latest after AuthTimeout.
func (s *Server) Kill() {
	s.stopping.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		s.listener.Close()
	}
	for _, c := range s.conns {
		c.net.Close()
	}
}
