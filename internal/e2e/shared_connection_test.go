package e2e

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/stackspindle/stackspindle/internal/standin"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true", "rapid.checks": "25"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// modelClient is a client connection with a model of the state that it must see.
type modelClient struct {
	conn           *pgx.Conn
	inTx           bool
	failed         bool // the open transaction has failed
	setting        string
	settingAtBegin string       // restored by a rollback
	uncommitted    map[int]bool // ids inserted in the open transaction
}

// Guards against state that leaks between clients which share one connection. Two
// clients run random interleaved statements; neither may see or affect the other's
// transaction or settings. A statement that finds the connection in use is rejected
// as not run and must have no effect.
func TestInterleavedClientsAreIsolated(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 2, Connections: 1, QueueTimeout: 30 * time.Millisecond})
	committed := map[int]bool{}
	next := 0
	rapid.Check(t, func(rt *rapid.T) {
		var clients [2]*modelClient
		for i := range clients {
			conn, err := dial(context.Background(), fleet.Instances[i].ClientAddr(), "", func(c *pgx.ConnConfig) {
				c.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
			})
			must.NoError(rt, err)
			defer conn.Close(context.Background())
			clients[i] = &modelClient{conn: conn, uncommitted: map[int]bool{}}
		}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			c := clients[rapid.IntRange(0, 1).Draw(rt, "client")]
			switch rapid.IntRange(0, 6).Draw(rt, "op") {
			case 0:
				c.begin()
			case 1:
				c.end(rt, "COMMIT", committed)
			case 2:
				c.end(rt, "ROLLBACK", committed)
			case 3:
				next++
				c.insert(next, committed)
			case 4:
				next++
				c.set(fmt.Sprintf("path%d", next))
			case 5:
				c.checkSetting(rt)
			case 6:
				c.checkRows(rt, next, committed)
			}
		}
	})
}

func (c *modelClient) run(sql string) error {
	_, err := c.conn.Exec(context.Background(), sql)
	if err != nil && c.inTx {
		c.failed = true
	}
	return err
}

func (c *modelClient) begin() {
	if !c.inTx && c.run("BEGIN") == nil {
		c.inTx, c.failed, c.settingAtBegin = true, false, c.setting
	}
}

func (c *modelClient) end(t *rapid.T, sql string, committed map[int]bool) {
	if !c.inTx {
		return
	}
	tag, err := c.conn.Exec(context.Background(), sql)
	must.NoError(t, err)
	if tag.String() == "COMMIT" {
		must.False(t, c.failed)
		for id := range c.uncommitted {
			committed[id] = true
		}
	} else {
		c.setting = c.settingAtBegin
	}
	c.inTx, c.failed, c.uncommitted = false, false, map[int]bool{}
}

func (c *modelClient) insert(id int, committed map[int]bool) {
	if c.run(fmt.Sprintf("INSERT INTO shifts VALUES (%d, 'x', 'open')", id)) != nil {
		return
	}
	if c.inTx {
		c.uncommitted[id] = true
		return
	}
	committed[id] = true
}

func (c *modelClient) set(value string) {
	if c.run("SET search_path TO '"+value+"'") == nil {
		c.setting = value
	}
}

func (c *modelClient) checkSetting(t *rapid.T) {
	var got string
	if err := c.conn.QueryRow(context.Background(), "SHOW search_path").Scan(&got); err != nil {
		c.failed = c.failed || c.inTx
		return
	}
	must.Eq(t, c.setting, got)
}

func (c *modelClient) checkRows(t *rapid.T, highest int, committed map[int]bool) {
	rows, err := c.conn.Query(context.Background(), "SELECT id FROM shifts")
	must.NoError(t, err)
	ids, err := pgx.CollectRows(rows, pgx.RowTo[int])
	if err != nil {
		c.failed = c.failed || c.inTx
		return
	}
	seen := map[int]bool{}
	for _, id := range ids {
		seen[id] = true
	}
	for id := 1; id <= highest; id++ {
		must.Eq(t, committed[id] || c.uncommitted[id], seen[id], must.Sprintf("row %d", id))
	}
}
