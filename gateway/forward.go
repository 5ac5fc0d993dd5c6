package gateway

import (
	"context"
	"encoding/binary"
	"net/http"
	"slices"
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

// forward sends a request to backend servers until one returns a complete
// response that is not a server error, or no further attempt is allowed.
func (g *Gateway) forward(ctx context.Context, k *callerRequest) (response, error) {
	k.fingerprint = fingerprint(k)
	var avoid []uint32
	var h attemptHistory
	for {
		if err := g.checkAccount(k); err != nil {
			return h.result(ctx, nil, err)
		}
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
	var own *verdict.Error
	switch {
	case h.failedResponse.status != 0:
		return h.failedResponse, nil
	case h.mayHaveRunErr != nil:
		return response{}, h.mayHaveRunErr
	case refusal != nil:
		return response{retryAfter: time.Duration(refusal.RetryMillis) * time.Millisecond},
			verdict.New(verdict.NotRun, refusalStatus(refusal.Reason), string(refusal.Reason),
				"no backend server may run the request: %d waiting, %d of %d slots in use", refusal.Waiting, refusal.Busy, refusal.Slots)
	case errors.As(err, &own):
		return response{retryAfter: defaultRetryAfter}, own
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
	r, err := g.session.ask(ctx, ask, g.askDetails(k), maxQueueWait)
	if err == nil && r.grant != nil && !g.mayUse(r.grant) {
		// The grant is older than what the broker knows by now, or the broker is of a build
		// that doesn't know what servers say.
		g.session.release(broker.Release{ID: r.grant.ID, Outcome: broker.Unused})
		ask.ExcludedServers = slices.Concat(avoid, g.view.notAccepting(k.service, time.Now()))
		r, err = g.session.ask(ctx, ask, g.askDetails(k), maxQueueWait)
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
	if err := g.takeShare(k); err != nil {
		return nil, nil, err
	}
	a := g.chooseAlone(ctx, k, avoid)
	if a == nil {
		return nil, g.backoffRefusal(k, avoid), err
	}
	g.placedAlone.Inc()
	return a, nil, nil
}

// askDetails returns what the deployment's configuration makes the broker need to know about a
// request; empty if it is nothing.
func (g *Gateway) askDetails(k *callerRequest) broker.Details {
	d := broker.Details{ClientAccount: k.accountName()}
	if g.view.rollsOut(k.service) {
		d.Route = k.route.Name
	}
	return d
}

// mayUse reports whether this entry may use a grant: not to send a request itself while its path
// to the servers is lost, or to a server that wants none or that the broker has removed since.
func (g *Gateway) mayUse(grant *broker.Grant) bool {
	relayed := grant.Relay != ""
	s := g.view.server(grant.Server)
	return (relayed || !g.path.lost()) && s != nil && g.view.acceptsRequests(s, relayed) && g.view.rolloutAllows(s, true)
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

// backoffRefusal returns the refusal of a request for which all servers that may be used without a
// broker back off; nil if that isn't so.
func (g *Gateway) backoffRefusal(k *callerRequest, avoid []uint32) *broker.Refusal {
	wait := g.view.serviceBackoff(k.service, k.route, avoid, time.Now())
	if wait == 0 || g.path.lost() {
		return nil
	}
	return &broker.Refusal{Reason: broker.ReasonBackoff, RetryMillis: int(wait.Milliseconds()) + 1}
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
