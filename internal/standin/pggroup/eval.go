package pggroup

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// Type OIDs of PostgreSQL's catalogue.
const (
	oidBool = 16
	oidInt8 = 20
	oidInt4 = 23
	oidText = 25
)

// pgError is an error with an SQLSTATE code.
type pgError struct {
	code    string
	message string
	fatal   bool
}

func (e *pgError) Error() string {
	return e.message
}

func sqlError(code, format string, args ...any) *pgError {
	return &pgError{code: code, message: fmt.Sprintf(format, args...)}
}

// evalContext is the context in which an expression is evaluated.
type evalContext struct {
	table  *table
	row    []any
	params []any
	sess   *session
}

// eval returns the value of an expression: int64, bool, string or nil for NULL.
func (e *evalContext) eval(node *pgquery.Node) (any, error) {
	switch n := node.GetNode().(type) {
	case *pgquery.Node_AConst:
		return constValue(n.AConst), nil
	case *pgquery.Node_ParamRef:
		if int(n.ParamRef.Number) > len(e.params) {
			return nil, sqlError("42P02", "there is no parameter $%d", n.ParamRef.Number)
		}
		return e.params[n.ParamRef.Number-1], nil
	case *pgquery.Node_ColumnRef:
		return e.column(n.ColumnRef)
	case *pgquery.Node_AExpr:
		return e.operator(n.AExpr)
	case *pgquery.Node_BoolExpr:
		return e.boolean(n.BoolExpr)
	case *pgquery.Node_NullTest:
		v, err := e.eval(n.NullTest.Arg)
		return (v == nil) == (n.NullTest.Nulltesttype == pgquery.NullTestType_IS_NULL), err
	case *pgquery.Node_TypeCast:
		return e.cast(n.TypeCast)
	case *pgquery.Node_FuncCall:
		return e.call(n.FuncCall)
	}
	return nil, sqlError("0A000", "expression %T is not supported", node.GetNode())
}

func constValue(c *pgquery.A_Const) any {
	switch v := c.GetVal().(type) {
	case *pgquery.A_Const_Ival:
		return int64(v.Ival.Ival)
	case *pgquery.A_Const_Sval:
		return v.Sval.Sval
	case *pgquery.A_Const_Boolval:
		return v.Boolval.Boolval
	case *pgquery.A_Const_Fval:
		n, err := strconv.ParseInt(v.Fval.Fval, 10, 64)
		if err != nil {
			return v.Fval.Fval
		}
		return n
	}
	return nil
}

// column returns the value of a column in the current row, or nil without a row.
func (e *evalContext) column(ref *pgquery.ColumnRef) (any, error) {
	name := ref.Fields[len(ref.Fields)-1].GetString_().GetSval()
	if e.table == nil {
		return nil, sqlError("42703", "column %q does not exist", name)
	}
	i := e.table.columnIndex(name)
	if i < 0 {
		return nil, sqlError("42703", "column %q does not exist", name)
	}
	if e.row == nil {
		return nil, nil
	}
	return e.row[i], nil
}

func (e *evalContext) operator(expr *pgquery.A_Expr) (any, error) {
	left, err := e.eval(expr.Lexpr)
	if err != nil {
		return nil, err
	}
	if expr.Kind == pgquery.A_Expr_Kind_AEXPR_IN {
		return e.in(left, expr.Rexpr.GetList().GetItems())
	}
	right, err := e.eval(expr.Rexpr)
	if err != nil {
		return nil, err
	}
	return applyOperator(expr.Name[0].GetString_().GetSval(), left, right)
}

func (e *evalContext) in(left any, items []*pgquery.Node) (any, error) {
	for _, item := range items {
		v, err := e.eval(item)
		if err != nil {
			return nil, err
		}
		if compare(left, v) == 0 {
			return true, nil
		}
	}
	return false, nil
}

// applyOperator applies a binary operator. It returns nil if an operand is nil.
func applyOperator(op string, left, right any) (any, error) {
	if left == nil || right == nil {
		return nil, nil
	}
	switch op {
	case "=":
		return compare(left, right) == 0, nil
	case "<>":
		return compare(left, right) != 0, nil
	case "<":
		return compare(left, right) < 0, nil
	case "<=":
		return compare(left, right) <= 0, nil
	case ">":
		return compare(left, right) > 0, nil
	case ">=":
		return compare(left, right) >= 0, nil
	case "||":
		return text(left) + text(right), nil
	}
	a, b := toInt(left), toInt(right)
	switch op {
	case "+":
		return a + b, nil
	case "-":
		return a - b, nil
	case "*":
		return a * b, nil
	case "%":
		return modulo(a, b)
	case "/":
		return divide(a, b)
	}
	return nil, sqlError("42883", "operator does not exist: %s", op)
}

func modulo(a, b int64) (any, error) {
	if b == 0 {
		return nil, sqlError("22012", "division by zero")
	}
	return a % b, nil
}

func divide(a, b int64) (any, error) {
	if b == 0 {
		return nil, sqlError("22012", "division by zero")
	}
	return a / b, nil
}

