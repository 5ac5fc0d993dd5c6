package backend

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"tanagerbarrow/membership"
	"tanagerbarrow/request"
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
	maxIdlePerServer       = 64
	maxResponseHeaderBytes = 64 << 10
)

// maxInformational bounds the answers of status 1xx before the final one.
const maxInformational = 8

// The codes of failed exchanges.
const (
	// CodeDialFailed means that no connection could be opened.
	CodeDialFailed = "dial_failed"
	// CodeExchangeFailed means that the connection broke.
	CodeExchangeFailed = "exchange_failed"
	// CodeConnectionLost means that a reused connection broke before a byte of
	// the answer came.
	CodeConnectionLost = "connection_lost"
	// CodeAnswerCut means that the answer ended early.
	CodeAnswerCut = "answer_cut"
	// CodeSilent means that a reused connection passed no byte in time.
	CodeSilent = "connection_silent"
	// CodeRefused means that the backend server refused the request.
	CodeRefused = "refused"
	// CodeDeadline means that the caller's deadline passed.
	CodeDeadline = "deadline"
	// CodeCallerGone means that the caller closed its connection.
	CodeCallerGone = "caller_gone"
	// CodeBodyCut means that the request's body ended early.
	CodeBodyCut = "body_cut"
	// CodeDigestMismatch means that the body does not match its Content-Digest.
	CodeDigestMismatch = "digest_mismatch"
	// CodeBodyTooLarge means that the request's body passed its bound.
	CodeBodyTooLarge = "body_too_large"
)

// ServerAtFault reports whether an error of [Exchanger.Exchange] speaks
// against the backend server, and not against the caller or one connection.
func ServerAtFault(err error) bool {
	switch verdict.As(err).Code {
	case CodeDialFailed, CodeExchangeFailed, CodeAnswerCut:
		return true
	default:
		return false
	}
}

// ConnectionAtFault reports whether an error of [Exchanger.Exchange] speaks
// against one connection only. The same backend server may be tried again.
func ConnectionAtFault(err error) bool {
	switch verdict.As(err).Code {
	case CodeConnectionLost, CodeSilent:
		return true
	default:
		return false
	}
}

// Exchanger sends attempts to backend servers over kept-alive connections. It
// uses the codecs of [net/http], but not its Transport, which resends requests
// by itself.
type Exchanger struct {
	// OnLeaving, if set, is told of backend servers whose answers say that they
	// leave.
	OnLeaving func(*membership.BackendServer)

	pool    *pool
	dialect Dialect
}

// NewExchanger returns an exchanger without open connections that speaks the
// project's own dialect.
func NewExchanger() *Exchanger { return NewExchangerWithDialect(ownDialect()) }

// NewExchangerWithDialect returns an exchanger without open connections.
func NewExchangerWithDialect(d Dialect) *Exchanger { return &Exchanger{pool: newPool(), dialect: d} }

// Close closes the idle connections.
func (x *Exchanger) Close() { x.pool.close() }

// exchange is one request and its answer on one connection.
type exchange struct {
	pool    *pool
	conn    *conn
	to      *membership.BackendServer
	mark    int64
	started time.Time
	// unwatch ends the watch on the context. It returns false if the context
	// ended and the connection was closed.
	unwatch func() bool
	// upload is the body being sent while the answer is awaited, or nil.
	upload *upload
}

// Exchange sends the attempt once. Its errors are *[verdict.Error]. The caller
// closes the response's body and reads it from one goroutine.
func (x *Exchanger) Exchange(ctx context.Context, to *membership.BackendServer, a *Attempt) (*http.Response, error) {
	c, err := x.pool.get(ctx, to.Address, a.provenSince())
	if err != nil {
		return nil, dialFailure(ctx, err, to)
	}
	e := &exchange{pool: x.pool, conn: c, to: to, mark: c.mark(), started: time.Now()}
	e.unwatch = context.AfterFunc(ctx, func() { _ = c.Close() })
	r := newRequest(x.dialect, to, a)
	res, err := e.run(a, r)
	if err == nil {
		res, err = e.skipStrangers(res, r, x.dialect.RequestID, a.RequestID)
	}
	if err != nil {
		return nil, e.fail(ctx, err)
	}
	report := x.dialect.report(res.Header)
	c.keepFor(report.KeepAlive)
	e.attach(res)
	if x.OnLeaving != nil && res.Header.Get(StateHeader) == string(membership.Leaving) {
		x.OnLeaving(to)
	}
	if x.dialect.NotRun(res) {
		e.drain(res)
		return nil, verdict.Wrap(&RefusedError{Status: res.StatusCode, Report: report},
			verdict.NotRun, http.StatusServiceUnavailable, CodeRefused,
			"backend server %s of service %q refused the request", to.Address, to.Service)
	}
	return res, nil
}

// run writes the request and reads the header of the answer.
func (e *exchange) run(a *Attempt, r *http.Request) (*http.Response, error) {
	if a.streams() {
		e.upload = startUpload(e.conn, r)
	} else if err := e.write(r); err != nil {
		return nil, err
	}
	e.conn.limitSilence(a.SilenceLimit)
	res, err := e.readHeader(r)
	if err == nil && !e.buffered(res) {
		e.conn.limitSilence(0)
	}
	return res, err
}

