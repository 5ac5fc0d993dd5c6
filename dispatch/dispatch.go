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

// The bounds of one request's tries.
const (
	// maxAttempts bounds the backend servers that one request is sent to.
	maxAttempts = 3
	// maxDialFailures bounds the backend servers that one request finds
	// unreachable. It is larger, because nothing was sent to them, and the
	// servers of a whole availability zone may have gone at once.
	maxDialFailures = 8
)

// maxCrashes bounds the attempts of one request whose connections broke: a
// request that crashes its backend servers never reaches a third one.
const maxCrashes = 2

// maxIdle bounds how long a connection was idle before it carries a request
// that is not idempotent: such a request can't be sent again where it turns out
// that the connection went silent.
const maxIdle = time.Second

// silenceLimit bounds the wait of an idempotent request for the first byte of
// its answer on a reused connection, which may have gone silent.
const silenceLimit = time.Second

// Exchanger sends one attempt to one backend server.
type Exchanger interface {
	// Exchange returns the answer or an error that carries a verdict.
	Exchange(ctx context.Context, to *membership.BackendServer, a *backend.Attempt) (*http.Response, error)
}

// Ledger is the ledger as an entry sees it.
type Ledger interface {
	// Apply carries out a ledger command durably in the ledger of the home
	// regions, or in the common one if there are none. After an error the command
	// may still be carried out later.
	Apply(ctx context.Context, homes []string, c ledger.Command) (ledger.Result, error)
}

// Picker chooses the backend server of each attempt.
type Picker interface {
	// Reserve chooses a backend server and counts the attempt there. It may wait
	// until ctx ends.
	Reserve(ctx context.Context, r *request.Request, tried []netip.AddrPort) (balance.StartedRequest, error)
	// Release ends the count of an attempt and learns from its answer.
	Release(started balance.StartedRequest, a balance.Result)
}

// Dispatcher carries requests to backend servers.
type Dispatcher struct {
	// Exchanger sends attempts.
	Exchanger Exchanger
	// Ledger is the ledger.
	Ledger Ledger
	// Retries bounds retries.
	Retries *limit.RetryBudget
	// Balancer chooses backend servers.
	Balancer Picker

	outcomes sync.WaitGroup
}

// Dispatch carries the request to a backend server and returns its answer. Its
// errors are *[verdict.Error]. The caller closes the response's body.
func (d *Dispatcher) Dispatch(ctx context.Context, r *request.Request, h *http.Request) (*http.Response, error) {
	if r.Class == request.Order {
		return d.order(ctx, r, h)
	}
	body := newBody(h)
	return d.attempts(ctx, r, h, body)
}

// attempts sends the request to one backend server after another until one
// answers or a failure forbids a retry. A failed dial costs nothing of the retry
// budget. All attempts but the first go over new connections: where the first
// broke because its backend server had gone, others may have gone with it, and a
// refused dial tells that without counting as a crash.
func (d *Dispatcher) attempts(ctx context.Context, r *request.Request, h *http.Request, body body) (*http.Response, error) {
	d.Retries.RecordRequest()
	var tried []netip.AddrPort
	var last error
	for sent, unreachable, crashes := 0, 0, 0; sent < maxAttempts && unreachable < maxDialFailures; {
		started, err := d.Balancer.Reserve(ctx, r, tried)
		if err != nil {
			last = d.reserveError(r, err, last)
			break
		}
		to := started.Server.Record.Address
		attempt := newAttempt(r, h, body)
		attempt.NewConnection = last != nil
		res, err := d.send(ctx, started, attempt, body)
		if err == nil {
			return res, nil
		}
		last = weaker(last, err)
		if !backend.ConnectionAtFault(err) {
			tried = append(tried, to)
		}
		if mayHaveCrashed(err) {
			crashes++
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

// reserveError returns the error of a request that got no further backend
// server: that of its last attempt, if there was one.
func (d *Dispatcher) reserveError(r *request.Request, err, last error) error {
	switch {
	case last != nil:
		return last
	case errors.Is(err, errNoServer):
		return d.noServer(r)
	default:
		return err
	}
}

// weaker returns the newer error, but never lets it promise more than the
// earlier one: a request that may have run in one attempt may have run.
func weaker(earlier, newer error) error {
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

// noServer returns the error of a request that no backend server may receive.
func (d *Dispatcher) noServer(r *request.Request) error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_backend_server",
		"service %q has no backend server in regions %q", r.Service.Name, r.HomeRegions)
}

// send sends one attempt and counts it until its answer is whole or closed. It
// holds the beginning of the answer, so that an answer cut there is an error.
func (d *Dispatcher) send(ctx context.Context, on balance.StartedRequest, a *backend.Attempt, b body) (*http.Response, error) {
	start := time.Now()
	to := &on.Server.Record
	res, err := d.Exchanger.Exchange(ctx, to, a)
	whole := false
	if err == nil {
		whole, err = holdAnswer(ctx, res, to)
	}
	answer := answerOf(ctx, res, err, time.Since(b.sentSince(start)))
	if err != nil {
		d.Balancer.Release(on, answer)
		return nil, err
	}
	if whole {
		d.Balancer.Release(on, answer)
		return res, nil
	}
	res.Body = &countedBody{ReadCloser: res.Body, release: func() { d.Balancer.Release(on, answer) }}
	return res, nil
}

// newAttempt returns an attempt at the request.
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

// newToken returns a token that identifies one arrival.
func newToken() string { return request.NewID() }
