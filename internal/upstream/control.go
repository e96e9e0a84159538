package upstream

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stackspindle/stackspindle/internal/failover"
	"github.com/stackspindle/stackspindle/internal/group"
)

// Control is the control connection to one member, for status requests, heartbeats and the
// steps of a failover. Do is called by one goroutine; Close may be called by others.
type Control struct {
	target  Target
	timeout time.Duration
	now     func() time.Duration

	mu   sync.Mutex // guards conn, which Close may reset concurrently
	conn *pgconn.PgConn
}

// NewControl returns a control connection that is opened at its first use. The timeout
// bounds each attempt of a request; now returns monotonic time.
func NewControl(target Target, timeout time.Duration, now func() time.Duration) *Control {
	return &Control{target: target, timeout: timeout, now: now}
}

// Do sends one request and returns its reply. A request whose connection fails is retried
// once on a new connection, since the member may have closed the old one long ago.
func (c *Control) Do(ctx context.Context, s failover.Send, self string) failover.Reply {
	reply := c.attempt(ctx, s, self)
	if reply.Failure == failover.FailConnection {
		return c.attempt(ctx, s, self)
	}
	return reply
}

func (c *Control) attempt(ctx context.Context, s failover.Send, self string) failover.Reply {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply := failover.Reply{Member: s.Member, Op: s.Op, Term: s.Term, Sent: c.now()}
	status, err := c.exec(ctx, controlQuery(s, self))
	if err == nil {
		reply.Status = status
		return reply
	}
	reply.Failure = classify(err)
	if reply.Failure != failover.FailRefused {
		c.Close()
	}
	return reply
}

// classify returns how a request failed. A non-fatal error answer shows that the member is
// alive; a timeout is inconclusive; a connection that is refused or breaks indicates that
// the member is down.
func classify(err error) failover.Failure {
	var answer *pgconn.PgError
	switch {
	case errors.As(err, &answer) && answer.Severity != "FATAL":
		return failover.FailRefused
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled), pgconn.Timeout(err):
		return failover.FailTimeout
	}
	return failover.FailConnection
}

func controlQuery(s failover.Send, self string) string {
	switch s.Op {
	case failover.OpHeartbeat:
		return fmt.Sprintf("SELECT * FROM group_heartbeat(%d,'%s',%d,%d)", s.Term, self, s.Acked.Term, s.Acked.Index)
	case failover.OpFence:
		return fmt.Sprintf("SELECT * FROM group_fence(%d,'%s')", s.Term, self)
	case failover.OpPromote:
		return fmt.Sprintf("SELECT * FROM group_promote(%d)", s.Term)
	case failover.OpFollow:
		return fmt.Sprintf("SELECT * FROM group_follow(%d,'%s')", s.Term, s.Leader)
	case failover.OpRelease:
		return fmt.Sprintf("SELECT * FROM group_release(%d,'%s')", s.Term, self)
	}
	return "SELECT * FROM group_status()"
}

func (c *Control) exec(ctx context.Context, sql string) (group.Status, error) {
	conn, err := c.open(ctx)
	if err != nil {
		return group.Status{}, err
	}
	results, err := conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return group.Status{}, err
	}
	if len(results) != 1 || len(results[0].Rows) != 1 {
		return group.Status{}, ErrProtocol
	}
	return parseStatus(string(results[0].Rows[0][0]))
}

func (c *Control) open(ctx context.Context) (*pgconn.PgConn, error) {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn != nil && !conn.IsClosed() {
		return conn, nil
	}
	cfg, err := c.target.config(0)
	if err != nil {
		return nil, err
	}
	conn, err = pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.conn = conn
	c.mu.Unlock()
	return conn, nil
}

// closeTimeout bounds the orderly close of a connection whose member does not answer.
const closeTimeout = 10 * time.Millisecond

// Close ends the connection. The next Do opens another.
func (c *Control) Close() {
	c.mu.Lock()
	conn := c.conn
	c.conn = nil
	c.mu.Unlock()
	if conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = conn.Close(ctx) // the connection is discarded even if closing it fails
}

// statusFields is the number of mandatory fields of a status line.
const statusFields = 12

// parseStatus parses "term role logterm logindex owner age_us holder age_us
// released linked ackterm ackindex". After a promotion the log's history follows as
// "term:index,...", the start of each term. Owner and holder are instances; "-" is none.
func parseStatus(line string) (group.Status, error) {
	f := strings.Fields(line)
	if len(f) != statusFields && len(f) != statusFields+1 {
		return group.Status{}, fmt.Errorf("status %q: %w", line, ErrProtocol)
	}
	var numbers [statusFields]int64
	for _, i := range []int{0, 2, 3, 5, 7, 10, 11} {
		n, err := strconv.ParseInt(f[i], 10, 64)
		if err != nil {
			return group.Status{}, fmt.Errorf("status %q: %w", line, ErrProtocol)
		}
		numbers[i] = n
	}
	st := group.Status{
		Term:         uint64(numbers[0]),
		Role:         group.Role(f[1]),
		Position:     group.Position{Term: uint64(numbers[2]), Index: uint64(numbers[3])},
		Owner:        instanceField(f[4]),
		OwnerAge:     ageField(numbers[5]),
		Holder:       instanceField(f[6]),
		HeartbeatAge: ageField(numbers[7]),
		Released:     f[8] == "true",
		Linked:       f[9] == "true",
		Acknowledged: group.Position{Term: uint64(numbers[10]), Index: uint64(numbers[11])},
	}
	if len(f) > statusFields {
		return parseHistory(st, f[statusFields])
	}
	return st, nil
}

func instanceField(text string) string {
	if text == "-" {
		return ""
	}
	return text
}

// ageField converts an age in microseconds; a negative one, which means never, becomes -1.
func ageField(us int64) time.Duration {
	if us < 0 {
		return -1
	}
	return time.Duration(us) * time.Microsecond
}

func parseHistory(st group.Status, text string) (group.Status, error) {
	for _, item := range strings.Split(text, ",") {
		var start group.TermStart
		if _, err := fmt.Sscanf(item, "%d:%d", &start.Term, &start.Index); err != nil {
			return st, fmt.Errorf("history %q: %w", text, ErrProtocol)
		}
		st.History = st.History.Append(start)
	}
	return st, nil
}
