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
	"tanagerbarrow/verdict"
)

// RefusedHeader is set by a backend server in a response of status 503 to a
// request that it did not run.
const RefusedHeader = "Tanagerbarrow-Refused"

// The limits of connections to backend servers.
const (
	defaultDialTimeout     = 500 * time.Millisecond
	keepAlivePeriod        = 2 * time.Second
	userTimeout            = 4 * time.Second
	idleTimeout            = 30 * time.Second
	maxIdlePerServer       = 64
	maxResponseHeaderBytes = 64 << 10
)

// maxInformational is the maximum number of responses of status 1xx before the
// final one.
const maxInformational = 8

// Exchanger sends attempts to backend servers over persistent connections. It
// uses the codecs of [net/http], but not its Transport, which resends requests
// by itself.
type Exchanger struct {
	// OnLeaving, if set, is called with each backend server whose response
	// reports that it is shutting down.
	OnLeaving func(*membership.BackendServer)

	pool    *pool
	dialect Dialect
}

// NewExchanger returns an exchanger without open connections that uses the
// project's own dialect.
func NewExchanger() *Exchanger { return NewExchangerWithDialect(defaultDialect()) }

// NewExchangerWithDialect returns an exchanger without open connections that
// uses the dialect.
func NewExchangerWithDialect(d Dialect) *Exchanger { return &Exchanger{pool: newPool(), dialect: d} }

// SetDialTimeout bounds the time to open a connection, instead of 500 ms. It must be
// called before the first exchange.
func (x *Exchanger) SetDialTimeout(d time.Duration) { x.pool.dialTimeout = d }

// Close closes the idle connections.
func (x *Exchanger) Close() { x.pool.close() }

// exchange is one request and its response on one connection.
type exchange struct {
	pool          *pool
	conn          *conn
	to            *membership.BackendServer
	writtenBefore int64
	started       time.Time
	// stopWatch stops closing the connection when the context ends. It returns
	// false if the context ended before and the connection was closed.
	stopWatch func() bool
	// upload sends the body while the response is read; nil if the body was
	// written before.
	upload *upload
	// transferLimit is [Attempt.TransferLimit]. transferTimer closes the connection
	// when the time for the rest of the response ends; nil while there is no limit.
	transferLimit time.Duration
	transferTimer *time.Timer
}

// Exchange sends the attempt once. Its errors are *[verdict.Error]. The caller
// closes the response's body and reads it from one goroutine.
func (x *Exchanger) Exchange(ctx context.Context, to *membership.BackendServer, a *Attempt) (*http.Response, error) {
	dialCtx, endDial := context.WithCancel(ctx)
	if a.DialContext != nil {
		stop := context.AfterFunc(a.DialContext, endDial)
		defer stop()
	}
	id := ""
	if x.dialect.EchoesRequestID {
		id = a.RequestID
	}
	c, err := x.pool.get(dialCtx, to.Address, a.verifiedSince(), id)
	endDial()
	if err != nil {
		return nil, dialFailure(ctx, err, to)
	}
	if a.MayStart != nil && !a.MayStart() {
		x.pool.put(c)
		return nil, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, CodeTooLate,
			"the permission to use backend server %s has run out", to.Address)
	}
	if id != "" {
		c.requests.add(id)
	}
	e := &exchange{pool: x.pool, conn: c, to: to, writtenBefore: c.writtenBytes(), started: time.Now(), transferLimit: a.TransferLimit}
	e.stopWatch = context.AfterFunc(ctx, c.abort)
	r := newRequest(x.dialect, to, a)
	res, err := e.run(a, r)
	if err == nil {
		res, err = e.skipForeignResponses(res, r, x.dialect, a.RequestID)
	}
	if err != nil {
		return nil, e.fail(ctx, err)
	}
	report := x.dialect.report(res.Header)
	c.setKeepAlive(report.KeepAlive)
	e.attach(res)
	if x.OnLeaving != nil && res.Header.Get(StateHeader) == string(membership.Leaving) {
		x.OnLeaving(to)
	}
	if x.dialect.NotRun(res) {
		e.drain(res)
		return nil, verdict.Wrap(&RefusedError{Status: res.StatusCode, Report: report, Header: res.Header},
			verdict.NotRun, http.StatusServiceUnavailable, CodeRefused,
			"backend server %s of service %q refused the request", to.Address, to.Service)
	}
	return res, nil
}

