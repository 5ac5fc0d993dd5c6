package dispatch

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/backend"
	"tanagerbarrow/balance"
	"tanagerbarrow/ledger"
	"tanagerbarrow/limit"
	"tanagerbarrow/membership"
	"tanagerbarrow/request"
	"tanagerbarrow/verdict"
)

// The limits of the attempts of one request.
const (
	// maxAttempts is the maximum number of backend servers that one request is
	// sent to.
	maxAttempts = 3
	// maxDialFailures is the maximum number of backend servers that may turn out
	// unreachable for one request. It is larger than maxAttempts, because nothing
	// was sent to them, and all servers of an availability zone may fail at once.
	maxDialFailures = 8
)

// maxCrashes is the maximum number of attempts of one request whose connections
// broke. A request that crashes its backend servers never reaches a third one.
const maxCrashes = 2

// maxIdle is the longest time for which a connection may have been idle before it
// carries a request that is not idempotent. Such a request cannot be sent again
// if the connection turns out to be silent.
const maxIdle = time.Second

// silenceLimit limits the wait of an idempotent request for the header of its
// response on a reused connection, which may have gone silent.
const silenceLimit = time.Second

// Exchanger sends one attempt to one backend server.
type Exchanger interface {
	// Exchange returns the response, or an error that carries a verdict.
	Exchange(ctx context.Context, to *membership.BackendServer, a *backend.Attempt) (*http.Response, error)
}

// Ledger is the part of the ledger that the dispatcher uses.
type Ledger interface {
	// Apply executes a command durably in the ledger of the home regions, or in
	// the common ledger if there are none. After an error, the command may still
	// be executed later.
	Apply(ctx context.Context, homes []string, c ledger.Command) (ledger.Result, error)
}

// Picker chooses the backend server of each attempt.
type Picker interface {
	// Reserve chooses a backend server and counts the attempt as in progress on
	// it. It may wait until ctx ends.
	Reserve(ctx context.Context, r *request.Request, x Exclusions) (balance.StartedRequest, error)
	// Release counts the attempt as finished and records its result.
	Release(started balance.StartedRequest, result balance.Result)
}

// Exclusions are the backend servers that an attempt must not or should not reach.
type Exclusions struct {
	// Servers are never chosen.
	Servers []netip.AddrPort
	// Zone is the availability zone whose servers are chosen only if no other one has
	// room; empty for none.
	Zone string
}

// Dispatcher sends requests to backend servers and retries them.
type Dispatcher struct {
	// Exchanger sends attempts.
	Exchanger Exchanger
	// Ledger holds the claims of orders.
	Ledger Ledger
	// Retries is the budget for retries.
	Retries *limit.RetryBudget
	// Balancer chooses backend servers.
	Balancer Picker

	outcomes sync.WaitGroup
}

// Dispatch sends the request to a backend server and returns its response. Its
// errors are *[verdict.Error]. The caller closes the response's body.
func (d *Dispatcher) Dispatch(ctx context.Context, r *request.Request, h *http.Request) (*http.Response, error) {
	if r.Class == request.Order {
		return d.order(ctx, r, h)
	}
	body := newBody(h)
	return d.attempts(ctx, r, h, body)
}

// attempts sends the request to one backend server after another until one
// responds or a failure forbids a retry. A failed dial does not count against the
// retry budget. All attempts but the first use new connections: if the first
// broke because its backend server failed, others may have failed with it. A
// refused dial detects that without counting as a crash. The servers of a zone may
// fail together, so that the next attempt goes to another zone.
func (d *Dispatcher) attempts(ctx context.Context, r *request.Request, h *http.Request, body body) (*http.Response, error) {
	d.Retries.RecordRequest()
	var excluded Exclusions
	var last error
	for sent, unreachable, crashes := 0, 0, 0; sent < maxAttempts && unreachable < maxDialFailures; {
		started, err := d.Balancer.Reserve(ctx, r, excluded)
		if err != nil {
			last = d.reservationError(r, err, last)
			break
		}
		to := started.Server.Record.Address
		attempt := newAttempt(r, h, body)
		attempt.NewConnection = last != nil
		res, err := d.send(ctx, started, attempt, body)
		if err == nil {
			return res, nil
		}
		last = keepWeakerVerdict(last, err)
		if !backend.ConnectionAtFault(err) {
			excluded.Servers = append(excluded.Servers, to)
		}
		if mayHaveCrashed(err) {
			crashes++
			excluded.Zone = started.Server.Record.AvailabilityZone
		}
		if ctx.Err() != nil || !mayRetry(r, err, body) || crashes >= maxCrashes {
			break
		}
		if verdict.As(err).Code == backend.CodeDialFailed {
			unreachable++
			continue
		}
		sent++
		if !d.Retries.TryRetry() {
			break
		}
	}
	return nil, last
}

