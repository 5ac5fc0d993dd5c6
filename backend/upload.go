package backend

import (
	"bufio"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// uploadBufferBytes is the size of the write buffer for a body, in bytes.
// timedBufferBytes is the smaller size for a body that is paced or whose end is
// delayed, because the data in the buffer is delayed too.
const (
	uploadBufferBytes = 64 << 10
	timedBufferBytes  = 4 << 10
)

// lastWriteTimeout limits the wait for the last write of a body to return after
// the complete response was received.
const lastWriteTimeout = 10 * time.Millisecond

// uploadWriters and timedWriters pool the write buffers for bodies.
var (
	uploadWriters = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, uploadBufferBytes) }}
	timedWriters  = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, timedBufferBytes) }}
)

// upload sends a request with its body in a goroutine of its own, because a
// backend server may respond before it has read the whole body.
type upload struct {
	source uploadSource
	// written is closed once the whole body was written.
	written chan struct{}
}

// startUpload starts to send the request on the connection.
func startUpload(c *conn, r *http.Request) *upload {
	u := &upload{source: uploadSource{in: r.Body}, written: make(chan struct{})}
	buffers := &uploadWriters
	if _, timed := r.Body.(*timedBody); timed {
		buffers = &timedWriters
	}
	r.Body = &u.source
	go u.run(c, r, buffers)
	return u
}

// run sends the request. If the body cannot be read to its end, run closes the
// connection, so that the backend server detects the truncated body.
func (u *upload) run(c *conn, r *http.Request, buffers *sync.Pool) {
	out := buffers.Get().(*bufio.Writer)
	out.Reset(c)
	err := writeRequest(out, r)
	if err == nil {
		err = out.Flush()
	}
	out.Reset(nil)
	buffers.Put(out)
	if err == nil {
		close(u.written)
		return
	}
	if u.source.readError() == nil && r.ContentLength >= 0 {
		u.source.recordShortBody(r.ContentLength)
	}
	if u.source.readError() != nil {
		_ = c.Close()
	}
}

// complete reports whether the whole body was written. A backend server may
// respond before the last write has returned here, so complete waits up to
// lastWriteTimeout.
func (u *upload) complete() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.written:
		return true
	case <-time.After(lastWriteTimeout):
		return false
	}
}

// readError returns why the body could not be read, or nil.
func (u *upload) readError() error {
	if u == nil {
		return nil
	}
	return u.source.readError()
}

// uploadSource is the body of an upload. It records why reading it failed.
type uploadSource struct {
	in io.ReadCloser

	mu   sync.Mutex
	read int64
	eof  bool
	err  error
}

// Read reads from the caller and records the end or the error.
func (s *uploadSource) Read(p []byte) (int, error) {
	n, err := s.in.Read(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read += int64(n)
	switch {
	case errors.Is(err, io.EOF):
		s.eof = true
	case err != nil:
		s.err = err
	}
	return n, err
}

// Close closes the body.
func (s *uploadSource) Close() error { return s.in.Close() }

// recordShortBody records an error if the body ended before its declared length.
func (s *uploadSource) recordShortBody(length int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.eof && s.read < length {
		s.err = io.ErrUnexpectedEOF
	}
}

// readError returns why the body could not be read, or nil.
func (s *uploadSource) readError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}
