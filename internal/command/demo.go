package command

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/stackspindle/stackspindle/internal/standin"
)

// demoInstances is the number of instances that the demo runs.
const demoInstances = 3

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run three instances with stand-ins for the database group and the platform, on loopback",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "listen-base", Value: 6432, Usage: "first of the `PORT`s for callers"},
			&cli.StringFlag{Name: "operator", Value: "127.0.0.1:8432", Usage: "`ADDRESS` for operators"},
			&cli.DurationFlag{Name: "lag", Value: demoLag, Usage: "replication lag"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			log, err := newLogger(cmd)
			if err != nil {
				return err
			}
			base := cmd.Int("listen-base")
			fleet, err := standin.Start(standin.Options{
				Instances:  demoInstances,
				Lag:        cmd.Duration("lag"),
				ClientAddr: func(i int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(base+i)) },
				Operator:   cmd.String("operator"),
				Log:        log,
			})
			if err != nil {
				return err
			}
			defer fleet.Close()
			if _, err := fleet.AwaitOwner(demoStartTimeout); err != nil {
				return err
			}
			if _, err := fmt.Fprintf(cmd.Root().Writer, demoText, base, base, base+1, base, cmd.String("operator")); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
			defer stop()
			<-ctx.Done()
			return nil
		},
	}
}

// demoLag is the default replication lag of the stand-in's replicas. It is long enough to
// be noticeable in an interactive session.
const demoLag = 200 * time.Millisecond

// demoStartTimeout is the timeout for the start of the demo, which takes a fraction of this time.
const demoStartTimeout = 10 * time.Second

const demoText = `
Three instances serve the database "roster" (a primary and two replicas). Try:

  psql "host=127.0.0.1 port=%d user=roster dbname=roster"
      INSERT INTO shifts VALUES (1, 'amal', 'open');
      BEGIN; UPDATE shifts SET state = 'confirmed' WHERE id = 1; COMMIT;

Write on one port and read on another, as the same session:

  export PGOPTIONS="-c stackspindle.session=amal"
  psql "host=127.0.0.1 port=%d user=roster dbname=roster" -c "INSERT INTO shifts VALUES (2, 'salma', 'open')"
  psql "host=127.0.0.1 port=%d user=roster dbname=roster" -c "SELECT * FROM shifts"

  psql "host=127.0.0.1 port=%d user=roster dbname=roster" -c "SET stackspindle.explain = on" -c "SELECT count(*) FROM shifts"

Operators:  stackspindle --help   (they reach %s by default)

End with Ctrl-C.
`
