package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"tanagerbarrow/backend"
	"tanagerbarrow/bodybuf"
	"tanagerbarrow/boottime"
	"tanagerbarrow/broker"
	"tanagerbarrow/fleet"
	"tanagerbarrow/protocol"
	"tanagerbarrow/route"
	"tanagerbarrow/serving"
	"tanagerbarrow/settings"
	"tanagerbarrow/telemetry"
	"tanagerbarrow/verdict"
)

// The limits of callers' connections.
const (
	// maxCallerConnections leaves file descriptors for connections to backend
	// servers.
	maxCallerConnections = 2500
	// maxCallerHeaderBytes bounds a request's header, in bytes, even if the
	// configuration declares a higher limit.
	maxCallerHeaderBytes = 256 << 10
	// defaultHeaderTimeout bounds the time in which a header arrives, unless the
	// configuration declares a limit.
	defaultHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout is how long callers' idle connections are kept, unless the
	// configuration declares a limit. It is longer than callers leave connections
	// idle, so that the entry is not the side that closes them.
	defaultIdleTimeout = 2 * time.Minute
)

// Options configure a [Gateway].
type Options struct {
	// Settings are the settings of the process.
	Settings *fleet.Settings
	// Dialect describes the HTTP conventions of callers and backend servers.
	Dialect backend.Dialect
	// Decode parses a configuration.
	Decode func([]byte) (*route.Configuration, error)
	// ReadinessPath is the HTTP path of the readiness probe.
	ReadinessPath string
	// Log receives the log lines of the entry.
	Log zerolog.Logger
	// Metrics receives counters and histograms.
	Metrics *metrics.Set
}

// Gateway is an entry.
type Gateway struct {
	options   Options
	view      *view
	session   *session
	checker   *checker
	exchanger *backend.Exchanger
	// relayExchanger sends requests to other entries, which relay them.
	relayExchanger *backend.Exchanger
	// path tells whether this entry reaches the backend servers.
	path *pathMonitor
	// heldBodies limits the memory of all bodies that are held.
	heldBodies *bodybuf.Budget
	// responseSizes limits the length of responses.
	responseSizes *responseSizes
	// pacer keeps bodies from filling the host's link.
	pacer     *linkPacer
	readiness *serving.Readiness
	// alone chooses servers while there is no broker.
	alone *aloneChooser
	// accountMeters counts the requests of client accounts.
	accountMeters *accountMeters
	// pauses detects that the process was paused.
	pauses *pauseDetector
	log    zerolog.Logger
	// successLog and failureLog pass on a bounded number of lines a second.
	successLog, failureLog zerolog.Logger
	placedAlone            *metrics.Counter
	// requests are those in progress, and estimates what is expected of them.
	requests  *requestsInProgress
	estimates *requestEstimates
	// refuseRequests is set while the process stops and starts no more requests.
	refuseRequests atomic.Bool
}

// The limits of log lines about requests, per process and second. Failures get
// the larger share.
const (
	maxSuccessLinesPerSecond = 20
	maxFailureLinesPerSecond = 200
)

// The reasons for not being ready.
const (
	reasonStarting = "no configuration"
	reasonStopping = "stopping"
)

