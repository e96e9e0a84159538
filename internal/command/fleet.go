package command

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/config"
	"github.com/stackspindle/stackspindle/internal/fleet"
	"github.com/stackspindle/stackspindle/internal/locality"
	"github.com/stackspindle/stackspindle/internal/logs"
	"github.com/stackspindle/stackspindle/internal/relay"
	"github.com/stackspindle/stackspindle/platform"
)

// serveFleet runs an instance on the users' platform until SIGTERM or SIGINT,
// then stops it as planned. SIGHUP reads the settings file again.
func serveFleet(ctx context.Context, path string, settings *config.Settings, log *logrus.Logger) error {
	writer := logs.NewWriter(os.Stdout)
	defer writer.Close()
	log.SetOutput(writer)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: logTime})
	if level, err := logrus.ParseLevel(settings.Fleet.LogLevel); err == nil {
		log.SetLevel(level) // the settings were checked
	}
	inst, err := fleet.New(fleetSettings(settings), usersPlatform(settings), log)
	if err != nil {
		return err
	}
	if err := inst.Start(); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			inst.Stop()
			return nil
		case got := <-signals:
			if got != syscall.SIGHUP {
				inst.Stop()
				return nil
			}
			reload(path, log)
		}
	}
}

// logTime is the form of times in the log: milliseconds, by the time of day.
const logTime = "2006-01-02T15:04:05.000Z07:00"

// reload reads the settings file again and takes the log level from it. All else
// there is bound to listeners and names, which stay as they are for the life of
// the process; what is wrong with it is told before the next start.
func reload(path string, log *logrus.Logger) {
	entry := log.WithField("part", "settings").WithField("file", path)
	settings, err := config.Load(path)
	if err != nil {
		entry.WithError(err).Error("settings: the file has findings; the settings from the start stay in force")
		return
	}
	if level, err := logrus.ParseLevel(settings.Fleet.LogLevel); err == nil {
		log.SetLevel(level)
	}
	entry.WithField("log_level", settings.Fleet.LogLevel).Info("settings: read again")
}

func fleetSettings(s *config.Settings) fleet.Settings {
	return fleet.Settings{
		Name:          s.Name,
		DataCentre:    s.DataCentre,
		Localities:    locality.New(s.Regions),
		Capacity:      s.Capacity.Strength(),
		ClientListen:  s.CallerListen,
		PeerListen:    s.PeerListen,
		PeerAddress:   s.PeerAddress,
		ReadyListen:   s.Fleet.Ready,
		MetricsListen: s.Fleet.Metrics,
		Grace:         s.Fleet.Grace,
		LeaseTTL:      s.Fleet.Lease,
		DrainTime:     s.Fleet.Drain,
		StoreSilence:  s.Fleet.StoreSilence,
		MaxClients:    s.Caller.MaxClients,
		FirstStart:    s.Fleet.FirstStart,
		Limits:        s.Fleet.Limits,
	}
}

func usersPlatform(s *config.Settings) fleet.Platform {
	return fleet.Platform{
		Store:    platform.NewStore(s.Fleet.Store),
		Promoter: platform.NewPromoter(s.Fleet.Promoter),
		Dialer:   platform.MemberDialer{},
		Decoder:  platform.Decoder{},
		Client:   func(conn net.Conn) relay.ClientConn { return platform.NewClientConn(conn) },
		Ready:    platform.ReadyHandler,
	}
}
