// Package kvservice is an in-memory stand-in for the platform's key-value service. It
// serves the part of etcd v3's HTTP/JSON gateway that package etcd uses, and injects
// outages, slow answers and answers lost after a write has taken effect.
package kvservice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// record is a stored value and the revision at which it was written.
type record struct {
	value    []byte
	revision int64
}

// change is one event of the history that watches are served from.
type change struct {
	key     string
	record  record
	deleted bool
}

// Service is a running stand-in.
type Service struct {
	server *http.Server
	addr   string

	mu       sync.Mutex // guards the fields up to epoch
	data     map[string]record
	history  []change
	revision int64
	changed  chan struct{} // closed and replaced at each change
	epoch    int           // incremented to break all open watches

	down        atomic.Bool
	delay       atomic.Int64 // delay of each answer, in nanoseconds
	loseAnswers atomic.Int32 // number of next writes whose answer is lost
	calls       atomic.Int64
	cancel      context.CancelFunc
}

// Start starts a service on a free loopback port.
func Start() (*Service, error) {
	var cfg net.ListenConfig
	l, err := cfg.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("key-value stand-in: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		addr:     l.Addr().String(),
		data:     make(map[string]record),
		revision: 1,
		changed:  make(chan struct{}),
		cancel:   cancel,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", s.withFaults(s.serveRange))
	mux.HandleFunc("POST /v3/kv/txn", s.withFaults(s.serveTxn))
	mux.HandleFunc("POST /v3/watch", s.withFaults(s.serveWatch))
	s.server = &http.Server{Handler: mux, BaseContext: func(net.Listener) context.Context { return ctx }, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }() // returns after Close
	return s, nil
}

// URL returns the base URL of the service.
func (s *Service) URL() string { return "http://" + s.addr }

// Close stops the service and breaks open watches.
func (s *Service) Close() {
	s.cancel()
	s.server.Close()
}

// SetDown starts or ends an outage: all calls fail with status 503. Open watches break
// either way.
func (s *Service) SetDown(down bool) {
	s.down.Store(down)
	s.mu.Lock()
	s.epoch++
	s.wakeLocked()
	s.mu.Unlock()
}

// SetSlow delays every answer by d.
func (s *Service) SetSlow(d time.Duration) { s.delay.Store(int64(d)) }

// LoseAnswers makes the next n transactions that write take effect and then breaks
// their connections without an answer.
func (s *Service) LoseAnswers(n int) { s.loseAnswers.Store(int32(n)) }

// Calls returns the number of calls received; a watch counts as one.
func (s *Service) Calls() int64 { return s.calls.Load() }

// Put writes a value directly, as the platform itself does, and returns its revision.
func (s *Service) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(key, value)
}

// Delete removes a value directly, as the platform itself does.
func (s *Service) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.data, key)
	s.history = append(s.history, change{key: key, record: record{revision: s.revision}, deleted: true})
	s.wakeLocked()
}

// Backup copies all values and the revision, and returns a function that restores them.
// Restoring drops the history and breaks open watches.
func (s *Service) Backup() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	saved := make(map[string]record, len(s.data))
	for k, v := range s.data {
		saved[k] = v
	}
	revision := s.revision
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.data, s.revision = saved, revision
		s.history = nil
		s.epoch++
		s.wakeLocked()
	}
}

// putLocked writes a value at a new revision. The caller holds mu.
func (s *Service) putLocked(key string, value []byte) int64 {
	s.revision++
	r := record{value: value, revision: s.revision}
	s.data[key] = r
	s.history = append(s.history, change{key: key, record: r})
	s.wakeLocked()
	return s.revision
}