func (e *evalContext) boolean(expr *pgquery.BoolExpr) (any, error) {
	for _, arg := range expr.Args {
		v, err := e.eval(arg)
		if err != nil {
			return nil, err
		}
		truth, _ := v.(bool)
		switch {
		case expr.Boolop == pgquery.BoolExprType_NOT_EXPR:
			return !truth, nil
		case expr.Boolop == pgquery.BoolExprType_OR_EXPR && truth:
			return true, nil
		case expr.Boolop == pgquery.BoolExprType_AND_EXPR && !truth:
			return false, nil
		}
	}
	return expr.Boolop == pgquery.BoolExprType_AND_EXPR, nil
}

func (e *evalContext) cast(c *pgquery.TypeCast) (any, error) {
	v, err := e.eval(c.Arg)
	if err != nil || v == nil {
		return v, err
	}
	return convert(v, typeOID(c.TypeName))
}

// call evaluates a function call.
func (e *evalContext) call(call *pgquery.FuncCall) (any, error) {
	name := call.Funcname[len(call.Funcname)-1].GetString_().GetSval()
	args := make([]any, 0, len(call.Args))
	for _, arg := range call.Args {
		v, err := e.eval(arg)
		if err != nil {
			return nil, err
		}
		args = append(args, v)
	}
	switch {
	case name == "repeat" && len(args) == 2:
		return strings.Repeat(text(args[0]), int(toInt(args[1]))), nil
	case name == "pg_sleep" && len(args) == 1:
		return "", e.sess.sleep(sleepTime(args[0]))
	case name == "now":
		return time.Now().UTC().Format(time.RFC3339Nano), nil
	case name == "version":
		return "stackspindle stand-in", nil
	case name == "length" && len(args) == 1:
		return int64(len(text(args[0]))), nil
	case name == "upper" && len(args) == 1:
		return strings.ToUpper(text(args[0])), nil
	case name == "set_config" && len(args) == 3:
		e.sess.settings[text(args[0])] = text(args[1])
		return text(args[1]), nil
	}
	return nil, sqlError("42883", "function %s does not exist", name)
}

func sleepTime(v any) time.Duration {
	seconds, err := strconv.ParseFloat(text(v), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// text returns a value in PostgreSQL's text format.
func text(v any) string {
	switch x := v.(type) {
	case nil:
		return ""
	case string:
		return x
	case int64:
		return strconv.FormatInt(x, 10)
	case bool:
		if x {
			return "t"
		}
		return "f"
	}
	return fmt.Sprint(v)
}

// toInt converts a value to an integer, or returns 0 if it does not have the form of one.
func toInt(v any) int64 {
	if n, ok := v.(int64); ok {
		return n
	}
	n, err := strconv.ParseInt(text(v), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// compare compares two values as strings, or as integers if one of them is an integer.
func compare(a, b any) int {
	x, okX := a.(int64)
	y, okY := b.(int64)
	if okX || okY {
		if !okX {
			x = toInt(a)
		}
		if !okY {
			y = toInt(b)
		}
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	}
	return strings.Compare(text(a), text(b))
}

func typeOID(name *pgquery.TypeName) uint32 {
	switch name.Names[len(name.Names)-1].GetString_().GetSval() {
	case "int4", "int2", "integer", "serial":
		return oidInt4
	case "int8", "bigserial":
		return oidInt8
	case "bool":
		return oidBool
	}
	return oidText
}

// convert converts a value to the Go type of a column: int64, bool or string.
func convert(v any, oid uint32) (any, error) {
	if v == nil {
		return nil, nil
	}
	switch oid {
	case oidInt4, oidInt8:
		if n, ok := v.(int64); ok {
			return n, nil
		}
		n, err := strconv.ParseInt(text(v), 10, 64)
		if err != nil {
			return nil, sqlError("22P02", "invalid input syntax for type integer: %q", text(v))
		}
		return n, nil
	case oidBool:
		if b, ok := v.(bool); ok {
			return b, nil
		}
		return strings.HasPrefix(text(v), "t"), nil
	}
	return text(v), nil
}

// nodeOID infers the type of an expression's result; the default is text.
func nodeOID(node *pgquery.Node, t *table) uint32 {
	switch n := node.GetNode().(type) {
	case *pgquery.Node_AConst:
		if _, ok := constValue(n.AConst).(int64); ok {
			return oidInt4
		}
	case *pgquery.Node_ColumnRef:
		if t != nil {
			if i := t.columnIndex(n.ColumnRef.Fields[len(n.ColumnRef.Fields)-1].GetString_().GetSval()); i >= 0 {
				return t.columns[i].oid
			}
		}
	case *pgquery.Node_TypeCast:
		return typeOID(n.TypeCast.TypeName)
	case *pgquery.Node_FuncCall:
		switch n.FuncCall.Funcname[len(n.FuncCall.Funcname)-1].GetString_().GetSval() {
		case "count", "sum", "length":
			return oidInt8
		case "max", "min":
			return nodeOID(n.FuncCall.Args[0], t)
		}
	case *pgquery.Node_AExpr:
		return exprOID(n.AExpr)
	}
	return oidText
}

func exprOID(expr *pgquery.A_Expr) uint32 {
	switch expr.Name[0].GetString_().GetSval() {
	case "+", "-", "*", "/", "%":
		return oidInt4
	case "||":
		return oidText
	}
	return oidBool
}
