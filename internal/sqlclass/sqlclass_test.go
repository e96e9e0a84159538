package sqlclass

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestClassify(t *testing.T) {
	c, err := New(100)
	must.NoError(t, err)
	cases := []struct {
		sql                   string
		read, refused, taints bool
	}{
		{"SELECT 1", true, false, false},
		{"select count(*), max(x) from t where a = $1", true, false, false},
		{"WITH a AS (SELECT 1) SELECT * FROM a", true, false, false},
		{"WITH a AS (DELETE FROM t RETURNING *) SELECT * FROM a", false, false, false},
		{"SELECT * FROM t FOR UPDATE", false, false, false},
		{"SELECT * FROM (SELECT * FROM t FOR SHARE) x", false, false, false},
		{"SELECT nextval('s')", false, false, false},
		{"SELECT my_function(1)", false, false, true},
		{"SELECT set_config('a.b', 'c', false)", false, false, true},
		{"SELECT * INTO x FROM t", false, false, false},
		{"EXPLAIN SELECT 1", true, false, false},
		{"EXPLAIN ANALYZE DELETE FROM t", false, false, false},
		{"SHOW search_path", true, false, false},
		{"INSERT INTO t VALUES (1)", false, false, false},
		{"DO $$ BEGIN END $$", false, false, true},
		{"SELECT pg_advisory_xact_lock(1)", false, false, false},
		{"SELECT pg_try_advisory_lock(1)", false, true, false},
		{"SELECT 1 WHERE pg_advisory_unlock_all() IS NULL", false, true, false},
		{"SELECT group_promote(3)", false, true, false},
		{"LISTEN x", false, true, false},
		{"SELECT 1; COPY t FROM STDIN", false, true, false},
		{"PREPARE TRANSACTION 'x'", false, true, false},
		{"CREATE TEMPORARY TABLE x (id int)", false, true, false},
		{"CREATE TABLE x (id int)", false, false, false},
		{"SELECT 1; DELETE FROM t", false, false, false},
		{"this is no SQL", false, false, false},
		{"", true, false, false},
	}
	for _, tc := range cases {
		class := c.Classify(tc.sql)
		must.Eq(t, tc.read, class.ReadOnly(), must.Sprint(tc.sql))
		must.Eq(t, tc.refused, class.Refusal() != "", must.Sprint(tc.sql))
		must.Eq(t, tc.taints, class.LeavesSessionState(), must.Sprint(tc.sql))
	}
}

func TestClassifyTransactionsAndSettings(t *testing.T) {
	c, err := New(10)
	must.NoError(t, err)
	must.True(t, c.Classify("BEGIN READ ONLY").Statements[0].ReadOnly)
	must.False(t, c.Classify("BEGIN").Statements[0].ReadOnly)
	must.True(t, c.Classify("START TRANSACTION READ ONLY").Statements[0].ReadOnly)
	set := c.Classify("SET stackspindle.request_key = 'k-1'").Statements[0]
	must.Eq(t, Statement{Kind: KindSet, Name: "stackspindle.request_key", Value: "k-1"}, set)
	must.True(t, c.Classify("SET LOCAL x.y = 3").Statements[0].Local)
	must.Eq(t, KindReset, c.Classify("RESET ALL").Statements[0].Kind)
}

// BenchmarkClassify compares parsing with a cache hit.
func BenchmarkClassify(b *testing.B) {
	const sql = "SELECT volunteer, state FROM shifts WHERE id = $1"
	b.Run("parse", func(b *testing.B) {
		for b.Loop() {
			parse(sql)
		}
	})
	b.Run("cached", func(b *testing.B) {
		c, err := New(10)
		must.NoError(b, err)
		for b.Loop() {
			c.Classify(sql)
		}
	})
}
