package main

import (
	"fmt"
	"sync"
	"time"
)

// Properties of the scenario of planned stops.
const (
	stopInstances    = 3
	stopRounds       = 5                      // in each of them all instances are stopped and started in turn
	stopSessions     = 27                     // at the instance that is stopped: one for each slot of the members; 296 stand open before 8 machines
	statementWork    = 200 * time.Millisecond // of a statement at its member; the sheet allows up to 300 ms
	statementPause   = 20 * time.Millisecond  // between two statements of a transaction
	maxTxStatements  = 12
	beforeStop       = 1500 * time.Millisecond
	lossSlack        = 200 * time.Millisecond // loss-slack-ms
	statementTimeout = time.Second            // timeout-ms of the routes
	stopTxIdle       = 5 * time.Second        // tx-idle-ms
)

// sentRequest is a request whose connection ended without a whole answer.
type sentRequest struct {
	id   string
	took time.Duration
}

// stopInTurn stops and starts the instances in turn while sessions with open transactions use them.
// The rule LOST is broken if a request that was passed on to a member, or that was sent more than
// loss-slack-ms before, gets no whole answer.
func stopInTurn(rec *record, binary string, trouble bool) (int, error) {
	groups := []string{"db-a", "db-b", "db-c"}
	var routes []route
	for _, g := range groups {
		routes = append(routes, route{Name: "r-" + g, Host: "base-" + g, Kind: "bounded_staleness", Service: g, TimeoutMs: int(statementTimeout.Milliseconds()), AimMs: 600, StaleMs: 1500, Priority: 2})
	}
	f, err := newFleet(rec, binary, statementWork, stopTxIdle, 0, groups, routes)
	if err != nil {
		return exitNotRun, err
	}
	defer f.close()
	if err := f.startInstances(stopInstances); err != nil {
		return exitNotRun, err
	}
	broken := 0
	for n := range stopRounds * stopInstances {
		p := f.instances[n%stopInstances]
		unanswered, err := f.stopUnderLoad(p, routes, trouble)
		if err != nil {
			return exitNotRun, err
		}
		broken += f.reportLost(p, unanswered)
	}
	for name, g := range f.groups {
		for _, r := range g.Runs() {
			rec.printf("service %s: member %s ran %s", name, r.Member, r.ID)
		}
	}
	rec.printf("requests without a whole answer that the rule LOST counts: %d", broken)
	if broken > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// stopUnderLoad runs sessions at an instance, stops it and starts it again. It returns the requests
// that got no whole answer.
func (f *fleet) stopUnderLoad(p *process, routes []route, trouble bool) ([]sentRequest, error) {
	var mu sync.Mutex // guards unanswered
	var unanswered []sentRequest
	quit := make(chan struct{})
	var sessions sync.WaitGroup
	for n := range stopSessions {
		c, err := dial(f.rec, fmt.Sprintf("%s.%d.%d", p.name, p.starts, n), p.clientAddr, routes[n%len(routes)].Host)
		if err != nil {
			return nil, err
		}
		sessions.Add(1)
		go func() {
			defer sessions.Done()
			defer c.conn.Close()
			if lost, ok := c.runTransactions(quit); ok {
				mu.Lock()
				defer mu.Unlock()
				unanswered = append(unanswered, lost)
			}
		}()
	}
	time.Sleep(beforeStop)
	if !trouble {
		time.Sleep(grace / 2)
		close(quit)
		sessions.Wait()
		return unanswered, nil
	}
	f.stop(p)
	<-p.done
	f.rec.printf("%s has ended", p.name)
	close(quit)
	sessions.Wait()
	if err := f.start(p, false); err != nil {
		return nil, err
	}
	return unanswered, p.awaitReady()
}

// runTransactions runs read transactions until quit is closed or the session ends. It returns the
// request that got no whole answer, if there is one.
func (c *client) runTransactions(quit <-chan struct{}) (sentRequest, bool) {
	for {
		texts := []string{"BEGIN READ"}
		for range maxTxStatements - 2 {
			texts = append(texts, "READ thing")
		}
		for _, text := range append(texts, "COMMIT") {
			a, took := c.query(text)
			if !a.whole {
				return sentRequest{id: c.lastID(), took: took}, true
			}
			if a.failure != "" {
				return sentRequest{}, false // refused, or rolled back and told so
			}
			time.Sleep(statementPause)
		}
		select {
		case <-quit:
			return sentRequest{}, false
		default:
		}
	}
}

// reportLost records the requests that the rule LOST counts, and returns how many there are.
func (f *fleet) reportLost(p *process, unanswered []sentRequest) int {
	time.Sleep(2 * statementWork) // a member records a statement once it has run
	ran := make(map[string]string)
	for _, g := range f.groups {
		for _, r := range g.Runs() {
			ran[r.ID] = r.Member
		}
	}
	broken := 0
	for _, u := range unanswered {
		member, reached := ran[u.id]
		if !reached && u.took <= lossSlack {
			continue
		}
		broken++
		f.rec.printf("LOST at %s: request %s got no whole answer; the connection ended %d ms after it was sent; it reached member %q", p.name, u.id, u.took.Milliseconds(), member)
	}
	return broken
}
