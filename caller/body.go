package caller

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
)

// callerBody is the body of a caller's request. It records whether it was read to
// its end.
type callerBody struct {
	io.ReadCloser

	// mu serializes the reads after the answer with those of an attempt that has
	// not yet detected that it has ended.
	mu    sync.Mutex
	ended atomic.Bool
}

// Read reads the body and records its end or an error.
func (b *callerBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.ended.Store(true)
	}
	return n, err
}

// The limits on reading the rest of a body after its answer was sent.
const (
	// lingerTimeout is how long a caller may continue to send. Closing a
	// connection while bytes arrive resets it, and the caller may lose the answer.
	lingerTimeout = 200 * time.Millisecond
	// maxLingerBytes is how much a caller may continue to send, in bytes.
	maxLingerBytes = 256 << 10
)

// prepareBody limits the size of the body and allows the answer to begin before
// the body has ended. The returned function is called after the answer. Unless the
// body was read to its end, it flushes the answer, then reads and discards the rest
// of the body within lingerTimeout and maxLingerBytes.
func (f *Frontend) prepareBody(c echo.Context, h *http.Request) (finish func()) {
	control := http.NewResponseController(c.Response())
	_ = control.EnableFullDuplex()
	body := &callerBody{ReadCloser: http.MaxBytesReader(c.Response(), h.Body, f.MaxBodyBytes)}
	h.Body = body
	return func() {
		if body.ended.Load() {
			return
		}
		if err := control.SetReadDeadline(time.Now().Add(lingerTimeout)); err != nil {
			return
		}
		if c.Response().Committed && control.Flush() == nil {
			_, _ = io.CopyN(io.Discard, body, maxLingerBytes)
		}
		if !body.ended.Load() {
			_ = control.SetReadDeadline(time.Now())
		}
	}
}