// mayHaveCrashed reports whether the attempt may have crashed its backend
// server: the connection broke after the request may have run.
func mayHaveCrashed(err error) bool {
	switch verdict.As(err).Code {
	case backend.CodeExchangeFailed, backend.CodeAnswerCut, backend.CodeConnectionLost:
		return verdict.Of(err) == verdict.MayHaveRun
	default:
		return false
	}
}

// reservationError returns the error of a request for which no further backend
// server could be reserved. It is the error of the last attempt, if there was
// one.
func (d *Dispatcher) reservationError(r *request.Request, err, last error) error {
	switch {
	case last != nil:
		return last
	case errors.Is(err, errNoServer):
		return d.noServerError(r)
	default:
		return err
	}
}

// keepWeakerVerdict returns the newer error. If a request may have run in the
// earlier attempt, the returned error does not claim that it did not run.
func keepWeakerVerdict(earlier, newer error) error {
	if earlier == nil || verdict.Of(earlier) == verdict.NotRun || verdict.Of(newer) != verdict.NotRun {
		return newer
	}
	e := *verdict.As(newer)
	e.Verdict = verdict.Of(earlier)
	return &e
}

// mayRetry reports whether the request may be sent again after err. A request
// that is not idempotent needs proof that it did not run.
func mayRetry(r *request.Request, err error, body body) bool {
	if !body.replayable() {
		return false
	}
	return r.Class == request.Read || verdict.Of(err) == verdict.NotRun
}

// noServerError returns the error of a request for which no backend server is
// allowed.
func (d *Dispatcher) noServerError(r *request.Request) error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_backend_server",
		"service %q has no backend server in regions %q", r.Service.Name, r.HomeRegions)
}

// send sends one attempt, which counts as in progress until its response is
// complete or closed. It buffers the beginning of the response, so that a
// response that is truncated there becomes an error.
func (d *Dispatcher) send(ctx context.Context, started balance.StartedRequest, a *backend.Attempt, b body) (*http.Response, error) {
	start := time.Now()
	to := &started.Server.Record
	res, err := d.Exchanger.Exchange(ctx, to, a)
	whole := false
	if err == nil {
		whole, err = bufferResponse(ctx, res, to)
	}
	result := resultOf(ctx, res, err, time.Since(b.bodySentAt(start)))
	if err != nil {
		d.Balancer.Release(started, result)
		return nil, err
	}
	if whole {
		d.Balancer.Release(started, result)
		return res, nil
	}
	res.Body = &releasingBody{ReadCloser: res.Body, release: func() { d.Balancer.Release(started, result) }}
	return res, nil
}

// newAttempt returns an attempt to send the request.
func newAttempt(r *request.Request, h *http.Request, b body) *backend.Attempt {
	a := &backend.Attempt{
		Method: h.Method, Path: h.URL.Path, RawPath: h.URL.RawPath, Query: h.URL.RawQuery, Header: h.Header,
		RequestID: r.ID, Deadline: r.Deadline,
	}
	if r.Class == request.Read {
		a.SilenceLimit = silenceLimit
	} else {
		a.MaxIdle = maxIdle
	}
	b.attach(a, h.ContentLength)
	return a
}

// newToken returns a token that identifies one arrival of an order.
func newToken() string { return request.NewID() }
