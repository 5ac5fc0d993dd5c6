package dispatch

import (
	"io"
	"net/http"
	"sync/atomic"

	"tanagerbarrow/backend"
)

// body is a request's body as attempts use it.
type body interface {
	// attach gives the body, of the stated length or -1, to the next attempt.
	attach(a *backend.Attempt, length int64)
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

func (b heldBody) attach(a *backend.Attempt, _ int64) { a.Held = b }

func (b heldBody) replayable() bool { return true }

// streamedBody passes the caller's body on and notes whether any of it was
// read: what was read once cannot be sent again.
type streamedBody struct {
	in      io.Reader
	touched atomic.Bool
}

func (b *streamedBody) attach(a *backend.Attempt, length int64) {
	a.Body, a.ContentLength = io.NopCloser(b), length
}

func (b *streamedBody) replayable() bool { return !b.touched.Load() }

// Read reads from the caller.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.touched.Store(true)
	return b.in.Read(p)
}