// New returns an entry that is not running yet.
func New(o Options) *Gateway {
	g := &Gateway{
		options: o, exchanger: backend.NewExchangerWithDialect(o.Dialect), log: o.Log,
		readiness: serving.NewReadiness(reasonStarting), heldBodies: newHeldBodies(o.Settings.MemoryBytes),
		responseSizes: newResponseSizes(o.Settings.LinkBytesPerSecond), pacer: newLinkPacer(o.Settings.LinkBytesPerSecond),
		successLog:  telemetry.NewRateLimitedLogger(o.Log, "successes", maxSuccessLinesPerSecond),
		failureLog:  telemetry.NewRateLimitedLogger(o.Log, "failures", maxFailureLinesPerSecond),
		placedAlone: o.Metrics.GetOrCreateCounter("tanagerbarrow_placed_alone_total"),
	}
	g.accountMeters = newAccountMeters(o.Metrics)
	g.requests, g.estimates = newRequestsInProgress(func() float64 { return g.pacer.rate() }), newRequestEstimates()
	g.view = newView(o.Decode, o.Settings.Regions)
	g.session = newSession(o.Settings, g.view, o.Log)
	g.session.registerMetrics(o.Metrics)
	g.pauses = newPauseDetector(boottime.Now, g.handlePause)
	g.checker = newChecker(g.view, o.Dialect, o.Settings.Bounds.HealthChecksPerSecond, g.session.reportSamples)
	g.checker.recordLimit = g.recordLimit
	g.checker.onSend = g.countCheck
	g.checker.onResponse = func(s *server, status int, report backend.Report) {
		g.observeBackoff(s, status, report, sendsCheck)
		g.observeLeaving(s, status, report, sendsCheck)
	}
	g.relayExchanger = newRelayExchanger(o.Dialect)
	g.path = newPathMonitor(g.view, o.Settings.Host.AvailabilityZone, o.Log)
	g.path.probe = g.checker.probe
	// Requests can use the connections of these checks.
	g.path.check = func(ctx context.Context, s *server) { g.checker.checkPath(ctx, g.exchanger, s) }
	g.path.onChange = func(lost bool) {
		g.session.changePath(func(p *protocol.Path) { p.Lost = lost })
	}
	g.checker.path = g.path
	g.alone = &aloneChooser{
		view: g.view, zone: o.Settings.Host.AvailabilityZone,
		// The request that follows reuses the connection.
		readLoad: func(ctx context.Context, s *server) (checkResponse, error) {
			res, err := g.checker.requestHealth(ctx, g.exchanger, s, false)
			limit := g.view.limitReport(s, res.report, broker.LimitFromChecks, err == nil)
			g.recordLimit(s, limit, broker.LimitFromChecks, time.Now())
			return res, err
		},
	}
	g.session.assignChecks = g.checker.assign
	g.session.onView = g.pauses.viewRenewed
	g.session.onStateChange = g.updateReadiness
	return g
}

// updateReadiness makes the process ready once it has a configuration.
func (g *Gateway) updateReadiness() {
	if g.view.configuration() != nil {
		g.readiness.Set(reasonStarting, false)
		g.accountMeters.retain(g.view.configuration().Accounts())
	}
}

// handlePause ends the session, which the broker has ended too, so that the next one
// brings the whole view.
func (g *Gateway) handlePause(paused time.Duration) {
	g.log.Warn().Str("event", "paused").Dur("for_ms", paused).Send()
	g.session.closeAfterPause(paused)
}

// SetSeeds replaces the peer addresses of the seeds. It may be called while the entry runs.
func (g *Gateway) SetSeeds(seeds []netip.AddrPort) { g.session.controlHosts.setSeeds(seeds) }

// random returns a random number from 0 to 1.
func (g *Gateway) random() float64 { return rand.Float64() }

