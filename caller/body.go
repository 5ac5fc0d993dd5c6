package caller

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
)

// callerBody is the body of a caller's request; it notes whether it was read to
// its end.
type callerBody struct {
	io.ReadCloser

	ended atomic.Bool
}

// Read reads the body.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.ended.Store(true)
	}
	return n, err
}

// takeBody bounds the body and lets the answer begin before the body has ended.
// The returned function ends the reading of a body that nobody waits for.
func (f *Front) takeBody(c echo.Context, h *http.Request) (end func()) {
	control := http.NewResponseController(c.Response())
	_ = control.EnableFullDuplex()
	body := &callerBody{ReadCloser: http.MaxBytesReader(c.Response(), h.Body, f.MaxBodyBytes)}
	h.Body = body
	return func() {
		if !body.ended.Load() {
			_ = control.SetReadDeadline(time.Now())
		}
	}
}
