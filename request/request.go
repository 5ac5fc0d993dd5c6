package request

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"tanagerbarrow/state"
	"tanagerbarrow/verdict"
)

// The request headers that callers may set.
const (
	// ClientAccountHeader names the client account.
	ClientAccountHeader = "Client-Account"
	// KeyHeader carries the idempotency key of an order.
	KeyHeader = "Idempotency-Key"
	// TimeoutHeader carries the caller's timeout, in milliseconds.
	TimeoutHeader = "Tanagerbarrow-Timeout-Ms"
)

// maxKeyBytes bounds an idempotency key, in bytes.
const maxKeyBytes = 256

// Class determines how often a request may be sent.
type Class string

// The classes of requests.
const (
	// Read is an idempotent request; it may be retried and hedged.
	Read Class = "read"
	// Order is a non-idempotent request with an idempotency key.
	Order Class = "order"
	// Once is a non-idempotent request without a key; it is sent at most once.
	Once Class = "once"
)

// Request is a classified request.
type Request struct {
	// ID identifies the request in the logs of every process.
	ID string
	// Service is the service that the request addresses.
	Service state.Service
	// ClientAccount is the client account, or "anonymous".
	ClientAccount string
	// Class determines how often the request may be sent.
	Class Class
	// Key is the idempotency key of an order.
	Key string
	// HomeRegions are the only regions that may serve, forward or store the
	// request; empty means any region.
	HomeRegions []string
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
}

// AllowedIn reports whether the region may serve, forward or store the request.
func (r *Request) AllowedIn(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// Classify classifies a request by its headers and a configuration. The timeout
// is the default and the upper limit. Its errors are *[verdict.Error] with
// [verdict.NotRun]. HomeRegions are determined first and are set even if Classify
// returns an error, so that an entry outside of them need not log anything of the
// request.
func Classify(c *state.Configuration, h *http.Request, now time.Time, timeout time.Duration) (*Request, error) {
	r := &Request{ClientAccount: accountOf(h), Key: h.Header.Get(KeyHeader)}
	r.HomeRegions = c.HomeRegions(r.ClientAccount, collapseSlashes(h.URL.Path))
	if hasDotSegment(h.URL.Path) {
		return r, verdict.New(verdict.NotRun, http.StatusBadRequest, "bad_path", "the path has a dot segment")
	}
	name := serviceName(h.URL.Path)
	service, ok := c.Services[name]
	if !ok {
		return r, verdict.New(verdict.NotRun, http.StatusNotFound, "unknown_service",
			"service %q is not admitted", name)
	}
	r.Service = service
	if len(r.Key) > maxKeyBytes {
		return r, verdict.New(verdict.NotRun, http.StatusBadRequest, "key_too_long",
			"%s has %d bytes, at most %d are allowed", KeyHeader, len(r.Key), maxKeyBytes)
	}
	r.Class = classOf(h.Method, r.Key)
	callerWait, err := callerTimeout(h, timeout)
	if err != nil {
		return r, err
	}
	r.Deadline = now.Add(callerWait)
	return r, nil
}

// collapseSlashes replaces repeated slashes by one. Servers tend to treat them as
// one, so that they would otherwise bypass pins of routes.
func collapseSlashes(path string) string {
	for strings.Contains(path, "//") {
		path = strings.ReplaceAll(path, "//", "/")
	}
	return path
}

// hasDotSegment reports whether a segment of the path is "." or "..", which
// would bypass pins of routes.
func hasDotSegment(path string) bool {
	if !strings.Contains(path, "/.") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// serviceName returns the name of the service, the first segment of the path.
func serviceName(path string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return name
}

// accountOf returns the client account of a request, or "anonymous".
func accountOf(h *http.Request) string {
	if a := h.Header.Get(ClientAccountHeader); a != "" {
		return a
	}
	return "anonymous"
}

// classOf returns the class of a request by its method and idempotency key.
func classOf(method, key string) Class {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return Read
	}
	if key != "" {
		return Order
	}
	return Once
}

// callerTimeout returns the caller's timeout. The limit is the default and the
// maximum. The error is a *[verdict.Error] for a malformed header.
func callerTimeout(h *http.Request, limit time.Duration) (time.Duration, error) {
	text := h.Header.Get(TimeoutHeader)
	if text == "" {
		return limit, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, verdict.New(verdict.NotRun, http.StatusBadRequest, "bad_timeout",
			"%s is %q, want a positive number of milliseconds", TimeoutHeader, text)
	}
	return min(time.Duration(ms)*time.Millisecond, limit), nil
}
