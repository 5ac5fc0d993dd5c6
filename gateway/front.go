package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"tanagerbarrow/broker"
	"tanagerbarrow/route"
	"tanagerbarrow/verdict"
)

// The bounds of a request at the front.
const (
	// deadlineMargin is taken off the deadline so that the answer still arrives.
	deadlineMargin = 10 * time.Millisecond
	// startWait is how long a request waits for the first configuration: an entry
	// that has just started gets it within a few round trips once there is a
	// broker, and callers come back only once or twice.
	startWait = 400 * time.Millisecond
	// stoppingRetry is when a request that a stopping entry refused may come back:
	// at once, since it reaches another one.
	stoppingRetry = 20 * time.Millisecond
	// noConfigurationRetry is when an entry without a configuration is asked
	// again.
	noConfigurationRetry = 300 * time.Millisecond
)

// call is one request of a caller.
type call struct {
	id      string
	route   *route.Route
	version uint64
	service string
	request *http.Request
	body    []byte
	// held is what the body takes of the budget of held bodies, in bytes.
	held    int64
	arrived time.Time
	// deadline is when the caller or the route's timeout ends the wait.
	deadline time.Time
	// limit is the caller's own time at arrival.
	limit time.Duration
	// fingerprint identifies equal requests.
	fingerprint uint64
	// refusal is the broker's last one, or nil.
	refusal *broker.Refusal
	// waited is the time spent asking the broker.
	waited time.Duration
	// server is the identifier of the last server.
	server string
	// endHeld is how long the end of its body was held back, in nanoseconds.
	endHeld atomic.Int64
	// reached counts the backend servers that its bytes may have reached, and
	// ran those that may have run it.
	reached, ran int
}

// register adds the route of callers.
func (g *Gateway) register(e *echo.Echo) { e.Any("/*", g.serve) }

// serve answers one request of a caller.
func (g *Gateway) serve(c echo.Context) error {
	k := &call{request: c.Request(), arrived: time.Now(), id: c.Request().Header.Get(g.options.Dialect.RequestID)}
	if k.id != "" {
		c.Response().Header().Set(g.options.Dialect.RequestID, k.id)
	}
	if g.refusing.Load() {
		c.Response().Header().Set("Connection", "close")
		return g.fail(c, k, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "stopping",
			"this entry stops and begins no request"), stoppingRetry)
	}
	g.view.awaitConfiguration(c.Request().Context())
	if err := g.classify(k); err != nil {
		return g.fail(c, k, err, 0)
	}
	defer func() { g.bodies.give(k.held) }()
	if err := k.readBody(g.bodies, g.view.limits().MaxBodyBytes); err != nil {
		return g.fail(c, k, err, 0)
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), k.deadline)
	defer cancel()
	a, err := g.forward(ctx, k)
	if err != nil {
		return g.fail(c, k, err, a.retryAfter)
	}
	return g.answer(c, k, a)
}

// classify finds the route of a request and its deadline.
func (g *Gateway) classify(k *call) error {
	index := g.view.configuration()
	if index == nil {
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_configuration",
			"this entry has no configuration yet")
	}
	k.version = index.Configuration().Version
	if err := checkHeader(k.request, index.Configuration().Limits.MaxHeaderBytes); err != nil {
		return err
	}
	host, _, err := net.SplitHostPort(k.request.Host)
	if err != nil {
		host = k.request.Host
	}
	k.route = index.Find(host, k.request.URL.EscapedPath())
	if k.route == nil {
		return verdict.New(verdict.NotRun, http.StatusNotFound, "no_route", "no route for the host and path")
	}
	k.service = k.route.Choose(g.random())
	k.limit = k.route.Timeout
	if text := k.request.Header.Get(g.options.Dialect.Timeout); text != "" {
		if ms, err := strconv.ParseFloat(text, 64); err == nil && ms > 0 {
			k.limit = time.Duration(ms * float64(time.Millisecond))
		}
	}
	k.deadline = k.arrived.Add(min(k.limit, k.route.Timeout) - deadlineMargin)
	return nil
}

// statusOf returns the status for a failure. What provably did not run and may
// come back is 503; what may have run is 502 or 504.
func statusOf(e *verdict.Error) int {
	switch e.Status {
	case http.StatusNotFound, http.StatusBadRequest, http.StatusRequestEntityTooLarge,
		http.StatusRequestHeaderFieldsTooLarge:
		return e.Status
	}
	if e.Verdict == verdict.NotRun {
		return http.StatusServiceUnavailable
	}
	if e.Status == http.StatusGatewayTimeout {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// fail answers with an error of this process's own.
func (g *Gateway) fail(c echo.Context, k *call, err error, retryAfter time.Duration) error {
	e := verdict.As(err)
	status := statusOf(e)
	g.note(k, status, e)
	if status == http.StatusServiceUnavailable {
		if retryAfter <= 0 {
			retryAfter = noConfigurationRetry
		}
		c.Response().Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	return c.String(status, e.Code+"\n")
}

// answer returns a backend server's answer unchanged.
func (g *Gateway) answer(c echo.Context, k *call, a answered) error {
	h := c.Response().Header()
	for name, values := range a.header {
		h[name] = values
	}
	if k.request.Method != http.MethodHead && a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	c.Response().WriteHeader(a.status)
	_, err := c.Response().Write(a.body)
	g.note(k, a.status, nil)
	return errors.Wrap(err, "write answer")
}
