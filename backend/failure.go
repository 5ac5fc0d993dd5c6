package backend

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/membership"
	"tanagerbarrow/request"
	"tanagerbarrow/verdict"
)

// The codes of failed exchanges.
const (
	// CodeDialFailed means that no connection could be opened.
	CodeDialFailed = "dial_failed"
	// CodeExchangeFailed means that the connection broke.
	CodeExchangeFailed = "exchange_failed"
	// CodeConnectionLost means that a reused connection broke before any byte of
	// the response was received.
	CodeConnectionLost = "connection_lost"
	// CodeAnswerCut means that the response was truncated.
	CodeAnswerCut = "answer_cut"
	// CodeSilent means that a reused connection delivered nothing in time, or that
	// the peer stopped acknowledging data.
	CodeSilent = "connection_silent"
	// CodeTooLate means that [Attempt.MayStart] no longer allowed the attempt.
	CodeTooLate = "too_late"
	// CodeRefused means that the backend server refused the request.
	CodeRefused = "refused"
	// CodeDeadline means that the caller's deadline passed.
	CodeDeadline = "deadline"
	// CodeCallerGone means that the caller closed its connection.
	CodeCallerGone = "caller_gone"
	// CodeBodyCut means that the request's body was truncated.
	CodeBodyCut = "body_cut"
	// CodeDigestMismatch means that the body does not match its Content-Digest.
	CodeDigestMismatch = "digest_mismatch"
	// CodeBodyTooLarge means that the request's body exceeds its maximum size.
	CodeBodyTooLarge = "body_too_large"
)

// ServerAtFault reports whether an error of [Exchanger.Exchange] is a failure
// of the backend server, and not of the caller or of a single connection.
func ServerAtFault(err error) bool {
	switch verdict.As(err).Code {
	case CodeDialFailed, CodeExchangeFailed, CodeAnswerCut:
		return true
	default:
		return false
	}
}

// ConnectionAtFault reports whether an error of [Exchanger.Exchange] is a
// failure of a single connection. The same backend server may be tried again.
func ConnectionAtFault(err error) bool {
	switch verdict.As(err).Code {
	case CodeConnectionLost, CodeSilent:
		return true
	default:
		return false
	}
}

// classify returns the status and the code of a failure. If the context has
// ended, they are those of its end; otherwise the code is the given one.
func classify(ctx context.Context, code string) (status int, cause string) {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return http.StatusGatewayTimeout, CodeDeadline
	case ctx.Err() != nil:
		return http.StatusGatewayTimeout, CodeCallerGone
	default:
		return http.StatusBadGateway, code
	}
}

// dialFailure returns the error of a connection that could not be opened.
func dialFailure(ctx context.Context, err error, to *membership.BackendServer) error {
	status, code := classify(ctx, CodeDialFailed)
	return verdict.Wrap(err, verdict.NotRun, status, code,
		"connect to backend server %s of service %q", to.Address, to.Service)
}

// BodyReadError returns the error of a request to the service whose body could
// not be read.
func BodyReadError(err error, v verdict.Verdict, service string) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return verdict.Wrap(err, v, http.StatusRequestEntityTooLarge, CodeBodyTooLarge,
			"the body has more than %d bytes", tooLarge.Limit)
	case errors.Is(err, request.ErrDigestMismatch):
		return verdict.Wrap(err, v, http.StatusBadRequest, CodeDigestMismatch, "read the body for service %q", service)
	default:
		return verdict.Wrap(err, v, http.StatusBadRequest, CodeBodyCut, "read the body for service %q", service)
	}
}

// ResponseReadError returns the error of a response of the backend server that
// could not be read to its end.
func ResponseReadError(ctx context.Context, err error, to *membership.BackendServer) error {
	status, code := classify(ctx, CodeAnswerCut)
	return verdict.Wrap(err, verdict.MayHaveRun, status, code,
		"read the answer of backend server %s of service %q", to.Address, to.Service)
}
