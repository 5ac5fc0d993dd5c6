package backend

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"tanagerbarrow/membership"
)

// maxWrittenFirst bounds a held body that is written whole before the answer is
// awaited, in bytes. It fits the send buffer of a fresh connection.
const maxWrittenFirst = 16 << 10

// Attempt is one try of a request on one backend server.
type Attempt struct {
	// Method, Path and Query form the request line.
	Method, Path, Query string
	// RawPath is the encoded path if it differs from the usual encoding of Path.
	RawPath string
	// Header is sent without its hop-by-hop fields.
	Header http.Header
	// BufferedBody is the request's body if it is held in memory and Body is nil.
	BufferedBody []byte
	// BeforeBodyEnd, if set, is called once all but the end of a long Held body was
	// written; the end follows when it returns, and with it the server begins the
	// request.
	BeforeBodyEnd func()
	// Body is the request's body as it arrives, or nil.
	Body io.ReadCloser
	// ContentLength is the length of Body in bytes, or -1 if unknown.
	ContentLength int64
	// RequestID follows the request through every process; empty for a health
	// check.
	RequestID string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// SilenceLimit bounds the wait for the header of the answer on a reused
	// connection, which ends after one to two such times; 0 means that only the
	// deadline bounds it.
	SilenceLimit time.Duration
	// MaxIdle bounds how long a reused connection was idle; 0 means any time.
	MaxIdle time.Duration
	// NewConnection asks for a new connection.
	NewConnection bool
	// Target is the request target as the caller sent it; it takes the place of
	// Path and Query if set.
	Target string
	// Host is the caller's Host header, for dialects that keep it.
	Host string
	// ExpectServer is the server that shall run the request; empty for any.
	ExpectServer string
}

// provenSince returns since when a reused connection must have carried a whole
// answer.
func (a *Attempt) provenSince() time.Time {
	switch {
	case a.NewConnection:
		return time.Now()
	case a.MaxIdle == 0:
		return time.Time{}
	default:
		return time.Now().Add(-a.MaxIdle)
	}
}

// streams reports whether the body is sent while the answer is awaited.
func (a *Attempt) streams() bool { return a.Body != nil || len(a.BufferedBody) > maxWrittenFirst }

// pauses reports whether the end of the body is held back until BeforeBodyEnd returns.
func (a *Attempt) pauses() bool {
	return a.BeforeBodyEnd != nil && a.Body == nil && len(a.BufferedBody) > maxWrittenFirst
}

// pausedEnd is the length of the end of a body that is held back, in bytes: one
// packet, which arrives as soon as it is sent.
const pausedEnd = 1 << 10

// pausedBody is a body whose end is held back.
type pausedBody struct {
	rest  []byte
	pause func()
}

// Read reads up to the end, pauses there once, and reads on.
func (b *pausedBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	most := len(b.rest)
	if b.pause != nil {
		most -= pausedEnd
	}
	if most <= 0 {
		b.pause()
		b.pause, most = nil, len(b.rest)
	}
	n := copy(p, b.rest[:most])
	b.rest = b.rest[n:]
	return n, nil
}

// Close does nothing.
func (b *pausedBody) Close() error { return nil }

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
	if strings.HasPrefix(a.Target, "/") && !strings.HasPrefix(a.Target, "//") {
		r.URL = &url.URL{Scheme: "http", Host: address, Opaque: a.Target}
	}
	switch {
	case a.Body != nil:
		r.Body, r.ContentLength = a.Body, a.ContentLength
	case a.pauses():
		r.Body, r.ContentLength = &pausedBody{rest: a.BufferedBody, pause: a.BeforeBodyEnd}, int64(len(a.BufferedBody))
	case len(a.BufferedBody) > 0:
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(a.BufferedBody)), int64(len(a.BufferedBody))
	}
	return r
}

// hopByHop are the header fields that end at this process. Expect is among
// them because the caller's side answers it.
var hopByHop = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the fields that are for this process alone.
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
