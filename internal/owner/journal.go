package owner

import (
	"bytes"
	"context"
	"encoding/base64"
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"google.golang.org/protobuf/proto"

	"github.com/stackspindle/stackspindle/internal/peer"
	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
	"github.com/stackspindle/stackspindle/internal/upstream"
)

// journal makes a request with a key run at most once. The key is inserted into
// a table of the group in the same transaction as the request itself, before
// anything else runs; its primary key makes a concurrent repeat wait and fail.
// So the key lives exactly where the write lives, whatever happens to owners,
// instances and primaries. The answers are kept beside the key, and a repeat
// gets them without running anything.
type journal struct {
	key      string
	replay   bool
	next     int // entry that the next batch of a repeat must match
	single   bool
	recorded peerpb.Journal
	size     int
}

// maxJournal bounds the answers kept for one key, in bytes.
const maxJournal = 256 << 10

// Statements on the table of request keys.
const (
	createKeys = "CREATE TABLE IF NOT EXISTS stackspindle_requests (key text PRIMARY KEY, result text)"
	insertKey  = "INSERT INTO stackspindle_requests (key, result) VALUES ($1, '')"
	updateKey  = "UPDATE stackspindle_requests SET result = $2 WHERE key = $1"
	selectKey  = "SELECT result FROM stackspindle_requests WHERE key = $1"
)

// uniqueViolation is the SQLSTATE of a key that exists already.
const uniqueViolation = "23505"

// runKeyed runs one batch of a request with a key.
func (s *Stream) runKeyed(ctx context.Context, req *peerpb.RunRequest, first bool) (*peerpb.RunReply, error) {
	if first {
		if err := s.openJournal(req); err != nil {
			return nil, err
		}
	}
	if s.journal.replay {
		return s.replay(ctx, req)
	}
	return s.record(ctx, req)
}

// openJournal begins the transaction and claims the key, or finds what the
// first run left.
func (s *Stream) openJournal(req *peerpb.RunRequest) error {
	j := &journal{key: s.header.Service + "/" + s.header.RequestKey, single: req.EndsTransaction}
	s.journal = j
	if err := s.ensureKeys(); err != nil {
		return s.notRun(err)
	}
	conn := s.lease.Conn
	if _, err := conn.Exec("BEGIN"); err != nil {
		return s.notRun(err)
	}
	_, err := conn.ExecParams(insertKey, j.key)
	var refused *pgconn.PgError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused) && refused.Code == uniqueViolation:
		return s.loadJournal()
	}
	return s.notRun(err)
}

// notRun turns a failure before the request itself into a refusal.
func (s *Stream) notRun(err error) error {
	return &refusal{kind: peerpb.Refusal_REFUSAL_UPSTREAM, detail: fmt.Sprintf("request key: %v", err), retryAfter: retryHint}
}

func (s *Stream) ensureKeys() error {
	g := s.group
	g.acks.Lock()
	known := g.keysFor == s.view.term
	g.acks.Unlock()
	if known {
		return nil
	}
	if _, err := s.lease.Conn.Exec(createKeys); err != nil {
		return err
	}
	g.acks.Lock()
	g.keysFor = s.view.term
	g.acks.Unlock()
	return nil
}

func (s *Stream) loadJournal() error {
	conn := s.lease.Conn
	if _, err := conn.Exec("ROLLBACK"); err != nil {
		return s.notRun(err)
	}
	row, err := conn.ExecParams(selectKey, s.journal.key)
	if err != nil || len(row) != 1 {
		return s.notRun(fmt.Errorf("reading the first result: %v", err))
	}
	raw, err := base64.StdEncoding.DecodeString(row[0])
	if err != nil {
		return s.notRun(err)
	}
	if err := proto.Unmarshal(raw, &s.journal.recorded); err != nil {
		return s.notRun(err)
	}
	s.journal.replay = true
	s.reason = "the first result of the request key"
	return nil
}

// replay answers a batch with what the first run answered.
func (s *Stream) replay(ctx context.Context, req *peerpb.RunRequest) (*peerpb.RunReply, error) {
	j := s.journal
	if j.next >= len(j.recorded.Entries) || !bytes.Equal(j.recorded.Entries[j.next].Digest, req.Digest) {
		return nil, &refusal{kind: peerpb.Refusal_REFUSAL_KEY_MISMATCH, detail: "the request key was used for another request"}
	}
	entry := j.recorded.Entries[j.next]
	j.next++
	wire, err := appendReady(entry.Wire, byte(entry.TxStatus))
	if err != nil {
		return nil, err
	}
	done := &peerpb.Done{TxStatus: entry.TxStatus, Member: s.member, Reason: s.reason}
	if entry.TxStatus != 'I' {
		return &peerpb.RunReply{Wire: wire, Done: done}, nil
	}
	// What the first run wrote must be visible to this session too.
	if err := s.admitCommit(ctx, done, upstream.Result{}); err != nil {
		return nil, err
	}
	s.Close()
	return &peerpb.RunReply{Wire: wire, Done: done}, nil
}

