// Package caller speaks the PostgreSQL protocol, version 3, with the services'
// clients. It keeps what belongs to a caller's session, cuts the messages into
// batches and has them run by package dispatch.
package caller

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

// Service is what the catalogue says about a caller's service and the database
// it asks for.
type Service struct {
	Name           string
	Group          string // database group
	Database       string
	Staleness      time.Duration // 0: strict
	QueueTimeout   time.Duration
	Weight         int
	MaxConnections int
	Credentials    *scram.StoredCredentials // nil: none are known
}

// ErrNoService and ErrNoDatabase are the reasons for which a start is refused.
var (
	ErrNoService  = errors.New("the service is not declared")
	ErrNoDatabase = errors.New("the service may not reach this database")
	ErrNoConfig   = errors.New("this instance has no configuration yet")
)

// Catalogue finds services in the configuration in force.
type Catalogue interface {
	Service(name, database string) (*Service, error)
}

// Options are the settings of a server.
type Options struct {
	Instance        string
	TLS             func() *tls.Config // nil, or returning nil: TLS is refused
	Authenticate    bool
	MaxCallers      int           // connections at the same time
	MaxMessage      int           // bytes of one message
	AuthTimeout     time.Duration // from accept to the end of authentication
	WriteTimeout    time.Duration // of one write to a caller
	IdleTransaction time.Duration // idle within a transaction, then it is rolled back
}

// Defaults of the bounds on callers. They leave time for a slow client's
// sign-on, and end a client that has stopped reading and a forgotten transaction.
const (
	defaultAuthTimeout     = 10 * time.Second
	defaultWriteTimeout    = 30 * time.Second
	defaultIdleTransaction = 60 * time.Second
)

// DefaultOptions returns the settings used when nothing else is configured.
func DefaultOptions() Options {
	return Options{
		Authenticate:    true,
		MaxCallers:      10_000,
		MaxMessage:      64 << 20,
		AuthTimeout:     defaultAuthTimeout,
		WriteTimeout:    defaultWriteTimeout,
		IdleTransaction: defaultIdleTransaction,
	}
}

// Events counts what the server does.
type Events interface {
	Statement(member string, read, primary bool, took time.Duration)
	Refused(code string)
}

// Server accepts callers.
type Server struct {
	opts       Options
	catalogue  Catalogue
	dispatcher *dispatch.Dispatcher
	classifier *sqlclass.Classifier
	events     Events
	log        *logrus.Entry
	pool       *ants.Pool
	callers    sync.WaitGroup
	stopping   atomic.Bool
	forward    Forwarder

	mu       sync.Mutex
	listener net.Listener
	conns    map[uint32]*conn
}

// NewServer returns a server that is not listening yet.
func NewServer(opts Options, catalogue Catalogue, dispatcher *dispatch.Dispatcher, classifier *sqlclass.Classifier, events Events, log *logrus.Entry) (*Server, error) {
	pool, err := ants.NewPool(opts.MaxCallers, ants.WithNonblocking(true))
	if err != nil {
		return nil, fmt.Errorf("caller: pool of %d: %w", opts.MaxCallers, err)
	}
	return &Server{
		opts:       opts,
		catalogue:  catalogue,
		dispatcher: dispatcher,
		classifier: classifier,
		events:     events,
		log:        log,
		pool:       pool,
		conns:      make(map[uint32]*conn),
	}, nil
}

// Serve accepts callers until Stop or Kill.
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
	s.callers.Add(1)
	err := s.pool.Submit(func() {
		defer s.callers.Done()
		c.serve()
	})
	if err == nil {
		return
	}
	s.callers.Done()
	s.events.Refused(codeTooManyCallers)
	s.log.Warn("too many callers, one refused")
	go c.refuseStart(codeTooManyCallers, "this instance serves as many callers as it may")
}

// Callers returns how many callers are connected.
func (s *Server) Callers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// instanceBits of a process id name the instance, so that a cancel request that
// reaches another one can be passed on.
const instanceBits = 12

// InstanceTag returns the part of a process id that names an instance.
func InstanceTag(instance string) uint32 {
	return uint32(xxhash.Sum64String(instance)) >> (32 - instanceBits)
}

// OwnerOfCancel returns the instance tag in a process id.
func OwnerOfCancel(pid uint32) uint32 {
	return pid >> (32 - instanceBits)
}

// register gives the connection a process id that is free.
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

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c.pid)
}

// Cancel stops the statement of the caller with this key, if it runs here.
func (s *Server) Cancel(pid uint32, secret []byte) {
	s.mu.Lock()
	c := s.conns[pid]
	s.mu.Unlock()
	if c != nil {
		c.cancel(secret)
	}
}

// Stop closes idle callers between transactions and lets the others finish,
// until ctx ends.
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
		s.callers.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
		s.Kill()
	}
	s.pool.Release()
}

// Kill closes everything at once.
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
