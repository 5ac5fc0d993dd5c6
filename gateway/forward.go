package gateway

import (
	"context"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"tanagerbarrow/backend"
	"tanagerbarrow/bodybuf"
	"tanagerbarrow/boottime"
	"tanagerbarrow/broker"
	"tanagerbarrow/route"
	"tanagerbarrow/verdict"
)

// The limits of forwarding.
const (
	// minAttemptTime is the least remaining time that is worth another attempt.
	minAttemptTime = 30 * time.Millisecond
	// transferShare is the part of the remaining time within which a response that
	// has begun must be complete, if the request may be sent to another server. The
	// rest is left for that one.
	transferShare = 0.5
	// queueWaitObjectiveShare and queueWaitDeadlineShare limit the wait in the
	// broker's queue, as fractions of the time that remains until the latency
	// objective and until the deadline. The longer of the two applies.
	queueWaitObjectiveShare = 0.3
	queueWaitDeadlineShare  = 0.05
	// grantStartTimeout is the time after the longest wait in the broker's queue
	// within which a grant must be used. Together they are shorter than the time for
	// which the broker keeps the grants of an entry that it has lost, so that an entry
	// that was paused uses no slot, server or zone that the broker has given to others
	// or closed since. It leaves time to open a connection.
	grantStartTimeout = 600 * time.Millisecond
)

// response is a complete response of a backend server. Beside an error only
// retryAfter is set.
type response struct {
	status     int
	header     http.Header
	body       *bodybuf.Buffer
	retryAfter time.Duration
}

// attempt is one attempt to run a request on a backend server.
type attempt struct {
	server *server
	// grantID identifies the broker's grant; 0 if the entry chose the server
	// without a broker.
	grantID uint64
	// relay is the address of the entry that must relay the request; empty if this entry
	// sends it itself.
	relay string
	// startBy is when the attempt must begin, in [boottime.Now]; 0 for any time.
	startBy time.Duration
}

// mayStart reports whether the attempt may still begin.
func (a *attempt) mayStart() bool { return a.startBy == 0 || boottime.Now() <= a.startBy }

// forward sends a request to backend servers until one returns a complete
// response that is not a server error, or no further attempt is allowed.
func (g *Gateway) forward(ctx context.Context, k *callerRequest) (response, error) {
	k.fingerprint = fingerprint(k)
	var avoid []uint32
	var h attemptHistory
	for {
		a, refusal, err := g.nextAttempt(ctx, k, avoid)
		if err != nil || a == nil {
			return h.result(ctx, refusal, err)
		}
		avoid = append(avoid, a.server.Number)
		res, err := g.sendAttempt(ctx, k, a)
		if err == nil && res.status < http.StatusInternalServerError {
			return res, nil
		}
		h.record(res, err)
		if !g.mayRetry(ctx, k, h.mayHaveRun(), len(avoid)) {
			return h.result(ctx, nil, nil)
		}
	}
}

// attemptHistory holds the results of a request's attempts so far.
type attemptHistory struct {
	// failedResponse is the last response with a server error; status 0 for none.
	failedResponse response
	// mayHaveRunErr is the last error of an attempt that may have run, and
	// notRunErr that of one that did not.
	mayHaveRunErr, notRunErr error
}

// record adds an unsuccessful attempt.
func (h *attemptHistory) record(res response, err error) {
	switch {
	case err == nil:
		h.failedResponse = res
	case verdict.Of(err) == verdict.NotRun:
		h.notRunErr = err
	default:
		h.mayHaveRunErr = err
	}
}

// mayHaveRun reports whether any attempt may have run.
func (h *attemptHistory) mayHaveRun() bool {
	return h.failedResponse.status != 0 || h.mayHaveRunErr != nil
}

// mayRetry reports whether a request may be sent to another server after the
// given number of attempts.
func (g *Gateway) mayRetry(ctx context.Context, k *callerRequest, mayHaveRun bool, attempts int) bool {
	if ctx.Err() != nil || time.Until(k.deadline) < minAttemptTime || attempts >= k.route.MaxAttempts+maxExtraAttempts {
		return false
	}
	if mayHaveRun && k.route.Kind != route.Idempotent {
		return false
	}
	return k.attemptsRun < k.route.MaxAttempts
}

// maxExtraAttempts bounds the attempts beyond a route's limit that are allowed
// because servers provably did not run the request.
const maxExtraAttempts = 2

