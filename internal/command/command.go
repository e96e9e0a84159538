// Package command implements the command line of stackspindle: running an instance, checking
// its settings, the client commands for operators, the demo, and the soak test.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/stackspindle/stackspindle/internal/config"
	"github.com/stackspindle/stackspindle/internal/instance"
)

// Version is the version of the program. The build sets it.
var Version = "0.1.0-dev"

// Names of flags that several commands share.
const (
	flagConfig    = "config"
	flagLogFormat = "log-format"
	flagLogLevel  = "log-level"
)

// New returns the root command, which writes to out.
func New(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:   "stackspindle",
		Usage:  "a database proxy with session consistency, for very many tiny services: PostgreSQL, and the line protocol of its users' platform",
		Writer: out,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagLogFormat, Value: "text", Usage: "text or json"},
			&cli.StringFlag{Name: flagLogLevel, Value: "info", Usage: "debug, info, warn or error"},
		},
		Commands: append([]*cli.Command{
			demoCommand(),
			standinCommand(),
			serveCommand(),
			checkCommand(),
			versionCommand(),
			explainRequestCommand(),
			soakCommand(),
		}, operatorCommands()...),
	}
}

// newLogger creates a logger to standard error from the command line flags.
func newLogger(cmd *cli.Command) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	level, err := logrus.ParseLevel(cmd.String(flagLogLevel))
	if err != nil {
		return nil, fmt.Errorf("--%s: %w", flagLogLevel, err)
	}
	log.SetLevel(level)
	switch format := cmd.String(flagLogFormat); format {
	case "text":
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true})
	case "json":
		log.SetFormatter(&logrus.JSONFormatter{})
	default:
		return nil, fmt.Errorf("--%s: %q is neither text nor json", flagLogFormat, format)
	}
	return log, nil
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, cmd *cli.Command) error {
			_, err := fmt.Fprintln(cmd.Root().Writer, "stackspindle "+Version)
			return err
		},
	}
}

func configFlag() cli.Flag {
	return &cli.StringFlag{Name: flagConfig, Required: true, Usage: "settings `FILE`"}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "report all that is wrong with a settings file",
		Flags: []cli.Flag{configFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			path := cmd.String(flagConfig)
			if _, err := config.Load(path); err != nil {
				return err
			}
			_, err := fmt.Fprintf(cmd.Root().Writer, "%s: no findings\n", path)
			return err
		},
	}
}

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one instance",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: flagConfig, Required: true, Usage: "settings `FILE`", Sources: cli.EnvVars(envConfig),
		}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			path := cmd.String(flagConfig)
			settings, err := config.Load(path)
			if err != nil {
				return err
			}
			log, err := newLogger(cmd)
			if err != nil {
				return err
			}
			if settings.Fleet.StoreAddress != "" {
				return serveFleet(ctx, path, settings, log)
			}
			return serve(ctx, settings, log)
		},
	}
}

// envConfig is the environment variable with the path of the settings file, for use without
// the flag.
const envConfig = "STACKSPINDLE_NODE_FILE"

// serve runs an instance for PostgreSQL until SIGTERM or SIGINT, then stops it gracefully.
// A second signal cuts the graceful stop short.
func serve(ctx context.Context, settings *config.Settings, log *logrus.Logger) error {
	inst, err := instance.New(settings, log, instance.Options{})
	if err != nil {
		return err
	}
	if err := inst.Start(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	<-ctx.Done()
	stop()
	drainCtx, cancel := context.WithTimeout(context.Background(), settings.DrainTimeout)
	defer cancel()
	stopCtx, cancelStop := signal.NotifyContext(drainCtx, syscall.SIGTERM, os.Interrupt)
	defer cancelStop()
	inst.Stop(stopCtx)
	if errors.Is(drainCtx.Err(), context.DeadlineExceeded) {
		log.Warn("serve: the graceful stop reached its timeout")
	}
	return nil
}
