package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tanagerbarrow/membership"
	"tanagerbarrow/request"
	"tanagerbarrow/telemetry"
	"tanagerbarrow/verdict"
)

// RefusedHeader is set by a backend server on an answer of status 503 to a
// request that it did not run.
const RefusedHeader = "Tanagerbarrow-Refused"

// The limits of connections to backend servers.
const (
	dialTimeout            = 500 * time.Millisecond
	keepAlivePeriod        = 2 * time.Second
	userTimeout            = 4 * time.Second
	idleTimeout            = 30 * time.Second
	maxIdlePerServer       = 260
	maxResponseHeaderBytes = 64 << 10
)

// Attempt is one try of a request on one backend server.
type Attempt struct {
	// Method, Path and Query form the request line.
	Method, Path, Query string
	// Header is sent without its hop-by-hop fields.
	Header http.Header
	// Body is the request's body, or nil.
	Body io.ReadCloser
	// ContentLength is the body's length in bytes, or -1 if unknown.
	ContentLength int64
	// RequestID follows the request through every process.
	RequestID string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Exchanger sends attempts to backend servers over kept-alive connections.
type Exchanger struct{ transport *http.Transport }

// NewExchanger returns an exchanger without open connections.
func NewExchanger() *Exchanger {
	return &Exchanger{transport: &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// dial opens a connection that notices a silent peer.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod, Control: setUserTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var result error
	err := raw.Control(func(fd uintptr) {
		result = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return result
}

// evidence tracks what one attempt did on the wire.
type evidence struct {
	conn atomic.Pointer[conn]
	mark atomic.Int64
}

// trace returns the hooks that note the attempt's connection. The transport
// calls GotConn before it writes the request.
func (e *evidence) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			e.mark.Store(c.mark())
			e.conn.Store(c)
		}
	}}
}

// verdict returns NotRun only with proof that no byte was or will be written.
func (e *evidence) verdict() verdict.Verdict {
	c := e.conn.Load()
	if c == nil || c.seal(e.mark.Load()) {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// Exchange sends the attempt once. Its errors are *[verdict.Error]. The caller
// closes the response's body.
func (x *Exchanger) Exchange(ctx context.Context, to *membership.BackendServer, a *Attempt) (*http.Response, error) {
	var e evidence
	ctx = httptrace.WithClientTrace(ctx, e.trace())
	res, err := x.transport.RoundTrip(newRequest(ctx, to, a))
	if err != nil {
		return nil, failure(ctx, err, e.verdict(), to)
	}
	if refused(res) {
		_ = res.Body.Close()
		return nil, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "refused",
			"backend server %s of service %q refused the request", to.Address, to.Service)
	}
	return res, nil
}

// failure returns the error of a failed exchange.
func failure(ctx context.Context, err error, v verdict.Verdict, to *membership.BackendServer) error {
	if ctx.Err() != nil {
		return verdict.Wrap(err, v, http.StatusGatewayTimeout, "deadline",
			"no answer of backend server %s of service %q in time", to.Address, to.Service)
	}
	return verdict.Wrap(err, v, http.StatusBadGateway, "exchange_failed",
		"exchange with backend server %s of service %q", to.Address, to.Service)
}

// refused reports whether a backend server proves that it did not run the
// request. A bare 503 proves nothing.
func refused(res *http.Response) bool {
	return res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(RefusedHeader) != ""
}

// newRequest builds the outgoing request. It has a body without GetBody even
// where nothing is to be sent, because [http.Transport] resends a request
// without a body by itself when a reused connection breaks.
func newRequest(ctx context.Context, to *membership.BackendServer, a *Attempt) *http.Request {
	header := a.Header.Clone()
	removeHopByHop(header)
	hideKey(header)
	header.Set(telemetry.RequestIDHeader, a.RequestID)
	header.Set(request.TimeoutHeader, remainingMillis(a.Deadline))
	if header.Get("User-Agent") == "" {
		header["User-Agent"] = nil
	}
	r := &http.Request{
		Method: a.Method,
		URL:    &url.URL{Scheme: "http", Host: to.Address.String(), Path: a.Path, RawQuery: a.Query},
		Host:   to.Address.String(),
		Header: header,
		Body:   a.Body,
	}
	r.ContentLength = a.ContentLength
	if a.Body == nil {
		r.Body, r.ContentLength = emptyBody{}, 0
	}
	return r.WithContext(ctx)
}

// emptyBody is a body of no bytes that the transport cannot tell from one with
// bytes, so that it never resends the request.
type emptyBody struct{}

// Read returns io.EOF.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close does nothing.
func (emptyBody) Close() error { return nil }

// hideKey moves the idempotency key under a name in lower case. The name on
// the wire means the same, but [http.Transport] looks for the canonical name
// and resends requests that have it.
func hideKey(h http.Header) {
	for _, name := range []string{request.KeyHeader, "X-Idempotency-Key"} {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}

// hopByHop are the header fields that end at this process.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHop removes the fields that are for this process alone.
func removeHopByHop(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
