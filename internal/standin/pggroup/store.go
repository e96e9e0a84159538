// Package pggroup is a stand-in for a PostgreSQL database group: three members
// that speak the PostgreSQL protocol, replicate asynchronously with a settable
// lag, and carry terms and log positions. It knows just enough SQL for tests,
// benchmarks and the demo. It is not a database: everything is in memory.
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

// table is a heap of rows by primary key.
type table struct {
	name    string
	columns []column
	key     int // index of the primary key column, -1 when there is none
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

// change is one row written, or one table created or dropped.
type change struct {
	table  string
	schema *table // non-nil: the table is created, or dropped when it has no columns
	key    string
	row    []any // nil: deleted
}

// logEntry is one committed transaction.
type logEntry struct {
	position group.Position
	at       time.Time
	changes  []change
}

// store is the data of one member. mu guards all fields.
type store struct {
	mu     sync.RWMutex
	tables map[string]*table
	log    []logEntry
	grown  chan struct{} // closed and replaced when the log changes
	nextID uint64
	locks  map[string]*transaction
	free   *sync.Cond // signalled when locks are released
}

func newStore() *store {
	s := &store{
		tables: make(map[string]*table),
		grown:  make(chan struct{}),
		locks:  make(map[string]*transaction),
	}
	s.free = sync.NewCond(&s.mu)
	return s
}

// position returns the place of the last entry. The caller holds mu.
func (s *store) positionLocked() group.Position {
	if len(s.log) == 0 {
		return group.Position{}
	}
	return s.log[len(s.log)-1].position
}

func (s *store) position() group.Position {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.positionLocked()
}

// appendLocked adds an entry and applies it. The caller holds mu for writing.
func (s *store) appendLocked(entry logEntry) {
	s.log = append(s.log, entry)
	for _, c := range entry.changes {
		s.applyLocked(c)
	}
	close(s.grown)
	s.grown = make(chan struct{})
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

// truncateLocked drops all entries beyond n and rebuilds the tables.
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

// commonPrefix returns how many entries two logs share.
func commonPrefix(a, b []logEntry) int {
	n := min(len(a), len(b))
	for n > 0 && a[n-1].position != b[n-1].position {
		n--
	}
	return n
}

// transaction collects the writes of one session until it commits.
type transaction struct {
	store   *store
	writes  map[string]map[string][]any // table, key, row; nil row: deleted
	created map[string]*table
	order   []change
	locked  []string
	aborted func() bool // reports that the session is being ended
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

// lockWait bounds how long a row lock is waited for.
const lockWait = 2 * time.Second

// lockRow takes the lock of a row, waiting for its holder. The caller holds
// store.mu for writing; it is released while waiting.
func (tx *transaction) lockRow(tableName, key string) error {
	name := tableName + "\x00" + key
	deadline := time.Now().Add(lockWait)
	for {
		holder := tx.store.locks[name]
		if holder == tx {
			return nil
		}
		if holder == nil {
			tx.store.locks[name] = tx
			tx.locked = append(tx.locked, name)
			return nil
		}
		if tx.aborted() {
			return sqlError("57P01", "terminating connection due to administrator command")
		}
		if time.Now().After(deadline) {
			return sqlError("40P01", "deadlock detected")
		}
		timer := time.AfterFunc(20*time.Millisecond, tx.store.free.Broadcast)
		tx.store.free.Wait()
		timer.Stop()
	}
}

// rowLocked returns the row as the transaction sees it.
func (tx *transaction) rowLocked(t *table, key string) []any {
	if row, ok := tx.writes[t.name][key]; ok {
		return row
	}
	return t.rows[key]
}

func (tx *transaction) put(tableName, key string, row []any) {
	if tx.writes[tableName] == nil {
		tx.writes[tableName] = make(map[string][]any)
	}
	tx.writes[tableName][key] = row
	tx.order = append(tx.order, change{table: tableName, key: key, row: row})
}

// keysLocked returns the keys of all rows the transaction sees, in order.
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

func (tx *transaction) releaseLocked() {
	for _, name := range tx.locked {
		delete(tx.store.locks, name)
	}
	tx.locked = nil
	tx.store.free.Broadcast()
}

// commitLocked appends the writes under the given term. The caller holds mu.
func (tx *transaction) commitLocked(term uint64) {
	if len(tx.order) > 0 {
		last := tx.store.positionLocked()
		tx.store.appendLocked(logEntry{
			position: group.Position{Term: term, Index: last.Index + 1},
			at:       time.Now(),
			changes:  tx.order,
		})
	}
	tx.releaseLocked()
}

// rowKey renders a primary key value so that keys sort as integers do.
func rowKey(v any) string {
	if n, ok := v.(int64); ok {
		return fmt.Sprintf("i%020d", uint64(n)+1<<63)
	}
	return fmt.Sprintf("s%v", v)
}
