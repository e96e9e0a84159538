package pgserver

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
	"github.com/stackspindle/stackspindle/internal/sqlclass"
	"github.com/stackspindle/stackspindle/internal/upstream"
)

// preparedStatement is a statement that the client has prepared.
type preparedStatement struct {
	statement      *peerpb.Statement
	class          *sqlclass.Class
	parseUncertain bool // its Parse was in a batch that failed and may not have taken effect: a new Parse is allowed
}

// batch collects a client's messages up to and including a Query, Sync or Flush.
type batch struct {
	request            peerpb.RunRequest
	refs               map[string]uint32 // statement name to 1-based index
	statements         []sqlclass.Statement
	executesStatement  bool // executes a statement, rather than only preparing and describing
	writes             bool
	commits            bool
	begins             bool
	readOnly           bool     // begins a READ ONLY transaction
	localStatements    int      // statements that are answered locally, without an upstream
	executedStatements int      // statements that the batch executes
	parsedNames        []string // names of the statements that the batch prepares
}

func newBatch() *batch {
	return &batch{refs: make(map[string]uint32)}
}

func (b *batch) empty() bool { return len(b.request.Kinds) == 0 }

// add appends a message. msg is nil for messages without bytes in Wire; ref is the 1-based
// index of its statement, 0 for none.
func (b *batch) add(kind byte, msg pgproto3.FrontendMessage, ref uint32) error {
	if msg != nil {
		wire, err := msg.Encode(b.request.Wire)
		if err != nil {
			return fail(codeProtocol, "%s", err.Error())
		}
		b.request.Wire = wire
	}
	b.request.Kinds = append(b.request.Kinds, kind)
	b.request.Ends = append(b.request.Ends, uint32(len(b.request.Wire)))
	b.request.Refs = append(b.request.Refs, ref)
	return nil
}

// reference returns the 1-based index of a statement in the batch, which it adds if needed.
func (b *batch) reference(p *preparedStatement) uint32 {
	if ref, ok := b.refs[p.statement.Name]; ok {
		return ref
	}
	b.request.Statements = append(b.request.Statements, p.statement)
	ref := uint32(len(b.request.Statements))
	b.refs[p.statement.Name] = ref
	return ref
}

// addExecuted records that the batch executes the statements of a class.
func (b *batch) addExecuted(class *sqlclass.Class) {
	b.executesStatement = true
	for _, st := range class.Statements {
		b.executedStatements++
		if answeredLocally(st) {
			b.localStatements++
		}
		b.statements = append(b.statements, st)
		b.recordKind(st)
	}
	b.request.DiscardConnection = b.request.DiscardConnection || class.LeavesSessionState()
}

func (b *batch) recordKind(st sqlclass.Statement) {
	switch st.Kind {
	case sqlclass.KindWrite, sqlclass.KindSavepoint:
		b.writes = true
	case sqlclass.KindBegin:
		b.begins = true
		b.readOnly = st.ReadOnly
	case sqlclass.KindCommit:
		b.commits = true
	case sqlclass.KindSet, sqlclass.KindReset:
		b.request.ChangesSettings = true
	}
}

// finish sets the request's class, which selects the member, and whether it may end a
// transaction. inTx is whether a transaction is open; its member has been chosen before.
func (b *batch) finish(inTx bool) *peerpb.RunRequest {
	r := &b.request
	r.Class = peerpb.Class_CLASS_READ
	if b.writes || b.commits || b.begins && !b.readOnly {
		r.Class = peerpb.Class_CLASS_WRITE
	}
	rollback := false
	for _, st := range b.statements {
		rollback = rollback || st.Kind == sqlclass.KindRollback
	}
	r.EndsTransaction = b.commits || rollback || !inTx && b.writes && !b.begins
	return r
}

// statementName derives a statement's name on members from its text and parameter types.
func statementName(sql string, oids []uint32) string {
	var d xxhash.Digest
	_, _ = d.WriteString(sql) // Digest.WriteString never fails
	var word [4]byte
	for _, oid := range oids {
		binary.BigEndian.PutUint32(word[:], oid)
		_, _ = d.Write(word[:])
	}
	sum := sha256.Sum256([]byte(sql))
	return fmt.Sprintf("ss_%016x%x", d.Sum64(), sum[:8])
}

// digest returns a hash of the statements and values, which tells whether a request key is
// reused for another request.
func (b *batch) digest() []byte {
	h := sha256.New()
	for _, st := range b.request.Statements {
		h.Write([]byte(st.Name))
	}
	h.Write(b.request.Kinds)
	h.Write(b.request.Wire)
	return h.Sum(nil)
}

// Kinds of messages, from package upstream.
const (
	kindQuery          = upstream.KindQuery
	kindParse          = upstream.KindParse
	kindBind           = upstream.KindBind
	kindDescribe       = upstream.KindDescribe
	kindExecute        = upstream.KindExecute
	kindClosePortal    = upstream.KindClosePortal
	kindCloseStatement = upstream.KindCloseStatement
	kindSync           = upstream.KindSync
	kindFlush          = upstream.KindFlush
)
