package dispatch

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"tanagerbarrow/backend"
)

// body is a request's body as attempts use it.
type body interface {
	// attach gives the body, of the stated length or -1, to the next attempt.
	attach(a *backend.Attempt, length int64)
	// sentSince returns when the backend server had the whole body of an attempt
	// that started at the given time. It is later than the start where the
	// backend server had to wait for the caller.
	sentSince(start time.Time) time.Time
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

func (b heldBody) attach(a *backend.Attempt, _ int64) { a.BufferedBody = b }

func (b heldBody) sentSince(start time.Time) time.Time { return start }

func (b heldBody) replayable() bool { return true }

// streamedBody passes the caller's body on and notes whether any of it was
// read: what was read once cannot be sent again.
type streamedBody struct {
	in      io.Reader
	touched atomic.Bool
	ended   atomic.Int64 // nanoseconds since 1970, or 0 before the end
}

func (b *streamedBody) attach(a *backend.Attempt, length int64) {
	a.Body, a.ContentLength = io.NopCloser(b), length
}

func (b *streamedBody) replayable() bool { return !b.touched.Load() }

func (b *streamedBody) sentSince(start time.Time) time.Time {
	if ended := time.Unix(0, b.ended.Load()); ended.After(start) {
		return ended
	}
	return start
}

// Read reads from the caller.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.touched.Store(true)
	n, err := b.in.Read(p)
	if err != nil {
		b.ended.Store(time.Now().UnixNano())
	}
	return n, err
}
