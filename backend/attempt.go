package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"tanagerbarrow/membership"
)

// maxUnstreamedBodyBytes is the maximum size of a buffered body that is written
// completely before the response is read, in bytes. It fits the send buffer of
// a new connection.
const maxUnstreamedBodyBytes = 16 << 10

// Attempt is one attempt to send a request to one backend server.
type Attempt struct {
	// Method, Path and Query form the request line.
	Method, Path, Query string
	// RawPath is the encoded path if it differs from the usual encoding of Path.
	RawPath string
	// Header holds the header fields; the hop-by-hop fields are not sent.
	Header http.Header
	// BufferedBody is the request's body, in parts, if it is in memory and Body is
	// nil.
	BufferedBody net.Buffers
	// PaceBody, if set, is called before each part of a long BufferedBody is
	// written, with its length in bytes, and delays it as the link requires.
	PaceBody func(bytes int)
	// BeforeBodyEnd, if set, is called once all but the end of a long
	// BufferedBody was written. The end is written after it returns, and only
	// then can the server start to run the request.
	BeforeBodyEnd func()
	// Body streams the request's body from the caller, or is nil.
	Body io.ReadCloser
	// ContentLength is the length of Body in bytes, or -1 if unknown.
	ContentLength int64
	// RequestID identifies the request in every process; empty for a health
	// check.
	RequestID string
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// SilenceLimit limits how long a reused connection may deliver no response
	// header. The wait ends after one to two times the limit; 0 means that only
	// the deadline limits it.
	SilenceLimit time.Duration
	// MayStart, if set, is asked right before the first byte is written. If it
	// returns false, the attempt ends with [CodeTooLate] and nothing is written.
	MayStart func() bool
	// TransferLimit limits the time from the first byte of the final response to
	// its end; 0 means that only the deadline limits it.
	TransferLimit time.Duration
	// MaxIdle is the longest time for which a reused connection may have been
	// idle; 0 means no limit.
	MaxIdle time.Duration
	// NewConnection forbids the use of a pooled connection.
	NewConnection bool
	// Target is the request target as the caller sent it. If set, it replaces
	// Path and Query.
	Target string
	// Host is the caller's Host header, for dialects that pass it on.
	Host string
	// DialContext, if set, ends the opening of a new connection when it ends, but no
	// exchange that has begun.
	DialContext context.Context
	// ClientAccount is the name of the caller's client account; empty if there is none.
	ClientAccount string
	// ExpectServer identifies the only server that may run the request; empty for
	// any.
	ExpectServer string
}

// verifiedSince returns the earliest time at which a reused connection may have
// delivered its last complete response.
func (a *Attempt) verifiedSince() time.Time {
	switch {
	case a.NewConnection:
		return time.Now()
	case a.MaxIdle == 0:
		return time.Time{}
	default:
		return time.Now().Add(-a.MaxIdle)
	}
}

// streamsBody reports whether the body is sent while the response is read.
func (a *Attempt) streamsBody() bool {
	return a.Body != nil || a.bufferedBytes() > maxUnstreamedBodyBytes
}

// bufferedBytes returns the length of BufferedBody, in bytes.
func (a *Attempt) bufferedBytes() int {
	n := 0
	for _, part := range a.BufferedBody {
		n += len(part)
	}
	return n
}

// timesBody reports whether the writing of the body is paced or its end delayed.
func (a *Attempt) timesBody() bool {
	return a.Body == nil && a.bufferedBytes() > maxUnstreamedBodyBytes && (a.BeforeBodyEnd != nil || a.PaceBody != nil)
}

// delayedEndBytes is the length of the delayed end of a body, in bytes. It fits
// one packet, so that it arrives as soon as it is sent.
const delayedEndBytes = 1 << 10

// timedBody is a body whose parts are paced and whose end is delayed until
// beforeEnd returns.
type timedBody struct {
	unread    net.Buffers
	left      int
	pace      func(bytes int)
	beforeEnd func()
}

// Read returns the body up to its delayed end, calls beforeEnd once, and then
// returns the end.
func (b *timedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	limit := b.left
	if b.beforeEnd != nil {
		limit -= delayedEndBytes
	}
	if limit <= 0 {
		b.beforeEnd()
		b.beforeEnd, limit = nil, b.left
	}
	p = p[:min(len(p), limit)]
	if b.pace != nil {
		p = p[:min(len(p), timedBufferBytes)]
		b.pace(len(p))
	}
	n, err := b.unread.Read(p)
	b.left -= n
	return n, err
}

// Close does nothing.
func (b *timedBody) Close() error { return nil }

// newRequest builds the outgoing request.
func newRequest(d Dialect, to *membership.BackendServer, a *Attempt) *http.Request {
	header := a.Header.Clone()
	RemoveHopByHop(header)
	if a.RequestID != "" {
		header.Set(d.RequestID, a.RequestID)
		header.Set(d.Timeout, remainingMillis(a.Deadline))
	}
	if d.ExpectServer != "" && a.ExpectServer != "" {
		header.Set(d.ExpectServer, a.ExpectServer)
	}
	if a.ClientAccount != "" && d.ClientAccount != "" {
		header.Set(d.ClientAccount, a.ClientAccount)
	}
	if header.Get("User-Agent") == "" {
		header["User-Agent"] = nil
	}
	address := to.Address.String()
	r := &http.Request{
		Method: a.Method,
		URL:    &url.URL{Scheme: "http", Host: address, Path: a.Path, RawPath: a.RawPath, RawQuery: a.Query},
		Host:   address,
		Header: header,
	}
	if d.KeepHost {
		r.Host = a.Host
	}
	if strings.HasPrefix(a.Target, "/") {
		r.URL, r.RequestURI = &url.URL{Scheme: "http", Host: address, Opaque: a.Target}, a.Target
	}
	switch {
	case a.Body != nil:
		r.Body, r.ContentLength = a.Body, a.ContentLength
	case a.timesBody():
		n := a.bufferedBytes()
		r.Body = &timedBody{unread: slices.Clone(a.BufferedBody), left: n, pace: a.PaceBody, beforeEnd: a.BeforeBodyEnd}
		r.ContentLength = int64(n)
	case len(a.BufferedBody) > 0:
		// Reading a net.Buffers consumes it, and a later attempt needs the body too.
		unread := slices.Clone(a.BufferedBody)
		r.Body, r.ContentLength = io.NopCloser(&unread), int64(a.bufferedBytes())
	}
	return r
}

// hopByHop lists the header fields that are not forwarded. Expect is among
// them because the server side of this process responds to it.
var hopByHop = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the header fields that apply to one connection only.
func RemoveHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}
