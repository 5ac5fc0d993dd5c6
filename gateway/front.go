package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"tanagerbarrow/account"
	"tanagerbarrow/bodybuf"
	"tanagerbarrow/broker"
	"tanagerbarrow/route"
	"tanagerbarrow/serving"
	"tanagerbarrow/verdict"
)

// The times of a caller's request.
const (
	// deadlineMargin is subtracted from the deadline so that the response still
	// reaches the caller in time.
	deadlineMargin = 10 * time.Millisecond
	// firstConfigurationWait is how long a request waits for the first
	// configuration: an entry that has just started receives it within a few round
	// trips once there is a broker, and callers retry only once or twice.
	firstConfigurationWait = 400 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of a stopping entry's refusal. It is
	// short, since the retry reaches another entry.
	stoppingRetryAfter = 20 * time.Millisecond
	// defaultRetryAfter is the Retry-After of a refusal for which the broker gave
	// no time, for example while the entry has no configuration.
	defaultRetryAfter = 300 * time.Millisecond
)

// callerRequest is the state of one request of a caller.
type callerRequest struct {
	id string
	// route is the request's route as it holds for the caller's client account.
	route *route.Route
	// account is the caller's client account, or nil, and key the digest of the key that it
	// presented.
	account *account.Account
	key     account.Digest
	// relayedAccount is the name of the client account of a request that another entry relays.
	relayedAccount string
	version        uint64
	service        string
	request        *http.Request
	body           *bodybuf.Buffer
	// held are the bodies whose memory is released at the end of the request: its
	// own and those of its responses.
	held    []*bodybuf.Buffer
	arrived time.Time
	// deadline is when the earlier of the caller's and the route's timeout ends,
	// less deadlineMargin.
	deadline time.Time
	// callerTimeout is the timeout that the caller sent, or the route's if it sent
	// none.
	callerTimeout time.Duration
	// fingerprint is a hash that is the same for equal requests.
	fingerprint uint64
	// lastRefusal is the broker's refusal of the last ask, or nil.
	lastRefusal *broker.Refusal
	// brokerWait is the total time spent waiting for the broker's replies.
	brokerWait time.Duration
	// progress is how far the request has come.
	progress progress
	// lastServerID identifies the backend server of the last attempt.
	lastServerID string
	// lastRelay is the address of the entry that relayed the last attempt; empty if this
	// entry sent it itself.
	lastRelay string
	// endHeldNanos is how long the end of the body was held back, in nanoseconds.
	endHeldNanos atomic.Int64
	// attemptsReached counts the attempts whose bytes may have reached a backend
	// server, and attemptsRun those that a backend server may have run.
	attemptsReached, attemptsRun int
}

// registerRoutes adds the HTTP route of callers' requests.
func (g *Gateway) registerRoutes(e *echo.Echo) { e.Any("/*", g.serve) }

// serve handles one request of a caller.
func (g *Gateway) serve(c echo.Context) error {
	k := &callerRequest{request: c.Request(), arrived: time.Now(), id: c.Request().Header.Get(g.options.Dialect.RequestID)}
	if k.id != "" {
		c.Response().Header().Set(g.options.Dialect.RequestID, k.id)
	}
	if g.refuseRequests.Load() {
		return g.writeError(c, k, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeStopping,
			"this entry is stopping and starts no more requests"), 0)
	}
	g.pauses.awaitView(c.Request().Context())
	g.view.awaitConfiguration(c.Request().Context())
	err := g.classify(k)
	if errors.Is(err, errUnproven) && g.session.currency.await(c.Request().Context()) {
		err = g.classify(k)
	}
	if err != nil {
		return g.writeError(c, k, err, 0)
	}
	defer k.releaseBodies()
	ctx, done := g.track(k, k.route.LatencyObjective)
	defer done()
	res, err := g.run(ctx, k)
	if err == nil {
		err = g.answer(k, res)
	}
	if err != nil {
		return g.writeError(c, k, stoppingError(ctx, err), res.retryAfter)
	}
	return g.writeResponse(c, k, res)
}

// run reads the body of a request and forwards it.
func (g *Gateway) run(ctx context.Context, k *callerRequest) (response, error) {
	ctx, cancel := context.WithDeadline(ctx, k.deadline)
	defer cancel()
	if err := k.readBody(ctx, g.heldBodies, g.view.limits().MaxBodyBytes, g.pacer); err != nil {
		return response{}, err
	}
	return g.forward(ctx, k)
}

// answer records that a request has its response. It returns an error if a stopping entry can't write it in time.
func (g *Gateway) answer(k *callerRequest, res response) error {
	if res.status < http.StatusInternalServerError {
		g.estimates.record(k.kind(), k.progress.seen(k.body.Len(), res.body.Len()))
	}
	if g.requests.answer(&k.progress, res.body.Len()) {
		return nil
	}
	return verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, codeStopping,
		"this entry is stopping and can't write %d bytes of the response before it ends", res.body.Len())
}

