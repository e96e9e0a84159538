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

// serveFleet runs an instance on the users' platform until SIGTERM or SIGINT, then stops
// it gracefully. SIGHUP reloads the log level from the settings file.
func serveFleet(ctx context.Context, path string, settings *config.Settings, log *logrus.Logger) error {
	writer := logs.NewWriter(os.Stdout)
	defer writer.Close()
	log.SetOutput(writer)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: logTimeFormat})
	if level, err := logrus.ParseLevel(settings.Fleet.LogLevel); err == nil {
		log.SetLevel(level) // never fails: config.Load has validated the level
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

// logTimeFormat is the time format of log lines: RFC 3339 with milliseconds.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// reload reads the settings file again and applies its log level. The other settings affect
// listeners and names, which stay fixed for the life of the process. Reloading reports
// errors in them before the next start does.
func reload(path string, log *logrus.Logger) {
	entry := log.WithField("part", "settings").WithField("file", path)
	settings, err := config.Load(path)
	if err != nil {
		entry.WithError(err).Error("settings: the file is invalid; keeping the settings from the start of the process")
		return
	}
	if level, err := logrus.ParseLevel(settings.Fleet.LogLevel); err == nil {
		log.SetLevel(level)
	}
	entry.WithField("log_level", settings.Fleet.LogLevel).Info("settings: reloaded the log level; other settings apply at the next start")
}

func fleetSettings(s *config.Settings) fleet.Settings {
	return fleet.Settings{
		Name:          s.Name,
		DataCentre:    s.DataCentre,
		Localities:    locality.New(s.Regions),
		Capacity:      s.Capacity.Announced(),
		ClientListen:  s.ClientListen,
		PeerListen:    s.PeerListen,
		PeerAddress:   s.PeerAddress,
		ReadyListen:   s.Fleet.ReadyListen,
		MetricsListen: s.Fleet.MetricsListen,
		Grace:         s.Fleet.Grace,
		LeaseTTL:      s.Fleet.Lease,
		DrainTime:     s.Fleet.Drain,
		StoreSilence:  s.Fleet.StoreTimeout,
		MaxClients:    s.Client.MaxClients,
		FirstStart:    s.Fleet.FirstStart,
		Limits:        s.Fleet.Limits,
	}
}

func usersPlatform(s *config.Settings) fleet.Platform {
	return fleet.Platform{
		Store:    platform.NewStore(s.Fleet.StoreAddress),
		Promoter: platform.NewPromoter(s.Fleet.PromoterAddress),
		Dialer:   platform.MemberDialer{},
		Decoder:  platform.Decoder{},
		Client:   func(conn net.Conn) relay.ClientConn { return platform.NewClientConn(conn) },
		Ready:    platform.ReadyHandler,
	}
}
