// Package upstream talks to the members of a database group over the PostgreSQL
// protocol: data connections that run callers' batches, pools that share them,
// and control connections for status, heartbeats and failover.
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

// Target names a database on a member and who asks for it.
type Target struct {
	Member   string
	Addr     string // host:port
	Database string
	User     string
	Password string
	Instance string // application_name, so that a member can tell instances apart
}

// config returns the connection settings. A term of 0 binds the connection to
// none; else the member ends it when a higher term is fenced.
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

// Errors of a batch.
var (
	// ErrNotSent says that nothing of the batch reached the member.
	ErrNotSent = errors.New("the batch was not sent")
	// ErrUnknown says that the batch was sent and its answer did not arrive whole.
	ErrUnknown = errors.New("the connection broke before the whole answer arrived")
	// ErrProtocol says that the member sent what the batch cannot have asked for.
	ErrProtocol = errors.New("unexpected message from the member")
)

// Conn is one data connection. It is used by one batch at a time; only Kill and
// Cancel may be called from elsewhere.
type Conn struct {
	target   Target
	term     uint64
	conn     net.Conn
	frontend *pgproto3.Frontend
	pid      uint32
	secret   []byte

	status   byte            // transaction status of the last ReadyForQuery
	unsynced bool            // the last batch did not end with Query or Sync
	skipping bool            // after an error in the extended protocol, until Sync
	prepared map[string]bool // statements known to the member
	settings map[string]string
	dirty    bool // settings may differ from those in settings
	tainted  bool // other state may have been left behind
	broken   atomic.Bool
	out      []byte
}

// maxPrepared bounds the statements kept on one connection.
const maxPrepared = 512

// Dial opens a data connection bound to a term.
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
		target:   t,
		term:     term,
		conn:     h.Conn,
		frontend: h.Frontend,
		pid:      h.PID,
		secret:   h.SecretKey,
		status:   'I',
		prepared: make(map[string]bool),
		settings: make(map[string]string),
	}, nil
}

// Member returns the name of the member.
func (c *Conn) Member() string { return c.target.Member }

// TxStatus returns 'I', 'T' or 'E' as of the last answer.
func (c *Conn) TxStatus() byte { return c.status }

// Synced reports whether the member has nothing more to say about the last batch.
func (c *Conn) Synced() bool { return !c.unsynced }

// Taint marks the connection as holding state that only a full reset clears.
func (c *Conn) Taint() { c.tainted = true }

// MarkSettingsChanged notes that a batch may have changed run-time parameters.
func (c *Conn) MarkSettingsChanged() { c.dirty = true }

// Broken reports whether the connection cannot be used any more.
func (c *Conn) Broken() bool { return c.broken.Load() }

// Kill closes the connection at once. A batch in flight ends with ErrUnknown.
func (c *Conn) Kill() {
	c.broken.Store(true)
	c.conn.Close()
}

// cancelTimeout bounds the sending of a cancel request.
const cancelTimeout = 2 * time.Second

// Cancel asks the member to stop the statement in flight. The request may take
// effect late, so the connection is not shared afterwards.
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
	_, _ = conn.Read(make([]byte, 1)) // the member closes once it has acted
	return nil
}

// Exec runs a simple query of our own and returns the text of its first row's
// columns. It must be called between batches.
func (c *Conn) Exec(sql string) ([]string, error) {
	query, err := (&pgproto3.Query{String: sql}).Encode(c.out[:0])
	if err != nil {
		return nil, err
	}
	return c.roundTrip(query)
}

// ExecParams runs one statement with text parameters and returns the text of
// its first row's columns.
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
		return nil, fmt.Errorf("upstream %s: %w: %w", c.target.Member, ErrUnknown, err)
	}
	return c.readRow()
}

// readRow reads up to ReadyForQuery.
func (c *Conn) readRow() ([]string, error) {
	var row []string
	var failed error
	for {
		msg, err := c.frontend.Receive()
		if err != nil {
			c.Kill()
			return nil, fmt.Errorf("upstream %s: %w: %w", c.target.Member, ErrUnknown, err)
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			if row == nil {
				for _, v := range m.Values {
					row = append(row, string(v))
				}
			}
		case *pgproto3.ErrorResponse:
			failed = pgconn.ErrorResponseToPgError(m)
		case *pgproto3.ReadyForQuery:
			c.status = m.TxStatus
			return row, failed
		}
	}
}

// positionQuery asks a member for the last position of its log.
const positionQuery = "SELECT * FROM group_position()"

// Position asks for the last position of the member's log.
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
			t, errT := strconv.ParseUint(term, 10, 64)
			i, errI := strconv.ParseUint(index, 10, 64)
			if errT == nil && errI == nil {
				return group.Position{Term: t, Index: i}, nil
			}
		}
	}
	return group.Position{}, fmt.Errorf("position %q: %w", row, ErrProtocol)
}

// Prepare brings the connection to the wanted settings before a transaction.
func (c *Conn) Prepare(wanted map[string]string) error {
	if !c.dirty && sameSettings(c.settings, wanted) {
		return nil
	}
	if _, err := c.Exec("RESET ALL"); err != nil {
		c.Kill()
		return err
	}
	c.settings = make(map[string]string, len(wanted))
	for name, value := range wanted {
		if _, err := c.ExecParams("SELECT set_config($1, $2, false)", name, value); err != nil {
			c.Kill()
			return err
		}
		c.settings[name] = value
	}
	c.dirty = false
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

// Clean makes the connection fit for another caller, or reports that it cannot.
func (c *Conn) Clean() bool {
	if c.Broken() || c.skipping || c.unsynced {
		return false
	}
	if c.status != 'I' {
		if _, err := c.Exec("ROLLBACK"); err != nil || c.status != 'I' {
			return false
		}
	}
	if !c.tainted && len(c.prepared) <= maxPrepared {
		return true
	}
	if _, err := c.Exec("DISCARD ALL"); err != nil {
		return false
	}
	c.tainted, c.dirty = false, false
	c.prepared = make(map[string]bool)
	c.settings = make(map[string]string)
	return true
}
