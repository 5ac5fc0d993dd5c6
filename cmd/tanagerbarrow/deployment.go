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
	"tanagerbarrow/serving"
	"tanagerbarrow/settings"
	"tanagerbarrow/telemetry"
)

// The limits of the processes of a deployment.
const (
	// memoryShare is the part of the allowed memory at which the collector works
	// harder; the rest is for stacks, buffers of the kernel and the C library.
	memoryShare = 0.6
	// controlConnections bounds the connections of operators and backend servers.
	controlConnections = 2000
	// controlIdle keeps connections of backend servers between two heartbeats.
	controlIdle = 30 * time.Second
	// stopTime bounds the last answers to operators and backend servers.
	stopTime = 500 * time.Millisecond
)

// deploymentLimits are the limits of the control listener.
func deploymentLimits() settings.Limits {
	return settings.Limits{
		MaxConnections: controlConnections, MaxHeaderBytes: 64 << 10,
		ReadHeaderTimeout: 10 * time.Second, IdleTimeout: controlIdle,
	}
}

// runDeployment runs a process of a deployment until SIGTERM.
func runDeployment(role string, start func(context.Context, *fleet.Settings, zerolog.Logger, *metrics.Set) error) {
	s, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitBadSettings)
	}
	log := telemetry.NewNonBlockingLogger(os.Stdout, s.Host.Name, role)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	set := metrics.NewSet()
	go serveMetrics(s, set, log)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	go watchReload(log)
	log.Info().Str("event", "started").Int64("memory_bytes", s.MemoryBytes).Bool("first_start", s.FirstStart).Send()
	err = start(ctx, s, log, set)
	log.Info().Str("event", "stopped").AnErr("reason", err).Send()
	time.Sleep(logFlush)
	if err != nil {
		os.Exit(1)
	}
}

// logFlush lets the last lines reach standard output.
const logFlush = 20 * time.Millisecond

// watchReload logs each request to read the settings again. All that may change
// while a process runs are the seeds, which it needs at its start alone.
func watchReload(log zerolog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	for range hup {
		log.Info().Str("event", "reload").Send()
	}
}

// serveMetrics serves the metrics of the process.
func serveMetrics(s *fleet.Settings, set *metrics.Set, log zerolog.Logger) {
	e := serving.NewEcho()
	e.GET("/metrics", func(c echo.Context) error {
		c.Response().WriteHeader(http.StatusOK)
		set.WritePrometheus(c.Response())
		return nil
	})
	server, err := serving.Listen(e, netip.AddrPortFrom(s.Host.Address, s.MetricsPort), deploymentLimits())
	if err == nil {
		err = server.Serve()
	}
	log.Error().Str("event", "metrics_not_served").Err(err).Send()
}

// startGateway runs an entry.
func startGateway(ctx context.Context, s *fleet.Settings, log zerolog.Logger, set *metrics.Set) error {
	return gateway.New(gateway.Options{
		Settings: s, Dialect: platform.Dialect(), Decode: platform.DecodeConfiguration,
		ReadinessPath: platform.ReadinessPath, Log: log, Metrics: set,
	}).Run(ctx)
}

// startCoordinator runs a control host.
func startCoordinator(ctx context.Context, s *fleet.Settings, log zerolog.Logger, set *metrics.Set) error {
	c, err := coordinator.New(coordinator.Options{
		Settings: s, Decode: platform.DecodeConfiguration, Log: log, Metrics: set,
	})
	if err != nil {
		return err
	}
	e := serving.NewEcho()
	(&platform.ControlAPI{Coordinator: c, Log: log}).Register(e)
	server, err := serving.Listen(e, s.ControlAddress, deploymentLimits())
	if err != nil {
		return err
	}
	go func() {
		if err := server.Serve(); err != nil {
			log.Error().Str("event", "control_not_served").Err(err).Send()
		}
	}()
	err = c.Run(ctx)
	if failed := server.Shutdown(stopTime); failed != nil {
		log.Warn().Str("event", "control_calls_cut").Err(failed).Send()
	}
	return err
}
