// Package etcd is a client of the platform's key-value service, which has the HTTP/JSON
// gateway of etcd v3 (/v3/kv, /v3/watch) as documented in etcd's API reference. All keys
// have one prefix:
//
//	PREFIX/resources/KIND/NAME   resources declared by operators, written by this client
//	PREFIX/instances/NAME        the platform's list of instances, written by the platform
package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/stackspindle/stackspindle/internal/rollout"
)

// KindInstances is the kind of the entries in the platform's list of instances.
const KindInstances = "PlatformInstance"

// ErrOutcomeUnknown reports that the outcome of a write is unknown: it may or may not have
// taken effect.
var ErrOutcomeUnknown = errors.New("it is not known whether the write took effect")

// ConflictError reports that the stored revision of a resource is not the expected one,
// because of a concurrent write.
type ConflictError struct {
	Current rollout.Entry // stored entry; Revision is 0 if there is none
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the resource is at version %d by now", e.Current.Revision)
}

// Client is a client of the key-value service. It is safe for concurrent use.
type Client struct {
	base    string
	prefix  string
	timeout time.Duration
	http    *http.Client
	calls   atomic.Int64
}

// NewClient returns a client for the service at a base URL.
func NewClient(base, prefix string, timeout time.Duration) *Client {
	return &Client{
		base:    strings.TrimSuffix(base, "/"),
		prefix:  strings.TrimSuffix(prefix, "/") + "/",
		timeout: timeout,
		http:    &http.Client{},
	}
}

// Calls returns the number of requests sent. A watch counts as one.
func (c *Client) Calls() int64 { return c.calls.Load() }

// jsonInt64 is an int64, which the gateway encodes as a JSON string.
type jsonInt64 int64

// UnmarshalJSON implements json.Unmarshaler.
func (n *jsonInt64) UnmarshalJSON(raw []byte) error {
	parsed, err := strconv.ParseInt(strings.Trim(string(raw), `"`), 10, 64)
	*n = jsonInt64(parsed)
	return err
}

type header struct {
	Revision jsonInt64 `json:"revision"`
}

type keyValue struct {
	Key         []byte    `json:"key"`
	Value       []byte    `json:"value"`
	ModRevision jsonInt64 `json:"mod_revision"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	KVs    []keyValue `json:"kvs"`
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

type requestOp struct {
	RequestPut   *putRequest   `json:"request_put,omitempty"`
	RequestRange *rangeRequest `json:"request_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
	Failure []requestOp `json:"failure"`
}

type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded"`
	Responses []struct {
		ResponseRange *rangeResponse `json:"response_range"`
	} `json:"responses"`
}

type watchRequest struct {
	CreateRequest watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end"`
	StartRevision int64  `json:"start_revision,string"`
}

type watchMessage struct {
	Result struct {
		Header          header    `json:"header"`
		Canceled        bool      `json:"canceled"`
		CompactRevision jsonInt64 `json:"compact_revision"`
		Events          []struct {
			Type string   `json:"type"`
			KV   keyValue `json:"kv"`
		} `json:"events"`
	} `json:"result"`
}

func (c *Client) post(ctx context.Context, path string, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("platform: %s: %w", path, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("platform: %s: %w", path, err)
	}
	req.Header.Set("Content-Type", "application/json")
	c.calls.Add(1)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("platform: %s: %w", path, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 200)) // only for the message
		return nil, fmt.Errorf("platform: %s: %s: %s", path, resp.Status, bytes.TrimSpace(text))
	}
	return resp, nil
}

func (c *Client) call(ctx context.Context, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.post(ctx, path, request)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(response); err != nil {
		return fmt.Errorf("platform: %s: %w", path, err)
	}
	return nil
}

// rangeEnd returns the first key after all keys with the prefix.
func rangeEnd(prefix string) []byte {
	end := []byte(prefix)
	end[len(end)-1]++
	return end
}

func (c *Client) encodeKey(k rollout.Key) string {
	if k.Kind == KindInstances {
		return c.prefix + "instances/" + k.Name
	}
	return c.prefix + "resources/" + k.Kind + "/" + k.Name
}

// parseKey is the inverse of encodeKey.
func (c *Client) parseKey(raw string) (rollout.Key, bool) {
	rest, ok := strings.CutPrefix(raw, c.prefix)
	if !ok {
		return rollout.Key{}, false
	}
	if name, ok := strings.CutPrefix(rest, "instances/"); ok {
		return rollout.Key{Kind: KindInstances, Name: name}, true
	}
	rest, ok = strings.CutPrefix(rest, "resources/")
	if !ok {
		return rollout.Key{}, false
	}
	kind, name, ok := strings.Cut(rest, "/")
	return rollout.Key{Kind: kind, Name: name}, ok
}

