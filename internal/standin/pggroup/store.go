// Package pggroup is an in-memory stand-in for a PostgreSQL database group: three
// members that speak the PostgreSQL protocol, replicate asynchronously with a
// configurable lag, and have terms and log positions. It implements only the SQL that
// the tests, the benchmarks and the demo need, and stores nothing on disk.
//
// Instances control the group with the SQL functions whose names begin with group_.
// Fencing moves a member to a higher term and ends the sessions that were opened for
// earlier terms; they can commit no writes afterwards.
package pggroup

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
)

// column is one column of a table.
type column struct {
	name string
	oid  uint32
}

// table has the rows of a table by their encoded primary key.
type table struct {
	name    string
	columns []column
	key     int // index of the primary key column; -1: none
	rows    map[string][]any
}

func (t *table) columnIndex(name string) int {
	for i, c := range t.columns {
		if c.name == name {
			return i
		}
	}
	return -1
}

// change is one row written or deleted, or one table created or dropped.
type change struct {
	table  string
	schema *table // non-nil: the table is created, or dropped if schema has no columns
	key    string
	row    []any // nil: deleted
}

// logEntry is one committed transaction, with its commit time at the primary.
type logEntry struct {
	position group.Position
	at       time.Time
	changes  []change
}

// store has the tables, the log and the row locks of one member. mu guards all fields.
type store struct {
	mu           sync.RWMutex
	tables       map[string]*table
	log          []logEntry
	logChanged   chan struct{}           // closed and replaced when an entry is appended
	nextID       uint64                  // last generated key of a table without a primary key
	locks        map[string]*transaction // holder of each row lock
	lockReleased *sync.Cond              // signalled when row locks are released
}

func newStore() *store {
	s := &store{
		tables:     make(map[string]*table),
		logChanged: make(chan struct{}),
		locks:      make(map[string]*transaction),
	}
	s.lockReleased = sync.NewCond(&s.mu)
	return s
}

// positionLocked returns the position of the last log entry. The caller holds mu.
func (s *store) positionLocked() group.Position {
	if len(s.log) == 0 {
		return group.Position{}
	}
	return s.log[len(s.log)-1].position
}

// position returns the position of the last log entry.
func (s *store) position() group.Position {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.positionLocked()
}

// appendLocked appends an entry to the log and applies it to the tables. The caller
// holds mu for writing.
func (s *store) appendLocked(entry logEntry) {
	s.log = append(s.log, entry)
	for _, c := range entry.changes {
		s.applyLocked(c)
	}
	close(s.logChanged)
	s.logChanged = make(chan struct{})
}

func (s *store) applyLocked(c change) {
	if c.schema != nil {
		s.applySchemaLocked(c)
		return
	}
	t := s.tables[c.table]
	if t == nil {
		return
	}
	if c.row == nil {
		delete(t.rows, c.key)
		return
	}
	t.rows[c.key] = c.row
}

func (s *store) applySchemaLocked(c change) {
	if len(c.schema.columns) == 0 {
		delete(s.tables, c.table)
		return
	}
	s.tables[c.table] = &table{
		name:    c.schema.name,
		columns: c.schema.columns,
		key:     c.schema.key,
		rows:    make(map[string][]any),
	}
}

// truncateLocked drops all log entries after the first n and rebuilds the tables from
// the rest. The caller holds mu for writing.
func (s *store) truncateLocked(n int) {
	if n >= len(s.log) {
		return
	}
	kept := s.log[:n:n]
	s.log = nil
	s.tables = make(map[string]*table)
	for _, entry := range kept {
		s.log = append(s.log, entry)
		for _, c := range entry.changes {
			s.applyLocked(c)
		}
	}
}

// commonPrefix returns the length of the longest common prefix of two logs.
func commonPrefix(a, b []logEntry) int {
	n := min(len(a), len(b))
	for n > 0 && a[n-1].position != b[n-1].position {
		n--
	}
	return n
}

