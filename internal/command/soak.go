package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/stackspindle/stackspindle/internal/standin/soak"
)

// maxShownFindings is the maximum number of findings printed per seed, because one cause may
// produce hundreds.
const maxShownFindings = 10

// plannedSeedInterval is the distance between the seeds whose runs have planned work only,
// such as stops and reloads: the multiples of it.
const plannedSeedInterval = 5

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run instances as processes of their own before stand-ins, under faults, and check the promises",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "first", Value: 1, Usage: "the first `SEED`"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "`NUMBER` of seeds"},
			&cli.IntFlag{Name: "jobs", Value: 2, Usage: "`NUMBER` of runs at the same time"},
			&cli.IntFlag{Name: "instances", Value: 5, Usage: "`NUMBER` of processes a run"},
			&cli.IntFlag{Name: "callers", Value: 20, Usage: "`NUMBER` of callers a run"},
			&cli.DurationFlag{Name: "faults", Value: 15 * time.Second, Usage: "for how long faults are injected"},
			&cli.StringFlag{Name: "only", Usage: "inject only faults whose name contains this `TEXT`"},
			&cli.StringFlag{Name: "binary", Usage: "`PROGRAM` whose processes run; empty: this one"},
			&cli.StringFlag{Name: "dir", Usage: "`FOLDER` for logs; empty: a temporary one"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, cmd *cli.Command) error {
	dir := cmd.String("dir")
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "stackspindle-soak"); err != nil {
			return err
		}
	}
	binary := cmd.String("binary")
	if binary == "" {
		var err error
		if binary, err = os.Executable(); err != nil {
			return err
		}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex // guards failed and the output
	failed := 0
	slots := make(chan struct{}, max(1, cmd.Int("jobs")))
	for n := range cmd.Int("seeds") {
		seed := cmd.Uint64("first") + uint64(n)
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			folder := filepath.Join(dir, fmt.Sprint(seed))
			report, err := soakSeed(ctx, cmd, binary, folder, seed)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || len(report.Findings) > 0 {
				failed++
			}
			printReport(cmd, report, folder, err)
		}()
	}
	wg.Wait()
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds have findings; logs in %s", failed, cmd.Int("seeds"), dir)
	}
	return nil
}

func soakSeed(ctx context.Context, cmd *cli.Command, binary, folder string, seed uint64) (soak.Report, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return soak.Report{Seed: seed}, err
	}
	only := cmd.String("only")
	return soak.Run(ctx, soak.Options{
		Binary: binary, Dir: folder, Seed: seed, Faults: cmd.Duration("faults"),
		Instances: cmd.Int("instances"), Clients: cmd.Int("callers"), Planned: only == "" && seed%plannedSeedInterval == 0, Only: only,
	})
}

func printReport(cmd *cli.Command, report soak.Report, folder string, err error) {
	out := cmd.Root().Writer
	_, _ = fmt.Fprintf(out, "seed %d: %d faults, %d findings, %v\n", report.Seed, len(report.Faults), len(report.Findings), report.Counts)
	if err != nil {
		_, _ = fmt.Fprintf(out, "  could not be run: %v\n", err)
	}
	for _, finding := range report.Findings[:min(maxShownFindings, len(report.Findings))] {
		_, _ = fmt.Fprintf(out, "  %s\n", finding)
	}
	if len(report.Findings) > 0 {
		_, _ = fmt.Fprintf(out, "  logs in %s, faults: %v\n", folder, report.Faults)
	}
}
