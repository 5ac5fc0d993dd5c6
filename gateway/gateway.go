package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"tanagerbarrow/backend"
	"tanagerbarrow/broker"
	"tanagerbarrow/fleet"
	"tanagerbarrow/route"
	"tanagerbarrow/serving"
	"tanagerbarrow/settings"
	"tanagerbarrow/telemetry"
	"tanagerbarrow/verdict"
)

// The limits of callers' connections.
const (
	// maxCallerConnections leaves file descriptors for backend servers.
	maxCallerConnections = 2500
	// maxCallerHeader bounds a request's header, in bytes, whatever is declared.
	maxCallerHeader = 256 << 10
	// headerTimeout bounds the arrival of a header until a limit is declared.
	headerTimeout = 10 * time.Second
	// idleTimeout keeps idle connections of callers until a limit is declared;
	// longer than callers leave them idle, so that the entry is not the one to
	// close.
	idleTimeout = 2 * time.Minute
)

// The times of a stop, from its signal.
const (
	// leaveRotation is how long new connections may still come: the platform
	// takes a host out after two questions a second apart.
	leaveRotation = 2300 * time.Millisecond
	// lastRequest is when requests that still come on kept connections are refused
	// at once: what is begun later might not be finished in the grace period.
	lastRequest = 2800 * time.Millisecond
	// drainMargin is left to what is in progress when the connections that are
	// still idle are closed; callers have had time to use each of them once.
	drainMargin = 300 * time.Millisecond
	// stopMargin is left between the last answer and the end of the grace period.
	stopMargin = 700 * time.Millisecond
)

// Options configure a [Gateway].
type Options struct {
	// Settings are the process's.
	Settings *fleet.Settings
	// Dialect is how callers and backend servers speak.
	Dialect backend.Dialect
	// Decode reads a configuration.
	Decode func([]byte) (*route.Configuration, error)
	// ReadinessPath answers whether the process takes connections.
	ReadinessPath string
	// Log receives the decisions.
	Log zerolog.Logger
	// Metrics receives counters and histograms.
	Metrics *metrics.Set
}

// Gateway is one entry.
type Gateway struct {
	options   Options
	view      *view
	session   *session
	checker   *checker
	exchanger *backend.Exchanger
	// bodies is the budget of the bodies that are held.
	bodies    *bodyMemory
	readiness *serving.Readiness
	log       zerolog.Logger
	// successes and failures pass on a bounded number of lines.
	successes, failures zerolog.Logger
	alone               *metrics.Counter
	// refusing says that the process stops and begins nothing more.
	refusing atomic.Bool
}

// The bounds of the lines about requests of one process: failures come before
// successes.
const (
	successLines = 20
	failureLines = 200
)

// notReady is the reason for not being ready.
const (
	reasonStarting = "no configuration"
	reasonStopping = "stopping"
)

// New returns an entry.
func New(o Options) *Gateway {
	g := &Gateway{
		options: o, exchanger: backend.NewExchangerOf(o.Dialect), log: o.Log,
		readiness: serving.NewReadiness(reasonStarting), bodies: newBodyMemory(o.Settings.MemoryBytes),
		successes: telemetry.NewBounded(o.Log, "successes", successLines),
		failures:  telemetry.NewBounded(o.Log, "failures", failureLines),
		alone:     o.Metrics.GetOrCreateCounter("tanagerbarrow_placed_alone_total"),
	}
	g.view = newView(o.Decode, o.Settings.Regions)
	g.session = newSession(o.Settings, g.view, o.Log)
	g.checker = newChecker(g.view, o.Dialect, o.Settings.Bounds.HealthChecksPerSecond, g.session.report)
	g.session.checks = g.checker.assign
	g.session.connected = g.updateReadiness
	return g
}

// updateReadiness makes the process ready once it has a configuration.
func (g *Gateway) updateReadiness() {
	if g.view.configuration() != nil {
		g.readiness.Set(reasonStarting, false)
	}
}

// random returns a number from 0 to 1.
func (g *Gateway) random() float64 { return rand.Float64() }