// record runs a batch inside the key's transaction and keeps its answer.
func (s *Stream) record(ctx context.Context, req *peerpb.RunRequest) (*peerpb.RunReply, error) {
	j := s.journal
	if req.EndsTransaction && !j.single {
		return s.commitJournal(ctx, req)
	}
	if len(j.recorded.Entries) == 0 && !j.single {
		return s.answerBegin(req)
	}
	answer, failed, err := s.collect(req)
	if err != nil {
		return nil, err
	}
	if failed && j.single {
		return s.failJournal(answer)
	}
	status := s.lease.Conn.TxStatus()
	if j.single {
		j.add(req, answer, 'I')
		return s.saveAndCommit(ctx, answer)
	}
	j.add(req, answer, status)
	wire, err := appendReady(answer, status)
	return &peerpb.RunReply{Wire: wire, Done: &peerpb.Done{TxStatus: uint32(status), Member: s.member}}, err
}

func (j *journal) add(req *peerpb.RunRequest, answer []byte, status byte) {
	j.recorded.Entries = append(j.recorded.Entries, &peerpb.JournalEntry{Digest: req.Digest, Wire: answer, TxStatus: uint32(status)})
	j.size += len(answer)
}

// answerBegin answers the caller's BEGIN: the transaction is open already.
func (s *Stream) answerBegin(req *peerpb.RunRequest) (*peerpb.RunReply, error) {
	answer, err := peer.EncodeCompletion(req, "BEGIN")
	if err != nil {
		return nil, err
	}
	s.journal.add(req, answer, 'T')
	wire, err := appendReady(answer, 'T')
	return &peerpb.RunReply{Wire: wire, Done: &peerpb.Done{TxStatus: 'T', Member: s.member}}, err
}

// collect runs a batch and returns its whole answer without ReadyForQuery.
func (s *Stream) collect(req *peerpb.RunRequest) ([]byte, bool, error) {
	var answer []byte
	result, err := s.execute(withoutProbe(req), func(wire []byte) error {
		if len(answer)+len(wire)+s.journal.size > maxJournal {
			return errors.New("the result is too large to be kept for a request key")
		}
		answer = append(answer, wire...)
		return nil
	})
	if err != nil {
		if !errors.Is(err, context.Canceled) && !s.lease.Conn.Broken() {
			return nil, false, err
		}
		// The transaction was open, so breaking the connection rolled it back.
		return nil, false, s.notRun(err)
	}
	answer = append(answer, result.Wire...)
	return answer[:len(answer)-readyLength], result.HasError, nil
}

func withoutProbe(req *peerpb.RunRequest) *peerpb.RunRequest {
	copied := proto.Clone(req).(*peerpb.RunRequest)
	copied.EndsTransaction = false
	return copied
}

// readyLength is the length of an encoded ReadyForQuery.
const readyLength = 6

func appendReady(answer []byte, status byte) ([]byte, error) {
	out := append(make([]byte, 0, len(answer)+readyLength), answer...)
	return (&pgproto3.ReadyForQuery{TxStatus: status}).Encode(out)
}

// failJournal rolls a failed request back, key included, and passes its error on.
func (s *Stream) failJournal(answer []byte) (*peerpb.RunReply, error) {
	member := s.member
	s.Close()
	wire, err := appendReady(answer, 'I')
	return &peerpb.RunReply{Wire: wire, Done: &peerpb.Done{TxStatus: 'I', Member: member}}, err
}

// commitJournal ends an explicit transaction. ROLLBACK, or COMMIT of a failed
// transaction, leaves no key behind.
func (s *Stream) commitJournal(ctx context.Context, req *peerpb.RunRequest) (*peerpb.RunReply, error) {
	rollback := req.Class != peerpb.Class_CLASS_WRITE
	if s.lease.Conn.TxStatus() == 'E' || rollback {
		answer, err := peer.EncodeCompletion(req, "ROLLBACK")
		if err != nil {
			return nil, err
		}
		return s.failJournal(answer)
	}
	answer, err := peer.EncodeCompletion(req, "COMMIT")
	if err != nil {
		return nil, err
	}
	s.journal.add(req, answer, 'I')
	return s.saveAndCommit(ctx, answer)
}

// saveAndCommit stores the answers beside the key and commits both.
func (s *Stream) saveAndCommit(ctx context.Context, answer []byte) (*peerpb.RunReply, error) {
	raw, err := proto.Marshal(&s.journal.recorded)
	if err != nil {
		return nil, err
	}
	conn := s.lease.Conn
	if _, err := conn.ExecParams(updateKey, s.journal.key, base64.StdEncoding.EncodeToString(raw)); err != nil {
		return nil, s.notRun(err) // nothing is committed yet
	}
	if _, err := conn.Exec("COMMIT"); err != nil {
		return nil, unknown(err.Error())
	}
	s.group.opts.Pause(StepAnswered)
	done := &peerpb.Done{TxStatus: 'I', Member: s.member, Reason: s.reason}
	if err := s.admitCommit(ctx, done, upstream.Result{}); err != nil {
		return nil, err
	}
	s.Close()
	wire, err := appendReady(answer, 'I')
	return &peerpb.RunReply{Wire: wire, Done: done}, err
}
