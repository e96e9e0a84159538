package pggroup

import (
	"fmt"

	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// insert runs an INSERT and returns its command tag.
func (s *session) insert(stmt *pgquery.InsertStmt, params []any, out result) (string, error) {
	t, err := s.writeTarget(stmt.Relation, stmt.ReturningList, out)
	if err != nil {
		return "", err
	}
	rows, err := insertRows(stmt, t, &evalContext{params: params, sess: s})
	if err != nil {
		return "", err
	}
	n := 0
	for _, row := range rows {
		inserted, err := s.insertRow(t, row, stmt.OnConflictClause != nil)
		if err != nil {
			return "", err
		}
		if !inserted {
			continue
		}
		n++
		if err := s.emitReturning(stmt.ReturningList, t, row, params, out); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("INSERT 0 %d", n), nil
}

// writeTarget returns the table that a statement writes to, and describes the columns of
// its RETURNING clause.
func (s *session) writeTarget(rel *pgquery.RangeVar, returning []*pgquery.Node, out result) (*table, error) {
	if err := s.checkWritable(); err != nil {
		return nil, err
	}
	t, err := s.lookup(rel.Relname)
	if err != nil {
		return nil, err
	}
	return t, describeReturning(returning, t, out)
}

func describeReturning(list []*pgquery.Node, t *table, out result) error {
	if len(list) == 0 {
		return nil
	}
	return out.describe(targetColumns(list, t))
}

func (s *session) emitReturning(list []*pgquery.Node, t *table, row, params []any, out result) error {
	if len(list) == 0 {
		return nil
	}
	return project(list, &evalContext{table: t, row: row, params: params, sess: s}, out)
}

// insertRows evaluates the VALUES lists of an INSERT.
func insertRows(stmt *pgquery.InsertStmt, t *table, e *evalContext) ([][]any, error) {
	var targets []int
	for _, col := range stmt.Cols {
		i := t.columnIndex(col.GetResTarget().Name)
		if i < 0 {
			return nil, sqlError("42703", "column %q does not exist", col.GetResTarget().Name)
		}
		targets = append(targets, i)
	}
	if targets == nil {
		for i := range t.columns {
			targets = append(targets, i)
		}
	}
	var rows [][]any
	for _, list := range stmt.SelectStmt.GetSelectStmt().GetValuesLists() {
		row, err := insertValues(list.GetList().Items, targets, t, e)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func insertValues(items []*pgquery.Node, targets []int, t *table, e *evalContext) ([]any, error) {
	if len(items) > len(targets) {
		return nil, sqlError("42601", "INSERT has more expressions than target columns")
	}
	row := make([]any, len(t.columns))
	for i, item := range items {
		v, err := e.eval(item)
		if err != nil {
			return nil, err
		}
		if row[targets[i]], err = convert(v, t.columns[targets[i]].oid); err != nil {
			return nil, err
		}
	}
	return row, nil
}

// insertRow inserts a row and reports whether it did. On a key conflict it returns false
// if ignoreConflict is set (ON CONFLICT), and an error otherwise.
func (s *session) insertRow(t *table, row []any, ignoreConflict bool) (bool, error) {
	st := s.member.store
	st.mu.Lock()
	defer st.mu.Unlock()
	key := s.newKey(t, row)
	if err := s.tx.lockRow(t.name, key); err != nil {
		return false, err
	}
	if current, err := s.tx.tableLocked(t.name); err != nil {
		return false, err
	} else if s.tx.rowLocked(current, key) != nil {
		if ignoreConflict {
			return false, nil
		}
		return false, sqlError("23505", "duplicate key value violates unique constraint \"%s_pkey\"", t.name)
	}
	s.tx.put(t.name, key, row)
	return true, nil
}

// newKey returns the key of a new row: its primary key, or a generated one if the table
// has none. The caller holds store.mu for writing.
func (s *session) newKey(t *table, row []any) string {
	if t.key >= 0 {
		return rowKey(row[t.key])
	}
	s.member.store.nextID++
	return fmt.Sprintf("r%020d-%d", s.member.store.nextID, s.pid)
}

// update runs an UPDATE and returns its command tag.
func (s *session) update(stmt *pgquery.UpdateStmt, params []any, out result) (string, error) {
	t, err := s.writeTarget(stmt.Relation, stmt.ReturningList, out)
	if err != nil {
		return "", err
	}
	e := &evalContext{table: t, params: params, sess: s}
	matches, err := s.matchForWrite(e, stmt.WhereClause)
	if err != nil {
		return "", err
	}
	for _, m := range matches {
		row, err := updatedRow(stmt, t, e, m.row)
		if err != nil {
			return "", err
		}
		s.putRow(t, m.key, row)
		if err := s.emitReturning(stmt.ReturningList, t, row, params, out); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("UPDATE %d", len(matches)), nil
}

// updatedRow returns a copy of a row with the assignments of an UPDATE applied.
func updatedRow(stmt *pgquery.UpdateStmt, t *table, e *evalContext, old []any) ([]any, error) {
	row := append([]any(nil), old...)
	for _, node := range stmt.TargetList {
		target := node.GetResTarget()
		i := t.columnIndex(target.Name)
		if i < 0 {
			return nil, sqlError("42703", "column %q does not exist", target.Name)
		}
		e.row = old
		v, err := e.eval(target.Val)
		if err != nil {
			return nil, err
		}
		if row[i], err = convert(v, t.columns[i].oid); err != nil {
			return nil, err
		}
	}
	return row, nil
}

func (s *session) putRow(t *table, key string, row []any) {
	s.member.store.mu.Lock()
	defer s.member.store.mu.Unlock()
	s.tx.put(t.name, key, row)
}

// deleteRows runs a DELETE and returns its command tag.
func (s *session) deleteRows(stmt *pgquery.DeleteStmt, params []any, out result) (string, error) {
	t, err := s.writeTarget(stmt.Relation, stmt.ReturningList, out)
	if err != nil {
		return "", err
	}
	matches, err := s.matchForWrite(&evalContext{table: t, params: params, sess: s}, stmt.WhereClause)
	if err != nil {
		return "", err
	}
	for _, m := range matches {
		s.putRow(t, m.key, nil)
		if err := s.emitReturning(stmt.ReturningList, t, m.row, params, out); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("DELETE %d", len(matches)), nil
}

// matchForWrite finds the rows that match a WHERE clause and locks them.
func (s *session) matchForWrite(e *evalContext, where *pgquery.Node) ([]match, error) {
	matches, err := s.match(e, where)
	if err != nil {
		return nil, err
	}
	return s.lockMatches(e, where, matches)
}

// lockMatches locks rows, reads them again and keeps those that still match, like
// PostgreSQL does under READ COMMITTED.
func (s *session) lockMatches(e *evalContext, where *pgquery.Node, matches []match) ([]match, error) {
	st := s.member.store
	st.mu.Lock()
	defer st.mu.Unlock()
	var locked []match
	for _, m := range matches {
		if err := s.tx.lockRow(e.table.name, m.key); err != nil {
			return nil, err
		}
		row := s.tx.rowLocked(e.table, m.key)
		if row == nil {
			continue
		}
		ok, err := e.matches(where, row)
		if err != nil {
			return nil, err
		}
		if ok {
			locked = append(locked, match{key: m.key, row: row})
		}
	}
	return locked, nil
}

// inferParameters returns the parameter types of a statement. It infers those that the
// client has not declared from the expressions that use them; the default is text.
func (s *session) inferParameters(p *plan, declared []uint32) []uint32 {
	types := make(map[int]uint32)
	visit := func(param *pgquery.Node, oid uint32) {
		if ref := param.GetParamRef(); ref != nil {
			if _, ok := types[int(ref.Number)]; !ok || oid != oidText {
				types[int(ref.Number)] = oid
			}
		}
	}
	var t *table
	switch n := p.node.GetNode().(type) {
	case *pgquery.Node_SelectStmt:
		t, _ = s.sourceTable(n.SelectStmt)
		for _, target := range n.SelectStmt.TargetList {
			visitTypes(target.GetResTarget().GetVal(), t, visit)
		}
		visit(n.SelectStmt.LimitCount, oidInt8)
		for _, from := range n.SelectStmt.FromClause {
			for _, fn := range from.GetRangeFunction().GetFunctions() {
				for _, arg := range fn.GetList().Items[0].GetFuncCall().GetArgs() {
					visit(arg, oidInt4)
				}
			}
		}
		visitTypes(n.SelectStmt.WhereClause, t, visit)
	case *pgquery.Node_InsertStmt:
		t, _ = s.lookup(n.InsertStmt.Relation.Relname)
		visitInsert(n.InsertStmt, t, visit)
	case *pgquery.Node_UpdateStmt:
		t, _ = s.lookup(n.UpdateStmt.Relation.Relname)
		for _, node := range n.UpdateStmt.TargetList {
			visitAssignment(node.GetResTarget(), t, visit)
		}
		visitTypes(n.UpdateStmt.WhereClause, t, visit)
	case *pgquery.Node_DeleteStmt:
		t, _ = s.lookup(n.DeleteStmt.Relation.Relname)
		visitTypes(n.DeleteStmt.WhereClause, t, visit)
	}
	return mergeTypes(types, declared)
}

// mergeTypes combines inferred types (by parameter number, from 1) with declared ones,
// which take precedence.
func mergeTypes(types map[int]uint32, declared []uint32) []uint32 {
	n := len(declared)
	for number := range types {
		n = max(n, number)
	}
	merged := make([]uint32, n)
	for i := range merged {
		merged[i] = oidText
		if oid, ok := types[i+1]; ok {
			merged[i] = oid
		}
		if i < len(declared) && declared[i] != 0 {
			merged[i] = declared[i]
		}
	}
	return merged
}

// visitInsert visits the inserted values with the types of their columns.
func visitInsert(stmt *pgquery.InsertStmt, t *table, visit func(*pgquery.Node, uint32)) {
	if t == nil {
		return
	}
	for _, list := range stmt.SelectStmt.GetSelectStmt().GetValuesLists() {
		for i, item := range list.GetList().Items {
			c := i
			if len(stmt.Cols) > i {
				c = t.columnIndex(stmt.Cols[i].GetResTarget().Name)
			}
			if c >= 0 && c < len(t.columns) {
				visit(item, t.columns[c].oid)
			}
		}
	}
}

// visitAssignment visits an assigned value with the type of its column.
func visitAssignment(target *pgquery.ResTarget, t *table, visit func(*pgquery.Node, uint32)) {
	if t == nil {
		return
	}
	if i := t.columnIndex(target.Name); i >= 0 {
		visit(target.Val, t.columns[i].oid)
	}
	visitTypes(target.Val, t, visit)
}

// visitTypes calls visit for operands and parameters of an expression, with the type
// that the context suggests.
func visitTypes(node *pgquery.Node, t *table, visit func(*pgquery.Node, uint32)) {
	switch n := node.GetNode().(type) {
	case *pgquery.Node_AExpr:
		visit(n.AExpr.Rexpr, nodeOID(n.AExpr.Lexpr, t))
		visit(n.AExpr.Lexpr, nodeOID(n.AExpr.Rexpr, t))
		visitTypes(n.AExpr.Lexpr, t, visit)
		visitTypes(n.AExpr.Rexpr, t, visit)
	case *pgquery.Node_BoolExpr:
		for _, arg := range n.BoolExpr.Args {
			visitTypes(arg, t, visit)
		}
	case *pgquery.Node_TypeCast:
		visit(n.TypeCast.Arg, typeOID(n.TypeCast.TypeName))
	case *pgquery.Node_FuncCall:
		for i, arg := range n.FuncCall.Args {
			if n.FuncCall.Funcname[0].GetString_().GetSval() == "repeat" && i == 1 {
				visit(arg, oidInt4)
				continue
			}
			visitTypes(arg, t, visit)
		}
	case *pgquery.Node_ParamRef:
		visit(node, oidText)
	}
}