// maxStrangers bounds the answers to other requests that are passed over.
const maxStrangers = 2

// skipStrangers passes over answers that belong to other requests: a server may
// send a second answer late. The connection is not used again after one.
func (e *exchange) skipStrangers(res *http.Response, r *http.Request, header, id string) (*http.Response, error) {
	for range maxStrangers {
		got := res.Header.Get(header)
		if got == "" || got == id {
			return res, nil
		}
		if res.ContentLength < 0 || res.ContentLength > maxDrainBytes {
			break
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, err
		}
		var err error
		if res, err = e.readHeader(r); err != nil {
			return nil, err
		}
		res.Close = true
	}
	if got := res.Header.Get(header); got != "" && got != id {
		return nil, errors.Newf("answer belongs to request %q", got)
	}
	return res, nil
}

// maxDrainBytes bounds what is read of a body that nobody needs, so that its
// connection can be used again.
const maxDrainBytes = 64 << 10

// drain reads a short body to its end and gives a longer one up.
func (e *exchange) drain(res *http.Response) {
	_, _ = io.CopyN(io.Discard, res.Body, maxDrainBytes)
	_ = res.Body.Close()
}

// buffered reports whether the whole answer has arrived.
func (e *exchange) buffered(res *http.Response) bool {
	return res.Body == http.NoBody ||
		res.ContentLength >= 0 && res.ContentLength <= int64(e.conn.in.Buffered())
}

// write writes a request whose body is held.
func (e *exchange) write(r *http.Request) error {
	if err := r.Write(e.conn.out); err != nil {
		return err
	}
	return e.conn.out.Flush()
}

// readHeader reads the header of the final answer.
func (e *exchange) readHeader(r *http.Request) (*http.Response, error) {
	for range maxInformational {
		e.conn.headerLeft = maxResponseHeaderBytes
		res, err := http.ReadResponse(e.conn.in, r)
		e.conn.headerLeft = -1
		switch {
		case err != nil:
			return nil, err
		case res.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("answer switches protocols without being asked to")
		case res.StatusCode >= http.StatusOK:
			return res, nil
		}
	}
	return nil, errors.Newf("more than %d informational answers", maxInformational)
}

// fail gives the connection up and returns the error of the exchange.
func (e *exchange) fail(ctx context.Context, err error) error {
	untouched := e.conn.seal(e.mark)
	e.abandon()
	v := verdict.MayHaveRun
	if untouched {
		v = verdict.NotRun
	}
	if cause := e.upload.failure(); cause != nil {
		return BodyReadError(cause, v, e.to.Service)
	}
	status, code := classify(ctx, CodeExchangeFailed)
	switch {
	case ctx.Err() != nil:
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, unix.ETIMEDOUT):
		code = CodeSilent
	case e.conn.reused && !e.conn.received:
		code = CodeConnectionLost
	}
	if (code == CodeDeadline || code == CodeSilent) && !e.conn.received {
		e.pool.condemn(e.to.Address, e.started)
	}
	return verdict.Wrap(err, v, status, code,
		"exchange with backend server %s of service %q", e.to.Address, e.to.Service)
}

// abandon closes the connection.
func (e *exchange) abandon() {
	e.unwatch()
	_ = e.conn.Close()
}

// finish takes the connection back after a whole answer if it is fit for
// another exchange.
func (e *exchange) finish(res *http.Response) {
	watched := e.unwatch()
	if !watched || res.Close || !e.upload.complete() || e.conn.in.Buffered() > 0 {
		_ = e.conn.Close()
		return
	}
	e.pool.put(e.conn)
}

// attach makes the answer's body end the exchange.
func (e *exchange) attach(res *http.Response) {
	if res.Body == http.NoBody {
		e.finish(res)
		return
	}
	res.Body = &answerBody{in: res.Body, exchange: e, res: res}
}

// answerBody is the body of an answer. Its end ends the exchange.
type answerBody struct {
	in       io.ReadCloser
	exchange *exchange
	res      *http.Response
	ended    error
}

// Read reads the answer. Any error but [io.EOF] means that it was cut.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.ended != nil {
		return 0, b.ended
	}
	n, err := b.in.Read(p)
	if err == nil {
		return n, nil
	}
	b.ended = err
	if errors.Is(err, io.EOF) {
		b.exchange.finish(b.res)
	} else {
		b.exchange.abandon()
	}
	return n, err
}

// Close gives the connection up unless the whole answer was read.
func (b *answerBody) Close() error {
	if b.ended == nil {
		b.ended = http.ErrBodyReadAfterClose
		b.exchange.abandon()
	}
	return nil
}

// classify returns the status and the code of a failure: those of the ended
// context if it caused the failure, else the given code.
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

// ResponseReadError returns the error of an answer of the backend server whose reading
// failed.
func ResponseReadError(ctx context.Context, err error, to *membership.BackendServer) error {
	status, code := classify(ctx, CodeAnswerCut)
	return verdict.Wrap(err, verdict.MayHaveRun, status, code,
		"read the answer of backend server %s of service %q", to.Address, to.Service)
}

// refused reports whether a backend server proves that it did not run the
// request. A bare 503 proves nothing.
func refused(res *http.Response) bool {
	return res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(RefusedHeader) != ""
}
