package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/backend"
	"tanagerbarrow/bodybuf"
	"tanagerbarrow/boottime"
	"tanagerbarrow/broker"
	"tanagerbarrow/route"
	"tanagerbarrow/verdict"
)

// attempt is one attempt to run a request on a backend server.
type attempt struct {
	server *server
	// grantID identifies the broker's grant; 0 if the entry chose the server
	// without a broker.
	grantID uint64
	// relay is the address of the entry that must relay the request; empty if this entry
	// sends it itself.
	relay string
	// relayedGrant says that the entry whose request this one relays has the broker's grant.
	relayedGrant bool
	// cold says that the server was cold when the attempt began.
	cold bool
	// startBy is when the attempt must begin, in [boottime.Now]; 0 for any time.
	startBy time.Duration
}

// mayStart reports whether the attempt may still begin.
func (a *attempt) mayStart() bool { return a.startBy == 0 || boottime.Now() <= a.startBy }

// maySend reports whether this entry may begin to send an attempt, itself or to a relay.
func (g *Gateway) maySend(a *attempt) bool {
	return a.mayStart() && g.view.acceptsRequests(a.server, a.relay != "") &&
		g.view.rolloutAllows(a.server, a.grantID != 0 || a.relayedGrant)
}

// sendAttempt sends the request to one server, reads its complete response and
// releases the grant.
func (g *Gateway) sendAttempt(ctx context.Context, k *callerRequest, a *attempt) (response, error) {
	started := time.Now()
	k.lastServerID, k.lastRelay, a.cold = a.server.ID, a.relay, g.view.isCold(a.server, started)
	attemptCtx, end := g.attemptContext(ctx, k, a)
	defer end()
	if a.relay == "" {
		endWatch := g.path.watchRequest(attemptCtx, a.server)
		defer endWatch()
	}
	httpResponse, err := g.exchange(attemptCtx, k, a) //nolint:bodyclose // readBuffered closes it
	res := response{}
	status, report := g.readReport(httpResponse, err)
	if a.relay == "" {
		g.observeBackoff(a.server, status, report, sendsRequest)
	}
	g.observeLeaving(a.server, status, report, sendsRequest)
	if err == nil {
		res, err = g.readResponse(attemptCtx, k, httpResponse, a)
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
	if err != nil && verdict.Of(err) == verdict.NotRun {
		g.requests.notRun(&k.progress)
	}
	g.finishAttempt(ctx, k, a, report, limit, res, err, time.Since(started))
	return res, err
}

// readReport returns the status and the server's report of a response, or of the refusal that
// is the cause of an error; the status is 0 if there is neither.
func (g *Gateway) readReport(res *http.Response, err error) (status int, report backend.Report) {
	var refused *backend.RefusedError
	switch {
	case err == nil:
		return res.StatusCode, g.options.Dialect.Report(res.Header)
	case errors.As(err, &refused):
		return refused.Status, refused.Report
	default:
		return 0, backend.Report{}
	}
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
		BufferedBody: k.body.Chunks(), PaceBody: k.progress.pace(g.pacer.outgoing(ctx, k.body.Len())),
		RequestID: k.id, Deadline: k.deadline, TransferLimit: k.transferLimit(),
		MayStart:      func() bool { return g.maySend(a) && g.checkAccount(k) == nil && g.requests.pass(&k.progress) },
		ClientAccount: k.accountName(),
	}
	k.progress.relayed.Store(a.relay != "")
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
	case backend.CodeDialFailed, backend.CodeTooLate, codeRelayFailed, codePathLost:
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
	g.session.confirmRollouts()
	g.reportResult(k, a, report, outcome, res, err, took)
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
