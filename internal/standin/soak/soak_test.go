package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/member"
	"github.com/stackspindle/stackspindle/internal/standin/membergroup"
	"github.com/stackspindle/stackspindle/internal/statement"
)

// failedSeeds has seeds that failed once, with the cause. The timing of a run is not
// reproducible, so a seed only makes its cause likely; each cause has its own test.
var failedSeeds = map[uint64]string{
	106: "a replaced primary that was reachable again, in an earlier term, was selected as the primary (TestSelect)",
	107: "a carrier kept connections for transactions of an unresponsive instance (TestCarrierAbortsTransactionsOfUnresponsiveInstances)",
	122: "the same as 107: no service through a carrier after the last fault",
	146: "the same as 106, after the primary drained",
}

// Durations of the faults in tests. Manual runs take 15 s or more.
const (
	faultsInTests     = 6 * time.Second
	standstillInTests = 20 * time.Second // enough for one standstill or two
)

// maxLogLines is how many lines of one instance's log are shown when a test has failed.
const maxLogLines = 60

// logDir returns a folder for logs. If the test fails, it shows what the instances did about changes
// of primary.
func logDir(t *testing.T) string {
	dir := t.TempDir()
	t.Cleanup(func() {
		if !t.Failed() {
			return
		}
		names, _ := filepath.Glob(filepath.Join(dir, "*.log")) // the pattern is valid
		for _, name := range names {
			content, err := os.ReadFile(name)
			if err != nil {
				t.Log(err)
				continue
			}
			lines := slices.DeleteFunc(strings.Split(string(content), "\n"), func(line string) bool { return !strings.Contains(line, `"msg":"lead: `) })
			t.Logf("%s:\n%s", filepath.Base(name), strings.Join(lines[max(0, len(lines)-maxLogLines):], "\n"))
		}
	})
	return dir
}

// buildProgram builds the real program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "stackspindle")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/stackspindle/stackspindle/cmd/stackspindle").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return binary
}

// maxDescribed is how many findings of a report are described.
const maxDescribed = 10

// describe returns the first findings of a report, what was counted, and the faults.
func describe(r Report) string {
	return fmt.Sprintf("findings: %s\ncounts: %v\nfaults: %v",
		strings.Join(r.Findings[:min(len(r.Findings), maxDescribed)], "\n"), r.Counts, r.Faults)
}

// Guards against reads of a replaced primary through a process that stood still while it was
// replaced.
func TestStandstillDuringChangesOfPrimary(t *testing.T) {
	report, err := Run(t.Context(), Options{
		Binary: buildProgram(t), Dir: logDir(t), Seed: 54, Faults: standstillInTests, Instances: 5, Clients: 40, Only: standstillFault,
	})
	must.NoError(t, err)
	must.SliceEmpty(t, report.Findings, must.Sprint(describe(report)))
	must.Positive(t, report.Counts["reads"])
}

// Runs the real program with each seed that has failed before.
func TestFailedSeeds(t *testing.T) {
	binary := buildProgram(t)
	for seed, cause := range failedSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			report, err := Run(t.Context(), Options{
				Binary: binary, Dir: logDir(t), Seed: seed, Faults: faultsInTests, Instances: 4, Clients: 8,
			})
			must.NoError(t, err)
			must.SliceEmpty(t, report.Findings, must.Sprintf("once: %s; %s", cause, describe(report)))
			must.Positive(t, report.Counts["acknowledged"])
			must.Positive(t, report.Counts["reads"])
		})
	}
}

func position(term, index uint64) group.Position { return group.Position{Term: term, Index: index} }

// newTestClient returns an unconnected client of a group with a committed write w1 at 1/1, w2 and w3.
// w3 is dropped by a promotion. Tests pass answers to the client's checks.
func newTestClient(t *testing.T, kind string) *client {
	r := &run{started: time.Now(), report: Report{Counts: make(map[string]int)}, bounds: []bound{{staleness: maxStaleness}}}
	members := membergroup.New("g", "a", "b")
	commit := func(id string) {
		conn, err := members.Dial(t.Context(), members.Entry("a"), "")
		must.NoError(t, err)
		defer conn.Close()
		_, err = conn.Run(member.Request{Statement: statement.Statement{ID: id, Kind: statement.Write, Text: id}, Deadline: time.Now().Add(time.Minute)})
		must.NoError(t, err)
	}
	commit("w1")
	commit("w2")
	members.SetLagging("b", true)
	commit("w3")
	must.NoError(t, members.Promote(t.Context(), "g", "b", "", 1))
	return &client{run: r, kind: kind, target: &instance{name: "i"}, group: &databaseGroup{members: members, outcomes: &outcomes{}}}
}

// A read is a finding if its log lacks an acknowledged write that no promotion has dropped, also if
// the log is of a later term.
func TestCheckReadReportsStaleReads(t *testing.T) {
	for row, found := range map[string]bool{"1.2": false, "1.3": false, "1.1": true, "0.99": true, "2.2": false, "2.1": true, "x": true} {
		c := newTestClient(t, "strict")
		for n, id := range []string{"w1", "w3", "w2"} {
			c.group.outcomes.acknowledge(id, position(1, []uint64{1, 3, 2}[n]))
		}
		c.checkRead(answer{row: row, receipt: "r"}, c.requirement())
		must.Eq(t, found, len(c.run.report.Findings) == 1, must.Sprint(row))
	}
}

func TestRequirement(t *testing.T) {
	for kind, want := range map[string]string{"strict": "w2", "bounded": "", "own": "w1"} {
		c := newTestClient(t, kind)
		c.writes = []acknowledgedWrite{{id: "w1", position: position(1, 1)}}
		c.group.outcomes.acknowledge("w1", position(1, 1))
		c.group.outcomes.acknowledge("w2", position(1, 2))
		required := c.requirement()
		w, _ := c.group.outcomes.missing(position(1, 0), required, func(string) bool { return false })
		must.Eq(t, want, w.id, must.Sprint(kind))
		_, missing := c.group.outcomes.missing(position(1, 2), required, func(string) bool { return false })
		must.False(t, missing, must.Sprint(kind))
	}
}

// An instance that stood still may use the bound of a former configuration.
func TestLoosestBound(t *testing.T) {
	now := time.Now()
	r := &run{bounds: []bound{{now.Add(-time.Hour), 5 * time.Second}, {now.Add(-staleConfigFor - time.Second), 2 * time.Second}, {now, time.Second}}}
	must.Eq(t, 2*time.Second, r.loosestBound())
	r.bounds[2].since = now.Add(-staleConfigFor)
	must.Eq(t, time.Second, r.loosestBound())
}
