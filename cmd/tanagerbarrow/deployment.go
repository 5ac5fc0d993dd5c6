package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"tanagerbarrow/coordinator"
	"tanagerbarrow/fleet"
	"tanagerbarrow/gateway"
	"tanagerbarrow/platform"
	"tanagerbarrow/reload"
	"tanagerbarrow/serving"
	"tanagerbarrow/settings"
	"tanagerbarrow/telemetry"
)

// Limits of the gateway and coordinator processes.
const (
	// softMemoryLimitFraction is the fraction of the configured memory that becomes
	// the soft limit of the Go runtime, near which garbage collection runs more
	// often. The rest is left for stacks, kernel buffers and the C library.
	softMemoryLimitFraction = 0.6
	// maxControlConnections limits the connections of operators and backend servers.
	maxControlConnections = 2000
	// controlIdleTimeout keeps the connection of a backend server open between two
	// heartbeats.
	controlIdleTimeout = 30 * time.Second
	// controlDescriptorShare is the part of the descriptors for them. controlMemoryDivisor sets
	// the part of the memory, one divided by it, and controlConnectionMemory is what each needs.
	controlDescriptorShare  = 0.4
	controlMemoryDivisor    = 6
	controlConnectionMemory = 28 << 10
	// maxMetricsConnections bounds the connections of those that read the metrics.
	maxMetricsConnections = 16
	// maxRefusedCallLines bounds the log lines about refused calls in a second.
	maxRefusedCallLines = 50
	// shutdownTimeout limits how long a stopping control process waits until its
	// last answers to operators and backend servers are sent.
	shutdownTimeout = 500 * time.Millisecond
)

// listenerLimits returns the limits of the control and metrics listeners.
func listenerLimits() settings.Limits {
	return settings.Limits{
		MaxConnections: maxControlConnections, MaxHeaderBytes: 64 << 10,
		ReadHeaderTimeout: 10 * time.Second, IdleTimeout: controlIdleTimeout,
	}
}

// controlConnections returns the number of connections of operators and backend servers on a
// host.
func controlConnections(s *fleet.Settings) int {
	n := maxControlConnections
	if s.MemoryBytes > 0 {
		n = min(n, int(s.MemoryBytes/controlMemoryDivisor/controlConnectionMemory))
	}
	if s.MaxDescriptors > 0 {
		n = min(n, int(controlDescriptorShare*float64(s.MaxDescriptors)))
	}
	return n
}

// runDeployment loads the settings of the deployment's platform and runs a gateway
// or coordinator process until SIGINT or SIGTERM.
func runDeployment(role string, start func(context.Context, *fleet.Settings, followSeeds, zerolog.Logger, *metrics.Set) error) {
	s, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitBadSettings)
	}
	log := telemetry.NewNonBlockingLogger(os.Stdout, s.Host.Name, role)
	debug.SetMemoryLimit(int64(softMemoryLimitFraction * float64(s.MemoryBytes)))
	set := metrics.NewSet()
	go serveMetrics(s, set, log)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log.Info().Str("event", "started").Int64("memory_bytes", s.MemoryBytes).Bool("first_start", s.FirstStart).Send()
	err = start(ctx, s, newFollowSeeds(ctx, s, log), log, set)
	log.Info().Str("event", "stopped").AnErr("reason", err).Send()
	time.Sleep(logFlushDelay)
	if err != nil {
		os.Exit(1)
	}
}

// logFlushDelay is the time for the non-blocking logger to write its last lines to
// standard output before the process exits.
const logFlushDelay = 20 * time.Millisecond

// followSeeds calls setSeeds with the peer addresses of the seeds whenever the settings file
// names others, until the process ends.
type followSeeds func(setSeeds func([]netip.AddrPort))

// newFollowSeeds returns a followSeeds that also reads the file after each SIGHUP.
func newFollowSeeds(ctx context.Context, s *fleet.Settings, log zerolog.Logger) followSeeds {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return func(setSeeds func([]netip.AddrPort)) {
		w := &reload.Watcher{
			Read: platform.ReadSettings, Parse: platform.ParseSettings, Current: s, Log: log,
			SetSeeds: func(next *fleet.Settings) { setSeeds(next.SeedPeers()) },
		}
		go w.Run(ctx, hup)
	}
}

// serveMetrics serves the metrics of the process on its metrics port. It returns only
// if that fails, and logs the error.
func serveMetrics(s *fleet.Settings, set *metrics.Set, log zerolog.Logger) {
	e := serving.NewEcho()
	e.GET("/metrics", func(c echo.Context) error {
		c.Response().WriteHeader(http.StatusOK)
		set.WritePrometheus(c.Response())
		return nil
	})
	server, err := serving.Listen(e, netip.AddrPortFrom(s.Host.Address, s.MetricsPort), listenerLimits())
	if err == nil {
		server.Guarded(serving.NewGuard(serving.GuardOptions{Name: "metrics", MaxConnections: maxMetricsConnections, Log: log, Metrics: set}))
		err = server.Serve()
	}
	log.Error().Str("event", "metrics_not_served").Err(err).Send()
}

// startGateway runs an entry process until ctx is canceled.
func startGateway(ctx context.Context, s *fleet.Settings, follow followSeeds, log zerolog.Logger, set *metrics.Set) error {
	g := gateway.New(gateway.Options{
		Settings: s, Dialect: platform.Dialect(), Decode: platform.DecodeConfiguration,
		ReadinessPath: platform.ReadinessPath, Log: log, Metrics: set,
	})
	follow(g.SetSeeds)
	return g.Run(ctx)
}

// startCoordinator runs a control process and its control API until ctx is canceled.
func startCoordinator(ctx context.Context, s *fleet.Settings, follow followSeeds, log zerolog.Logger, set *metrics.Set) error {
	c, err := coordinator.New(coordinator.Options{
		Settings: s, Decode: platform.DecodeConfiguration, Log: log, Metrics: set,
	})
	if err != nil {
		return err
	}
	e := serving.NewEcho()
	bodies := platform.NewBodies(s.MemoryBytes)
	refusals := telemetry.NewRateLimitedLogger(log, "refused_calls", maxRefusedCallLines)
	(&platform.ControlAPI{Coordinator: c, Bodies: bodies, Log: refusals}).Register(e)
	server, err := serving.Listen(e, s.ControlAddress, listenerLimits())
	if err != nil {
		return err
	}
	guard := serving.NewGuard(serving.GuardOptions{
		Name: "control", MaxConnections: controlConnections(s), Memory: bodies, Log: log, Metrics: set,
	})
	bodies.Reclaim = guard.Reclaim
	server.Guarded(guard)
	go func() {
		if err := server.Serve(); err != nil {
			log.Error().Str("event", "control_not_served").Err(err).Send()
		}
	}()
	follow(c.SetSeeds)
	err = c.Run(ctx)
	if shutdownErr := server.Shutdown(shutdownTimeout); shutdownErr != nil {
		log.Warn().Str("event", "control_calls_cut").Err(shutdownErr).Send()
	}
	return err
}
