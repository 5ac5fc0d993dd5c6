package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"tanagerbarrow/backend"
	"tanagerbarrow/boottime"
	"tanagerbarrow/broker"
	"tanagerbarrow/serving"
	"tanagerbarrow/settings"
	"tanagerbarrow/verdict"
)

// maxRelayConnections bounds the connections of entries whose requests this one relays.
const maxRelayConnections = 512

// listenForRelays opens the listener on which other entries send requests that this one
// relays. It returns nil without an error if the settings name no address for it.
func (g *Gateway) listenForRelays(guard *serving.Guard) (*serving.Server, error) {
	s := g.options.Settings
	if !s.Host.Address.IsValid() || s.PeerPort == 0 {
		return nil, nil
	}
	e := serving.NewEcho()
	e.Any("/*", g.serveRelayed)
	server, err := serving.Listen(e, netip.AddrPortFrom(s.Host.Address, s.PeerPort), settings.Limits{
		MaxConnections: maxRelayConnections, MaxHeaderBytes: maxCallerHeaderBytes,
		ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
	}, serving.ReceiveBuffer(callerReceiveBuffer(s.LinkBytesPerSecond)))
	if err != nil {
		return nil, err
	}
	server.Guarded(guard)
	g.session.setRelayAddress(server.Address())
	return server, nil
}

// serveRelayed sends a request of another entry to the server that it names, and returns
// the server's complete response. It never passes a request on to a further entry. Another
// entry may also ask for the control hosts.
func (g *Gateway) serveRelayed(c echo.Context) error {
	r := c.Request()
	if r.Header.Get(headerControlHosts) != "" && r.Header.Get(headerRelayServer) == "" {
		return g.serveControlHosts(c)
	}
	k := &callerRequest{request: r, arrived: time.Now(), id: r.Header.Get(g.options.Dialect.RequestID)}
	defer k.releaseBodies()
	a, err := g.relayedAttempt(r)
	if err == nil {
		err = k.classifyRelayed(g, a)
	}
	if err != nil {
		return g.writeRelayError(c, k, err)
	}
	ctx, done := g.track(k, 0)
	defer done()
	res, err := g.runRelayed(ctx, k, a)
	if err == nil {
		err = g.answer(k, res)
	}
	if err != nil {
		return g.writeRelayError(c, k, stoppingError(ctx, err))
	}
	g.countRelayed("relayed")
	h := c.Response().Header()
	for name, values := range res.header {
		h[name] = values
	}
	h.Set(headerRelayResult, verdict.Ran.String())
	if r.Method != http.MethodHead && res.status != http.StatusNoContent && res.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(res.body.Len()))
	}
	c.Response().WriteHeader(res.status)
	serving.Holds(r.Context(), k.body.Len()+res.body.Len())
	err = writeBody(c.Response(), res.body, k.progress.paceResponse(g.pacer.outgoing(r.Context(), res.body.Len())))
	return errors.Wrap(err, "write the response to the other entry")
}

// runRelayed reads the body of a relayed request and sends the request to its server.
func (g *Gateway) runRelayed(ctx context.Context, k *callerRequest, a *attempt) (response, error) {
	if err := k.readBody(ctx, g.heldBodies, 0, g.pacer); err != nil {
		return response{}, err
	}
	if err := g.identifyRelayed(k); err != nil {
		return response{}, err
	}
	return g.sendRelayed(ctx, k, a)
}

// relayedAttempt reads what another entry asks for. It refuses what this entry would not
// send for its own callers, or if it has no path to the servers itself.
func (g *Gateway) relayedAttempt(r *http.Request) (*attempt, error) {
	startMillis, err := strconv.ParseInt(r.Header.Get(headerRelayStart), 10, 64)
	granted := r.Header.Get(headerRelayGrant) != ""
	id, address := r.Header.Get(headerRelayServer), r.Header.Get(headerRelayAddress)
	for _, name := range []string{headerRelayServer, headerRelayAddress, headerRelayStart, headerRelayGrant, headerRelayResult} {
		r.Header.Del(name)
	}
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, http.StatusBadRequest, codeRelayFailed, "read the time to start")
	}
	if g.refuseRequests.Load() || g.pauses.viewOutdated() || g.path.lost() {
		return nil, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeRelayFailed, "this entry relays no requests now")
	}
	s := g.view.serverInUse(id, address)
	if s == nil {
		return nil, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeRelayFailed, "backend server %q at %q is not in use", id, address)
	}
	return &attempt{server: s, relayedGrant: granted, startBy: boottime.Now() + time.Duration(startMillis)*time.Millisecond}, nil
}

