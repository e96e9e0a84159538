// Package platformstore serves the platform's store API and its promotion call over
// HTTP, backed by package memstore. It follows the platform's documentation, and leases
// expire after their TTL. The soak test runs real instances against it.
package platformstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stackspindle/stackspindle/internal/kv"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/standin/memstore"
)

// Promote makes a member the primary of its group.
type Promote func(group, member, instance string, fencingToken uint64) error

// Server serves one store and the promotion call.
type Server struct {
	store    *memstore.Store
	client   *memstore.Client
	promote  Promote
	http     *http.Server
	listener net.Listener
	delay    atomic.Int64 // delay of each answer, in nanoseconds

	mu     sync.Mutex // guards leases
	leases map[kv.LeaseID]*lease
}

// lease is an active lease. Its timer ends it unless it is renewed.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// New starts a server on a free loopback port.
func New(store *memstore.Store, promote Promote) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("platform store: %w", err)
	}
	s := &Server{store: store, client: store.Client(), promote: promote, listener: l, leases: make(map[kv.LeaseID]*lease)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.get)
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.commit)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.renew)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.revoke)
	mux.HandleFunc("POST /promote", s.servePromote)
	s.http = &http.Server{Handler: s.withDelay(mux), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(l) }() // returns after Close
	return s, nil
}

// Addr returns the address of both the store API and the promotion call.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Set changes the faults that are injected into store calls.
func (s *Server) Set(f memstore.Faults) { s.client.Set(f) }

// SetSlow delays each answer by d.
func (s *Server) SetSlow(d time.Duration) { s.delay.Store(int64(d)) }

// EndLeases ends all leases, as after a long outage of the store.
func (s *Server) EndLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		l.timer.Stop()
		delete(s.leases, id)
		s.store.EndLease(id)
	}
}

// Close stops the server and closes its connections.
func (s *Server) Close() { _ = s.http.Close() }

// withDelay delays each request by the duration of SetSlow.
func (s *Server) withDelay(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(s.delay.Load()))
		next.ServeHTTP(w, r)
	})
}

// item is an item or an event in the platform's JSON format.
type item struct {
	Key         string `json:"tls-key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod-revision"`
	Lease       int64  `json:"lease-id"`
	Deleted     bool   `json:"compacted,omitempty"`
}

// toJSON converts an item to the platform's JSON format.
func toJSON(i kv.Item, removed bool) item {
	return item{Key: i.Key, Value: i.Value, ModRevision: i.Revision, Lease: int64(i.Lease), Deleted: removed}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	found, err := s.client.Get(r.Context(), r.URL.Query().Get("tls-key"))
	switch {
	case err != nil:
		replyError(w, err)
	case found.Revision == 0:
		w.WriteHeader(http.StatusNotFound)
	default:
		reply(w, http.StatusOK, toJSON(found, false))
	}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	items, revision, err := s.client.List(r.Context(), r.URL.Query().Get("path-prefix"))
	if err != nil {
		replyError(w, err)
		return
	}
	encoded := []item{}
	for _, i := range items {
		encoded = append(encoded, toJSON(i, false))
	}
	reply(w, http.StatusOK, map[string]any{"items": encoded, "has-more": false, "at-revision": revision})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, errAfter := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(q.Get("wait-ms"))
	if err := errors.Join(errAfter, errWait); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	events, revision, err := s.client.Watch(r.Context(), q.Get("path-prefix"), after, time.Duration(wait)*time.Millisecond)
	if err != nil {
		replyError(w, err)
		return
	}
	encoded := []item{}
	for _, e := range events {
		encoded = append(encoded, toJSON(e.Item, e.Deleted))
	}
	reply(w, http.StatusOK, map[string]any{"events": encoded, "at-revision": revision})
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []item   `json:"expect-rev"`
		Puts   []item   `json:"set-keys"`
		Delete []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	txn := kv.Txn{Deletes: body.Delete}
	for _, c := range body.Expect {
		txn.Conditions = append(txn.Conditions, kv.Condition{Key: c.Key, Revision: c.ModRevision})
	}
	for _, p := range body.Puts {
		txn.Puts = append(txn.Puts, kv.Put{Key: p.Key, Value: p.Value, Lease: kv.LeaseID(p.Lease)})
	}
	revision, err := s.client.Commit(r.Context(), txn)
	if err != nil {
		replyError(w, err)
		return
	}
	reply(w, http.StatusOK, map[string]any{"mod-revision": revision})
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl := time.Duration(body.TTL) * time.Millisecond
	granted, err := s.client.Grant(r.Context(), ttl)
	if err != nil {
		replyError(w, err)
		return
	}
	s.mu.Lock()
	s.leases[granted.ID] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.expire(granted.ID) })}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease-id": granted.ID, "ttl-ms": body.TTL})
}

// expire ends a lease that has expired.
func (s *Server) expire(id kv.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	s.store.EndLease(id)
}

// leaseID returns the lease ID in the request's path, or 0 if it is not a number.
func leaseID(r *http.Request) kv.LeaseID {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64) // 0 is never a valid lease
	return kv.LeaseID(id)
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	id := leaseID(r)
	if err := s.client.Renew(r.Context(), id); err != nil {
		replyError(w, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil {
		l.timer.Reset(l.ttl)
	}
	reply(w, http.StatusOK, map[string]any{})
}

func (s *Server) revoke(w http.ResponseWriter, r *http.Request) {
	if err := s.client.Revoke(r.Context(), leaseID(r)); err != nil {
		replyError(w, err)
		return
	}
	reply(w, http.StatusOK, map[string]any{})
}

// servePromote serves the promotion call.
func (s *Server) servePromote(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Group  string `json:"service"`
		Member string `json:"id"`
	}
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err = errors.Join(err, json.NewDecoder(r.Body).Decode(&body)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.promote(body.Group, body.Member, r.Header.Get("Duty-Holder"), token); err != nil {
		status := http.StatusInternalServerError
		if errors.Is(err, member.ErrPromotionRefused) {
			status = http.StatusConflict
		}
		http.Error(w, err.Error(), status)
		return
	}
	reply(w, http.StatusOK, map[string]any{})
}

// replyError answers with the HTTP status for an error. For a lost answer it breaks the
// connection without a response.
func replyError(w http.ResponseWriter, err error) {
	var conflict *kv.ConflictError
	switch {
	case errors.As(err, &conflict):
		items := []item{}
		for _, i := range conflict.Items {
			items = append(items, toJSON(i, false))
		}
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": items})
	case errors.Is(err, kv.ErrCompacted):
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, kv.ErrLeaseExpired):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, memstore.ErrAnswerLost):
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}
