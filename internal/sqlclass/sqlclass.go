// Package sqlclass classifies SQL statements for transaction pooling and for routing to the
// primary or a replica. It parses with PostgreSQL's own grammar and caches the results by
// statement text in a bounded LRU cache. The protocol layer for clients uses it. Invariant:
// a statement that it cannot classify counts as a write, so that it runs on the primary.
package sqlclass

import (
	"fmt"
	"strings"

	lru "github.com/hashicorp/golang-lru/v2"
	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// Kind is the class of one statement.
type Kind int

// The kinds of statements.
const (
	KindEmpty Kind = iota
	KindRead
	KindWrite
	KindBegin
	KindCommit
	KindRollback
	KindSavepoint
	KindSet
	KindReset
	KindDiscardAll
	KindDeallocate
	KindRefused
)

// Statement is the classification of one statement of a text.
type Statement struct {
	Kind               Kind
	ReadOnly           bool   // KindBegin: declared READ ONLY
	Local              bool   // KindSet: SET LOCAL
	Name               string // KindSet, KindReset: parameter; KindDeallocate: statement
	Value              string // KindSet: new value as text
	Reason             string // KindRefused: the unsupported feature; part of the error message to the client
	LeavesSessionState bool   // may leave session state on the connection that a reset is not known to clear
}

// Class is the classification of a text, which may hold several statements.
type Class struct {
	Statements []Statement
	SyntaxErr  error // the text does not parse; it is sent to the primary, whose error the client gets
}

// Classifier parses statements and caches their classes. It is safe for concurrent use.
type Classifier struct {
	cache *lru.Cache[string, *Class]
}

// maxCachedText is the longest text, in bytes, that is cached.
const maxCachedText = 8 << 10

// New returns a classifier that caches up to size texts.
func New(size int) (*Classifier, error) {
	cache, err := lru.New[string, *Class](size)
	if err != nil {
		return nil, fmt.Errorf("statement cache: %w", err)
	}
	return &Classifier{cache: cache}, nil
}

// Classify returns the class of a text. The result is shared and must not be modified.
func (c *Classifier) Classify(sql string) *Class {
	if class, ok := c.cache.Get(sql); ok {
		return class
	}
	class := parse(sql)
	if len(sql) <= maxCachedText {
		c.cache.Add(strings.Clone(sql), class)
	}
	return class
}

func parse(sql string) *Class {
	tree, err := pgquery.Parse(sql)
	if err != nil {
		return &Class{SyntaxErr: err, Statements: []Statement{{Kind: KindWrite}}}
	}
	class := &Class{}
	for _, raw := range tree.Stmts {
		class.Statements = append(class.Statements, classifyNode(raw.Stmt))
	}
	if len(class.Statements) == 0 {
		class.Statements = []Statement{{Kind: KindEmpty}}
	}
	return class
}

// Refusal returns the unsupported feature for which the text is refused, or "".
func (c *Class) Refusal() string {
	for _, s := range c.Statements {
		if s.Kind == KindRefused {
			return s.Reason
		}
	}
	return ""
}

// ReadOnly reports whether no statement does more than read, so that a replica may run the text.
func (c *Class) ReadOnly() bool {
	for _, s := range c.Statements {
		if s.Kind != KindRead && s.Kind != KindEmpty {
			return false
		}
	}
	return true
}

// Has reports whether the text contains a statement of the kind.
func (c *Class) Has(kind Kind) bool {
	for _, s := range c.Statements {
		if s.Kind == kind {
			return true
		}
	}
	return false
}

// LeavesSessionState reports whether a statement may leave session state on the connection, which then
// cannot be shared with other clients.
func (c *Class) LeavesSessionState() bool {
	for _, s := range c.Statements {
		if s.LeavesSessionState {
			return true
		}
	}
	return false
}

func classifyNode(node *pgquery.Node) Statement {
	switch n := node.Node.(type) {
	case *pgquery.Node_SelectStmt:
		return classifySelect(n.SelectStmt)
	case *pgquery.Node_TransactionStmt:
		return classifyTransaction(n.TransactionStmt)
	case *pgquery.Node_VariableSetStmt:
		return classifySet(n.VariableSetStmt)
	case *pgquery.Node_VariableShowStmt:
		return Statement{Kind: KindRead}
	case *pgquery.Node_ExplainStmt:
		return classifyExplain(n.ExplainStmt)
	case *pgquery.Node_DiscardStmt:
		if n.DiscardStmt.Target == pgquery.DiscardMode_DISCARD_ALL {
			return Statement{Kind: KindDiscardAll}
		}
		return Statement{Kind: KindWrite, LeavesSessionState: true}
	case *pgquery.Node_DeallocateStmt:
		return Statement{Kind: KindDeallocate, Name: n.DeallocateStmt.Name}
	}
	if reason := refusedStatement(node); reason != "" {
		return Statement{Kind: KindRefused, Reason: reason}
	}
	return Statement{Kind: KindWrite, LeavesSessionState: taintingStatement(node)}
}

// refusedStatement returns the feature of the statement that transaction pooling does not
// support, or "".
func refusedStatement(node *pgquery.Node) string {
	switch n := node.Node.(type) {
	case *pgquery.Node_CopyStmt:
		return "COPY"
	case *pgquery.Node_ListenStmt, *pgquery.Node_UnlistenStmt:
		return "LISTEN"
	case *pgquery.Node_PrepareStmt, *pgquery.Node_ExecuteStmt:
		return "SQL-level PREPARE and EXECUTE (use the extended protocol)"
	case *pgquery.Node_DeclareCursorStmt:
		if n.DeclareCursorStmt.Options&cursorOptHold != 0 {
			return "cursors WITH HOLD"
		}
	case *pgquery.Node_LoadStmt:
		return "LOAD"
	case *pgquery.Node_CreateStmt:
		return refusedRelation(n.CreateStmt.Relation)
	case *pgquery.Node_CreateTableAsStmt:
		if n.CreateTableAsStmt.Into != nil {
			return refusedRelation(n.CreateTableAsStmt.Into.Rel)
		}
	case *pgquery.Node_ViewStmt:
		return refusedRelation(n.ViewStmt.View)
	case *pgquery.Node_CreateSeqStmt:
		return refusedRelation(n.CreateSeqStmt.Sequence)
	}
	return ""
}

// cursorOptHold is CURSOR_OPT_HOLD in PostgreSQL's parsenodes.h.
const cursorOptHold = 0x0020

func refusedRelation(rel *pgquery.RangeVar) string {
	if rel != nil && rel.Relpersistence == "t" {
		return "temporary relations"
	}
	return ""
}

// taintingStatement reports whether the statement runs procedural code, which may leave any
// session state behind.
func taintingStatement(node *pgquery.Node) bool {
	switch node.Node.(type) {
	case *pgquery.Node_DoStmt, *pgquery.Node_CallStmt:
		return true
	}
	return false
}

func classifyTransaction(stmt *pgquery.TransactionStmt) Statement {
	switch stmt.Kind {
	case pgquery.TransactionStmtKind_TRANS_STMT_BEGIN, pgquery.TransactionStmtKind_TRANS_STMT_START:
		return Statement{Kind: KindBegin, ReadOnly: declaredReadOnly(stmt.Options)}
	case pgquery.TransactionStmtKind_TRANS_STMT_COMMIT:
		return Statement{Kind: KindCommit}
	case pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		return Statement{Kind: KindRollback}
	case pgquery.TransactionStmtKind_TRANS_STMT_PREPARE,
		pgquery.TransactionStmtKind_TRANS_STMT_COMMIT_PREPARED,
		pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK_PREPARED:
		return Statement{Kind: KindRefused, Reason: "two-phase commit"}
	}
	return Statement{Kind: KindSavepoint}
}

func declaredReadOnly(options []*pgquery.Node) bool {
	for _, option := range options {
		elem := option.GetDefElem()
		if elem == nil || elem.Defname != "transaction_read_only" {
			continue
		}
		return elem.Arg.GetAConst().GetIval().GetIval() != 0
	}
	return false
}

func classifySet(stmt *pgquery.VariableSetStmt) Statement {
	switch stmt.Kind {
	case pgquery.VariableSetKind_VAR_SET_VALUE:
		return Statement{Kind: KindSet, Local: stmt.IsLocal, Name: stmt.Name, Value: settingValue(stmt.Args)}
	case pgquery.VariableSetKind_VAR_SET_DEFAULT, pgquery.VariableSetKind_VAR_RESET:
		return Statement{Kind: KindReset, Local: stmt.IsLocal, Name: stmt.Name}
	case pgquery.VariableSetKind_VAR_RESET_ALL:
		return Statement{Kind: KindReset}
	}
	// SET TRANSACTION and SET SESSION CHARACTERISTICS.
	if strings.HasPrefix(strings.ToUpper(stmt.Name), "SESSION") {
		return Statement{Kind: KindRefused, Reason: "SET SESSION CHARACTERISTICS"}
	}
	return Statement{Kind: KindWrite}
}

func settingValue(args []*pgquery.Node) string {
	parts := make([]string, 0, len(args))
	for _, arg := range args {
		parts = append(parts, constText(arg.GetAConst()))
	}
	return strings.Join(parts, ", ")
}

func constText(c *pgquery.A_Const) string {
	switch v := c.GetVal().(type) {
	case *pgquery.A_Const_Sval:
		return v.Sval.Sval
	case *pgquery.A_Const_Ival:
		return fmt.Sprint(v.Ival.Ival)
	case *pgquery.A_Const_Fval:
		return v.Fval.Fval
	case *pgquery.A_Const_Boolval:
		return fmt.Sprint(v.Boolval.Boolval)
	}
	return ""
}

func classifyExplain(stmt *pgquery.ExplainStmt) Statement {
	inner := classifyNode(stmt.Query)
	if inner.Kind == KindRead || inner.Kind == KindRefused {
		return inner
	}
	return Statement{Kind: KindWrite}
}