// wakeLocked notifies open watches of a change. The caller holds mu.
func (s *Service) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// withFaults counts a call and applies the injected delay and outage.
func (s *Service) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		if d := s.delay.Load(); d > 0 {
			select {
			case <-time.After(time.Duration(d)):
			case <-r.Context().Done():
				return
			}
		}
		if s.down.Load() {
			http.Error(w, `{"error":"etcdserver: leader changed","code":14}`, http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// keyRange is a single key, or the keys from Key up to and excluding RangeEnd.
type keyRange struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

func (r keyRange) contains(key string) bool {
	if len(r.RangeEnd) == 0 {
		return key == string(r.Key)
	}
	return key >= string(r.Key) && bytes.Compare([]byte(key), r.RangeEnd) < 0
}

// header returns the response header. The caller holds mu.
func (s *Service) header() map[string]any {
	return map[string]any{"revision": strconv.FormatInt(s.revision, 10)}
}

// kvJSON returns a key-value pair in the gateway's JSON format.
func kvJSON(key string, r record) map[string]any {
	return map[string]any{
		"key":          []byte(key),
		"value":        r.value,
		"mod_revision": strconv.FormatInt(r.revision, 10),
	}
}

// rangeLocked returns a range response, sorted by key. The caller holds mu.
func (s *Service) rangeLocked(r keyRange) map[string]any {
	var keys []string
	for key := range s.data {
		if r.contains(key) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	kvs := make([]map[string]any, 0, len(keys))
	for _, key := range keys {
		kvs = append(kvs, kvJSON(key, s.data[key]))
	}
	return map[string]any{"header": s.header(), "kvs": kvs, "count": strconv.Itoa(len(kvs))}
}

func (s *Service) serveRange(w http.ResponseWriter, r *http.Request) {
	var req keyRange
	if !decode(w, r, &req) {
		return
	}
	s.mu.Lock()
	resp := s.rangeLocked(req)
	s.mu.Unlock()
	reply(w, resp)
}

// txn is a transaction request: it compares revisions and then runs the operations of
// Success or Failure.
type txn struct {
	Compare []struct {
		Key         []byte `json:"key"`
		ModRevision string `json:"mod_revision"`
	} `json:"compare"`
	Success []operation `json:"success"`
	Failure []operation `json:"failure"`
}

// operation is one operation of a transaction; one of its fields is set.
type operation struct {
	RequestPut *struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
	} `json:"request_put"`
	RequestRange *keyRange `json:"request_range"`
}

func (s *Service) serveTxn(w http.ResponseWriter, r *http.Request) {
	var req txn
	if !decode(w, r, &req) {
		return
	}
	s.mu.Lock()
	succeeded := true
	for _, c := range req.Compare {
		succeeded = succeeded && strconv.FormatInt(s.data[string(c.Key)].revision, 10) == c.ModRevision
	}
	ops := req.Failure
	if succeeded {
		ops = req.Success
	}
	responses := make([]map[string]any, 0, len(ops))
	wrote := false
	for _, op := range ops {
		switch {
		case op.RequestPut != nil:
			s.putLocked(string(op.RequestPut.Key), op.RequestPut.Value)
			wrote = true
			responses = append(responses, map[string]any{"response_put": map[string]any{"header": s.header()}})
		case op.RequestRange != nil:
			responses = append(responses, map[string]any{"response_range": s.rangeLocked(*op.RequestRange)})
		}
	}
	resp := map[string]any{"header": s.header(), "succeeded": succeeded, "responses": responses}
	s.mu.Unlock()
	if wrote && s.losesAnswer() {
		panic(http.ErrAbortHandler) // breaks the connection without an answer
	}
	reply(w, resp)
}

// losesAnswer reports whether the answer to this write is lost, and counts it.
func (s *Service) losesAnswer() bool {
	if s.loseAnswers.Add(-1) >= 0 {
		return true
	}
	s.loseAnswers.Add(1)
	return false
}

// serveWatch streams the changes of a key range from a revision on, until the client
// disconnects or the epoch changes.
func (s *Service) serveWatch(w http.ResponseWriter, r *http.Request) {
	var req struct {
		CreateRequest struct {
			keyRange
			StartRevision string `json:"start_revision"`
		} `json:"create_request"`
	}
	if !decode(w, r, &req) {
		return
	}
	start, err := strconv.ParseInt(req.CreateRequest.StartRevision, 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	flusher, _ := w.(http.Flusher)
	encoder := json.NewEncoder(w)
	s.mu.Lock()
	epoch := s.epoch
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.epoch != epoch {
			s.mu.Unlock()
			return
		}
		changed := s.changed
		events, next := s.eventsLocked(req.CreateRequest.keyRange, start)
		header := s.header()
		s.mu.Unlock()
		if len(events) > 0 {
			message := map[string]any{"result": map[string]any{"header": header, "events": events}}
			if err := encoder.Encode(message); err != nil {
				return
			}
			flusher.Flush()
		}
		start = next
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// eventsLocked returns the events of a key range from revision start on, and the
// revision to continue from. The caller holds mu.
func (s *Service) eventsLocked(r keyRange, start int64) ([]map[string]any, int64) {
	var events []map[string]any
	for _, c := range s.history {
		if c.record.revision < start || !r.contains(c.key) {
			continue
		}
		kind := "PUT"
		if c.deleted {
			kind = "DELETE"
		}
		events = append(events, map[string]any{"type": kind, "kv": kvJSON(c.key, c.record)})
	}
	return events, max(start, s.revision+1)
}

// decode parses the request body. On failure it answers with status 400 and returns
// false.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}