// classifyRelayed reads the deadline of a relayed request.
func (k *callerRequest) classifyRelayed(g *Gateway, a *attempt) error {
	ms, err := strconv.ParseFloat(k.request.Header.Get(g.options.Dialect.Timeout), 64)
	if err != nil || ms <= 0 {
		return verdict.New(verdict.NotRun, http.StatusBadRequest, codeRelayFailed, "a relayed request has no deadline")
	}
	k.deadline = k.arrived.Add(time.Duration(ms * float64(time.Millisecond)))
	k.service = a.server.Service
	return nil
}

// sendRelayed sends a relayed request to its server and reads the complete response.
func (g *Gateway) sendRelayed(ctx context.Context, k *callerRequest, a *attempt) (response, error) {
	g.view.startRequest(a.server)
	usable, _ := g.path.contexts()
	httpResponse, err := g.exchanger.Exchange(ctx, a.server.endpoint, &backend.Attempt{ //nolint:bodyclose // readBuffered closes it
		Method: k.request.Method, Target: k.request.RequestURI, Host: k.request.Host, Header: k.request.Header,
		BufferedBody: k.body.Chunks(), PaceBody: k.progress.pace(g.pacer.outgoing(ctx, k.body.Len())),
		RequestID: k.id, Deadline: k.deadline, ExpectServer: a.server.ID, DialContext: usable, ClientAccount: k.relayedAccount,
		MayStart: func() bool {
			return g.maySend(a) && (k.relayedAccount == "" || g.keysProven()) && g.requests.pass(&k.progress)
		},
	})
	res := response{}
	status, report := g.readReport(httpResponse, err)
	g.observeBackoff(a.server, status, report, sendsRequest)
	g.observeLeaving(a.server, status, report, sendsRequest)
	if err == nil {
		res, err = g.readResponse(ctx, k, httpResponse, a)
	}
	g.observePath(a.server, err)
	limit := g.view.limitReport(a.server, report, broker.LimitFromRequests, err == nil && res.status < http.StatusInternalServerError)
	g.recordLimit(a.server, limit, broker.LimitFromRequests, time.Now())
	g.view.finishRequest(a.server, blamesServer(outcomeOf(ctx, res, err)), time.Now())
	g.session.confirmRollouts()
	return res, err
}

// writeRelayError responds to another entry with an error of this one, or with a
// server's proof that it did not run the request.
func (g *Gateway) writeRelayError(c echo.Context, k *callerRequest, err error) error {
	e := verdict.As(err)
	status := e.Status
	h := c.Response().Header()
	var refused *backend.RefusedError
	if errors.As(err, &refused) {
		status = refused.Status
		backend.RemoveHopByHop(refused.Header)
		refused.Header.Del("Content-Length")
		for name, values := range refused.Header {
			h[name] = values
		}
	}
	g.countRelayed(e.Code)
	g.failureLog.Warn().Str("event", "relay_failed").Str("request_id", logText(k.id)).Str("service", k.service).
		Str("verdict", e.Verdict.String()).Str("reason", e.Code).Err(err).Send()
	if k.bodyUnread() {
		// The HTTP server would otherwise read the rest of the body before it responds.
		h.Set("Connection", "close")
	}
	h.Set(headerRelayResult, e.Verdict.String()+" "+e.Code)
	return c.NoContent(status)
}

// countRelayed counts a relayed request by its result.
func (g *Gateway) countRelayed(result string) {
	g.options.Metrics.GetOrCreateCounter(`tanagerbarrow_relayed_total{result="` + result + `"}`).Inc()
}

// serverInUse returns the server with an identifier and address, unless its zone is out
// of service; nil if there is none.
func (v *view) serverInUse(id, address string) *server {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.servers {
		if s.ID == id && s.Address == address && !v.isZoneOut(s.AvailabilityZone) {
			return s
		}
	}
	return nil
}