// transaction collects the writes of one session until they are committed.
type transaction struct {
	store     *store
	writes    map[string]map[string][]any // row by table and key; nil: deleted
	created   map[string]*table           // tables created in this transaction
	changes   []change                    // in execution order
	heldLocks []string                    // names of the row locks it holds
	aborted   func() bool                 // reports whether the session has ended
}

func (s *store) begin(aborted func() bool) *transaction {
	return &transaction{
		store:   s,
		writes:  make(map[string]map[string][]any),
		created: make(map[string]*table),
		aborted: aborted,
	}
}

func (tx *transaction) tableLocked(name string) (*table, error) {
	if t := tx.created[name]; t != nil {
		return t, nil
	}
	if t := tx.store.tables[name]; t != nil {
		return t, nil
	}
	return nil, sqlError("42P01", "relation %q does not exist", name)
}

// lockTimeout limits the wait for a row lock. After that the statement fails as if a
// deadlock had been detected.
const lockTimeout = 2 * time.Second

// lockRow acquires the lock of a row and waits while another transaction holds it. The
// caller holds store.mu for writing, which is released during the wait.
func (tx *transaction) lockRow(tableName, key string) error {
	name := tableName + "\x00" + key
	deadline := time.Now().Add(lockTimeout)
	for {
		holder := tx.store.locks[name]
		if holder == tx {
			return nil
		}
		if holder == nil {
			tx.store.locks[name] = tx
			tx.heldLocks = append(tx.heldLocks, name)
			return nil
		}
		if tx.aborted() {
			return sqlError("57P01", "terminating connection due to administrator command")
		}
		if time.Now().After(deadline) {
			return sqlError("40P01", "deadlock detected")
		}
		timer := time.AfterFunc(20*time.Millisecond, tx.store.lockReleased.Broadcast)
		tx.store.lockReleased.Wait()
		timer.Stop()
	}
}

// rowLocked returns the row with the transaction's own writes applied; nil: no such
// row. The caller holds store.mu.
func (tx *transaction) rowLocked(t *table, key string) []any {
	if row, ok := tx.writes[t.name][key]; ok {
		return row
	}
	return t.rows[key]
}

// put records a written row, or a deletion if row is nil.
func (tx *transaction) put(tableName, key string, row []any) {
	if tx.writes[tableName] == nil {
		tx.writes[tableName] = make(map[string][]any)
	}
	tx.writes[tableName][key] = row
	tx.changes = append(tx.changes, change{table: tableName, key: key, row: row})
}

// keysLocked returns the sorted keys of all rows that the transaction sees. The caller
// holds store.mu.
func (tx *transaction) keysLocked(t *table) []string {
	keys := make([]string, 0, len(t.rows))
	for key := range t.rows {
		if _, ok := tx.writes[t.name][key]; !ok {
			keys = append(keys, key)
		}
	}
	for key, row := range tx.writes[t.name] {
		if row != nil {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// releaseLocked releases all row locks. The caller holds store.mu for writing.
func (tx *transaction) releaseLocked() {
	for _, name := range tx.heldLocks {
		delete(tx.store.locks, name)
	}
	tx.heldLocks = nil
	tx.store.lockReleased.Broadcast()
}

// commitLocked appends the writes to the log as one entry of the given term and
// releases the row locks. The caller holds store.mu for writing.
func (tx *transaction) commitLocked(term uint64) {
	if len(tx.changes) > 0 {
		last := tx.store.positionLocked()
		tx.store.appendLocked(logEntry{
			position: group.Position{Term: term, Index: last.Index + 1},
			at:       time.Now(),
			changes:  tx.changes,
		})
	}
	tx.releaseLocked()
}

// rowKey encodes a primary key value as a string. The keys of integers sort in numeric
// order.
func rowKey(v any) string {
	if n, ok := v.(int64); ok {
		return fmt.Sprintf("i%020d", uint64(n)+1<<63)
	}
	return fmt.Sprintf("s%v", v)
}
