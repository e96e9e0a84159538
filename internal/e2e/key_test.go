package e2e

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/resource"
	"github.com/stackspindle/stackspindle/internal/standin"
)

// keyed runs one insert under a request key and returns its row.
func keyed(ctx context.Context, conn *pgx.Conn, key string, id int) (string, error) {
	if _, err := conn.Exec(ctx, "SET stackspindle.request_key = '"+key+"'"); err != nil {
		return "", err
	}
	var volunteer string
	err := conn.QueryRow(ctx, "INSERT INTO shifts VALUES ($1, $2, 'open') RETURNING volunteer", id, "first").Scan(&volunteer)
	return volunteer, err
}

// A repeat gets the first result, over another instance and concurrently.
func TestRequestKeyRunsOnce(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 3})
	for round := range 5 {
		var wait sync.WaitGroup
		key := fmt.Sprintf("booking-%d", round)
		for i := range 6 {
			conn := connect(t, fleet.Instances[i%3].ClientAddr(), "")
			wait.Add(1)
			go func() {
				defer wait.Done()
				volunteer, err := keyed(context.Background(), conn, key, round)
				if err != nil || volunteer != "first" {
					t.Errorf("repeat %d of %s: %q, %v", i, key, volunteer, err)
				}
			}()
		}
		wait.Wait()
		must.Eq(t, 1, count(t, connect(t, fleet.Instances[0].ClientAddr(), ""), round))
	}
}

func TestRequestKeyOfAnotherRequestIsRefused(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 1})
	conn := connect(t, fleet.Instances[0].ClientAddr(), "")
	_, err := keyed(testContext(t), conn, "k", 1)
	must.NoError(t, err)
	_, err = keyed(testContext(t), conn, "k", 2)
	must.Eq(t, "SS002", sqlState(err))
	must.Eq(t, 0, count(t, conn, 2))
}

// A failed request leaves its key free.
func TestRequestKeyOfFailedRequestIsFree(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 1})
	conn := connect(t, fleet.Instances[0].ClientAddr(), "")
	exec(t, conn, "INSERT INTO shifts VALUES (1, 'there', 'open')")
	_, err := keyed(testContext(t), conn, "k", 1)
	must.Eq(t, "23505", sqlState(err))
	exec(t, conn, "DELETE FROM shifts WHERE id = 1")
	_, err = keyed(testContext(t), conn, "k", 1)
	must.NoError(t, err)
}

// A whole transaction may carry a key; its repeat runs nothing.
func TestRequestKeyOfTransaction(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 2})
	exec(t, connect(t, fleet.Instances[0].ClientAddr(), ""), "INSERT INTO shifts VALUES (1, 'a', '0')")
	swap := func(conn *pgx.Conn) string {
		exec(t, conn, "SET stackspindle.request_key = 'swap'")
		tx, err := conn.Begin(testContext(t))
		must.NoError(t, err)
		var state string
		err = tx.QueryRow(testContext(t), "UPDATE shifts SET state = state || '1' WHERE id = 1 RETURNING state").Scan(&state)
		must.NoError(t, err)
		must.NoError(t, tx.Commit(testContext(t)))
		return state
	}
	for _, inst := range fleet.Instances {
		must.Eq(t, "01", swap(connect(t, inst.ClientAddr(), "", func(c *pgx.ConnConfig) {
			c.DefaultQueryExecMode = pgx.QueryExecModeExec
		})))
	}
}

// Keyed writes through faults: none is lost, none runs twice. The counter of
// each row shows how often its increment ran.
func TestKeyedWritesThroughFaults(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 4, Ack: resource.AckReplica, SetUp: []string{"CREATE TABLE counters (id int PRIMARY KEY, n int)"}})
	const writers, perWriter = 4, 15
	entry := entryOf(t, fleet)
	addr := fleet.Instances[entry].ClientAddr()
	setup := connect(t, addr, "")
	for w := range writers {
		exec(t, setup, "INSERT INTO counters VALUES ($1, 0)", w)
	}
	var wait sync.WaitGroup
	for w := range writers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range perWriter {
				incrementUntilDone(t, addr, w, fmt.Sprintf("w%d-%d", w, i))
			}
		}()
	}
	go func() {
		fleet.Group.ByName(primaryOf(fleet)).DropAnswers(6)
		time.Sleep(100 * time.Millisecond)
		fleet.Group.ByName(primaryOf(fleet)).Kill()
	}()
	wait.Wait()
	for w := range writers {
		var n int
		must.NoError(t, connect(t, addr, "").QueryRow(testContext(t), "SELECT n FROM counters WHERE id = $1", w).Scan(&n))
		must.Eq(t, perWriter, n)
	}
}

// incrementUntilDone repeats one keyed increment until it is acknowledged.
func incrementUntilDone(t *testing.T, addr string, id int, key string) {
	deadline := time.Now().Add(patience)
	for time.Now().Before(deadline) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		conn, err := dial(ctx, addr, "")
		if err == nil {
			_, err = conn.Exec(ctx, "SET stackspindle.request_key = '"+key+"'")
		}
		if err == nil {
			_, err = conn.Exec(ctx, "UPDATE counters SET n = n + 1 WHERE id = $1", id)
		}
		if conn != nil {
			conn.Close(context.Background())
		}
		cancel()
		if err == nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Errorf("%s was never acknowledged", key)
}
