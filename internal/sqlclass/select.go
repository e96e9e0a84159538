package sqlclass

import (
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// readFunctions are the functions that a replica may run: they neither write nor depend on
// the member. A statement that calls any other function runs on the primary, because the text
// alone does not show whether the function writes.
var readFunctions = map[string]bool{
	"abs": true, "array_agg": true, "array_length": true, "avg": true, "btrim": true,
	"ceil": true, "char_length": true, "coalesce": true, "concat": true, "concat_ws": true,
	"count": true, "current_database": true, "current_schema": true, "date_part": true,
	"date_trunc": true, "extract": true, "floor": true, "format": true, "generate_series": true,
	"greatest": true, "json_agg": true, "jsonb_agg": true, "json_build_object": true,
	"jsonb_build_object": true, "least": true, "left": true, "length": true, "lower": true,
	"ltrim": true, "max": true, "md5": true, "min": true, "mod": true, "now": true,
	"nullif": true, "pg_sleep": true, "pg_typeof": true, "position": true, "rank": true,
	"repeat": true, "replace": true, "right": true, "round": true, "row_number": true,
	"rtrim": true, "split_part": true, "string_agg": true, "substr": true, "substring": true,
	"sum": true, "timezone": true, "to_char": true, "to_date": true, "to_timestamp": true,
	"trim": true, "unnest": true, "upper": true, "version": true,
}

// sessionFunctions change session state that outlives the transaction. The values are the
// reasons with which statements that call them are refused.
var sessionFunctions = map[string]string{
	"pg_advisory_lock":            "session-level advisory locks",
	"pg_advisory_lock_shared":     "session-level advisory locks",
	"pg_try_advisory_lock":        "session-level advisory locks",
	"pg_try_advisory_lock_shared": "session-level advisory locks",
	"pg_advisory_unlock":          "session-level advisory locks",
	"pg_advisory_unlock_shared":   "session-level advisory locks",
	"pg_advisory_unlock_all":      "session-level advisory locks",
}

// controlPrefix is the name prefix of the functions with which the instance that owns a group
// controls its members: heartbeats, fencing, promotion. Clients may not call them.
const controlPrefix = "group_"

// selectFacts collects what a query does, over all nodes of its parse tree.
type selectFacts struct {
	writes  bool   // must run on the primary: writes, locks rows or calls an unlisted function
	taints  bool   // see Statement.LeavesSessionState
	refused string // reason for which the statement is refused, or ""
}

func classifySelect(stmt *pgquery.SelectStmt) Statement {
	facts := &selectFacts{}
	if stmt.IntoClause != nil {
		if reason := refusedRelation(stmt.IntoClause.Rel); reason != "" {
			return Statement{Kind: KindRefused, Reason: reason}
		}
		facts.writes = true
	}
	walkMessage(stmt.ProtoReflect(), facts)
	if facts.refused != "" {
		return Statement{Kind: KindRefused, Reason: facts.refused}
	}
	if facts.writes {
		return Statement{Kind: KindWrite, LeavesSessionState: facts.taints}
	}
	return Statement{Kind: KindRead}
}

// walkMessage inspects m and all nodes below it.
func walkMessage(m protoreflect.Message, facts *selectFacts) {
	inspect(m.Interface(), facts)
	m.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		if field.Kind() != protoreflect.MessageKind {
			return true
		}
		if !field.IsList() {
			walkMessage(value.Message(), facts)
			return true
		}
		for i := 0; i < value.List().Len(); i++ {
			walkMessage(value.List().Get(i).Message(), facts)
		}
		return true
	})
}

func inspect(node any, facts *selectFacts) {
	switch n := node.(type) {
	case *pgquery.LockingClause, *pgquery.InsertStmt, *pgquery.UpdateStmt, *pgquery.DeleteStmt, *pgquery.MergeStmt:
		facts.writes = true
	case *pgquery.FuncCall:
		inspectCall(n, facts)
	}
}

func inspectCall(call *pgquery.FuncCall, facts *selectFacts) {
	name := strings.ToLower(call.Funcname[len(call.Funcname)-1].GetString_().GetSval())
	if reason := sessionFunctions[name]; reason != "" {
		facts.refused = reason
		return
	}
	if strings.HasPrefix(name, controlPrefix) {
		facts.refused = "functions that direct the database group"
		return
	}
	if readFunctions[name] {
		return
	}
	facts.writes = true
	facts.taints = true
	if strings.HasPrefix(name, "pg_advisory_xact") || strings.HasPrefix(name, "pg_try_advisory_xact") || name == "nextval" {
		facts.taints = false
	}
}
