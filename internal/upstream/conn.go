// Package upstream is the PostgreSQL client side: it connects to the members of a database
// group. Conn runs batches of clients' messages, Pool shares such connections between
// clients, and Control sends status requests, heartbeats and the steps of a failover.
// The instance that owns a group uses it.
//
// After an error or an unexpected message during a batch the connection is closed and
// never reused, so that an answer cannot reach another client's request.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stackspindle/stackspindle/internal/group"
)

// Target identifies a database on a member and holds the credentials for it.
type Target struct {
	Member   string
	Addr     string // host:port
	Database string
	User     string
	Password string
	Instance string // sent as application_name, so that a member can distinguish instances
}

// config returns the connection settings. A term above 0 binds the connection to that term:
// the member closes it once a higher term is fenced. 0 binds it to no term.
func (t Target) config(term uint64) (*pgconn.Config, error) {
	cfg, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, fmt.Errorf("upstream %s: %w", t.Member, err)
	}
	host, port, err := net.SplitHostPort(t.Addr)
	if err != nil {
		return nil, fmt.Errorf("upstream %s: address %q: %w", t.Member, t.Addr, err)
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("upstream %s: port %q: %w", t.Member, port, err)
	}
	cfg.Host, cfg.Port = host, uint16(number)
	cfg.Database, cfg.User, cfg.Password = t.Database, t.User, t.Password
	cfg.Fallbacks = nil
	cfg.RuntimeParams = map[string]string{"application_name": t.Instance}
	if term > 0 {
		cfg.RuntimeParams["options"] = fmt.Sprintf("-c group.term=%d", term)
	}
	return cfg, nil
}

// Errors of a batch. They tell whether it may have run.
var (
	// ErrNotSent means that no part of the batch reached the member.
	ErrNotSent = errors.New("the batch was not sent")
	// ErrOutcomeUnknown means that the batch was sent but its complete answer did not arrive:
	// its outcome is unknown.
	ErrOutcomeUnknown = errors.New("the connection broke before the whole answer arrived")
	// ErrProtocol means that the member sent a message that does not answer the batch.
	ErrProtocol = errors.New("unexpected message from the member")
)

// Conn is one data connection. It runs one batch at a time. Only Kill and Cancel may be
// called from other goroutines.
type Conn struct {
	target   Target
	term     uint64
	conn     net.Conn
	frontend *pgproto3.Frontend
	pid      uint32
	secret   []byte

	status             byte              // transaction status of the last ReadyForQuery
	unsynced           bool              // the last batch did not end with Query or Sync
	ignoringUntilSync  bool              // the member ignores messages until Sync, after an error in the extended protocol
	preparedStatements map[string]bool   // names of the statements that are prepared on the connection
	appliedSettings    map[string]string // run-time parameters that ApplySettings has set
	settingsChanged    bool              // the member's run-time parameters may differ from appliedSettings
	tainted            bool              // a statement may have left other session state behind
	broken             atomic.Bool
	out                []byte // encoded request; the buffer is reused
}

// maxPreparedStatements is the number of prepared statements above which a connection is reset
// with DISCARD ALL before it is shared again.
const maxPreparedStatements = 512

// Dial opens a data connection that is bound to a term, or to none if term is 0.
func Dial(ctx context.Context, t Target, term uint64) (*Conn, error) {
	cfg, err := t.config(term)
	if err != nil {
		return nil, err
	}
	pg, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, fmt.Errorf("upstream %s: connect: %w", t.Member, err)
	}
	h, err := pg.Hijack()
	if err != nil {
		return nil, fmt.Errorf("upstream %s: connect: %w", t.Member, err)
	}
	return &Conn{
		target:             t,
		term:               term,
		conn:               h.Conn,
		frontend:           h.Frontend,
		pid:                h.PID,
		secret:             h.SecretKey,
		status:             'I',
		preparedStatements: make(map[string]bool),
		appliedSettings:    make(map[string]string),
	}, nil
}

// Member returns the name of the member.
func (c *Conn) Member() string { return c.target.Member }

// TxStatus returns the transaction status of the last answer: 'I' (idle), 'T' (in a
// transaction) or 'E' (in a failed transaction).
func (c *Conn) TxStatus() byte { return c.status }

// Synced reports whether the last batch ended with Query or Sync, so that its answer is
// complete with ReadyForQuery.
func (c *Conn) Synced() bool { return !c.unsynced }

// MarkNeedsDiscard marks the connection as holding session state that only DISCARD ALL clears.
func (c *Conn) MarkNeedsDiscard() { c.tainted = true }

// MarkSettingsChanged records that a batch may have changed run-time parameters.
func (c *Conn) MarkSettingsChanged() { c.settingsChanged = true }

// Broken reports whether the connection must not be used any more.
func (c *Conn) Broken() bool { return c.broken.Load() }

// Kill closes the connection at once. A batch in flight ends with ErrOutcomeUnknown.
func (c *Conn) Kill() {
	c.broken.Store(true)
	c.conn.Close()
}

// cancelTimeout bounds each of connecting for a cancel request and sending it.
const cancelTimeout = 2 * time.Second

