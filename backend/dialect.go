package backend

import (
	"net/http"
	"time"

	"tanagerbarrow/request"
	"tanagerbarrow/telemetry"
)

// Dialect describes the header fields and refusals of the HTTP interface that
// backend servers implement.
type Dialect struct {
	// RequestID is the header that carries a request's identifier, in requests and
	// responses.
	RequestID string
	// EchoesRequestID says that each response to a request with an identifier carries the
	// same one. A response without it then belongs to another request, such as a health
	// check.
	EchoesRequestID bool
	// Timeout is the header that carries the time until the caller's deadline, in
	// milliseconds.
	Timeout string
	// ExpectServer is the header that carries the identifier of the only server
	// that may run the request; empty if the interface has no such header.
	ExpectServer string
	// Key is the header that carries the key of a caller's client account behind KeyScheme, and
	// ClientAccount the one that tells a server the account's name; empty if the interface has
	// no accounts.
	Key, KeyScheme, ClientAccount string
	// KeepHost passes the caller's Host header on.
	KeepHost bool
	// NotRun reports whether a response proves that the server did not run the
	// request.
	NotRun func(*http.Response) bool
	// Report reads the server's report from the header of a response; nil if
	// servers report nothing.
	Report func(http.Header) Report
}

// Report is the state of a server as reported in the header of a response.
type Report struct {
	// ServerID identifies the server; empty if not reported.
	ServerID string
	// Running and Waiting are the numbers of requests that the server runs and
	// queues. Slots is the number of requests that it can run at once.
	Running, Waiting, Slots int
	// Pace is the current service time as a percentage of the usual one; 0 if not
	// reported.
	Pace int
	// Cold is how much longer the server stays cold; negative if not reported.
	Cold time.Duration
	// KeepAlive is how long the server keeps an idle connection open; 0 if not
	// reported.
	KeepAlive time.Duration
	// Limited says that the response named a limit, and RequestLimit is that limit: the
	// requests per second that the server takes from all callers together.
	Limited      bool
	RequestLimit float64
	// RetryAfter is the time after which the server wants to be asked again; 0 if not
	// reported.
	RetryAfter time.Duration
	// Leaving says that the server leaves for good: it wants no further requests.
	Leaving bool
}

// RefusedError is the cause of an error with [CodeRefused].
type RefusedError struct {
	// Status is the HTTP status of the response.
	Status int
	// Report is the state that the server reported with the refusal.
	Report Report
	// Header is the header of the response.
	Header http.Header
}

// Error returns the message.
func (e *RefusedError) Error() string {
	return "the server refused with status " + http.StatusText(e.Status)
}

// defaultDialect returns the dialect of this project's own HTTP interface.
func defaultDialect() Dialect {
	return Dialect{RequestID: telemetry.RequestIDHeader, Timeout: request.TimeoutHeader, NotRun: refused}
}

// report reads the server's report from the header of a response. Without a
// Report function, it returns one that reports nothing.
func (d Dialect) report(h http.Header) Report {
	if d.Report == nil {
		return Report{Cold: -1}
	}
	return d.Report(h)
}

// belongsTo reports whether a response belongs to the request with an identifier, which
// is empty for a health check.
func (d Dialect) belongsTo(res *http.Response, id string) bool {
	got := res.Header.Get(d.RequestID)
	if got == "" {
		return id == "" || !d.EchoesRequestID
	}
	return got == id
}
