package dispatch

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

// body is a request's body as attempts use it.
type body interface {
	// reader returns the body for the next attempt, or nil if there is none.
	reader() io.ReadCloser
	// replayable reports whether another attempt could send the whole body.
	replayable() bool
}

// newBody returns the body of a request that is passed on as it arrives.
func newBody(h *http.Request) body {
	if h.Body == nil || h.Body == http.NoBody || h.ContentLength == 0 {
		return heldBody(nil)
	}
	return &streamedBody{in: h.Body}
}

// heldBody is a body held in memory.
type heldBody []byte

func (b heldBody) reader() io.ReadCloser {
	if len(b) == 0 {
		return nil
	}
	return io.NopCloser(bytes.NewReader(b))
}

func (b heldBody) replayable() bool { return true }

// streamedBody passes the caller's body on and notes whether any of it was
// read: what was read once cannot be sent again.
type streamedBody struct {
	in      io.Reader
	touched atomic.Bool
}

func (b *streamedBody) reader() io.ReadCloser { return io.NopCloser(b) }

func (b *streamedBody) replayable() bool { return !b.touched.Load() }

// Read reads from the caller.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.touched.Store(true)
	return b.in.Read(p)
}
