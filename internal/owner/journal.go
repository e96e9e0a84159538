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

// journal makes a request with a request key (idempotency key) run at most once.
// The key is inserted into a table of the group in the transaction of the request,
// before any other statement. The table's primary key makes a concurrent repeat
// wait and then fail. The key is therefore committed, replicated or lost together
// with the writes, regardless of failures of owners, instances and primaries. The
// answers are stored with the key; a repeat gets them without running anything.
type journal struct {
	key        string
	replay     bool
	nextEntry  int // index of the entry that the next batch of a repeat must match
	implicitTx bool
	recorded   peerpb.Journal
	size       int
}

// maxJournalBytes limits the size of the answers stored for one key.
const maxJournalBytes = 256 << 10

// SQL statements for the table of request keys.
const (
	createKeyTable = "CREATE TABLE IF NOT EXISTS stackspindle_requests (key text PRIMARY KEY, result text)"
	insertKey      = "INSERT INTO stackspindle_requests (key, result) VALUES ($1, '')"
	updateKey      = "UPDATE stackspindle_requests SET result = $2 WHERE key = $1"
	selectKey      = "SELECT result FROM stackspindle_requests WHERE key = $1"
)

// uniqueViolation is the SQLSTATE for inserting a key that exists already.
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

// openJournal begins a transaction and inserts the key. If the key exists, it
// loads the stored answers instead.
func (s *Stream) openJournal(req *peerpb.RunRequest) error {
	j := &journal{key: s.header.Service + "/" + s.header.RequestKey, implicitTx: req.EndsTransaction}
	s.journal = j
	if err := s.ensureKeyTable(); err != nil {
		return s.refuseNotRun(err)
	}
	conn := s.lease.Conn
	if _, err := conn.Exec("BEGIN"); err != nil {
		return s.refuseNotRun(err)
	}
	_, err := conn.ExecParams(insertKey, j.key)
	var refused *pgconn.PgError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused) && refused.Code == uniqueViolation:
		return s.loadJournal()
	}
	return s.refuseNotRun(err)
}

// refuseNotRun returns a refusal for a failure by which the request took no
// effect, so that it can be retried.
func (s *Stream) refuseNotRun(err error) error {
	return &refusal{kind: peerpb.Refusal_REFUSAL_UPSTREAM, detail: fmt.Sprintf("request key: %v", err), retryAfter: noPrimaryRetryAfter}
}

// ensureKeyTable creates the table of request keys if it does not exist, once per
// term.
func (s *Stream) ensureKeyTable() error {
	g := s.group
	g.ackMu.Lock()
	known := g.keyTableTerm == s.view.term
	g.ackMu.Unlock()
	if known {
		return nil
	}
	if _, err := s.lease.Conn.Exec(createKeyTable); err != nil {
		return err
	}
	g.ackMu.Lock()
	g.keyTableTerm = s.view.term
	g.ackMu.Unlock()
	return nil
}

// loadJournal loads the answers of the first run of the request.
func (s *Stream) loadJournal() error {
	conn := s.lease.Conn
	if _, err := conn.Exec("ROLLBACK"); err != nil {
		return s.refuseNotRun(err)
	}
	row, err := conn.ExecParams(selectKey, s.journal.key)
	if err != nil || len(row) != 1 {
		return s.refuseNotRun(fmt.Errorf("reading the first result: %v", err))
	}
	raw, err := base64.StdEncoding.DecodeString(row[0])
	if err != nil {
		return s.refuseNotRun(err)
	}
	if err := proto.Unmarshal(raw, &s.journal.recorded); err != nil {
		return s.refuseNotRun(err)
	}
	s.journal.replay = true
	s.reason = "the first result of the request key"
	return nil
}

// replay answers a batch with the stored answer of the first run.
func (s *Stream) replay(ctx context.Context, req *peerpb.RunRequest) (*peerpb.RunReply, error) {
	j := s.journal
	if j.nextEntry >= len(j.recorded.Entries) || !bytes.Equal(j.recorded.Entries[j.nextEntry].Digest, req.Digest) {
		return nil, &refusal{kind: peerpb.Refusal_REFUSAL_KEY_MISMATCH, detail: "the request key was used for another request"}
	}
	entry := j.recorded.Entries[j.nextEntry]
	j.nextEntry++
	wire, err := appendReady(entry.Wire, byte(entry.TxStatus))
	if err != nil {
		return nil, err
	}
	done := &peerpb.Done{TxStatus: entry.TxStatus, Member: s.member, Reason: s.reason}
	if entry.TxStatus != 'I' {
		return &peerpb.RunReply{Wire: wire, Done: done}, nil
	}
	// The writes of the first run must be visible to this session too.
	if err := s.acknowledgeCommit(ctx, done, upstream.Result{}); err != nil {
		return nil, err
	}
	s.Close()
	return &peerpb.RunReply{Wire: wire, Done: done}, nil
}