// result returns the result of a request without a successful attempt: a server's
// own error response if there is one, else the error of an attempt that may have
// run, and only then a refusal, which promises that the request did not run.
func (h *attemptHistory) result(ctx context.Context, refusal *broker.Refusal, err error) (response, error) {
	switch {
	case h.failedResponse.status != 0:
		return h.failedResponse, nil
	case h.mayHaveRunErr != nil:
		return response{}, h.mayHaveRunErr
	case refusal != nil:
		return response{retryAfter: time.Duration(refusal.RetryMillis) * time.Millisecond},
			verdict.New(verdict.NotRun, http.StatusServiceUnavailable, string(refusal.Reason),
				"the broker refused: %d waiting, %d of %d slots in use", refusal.Waiting, refusal.Busy, refusal.Slots)
	case ctx.Err() != nil:
		return response{retryAfter: defaultRetryAfter},
			verdict.Wrap(ctx.Err(), verdict.NotRun, http.StatusServiceUnavailable, backend.CodeDeadline, "no slot became free before the deadline")
	case h.notRunErr != nil:
		return response{retryAfter: defaultRetryAfter}, h.notRunErr
	default:
		return response{retryAfter: defaultRetryAfter},
			verdict.Wrap(errors.CombineErrors(err, errNoBroker), verdict.NotRun, http.StatusServiceUnavailable,
				"no_backend_server", "no backend server may be used without a broker")
	}
}

// nextAttempt chooses a server for the next attempt. If both the attempt and the
// error are nil, the broker refused.
func (g *Gateway) nextAttempt(ctx context.Context, k *callerRequest, avoid []uint32) (*attempt, *broker.Refusal, error) {
	now := time.Now()
	objective := k.route.LatencyObjective - now.Sub(k.arrived)
	left := time.Until(k.deadline)
	ask := broker.Ask{
		Service: k.service, Priority: k.route.Priority,
		ObjectiveMillis: int(objective.Milliseconds()), DeadlineMillis: int(left.Milliseconds()),
		BodyBytes: k.body.Len(), SendMillis: g.sendMillis(k.body.Len()), Retry: k.attemptsReached > 0, ExcludedServers: avoid, HomeRegions: k.route.HomeRegions,
		Fingerprint: k.fingerprint,
	}
	maxQueueWait := time.Duration(max(queueWaitObjectiveShare*float64(objective), queueWaitDeadlineShare*float64(left)))
	startBy := boottime.Now() + maxQueueWait + grantStartTimeout
	r, err := g.session.ask(ctx, ask, maxQueueWait)
	if err == nil && r.grant != nil && r.grant.Relay == "" && g.path.lost() {
		// The grant is older than the broker's knowledge that the path is lost.
		g.session.release(broker.Release{ID: r.grant.ID, Outcome: broker.Unused})
		r, err = g.session.ask(ctx, ask, maxQueueWait)
	}
	k.brokerWait += time.Since(now)
	k.lastRefusal = r.refusal
	switch {
	case err == nil && r.refusal != nil:
		return nil, r.refusal, nil
	case err == nil:
		s := g.view.server(r.grant.Server)
		if s == nil {
			g.session.release(broker.Release{ID: r.grant.ID, Outcome: broker.Unused})
			return nil, nil, errors.Newf("the broker granted server %d, which is not in the view", r.grant.Server)
		}
		g.view.startRequest(s)
		return &attempt{server: s, grantID: r.grant.ID, relay: r.grant.Relay, startBy: startBy}, nil, nil
	case !errors.Is(err, errNoBroker):
		return nil, nil, err
	case k.attemptsReached > 0:
		return nil, nil, errors.New("no retry is sent without a broker")
	case g.pauses.viewOutdated():
		return nil, nil, errors.Wrap(err, "the process was paused and has not heard of the broker since")
	}
	a := g.chooseAlone(ctx, k, avoid)
	if a == nil {
		return nil, nil, err
	}
	g.placedAlone.Inc()
	return a, nil, nil
}

// chooseAlone chooses a server without a broker and, if this entry reaches no server, an
// entry that relays the request. It returns nil if there is none.
func (g *Gateway) chooseAlone(ctx context.Context, k *callerRequest, avoid []uint32) *attempt {
	if g.path.lost() {
		return g.view.relayFor(k.service, k.route, g.options.Settings.Host.AvailabilityZone, avoid, time.Now())
	}
	if s := g.alone.choose(ctx, k.service, k.route, avoid); s != nil {
		return &attempt{server: s}
	}
	return nil
}

// sendMillis returns how long the host's link takes to send a body, in
// milliseconds, or 0 if the link's rate is not known.
func (g *Gateway) sendMillis(bytes int) int {
	linkRate := g.options.Settings.LinkBytesPerSecond
	if linkRate == 0 {
		return 0
	}
	return int(int64(bytes) * 1000 / linkRate)
}

