package dispatch

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"tanagerbarrow/backend"
)

// body provides a request's body to each attempt.
type body interface {
	// attach sets the body of the next attempt. The length is in bytes, or -1 if
	// unknown.
	attach(a *backend.Attempt, length int64)
	// bodySentAt returns when the whole body of an attempt that started at the
	// given time was sent. That is after the start if the backend server had to
	// wait for the caller.
	bodySentAt(start time.Time) time.Time
	// replayable reports whether another attempt can send the whole body.
	replayable() bool
}

// newBody returns the body of a request that is streamed to the backend server.
func newBody(h *http.Request) body {
	if h.Body == nil || h.Body == http.NoBody || h.ContentLength == 0 {
		return bufferedBody(nil)
	}
	return &streamedBody{in: h.Body}
}

// bufferedBody is a body in memory.
type bufferedBody []byte

func (b bufferedBody) attach(a *backend.Attempt, _ int64) {
	if len(b) > 0 {
		a.BufferedBody = net.Buffers{b}
	}
}

func (b bufferedBody) bodySentAt(start time.Time) time.Time { return start }

func (b bufferedBody) replayable() bool { return true }

// streamedBody streams the caller's body. It records whether any of it was read,
// because data that was read once cannot be sent again.
type streamedBody struct {
	in          io.Reader
	readStarted atomic.Bool
	endedAt     atomic.Int64 // nanoseconds since 1970, or 0 before the end
}

func (b *streamedBody) attach(a *backend.Attempt, length int64) {
	a.Body, a.ContentLength = io.NopCloser(b), length
}

func (b *streamedBody) replayable() bool { return !b.readStarted.Load() }

func (b *streamedBody) bodySentAt(start time.Time) time.Time {
	if end := time.Unix(0, b.endedAt.Load()); end.After(start) {
		return end
	}
	return start
}

// Read reads from the caller and records that reading started and ended.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.readStarted.Store(true)
	n, err := b.in.Read(p)
	if err != nil {
		b.endedAt.Store(time.Now().UnixNano())
	}
	return n, err
}
