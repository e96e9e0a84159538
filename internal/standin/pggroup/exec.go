package pggroup

import (
	"fmt"
	"sort"
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// result receives the columns and rows that a statement returns.
type result struct {
	describe func(columns []column) error
	row      func(values []any) error
}

// plan is a parsed statement.
type plan struct {
	sql        string
	node       *pgquery.Node // nil: empty statement
	parameters []uint32      // type OIDs
}

// columns returns the columns of a statement's result, or nil if it returns no rows.
func (s *session) columns(p *plan) ([]column, error) {
	switch n := p.node.GetNode().(type) {
	case *pgquery.Node_SelectStmt:
		return s.selectColumns(n.SelectStmt)
	case *pgquery.Node_VariableShowStmt:
		return []column{{name: n.VariableShowStmt.Name, oid: oidText}}, nil
	case *pgquery.Node_InsertStmt:
		return s.returningColumns(n.InsertStmt.Relation, n.InsertStmt.ReturningList)
	case *pgquery.Node_UpdateStmt:
		return s.returningColumns(n.UpdateStmt.Relation, n.UpdateStmt.ReturningList)
	case *pgquery.Node_DeleteStmt:
		return s.returningColumns(n.DeleteStmt.Relation, n.DeleteStmt.ReturningList)
	}
	return nil, nil
}

// returningColumns returns the columns of a RETURNING clause, or nil.
func (s *session) returningColumns(rel *pgquery.RangeVar, list []*pgquery.Node) ([]column, error) {
	if len(list) == 0 {
		return nil, nil
	}
	t, err := s.lookup(rel.Relname)
	if err != nil {
		return nil, err
	}
	return targetColumns(list, t), nil
}

// lookup returns a table by name.
func (s *session) lookup(name string) (*table, error) {
	s.member.store.mu.RLock()
	defer s.member.store.mu.RUnlock()
	if s.tx != nil {
		return s.tx.tableLocked(name)
	}
	if t := s.member.store.tables[name]; t != nil {
		return t, nil
	}
	return nil, sqlError("42P01", "relation %q does not exist", name)
}

func (s *session) selectColumns(stmt *pgquery.SelectStmt) ([]column, error) {
	if call := groupFunctionCall(stmt); call != nil {
		return statusColumns, nil
	}
	t, err := s.sourceTable(stmt)
	if err != nil {
		return nil, err
	}
	return targetColumns(stmt.TargetList, t), nil
}

// sourceTable returns the table that a SELECT reads, or nil if it has no FROM clause. A
// function in FROM is always generate_series.
func (s *session) sourceTable(stmt *pgquery.SelectStmt) (*table, error) {
	if len(stmt.FromClause) == 0 {
		return nil, nil
	}
	if fn := stmt.FromClause[0].GetRangeFunction(); fn != nil {
		return &table{name: "generate_series", columns: []column{{name: "generate_series", oid: oidInt4}}, key: 0}, nil
	}
	rel := stmt.FromClause[0].GetRangeVar()
	if rel == nil || len(stmt.FromClause) > 1 {
		return nil, sqlError("0A000", "only one table is supported in FROM")
	}
	return s.lookup(rel.Relname)
}

// targetColumns returns the columns of a select list.
func targetColumns(list []*pgquery.Node, t *table) []column {
	var columns []column
	for _, node := range list {
		target := node.GetResTarget()
		if isStar(target.Val) {
			columns = append(columns, t.columns...)
			continue
		}
		columns = append(columns, column{name: targetName(target), oid: nodeOID(target.Val, t)})
	}
	return columns
}

func isStar(node *pgquery.Node) bool {
	ref := node.GetColumnRef()
	return ref != nil && ref.Fields[len(ref.Fields)-1].GetAStar() != nil
}

// targetName returns the column name of a select list entry, as PostgreSQL names it.
func targetName(target *pgquery.ResTarget) string {
	if target.Name != "" {
		return target.Name
	}
	if ref := target.Val.GetColumnRef(); ref != nil {
		return ref.Fields[len(ref.Fields)-1].GetString_().GetSval()
	}
	if call := target.Val.GetFuncCall(); call != nil {
		return call.Funcname[len(call.Funcname)-1].GetString_().GetSval()
	}
	return "?column?"
}

// execute runs a statement in s.tx and returns its command tag.
func (s *session) execute(p *plan, params []any, out result) (string, error) {
	switch n := p.node.GetNode().(type) {
	case *pgquery.Node_SelectStmt:
		return s.selectRows(n.SelectStmt, params, out)
	case *pgquery.Node_InsertStmt:
		return s.insert(n.InsertStmt, params, out)
	case *pgquery.Node_UpdateStmt:
		return s.update(n.UpdateStmt, params, out)
	case *pgquery.Node_DeleteStmt:
		return s.deleteRows(n.DeleteStmt, params, out)
	case *pgquery.Node_CreateStmt:
		return "CREATE TABLE", s.createTable(n.CreateStmt)
	case *pgquery.Node_DropStmt:
		return "DROP TABLE", s.dropTable(n.DropStmt)
	case *pgquery.Node_VariableSetStmt:
		return s.setVariable(n.VariableSetStmt)
	case *pgquery.Node_VariableShowStmt:
		return s.show(n.VariableShowStmt.Name, out)
	case *pgquery.Node_DiscardStmt:
		s.discardAll()
		return "DISCARD ALL", nil
	}
	return "", sqlError("0A000", "statement %T is not supported", p.node.GetNode())
}

func (s *session) show(name string, out result) (string, error) {
	if err := out.describe([]column{{name: name, oid: oidText}}); err != nil {
		return "", err
	}
	return "SHOW", out.row([]any{s.settings[name]})
}

// setVariable runs SET, SET LOCAL, RESET and RESET ALL.
func (s *session) setVariable(stmt *pgquery.VariableSetStmt) (string, error) {
	switch stmt.Kind {
	case pgquery.VariableSetKind_VAR_SET_VALUE:
		parts := make([]string, 0, len(stmt.Args))
		for _, arg := range stmt.Args {
			parts = append(parts, text(constValue(arg.GetAConst())))
		}
		if stmt.IsLocal {
			s.saveBeforeLocal(stmt.Name)
		}
		s.settings[stmt.Name] = strings.Join(parts, ", ")
		return "SET", nil
	case pgquery.VariableSetKind_VAR_RESET_ALL:
		s.settings = make(map[string]string)
		return "RESET", nil
	}
	delete(s.settings, stmt.Name)
	return "RESET", nil
}

// checkWritable returns an error in a read-only transaction, and if the member is not the
// primary.
func (s *session) checkWritable() error {
	if s.readOnly || !s.member.isPrimary() {
		return sqlError("25006", "cannot execute statement in a read-only transaction")
	}
	return nil
}

func (s *session) createTable(stmt *pgquery.CreateStmt) error {
	if err := s.checkWritable(); err != nil {
		return err
	}
	t := &table{name: stmt.Relation.Relname, key: -1, rows: make(map[string][]any)}
	for _, elt := range stmt.TableElts {
		def := elt.GetColumnDef()
		if def == nil {
			continue
		}
		for _, constraint := range def.Constraints {
			if constraint.GetConstraint().GetContype() == pgquery.ConstrType_CONSTR_PRIMARY {
				t.key = len(t.columns)
			}
		}
		t.columns = append(t.columns, column{name: def.Colname, oid: typeOID(def.TypeName)})
	}
	s.member.store.mu.Lock()
	defer s.member.store.mu.Unlock()
	if _, err := s.tx.tableLocked(t.name); err == nil {
		if stmt.IfNotExists {
			return nil
		}
		return sqlError("42P07", "relation %q already exists", t.name)
	}
	s.tx.created[t.name] = t
	s.tx.changes = append(s.tx.changes, change{table: t.name, schema: t})
	return nil
}

func (s *session) dropTable(stmt *pgquery.DropStmt) error {
	if err := s.checkWritable(); err != nil {
		return err
	}
	for _, object := range stmt.Objects {
		items := object.GetList().GetItems()
		name := items[len(items)-1].GetString_().GetSval()
		if _, err := s.lookup(name); err != nil {
			if stmt.MissingOk {
				continue
			}
			return err
		}
		s.tx.changes = append(s.tx.changes, change{table: name, schema: &table{name: name}})
	}
	return nil
}

// selectRows runs a SELECT and returns its command tag.
func (s *session) selectRows(stmt *pgquery.SelectStmt, params []any, out result) (string, error) {
	if call := groupFunctionCall(stmt); call != nil {
		return s.runGroupFunction(call, out)
	}
	t, err := s.sourceTable(stmt)
	if err != nil {
		return "", err
	}
	if err := out.describe(targetColumns(stmt.TargetList, t)); err != nil {
		return "", err
	}
	e := &evalContext{table: t, params: params, sess: s}
	if len(stmt.FromClause) > 0 && stmt.FromClause[0].GetRangeFunction() != nil {
		return s.series(stmt, e, out)
	}
	rows, err := s.scan(stmt, e)
	if err != nil {
		return "", err
	}
	if isAggregate(stmt) {
		return s.aggregate(stmt, e, rows, out)
	}
	for _, row := range rows {
		e.row = row
		if err := project(stmt.TargetList, e, out); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("SELECT %d", len(rows)), nil
}

// project evaluates a select list for the current row and returns the values as a row.
func project(list []*pgquery.Node, e *evalContext, out result) error {
	var values []any
	for _, node := range list {
		target := node.GetResTarget()
		if isStar(target.Val) {
			values = append(values, e.row...)
			continue
		}
		v, err := e.eval(target.Val)
		if err != nil {
			return err
		}
		values = append(values, v)
	}
	return out.row(values)
}

// series runs SELECT ... FROM generate_series(a, b). It computes and returns
// one row at a time.
func (s *session) series(stmt *pgquery.SelectStmt, e *evalContext, out result) (string, error) {
	call := stmt.FromClause[0].GetRangeFunction().Functions[0].GetList().Items[0].GetFuncCall()
	first, err := e.eval(call.Args[0])
	if err != nil {
		return "", err
	}
	last, err := e.eval(call.Args[1])
	if err != nil {
		return "", err
	}
	n := 0
	for i := toInt(first); i <= toInt(last); i++ {
		if err := s.interrupted(); err != nil {
			return "", err
		}
		e.row = []any{i}
		if err := project(stmt.TargetList, e, out); err != nil {
			return "", err
		}
		n++
	}
	return fmt.Sprintf("SELECT %d", n), nil
}

// scan returns the rows of a SELECT with WHERE, ORDER BY and LIMIT applied. With FOR
// UPDATE it locks them. Without a table it returns a single empty row.
func (s *session) scan(stmt *pgquery.SelectStmt, e *evalContext) ([][]any, error) {
	if e.table == nil {
		return [][]any{nil}, nil
	}
	matches, err := s.match(e, stmt.WhereClause)
	if err != nil {
		return nil, err
	}
	if len(stmt.LockingClause) > 0 {
		if matches, err = s.lockMatches(e, stmt.WhereClause, matches); err != nil {
			return nil, err
		}
	}
	rows := make([][]any, 0, len(matches))
	for _, m := range matches {
		rows = append(rows, m.row)
	}
	if err := sortRows(stmt.SortClause, e, rows); err != nil {
		return nil, err
	}
	return limitRows(stmt, e, rows)
}

// match is a row that satisfies a WHERE clause, with its key.
type match struct {
	key string
	row []any
}

// match returns the rows that satisfy a WHERE clause.
func (s *session) match(e *evalContext, where *pgquery.Node) ([]match, error) {
	s.member.store.mu.RLock()
	defer s.member.store.mu.RUnlock()
	return s.matchLocked(e, where)
}

func (s *session) matchLocked(e *evalContext, where *pgquery.Node) ([]match, error) {
	if key, ok := pointLookup(e, where); ok {
		row := s.tx.rowLocked(e.table, key)
		if row == nil {
			return nil, nil
		}
		return []match{{key: key, row: row}}, nil
	}
	var matches []match
	for _, key := range s.tx.keysLocked(e.table) {
		row := s.tx.rowLocked(e.table, key)
		ok, err := e.matches(where, row)
		if err != nil {
			return nil, err
		}
		if ok {
			matches = append(matches, match{key: key, row: row})
		}
	}
	return matches, nil
}

// matches reports whether a row satisfies a WHERE clause.
func (e *evalContext) matches(where *pgquery.Node, row []any) (bool, error) {
	if where == nil {
		return true, nil
	}
	e.row = row
	v, err := e.eval(where)
	truth, _ := v.(bool)
	return truth, err
}

// pointLookup returns the row key for a condition of the form primary key = value, and
// false for any other condition.
func pointLookup(e *evalContext, where *pgquery.Node) (string, bool) {
	expr := where.GetAExpr()
	if expr == nil || e.table.key < 0 || expr.Name[0].GetString_().GetSval() != "=" {
		return "", false
	}
	ref := expr.Lexpr.GetColumnRef()
	if ref == nil || ref.Fields[len(ref.Fields)-1].GetString_().GetSval() != e.table.columns[e.table.key].name {
		return "", false
	}
	if expr.Rexpr.GetColumnRef() != nil {
		return "", false
	}
	v, err := e.eval(expr.Rexpr)
	if err != nil {
		return "", false
	}
	if v, err = convert(v, e.table.columns[e.table.key].oid); err != nil {
		return "", false
	}
	return rowKey(v), true
}

// sortRows sorts by the first ORDER BY expression; further ones are ignored.
func sortRows(clause []*pgquery.Node, e *evalContext, rows [][]any) error {
	if len(clause) == 0 {
		return nil
	}
	by := clause[0].GetSortBy()
	sign := 1
	if by.SortbyDir == pgquery.SortByDir_SORTBY_DESC {
		sign = -1
	}
	var failed error
	sort.SliceStable(rows, func(i, j int) bool {
		e.row = rows[i]
		a, errA := e.eval(by.Node)
		e.row = rows[j]
		b, errB := e.eval(by.Node)
		if errA != nil || errB != nil {
			failed = errA
		}
		return sign*compare(a, b) < 0
	})
	return failed
}

func limitRows(stmt *pgquery.SelectStmt, e *evalContext, rows [][]any) ([][]any, error) {
	if stmt.LimitCount == nil {
		return rows, nil
	}
	v, err := e.eval(stmt.LimitCount)
	if err != nil || v == nil {
		return rows, err
	}
	return rows[:min(len(rows), int(toInt(v)))], nil
}

// aggregateName returns the aggregate function that a select list entry calls, or "".
func aggregateName(node *pgquery.Node) string {
	call := node.GetResTarget().GetVal().GetFuncCall()
	if call == nil {
		return ""
	}
	name := call.Funcname[len(call.Funcname)-1].GetString_().GetSval()
	switch name {
	case "count", "sum", "max", "min":
		return name
	}
	return ""
}

func isAggregate(stmt *pgquery.SelectStmt) bool {
	for _, target := range stmt.TargetList {
		if aggregateName(target) != "" {
			return true
		}
	}
	return false
}

func (s *session) aggregate(stmt *pgquery.SelectStmt, e *evalContext, rows [][]any, out result) (string, error) {
	values := make([]any, 0, len(stmt.TargetList))
	for _, target := range stmt.TargetList {
		v, err := computeAggregate(aggregateName(target), target.GetResTarget().GetVal().GetFuncCall(), e, rows)
		if err != nil {
			return "", err
		}
		values = append(values, v)
	}
	return "SELECT 1", out.row(values)
}

// computeAggregate computes one aggregate over rows.
func computeAggregate(name string, call *pgquery.FuncCall, e *evalContext, rows [][]any) (any, error) {
	if name == "count" {
		return int64(len(rows)), nil
	}
	if name == "" {
		return nil, sqlError("42803", "column must appear in the GROUP BY clause")
	}
	var acc any
	for _, row := range rows {
		e.row = row
		v, err := e.eval(call.Args[0])
		if err != nil {
			return nil, err
		}
		switch {
		case v == nil:
		case acc == nil:
			acc = v
		case name == "sum":
			acc = toInt(acc) + toInt(v)
		case name == "max" && compare(v, acc) > 0, name == "min" && compare(v, acc) < 0:
			acc = v
		}
	}
	return acc, nil
}
