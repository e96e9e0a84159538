package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/stackspindle/stackspindle/internal/standin"
)

// standinCommand runs simulated database members and a simulated platform, so that instances
// can be tried out as separate processes.
func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run only the stand-ins for the database group and the platform, for instances started with serve",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "lag", Value: 200 * time.Millisecond, Usage: "replication lag"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			fleet, err := standin.Start(standin.Options{Lag: cmd.Duration("lag")})
			if err != nil {
				return err
			}
			defer fleet.Close()
			if _, err := fmt.Fprintf(cmd.Root().Writer, "[platform]\nendpoint = %s\nprefix = %s\n", fleet.Store.URL(), standin.Prefix); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
			defer stop()
			<-ctx.Done()
			return nil
		},
	}
}
