package soak

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/group"
)

// failedSeeds has seeds that failed once, with the cause. The timing of a run is not
// reproducible, so a seed only makes its cause likely; each cause has its own test.
var failedSeeds = map[uint64]string{
	106: "a replaced primary that was reachable again, in an earlier term, was selected as the primary (TestSelect)",
	107: "a carrier kept connections for transactions of an unresponsive instance (TestCarrierAbortsTransactionsOfUnresponsiveInstances)",
	122: "the same as 107: no service through a carrier after the last fault",
	146: "the same as 106, after the primary drained",
}

// faultsInTests is how long each test run injects faults. Manual runs use 15 s or
// more.
const faultsInTests = 6 * time.Second

// Runs the real program with each seed that has failed before.
func TestFailedSeeds(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "stackspindle")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/stackspindle/stackspindle/cmd/stackspindle").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	for seed, cause := range failedSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			report, err := Run(t.Context(), Options{
				Binary: binary, Dir: t.TempDir(), Seed: seed, Faults: faultsInTests, Instances: 4, Clients: 8,
			})
			must.NoError(t, err)
			must.SliceEmpty(t, report.Findings, must.Sprintf("once: %s; faults: %v", cause, report.Faults))
			must.Positive(t, report.Counts["acknowledged"])
			must.Positive(t, report.Counts["reads"])
		})
	}
}

func position(term, index uint64) group.Position { return group.Position{Term: term, Index: index} }

// newTestClient returns an unconnected client; tests pass answers to its checks.
func newTestClient(kind string) *client {
	r := &run{started: time.Now(), report: Report{Counts: make(map[string]int)}}
	return &client{run: r, kind: kind, group: &databaseGroup{outcomes: &outcomes{}}}
}

// A read is a finding if its log is too short or of an earlier term. A log of a later
// term passes, since the promotion that began the term decided which writes it has.
func TestCheckReadReportsStaleReads(t *testing.T) {
	for row, found := range map[string]bool{"2.9": false, "2.10": false, "2.8": true, "1.99": true, "3.1": false, "x": true} {
		c := newTestClient("strict")
		c.checkRead(answer{row: row, receipt: "r"}, position(2, 9))
		must.Eq(t, found, len(c.run.report.Findings) == 1, must.Sprint(row))
	}
}

func TestRequiredPosition(t *testing.T) {
	long := time.Now().Add(-time.Hour)
	for kind, want := range map[string]group.Position{"strict": position(1, 9), "bounded": position(1, 3), "own": position(1, 5)} {
		c := newTestClient(kind)
		c.floor = position(1, 5)
		c.group.outcomes.watermarks = []watermark{{at: long, position: position(1, 3)}, {at: time.Now(), position: position(1, 9)}}
		must.Eq(t, want, c.requiredPosition(), must.Sprint(kind))
	}
}