// decodeEntry decodes a key-value pair. An empty value is the tombstone of a resource.
func (c *Client) decodeEntry(kv keyValue) (rollout.Entry, bool) {
	key, ok := c.parseKey(string(kv.Key))
	if !ok {
		return rollout.Entry{}, false
	}
	return rollout.Entry{
		Key:      key,
		Document: string(kv.Value),
		Revision: int64(kv.ModRevision),
		Deleted:  len(kv.Value) == 0,
	}, true
}

// Content is the complete content under the prefix.
type Content struct {
	StoreRevision int64 // revision of the whole service
	Revision      int64 // highest revision of an entry under the prefix
	Entries       []rollout.Entry
}

// Load reads everything under the prefix.
func (c *Client) Load(ctx context.Context) (Content, error) {
	var resp rangeResponse
	req := rangeRequest{Key: []byte(c.prefix), RangeEnd: rangeEnd(c.prefix)}
	if err := c.call(ctx, "/v3/kv/range", req, &resp); err != nil {
		return Content{}, err
	}
	content := Content{StoreRevision: int64(resp.Header.Revision)}
	for _, kv := range resp.KVs {
		if e, ok := c.decodeEntry(kv); ok {
			content.Entries = append(content.Entries, e)
			content.Revision = max(content.Revision, e.Revision)
		}
	}
	return content, nil
}

// Watch calls changed for all changes after a revision of the service. It returns when ctx
// ends or the watch fails.
func (c *Client) Watch(ctx context.Context, after int64, changed func([]rollout.Entry)) error {
	req := watchRequest{CreateRequest: watchCreate{
		Key:           []byte(c.prefix),
		RangeEnd:      rangeEnd(c.prefix),
		StartRevision: after + 1,
	}}
	resp, err := c.post(ctx, "/v3/watch", req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	decoder := json.NewDecoder(resp.Body)
	for {
		var msg watchMessage
		if err := decoder.Decode(&msg); err != nil {
			return fmt.Errorf("platform: watch: %w", err)
		}
		if msg.Result.Canceled {
			return fmt.Errorf("platform: watch: canceled, compacted at %d", msg.Result.CompactRevision)
		}
		var entries []rollout.Entry
		for _, ev := range msg.Result.Events {
			if e, ok := c.decodeEntry(ev.KV); ok {
				e.Deleted = e.Deleted || ev.Type == "DELETE"
				entries = append(entries, e)
			}
		}
		if len(entries) > 0 {
			changed(entries)
		}
	}
}

// maxPutAttempts is the maximum number of attempts to write and to learn the outcome.
const maxPutAttempts = 5

// Put writes a resource with a compare-and-swap on its stored revision; expected 0 means
// that it must not exist. It returns the new revision. If the answer to a write is lost,
// the write is sent again. If the first attempt did take effect, the compare fails, and
// isOwnWrite decides from the stored document whether it is the one of this write.
func (c *Client) Put(ctx context.Context, key rollout.Key, document string, expected int64, isOwnWrite func(document string) bool) (int64, error) {
	var lastErr error
	for attempt := range maxPutAttempts {
		revision, current, err := c.compareAndSwap(ctx, key, document, expected)
		switch {
		case err == nil && current == nil:
			return revision, nil
		case err == nil && isOwnWrite(current.Document):
			return current.Revision, nil
		case err == nil:
			return 0, &ConflictError{Current: *current}
		}
		lastErr = err
		if !sleep(ctx, time.Duration(attempt+1)*putRetryDelay) {
			break
		}
	}
	return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, lastErr)
}

// putRetryDelay is the delay after the first attempt. It grows linearly with each attempt.
const putRetryDelay = 50 * time.Millisecond

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// compareAndSwap returns the new revision, or the stored entry if the compare failed.
func (c *Client) compareAndSwap(ctx context.Context, key rollout.Key, document string, expected int64) (int64, *rollout.Entry, error) {
	raw := []byte(c.encodeKey(key))
	req := txnRequest{
		Compare: []compare{{Key: raw, Target: "MOD", Result: "EQUAL", ModRevision: expected}},
		Success: []requestOp{{RequestPut: &putRequest{Key: raw, Value: []byte(document)}}},
		Failure: []requestOp{{RequestRange: &rangeRequest{Key: raw}}},
	}
	var resp txnResponse
	if err := c.call(ctx, "/v3/kv/txn", req, &resp); err != nil {
		return 0, nil, err
	}
	if resp.Succeeded {
		return int64(resp.Header.Revision), nil, nil
	}
	current := &rollout.Entry{Key: key}
	for _, r := range resp.Responses {
		if r.ResponseRange == nil {
			continue
		}
		for _, kv := range r.ResponseRange.KVs {
			if e, ok := c.decodeEntry(kv); ok {
				current = &e
			}
		}
	}
	return 0, current, nil
}