// record runs a batch in the transaction that inserted the key and adds its
// answer to the journal.
func (s *Stream) record(ctx context.Context, req *peerpb.RunRequest) (*peerpb.RunReply, error) {
	j := s.journal
	if req.EndsTransaction && !j.implicitTx {
		return s.commitJournal(ctx, req)
	}
	if len(j.recorded.Entries) == 0 && !j.implicitTx {
		return s.answerBegin(req)
	}
	answer, failed, err := s.collect(req)
	if err != nil {
		return nil, err
	}
	if failed && j.implicitTx {
		return s.rollBackJournal(answer)
	}
	status := s.lease.Conn.TxStatus()
	if j.implicitTx {
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

// answerBegin answers the client's BEGIN without running it: openJournal has
// opened the transaction already.
func (s *Stream) answerBegin(req *peerpb.RunRequest) (*peerpb.RunReply, error) {
	answer, err := peer.EncodeCompletion(req, "BEGIN")
	if err != nil {
		return nil, err
	}
	s.journal.add(req, answer, 'T')
	wire, err := appendReady(answer, 'T')
	return &peerpb.RunReply{Wire: wire, Done: &peerpb.Done{TxStatus: 'T', Member: s.member}}, err
}

// collect runs a batch and returns its whole answer without ReadyForQuery, and
// whether the batch failed.
func (s *Stream) collect(req *peerpb.RunRequest) ([]byte, bool, error) {
	var answer []byte
	result, err := s.execute(withoutPositionProbe(req), func(wire []byte) error {
		if len(answer)+len(wire)+s.journal.size > maxJournalBytes {
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
		return nil, false, s.refuseNotRun(err)
	}
	answer = append(answer, result.Wire...)
	return answer[:len(answer)-readyLength], result.HasError, nil
}

// withoutPositionProbe returns a copy of the request that does not read the log
// position after the batch: the transaction is still open then.
func withoutPositionProbe(req *peerpb.RunRequest) *peerpb.RunRequest {
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

// rollBackJournal rolls back a request together with its key and returns the
// answer.
func (s *Stream) rollBackJournal(answer []byte) (*peerpb.RunReply, error) {
	member := s.member
	s.Close()
	wire, err := appendReady(answer, 'I')
	return &peerpb.RunReply{Wire: wire, Done: &peerpb.Done{TxStatus: 'I', Member: member}}, err
}

// commitJournal ends an explicit transaction. After ROLLBACK, or COMMIT of a
// failed transaction, no key is stored.
func (s *Stream) commitJournal(ctx context.Context, req *peerpb.RunRequest) (*peerpb.RunReply, error) {
	rollback := req.Class != peerpb.Class_CLASS_WRITE
	if s.lease.Conn.TxStatus() == 'E' || rollback {
		answer, err := peer.EncodeCompletion(req, "ROLLBACK")
		if err != nil {
			return nil, err
		}
		return s.rollBackJournal(answer)
	}
	answer, err := peer.EncodeCompletion(req, "COMMIT")
	if err != nil {
		return nil, err
	}
	s.journal.add(req, answer, 'I')
	return s.saveAndCommit(ctx, answer)
}

// saveAndCommit stores the answers with the key and commits the transaction.
func (s *Stream) saveAndCommit(ctx context.Context, answer []byte) (*peerpb.RunReply, error) {
	raw, err := proto.Marshal(&s.journal.recorded)
	if err != nil {
		return nil, err
	}
	conn := s.lease.Conn
	if _, err := conn.ExecParams(updateKey, s.journal.key, base64.StdEncoding.EncodeToString(raw)); err != nil {
		return nil, s.refuseNotRun(err) // nothing is committed yet
	}
	if _, err := conn.Exec("COMMIT"); err != nil {
		return nil, unknownOutcome(err.Error())
	}
	s.group.opts.FaultHook(StepAnswered)
	done := &peerpb.Done{TxStatus: 'I', Member: s.member, Reason: s.reason}
	if err := s.acknowledgeCommit(ctx, done, upstream.Result{}); err != nil {
		return nil, err
	}
	s.Close()
	wire, err := appendReady(answer, 'I')
	return &peerpb.RunReply{Wire: wire, Done: done}, err
}