// sendAttempt sends the request to one server, reads its complete response and
// releases the grant.
func (g *Gateway) sendAttempt(ctx context.Context, k *callerRequest, a *attempt) (response, error) {
	started := time.Now()
	k.lastServerID, k.lastRelay = a.server.ID, a.relay
	attemptCtx, end := g.attemptContext(ctx, k, a)
	defer end()
	if a.relay == "" {
		endWatch := g.path.watchRequest(attemptCtx, a.server)
		defer endWatch()
	}
	httpResponse, err := g.exchange(attemptCtx, k, a) //nolint:bodyclose // readBuffered closes it
	res := response{}
	var report backend.Report
	if err == nil {
		report = g.options.Dialect.Report(httpResponse.Header)
		res, err = g.readResponse(attemptCtx, k, httpResponse, a)
	}
	var refused *backend.RefusedError
	if errors.As(err, &refused) {
		report = refused.Report
	}
	if err != nil && ctx.Err() == nil && errors.Is(context.Cause(attemptCtx), errPathLost) {
		err = verdict.Wrap(err, verdict.Of(err), http.StatusBadGateway, codePathLost, "backend server %s", a.server.Address)
	}
	if a.relay == "" {
		g.observePath(a.server, err)
	}
	limit := g.view.limitReport(a.server, report, broker.LimitFromRequests, err == nil && res.status < http.StatusInternalServerError)
	g.recordLimit(a.server, limit, broker.LimitFromRequests, time.Now())
	k.countAttempt(err)
	g.finishAttempt(ctx, k, a, report, limit, res, err, time.Since(started))
	return res, err
}

// attemptContext returns the context of an attempt. If the path to the servers is lost in
// silence, it ends an attempt that this entry sends itself and that may be repeated: its
// response will not arrive before the path is restored.
func (g *Gateway) attemptContext(ctx context.Context, k *callerRequest, a *attempt) (context.Context, func()) {
	if a.relay != "" || k.route.Kind != route.Idempotent || k.attemptsRun+1 >= k.route.MaxAttempts {
		return ctx, func() {}
	}
	_, delivering := g.path.contexts()
	attemptCtx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(delivering, func() { cancel(errPathLost) })
	return attemptCtx, func() {
		stop()
		cancel(nil)
	}
}

// exchange sends an attempt to its server, or to the entry that relays it.
func (g *Gateway) exchange(ctx context.Context, k *callerRequest, a *attempt) (*http.Response, error) {
	attempt := &backend.Attempt{
		Method: k.request.Method, Target: k.request.RequestURI, Host: k.request.Host, Header: k.request.Header,
		BufferedBody: k.body.Chunks(), PaceBody: g.pacer.outgoing(ctx, k.body.Len()),
		RequestID: k.id, Deadline: k.deadline, TransferLimit: k.transferLimit(), MayStart: a.mayStart,
	}
	if a.relay != "" {
		return g.exchangeByRelay(ctx, a, attempt)
	}
	attempt.ExpectServer, attempt.BeforeBodyEnd = a.server.ID, g.beforeEnd(ctx, k, a)
	attempt.DialContext, _ = g.path.contexts()
	return g.exchanger.Exchange(ctx, a.server.endpoint, attempt)
}

// observePath records what the outcome of an exchange with a server says about the path
// to the servers.
func (g *Gateway) observePath(s *server, err error) {
	var refused *backend.RefusedError
	if err == nil || errors.As(err, &refused) {
		g.path.responded()
		return
	}
	switch verdict.As(err).Code {
	case backend.CodeDialFailed, backend.CodeExchangeFailed:
		g.path.failed(s, true)
	case backend.CodeConnectionLost, backend.CodeSilent:
		g.path.failed(s, false)
	case backend.CodeAnswerCut, codeResponseMemory:
		g.path.responded()
	}
}

// countAttempt counts an attempt by its result. A refused request reached the
// server and did not run; without a connection nothing reached it.
func (k *callerRequest) countAttempt(err error) {
	if err == nil || verdict.Of(err) != verdict.NotRun {
		k.attemptsReached++
		k.attemptsRun++
		return
	}
	switch verdict.As(err).Code {
	case backend.CodeDialFailed, backend.CodeTooLate, codeRelayFailed:
	default:
		k.attemptsReached++
	}
}

// transferLimit returns the time within which a response that has begun must be
// complete; 0 if no other server may run the request.
func (k *callerRequest) transferLimit() time.Duration {
	if k.route.Kind != route.Idempotent || k.attemptsRun+1 >= k.route.MaxAttempts {
		return 0
	}
	return time.Duration(transferShare * float64(time.Until(k.deadline)))
}