// Cancel asks the member to cancel the statement in flight. The request may take effect
// late and hit a later statement, so the connection is marked broken and never shared again.
func (c *Conn) Cancel() error {
	c.broken.Store(true)
	conn, err := net.DialTimeout("tcp", c.target.Addr, cancelTimeout)
	if err != nil {
		return fmt.Errorf("upstream %s: cancel: %w", c.target.Member, err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(cancelTimeout)); err != nil {
		return fmt.Errorf("upstream %s: cancel: %w", c.target.Member, err)
	}
	request, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return fmt.Errorf("upstream %s: cancel: %w", c.target.Member, err)
	}
	if _, err := conn.Write(request); err != nil {
		return fmt.Errorf("upstream %s: cancel: %w", c.target.Member, err)
	}
	_, _ = conn.Read(make([]byte, 1)) // the member closes the connection after it has handled the request
	return nil
}

// Exec runs a simple query on behalf of this instance and returns the columns of its first
// row as text. It must be called between batches.
func (c *Conn) Exec(sql string) ([]string, error) {
	query, err := (&pgproto3.Query{String: sql}).Encode(c.out[:0])
	if err != nil {
		return nil, err
	}
	return c.roundTrip(query)
}

// ExecParams runs one statement with text parameters and returns the columns of its first
// row as text. It must be called between batches.
func (c *Conn) ExecParams(sql string, params ...string) ([]string, error) {
	values := make([][]byte, len(params))
	for i, p := range params {
		values[i] = []byte(p)
	}
	out := c.out[:0]
	for _, msg := range []pgproto3.FrontendMessage{
		&pgproto3.Parse{Query: sql},
		&pgproto3.Bind{Parameters: values},
		&pgproto3.Execute{},
		&pgproto3.Sync{},
	} {
		var err error
		if out, err = msg.Encode(out); err != nil {
			return nil, err
		}
	}
	return c.roundTrip(out)
}

func (c *Conn) roundTrip(request []byte) ([]string, error) {
	c.out = request
	if _, err := c.conn.Write(request); err != nil {
		c.Kill()
		return nil, fmt.Errorf("upstream %s: %w: %w", c.target.Member, ErrOutcomeUnknown, err)
	}
	return c.readRow()
}

// readRow reads up to ReadyForQuery and returns the first row, or the member's error.
func (c *Conn) readRow() ([]string, error) {
	var row []string
	var queryErr error
	for {
		msg, err := c.frontend.Receive()
		if err != nil {
			c.Kill()
			return nil, fmt.Errorf("upstream %s: %w: %w", c.target.Member, ErrOutcomeUnknown, err)
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			if row == nil {
				for _, v := range m.Values {
					row = append(row, string(v))
				}
			}
		case *pgproto3.ErrorResponse:
			queryErr = pgconn.ErrorResponseToPgError(m)
		case *pgproto3.ReadyForQuery:
			c.status = m.TxStatus
			return row, queryErr
		}
	}
}

// positionQuery returns the last position of the member's log as "term index".
const positionQuery = "SELECT * FROM group_position()"

// Position queries the last position of the member's log.
func (c *Conn) Position() (group.Position, error) {
	row, err := c.Exec(positionQuery)
	if err != nil {
		return group.Position{}, err
	}
	return parsePosition(row)
}

func parsePosition(row []string) (group.Position, error) {
	if len(row) == 1 {
		if term, index, ok := strings.Cut(row[0], " "); ok {
			t, termErr := strconv.ParseUint(term, 10, 64)
			i, indexErr := strconv.ParseUint(index, 10, 64)
			if termErr == nil && indexErr == nil {
				return group.Position{Term: t, Index: i}, nil
			}
		}
	}
	return group.Position{}, fmt.Errorf("position %q: %w", row, ErrProtocol)
}

// ApplySettings sets the run-time parameters of a session before its transaction. It does
// nothing if the connection has them already. On an error the connection is closed.
func (c *Conn) ApplySettings(wanted map[string]string) error {
	if !c.settingsChanged && sameSettings(c.appliedSettings, wanted) {
		return nil
	}
	if _, err := c.Exec("RESET ALL"); err != nil {
		c.Kill()
		return err
	}
	c.appliedSettings = make(map[string]string, len(wanted))
	for name, value := range wanted {
		if _, err := c.ExecParams("SELECT set_config($1, $2, false)", name, value); err != nil {
			c.Kill()
			return err
		}
		c.appliedSettings[name] = value
	}
	c.settingsChanged = false
	return nil
}

func sameSettings(a, b map[string]string) bool {
	if len(a) != len(b) {
		return false
	}
	for name, value := range a {
		if other, ok := b[name]; !ok || other != value {
			return false
		}
	}
	return true
}

// Clean prepares the connection for another client: it rolls back an open transaction and
// resets the session state if needed. It reports false if the connection cannot be shared.
func (c *Conn) Clean() bool {
	if c.Broken() || c.ignoringUntilSync || c.unsynced {
		return false
	}
	if c.status != 'I' {
		if _, err := c.Exec("ROLLBACK"); err != nil || c.status != 'I' {
			return false
		}
	}
	if !c.tainted && len(c.preparedStatements) <= maxPreparedStatements {
		return true
	}
	if _, err := c.Exec("DISCARD ALL"); err != nil {
		return false
	}
	c.tainted, c.settingsChanged = false, false
	c.preparedStatements = make(map[string]bool)
	c.appliedSettings = make(map[string]string)
	return true
}
