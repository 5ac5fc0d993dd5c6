package caller

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
)

// callerBody is the body of a caller's request; it notes whether it was read to
// its end.
type callerBody struct {
	io.ReadCloser

	// mu keeps the reads after the answer apart from those of an attempt that
	// has not noticed its end yet.
	mu    sync.Mutex
	ended atomic.Bool
}

// Read reads the body.
func (b *callerBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.ended.Store(true)
	}
	return n, err
}

// The bounds of what is read of a body after its answer went out.
const (
	// settleTime is how long a caller may go on sending. A connection that is
	// closed while bytes arrive is reset, and the caller may lose the answer.
	settleTime = 200 * time.Millisecond
	// settleBytes bounds those bytes.
	settleBytes = 256 << 10
)

// takeBody bounds the body and lets the answer begin before the body has ended.
// The returned function ends the reading of a body that nobody waits for: the
// answer goes out, and what the caller still sends is read for a short time.
func (f *Frontend) takeBody(c echo.Context, h *http.Request) (end func()) {
	control := http.NewResponseController(c.Response())
	_ = control.EnableFullDuplex()
	body := &callerBody{ReadCloser: http.MaxBytesReader(c.Response(), h.Body, f.MaxBodyBytes)}
	h.Body = body
	return func() {
		if body.ended.Load() {
			return
		}
		if err := control.SetReadDeadline(time.Now().Add(settleTime)); err != nil {
			return
		}
		if c.Response().Committed && control.Flush() == nil {
			_, _ = io.CopyN(io.Discard, body, settleBytes)
		}
		if !body.ended.Load() {
			_ = control.SetReadDeadline(time.Now())
		}
	}
}