// Run serves requests until ctx ends and then stops gracefully. It returns the
// error of a listener that can't be opened or fails.
func (g *Gateway) Run(ctx context.Context) error {
	s := g.options.Settings
	limits := settings.Limits{
		MaxConnections: maxCallerConnections, MaxHeaderBytes: maxCallerHeaderBytes,
		ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
	}
	e := serving.NewEcho()
	g.registerRoutes(e)
	callerServer, err := serving.Listen(e, s.CallerAddress, limits, serving.ReceiveBuffer(callerReceiveBuffer(s.LinkBytesPerSecond)))
	if err != nil {
		return err
	}
	callerServer.UseTimeouts(g.view.timeouts)
	guards := g.newGuards()
	callerServer.Guarded(guards.callers)
	readinessRoutes := serving.NewEcho()
	readinessRoutes.GET(g.options.ReadinessPath, g.handleReadiness)
	readinessServer, err := serving.Listen(readinessRoutes, s.ReadinessAddress, limits)
	if err != nil {
		return err
	}
	readinessServer.Guarded(guards.probes)
	relayServer, err := g.listenForRelays(guards.relays)
	if err != nil {
		return err
	}
	backgroundCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go g.session.run(backgroundCtx)
	go g.pauses.run(backgroundCtx)
	go g.checker.run(backgroundCtx)
	go g.path.run(backgroundCtx)
	go g.runCurrency(backgroundCtx)
	serveErrors := make(chan error, 3)
	if relayServer != nil {
		go func() { serveErrors <- relayServer.Serve() }()
	}
	go func() { serveErrors <- callerServer.Serve() }()
	go func() { serveErrors <- readinessServer.Serve() }()
	select {
	case err := <-serveErrors:
		return err
	case <-ctx.Done():
	}
	return g.stop(callerServer, relayServer)
}

// handleReadiness responds to the readiness probe: 200 if the process accepts
// connections, else 503.
func (g *Gateway) handleReadiness(c echo.Context) error {
	if g.readiness.Ready() {
		return c.NoContent(http.StatusOK)
	}
	return c.NoContent(http.StatusServiceUnavailable)
}

// recordRequest logs a finished request and updates the metrics.
func (g *Gateway) recordRequest(k *callerRequest, status int, failure *verdict.Error) {
	took := time.Since(k.arrived)
	routeName := ""
	if k.route != nil {
		routeName = k.route.Name
	}
	line := g.failureLog.Warn()
	if failure == nil && status < http.StatusInternalServerError {
		line = g.successLog.Info()
	}
	line = line.Str("event", "request_ended").Str("request_id", logText(k.id)).Str("route", routeName).Str("service", k.service).
		Uint64("config_version", k.version).Int("status", status).Str("server", k.lastServerID).Int("tries", k.attemptsReached).
		Dur("took_ms", took).Dur("asked_ms", k.brokerWait).Dur("limit_ms", k.callerTimeout).Uint64("broker_term", g.view.currentTerm())
	if k.account != nil {
		line = line.Str("account", k.account.Name)
	}
	if k.lastRelay != "" {
		line = line.Str("relay", k.lastRelay)
	}
	if held := k.endHeldNanos.Load(); held > 0 {
		line = line.Dur("end_held_ms", time.Duration(held))
	}
	if r := k.lastRefusal; r != nil {
		line = line.Int("waiting", r.Waiting).Int("busy", r.Busy).Int("slots", r.Slots).Int("retry_ms", r.RetryMillis)
	}
	code := ""
	if failure != nil {
		code = failure.Code
		line = line.Str("verdict", failure.Verdict.String()).Str("reason", code).Err(failure)
	}
	line.Send()
	g.accountMeters.count(k.account, requestResult(status, code))
	g.options.Metrics.GetOrCreateHistogram(
		fmt.Sprintf("tanagerbarrow_request_seconds{service=%q}", k.service)).Update(took.Seconds())
	g.options.Metrics.GetOrCreateCounter(
		fmt.Sprintf("tanagerbarrow_requests_total{service=%q,status=\"%d\",reason=%q}", k.service, status, code)).Inc()
}

// logFailedAttempt logs an attempt unless its outcome is [broker.Answered].
func (g *Gateway) logFailedAttempt(k *callerRequest, a *attempt, outcome broker.Outcome, err error, took time.Duration) {
	if outcome == broker.Answered {
		return
	}
	g.failureLog.Warn().Str("event", "try_failed").Str("request_id", logText(k.id)).Str("server", a.server.ID).
		Str("address", a.server.Address).Uint8("outcome", uint8(outcome)).Bool("alone", a.grantID == 0).Str("relay", a.relay).
		Dur("took_ms", took).Err(err).Send()
}