// track makes a request known to a stop of the process until done is called. response is the expected
// time of the response if nothing is known of such requests. The returned context ends if the request must not be
// passed on or waited for any more.
func (g *Gateway) track(k *callerRequest, response time.Duration) (ctx context.Context, done func()) {
	k.progress.deadline, k.progress.expected = k.deadline, g.estimates.expected(k.kind(), response)
	k.progress.relayed.Store(g.path.lost())
	return g.requests.add(k.request, &k.progress), func() { g.requests.remove(&k.progress) }
}

// kind returns what kind of request it is.
func (k *callerRequest) kind() requestKind {
	if k.route == nil {
		return requestKind{service: k.service}
	}
	return requestKind{service: k.service, route: k.route.Name}
}

// classify checks the header of a request and finds its route, service and
// deadline.
func (g *Gateway) classify(k *callerRequest) error {
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
	if err := g.identify(k, index); err != nil {
		return err
	}
	k.service = k.route.Choose(g.random())
	k.callerTimeout = k.route.Timeout
	if timeoutText := k.request.Header.Get(g.options.Dialect.Timeout); timeoutText != "" {
		if ms, err := strconv.ParseFloat(timeoutText, 64); err == nil && ms > 0 {
			k.callerTimeout = time.Duration(ms * float64(time.Millisecond))
		}
	}
	k.deadline = k.arrived.Add(min(k.callerTimeout, k.route.Timeout) - deadlineMargin)
	return nil
}

// statusOf returns the HTTP status for an error: 503 for a request that provably
// did not run and may be retried, 502 or 504 for one that may have run.
func statusOf(e *verdict.Error) int {
	switch e.Status {
	case http.StatusNotFound, http.StatusBadRequest, http.StatusRequestEntityTooLarge,
		http.StatusRequestHeaderFieldsTooLarge, http.StatusRequestTimeout, http.StatusUnauthorized,
		http.StatusTooManyRequests:
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

// writeError responds to the caller with an error of the entry itself.
func (g *Gateway) writeError(c echo.Context, k *callerRequest, err error, retryAfter time.Duration) error {
	e := verdict.As(err)
	status := statusOf(e)
	g.recordRequest(k, status, e)
	if status == http.StatusUnauthorized {
		c.Response().Header().Set("WWW-Authenticate", g.options.Dialect.KeyScheme)
	}
	if e.Code == codeStopping {
		if closesAfterRefusal(k) {
			c.Response().Header().Set("Connection", "close")
		}
		retryAfter = stoppingRetryAfter
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		if retryAfter <= 0 {
			retryAfter = defaultRetryAfter
		}
		c.Response().Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	return c.String(status, e.Code+"\n")
}

// bodyUnread reports whether the request has a body that was not read to its end.
func (k *callerRequest) bodyUnread() bool {
	return k.request.ContentLength != 0 && !k.progress.receivedAll.Load()
}

// arrivedBodyWait bounds the reading of a body that has arrived with a request that is refused.
const arrivedBodyWait = 5 * time.Millisecond

// closesAfterRefusal reports whether a stopping entry closes the connection of a request that it has not run: if the caller has
// sent nothing behind it, and if the body is still arriving, since a refusal doesn't wait for it.
func closesAfterRefusal(k *callerRequest) bool {
	ctx := k.request.Context()
	if k.bodyUnread() {
		if serving.SentAhead(ctx) < k.request.ContentLength {
			return true
		}
		serving.LimitBody(ctx, time.Now().Add(arrivedBodyWait))
		_, err := io.CopyN(io.Discard, k.request.Body, serving.SentAhead(ctx)+1)
		serving.BodyRead(ctx)
		if !errors.Is(err, io.EOF) {
			return true
		}
	}
	return serving.SentAhead(ctx) == 0
}

// writeResponse sends a backend server's response to the caller.
func (g *Gateway) writeResponse(c echo.Context, k *callerRequest, res response) error {
	h := c.Response().Header()
	for name, values := range res.header {
		h[name] = values
	}
	if k.request.Method != http.MethodHead && res.status != http.StatusNoContent && res.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(res.body.Len()))
	}
	c.Response().WriteHeader(res.status)
	serving.Holds(c.Request().Context(), k.body.Len()+res.body.Len())
	err := writeBody(c.Response(), res.body, k.progress.paceResponse(g.pacer.outgoing(c.Request().Context(), res.body.Len())))
	g.recordRequest(k, res.status, nil)
	return errors.Wrap(err, "write the response to the caller")
}

// writeBody writes a body in parts of at most pacedPartBytes. It calls pace, if it
// is set, before each part.
func writeBody(w io.Writer, body *bodybuf.Buffer, pace func(bytes int)) error {
	for _, chunk := range body.Chunks() {
		for len(chunk) > 0 {
			part := chunk
			if pace != nil {
				part = chunk[:min(len(chunk), pacedPartBytes)]
				pace(len(part))
			}
			if _, err := w.Write(part); err != nil {
				return err
			}
			chunk = chunk[len(part):]
		}
	}
	return nil
}