// readResponse reads a complete response. It returns an error if the response is
// truncated, too large or has a content encoding.
func (g *Gateway) readResponse(ctx context.Context, k *callerRequest, res *http.Response, a *attempt) (response, error) {
	body, err := g.readBuffered(k, res, a.server.ID)
	if errors.Is(err, bodybuf.ErrNoMemory) {
		return response{}, verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, codeResponseMemory,
			"read the response of %s", a.server.Address)
	}
	if err != nil {
		return response{}, backend.ResponseReadError(ctx, err, a.server.endpoint)
	}
	if res.Header.Get("Content-Encoding") != "" {
		return response{}, verdict.New(verdict.MayHaveRun, http.StatusBadGateway, backend.CodeAnswerCut,
			"the response of %s has a content encoding, which was not requested", a.server.Address)
	}
	backend.RemoveHopByHop(res.Header)
	delete(res.Header, "Content-Length")
	return response{status: res.StatusCode, header: res.Header, body: body}, nil
}

// readBuffered reads a response's body to its end and closes it.
func (g *Gateway) readBuffered(k *callerRequest, res *http.Response, serverID string) (*bodybuf.Buffer, error) {
	defer func() { _ = res.Body.Close() }()
	limit := g.responseSizes.limit(k.service, res.ContentLength, time.Until(k.deadline))
	body, err := g.heldBodies.Read(res.Body, res.ContentLength, bodybuf.Limits{MaxBytes: limit, LeaveOwnSize: true})
	switch {
	case err == nil:
		k.held = append(k.held, body)
		g.responseSizes.recordComplete(k.service, int64(body.Len()))
	case errors.Is(err, bodybuf.ErrTooLarge) && res.ContentLength < 0:
		g.responseSizes.recordExceeded(k.service, serverID)
	}
	return body, err
}

// finishAttempt records and logs the outcome of an attempt and, if the broker
// granted it, releases the grant.
func (g *Gateway) finishAttempt(ctx context.Context, k *callerRequest, a *attempt, report backend.Report, limit *broker.LimitReport, res response, err error, took time.Duration) {
	outcome := outcomeOf(ctx, res, err)
	if a.relay == "" && outcome != broker.Answered && outcome != broker.Refused && g.path.lost() {
		outcome = broker.PathLost
	}
	g.view.finishRequest(a.server, blamesServer(outcome), time.Now())
	g.logFailedAttempt(k, a, outcome, err, took)
	if a.grantID == 0 {
		return
	}
	r := broker.Release{ID: a.grantID, Outcome: outcome, ElapsedMillis: int(took.Milliseconds()), Pace: report.Pace, ResponseBytes: res.body.Len(), Limit: limit}
	if outcome == broker.Answered && a.relay == "" {
		r.KeepAliveMillis = int(report.KeepAlive.Milliseconds())
	}
	g.session.release(r)
}

// blamesServer reports whether an outcome is a failure of the server.
func blamesServer(o broker.Outcome) bool {
	switch o {
	case broker.Answered, broker.Abandoned, broker.Unused, broker.PathLost, broker.RelayFailed:
		return false
	default:
		return true
	}
}

// outcomeOf returns the outcome of an attempt.
func outcomeOf(ctx context.Context, res response, err error) broker.Outcome {
	if err == nil {
		if res.status >= http.StatusInternalServerError {
			return broker.Failed
		}
		return broker.Answered
	}
	var refused *backend.RefusedError
	if errors.As(err, &refused) {
		if refused.Status == http.StatusMisdirectedRequest {
			return broker.WrongServer
		}
		return broker.Refused
	}
	switch verdict.As(err).Code {
	case backend.CodeDialFailed:
		return broker.Unreachable
	case backend.CodeConnectionLost, backend.CodeExchangeFailed, backend.CodeAnswerCut:
		return broker.ConnectionLost
	case backend.CodeTooLate:
		return broker.Unused
	case codeRelayFailed:
		return broker.RelayFailed
	case codePathLost:
		return broker.PathLost
	case codeResponseMemory:
		return broker.Abandoned
	}
	if ctx.Err() != nil {
		return broker.Abandoned
	}
	return broker.Failed
}

// fingerprint returns a hash of the request's method, host, target and body, which
// is the same for equal requests on all entries.
func fingerprint(k *callerRequest) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(k.request.Method)
	_, _ = h.WriteString(k.request.Host)
	_, _ = h.WriteString(k.request.RequestURI)
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(k.body.Len()))
	_, _ = h.Write(size[:])
	for _, chunk := range k.body.Chunks() {
		_, _ = h.Write(chunk)
	}
	return h.Sum64()
}