// Run serves until ctx ends, and then finishes what is in progress.
func (g *Gateway) Run(ctx context.Context) error {
	s := g.options.Settings
	limits := settings.Limits{
		MaxConnections: maxCallerConnections, MaxHeaderBytes: maxCallerHeader,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
	e := serving.NewEcho()
	g.register(e)
	front, err := serving.Listen(e, s.CallerAddress, limits)
	if err != nil {
		return err
	}
	front.UseTimeouts(g.view.timeouts)
	status := serving.NewEcho()
	status.GET(g.options.ReadinessPath, g.ready)
	ready, err := serving.Listen(status, s.ReadinessAddress, limits)
	if err != nil {
		return err
	}
	life, end := context.WithCancel(context.Background())
	defer end()
	go g.session.run(life)
	go g.checker.run(life)
	failed := make(chan error, 2)
	go func() { failed <- front.Serve() }()
	go func() { failed <- ready.Serve() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return g.stop(front)
}

// ready answers whether the process takes connections.
func (g *Gateway) ready(c echo.Context) error {
	if g.readiness.Ready() {
		return c.NoContent(http.StatusOK)
	}
	return c.NoContent(http.StatusServiceUnavailable)
}

// stop leaves the rotation, lets callers close, and finishes what is left
// within the grace period.
func (g *Gateway) stop(front *serving.Server) error {
	grace := g.options.Settings.Bounds.GracePeriod
	begun := time.Now()
	g.readiness.Set(reasonStopping, true)
	g.log.Info().Str("event", "stopping").Dur("grace", grace).Send()
	time.Sleep(min(leaveRotation, grace/2))
	front.CloseKeptAlive(true)
	time.Sleep(max(0, min(lastRequest, grace/2)-time.Since(begun)))
	g.refusing.Store(true)
	front.Drain(grace - stopMargin - drainMargin - time.Since(begun))
	return front.Shutdown(grace - stopMargin - time.Since(begun))
}

// note logs and counts the end of a request.
func (g *Gateway) note(k *call, status int, failure *verdict.Error) {
	took := time.Since(k.arrived)
	name := ""
	if k.route != nil {
		name = k.route.Name
	}
	line := g.failures.Warn()
	if failure == nil && status < http.StatusInternalServerError {
		line = g.successes.Info()
	}
	line = line.Str("event", "request_ended").Str("request_id", k.id).Str("route", name).Str("service", k.service).
		Uint64("config_version", k.version).Int("status", status).Str("server", k.server).Int("tries", k.reached).
		Dur("took_ms", took).Dur("asked_ms", k.waited).Dur("limit_ms", k.limit).Uint64("broker_term", g.view.currentTerm())
	if held := k.endHeld.Load(); held > 0 {
		line = line.Dur("end_held_ms", time.Duration(held))
	}
	if r := k.refusal; r != nil {
		line = line.Int("waiting", r.Waiting).Int("busy", r.Busy).Int("slots", r.Slots).Int("retry_ms", r.RetryMillis)
	}
	code := ""
	if failure != nil {
		code = failure.Code
		line = line.Str("verdict", failure.Verdict.String()).Str("reason", code).Err(failure)
	}
	line.Send()
	g.options.Metrics.GetOrCreateHistogram(
		fmt.Sprintf("tanagerbarrow_request_seconds{service=%q}", k.service)).Update(took.Seconds())
	g.options.Metrics.GetOrCreateCounter(
		fmt.Sprintf("tanagerbarrow_requests_total{service=%q,status=\"%d\",reason=%q}", k.service, status, code)).Inc()
}

// noteTry logs a try that failed.
func (g *Gateway) noteTry(k *call, t *try, o broker.Outcome, err error, took time.Duration) {
	if o == broker.Answered {
		return
	}
	g.failures.Warn().Str("event", "try_failed").Str("request_id", k.id).Str("server", t.server.ID).
		Str("address", t.server.Address).Uint8("outcome", uint8(o)).Bool("alone", t.grant == 0).
		Dur("took_ms", took).Err(err).Send()
}