// run writes the request and reads the header of the response.
func (e *exchange) run(a *Attempt, r *http.Request) (*http.Response, error) {
	if a.streamsBody() {
		e.upload = startUpload(e.conn, r)
	} else if err := e.write(r); err != nil {
		return nil, err
	}
	e.conn.setSilenceLimit(a.SilenceLimit)
	res, err := e.readHeader(r)
	if err == nil && !e.buffered(res) {
		e.conn.setSilenceLimit(0)
	}
	return res, err
}

// maxForeignResponses is the maximum number of responses to other requests that
// are skipped.
const maxForeignResponses = 2

// skipForeignResponses skips responses that belong to other requests, because a
// server may send a late second response. A connection that delivered one is
// not reused.
func (e *exchange) skipForeignResponses(res *http.Response, r *http.Request, d Dialect, id string) (*http.Response, error) {
	for range maxForeignResponses {
		if d.belongsTo(res, id) {
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
	if !d.belongsTo(res, id) {
		return nil, errors.Newf("answer belongs to request %q", res.Header.Get(d.RequestID))
	}
	return res, nil
}

// maxDrainBytes is the maximum number of bytes of an unneeded body that are read
// to make its connection reusable.
const maxDrainBytes = 64 << 10

// drainTimeout bounds how long the rest of an unneeded body is waited for. The
// request waits meanwhile, so it is about the time of a new connection.
const drainTimeout = 50 * time.Millisecond

// drain reads a body of up to maxDrainBytes to its end. A longer body, or one that
// does not end within drainTimeout, closes the connection.
func (e *exchange) drain(res *http.Response) {
	if res.Body == http.NoBody {
		return
	}
	e.stopTransferTimer()
	e.transferTimer = time.AfterFunc(drainTimeout, func() { _ = e.conn.Close() })
	_, _ = io.CopyN(io.Discard, res.Body, maxDrainBytes)
	_ = res.Body.Close()
}

// buffered reports whether the complete response has been received.
func (e *exchange) buffered(res *http.Response) bool {
	return res.Body == http.NoBody ||
		res.ContentLength >= 0 && res.ContentLength <= int64(e.conn.reader.Buffered())
}

// write writes a request whose body is buffered.
func (e *exchange) write(r *http.Request) error {
	if err := writeRequest(e.conn.writer, r); err != nil {
		return err
	}
	return e.conn.writer.Flush()
}

// readHeader reads the header of the final response.
func (e *exchange) readHeader(r *http.Request) (*http.Response, error) {
	for range maxInformational {
		e.conn.headerBytesLeft = maxResponseHeaderBytes
		res, err := e.readOneHeader(r)
		e.conn.headerBytesLeft = -1
		switch {
		case err != nil:
			return nil, err
		case res.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("answer switches protocols without being asked to")
		case res.StatusCode >= http.StatusOK:
			return res, nil
		}
		e.stopTransferTimer()
	}
	return nil, errors.Newf("more than %d informational answers", maxInformational)
}

// protocolName begins each response.
const protocolName = "HTTP/1."

// readOneHeader reads the header of one response. Bytes that begin no response are
// an error at once: a line without an end would otherwise be read up to its limit.
func (e *exchange) readOneHeader(r *http.Request) (*http.Response, error) {
	start, err := e.conn.reader.Peek(len(protocolName))
	if err != nil {
		return nil, err
	}
	if string(start) != protocolName {
		return nil, errors.Newf("the answer begins with %q", start)
	}
	if e.transferLimit > 0 && e.transferTimer == nil {
		e.transferTimer = time.AfterFunc(e.transferLimit, func() { _ = e.conn.Close() })
	}
	res, err := http.ReadResponse(e.conn.reader, r)
	if err == nil && !validStatus(res) {
		return nil, errors.Newf("the answer has status %.20q", res.Status)
	}
	return res, err
}

// The range of a status in HTTP.
const (
	minStatus = 100
	maxStatus = 599
)

// validStatus reports whether the status of a response is one of HTTP. The parser also accepts
// signs and any number of three characters, and one below 100 would count as informational.
func validStatus(res *http.Response) bool {
	return res.StatusCode >= minStatus && res.StatusCode <= maxStatus && res.Status[0] >= '1' && res.Status[0] <= '9'
}

// stopTransferTimer stops the limit of the transfer. It returns false if the limit
// has ended and the connection was closed.
func (e *exchange) stopTransferTimer() bool {
	if e.transferTimer == nil {
		return true
	}
	stopped := e.transferTimer.Stop()
	e.transferTimer = nil
	return stopped
}

// fail closes the connection and returns the error of the exchange.
func (e *exchange) fail(ctx context.Context, err error) error {
	nothingWritten := e.conn.seal(e.writtenBefore)
	e.abandon()
	v := verdict.MayHaveRun
	if nothingWritten {
		v = verdict.NotRun
	}
	if cause := e.upload.readError(); cause != nil {
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
		e.pool.closeUnverifiedSince(e.to.Address, e.started)
	}
	return verdict.Wrap(err, v, status, code,
		"exchange with backend server %s of service %q", e.to.Address, e.to.Service)
}

// abandon resets the connection.
func (e *exchange) abandon() {
	e.stopWatch()
	e.stopTransferTimer()
	e.conn.abort()
}

// finish returns the connection to the pool after a complete response, or closes
// it if it must not be reused.
func (e *exchange) finish(res *http.Response) {
	stillOpen := e.stopWatch()
	if withinLimit := e.stopTransferTimer(); !stillOpen || !withinLimit || res.Close || !e.upload.complete() || e.conn.reader.Buffered() > 0 {
		_ = e.conn.Close()
		return
	}
	e.pool.put(e.conn)
}

// attach wraps the response's body so that its end or close ends the exchange.
func (e *exchange) attach(res *http.Response) {
	if res.Body == http.NoBody {
		e.finish(res)
		return
	}
	res.Body = &responseBody{in: res.Body, exchange: e, res: res}
}

// responseBody is the body of a response. Its end or close ends the exchange.
type responseBody struct {
	in       io.ReadCloser
	exchange *exchange
	res      *http.Response
	ended    error
}

// Read reads the response. Any error but [io.EOF] means that the response was
// truncated.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.ended != nil {
		return 0, b.ended
	}
	n, err := b.in.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) && b.endsWithConnection() && !b.exchange.upload.complete() {
		err = errUploadCut
	}
	b.ended = err
	if errors.Is(err, io.EOF) {
		b.exchange.finish(b.res)
	} else {
		b.exchange.abandon()
	}
	return n, err
}

// errUploadCut is returned for a response whose end can't be distinguished from a reset.
var errUploadCut = errors.New("the connection ended during the upload, the answer has no length")

// endsWithConnection reports whether the response ends where its connection does. If the
// connection is reset while the request is being written, the write receives the error, and
// reads see an ordinary end. Such a response is whole only if the upload is complete.
func (b *responseBody) endsWithConnection() bool {
	return b.res.ContentLength < 0 && len(b.res.TransferEncoding) == 0
}

// Close closes the connection unless the complete response was read.
func (b *responseBody) Close() error {
	if b.ended == nil {
		b.ended = http.ErrBodyReadAfterClose
		b.exchange.abandon()
	}
	return nil
}

// refused reports whether a response proves that the backend server did not run
// the request. A status 503 without [RefusedHeader] proves nothing.
func refused(res *http.Response) bool {
	return res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(RefusedHeader) != ""
}
