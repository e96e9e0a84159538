package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/stackspindle/stackspindle/internal/standin/membergroup"
)

// Properties of the scenario of a crash in a service with synchronous replicas.
const (
	syncInstances = 3
	syncWriters   = 6
	syncWork      = 8 * time.Millisecond // of a statement at its member
	syncTimeout   = time.Second          // timeout-ms of the route
	syncTxIdle    = 5 * time.Second      // tx-idle-ms
	writePause    = 20 * time.Millisecond

	beforeDrain = 2 * time.Second // from the first write until a replica says draining
	beforeLag   = time.Second     // from then until the other replica receives nothing more
	beforeCrash = time.Second     // from then until the primary crashes
	afterCrash  = 4 * time.Second // until the end of the run
)

// syncCrash runs writers on a service with sync-replicas 1. One replica says draining, as at a
// planned end, and serves on; the other one receives nothing for a while, and the primary crashes
// meanwhile. The rule LOST is broken if the member that is promoted lacks an acknowledged write. With
// TROUBLE=lag no replica drains, and with TROUBLE=drain none lags; the primary crashes in both.
func syncCrash(rec *record, binary string, trouble bool) (int, error) {
	const service = "db-a"
	routes := []route{{Name: "r-" + service, Host: "base-" + service, Kind: "read_your_writes", Service: service, TimeoutMs: int(syncTimeout.Milliseconds()), AimMs: 400, StaleMs: 2500, Priority: 2}}
	f, err := newFleet(rec, binary, syncWork, syncTxIdle, 1, []string{service}, routes)
	if err != nil {
		return exitNotRun, err
	}
	defer f.close()
	if err := f.startInstances(syncInstances); err != nil {
		return exitNotRun, err
	}
	g := f.groups[service]
	primary, leaving, behind := memberID(service, 0), memberID(service, 1), memberID(service, 2)

	var mu sync.Mutex // guards acknowledged
	var acknowledged []string
	quit := make(chan struct{})
	var writers sync.WaitGroup
	for n := range syncWriters {
		writers.Add(1)
		go func() {
			defer writers.Done()
			f.write(n, routes[0].Host, quit, func(id string) {
				mu.Lock()
				defer mu.Unlock()
				acknowledged = append(acknowledged, id)
			})
		}()
	}
	time.Sleep(beforeDrain)
	if trouble && os.Getenv("TROUBLE") != "lag" {
		rec.printf("member %s says draining, and serves on", leaving)
		f.putMember(service, 1, "draining")
	}
	time.Sleep(beforeLag)
	if trouble && os.Getenv("TROUBLE") != "drain" {
		rec.printf("member %s receives nothing from now on", behind)
		g.SetLagging(behind, true)
	}
	time.Sleep(beforeCrash)
	if trouble {
		rec.printf("member %s, the primary, crashes", primary)
		g.SetReachability(primary, membergroup.Down)
		time.AfterFunc(entryExpiry, func() { f.store.Delete("servers/" + primary) })
	}
	time.Sleep(afterCrash)
	close(quit)
	writers.Wait()
	return f.reportDropped(g, acknowledged), nil
}

// write writes through one instance until quit is closed, and reports the IDs of acknowledged writes.
func (f *fleet) write(n int, database string, quit <-chan struct{}, acknowledge func(id string)) {
	p := f.instances[n%len(f.instances)]
	var c *client
	for session := 0; ; {
		select {
		case <-quit:
			return
		case <-time.After(writePause):
		}
		if c == nil {
			var err error
			session++
			if c, err = dial(f.rec, fmt.Sprintf("%s.%d.%d", p.name, n, session), p.clientAddr, database); err != nil {
				f.rec.printf("%v", err)
				c = nil
				continue
			}
		}
		a, _ := c.query("WRITE thing data")
		if !a.whole {
			c.conn.Close()
			c = nil
			continue
		}
		if a.failure == "" {
			acknowledge(c.lastID())
		}
	}
}

// reportDropped records the acknowledged writes that the promoted member lacks, and returns the exit
// code.
func (f *fleet) reportDropped(g *membergroup.Group, acknowledged []string) int {
	dropped := 0
	commits := g.Commits()
	for _, id := range acknowledged {
		commit := commits[id]
		f.rec.printf("acknowledged: %s, committed at member %s as %s", id, commit.Member, commit.Position)
		if commit.Dropped {
			dropped++
			f.rec.printf("LOST: the member that was promoted lacks %s", id)
		}
	}
	f.rec.printf("acknowledged writes: %d, of these missing at the member that was promoted: %d", len(acknowledged), dropped)
	if dropped > 0 {
		return exitBroken
	}
	return exitHeld
}
