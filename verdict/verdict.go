package verdict

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// Header is the response header that carries the verdict to the caller.
const Header = "Tanagerbarrow-Verdict"

// Verdict states whether a request ran on a backend server.
type Verdict uint8

// The verdicts, ordered from no proof to proof.
const (
	// MayHaveRun means that there is no proof that the request ran, nor that it
	// did not.
	MayHaveRun Verdict = iota
	// NotRun means that the request provably ran on no backend server, so that a
	// retry is safe.
	NotRun
	// Ran means that a backend server answered the request.
	Ran
)

// String returns the verdict's name as written in [Header].
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "NotRun"
	case Ran:
		return "Ran"
	default:
		return "MayHaveRun"
	}
}

// Error is a failure together with its verdict and its HTTP status.
type Error struct {
	// Verdict states whether the request may have run.
	Verdict Verdict
	// Status is the HTTP status code that is sent to the caller.
	Status int
	// Code is a short machine-readable reason, for example "no_backend_server".
	Code string
	// Err is the cause.
	Err error
}

// Error returns the message of the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns an error with a verdict, an HTTP status, a code and a formatted
// message.
func New(v Verdict, status int, code, format string, args ...any) *Error {
	return &Error{Verdict: v, Status: status, Code: code, Err: errors.Newf(format, args...)}
}

// Wrap returns an error with a verdict whose cause is err.
func Wrap(err error, v Verdict, status int, code, format string, args ...any) *Error {
	return &Error{Verdict: v, Status: status, Code: code, Err: errors.Wrapf(err, format, args...)}
}

// Of returns the verdict that err carries, or [MayHaveRun] if it carries none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// As returns err as an *Error. An error without a verdict becomes
// [MayHaveRun] with status 502.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Verdict: MayHaveRun, Status: http.StatusBadGateway, Code: "internal", Err: err}
}
